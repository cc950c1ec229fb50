//! Tests that random values depend only on seed and purpose, and that they have the right distributions.

use testbed::random::{RandomSource, Zipf};

#[test]
fn a_value_depends_only_on_seed_and_purpose() {
    let random = RandomSource::new(7);
    assert_eq!(random.derive(3).derive(4), random.derive(3).derive(4));
    assert_ne!(random.derive(3).derive(4), random.derive(4).derive(3));
    assert_ne!(RandomSource::new(8).derive(3), random.derive(3));
}

#[test]
fn distributions_have_the_documented_means() {
    let mean = |value: &dyn Fn(RandomSource) -> f64| {
        (0..20_000).map(|i| value(RandomSource::new(1).derive(i))).sum::<f64>() / 20_000.0
    };
    for (distribution, found, expected) in [
        ("uniform", mean(&RandomSource::uniform), 0.5),
        ("exponential", mean(&RandomSource::exponential), 1.0),
        ("log-normal", mean(&|random| random.log_normal(0.8)), 1.0),
    ] {
        assert!((found - expected).abs() < 0.03, "{distribution}: {found}");
    }
}

#[test]
fn zipf_ranks_are_as_frequent_as_their_weights() {
    let zipf = Zipf::new(100, 1.0);
    let harmonic: f64 = (1..=100).map(|n| 1.0 / f64::from(n)).sum();
    let first =
        (0..20_000).filter(|&i| zipf.rank(RandomSource::new(2).derive(i)) == 0).count() as f64 / 20_000.0;
    assert!((first - 1.0 / harmonic).abs() < 0.01, "{first}");
    assert!((0..20_000).all(|i| zipf.rank(RandomSource::new(3).derive(i)) < 100));
}
