//! Faults of network, cache servers and nodes in virtual time, as the nodes' decisions get to see them.

use balancer_core::{Action, AttemptStatus, Balancer, EndpointUpdate, Event, Settings, Timestamp};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use testbed::run_result::RunResult;
use testbed::script::{Fault, Incident};
use testbed::virtual_time::{run_with, Decisions, Safeguards};
use testbed::Script;

/// What reached a node's decisions, and when.
#[derive(Clone, Debug, PartialEq)]
enum Seen {
    Started,
    Outcome { status: AttemptStatus, took: Duration },
    DiscoveryFailed,
}

type Log = Rc<RefCell<Vec<(Timestamp, Seen)>>>;

/// The real decisions, with a log of their events.
struct Watched {
    real: Balancer,
    log: Log,
}

impl Decisions for Watched {
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
    result: RunResult,
    log: Vec<(Timestamp, Seen)>,
}

impl Watch {
    fn run(script: &Script) -> Self {
        let log = Log::default();
        let kept = log.clone();
        let mut make = move |settings: Settings, seed| -> Box<dyn Decisions> {
            Box::new(Watched { real: Balancer::new(settings, seed), log: kept.clone() })
        };
        let result = run_with(script, Safeguards::ALL, &mut make);
        assert_eq!(result.verdict.violation_counts, [0; 4], "{:?}", result.verdict.violations);
        Self { result, log: log.take() }
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

/// A small fleet, without any other faults.
fn small(incidents: Vec<Incident>) -> Script {
    let mut script = Script { nodes: 2, length: Duration::from_secs(10), incidents, ..Script::default() };
    script.load.rate = 40.0;
    script.clients.disconnect_fraction = 0.0;
    script.server_kinds.truncate(1);
    (script.server_kinds[0].count, script.server_kinds[0].error_rate) = (6, 0.0);
    // Everything is held, and no work is far longer than another; nor is a fetch, by the other servers that a hot key is
    // shared out to.
    (script.load.keys, script.origin.initially_cached_fraction, script.origin.fetch_variation) =
        (2_000, 1.0, 0.1);
    script.classes.iter_mut().for_each(|class| class.work_variation = 0.1);
    script
}

fn incident(at_ms: u64, over_ms: u64, fault: Fault) -> Incident {
    Incident { at: Duration::from_millis(at_ms), duration: Duration::from_millis(over_ms), zone: None, fault }
}

#[test]
fn without_faults_no_attempt_fails() {
    let calm = Watch::run(&small(vec![]));
    for status in
        [AttemptStatus::Reset, AttemptStatus::ConnectError, AttemptStatus::TimedOut, AttemptStatus::Failed]
    {
        assert_eq!(calm.count(status), 0, "{status:?}");
    }
}

#[test]
fn a_delay_adds_a_round_trip_to_attempts_and_times_out_new_connections() {
    let extra = Duration::from_millis(15);
    let delay = Fault::Delay { share: 1.0, extra };
    let delayed = Watch::run(&small(vec![incident(0, 5_000, delay)]));
    let shortest = |from: u64, to: u64| {
        let served = delayed
            .outcomes()
            .filter(move |(at, status, _)| *status == AttemptStatus::Ok && (from..to).contains(at));
        served.map(|(_, _, took)| took).min().expect("some were served")
    };
    assert!(shortest(1_000, 5_000) >= extra * 2);
    assert!(shortest(6_000, 10_000) < extra * 2);
    // Two round trips of more than 75 ms are more than a connection may take.
    let far = Fault::Delay { share: 1.0, extra: Duration::from_millis(19) };
    let late = Watch::run(&small(vec![incident(0, 1_000, far)]));
    let early: Vec<_> = late.outcomes().filter(|(at, ..)| *at < 1_000).collect();
    assert!(early.len() > 10 && early.iter().all(|(_, status, _)| *status == AttemptStatus::ConnectError));
}

#[test]
fn a_lost_packet_costs_200_ms_and_the_loss_of_a_first_one_the_connection() {
    let mut script = small(vec![incident(3_000, 7_000, Fault::Loss { share: 1.0, rate: 0.1 })]);
    script.classes.truncate(1);
    script.classes[0].deadline = Duration::from_secs(4);
    let lossy = Watch::run(&script);
    let slow = |watch: &Watch| {
        watch
            .outcomes()
            .filter(|(_, status, took)| *status == AttemptStatus::Ok && took.as_millis() >= 200)
            .count()
    };
    let calm = Watch::run(&Script { incidents: vec![], ..script });
    assert_eq!(slow(&calm), 0);
    assert!(slow(&lossy) > 10, "{}", slow(&lossy));
    assert!(lossy.count(AttemptStatus::ConnectError) > 0);
}

#[test]
fn an_answer_cut_short_is_a_reset_to_the_node_and_its_job_is_executed() {
    let mut script = small(vec![incident(2_000, 3_000, Fault::Resets { share: 1.0, rate: 0.5 })]);
    let broken = Watch::run(&script);
    assert!(broken.count(AttemptStatus::Reset) > 30);
    let in_time = |(at, status, _): &(u64, AttemptStatus, Duration)| {
        *status != AttemptStatus::Reset || (2_000..5_100).contains(at)
    };
    assert!(broken.outcomes().all(|outcome| in_time(&outcome)));
    assert!(broken.outcomes().any(|(at, status, _)| at > 5_100 && status == AttemptStatus::Ok));
    // What ran may not run again where that is unsafe: half of these are not served, and none ran twice.
    script.classes.iter_mut().for_each(|class| class.idempotency = balancer_core::Idempotency::NotIdempotent);
    let unsafe_ones = Watch::run(&script);
    assert!(unsafe_ones.count(AttemptStatus::Reset) > 30);
    assert_eq!(unsafe_ones.result.verdict.repeats, [0; 3]);
}

#[test]
fn a_forgotten_connection_passes_nothing_until_the_node_opens_a_new_one() {
    let half_open = || Fault::HalfOpen { share: 1.0 };
    let forgotten = Watch::run(&small(vec![incident(5_000, 0, half_open())]));
    let silent = forgotten.count(AttemptStatus::TimedOut);
    let calm = Watch::run(&small(vec![]));
    assert!(silent > 0 && calm.count(AttemptStatus::TimedOut) == 0);
    // Connections made later hold. One that lay at the bottom of the pool may still come up, once.
    let late =
        |wanted| forgotten.outcomes().filter(|(at, status, _)| *at >= 8_000 && *status == wanted).count();
    assert!(late(AttemptStatus::Ok) > 30 && late(AttemptStatus::TimedOut) * 10 < late(AttemptStatus::Ok));
}

#[test]
fn closing_idle_connections_resets_only_requests_that_are_on_their_way() {
    let mut script = small(vec![]);
    script.load.rate = 400.0;
    script.nodes = 6;
    script.server_kinds[0].count = 12;
    // The way between zones takes long enough for some to cross.
    let idle = Duration::from_millis(50);
    script.server_kinds[0].idle_timeout = Some(idle);
    let closing = Watch::run(&script);
    let resets = closing.count(AttemptStatus::Reset);
    assert!(resets > 0);
    let served = closing.count(AttemptStatus::Ok);
    assert!(resets * 20 < served, "{resets} of {served}");
    script.server_kinds[0].idle_timeout = None;
    assert_eq!(Watch::run(&script).count(AttemptStatus::Reset), 0);
}

/// A server that counts connections that it closed long before as open refuses new ones. With a low bound of connections, nodes
/// would then see connect errors without any fault.
#[test]
fn connections_closed_after_the_idle_timeout_do_not_count_as_open() {
    let mut script = small(vec![]);
    script.server_kinds[0].idle_timeout = Some(Duration::from_millis(300));
    (script.server_kinds[0].max_connections, script.nodes) = (8, 12);
    script.load.rate = 60.0;
    let watch = Watch::run(&script);
    let refused =
        watch.outcomes().filter(|(at, status, _)| *at > 3_000 && *status == AttemptStatus::ConnectError);
    let (refused, served) = (refused.count(), watch.count(AttemptStatus::Ok));
    assert!(refused * 20 < served, "{refused} of {served}");
}

#[test]
fn each_restart_of_a_node_has_its_own_downtime() {
    let down = Duration::from_millis;
    let restart = |downtime| Fault::RestartNodes { share: 1.0, batch: 1.0, downtime, killed: false };
    let mut script =
        small(vec![incident(1_000, 100, restart(down(100))), incident(6_000, 100, restart(down(3_000)))]);
    script.nodes = 1;
    script.load.rate = 1.0;
    let times = Watch::run(&script).times(&Seen::Started);
    // It serves on for half a second while the front hears of it.
    let expected = [0, 1_600, 9_500];
    assert_eq!(times.len(), 3, "{times:?}");
    assert!(
        times.iter().zip(expected).all(|(at, expected)| (expected..expected + 300).contains(at)),
        "{times:?}"
    );
}

#[test]
fn nodes_back_off_with_jitter_while_discovery_is_unavailable() {
    let mut script = small(vec![incident(1_000, 9_000, Fault::DiscoveryOutage)]);
    script.nodes = 8;
    let failed = Watch::run(&script).times(&Seen::DiscoveryFailed);
    // The waits are 0.2 s, 0.4 s and so on up to 3 s, each from half of that to one and a half times.
    let each = failed.len() as f64 / 8.0;
    assert!((5.0..9.0).contains(&each), "{each} calls a node in 9 s");
    let seconds = |from: u64| failed.iter().filter(|at| (from..from + 1_000).contains(at)).count();
    assert!(seconds(1_000) > seconds(8_000));
    let later: std::collections::BTreeSet<_> = failed.iter().filter(|&&at| at > 1_500).collect();
    assert!(later.len() > 20, "{later:?}");
}
