//! Requests that wait for capacity, each until the time of its next try.
//!
//! A burst passes within milliseconds. Rejected at once, its requests would be lost although their objective
//! leaves them time to wait; queued for longer, they would take up capacity and be late all the same.

use crate::names::RequestId;
use crate::time::Timestamp;
use std::collections::BTreeSet;
use std::time::Duration;

/// Time between two tries, as a fraction of the latency objective.
const TRY_INTERVAL_FRACTION: f64 = 0.1;
/// Least time between two tries. Without it, a request with no objective would be tried again at the same
/// moment, without end.
const TRY_INTERVAL_MIN: Duration = Duration::from_millis(1);
/// From its next try to its latency objective or its deadline, a request must have this multiple of the mean
/// latency of its class: the answer may take longer than the mean.
const LATENCY_RESERVE: u32 = 3;

/// What decides whether a request may wait.
#[derive(Clone, Copy, Debug)]
pub struct QueueTimes {
    /// When it arrived.
    pub arrived_at: Timestamp,
    /// When its answer is due: a little before its client gives up.
    pub deadline: Timestamp,
    /// Latency objective of its class.
    pub latency_objective: Duration,
    /// Mean latency of its class.
    pub mean_latency: Duration,
}

impl QueueTimes {
    /// When the request is to be tried again; `None` where it would be too late for an answer in time.
    pub fn next_try(&self, now: Timestamp) -> Option<Timestamp> {
        let interval = self.latency_objective.mul_f64(TRY_INTERVAL_FRACTION).max(TRY_INTERVAL_MIN);
        let next_try = now + interval;
        let latest = (self.arrived_at + self.latency_objective).min(self.deadline);
        (next_try + self.mean_latency * LATENCY_RESERVE <= latest).then_some(next_try)
    }
}

/// The requests that wait, by the time of their next try.
#[derive(Debug, Default)]
pub struct RequestQueue {
    entries: BTreeSet<(Timestamp, RequestId)>,
}

impl RequestQueue {
    /// Adds a request.
    pub fn insert(&mut self, next_try: Timestamp, id: RequestId) {
        self.entries.insert((next_try, id));
    }

    /// Removes and returns the first request that is due; `None` where none is.
    pub fn pop_due(&mut self, now: Timestamp) -> Option<RequestId> {
        self.next_try().filter(|at| *at <= now)?;
        self.entries.pop_first().map(|(_, id)| id)
    }

    /// Time of the first try; `None` where no request waits.
    pub fn next_try(&self) -> Option<Timestamp> {
        self.entries.first().map(|(at, _)| *at)
    }
}
