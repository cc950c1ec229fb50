//! Tests of rules 1 to 3 (see `common`), individually and under random valid sequences of events with fixed
//! seeds.

mod common;
use balancer_core::*;
use common::*;
use std::time::Duration;

#[test]
fn a_request_that_is_not_idempotent_is_retried_only_if_it_never_ran() {
    let mut node = Node::with_servers(settings(), 3);
    let id = node.request(2, 7, ms(400));
    node.answer(&id, AttemptStatus::QueueFull);
    let (attempt, _) = node.in_flight(&id).expect("a request that never ran is retried");
    assert_eq!(attempt, 1);
    let actions = node.answer(&id, AttemptStatus::TimedOut);
    assert_eq!(actions, [Action::Fail { id }], "a request that may have run is neither retried nor rejected");
}

#[test]
fn a_request_with_an_idempotency_key_is_not_retried_after_its_window() {
    let mut node = Node::with_servers(settings(), 3);
    let id = node.request(1, 7, ms(5_000));
    node.advance(ms(500));
    node.answer(&id, AttemptStatus::Failed);
    assert!(node.in_flight(&id).is_some(), "the request is retried within its window");
    node.advance(ms(600));
    node.answer(&id, AttemptStatus::Failed);
    assert!(node.in_flight(&id).is_none(), "the first attempt is 1.1 s old");
    assert!(node.requests[&id].finished);
}

#[test]
fn a_request_with_an_idempotency_key_stays_in_its_scope() {
    let mut settings = settings();
    settings.classes[1].idempotency =
        Idempotency::WithKey { scope: DeduplicationScope::Cell, window: ms(1000) };
    let mut node = Node::new(settings, 1);
    node.apply_snapshot(
        (0..6u64).map(|i| Endpoint { cell: i % 3, ..Endpoint::new(&format!("s{i}")) }).collect(),
    );
    let mut retried = 0;
    for key in 0..30 {
        let id = node.request(1, key, ms(400));
        node.answer(&id, AttemptStatus::Failed);
        // `Node` checks the cell. This test checks that requests are retried at all.
        retried += usize::from(node.in_flight(&id).is_some());
        if node.in_flight(&id).is_some() {
            node.answer(&id, AttemptStatus::Ok);
        }
        node.advance(ms(100));
    }
    assert!(retried > 5, "{retried} of 30 were retried");
}

#[test]
fn a_draining_or_removed_server_receives_no_new_requests() {
    let mut node = Node::with_servers(settings(), 2);
    let own = node.call(7, AttemptStatus::Ok).expect("served");
    let own_in = |state| Endpoint { state, ..Endpoint::new(own.as_str()) };
    node.apply_delta(vec![own_in(EndpointState::Draining)]);
    assert_ne!(node.call(7, AttemptStatus::Ok), Some(own.clone()));
    node.apply_delta(vec![own_in(EndpointState::Removed)]);
    assert_ne!(node.call(7, AttemptStatus::Ok), Some(own.clone()));
    node.apply_delta(vec![own_in(EndpointState::Ready)]);
    assert_eq!(node.call(7, AttemptStatus::Ok), Some(own), "a server that is listed again is used again");
}

#[test]
fn a_request_is_answered_immediately_without_servers() {
    let mut node = Node::new(settings(), 1);
    for class in 0..3 {
        let id = node.request(class, 7, ms(400));
        assert!(node.requests[&id].finished);
    }
    node.apply_snapshot(Vec::new());
    let id = node.request(0, 7, ms(400));
    assert!(node.requests[&id].finished);
}

#[test]
fn a_request_past_its_deadline_is_answered_immediately() {
    let mut node = Node::with_servers(settings(), 2);
    let id = node.request(0, 7, Duration::ZERO);
    assert!(node.requests[&id].finished && node.requests[&id].attempts.is_empty());
}

#[test]
fn a_request_without_a_class_is_not_idempotent() {
    let mut node = Node::with_servers(settings(), 2);
    let id = node.submit(Request::new("odd", node.now + ms(400)));
    assert_eq!(node.answer(&id, AttemptStatus::Failed), [Action::Fail { id }]);
}

#[test]
fn events_of_finished_requests_have_no_effect() {
    let mut node = Node::with_servers(settings(), 2);
    let id = node.request(0, 7, ms(400));
    node.requests.get_mut(&id).expect("known").finished = true;
    assert_eq!(node.handle(Event::RequestCancelled(id.clone())), []);
    assert_eq!(node.handle(Event::RequestCancelled(id.clone())), []);
    // A late result must not restart the request.
    assert_eq!(node.answer(&id, AttemptStatus::Failed), []);
    assert_eq!(node.handle(Event::TimerExpired), []);
    assert_eq!(node.handle(Event::ResponseStarted { id: "unknown".into() }), []);
}

#[test]
fn a_failed_subscription_is_tried_again() {
    let mut node = Node::new(Settings { discovery_is_polled: true, ..settings() }, 1);
    assert!(node.handle(Event::EndpointsRestored(Vec::new().into())).contains(&Action::SubscribeToEndpoints));
    assert_eq!(node.handle(Event::TimerExpired), [], "no second subscription without a failure");
    let actions = node.handle(Event::EndpointsUpdated(EndpointUpdate::Unavailable));
    assert!(
        matches!(&actions[..], [Action::SetTimer { .. }]),
        "the subscription is retried after a delay: {actions:?}"
    );
    node.advance(ms(5_000));
    assert_eq!(node.actions.iter().filter(|action| **action == Action::SubscribeToEndpoints).count(), 2);
}

/// Runs a node through random events, servers and requests that the seed determines. Returns the actions.
fn run_arbitrary_events(seed: u64) -> Vec<Action> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let (settings, origin) = arbitrary_settings(&mut rng);
    let mut node = Node::new(settings, seed);
    for _ in 0..600 {
        arbitrary_event(&mut rng, &mut node, &origin);
    }
    node.advance(ms(1_000));
    node.actions
}

/// Returns settings, and the origin, which is on each endpoint list.
fn arbitrary_settings(rng: &mut fastrand::Rng) -> (Settings, Endpoint) {
    let scopes = [DeduplicationScope::All, DeduplicationScope::Zone, DeduplicationScope::Cell];
    let (mut settings, origin) = if rng.bool() { aside() } else { (settings(), Endpoint::new("zz")) };
    settings.classes[1].idempotency =
        Idempotency::WithKey { scope: scopes[rng.usize(0..3)], window: ms(rng.u64(1..900)) };
    settings.hedging_allowed = rng.bool();
    settings.cancellation_allowed = rng.bool();
    settings.health_checks_allowed = rng.bool();
    settings.discovery_is_polled = rng.bool();
    settings.max_attempts = rng.u32(1..7);
    (settings, origin)
}

fn arbitrary_event(rng: &mut fastrand::Rng, node: &mut Node, origin: &Endpoint) {
    match rng.u32(0..20) {
        0 => {
            let mut endpoints = vec![origin.clone()];
            for server in 0..rng.u64(0..9) {
                let endpoint = arbitrary_endpoint(rng, server, node.now);
                endpoints.extend((endpoint.state != EndpointState::Removed).then_some(endpoint));
            }
            node.apply_snapshot(endpoints);
        }
        1 => {
            let server = rng.u64(0..9);
            let changed = arbitrary_endpoint(rng, server, node.now);
            node.apply_delta(vec![changed]);
        }
        2..=8 => {
            let request = arbitrary_request(rng, node);
            node.submit(request);
        }
        9..=14 => {
            let in_flight = node.ids_in_flight();
            if !in_flight.is_empty() {
                use AttemptStatus::*;
                let all = [Ok, Miss, Failed, QueueFull, TimedOut, ConnectError, Reset, Canceled, NotSent];
                node.answer(&in_flight[rng.usize(0..in_flight.len())], all[rng.usize(0..9)]);
            }
        }
        15 => {
            let unfinished = node.requests.iter_mut().find(|(_, request)| !request.finished);
            if let Some((id, request)) = unfinished {
                request.finished = true;
                let id = id.clone();
                node.handle(Event::RequestCancelled(id));
            }
        }
        16 => {
            node.handle(Event::EndpointsUpdated(EndpointUpdate::Unavailable));
        }
        _ => node.advance(ms(rng.u64(0..120))),
    }
}

fn arbitrary_endpoint(rng: &mut fastrand::Rng, server: u64, now: Timestamp) -> Endpoint {
    Endpoint {
        zone: Some(Name::from(["x", "y"][rng.usize(0..2)])),
        cell: rng.u64(0..3),
        weight: [0.0, 0.5, 1.0, 4.0, f64::NAN][rng.usize(0..5)],
        state: [EndpointState::Ready, EndpointState::Draining, EndpointState::Removed]
            [rng.usize(0..9).max(6) - 6],
        started_at: rng.bool().then_some(Timestamp::from_micros(now.as_micros() - rng.u64(0..9_000_000))),
        ..Endpoint::new(&format!("s{server}"))
    }
}

fn arbitrary_request(rng: &mut fastrand::Rng, node: &Node) -> Request {
    let mut request = Request::new(&format!("q{}", node.requests.len()), node.now);
    request.class = rng.usize(0..4).checked_sub(1).map(ClassId);
    request.key = rng.bool().then(|| rng.u64(0..6));
    request.deadline = node.now + ms(rng.u64(0..600));
    request.write = rng.u8(0..5) == 0;
    request.client_retry = rng.bool();
    request.expected_work = rng.bool().then(|| ms(rng.u64(0..100)));
    request
}

#[test]
fn arbitrary_valid_events_break_no_rule() {
    for seed in 0..150 {
        let _seed = SeedOfFailure(seed);
        run_arbitrary_events(seed);
    }
}

/// Prints the seed of a run that panics.
struct SeedOfFailure(u64);

impl Drop for SeedOfFailure {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("the run with seed {} panicked", self.0);
        }
    }
}

#[test]
fn equal_events_give_equal_actions() {
    for seed in [3, 58] {
        assert_eq!(run_arbitrary_events(seed), run_arbitrary_events(seed));
    }
}

#[test]
fn a_result_of_an_unknown_attempt_does_not_lose_the_request() {
    let mut node = Node::with_servers(settings(), 2);
    let id = node.request(0, 7, ms(400));
    let (_, server) = node.in_flight(&id).expect("sent");
    let stray = AttemptOutcome {
        id: id.clone(),
        attempt: 9,
        server,
        status: AttemptStatus::Failed,
        cache_result: None,
        elapsed: ms(1),
        request_finished: false,
        load: LoadReport::default(),
    };
    assert_eq!(node.handle(Event::AttemptEnded(stray)), []);
    node.advance(ms(500));
    assert!(node.requests[&id].finished);
}
