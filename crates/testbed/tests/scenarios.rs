//! Tests the scenarios that ship with the program.

use testbed::scenarios::{named, ALL, DEFAULT};
use testbed::Script;

#[test]
fn every_scenario_is_valid_and_has_the_name_of_its_file() {
    for scenario in ALL {
        let script =
            Script::parse(scenario.name, scenario.text).unwrap_or_else(|faults| panic!("{faults:?}"));
        assert_eq!(script.name, scenario.name);
        assert!(script.expectations.service.is_some() && !script.about.is_empty(), "{}", scenario.name);
        assert!(scenario.text.lines().count() <= 80, "{} is longer than a page", scenario.name);
    }
    assert!(named(DEFAULT).is_some());
}
