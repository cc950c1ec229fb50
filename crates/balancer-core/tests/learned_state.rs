//! What one life of a balancer learned and the next one takes on.

mod common;

use balancer_core::*;
use common::{ms, settings, Node};
use std::sync::Arc;

/// The next life of this node's balancer: it has the same list, another seed and a clock of its own.
fn successor(before: &Node, recalls: bool) -> Node {
    let mut node = Node::new(before.settings.clone(), 2);
    node.now = Timestamp::from_micros(77_000_000_000);
    node.apply_snapshot(before.endpoints.values().cloned().collect());
    if recalls {
        let known = before.balancer.knowledge(before.now);
        // Over a link it goes as text.
        let text = serde_json::to_string(&known).unwrap();
        assert_eq!(serde_json::from_str::<LearnedState>(&text).unwrap(), known);
        node.handle(Event::StateRestored(Arc::new(known)));
    }
    node
}

/// Trips the breaker of the server that the key goes to.
fn trip(node: &mut Node, key: u64) -> ServerId {
    let home = node.call(key, AttemptStatus::Reset).expect("sent");
    for _ in 0..8 {
        node.call(key, AttemptStatus::Reset);
    }
    home
}

#[test]
fn an_open_breaker_stays_open_for_its_remaining_time() {
    let mut before = Node::with_servers(settings(), 4);
    let home = trip(&mut before, 7);
    before.advance(ms(2_000));
    let mut fresh = successor(&before, false);
    assert_eq!(fresh.call(7, AttemptStatus::Ok), Some(home.clone()), "one that knows nothing sends there");
    let mut node = successor(&before, true);
    assert_ne!(node.call(7, AttemptStatus::Ok), Some(home.clone()));
    node.advance(ms(3_900));
    assert_ne!(node.call(7, AttemptStatus::Ok), Some(home.clone()));
    node.advance(ms(200));
    assert_eq!(node.call(7, AttemptStatus::Ok), Some(home));
}

#[test]
fn failed_calls_count_towards_the_same_window() {
    let mut before = Node::with_servers(settings(), 4);
    let home = before.call(7, AttemptStatus::Reset).expect("sent");
    before.call(7, AttemptStatus::Reset);
    for (recalls, trips) in [(false, false), (true, true)] {
        let mut node = successor(&before, recalls);
        node.call(7, AttemptStatus::Reset);
        assert_eq!(node.call(7, AttemptStatus::Ok) != Some(home.clone()), trips);
    }
}

/// If what was learned of a server were held against the incarnation that has started since under its id,
/// that one would be ejected for the faults of the one before.
#[test]
fn a_restarted_server_is_not_held_to_what_was_learned_before() {
    let mut before = Node::with_servers(settings(), 4);
    let home = trip(&mut before, 7);
    let known = before.balancer.knowledge(before.now);
    let mut node = Node::new(before.settings.clone(), 2);
    let long_ago = Timestamp::from_micros(1_000_000);
    let started =
        |entry: &Endpoint| Endpoint { started_at: (entry.id == home).then_some(long_ago), ..entry.clone() };
    node.apply_snapshot(before.endpoints.values().map(started).collect());
    node.handle(Event::StateRestored(Arc::new(known)));
    assert_eq!(node.call(7, AttemptStatus::Ok), Some(home));
}

/// If the requests that the predecessor sent a warming server were forgotten, the server would get its
/// allowance twice, from the old process and from the new one.
#[test]
fn requests_sent_to_a_warming_server_count_on() {
    let cold =
        Settings { nodes: 1, slow_start_min_fraction: 0.3, slow_start_window: ms(60_000), ..settings() };
    let mut before = Node::new(cold, 1);
    let entry = Endpoint { started_at: Some(before.now), ..Endpoint::new("cold") };
    let warm = Endpoint { weight: 0.001, ..Endpoint::new("warm") };
    before.apply_snapshot(vec![entry, warm]);
    // Good answers are what the budget is a part of.
    for key in 0..200 {
        before.call(key, AttemptStatus::Ok);
    }
    let sent_to_cold = |node: &mut Node, keys: std::ops::Range<u64>| {
        keys.filter(|&key| node.call(key, AttemptStatus::Ok).is_some_and(|server| server.as_str() == "cold"))
            .count()
    };
    let more = sent_to_cold(&mut before, 1_000..1_400);
    let known = Arc::new(before.balancer.knowledge(before.now));
    let mut again = Node::new(before.settings.clone(), 1);
    again.now = before.now;
    again.apply_snapshot(before.endpoints.values().cloned().collect());
    again.handle(Event::StateRestored(known));
    assert_eq!(sent_to_cold(&mut again, 2_000..2_001), 0, "{more} before");
    again.advance(ms(1_000));
    assert!(sent_to_cold(&mut again, 3_000..3_010) > 0);
}

#[test]
fn a_successor_goes_on_as_its_predecessor_would() {
    // Equal seeds and clocks: the next life goes on as the one before would have.
    let mut before = Node::with_servers(settings(), 5);
    let play = |node: &mut Node, from: u64| {
        let mut servers = Vec::new();
        for step in from..from + 200 {
            let status = [AttemptStatus::Ok, AttemptStatus::Ok, AttemptStatus::Ok, AttemptStatus::Reset]
                [(step % 4) as usize];
            servers.push(node.call(step % 31, status));
            node.advance(ms(11));
        }
        servers
    };
    play(&mut before, 0);
    let known = Arc::new(before.balancer.knowledge(before.now));
    let mut next = Node::new(before.settings.clone(), 1);
    next.now = before.now;
    next.apply_snapshot(before.endpoints.values().cloned().collect());
    next.handle(Event::StateRestored(known.clone()));
    assert_eq!(*known, next.balancer.knowledge(next.now));
    assert_eq!(play(&mut before, 200), play(&mut next, 200));
}

/// A damaged hand-over may hold numbers that nobody learned: a limit that is none, times beyond the end of
/// any clock. The successor must still answer every request.
#[test]
fn every_request_is_answered_after_numbers_out_of_range() {
    let before = Node::with_servers(settings(), 3);
    let text = serde_json::to_value(before.balancer.knowledge(before.now)).unwrap();
    let mut spoilt = text.clone();
    spoil(&mut spoilt);
    assert_ne!(spoilt, text);
    let known: LearnedState = serde_json::from_value(spoilt).expect("of the same shape");
    let mut node = Node::with_servers(settings(), 3);
    node.handle(Event::StateRestored(Arc::new(known)));
    for key in 0..300 {
        node.call(key, AttemptStatus::Ok);
        node.advance(ms(50));
    }
    node.advance(ms(13_000));
    assert!((0..300).filter(|&key| node.call(key, AttemptStatus::Ok).is_some()).count() > 250);
}

/// Puts the most extreme number that fits into every place.
fn spoil(value: &mut serde_json::Value) {
    match value {
        serde_json::Value::Number(number) if number.is_f64() => *value = (-1e300).into(),
        serde_json::Value::Number(_) => *value = u32::MAX.into(),
        serde_json::Value::Array(items) => items.iter_mut().for_each(spoil),
        serde_json::Value::Object(fields) => fields.values_mut().for_each(spoil),
        _ => {}
    }
}
