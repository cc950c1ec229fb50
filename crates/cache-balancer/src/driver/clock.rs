//! A monotonic clock that returns Unix time.

use balancer_core::Timestamp;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// A monotonic clock that returns Unix time. It reads the system time once, when it starts, and never jumps:
/// start times in endpoint lists are Unix times, and deadlines must not move when the system time is
/// adjusted.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started_at: Instant,
    start_since_epoch: Duration,
}

impl Clock {
    /// Starts a clock at the current system time.
    pub fn start() -> Self {
        let start_since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self { started_at: Instant::now(), start_since_epoch }
    }

    /// Returns the current time.
    pub fn now(&self) -> Timestamp {
        self.timestamp(Instant::now())
    }

    /// Converts an instant to Unix time. An instant before the clock's start is converted to the start time.
    pub fn timestamp(&self, instant: Instant) -> Timestamp {
        let since_epoch = self.start_since_epoch + instant.saturating_duration_since(self.started_at);
        Timestamp::from_micros(u64::try_from(since_epoch.as_micros()).unwrap_or(u64::MAX))
    }
}
