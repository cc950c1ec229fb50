//! The entries that a cache server has from the start and that have not been requested yet. They are not
//! stored one by one: only their number and the upper bound of their ranks are visible from outside.
//!
//! Each rank belongs to a server with the same probability, the server's share, independently of the other
//! ranks (rendezvous hashing of hashed keys). So the number of entries has a binomial distribution,
//! approximated here by a normal distribution. In a cache that is too small for all of them, the rank of the
//! last one that fits is an order statistic. The distances between their ranks are geometrically distributed.

use crate::random::RandomSource;

/// The initial entries of a cache server. The least popular entry, which has the highest rank, is evicted
/// first.
#[derive(Clone, Debug)]
pub struct InitialEntries {
    count: u32,
    /// The exclusive upper bound of the ranks of cached entries.
    end: u32,
    share: f64,
    random: RandomSource,
    evicted: u64,
}

impl InitialEntries {
    /// Creates an empty set of entries.
    pub fn none() -> Self {
        Self { count: 0, end: 0, share: 0.0, random: RandomSource::new(0), evicted: 0 }
    }

    /// Creates a share of the entries of ranks below `ranks`, limited to the `capacity` of the cache.
    pub fn new(ranks: u32, share: f64, capacity: u32, random: RandomSource) -> Self {
        let share = share.clamp(0.0, 1.0);
        let all = f64::from(ranks);
        let deviation = (all * share * (1.0 - share)).sqrt();
        let in_share = (all * share + deviation * random.derive(0).normal()).round().clamp(0.0, all);
        let capacity = f64::from(capacity);
        let end = if in_share <= capacity {
            all
        } else {
            all * order_statistic(capacity, in_share, random.derive(1))
        };
        Self {
            count: in_share.min(capacity) as u32,
            end: end as u32,
            share,
            random: random.derive(2),
            evicted: 0,
        }
    }

    /// Returns the number of entries.
    pub fn count(&self) -> usize {
        self.count as usize
    }

    /// Returns whether the entry of this rank is cached, provided that it belongs to this server.
    pub fn contains_rank(&self, rank: u32) -> bool {
        self.count > 0 && rank < self.end
    }

    /// Removes an entry of this server when it is first used. Returns `false` if the entry is not cached.
    pub fn remove(&mut self, rank: u32) -> bool {
        let cached = self.contains_rank(rank);
        self.count -= u32::from(cached);
        cached
    }

    /// Evicts the least popular entry, if there is one. Few entries of such ranks have been removed by use,
    /// so the choice of the next rank ignores them.
    pub fn evict(&mut self) {
        if self.count == 0 {
            return;
        }
        self.count -= 1;
        self.evicted += 1;
        let uniform = self.random.derive(self.evicted).uniform();
        let skipped = if self.share < 1.0 { uniform.ln() / (-self.share).ln_1p() } else { 0.0 };
        self.end = self.end.saturating_sub(1u32.saturating_add(skipped as u32));
    }
}

/// Returns a random value of the `rank`-th smallest of `count` uniform values from 0 to 1. The beta
/// distribution of this value is approximated by a normal distribution with the same mean and variance.
fn order_statistic(rank: f64, count: f64, random: RandomSource) -> f64 {
    let mean = rank / (count + 1.0);
    let variance = mean * (1.0 - mean) / (count + 2.0);
    (mean + variance.sqrt() * random.normal()).clamp(0.0, 1.0)
}
