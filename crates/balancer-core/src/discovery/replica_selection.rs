//! Selects the replica of the discovery service that a node polls.
//!
//! Each node has its own order of preference (see `rendezvous`): its preferred replica, then the others in
//! order of failover. [`ReplicaSelection`] holds this order. After each poll it decides which replica is
//! polled next, and when the node returns to its preferred replica.

use super::rendezvous::preference_order;
use super::unit_fraction;
use crate::time::Timestamp;
use std::time::Duration;

/// Number of consecutive overload answers after which another replica is polled. That replica has its own
/// nodes to answer, so it is not polled after a single overload answer, and only after the pause of a
/// backoff.
const OVERLOADS_BEFORE_FAILOVER: u32 = 2;
/// Maximum number of doublings of the hold-down, which doubles with each failed return.
const MAX_HOLD_DOWN_DOUBLINGS: u32 = 4;

/// The parts of a poll's outcome that the selection depends on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplicaResponse {
    /// A list was received and accepted.
    Answered,
    /// The replica answered that it is overloaded.
    Overloaded,
    /// Anything else: unreachable, timed out, answer cut off, no list, or a list that was rejected.
    Failed,
}

/// The replica of the next poll, relative to that of the previous poll.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplicaTransition {
    /// The same replica is polled.
    Stay,
    /// The next replica is polled, without the pause of a backoff.
    FailOver,
    /// The next replica is polled after the pause of a backoff: all replicas failed in a row, or one was
    /// overloaded repeatedly.
    FailOverAfterBackoff,
    /// The preferred replica, which had failed, is polled again. The replica that was polled until now still
    /// works.
    ReturnToPreferred,
}

/// Which replicas remained when the set was replaced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplicaSetChange {
    /// The current replica remained: its watch continues.
    CurrentRemains,
    /// Only other replicas remained: versions of the list stay comparable, but the watch does not continue.
    OthersRemain,
    /// No replica remained: versions of the list have no meaning to the new replicas.
    NoneRemains,
}

/// The replicas of one service, in a node's order of preference.
#[derive(Clone, Debug)]
pub struct ReplicaSelection {
    node: String,
    /// The names of the replicas, in the order given.
    names: Vec<String>,
    /// Indices of `names`, the preferred replica first.
    order: Vec<usize>,
    /// Index in `order` of the replica that is polled.
    current: usize,
    /// For each index of `order`: whether the last poll of that replica failed other than by overload.
    last_poll_failed: Vec<bool>,
    /// Number of consecutive replicas that failed.
    failures_in_row: usize,
    /// Number of consecutive overload answers of the current replica.
    overloads_in_row: u32,
    /// During a return to the preferred replica: index in `order` of the replica that was polled before.
    fallback: Option<usize>,
    /// Time at which the node returns to its preferred replica.
    return_at: Option<Timestamp>,
    /// Time until which a failure of the preferred replica counts as a failed return.
    return_confirmed_at: Option<Timestamp>,
    /// Number of consecutive failed returns.
    failed_returns: u32,
}

impl ReplicaSelection {
    /// Orders the replicas by the preference of `node`, which does not depend on the order of `names`. At
    /// least one name is expected: a node without any has nothing to poll.
    pub fn new(node: &str, names: Vec<String>) -> Self {
        let order = preference_order(node, &names);
        let last_poll_failed = vec![false; order.len()];
        Self {
            node: node.to_owned(),
            names,
            order,
            current: 0,
            last_poll_failed,
            failures_in_row: 0,
            overloads_in_row: 0,
            fallback: None,
            return_at: None,
            return_confirmed_at: None,
            failed_returns: 0,
        }
    }

    /// Returns the index of the polled replica among the names as given.
    pub fn current(&self) -> usize {
        self.order.get(self.current).copied().unwrap_or(0)
    }

    /// Returns indices of the names as given: the preferred replica, then the others in order of failover.
    pub fn order(&self) -> &[usize] {
        &self.order
    }

    /// Returns the number of replicas.
    pub fn count(&self) -> usize {
        self.names.len()
    }

    /// Returns the number of replicas that share the nodes: those whose last poll by this node did not fail,
    /// but at least 1.
    pub fn available(&self) -> usize {
        self.last_poll_failed.iter().filter(|failed| !**failed).count().max(1)
    }

    /// Returns whether the node polls its preferred replica again for the first time after a failure.
    pub fn is_returning(&self) -> bool {
        self.fallback.is_some()
    }

    /// Records the response to a poll of the current replica. `min_hold_down` is the minimum time for which a
    /// preferred replica that failed is avoided. `jitter`, a random number from 0 to 1, adds up to the same
    /// time again.
    pub fn poll_ended(
        &mut self,
        now: Timestamp,
        response: ReplicaResponse,
        min_hold_down: Duration,
        jitter: f64,
    ) -> ReplicaTransition {
        if self.count() < 2 {
            return ReplicaTransition::Stay;
        }
        self.last_poll_failed[self.current] = response == ReplicaResponse::Failed;
        match response {
            ReplicaResponse::Answered => self.answered(now, min_hold_down, jitter),
            ReplicaResponse::Overloaded => self.overloaded(now, min_hold_down, jitter),
            ReplicaResponse::Failed => self.failed(now, min_hold_down, jitter),
        }
    }

    /// Replaces the set of replicas. The node keeps polling the current one if it is in the new set.
    pub fn replace(&mut self, names: Vec<String>) -> ReplicaSetChange {
        let current = self.names.get(self.current()).cloned();
        let any_remains = names.iter().any(|name| self.names.contains(name));
        let mut replaced = Self::new(&self.node, names);
        let remaining =
            replaced.order.iter().position(|&index| Some(&replaced.names[index]) == current.as_ref());
        replaced.current = remaining.unwrap_or(0);
        *self = replaced;
        match remaining {
            Some(_) => ReplicaSetChange::CurrentRemains,
            None if any_remains => ReplicaSetChange::OthersRemain,
            None => ReplicaSetChange::NoneRemains,
        }
    }

    fn answered(&mut self, now: Timestamp, min_hold_down: Duration, jitter: f64) -> ReplicaTransition {
        (self.failures_in_row, self.overloads_in_row) = (0, 0);
        if self.fallback.take().is_some() {
            // A preferred replica that fails soon after a return has not recovered.
            self.return_confirmed_at = Some(now + self.hold_down(min_hold_down, jitter));
        }
        if self.current == 0 {
            self.return_at = None;
            if self.return_confirmed_at.is_none_or(|at| now >= at) {
                (self.return_confirmed_at, self.failed_returns) = (None, 0);
            }
            return ReplicaTransition::Stay;
        }
        match self.return_at {
            None => self.return_at = Some(now + self.hold_down(min_hold_down, jitter)),
            Some(at) if now >= at => {
                self.fallback = Some(std::mem::replace(&mut self.current, 0));
                return ReplicaTransition::ReturnToPreferred;
            }
            Some(_) => {}
        }
        ReplicaTransition::Stay
    }

    fn overloaded(&mut self, now: Timestamp, min_hold_down: Duration, jitter: f64) -> ReplicaTransition {
        if self.fallback.is_some() {
            return self.failed(now, min_hold_down, jitter);
        }
        self.overloads_in_row += 1;
        if self.overloads_in_row < OVERLOADS_BEFORE_FAILOVER {
            return ReplicaTransition::Stay;
        }
        self.advance(now, min_hold_down, jitter);
        ReplicaTransition::FailOverAfterBackoff
    }

    fn failed(&mut self, now: Timestamp, min_hold_down: Duration, jitter: f64) -> ReplicaTransition {
        if let Some(fallback) = self.fallback.take() {
            self.failed_returns += 1;
            self.current = fallback;
            self.return_at = Some(now + self.hold_down(min_hold_down, jitter));
            return ReplicaTransition::FailOver;
        }
        self.failures_in_row += 1;
        self.advance(now, min_hold_down, jitter);
        if self.failures_in_row < self.count() {
            return ReplicaTransition::FailOver;
        }
        self.failures_in_row = 0;
        ReplicaTransition::FailOverAfterBackoff
    }

    /// Makes the next replica in order the current one.
    fn advance(&mut self, now: Timestamp, min_hold_down: Duration, jitter: f64) {
        self.overloads_in_row = 0;
        if self.current == 0 {
            self.failed_returns += u32::from(self.return_confirmed_at.take().is_some());
            self.return_at = Some(now + self.hold_down(min_hold_down, jitter));
        }
        self.current = (self.current + 1) % self.count();
    }

    /// Returns how long the preferred replica is avoided from now on.
    fn hold_down(&self, min_hold_down: Duration, jitter: f64) -> Duration {
        let doublings = self.failed_returns.min(MAX_HOLD_DOWN_DOUBLINGS);
        let shortest = min_hold_down.saturating_mul(1 << doublings);
        shortest + shortest.mul_f64(unit_fraction(jitter))
    }
}
