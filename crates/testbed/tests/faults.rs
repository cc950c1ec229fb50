//! Faults of network, cache servers and nodes in virtual time, as the nodes' decisions get to see them.

use balancer_core::{Action, AttemptStatus, Balancer, EndpointUpdate, Event, Settings, Timestamp};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use testbed::script::{Incident, Trouble};
use testbed::simulate::{play_with, Decide, Played, Safeguards};
use testbed::Script;

/// What reached a node's decisions, and when.
#[derive(Clone, Debug, PartialEq)]
enum Seen {
    Started,
    Outcome { status: AttemptStatus, took: Duration },
    DiscoveryFailed,
}

type Log = Rc<RefCell<Vec<(Timestamp, Seen)>>>;

/// The real decisions, with a log of what they were told.
struct Watched {
    real: Balancer,
    log: Log,
}

impl Decide for Watched {
    fn handle(&mut self, now: Timestamp, event: Event, actions: &mut Vec<Action>) {
        let seen = match &event {
            Event::EndpointsRestored(_) => Some(Seen::Started),
            Event::AttemptEnded(outcome) => {
                Some(Seen::Outcome { status: outcome.status, took: outcome.elapsed })
            }
            Event::EndpointsUpdated(EndpointUpdate::Unavailable) => Some(Seen::DiscoveryFailed),
            _ => None,
        };
        self.log.borrow_mut().extend(seen.map(|seen| (now, seen)));
        self.real.handle(now, event, actions);
    }
}

struct Watch {
    played: Played,
    log: Vec<(Timestamp, Seen)>,
}

impl Watch {
    fn play(script: &Script) -> Self {
        let log = Log::default();
        let kept = log.clone();
        let mut make = move |settings: Settings, seed| -> Box<dyn Decide> {
            Box::new(Watched { real: Balancer::new(settings, seed), log: kept.clone() })
        };
        let played = play_with(script, Safeguards::ALL, &mut make);
        assert_eq!(played.verdict.broken, [0; 4], "{:?}", played.verdict.breaches);
        Self { played, log: log.take() }
    }

    fn count(&self, wanted: AttemptStatus) -> usize {
        self.outcomes().filter(|(_, status, _)| *status == wanted).count()
    }

    fn outcomes(&self) -> impl Iterator<Item = (u64, AttemptStatus, Duration)> + '_ {
        self.log.iter().filter_map(|(at, seen)| match seen {
            Seen::Outcome { status, took } => Some((ms(*at), *status, *took)),
            _ => None,
        })
    }

    /// When this was seen, in milliseconds.
    fn times(&self, wanted: &Seen) -> Vec<u64> {
        self.log.iter().filter(|(_, seen)| seen == wanted).map(|(at, _)| ms(*at)).collect()
    }
}

fn ms(at: Timestamp) -> u64 {
    at.since(Timestamp::default()).as_millis() as u64
}

/// Few nodes, few boxes, and nothing else that could go wrong.
fn small(incidents: Vec<Incident>) -> Script {
    let mut script = Script { nodes: 2, length: Duration::from_secs(10), incidents, ..Script::default() };
    script.load.rate = 40.0;
    script.clients.impatient = 0.0;
    script.boxes.truncate(1);
    (script.boxes[0].count, script.boxes[0].errors) = (6, 0.0);
    // Everything is held, and no work is far longer than another; nor is a fetch, by the other servers that a hot key is
    // shared out to.
    (script.load.keys, script.origin.warm, script.origin.spread) = (2_000, 1.0, 0.1);
    script.classes.iter_mut().for_each(|class| class.spread = 0.1);
    script
}

fn incident(at_ms: u64, over_ms: u64, what: Trouble) -> Incident {
    Incident { at: Duration::from_millis(at_ms), over: Duration::from_millis(over_ms), zone: None, what }
}

#[test]
fn nothing_goes_wrong_by_itself() {
    let calm = Watch::play(&small(vec![]));
    for status in
        [AttemptStatus::Reset, AttemptStatus::ConnectError, AttemptStatus::TimedOut, AttemptStatus::Failed]
    {
        assert_eq!(calm.count(status), 0, "{status:?}");
    }
}

#[test]
fn a_delay_makes_every_attempt_longer_by_both_its_ways_and_a_new_connection_too_late() {
    let extra = Duration::from_millis(15);
    let delay = Trouble::Delay { share: 1.0, extra };
    let delayed = Watch::play(&small(vec![incident(0, 5_000, delay)]));
    let shortest = |from: u64, to: u64| {
        let served = delayed
            .outcomes()
            .filter(move |(at, status, _)| *status == AttemptStatus::Ok && (from..to).contains(at));
        served.map(|(_, _, took)| took).min().expect("some were served")
    };
    assert!(shortest(1_000, 5_000) >= extra * 2);
    assert!(shortest(6_000, 10_000) < extra * 2);
    // Two round trips of more than 75 ms are more than a connection may take.
    let far = Trouble::Delay { share: 1.0, extra: Duration::from_millis(19) };
    let late = Watch::play(&small(vec![incident(0, 1_000, far)]));
    let early: Vec<_> = late.outcomes().filter(|(at, ..)| *at < 1_000).collect();
    assert!(early.len() > 10 && early.iter().all(|(_, status, _)| *status == AttemptStatus::ConnectError));
}

#[test]
fn a_lost_packet_comes_again_after_200_ms_and_a_lost_first_one_after_a_second_which_is_too_late() {
    let mut script = small(vec![incident(3_000, 7_000, Trouble::Loss { share: 1.0, rate: 0.1 })]);
    script.classes.truncate(1);
    script.classes[0].deadline = Duration::from_secs(4);
    let lossy = Watch::play(&script);
    let slow = |watch: &Watch| {
        watch
            .outcomes()
            .filter(|(_, status, took)| *status == AttemptStatus::Ok && took.as_millis() >= 200)
            .count()
    };
    let calm = Watch::play(&Script { incidents: vec![], ..script });
    assert_eq!(slow(&calm), 0);
    assert!(slow(&lossy) > 10, "{}", slow(&lossy));
    assert!(lossy.count(AttemptStatus::ConnectError) > 0);
}

#[test]
fn an_answer_that_breaks_off_is_a_reset_to_the_node_and_its_work_is_done() {
    let mut script = small(vec![incident(2_000, 3_000, Trouble::Resets { share: 1.0, rate: 0.5 })]);
    let broken = Watch::play(&script);
    assert!(broken.count(AttemptStatus::Reset) > 30);
    let in_time = |(at, status, _): &(u64, AttemptStatus, Duration)| {
        *status != AttemptStatus::Reset || (2_000..5_100).contains(at)
    };
    assert!(broken.outcomes().all(|outcome| in_time(&outcome)));
    assert!(broken.outcomes().any(|(at, status, _)| at > 5_100 && status == AttemptStatus::Ok));
    // What ran may not run again where that is unsafe: half of these are not served, and none ran twice.
    script.classes.iter_mut().for_each(|class| class.effect = balancer_core::Idempotency::NotIdempotent);
    let unsafe_ones = Watch::play(&script);
    assert!(unsafe_ones.count(AttemptStatus::Reset) > 30);
    assert_eq!(unsafe_ones.played.verdict.repeats, [0; 3]);
}

#[test]
fn a_forgotten_connection_swallows_what_is_sent_until_the_node_makes_a_new_one() {
    let half_open = || Trouble::HalfOpen { share: 1.0 };
    let forgotten = Watch::play(&small(vec![incident(5_000, 0, half_open())]));
    let silent = forgotten.count(AttemptStatus::TimedOut);
    let calm = Watch::play(&small(vec![]));
    assert!(silent > 0 && calm.count(AttemptStatus::TimedOut) == 0);
    // Connections made later hold. One that lay at the bottom of the pool may still come up, once.
    let late =
        |wanted| forgotten.outcomes().filter(|(at, status, _)| *at >= 8_000 && *status == wanted).count();
    assert!(late(AttemptStatus::Ok) > 30 && late(AttemptStatus::TimedOut) * 10 < late(AttemptStatus::Ok));
}

#[test]
fn a_server_that_closes_idle_connections_resets_the_requests_that_cross_its_word_and_no_others() {
    let mut script = small(vec![]);
    script.load.rate = 400.0;
    script.nodes = 6;
    script.boxes[0].count = 12;
    // The way between zones takes long enough for some to cross.
    let idle = Duration::from_millis(50);
    script.boxes[0].idle = Some(idle);
    let closing = Watch::play(&script);
    let resets = closing.count(AttemptStatus::Reset);
    assert!(resets > 0);
    let served = closing.count(AttemptStatus::Ok);
    assert!(resets * 20 < served, "{resets} of {served}");
    script.boxes[0].idle = None;
    assert_eq!(Watch::play(&script).count(AttemptStatus::Reset), 0);
}

// Guards against connections that their server closed long ago and that still take the places of new ones.
#[test]
fn connections_that_were_closed_for_idleness_leave_their_places_to_others() {
    let mut script = small(vec![]);
    script.boxes[0].idle = Some(Duration::from_millis(300));
    (script.boxes[0].connections, script.nodes) = (8, 12);
    script.load.rate = 60.0;
    let played = Watch::play(&script);
    let refused =
        played.outcomes().filter(|(at, status, _)| *at > 3_000 && *status == AttemptStatus::ConnectError);
    let (refused, served) = (refused.count(), played.count(AttemptStatus::Ok));
    assert!(refused * 20 < served, "{refused} of {served}");
}

#[test]
fn a_node_that_restarts_twice_is_down_for_each_time_as_long_as_that_restart_says() {
    let down = Duration::from_millis;
    let restart = |down| Trouble::RestartNodes { share: 1.0, batch: 1.0, down, killed: false };
    let mut script =
        small(vec![incident(1_000, 100, restart(down(100))), incident(6_000, 100, restart(down(3_000)))]);
    script.nodes = 1;
    script.load.rate = 1.0;
    let times = Watch::play(&script).times(&Seen::Started);
    // It serves on for half a second while the front hears of it.
    let expected = [0, 1_600, 9_500];
    assert_eq!(times.len(), 3, "{times:?}");
    assert!(
        times.iter().zip(expected).all(|(at, expected)| (expected..expected + 300).contains(at)),
        "{times:?}"
    );
}

#[test]
fn nodes_that_lost_the_same_discovery_ask_again_less_and_less_often_and_not_together() {
    let mut script = small(vec![incident(1_000, 9_000, Trouble::DiscoveryAway)]);
    script.nodes = 8;
    let failed = Watch::play(&script).times(&Seen::DiscoveryFailed);
    // The waits are 0.2 s, 0.4 s and so on up to 3 s, each from half of that to one and a half times.
    let each = failed.len() as f64 / 8.0;
    assert!((5.0..9.0).contains(&each), "{each} calls a node in 9 s");
    let seconds = |from: u64| failed.iter().filter(|at| (from..from + 1_000).contains(at)).count();
    assert!(seconds(1_000) > seconds(8_000));
    let later: std::collections::BTreeSet<_> = failed.iter().filter(|&&at| at > 1_500).collect();
    assert!(later.len() > 20, "{later:?}");
}
