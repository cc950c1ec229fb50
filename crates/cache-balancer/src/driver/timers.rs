//! The timers of a driver, in the order in which they expire.

use balancer_core::RequestId;
use std::collections::BTreeSet;
use tokio::time::Instant;

/// The purpose of a timer. If several timers expire at the same instant, balancer timers come before
/// deadlines.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timer {
    /// Set by the balancer with `Action::SetTimer`.
    Balancer,
    /// Fails a request that has no final response at its deadline.
    Deadline(RequestId),
}

/// The set of pending timers.
#[derive(Debug, Default)]
pub struct Timers(BTreeSet<(Instant, Timer)>);

impl Timers {
    /// Sets a timer. Setting the same timer twice for one instant has no further effect.
    pub fn set(&mut self, at: Instant, timer: Timer) {
        self.0.insert((at, timer));
    }

    /// Cancels a timer if it is set.
    pub fn cancel(&mut self, at: Instant, timer: Timer) {
        self.0.remove(&(at, timer));
    }

    /// Returns the instant at which the next timer expires, or `None` if no timer is set.
    pub fn next_expiry(&self) -> Option<Instant> {
        self.0.first().map(|(at, _)| *at)
    }

    /// Removes and returns the first timer that has expired by `now`.
    pub fn pop_expired(&mut self, now: Instant) -> Option<Timer> {
        self.next_expiry().filter(|at| *at <= now)?;
        self.0.pop_first().map(|(_, timer)| timer)
    }
}
