//! Lists that cannot be right, in the order in which a node is told them.

use balancer_core::membership::{Doubt, Listed, Membership, Remark};
use balancer_core::EndpointState::{self, Draining, Ready, Removed};
use proptest::prelude::*;

fn host(name: &str, state: EndpointState) -> Listed<'_> {
    Listed { name, state, has_address: true }
}

fn holding() -> Membership {
    Membership::new(Some(41), ["a".to_owned(), "b".to_owned()])
}

#[test]
fn changes_and_whole_lists_that_go_on_from_what_is_held_are_taken() {
    let mut list = holding();
    assert_eq!(list.judge(41, false, &[]), Ok(vec![]), "nothing new");
    assert_eq!(list.judge(42, false, &[host("a", Draining), host("a", Removed)]), Ok(vec![]), "in order");
    assert_eq!(list.judge(50, true, &[host("b", Ready)]), Ok(vec![]));
    assert_eq!(list.asks_after(), Some(50));
    assert_eq!(list.judge(50, true, &[host("b", Ready)]), Ok(vec![]), "the same again");
}

#[test]
fn a_version_that_goes_back_is_not_taken_and_the_whole_list_is_asked_for() {
    let mut list = holding();
    let older = Err(Doubt::Older { told: 40, held: 41 });
    assert_eq!(list.judge(40, false, &[host("a", Removed)]), older);
    assert_eq!(list.asks_after(), None);
    // Changes are no answer to that, of whatever version.
    assert_eq!(list.judge(42, false, &[host("a", Removed)]), Err(Doubt::NotWhole));
    assert_eq!(list.judge(42, true, &[host("c", Ready)]), Ok(vec![]));
    assert_eq!(list.asks_after(), Some(42));
}

#[test]
fn a_discovery_that_counts_anew_is_believed_at_the_third_time() {
    let mut list = holding();
    let doubt = Doubt::Older { told: 1, held: 41 };
    for _ in 0..2 {
        assert_eq!(list.judge(1, true, &[host("c", Ready)]), Err(doubt.clone()));
        assert_eq!(list.asks_after(), None, "a watch would wait for version 42");
    }
    let taken = list.judge(1, true, &[host("c", Ready)]);
    assert_eq!(taken, Ok(vec![Remark::Believed(doubt)]));
    assert_eq!(list.asks_after(), Some(1));
    assert_eq!(list.judge(2, false, &[]), Ok(vec![]));
}

#[test]
fn a_list_of_nobody_is_believed_at_the_third_time_in_a_row_only() {
    let mut list = holding();
    let doubt = Doubt::Empty { known: 2 };
    assert_eq!(list.judge(42, true, &[]), Err(doubt.clone()));
    assert_eq!(list.judge(43, true, &[]), Err(doubt.clone()));
    assert_eq!(list.judge(44, true, &[host("a", Ready)]), Ok(vec![]), "a good one between");
    for seq in [45, 46] {
        assert_eq!(list.judge(seq, true, &[]), Err(Doubt::Empty { known: 1 }));
    }
    assert_eq!(list.judge(47, true, &[]), Ok(vec![Remark::Believed(Doubt::Empty { known: 1 })]));
    // Nobody is known any more: there is nothing to lose.
    assert_eq!(list.judge(48, true, &[]), Ok(vec![]));
}

#[test]
fn a_whole_list_that_names_a_server_twice_is_never_taken() {
    let mut list = holding();
    let hosts = [host("a", Ready), host("b", Ready), host("a", Draining)];
    for _ in 0..9 {
        let twice = Doubt::Twice { first: 0, second: 2, name: "a".into() };
        assert_eq!(list.judge(42, true, &hosts), Err(twice));
        assert_eq!(list.asks_after(), None);
    }
    assert_eq!(list.judge(42, true, &hosts[..2]), Ok(vec![]));
}

#[test]
fn a_ready_server_without_an_address_is_remarked_and_its_list_is_taken() {
    let mut list = holding();
    let lost = Listed { has_address: false, ..host("c", Ready) };
    let taken = list.judge(42, false, &[host("a", Draining), lost]);
    assert_eq!(taken, Ok(vec![Remark::NoAddress { at: 1, name: "c".into() }]));
    let words = taken.unwrap()[0].to_string();
    assert_eq!(words, "hosts[1]: c is ready and has no address; expected one in dial");
    let gone = Listed { has_address: false, ..host("b", Removed) };
    assert_eq!(list.judge(43, false, &[gone]), Ok(vec![]), "one that is gone needs none");
}

#[test]
fn another_discovery_is_asked_for_the_whole_list_and_its_versions_are_its_own() {
    let mut list = holding();
    list.moved();
    assert_eq!(list.asks_after(), None);
    assert_eq!(list.judge(1, true, &[]), Err(Doubt::Empty { known: 2 }), "whom it knew it still knows");
    assert_eq!(list.judge(1, true, &[host("a", Ready)]), Ok(vec![]));
}

/// What a discovery may say: a version, whether it is the whole list, and entries of a few servers.
fn told() -> impl Strategy<Value = (u64, bool, Vec<(usize, EndpointState, bool)>)> {
    let state = prop::sample::select(vec![Ready, Draining, Removed]);
    let hosts = prop::collection::vec((0..6_usize, state, any::<bool>()), 0..5);
    (0..20_u64, any::<bool>(), hosts)
}

const NAMES: [&str; 6] = ["a", "b", "c", "d", "e", "f"];

proptest! {
    // Whatever is told: what is asked for next is what was taken last or the whole list, and a version goes back, or all
    // that is known goes at once, only by what was told three times.
    #[test]
    fn nothing_that_is_told_once_takes_a_version_or_the_whole_fleet_back(lists in prop::collection::vec(told(), 1..60)) {
        let mut list = holding();
        let (mut held, mut doubted) = (41, 0);
        for (seq, whole, hosts) in lists {
            let hosts: Vec<_> = hosts
                .into_iter()
                .map(|(name, state, has_address)| Listed { name: NAMES[name], state, has_address })
                .collect();
            match list.judge(seq, whole, &hosts) {
                Ok(remarks) => {
                    let believed = remarks.iter().any(|remark| matches!(remark, Remark::Believed(_)));
                    prop_assert!(seq >= held || believed);
                    prop_assert_eq!(believed, doubted == 2 && (seq < held || believed));
                    (held, doubted) = (seq, 0);
                    prop_assert_eq!(list.asks_after(), Some(held));
                }
                Err(doubt) => {
                    let may_be_so = whole && matches!(doubt, Doubt::Empty { .. } | Doubt::Older { .. });
                    doubted += u32::from(may_be_so);
                    prop_assert_eq!(list.asks_after(), None);
                }
            }
            prop_assert!(doubted < 3);
        }
    }

    // A discovery that works is never doubted, however its fleet changes.
    #[test]
    fn what_a_discovery_that_works_tells_is_always_taken(changes in prop::collection::vec((any::<bool>(), 0..6_usize), 1..60)) {
        let mut list = Membership::default();
        let mut here = std::collections::BTreeSet::from(["a"]);
        let whole: Vec<_> = here.iter().map(|name| host(name, Ready)).collect();
        prop_assert_eq!(list.judge(0, true, &whole), Ok(vec![]));
        for (seq, (all, name)) in (1..).zip(changes) {
            let name = NAMES[name];
            let state = if here.remove(name) { Removed } else { here.insert(name); Ready };
            if all && !here.is_empty() {
                let whole: Vec<_> = here.iter().map(|name| host(name, Ready)).collect();
                prop_assert_eq!(list.judge(seq, true, &whole), Ok(vec![]));
            } else {
                prop_assert_eq!(list.judge(seq, false, &[host(name, state)]), Ok(vec![]));
            }
        }
    }
}
