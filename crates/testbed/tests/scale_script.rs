//! Scripts of scale runs: the ones that ship, defaults, and the messages for faulty scripts.

use testbed::scale::scenarios;
use testbed::scale::script::{EventKind, ScaleScript};

const SMALL: &str =
    "version = 1\nname = \"small\"\nlength = \"30s\"\nnodes = 10\nservers = 5\nreplicas = 3\n\
                     [capacity]\nlines_per_second = 100.0\ncall_lines = 5.0\ncontinued_call_lines = 1.0\n\
                     queue_limit = \"2s\"\n";

fn faults(text: &str) -> Vec<String> {
    let faults = ScaleScript::parse("my.toml", text).expect_err("a faulty script was accepted");
    faults.iter().map(ToString::to_string).collect()
}

#[test]
fn shipped_scripts_are_valid_and_have_the_names_of_their_files() {
    for scenario in scenarios::ALL {
        let script =
            ScaleScript::parse(scenario.name, scenario.text).unwrap_or_else(|faults| panic!("{faults:?}"));
        assert_eq!(script.name, scenario.name);
        assert!(!script.about.is_empty() && script.within.is_some(), "{}", scenario.name);
        assert!((30..=60).contains(&script.length.as_secs()), "{}: {:?}", scenario.name, script.length);
    }
    assert!(scenarios::named(scenarios::DEFAULT).is_some());
    assert!(scenarios::named("none such").is_none());
}

#[test]
fn omitted_keys_have_their_defaults() {
    let script = ScaleScript::parse("my.toml", SMALL).unwrap();
    assert_eq!((script.zones, script.regions, script.seed), (34, 14, 1));
    assert!(script.mechanism && script.events.is_empty() && script.real.nodes == 0);
    assert_eq!(script.first_event(), script.length);
    assert_eq!((script.known_replicas(), script.running_replicas()), (3, 3));
}

#[test]
fn faults_of_replicas_may_last_until_the_end() {
    let lost = "[[event]]\nkind = \"replica-lost\"\nat = \"5s\"\n";
    let script = ScaleScript::parse("my.toml", &format!("{SMALL}{lost}")).unwrap();
    assert_eq!((script.events[0].duration, script.first_event().as_secs()), (None, 5));
}

#[test]
fn without_the_mechanism_only_one_replica_runs() {
    let text = SMALL.replace("replicas = 3", "replicas = 3\nmechanism = false");
    let set = "[[event]]\nkind = \"replica-set\"\nat = \"5s\"\nreplicas = 8\n";
    let script = ScaleScript::parse("my.toml", &format!("{text}{set}")).unwrap();
    assert_eq!((script.known_replicas(), script.running_replicas()), (1, 1));
}

#[test]
fn replicas_that_nodes_are_configured_with_later_run_from_the_start() {
    let set = "[[event]]\nkind = \"replica-set\"\nat = \"5s\"\nreplicas = 8\n";
    let script = ScaleScript::parse("my.toml", &format!("{SMALL}{set}")).unwrap();
    assert_eq!((script.known_replicas(), script.running_replicas()), (3, 8));
    assert_eq!(script.events[0].kind, EventKind::ReplicaSet { replicas: 8 });
}

#[test]
fn a_value_out_of_range_is_reported_with_its_place_and_the_allowed_range() {
    let cases = [
        ("nodes = 10", "nodes = 0", "my.toml:4: nodes: expected a whole number from 1 to 20000, found 0"),
        (
            "nodes = 10",
            "nodes = 20001",
            "my.toml:4: nodes: expected a whole number from 1 to 20000, found 20001",
        ),
        (
            "servers = 5",
            "servers = 4001",
            "my.toml:5: servers: expected a whole number from 1 to 4000, found 4001",
        ),
        (
            "replicas = 3",
            "replicas = 65",
            "my.toml:6: replicas: expected a whole number from 1 to 64, found 65",
        ),
        ("version = 1", "version = 2", "my.toml:1: version: expected a whole number from 1 to 1, found 2"),
        (
            "length = \"30s\"",
            "length = \"2h\"",
            "my.toml:3: length: expected a time from \"1s\" to \"60min\", found \"2h\"",
        ),
        (
            "replicas = 3",
            "replicas = 3\nhollow_processes = 201",
            "my.toml:7: hollow_processes: expected a whole number from 1 to 200, found 201",
        ),
        (
            "replicas = 3",
            "replicas = 3\nzones = 4\nregions = 5",
            "my.toml:8: regions: expected no more regions than the 4 zones, found 5",
        ),
        (
            "lines_per_second = 100.0",
            "lines_per_second = 0.0",
            "my.toml:8: capacity.lines_per_second: expected a number from 1 to 1000000000, found 0.0",
        ),
        ("nodes = 10\n", "", "my.toml:1: nodes: is missing"),
        ("call_lines = 5.0\n", "", "my.toml:7: capacity.call_lines: is missing"),
    ];
    for (from, to, expected) in cases {
        let found = faults(&SMALL.replacen(from, to, 1));
        assert_eq!(found, [expected], "{to}");
    }
}

#[test]
fn a_faulty_event_is_reported_with_its_place() {
    let cases = [
        (
            "kind = \"flood\"\nat = \"1s\"\nover = \"1s\"",
            "event[0].kind: expected one of changes, restarts, zone, replica-lost, replica-silent, replica-lagging, \
             replica-reset, discovery-away, replica-set, found \"flood\"",
        ),
        (
            "kind = \"zone\"\nat = \"20s\"\nover = \"11s\"",
            "event[0].over: expected an end within the length, \"30s\", found \"31s\"",
        ),
        ("kind = \"zone\"\nat = \"20s\"", "event[0].over: is missing"),
        (
            "kind = \"zone\"\nat = \"20s\"\nover = \"5s\"\nzone = 34",
            "event[0].zone: expected a whole number from 0 to 33, found 34",
        ),
        (
            "kind = \"replica-lost\"\nat = \"20s\"\nover = \"5s\"\nreplica = 3",
            "event[0].replica: expected a whole number from 0 to 2, found 3",
        ),
        ("kind = \"replica-lagging\"\nat = \"20s\"\nover = \"5s\"", "event[0].lag: is missing"),
        (
            "kind = \"changes\"\nat = \"20s\"\nover = \"5s\"\nper_day = 0",
            "event[0].per_day: expected a number from 1 to 10000000, found 0",
        ),
        (
            "kind = \"discovery-away\"\nat = \"20s\"\nover = \"5s\"\nreplica = 1",
            "event[0].replica: unknown key; known here: at, kind, over",
        ),
    ];
    for (event, expected) in cases {
        let found = faults(&format!("{SMALL}[[event]]\n{event}\n"));
        assert_eq!(found.len(), 1, "{event}: {found:?}");
        assert!(found[0].starts_with("my.toml:1") && found[0].ends_with(expected), "{event}: {found:?}");
    }
}
