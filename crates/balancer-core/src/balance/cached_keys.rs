//! Tracks which keys the cache servers most likely hold, based on their reports of hits and misses or, where
//! they do not report these, on their answers.

use crate::hashing::mix;
use crate::learned_state::timestamp_from_age;
use crate::time::Timestamp;
use std::collections::{BTreeSet, HashMap, HashSet};
use std::time::Duration;

/// Maximum number of keys that are tracked, so that a client that invents keys cannot use up memory. Beyond
/// it, [`CachedKeys`] is cleared before it records the next key, and [`CacheMarks`] begins a new generation.
const MAX_KEYS: usize = 4096;
/// Length of a generation of [`CacheMarks`]. A server most likely still holds the keys that it answered for
/// in the current or the previous generation.
const GENERATION_LENGTH: Duration = Duration::from_secs(5);

/// Tracks whether the last answer for each key came from its server's cache, where servers report that.
#[derive(Debug, Default)]
pub struct CachedKeys {
    /// Never exposed in iteration order, which differs between runs.
    keys: HashMap<u64, bool>,
}

impl CachedKeys {
    /// Returns whether the last answer for this key was served from a cache.
    pub fn contains(&self, key: u64) -> bool {
        self.keys.get(&key) == Some(&true)
    }

    /// Records whether a key is cached now.
    pub fn record(&mut self, key: u64, cached: bool) {
        if self.keys.len() > MAX_KEYS {
            self.keys.clear();
        }
        self.keys.insert(key, cached);
    }

    /// Returns the keys in ascending order, for a successor process. The order makes the serialized form of
    /// equal states identical.
    pub fn learned(&self) -> Vec<(u64, bool)> {
        let sorted: BTreeSet<_> = self.keys.iter().map(|(key, cached)| (*key, *cached)).collect();
        sorted.into_iter().collect()
    }

    /// Restores the keys of a predecessor process.
    pub fn restored(keys: &[(u64, bool)]) -> Self {
        Self { keys: keys.iter().take(MAX_KEYS).copied().collect() }
    }
}

/// One incarnation of a server. A restart begins another one, with an empty cache.
#[derive(Clone, Copy, Debug)]
pub struct CacheIncarnation {
    /// Hash of the server's id.
    pub server_hash: u64,
    /// Start time of the incarnation, if known.
    pub started_at: Option<Timestamp>,
}

impl CacheIncarnation {
    /// Returns a hash that identifies a key at this incarnation.
    fn mark(self, key: u64) -> u64 {
        mix(key ^ mix(self.server_hash ^ self.started_at.map_or(0, Timestamp::as_micros)))
    }
}

/// Tracks which keys each server has answered for recently, where servers do not report misses. A mark is a
/// hash of a key and a server incarnation. Marks are kept in two generations, and the older one is dropped as
/// a whole, which bounds their number without scanning them.
#[derive(Debug, Default)]
pub struct CacheMarks {
    current: HashSet<u64>,
    previous: HashSet<u64>,
    /// Start of the current generation.
    generation_started_at: Timestamp,
}

impl CacheMarks {
    /// Begins a new generation if the current one has reached its maximum age or size.
    pub fn rotate(&mut self, now: Timestamp) {
        if now.since(self.generation_started_at) >= GENERATION_LENGTH || self.current.len() >= MAX_KEYS {
            self.previous = std::mem::take(&mut self.current);
            self.generation_started_at = now;
        }
    }

    /// Records that a server has answered for a key and now holds it.
    pub fn insert(&mut self, key: u64, incarnation: CacheIncarnation) {
        self.current.insert(incarnation.mark(key));
    }

    /// Returns whether a server most likely holds a key.
    pub fn contains(&self, key: u64, incarnation: CacheIncarnation) -> bool {
        let mark = incarnation.mark(key);
        self.current.contains(&mark) || self.previous.contains(&mark)
    }

    /// Returns the marks of the current and the previous generation in ascending order, for a successor
    /// process.
    pub fn learned(&self) -> [Vec<u64>; 2] {
        [&self.current, &self.previous].map(|marks| {
            let sorted: BTreeSet<u64> = marks.iter().copied().collect();
            sorted.into_iter().collect()
        })
    }

    /// Returns the time since the current generation began.
    pub fn age(&self, now: Timestamp) -> Duration {
        now.since(self.generation_started_at)
    }

    /// Restores the marks of a predecessor process. `age` is the age of its current generation in
    /// microseconds.
    pub fn restored(marks: &[Vec<u64>; 2], age: u64, now: Timestamp) -> Self {
        let [current, previous] =
            marks.each_ref().map(|marks| marks.iter().take(MAX_KEYS).copied().collect());
        Self { current, previous, generation_started_at: timestamp_from_age(now, age) }
    }
}
