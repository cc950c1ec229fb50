//! The one queue of a replica: it works through calls and answers in the order in which they came, at a stated number of
//! lines a second.

use crate::scale::messages::ReplicaCapacity;
use std::time::Duration;
use thiserror::Error;
use tokio::time::Instant;

/// The queue is too long for one more call or answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the queue is full")]
pub struct QueueFull;

/// When all that was charged so far is worked through.
#[derive(Debug)]
pub struct LineQueue {
    lines_per_second: f64,
    limit: Duration,
    free_at: Option<Instant>,
    lines: f64,
    longest_wait: Duration,
}

impl LineQueue {
    /// An empty one of this capacity.
    pub fn new(capacity: &ReplicaCapacity) -> Self {
        Self {
            lines_per_second: capacity.lines_per_second,
            limit: Duration::from_millis(capacity.queue_limit_ms),
            free_at: None,
            lines: 0.0,
            longest_wait: Duration::ZERO,
        }
    }

    /// Charges so many lines and gives the time at which they are worked through. Nothing is charged where their turn would
    /// begin later than the limit.
    pub fn charge(&mut self, now: Instant, lines: f64) -> Result<Instant, QueueFull> {
        let begins = self.free_at.map_or(now, |free_at| free_at.max(now));
        let wait = begins - now;
        if wait > self.limit {
            return Err(QueueFull);
        }
        let takes = Duration::try_from_secs_f64(lines / self.lines_per_second).map_err(|_| QueueFull)?;
        let ends = begins.checked_add(takes).ok_or(QueueFull)?;
        self.free_at = Some(ends);
        self.lines += lines;
        self.longest_wait = self.longest_wait.max(wait);
        Ok(ends)
    }

    /// Lines charged so far.
    pub fn lines(&self) -> f64 {
        self.lines
    }

    /// The longest wait for a turn so far.
    pub fn longest_wait(&self) -> Duration {
        self.longest_wait
    }
}
