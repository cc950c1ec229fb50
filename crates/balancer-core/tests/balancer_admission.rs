//! Admission control at work in the balancer: at several nodes, over a change of settings, and over a life.

mod common;

use balancer_core::*;
use common::*;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

/// Two classes of equal worth; the second's answers take four times as long, as far as a new node can tell.
fn two_classes() -> Settings {
    let class = |name: &str, aim| RequestClass {
        name: name.into(),
        idempotency: Idempotency::Idempotent,
        latency_objective: aim,
        deadline: Duration::from_secs(2),
        ..RequestClass::default()
    };
    Settings { nodes: 300, classes: vec![class("light", ms(50)), class("heavy", ms(200))], ..settings() }
}

/// One of 300 nodes, at so many servers that its limits for each have no say.
fn node(settings: Settings, seed: u64) -> Node {
    let mut node = Node::new(settings, seed);
    node.full_list((0..3_000).map(|i| Endpoint::new(&format!("s{i}"))).collect());
    node
}

/// The same, after full queues have halved its level of admission.
fn half_admitting(settings: Settings, seed: u64) -> Node {
    let mut node = node(settings, seed);
    for key in 0..4 {
        let id = node.request(0, key, ms(400));
        while node.out(&id).is_some() {
            node.answer(&id, AttemptStatus::QueueFull);
        }
    }
    node
}

/// By class, those of 200 keys that are refused now, and not sent; both classes are asked for alike. Some of them may find no
/// room where another one has just gone.
fn refused(node: &mut Node) -> [BTreeSet<u64>; 2] {
    let mut refused = [BTreeSet::new(), BTreeSet::new()];
    for key in 1_000..1_200 {
        for (class, refused) in refused.iter_mut().enumerate() {
            let id = node.request(class, key, ms(400));
            refused.extend(node.requests[&id].sent.is_empty().then_some(key));
        }
    }
    refused
}

#[test]
fn what_one_node_refuses_the_next_one_refuses_too() {
    // The danger: a refused client comes again at once to another node, three times, and in the end it all gets in.
    let [one, other] = [1, 2].map(|seed| refused(&mut half_admitting(two_classes(), seed))[1].clone());
    assert!((60..170).contains(&one.len()), "{} of 200", one.len());
    let apart = one.symmetric_difference(&other).count();
    assert!(apart <= 20, "{apart} of {} are refused by one of the two only", one.len());
    // Which is what refused clients are told: to come back when others are drawn, at most as late as they would.
    let mut node = half_admitting(two_classes(), 1);
    node.settings.max_retry_after = ms(10_000);
    node.reconfigure(node.settings.clone());
    node.pass(ms(1_250));
    node.trace.clear();
    refused(&mut node);
    let next = ms(1_000 - node.now.as_micros() / 1_000 % 1_000);
    let told = |action: &Action| matches!(action, Action::Reject { retry_after, .. } if *retry_after == next);
    let told = node.trace.iter().filter(|action| told(action)).count();
    assert!(told > 60, "{told} were told {next:?}");
    // Another second on they are others: no key is refused for good.
    let mut later = half_admitting(two_classes(), 1);
    later.pass(ms(1_000));
    let [_, later] = refused(&mut later);
    assert!(one.difference(&later).count() > 20, "the same keys are refused for ever");
}

#[test]
fn classes_that_change_places_are_refused_as_before() {
    // The danger: after a reload the light class is taken for the heavy one and refused in its place.
    let mut node = half_admitting(two_classes(), 1);
    let before = refused(&mut node).map(|keys| keys.len());
    assert!(before[0] < 20 && before[1] > 60, "{before:?}");
    let mut swapped = two_classes();
    swapped.classes.reverse();
    node.reconfigure(swapped);
    // The first of them shows what is left of before.
    let [heavy, light] = refused(&mut node).map(|keys| keys.len());
    assert!(light < 30 && heavy > 60, "{light} and {heavy}, {before:?} before");
}

#[test]
fn the_next_life_goes_on_refusing_and_one_that_knows_nothing_does_not() {
    let mut before = half_admitting(two_classes(), 1);
    let known = before.balancer.knowledge(before.now);
    let expected = refused(&mut before)[1].len();
    let mut fresh = node(two_classes(), 2);
    let unaware = refused(&mut fresh)[1].len();
    assert!(unaware < 20, "{unaware} refused by one that knows nothing");
    let mut next = node(two_classes(), 3);
    next.feed(Event::StateRestored(Arc::new(known)));
    let refused = refused(&mut next)[1].len();
    assert!(refused.abs_diff(expected) <= 20, "{refused}, {expected} before");
    // A level out of range, from a damaged hand-over, is taken for the nearest or none.
    for text in ["-1e300", "0.0", "1e300"] {
        let mut known = serde_json::to_value(LearnedState::default()).unwrap();
        known["door"] = serde_json::from_str(text).unwrap();
        let known: LearnedState = serde_json::from_value(known).unwrap();
        let mut next = node(two_classes(), 4);
        next.feed(Event::StateRestored(Arc::new(known)));
        let id = next.request(0, 1, ms(400));
        assert!(next.requests[&id].ended || next.out(&id).is_some(), "{text}");
    }
}
