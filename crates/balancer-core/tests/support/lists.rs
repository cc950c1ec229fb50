//! Lists, and a validator that holds one.

use balancer_core::discovery::{ListEntry, ListError, ListSource, ListValidator, ListWarning, ReceivedList};
use balancer_core::EndpointState;

/// An entry with an address.
pub fn entry(id: &str, state: EndpointState) -> ListEntry<'_> {
    ListEntry { id, state, has_address: true }
}

/// A validator that holds version 41, with two ready servers.
pub fn holding() -> ListValidator {
    ListValidator::new(Some(41), ["a".to_owned(), "b".to_owned()])
}

/// Validates a list of this source.
pub fn validate_from(
    validator: &mut ListValidator,
    source: ListSource,
    version: u64,
    is_snapshot: bool,
    entries: &[ListEntry],
) -> Result<Vec<ListWarning>, ListError> {
    validator.validate(source, &ReceivedList { version, is_snapshot, entries })
}
