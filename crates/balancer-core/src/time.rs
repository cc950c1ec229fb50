//! Points in time on the caller's clock; nothing in this crate reads a clock itself.

use std::ops::Add;
use std::time::Duration;

/// A point on the caller's clock, in microseconds from any origin; the clock must not run backwards.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Timestamp(u64);

impl Timestamp {
    /// From a count of microseconds.
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }
    /// As a count of microseconds.
    pub const fn as_micros(self) -> u64 {
        self.0
    }
    /// Time since `earlier`; zero where that lies ahead.
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Timestamp {
    type Output = Self;
    fn add(self, time: Duration) -> Self {
        Self(self.0.saturating_add(u64::try_from(time.as_micros()).unwrap_or(u64::MAX)))
    }
}
