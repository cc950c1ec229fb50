//! `cache-balancer scale --player virtual` run as a command.

mod common;

use common::{run_program, utf8};
use std::process::Output;

fn scale(arguments: &[&str]) -> Output {
    run_program(&[&["scale"], arguments].concat())
}

#[test]
fn equal_runs_print_equal_bytes_and_another_seed_prints_others() {
    let arguments = ["changes-tenfold", "--player", "virtual", "--nodes", "50", "--servers", "20", "--json"];
    let (first, second) = (scale(&arguments), scale(&arguments));
    assert!(first.status.success(), "{}", utf8(&first.stderr));
    assert_eq!(utf8(&first.stdout), utf8(&second.stdout));
    let other = scale(&[arguments.as_slice(), &["--seed", "77"]].concat());
    assert_ne!(utf8(&first.stdout), utf8(&other.stdout));
    let outcome: serde_json::Value = serde_json::from_slice(&first.stdout).expect("JSON");
    assert_eq!((&outcome["nodes"], &outcome["never"]), (&50.into(), &0.into()));
    assert!(outcome["latencies"]["count"].as_u64() > Some(50), "{outcome}");
}

#[test]
fn capacity_can_be_overridden_and_scenarios_of_virtual_time_are_listed() {
    let start =
        ["all-start", "--player", "virtual", "--nodes", "20", "--servers", "30", "--replicas", "1", "--json"];
    let run = |lines: &str, call: &str| {
        let output =
            scale(&[start.as_slice(), &["--lines-per-second", lines, "--call-lines", call]].concat());
        assert!(output.status.success(), "{}", utf8(&output.stderr));
        serde_json::from_slice::<serde_json::Value>(&output.stdout).expect("JSON")
    };
    // 20 lists of 30 lines each, plus the cost of 20 calls.
    assert_eq!(run("100", "10")["sending_takes"]["secs"], 8);
    assert_eq!(run("200", "20")["sending_takes"]["secs"], 5);
    let list = scale(&["list"]);
    let listed = utf8(&list.stdout);
    assert!(listed.contains("region-cut-off") && listed.contains("in virtual time only"), "{listed}");
}

#[test]
fn unusable_arguments_are_refused_with_a_message() {
    let cases: [(&[&str], &str); 3] = [
        (&["quake", "--player", "virtual"], "expected the name of a scenario or the path of a script"),
        (&["quiet", "--player", "virtual", "--svg", "x.svg"], "--svg: expected --player sockets"),
        (&["quiet", "--player", "virtual", "--lines-per-second", "0"], "--lines-per-second"),
    ];
    for (arguments, expected) in cases {
        let output = scale(arguments);
        assert_eq!(output.status.code(), Some(2), "{arguments:?}");
        assert!(utf8(&output.stderr).contains(expected), "{}", utf8(&output.stderr));
    }
}
