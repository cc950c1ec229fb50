//! Checks which replica of discovery a node polls after each event, and how a fleet spreads over replicas.

use balancer_core::discovery::{ReplicaResponse, ReplicaSelection, ReplicaSetChange, ReplicaTransition};
use balancer_core::Timestamp;
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::time::Duration;
use ReplicaResponse::{Answered, Failed, Overloaded};

/// Size of the planned fleet.
const NODES: usize = 5_900;
const HOLD_DOWN: Duration = Duration::from_secs(30);

fn names(count: usize) -> Vec<String> {
    (0..count).map(|number| format!("10.1.{number}.18:7100")).collect()
}

fn nodes() -> impl Iterator<Item = String> {
    (0..NODES).map(|number| format!("h{number}"))
}

fn at(seconds: f64) -> Timestamp {
    Timestamp::from_micros((seconds * 1e6) as u64)
}

/// Returns the name of the polled replica.
fn polled<'a>(replicas: &ReplicaSelection, names: &'a [String]) -> &'a str {
    &names[replicas.current()]
}

/// Returns the names in order of preference.
fn preference(node: &str, names: &[String]) -> Vec<String> {
    ReplicaSelection::new(node, names.to_vec()).order().iter().map(|&index| names[index].clone()).collect()
}

/// Returns the number of nodes that prefer each replica.
fn shares(names: &[String]) -> BTreeMap<String, usize> {
    let mut shares = BTreeMap::new();
    for node in nodes() {
        *shares.entry(preference(&node, names).swap_remove(0)).or_default() += 1;
    }
    shares
}

#[test]
fn the_order_follows_the_documented_hash_in_every_version() {
    assert_eq!(ReplicaSelection::new("h0", names(5)).order(), ORDER_OF_H0);
    assert_eq!(ReplicaSelection::new("pinhead", names(5)).order(), ORDER_OF_PINHEAD);
}

/// Computed with the documented hash by a separate program.
const ORDER_OF_H0: [usize; 5] = [1, 0, 4, 3, 2];
const ORDER_OF_PINHEAD: [usize; 5] = [0, 4, 1, 2, 3];

#[test]
fn a_lost_replica_moves_only_its_nodes_and_spreads_them_evenly() {
    println!("| replicas | largest share / mean | nodes of a lost replica: largest share / mean |");
    println!("| --- | --- | --- |");
    for count in [2, 3, 8, 16] {
        let all = names(count);
        let (most, mean) = (shares(&all).into_values().max().unwrap(), NODES as f64 / count as f64);
        let largest = most as f64 / mean;
        let lost = &all[0];
        let left: Vec<_> = all[1..].to_vec();
        let mut moved: BTreeMap<String, usize> = BTreeMap::new();
        for node in nodes() {
            let (before, after) = (preference(&node, &all), preference(&node, &left));
            let without: Vec<_> = before.iter().filter(|name| *name != lost).cloned().collect();
            assert_eq!(after, without, "{node}: the others keep their order");
            if before[0] == *lost {
                *moved.entry(after[0].clone()).or_default() += 1;
            }
        }
        let (moved_most, moved_all) = (moved.values().max().unwrap(), moved.values().sum::<usize>());
        let max_at_other = *moved_most as f64 * left.len() as f64 / moved_all as f64;
        println!("| {count} | {largest:.2} | {max_at_other:.2} |");
        assert!(largest <= 1.25, "{count} replicas: {largest}");
        // With 24 nodes per remaining replica, a share varies by a fifth. Four times that is not random
        // variation.
        assert!(max_at_other <= 1.8, "{count} replicas: {max_at_other}");
        assert_eq!(moved.len(), left.len(), "every other replica takes some nodes");
    }
}

#[test]
fn a_failed_replica_is_left_at_once_and_a_failed_round_backs_off() {
    let mut replicas = ReplicaSelection::new("h0", names(4));
    let order = replicas.order().to_vec();
    for round in 0..3 {
        for (index, replica) in order.iter().enumerate() {
            assert_eq!(replicas.current(), *replica);
            let transition = replicas.poll_ended(at(round as f64), Failed, HOLD_DOWN, 0.5);
            assert_eq!(
                transition,
                if index == 3 {
                    ReplicaTransition::FailOverAfterBackoff
                } else {
                    ReplicaTransition::FailOver
                }
            );
        }
    }
}

#[test]
fn an_overloaded_replica_is_left_after_two_answers_and_a_backoff() {
    let mut replicas = ReplicaSelection::new("h0", names(4));
    let first = replicas.current();
    for _ in 0..5 {
        assert_eq!(replicas.poll_ended(at(0.0), Overloaded, HOLD_DOWN, 0.5), ReplicaTransition::Stay);
        // An answer in between restarts the count.
        assert_eq!(replicas.poll_ended(at(0.0), Answered, HOLD_DOWN, 0.5), ReplicaTransition::Stay);
        assert_eq!(replicas.current(), first);
    }
    let transitions = [0, 1].map(|_| replicas.poll_ended(at(0.0), Overloaded, HOLD_DOWN, 0.5));
    assert_eq!(transitions, [ReplicaTransition::Stay, ReplicaTransition::FailOverAfterBackoff]);
    assert_ne!(replicas.current(), first);
    assert_eq!(replicas.available(), 4, "the replica is overloaded, not lost");
}

#[test]
fn a_single_replica_is_never_left() {
    let mut replicas = ReplicaSelection::new("h0", names(1));
    for outcome in [Failed, Overloaded, Answered, Failed, Overloaded, Overloaded, Overloaded, Overloaded] {
        assert_eq!(replicas.poll_ended(at(1e6), outcome, HOLD_DOWN, 1.0), ReplicaTransition::Stay);
        assert_eq!(replicas.current(), 0);
    }
}

/// Polls the fallback once per second until the node returns to its preferred replica. Returns the number of
/// seconds.
fn seconds_until_return(replicas: &mut ReplicaSelection, from: f64, jitter: f64) -> f64 {
    (0..)
        .map(f64::from)
        .find(|passed| {
            replicas.poll_ended(at(from + passed), Answered, HOLD_DOWN, jitter)
                == ReplicaTransition::ReturnToPreferred
        })
        .unwrap()
}

#[test]
fn a_failed_return_doubles_the_hold_down_up_to_a_bound() {
    let mut replicas = ReplicaSelection::new("h0", names(4));
    let order = replicas.order().to_vec();
    let (mut now, mut waits) = (0.0, Vec::new());
    assert_eq!(replicas.poll_ended(at(now), Failed, HOLD_DOWN, 0.0), ReplicaTransition::FailOver);
    for _ in 0..7 {
        let waited = seconds_until_return(&mut replicas, now, 0.0);
        assert_eq!(replicas.current(), order[0]);
        now += waited;
        waits.push(waited);
        // An overloaded replica has not recovered either.
        let outcome = if waits.len() % 2 == 0 { Failed } else { Overloaded };
        assert_eq!(replicas.poll_ended(at(now), outcome, HOLD_DOWN, 0.0), ReplicaTransition::FailOver);
        assert_eq!(replicas.current(), order[1], "the fallback is polled again");
    }
    assert_eq!(waits, [30.0, 60.0, 120.0, 240.0, 480.0, 480.0, 480.0]);
    // The return succeeds, so the next hold-down is the shortest again.
    now += seconds_until_return(&mut replicas, now, 0.0);
    for passed in [0.0, 100.0, 481.0] {
        assert_eq!(replicas.poll_ended(at(now + passed), Answered, HOLD_DOWN, 0.0), ReplicaTransition::Stay);
    }
    now += 500.0;
    assert_eq!(replicas.poll_ended(at(now), Failed, HOLD_DOWN, 0.0), ReplicaTransition::FailOver);
    assert_eq!(seconds_until_return(&mut replicas, now, 0.0), 30.0);
}

#[test]
fn a_failure_soon_after_a_return_counts_as_a_failed_return() {
    let mut replicas = ReplicaSelection::new("h0", names(2));
    assert_eq!(replicas.poll_ended(at(0.0), Failed, HOLD_DOWN, 0.0), ReplicaTransition::FailOver);
    let back = seconds_until_return(&mut replicas, 0.0, 0.0);
    assert_eq!(replicas.poll_ended(at(back), Answered, HOLD_DOWN, 0.0), ReplicaTransition::Stay);
    assert_eq!(replicas.poll_ended(at(back + 1.0), Failed, HOLD_DOWN, 0.0), ReplicaTransition::FailOver);
    assert_eq!(seconds_until_return(&mut replicas, back + 1.0, 0.0), 60.0);
}

#[test]
fn returns_of_a_fleet_spread_over_the_shortest_hold_down() {
    let mut back: Vec<_> = (0..369)
        .map(|node| {
            let mut replicas = ReplicaSelection::new(&format!("h{node}"), names(16));
            let jitter = fastrand::Rng::with_seed(node).f64();
            replicas.poll_ended(at(0.0), Failed, HOLD_DOWN, jitter);
            seconds_until_return(&mut replicas, 0.0, jitter)
        })
        .collect();
    back.sort_by(f64::total_cmp);
    assert!(back[0] >= 30.0 && back[368] <= 61.0, "{back:?}");
    // The mean is 12 nodes per second. A multiple of that is not random variation.
    let most = back.chunk_by(|one, other| one == other).map(<[_]>::len).max().unwrap();
    assert!(most <= 30, "{most} in one second");
}

#[test]
fn replacing_the_set_keeps_the_current_replica_if_the_new_set_has_it() {
    let all = names(6);
    let mut replicas = ReplicaSelection::new("h0", all[..4].to_vec());
    replicas.poll_ended(at(0.0), Failed, HOLD_DOWN, 0.0);
    let current = polled(&replicas, &all).to_owned();
    let mut other_order = all.clone();
    other_order.reverse();
    assert_eq!(replicas.replace(other_order.clone()), ReplicaSetChange::CurrentRemains);
    assert_eq!(polled(&replicas, &other_order), current);
    let without: Vec<_> = all.iter().filter(|name| **name != current).cloned().collect();
    assert_eq!(replicas.replace(without.clone()), ReplicaSetChange::OthersRemain);
    assert_eq!(
        polled(&replicas, &without),
        preference("h0", &without)[0],
        "the preferred one of the remaining replicas"
    );
    assert_eq!(replicas.replace(vec!["10.9.9.9:7100".into()]), ReplicaSetChange::NoneRemains);
    assert_eq!(replicas.current(), 0);
}

proptest! {
    #[test]
    fn the_order_does_not_depend_on_the_order_of_the_names(node in "[a-z0-9-]{1,20}", count in 1..20_usize, seed in any::<u64>()) {
        let sorted = names(count);
        let mut shuffled = sorted.clone();
        fastrand::Rng::with_seed(seed).shuffle(&mut shuffled);
        prop_assert_eq!(preference(&node, &sorted), preference(&node, &shuffled));
        let mut all = preference(&node, &sorted);
        all.sort();
        let mut expected = sorted;
        expected.sort();
        prop_assert_eq!(all, expected);
    }

    /// Regardless of the outcomes of polls, equal events give equal transitions, polls go to replicas of the
    /// set, a return follows only an answer of a replica that is not the preferred one, and a round ends only
    /// when each replica has failed once.
    #[test]
    fn transitions_depend_only_on_the_events(
        count in 1..9_usize,
        events in prop::collection::vec((0..3_u8, 0.0..100.0_f64, 0.0..1.0_f64), 1..200),
    ) {
        let mut replicas = ReplicaSelection::new("h7", names(count));
        let mut copy = replicas.clone();
        let (mut now, mut failed_in_a_row) = (0.0, Vec::new());
        for (outcome, passes, jitter) in events {
            now += passes;
            let outcome = [Answered, Overloaded, Failed][usize::from(outcome)];
            let (before, returning) = (replicas.current(), replicas.is_returning());
            let transition = replicas.poll_ended(at(now), outcome, HOLD_DOWN, jitter);
            prop_assert_eq!(transition, copy.poll_ended(at(now), outcome, HOLD_DOWN, jitter));
            prop_assert!(replicas.current() < count && replicas.available() >= 1 && replicas.available() <= count);
            match transition {
                ReplicaTransition::Stay => prop_assert_eq!(replicas.current(), before),
                ReplicaTransition::ReturnToPreferred => {
                    prop_assert_eq!(outcome, Answered);
                    prop_assert_eq!(replicas.current(), replicas.order()[0]);
                    prop_assert!(before != replicas.current() && replicas.is_returning());
                }
                ReplicaTransition::FailOver => prop_assert!(replicas.current() != before && outcome != Answered),
                ReplicaTransition::FailOverAfterBackoff => prop_assert!(replicas.current() != before && outcome != Answered),
            }
            if outcome == Failed && !returning {
                failed_in_a_row.push(before);
                let round_is_over = failed_in_a_row.len() == count && count > 1;
                prop_assert_eq!(transition == ReplicaTransition::FailOverAfterBackoff, round_is_over);
                if round_is_over {
                    failed_in_a_row.sort_unstable();
                    failed_in_a_row.dedup();
                    prop_assert_eq!(failed_in_a_row.len(), count, "each was tried once");
                    failed_in_a_row.clear();
                }
            } else if outcome == Answered {
                failed_in_a_row.clear();
            } else if transition == ReplicaTransition::FailOverAfterBackoff || returning {
                // Leaving an overloaded replica does not count as a failure, so this test stops counting the
                // round.
                break;
            }
        }
    }
}
