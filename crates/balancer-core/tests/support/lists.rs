//! Helpers that create list entries and validators.

use balancer_core::discovery::{ListEntry, ListError, ListSource, ListValidator, ListWarning, ReceivedList};
use balancer_core::EndpointState;

/// Creates an entry with an address.
pub fn entry(id: &str, state: EndpointState) -> ListEntry<'_> {
    ListEntry { id, state, has_address: true }
}

/// Creates a validator whose current list has version 41 and two ready servers.
pub fn validator_with_list() -> ListValidator {
    ListValidator::new(Some(41), ["a".to_owned(), "b".to_owned()])
}

/// Validates a list from this source.
pub fn validate_from(
    validator: &mut ListValidator,
    source: ListSource,
    version: u64,
    is_snapshot: bool,
    entries: &[ListEntry],
) -> Result<Vec<ListWarning>, ListError> {
    validator.validate(source, &ReceivedList { version, is_snapshot, entries })
}
