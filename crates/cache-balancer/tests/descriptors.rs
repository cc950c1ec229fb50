//! A node whose clients fill its descriptors while discovery is away keeps what it needs for itself.

mod common;

use common::*;
use serde_json::json;
use std::net::SocketAddr;
use std::process::Command;

/// The descriptors of a node in these tests.
const DESCRIPTORS: usize = 64;
/// The connections of clients that such a node holds, and those to cache servers.
const CONNECTIONS: usize = (DESCRIPTORS - 24) / 2;

/// A node whose limit of open descriptors (`ulimit`) is that of its configuration, with an endpoint list
/// and a discovery that is not there yet.
fn bounded(discovery: SocketAddr, servers: &[CacheServer]) -> Node {
    let endpoints = servers.iter().enumerate();
    let endpoints: Vec<_> = endpoints.map(|(i, server)| server.entry(&format!("s-1{i}"), "ready")).collect();
    let mut config = config(discovery);
    config["limits"]["sockets"] = json!(DESCRIPTORS);
    config["known"] = json!({"seq": 0, "whole": true, "hosts": endpoints});
    let path = write_config(&config.to_string());
    let program = command().get_program().to_owned();
    let mut bounded = Command::new("sh");
    bounded.arg("-c").arg(format!("ulimit -n {DESCRIPTORS} && exec \"$0\"")).arg(program);
    bounded.env("LB_CONFIG", &path);
    for variable in ["LB_NAME", "LB_LISTEN", "LB_DISCOVERY"] {
        bounded.env_remove(variable);
    }
    Node::spawn(bounded, path)
}

fn descriptors(node: &Node) -> usize {
    std::fs::read_dir(format!("/proc/{}/fd", node.child.id())).unwrap().count()
}

/// Waits until the node has the list of `discovery`, moves discovery by a reload to one with a second server,
/// and has the node serve from that.
fn move_discovery(node: &Node, discovery: Discovery, second: &CacheServer, before: usize) {
    discovery.wait_until_notified(1);
    assert!(descriptors(node) <= DESCRIPTORS);
    // A new configuration is read besides, and moves discovery.
    let moved = Discovery::start(&[second.entry("s-2", "ready")]);
    let text = std::fs::read_to_string(node.config()).unwrap();
    let mut config: serde_json::Value = serde_json::from_str(&text).unwrap();
    config["discovery"] = json!(moved.address.to_string());
    node.reconfigure(&config.to_string());
    assert_eq!(node.logged("configuration not taken: "), 0);
    moved.wait_until_notified(1);
    assert_eq!(node.get("/healthz").status(), 200);
    assert_eq!(node.read("read", 0xffff).status(), 200);
    assert_eq!(second.request_count(), before + 1);
    let failed = node.logged("os error 24");
    assert_eq!(failed, 0, "a descriptor was needed and there was none");
}

/// Clients left no descriptor for the call to discovery, for a new configuration or for a new client.
#[test]
fn idle_clients_leave_the_node_the_descriptors_that_it_needs() {
    let (first, second) = (CacheServer::serving("value"), CacheServer::serving("value"));
    let away = unique_address();
    let node = bounded(away, &[first]);
    // More than are accepted: some wait in the system's queue. Some have sent one request, the others
    // nothing.
    let mut rest = Vec::new();
    for key in 1..=CONNECTIONS as u64 {
        let mut client = node.client();
        assert_eq!(client.request(&read_request("read", key, 20_000)).status(), 200);
        rest.push(client);
        rest.push(node.client());
        rest.push(node.client());
    }
    let endpoints = [second.entry("s-2", "ready")];
    move_discovery(&node, Discovery::start_at(away, &endpoints), &second, 0);
    drop(rest);
}

/// The same where every connection is in use on both sides.
#[test]
fn requests_in_flight_leave_the_node_the_descriptors_that_it_needs() {
    let gate = Gate::default();
    // A number at which none of them is overloaded.
    let servers: Vec<_> = (0..8)
        .map(|_| {
            let opened = gate.clone();
            CacheServer::start(move |_| {
                opened.wait();
                ServerBehavior::Respond(response("200 OK", "", "value"))
            })
        })
        .collect();
    let second = CacheServer::serving("value");
    let away = unique_address();
    let node = bounded(away, &servers);
    let mut waiting: Vec<_> = (0..3 * CONNECTIONS).map(|_| node.client()).collect();
    for (key, client) in (1..).zip(&mut waiting) {
        client.send(&read_request("read", key, 60_000));
    }
    let received = || servers.iter().map(CacheServer::request_count).sum::<usize>();
    wait_for("an attempt for every connection", || received() >= CONNECTIONS);
    let discovery = Discovery::start_at(away, &[second.entry("s-2", "ready")]);
    discovery.wait_until_notified(1);
    assert!(descriptors(&node) <= DESCRIPTORS);
    assert_eq!(received(), CONNECTIONS, "the other requests wait in the system's queue");
    gate.open();
    // Those that waited in the queue may be rejected: all come at once to the one server that is left.
    let answers: Vec<_> =
        waiting.iter_mut().map(|client| client.receive().expect("a response").status()).collect();
    assert_eq!(answers[..CONNECTIONS], [200; CONNECTIONS]);
    assert!(answers[CONNECTIONS..].iter().all(|status| [200, 503].contains(status)), "{answers:?}");
    drop(waiting);
    // Requests after the list went to its server.
    let before = second.request_count();
    move_discovery(&node, discovery, &second, before);
}
