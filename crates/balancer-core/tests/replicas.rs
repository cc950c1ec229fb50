//! Which replica of discovery a node asks, event by event, and how a fleet spreads over replicas.

use balancer_core::replicas::{CallOutcome, Changed, Replicas, Step};
use balancer_core::Timestamp;
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::time::Duration;
use CallOutcome::{Answered, Failed, Refused};

/// The fleet that is coming.
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

/// The name of the replica that is asked.
fn asked<'a>(replicas: &Replicas, names: &'a [String]) -> &'a str {
    &names[replicas.current()]
}

/// Names in the order of choice.
fn choice(node: &str, names: &[String]) -> Vec<String> {
    Replicas::new(node, names.to_vec()).order().iter().map(|&place| names[place].clone()).collect()
}

/// How many nodes have each of these as their first choice.
fn shares(names: &[String]) -> BTreeMap<String, usize> {
    let mut shares = BTreeMap::new();
    for node in nodes() {
        *shares.entry(choice(&node, names).swap_remove(0)).or_default() += 1;
    }
    shares
}

#[test]
fn the_order_is_a_stated_hash_of_the_names_and_stays_the_same_from_version_to_version() {
    assert_eq!(Replicas::new("h0", names(5)).order(), ORDER_OF_H0);
    assert_eq!(Replicas::new("pinhead", names(5)).order(), ORDER_OF_PINHEAD);
}

/// By a program of its own for the stated hash.
const ORDER_OF_H0: [usize; 5] = [1, 0, 4, 3, 2];
const ORDER_OF_PINHEAD: [usize; 5] = [0, 4, 1, 2, 3];

#[test]
fn nodes_spread_evenly_and_a_lost_replica_moves_only_its_own_evenly_over_the_others() {
    println!("| replicas | largest share, of the mean | of the nodes of a lost one, largest share at a neighbour |");
    println!("| --- | --- | --- |");
    for count in [2, 3, 8, 16] {
        let all = names(count);
        let (most, mean) = (shares(&all).into_values().max().unwrap(), NODES as f64 / count as f64);
        let largest = most as f64 / mean;
        let lost = &all[0];
        let left: Vec<_> = all[1..].to_vec();
        let mut moved: BTreeMap<String, usize> = BTreeMap::new();
        for node in nodes() {
            let (before, after) = (choice(&node, &all), choice(&node, &left));
            let without: Vec<_> = before.iter().filter(|name| *name != lost).cloned().collect();
            assert_eq!(after, without, "{node}: the others keep their order");
            if before[0] == *lost {
                *moved.entry(after[0].clone()).or_default() += 1;
            }
        }
        let (moved_most, moved_all) = (moved.values().max().unwrap(), moved.values().sum::<usize>());
        let at_neighbour = *moved_most as f64 * left.len() as f64 / moved_all as f64;
        println!("| {count} | {largest:.2} | {at_neighbour:.2} of the mean |");
        assert!(largest <= 1.25, "{count} replicas: {largest}");
        // Of 24 nodes a neighbour a share varies by a fifth; four times that is no accident.
        assert!(at_neighbour <= 1.8, "{count} replicas: {at_neighbour}");
        assert_eq!(moved.len(), left.len(), "every neighbour takes some");
    }
}

#[test]
fn a_replica_that_fails_is_left_at_once_and_a_round_of_failures_is_followed_by_a_back_off() {
    let mut replicas = Replicas::new("h0", names(4));
    let order = replicas.order().to_vec();
    for round in 0..3 {
        for (place, replica) in order.iter().enumerate() {
            assert_eq!(replicas.current(), *replica);
            let step = replicas.ended(at(round as f64), Failed, HOLD_DOWN, 0.5);
            assert_eq!(step, if place == 3 { Step::BackOff } else { Step::MoveOn });
        }
    }
}

#[test]
fn a_busy_replica_is_left_after_two_refusals_in_a_row_and_never_without_a_pause() {
    let mut replicas = Replicas::new("h0", names(4));
    let first = replicas.current();
    for _ in 0..5 {
        assert_eq!(replicas.ended(at(0.0), Refused, HOLD_DOWN, 0.5), Step::Stay);
        // An answer between makes the count begin anew.
        assert_eq!(replicas.ended(at(0.0), Answered, HOLD_DOWN, 0.5), Step::Stay);
        assert_eq!(replicas.current(), first);
    }
    let steps = [0, 1].map(|_| replicas.ended(at(0.0), Refused, HOLD_DOWN, 0.5));
    assert_eq!(steps, [Step::Stay, Step::BackOff]);
    assert_ne!(replicas.current(), first);
    assert_eq!(replicas.serving(), 4, "it is busy, and not lost");
}

#[test]
fn one_address_is_never_left() {
    let mut replicas = Replicas::new("h0", names(1));
    for outcome in [Failed, Refused, Answered, Failed, Refused, Refused, Refused, Refused] {
        assert_eq!(replicas.ended(at(1e6), outcome, HOLD_DOWN, 1.0), Step::Stay);
        assert_eq!(replicas.current(), 0);
    }
}

/// Calls the second choice until it goes back to the first; the seconds that took, in steps of one.
fn returns_after(replicas: &mut Replicas, from: f64, jitter: f64) -> f64 {
    (0..)
        .map(f64::from)
        .find(|passed| replicas.ended(at(from + passed), Answered, HOLD_DOWN, jitter) == Step::Return)
        .unwrap()
}

#[test]
fn a_return_that_fails_goes_back_at_once_and_the_next_waits_twice_as_long_up_to_a_bound() {
    let mut replicas = Replicas::new("h0", names(4));
    let order = replicas.order().to_vec();
    let (mut now, mut waits) = (0.0, Vec::new());
    assert_eq!(replicas.ended(at(now), Failed, HOLD_DOWN, 0.0), Step::MoveOn);
    for _ in 0..7 {
        let waited = returns_after(&mut replicas, now, 0.0);
        assert_eq!(replicas.current(), order[0]);
        now += waited;
        waits.push(waited);
        // A replica that refuses has not come back either.
        let outcome = if waits.len() % 2 == 0 { Failed } else { Refused };
        assert_eq!(replicas.ended(at(now), outcome, HOLD_DOWN, 0.0), Step::MoveOn);
        assert_eq!(replicas.current(), order[1], "the one that worked");
    }
    assert_eq!(waits, [30.0, 60.0, 120.0, 240.0, 480.0, 480.0, 480.0]);
    // It comes back for good: the next hold-down is a short one again.
    now += returns_after(&mut replicas, now, 0.0);
    for passed in [0.0, 100.0, 481.0] {
        assert_eq!(replicas.ended(at(now + passed), Answered, HOLD_DOWN, 0.0), Step::Stay);
    }
    now += 500.0;
    assert_eq!(replicas.ended(at(now), Failed, HOLD_DOWN, 0.0), Step::MoveOn);
    assert_eq!(returns_after(&mut replicas, now, 0.0), 30.0);
}

#[test]
fn a_first_choice_that_fails_again_soon_after_a_return_counts_as_one_that_has_not_come_back() {
    let mut replicas = Replicas::new("h0", names(2));
    assert_eq!(replicas.ended(at(0.0), Failed, HOLD_DOWN, 0.0), Step::MoveOn);
    let back = returns_after(&mut replicas, 0.0, 0.0);
    assert_eq!(replicas.ended(at(back), Answered, HOLD_DOWN, 0.0), Step::Stay);
    assert_eq!(replicas.ended(at(back + 1.0), Failed, HOLD_DOWN, 0.0), Step::MoveOn);
    assert_eq!(returns_after(&mut replicas, back + 1.0, 0.0), 60.0);
}

#[test]
fn nodes_come_back_to_a_replica_over_a_time_that_is_as_long_as_the_shortest_hold_down() {
    let mut back: Vec<_> = (0..369)
        .map(|node| {
            let mut replicas = Replicas::new(&format!("h{node}"), names(16));
            let jitter = fastrand::Rng::with_seed(node).f64();
            replicas.ended(at(0.0), Failed, HOLD_DOWN, jitter);
            returns_after(&mut replicas, 0.0, jitter)
        })
        .collect();
    back.sort_by(f64::total_cmp);
    assert!(back[0] >= 30.0 && back[368] <= 61.0, "{back:?}");
    // 12 come in a second in the mean; a multiple of that is no accident.
    let most = back.chunk_by(|one, other| one == other).map(<[_]>::len).max().unwrap();
    assert!(most <= 30, "{most} in one second");
}

#[test]
fn a_change_of_the_replicas_keeps_the_current_one_if_it_stays() {
    let all = names(6);
    let mut replicas = Replicas::new("h0", all[..4].to_vec());
    replicas.ended(at(0.0), Failed, HOLD_DOWN, 0.0);
    let current = asked(&replicas, &all).to_owned();
    let mut other_order = all.clone();
    other_order.reverse();
    assert_eq!(replicas.change(other_order.clone()), Changed::CurrentStays);
    assert_eq!(asked(&replicas, &other_order), current);
    let without: Vec<_> = all.iter().filter(|name| **name != current).cloned().collect();
    assert_eq!(replicas.change(without.clone()), Changed::OthersStay);
    assert_eq!(asked(&replicas, &without), choice("h0", &without)[0], "the first choice of those");
    assert_eq!(replicas.change(vec!["10.9.9.9:7100".into()]), Changed::NoneStays);
    assert_eq!(replicas.current(), 0);
}

proptest! {
    #[test]
    fn the_order_of_choice_goes_by_the_set(node in "[a-z0-9-]{1,20}", count in 1..20_usize, seed in any::<u64>()) {
        let sorted = names(count);
        let mut shuffled = sorted.clone();
        fastrand::Rng::with_seed(seed).shuffle(&mut shuffled);
        prop_assert_eq!(choice(&node, &sorted), choice(&node, &shuffled));
        let mut all = choice(&node, &sorted);
        all.sort();
        let mut expected = sorted;
        expected.sort();
        prop_assert_eq!(all, expected);
    }

    // Whatever comes of calls: equal events have equal steps, a call goes to a replica that is named, only an answer at a
    // replica that is not the first choice is followed by a return, and all replicas are tried before a round is over.
    #[test]
    fn steps_follow_from_the_events_alone(
        count in 1..9_usize,
        events in prop::collection::vec((0..3_u8, 0.0..100.0_f64, 0.0..1.0_f64), 1..200),
    ) {
        let mut replicas = Replicas::new("h7", names(count));
        let mut same = replicas.clone();
        let (mut now, mut failed_in_a_row) = (0.0, Vec::new());
        for (outcome, passes, jitter) in events {
            now += passes;
            let outcome = [Answered, Refused, Failed][usize::from(outcome)];
            let (before, returning) = (replicas.current(), replicas.is_returning());
            let step = replicas.ended(at(now), outcome, HOLD_DOWN, jitter);
            prop_assert_eq!(step, same.ended(at(now), outcome, HOLD_DOWN, jitter));
            prop_assert!(replicas.current() < count && replicas.serving() >= 1 && replicas.serving() <= count);
            match step {
                Step::Stay => prop_assert_eq!(replicas.current(), before),
                Step::Return => {
                    prop_assert_eq!(outcome, Answered);
                    prop_assert_eq!(replicas.current(), replicas.order()[0]);
                    prop_assert!(before != replicas.current() && replicas.is_returning());
                }
                Step::MoveOn => prop_assert!(replicas.current() != before && outcome != Answered),
                Step::BackOff => prop_assert!(replicas.current() != before && outcome != Answered),
            }
            if outcome == Failed && !returning {
                failed_in_a_row.push(before);
                let round_is_over = failed_in_a_row.len() == count && count > 1;
                prop_assert_eq!(step == Step::BackOff, round_is_over);
                if round_is_over {
                    failed_in_a_row.sort_unstable();
                    failed_in_a_row.dedup();
                    prop_assert_eq!(failed_in_a_row.len(), count, "each was tried once");
                    failed_in_a_row.clear();
                }
            } else if outcome == Answered {
                failed_in_a_row.clear();
            } else if step == Step::BackOff || returning {
                // A busy replica is left, which counts as no failure: the round is not counted here any further.
                break;
            }
        }
    }
}
