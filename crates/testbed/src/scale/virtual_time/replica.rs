//! A simulated replica of discovery: a queue with a bounded rate, a list up to some version, and watches.

use super::event_queue::CallId;
use super::versions::{ServerNumber, Versions, FIRST_VERSION};
use crate::scale::line_queue::LineQueue;
use crate::scale::messages::{Answering, ReplicaCapacity};
use crate::scale::replica::CHANGES_KEPT;
use balancer_core::EndpointState;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;
use std::time::Duration;

/// The answer to a call.
#[derive(Debug)]
pub(super) struct Answer {
    pub(super) version: u64,
    pub(super) is_snapshot: bool,
    pub(super) entries: Vec<(ServerNumber, EndpointState)>,
}

/// The state of a replica.
#[derive(Debug)]
pub(super) struct Replica {
    pub(super) answering: Answering,
    pub(super) queue: LineQueue,
    /// The delay with which the replica receives changes.
    pub(super) lag: Duration,
    version: u64,
    servers: BTreeMap<ServerNumber, EndpointState>,
    answers: HashMap<Option<u64>, Rc<Answer>>,
    /// The version that each watch has, in the order in which watches began.
    watches: BTreeMap<(u64, CallId), u64>,
    /// The position of each watch in that order.
    watch_order: BTreeMap<CallId, u64>,
    /// The position of the last watch.
    last_watch: u64,
    /// Calls that arrived while the replica was silent.
    pub(super) held_calls: Vec<CallId>,
    /// Calls whose answers were due while the replica was silent.
    pub(super) held_answers: Vec<CallId>,
}

impl Replica {
    pub(super) fn new(capacity: &ReplicaCapacity, servers: u32) -> Self {
        Self {
            answering: Answering::Up,
            queue: LineQueue::new(capacity),
            lag: Duration::ZERO,
            version: FIRST_VERSION,
            servers: (0..servers).map(|server| (server, EndpointState::Ready)).collect(),
            answers: HashMap::new(),
            watches: BTreeMap::new(),
            watch_order: BTreeMap::new(),
            last_watch: 0,
            held_calls: Vec::new(),
            held_answers: Vec::new(),
        }
    }

    /// Applies all changes up to the version `last`.
    pub(super) fn apply_changes(&mut self, versions: &Versions, last: u64) {
        for version in self.version + 1..=last {
            let Some(change) = versions.change_at(version) else { break };
            if change.state == EndpointState::Removed {
                self.servers.remove(&change.server);
            } else {
                self.servers.insert(change.server, change.state);
            }
            self.version = version;
            self.answers.clear();
        }
    }

    /// Returns whether the replica has a newer version.
    pub(super) fn has_newer(&self, after: u64) -> bool {
        self.version > after
    }

    /// Returns the answer for a node with this version of the list: a delta, or a snapshot if the node has no
    /// version or one that is too old.
    pub(super) fn answer(&mut self, versions: &Versions, after: Option<u64>) -> Rc<Answer> {
        if let Some(answer) = self.answers.get(&after) {
            return answer.clone();
        }
        let known = after.filter(|after| self.version.saturating_sub(*after) <= CHANGES_KEPT as u64);
        let entries = match known {
            Some(after) => self.changed(versions, after),
            None => self.servers.iter().map(|(server, state)| (*server, *state)).collect(),
        };
        let answer = Rc::new(Answer { version: self.version, is_snapshot: known.is_none(), entries });
        self.answers.insert(after, answer.clone());
        answer
    }

    /// Returns the last change of each server since this version, in the order of versions.
    fn changed(&self, versions: &Versions, after: u64) -> Vec<(ServerNumber, EndpointState)> {
        let (mut seen, mut entries) = (BTreeSet::new(), Vec::new());
        for version in (after + 1..=self.version).rev() {
            let Some(change) = versions.change_at(version) else { continue };
            if seen.insert(change.server) {
                entries.push((change.server, change.state));
            }
        }
        entries.reverse();
        entries
    }

    /// Lets a call wait for a newer version.
    pub(super) fn watch(&mut self, call: CallId, after: u64) {
        self.last_watch += 1;
        self.watches.insert((self.last_watch, call), after);
        self.watch_order.insert(call, self.last_watch);
    }

    /// Ends the wait of a call. Returns whether the call was waiting.
    pub(super) fn unwatch(&mut self, call: CallId) -> bool {
        let order = self.watch_order.remove(&call);
        order.is_some_and(|order| self.watches.remove(&(order, call)).is_some())
    }

    /// Removes and returns the watches whose version is older than the replica's, in the order in which they
    /// began.
    pub(super) fn take_due_watches(&mut self) -> Vec<CallId> {
        let version = self.version;
        let due = self.watches.iter().filter(|(_, after)| version > **after);
        let due: Vec<_> = due.map(|((_, call), _)| *call).collect();
        due.iter().for_each(|call| {
            self.unwatch(*call);
        });
        due
    }

    /// Removes all watches, and the calls and answers that were held back.
    pub(super) fn clear_calls(&mut self) {
        self.watches.clear();
        self.watch_order.clear();
        self.held_calls.clear();
        self.held_answers.clear();
    }
}
