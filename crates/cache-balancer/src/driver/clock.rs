//! The clock of a driver.

use balancer_core::Timestamp;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// A monotonic clock that gives Unix time: it starts at the system's time and never jumps, since the endpoint
/// list's start times are Unix times and deadlines must not move with an adjustment of the system's clock.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
    origin_since_epoch: Duration,
}

impl Clock {
    /// A clock that starts at the system's time of now.
    pub fn start() -> Self {
        let origin_since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self { origin: Instant::now(), origin_since_epoch }
    }

    /// The current time.
    pub fn now(&self) -> Timestamp {
        self.timestamp(Instant::now())
    }

    /// The time of an instant; one before the clock's start counts as the start.
    pub fn timestamp(&self, instant: Instant) -> Timestamp {
        let since_epoch = self.origin_since_epoch + instant.saturating_duration_since(self.origin);
        Timestamp::from_micros(u64::try_from(since_epoch.as_micros()).unwrap_or(u64::MAX))
    }
}
