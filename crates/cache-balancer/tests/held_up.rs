//! A node that is held up, as one is that starts or has no processor time: its clients' time runs on.

mod common;

use common::*;
use std::thread;
use std::time::Duration;

/// How long the node is held up after a request was sent.
const HELD_UP: Duration = Duration::from_millis(600);

/// Sends a request while the node is held up, on the connection that `client` gives.
fn send_while_held_up(node: &Node, client: impl FnOnce() -> Client, request: &str) -> Client {
    node.signal("-STOP");
    let mut client = client();
    client.send(request);
    thread::sleep(HELD_UP);
    node.signal("-CONT");
    client
}

/// The time limit of a request counted from its read: one that had waited before was answered late by the wait.
#[test]
fn the_time_that_a_request_has_waited_unread_is_not_given_to_the_cache_server() {
    let (server, gate) = CacheServer::gated("value");
    let discovery = Discovery::start(&[server.entry("s-1", "ready")]);
    let node = Node::start_ready(&config(discovery.address));
    let deadline_ms = 20_000;
    let mut used = node.client();
    assert_eq!(used.request("GET /healthz HTTP/1.1\r\nHost: s\r\n\r\n").status(), 200);
    // On an open connection, and on one that waits to be accepted.
    let used = send_while_held_up(&node, || used, &read_request("read", 1, deadline_ms));
    let fresh = send_while_held_up(&node, || node.client(), &read_request("read", 2, deadline_ms));
    wait_for("both attempts", || server.request_count() == 2);
    for request in server.received.lock().unwrap().iter() {
        let told_ms: u64 = request.header("req-deadline-ms").unwrap().parse().unwrap();
        assert!(u128::from(told_ms) <= u128::from(deadline_ms) - HELD_UP.as_millis(), "{told_ms} ms");
    }
    gate.open();
    for mut client in [used, fresh] {
        assert_eq!(client.receive().expect("its answer").status(), 200);
    }
}

/// A request that waited longer than its client was sent to a cache server all the same, for nobody.
#[test]
fn a_request_whose_time_ran_out_unread_is_answered_and_not_forwarded() {
    let server = CacheServer::serving("value");
    let discovery = Discovery::start(&[server.entry("s-1", "ready")]);
    let node = Node::start_ready(&config(discovery.address));
    let mut client = send_while_held_up(&node, || node.client(), &read_request("read", 1, 300));
    assert_ne!(client.receive().expect("its answer").status(), 200);
    assert_eq!(server.request_count(), 0);
}
