//! Reloads that change the discovery replicas of a pool: when the current watch continues, and where a new
//! one starts.

mod common;

use common::{
    start_with_operator_file, wait_for, CacheServer, Discovery, Node, TempDir, CLIENT_LISTENER, READ_CLASS,
};
use std::net::SocketAddr;

const CAPACITY: &str = "discovery_lines_per_second = 200\ndiscovery_call_lines = 10\n";

/// Returns a file whose only pool has these lines, starting at line 5.
fn operator_file(lines: &str) -> String {
    format!("version = 1\nname = \"n0\"\n[[pool]]\nname = \"p\"\n{lines}{READ_CLASS}{CLIENT_LISTENER}")
}

/// Returns a `discovery` setting with these addresses, each on a separate line.
fn discovery_setting(addresses: &[SocketAddr]) -> String {
    let addresses: Vec<_> = addresses.iter().map(|address| format!("\"{address}\"")).collect();
    format!("discovery = [\n{}]\n", addresses.join(",\n"))
}

/// Returns the number of polls for changes after this version, at all of these replicas.
fn count_watches(replicas: &[Discovery], version: u64) -> usize {
    replicas.iter().map(|replica| count_watches_at(replica, version)).sum()
}

fn count_watches_at(replica: &Discovery, version: u64) -> usize {
    let prefix = format!("/v1/servers?after={version}&");
    replica.received.lock().unwrap().iter().filter(|path| path.starts_with(&prefix)).count()
}

fn count_snapshots(replicas: &[Discovery]) -> usize {
    let count = |replica: &Discovery| {
        replica.received.lock().unwrap().iter().filter(|path| *path == "/v1/servers").count()
    };
    replicas.iter().map(count).sum()
}

fn count_polls(replicas: &[Discovery]) -> usize {
    replicas.iter().map(Discovery::request_count).sum()
}

/// Starts replicas of one discovery service whose list has this server.
fn start_replicas<const COUNT: usize>(server: &CacheServer) -> [Discovery; COUNT] {
    [(); COUNT].map(|()| Discovery::start(&[server.endpoint("box", "ready")]))
}

/// Starts a node that watches one of these replicas, and returns it with the index of that replica. A
/// snapshot and the watch are its only polls so far.
fn start_watching_node(directory: &TempDir, replicas: &[Discovery]) -> (Node, usize) {
    let node = start_with_operator_file(directory, &operator_file(&discovery_setting(&addresses(replicas))));
    wait_for("the watch of a replica", || count_watches(replicas, 1) == 1);
    assert_eq!(count_polls(replicas), 2);
    let current = replicas.iter().position(|replica| replica.request_count() == 2);
    (node, current.expect("snapshot and watch at the same replica"))
}

fn addresses(replicas: &[Discovery]) -> Vec<SocketAddr> {
    replicas.iter().map(|replica| replica.address).collect()
}

/// Guards against applying the valid part of an invalid file: the node would run with a configuration that is
/// in no file.
#[test]
fn a_reload_of_an_invalid_file_is_logged_and_changes_nothing() {
    let (server, other) = (CacheServer::serving("a"), CacheServer::serving("b"));
    let discovery = Discovery::start(&[server.endpoint("a", "ready")]);
    let other_discovery = Discovery::start(&[other.endpoint("b", "ready")]);
    let directory = TempDir::new();
    let node = start_with_operator_file(&directory, &operator_file(&discovery_setting(&[discovery.address])));
    discovery.wait_until_applied(1);
    let polls = discovery.request_count();
    let duplicates = discovery_setting(&[other_discovery.address, other_discovery.address]);
    let invalid = [
        (duplicates, "cache-balancer.toml:7: pool[0].discovery[1]: expected each once"),
        (
            "discovery = []\n".to_owned(),
            "cache-balancer.toml:5: pool[0].discovery: expected an address and port",
        ),
        (
            format!("{}discovery_call_lines = 1\n", discovery_setting(&[other_discovery.address])),
            "pool[0].discovery_call_lines: expected discovery_lines_per_second to be set as well",
        ),
    ];
    for (number, (lines, message)) in invalid.iter().enumerate() {
        node.reconfigure(&operator_file(lines));
        assert_eq!(node.logged("configuration rejected: "), number + 1, "{lines}");
        assert_eq!(node.logged(message), 1, "{message}: {:?}", node.log.lock().unwrap());
    }
    assert_eq!((discovery.request_count(), other_discovery.request_count()), (polls, 0));
    // The open watch still reports changes.
    discovery.publish(true, &[other.endpoint("b", "ready")]);
    discovery.wait_until_applied(2);
    assert_eq!(node.read("read", 1).body, b"b");
    assert_eq!((discovery.request_count(), other_discovery.request_count()), (polls + 1, 0));
}

#[test]
fn replicas_in_another_order_change_nothing() {
    let (server, directory) = (CacheServer::serving("a"), TempDir::new());
    let replicas: [_; 2] = start_replicas(&server);
    let (node, current) = start_watching_node(&directory, &replicas);
    let mut addresses = addresses(&replicas);
    addresses.reverse();
    node.reconfigure(&operator_file(&discovery_setting(&addresses)));
    assert_eq!(node.logged("configuration read again: nothing changed"), 1);
    assert_still_watches(&node, &replicas, current);
}

#[test]
fn a_watch_continues_while_other_replicas_are_added_and_removed() {
    let (server, directory) = (CacheServer::serving("a"), TempDir::new());
    let replicas: [_; 2] = start_replicas(&server);
    let (node, current) = start_watching_node(&directory, &replicas);
    let added: [_; 3] = start_replicas(&server);
    let more = [addresses(&replicas), addresses(&added)].concat();
    node.reconfigure(&operator_file(&discovery_setting(&more)));
    node.reconfigure(&operator_file(&discovery_setting(&[replicas[current].address])));
    node.reconfigure(&operator_file(&discovery_setting(&addresses(&replicas))));
    assert_eq!(node.logged("configuration read again: pool p: list from discovery at "), 3);
    assert_eq!(count_polls(&added), 0);
    assert_still_watches(&node, &replicas, current);
}

#[test]
fn a_watch_continues_when_the_capacity_is_added_or_removed() {
    let (server, directory) = (CacheServer::serving("a"), TempDir::new());
    let replicas: [_; 2] = start_replicas(&server);
    let (node, current) = start_watching_node(&directory, &replicas);
    let without = discovery_setting(&addresses(&replicas));
    node.reconfigure(&operator_file(&format!("{without}{CAPACITY}")));
    node.reconfigure(&operator_file(&without));
    for message in
        ["discovery capacity 200 lines per second, 10 lines per call", "discovery capacity unknown"]
    {
        assert_eq!(node.logged(&format!("configuration read again: pool p: {message}")), 1, "{message}");
    }
    assert_still_watches(&node, &replicas, current);
}

/// Checks that the node's first watch is still open and reports the next change.
fn assert_still_watches(node: &Node, replicas: &[Discovery], current: usize) {
    assert_eq!((count_polls(replicas), count_watches_at(&replicas[current], 1)), (2, 1));
    let other = CacheServer::serving("other");
    replicas[current].publish(true, &[other.endpoint("other", "ready")]);
    replicas[current].wait_until_applied(2);
    assert_eq!(node.read("read", 1).body, b"other");
    assert_eq!(count_polls(replicas), 3);
}

/// Guards against snapshot requests from every node of a removed replica, which would overload the other
/// replicas.
#[test]
fn a_node_of_a_removed_replica_watches_another_one_from_its_current_version() {
    let (server, directory) = (CacheServer::serving("a"), TempDir::new());
    let replicas: [_; 3] = start_replicas(&server);
    let (node, current) = start_watching_node(&directory, &replicas);
    let rest: Vec<_> =
        addresses(&replicas).into_iter().filter(|address| *address != replicas[current].address).collect();
    node.reconfigure(&operator_file(&discovery_setting(&rest)));
    wait_for("the watch of another replica", || count_watches(&replicas, 1) == 2);
    // The removed replica is not polled any more, and no second snapshot is requested.
    assert_eq!((replicas[current].request_count(), count_snapshots(&replicas)), (2, 1));
    assert_eq!(node.read("read", 1).body, b"a");
}

#[test]
fn a_snapshot_is_requested_if_no_replica_remains() {
    let ((server, other), directory) =
        ((CacheServer::serving("a"), CacheServer::serving("b")), TempDir::new());
    let replicas: [_; 2] = start_replicas(&server);
    let (node, _) = start_watching_node(&directory, &replicas);
    let new_replicas: [_; 2] = start_replicas(&other);
    node.reconfigure(&operator_file(&discovery_setting(&addresses(&new_replicas))));
    wait_for("the watch of a new replica", || count_watches(&new_replicas, 1) == 1);
    assert_eq!((count_polls(&replicas), count_snapshots(&new_replicas)), (2, 1));
    assert_eq!(node.read("read", 1).body, b"b");
}
