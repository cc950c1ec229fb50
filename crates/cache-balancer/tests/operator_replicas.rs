//! Discovery replicas in an operator's file: the reported faults and the effective configuration.

mod common;

use common::{command, TempDir, READ_CLASS};
use std::net::SocketAddr;
use std::path::Path;

const CAPACITY: &str = "discovery_lines_per_second = 200\ndiscovery_call_lines = 10\n";
/// The maximum number of replicas of a pool.
const MAX_REPLICAS: u16 = 64;

/// Returns a file whose only pool has these lines, starting at line 5.
fn operator_file(lines: &str) -> String {
    format!("version = 1\nname = \"n0\"\n[[pool]]\nname = \"p\"\n{lines}{READ_CLASS}")
}

/// Returns a `discovery` setting with these addresses, each on a separate line.
fn discovery_setting(addresses: &[impl std::fmt::Display]) -> String {
    let addresses: Vec<_> = addresses.iter().map(|address| format!("\"{address}\"")).collect();
    format!("discovery = [\n{}]\n", addresses.join(",\n"))
}

fn loopback(ports: impl IntoIterator<Item = u16>) -> Vec<SocketAddr> {
    ports.into_iter().map(|port| ([127, 0, 0, 1], port).into()).collect()
}

/// Runs `check` on a file with these lines in its pool. Returns the effective configuration, or the faults.
fn check(lines: &str) -> Result<String, Vec<String>> {
    check_text(&operator_file(lines))
}

fn check_text(text: &str) -> Result<String, Vec<String>> {
    let directory = TempDir::new();
    let path = directory.write("bad.toml", text);
    let checked = command().arg("check").arg(&path).output().unwrap();
    if checked.status.success() {
        return Ok(String::from_utf8(checked.stdout).unwrap());
    }
    assert_eq!((checked.status.code(), checked.stdout.len()), (Some(2), 0), "{text}");
    let place = format!("{}/", directory.0.display());
    let faults = String::from_utf8(checked.stderr).unwrap();
    Err(faults.lines().map(|line| line.replacen(&place, "", 1)).collect())
}

#[test]
fn the_effective_configuration_reads_back_unchanged() {
    let many = loopback(1..=MAX_REPLICAS);
    for lines in [
        "discovery = \"127.0.0.1:1\"\n".to_owned(),
        format!("discovery = \"127.0.0.1:1\"\n{CAPACITY}"),
        discovery_setting(&["127.0.0.1:2", "[::1]:1"]),
        format!("{}{CAPACITY}", discovery_setting(&["127.0.0.1:2", "127.0.0.1:1"])),
        format!(
            "{}discovery_lines_per_second = 1.5e3\ndiscovery_call_lines = 0.25\n",
            discovery_setting(&many)
        ),
    ] {
        let effective = check(&lines).expect("a valid file");
        assert_eq!(check_text(&effective).as_ref(), Ok(&effective), "{lines}");
    }
}

#[test]
fn the_effective_configuration_has_every_replica_and_the_capacity() {
    let effective =
        check(&format!("{}{CAPACITY}", discovery_setting(&["127.0.0.1:2", "127.0.0.1:1"]))).unwrap();
    let expected = "discovery = [\n    \"127.0.0.1:1\",\n    \"127.0.0.1:2\",\n]\n\
                    discovery_lines_per_second = 200.0\ndiscovery_call_lines = 10.0\n";
    assert!(effective.contains(expected), "{effective}");
}

/// Operators uncomment these lines of the example. If the lines were invalid, the node would not start.
#[test]
fn the_commented_replicas_of_the_example_are_valid() {
    let example = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/cache-balancer.toml");
    let example = std::fs::read_to_string(example).unwrap();
    let replicas: Vec<_> = example.lines().filter_map(|line| line.strip_prefix("# discovery")).collect();
    assert_eq!(replicas.len(), 3, "{replicas:?}");
    let lines = replicas.iter().map(|rest| format!("discovery{rest}\n")).collect::<String>();
    let effective = check(&lines).expect("a valid example");
    assert!(
        effective.contains("\"127.0.0.1:7102\",\n]\ndiscovery_lines_per_second = 200.0\n"),
        "{effective}"
    );
}

#[test]
fn a_list_of_one_address_equals_a_single_address() {
    let one = check("discovery = \"127.0.0.1:1\"\n").unwrap();
    assert!(one.contains("\ndiscovery = \"127.0.0.1:1\"\n"), "{one}");
    assert!(!one.contains("discovery_"), "{one}");
    assert_eq!(check(&discovery_setting(&["127.0.0.1:1"])), Ok(one));
}

#[test]
fn each_fault_names_line_field_and_expectation() {
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
        (
            discovery_setting(&loopback(1..=MAX_REPLICAS + 1)),
            format!("5: pool[0].discovery: {or_list} a list of 65"),
        ),
        ("discovery = 7100\n".to_owned(), format!("5: pool[0].discovery: {or_list} 7100")),
        ("discovery = \"localhost\"\n".to_owned(), format!("5: pool[0].discovery: {or_list} \"localhost\"")),
        (
            discovery_setting(&["127.0.0.1:1", "127.0.0.1"]),
            format!("7: pool[0].discovery[1]: {entry} \"127.0.0.1\""),
        ),
        ("discovery = [\"127.0.0.1:1\",\n7]\n".to_owned(), format!("6: pool[0].discovery[1]: {entry} 7")),
        (
            discovery_setting(&["127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:1"]),
            "8: pool[0].discovery[2]: expected each once, found \"127.0.0.1:1\" again, which stands at \
             pool[0].discovery[0]"
                .to_owned(),
        ),
        (
            format!("{one}discovery_lines_per_second = 200\n"),
            "6: pool[0].discovery_lines_per_second: expected discovery_call_lines to be set as well"
                .to_owned(),
        ),
        (
            format!("{one}discovery_call_lines = 10\n"),
            "6: pool[0].discovery_call_lines: expected discovery_lines_per_second to be set as well"
                .to_owned(),
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
fn the_bounds_of_each_range_are_allowed() {
    for (lines, call) in [("1", "0.01"), ("100000000", "1000000")] {
        let capacity = format!("discovery_lines_per_second = {lines}\ndiscovery_call_lines = {call}\n");
        assert!(check(&format!("discovery = \"127.0.0.1:1\"\n{capacity}")).is_ok(), "{capacity}");
    }
}

#[test]
fn capacity_without_discovery_is_a_fault_of_each_capacity_field() {
    let found = check(&format!("file = \"boxes.toml\"\n{CAPACITY}"));
    let fault = |line: u32, key: &str| {
        format!("bad.toml:{line}: pool[0].{key}: expected discovery to be set as well")
    };
    assert_eq!(found, Err(vec![fault(6, "discovery_lines_per_second"), fault(7, "discovery_call_lines")]));
}

#[test]
fn all_faults_of_a_file_are_reported_at_once() {
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

/// Each node selects a replica by its name. If all nodes had the default name, all would poll the same
/// replica.
#[test]
fn a_node_with_several_replicas_needs_a_name() {
    let check_unnamed = |lines: &str| check_text(&operator_file(lines).replace("name = \"n0\"\n", ""));
    let fault = "bad.toml:1: name: is missing: each node selects a discovery replica by its name";
    assert_eq!(check_unnamed(&discovery_setting(&loopback([1, 2]))), Err(vec![fault.to_owned()]));
    assert!(check_unnamed(&discovery_setting(&loopback([1]))).is_ok());
    assert!(check_unnamed("discovery = \"127.0.0.1:1\"\n").is_ok());
}
