//! What version 0.2.0 wrote, and what its operators keep in files, is read as it was: an upgrade must not
//! make logs, results or scripts unreadable. The samples and what was read from them then stand in
//! `data/version-0.2.0`.

mod common;

use common::{command, output_before_timeout};
use serde_json::Value;
use std::path::{Path, PathBuf};
use std::process::Output;

/// The path of a sample.
fn sample(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/data/version-0.2.0").join(name)
}

/// The text of a sample.
fn recorded(name: &str) -> String {
    std::fs::read_to_string(sample(name)).unwrap()
}

/// What the program prints, with these arguments and the samples of these names behind them.
fn run(arguments: &[&str], samples: &[&str]) -> String {
    let mut command = command();
    command.args(arguments).args(samples.iter().map(|name| sample(name)));
    let Output { status, stdout, stderr } = output_before_timeout(command);
    let complaints = String::from_utf8(stderr).unwrap();
    assert!(status.success(), "{status}: {complaints}");
    String::from_utf8(stdout).unwrap()
}

fn json_lines(text: &str) -> Vec<Value> {
    text.lines().map(|line| serde_json::from_str(line).unwrap()).collect()
}

/// The log is a node's that met servers which served, failed, rejected, timed out and were not there, and
/// whose list changed and broke. A field of a tally line that lost its name would be counted as 0, without a
/// complaint.
#[test]
fn tally_lines_of_version_0_2_0_are_counted_as_they_were() {
    let rows = json_lines(&run(&["aggregate", "--json"], &["tally.log"]));
    assert_eq!(rows, json_lines(&recorded("tally.rows.jsonl")));
    assert_eq!(rows.len(), 5);
    let count = |name: &str| rows.iter().map(|row| row["row"][name].as_u64().unwrap()).sum::<u64>();
    let met = ["served", "refused", "failed", "repeats", "trips", "lists", "lists_failed"];
    let ends = ["connect", "timeout", "full", "error", "well", "cold", "bad", "draining"];
    for name in met.into_iter().chain(ends) {
        assert!(count(name) > 0, "the sample has no {name}");
    }
}

#[test]
fn scale_results_of_version_0_2_0_are_fitted_as_they_were() {
    let results = ["scale-result-20-nodes.json", "scale-result-40-nodes.json", "scale-result-60-nodes.json"];
    let predicted = sample("scale-result-80-nodes.json");
    let fit = run(&["scale", "fit", "--json", "--predict", predicted.to_str().unwrap()], &results);
    let (fit, expected) = (json_lines(&fit), json_lines(&recorded("scale-fit.json")));
    assert_eq!(fit, expected);
    assert!(fit[0]["lines"].as_array().is_some_and(|lines| !lines.is_empty()));
}

#[test]
fn scenario_files_of_version_0_2_0_are_read_as_they_were() {
    let checked = run(&["scenario", "check"], &["scenario.toml"]);
    assert_eq!(checked.lines().count(), 5, "{checked}");
    let played = json_lines(&run(&["scenario", "--player", "virtual", "--json"], &["scenario.toml"]));
    assert_eq!(played[0]["name"], "mass-replacement");
    let numbers = |of: &str, name: &str| -> Vec<f64> {
        played[0][of].as_array().unwrap().iter().map(|entry| entry[name].as_f64().unwrap()).collect()
    };
    assert_eq!(numbers("incidents", "from_s"), [0.0, 8.0, 12.0, 12.0]);
    assert_eq!(numbers("incidents", "to_s"), [50.0, 38.0, 19.0, 19.0]);
    assert_eq!(numbers("checks", "wanted"), [0.0, 0.62, 0.24, 6_950.0, 9_800.0, 27_000.0]);
}

/// What a script needs follows from all of its sizes.
#[test]
fn scale_scripts_of_version_0_2_0_are_read_as_they_were() {
    let checked = run(&["scale", "check"], &["scale-scenario.toml"]);
    assert!(checked.contains(": replica-lost over 50s\n"), "{checked}");
    for need in ["35 processes", "3203 descriptors", "1359 MiB"] {
        assert!(checked.contains(need), "{need} expected: {checked}");
    }
}
