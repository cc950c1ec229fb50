//! A replica of discovery: a queue of bounded rate, a list that is known up to some version, and watches.

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
    pub(super) whole: bool,
    pub(super) entries: Vec<(ServerNumber, EndpointState)>,
}

/// The state of a replica.
#[derive(Debug)]
pub(super) struct Replica {
    pub(super) answering: Answering,
    pub(super) queue: LineQueue,
    /// How much later than others it learns of changes.
    pub(super) lag: Duration,
    version: u64,
    servers: BTreeMap<ServerNumber, EndpointState>,
    answers: HashMap<Option<u64>, Rc<Answer>>,
    /// Watches in the order in which they began, and the version that each has.
    watches: BTreeMap<(u64, CallId), u64>,
    watch_order: BTreeMap<CallId, u64>,
    order: u64,
    /// Calls that arrived, and answers that were due, while it was silent.
    pub(super) held_calls: Vec<CallId>,
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
            order: 0,
            held_calls: Vec::new(),
            held_answers: Vec::new(),
        }
    }

    /// Learns of all versions up to this one.
    pub(super) fn learn(&mut self, versions: &Versions, upto: u64) {
        for version in self.version + 1..=upto {
            let Some(change) = versions.made(version) else { break };
            if change.state == EndpointState::Removed {
                self.servers.remove(&change.server);
            } else {
                self.servers.insert(change.server, change.state);
            }
            self.version = version;
            self.answers.clear();
        }
    }

    /// Whether it has a newer version.
    pub(super) fn has_news(&self, after: u64) -> bool {
        self.version > after
    }

    /// The answer for a node that has this version of the list: a delta, or a snapshot if it has none or one that is too old.
    pub(super) fn answer(&mut self, versions: &Versions, after: Option<u64>) -> Rc<Answer> {
        if let Some(answer) = self.answers.get(&after) {
            return answer.clone();
        }
        let known = after.filter(|after| self.version.saturating_sub(*after) <= CHANGES_KEPT as u64);
        let entries = match known {
            Some(after) => self.changed(versions, after),
            None => self.servers.iter().map(|(server, state)| (*server, *state)).collect(),
        };
        let answer = Rc::new(Answer { version: self.version, whole: known.is_none(), entries });
        self.answers.insert(after, answer.clone());
        answer
    }

    /// The last change of each server since this version, in the order of versions.
    fn changed(&self, versions: &Versions, after: u64) -> Vec<(ServerNumber, EndpointState)> {
        let (mut seen, mut entries) = (BTreeSet::new(), Vec::new());
        for version in (after + 1..=self.version).rev() {
            let Some(change) = versions.made(version) else { continue };
            if seen.insert(change.server) {
                entries.push((change.server, change.state));
            }
        }
        entries.reverse();
        entries
    }

    /// A call waits for a newer version.
    pub(super) fn watch(&mut self, call: CallId, after: u64) {
        self.order += 1;
        self.watches.insert((self.order, call), after);
        self.watch_order.insert(call, self.order);
    }

    /// A call no longer waits. Returns whether it did.
    pub(super) fn unwatch(&mut self, call: CallId) -> bool {
        let order = self.watch_order.remove(&call);
        order.is_some_and(|order| self.watches.remove(&(order, call)).is_some())
    }

    /// Removes and returns the watches for which there is a newer version, in the order in which they began.
    pub(super) fn take_watches_with_news(&mut self) -> Vec<CallId> {
        let version = self.version;
        let due = self.watches.iter().filter(|(_, after)| version > **after);
        let due: Vec<_> = due.map(|((_, call), _)| *call).collect();
        due.iter().for_each(|call| {
            self.unwatch(*call);
        });
        due
    }

    /// Removes all watches, and all that was held back.
    pub(super) fn drop_calls(&mut self) {
        self.watches.clear();
        self.watch_order.clear();
        self.held_calls.clear();
        self.held_answers.clear();
    }
}
