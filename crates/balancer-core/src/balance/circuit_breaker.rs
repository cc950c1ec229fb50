//! Circuit breaker that opens when too many calls fail and closes again after successful trials.

use crate::learned_state::{micros, LearnedBreaker, MAX_COUNT};
use crate::time::Timestamp;
use std::time::Duration;

/// Minimum number of calls in a window for a breaker to open. Fewer errors (but not timeouts or full queues)
/// suffice for a server to which this node rarely sends; that server is then ejected for a part of the
/// cooldown: see `OutlierDetection::on_server_result`.
pub const MIN_CALLS: u32 = 3;
/// Fraction of failed calls at which a breaker opens.
pub const FAILURE_THRESHOLD: f64 = 0.6;
/// Divisor of the number of calls in the previous window. A breaker does not open before the current window
/// has as many calls as the quotient.
///
/// The first few calls of a busy server are too small a sample: if one call in eight fails, two of the first
/// three fail every few windows, and the server's keys would be misses at other servers for a whole cooldown.
/// The cost is that a busy server that fails is sent the calls of half a second rather than three calls.
const MIN_CALLS_DIVISOR: u32 = 10;
/// Time for which an open breaker blocks calls before it admits trials.
pub const COOLDOWN: Duration = Duration::from_secs(6);
/// Number of trials that must all succeed for a breaker to close.
const TRIALS: u32 = 3;
/// Epoch of calls whose results are ignored by every breaker.
pub const IGNORED_EPOCH: u32 = u32::MAX;

/// The result of a call, for the breaker that guards the called server, class or origin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallResult {
    /// The guarded target works.
    Success,
    /// The guarded target failed.
    Failure,
    /// The result does not show whether the guarded target works.
    Inconclusive,
}

/// State of a breaker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum BreakerState {
    /// Calls are admitted and counted.
    Closed,
    /// Calls are blocked until this time.
    Open {
        /// End of the cooldown.
        until: Timestamp,
    },
    /// A few trials are admitted.
    HalfOpen {
        /// Number of trials that were admitted, without those that ended with an inconclusive result.
        admitted: u32,
        /// Number of trials that have succeeded.
        succeeded: u32,
    },
}

/// A circuit breaker. The caller decides whether to open it, since the guarded target may fail for a cause
/// outside of the target.
#[derive(Debug)]
pub struct CircuitBreaker {
    state: BreakerState,
    epoch: u32,
    window: Duration,
    window_ends_at: Timestamp,
    calls: u32,
    failures: u32,
    previous_window_calls: u32,
}

impl CircuitBreaker {
    /// Returns a closed breaker that counts calls over windows of this length.
    pub fn new(window: Duration, now: Timestamp) -> Self {
        Self {
            state: BreakerState::Closed,
            epoch: 0,
            window,
            window_ends_at: now + window,
            calls: 0,
            failures: 0,
            previous_window_calls: 0,
        }
    }

    /// Returns the current state.
    pub fn state(&self) -> BreakerState {
        self.state
    }

    /// Returns the number of state changes so far. The result of a call counts only in the epoch in which the
    /// call was sent, because results of earlier calls are no evidence about the current state.
    pub fn epoch(&self) -> u32 {
        self.epoch
    }

    /// Returns the number of calls in the current window.
    pub fn calls(&self) -> u32 {
        self.calls
    }

    /// Returns the numbers of calls and failures in the current window, or `None` if the window has ended.
    pub fn recent_calls(&self, now: Timestamp) -> Option<(u32, u32)> {
        (now < self.window_ends_at).then_some((self.calls, self.failures))
    }

    /// Blocks calls until this time.
    pub fn open(&mut self, until: Timestamp, now: Timestamp) {
        self.enter(BreakerState::Open { until }, now);
    }

    /// Admits all calls and resets the counts of the window.
    pub fn close(&mut self, now: Timestamp) {
        self.enter(BreakerState::Closed, now);
    }

    fn enter(&mut self, state: BreakerState, now: Timestamp) {
        let (epoch, previous_window_calls) = (self.epoch + 1, self.previous_window_calls);
        *self = Self { state, epoch, previous_window_calls, ..Self::new(self.window, now) };
    }

    /// Returns whether a call may be sent now.
    pub fn admits(&self, now: Timestamp) -> bool {
        match self.state {
            BreakerState::Closed => true,
            BreakerState::Open { until } => now >= until,
            BreakerState::HalfOpen { admitted, .. } => admitted < TRIALS,
        }
    }

    /// Counts a call that is sent. After the cooldown and in the half-open state, the call is a trial.
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
    /// failed trial, or when enough calls of a window have failed. `min_calls` is the minimum number of calls
    /// in the window for that.
    ///
    /// If the caller does not open the breaker, because other servers fail as well, the failed trial still
    /// counts as admitted. After `TRIALS` such trials [`Self::admits`] returns false until the breaker is
    /// opened, closed or replaced. The breaker of a server stays in this state until the server's next
    /// incarnation, its removal from the list or a state hand-over, unless attempts that bypass the breaker
    /// as a last resort succeed often enough to close it, or fail while other servers do not.
    pub fn on_result(&mut self, epoch: u32, result: CallResult, min_calls: u32, now: Timestamp) -> bool {
        if epoch != self.epoch {
            return false;
        }
        match (&mut self.state, result) {
            // An inconclusive trial allows another one. Otherwise three of them would block the target for
            // good.
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

    /// Counts the result of a call in the closed state. Returns whether the failures of its window suffice to
    /// open the breaker.
    fn count(&mut self, failed: bool, min_calls: u32, now: Timestamp) -> bool {
        if now >= self.window_ends_at {
            self.previous_window_calls = self.calls;
            self.window_ends_at = now + self.window;
            self.calls = 0;
            self.failures = 0;
        }
        self.calls += 1;
        self.failures += u32::from(failed);
        self.calls >= min_calls.max(self.previous_window_calls / MIN_CALLS_DIVISOR)
            && f64::from(self.failures) >= FAILURE_THRESHOLD * f64::from(self.calls)
    }

    /// Returns the state, for a successor process.
    pub fn learned(&self, now: Timestamp) -> LearnedBreaker {
        let open_remaining = match self.state {
            BreakerState::Closed => None,
            BreakerState::Open { until } => Some(micros(until.since(now))),
            BreakerState::HalfOpen { .. } => Some(0),
        };
        LearnedBreaker {
            open_remaining,
            window_remaining: micros(self.window_ends_at.since(now)),
            calls: self.calls,
            failures: self.failures,
            previous_window_calls: self.previous_window_calls,
        }
    }

    /// Returns a breaker in the state of a predecessor process.
    pub fn restored(learned: &LearnedBreaker, window: Duration, now: Timestamp) -> Self {
        let mut breaker = Self::new(window, now);
        let end = |remaining: u64, max: Duration| now + Duration::from_micros(remaining).min(max);
        match learned.open_remaining {
            // No cooldown, including its jitter, is longer than twice `COOLDOWN`.
            Some(remaining) => {
                breaker.state = BreakerState::Open { until: end(remaining, COOLDOWN * 2) };
            }
            None => {
                breaker.window_ends_at = end(learned.window_remaining, window);
                breaker.calls = learned.calls.min(MAX_COUNT);
                breaker.failures = learned.failures.min(breaker.calls);
            }
        }
        breaker.previous_window_calls = learned.previous_window_calls.min(MAX_COUNT);
        breaker
    }
}
