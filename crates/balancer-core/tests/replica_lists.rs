//! Lists that replicas of one service tell, in the order in which a node is told them: versions do not go back, and a server
//! that one replica told to be leaving is not made ready again by another that lags.

use balancer_core::membership::{Doubt, Listed, Membership, Remark, Teller};
use balancer_core::EndpointState::{self, Draining, Ready, Removed};
use proptest::prelude::*;
use std::collections::BTreeSet;

const NAMES: [&str; 5] = ["r0", "r1", "r2", "r3", "r4"];

fn host(name: &str, state: EndpointState) -> Listed<'_> {
    Listed { name, state, has_address: true }
}

fn holding() -> Membership {
    Membership::new(Some(41), ["a".to_owned(), "b".to_owned()])
}

fn teller(place: usize, replicas: usize) -> Teller<'static> {
    Teller { replica: NAMES[place], replicas }
}

fn leaving(names: &[&str]) -> BTreeSet<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

#[test]
fn an_older_list_is_believed_only_when_every_replica_has_told_one_since_the_last_that_was_taken() {
    let mut list = holding();
    let older = [host("c", Ready)];
    let doubt = Err(Doubt::Older { told: 1, held: 41 });
    for _ in 0..9 {
        assert_eq!(list.judge_from(teller(0, 4), 1, true, &older), doubt, "it repeats itself");
    }
    for place in [1, 2] {
        assert_eq!(list.judge_from(teller(place, 4), 1, true, &older), doubt);
        assert_eq!(
            list.asks_after(),
            Some(41),
            "the list held is good, and a neighbour is asked for changes"
        );
    }
    // One that still has the version makes the count begin anew.
    assert_eq!(list.judge_from(teller(3, 4), 41, false, &[]), Ok(vec![]));
    for place in [0, 1, 2] {
        assert_eq!(list.judge_from(teller(place, 4), 1, true, &older), doubt);
    }
    let taken = list.judge_from(teller(3, 4), 1, true, &older);
    let doubt = Doubt::Older { told: 1, held: 41 };
    assert_eq!(taken, Ok(vec![Remark::BelievedOfReplicas { doubt, replicas: 4 }]));
    assert_eq!(list.asks_after(), Some(1));
}

#[test]
fn replicas_that_count_anew_and_tell_changes_are_asked_for_the_full_list_once_all_have_told_so() {
    let mut list = holding();
    for place in 0..3 {
        assert_eq!(list.asks_after(), Some(41));
        let told = list.judge_from(teller(place, 3), 2, false, &[]);
        assert_eq!(told, Err(Doubt::Older { told: 2, held: 41 }));
    }
    assert_eq!(list.asks_after(), None);
    for place in [0, 1] {
        assert!(list.judge_from(teller(place, 3), 2, true, &[host("c", Ready)]).is_err());
    }
    assert!(list.judge_from(teller(2, 3), 2, true, &[host("c", Ready)]).is_ok());
}

#[test]
fn an_empty_list_is_believed_of_three_replicas_or_of_both() {
    for (replicas, tellers) in
        [(5, vec![0, 1, 2]), (3, vec![2, 0, 1]), (2, vec![0, 1, 0]), (2, vec![0, 0, 1])]
    {
        let mut list = holding();
        let (last, first) = tellers.split_last().unwrap();
        for place in first {
            let told = list.judge_from(teller(*place, replicas), 42, true, &[]);
            assert_eq!(told, Err(Doubt::Empty { known: 2 }));
        }
        assert!(list.judge_from(teller(*last, replicas), 42, true, &[]).is_ok(), "{replicas}: {tellers:?}");
    }
}

#[test]
fn who_doubted_is_forgotten_when_the_replicas_change() {
    let mut list = holding();
    for place in [0, 1] {
        assert!(list.judge_from(teller(place, 3), 42, true, &[]).is_err());
    }
    list.replicas_changed();
    for place in [2, 0] {
        assert!(list.judge_from(teller(place, 3), 43, true, &[]).is_err());
    }
    assert!(list.judge_from(teller(1, 3), 43, true, &[]).is_ok());
}

#[test]
fn a_server_told_to_be_leaving_is_withheld_until_a_list_as_new_tells_of_it() {
    let mut list = holding();
    list.heeded_from(teller(0, 3), Some(43), leaving(&["b"]));
    assert_eq!(list.asks_after(), Some(41), "a neighbour is asked for changes, not for all");
    for (seq, whole) in [(41, true), (42, false), (42, true)] {
        let hosts = [host("a", Ready), host("b", Ready)];
        assert_eq!(list.judge_from(teller(1, 3), seq, whole, &hosts), Ok(vec![]));
        assert!(list.withheld().contains("b") && !list.is_ready("b"), "{seq}");
    }
    assert_eq!(list.judge_from(teller(1, 3), 43, false, &[host("b", Draining)]), Ok(vec![]));
    assert!(list.withheld().is_empty());
    assert_eq!(list.asks_after(), Some(43));
    assert_eq!(list.judge_from(teller(1, 3), 44, false, &[host("b", Ready)]), Ok(vec![]));
    assert!(list.is_ready("b"));
}

#[test]
fn what_newer_changes_do_not_tell_of_is_asked_of_the_full_list() {
    let mut list = holding();
    list.heeded_from(teller(0, 3), Some(43), leaving(&["b"]));
    assert_eq!(list.judge_from(teller(1, 3), 44, false, &[host("a", Draining)]), Ok(vec![]));
    assert!(list.withheld().contains("b"));
    assert_eq!(list.asks_after(), None);
    assert_eq!(list.judge_from(teller(1, 3), 44, true, &[host("b", Ready)]), Ok(vec![]));
    assert!(list.withheld().is_empty() && list.is_ready("b"));
}

#[test]
fn a_version_that_an_answer_made_up_withholds_a_server_for_a_bounded_number_of_versions() {
    let mut list = holding();
    list.heeded_from(teller(0, 3), Some(u64::MAX), leaving(&["b"]));
    let hosts = [host("a", Ready), host("b", Ready)];
    assert!(list.judge_from(teller(1, 3), 1_041, true, &hosts).is_ok());
    assert!(list.withheld().contains("b"));
    assert!(list.judge_from(teller(1, 3), 1_042, true, &hosts).is_ok());
    assert!(list.withheld().is_empty());
    // Without a list of its own a node knows no version to begin with.
    let mut list = Membership::default();
    list.heeded_from(teller(0, 3), Some(u64::MAX), leaving(&["b"]));
    assert!(list.judge_from(teller(1, 3), 500_000, true, &hosts).is_ok());
    assert!(list.withheld().contains("b"));
    assert!(list.judge_from(teller(1, 3), 501_001, true, &hosts).is_ok());
    assert!(list.withheld().is_empty());
}

/// What a replica says: which one, a version, whether it is the full list, entries, and whether the answer broke off.
fn told() -> impl Strategy<Value = (usize, u64, bool, Vec<(usize, EndpointState)>, bool)> {
    let state = prop::sample::select(vec![Ready, Draining, Removed]);
    let hosts = prop::collection::vec((0..4_usize, state), 0..4);
    (0..5_usize, 38..50_u64, any::<bool>(), hosts, prop::bool::weighted(0.2))
}

proptest! {
    // Whatever replicas tell: a version goes back only after each of them has told an older list since one was taken, all
    // that is known goes at once only after three of them (or both), and what one told to be leaving is ready only by a list
    // as new as that answer.
    #[test]
    fn versions_do_not_go_back_and_leaving_servers_stay_away(
        replicas in 2..5_usize,
        lists in prop::collection::vec(told(), 1..80),
    ) {
        let servers = ["a", "b", "c", "d"];
        let mut list = holding();
        let (mut held, mut tellers) = (41, BTreeSet::new());
        let mut told_leaving = [0_u64; 4];
        for (place, seq, whole, hosts, breaks_off) in lists {
            let from = teller(place % replicas, replicas);
            if breaks_off {
                let names: Vec<_> = hosts.iter().filter(|(_, state)| *state != Ready).map(|(name, _)| *name).collect();
                for name in &names {
                    told_leaving[*name] = told_leaving[*name].max(seq);
                }
                list.heeded_from(from, Some(seq), names.iter().map(|name| servers[*name].to_owned()).collect());
                continue;
            }
            let listed: Vec<_> = hosts.iter().map(|(name, state)| host(servers[*name], *state)).collect();
            match list.judge_from(from, seq, whole, &listed) {
                Ok(remarks) => {
                    let believed = remarks.iter().any(|remark| matches!(remark, Remark::BelievedOfReplicas { .. }));
                    tellers.insert(from.replica);
                    prop_assert!(seq >= held || (believed && tellers.len() == replicas));
                    prop_assert!(!believed || tellers.len() >= replicas.min(3));
                    for (place, name) in servers.iter().enumerate() {
                        prop_assert!(seq >= told_leaving[place] || !list.is_ready(name), "{}", name);
                    }
                    // What is as new tells whether it is still so.
                    for (place, leaving) in told_leaving.iter_mut().enumerate().filter(|(_, told)| seq >= **told) {
                        if whole || hosts.iter().any(|(name, _)| *name == place) {
                            *leaving = 0;
                        }
                    }
                    held = seq;
                    tellers.clear();
                }
                Err(Doubt::Older { .. } | Doubt::Empty { .. }) => drop(tellers.insert(from.replica)),
                Err(_) => {}
            }
        }
    }
}
