//! Tracks servers that get no new requests although an accepted list says that they are ready.
//!
//! A replica reported these servers as draining or removed in an answer that was cut off or rejected. Other
//! replicas may not know that yet. Without suppression, their older lists would make the servers ready again,
//! and requests would go to servers that are shutting down. A server stays suppressed until a list is
//! accepted that is at least as new as that answer and either names the server or is a snapshot.

use super::list_validator::ReceivedList;
use std::collections::BTreeSet;

/// Maximum number of versions by which a damaged answer is trusted to be ahead of the current list: 2 h at
/// 12,000 changes a day. A damaged answer may contain any version, and a server must not stay suppressed
/// forever.
const MAX_VERSIONS_AHEAD: u64 = 1_000;

/// The suppressed servers, and the minimum version of a list that is as new as the answer that reported them.
#[derive(Clone, Debug, Default)]
pub(super) struct SuppressedServers {
    ids: BTreeSet<String>,
    version: u64,
}

impl SuppressedServers {
    pub(super) fn ids(&self) -> &BTreeSet<String> {
        &self.ids
    }

    /// Adds servers that were reported as leaving by an answer of this version. `current` is the version of
    /// the current list.
    pub(super) fn add(&mut self, ids: BTreeSet<String>, version: Option<u64>, current: Option<u64>) {
        // An answer without a version counts as one version newer than the current list.
        let next = current.map_or(0, |current| current.saturating_add(1));
        self.version = self.version.max(version.unwrap_or(next));
        self.limit_version(current);
        self.ids.extend(ids);
    }

    /// Limits how far the version is ahead of the current list.
    pub(super) fn limit_version(&mut self, current: Option<u64>) {
        if let Some(current) = current {
            self.version = self.version.min(current.saturating_add(1 + MAX_VERSIONS_AHEAD));
        }
    }

    /// Stops suppressing the servers whose state an accepted list reports: those that it names, or all if it
    /// is a snapshot. A list older than the answer that reported them releases none. Returns whether a
    /// snapshot is needed: the list is new enough, but has only changes and does not name all of the
    /// suppressed servers.
    pub(super) fn release(&mut self, list: &ReceivedList) -> bool {
        if list.version < self.version {
            return false;
        }
        if list.is_snapshot {
            self.ids.clear();
        }
        for entry in list.entries {
            self.ids.remove(entry.id);
        }
        if self.ids.is_empty() {
            self.version = 0;
        }
        !self.ids.is_empty()
    }
}
