//! A deterministic random source without a sequence: each value is a hash of a seed and a purpose.
//!
//! With one shared sequence, every additional request would change the work of all later requests. Two runs
//! that differ in one respect could not be compared.

use std::f64::consts::TAU;

/// The purpose of the random values of a run, on sockets and in virtual time.
pub(crate) const RUN_PURPOSE: u64 = 0x706c_6179;

/// A source of random values. [`RandomSource::derive`] narrows it to one purpose; sources of different
/// purposes are independent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RandomSource(u64);

impl RandomSource {
    /// Creates a source from a seed.
    pub const fn new(seed: u64) -> Self {
        Self(mix(seed))
    }

    /// Derives the source for a purpose. Equal purposes give equal sources, independent of earlier calls.
    pub const fn derive(self, purpose: u64) -> Self {
        Self(mix(self.0 ^ mix(purpose)))
    }

    /// Returns 64 uniformly distributed bits.
    pub const fn bits(self) -> u64 {
        self.0
    }

    /// Returns a value that is uniformly distributed over the open interval from 0 to 1.
    pub fn uniform(self) -> f64 {
        ((self.0 >> 11) as f64 + 0.5) / (1u64 << 53) as f64
    }

    /// Returns a value that is uniformly distributed from `low` to `high`.
    pub fn uniform_between(self, low: f64, high: f64) -> f64 {
        low + (high - low) * self.uniform()
    }

    /// Returns an exponentially distributed value with mean 1.
    pub fn exponential(self) -> f64 {
        -self.uniform().ln()
    }

    /// Returns a normally distributed value with mean 0 and standard deviation 1.
    pub fn normal(self) -> f64 {
        // The Box-Muller transform (1958). Only one value of the pair is used.
        (-2.0 * self.derive(1).uniform().ln()).sqrt() * (TAU * self.derive(2).uniform()).cos()
    }

    /// Returns a log-normally distributed value with mean 1 and this coefficient of variation.
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
    /// Creates the distribution over `n` ranks, or over one if `n` is 0.
    pub fn new(n: u32, exponent: f64) -> Self {
        let mut sum = 0.0;
        let cumulative_weights = (1..=n.max(1)).map(|rank| {
            sum += f64::from(rank).powf(-exponent);
            sum
        });
        Self { cumulative_weights: cumulative_weights.collect() }
    }

    /// Returns a random rank.
    pub fn rank(&self, random: RandomSource) -> u32 {
        let sum = self.cumulative_weights.last().copied().unwrap_or(1.0);
        let at = random.uniform() * sum;
        let rank = self.cumulative_weights.partition_point(|&weight| weight < at);
        rank.min(self.cumulative_weights.len() - 1) as u32
    }
}
