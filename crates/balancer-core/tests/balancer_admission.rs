//! Tests of admission control in the balancer: at several nodes, across a reload, and across a hand-over.

mod common;

use balancer_core::*;
use common::*;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

/// Two classes of equal weight. The second has four times the latency objective, from which a new node
/// estimates its work.
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

/// Returns one of 300 nodes, with enough servers that concurrency limits have no effect.
fn node(settings: Settings, seed: u64) -> Node {
    let mut node = Node::new(settings, seed);
    node.apply_snapshot((0..3_000).map(|i| Endpoint::new(&format!("s{i}"))).collect());
    node
}

/// Returns the same node after full queues have halved its admission level.
fn node_at_half_level(settings: Settings, seed: u64) -> Node {
    let mut node = node(settings, seed);
    for key in 0..4 {
        let id = node.request(0, key, ms(400));
        while node.in_flight(&id).is_some() {
            node.answer(&id, AttemptStatus::QueueFull);
        }
    }
    node
}

/// Returns, for each class, the keys out of 200 whose requests are rejected now without an attempt. A few of
/// them may be rejected because another request was just sent to their server and it has no more capacity.
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
/// different requests, nearly all of them would eventually be admitted, and the overload would persist.
#[test]
fn nodes_reject_the_same_keys_during_a_period() {
    let [one, other] = [1, 2].map(|seed| rejected(&mut node_at_half_level(two_classes(), seed))[1].clone());
    assert!((60..170).contains(&one.len()), "{} of 200", one.len());
    let differing = one.symmetric_difference(&other).count();
    assert!(differing <= 20, "{differing} keys are rejected by only one node, {} by the first", one.len());
    // The `Retry-After` of rejected clients ends with the period, since the next period rejects other keys.
    let mut node = node_at_half_level(two_classes(), 1);
    node.settings.max_retry_after = ms(10_000);
    node.reconfigure(node.settings.clone());
    node.advance(ms(1_250));
    node.actions.clear();
    rejected(&mut node);
    let remaining = ms(1_000 - node.now.as_micros() / 1_000 % 1_000);
    let waits_for_next_period =
        |action: &Action| matches!(action, Action::Reject { retry_after, .. } if *retry_after == remaining);
    let waiting = node.actions.iter().filter(|action| waits_for_next_period(action)).count();
    assert!(waiting > 60, "{waiting} have a Retry-After of {remaining:?}");
    // The next period rejects other keys, so that no key is rejected permanently.
    let mut later = node_at_half_level(two_classes(), 1);
    later.advance(ms(1_000));
    let [_, later] = rejected(&mut later);
    assert!(one.difference(&later).count() > 20, "the same keys are rejected permanently");
}

/// A reload that changes the order of classes must move their demand along. Otherwise the light class would
/// count as the heavy one and be rejected instead of it.
#[test]
fn reordered_classes_keep_their_demand() {
    let mut node = node_at_half_level(two_classes(), 1);
    let before = rejected(&mut node).map(|keys| keys.len());
    assert!(before[0] < 20 && before[1] > 60, "{before:?}");
    let mut swapped = two_classes();
    swapped.classes.reverse();
    node.reconfigure(swapped);
    // Some requests of the light class are still rejected because of earlier demand.
    let [heavy, light] = rejected(&mut node).map(|keys| keys.len());
    assert!(light < 30 && heavy > 60, "{light} and {heavy}, {before:?} before");
}

/// A successor that admits everything would send an overloaded fleet a burst of requests at each upgrade. A
/// level out of range, from a corrupted hand-over, must not keep the successor from answering.
#[test]
fn a_successor_restores_the_admission_level() {
    let mut before = node_at_half_level(two_classes(), 1);
    let learned = before.balancer.learned_state(before.now);
    let expected = rejected(&mut before)[1].len();
    let mut new_node = node(two_classes(), 2);
    let by_new_node = rejected(&mut new_node)[1].len();
    assert!(by_new_node < 20, "{by_new_node} rejected by a new node");
    let mut successor = node(two_classes(), 3);
    successor.handle(Event::StateRestored(Arc::new(learned)));
    let rejected = rejected(&mut successor)[1].len();
    assert!(rejected.abs_diff(expected) <= 20, "{rejected}, {expected} before");
    for text in ["-1e300", "0.0", "1e300"] {
        let mut learned = serde_json::to_value(LearnedState::default()).unwrap();
        learned["door"] = serde_json::from_str(text).unwrap();
        let learned: LearnedState = serde_json::from_value(learned).unwrap();
        let mut successor = node(two_classes(), 4);
        successor.handle(Event::StateRestored(Arc::new(learned)));
        let id = successor.request(0, 1, ms(400));
        assert!(successor.requests[&id].finished || successor.in_flight(&id).is_some(), "{text}");
    }
}
