//! Checks that logs, results and scripts of version 0.2.0 are still read as that version read them. Otherwise
//! an upgrade could make operators' files unreadable. `data/version-0.2.0` holds samples and the output of
//! version 0.2.0 for them.

mod common;

use common::{command, output_before_timeout};
use serde_json::Value;
use std::path::{Path, PathBuf};
use std::process::Output;

/// Returns the path of a sample.
fn sample_path(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/data/version-0.2.0").join(name)
}

/// Reads a sample.
fn read_sample(name: &str) -> String {
    std::fs::read_to_string(sample_path(name)).unwrap()
}

/// Runs the program with these arguments, followed by the paths of these samples, and returns its standard
/// output.
fn run(arguments: &[&str], samples: &[&str]) -> String {
    let mut command = command();
    command.args(arguments).args(samples.iter().map(|name| sample_path(name)));
    let Output { status, stdout, stderr } = output_before_timeout(command);
    let errors = String::from_utf8(stderr).unwrap();
    assert!(status.success(), "{status}: {errors}");
    String::from_utf8(stdout).unwrap()
}

fn json_lines(text: &str) -> Vec<Value> {
    text.lines().map(|line| serde_json::from_str(line).unwrap()).collect()
}

/// The log is from a node with servers that served, failed, rejected, timed out and were unreachable, and
/// with list updates that succeeded and failed. If a field of a tally line were renamed, its count would
/// silently become 0.
#[test]
fn tally_lines_of_version_0_2_0_are_counted_the_same() {
    let rows = json_lines(&run(&["aggregate", "--json"], &["tally.log"]));
    assert_eq!(rows, json_lines(&read_sample("tally.rows.jsonl")));
    assert_eq!(rows.len(), 5);
    let count = |name: &str| rows.iter().map(|row| row["row"][name].as_u64().unwrap()).sum::<u64>();
    let request_counts = ["served", "refused", "failed", "repeats", "trips", "lists", "lists_failed"];
    let attempt_counts = ["connect", "timeout", "full", "error", "well", "cold", "bad", "draining"];
    for name in request_counts.into_iter().chain(attempt_counts) {
        assert!(count(name) > 0, "the sample has no {name}");
    }
}

#[test]
fn scale_results_of_version_0_2_0_are_fitted_the_same() {
    let results = ["scale-result-20-nodes.json", "scale-result-40-nodes.json", "scale-result-60-nodes.json"];
    let predicted = sample_path("scale-result-80-nodes.json");
    let fit = run(&["scale", "fit", "--json", "--predict", predicted.to_str().unwrap()], &results);
    let (fit, expected) = (json_lines(&fit), json_lines(&read_sample("scale-fit.json")));
    assert_eq!(fit, expected);
    assert!(fit[0]["lines"].as_array().is_some_and(|lines| !lines.is_empty()));
}

#[test]
fn scenario_files_of_version_0_2_0_are_read_the_same() {
    let checked = run(&["scenario", "check"], &["scenario.toml"]);
    assert_eq!(checked.lines().count(), 5, "{checked}");
    let reports = json_lines(&run(&["scenario", "--player", "virtual", "--json"], &["scenario.toml"]));
    assert_eq!(reports[0]["name"], "mass-replacement");
    let numbers = |section: &str, name: &str| -> Vec<f64> {
        reports[0][section].as_array().unwrap().iter().map(|entry| entry[name].as_f64().unwrap()).collect()
    };
    assert_eq!(numbers("incidents", "from_s"), [0.0, 8.0, 12.0, 12.0]);
    assert_eq!(numbers("incidents", "to_s"), [50.0, 38.0, 19.0, 19.0]);
    assert_eq!(numbers("checks", "wanted"), [0.0, 0.62, 0.24, 6_950.0, 9_800.0, 27_000.0]);
}

/// The required resources depend on every size in the script.
#[test]
fn scale_scripts_of_version_0_2_0_are_read_the_same() {
    let checked = run(&["scale", "check"], &["scale-scenario.toml"]);
    assert!(checked.contains(": replica-lost over 50s\n"), "{checked}");
    for need in ["35 processes", "3203 descriptors", "1359 MiB"] {
        assert!(checked.contains(need), "{need} expected: {checked}");
    }
}
