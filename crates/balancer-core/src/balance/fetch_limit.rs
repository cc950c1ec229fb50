//! Limits probable misses in flight, which protects the origin where cache servers do not report misses.
//!
//! When an overloaded origin fails a fetch, both the client and the node send the request again, and nothing
//! is cached. Without a limit the overload persists, whatever caused it: servers that start with empty
//! caches, keys that moved, or an origin that slowed down. With the limit, hits are still served and the
//! origin recovers. The drawback: if probable misses fail for a reason that does not depend on their number,
//! the limit holds back reads without a benefit.

use super::circuit_breaker::MIN_CALLS;
use super::{per_node, RATE_TIME_CONSTANT};
use crate::learned_state::{non_negative, MAX_VALUE};
use crate::requests::AttemptStatus;
use crate::time::Timestamp;

/// The origin counts as overloaded while at least this fraction of the probable misses fails, at a rate of at
/// least [`FAILURE_RATE_RATIO`] times that of other attempts.
const OVERLOAD_FAILURE_RATE: f64 = 0.4;
const FAILURE_RATE_RATIO: f64 = 2.0;
/// Factor by which a failure reduces the limit.
const DECREASE_FACTOR: f64 = 0.7;
/// Increase of the limit for each probable miss that is served, in requests.
const INCREASE: f64 = 0.1;
/// The limit increases only while at least `1 / UTILIZATION_DIVISOR` of it is in use.
const UTILIZATION_DIVISOR: f64 = 4.0;
/// Minimum limit of all nodes together, in requests.
const MIN_FLEET_LIMIT: f64 = 1.0;

/// Exponentially decaying counts of attempts.
#[derive(Clone, Copy, Debug, Default)]
struct AttemptCounts {
    total: f64,
    failed: f64,
}

impl AttemptCounts {
    fn record(&mut self, failed: bool) {
        self.total += 1.0;
        self.failed += f64::from(u8::from(failed));
    }

    fn decay(&mut self, factor: f64) {
        self.total *= factor;
        self.failed *= factor;
    }

    fn restored((total, failed): (f64, f64)) -> Self {
        Self { total: non_negative(total, MAX_VALUE), failed: non_negative(failed, MAX_VALUE) }
    }
}

/// The parts of an attempt's result that affect the limit.
#[derive(Clone, Copy, Debug)]
pub struct AttemptResult {
    /// Time at which the attempt was sent.
    pub sent_at: Timestamp,
    /// Whether the attempt was a probable miss when it was sent.
    pub probable_miss: bool,
    /// How the attempt ended.
    pub status: AttemptStatus,
}

/// Adaptive limit on probable misses in flight.
#[derive(Debug, Default)]
pub struct FetchLimit {
    in_flight: u32,
    /// `None` until the origin is overloaded for the first time.
    limit: Option<f64>,
    reduced_at: Timestamp,
    probable_misses: AttemptCounts,
    others: AttemptCounts,
}

impl FetchLimit {
    /// Multiplies the counts by `factor`.
    pub fn decay(&mut self, factor: f64) {
        self.probable_misses.decay(factor);
        self.others.decay(factor);
    }

    /// Counts an attempt that is sent.
    pub fn on_send(&mut self, probable_miss: bool) {
        self.in_flight += u32::from(probable_miss);
    }

    /// Returns whether the probable misses in flight have reached this fraction of the limit. `random` is the
    /// request's random number between 0 and 1.
    pub fn is_reached(&self, fraction: f64, random: f64) -> bool {
        self.limit.is_some_and(|limit| f64::from(self.in_flight) + random >= limit * fraction)
    }

    /// Records the result of an attempt at one of `nodes` nodes. Returns whether the origin is at fault,
    /// which is the case if a probable miss failed while the origin counts as overloaded.
    pub fn on_result(&mut self, now: Timestamp, attempt: AttemptResult, nodes: u32) -> bool {
        let failed = matches!(attempt.status, AttemptStatus::Failed | AttemptStatus::TimedOut);
        if !attempt.probable_miss {
            self.others.record(failed);
            return false;
        }
        self.on_probable_miss_ended(now, attempt, failed, nodes);
        failed && self.overload_is_recent(now)
    }

    /// Records the result of a probable miss and adapts the limit to it.
    fn on_probable_miss_ended(&mut self, now: Timestamp, attempt: AttemptResult, failed: bool, nodes: u32) {
        // Attempts sent before the last reduction are no evidence about the reduced limit.
        let is_current = attempt.sent_at >= self.reduced_at;
        if is_current {
            self.probable_misses.record(failed);
        }
        let in_flight = f64::from(self.in_flight);
        self.in_flight -= 1;
        if attempt.status == AttemptStatus::Ok {
            self.increase(in_flight);
        } else if failed && is_current && self.origin_is_overloaded() {
            self.reduce(now, in_flight, nodes);
        }
    }

    /// Returns whether the limit was reduced within [`RATE_TIME_CONSTANT`], and there are enough other
    /// attempts to compare probable misses with.
    fn overload_is_recent(&self, now: Timestamp) -> bool {
        self.others.total >= f64::from(MIN_CALLS) && now.since(self.reduced_at) < RATE_TIME_CONSTANT
    }

    fn increase(&mut self, in_flight: f64) {
        if let Some(limit) = self.limit.filter(|limit| in_flight * UTILIZATION_DIVISOR >= *limit) {
            self.limit = Some(limit + INCREASE);
        }
    }

    fn reduce(&mut self, now: Timestamp, in_flight: f64, nodes: u32) {
        let current = self.limit.map_or(in_flight, |limit| limit.min(in_flight));
        self.limit = Some((current * DECREASE_FACTOR).max(per_node(MIN_FLEET_LIMIT, nodes)));
        self.reduced_at = now;
        self.probable_misses = AttemptCounts::default();
    }

    /// Returns whether probable misses fail much more often than other attempts. A few failures suffice,
    /// since each node of a large fleet sees few probable misses.
    fn origin_is_overloaded(&self) -> bool {
        let (misses, others) = (self.probable_misses, self.others);
        misses.failed >= f64::from(MIN_CALLS)
            && misses.failed >= OVERLOAD_FAILURE_RATE * misses.total
            && misses.failed * others.total >= FAILURE_RATE_RATIO * others.failed * misses.total
    }

    /// Returns the limit, for a successor process, or `None` if there is none.
    pub fn learned_limit(&self) -> Option<f64> {
        self.limit
    }

    /// Returns the counts of all attempts and of failed attempts, for a successor process: first for attempts
    /// that were not probable misses, then for probable misses.
    pub fn learned_counts(&self) -> [(f64, f64); 2] {
        [self.others, self.probable_misses].map(|counts| (counts.total, counts.failed))
    }

    /// Restores the limit and the counts of a predecessor process. The number of requests in flight remains
    /// that of this process.
    pub fn restore(&mut self, limit: Option<f64>, counts: [(f64, f64); 2]) {
        self.limit = limit.map(|limit| non_negative(limit, MAX_VALUE));
        [self.others, self.probable_misses] = counts.map(AttemptCounts::restored);
    }
}
