//! Checks the parsing of settings and load reports in the platform's terms.

use balancer_core::platform::{read_load_report, read_settings, read_wire_settings, Fields, PlatformError};
use balancer_core::{CacheMode, LoadReport, Settings};
use std::time::Duration;

fn settings_of(pairs: &[(&str, &str)]) -> Result<Settings, PlatformError> {
    let pairs: Vec<_> = pairs.iter().map(|(path, value)| (path.to_string(), value.to_string())).collect();
    read_settings(&pairs)
}

fn wire_settings_of(line: &str) -> Result<Settings, PlatformError> {
    read_wire_settings(&Fields::of_line(line, line))
}

#[test]
fn unset_settings_have_their_defaults() {
    assert_eq!(settings_of(&[]).expect("no setting is required"), Settings::default());
}

/// An invalid value is a mistake in the configuration. If it were replaced by a default, it would go
/// unnoticed until the node behaves differently from its configuration.
#[test]
fn configuration_errors_name_the_setting_and_its_allowed_values() {
    for (name, value, message) in [
        ("balancers", "0", "balancers: expected a whole number from 1 up, found \"0\""),
        ("balancers", "many", "balancers: expected a whole number from 1 up, found \"many\""),
        ("safety.cold_share", "1.5", "safety.cold_share: expected a number from 0 to 1, found \"1.5\""),
        ("safety.fall_multiple", "NaN", "safety.fall_multiple: expected a number from 0 up, found \"NaN\""),
        ("limits.second_copies", "yes", "limits.second_copies: expected true or false, found \"yes\""),
        (
            "safety.fall_us",
            "40000000000000",
            "safety.fall_us: expected a whole number of microseconds, at most a year, found \"40000000000000\"",
        ),
        ("lanes.0.effect", "twice", "lanes.0.effect: expected one of safe, keyed, unsafe, found \"twice\""),
        ("lanes.0.dedup_scope", "row", "lanes.0.dedup_scope: expected one of all, zone, cell, found \"row\""),
        ("lanes.0.name", "", "lanes.0.name: expected a name, found nothing"),
        ("orgs.count", "-1", "orgs.count: expected a whole number from 0 up, found \"-1\""),
    ] {
        // The first value of each name is used.
        let pairs = [(name, value), ("lanes.count", "1"), ("lanes.0.name", "read")];
        let error = settings_of(&pairs).expect_err(name);
        assert_eq!(error.to_string(), message);
    }
}

/// An adapter that ended because of a number out of range or an unknown word would end all instances with it.
#[test]
fn invalid_wire_settings_are_replaced_by_defaults() {
    let line = "balancers=0 safety.cold_share=1.5 lanes.count=-1 family_info.origin_kind=-2";
    assert_eq!(wire_settings_of(line).expect("usable"), Settings::default());
    let unknown = wire_settings_of("lanes.count=1 lanes.0.name=a lanes.0.effect=twice").expect("usable");
    let unset = wire_settings_of("lanes.count=1 lanes.0.name=a").expect("usable");
    assert_eq!(unknown, unset);
    for line in ["balancers=many", "limits.probing=maybe", "safety.fall_us=1.5"] {
        let error = wire_settings_of(line).expect_err("of the wrong type");
        assert!(matches!(error, PlatformError::InvalidSetting { .. }), "{line}: {error}");
    }
}

#[test]
fn the_origin_kind_is_found_by_its_index_in_the_list_of_kinds() {
    let mode = |line: &str| wire_settings_of(line).expect("usable").mode;
    let origin = CacheMode::Aside { origin_kind: "origin".into() };
    assert_eq!(mode("family_info.mode=aside family_info.origin_kind=1 shapes=cache,origin"), origin);
    assert_eq!(
        mode("family_info.mode=aside family_info.origin_kind=7 shapes=cache,origin"),
        CacheMode::Through
    );
    assert_eq!(mode("family_info.origin_kind=1 shapes=cache,origin"), CacheMode::Through);
}

#[test]
fn retry_after_is_zero_unless_it_is_allowed() {
    let max_retry_after = |line: &str| wire_settings_of(line).expect("usable").max_retry_after;
    assert_eq!(max_retry_after("limits.max_retry_after_us=5"), Duration::ZERO);
    assert_eq!(max_retry_after("limits.max_retry_after_us=5 limits.retry_after=1"), Duration::from_micros(5));
}

/// An invalid report of a server must neither stop the node nor influence its decisions.
#[test]
fn invalid_values_of_a_load_report_are_left_out() {
    let expected = LoadReport {
        service_time: Some(Duration::from_micros(1_500)),
        cpu_utilization: Some(0.25),
        queue_length: Some(2.0),
    };
    assert_eq!(read_load_report("avg_ms:1.5,cpu:0.25,waiting:2,other:1", ':'), expected);
    assert_eq!(read_load_report("latency_ms=1.5, util = 0.25, queue=2", '='), expected);
    assert_eq!(read_load_report("avg_ms:-1,cpu:NaN,waiting:inf,cpu", ':'), LoadReport::default());
}
