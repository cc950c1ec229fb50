//! Clients that disconnect, on sockets: no attempt starts for one that has, however the node learns of it and
//! wherever its request is just then.

mod common;
mod unreachable;

use common::*;
use socket2::SockRef;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;
use unreachable::Unreachable;

/// Disconnects a client, and waits until the node has seen it.
fn disconnect(mut client: Client) {
    client.close_sending_side();
    // The node closes its side once it has seen the client's end.
    assert_eq!(client.receive(), None);
}

/// The first head that comes on this connection, or what comes before the node closes it.
fn first_head(stream: &mut TcpStream) -> String {
    let mut read = Vec::new();
    let mut byte = [0];
    while !read.ends_with(b"\r\n\r\n") && stream.read(&mut byte).unwrap() > 0 {
        read.push(byte[0]);
    }
    String::from_utf8(read).unwrap()
}

/// An attempt set out in time and started when its connection came up, long after its client had
/// disconnected.
#[test]
fn no_attempt_starts_for_a_client_that_left_while_it_was_connecting() {
    let server = Unreachable::start();
    let discovery = Discovery::start(&[endpoint("s-1", server.address, "ready")]);
    let node = Node::start_ready(&config(discovery.address));
    let mut client = node.client();
    client.send(&read_request("read", 1, 60_000));
    wait_for("the attempt's connection", || server.connecting_count() == 1);
    disconnect(client);
    let mut connection = server.accept_first();
    let mut next = node.client();
    next.send(&read_request("read", 2, 60_000));
    // The connection that was made for the client that left carries the next one's request.
    assert!(first_head(&mut connection).contains("req-id: 2\r\n"));
}

/// The same with a retry: the first attempt breaks, and its client disconnects while the retry's connection
/// is made.
#[test]
fn no_retry_starts_for_a_client_that_left_while_it_was_connecting() {
    let unreachable = Unreachable::start();
    let broken = CacheServer::start(|_| ServerBehavior::RespondAndClose(String::new()));
    let discovery =
        Discovery::start(&[broken.entry("s-1", "ready"), endpoint("s-2", unreachable.address, "ready")]);
    let node = Node::start_ready(&config(discovery.address));
    // Keys whose own server is the unreachable one get there at once: their clients leave too, and so does
    // that of the first key that comes by way of the broken one.
    for key in 1.. {
        let mut client = node.client();
        client.send(&read_request("read", key, 60_000));
        wait_for("the attempt's connection", || unreachable.connecting_count() as u64 == key);
        disconnect(client);
        if broken.request_count() > 0 {
            break;
        }
    }
    let mut connection = unreachable.accept_first();
    let mut next = node.client();
    next.send(&read_request("read", 0xffff, 60_000));
    let head = first_head(&mut connection);
    assert!(head.is_empty() || head.contains("req-id: ffff\r\n"), "{head}");
}

/// A client was not seen to disconnect because of what it had pipelined: bytes of a next request, many
/// requests, or more than the node keeps. The end of its stream stood behind unread bytes.
#[test]
fn a_disconnection_is_seen_behind_whatever_was_pipelined() {
    let (server, gate) = CacheServer::gated("value");
    let discovery = Discovery::start(&[server.entry("s-1", "ready")]);
    let node = Node::start_ready(&config(discovery.address));
    let next = |count: u64| (0..count).map(|key| read_request("read", 100 + key, 60_000)).collect::<String>();
    let ahead = ["G".to_owned(), next(1), next(1) + "GET /a", next(30), next(2_000)];
    for (key, ahead) in (1..).zip(&ahead) {
        let mut client = node.client();
        client.send(&read_request("read", key, 60_000));
        wait_for("the attempt", || server.request_count() == key as usize);
        client.send(ahead);
        disconnect(client);
    }
    gate.open();
    // Nothing of what they pipelined has been forwarded: the next request is the next one there.
    assert_eq!(node.read("read", 0xffff).status(), 200);
    let received = server.received.lock().unwrap();
    let ids: Vec<_> = received.iter().map(|message| message.header("req-id").unwrap().to_owned()).collect();
    assert_eq!(ids, ["1", "2", "3", "4", "5", "ffff"]);
}

/// A client had the node read without end while its request was in flight.
#[test]
fn a_client_that_pipelines_without_end_is_closed_before_its_response() {
    let (server, gate) = CacheServer::gated("value");
    let discovery = Discovery::start(&[server.entry("s-1", "ready")]);
    let node = Node::start_ready(&config(discovery.address));
    let mut client = node.client();
    client.send(&read_request("read", 1, 60_000));
    wait_for("the attempt", || server.request_count() == 1);
    let next = read_request("read", 2, 60_000).repeat(1_000);
    // Far more than the systems at both ends hold.
    let closed = (0..1_000).any(|_| client.0.get_mut().write_all(next.as_bytes()).is_err());
    assert!(closed, "the node goes on reading");
    gate.open();
    assert_eq!(node.read("read", 3).status(), 200);
    assert_eq!(server.request_count(), 2);
}

/// Half a body is no request: forwarded, it would write half a value.
#[test]
fn a_client_that_leaves_within_a_body_has_no_request_forwarded() {
    let server = CacheServer::serving("value");
    let discovery = Discovery::start(&[server.entry("s-1", "ready")]);
    let node = Node::start_ready(&config(discovery.address));
    let mut client = node.client();
    client.send(&write_request(1, 60_000).replace("Content-Length: 3\r\n", "Content-Length: 30\r\n"));
    client.close_sending_side();
    assert_eq!(client.receive().map(|answer| answer.status()), Some(400));
    assert_eq!(client.receive(), None);
    assert_eq!(node.read("read", 2).status(), 200);
    assert_eq!(server.request_count(), 1);
}

/// A reset is a disconnection too. It comes before the attempt breaks, which would be retried otherwise.
#[test]
fn no_attempt_is_made_for_a_client_that_reset_its_connection() {
    let gate = Gate::default();
    let [one, two] = [(); 2].map(|()| CacheServer::disconnecting_first_request(&gate));
    let discovery = Discovery::start(&[one.entry("s-1", "ready"), two.entry("s-2", "ready")]);
    let node = Node::start_ready(&config(discovery.address));
    let stream = TcpStream::connect(node.address).unwrap();
    SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
    let mut client = Client::from(stream);
    client.send(&read_request("read", 1, 60_000));
    wait_for("the attempt", || one.request_count() + two.request_count() == 1);
    drop(client);
    gate.open();
    for key in 2..12 {
        assert_eq!(node.read("read", key).status(), 200);
    }
    assert_eq!(one.request_count() + two.request_count(), 11);
}

/// A client connected, sent its request and disconnected before the node accepted it. Its request was
/// forwarded all the same.
#[test]
fn a_client_that_left_before_it_was_accepted_has_nothing_forwarded() {
    let (server, gate) = CacheServer::gated("value");
    let discovery = Discovery::start(&[server.entry("s-1", "ready")]);
    let mut small = config(discovery.address);
    small["limits"]["sockets"] = serde_json::json!(40);
    let node = Node::start_ready(&small);
    // Eight connections are accepted.
    let mut holding: Vec<_> = (1..=8).map(|_| node.client()).collect();
    for (key, client) in (1..).zip(&mut holding) {
        client.send(&read_request("read", key, 60_000));
    }
    wait_for("an attempt for every connection", || server.request_count() == 8);
    for key in 100..103 {
        let mut unaccepted = node.client();
        unaccepted.send(&read_request("read", key, 60_000));
    }
    gate.open();
    for client in &mut holding {
        assert_eq!(client.receive().expect("a response").status(), 200);
    }
    drop(holding);
    // The others were before it in the system's queue.
    assert_eq!(node.read("read", 200).status(), 200);
    assert_eq!(server.request_count(), 9);
}
