//! The queue of a replica of discovery, which processes calls and answers in the order of their arrival at a
//! fixed number of lines per second. Times are relative to any common start.

use super::messages::ReplicaCapacity;
use std::time::Duration;
use thiserror::Error;

/// The wait for a turn exceeds the limit of the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the queue is full")]
pub struct QueueFull;

/// A queue that processes lines at a fixed rate.
#[derive(Clone, Debug)]
pub struct LineQueue {
    lines_per_second: f64,
    /// Maximum time that a call or answer may wait for its turn.
    limit: Duration,
    /// When all lines charged so far are processed.
    free_at: Duration,
    lines: f64,
    longest_wait: Duration,
}

impl LineQueue {
    /// Creates an empty queue.
    pub fn new(capacity: &ReplicaCapacity) -> Self {
        Self {
            lines_per_second: capacity.lines_per_second,
            limit: Duration::from_millis(capacity.queue_limit_ms),
            free_at: Duration::ZERO,
            lines: 0.0,
            longest_wait: Duration::ZERO,
        }
    }

    /// Adds lines to the queue and returns the time at which they are processed.
    ///
    /// # Errors
    /// Returns [`QueueFull`] and charges nothing if the lines would wait longer than the limit.
    pub fn charge(&mut self, now: Duration, lines: f64) -> Result<Duration, QueueFull> {
        let starts_at = self.free_at.max(now);
        let wait = starts_at - now;
        if wait > self.limit {
            return Err(QueueFull);
        }
        let duration = Duration::try_from_secs_f64(lines / self.lines_per_second).map_err(|_| QueueFull)?;
        let ends_at = starts_at.checked_add(duration).ok_or(QueueFull)?;
        self.free_at = ends_at;
        self.lines += lines;
        self.longest_wait = self.longest_wait.max(wait);
        Ok(ends_at)
    }

    /// Returns the number of lines charged so far.
    pub fn lines(&self) -> f64 {
        self.lines
    }

    /// Returns the longest wait for a turn so far.
    pub fn longest_wait(&self) -> Duration {
        self.longest_wait
    }
}
