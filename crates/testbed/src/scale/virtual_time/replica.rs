//! One replica of discovery: a queue that works through lines at a stated rate, a list that is known up to some version,
//! and watches that wait for news.

use super::event_queue::CallId;
use super::versions::{ServerNumber, Versions, FIRST_VERSION};
use crate::scale::messages::{Answering, ReplicaCapacity};
use balancer_core::EndpointState;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;

/// Changes that are remembered; whoever holds an older list is told the whole one.
const CHANGES_KEPT: u64 = 4_096;

/// The queue is too long for one more call or answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the queue is full")]
pub struct QueueFull;

/// Works through what is charged, in turn.
#[derive(Clone, Debug)]
pub struct LineQueue {
    lines_per_second: f64,
    limit: Duration,
    free_at: Duration,
    lines: f64,
    longest_wait: Duration,
}

impl LineQueue {
    /// An empty one.
    pub fn new(capacity: &ReplicaCapacity) -> Self {
        Self {
            lines_per_second: capacity.lines_per_second,
            limit: Duration::from_millis(capacity.queue_limit_ms),
            free_at: Duration::ZERO,
            lines: 0.0,
            longest_wait: Duration::ZERO,
        }
    }

    /// Charges so many lines and gives the time at which they are worked through.
    ///
    /// # Errors
    /// Nothing is charged where their turn would begin later than the limit.
    pub fn charge(&mut self, now: Duration, lines: f64) -> Result<Duration, QueueFull> {
        let begins = self.free_at.max(now);
        let wait = begins - now;
        if wait > self.limit {
            return Err(QueueFull);
        }
        self.free_at = begins + Duration::from_secs_f64(lines / self.lines_per_second);
        self.lines += lines;
        self.longest_wait = self.longest_wait.max(wait);
        Ok(self.free_at)
    }

    /// Lines charged so far.
    pub fn lines(&self) -> f64 {
        self.lines
    }

    /// The longest wait for a turn so far.
    pub fn longest_wait(&self) -> Duration {
        self.longest_wait
    }
}

/// What a call is answered with.
#[derive(Debug)]
pub(super) struct Answer {
    pub(super) version: u64,
    pub(super) whole: bool,
    pub(super) entries: Vec<(ServerNumber, EndpointState)>,
}

/// See the module's page.
#[derive(Debug)]
pub(super) struct Replica {
    pub(super) answering: Answering,
    pub(super) queue: LineQueue,
    /// It learns of each change later by this.
    pub(super) lag: Duration,
    version: u64,
    servers: BTreeMap<ServerNumber, EndpointState>,
    answers: HashMap<Option<u64>, Rc<Answer>>,
    /// Watches by the order in which they began to wait, and the version that each holds.
    watches: BTreeMap<(u64, CallId), u64>,
    watch_order: BTreeMap<CallId, u64>,
    order: u64,
    /// Calls that came, and answers that were due, while it said nothing.
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

    /// Takes in all versions up to this one.
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

    /// Whether there is something newer than this version.
    pub(super) fn has_news(&self, after: u64) -> bool {
        self.version > after
    }

    /// What somebody is told who holds the list of this version; the whole list where nothing is held, or too old a one.
    pub(super) fn answer(&mut self, versions: &Versions, after: Option<u64>) -> Rc<Answer> {
        if let Some(answer) = self.answers.get(&after) {
            return answer.clone();
        }
        let known = after.filter(|after| self.version.saturating_sub(*after) <= CHANGES_KEPT);
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

    /// A call waits for something newer than this version.
    pub(super) fn watch(&mut self, call: CallId, after: u64) {
        self.order += 1;
        self.watches.insert((self.order, call), after);
        self.watch_order.insert(call, self.order);
    }

    /// A call waits no more; whether it did.
    pub(super) fn unwatch(&mut self, call: CallId) -> bool {
        let order = self.watch_order.remove(&call);
        order.is_some_and(|order| self.watches.remove(&(order, call)).is_some())
    }

    /// Takes out the watches that have news, in the order in which they began.
    pub(super) fn take_watches_with_news(&mut self) -> Vec<CallId> {
        let version = self.version;
        let due = self.watches.iter().filter(|(_, after)| version > **after);
        let due: Vec<_> = due.map(|((_, call), _)| *call).collect();
        due.iter().for_each(|call| {
            self.unwatch(*call);
        });
        due
    }

    /// Forgets all watches and all that was held back.
    pub(super) fn drop_calls(&mut self) {
        self.watches.clear();
        self.watch_order.clear();
        self.held_calls.clear();
        self.held_answers.clear();
    }
}
