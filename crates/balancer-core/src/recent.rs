//! Memory of the recent past that stays small: a set that forgets by halves, and counts that decay.

use crate::time::Timestamp;
use std::collections::HashSet;
use std::time::Duration;

/// A set in two generations, of which the older is dropped as a whole. Never walked in its own order.
#[derive(Debug, Default)]
pub struct RecentSet {
    /// What was inserted since the last rotation.
    pub current: HashSet<u64>,
    /// What was inserted between the last two rotations.
    pub previous: HashSet<u64>,
    /// When the current generation began.
    pub since: Timestamp,
}

impl RecentSet {
    /// Begins a new generation where the current one is as old as `span` or holds `most` marks.
    pub fn rotate(&mut self, now: Timestamp, span: Duration, most: usize) {
        if now.since(self.since) >= span || self.current.len() >= most {
            self.previous = std::mem::take(&mut self.current);
            self.since = now;
        }
    }

    /// Adds a mark to the current generation.
    pub fn insert(&mut self, mark: u64) {
        self.current.insert(mark);
    }

    /// Whether either generation holds the mark.
    pub fn contains(&self, mark: u64) -> bool {
        self.current.contains(&mark) || self.previous.contains(&mark)
    }
}

/// Outcomes, and how many of them are failures; both decay with time.
#[derive(Clone, Copy, Debug, Default)]
pub struct OutcomeCount {
    /// All outcomes.
    pub all: f64,
    /// Those that are failures.
    pub failed: f64,
}

impl OutcomeCount {
    /// Counts an outcome.
    pub fn record(&mut self, failed: bool) {
        self.all += 1.0;
        self.failed += f64::from(u8::from(failed));
    }

    /// Multiplies both counts.
    pub fn decay(&mut self, factor: f64) {
        self.all *= factor;
        self.failed *= factor;
    }
}
