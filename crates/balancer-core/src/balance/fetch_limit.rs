//! The limit on probable misses in flight, which protects the origin where cache servers do not report
//! misses.
//!
//! Each fetch that an overloaded origin fails is sent again by its client and by the node, and nothing is
//! cached. Without a limit the overload lasts, whatever began it: servers that start empty, keys that moved,
//! an origin that slowed down. With it hits go on, and the origin recovers. The cost: where probable misses
//! fail for a cause of their own, which more of them would not worsen, the limit has no use.

use super::circuit_breaker::MIN_CALLS;
use super::{per_node, RATE_TIME_CONSTANT};
use crate::learned_state::{non_negative, MAX_VALUE};
use crate::requests::AttemptStatus;
use crate::time::Timestamp;

/// The origin is overloaded while this fraction of the probable misses fails, and they fail at
/// [`FAILURE_RATE_RATIO`] times the rate of the other attempts or more.
const OVERLOAD_FAILURE_RATE: f64 = 0.4;
const FAILURE_RATE_RATIO: f64 = 2.0;
/// Factor of the limit after a failure.
const DECREASE_FACTOR: f64 = 0.7;
/// Step up for each probable miss that is served, in requests.
const INCREASE: f64 = 0.1;
/// The limit rises only while this part of it or more is in use, as a divisor.
const USED_PART_DIVISOR: f64 = 4.0;
/// Lowest limit of all nodes together, in requests.
const LIMIT_MIN_OF_ALL_NODES: f64 = 1.0;

/// Counts of attempts, which decay with time.
#[derive(Clone, Copy, Debug, Default)]
struct AttemptCount {
    all: f64,
    failed: f64,
}

impl AttemptCount {
    fn record(&mut self, failed: bool) {
        self.all += 1.0;
        self.failed += f64::from(u8::from(failed));
    }

    fn decay(&mut self, factor: f64) {
        self.all *= factor;
        self.failed *= factor;
    }

    fn restored((all, failed): (f64, f64)) -> Self {
        Self { all: non_negative(all, MAX_VALUE), failed: non_negative(failed, MAX_VALUE) }
    }
}

/// The result of an attempt, as far as the limit depends on it.
#[derive(Clone, Copy, Debug)]
pub struct AttemptResult {
    /// When it was sent.
    pub sent_at: Timestamp,
    /// Whether it was a probable miss when it was sent.
    pub probable_miss: bool,
    /// How it ended.
    pub status: AttemptStatus,
}

/// The limit of probable misses in flight.
#[derive(Debug, Default)]
pub struct FetchLimit {
    in_flight: u32,
    /// `None` until the origin is overloaded for the first time.
    limit: Option<f64>,
    reduced_at: Timestamp,
    probable_misses: AttemptCount,
    others: AttemptCount,
}

impl FetchLimit {
    /// Scales the counts.
    pub fn decay(&mut self, factor: f64) {
        self.probable_misses.decay(factor);
        self.others.decay(factor);
    }

    /// Counts an attempt that is sent.
    pub fn on_send(&mut self, probable_miss: bool) {
        self.in_flight += u32::from(probable_miss);
    }

    /// Whether the probable misses in flight have reached this fraction of the limit. `random` is the
    /// request's number between 0 and 1.
    pub fn is_reached(&self, fraction: f64, random: f64) -> bool {
        self.limit.is_some_and(|limit| f64::from(self.in_flight) + random >= limit * fraction)
    }

    /// Counts the result of an attempt, at one of `nodes` nodes. Returns whether the origin is at fault for
    /// it: a probable miss failed while the origin counts as overloaded.
    pub fn on_result(&mut self, now: Timestamp, attempt: AttemptResult, nodes: u32) -> bool {
        let failed = matches!(attempt.status, AttemptStatus::Failed | AttemptStatus::TimedOut);
        if !attempt.probable_miss {
            self.others.record(failed);
            return false;
        }
        self.on_probable_miss_ended(now, attempt, failed, nodes);
        failed && self.overload_is_recent(now)
    }

    /// Counts the result of a probable miss and adapts the limit to it.
    fn on_probable_miss_ended(&mut self, now: Timestamp, attempt: AttemptResult, failed: bool, nodes: u32) {
        // What was sent before the last reduction is no evidence of the new limit.
        let counts = attempt.sent_at >= self.reduced_at;
        if counts {
            self.probable_misses.record(failed);
        }
        let in_flight = f64::from(self.in_flight);
        self.in_flight -= 1;
        if attempt.status == AttemptStatus::Ok {
            self.increase(in_flight);
        } else if failed && counts && self.origin_is_overloaded() {
            self.reduce(now, in_flight, nodes);
        }
    }

    /// Whether the limit was reduced within [`RATE_TIME_CONSTANT`], and there are enough other attempts to
    /// compare probable misses with.
    fn overload_is_recent(&self, now: Timestamp) -> bool {
        self.others.all >= f64::from(MIN_CALLS) && now.since(self.reduced_at) < RATE_TIME_CONSTANT
    }

    fn increase(&mut self, in_flight: f64) {
        if let Some(limit) = self.limit.filter(|limit| in_flight * USED_PART_DIVISOR >= *limit) {
            self.limit = Some(limit + INCREASE);
        }
    }

    fn reduce(&mut self, now: Timestamp, in_flight: f64, nodes: u32) {
        let present = self.limit.map_or(in_flight, |limit| limit.min(in_flight));
        self.limit = Some((present * DECREASE_FACTOR).max(per_node(LIMIT_MIN_OF_ALL_NODES, nodes)));
        self.reduced_at = now;
        self.probable_misses = AttemptCount::default();
    }

    /// Whether probable misses fail and the other attempts do not. A few failures suffice, since one of many
    /// nodes sees few probable misses.
    fn origin_is_overloaded(&self) -> bool {
        let (misses, others) = (self.probable_misses, self.others);
        misses.failed >= f64::from(MIN_CALLS)
            && misses.failed >= OVERLOAD_FAILURE_RATE * misses.all
            && misses.failed * others.all >= FAILURE_RATE_RATIO * others.failed * misses.all
    }

    /// The limit, for a successor; `None` where there is none.
    pub fn learned_limit(&self) -> Option<f64> {
        self.limit
    }

    /// Counts of all and of failed attempts, for a successor: of those that were no probable misses, and of
    /// those that were.
    pub fn learned_counts(&self) -> [(f64, f64); 2] {
        [self.others, self.probable_misses].map(|count| (count.all, count.failed))
    }

    /// Restores what a predecessor learned. The number of requests in flight is that of this process.
    pub fn restore(&mut self, limit: Option<f64>, counts: [(f64, f64); 2]) {
        self.limit = limit.map(|limit| non_negative(limit, MAX_VALUE));
        [self.others, self.probable_misses] = counts.map(AttemptCount::restored);
    }
}
