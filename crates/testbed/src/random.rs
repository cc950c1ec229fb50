//! A deterministic random source without a sequence: each value is a hash of a seed and of what it is for.
//!
//! With one shared sequence, the work of a request would change with every other request that comes before it, and no two
//! runs that differ in one thing could be compared.

use std::f64::consts::TAU;

/// The purpose of the random values that a run draws, over sockets and in virtual time alike.
pub(crate) const RUN_STREAM: u64 = 0x706c_6179;

/// A source of random values. [`RandomSource::derive`] narrows it to one purpose; sources of different purposes are
/// independent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RandomSource(u64);

impl RandomSource {
    /// Creates a source from a seed.
    pub const fn new(seed: u64) -> Self {
        Self(mix(seed))
    }

    /// The source for one purpose: equal purposes give equal sources, whatever was derived before.
    pub const fn derive(self, purpose: u64) -> Self {
        Self(mix(self.0 ^ mix(purpose)))
    }

    /// 64 uniformly distributed bits.
    pub const fn bits(self) -> u64 {
        self.0
    }

    /// Uniformly distributed over the open interval from 0 to 1.
    pub fn uniform(self) -> f64 {
        ((self.0 >> 11) as f64 + 0.5) / (1u64 << 53) as f64
    }

    /// Uniformly distributed from `low` to `high`.
    pub fn uniform_between(self, low: f64, high: f64) -> f64 {
        low + (high - low) * self.uniform()
    }

    /// Exponentially distributed with mean 1.
    pub fn exponential(self) -> f64 {
        -self.uniform().ln()
    }

    /// Normally distributed with mean 0 and standard deviation 1.
    pub fn normal(self) -> f64 {
        // Box and Muller, 1958: one of the pair is enough.
        (-2.0 * self.derive(1).uniform().ln()).sqrt() * (TAU * self.derive(2).uniform()).cos()
    }

    /// Log-normally distributed with mean 1 and this coefficient of variation.
    pub fn log_normal(self, variation: f64) -> f64 {
        let variance = (variation * variation).ln_1p();
        (variance.sqrt() * self.normal() - variance / 2.0).exp()
    }
}

/// The finalizer of splitmix64 (Steele, Lea and Flood, 2014).
const fn mix(mut x: u64) -> u64 {
    x = x.wrapping_add(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// A Zipf distribution over the ranks from 0 to `n - 1`: rank `r` has a weight of `(r + 1) ^ -exponent`.
#[derive(Clone, Debug)]
pub struct Zipf {
    cumulative_weights: Vec<f64>,
}

impl Zipf {
    /// Creates the distribution over `n` ranks, at least one.
    pub fn new(n: u32, exponent: f64) -> Self {
        let mut sum = 0.0;
        let cumulative_weights = (1..=n.max(1)).map(|rank| {
            sum += f64::from(rank).powf(-exponent);
            sum
        });
        Self { cumulative_weights: cumulative_weights.collect() }
    }

    /// A random rank.
    pub fn rank(&self, random: RandomSource) -> u32 {
        let sum = self.cumulative_weights.last().copied().unwrap_or(1.0);
        let at = random.uniform() * sum;
        let rank = self.cumulative_weights.partition_point(|&weight| weight < at);
        rank.min(self.cumulative_weights.len() - 1) as u32
    }
}
