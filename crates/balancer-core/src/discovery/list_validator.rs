//! Whether a list that discovery sent is accepted, and which kind of list is requested next. A list that cannot be right is
//! rejected: the current one stays in use, and the poll that brought it counts as failed.
//!
//! A list that is empty, or older than the current one, is suspicious rather than wrong: fleets are really shut down, and a
//! discovery may lose its versions and count from the start. Received several times in a row it is accepted. Envoy's panic
//! threshold and Eureka's self-preservation do the same with a fraction of the fleet as the bound; here a list that shrinks
//! the fleet to a few servers is accepted at once, since nothing new may go to a server that a list lacks.
//!
//! Where replicas of one service are polled, repetition by one of them proves nothing: an empty list takes three replicas, or
//! all where there are fewer, and an older one takes all of them. Three suspicious snapshots are needed there as well. Any
//! smaller number of replicas may lag behind together after a network partition, and a replica that cannot be reached may be
//! the one with the newer list. The other replicas are asked for changes, as before: a snapshot for each node is more than
//! they could send.

use super::poll_schedule::PollKind;
use super::suppressed_servers::SuppressedServers;
use crate::endpoints::EndpointState;
use std::collections::{BTreeMap, BTreeSet};
use thiserror::Error;

/// A suspicious list is accepted as the last of this many suspicious snapshots, with no list accepted in between. Where
/// replicas are polled, enough of them must have sent a suspicious list as well.
const REPEATS_TO_ACCEPT: u32 = 3;

/// An entry of a list, as far as validation depends on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListEntry<'a> {
    /// The server.
    pub id: &'a str,
    /// Its reported state.
    pub state: EndpointState,
    /// Whether the entry has an address.
    pub has_address: bool,
}

/// A list that discovery sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReceivedList<'a> {
    /// Its version.
    pub version: u64,
    /// Whether this is the full list, rather than the changes since the version that was requested.
    pub is_snapshot: bool,
    /// Its entries, in order.
    pub entries: &'a [ListEntry<'a>],
}

/// Why a list is rejected. Indices count from 0, as in the list.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ListError {
    /// Two entries of a snapshot have one id, and nothing tells which is right.
    #[error("hosts[{second}]: {id} again, which stands at hosts[{first}] already")]
    DuplicateId {
        /// The index of the first entry.
        first: usize,
        /// The index of the second.
        second: usize,
        /// The id.
        id: String,
    },
    /// A snapshot is empty, while ready servers are known.
    #[error("hosts: empty, where {known_ready} ready servers are known")]
    Empty {
        /// The number of ready servers known.
        known_ready: usize,
    },
    /// The version is lower than the current one.
    #[error("seq: {received}, older than {current}, which is held")]
    OlderVersion {
        /// The version of the rejected list.
        received: u64,
        /// The version of the current list.
        current: u64,
    },
    /// Changes came where a snapshot was requested.
    #[error("whole: false, where the whole list was asked for")]
    UnexpectedDelta,
}

/// What is wrong with a list that is accepted all the same.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ListWarning {
    /// A server is ready and has no address: nothing is sent there.
    #[error("hosts[{index}]: {id} is ready and has no address; expected one in dial")]
    MissingAddress {
        /// The index of the entry.
        index: usize,
        /// The server.
        id: String,
    },
    /// A suspicious list was received repeatedly.
    #[error("{0}; accepted, since it came {REPEATS_TO_ACCEPT} times in a row")]
    AcceptedAfterRepeats(ListError),
    /// A suspicious list was received from enough replicas.
    #[error("{error}; accepted, since {replicas} replicas sent it and none sent another")]
    AcceptedFromReplicas {
        /// Why it was suspicious.
        error: ListError,
        /// The number of replicas that sent one.
        replicas: usize,
    },
}

/// The source of a list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListSource<'a> {
    /// The replica's name.
    pub replica: &'a str,
    /// The number of replicas that share the sequence of versions, this one included.
    pub replicas: usize,
}

impl ListSource<'_> {
    /// A discovery service without replicas.
    pub const SINGLE: Self = Self { replica: "", replicas: 1 };

    fn has_neighbours(self) -> bool {
        self.replicas > 1
    }

    /// The number of replicas that have to send a suspicious list before it is accepted, beside [`REPEATS_TO_ACCEPT`]
    /// snapshots from any of them; `None` for a list that never is.
    fn required_replicas(self, error: &ListError) -> Option<usize> {
        match error {
            ListError::Empty { .. } => Some(self.replicas.min(REPEATS_TO_ACCEPT as usize)),
            ListError::OlderVersion { .. } => Some(self.replicas),
            ListError::DuplicateId { .. } | ListError::UnexpectedDelta => None,
        }
    }
}

/// Validates lists against the current one. It knows the version of the current list and which servers are ready, not the list.
#[derive(Clone, Debug, Default)]
pub struct ListValidator {
    /// The version of the current list.
    current_version: Option<u64>,
    /// The next poll requests a snapshot, whatever list is current.
    snapshot_needed: bool,
    ready: BTreeSet<String>,
    /// Suspicious snapshots since a list was accepted.
    suspicious_snapshots: u32,
    /// The replicas that sent a suspicious list since one was accepted.
    suspicious_sources: BTreeSet<String>,
    suppressed: SuppressedServers,
}

impl ListValidator {
    /// Starts from a list of this version and these ready servers; `None` where the version cannot be compared with others.
    pub fn new(version: Option<u64>, ready: impl IntoIterator<Item = String>) -> Self {
        Self { current_version: version, ready: ready.into_iter().collect(), ..Self::default() }
    }

    /// The version after which the next poll requests changes; `None` for a snapshot.
    pub fn watch_from(&self) -> Option<u64> {
        self.current_version.filter(|_| !self.snapshot_needed)
    }

    /// The kind of the next poll.
    pub fn next_poll_kind(&self) -> PollKind {
        match self.watch_from() {
            Some(_) => PollKind::Watch,
            None => PollKind::Snapshot,
        }
    }

    /// Another service is polled from here on: the current version means nothing there.
    pub fn service_replaced(&mut self) {
        *self = Self::new(None, std::mem::take(&mut self.ready));
    }

    /// Other replicas of the same service are polled from here on: the current list stays valid, and suspicious lists so far no
    /// longer count.
    pub fn replicas_replaced(&mut self) {
        self.suspicious_snapshots = 0;
        self.suspicious_sources.clear();
    }

    /// Records servers that were reported as leaving in an answer that was not accepted. `version` is that of the answer, as
    /// far as it could be read.
    ///
    /// A single service is asked for a snapshot next, which settles it. Of several replicas the others may not know yet:
    /// until a list as new as the answer is accepted, these servers are [`Self::suppressed`].
    pub fn leaving_reported(&mut self, source: ListSource, version: Option<u64>, ids: BTreeSet<String>) {
        if !source.has_neighbours() {
            self.snapshot_needed = true;
            return;
        }
        self.ready.retain(|id| !ids.contains(id));
        self.suppressed.add(ids, version, self.current_version);
    }

    /// The servers that get no new work although the list accepted last may say that they are ready: a replica reported that
    /// they are leaving, and that list is older.
    pub fn suppressed(&self) -> &BTreeSet<String> {
        self.suppressed.ids()
    }

    /// Whether there is a current list of a known version.
    pub fn has_list(&self) -> bool {
        self.current_version.is_some()
    }

    /// The number of ready servers of the current list.
    pub fn ready_count(&self) -> usize {
        self.ready.len()
    }

    /// Whether this server is known to be ready.
    pub fn is_ready(&self, id: &str) -> bool {
        self.ready.contains(id)
    }

    /// Accepts a list, which then is the current one, or returns why it is rejected. Of several changes to one server the last
    /// counts: they are listed in order.
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
            warnings.push(if source.has_neighbours() {
                ListWarning::AcceptedFromReplicas { error, replicas: self.suspicious_sources.len() }
            } else {
                ListWarning::AcceptedAfterRepeats(error)
            });
        }
        self.accept(list);
        warnings.extend(missing_addresses(list.entries));
        Ok(warnings)
    }

    /// Counts a suspicious list. Returns whether it is accepted by now; if not, decides what is requested next.
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
        // A snapshot settles it. A watch would not: a discovery that counts from the start has no changes to report until it
        // passes the current version. Another replica may well have some.
        self.snapshot_needed |= !source.has_neighbours() || enough_sources;
        false
    }

    fn accept(&mut self, list: &ReceivedList) {
        // A node without a list learns only now which versions are plausible.
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

    /// Checks a list against itself and the current one.
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

/// Ready servers without an address.
fn missing_addresses<'a>(entries: &'a [ListEntry]) -> impl Iterator<Item = ListWarning> + 'a {
    let missing = |entry: &ListEntry| entry.state == EndpointState::Ready && !entry.has_address;
    let entries = entries.iter().enumerate().filter(move |(_, entry)| missing(entry));
    entries.map(|(index, entry)| ListWarning::MissingAddress { index, id: entry.id.to_owned() })
}
