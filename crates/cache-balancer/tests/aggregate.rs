//! `cache-balancer aggregate`: what several nodes did together, counted from their logs.

mod common;

use common::*;
use serde_json::Value;
use std::net::TcpListener;

/// The one row into which these logs are aggregated, the exit code and the complaints.
fn aggregated(logs: &[&str]) -> (Value, i32, String) {
    let folder = TempDir::new();
    let mut command = command();
    command.args(["aggregate", "--json", "--every", "86400"]);
    for (i, log) in logs.iter().enumerate() {
        command.arg(folder.write(&format!("{i}.log"), log));
    }
    let output = output_before_timeout(command);
    let rows = String::from_utf8(output.stdout).unwrap();
    let rows: Vec<Value> = rows.lines().map(|line| serde_json::from_str(line).unwrap()).collect();
    assert!(rows.len() <= 1, "a run over midnight: {rows:?}");
    let row = rows.first().map_or(Value::Null, |row| row["row"].clone());
    (row, output.status.code().unwrap(), String::from_utf8(output.stderr).unwrap())
}

#[test]
fn the_logs_of_three_nodes_give_the_requests_and_attempts_of_all() {
    let good = CacheServer::serving("value");
    let unused_address = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let discovery = Discovery::start(&[good.entry("s-1", "ready"), endpoint("s-2", unused_address, "ready")]);
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
    discovery.notify(false, &[endpoint("s-2", unused_address, "gone")]);
    wait_for("all nodes to be notified", || {
        discovery.received.lock().unwrap().iter().filter(|path| path.contains("after=2&")).count() == 3
    });
    assert!(nodes.iter().all(|node| node.read("read", 1).status() == 200));
    let logs: Vec<_> = nodes.iter().map(|node| node.log.clone()).collect();
    for node in nodes {
        node.terminate();
        assert!(node.exit_status().success());
    }
    let text = |log: &std::sync::Mutex<Vec<String>>| log.lock().unwrap().join("\n") + "\n";
    // The line of the last second is written when the node ends.
    let served = |log: &std::sync::Mutex<Vec<String>>| aggregated(&[&text(log)]).0["served"].as_u64();
    logs.iter().for_each(|log| wait_for("a node's last line", || served(log) == Some(21)));
    let texts: Vec<_> = logs.iter().map(|log| text(log)).collect();
    let (row, code, complaints) = aggregated(&texts.iter().map(String::as_str).collect::<Vec<_>>());
    assert_eq!((code, complaints.as_str()), (0, ""));
    let of = |name: &str| row[name].as_u64().unwrap();
    assert_eq!((of("nodes"), of("served"), of("refused"), of("failed")), (3, 63, 0, 0));
    assert_eq!(good.request_count(), 63);
    assert!(of("connect") >= 3, "each met the server that is not there: {row}");
    assert_eq!(of("repeats"), of("connect"), "{row}");
    assert!(of("trips") >= 3, "{row}");
    // Each attempt is counted under one state of its server.
    let met: u64 = ["well", "cold", "bad", "draining", "gone"].map(of).iter().sum();
    assert_eq!(met, 63 + of("connect"));
}

#[test]
fn a_bad_line_is_reported_by_file_and_line_and_the_others_are_aggregated() {
    let log =
        "a word\ntally {\"second\":1}\ntally {\"second\":1,\"node\":\"a\",\"pool\":\"p\",\"served\":2}\n";
    let (row, code, complaints) = aggregated(&[log]);
    assert_eq!((row["served"].as_u64(), code), (Some(2), 1));
    assert!(complaints.contains("0.log:2: invalid tally line: missing field `node`"), "{complaints}");
    let mut command = command();
    command.args(["aggregate", "no-such.log"]);
    let output = output_before_timeout(command);
    assert_eq!(output.status.code(), Some(2));
    assert!(String::from_utf8(output.stderr).unwrap().contains("no-such.log: "));
}

#[test]
fn a_node_tallies_where_its_operators_file_says_so() {
    let server = CacheServer::serving("value");
    let folder = TempDir::new();
    let file = |log: &str| {
        format!(
            "version = 1\nseed = 1\n{log}[[listener]]\nname = \"l\"\naddress = \"127.0.0.1:0\"\n[[pool]]\nname = \"p\"\n\
             [[pool.server]]\nname = \"s-1\"\naddress = \"{}\"\n[[class]]\nname = \"read\"\neffect = \"safe\"\n",
            server.address
        )
    };
    let node = start_with_operator_file(&folder, &file(""));
    assert_eq!(node.read("read", 1).status(), 200);
    node.reconfigure(&file("[log]\ntally = true\n"));
    assert_eq!(node.logged("tally on"), 1);
    wait_for("a tally line", || {
        assert_eq!(node.read("read", 1).status(), 200);
        node.logged("tally {") >= 1
    });
}

/// Operators' scripts of version 0.2 call `count`; a name that is gone would stop them at their next run.
#[test]
fn the_former_command_name_is_accepted() {
    let run = |name| run_program(&[name, "no-such.log"]);
    let (former, present) = (run("count"), run("aggregate"));
    assert_eq!((former.status.code(), former.stderr), (present.status.code(), present.stderr));
}
