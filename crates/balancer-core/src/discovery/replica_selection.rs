//! Which replica of the discovery service a node polls.
//!
//! Each node has an order of preference of its own (see `rendezvous`). The first replica is its preferred one, the rest its
//! order of failover. [`ReplicaSelection`] holds the order, tells after each poll which replica the next one goes to, and
//! when the node returns to its preferred replica.

use super::rendezvous::preference_order;
use super::unit_fraction;
use crate::time::Timestamp;
use std::time::Duration;

/// The number of overload answers in a row after which another replica is polled. The other has its own nodes to answer: it is
/// not flooded because a replica was overloaded once, and is polled only after the pause of a backoff.
const OVERLOADS_BEFORE_FAILOVER: u32 = 2;
/// A hold-down doubles with each failed return, up to this many times.
const MAX_HOLD_DOWN_DOUBLINGS: u32 = 4;

/// The outcome of a poll, as far as the selection depends on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplicaResponse {
    /// A list came and was accepted.
    Answered,
    /// The replica answered that it is overloaded.
    Overloaded,
    /// Anything else: not reached, timed out, broken off, no list, or a list that was rejected.
    Failed,
}

/// Where the next poll goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplicaTransition {
    /// To the same replica.
    Stay,
    /// To the next replica, without the pause of a backoff.
    FailOver,
    /// To the next replica, after the pause of a backoff: all replicas failed in a row, or one was overloaded repeatedly.
    FailOverAfterBackoff,
    /// To the preferred replica, which had failed. The replica that was polled until now still works.
    ReturnToPreferred,
}

/// Which replicas a replacement of the set left in place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplicaSetChange {
    /// The current one: its watch goes on.
    CurrentRemains,
    /// Only others: versions of the list stay comparable, the watch does not go on.
    OthersRemain,
    /// None: versions of the list mean nothing to the new replicas.
    NoneRemains,
}

/// The replicas of one service, in a node's order of preference.
#[derive(Clone, Debug)]
pub struct ReplicaSelection {
    node: String,
    /// In the order in which they were given.
    names: Vec<String>,
    /// Indices of `names`, the preferred replica first.
    order: Vec<usize>,
    /// The index in `order` of the replica that is polled.
    current: usize,
    /// For each index of `order`: the last poll there failed other than by overload.
    last_poll_failed: Vec<bool>,
    /// Replicas in a row that failed.
    failures_in_row: usize,
    /// Overload answers in a row by the current replica.
    overloads_in_row: u32,
    /// During a return: the index in `order` of the replica that worked before it.
    fallback: Option<usize>,
    /// When the node returns to its preferred replica.
    return_at: Option<Timestamp>,
    /// Until then a failure of the preferred replica counts as a failed return.
    return_confirmed_at: Option<Timestamp>,
    /// Failed returns in a row.
    failed_returns: u32,
}

impl ReplicaSelection {
    /// The replicas in the order of preference of `node`, which does not depend on the order of `names`. At least one name is
    /// expected: a node without any has nothing to poll.
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

    /// The index, among the names as they were given, of the replica that is polled.
    pub fn current(&self) -> usize {
        self.order.get(self.current).copied().unwrap_or(0)
    }

    /// Indices of the names as they were given: the preferred replica, then the others in order of failover.
    pub fn order(&self) -> &[usize] {
        &self.order
    }

    /// The number of replicas.
    pub fn count(&self) -> usize {
        self.names.len()
    }

    /// The number of replicas that share the nodes: those whose last poll by this node did not fail, and at least 1.
    pub fn available(&self) -> usize {
        self.last_poll_failed.iter().filter(|failed| !**failed).count().max(1)
    }

    /// Whether the node polls its preferred replica on trial, after that had failed.
    pub fn is_returning(&self) -> bool {
        self.fallback.is_some()
    }

    /// Records the response to a poll of the current replica. `min_hold_down` is the shortest time for which a preferred
    /// replica that failed is avoided; `jitter`, a random number from 0 to 1, adds up to as much again.
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
            // A preferred replica that fails again soon after a return has not recovered.
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

    /// Goes to the next replica in order.
    fn advance(&mut self, now: Timestamp, min_hold_down: Duration, jitter: f64) {
        self.overloads_in_row = 0;
        if self.current == 0 {
            self.failed_returns += u32::from(self.return_confirmed_at.take().is_some());
            self.return_at = Some(now + self.hold_down(min_hold_down, jitter));
        }
        self.current = (self.current + 1) % self.count();
    }

    /// How long the preferred replica is avoided from now on.
    fn hold_down(&self, min_hold_down: Duration, jitter: f64) -> Duration {
        let doublings = self.failed_returns.min(MAX_HOLD_DOWN_DOUBLINGS);
        let shortest = min_hold_down.saturating_mul(1 << doublings);
        shortest + shortest.mul_f64(unit_fraction(jitter))
    }
}
