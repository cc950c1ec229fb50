//! The entries of a cache, evicted in the order of last use.

use crate::models::initial_entries::InitialEntries;
use lru::LruCache;
use std::num::NonZeroUsize;

/// A cache of bounded size.
#[derive(Debug)]
pub(super) struct CachedEntries {
    /// Entries that were used, or listed one by one at the start.
    used: LruCache<u64, ()>,
    /// Other entries of the start: their last use is before that of all others.
    initial: InitialEntries,
}

impl CachedEntries {
    /// Creates an empty cache for this many entries, at least one.
    pub(super) fn new(capacity: u32) -> Self {
        // A cache that is created with its bound allocates all of it at once.
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

    /// Whether it depends on the place of an entry at the start whether it is cached.
    pub(super) fn depends_on_initial(&self, key: u64, rank: u32) -> bool {
        self.initial.reaches(rank) && !self.used.contains(&key)
    }

    pub(super) fn insert(&mut self, key: u64) {
        self.used.put(key, ());
    }

    /// Whether an entry is cached. A cached entry is then the one used last.
    pub(super) fn look_up(&mut self, key: u64, initial_rank: Option<u32>) -> bool {
        if self.used.get(&key).is_some() {
            return true;
        }
        let cached = self.take_initial(initial_rank);
        if cached {
            self.insert(key);
        }
        cached
    }

    /// Caches an entry that was fetched or changed, evicting another one if the cache is full.
    pub(super) fn store(&mut self, key: u64, initial_rank: Option<u32>) {
        let cached = self.used.contains(&key) || self.take_initial(initial_rank);
        if !cached && self.len() >= self.used.cap().get() {
            self.initial.evict();
        }
        self.insert(key);
    }

    fn take_initial(&mut self, rank: Option<u32>) -> bool {
        rank.is_some_and(|rank| self.initial.take(rank))
    }
}
