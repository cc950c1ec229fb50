//! Tests of the learned state that a balancer hands over to its successor.

mod common;

use balancer_core::*;
use common::{ms, settings, Node};
use std::sync::Arc;

/// Returns a successor of this node with the same endpoint list, a different seed and a different clock. It
/// restores the learned state if `restores` is true.
fn successor(before: &Node, restores: bool) -> Node {
    let mut node = Node::new(before.settings.clone(), 2);
    node.now = Timestamp::from_micros(77_000_000_000);
    node.apply_snapshot(before.endpoints.values().cloned().collect());
    if restores {
        let learned = before.balancer.learned_state(before.now);
        // The state is handed over as JSON.
        let text = serde_json::to_string(&learned).unwrap();
        assert_eq!(serde_json::from_str::<LearnedState>(&text).unwrap(), learned);
        node.handle(Event::StateRestored(Arc::new(learned)));
    }
    node
}

/// Opens the breaker of the server of this key. Returns the server.
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
    assert_eq!(fresh.call(7, AttemptStatus::Ok), Some(own.clone()), "a new node uses the server");
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

/// If the state learned about a server were applied to a later incarnation with the same id, the new
/// incarnation would be ejected for failures of the previous one.
#[test]
fn state_of_an_earlier_incarnation_is_not_restored() {
    let mut before = Node::with_servers(settings(), 4);
    let own = eject(&mut before, 7);
    let learned = before.balancer.learned_state(before.now);
    let mut node = Node::new(before.settings.clone(), 2);
    let started_at = Timestamp::from_micros(1_000_000);
    let restarted =
        |entry: &Endpoint| Endpoint { started_at: (entry.id == own).then_some(started_at), ..entry.clone() };
    node.apply_snapshot(before.endpoints.values().map(restarted).collect());
    node.handle(Event::StateRestored(Arc::new(learned)));
    assert_eq!(node.call(7, AttemptStatus::Ok), Some(own));
}

/// If the successor did not count the requests that its predecessor sent to a warming server, the server
/// would receive its allowance twice, once from each process.
#[test]
fn a_successor_counts_requests_already_sent_to_a_warming_server() {
    let settings =
        Settings { nodes: 1, slow_start_min_fraction: 0.3, slow_start_window: ms(60_000), ..settings() };
    let mut before = Node::new(settings, 1);
    let warming = Endpoint { started_at: Some(before.now), ..Endpoint::new("cold") };
    let warm = Endpoint { weight: 0.001, ..Endpoint::new("warm") };
    before.apply_snapshot(vec![warming, warm]);
    // Prompt answers increase the allowance of a warming server.
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
fn a_successor_makes_the_same_decisions_as_its_predecessor() {
    // The decisions are the same if the seed and the clock are the same.
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

/// A corrupted hand-over may contain invalid numbers, such as negative limits or times out of range. The
/// successor must still answer every request.
#[test]
fn every_request_is_answered_after_numbers_out_of_range() {
    let before = Node::with_servers(settings(), 3);
    let valid = serde_json::to_value(before.balancer.learned_state(before.now)).unwrap();
    let mut corrupted = valid.clone();
    replace_numbers(&mut corrupted);
    assert_ne!(corrupted, valid);
    let learned: LearnedState = serde_json::from_value(corrupted).expect("the same fields and types");
    let mut node = Node::with_servers(settings(), 3);
    node.handle(Event::StateRestored(Arc::new(learned)));
    for key in 0..300 {
        node.call(key, AttemptStatus::Ok);
        node.advance(ms(50));
    }
    node.advance(ms(13_000));
    assert!((0..300).filter(|&key| node.call(key, AttemptStatus::Ok).is_some()).count() > 250);
}

/// Replaces every number by an extreme one of the same type.
fn replace_numbers(value: &mut serde_json::Value) {
    match value {
        serde_json::Value::Number(number) if number.is_f64() => *value = (-1e300).into(),
        serde_json::Value::Number(_) => *value = u32::MAX.into(),
        serde_json::Value::Array(items) => items.iter_mut().for_each(replace_numbers),
        serde_json::Value::Object(fields) => fields.values_mut().for_each(replace_numbers),
        _ => {}
    }
}

/// Processes of other versions read and write the learned state. If a rename in the code changed a serialized
/// name, a process could not hand over to a successor of another version, which would start without learned
/// state.
#[test]
fn serialized_names_are_compatible_with_other_versions() {
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
