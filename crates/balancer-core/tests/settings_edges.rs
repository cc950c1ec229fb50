//! Tests of extreme settings. External settings must not make a node hang: each event must be handled with a
//! bounded number of actions.

use balancer_core::*;
use proptest::prelude::*;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

/// Time limit for all events of a run; far longer than they take.
const TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum number of actions for one event of a node with few requests.
const MAX_ACTIONS: usize = 20;
const EVENTS: u64 = 40;

/// Generates durations at or near the ends of their range.
fn edge_time() -> impl Strategy<Value = Duration> {
    let micros = prop_oneof![Just(0), Just(1), Just(9), Just(10), 0..20_000_u64, Just(u64::MAX / 1_000_000)];
    micros.prop_map(Duration::from_micros)
}

fn edge_settings() -> impl Strategy<Value = Settings> {
    let times = (edge_time(), edge_time(), edge_time(), edge_time());
    let counts = (0..3_u32, prop_oneof![Just(0), Just(1), Just(16), Just(u32::MAX)]);
    (times, counts, 0.0..=1.0_f64).prop_map(
        |((objective, deadline, window, retry_after), counts, fraction)| {
            let class = RequestClass {
                name: "edge".into(),
                idempotency: Idempotency::WithKey { scope: DeduplicationScope::All, window },
                latency_objective: objective,
                deadline,
                ..RequestClass::default()
            };
            Settings {
                classes: vec![class],
                max_attempts: counts.0,
                nodes: counts.1,
                max_retry_after: retry_after,
                slow_start_min_fraction: fraction,
                slow_start_window: window,
                slow_start_overload_window: objective,
                discovery_is_polled: true,
                ..Settings::default()
            }
        },
    )
}

/// Sends requests that are never answered, so that the servers run out of capacity, with an expired timer
/// after each. Returns the maximum number of actions of one event.
fn most_actions(settings: Settings, time_left: Duration) -> usize {
    let mut balancer = Balancer::new(settings, 1);
    let mut now = Timestamp::from_micros(3_000_000_000);
    let mut most = 0;
    let mut handle = |now, event| {
        let mut actions = Vec::new();
        balancer.handle(now, event, &mut actions);
        most = most.max(actions.len());
    };
    let servers = vec![Endpoint::new("a"), Endpoint::new("b")];
    handle(now, Event::EndpointsUpdated(EndpointUpdate::Snapshot(servers.into())));
    for number in 0..EVENTS {
        let request = Request::new(&number.to_string(), now + time_left);
        handle(now, Event::Request(Request { class: Some(ClassId(0)), key: Some(7), ..request }));
        handle(now, Event::TimerExpired);
        now = now + Duration::from_micros(number % 3);
    }
    most
}

/// Runs `run` in a separate thread, since it may never return, and panics after [`TIMEOUT`].
fn within_time<T: Send + 'static>(run: impl FnOnce() -> T + Send + 'static) -> T {
    let (sender, receiver) = mpsc::channel();
    thread::spawn(move || sender.send(run()));
    receiver.recv_timeout(TIMEOUT).expect("all events are handled within the time limit")
}

/// With a latency objective of 0, the next try of a queued request was due immediately, which caused an
/// endless loop.
#[test]
fn a_latency_objective_of_zero_does_not_block_the_node() {
    let class = RequestClass { latency_objective: Duration::ZERO, ..RequestClass::default() };
    let settings = Settings { classes: vec![class], max_attempts: 1, nodes: 16, ..Settings::default() };
    let most = within_time(move || most_actions(settings, Duration::from_millis(400)));
    assert!(most <= MAX_ACTIONS, "{most}");
}

proptest! {
    // Cases that time out are not shrunk, since each try would take the whole time limit.
    #![proptest_config(ProptestConfig { max_shrink_iters: 0, ..ProptestConfig::default() })]
    #[test]
    fn each_event_is_handled_with_few_actions(settings in edge_settings(), time_left in edge_time()) {
        let most = within_time(move || most_actions(settings, time_left));
        prop_assert!(most <= MAX_ACTIONS, "{}", most);
    }
}
