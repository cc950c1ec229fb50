//! What the cache servers most likely hold: by what they report of each answer, or by what they have
//! answered.

use crate::hashing::mix;
use crate::learned_state::timestamp_from_age;
use crate::time::Timestamp;
use std::collections::{BTreeSet, HashMap, HashSet};
use std::time::Duration;

/// Most keys that are remembered at a time, so that a client that invents keys takes up no more memory.
/// [`CachedKeys`] that holds more is cleared as a whole before it records the next key; [`CacheMarks`] begins
/// a new generation.
const MAX_KEYS: usize = 4096;
/// Length of a generation of [`CacheMarks`]: a server most likely still holds what it answered in the present
/// one or the one before.
const GENERATION: Duration = Duration::from_secs(5);

/// Whether the last answer for a key came from its server's cache, where servers report that.
#[derive(Debug, Default)]
pub struct CachedKeys {
    /// Never iterated in its own order, which differs from run to run.
    keys: HashMap<u64, bool>,
}

impl CachedKeys {
    /// Whether the last answer for this key was served from a cache.
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

    /// The keys in ascending order, for a successor: equal states are equal to the byte.
    pub fn learned(&self) -> Vec<(u64, bool)> {
        let sorted: BTreeSet<_> = self.keys.iter().map(|(key, cached)| (*key, *cached)).collect();
        sorted.into_iter().collect()
    }

    /// The keys that a predecessor knew.
    pub fn restored(keys: &[(u64, bool)]) -> Self {
        Self { keys: keys.iter().take(MAX_KEYS).copied().collect() }
    }
}

/// One incarnation of a server. A restart loses its cache.
#[derive(Clone, Copy, Debug)]
pub struct CacheIncarnation {
    /// Hash of the server's identity.
    pub server_hash: u64,
    /// When the incarnation started, if that is known.
    pub started_at: Option<Timestamp>,
}

impl CacheIncarnation {
    /// Stands for a key at this incarnation.
    fn mark(self, key: u64) -> u64 {
        mix(key ^ mix(self.server_hash ^ self.started_at.map_or(0, Timestamp::as_micros)))
    }
}

/// Marks of what each server has answered recently, where servers do not report misses. They are held in two
/// generations, of which the older one is dropped as a whole, so that they stay bounded without a walk over
/// them.
#[derive(Debug, Default)]
pub struct CacheMarks {
    current: HashSet<u64>,
    previous: HashSet<u64>,
    /// When the current generation began.
    since: Timestamp,
}

impl CacheMarks {
    /// Begins a new generation where the current one is old or full.
    pub fn rotate(&mut self, now: Timestamp) {
        if now.since(self.since) >= GENERATION || self.current.len() >= MAX_KEYS {
            self.previous = std::mem::take(&mut self.current);
            self.since = now;
        }
    }

    /// Records that a server has answered for a key, and now holds it.
    pub fn insert(&mut self, key: u64, incarnation: CacheIncarnation) {
        self.current.insert(incarnation.mark(key));
    }

    /// Whether a server most likely holds a key.
    pub fn contains(&self, key: u64, incarnation: CacheIncarnation) -> bool {
        let mark = incarnation.mark(key);
        self.current.contains(&mark) || self.previous.contains(&mark)
    }

    /// The marks of the current and the previous generation in ascending order, for a successor.
    pub fn learned(&self) -> [Vec<u64>; 2] {
        [&self.current, &self.previous].map(|marks| {
            let sorted: BTreeSet<u64> = marks.iter().copied().collect();
            sorted.into_iter().collect()
        })
    }

    /// Time since the current generation began.
    pub fn age(&self, now: Timestamp) -> Duration {
        now.since(self.since)
    }

    /// The marks of a predecessor. `age` is that of its current generation, in microseconds.
    pub fn restored(marks: &[Vec<u64>; 2], age: u64, now: Timestamp) -> Self {
        let [current, previous] =
            marks.each_ref().map(|marks| marks.iter().take(MAX_KEYS).copied().collect());
        Self { current, previous, since: timestamp_from_age(now, age) }
    }
}
