//! Circuit breaker of the origin, for fleets whose cache servers fetch from the origin and report misses.
//!
//! If fetches wait in the origin's queue for longer than clients wait for their answers, the origin serves
//! none of them in time: clients retry each failed fetch, so the queue stays full. The breaker blocks misses
//! until the origin has worked off its queue. Cached keys are still served during that time, and no cache
//! server is ejected for the failures.

use super::circuit_breaker::{BreakerState, CallResult, CircuitBreaker, COOLDOWN, IGNORED_EPOCH, MIN_CALLS};
use super::outlier_detection::SERVER_WINDOW;
use crate::hashing::{mix, unit_interval};
use crate::learned_state::LearnedBreaker;
use crate::time::Timestamp;

/// The cooldown is a fraction of [`COOLDOWN`]: this minimum plus a random part of up to
/// `COOLDOWN_JITTER_FRACTION`, so that the trials of many nodes do not coincide.
const MIN_COOLDOWN_FRACTION: f64 = 0.75;
const COOLDOWN_JITTER_FRACTION: f64 = 0.5;

/// Circuit breaker of the origin.
#[derive(Debug)]
pub struct OriginBreaker {
    breaker: CircuitBreaker,
}

impl OriginBreaker {
    /// Returns a closed breaker.
    pub fn new(now: Timestamp) -> Self {
        Self { breaker: CircuitBreaker::new(SERVER_WINDOW, now) }
    }

    /// Returns the current state.
    pub fn state(&self) -> BreakerState {
        self.breaker.state()
    }

    /// Returns whether a request that may need the origin may be sent now.
    pub fn admits(&self, now: Timestamp) -> bool {
        self.breaker.admits(now)
    }

    /// Counts an attempt that is sent and returns the epoch in which its result counts. An attempt for a
    /// cached key is not a trial of the origin, so its result is ignored while the breaker is not closed.
    pub fn on_send(&mut self, is_cached: bool, now: Timestamp) -> u32 {
        if !is_cached {
            self.breaker.on_send(now);
        }
        if is_cached && self.breaker.state() != BreakerState::Closed {
            IGNORED_EPOCH
        } else {
            self.breaker.epoch()
        }
    }

    /// Counts the result of an attempt and opens the breaker if necessary. Returns whether the breaker
    /// opened.
    pub fn on_result(&mut self, epoch: u32, result: CallResult, seed: u64, now: Timestamp) -> bool {
        let opens = self.breaker.on_result(epoch, result, MIN_CALLS, now);
        if opens {
            let jitter = unit_interval(mix(seed ^ now.as_micros())) * COOLDOWN_JITTER_FRACTION;
            self.breaker.open(now + COOLDOWN.mul_f64(MIN_COOLDOWN_FRACTION + jitter), now);
        }
        opens
    }

    /// Returns the state, for a successor process.
    pub fn learned(&self, now: Timestamp) -> LearnedBreaker {
        self.breaker.learned(now)
    }

    /// Returns a breaker in the state of a predecessor process.
    pub fn restored(learned: &LearnedBreaker, now: Timestamp) -> Self {
        Self { breaker: CircuitBreaker::restored(learned, SERVER_WINDOW, now) }
    }
}
