//! Tests of the shutdown of a node, with requests and signals between its steps. Every accepted request gets
//! exactly one response, and no later request is forwarded.

mod common;
mod unreachable;

use common::*;
use serde_json::json;
use std::io::Write;
use std::net::{TcpListener, TcpStream};

/// Log line of a node that has stopped accepting connections.
const STOPPED_ACCEPTING: &str = "no further clients are accepted";

/// Returns a read request in two parts, the second of `second_len` bytes.
fn split_request(key: u64, second_len: usize) -> (String, String) {
    let whole = read_request("read", key, 60_000);
    let (first, second) = whole.split_at(whole.len() - second_len);
    (first.to_owned(), second.to_owned())
}

/// Guards against dropping a request whose first part was read when the node closed.
#[test]
fn a_request_half_read_when_the_node_closes_is_answered() {
    let server = CacheServer::serving("value");
    let discovery = Discovery::start(&[server.endpoint("s-1", "ready")]);
    let node = Node::start_ready(&config(discovery.address));
    let (mut used, mut fresh) = (node.client(), node.client());
    assert_eq!(used.request(&read_request("read", 1, 20_000)).status(), 200);
    let parts = [split_request(2, 30), split_request(3, 2)];
    used.send(&parts[0].0);
    fresh.send(&parts[1].0);
    node.terminate();
    wait_for("the end of accepting", || node.logged(STOPPED_ACCEPTING) == 1);
    used.send(&parts[0].1);
    fresh.send(&parts[1].1);
    for client in [&mut used, &mut fresh] {
        let response = client.receive().expect("the response to an accepted request");
        assert_eq!((response.status(), response.header("connection")), (200, Some("close")));
        assert_eq!(client.receive(), None);
    }
    assert!(node.exit_status().success());
    assert_eq!(server.request_count(), 3);
}

/// Guards against an exit that is delayed by a request whose rest never arrives.
#[test]
fn half_a_request_does_not_delay_the_exit() {
    let server = CacheServer::serving("value");
    let discovery = Discovery::start(&[server.endpoint("s-1", "ready")]);
    let node = Node::start_ready(&config(discovery.address));
    let mut half = node.client();
    half.send(&split_request(1, 30).0);
    node.terminate();
    assert!(node.exit_status().success());
    assert_eq!(server.request_count(), 0);
}

/// Guards against forwarding a request that is read after the node closed its side. Its client has retried at
/// another node by then.
#[test]
fn a_request_after_the_close_is_not_forwarded() {
    let (server, gate) = CacheServer::gated("value");
    let discovery = Discovery::start(&[server.endpoint("s-1", "ready")]);
    let node = Node::start_ready(&config(discovery.address));
    // This request keeps the node running meanwhile.
    let mut waiting = node.client();
    waiting.send(&read_request("read", 1, 60_000));
    wait_for("the attempt", || server.request_count() == 1);
    let mut idle = node.client();
    assert_eq!(idle.request("GET /healthz HTTP/1.1\r\nHost: s\r\n\r\n").status(), 200);
    node.terminate();
    assert_eq!(idle.receive(), None);
    // The connection may be reset by now.
    let _ = idle.0.get_mut().write_all(read_request("read", 2, 60_000).as_bytes());
    gate.open();
    assert_eq!(waiting.receive().expect("a response").status(), 200);
    assert!(node.exit_status().success());
    assert_eq!(server.request_count(), 1);
}

/// Guards against a second termination signal, or one during a reload, that ends the node with requests in
/// flight.
#[test]
fn repeated_termination_signals_and_a_reload_do_not_abort_requests() {
    let (server, gate) = CacheServer::gated("value");
    let discovery = Discovery::start(&[server.endpoint("s-1", "ready")]);
    let good = config(discovery.address);
    let node = Node::start_ready(&good);
    let mut waiting = node.client();
    waiting.send(&read_request("read", 1, 60_000));
    wait_for("the attempt", || server.request_count() == 1);
    for signal in ["-HUP", "-TERM", "-HUP", "-TERM"] {
        node.signal(signal);
    }
    wait_for("the end of accepting", || node.logged(STOPPED_ACCEPTING) == 1);
    node.signal("-TERM");
    gate.open();
    let response = waiting.receive().expect("the response to an accepted request");
    assert_eq!((response.status(), response.header("connection")), (200, Some("close")));
    assert!(node.exit_status().success());
    assert_eq!(server.request_count(), 1);
}

/// Guards against a node that ignores a termination signal while it has no list and discovery does not
/// response.
#[test]
fn a_node_without_a_server_exits_with_success() {
    let silent = TcpListener::bind("127.0.0.1:0").unwrap();
    let node = Node::start(&config(silent.local_addr().unwrap()));
    let (_poll, _) = silent.accept().unwrap();
    assert_eq!(node.get("/healthz").status(), 503);
    node.terminate();
    assert!(node.exit_status().success());
}

/// Guards against a response that is lost when the process exits: the kernel still holds most of it when the
/// node has written it.
#[test]
fn a_long_response_that_is_read_slowly_is_complete_although_the_node_exits() {
    let body = "v".repeat(60 << 10);
    let text = response("200 OK", "", &body);
    let server = CacheServer::start(move |_| ServerBehavior::Respond(text.clone()));
    let discovery = Discovery::start(&[server.endpoint("s-1", "ready")]);
    let node = Node::start_ready(&config(discovery.address));
    // A small receive buffer, so that only a little of the response is in transit.
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(1).unwrap();
    socket.connect(&node.address.into()).unwrap();
    let mut client = Client::from(TcpStream::from(socket));
    client.send(&read_request("read", 1, 60_000));
    wait_for("the attempt", || server.request_count() == 1);
    node.terminate();
    wait_for("the end of accepting", || node.logged(STOPPED_ACCEPTING) == 1);
    let response = client.receive().expect("the response to an accepted request");
    assert_eq!((response.status(), response.body.len()), (200, body.len()));
    assert!(node.exit_status().success());
}

/// Guards against a closing node that continues an attempt although its server drains or its client
/// disconnects.
#[test]
fn a_closing_node_still_handles_draining_servers_and_disconnected_clients() {
    let slow_to_connect = unreachable::Unreachable::start();
    let other = CacheServer::serving("value");
    let discovery = Discovery::start(&[endpoint("s-1", slow_to_connect.address, "ready")]);
    let mut config = config(discovery.address);
    config["settings"]["limits"]["connect_timeout_us"] = json!(20_000_000);
    let node = Node::start_ready(&config);
    let (mut rerouted, mut disconnecting) = (node.client(), node.client());
    rerouted.send(&read_request("read", 1, 60_000));
    wait_for("the first connection", || slow_to_connect.connecting_count() == 1);
    disconnecting.send(&read_request("read", 2, 60_000));
    wait_for("the second connection", || slow_to_connect.connecting_count() == 2);
    node.terminate();
    wait_for("the end of accepting", || node.logged(STOPPED_ACCEPTING) == 1);
    disconnecting.close_sending_side();
    assert_eq!(disconnecting.receive(), None);
    discovery.publish(
        false,
        &[endpoint("s-1", slow_to_connect.address, "draining"), other.endpoint("s-2", "ready")],
    );
    discovery.wait_until_applied(2);
    slow_to_connect.serve("unexpected");
    let response = rerouted.receive().expect("the response to an accepted request");
    assert_eq!((response.status(), &response.body[..]), (200, &b"value"[..]));
    assert!(node.exit_status().success());
    assert_eq!(other.request_count(), 1);
}
