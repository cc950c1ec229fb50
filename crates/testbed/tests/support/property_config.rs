//! The configuration of property tests.

use proptest::prelude::ProptestConfig;

/// Returns a configuration with the number of cases from `PROPTEST_CASES`, or the default if it is not set.
pub fn cases(default: u32) -> ProptestConfig {
    let from_environment = std::env::var("PROPTEST_CASES").ok().and_then(|text| text.parse().ok());
    ProptestConfig {
        cases: from_environment.unwrap_or(default),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}
