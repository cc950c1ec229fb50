//! Tests that the time limits of requests keep running while the node process does not run, for example
//! during its start or for lack of processor time. The tests suspend the process with SIGSTOP.

mod common;

use common::*;
use std::thread;
use std::time::Duration;

/// How long the node stays suspended after a request was sent.
const SUSPENDED_FOR: Duration = Duration::from_millis(600);

/// Sends a request while the node is suspended, on the connection that `client` returns.
fn send_while_suspended(node: &Node, client: impl FnOnce() -> Client, request: &str) -> Client {
    node.signal("-STOP");
    let mut client = client();
    client.send(request);
    thread::sleep(SUSPENDED_FOR);
    node.signal("-CONT");
    client
}

/// Guards against a time limit that counts from the read of a request: the response would be late by the time
/// for which the request had waited unread.
#[test]
fn the_time_limit_of_the_cache_server_excludes_the_time_before_the_read() {
    let (server, gate) = CacheServer::gated("value");
    let discovery = Discovery::start(&[server.endpoint("s-1", "ready")]);
    let node = Node::start_ready(&config(discovery.address));
    let deadline_ms = 20_000;
    let mut open = node.client();
    assert_eq!(open.request("GET /healthz HTTP/1.1\r\nHost: s\r\n\r\n").status(), 200);
    // One request is on an open connection, the other on one that waits to be accepted.
    let open = send_while_suspended(&node, || open, &read_request("read", 1, deadline_ms));
    let fresh = send_while_suspended(&node, || node.client(), &read_request("read", 2, deadline_ms));
    wait_for("both attempts", || server.request_count() == 2);
    for request in server.received.lock().unwrap().iter() {
        let remaining_ms: u64 = request.header("req-deadline-ms").unwrap().parse().unwrap();
        assert!(
            u128::from(remaining_ms) <= u128::from(deadline_ms) - SUSPENDED_FOR.as_millis(),
            "{remaining_ms} ms"
        );
    }
    gate.open();
    for mut client in [open, fresh] {
        assert_eq!(client.receive().expect("a response").status(), 200);
    }
}

/// Guards against a request that is sent to a cache server although its client's time limit expired before it
/// was read.
#[test]
fn a_request_that_expired_before_the_read_is_answered_and_not_forwarded() {
    let server = CacheServer::serving("value");
    let discovery = Discovery::start(&[server.endpoint("s-1", "ready")]);
    let node = Node::start_ready(&config(discovery.address));
    let mut client = send_while_suspended(&node, || node.client(), &read_request("read", 1, 300));
    assert_ne!(client.receive().expect("a response").status(), 200);
    assert_eq!(server.request_count(), 0);
}
