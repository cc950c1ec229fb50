//! The timers of a driver, in the order in which they expire.

use balancer_core::RequestId;
use std::collections::BTreeSet;
use tokio::time::Instant;

/// What a timer is for. At the same instant the decisions' own come before deadlines.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timer {
    /// Set by the decisions with `Action::SetTimer`.
    Decisions,
    /// The time of a request is over, and its client must have had an answer.
    Deadline(RequestId),
}

/// Timers that are set.
#[derive(Debug, Default)]
pub struct Timers(BTreeSet<(Instant, Timer)>);

impl Timers {
    /// Sets a timer; one that is set already for this instant stays one.
    pub fn set(&mut self, at: Instant, timer: Timer) {
        self.0.insert((at, timer));
    }

    /// Removes a timer if it is set.
    pub fn cancel(&mut self, at: Instant, timer: Timer) {
        self.0.remove(&(at, timer));
    }

    /// The instant at which the next timer expires, or `None` if none is set.
    pub fn next_expiry(&self) -> Option<Instant> {
        self.0.first().map(|(at, _)| *at)
    }

    /// Removes and returns the first timer that has expired by `now`.
    pub fn pop_expired(&mut self, now: Instant) -> Option<Timer> {
        self.next_expiry().filter(|at| *at <= now)?;
        self.0.pop_first().map(|(_, timer)| timer)
    }
}
