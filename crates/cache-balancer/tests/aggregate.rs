//! `cache-balancer aggregate`: sums the tally lines in the logs of several nodes.

mod common;

use common::*;
use serde_json::Value;
use std::net::TcpListener;

/// Aggregates logs into one row. Returns the row, the exit code and standard error.
fn aggregate(logs: &[&str]) -> (Value, i32, String) {
    let directory = TempDir::new();
    let mut command = command();
    command.args(["aggregate", "--json", "--every", "86400"]);
    for (i, log) in logs.iter().enumerate() {
        command.arg(directory.write(&format!("{i}.log"), log));
    }
    let output = output_before_timeout(command);
    let rows = String::from_utf8(output.stdout).unwrap();
    let rows: Vec<Value> = rows.lines().map(|line| serde_json::from_str(line).unwrap()).collect();
    assert!(rows.len() <= 1, "the logs span midnight UTC: {rows:?}");
    let row = rows.first().map_or(Value::Null, |row| row["row"].clone());
    (row, output.status.code().unwrap(), String::from_utf8(output.stderr).unwrap())
}

#[test]
fn requests_and_attempts_of_three_nodes_are_summed() {
    let good = CacheServer::serving("value");
    let unused_address = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let discovery =
        Discovery::start(&[good.endpoint("s-1", "ready"), endpoint("s-2", unused_address, "ready")]);
    let nodes: Vec<Node> = (0..3)
        .map(|i| {
            let mut config = config(discovery.address);
            config["name"] = format!("n{i}").into();
            Node::start_ready(&config)
        })
        .collect();
    for node in &nodes {
        for key in 0..20 {
            assert_eq!(node.read("read", key).status(), 200);
        }
    }
    discovery.publish(false, &[endpoint("s-2", unused_address, "gone")]);
    wait_for("all nodes to apply the change", || {
        discovery.received.lock().unwrap().iter().filter(|path| path.contains("after=2&")).count() == 3
    });
    assert!(nodes.iter().all(|node| node.read("read", 1).status() == 200));
    let logs: Vec<_> = nodes.iter().map(|node| node.log.clone()).collect();
    for node in nodes {
        node.terminate();
        assert!(node.exit_status().success());
    }
    let text = |log: &std::sync::Mutex<Vec<String>>| log.lock().unwrap().join("\n") + "\n";
    // A node writes the line of its last second when it exits.
    let served = |log: &std::sync::Mutex<Vec<String>>| aggregate(&[&text(log)]).0["served"].as_u64();
    logs.iter().for_each(|log| wait_for("the last tally line of the node", || served(log) == Some(21)));
    let texts: Vec<_> = logs.iter().map(|log| text(log)).collect();
    let (row, code, errors) = aggregate(&texts.iter().map(String::as_str).collect::<Vec<_>>());
    assert_eq!((code, errors.as_str()), (0, ""));
    let count = |name: &str| row[name].as_u64().unwrap();
    assert_eq!((count("nodes"), count("served"), count("refused"), count("failed")), (3, 63, 0, 0));
    assert_eq!(good.request_count(), 63);
    assert!(count("connect") >= 3, "each node tried the unreachable server: {row}");
    assert_eq!(count("repeats"), count("connect"), "{row}");
    assert!(count("trips") >= 3, "{row}");
    // Each attempt is counted under one state of its server.
    let attempts: u64 = ["well", "cold", "bad", "draining", "gone"].map(count).iter().sum();
    assert_eq!(attempts, 63 + count("connect"));
}

#[test]
fn bad_lines_are_reported_by_file_and_line_number_and_the_others_are_aggregated() {
    let log =
        "a word\ntally {\"second\":1}\ntally {\"second\":1,\"node\":\"a\",\"pool\":\"p\",\"served\":2}\n";
    let (row, code, errors) = aggregate(&[log]);
    assert_eq!((row["served"].as_u64(), code), (Some(2), 1));
    assert!(errors.contains("0.log:2: invalid tally line: missing field `node`"), "{errors}");
    let mut command = command();
    command.args(["aggregate", "no-such.log"]);
    let output = output_before_timeout(command);
    assert_eq!(output.status.code(), Some(2));
    assert!(String::from_utf8(output.stderr).unwrap().contains("no-such.log: "));
}

#[test]
fn a_reload_of_the_operators_file_enables_the_tally() {
    let server = CacheServer::serving("value");
    let directory = TempDir::new();
    let operator_file = |log: &str| {
        format!(
            "version = 1\nseed = 1\n{log}[[listener]]\nname = \"l\"\naddress = \"127.0.0.1:0\"\n[[pool]]\nname = \"p\"\n\
             [[pool.server]]\nname = \"s-1\"\naddress = \"{}\"\n[[class]]\nname = \"read\"\neffect = \"safe\"\n",
            server.address
        )
    };
    let node = start_with_operator_file(&directory, &operator_file(""));
    assert_eq!(node.read("read", 1).status(), 200);
    node.reconfigure(&operator_file("[log]\ntally = true\n"));
    assert_eq!(node.logged("tally on"), 1);
    wait_for("a tally line", || {
        assert_eq!(node.read("read", 1).status(), 200);
        node.logged("tally {") >= 1
    });
}

/// Operators' scripts written for version 0.2 call `count`. Without this name they would fail after an
/// upgrade.
#[test]
fn the_former_command_name_is_accepted() {
    let run = |name| run_program(&[name, "no-such.log"]);
    let (former, present) = (run("count"), run("aggregate"));
    assert_eq!((former.status.code(), former.stderr), (present.status.code(), present.stderr));
}
