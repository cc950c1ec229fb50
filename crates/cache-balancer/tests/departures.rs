//! Clients that leave, on sockets: no attempt begins for one that has gone, however the node hears of it and wherever the
//! request is just then.

mod common;
mod unreachable;

use common::*;
use socket2::SockRef;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;
use unreachable::Unreachable;

fn gone(mut client: Client) {
    client.leave();
    // The node has seen it once it closes its side.
    assert_eq!(client.answer(), None);
}

/// What comes on this connection before the node closes it, or by the first whole head.
fn first_head(stream: &mut TcpStream) -> String {
    let mut read = Vec::new();
    let mut byte = [0];
    while !read.ends_with(b"\r\n\r\n") && stream.read(&mut byte).unwrap() > 0 {
        read.push(byte[0]);
    }
    String::from_utf8(read).unwrap()
}

// Guards against an attempt that sets out in time and begins when its connection comes up, long after its client left.
#[test]
fn no_attempt_begins_for_a_client_that_left_while_the_connection_was_made() {
    let server = Unreachable::start();
    let discovery = Discovery::start(&[host("s-1", server.address, "ready")]);
    let node = Node::ready(&config(discovery.address));
    let mut client = node.client();
    client.send(&read("read", 1, 60_000));
    wait_for("the attempt's connection", || server.connecting() == 1);
    gone(client);
    let mut connection = server.admit();
    let mut next = node.client();
    next.send(&read("read", 2, 60_000));
    // The connection that was made for the one who left carries the next one's request.
    assert!(first_head(&mut connection).contains("req-id: 2\r\n"));
}

// The same with a further attempt: the first one breaks, and its client leaves while the second's connection is made.
#[test]
fn no_further_attempt_begins_for_a_client_that_left_while_its_connection_was_made() {
    let unreachable = Unreachable::start();
    let broken = CacheServer::start(|_| Does::Close(String::new()));
    let discovery =
        Discovery::start(&[broken.entry("s-1", "ready"), host("s-2", unreachable.address, "ready")]);
    let node = Node::ready(&config(discovery.address));
    // Keys whose own server is the other one get there at once: they leave too, and so does the first that comes by way of
    // the broken one.
    for key in 1.. {
        let mut client = node.client();
        client.send(&read("read", key, 60_000));
        wait_for("the attempt's connection", || unreachable.connecting() as u64 == key);
        gone(client);
        if broken.count() > 0 {
            break;
        }
    }
    let mut connection = unreachable.admit();
    let mut next = node.client();
    next.send(&read("read", 0xffff, 60_000));
    let head = first_head(&mut connection);
    assert!(head.is_empty() || head.contains("req-id: ffff\r\n"), "{head}");
}

// Guards against a client that is not seen to go because of what it sent ahead: bytes of a next request, many of these, or
// more than the node reads ahead.
#[test]
fn a_client_is_seen_to_go_behind_whatever_it_has_sent_ahead() {
    let (server, gate) = CacheServer::gated("value");
    let discovery = Discovery::start(&[server.entry("s-1", "ready")]);
    let node = Node::ready(&config(discovery.address));
    let next = |count: u64| (0..count).map(|key| read("read", 100 + key, 60_000)).collect::<String>();
    let ahead = ["G".to_owned(), next(1), next(1) + "GET /a", next(30), next(2_000)];
    for (key, ahead) in (1..).zip(&ahead) {
        let mut client = node.client();
        client.send(&read("read", key, 60_000));
        wait_for("the attempt", || server.count() == key as usize);
        client.send(ahead);
        gone(client);
    }
    gate.open();
    // Nothing of what they sent ahead has been sent on: the next request is the next one there.
    assert_eq!(node.read("read", 0xffff).status(), 200);
    let asked = server.asked.lock().unwrap();
    let ids: Vec<_> = asked.iter().map(|message| message.header("req-id").unwrap().to_owned()).collect();
    assert_eq!(ids, ["1", "2", "3", "4", "5", "ffff"]);
}

// Guards against a client that has the node read without end while its request is under way.
#[test]
fn a_client_that_sends_ahead_without_end_is_closed_before_its_answer() {
    let (server, gate) = CacheServer::gated("value");
    let discovery = Discovery::start(&[server.entry("s-1", "ready")]);
    let node = Node::ready(&config(discovery.address));
    let mut client = node.client();
    client.send(&read("read", 1, 60_000));
    wait_for("the attempt", || server.count() == 1);
    let next = read("read", 2, 60_000).repeat(1_000);
    // Far more than the systems at both ends hold.
    let closed = (0..1_000).any(|_| client.0.get_mut().write_all(next.as_bytes()).is_err());
    assert!(closed, "the node goes on reading");
    gate.open();
    assert_eq!(node.read("read", 3).status(), 200);
    assert_eq!(server.count(), 2);
}

// A body that breaks off is no request.
#[test]
fn a_client_that_leaves_within_a_body_has_asked_nothing() {
    let server = CacheServer::serving("value");
    let discovery = Discovery::start(&[server.entry("s-1", "ready")]);
    let node = Node::ready(&config(discovery.address));
    let mut client = node.client();
    let put = read("keyed", 1, 60_000)
        .replace("GET", "PUT")
        .replace("\r\n\r\n", "\r\nIdempotency-Key: k\r\nContent-Length: 30\r\n\r\nnew");
    client.send(&put);
    client.leave();
    assert_eq!(client.answer().map(|answer| answer.status()), Some(400));
    assert_eq!(client.answer(), None);
    assert_eq!(node.read("read", 2).status(), 200);
    assert_eq!(server.count(), 1);
}

// A reset is an end too. It comes before the attempt breaks that would be repeated otherwise.
#[test]
fn a_reset_is_seen_and_nothing_more_is_sent() {
    let gate = Gate::default();
    let server = || {
        let held = gate.clone();
        CacheServer::start(move |asked| {
            if asked.header("req-id") != Some("1") {
                return Does::Answer(answer("200 OK", "", "value"));
            }
            held.wait();
            Does::Close(String::new())
        })
    };
    let (one, two) = (server(), server());
    let discovery = Discovery::start(&[one.entry("s-1", "ready"), two.entry("s-2", "ready")]);
    let node = Node::ready(&config(discovery.address));
    let stream = TcpStream::connect(node.address).unwrap();
    SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
    let mut client = Client::from(stream);
    client.send(&read("read", 1, 60_000));
    wait_for("the attempt", || one.count() + two.count() == 1);
    drop(client);
    gate.open();
    for key in 2..12 {
        assert_eq!(node.read("read", key).status(), 200);
    }
    assert_eq!(one.count() + two.count(), 11);
}

// Guards against work for a client that came, asked and left before the node accepted it, or read its request.
#[test]
fn a_client_that_left_before_it_was_accepted_has_nothing_sent_on() {
    let (server, gate) = CacheServer::gated("value");
    let discovery = Discovery::start(&[server.entry("s-1", "ready")]);
    let mut small = config(discovery.address);
    small["limits"]["sockets"] = serde_json::json!(40);
    let node = Node::ready(&small);
    // Eight places.
    let mut holding: Vec<_> = (1..=8).map(|_| node.client()).collect();
    for (key, client) in (1..).zip(&mut holding) {
        client.send(&read("read", key, 60_000));
    }
    wait_for("an attempt in every place", || server.count() == 8);
    for key in 100..103 {
        let mut unaccepted = node.client();
        unaccepted.send(&read("read", key, 60_000));
    }
    gate.open();
    for client in &mut holding {
        assert_eq!(client.answer().expect("an answer").status(), 200);
    }
    drop(holding);
    // Those were before it in the machine's queue.
    assert_eq!(node.read("read", 200).status(), 200);
    assert_eq!(server.count(), 9);
}
