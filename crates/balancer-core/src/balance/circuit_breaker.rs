//! The circuit breaker: it opens when too many calls fail, and closes again after trials that succeed.

use crate::learned_state::{micros, LearnedBreaker, MAX_COUNT};
use crate::time::Timestamp;
use std::time::Duration;

/// Fewest calls of a window that open a breaker. A server to which this node rarely sends needs fewer, for
/// errors only, and is then ejected for a part of the cooldown: see `OutlierDetection::on_server_result`.
pub const MIN_CALLS: u32 = 3;
/// Fraction of failed calls that opens a breaker.
pub const FAILURE_THRESHOLD: f64 = 0.6;
/// A window decides nothing before it has this fraction of the calls of the window before. The first few
/// calls of a busy server are no sample: where one call in eight fails, two of the first three do every few
/// windows, and the server's keys would be missed elsewhere for a whole cooldown. The price is that a busy
/// server that dies takes half a second's calls rather than three.
const MIN_CALLS_DIVISOR: u32 = 10;
/// How long an open breaker blocks before it admits trials.
pub const COOLDOWN: Duration = Duration::from_secs(6);
/// Trials that must all succeed to close a breaker.
const TRIALS: u32 = 3;
/// Epoch of calls that no breaker counts.
pub const IGNORED_EPOCH: u32 = u32::MAX;

/// The result of a call, for the breaker that guards it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallResult {
    /// What the breaker guards did its part.
    Success,
    /// It did not.
    Failure,
    /// The result does not show whether it did.
    Inconclusive,
}

/// State of a breaker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum BreakerState {
    /// Calls are admitted and counted.
    Closed,
    /// Calls are blocked until this time.
    Open {
        /// The end of the cooldown.
        until: Timestamp,
    },
    /// A few trials are admitted.
    HalfOpen {
        /// Trials that are in flight or have succeeded.
        admitted: u32,
        /// Trials that have succeeded.
        succeeded: u32,
    },
}

/// A circuit breaker. Its caller opens it, since what it guards may fail for a cause that is not its own.
#[derive(Debug)]
pub struct CircuitBreaker {
    state: BreakerState,
    epoch: u32,
    window: Duration,
    window_ends: Timestamp,
    calls: u32,
    failures: u32,
    previous_window_calls: u32,
}

impl CircuitBreaker {
    /// A closed breaker that counts calls over windows of this length.
    pub fn new(window: Duration, now: Timestamp) -> Self {
        Self {
            state: BreakerState::Closed,
            epoch: 0,
            window,
            window_ends: now + window,
            calls: 0,
            failures: 0,
            previous_window_calls: 0,
        }
    }

    /// Its present state.
    pub fn state(&self) -> BreakerState {
        self.state
    }

    /// Number of state changes so far. The result of a call counts only in the epoch in which the call was
    /// sent: results of calls that were sent earlier are no evidence of the present state.
    pub fn epoch(&self) -> u32 {
        self.epoch
    }

    /// Calls of the present window.
    pub fn calls(&self) -> u32 {
        self.calls
    }

    /// Calls and failures of the present window; `None` where it has ended.
    pub fn recent_calls(&self, now: Timestamp) -> Option<(u32, u32)> {
        (now < self.window_ends).then_some((self.calls, self.failures))
    }

    /// Blocks calls until this time.
    pub fn open(&mut self, until: Timestamp, now: Timestamp) {
        self.enter(BreakerState::Open { until }, now);
    }

    /// Admits all calls, and forgets the failures.
    pub fn close(&mut self, now: Timestamp) {
        self.enter(BreakerState::Closed, now);
    }

    fn enter(&mut self, state: BreakerState, now: Timestamp) {
        let (epoch, previous_window_calls) = (self.epoch + 1, self.previous_window_calls);
        *self = Self { state, epoch, previous_window_calls, ..Self::new(self.window, now) };
    }

    /// Whether a call may be sent now.
    pub fn admits(&self, now: Timestamp) -> bool {
        match self.state {
            BreakerState::Closed => true,
            BreakerState::Open { until } => now >= until,
            BreakerState::HalfOpen { admitted, .. } => admitted < TRIALS,
        }
    }

    /// Counts a call that is sent, as a trial where the breaker is not closed.
    pub fn on_send(&mut self, now: Timestamp) {
        match &mut self.state {
            BreakerState::Open { until } if now >= *until => {
                self.enter(BreakerState::HalfOpen { admitted: 1, succeeded: 0 }, now);
            }
            BreakerState::HalfOpen { admitted, .. } => *admitted += 1,
            BreakerState::Open { .. } | BreakerState::Closed => {}
        }
    }

    /// Counts the result of a call that was sent in `epoch`. Returns whether the breaker should open: after a
    /// failed trial, or when enough calls of a window have failed. `min_calls` is the fewest calls that
    /// suffice for that.
    ///
    /// A caller that does not open it, because other servers fail as well, leaves the failed trial's place
    /// taken. After `TRIALS` such trials [`Self::admits`] is false until the breaker is opened, closed or
    /// replaced. Of a server's breaker: until its next incarnation, its removal from the list or a state
    /// hand-over, unless attempts that are sent past the breaker, as a last resort, succeed often enough to
    /// close it or fail alone.
    pub fn on_result(&mut self, epoch: u32, result: CallResult, min_calls: u32, now: Timestamp) -> bool {
        if epoch != self.epoch {
            return false;
        }
        match (&mut self.state, result) {
            // The trial gives its place back. Kept, the places of three lost trials would block for good.
            (BreakerState::HalfOpen { admitted, .. }, CallResult::Inconclusive) => *admitted -= 1,
            (BreakerState::HalfOpen { .. }, CallResult::Failure) => return true,
            (BreakerState::HalfOpen { succeeded, .. }, CallResult::Success) => {
                *succeeded += 1;
                if *succeeded >= TRIALS {
                    self.close(now);
                }
            }
            (BreakerState::Closed, CallResult::Success) => return self.count(false, min_calls, now),
            (BreakerState::Closed, CallResult::Failure) => return self.count(true, min_calls, now),
            (BreakerState::Closed, CallResult::Inconclusive) | (BreakerState::Open { .. }, _) => {}
        }
        false
    }

    /// Counts a call of the closed state. Returns whether the failures of its window suffice to open the
    /// breaker.
    fn count(&mut self, failed: bool, min_calls: u32, now: Timestamp) -> bool {
        if now >= self.window_ends {
            self.previous_window_calls = self.calls;
            self.window_ends = now + self.window;
            self.calls = 0;
            self.failures = 0;
        }
        self.calls += 1;
        self.failures += u32::from(failed);
        self.calls >= min_calls.max(self.previous_window_calls / MIN_CALLS_DIVISOR)
            && f64::from(self.failures) >= FAILURE_THRESHOLD * f64::from(self.calls)
    }

    /// Its state, for a successor.
    pub fn learned(&self, now: Timestamp) -> LearnedBreaker {
        let open_remaining = match self.state {
            BreakerState::Closed => None,
            BreakerState::Open { until } => Some(micros(until.since(now))),
            BreakerState::HalfOpen { .. } => Some(0),
        };
        LearnedBreaker {
            open_remaining,
            window_remaining: micros(self.window_ends.since(now)),
            calls: self.calls,
            failures: self.failures,
            previous_window_calls: self.previous_window_calls,
        }
    }

    /// A breaker in the state that a predecessor learned.
    pub fn restored(learned: &LearnedBreaker, window: Duration, now: Timestamp) -> Self {
        let mut breaker = Self::new(window, now);
        let after = |remaining: u64, longest: Duration| now + Duration::from_micros(remaining).min(longest);
        match learned.open_remaining {
            // Twice the cooldown is longer than any, jitter included.
            Some(remaining) => {
                breaker.state = BreakerState::Open { until: after(remaining, COOLDOWN * 2) };
            }
            None => {
                breaker.window_ends = after(learned.window_remaining, window);
                breaker.calls = learned.calls.min(MAX_COUNT);
                breaker.failures = learned.failures.min(breaker.calls);
            }
        }
        breaker.previous_window_calls = learned.previous_window_calls.min(MAX_COUNT);
        breaker
    }
}
