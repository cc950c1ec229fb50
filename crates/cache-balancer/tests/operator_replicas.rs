//! The replicas of a pool's discovery in an operator's file: which faults are found, and which settings take effect.

mod common;

use common::{command, TempDir, READ_CLASS};
use std::net::SocketAddr;
use std::path::Path;

const CAPACITY: &str = "discovery_lines_per_second = 200\ndiscovery_call_lines = 10\n";
/// The most replicas that a pool may name.
const MAX_REPLICAS: u16 = 64;

/// A file whose only pool has these lines, from line 5 on.
fn file(lines: &str) -> String {
    format!("version = 1\nname = \"n0\"\n[[pool]]\nname = \"p\"\n{lines}{READ_CLASS}")
}

/// A `discovery` that names these addresses, each on a line of its own.
fn list(addresses: &[impl std::fmt::Display]) -> String {
    let addresses: Vec<_> = addresses.iter().map(|address| format!("\"{address}\"")).collect();
    format!("discovery = [\n{}]\n", addresses.join(",\n"))
}

fn loopback(ports: impl IntoIterator<Item = u16>) -> Vec<SocketAddr> {
    ports.into_iter().map(|port| ([127, 0, 0, 1], port).into()).collect()
}

/// The output of `check` for a file with these lines in its pool: the effective file, or the faults.
fn check(lines: &str) -> Result<String, Vec<String>> {
    check_text(&file(lines))
}

fn check_text(text: &str) -> Result<String, Vec<String>> {
    let folder = TempDir::new();
    let path = folder.write("bad.toml", text);
    let checked = command().arg("check").arg(&path).output().unwrap();
    if checked.status.success() {
        return Ok(String::from_utf8(checked.stdout).unwrap());
    }
    assert_eq!((checked.status.code(), checked.stdout.len()), (Some(2), 0), "{text}");
    let place = format!("{}/", folder.0.display());
    let faults = String::from_utf8(checked.stderr).unwrap();
    Err(faults.lines().map(|line| line.replacen(&place, "", 1)).collect())
}

#[test]
fn the_effective_file_has_itself_as_its_effective_file() {
    let many = loopback(1..=MAX_REPLICAS);
    for lines in [
        "discovery = \"127.0.0.1:1\"\n".to_owned(),
        format!("discovery = \"127.0.0.1:1\"\n{CAPACITY}"),
        list(&["127.0.0.1:2", "[::1]:1"]),
        format!("{}{CAPACITY}", list(&["127.0.0.1:2", "127.0.0.1:1"])),
        format!("{}discovery_lines_per_second = 1.5e3\ndiscovery_call_lines = 0.25\n", list(&many)),
    ] {
        let effective = check(&lines).expect("a file without fault");
        assert_eq!(check_text(&effective).as_ref(), Ok(&effective), "{lines}");
    }
}

#[test]
fn the_effective_file_names_every_replica_and_the_capacity() {
    let effective = check(&format!("{}{CAPACITY}", list(&["127.0.0.1:2", "127.0.0.1:1"]))).unwrap();
    let expected = "discovery = [\n    \"127.0.0.1:1\",\n    \"127.0.0.1:2\",\n]\n\
                    discovery_lines_per_second = 200.0\ndiscovery_call_lines = 10.0\n";
    assert!(effective.contains(expected), "{effective}");
}

/// Operators uncomment the lines of the example. If they had a fault, the node would not start.
#[test]
fn the_commented_replicas_of_the_example_have_no_fault() {
    let example = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/cache-balancer.toml");
    let example = std::fs::read_to_string(example).unwrap();
    let replicas: Vec<_> = example.lines().filter_map(|line| line.strip_prefix("# discovery")).collect();
    assert_eq!(replicas.len(), 3, "{replicas:?}");
    let lines = replicas.iter().map(|rest| format!("discovery{rest}\n")).collect::<String>();
    let effective = check(&lines).expect("an example without fault");
    assert!(
        effective.contains("\"127.0.0.1:7102\",\n]\ndiscovery_lines_per_second = 200.0\n"),
        "{effective}"
    );
}

#[test]
fn a_list_of_one_means_the_same_as_one_address() {
    let one = check("discovery = \"127.0.0.1:1\"\n").unwrap();
    assert!(one.contains("\ndiscovery = \"127.0.0.1:1\"\n"), "{one}");
    assert!(!one.contains("discovery_"), "{one}");
    assert_eq!(check(&list(&["127.0.0.1:1"])), Ok(one));
}

#[test]
fn each_fault_names_its_line_its_field_and_what_was_expected() {
    let one = "discovery = \"127.0.0.1:1\"\n";
    let or_list = "expected an address and port, such as \"127.0.0.1:7100\", or a list of 1 to 64, found";
    let entry = "expected an address and port, such as \"127.0.0.1:7100\", found";
    let lines_range = "discovery_lines_per_second: expected a number from 1 to 100000000, found";
    let call_range = "discovery_call_lines: expected a number from 0.01 to 1000000, found";
    let lines =
        |value: &str| format!("{one}discovery_lines_per_second = {value}\ndiscovery_call_lines = 10\n");
    let call =
        |value: &str| format!("{one}discovery_lines_per_second = 200\ndiscovery_call_lines = {value}\n");
    let mut cases = vec![
        ("discovery = []\n".to_owned(), format!("5: pool[0].discovery: {or_list} a list of 0")),
        (list(&loopback(1..=MAX_REPLICAS + 1)), format!("5: pool[0].discovery: {or_list} a list of 65")),
        ("discovery = 7100\n".to_owned(), format!("5: pool[0].discovery: {or_list} 7100")),
        ("discovery = \"localhost\"\n".to_owned(), format!("5: pool[0].discovery: {or_list} \"localhost\"")),
        (list(&["127.0.0.1:1", "127.0.0.1"]), format!("7: pool[0].discovery[1]: {entry} \"127.0.0.1\"")),
        ("discovery = [\"127.0.0.1:1\",\n7]\n".to_owned(), format!("6: pool[0].discovery[1]: {entry} 7")),
        (
            list(&["127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:1"]),
            "8: pool[0].discovery[2]: expected each once, found \"127.0.0.1:1\" again, which stands at \
             pool[0].discovery[0]"
                .to_owned(),
        ),
        (
            format!("{one}discovery_lines_per_second = 200\n"),
            "6: pool[0].discovery_lines_per_second: expected discovery_call_lines beside it".to_owned(),
        ),
        (
            format!("{one}discovery_call_lines = 10\n"),
            "6: pool[0].discovery_call_lines: expected discovery_lines_per_second beside it".to_owned(),
        ),
        (lines("0.99"), format!("6: pool[0].{lines_range} 0.99")),
        (lines("100000001"), format!("6: pool[0].{lines_range} 100000001")),
        (call("0.009"), format!("7: pool[0].{call_range} 0.009")),
        (call("1000001"), format!("7: pool[0].{call_range} 1000001")),
    ];
    for bad in ["0", "0.0", "-200", "-0.5", "nan", "inf", "-inf", "1e400", "\"200\"", "true"] {
        cases.push((lines(bad), format!("6: pool[0].{lines_range} {bad}")));
        cases.push((call(bad), format!("7: pool[0].{call_range} {bad}")));
    }
    for (lines, expected) in cases {
        assert_eq!(check(&lines), Err(vec![format!("bad.toml:{expected}")]), "{lines}");
    }
}

#[test]
fn the_ends_of_each_range_are_allowed() {
    for (lines, call) in [("1", "0.01"), ("100000000", "1000000")] {
        let capacity = format!("discovery_lines_per_second = {lines}\ndiscovery_call_lines = {call}\n");
        assert!(check(&format!("discovery = \"127.0.0.1:1\"\n{capacity}")).is_ok(), "{capacity}");
    }
}

#[test]
fn capacity_without_discovery_is_a_fault_of_each_of_its_fields() {
    let found = check(&format!("file = \"boxes.toml\"\n{CAPACITY}"));
    let fault =
        |line: u32, key: &str| format!("bad.toml:{line}: pool[0].{key}: expected discovery beside it");
    assert_eq!(found, Err(vec![fault(6, "discovery_lines_per_second"), fault(7, "discovery_call_lines")]));
}

#[test]
fn all_faults_of_a_file_are_found_at_once() {
    let lines =
        "discovery = [\n\"x\",\n\"127.0.0.1:1\",\n\"127.0.0.1:1\",\n7]\ndiscovery_call_lines = 0\nodd = 1\n";
    let found = check(lines).expect_err("faults");
    let fields: Vec<_> = found.iter().filter_map(|fault| fault.split(": ").nth(1)).collect();
    let expected =
        ["discovery[0]", "discovery[2]", "discovery[3]", "discovery_call_lines", "discovery_call_lines"];
    let expected: Vec<_> =
        expected.into_iter().chain(["odd"]).map(|field| format!("pool[0].{field}")).collect();
    assert_eq!(fields, expected, "{found:#?}");
}

/// Nodes spread over replicas by their names. If they all had the default name, all of them would poll one replica.
#[test]
fn a_node_needs_a_name_where_there_are_several_replicas() {
    let without = |lines: &str| check_text(&file(lines).replace("name = \"n0\"\n", ""));
    let fault = "bad.toml:1: name: is missing: nodes spread over replicas of discovery by their names";
    assert_eq!(without(&list(&loopback([1, 2]))), Err(vec![fault.to_owned()]));
    assert!(without(&list(&loopback([1]))).is_ok());
    assert!(without("discovery = \"127.0.0.1:1\"\n").is_ok());
}
