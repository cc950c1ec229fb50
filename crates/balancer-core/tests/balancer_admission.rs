//! Admission control in the balancer: at several nodes, over a reload, and over a hand-over.

mod common;

use balancer_core::*;
use common::*;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

/// Two classes of equal weight. The second has four times the latency objective, from which a new node estimates its
/// work.
fn two_classes() -> Settings {
    let class = |name: &str, latency_objective| RequestClass {
        name: name.into(),
        idempotency: Idempotency::Idempotent,
        latency_objective,
        deadline: Duration::from_secs(2),
        ..RequestClass::default()
    };
    Settings { nodes: 300, classes: vec![class("light", ms(50)), class("heavy", ms(200))], ..settings() }
}

/// One of 300 nodes, with enough servers for concurrency limits to have no effect.
fn node(settings: Settings, seed: u64) -> Node {
    let mut node = Node::new(settings, seed);
    node.apply_snapshot((0..3_000).map(|i| Endpoint::new(&format!("s{i}"))).collect());
    node
}

/// The same, after full queues have halved its level of admission control.
fn half_admitting(settings: Settings, seed: u64) -> Node {
    let mut node = node(settings, seed);
    for key in 0..4 {
        let id = node.request(0, key, ms(400));
        while node.in_flight(&id).is_some() {
            node.answer(&id, AttemptStatus::QueueFull);
        }
    }
    node
}

/// By class, those of 200 keys whose requests are rejected now without an attempt. Some of them may find no capacity at
/// a server that another one has just been sent to.
fn rejected(node: &mut Node) -> [BTreeSet<u64>; 2] {
    let mut rejected = [BTreeSet::new(), BTreeSet::new()];
    for key in 1_000..1_200 {
        for (class, rejected) in rejected.iter_mut().enumerate() {
            let id = node.request(class, key, ms(400));
            rejected.extend(node.requests[&id].attempts.is_empty().then_some(key));
        }
    }
    rejected
}

/// A rejected client sends its request to another node at once, up to three times. If nodes rejected
/// different requests, nearly all of them would be admitted in the end, and the overload would last.
#[test]
fn what_one_node_rejects_the_next_one_rejects_too() {
    let [one, other] = [1, 2].map(|seed| rejected(&mut half_admitting(two_classes(), seed))[1].clone());
    assert!((60..170).contains(&one.len()), "{} of 200", one.len());
    let apart = one.symmetric_difference(&other).count();
    assert!(apart <= 20, "{apart} of {} are rejected by one of the two only", one.len());
    // Rejected clients are told to retry in the next period, in which other keys are rejected.
    let mut node = half_admitting(two_classes(), 1);
    node.settings.max_retry_after = ms(10_000);
    node.reconfigure(node.settings.clone());
    node.advance(ms(1_250));
    node.actions.clear();
    rejected(&mut node);
    let next = ms(1_000 - node.now.as_micros() / 1_000 % 1_000);
    let is_in_next_period =
        |action: &Action| matches!(action, Action::Reject { retry_after, .. } if *retry_after == next);
    let notified = node.actions.iter().filter(|action| is_in_next_period(action)).count();
    assert!(notified > 60, "{notified} have a Retry-After of {next:?}");
    // In the next period other keys are rejected: none is rejected for good.
    let mut later = half_admitting(two_classes(), 1);
    later.advance(ms(1_000));
    let [_, later] = rejected(&mut later);
    assert!(one.difference(&later).count() > 20, "the same keys are rejected for good");
}

/// If a reload that changes the order of classes left their demand where it was, the light class would count
/// as the heavy one and be rejected in its place.
#[test]
fn classes_that_change_places_are_rejected_as_before() {
    let mut node = half_admitting(two_classes(), 1);
    let before = rejected(&mut node).map(|keys| keys.len());
    assert!(before[0] < 20 && before[1] > 60, "{before:?}");
    let mut swapped = two_classes();
    swapped.classes.reverse();
    node.reconfigure(swapped);
    // Of the first class some are still rejected by the demand of before.
    let [heavy, light] = rejected(&mut node).map(|keys| keys.len());
    assert!(light < 30 && heavy > 60, "{light} and {heavy}, {before:?} before");
}

/// A successor that admits everything would send an overloaded fleet a burst with each upgrade. A level out
/// of range, from a damaged hand-over, must not stop it from answering.
#[test]
fn a_successor_goes_on_rejecting_and_a_new_node_does_not() {
    let mut before = half_admitting(two_classes(), 1);
    let known = before.balancer.learned_state(before.now);
    let expected = rejected(&mut before)[1].len();
    let mut new_node = node(two_classes(), 2);
    let by_new_node = rejected(&mut new_node)[1].len();
    assert!(by_new_node < 20, "{by_new_node} rejected by a new node");
    let mut successor = node(two_classes(), 3);
    successor.handle(Event::StateRestored(Arc::new(known)));
    let rejected = rejected(&mut successor)[1].len();
    assert!(rejected.abs_diff(expected) <= 20, "{rejected}, {expected} before");
    for text in ["-1e300", "0.0", "1e300"] {
        let mut known = serde_json::to_value(LearnedState::default()).unwrap();
        known["door"] = serde_json::from_str(text).unwrap();
        let known: LearnedState = serde_json::from_value(known).unwrap();
        let mut successor = node(two_classes(), 4);
        successor.handle(Event::StateRestored(Arc::new(known)));
        let id = successor.request(0, 1, ms(400));
        assert!(successor.requests[&id].finished || successor.in_flight(&id).is_some(), "{text}");
    }
}
