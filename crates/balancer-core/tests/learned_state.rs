//! What a balancer has learned and its successor takes on.

mod common;

use balancer_core::*;
use common::{ms, settings, Node};
use std::sync::Arc;

/// The successor of this node's balancer, with the same list, another seed and a clock of its own. It takes on the learned state
/// if `restores`.
fn successor(before: &Node, restores: bool) -> Node {
    let mut node = Node::new(before.settings.clone(), 2);
    node.now = Timestamp::from_micros(77_000_000_000);
    node.apply_snapshot(before.endpoints.values().cloned().collect());
    if restores {
        let learned = before.balancer.learned_state(before.now);
        // It is handed over as JSON.
        let text = serde_json::to_string(&learned).unwrap();
        assert_eq!(serde_json::from_str::<LearnedState>(&text).unwrap(), learned);
        node.handle(Event::StateRestored(Arc::new(learned)));
    }
    node
}

/// Opens the breaker of the server that the key goes to. Returns the server.
fn eject(node: &mut Node, key: u64) -> ServerId {
    let own = node.call(key, AttemptStatus::Reset).expect("sent");
    for _ in 0..8 {
        node.call(key, AttemptStatus::Reset);
    }
    own
}

#[test]
fn an_open_breaker_stays_open_for_its_remaining_time() {
    let mut before = Node::with_servers(settings(), 4);
    let own = eject(&mut before, 7);
    before.advance(ms(2_000));
    let mut fresh = successor(&before, false);
    assert_eq!(fresh.call(7, AttemptStatus::Ok), Some(own.clone()), "a new node sends there");
    let mut node = successor(&before, true);
    assert_ne!(node.call(7, AttemptStatus::Ok), Some(own.clone()));
    node.advance(ms(3_900));
    assert_ne!(node.call(7, AttemptStatus::Ok), Some(own.clone()));
    node.advance(ms(200));
    assert_eq!(node.call(7, AttemptStatus::Ok), Some(own));
}

#[test]
fn failed_calls_count_towards_the_same_window() {
    let mut before = Node::with_servers(settings(), 4);
    let own = before.call(7, AttemptStatus::Reset).expect("sent");
    before.call(7, AttemptStatus::Reset);
    for (restores, ejected) in [(false, false), (true, true)] {
        let mut node = successor(&before, restores);
        node.call(7, AttemptStatus::Reset);
        assert_eq!(node.call(7, AttemptStatus::Ok) != Some(own.clone()), ejected);
    }
}

/// If what was learned of a server were applied to the incarnation that has started since under its id,
/// that one would be ejected for the faults of the one before.
#[test]
fn a_restarted_server_is_not_held_to_what_was_learned_before() {
    let mut before = Node::with_servers(settings(), 4);
    let own = eject(&mut before, 7);
    let learned = before.balancer.learned_state(before.now);
    let mut node = Node::new(before.settings.clone(), 2);
    let long_ago = Timestamp::from_micros(1_000_000);
    let started =
        |entry: &Endpoint| Endpoint { started_at: (entry.id == own).then_some(long_ago), ..entry.clone() };
    node.apply_snapshot(before.endpoints.values().map(started).collect());
    node.handle(Event::StateRestored(Arc::new(learned)));
    assert_eq!(node.call(7, AttemptStatus::Ok), Some(own));
}

/// If the requests that the predecessor sent a warming server were forgotten, the server would get its
/// allowance twice, from the old process and from the new one.
#[test]
fn requests_sent_to_a_warming_server_count_on() {
    let settings =
        Settings { nodes: 1, slow_start_min_fraction: 0.3, slow_start_window: ms(60_000), ..settings() };
    let mut before = Node::new(settings, 1);
    let warming = Endpoint { started_at: Some(before.now), ..Endpoint::new("cold") };
    let warm = Endpoint { weight: 0.001, ..Endpoint::new("warm") };
    before.apply_snapshot(vec![warming, warm]);
    // The allowance of a warming server is earned by prompt answers.
    for key in 0..200 {
        before.call(key, AttemptStatus::Ok);
    }
    let sent_to_warming = |node: &mut Node, keys: std::ops::Range<u64>| {
        keys.filter(|&key| node.call(key, AttemptStatus::Ok).is_some_and(|server| server.as_str() == "cold"))
            .count()
    };
    let before_handover = sent_to_warming(&mut before, 1_000..1_400);
    let learned = Arc::new(before.balancer.learned_state(before.now));
    let mut successor = Node::new(before.settings.clone(), 1);
    successor.now = before.now;
    successor.apply_snapshot(before.endpoints.values().cloned().collect());
    successor.handle(Event::StateRestored(learned));
    assert_eq!(sent_to_warming(&mut successor, 2_000..2_001), 0, "{before_handover} before");
    successor.advance(ms(1_000));
    assert!(sent_to_warming(&mut successor, 3_000..3_010) > 0);
}

#[test]
fn a_successor_goes_on_as_its_predecessor_would() {
    // With an equal seed and clock it takes the same decisions.
    let mut before = Node::with_servers(settings(), 5);
    let run = |node: &mut Node, from: u64| {
        let mut servers = Vec::new();
        for step in from..from + 200 {
            let status = [AttemptStatus::Ok, AttemptStatus::Ok, AttemptStatus::Ok, AttemptStatus::Reset]
                [(step % 4) as usize];
            servers.push(node.call(step % 31, status));
            node.advance(ms(11));
        }
        servers
    };
    run(&mut before, 0);
    let learned = Arc::new(before.balancer.learned_state(before.now));
    let mut successor = Node::new(before.settings.clone(), 1);
    successor.now = before.now;
    successor.apply_snapshot(before.endpoints.values().cloned().collect());
    successor.handle(Event::StateRestored(learned.clone()));
    assert_eq!(*learned, successor.balancer.learned_state(successor.now));
    assert_eq!(run(&mut before, 200), run(&mut successor, 200));
}

/// A damaged hand-over may hold invalid numbers: a limit that is none, times beyond the end of
/// any clock. The successor must still answer every request.
#[test]
fn every_request_is_answered_after_numbers_out_of_range() {
    let before = Node::with_servers(settings(), 3);
    let text = serde_json::to_value(before.balancer.learned_state(before.now)).unwrap();
    let mut damaged = text.clone();
    damage(&mut damaged);
    assert_ne!(damaged, text);
    let learned: LearnedState = serde_json::from_value(damaged).expect("of the same shape");
    let mut node = Node::with_servers(settings(), 3);
    node.handle(Event::StateRestored(Arc::new(learned)));
    for key in 0..300 {
        node.call(key, AttemptStatus::Ok);
        node.advance(ms(50));
    }
    node.advance(ms(13_000));
    assert!((0..300).filter(|&key| node.call(key, AttemptStatus::Ok).is_some()).count() > 250);
}

/// Replaces every number by an extreme one that fits.
fn damage(value: &mut serde_json::Value) {
    match value {
        serde_json::Value::Number(number) if number.is_f64() => *value = (-1e300).into(),
        serde_json::Value::Number(_) => *value = u32::MAX.into(),
        serde_json::Value::Array(items) => items.iter_mut().for_each(damage),
        serde_json::Value::Object(fields) => fields.values_mut().for_each(damage),
        _ => {}
    }
}

/// Processes of other versions read and write the learned state. If a name changed with the code, a predecessor and a
/// successor of two versions could not hand over, and the successor would have to learn everything anew.
#[test]
fn serialized_names_are_those_that_other_versions_read() {
    let mut node = Node::with_servers(settings(), 1);
    node.call(7, AttemptStatus::Ok);
    let learned = serde_json::to_value(node.balancer.learned_state(node.now)).unwrap();
    let names = |value: &serde_json::Value| {
        let mut names: Vec<_> = value.as_object().expect("an object").keys().cloned().collect();
        names.sort();
        names.join(" ")
    };
    assert_eq!(
        names(&learned),
        "door ends fetch_limit good kept kinds origin retry_budget servers usual usual_work warm warm_age"
    );
    let server = &learned["servers"][0];
    assert_eq!(names(server), "breaker by_class id limit started unqueued_age used");
    assert_eq!(names(&server["breaker"]), "calls failures open_left usual window_left");
    assert_eq!(names(&learned["kinds"][0]), "answers name pace");
}
