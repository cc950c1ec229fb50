//! Checks which lists of a single discovery service are accepted.

#[path = "support/lists.rs"]
mod lists;

use balancer_core::discovery::{ListEntry, ListError, ListSource, ListValidator, ListWarning};
use balancer_core::EndpointState::{self, Draining, Ready, Removed};
use lists::{entry, validate_from, validator_with_list};
use proptest::prelude::*;

/// Validates a list of a service without replicas.
fn validate(
    validator: &mut ListValidator,
    version: u64,
    is_snapshot: bool,
    entries: &[ListEntry],
) -> Result<Vec<ListWarning>, ListError> {
    validate_from(validator, ListSource::SINGLE, version, is_snapshot, entries)
}

#[test]
fn deltas_and_snapshots_that_follow_the_current_version_are_accepted() {
    let mut validator = validator_with_list();
    assert_eq!(validate(&mut validator, 41, false, &[]), Ok(vec![]), "no changes");
    assert_eq!(
        validate(&mut validator, 42, false, &[entry("a", Draining), entry("a", Removed)]),
        Ok(vec![]),
        "in order"
    );
    assert_eq!(validate(&mut validator, 50, true, &[entry("b", Ready)]), Ok(vec![]));
    assert_eq!(validator.watch_from(), Some(50));
    assert_eq!(validate(&mut validator, 50, true, &[entry("b", Ready)]), Ok(vec![]), "the same list again");
}

#[test]
fn an_older_version_is_rejected_and_a_snapshot_requested() {
    let mut validator = validator_with_list();
    let older = Err(ListError::OlderVersion { received: 40, current: 41 });
    assert_eq!(validate(&mut validator, 40, false, &[entry("a", Removed)]), older);
    assert_eq!(validator.watch_from(), None);
    // Changes of any version are rejected, since a snapshot was requested.
    assert_eq!(validate(&mut validator, 42, false, &[entry("a", Removed)]), Err(ListError::UnexpectedDelta));
    assert_eq!(validate(&mut validator, 42, true, &[entry("c", Ready)]), Ok(vec![]));
    assert_eq!(validator.watch_from(), Some(42));
}

#[test]
fn a_discovery_that_lost_its_versions_is_accepted_the_third_time() {
    let mut validator = validator_with_list();
    let error = ListError::OlderVersion { received: 1, current: 41 };
    for _ in 0..2 {
        assert_eq!(validate(&mut validator, 1, true, &[entry("c", Ready)]), Err(error.clone()));
        assert_eq!(validator.watch_from(), None, "a watch would wait for version 42");
    }
    let accepted = validate(&mut validator, 1, true, &[entry("c", Ready)]);
    assert_eq!(accepted, Ok(vec![ListWarning::AcceptedAfterRepeats(error)]));
    assert_eq!(validator.watch_from(), Some(1));
    assert_eq!(validate(&mut validator, 2, false, &[]), Ok(vec![]));
}

#[test]
fn an_empty_list_is_accepted_only_the_third_time_in_a_row() {
    let mut validator = validator_with_list();
    let error = ListError::Empty { known_ready: 2 };
    assert_eq!(validate(&mut validator, 42, true, &[]), Err(error.clone()));
    assert_eq!(validate(&mut validator, 43, true, &[]), Err(error.clone()));
    assert_eq!(
        validate(&mut validator, 44, true, &[entry("a", Ready)]),
        Ok(vec![]),
        "a valid list in between"
    );
    for version in [45, 46] {
        assert_eq!(validate(&mut validator, version, true, &[]), Err(ListError::Empty { known_ready: 1 }));
    }
    assert_eq!(
        validate(&mut validator, 47, true, &[]),
        Ok(vec![ListWarning::AcceptedAfterRepeats(ListError::Empty { known_ready: 1 })])
    );
    // No known server is left, so another empty list is not suspicious.
    assert_eq!(validate(&mut validator, 48, true, &[]), Ok(vec![]));
}

#[test]
fn a_snapshot_with_a_duplicate_id_is_never_accepted() {
    let mut validator = validator_with_list();
    let entries = [entry("a", Ready), entry("b", Ready), entry("a", Draining)];
    for _ in 0..9 {
        let duplicate = ListError::DuplicateId { first: 0, second: 2, id: "a".into() };
        assert_eq!(validate(&mut validator, 42, true, &entries), Err(duplicate));
        assert_eq!(validator.watch_from(), None);
    }
    assert_eq!(validate(&mut validator, 42, true, &entries[..2]), Ok(vec![]));
}

#[test]
fn a_ready_server_without_an_address_is_a_warning() {
    let mut validator = validator_with_list();
    let unreachable = ListEntry { has_address: false, ..entry("c", Ready) };
    let accepted = validate(&mut validator, 42, false, &[entry("a", Draining), unreachable]);
    assert_eq!(accepted, Ok(vec![ListWarning::MissingAddress { index: 1, id: "c".into() }]));
    let message = accepted.unwrap()[0].to_string();
    assert_eq!(message, "hosts[1]: c is ready and has no address; expected one in dial");
    let removed = ListEntry { has_address: false, ..entry("b", Removed) };
    assert_eq!(
        validate(&mut validator, 43, false, &[removed]),
        Ok(vec![]),
        "a removed server needs no address"
    );
}

#[test]
fn a_replaced_service_is_asked_for_a_snapshot_and_has_its_own_versions() {
    let mut validator = validator_with_list();
    validator.service_replaced();
    assert_eq!(validator.watch_from(), None);
    assert_eq!(
        validate(&mut validator, 1, true, &[]),
        Err(ListError::Empty { known_ready: 2 }),
        "its servers are still known"
    );
    assert_eq!(validate(&mut validator, 1, true, &[entry("a", Ready)]), Ok(vec![]));
}

/// Generates lists: a version, whether it is a snapshot, and entries of a few servers.
fn any_list() -> impl Strategy<Value = (u64, bool, Vec<(usize, EndpointState, bool)>)> {
    let state = prop::sample::select(vec![Ready, Draining, Removed]);
    let entries = prop::collection::vec((0..6_usize, state, any::<bool>()), 0..5);
    (0..20_u64, any::<bool>(), entries)
}

const NAMES: [&str; 6] = ["a", "b", "c", "d", "e", "f"];

proptest! {
    /// A discovery that restarted, or whose store was damaged, may send any list once or twice. If one such
    /// list were accepted, the node would lose its whole fleet at once or fall back to an old state of it.
    /// Whatever lists are received, the next request is for changes after the accepted version or for a
    /// snapshot, and only a list that was received three times decreases the version or removes all known
    /// servers.
    #[test]
    fn no_single_list_takes_the_version_back_or_empties_the_fleet(lists in prop::collection::vec(any_list(), 1..60)) {
        let mut validator = validator_with_list();
        let (mut current, mut suspicious) = (41, 0);
        for (version, is_snapshot, entries) in lists {
            let entries: Vec<_> = entries
                .into_iter()
                .map(|(name, state, has_address)| ListEntry { id: NAMES[name], state, has_address })
                .collect();
            match validate(&mut validator, version, is_snapshot, &entries) {
                Ok(warnings) => {
                    let repeated = warnings.iter().any(|warning| matches!(warning, ListWarning::AcceptedAfterRepeats(_)));
                    prop_assert!(version >= current || repeated);
                    prop_assert_eq!(repeated, suspicious == 2 && (version < current || repeated));
                    (current, suspicious) = (version, 0);
                    prop_assert_eq!(validator.watch_from(), Some(current));
                }
                Err(error) => {
                    let is_suspicious = is_snapshot && matches!(error, ListError::Empty { .. } | ListError::OlderVersion { .. });
                    suspicious += u32::from(is_suspicious);
                    prop_assert_eq!(validator.watch_from(), None);
                }
            }
            prop_assert!(suspicious < 3);
        }
    }

    /// Rejecting a list of a working discovery would delay a change by a poll and a backoff, so none may be
    /// rejected, however the fleet changes.
    #[test]
    fn every_list_of_a_working_discovery_is_accepted(changes in prop::collection::vec((any::<bool>(), 0..6_usize), 1..60)) {
        let mut validator = ListValidator::default();
        let mut listed = std::collections::BTreeSet::from(["a"]);
        let snapshot: Vec<_> = listed.iter().map(|name| entry(name, Ready)).collect();
        prop_assert_eq!(validate(&mut validator, 0, true, &snapshot), Ok(vec![]));
        for (version, (is_snapshot, name)) in (1..).zip(changes) {
            let name = NAMES[name];
            let state = if listed.remove(name) { Removed } else { listed.insert(name); Ready };
            if is_snapshot && !listed.is_empty() {
                let snapshot: Vec<_> = listed.iter().map(|name| entry(name, Ready)).collect();
                prop_assert_eq!(validate(&mut validator, version, true, &snapshot), Ok(vec![]));
            } else {
                prop_assert_eq!(validate(&mut validator, version, false, &[entry(name, state)]), Ok(vec![]));
            }
        }
    }
}
