//! Checks which nodes move, and when, if replicas are added or removed while nodes poll them.

use balancer_core::discovery::{ReplicaResponse, ReplicaSelection, ReplicaSetChange, ReplicaTransition};
use balancer_core::Timestamp;
use proptest::prelude::*;
use std::time::Duration;

const HOLD_DOWN: Duration = Duration::from_secs(30);
const NODES: usize = 1_000;

fn at(seconds: f64) -> Timestamp {
    Timestamp::from_micros((seconds * 1e6) as u64)
}

fn names(numbers: impl IntoIterator<Item = usize>) -> Vec<String> {
    numbers.into_iter().map(|number| format!("10.0.{number}.1:7100")).collect()
}

/// Creates nodes that poll these replicas and have received an answer.
fn nodes(names: &[String]) -> Vec<ReplicaSelection> {
    let node = |number: usize| {
        let mut replicas = ReplicaSelection::new(&format!("node-{number}"), names.to_vec());
        assert_eq!(answered(&mut replicas, 0.0, 0.0), ReplicaTransition::Stay);
        replicas
    };
    (0..NODES).map(node).collect()
}

fn answered(replicas: &mut ReplicaSelection, seconds: f64, jitter: f64) -> ReplicaTransition {
    replicas.poll_ended(at(seconds), ReplicaResponse::Answered, HOLD_DOWN, jitter)
}

fn polled<'a>(replicas: &ReplicaSelection, names: &'a [String]) -> &'a str {
    &names[replicas.current()]
}

/// If all nodes that prefer a new replica moved there at once, they would overload it as soon as it is added,
/// before it has a list to send. The hold-down spreads them.
#[test]
fn nodes_move_to_an_added_replica_over_time_and_no_others_move() {
    let (before, after) = (names(0..3), names(0..4));
    let mut moved = 0;
    for (number, mut node) in nodes(&before).into_iter().enumerate() {
        let previous = polled(&node, &before).to_owned();
        assert_eq!(node.replace(after.clone()), ReplicaSetChange::CurrentRemains);
        assert_eq!(polled(&node, &after), previous);
        let preferred = after[node.order()[0]].clone();
        assert!(preferred == previous || preferred == after[3], "{previous} {preferred}");
        let jitter = number as f64 / NODES as f64;
        // The first answer after the change begins the hold-down.
        assert_eq!(answered(&mut node, 10.0, jitter), ReplicaTransition::Stay);
        let due = 10.0 + HOLD_DOWN.as_secs_f64() * (1.0 + jitter);
        assert_eq!(answered(&mut node, due - 0.001, jitter), ReplicaTransition::Stay);
        let transition = answered(&mut node, due + 0.001, jitter);
        assert_eq!(
            transition,
            if preferred == previous {
                ReplicaTransition::Stay
            } else {
                ReplicaTransition::ReturnToPreferred
            }
        );
        assert_eq!(polled(&node, &after), preferred);
        moved += usize::from(transition == ReplicaTransition::ReturnToPreferred);
    }
    assert!((NODES / 5..NODES * 3 / 10).contains(&moved), "one node in four moves: {moved}");
}

#[test]
fn only_the_nodes_of_a_removed_replica_move_and_they_spread() {
    let (before, after) = (names(0..4), names(0..3));
    let mut moved = [0; 3];
    for mut node in nodes(&before) {
        let previous = polled(&node, &before).to_owned();
        let changed = node.replace(after.clone());
        if previous == before[3] {
            assert_eq!(changed, ReplicaSetChange::OthersRemain);
            assert_eq!(node.current(), node.order()[0]);
            moved[node.current()] += 1;
        } else {
            assert_eq!(changed, ReplicaSetChange::CurrentRemains);
            assert_eq!(polled(&node, &after), previous);
        }
        assert_eq!(answered(&mut node, 1000.0, 0.5), ReplicaTransition::Stay);
        assert_eq!(answered(&mut node, 2000.0, 0.5), ReplicaTransition::Stay);
    }
    // About 250 nodes move, a third of them to each remaining replica.
    assert!(moved.iter().all(|count| (55..=115).contains(count)), "{moved:?}");
}

/// Generates successive sets of replicas, as the numbers in their names.
fn changes() -> impl Strategy<Value = Vec<Vec<usize>>> {
    let set = proptest::sample::subsequence((0..6).collect::<Vec<_>>(), 1..=6).prop_shuffle();
    proptest::collection::vec(set, 1..30)
}

proptest! {
    #[test]
    fn changes_keep_the_current_replica_and_nodes_end_at_their_preferred_one(
        changes in changes(),
        jitter in 0.0..=1.0_f64,
        node in "[a-z0-9]{1,12}",
    ) {
        let mut current = names(changes[0].iter().copied());
        let mut replicas = ReplicaSelection::new(&node, current.clone());
        let mut now = 0.0;
        for numbers in changes {
            let new_names = names(numbers);
            let previous = polled(&replicas, &current).to_owned();
            let expected = if new_names.contains(&previous) {
                ReplicaSetChange::CurrentRemains
            } else if new_names.iter().any(|name| current.contains(name)) {
                ReplicaSetChange::OthersRemain
            } else {
                ReplicaSetChange::NoneRemains
            };
            prop_assert_eq!(replicas.replace(new_names.clone()), expected);
            current = new_names;
            let first = current[replicas.order()[0]].clone();
            let polled_now = if expected == ReplicaSetChange::CurrentRemains { &previous } else { &first };
            prop_assert_eq!(polled(&replicas, &current), polled_now);
            prop_assert_eq!(answered(&mut replicas, now, jitter), ReplicaTransition::Stay);
            now += 1.0;
        }
        // A node avoids a preferred replica that has not failed for at most twice the hold-down.
        now += 2.0 * HOLD_DOWN.as_secs_f64();
        let away = replicas.current() != replicas.order()[0];
        prop_assert_eq!(answered(&mut replicas, now, jitter), if away { ReplicaTransition::ReturnToPreferred } else { ReplicaTransition::Stay });
        prop_assert_eq!(replicas.current(), replicas.order()[0]);
    }
}
