//! The entries of a cache with least-recently-used eviction.

use crate::models::initial_entries::InitialEntries;
use lru::LruCache;
use std::num::NonZeroUsize;

/// A cache of bounded size.
#[derive(Debug)]
pub(super) struct CachedEntries {
    /// Entries that were used, or that were inserted one by one at the start.
    used: LruCache<u64, ()>,
    /// The other initial entries. They count as used before all entries in `used`.
    initial: InitialEntries,
}

impl CachedEntries {
    /// Creates an empty cache of this capacity in entries, but at least one.
    pub(super) fn new(capacity: u32) -> Self {
        // An `LruCache` that is created with a capacity allocates all of it immediately.
        let mut used = LruCache::unbounded();
        used.resize(NonZeroUsize::new(capacity as usize).unwrap_or(NonZeroUsize::MIN));
        Self { used, initial: InitialEntries::none() }
    }

    pub(super) fn set_initial(&mut self, initial: InitialEntries) {
        self.initial = initial;
    }

    pub(super) fn len(&self) -> usize {
        self.used.len() + self.initial.count()
    }

    /// Returns whether the presence of this entry depends on the server to which it belongs at the start.
    pub(super) fn depends_on_initial(&self, key: u64, rank: u32) -> bool {
        self.initial.contains_rank(rank) && !self.used.contains(&key)
    }

    pub(super) fn insert(&mut self, key: u64) {
        self.used.put(key, ());
    }

    /// Returns whether an entry is cached, and marks a cached entry as the most recently used.
    pub(super) fn look_up(&mut self, key: u64, initial_rank: Option<u32>) -> bool {
        if self.used.get(&key).is_some() {
            return true;
        }
        let cached = self.remove_initial(initial_rank);
        if cached {
            self.insert(key);
        }
        cached
    }

    /// Stores an entry that was fetched or modified. Evicts another one if the cache is full.
    pub(super) fn store(&mut self, key: u64, initial_rank: Option<u32>) {
        let cached = self.used.contains(&key) || self.remove_initial(initial_rank);
        if !cached && self.len() >= self.used.cap().get() {
            self.initial.evict();
        }
        self.insert(key);
    }

    fn remove_initial(&mut self, rank: Option<u32>) -> bool {
        rank.is_some_and(|rank| self.initial.remove(rank))
    }
}
