//! Tracks the work that was recently sent to a server in slow start. Too much of it crashes the server.

use crate::script::Rules;
use balancer_core::Timestamp;
use std::collections::VecDeque;
use std::time::Duration;

/// A sliding window over the work sent to a server in slow start. Declined requests count as well.
#[derive(Debug)]
pub(super) struct SlowStartLoad {
    rules: Rules,
    /// The arrival times of requests, with their work in seconds on a standard core.
    arrivals: VecDeque<(Timestamp, f64)>,
    sum: f64,
}

impl SlowStartLoad {
    pub(super) fn new(rules: Rules) -> Self {
        Self { rules, arrivals: VecDeque::new(), sum: 0.0 }
    }

    /// Adds a request. Returns whether the work in the window now exceeds the overload limit of a server of
    /// this capacity.
    pub(super) fn add(&mut self, now: Timestamp, work: Duration, capacity: f64) -> bool {
        let window = self.rules.slow_start_overload_window;
        self.arrivals.push_back((now, work.as_secs_f64()));
        self.sum += work.as_secs_f64();
        while let Some(&(at, work)) = self.arrivals.front().filter(|(at, _)| now.since(*at) > window) {
            debug_assert!(at <= now);
            self.sum -= work;
            self.arrivals.pop_front();
        }
        self.sum > self.rules.slow_start_overload_factor * capacity * window.as_secs_f64()
    }
}
