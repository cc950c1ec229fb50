//! The shutdown of a node, with requests and signals between its steps. Every accepted request gets its one answer, and no
//! later one is forwarded.

mod common;
mod unreachable;

use common::*;
use serde_json::json;
use std::io::Write;
use std::net::{TcpListener, TcpStream};

const CLOSING: &str = "no further clients are accepted";

/// A request in two parts, the second of this many bytes.
fn halves(key: u64, before_the_end: usize) -> (String, String) {
    let whole = read_request("read", key, 60_000);
    let (first, second) = whole.split_at(whole.len() - before_the_end);
    (first.to_owned(), second.to_owned())
}

/// A request of which the first half was read when the node closed could be dropped.
#[test]
fn a_request_half_read_when_the_node_closes_is_answered() {
    let server = CacheServer::serving("value");
    let discovery = Discovery::start(&[server.entry("s-1", "ready")]);
    let node = Node::start_ready(&config(discovery.address));
    let (mut used, mut fresh) = (node.client(), node.client());
    assert_eq!(used.request(&read_request("read", 1, 20_000)).status(), 200);
    let parts = [halves(2, 30), halves(3, 2)];
    used.send(&parts[0].0);
    fresh.send(&parts[1].0);
    node.terminate();
    wait_for("the end of accepting", || node.logged(CLOSING) == 1);
    used.send(&parts[0].1);
    fresh.send(&parts[1].1);
    for client in [&mut used, &mut fresh] {
        let answer = client.receive().expect("the answer to an accepted request");
        assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
        assert_eq!(client.receive(), None);
    }
    assert!(node.exit_status().success());
    assert_eq!(server.request_count(), 3);
}

/// Half a request whose rest never comes could keep the node from its exit.
#[test]
fn half_a_request_does_not_delay_the_exit() {
    let server = CacheServer::serving("value");
    let discovery = Discovery::start(&[server.entry("s-1", "ready")]);
    let node = Node::start_ready(&config(discovery.address));
    let mut half = node.client();
    half.send(&halves(1, 30).0);
    node.terminate();
    assert!(node.exit_status().success());
    assert_eq!(server.request_count(), 0);
}

/// A request read after the node closed its side could be forwarded, though its client has retried elsewhere by then.
#[test]
fn a_request_after_the_close_is_not_forwarded() {
    let (server, gate) = CacheServer::gated("value");
    let discovery = Discovery::start(&[server.entry("s-1", "ready")]);
    let node = Node::start_ready(&config(discovery.address));
    // Keeps the node running meanwhile.
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
    assert_eq!(waiting.receive().expect("its answer").status(), 200);
    assert!(node.exit_status().success());
    assert_eq!(server.request_count(), 1);
}

/// A second termination signal, or one during a reload, could end the node with requests in flight.
#[test]
fn two_termination_signals_and_a_reload_between_finish_the_requests() {
    let (server, gate) = CacheServer::gated("value");
    let discovery = Discovery::start(&[server.entry("s-1", "ready")]);
    let good = config(discovery.address);
    let node = Node::start_ready(&good);
    let mut waiting = node.client();
    waiting.send(&read_request("read", 1, 60_000));
    wait_for("the attempt", || server.request_count() == 1);
    for signal in ["-HUP", "-TERM", "-HUP", "-TERM"] {
        node.signal(signal);
    }
    wait_for("the end of accepting", || node.logged(CLOSING) == 1);
    node.signal("-TERM");
    gate.open();
    let answer = waiting.receive().expect("the answer to an accepted request");
    assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
    assert!(node.exit_status().success());
    assert_eq!(server.request_count(), 1);
}

/// A node without a list, whose discovery does not answer, could ignore a termination signal.
#[test]
fn a_node_without_a_server_exits_with_success() {
    let silent = TcpListener::bind("127.0.0.1:0").unwrap();
    let node = Node::start(&config(silent.local_addr().unwrap()));
    let (_call, _) = silent.accept().unwrap();
    assert_eq!(node.get("/healthz").status(), 503);
    node.terminate();
    assert!(node.exit_status().success());
}

/// An answer could be lost with the process: the system still holds most of it when the node has written it.
#[test]
fn a_long_answer_read_slowly_arrives_complete_though_the_node_exits() {
    let body = "v".repeat(60 << 10);
    let text = response("200 OK", "", &body);
    let server = CacheServer::start(move |_| ServerBehavior::Respond(text.clone()));
    let discovery = Discovery::start(&[server.entry("s-1", "ready")]);
    let node = Node::start_ready(&config(discovery.address));
    // A small buffer, so that little of it is on its way.
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(1).unwrap();
    socket.connect(&node.address.into()).unwrap();
    let mut client = Client::from(TcpStream::from(socket));
    client.send(&read_request("read", 1, 60_000));
    wait_for("the attempt", || server.request_count() == 1);
    node.terminate();
    wait_for("the end of accepting", || node.logged(CLOSING) == 1);
    let answer = client.receive().expect("the answer to an accepted request");
    assert_eq!((answer.status(), answer.body.len()), (200, body.len()));
    assert!(node.exit_status().success());
}

/// A node that stops could go on with an attempt whose server drains just then, or whose client disconnects.
#[test]
fn a_stopping_node_still_obeys_drains_and_disconnects() {
    let late = unreachable::Unreachable::start();
    let other = CacheServer::serving("value");
    let discovery = Discovery::start(&[endpoint("s-1", late.address, "ready")]);
    let mut config = config(discovery.address);
    config["settings"]["limits"]["connect_timeout_us"] = json!(20_000_000);
    let node = Node::start_ready(&config);
    let (mut drained, mut left) = (node.client(), node.client());
    drained.send(&read_request("read", 1, 60_000));
    wait_for("the first connection", || late.connecting_count() == 1);
    left.send(&read_request("read", 2, 60_000));
    wait_for("the second connection", || late.connecting_count() == 2);
    node.terminate();
    wait_for("the end of accepting", || node.logged(CLOSING) == 1);
    left.close_sending_side();
    assert_eq!(left.receive(), None);
    discovery.notify(false, &[endpoint("s-1", late.address, "draining"), other.entry("s-2", "ready")]);
    discovery.wait_until_notified(2);
    late.serve("unexpected");
    let answer = drained.receive().expect("the answer to an accepted request");
    assert_eq!((answer.status(), &answer.body[..]), (200, &b"value"[..]));
    assert!(node.exit_status().success());
    assert_eq!(other.request_count(), 1);
}
