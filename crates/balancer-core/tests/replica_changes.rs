//! Replicas that are added and taken out while nodes ask them: who stays where it is, and who goes over when.

use balancer_core::replicas::{CallOutcome, Changed, Replicas, Step};
use balancer_core::Timestamp;
use proptest::prelude::*;
use std::time::Duration;

const HOLD_DOWN: Duration = Duration::from_secs(30);
const NODES: usize = 1_000;

fn at(seconds: f64) -> Timestamp {
    Timestamp::from_micros((seconds * 1e6) as u64)
}

fn names(places: impl IntoIterator<Item = usize>) -> Vec<String> {
    places.into_iter().map(|place| format!("10.0.{place}.1:7100")).collect()
}

/// Nodes that ask these replicas and have an answer of each.
fn nodes(names: &[String]) -> Vec<Replicas> {
    let node = |number: usize| {
        let mut replicas = Replicas::new(&format!("node-{number}"), names.to_vec());
        assert_eq!(answered(&mut replicas, 0.0, 0.0), Step::Stay);
        replicas
    };
    (0..NODES).map(node).collect()
}

fn answered(replicas: &mut Replicas, seconds: f64, jitter: f64) -> Step {
    replicas.ended(at(seconds), CallOutcome::Answered, HOLD_DOWN, jitter)
}

fn asked<'a>(replicas: &Replicas, names: &'a [String]) -> &'a str {
    &names[replicas.current()]
}

// Guards against a replica that is flooded in the moment in which it is named.
#[test]
fn nodes_go_over_to_an_added_replica_one_after_the_other_and_no_others_move() {
    let (before, after) = (names(0..3), names(0..4));
    let mut moved = 0;
    for (number, mut node) in nodes(&before).into_iter().enumerate() {
        let was = asked(&node, &before).to_owned();
        assert_eq!(node.change(after.clone()), Changed::CurrentStays);
        assert_eq!(asked(&node, &after), was);
        let wanted = after[node.order()[0]].clone();
        assert!(wanted == was || wanted == after[3], "{was} {wanted}");
        let jitter = number as f64 / NODES as f64;
        // The first answer after the change begins the hold-down.
        assert_eq!(answered(&mut node, 10.0, jitter), Step::Stay);
        let due = 10.0 + HOLD_DOWN.as_secs_f64() * (1.0 + jitter);
        assert_eq!(answered(&mut node, due - 0.001, jitter), Step::Stay);
        let step = answered(&mut node, due + 0.001, jitter);
        assert_eq!(step, if wanted == was { Step::Stay } else { Step::Return });
        assert_eq!(asked(&node, &after), wanted);
        moved += usize::from(step == Step::Return);
    }
    assert!((NODES / 5..NODES * 3 / 10).contains(&moved), "one in four goes over: {moved}");
}

#[test]
fn only_the_nodes_of_a_replica_that_is_taken_out_move_and_they_spread_over_the_others() {
    let (before, after) = (names(0..4), names(0..3));
    let mut moved = [0; 3];
    for mut node in nodes(&before) {
        let was = asked(&node, &before).to_owned();
        let changed = node.change(after.clone());
        if was == before[3] {
            assert_eq!(changed, Changed::OthersStay);
            assert_eq!(node.current(), node.order()[0]);
            moved[node.current()] += 1;
        } else {
            assert_eq!(changed, Changed::CurrentStays);
            assert_eq!(asked(&node, &after), was);
        }
        assert_eq!(answered(&mut node, 1000.0, 0.5), Step::Stay);
        assert_eq!(answered(&mut node, 2000.0, 0.5), Step::Stay);
    }
    // About 250 nodes, a third of them to each.
    assert!(moved.iter().all(|count| (55..=115).contains(count)), "{moved:?}");
}

/// Sets of replicas, one after the other, by the places of their names.
fn changes() -> impl Strategy<Value = Vec<Vec<usize>>> {
    let set = proptest::sample::subsequence((0..6).collect::<Vec<_>>(), 1..=6).prop_shuffle();
    proptest::collection::vec(set, 1..30)
}

proptest! {
    #[test]
    fn a_change_keeps_the_current_replica_and_in_the_end_each_node_is_at_its_first_choice(
        changes in changes(),
        jitter in 0.0..=1.0_f64,
        node in "[a-z0-9]{1,12}",
    ) {
        let mut held = names(changes[0].iter().copied());
        let mut replicas = Replicas::new(&node, held.clone());
        let mut now = 0.0;
        for places in changes {
            let wanted = names(places);
            let was = asked(&replicas, &held).to_owned();
            let expected = if wanted.contains(&was) {
                Changed::CurrentStays
            } else if wanted.iter().any(|name| held.contains(name)) {
                Changed::OthersStay
            } else {
                Changed::NoneStays
            };
            prop_assert_eq!(replicas.change(wanted.clone()), expected);
            held = wanted;
            let first = held[replicas.order()[0]].clone();
            let asked_now = if expected == Changed::CurrentStays { &was } else { &first };
            prop_assert_eq!(asked(&replicas, &held), asked_now);
            prop_assert_eq!(answered(&mut replicas, now, jitter), Step::Stay);
            now += 1.0;
        }
        // Twice the hold-down is the longest that a node stays away from a first choice that has not failed.
        now += 2.0 * HOLD_DOWN.as_secs_f64();
        let away = replicas.current() != replicas.order()[0];
        prop_assert_eq!(answered(&mut replicas, now, jitter), if away { Step::Return } else { Step::Stay });
        prop_assert_eq!(replicas.current(), replicas.order()[0]);
    }
}
