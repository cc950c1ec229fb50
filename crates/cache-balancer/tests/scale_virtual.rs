//! `cache-balancer scale --player virtual`, as a command.

use std::process::{Command, Output};

fn scale(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_cache-balancer"));
    command.arg("scale").args(arguments).output().expect("the program runs")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

#[test]
fn the_same_scene_prints_the_same_bytes_and_another_seed_others() {
    let scene = ["changes-tenfold", "--player", "virtual", "--nodes", "50", "--servers", "20", "--json"];
    let (first, again) = (scale(&scene), scale(&scene));
    assert!(first.status.success(), "{}", text(&first.stderr));
    assert_eq!(text(&first.stdout), text(&again.stdout));
    let other = scale(&[scene.as_slice(), &["--seed", "77"]].concat());
    assert_ne!(text(&first.stdout), text(&other.stdout));
    let read: serde_json::Value = serde_json::from_slice(&first.stdout).expect("JSON");
    assert_eq!((&read["nodes"], &read["never"]), (&50.into(), &0.into()));
    assert!(read["latencies"]["count"].as_u64() > Some(50), "{read}");
}

#[test]
fn capacity_can_be_overridden_and_what_only_virtual_time_plays_is_listed() {
    let start =
        ["all-start", "--player", "virtual", "--nodes", "20", "--servers", "30", "--replicas", "1", "--json"];
    let played = |lines: &str, call: &str| {
        let output =
            scale(&[start.as_slice(), &["--lines-per-second", lines, "--call-lines", call]].concat());
        assert!(output.status.success(), "{}", text(&output.stderr));
        serde_json::from_slice::<serde_json::Value>(&output.stdout).expect("JSON")
    };
    // 20 lists of 30 lines, and the lines of 20 calls.
    assert_eq!(played("100", "10")["sending_takes"]["secs"], 8);
    assert_eq!(played("200", "20")["sending_takes"]["secs"], 5);
    let listed = text(&scale(&["list"]).stdout);
    assert!(listed.contains("region-cut-off") && listed.contains("in virtual time only"), "{listed}");
}

#[test]
fn what_cant_be_played_is_refused_and_named() {
    let cases: [(&[&str], &str); 3] = [
        (&["quake", "--player", "virtual"], "a scenario's name is expected, or a file"),
        (&["quiet", "--player", "virtual", "--svg", "x.svg"], "--svg: expected --player sockets"),
        (&["quiet", "--player", "virtual", "--lines-per-second", "0"], "--lines-per-second"),
    ];
    for (arguments, expected) in cases {
        let output = scale(arguments);
        assert_eq!(output.status.code(), Some(2), "{arguments:?}");
        assert!(text(&output.stderr).contains(expected), "{}", text(&output.stderr));
    }
}
