//! A reload of a node whose file names other replicas of discovery: which watches go on, and where a new one starts.

mod common;

use common::{start_with_operator_file, wait_for, CacheServer, Discovery, Node, TempDir, READ_CLASS};
use std::net::SocketAddr;

const CLIENTS: &str = "[[listener]]\nname = \"clients\"\naddress = \"127.0.0.1:0\"\n";
const CAPACITY: &str = "discovery_lines_per_second = 200\ndiscovery_call_lines = 10\n";

/// A file whose only pool has these lines, from line 5 on.
fn file(lines: &str) -> String {
    format!("version = 1\nname = \"n0\"\n[[pool]]\nname = \"p\"\n{lines}{READ_CLASS}{CLIENTS}")
}

/// A `discovery` that names these addresses, each on a line of its own.
fn list(addresses: &[SocketAddr]) -> String {
    let addresses: Vec<_> = addresses.iter().map(|address| format!("\"{address}\"")).collect();
    format!("discovery = [\n{}]\n", addresses.join(",\n"))
}

/// The polls for changes after this version, at all of these replicas.
fn watches(replicas: &[Discovery], version: u64) -> usize {
    replicas.iter().map(|replica| watches_at(replica, version)).sum()
}

fn watches_at(replica: &Discovery, version: u64) -> usize {
    let prefix = format!("/v1/servers?after={version}&");
    replica.received.lock().unwrap().iter().filter(|path| path.starts_with(&prefix)).count()
}

fn snapshots(replicas: &[Discovery]) -> usize {
    let lists = |replica: &Discovery| {
        replica.received.lock().unwrap().iter().filter(|path| *path == "/v1/servers").count()
    };
    replicas.iter().map(lists).sum()
}

fn calls(replicas: &[Discovery]) -> usize {
    replicas.iter().map(Discovery::request_count).sum()
}

/// Replicas of one service whose list has this server.
fn service<const COUNT: usize>(server: &CacheServer) -> [Discovery; COUNT] {
    [(); COUNT].map(|()| Discovery::start(&[server.entry("box", "ready")]))
}

/// A node that watches one of these replicas, and the index of that one. A snapshot and the watch are its only polls.
fn watching(folder: &TempDir, replicas: &[Discovery]) -> (Node, usize) {
    let node = start_with_operator_file(folder, &file(&list(&addresses(replicas))));
    wait_for("the watch at one of them", || watches(replicas, 1) == 1);
    assert_eq!(calls(replicas), 2);
    let current = replicas.iter().position(|replica| replica.request_count() == 2);
    (node, current.expect("list and watch at the same replica"))
}

fn addresses(replicas: &[Discovery]) -> Vec<SocketAddr> {
    replicas.iter().map(|replica| replica.address).collect()
}

/// If the good half of a faulty file took effect, the node would run with a configuration that is in no file.
#[test]
fn a_faulty_reload_is_logged_and_changes_nothing() {
    let (server, other) = (CacheServer::serving("a"), CacheServer::serving("b"));
    let discovery = Discovery::start(&[server.entry("a", "ready")]);
    let elsewhere = Discovery::start(&[other.entry("b", "ready")]);
    let folder = TempDir::new();
    let node = start_with_operator_file(&folder, &file(&list(&[discovery.address])));
    discovery.wait_until_notified(1);
    let calls = discovery.request_count();
    let twice = list(&[elsewhere.address, elsewhere.address]);
    let faulty = [
        (twice, "cache-balancer.toml:7: pool[0].discovery[1]: expected each once"),
        (
            "discovery = []\n".to_owned(),
            "cache-balancer.toml:5: pool[0].discovery: expected an address and port",
        ),
        (
            format!("{}discovery_call_lines = 1\n", list(&[elsewhere.address])),
            "pool[0].discovery_call_lines: expected discovery_lines_per_second beside it",
        ),
    ];
    for (number, (lines, why)) in faulty.iter().enumerate() {
        node.reconfigure(&file(lines));
        assert_eq!(node.logged("configuration not taken: "), number + 1, "{lines}");
        assert_eq!(node.logged(why), 1, "{why}: {:?}", node.log.lock().unwrap());
    }
    assert_eq!((discovery.request_count(), elsewhere.request_count()), (calls, 0));
    // The watch that was open still reports.
    discovery.notify(true, &[other.entry("b", "ready")]);
    discovery.wait_until_notified(2);
    assert_eq!(node.read("read", 1).body, b"b");
    assert_eq!((discovery.request_count(), elsewhere.request_count()), (calls + 1, 0));
}

#[test]
fn replicas_in_another_order_change_nothing() {
    let (server, folder) = (CacheServer::serving("a"), TempDir::new());
    let replicas: [_; 2] = service(&server);
    let (node, current) = watching(&folder, &replicas);
    let mut addresses = addresses(&replicas);
    addresses.reverse();
    node.reconfigure(&file(&list(&addresses)));
    assert_eq!(node.logged("configuration read again: nothing changed"), 1);
    still_watches(&node, &replicas, current);
}

#[test]
fn a_watch_goes_on_while_other_replicas_are_added_and_removed() {
    let (server, folder) = (CacheServer::serving("a"), TempDir::new());
    let replicas: [_; 2] = service(&server);
    let (node, current) = watching(&folder, &replicas);
    let added: [_; 3] = service(&server);
    let more = [addresses(&replicas), addresses(&added)].concat();
    node.reconfigure(&file(&list(&more)));
    node.reconfigure(&file(&list(&[replicas[current].address])));
    node.reconfigure(&file(&list(&addresses(&replicas))));
    assert_eq!(node.logged("configuration read again: pool p: list from discovery at "), 3);
    assert_eq!(calls(&added), 0);
    still_watches(&node, &replicas, current);
}

#[test]
fn a_watch_goes_on_when_the_capacity_is_added_or_removed() {
    let (server, folder) = (CacheServer::serving("a"), TempDir::new());
    let replicas: [_; 2] = service(&server);
    let (node, current) = watching(&folder, &replicas);
    let without = list(&addresses(&replicas));
    node.reconfigure(&file(&format!("{without}{CAPACITY}")));
    node.reconfigure(&file(&without));
    for message in ["discovery of 200 lines a second and 10 a call", "discovery of unknown capacity"] {
        assert_eq!(node.logged(&format!("configuration read again: pool p: {message}")), 1, "{message}");
    }
    still_watches(&node, &replicas, current);
}

/// Checks that the watch which the node opened first is still open and reports the next change.
fn still_watches(node: &Node, replicas: &[Discovery], current: usize) {
    assert_eq!((calls(replicas), watches_at(&replicas[current], 1)), (2, 1));
    let other = CacheServer::serving("other");
    replicas[current].notify(true, &[other.entry("other", "ready")]);
    replicas[current].wait_until_notified(2);
    assert_eq!(node.read("read", 1).body, b"other");
    assert_eq!(calls(replicas), 3);
}

/// If each node of a removed replica requested a snapshot elsewhere, the other replicas would be overloaded.
#[test]
fn a_node_of_a_removed_replica_watches_another_from_the_held_version() {
    let (server, folder) = (CacheServer::serving("a"), TempDir::new());
    let replicas: [_; 3] = service(&server);
    let (node, current) = watching(&folder, &replicas);
    let rest: Vec<_> =
        addresses(&replicas).into_iter().filter(|address| *address != replicas[current].address).collect();
    node.reconfigure(&file(&list(&rest)));
    wait_for("the watch at another one", || watches(&replicas, 1) == 2);
    // The removed replica is not polled any more, and no second snapshot is requested.
    assert_eq!((replicas[current].request_count(), snapshots(&replicas)), (2, 1));
    assert_eq!(node.read("read", 1).body, b"a");
}

#[test]
fn a_snapshot_is_requested_if_no_replica_remains() {
    let ((server, other), folder) = ((CacheServer::serving("a"), CacheServer::serving("b")), TempDir::new());
    let replicas: [_; 2] = service(&server);
    let (node, _) = watching(&folder, &replicas);
    let elsewhere: [_; 2] = service(&other);
    node.reconfigure(&file(&list(&addresses(&elsewhere))));
    wait_for("the watch elsewhere", || watches(&elsewhere, 1) == 1);
    assert_eq!((calls(&replicas), snapshots(&elsewhere)), (2, 1));
    assert_eq!(node.read("read", 1).body, b"b");
}
