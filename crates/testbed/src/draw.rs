//! Chance without a sequence: each draw is a hash of a seed and of what it is for. Drawn from a shared sequence, a
//! request's work would change with every other request that comes in between, and no two runs that differ in one
//! thing could be compared.

use std::f64::consts::TAU;

/// A source of draws. Narrowed by [`Draw::on`], it gives independent draws for each thing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Draw(u64);

impl Draw {
    /// From a seed.
    pub const fn new(seed: u64) -> Self {
        Self(mix(seed))
    }

    /// The draw for one thing: equal things give equal draws, whatever was drawn before.
    pub const fn on(self, thing: u64) -> Self {
        Self(mix(self.0 ^ mix(thing)))
    }

    /// 64 even bits.
    pub const fn bits(self) -> u64 {
        self.0
    }

    /// Evenly from above 0 to below 1.
    pub fn unit(self) -> f64 {
        ((self.0 >> 11) as f64 + 0.5) / (1u64 << 53) as f64
    }

    /// Evenly from `low` to `high`.
    pub fn between(self, low: f64, high: f64) -> f64 {
        low + (high - low) * self.unit()
    }

    /// Exponential, of mean 1.
    pub fn exponential(self) -> f64 {
        -self.unit().ln()
    }

    /// Normal, of mean 0 and deviation 1.
    pub fn normal(self) -> f64 {
        // Box and Muller, 1958: one of the pair is enough.
        (-2.0 * self.on(1).unit().ln()).sqrt() * (TAU * self.on(2).unit()).cos()
    }

    /// Log-normal of mean 1 and this coefficient of variation.
    pub fn log_normal(self, variation: f64) -> f64 {
        let variance = (variation * variation).ln_1p();
        (variance.sqrt() * self.normal() - variance / 2.0).exp()
    }
}

/// The finaliser of splitmix64 (Steele, Lea and Flood, 2014).
const fn mix(mut x: u64) -> u64 {
    x = x.wrapping_add(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// Ranks from 0 to `n - 1`, each drawn in proportion to `(rank + 1) ^ -exponent`.
#[derive(Clone, Debug)]
pub struct Zipf {
    cumulated: Vec<f64>,
}

impl Zipf {
    /// Over `n` ranks; at least one.
    pub fn new(n: u32, exponent: f64) -> Self {
        let mut sum = 0.0;
        let cumulated = (1..=n.max(1)).map(|rank| {
            sum += f64::from(rank).powf(-exponent);
            sum
        });
        Self { cumulated: cumulated.collect() }
    }

    /// The rank of a draw.
    pub fn rank(&self, draw: Draw) -> u32 {
        let sum = self.cumulated.last().copied().unwrap_or(1.0);
        let at = draw.unit() * sum;
        let rank = self.cumulated.partition_point(|&upto| upto < at);
        rank.min(self.cumulated.len() - 1) as u32
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_draw_depends_on_its_thing_alone() {
        let draw = Draw::new(7);
        assert_eq!(draw.on(3).on(4), draw.on(3).on(4));
        assert_ne!(draw.on(3).on(4), draw.on(4).on(3));
        assert_ne!(Draw::new(8).on(3), draw.on(3));
    }

    #[test]
    fn draws_have_the_means_that_they_state() {
        let mean =
            |of: &dyn Fn(Draw) -> f64| (0..20_000).map(|i| of(Draw::new(1).on(i))).sum::<f64>() / 20_000.0;
        for (what, got, wanted) in [
            ("unit", mean(&Draw::unit), 0.5),
            ("exponential", mean(&Draw::exponential), 1.0),
            ("log-normal", mean(&|draw| draw.log_normal(0.8)), 1.0),
        ] {
            assert!((got - wanted).abs() < 0.03, "{what}: {got}");
        }
    }

    #[test]
    fn low_ranks_are_drawn_as_often_as_their_weight_says() {
        let zipf = Zipf::new(100, 1.0);
        let harmonic: f64 = (1..=100).map(|n| 1.0 / f64::from(n)).sum();
        let first = (0..20_000).filter(|&i| zipf.rank(Draw::new(2).on(i)) == 0).count() as f64 / 20_000.0;
        assert!((first - 1.0 / harmonic).abs() < 0.01, "{first}");
        assert!((0..20_000).all(|i| zipf.rank(Draw::new(3).on(i)) < 100));
    }
}
