//! A node whose clients fill its descriptors while discovery is away: what it needs for itself is left.

mod common;

use common::*;
use serde_json::json;
use std::net::SocketAddr;
use std::process::Command;

/// As many as the platform's smallest node has in these tests.
const DESCRIPTORS: usize = 64;
/// Connections of clients, and to cache servers, that such a node holds.
const PLACES: usize = (DESCRIPTORS - 24) / 2;

/// A node that the system lets hold no more than it is told of, with a list and a discovery that is not there yet.
fn bounded(discovery: SocketAddr, servers: &[CacheServer]) -> Node {
    let entries = servers.iter().enumerate();
    let entries: Vec<_> = entries.map(|(i, server)| server.entry(&format!("s-1{i}"), "ready")).collect();
    let mut config = config(discovery);
    config["limits"]["sockets"] = json!(DESCRIPTORS);
    config["known"] = json!({"seq": 0, "whole": true, "hosts": entries});
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

/// Brings discovery back, with a second server, and has the node serve from it.
fn comes_back(node: &Node, discovery: Discovery, second: &CacheServer, before: usize) {
    discovery.wait_until_told(1);
    assert!(descriptors(node) <= DESCRIPTORS);
    // A new configuration is read beside all that, and moves discovery.
    let moved = Discovery::start(&[second.entry("s-2", "ready")]);
    let text = std::fs::read_to_string(node.config()).unwrap();
    let mut config: serde_json::Value = serde_json::from_str(&text).unwrap();
    config["discovery"] = json!(moved.address.to_string());
    node.reconfigure(&config.to_string());
    assert_eq!(node.said("configuration not taken: "), 0);
    moved.wait_until_told(1);
    assert_eq!(node.get("/healthz").status(), 200);
    assert_eq!(node.read("read", 0xffff).status(), 200);
    assert_eq!(second.count(), before + 1);
    let failed = node.log.lock().unwrap().iter().filter(|line| line.contains("os error 24")).count();
    assert_eq!(failed, 0, "a descriptor was wanted and there was none");
}

// Guards against clients that leave no descriptor for the call to discovery, for a new configuration or for a new client.
#[test]
fn clients_that_rest_leave_the_node_what_it_needs_when_discovery_comes_back() {
    let (first, second) = (CacheServer::serving("value"), CacheServer::serving("value"));
    let away = own_address();
    let node = bounded(away, &[first]);
    // More than there are places: some wait in the machine's queue. Half of them say nothing, half have asked once.
    let mut rest = Vec::new();
    for key in 1..=PLACES as u64 {
        let mut client = node.client();
        assert_eq!(client.ask(&read("read", key, 20_000)).status(), 200);
        rest.push(client);
        rest.push(node.client());
        rest.push(node.client());
    }
    let entries = [second.entry("s-2", "ready")];
    comes_back(&node, Discovery::start_at(away, &entries), &second, 0);
    drop(rest);
}

// The same where every place is in use on both sides.
#[test]
fn requests_that_hold_every_place_leave_the_node_what_it_needs_when_discovery_comes_back() {
    let gate = Gate::default();
    // So many that none of them has too much to do.
    let servers: Vec<_> = (0..8)
        .map(|_| {
            let held = gate.clone();
            CacheServer::start(move |_| {
                held.wait();
                Does::Answer(answer("200 OK", "", "value"))
            })
        })
        .collect();
    let second = CacheServer::serving("value");
    let away = own_address();
    let node = bounded(away, &servers);
    let mut waiting: Vec<_> = (0..3 * PLACES).map(|_| node.client()).collect();
    for (key, client) in (1..).zip(&mut waiting) {
        client.send(&read("read", key, 60_000));
    }
    let asked = || servers.iter().map(CacheServer::count).sum::<usize>();
    wait_for("an attempt in every place", || asked() >= PLACES);
    let discovery = Discovery::start_at(away, &[second.entry("s-2", "ready")]);
    discovery.wait_until_told(1);
    assert!(descriptors(&node) <= DESCRIPTORS);
    assert_eq!(asked(), PLACES, "the other requests wait in the machine's queue");
    gate.open();
    // Those that waited in the queue may be refused: all come at once to the one server that is left.
    let answers: Vec<_> =
        waiting.iter_mut().map(|client| client.answer().expect("an answer").status()).collect();
    assert_eq!(answers[..PLACES], [200; PLACES]);
    assert!(answers[PLACES..].iter().all(|status| [200, 503].contains(status)), "{answers:?}");
    drop(waiting);
    // What came after discovery went to its server.
    let before = second.count();
    comes_back(&node, discovery, &second, before);
}
