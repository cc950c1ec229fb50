//! Bounds how many connections may wait for the rest of a request, so that clients that stop within a request
//! or write slowly can't hold all connections or all memory.
//!
//! A request that arrives with its first packets never waits. Where too many requests wait, the one that has
//! waited for longest is rejected if it has had its time, and the newest otherwise, so that each of them gets
//! the same time.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;
use tokio::time::Instant;

/// Time that an incomplete request gets at least, unless it is rejected at once.
pub(super) const MIN_RECEIVE_TIME: Duration = Duration::from_millis(500);

/// What happens to an incomplete request for which there is no room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Decision {
    /// The request of this connection is rejected in its favour.
    Reject {
        /// The number of the connection.
        connection: u64,
    },
    /// The request itself is rejected.
    RejectNewest {
        /// The time after which another request has had its time.
        retry_after: Duration,
    },
}

/// The connections whose request is incomplete, by the time since which they wait.
#[derive(Debug, Default)]
pub(super) struct IncompleteRequests {
    since: HashMap<u64, Instant>,
    oldest: BTreeSet<(Instant, u64)>,
}

impl IncompleteRequests {
    /// Adds the request of a connection that waits for its client. Returns what is to be done if more than
    /// `max` wait. A connection that waits already keeps its time.
    pub(super) fn add(&mut self, connection: u64, now: Instant, max: usize) -> Option<Decision> {
        if self.since.contains_key(&connection) {
            return None;
        }
        let decision = (self.since.len() >= max).then(|| self.make_room(connection, now));
        if !matches!(decision, Some(Decision::RejectNewest { .. })) {
            self.since.insert(connection, now);
            self.oldest.insert((now, connection));
        }
        decision
    }

    /// Decides whose request is rejected where there is no room for that of `connection`.
    pub(super) fn make_room(&mut self, connection: u64, now: Instant) -> Decision {
        let others = |entry: &&(Instant, u64)| entry.1 != connection;
        let Some((since, oldest)) = self.oldest.iter().find(others).copied() else {
            return Decision::RejectNewest { retry_after: MIN_RECEIVE_TIME };
        };
        let waited = now.saturating_duration_since(since);
        if waited < MIN_RECEIVE_TIME {
            return Decision::RejectNewest { retry_after: MIN_RECEIVE_TIME - waited };
        }
        self.remove(oldest);
        Decision::Reject { connection: oldest }
    }

    /// Removes the request that has waited for longest and returns its connection, or `None` if none has had
    /// its time.
    pub(super) fn take_oldest(&mut self, now: Instant) -> Option<u64> {
        let (since, oldest) = self.oldest.first().copied()?;
        let has_had_its_time = now.saturating_duration_since(since) >= MIN_RECEIVE_TIME;
        has_had_its_time.then(|| {
            self.remove(oldest);
            oldest
        })
    }

    /// Removes the request of a connection, because it is complete or has ended.
    pub(super) fn remove(&mut self, connection: u64) {
        if let Some(since) = self.since.remove(&connection) {
            self.oldest.remove(&(since, connection));
        }
    }
}

#[cfg(test)]
mod tests;
