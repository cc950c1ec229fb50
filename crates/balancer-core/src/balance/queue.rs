//! Queue of requests that wait for capacity. Each request waits until the next try to dispatch it.
//!
//! A burst passes within milliseconds. If its requests were rejected at once, they would be lost although
//! their latency objective leaves time to wait. If they were queued for longer, they would use capacity and
//! still be late.

use crate::names::RequestId;
use crate::time::Timestamp;
use std::collections::BTreeSet;
use std::time::Duration;

/// Interval between two tries to dispatch a request, as a fraction of its latency objective.
const TRY_INTERVAL_FRACTION: f64 = 0.1;
/// Minimum interval between two tries. Without it, a request with no latency objective would be tried again
/// at the same instant in an endless loop.
const MIN_TRY_INTERVAL: Duration = Duration::from_millis(1);
/// Time that must remain from the next try to the latency objective or the deadline, as a multiple of the
/// mean latency of the class. An answer may take longer than the mean.
const LATENCY_RESERVE: u32 = 3;

/// The times that decide whether a request may wait.
#[derive(Clone, Copy, Debug)]
pub struct QueueTimes {
    /// Time at which the request arrived.
    pub arrived_at: Timestamp,
    /// Time by which the answer is due, shortly before the client gives up.
    pub deadline: Timestamp,
    /// Latency objective of the request's class.
    pub latency_objective: Duration,
    /// Mean latency of the request's class.
    pub mean_latency: Duration,
}

impl QueueTimes {
    /// Returns the time of the next try, or `None` if an answer would then come too late.
    pub fn next_try(&self, now: Timestamp) -> Option<Timestamp> {
        let interval = self.latency_objective.mul_f64(TRY_INTERVAL_FRACTION).max(MIN_TRY_INTERVAL);
        let next_try = now + interval;
        let latest = (self.arrived_at + self.latency_objective).min(self.deadline);
        (next_try + self.mean_latency * LATENCY_RESERVE <= latest).then_some(next_try)
    }
}

/// Waiting requests, ordered by the time of their next try.
#[derive(Debug, Default)]
pub struct RequestQueue {
    entries: BTreeSet<(Timestamp, RequestId)>,
}

impl RequestQueue {
    /// Adds a request that is to be tried again at `next_try`.
    pub fn insert(&mut self, next_try: Timestamp, id: RequestId) {
        self.entries.insert((next_try, id));
    }

    /// Removes and returns the first request that is due, or `None` if none is due.
    pub fn pop_due(&mut self, now: Timestamp) -> Option<RequestId> {
        self.next_try().filter(|at| *at <= now)?;
        self.entries.pop_first().map(|(_, id)| id)
    }

    /// Returns the time of the earliest try, or `None` if no request waits.
    pub fn next_try(&self) -> Option<Timestamp> {
        self.entries.first().map(|(at, _)| *at)
    }
}
