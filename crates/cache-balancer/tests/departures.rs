//! Tests that no attempt starts for a client that has disconnected, in each state of the request and for each
//! way in which the node detects the disconnection.

mod common;
mod unreachable;

use common::*;
use socket2::SockRef;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;
use unreachable::Unreachable;

/// Disconnects a client and waits until the node has detected it.
fn disconnect(mut client: Client) {
    client.close_sending_side();
    // The node closes its side once it has read the end of the client's stream.
    assert_eq!(client.receive(), None);
}

/// Reads the first request head on this connection, or the bytes before the node closes it.
fn read_first_head(stream: &mut TcpStream) -> String {
    let mut read = Vec::new();
    let mut byte = [0];
    while !read.ends_with(b"\r\n\r\n") && stream.read(&mut byte).unwrap() > 0 {
        read.push(byte[0]);
    }
    String::from_utf8(read).unwrap()
}

/// Guards against an attempt that started as soon as its connection was established, long after its client
/// had disconnected.
#[test]
fn no_attempt_starts_if_the_client_disconnects_while_it_is_connecting() {
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
    // The connection that was opened for the first client's attempt carries the next client's request.
    assert!(read_first_head(&mut connection).contains("req-id: 2\r\n"));
}

/// Same as above for a retry: the first attempt fails, and the client disconnects while the retry is
/// connecting.
#[test]
fn no_retry_starts_if_the_client_disconnects_while_it_is_connecting() {
    let unreachable = Unreachable::start();
    let broken = CacheServer::start(|_| ServerBehavior::RespondAndClose(String::new()));
    let discovery =
        Discovery::start(&[broken.endpoint("s-1", "ready"), endpoint("s-2", unreachable.address, "ready")]);
    let node = Node::start_ready(&config(discovery.address));
    // The first attempt for some keys goes to the unreachable server. Their clients disconnect too, up to the
    // first key whose attempt fails at the broken server and whose retry is connecting.
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
    let head = read_first_head(&mut connection);
    assert!(head.is_empty() || head.contains("req-id: ffff\r\n"), "{head}");
}

/// Guards against an undetected disconnection: the end of the stream was behind unread pipelined bytes. These
/// were a part of a next request, many requests, or more than the node keeps.
#[test]
fn a_disconnection_is_detected_behind_pipelined_bytes() {
    let (server, gate) = CacheServer::gated("value");
    let discovery = Discovery::start(&[server.endpoint("s-1", "ready")]);
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
    // None of the pipelined requests has been forwarded: the server receives this request next.
    assert_eq!(node.read("read", 0xffff).status(), 200);
    let received = server.received.lock().unwrap();
    let ids: Vec<_> = received.iter().map(|message| message.header("req-id").unwrap().to_owned()).collect();
    assert_eq!(ids, ["1", "2", "3", "4", "5", "ffff"]);
}

/// Guards against a client that made the node read indefinitely while its request was in flight.
#[test]
fn a_client_that_pipelines_too_much_is_disconnected_before_its_response() {
    let (server, gate) = CacheServer::gated("value");
    let discovery = Discovery::start(&[server.endpoint("s-1", "ready")]);
    let node = Node::start_ready(&config(discovery.address));
    let mut client = node.client();
    client.send(&read_request("read", 1, 60_000));
    wait_for("the attempt", || server.request_count() == 1);
    let next = read_request("read", 2, 60_000).repeat(1_000);
    // Far more than the socket buffers at both ends can hold.
    let closed = (0..1_000).any(|_| client.0.get_mut().write_all(next.as_bytes()).is_err());
    assert!(closed, "the node continues to read");
    gate.open();
    assert_eq!(node.read("read", 3).status(), 200);
    assert_eq!(server.request_count(), 2);
}

/// A request with half a body must not be forwarded, since it would write half a value.
#[test]
fn a_request_is_not_forwarded_if_the_client_disconnects_within_its_body() {
    let server = CacheServer::serving("value");
    let discovery = Discovery::start(&[server.endpoint("s-1", "ready")]);
    let node = Node::start_ready(&config(discovery.address));
    let mut client = node.client();
    client.send(&write_request(1, 60_000).replace("Content-Length: 3\r\n", "Content-Length: 30\r\n"));
    client.close_sending_side();
    assert_eq!(client.receive().map(|response| response.status()), Some(400));
    assert_eq!(client.receive(), None);
    assert_eq!(node.read("read", 2).status(), 200);
    assert_eq!(server.request_count(), 1);
}

/// A reset counts as a disconnection. It arrives before the attempt fails, which would otherwise be retried.
#[test]
fn no_retry_is_made_for_a_client_that_reset_its_connection() {
    let gate = Gate::default();
    let [one, two] = [(); 2].map(|()| CacheServer::disconnecting_first_request(&gate));
    let discovery = Discovery::start(&[one.endpoint("s-1", "ready"), two.endpoint("s-2", "ready")]);
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

/// Guards against the forwarding of a request whose client connected, sent it and disconnected before the
/// node accepted the connection.
#[test]
fn a_request_is_not_forwarded_if_the_client_disconnects_before_the_accept() {
    let (server, gate) = CacheServer::gated("value");
    let discovery = Discovery::start(&[server.endpoint("s-1", "ready")]);
    let mut small = config(discovery.address);
    small["limits"]["sockets"] = serde_json::json!(40);
    let node = Node::start_ready(&small);
    // The node accepts at most eight connections.
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
    // The other clients were ahead of this one in the accept queue.
    assert_eq!(node.read("read", 200).status(), 200);
    assert_eq!(server.request_count(), 9);
}
