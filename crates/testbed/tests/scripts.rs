//! Tests the errors of invalid scripts: each names its file, line and field and states what was expected.

use testbed::Script;

/// Returns the errors of a script that consists of version, name and these lines, as text.
fn parse_errors(lines: &str) -> Vec<String> {
    let text = format!("version = 1\nname = \"x\"\n{lines}");
    let read = Script::parse("bad.toml", &text);
    read.err().unwrap_or_default().iter().map(ToString::to_string).collect()
}

/// Checks that each of these texts gives one error, which begins with the expected message.
fn assert_errors(cases: &[(String, &str)]) {
    for (lines, expected) in cases {
        let found = parse_errors(lines);
        assert_eq!(found.len(), 1, "{lines}: {found:?}");
        assert!(found[0].starts_with(expected), "{lines}\n{}\n{expected}", found[0]);
    }
}

#[test]
fn each_error_states_its_place_and_what_was_expected_on_one_line() {
    assert_errors(&[
        ("speed = 3".into(), "bad.toml:3: speed: unknown key; known here: about, box, "),
        ("[load]\nrat = 3".into(), "bad.toml:4: load.rat: unknown key; known here: first_zone, keys, rate, "),
        ("nodes = -1".into(), "bad.toml:3: nodes: expected a whole number from 1 to 10000, found -1"),
        ("nodes = 1.5".into(), "bad.toml:3: nodes: expected a whole number from 1 to 10000, found 1.5"),
        (
            "nodes = 99999999999999999999999".into(),
            "bad.toml:3: nodes: expected a whole number from 1 to 10000, found 9999",
        ),
        (
            "seed = -7".into(),
            "bad.toml:3: seed: expected a whole number from 0 to 18446744073709551615, found -7",
        ),
        ("length = 50".into(), "bad.toml:3: length: expected a time from \"1s\" to \"60min\", found 50"),
        (
            "length = \"50 s\"".into(),
            "bad.toml:3: length: expected a time from \"1s\" to \"60min\", found \"50 s\"",
        ),
        ("length = \"9e9s\"".into(), "bad.toml:3: length: expected a time"),
        ("length = \"-5s\"".into(), "bad.toml:3: length: expected a time"),
        ("length = \"1000min\"".into(), "bad.toml:3: length: expected a time"),
        (
            "[load]\nrate = nan".into(),
            "bad.toml:4: load.rate: expected a number from 0.1 to 20000, found nan",
        ),
        (
            "[load]\nrate = \"many\"".into(),
            "bad.toml:4: load.rate: expected a number from 0.1 to 20000, found \"many\"",
        ),
        ("load = 3".into(), "bad.toml:3: load: expected a table, found 3"),
        ("zones = []".into(), "bad.toml:3: zones: expected 1 to 16 names, found 0"),
        ("zones = [1]".into(), "bad.toml:3: zones: expected a list of names, found an array"),
        ("box = 3".into(), "bad.toml:3: box: expected [[box]] tables, found 3"),
        ("[[box]]\ncount = 3".into(), "bad.toml:3: box[0].name: is missing"),
        (
            "[[box]]\nname = \"b\"\ncount = 4000\n[[box]]\nname = \"c\"\ncount = 4000".into(),
            "bad.toml:3: box: expected at most 4000 boxes in total, found 8000",
        ),
        (
            "[[class]]\nname = \"a\"\nwork = \"1ms\"\naim = \"2s\"\ndeadline = \"1s\"".into(),
            "bad.toml:7: class[0].deadline: expected a time no shorter than the aim",
        ),
        (
            "[[class]]\nname = \"a\"\nwork = \"1ms\"\naim = \"2s\"\ndeadline = \"3s\"\neffect = \"odd\""
                .into(),
            "bad.toml:8: class[0].effect: expected one of safe, keyed, unsafe, found \"odd\"",
        ),
        ("nodes = ".into(), "bad.toml:3: TOML: "),
        ("nodes = 3\nnodes = 4".into(), "bad.toml:4: TOML: duplicate key"),
    ]);
}

#[test]
fn each_error_of_an_incident_states_its_place_and_what_was_expected_on_one_line() {
    let crash = |rest: &str| format!("[[incident]]\nkind = \"crash\"\n{rest}");
    assert_errors(&[
        (
            crash("at = \"5s\"\nover = \"1s\"\nshare = 1.01"),
            "bad.toml:7: incident[0].share: expected a number from 0 to 1, found 1.01",
        ),
        (
            crash("at = \"5s\"\nover = \"1s\"\nshare = 0.1\nbox = \"b-9\""),
            "bad.toml:8: incident[0].box: unknown key; known here: at, kind, over, share",
        ),
        (crash("at = \"5s\"\nover = \"1s\""), "bad.toml:3: incident[0].share: is missing"),
        (
            crash("at = \"51s\"\nover = \"1s\"\nshare = 0.1"),
            "bad.toml:5: incident[0].at: expected a time from \"0s\" to \"50s\", found \"51s\"",
        ),
        (
            "[[incident]]\nkind = \"quake\"\nat = \"5s\"\nover = \"1s\"".into(),
            "bad.toml:4: incident[0].kind: expected one of shrink, deploy, ",
        ),
        (
            format!(
                "{}\n{}",
                crash("at = \"5s\"\nover = \"1s\"\nshare = 0.1"),
                crash("at = \"4s\"\nover = \"1s\"\nshare = 0.1")
            ),
            "bad.toml:10: incident[1].at: expected a time no earlier than the previous incident, \"5s\"",
        ),
    ]);
}

#[test]
fn all_errors_are_returned_together_in_the_order_of_their_lines() {
    let found = parse_errors("nodes = 0\nodd = 1\n[clients]\nretries = 99\n[expect]\nservice = 2");
    let lines: Vec<_> =
        found.iter().map(|error| error.split(": ").take(2).collect::<Vec<_>>().join(" ")).collect();
    assert_eq!(
        lines,
        ["bad.toml:3 nodes", "bad.toml:4 odd", "bad.toml:6 clients.retries", "bad.toml:8 expect.service"]
    );
}

#[test]
fn a_script_of_another_version_is_rejected() {
    let read = Script::parse("new.toml", "version = 2\nname = \"x\"\n");
    let errors = read.err().unwrap_or_default();
    assert_eq!(errors.len(), 1);
    assert_eq!(errors[0].to_string(), "new.toml:1: version: expected a whole number from 1 to 1, found 2");
    assert_eq!(
        Script::parse("old.toml", "name = \"x\"").err().unwrap_or_default()[0].to_string(),
        "old.toml:1: version: is missing"
    );
}
