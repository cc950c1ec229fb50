//! Validates the lists that discovery sends, and decides which kind of list is requested next. An invalid
//! list is rejected: the current list stays in use, and the poll that returned the invalid one counts as
//! failed.
//!
//! A list that is empty, or older than the current one, is suspicious rather than invalid: fleets really are
//! shut down, and a discovery may lose its versions and start counting again. Such a list is accepted once it
//! was received several times in a row. Envoy's panic threshold and Eureka's self-preservation do the same
//! with a fraction of the fleet as the bound; here a list that shrinks the fleet to a few servers is accepted
//! at once, since a server that is missing from a list must get no new requests.
//!
//! With several replicas of one service, repetition by one of them proves nothing: an empty list must come
//! from three replicas (from all, if there are fewer), and an older list from all of them. Three suspicious
//! snapshots are needed as well. Any smaller number of replicas may lag behind together after a network
//! partition, and an unreachable replica may be the one with the newer list. The other replicas are still
//! polled for changes, since they could not send a snapshot to every node.

use super::poll_schedule::PollKind;
use super::suppressed_servers::SuppressedServers;
use crate::endpoints::EndpointState;
use std::collections::{BTreeMap, BTreeSet};
use thiserror::Error;

/// Number of suspicious snapshots, with no accepted list in between, after which the last one is accepted.
/// With several replicas, enough of them must have sent a suspicious list as well.
const REPEATS_TO_ACCEPT: u32 = 3;

/// The parts of a list entry that validation depends on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListEntry<'a> {
    /// Id of the server.
    pub id: &'a str,
    /// The reported state of the server.
    pub state: EndpointState,
    /// Whether the entry has an address.
    pub has_address: bool,
}

/// A list that discovery sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReceivedList<'a> {
    /// Version of the list.
    pub version: u64,
    /// Whether this is the full list rather than the changes since the requested version.
    pub is_snapshot: bool,
    /// The entries, in order.
    pub entries: &'a [ListEntry<'a>],
}

/// The reason why a list is rejected. Indices start at 0.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ListError {
    /// Two entries of a snapshot have the same id, and it is unknown which one is right.
    #[error("hosts[{second}]: duplicate id {id}, first listed at hosts[{first}]")]
    DuplicateId {
        /// Index of the first entry.
        first: usize,
        /// Index of the second entry.
        second: usize,
        /// Id of both entries.
        id: String,
    },
    /// A snapshot is empty although ready servers are known.
    #[error("hosts: empty, although {known_ready} ready servers are known")]
    Empty {
        /// Number of ready servers known.
        known_ready: usize,
    },
    /// The version is lower than the current one.
    #[error("seq: {received} is older than {current}, the version of the current list")]
    OlderVersion {
        /// Version of the rejected list.
        received: u64,
        /// Version of the current list.
        current: u64,
    },
    /// Changes were received although a snapshot was requested.
    #[error("whole: expected true, since the whole list was requested; found false")]
    UnexpectedDelta,
}

/// A problem in a list that is accepted nevertheless.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ListWarning {
    /// A server is ready but has no address, so no requests are sent to it.
    #[error("hosts[{index}]: {id} is ready and has no address; expected one in dial")]
    MissingAddress {
        /// Index of the entry.
        index: usize,
        /// Id of the server.
        id: String,
    },
    /// A suspicious list was received repeatedly.
    #[error("{0}; accepted, since it was received {REPEATS_TO_ACCEPT} times in a row")]
    AcceptedAfterRepeats(ListError),
    /// A suspicious list was received from enough replicas.
    #[error("{error}; accepted, since {replicas} replicas sent it and none sent another")]
    AcceptedFromReplicas {
        /// Why the list was suspicious.
        error: ListError,
        /// Number of replicas that sent a suspicious list.
        replicas: usize,
    },
}

/// The source of a list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListSource<'a> {
    /// The replica's name.
    pub replica: &'a str,
    /// Number of replicas that share the sequence of versions, including this one.
    pub replicas: usize,
}

impl ListSource<'_> {
    /// A discovery service without replicas.
    pub const SINGLE: Self = Self { replica: "", replicas: 1 };

    fn is_replicated(self) -> bool {
        self.replicas > 1
    }

    /// Returns how many replicas must send a suspicious list before it is accepted, in addition to
    /// [`REPEATS_TO_ACCEPT`] snapshots from any of them. Returns `None` for a list that is never accepted.
    fn required_replicas(self, error: &ListError) -> Option<usize> {
        match error {
            ListError::Empty { .. } => Some(self.replicas.min(REPEATS_TO_ACCEPT as usize)),
            ListError::OlderVersion { .. } => Some(self.replicas),
            ListError::DuplicateId { .. } | ListError::UnexpectedDelta => None,
        }
    }
}

/// Validates lists against the current one. Stores the version of the current list and which servers are
/// ready, not the list itself.
#[derive(Clone, Debug, Default)]
pub struct ListValidator {
    /// Version of the current list.
    current_version: Option<u64>,
    /// Whether the next poll requests a snapshot regardless of the current list.
    snapshot_needed: bool,
    ready: BTreeSet<String>,
    /// Number of suspicious snapshots since a list was last accepted.
    suspicious_snapshots: u32,
    /// The replicas that sent a suspicious list since a list was last accepted.
    suspicious_sources: BTreeSet<String>,
    suppressed: SuppressedServers,
}

impl ListValidator {
    /// Creates a validator whose current list has this version and these ready servers. `version` is `None`
    /// if it cannot be compared with other versions.
    pub fn new(version: Option<u64>, ready: impl IntoIterator<Item = String>) -> Self {
        Self { current_version: version, ready: ready.into_iter().collect(), ..Self::default() }
    }

    /// Returns the version after which the next poll requests changes, or `None` if it requests a snapshot.
    pub fn watch_from(&self) -> Option<u64> {
        self.current_version.filter(|_| !self.snapshot_needed)
    }

    /// Returns the kind of the next poll.
    pub fn next_poll_kind(&self) -> PollKind {
        match self.watch_from() {
            Some(_) => PollKind::Watch,
            None => PollKind::Snapshot,
        }
    }

    /// Records that another service is polled from now on. The current version has no meaning there.
    pub fn service_replaced(&mut self) {
        *self = Self::new(None, std::mem::take(&mut self.ready));
    }

    /// Records that other replicas of the same service are polled from now on. The current list stays valid,
    /// and the suspicious lists received so far no longer count.
    pub fn replicas_replaced(&mut self) {
        self.suspicious_snapshots = 0;
        self.suspicious_sources.clear();
    }

    /// Records servers that were reported as leaving in an answer that was not accepted. `version` is the
    /// version of that answer, if it could be read.
    ///
    /// A single service is polled for a snapshot next, which resolves the conflict. With several replicas,
    /// the others may not know of the change yet: these servers are [`Self::suppressed`] until a list at
    /// least as new as the answer is accepted.
    pub fn leaving_reported(&mut self, source: ListSource, version: Option<u64>, ids: BTreeSet<String>) {
        if !source.is_replicated() {
            self.snapshot_needed = true;
            return;
        }
        self.ready.retain(|id| !ids.contains(id));
        self.suppressed.add(ids, version, self.current_version);
    }

    /// Returns the servers that get no new requests although the last accepted list may say that they are
    /// ready: a replica reported that they are leaving, and that list is older.
    pub fn suppressed(&self) -> &BTreeSet<String> {
        self.suppressed.ids()
    }

    /// Returns whether there is a current list of a known version.
    pub fn has_list(&self) -> bool {
        self.current_version.is_some()
    }

    /// Returns the number of ready servers in the current list.
    pub fn ready_count(&self) -> usize {
        self.ready.len()
    }

    /// Returns whether this server is known to be ready.
    pub fn is_ready(&self, id: &str) -> bool {
        self.ready.contains(id)
    }

    /// Accepts a list, which becomes the current one, or returns why it is rejected. If a list has several
    /// changes to one server, the last one counts, since they are listed in order.
    pub fn validate(
        &mut self,
        source: ListSource,
        list: &ReceivedList,
    ) -> Result<Vec<ListWarning>, ListError> {
        let mut warnings = Vec::new();
        if let Err(error) = self.check(list) {
            if !self.accepts_suspicious(source, list, &error) {
                return Err(error);
            }
            warnings.push(if source.is_replicated() {
                ListWarning::AcceptedFromReplicas { error, replicas: self.suspicious_sources.len() }
            } else {
                ListWarning::AcceptedAfterRepeats(error)
            });
        }
        self.accept(list);
        warnings.extend(missing_addresses(list.entries));
        Ok(warnings)
    }

    /// Counts a suspicious list and returns whether it is now accepted. If not, decides what is requested
    /// next.
    fn accepts_suspicious(&mut self, source: ListSource, list: &ReceivedList, error: &ListError) -> bool {
        let required = source.required_replicas(error);
        if required.is_some() {
            self.suspicious_snapshots = self.suspicious_snapshots.saturating_add(u32::from(list.is_snapshot));
            self.suspicious_sources.insert(source.replica.to_owned());
        }
        let enough_sources = required.is_some_and(|required| self.suspicious_sources.len() >= required);
        if list.is_snapshot && self.suspicious_snapshots >= REPEATS_TO_ACCEPT && enough_sources {
            return true;
        }
        // A snapshot shows whether the list is right. A watch would not: a discovery that restarted its count
        // has no changes to report until it passes the current version. Another replica may well have
        // changes.
        self.snapshot_needed |= !source.is_replicated() || enough_sources;
        false
    }

    fn accept(&mut self, list: &ReceivedList) {
        // Without a current list, this list's version is the first one to show which versions are plausible.
        self.suppressed.limit_version(self.current_version.or(Some(list.version)));
        (self.current_version, self.suspicious_snapshots) = (Some(list.version), 0);
        self.suspicious_sources.clear();
        if list.is_snapshot {
            self.ready.clear();
        }
        self.snapshot_needed = self.suppressed.release(list);
        for entry in list.entries {
            let is_usable = entry.state == EndpointState::Ready && entry.has_address;
            if is_usable && !self.suppressed.ids().contains(entry.id) {
                self.ready.insert(entry.id.to_owned());
            } else {
                self.ready.remove(entry.id);
            }
        }
    }

    /// Checks that a list is consistent, and compares it with the current one.
    fn check(&self, list: &ReceivedList) -> Result<(), ListError> {
        if !list.is_snapshot && self.watch_from().is_none() {
            return Err(ListError::UnexpectedDelta);
        }
        if list.is_snapshot {
            check_unique(list.entries)?;
        }
        if let Some(current) = self.current_version.filter(|current| list.version < *current) {
            return Err(ListError::OlderVersion { received: list.version, current });
        }
        let known_ready = self.ready.len();
        if list.is_snapshot && list.entries.is_empty() && known_ready > 0 {
            return Err(ListError::Empty { known_ready });
        }
        Ok(())
    }
}

fn check_unique(entries: &[ListEntry]) -> Result<(), ListError> {
    let mut indices = BTreeMap::new();
    for (second, entry) in entries.iter().enumerate() {
        if let Some(first) = indices.insert(entry.id, second) {
            return Err(ListError::DuplicateId { first, second, id: entry.id.to_owned() });
        }
    }
    Ok(())
}

/// Returns a warning for each ready server without an address.
fn missing_addresses<'a>(entries: &'a [ListEntry]) -> impl Iterator<Item = ListWarning> + 'a {
    let missing = |entry: &ListEntry| entry.state == EndpointState::Ready && !entry.has_address;
    let entries = entries.iter().enumerate().filter(move |(_, entry)| missing(entry));
    entries.map(|(index, entry)| ListWarning::MissingAddress { index, id: entry.id.to_owned() })
}
