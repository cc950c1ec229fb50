//! Limits how many requests one node may have in flight at a server.
//!
//! A server that answers late but within its timeouts keeps its circuit breaker closed. Without a limit it
//! would still be sent its full share of the requests, and answers for its keys would stay late permanently.

use super::assessment::Assessment;
use super::per_node;
use crate::learned_state::{non_negative, MAX_VALUE};

/// Initial limit of all nodes together, in requests.
const FLEET_INITIAL_LIMIT: f64 = 16.0;
/// Minimum initial limit of one node, in requests.
pub const MIN_INITIAL_LIMIT: f64 = 1.0;
/// Minimum limit, in requests. With no request in flight, this fraction of the requests is still admitted, so
/// that the limit can rise again.
const MIN_LIMIT: f64 = 0.05;
/// The limit increases only while at least `1 / UTILIZATION_DIVISOR` of it is in use. An unused limit is no
/// evidence of what a higher one would do.
const UTILIZATION_DIVISOR: f64 = 2.0;
/// Increase of the limit for an answer in time, in requests.
const INCREASE: f64 = 0.1;
/// Decrease of the limit for a late answer, a timeout or a full queue, in requests.
const DECREASE: f64 = 1.0;
/// Decrease of the limit for a late answer from a server with an empty queue, in requests. Such an answer is
/// most likely late because of its own work. With the full step, heavy requests would lower the limits of a
/// lightly loaded fleet until it rejects requests.
const DECREASE_EMPTY_QUEUE: f64 = 0.3;

/// Returns the initial limit of each server at one of `nodes` nodes, in requests.
pub fn initial_limit(nodes: u32) -> f64 {
    per_node(FLEET_INITIAL_LIMIT, nodes).max(MIN_INITIAL_LIMIT)
}

/// The limit of one server and its requests in flight.
#[derive(Debug)]
pub struct ConcurrencyLimit {
    /// Maximum number of requests in flight. The fractional part is the probability of one more.
    limit: f64,
    in_flight: u32,
}

impl ConcurrencyLimit {
    /// Creates a limit with no requests in flight.
    pub fn new(limit: f64) -> Self {
        Self { limit, in_flight: 0 }
    }

    /// Returns the number of requests in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns whether one more request fits within this fraction of the limit. `random` is the request's
    /// random number between 0 and 1.
    pub fn has_capacity(&self, fraction: f64, random: f64) -> bool {
        f64::from(self.in_flight) + random < self.limit * fraction
    }

    /// Counts a request that is sent.
    pub fn on_send(&mut self) {
        self.in_flight += 1;
    }

    /// Adapts the limit to the result of a request, which then no longer counts as in flight. Results that
    /// are no evidence of the server's load leave the limit unchanged.
    pub fn on_result(&mut self, assessment: Assessment) {
        match assessment {
            Assessment::InTime if self.is_in_use() => self.limit += INCREASE,
            Assessment::LateWithEmptyQueue => self.decrease(DECREASE_EMPTY_QUEUE),
            Assessment::LateUnderLoad
            | Assessment::QueueFull
            | Assessment::TimedOut
            | Assessment::TimedOutWithEmptyQueue => self.decrease(DECREASE),
            _ => {}
        }
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    fn is_in_use(&self) -> bool {
        f64::from(self.in_flight) * UTILIZATION_DIVISOR >= self.limit
    }

    fn decrease(&mut self, step: f64) {
        self.limit = (self.limit - step).max(MIN_LIMIT);
    }

    /// Scales the limit to a different number of nodes: with twice as many nodes, each sends half of the
    /// requests.
    pub fn scale(&mut self, factor: f64) {
        self.limit = (self.limit * factor).max(MIN_LIMIT);
    }

    /// Returns the limit, for a successor process.
    pub fn learned(&self) -> f64 {
        self.limit
    }

    /// Restores the limit of a predecessor process.
    pub fn restore(&mut self, limit: f64) {
        self.limit = non_negative(limit, MAX_VALUE).max(MIN_LIMIT);
    }
}
