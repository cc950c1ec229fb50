//! The queue of a replica of discovery: it works through calls and answers in the order of their arrival, at a fixed number
//! of lines per second. Times count from any common start.

use super::messages::ReplicaCapacity;
use std::time::Duration;
use thiserror::Error;

/// The queue is too long for one more call or answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the queue is full")]
pub struct QueueFull;

/// A queue of lines.
#[derive(Clone, Debug)]
pub struct LineQueue {
    lines_per_second: f64,
    /// The longest time that a call or answer may wait for its turn.
    limit: Duration,
    /// When everything that was charged so far is worked through.
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

    /// Charges lines and returns the time at which they are worked through.
    ///
    /// # Errors
    /// If their turn would begin later than the limit allows. Nothing is charged then.
    pub fn charge(&mut self, now: Duration, lines: f64) -> Result<Duration, QueueFull> {
        let begins = self.free_at.max(now);
        let wait = begins - now;
        if wait > self.limit {
            return Err(QueueFull);
        }
        let takes = Duration::try_from_secs_f64(lines / self.lines_per_second).map_err(|_| QueueFull)?;
        let ends = begins.checked_add(takes).ok_or(QueueFull)?;
        self.free_at = ends;
        self.lines += lines;
        self.longest_wait = self.longest_wait.max(wait);
        Ok(ends)
    }

    /// The number of lines charged so far.
    pub fn lines(&self) -> f64 {
        self.lines
    }

    /// The longest wait for a turn so far.
    pub fn longest_wait(&self) -> Duration {
        self.longest_wait
    }
}
