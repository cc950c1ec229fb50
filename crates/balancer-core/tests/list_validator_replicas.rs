//! Checks which lists of several replicas of one service are accepted: versions do not decrease, and a server
//! that one replica reported as leaving does not become ready again because of an older list of another
//! replica.

#[path = "support/lists.rs"]
mod lists;

use balancer_core::discovery::{ListError, ListSource, ListValidator, ListWarning};
use balancer_core::EndpointState::{self, Draining, Ready, Removed};
use lists::{entry, validate_from, validator_with_list};
use proptest::prelude::*;
use std::collections::BTreeSet;

const NAMES: [&str; 5] = ["r0", "r1", "r2", "r3", "r4"];

fn source(index: usize, replicas: usize) -> ListSource<'static> {
    ListSource { replica: NAMES[index], replicas }
}

fn leaving(names: &[&str]) -> BTreeSet<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

#[test]
fn an_older_list_is_accepted_once_all_replicas_sent_one_in_a_row() {
    let mut validator = validator_with_list();
    let older = [entry("c", Ready)];
    let error = Err(ListError::OlderVersion { received: 1, current: 41 });
    for _ in 0..9 {
        assert_eq!(
            validate_from(&mut validator, source(0, 4), 1, true, &older),
            error,
            "one replica sends the same list again"
        );
    }
    for index in [1, 2] {
        assert_eq!(validate_from(&mut validator, source(index, 4), 1, true, &older), error);
        assert_eq!(
            validator.watch_from(),
            Some(41),
            "the current list stays valid, and another replica is polled for changes"
        );
    }
    // A replica that still has the current version restarts the count.
    assert_eq!(validate_from(&mut validator, source(3, 4), 41, false, &[]), Ok(vec![]));
    for index in [0, 1, 2] {
        assert_eq!(validate_from(&mut validator, source(index, 4), 1, true, &older), error);
    }
    let accepted = validate_from(&mut validator, source(3, 4), 1, true, &older);
    let error = ListError::OlderVersion { received: 1, current: 41 };
    assert_eq!(accepted, Ok(vec![ListWarning::AcceptedFromReplicas { error, replicas: 4 }]));
    assert_eq!(validator.watch_from(), Some(1));
}

#[test]
fn a_snapshot_is_requested_once_all_replicas_sent_older_changes() {
    let mut validator = validator_with_list();
    for index in 0..3 {
        assert_eq!(validator.watch_from(), Some(41));
        let result = validate_from(&mut validator, source(index, 3), 2, false, &[]);
        assert_eq!(result, Err(ListError::OlderVersion { received: 2, current: 41 }));
    }
    assert_eq!(validator.watch_from(), None);
    for index in [0, 1] {
        assert!(validate_from(&mut validator, source(index, 3), 2, true, &[entry("c", Ready)]).is_err());
    }
    assert!(validate_from(&mut validator, source(2, 3), 2, true, &[entry("c", Ready)]).is_ok());
}

#[test]
fn an_empty_list_is_accepted_from_three_replicas_or_from_both_of_two() {
    for (replicas, sources) in
        [(5, vec![0, 1, 2]), (3, vec![2, 0, 1]), (2, vec![0, 1, 0]), (2, vec![0, 0, 1])]
    {
        let mut validator = validator_with_list();
        let (last, first) = sources.split_last().unwrap();
        for index in first {
            let result = validate_from(&mut validator, source(*index, replicas), 42, true, &[]);
            assert_eq!(result, Err(ListError::Empty { known_ready: 2 }));
        }
        assert!(
            validate_from(&mut validator, source(*last, replicas), 42, true, &[]).is_ok(),
            "{replicas}: {sources:?}"
        );
    }
}

#[test]
fn suspicious_lists_no_longer_count_after_the_replicas_change() {
    let mut validator = validator_with_list();
    for index in [0, 1] {
        assert!(validate_from(&mut validator, source(index, 3), 42, true, &[]).is_err());
    }
    validator.replicas_replaced();
    for index in [2, 0] {
        assert!(validate_from(&mut validator, source(index, 3), 43, true, &[]).is_err());
    }
    assert!(validate_from(&mut validator, source(1, 3), 43, true, &[]).is_ok());
}

#[test]
fn a_leaving_server_is_suppressed_until_an_equally_new_list_names_it() {
    let mut validator = validator_with_list();
    validator.leaving_reported(source(0, 3), Some(43), leaving(&["b"]));
    assert_eq!(validator.watch_from(), Some(41), "another replica is polled for changes, not for a snapshot");
    for (version, is_snapshot) in [(41, true), (42, false), (42, true)] {
        let entries = [entry("a", Ready), entry("b", Ready)];
        assert_eq!(validate_from(&mut validator, source(1, 3), version, is_snapshot, &entries), Ok(vec![]));
        assert!(validator.suppressed().contains("b") && !validator.is_ready("b"), "{version}");
    }
    assert_eq!(validate_from(&mut validator, source(1, 3), 43, false, &[entry("b", Draining)]), Ok(vec![]));
    assert!(validator.suppressed().is_empty());
    assert_eq!(validator.watch_from(), Some(43));
    assert_eq!(validate_from(&mut validator, source(1, 3), 44, false, &[entry("b", Ready)]), Ok(vec![]));
    assert!(validator.is_ready("b"));
}

#[test]
fn suppressed_servers_that_newer_changes_do_not_name_need_a_snapshot() {
    let mut validator = validator_with_list();
    validator.leaving_reported(source(0, 3), Some(43), leaving(&["b"]));
    assert_eq!(validate_from(&mut validator, source(1, 3), 44, false, &[entry("a", Draining)]), Ok(vec![]));
    assert!(validator.suppressed().contains("b"));
    assert_eq!(validator.watch_from(), None);
    assert_eq!(validate_from(&mut validator, source(1, 3), 44, true, &[entry("b", Ready)]), Ok(vec![]));
    assert!(validator.suppressed().is_empty() && validator.is_ready("b"));
}

#[test]
fn an_implausible_version_suppresses_servers_for_a_bounded_number_of_versions() {
    let mut validator = validator_with_list();
    validator.leaving_reported(source(0, 3), Some(u64::MAX), leaving(&["b"]));
    let entries = [entry("a", Ready), entry("b", Ready)];
    assert!(validate_from(&mut validator, source(1, 3), 1_041, true, &entries).is_ok());
    assert!(validator.suppressed().contains("b"));
    assert!(validate_from(&mut validator, source(1, 3), 1_042, true, &entries).is_ok());
    assert!(validator.suppressed().is_empty());
    // A node without a list has no version to compare with.
    let mut validator = ListValidator::default();
    validator.leaving_reported(source(0, 3), Some(u64::MAX), leaving(&["b"]));
    assert!(validate_from(&mut validator, source(1, 3), 500_000, true, &entries).is_ok());
    assert!(validator.suppressed().contains("b"));
    assert!(validate_from(&mut validator, source(1, 3), 501_001, true, &entries).is_ok());
    assert!(validator.suppressed().is_empty());
}

/// Generates answers: the replica, a version, whether it is a snapshot, entries, and whether the answer is
/// cut off.
fn any_answer() -> impl Strategy<Value = (usize, u64, bool, Vec<(usize, EndpointState)>, bool)> {
    let state = prop::sample::select(vec![Ready, Draining, Removed]);
    let entries = prop::collection::vec((0..4_usize, state), 0..4);
    (0..5_usize, 38..50_u64, any::<bool>(), entries, prop::bool::weighted(0.2))
}

proptest! {
    /// Guards against replicas that lag after a network partition: they could decrease the version, or make a
    /// server ready again that another replica reported as leaving, and requests would go to a server that is
    /// shutting down. Regardless of what they send, the version decreases only after each of them has sent an
    /// older list since one was accepted, all known servers disappear only after three of them (or both of
    /// two) sent an empty list, and a leaving server becomes ready only by a list as new as the report.
    #[test]
    fn versions_do_not_go_back_and_leaving_servers_stay_suppressed(
        replicas in 2..5_usize,
        lists in prop::collection::vec(any_answer(), 1..80),
    ) {
        let servers = ["a", "b", "c", "d"];
        let mut validator = validator_with_list();
        let (mut current, mut sources) = (41, BTreeSet::new());
        let mut leaving_since = [0_u64; 4];
        for (index, version, is_snapshot, entries, is_cut_off) in lists {
            let from = source(index % replicas, replicas);
            if is_cut_off {
                let names: Vec<_> = entries.iter().filter(|(_, state)| *state != Ready).map(|(name, _)| *name).collect();
                for name in &names {
                    leaving_since[*name] = leaving_since[*name].max(version);
                }
                validator.leaving_reported(from, Some(version), names.iter().map(|name| servers[*name].to_owned()).collect());
                continue;
            }
            let received: Vec<_> = entries.iter().map(|(name, state)| entry(servers[*name], *state)).collect();
            match validate_from(&mut validator, from, version, is_snapshot, &received) {
                Ok(warnings) => {
                    let by_replicas = warnings.iter().any(|warning| matches!(warning, ListWarning::AcceptedFromReplicas { .. }));
                    sources.insert(from.replica);
                    prop_assert!(version >= current || (by_replicas && sources.len() == replicas));
                    prop_assert!(!by_replicas || sources.len() >= replicas.min(3));
                    for (index, name) in servers.iter().enumerate() {
                        prop_assert!(version >= leaving_since[index] || !validator.is_ready(name), "{}", name);
                    }
                    // A list as new as the report decides the state of the server.
                    for (index, leaving) in leaving_since.iter_mut().enumerate().filter(|(_, since)| version >= **since) {
                        if is_snapshot || entries.iter().any(|(name, _)| *name == index) {
                            *leaving = 0;
                        }
                    }
                    current = version;
                    sources.clear();
                }
                Err(ListError::OlderVersion { .. } | ListError::Empty { .. }) => drop(sources.insert(from.replica)),
                Err(_) => {}
            }
        }
    }
}
