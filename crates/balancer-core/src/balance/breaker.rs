//! Circuit breakers: of each server, of each class at a server, and of the origin.

use super::*;

/// Share of failed calls that trips a breaker, and the fewest calls that do.
const TRIP_RATE: f64 = 0.6;
pub const MIN_CALLS: u32 = 3;
/// A busy server's first calls of a window decide nothing before they are such a part of its last one's:
/// where one call in eight breaks, two of the first three do every few windows. Few calls still trip an idle
/// one's breaker; the price is that a busy server that dies takes half a second's calls, not the first three.
const LAST_WINDOW_DIVISOR: u32 = 10;
pub const WINDOW: Duration = Duration::from_secs(5);
/// A class that is turned away where nobody waits is no chance: its breaker's windows are short, since what
/// was served before would hide it for the rest of a long one.
pub const CLASS_WINDOW: Duration = Duration::from_secs(1);
pub const COOLDOWN: Duration = Duration::from_secs(6);
const TRIALS: u32 = 3;
/// No breaker trips while the other servers fail at this rate: the cause is not that one server's.
const COMMON_RATE: f64 = TRIP_RATE / 2.0;
/// Epoch of attempts that no breaker counts, since their class is no more.
pub const IGNORED_EPOCH: u32 = u32::MAX;

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum BreakerState {
    Closed,
    Open { until: Timestamp },
    HalfOpen { admitted: u32, passed: u32 },
}

#[derive(Debug)]
pub struct Breaker {
    pub state: BreakerState,
    /// Counts state changes: outcomes of attempts sent in an earlier state say nothing of the present one.
    pub epoch: u32,
    window: Duration,
    pub window_ends: Timestamp,
    pub calls: u32,
    pub failures: u32,
    /// Calls in the last whole window.
    pub last_window_calls: u32,
}

impl Breaker {
    pub fn new(window: Duration, now: Timestamp) -> Self {
        let (state, window_ends) = (BreakerState::Closed, now + window);
        Self { state, epoch: 0, window, window_ends, calls: 0, failures: 0, last_window_calls: 0 }
    }

    pub fn enter(&mut self, state: BreakerState, now: Timestamp) {
        let (epoch, last_window_calls) = (self.epoch + 1, self.last_window_calls);
        *self = Self { state, epoch, last_window_calls, ..Self::new(self.window, now) };
    }

    pub fn admits(&self, now: Timestamp) -> bool {
        match self.state {
            BreakerState::Closed => true,
            BreakerState::Open { until } => now >= until,
            BreakerState::HalfOpen { admitted, .. } => admitted < TRIALS,
        }
    }

    pub fn on_send(&mut self, now: Timestamp) {
        match &mut self.state {
            BreakerState::Open { until } if now >= *until => {
                self.enter(BreakerState::HalfOpen { admitted: 1, passed: 0 }, now);
            }
            BreakerState::HalfOpen { admitted, .. } => *admitted += 1,
            _ => {}
        }
    }

    /// `ok` is `None` where the outcome tells nothing: a trial gives its place back. Returns whether the
    /// breaker should trip, for which `least` calls are needed.
    pub fn on_outcome(&mut self, epoch: u32, ok: Option<bool>, least: u32, now: Timestamp) -> bool {
        if epoch != self.epoch {
            return false;
        }
        match (&mut self.state, ok) {
            (BreakerState::HalfOpen { admitted, .. }, None) => *admitted -= 1,
            (BreakerState::HalfOpen { .. }, Some(false)) => return true,
            (BreakerState::HalfOpen { passed, .. }, Some(true)) => {
                *passed += 1;
                if *passed >= TRIALS {
                    self.enter(BreakerState::Closed, now);
                }
            }
            (BreakerState::Closed, Some(ok)) => return self.count(ok, least, now),
            _ => {}
        }
        false
    }

    /// Counts a call of the closed state; returns whether the failures of this window suffice to trip.
    fn count(&mut self, ok: bool, least: u32, now: Timestamp) -> bool {
        if now >= self.window_ends {
            self.last_window_calls = self.calls;
            (self.window_ends, self.calls, self.failures) = (now + self.window, 0, 0);
        }
        self.calls += 1;
        self.failures += u32::from(!ok);
        self.calls >= least.max(self.last_window_calls / LAST_WINDOW_DIVISOR)
            && f64::from(self.failures) >= TRIP_RATE * f64::from(self.calls)
    }
}

/// Calls and failures of the windows that have not ended, added up.
fn recent_failures<'a>(breakers: impl Iterator<Item = &'a Breaker>, now: Timestamp) -> (u32, u32) {
    let recent = breakers.filter(|breaker| now < breaker.window_ends);
    recent.fold((0, 0), |(calls, failures), b| (calls + b.calls, failures + b.failures))
}

/// How many calls a server gets in a window if they come so far apart, up to those that trip its breaker.
pub fn calls_in_window(send_interval: Duration) -> u32 {
    (WINDOW.as_secs_f64() / send_interval.as_secs_f64()).clamp(1.0, f64::from(MIN_CALLS)) as u32
}

impl Balancer {
    /// Many servers failing together have a common cause: ejecting them would push their keys onto the rest.
    pub(super) fn is_outlier(&self, i: usize, now: Timestamp) -> bool {
        let others = self.servers.iter().filter(|other| other.hash != self.servers[i].hash);
        let (calls, failed) = recent_failures(others.map(|other| &other.breaker), now);
        calls < MIN_CALLS || f64::from(failed) < COMMON_RATE * f64::from(calls)
    }

    /// Whether others take a class better than this server does: where most turn it away, none is better.
    pub(super) fn is_class_outlier(&self, i: usize, class: usize, now: Timestamp) -> bool {
        let others = self.servers.iter().filter(|other| other.hash != self.servers[i].hash);
        let (calls, failed) = recent_failures(others.map(|other| &other.by_class[class]), now);
        f64::from(failed) < TRIP_RATE * f64::from(calls)
    }
}
