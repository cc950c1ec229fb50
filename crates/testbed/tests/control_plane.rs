//! The control plane in virtual time: outcomes that can be computed from the scene, and properties of every
//! scene and seed.

#[path = "support/property_config.rs"]
mod property_config;

use property_config::cases;
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::time::Duration;
use testbed::scale::line_queue::{LineQueue, QueueFull};
use testbed::scale::messages::ReplicaCapacity;
use testbed::scale::script::{Event, EventKind, ScaleScript};
use testbed::scale::virtual_time::client::{AfterCall, CallOutcome, ClientDecisionLogic, NextCall};
use testbed::scale::virtual_time::scenes::{named, names, Size, VIRTUAL_ONLY};
use testbed::scale::virtual_time::{
    run, run_traced, run_with, Outcome, Scene, SceneError, SceneEvent, SentLines,
};

const SECOND: Duration = Duration::from_secs(1);

const CAPACITY: ReplicaCapacity = ReplicaCapacity {
    lines_per_second: 1_000.0,
    call_lines: 10.0,
    continued_call_lines: 1.0,
    queue_limit_ms: 3_000,
};

fn size(nodes: u32) -> Size {
    Size { nodes, servers: 40, replicas: 1, mechanism: false, capacity: CAPACITY, seed: 1 }
}

fn quiet(size: &Size, events: Vec<Event>) -> Scene {
    let scene = named("quiet", size).expect("a scene");
    let script = ScaleScript { events, length: 120 * SECOND, catch_up: 300 * SECOND, ..scene.script };
    Scene::of_script(script).expect("a scene")
}

fn event(at: u64, duration: u64, kind: EventKind) -> Event {
    Event { at: Duration::from_secs(at), duration: Some(Duration::from_secs(duration)), kind }
}

fn assert_all_caught_up(outcome: &Outcome) {
    assert_eq!((outcome.never, outcome.without_list, outcome.went_back), (0, 0, 0), "{outcome:?}");
}

#[test]
fn a_call_beyond_the_queue_limit_is_rejected_without_charge() {
    let mut queue = LineQueue::new(&ReplicaCapacity { lines_per_second: 10.0, ..CAPACITY });
    assert_eq!(queue.charge(SECOND, 31.0), Ok(Duration::from_millis(4_100)));
    assert_eq!(queue.charge(SECOND, 5.0), Err(QueueFull), "3.1 s are more than 3 s");
    assert_eq!(queue.charge(Duration::from_millis(1_100), 5.0), Ok(Duration::from_millis(4_600)));
    assert_eq!((queue.lines(), queue.longest_wait()), (36.0, 3 * SECOND));
    assert_eq!(queue.charge(9 * SECOND, 0.0), Ok(9 * SECOND), "the queue is empty again");
}

#[test]
fn idle_watches_cost_only_continued_calls_and_do_not_fail() {
    for continued_call_lines in [0.0, 1.0, 10.0] {
        let capacity = ReplicaCapacity { continued_call_lines, ..CAPACITY };
        let outcome = run(&quiet(&Size { capacity, ..size(100) }, Vec::new()));
        let replica = outcome.replicas[0];
        assert_eq!((replica.rejected, replica.snapshots, outcome.overdue, outcome.unreached), (0, 0, 0, 0));
        assert_eq!(replica.lines, continued_call_lines * replica.calls as f64);
        // Waits are random between 10 and 20 s.
        let mean = outcome.measured.as_secs_f64() * 100.0 / replica.calls as f64;
        assert!((14.0..16.0).contains(&mean), "a call every {mean} s");
        assert_all_caught_up(&outcome);
    }
}

#[test]
fn propagation_of_a_change_takes_as_long_as_sending_it_to_all_nodes() {
    let capacity =
        ReplicaCapacity { lines_per_second: 100.0, call_lines: 1.0, continued_call_lines: 0.0, ..CAPACITY };
    let changes = event(30, 90, EventKind::Changes { per_day: 2_880.0, step: 30 * SECOND });
    let outcome = run(&quiet(&Size { capacity, ..size(250) }, vec![changes]));
    // The three changes (draining, gone, ready) are half a minute apart. Each takes 250 lines at 100 lines
    // per second.
    assert_eq!((outcome.changes, outcome.latencies.count()), (3, 750));
    let last = outcome.latencies.quantile(1.0).expect("some");
    assert!((2_500 * SECOND / 1_000..2_600 * SECOND / 1_000).contains(&last), "{last:?}");
    assert_all_caught_up(&outcome);
}

#[test]
fn answers_beyond_the_queue_limit_are_rejected_and_delivered_later() {
    let capacity =
        ReplicaCapacity { lines_per_second: 50.0, call_lines: 1.0, continued_call_lines: 0.0, ..CAPACITY };
    let changes = event(30, 90, EventKind::Changes { per_day: 2_880.0, step: 30 * SECOND });
    let outcome = run(&quiet(&Size { capacity, ..size(250) }, vec![changes]));
    assert!(outcome.replicas[0].rejected > 0, "{outcome:?}");
    assert!(outcome.replicas[0].longest_queue <= 3 * SECOND);
    assert!(outcome.latencies.quantile(1.0) > Some(5 * SECOND), "sending alone takes five seconds");
    assert_all_caught_up(&outcome);
}

#[test]
fn nodes_starting_at_once_wait_at_least_as_long_as_sending_all_lists_takes() {
    let outcome = run(&named("all-start", &size(200)).expect("a scene"));
    assert_eq!((outcome.launches, outcome.lists.count(), outcome.without_list), (200, 200, 0));
    // 200 calls of 10 lines with lists of 40 lines, at 1,000 lines per second.
    assert_eq!(outcome.sending_takes, 10 * SECOND);
    assert!(outcome.lists.quantile(1.0) >= Some(10 * SECOND), "{outcome:?}");
    assert!(
        outcome.replicas[0].rejected > 0,
        "the calls at the start exceed the queue limit of three seconds"
    );
    assert_eq!(outcome.replicas[0].snapshots, 200);
}

#[test]
fn a_region_that_is_cut_off_receives_all_changes_after_it_is_reconnected() {
    let several = Size { replicas: 3, mechanism: true, ..size(68) };
    let changes = event(20, 60, EventKind::Changes { per_day: 20_000.0, step: SECOND });
    let cut = |region, at| (Duration::from_secs(at), SceneEvent::CutOff { region });
    let back = |region, at| (Duration::from_secs(at), SceneEvent::Reconnect { region });
    let scene = quiet(&several, vec![changes]);
    let connected = run(&scene);
    assert!(connected.latencies.quantile(1.0) < Some(SECOND), "{connected:?}");
    // Region 0 has its own replica and region 13 has none. Neither receives changes until it is reconnected.
    for region in [0, 13] {
        let outcome = run(&scene.clone().with([cut(region, 10), back(region, 110)]));
        assert!(outcome.latencies.quantile(1.0) > Some(60 * SECOND), "region {region}: {outcome:?}");
        assert!(outcome.latencies.quantile(0.5) < Some(SECOND), "the others receive changes as before");
        assert_all_caught_up(&outcome);
        // Without a reconnect, some changes never arrive.
        let never = run(&scene.clone().with([cut(region, 10)]));
        assert!(never.never > 0 && never.went_back == 0, "region {region}: {never:?}");
    }
}

#[test]
fn calls_to_an_unavailable_replica_fail_to_connect_and_calls_to_a_silent_one_time_out() {
    let changes = event(20, 60, EventKind::Changes { per_day: 20_000.0, step: SECOND });
    let away = run(&quiet(&size(50), vec![changes.clone(), event(30, 20, EventKind::DiscoveryAway)]));
    assert!(away.unreached > 0 && away.overdue == 0, "{away:?}");
    assert!(away.latencies.quantile(1.0) > Some(15 * SECOND));
    assert_all_caught_up(&away);
    let silent = EventKind::ReplicaSilent { replica: Some(0) };
    let silent = run(&quiet(&size(50), vec![changes.clone(), event(30, 40, silent)]));
    assert!(silent.overdue > 0 && silent.unreached == 0, "{silent:?}");
    assert_all_caught_up(&silent);
    let lagging = EventKind::ReplicaLagging { replica: Some(0), lag: 7 * SECOND };
    let lagging = run(&quiet(&size(50), vec![changes, event(0, 120, lagging)]));
    assert!(lagging.latencies.quantile(0.0) >= Some(7 * SECOND), "{lagging:?}");
    assert_all_caught_up(&lagging);
}

/// A client that requests snapshots from two replicas in turn and applies them without checking their
/// versions.
struct TrustingClient {
    replica: u32,
}

impl ClientDecisionLogic for TrustingClient {
    fn next_call(&mut self, _now: Duration, _random: &mut dyn FnMut() -> f64) -> NextCall {
        self.replica = 1 - self.replica;
        let timeout = 3 * SECOND;
        NextCall {
            replica: self.replica,
            after: None,
            wait: Duration::ZERO,
            timeout,
            connect_timeout: SECOND,
        }
    }

    fn call_ended(
        &mut self,
        _now: Duration,
        outcome: CallOutcome,
        _random: &mut dyn FnMut() -> f64,
    ) -> AfterCall {
        let applied = match outcome {
            CallOutcome::Answered { response, .. } => Some(response.version),
            _ => None,
        };
        AfterCall { pause: SECOND, applied }
    }
}

/// Guards against a `went_back` count that never increases: a client that applies older lists must raise it,
/// and the real client must not.
#[test]
fn only_a_client_that_applies_older_lists_is_counted_as_going_back() {
    let two = Size { replicas: 2, mechanism: true, ..size(5) };
    let changes = event(20, 60, EventKind::Changes { per_day: 20_000.0, step: SECOND });
    let lagging = EventKind::ReplicaLagging { replica: Some(1), lag: 10 * SECOND };
    let scene = quiet(&two, vec![changes, event(0, 120, lagging)]);
    let trusting = run_with(&scene, &mut |_| Box::new(TrustingClient { replica: 0 }));
    assert!(trusting.went_back > 10, "{trusting:?}");
    assert_all_caught_up(&run(&scene));
}

/// Guards against a `never` count that never increases: an outage that lasts until the end must raise it.
#[test]
fn changes_that_never_arrive_in_an_outage_until_the_end_are_counted() {
    let changes = event(20, 60, EventKind::Changes { per_day: 20_000.0, step: SECOND });
    let scene = quiet(&size(5), vec![changes, event(30, 90, EventKind::DiscoveryAway)]);
    let without_catch_up = ScaleScript { catch_up: Duration::ZERO, ..scene.script.clone() };
    let outcome = run(&Scene { script: without_catch_up, ..scene });
    assert!(outcome.never > 0, "{outcome:?}");
    assert_eq!(outcome.never + outcome.latencies.count(), outcome.changes * 5);
}

#[test]
fn every_named_scene_exists_and_errors_name_unknown_scenes_and_unsupported_events() {
    for name in names() {
        let scene = named(name, &size(10)).unwrap_or_else(|error| panic!("{name}: {error}"));
        assert_eq!((scene.script.name.as_str(), scene.script.nodes), (name, 10));
        assert!(scene.events.windows(2).all(|pair| pair[0].0 <= pair[1].0), "{name}");
    }
    assert!(VIRTUAL_ONLY.iter().all(|(name, _)| names().any(|known| known == *name)));
    let unknown = named("quake", &size(10)).expect_err("no scene");
    assert_eq!(unknown.to_string(), "quake: expected the name of a scene or a script's file");
    let reset = event(1, 1, EventKind::ReplicaReset { replica: None, versions: false });
    let script = ScaleScript { events: vec![reset], ..quiet(&size(10), Vec::new()).script };
    assert_eq!(Scene::of_script(script), Err(SceneError::UnsupportedEvent { kind: "replica-reset" }));
}

/// Returns whether no replica processed lines faster than its capacity allows.
fn within_capacity(sent: &[SentLines], capacity: &ReplicaCapacity) -> bool {
    let mut done: BTreeMap<u32, Duration> = BTreeMap::new();
    let slack = Duration::from_nanos(10);
    sent.iter().all(|sent| {
        let before = done.insert(sent.replica, sent.at).unwrap_or_default();
        let takes = Duration::from_secs_f64(sent.lines / capacity.lines_per_second);
        sent.at + slack >= before + takes
    })
}

fn arbitrary_event() -> impl Strategy<Value = Event> {
    let step = 1..5_u32;
    let kind = prop_oneof![
        (1_000.0..100_000.0, step)
            .prop_map(|(per_day, step)| EventKind::Changes { per_day, step: SECOND * step }),
        (1_000.0..100_000.0).prop_map(|per_day| EventKind::Restarts {
            per_day,
            downtime: SECOND,
            nodes_only: false
        }),
        (0..34u32).prop_map(|zone| EventKind::Zone { zone: Some(zone) }),
        Just(EventKind::ReplicaLost { replica: None }),
        Just(EventKind::ReplicaSilent { replica: None }),
        (1..10u32).prop_map(|lag| EventKind::ReplicaLagging { replica: None, lag: SECOND * lag }),
        Just(EventKind::DiscoveryAway),
    ];
    (0..60u64, 1..60u64, kind).prop_map(|(at, duration, kind)| event(at, duration, kind))
}

/// Generates small scenes with arbitrary events and partitions, all of which end before the scene does.
fn arbitrary_scene() -> impl Strategy<Value = Scene> {
    let capacity = (200.0..2_000.0, prop::sample::select(vec![0.0, 1.0, 10.0]), 500..5_000u64);
    let sizes = (1..80u32, 1..30u32, 1..5u32, any::<u64>());
    let cuts = prop::collection::vec((0..14u32, 0..60u64, 1..60u64), 0..3);
    (sizes, capacity, prop::collection::vec(arbitrary_event(), 0..6), cuts).prop_map(
        |(
            (nodes, servers, replicas, seed),
            (lines_per_second, continued_call_lines, queue_limit_ms),
            events,
            cuts,
        )| {
            let capacity =
                ReplicaCapacity { lines_per_second, call_lines: 10.0, continued_call_lines, queue_limit_ms };
            let size = Size { nodes, servers, replicas, mechanism: true, capacity, seed };
            let cuts = cuts.into_iter().flat_map(|(region, at, duration)| {
                let (at, to) = (Duration::from_secs(at), Duration::from_secs(at + duration));
                [(at, SceneEvent::CutOff { region }), (to, SceneEvent::Reconnect { region })]
            });
            quiet(&size, events).with(cuts)
        },
    )
}

proptest! {
    #![proptest_config(cases(64))]

    #[test]
    fn versions_never_go_back_and_all_nodes_catch_up(scene in arbitrary_scene()) {
        let outcome = run(&scene);
        prop_assert_eq!((outcome.went_back, outcome.never, outcome.without_list), (0, 0, 0), "{:?}", outcome);
    }

    #[test]
    fn replicas_never_exceed_their_capacity_or_queue_limit(scene in arbitrary_scene()) {
        let capacity = scene.script.capacity;
        let (outcome, sent) = run_traced(&scene);
        prop_assert!(within_capacity(&sent, &capacity));
        let limit = Duration::from_millis(capacity.queue_limit_ms);
        prop_assert!(outcome.replicas.iter().all(|replica| replica.longest_queue <= limit), "{:?}", outcome);
        let lines: f64 = sent.iter().map(|sent| sent.lines).sum();
        prop_assert!(outcome.total(|replica| replica.lines) <= lines + 1e-6);
    }

    #[test]
    fn the_same_scene_gives_the_same_outcome(scene in arbitrary_scene()) {
        prop_assert_eq!(run(&scene), run(&scene));
    }
}
