//! Entries that a cache server has from the start and that nothing has requested yet. They are not listed: all that shows
//! from outside is how many there are, and the rank from which on there are none.
//!
//! Each rank lies at a server with the same probability, its share, independently of the others (rendezvous hashing of
//! hashed keys). So their number is binomial, approximated here by a normal distribution; in a cache too small for all of
//! them, the place of the last one that fits is an order statistic; and the distances between their ranks are geometric.

use crate::random::RandomSource;

/// The initial entries of a cache server. The least popular one, of the highest rank, is evicted first.
#[derive(Clone, Debug)]
pub struct InitialEntries {
    count: u32,
    /// No entry of this rank or a higher one is cached.
    end: u32,
    share: f64,
    random: RandomSource,
    evicted: u64,
}

impl InitialEntries {
    /// No entries at all.
    pub fn none() -> Self {
        Self { count: 0, end: 0, share: 0.0, random: RandomSource::new(0), evicted: 0 }
    }

    /// A share of the entries of ranks below `ranks`, as many as a cache of `capacity` entries holds.
    pub fn new(ranks: u32, share: f64, capacity: u32, random: RandomSource) -> Self {
        let share = share.clamp(0.0, 1.0);
        let all = f64::from(ranks);
        let deviation = (all * share * (1.0 - share)).sqrt();
        let here = (all * share + deviation * random.derive(0).normal()).round().clamp(0.0, all);
        let capacity = f64::from(capacity);
        let end =
            if here <= capacity { all } else { all * order_statistic(capacity, here, random.derive(1)) };
        Self {
            count: here.min(capacity) as u32,
            end: end as u32,
            share,
            random: random.derive(2),
            evicted: 0,
        }
    }

    /// The number of entries.
    pub fn count(&self) -> usize {
        self.count as usize
    }

    /// Whether an entry of this rank is cached if this is its server.
    pub fn reaches(&self, rank: u32) -> bool {
        self.count > 0 && rank < self.end
    }

    /// Removes an entry of this server because it is used. Returns `false` if it is not cached.
    pub fn take(&mut self, rank: u32) -> bool {
        let cached = self.reaches(rank);
        self.count -= u32::from(cached);
        cached
    }

    /// Evicts the least popular entry, if there is any. Entries that were taken are few at such ranks, and are ignored when
    /// the rank of the next one is chosen.
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

/// A random value of the `place`-th least of `of` uniform values from 0 to 1: beta distributed, approximated by mean and
/// variance.
fn order_statistic(place: f64, of: f64, random: RandomSource) -> f64 {
    let mean = place / (of + 1.0);
    let variance = mean * (1.0 - mean) / (of + 2.0);
    (mean + variance.sqrt() * random.normal()).clamp(0.0, 1.0)
}
