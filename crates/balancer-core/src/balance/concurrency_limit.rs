//! The concurrency limit: how many requests one node may have in flight at a server.
//!
//! A server that answers late inside its time-outs keeps its breaker closed. Without a limit it would be sent
//! its whole share all the same, and its keys would be late for good.

use super::assessment::Assessment;
use super::per_node;
use crate::learned_state::{non_negative, MAX_VALUE};

/// Initial limit of all nodes together, in requests.
const INITIAL_LIMIT_OF_ALL_NODES: f64 = 16.0;
/// Least initial limit of one node, in requests.
pub const INITIAL_LIMIT_MIN: f64 = 1.0;
/// Lowest limit, in requests: with none in flight, this fraction of the requests is still admitted, so that
/// the limit can rise again.
const LIMIT_MIN: f64 = 0.05;
/// The limit rises only while this part of it or more is in use, as a divisor. A limit that is not used shows
/// nothing of what a higher one would do.
const USED_PART_DIVISOR: f64 = 2.0;
/// Step up for an answer in time, in requests.
const INCREASE: f64 = 0.1;
/// Step down for a late answer, a time-out or a full queue, in requests.
const DECREASE: f64 = 1.0;
/// Step down for a late answer from a server with an empty queue, in requests. It is likely the work itself
/// that takes long: with the full step, the limits of a calm fleet fall under heavy requests until it
/// rejects.
const DECREASE_EMPTY_QUEUE: f64 = 0.3;

/// Where the limits of one of `nodes` nodes start, in requests.
pub fn initial_limit(nodes: u32) -> f64 {
    per_node(INITIAL_LIMIT_OF_ALL_NODES, nodes).max(INITIAL_LIMIT_MIN)
}

/// The limit of one server, and what it limits.
#[derive(Debug)]
pub struct ConcurrencyLimit {
    /// Most requests in flight; a fraction stands for the probability of one more.
    limit: f64,
    in_flight: u32,
}

impl ConcurrencyLimit {
    /// A limit of this many requests, with none in flight.
    pub fn new(limit: f64) -> Self {
        Self { limit, in_flight: 0 }
    }

    /// Number of requests in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Whether there is capacity for one more request within this fraction of the limit. `random` is the
    /// request's number between 0 and 1.
    pub fn has_capacity(&self, fraction: f64, random: f64) -> bool {
        f64::from(self.in_flight) + random < self.limit * fraction
    }

    /// Counts a request that is sent.
    pub fn on_send(&mut self) {
        self.in_flight += 1;
    }

    /// Adapts the limit to the result of a request, and then counts it as no longer in flight. Results that
    /// show nothing of the server's load leave the limit as it is.
    pub fn on_result(&mut self, assessment: Assessment) {
        match assessment {
            Assessment::InTime if self.is_used() => self.limit += INCREASE,
            Assessment::LateWithEmptyQueue => self.decrease(DECREASE_EMPTY_QUEUE),
            Assessment::LateUnderLoad
            | Assessment::QueueFull
            | Assessment::TimedOut
            | Assessment::TimedOutWithEmptyQueue => self.decrease(DECREASE),
            _ => {}
        }
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    fn is_used(&self) -> bool {
        f64::from(self.in_flight) * USED_PART_DIVISOR >= self.limit
    }

    fn decrease(&mut self, step: f64) {
        self.limit = (self.limit - step).max(LIMIT_MIN);
    }

    /// Scales the limit to another number of nodes: one of twice as many has half of the requests.
    pub fn scale(&mut self, factor: f64) {
        self.limit = (self.limit * factor).max(LIMIT_MIN);
    }

    /// The limit, for a successor.
    pub fn learned(&self) -> f64 {
        self.limit
    }

    /// Restores a limit that a predecessor learned.
    pub fn restore(&mut self, limit: f64) {
        self.limit = non_negative(limit, MAX_VALUE).max(LIMIT_MIN);
    }
}
