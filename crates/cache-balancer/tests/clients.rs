//! Tests of a node's behavior towards its clients, on loopback sockets.

mod common;

use common::*;
use serde_json::json;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// The node must not interpret or change path, body and idempotency key: only client and cache server may.
#[test]
fn a_request_and_its_response_are_forwarded_unchanged() {
    let server = CacheServer::start(|_| {
        ServerBehavior::Respond(response("200 OK", "Srv-Load: queue=2\r\n", "the\r\n\r\nvalue"))
    });
    let discovery = Discovery::start(&[server.endpoint("s-1", "ready")]);
    let node = Node::start_ready(&config(discovery.address));
    let body = "v".repeat(64 << 10);
    let put = format!(
        "PUT /api/users/7f3a?x=1&y=%20z HTTP/1.1\r\nHost: s\r\nReq-Id: 9b1f03aa\r\nReq-Kind: keyed\r\n\
         Req-Deadline-Ms: 20000\r\nIdempotency-Key: k-1\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    let served = node.client().request(&put);
    assert_eq!((served.status(), &served.body[..]), (200, &b"the\r\n\r\nvalue"[..]));
    let received = server.received.lock().unwrap();
    assert_eq!(received.len(), 1);
    assert_eq!(received[0].start_line, "PUT /api/users/7f3a?x=1&y=%20z HTTP/1.1");
    assert_eq!(received[0].header("req-id"), Some("9b1f03aa"));
    assert_eq!(received[0].header("idempotency-key"), Some("k-1"));
    let left: u64 = received[0].header("req-deadline-ms").unwrap().parse().unwrap();
    assert!((1..20_000).contains(&left), "{left}");
    assert!(received[0].body == body.as_bytes());
}

/// Without a check by the node, an invalid request could crash it or reach a cache server.
#[test]
fn an_invalid_request_is_rejected_with_its_status_and_not_forwarded() {
    let server = CacheServer::serving("value");
    let discovery = Discovery::start(&[server.endpoint("s-1", "ready")]);
    let node = Node::start_ready(&config(discovery.address));
    let id = "Req-Id: 1\r\n";
    let kind = "Req-Kind: read\r\n";
    let time = "Req-Deadline-Ms: 900\r\n";
    let cases = [
        ("GET /api/1", format!("{kind}{time}"), 400),
        ("GET /api/1", format!("{id}{time}"), 400),
        ("GET /api/1", format!("{id}{kind}"), 400),
        ("GET /api/1", format!("{id}{time}Req-Kind: other\r\n"), 400),
        ("GET /api/1", format!("{id}{kind}Req-Deadline-Ms: soon\r\n"), 400),
        ("GET /api/1", format!("{id}{kind}Req-Deadline-Ms: -1\r\n"), 400),
        ("GET /api/1", format!("{id}{kind}Req-Deadline-Ms: 99999999999999999999\r\n"), 400),
        ("GET /api/1", format!("{id}{kind}{time}Req-Cost: much\r\n"), 400),
        ("GET /api/1", format!("{id}{time}Req-Kind: \u{e9}\r\n"), 400),
        ("DELETE /api/1", format!("{id}{kind}{time}"), 405),
        ("POST /healthz", String::new(), 405),
        ("GET /api/", format!("{id}{kind}{time}"), 404),
        ("GET /other", format!("{id}{kind}{time}"), 404),
        ("PUT /api/1", format!("{id}{kind}{time}Content-Length: 65537\r\n"), 413),
        ("G\u{1}T /api/1", String::new(), 400),
    ];
    for (start, headers, status) in cases {
        let text = format!("{start} HTTP/1.1\r\nHost: s\r\n{headers}\r\n");
        assert_eq!(node.client().request(&text).status(), status, "{text}");
    }
    let chunks = format!("10001\r\n{}\r\n0\r\n\r\n", "v".repeat(0x10001));
    let text = format!(
        "PUT /api/1 HTTP/1.1\r\nHost: s\r\n{id}{kind}{time}Transfer-Encoding: chunked\r\n\r\n{chunks}"
    );
    assert_eq!(node.client().request(&text).status(), 411, "a body of unstated length");
    assert_eq!(server.request_count(), 0);
    assert_eq!(node.read("read", 1).status(), 200);
}

/// If a node reported readiness without a ready cache server, it would get clients and reject all their
/// requests.
#[test]
fn a_node_is_ready_once_it_knows_a_ready_server() {
    let server = CacheServer::serving("value");
    let discovery = Discovery::start(&[server.endpoint("s-1", "draining")]);
    let node = Node::start(&config(discovery.address));
    discovery.wait_until_applied(1);
    assert_eq!(node.get("/healthz").status(), 503);
    discovery.publish(false, &[server.endpoint("s-1", "ready")]);
    wait_for("the node's readiness", || node.get("/healthz").status() == 200);

    let mut known = config(discovery.address);
    known["known"] = json!({"seq": 2, "whole": true, "hosts": [server.endpoint("s-1", "ready")]});
    let node = Node::start_ready(&known);
    assert_eq!(node.read("read", 1).status(), 200);
}

/// Clients would retry too late if a rejection were delayed until the deadline, and at a wrong time if it did
/// not say when to retry.
#[test]
fn a_rejection_is_immediate_and_has_a_retry_after() {
    let server = CacheServer::serving("value");
    let discovery = Discovery::start(&[server.endpoint("s-1", "ready")]);
    let node = Node::start_ready(&config(discovery.address));
    discovery.publish(false, &[server.endpoint("s-1", "draining")]);
    discovery.wait_until_applied(2);
    let mut client = node.client();
    // The deadline is an hour away, so a response that arrives was not delayed until it.
    let refused = client.request(&read_request("read", 1, 3_600_000));
    assert_eq!(refused.status(), 503);
    let after: f64 = refused.header("retry-after").expect("Retry-After").parse().unwrap();
    assert!(after > 0.0 && after <= 2.0, "{after}");
    assert_eq!(server.request_count(), 0);
}

/// A server that never responds must fail its request within the client's deadline, and must not affect the
/// connection or the response of the next request.
#[test]
fn a_silent_server_fails_only_its_request_and_within_the_deadline() {
    let server = CacheServer::start(|request| match request.header("req-id") {
        Some("1") => ServerBehavior::NoResponse,
        _ => ServerBehavior::Respond(response("200 OK", "", "value")),
    });
    let discovery = Discovery::start(&[server.endpoint("s-1", "ready")]);
    let node = Node::start_ready(&config(discovery.address));
    let mut client = node.client();
    let failed = client.request(&read_request("read", 1, 300));
    assert!(failed.status() >= 400, "{failed:?}");
    // The client's connection stays open, and its next response belongs to the next request.
    assert_eq!(client.request(&read_request("read", 2, 20_000)).body, b"value");
    // The attempt was cancelled, so its connection is closed.
    wait_for("the cancelled attempt's connection to close", || server.closed.load(Ordering::SeqCst) == 1);
}

/// Clients with idle connections must not shut out others when the connection table is full.
#[test]
fn idle_connections_are_evicted_when_the_table_is_full() {
    let (server, _discovery, node) = node_with_descriptor_limit(40);
    let mut clients: Vec<_> = (0..30).map(|_| node.client()).collect();
    for (i, client) in clients.iter_mut().enumerate() {
        let text = read_request("read", i as u64, 20_000);
        // The connection may have been evicted before its first use. The client then opens another.
        let mut response = client.try_request(&text);
        if response.is_none() {
            *client = node.client();
            response = client.try_request(&text);
        }
        assert_eq!(response.expect("a response").status(), 200, "client {i}");
    }
    assert_eq!(server.request_count(), 30);
}

/// An attempt that fails after its client has disconnected must not be retried: the work would be wasted.
#[test]
fn no_retry_is_made_for_a_client_that_disconnected() {
    let gate = Gate::default();
    let [one, two] = [(); 2].map(|()| CacheServer::disconnecting_first_request(&gate));
    let discovery = Discovery::start(&[one.endpoint("s-1", "ready"), two.endpoint("s-2", "ready")]);
    let node = Node::start_ready(&config(discovery.address));
    let mut client = node.client();
    client.send(&read_request("read", 1, 60_000));
    wait_for("the attempt", || one.request_count() + two.request_count() == 1);
    client.close_sending_side();
    assert_eq!(client.receive(), None);
    gate.open();
    for key in 2..12 {
        assert_eq!(node.read("read", key).status(), 200);
    }
    assert_eq!(one.request_count() + two.request_count(), 11);
}

/// Returns a read of `key` with additional header lines, and with `body` after its head.
fn read_with(key: u64, headers: &str, body: &str) -> String {
    read_request("read", key, 20_000).replace("\r\n\r\n", &format!("\r\n{headers}\r\n{body}"))
}

/// Guards against request smuggling: a request can hide in the body of another if the node and a parser
/// before it disagree on the length of that body. If the connection stayed open, the hidden request would be
/// read as the next.
#[test]
fn a_request_with_ambiguous_framing_is_rejected_and_its_connection_closed() {
    let server = CacheServer::serving("value");
    let discovery = Discovery::start(&[server.endpoint("s-1", "ready")]);
    let node = Node::start_ready(&config(discovery.address));
    let hidden = read_request("read", 99, 20_000);
    let length = format!("Content-Length: {}\r\n", hidden.len() + 5);
    let cases = [
        read_with(1, &format!("{length}Transfer-Encoding: chunked\r\n"), &format!("0\r\n\r\n{hidden}")),
        read_with(2, &format!("Transfer-Encoding: chunked\r\n{length}"), &format!("0\r\n\r\n{hidden}")),
        read_with(3, "Transfer-Encoding: chunked\r\n", "1\r\nv\r\n0\r\n\r\n"),
        read_with(4, "Content-Length: 1\r\nContent-Length: 2\r\n", "vv"),
        read_with(5, "Content-Length: -1\r\n", ""),
        read_with(6, "Content-Length: +1\r\n", "v"),
        read_with(7, "Content-Length: 99999999999999999999\r\n", "v"),
        read_with(8, "Content-Length: 60000000\r\n", "v"),
        read_with(9, "Req-Id: 10\r\n", ""),
        read_with(10, "Req-Deadline-Ms: 1\r\n", ""),
        read_with(11, "", "").replace("Req-Kind: read", "Req-Kind: none"),
    ];
    for text in cases {
        let mut client = node.client();
        let response = client.request(&text);
        assert!((400..500).contains(&response.status()), "{} to {text}", response.status());
        assert_eq!(client.receive(), None, "still open after {text}");
    }
    assert_eq!(server.request_count(), 0);
}

/// A cache server treats a second request with the same id as a copy of the first and sends the same response
/// to both. The node must therefore not forward two requests with one id at the same time.
#[test]
fn an_id_in_flight_is_rejected_and_can_be_used_again_afterwards() {
    let (server, gate) = CacheServer::gated("value");
    let discovery = Discovery::start(&[server.endpoint("s-1", "ready")]);
    let node = Node::start_ready(&config(discovery.address));
    let mut first = node.client();
    first.send(&read_request("read", 1, 20_000));
    wait_for("the attempt", || server.request_count() == 1);
    let response = node.read("read", 1);
    assert!((400..500).contains(&response.status()), "{}", response.status());
    gate.open();
    assert_eq!(first.receive().expect("a response").status(), 200);
    assert_eq!(node.read("read", 1).status(), 200);
    assert_eq!(server.request_count(), 2);
}

/// Clients that send nothing, half a head or half a body could otherwise hold a connection indefinitely.
#[test]
fn an_incomplete_request_times_out() {
    let server = CacheServer::serving("value");
    let discovery = Discovery::start(&[server.endpoint("s-1", "ready")]);
    let node = Node::start_ready(&config(discovery.address));
    let start = Instant::now();
    let texts = ["", "GET /api/1 HTTP/1.1\r\nHost:", &read_with(1, "Content-Length: 10\r\n", "half")];
    let mut clients: Vec<_> = texts.iter().map(|_| node.client()).collect();
    for (client, text) in clients.iter_mut().zip(texts) {
        client.send(text);
    }
    for (client, text) in clients.iter_mut().zip(texts) {
        assert_eq!(client.receive(), None, "{text}");
    }
    // A wide margin over the limit of 2 s, and well under the minute after which a receive times out.
    assert!(start.elapsed() < TIMEOUT / 2, "{:?}", start.elapsed());
    assert_eq!(server.request_count(), 0);
}

/// A flood of connections that send nothing fills the connection table. Ordinary clients must keep their
/// connections, and a new client must be accepted and not be evicted before its first request.
#[test]
fn silent_connections_are_evicted_before_those_of_ordinary_clients() {
    let (server, _discovery, node) = node_with_descriptor_limit(40);
    let mut ordinary = node.client();
    assert_eq!(ordinary.request(&read_request("read", 1, 20_000)).status(), 200);
    let _flood: Vec<_> = (0..24).map(|_| node.client()).collect();
    let mut new = node.client();
    assert_eq!(new.request(&read_request("read", 2, 20_000)).status(), 200);
    assert_eq!(ordinary.request(&read_request("read", 3, 20_000)).status(), 200);
    assert_eq!(server.request_count(), 3);
}

/// The number of connections without a request that may be open under a limit of 96 descriptors: half of the 32
/// that clients can hold.
const MAX_IDLE_CONNECTIONS: usize = 16;
/// The time from which an idle connection may be closed in favour of another.
const EVICT_IDLE_AFTER: Duration = Duration::from_secs(2);

/// Connects clients one after the other. Each sends one request, which must be served, and keeps its
/// connection until the node closes it. Returns the largest number of connections that were open at once.
///
/// A connection that is closed in favour of another one counts as closed: its close arrives a moment after
/// the response to the other.
fn max_open_connections(node: &Node, clients: u64) -> usize {
    let (mut open, mut max_open) = (Vec::<(Instant, Client)>::new(), 0);
    for key in 0..clients {
        let (opened_at, mut client) = (Instant::now(), node.client());
        let response = client.request(&read_request("read", key, 20_000));
        assert_eq!(response.status(), 200, "client {key}");
        if response.header("connection") != Some("close") {
            open.push((opened_at, client));
        }
        open.retain(|(_, client)| client.is_open());
        if open.len() == MAX_IDLE_CONNECTIONS + 1 && open[0].0.elapsed() >= EVICT_IDLE_AFTER {
            wait_for("the close of the longest-idle connection", || !open[0].1.is_open());
            open.remove(0);
        }
        max_open = max_open.max(open.len());
    }
    max_open
}

/// The platform gives clients a third of a node's descriptors. Clients that send one request and never close
/// their connections could use up all of these and shut out the next client.
#[test]
fn connections_that_clients_never_close_do_not_shut_out_new_clients() {
    let (server, _discovery, node) = node_with_descriptor_limit(96);
    let max_open = max_open_connections(&node, 200);
    assert!(
        (8..=MAX_IDLE_CONNECTIONS).contains(&max_open),
        "{max_open} of 32 connections held by clients that do not use them"
    );
    assert_eq!(server.request_count(), 200);
}

/// Same as above, while a flood of connections that send nothing fills the rest of the connection table.
#[test]
fn unclosed_and_silent_connections_together_do_not_shut_out_new_clients() {
    let (server, _discovery, node) = node_with_descriptor_limit(96);
    let _flood: Vec<_> = (0..100).map(|_| node.client()).collect();
    let max_open = max_open_connections(&node, 100);
    assert!(
        max_open <= MAX_IDLE_CONNECTIONS,
        "{max_open} of 32 connections held by clients that do not use them"
    );
    assert_eq!(server.request_count(), 100);
}

/// While there are few connections, clients must not have to reconnect.
#[test]
fn an_active_client_keeps_its_connection() {
    let (server, _discovery, node) = node_with_descriptor_limit(96);
    let mut clients: Vec<_> = (0..8).map(|_| node.client()).collect();
    for round in 0..20 {
        for (i, client) in clients.iter_mut().enumerate() {
            let response = client.request(&read_request("read", round * 8 + i as u64, 20_000));
            assert_eq!((response.status(), response.header("connection")), (200, None));
        }
    }
    assert_eq!(server.request_count(), 160);
}

/// A pipelined request counts as accepted. It would be lost if the previous response closed the connection.
#[test]
fn a_pipelined_request_is_served_before_its_connection_closes() {
    let (server, _discovery, node) = node_with_descriptor_limit(40);
    let mut idle: Vec<_> = (0..4).map(|_| node.client()).collect();
    for (key, client) in idle.iter_mut().enumerate() {
        assert_eq!(client.request(&read_request("read", key as u64, 20_000)).header("connection"), None);
    }
    let mut client = node.client();
    client
        .send(&(write_request(10, 20_000) + &read_request("read", 11, 20_000) + &write_request(12, 20_000)));
    let responses: Vec<_> = (0..3).map(|_| client.receive().expect("a response")).collect();
    assert_eq!(responses.iter().map(Message::status).collect::<Vec<_>>(), [200; 3]);
    let closes: Vec<_> = responses.iter().map(|response| response.header("connection")).collect();
    assert_eq!(closes, [None, None, Some("close")]);
    assert_eq!(client.receive(), None);
    assert_eq!(server.request_count(), 7);
}

/// A connection that is closed with half a body unread is reset, and the reset can overtake the response.
#[test]
fn a_client_that_is_still_sending_at_its_response_is_not_reset() {
    let (server, _discovery, node) = node_with_descriptor_limit(96);
    let mut client = node.client();
    let length = 128 << 10;
    client.send(&read_with(1, &format!("Content-Length: {length}\r\n"), "").replace("GET", "PUT"));
    assert_eq!(client.receive().expect("a response").status(), 413);
    assert_eq!(client.receive(), None);
    for _ in 0..16 {
        client.send(&"v".repeat(length / 16));
        // Long enough for a reset to arrive, and far shorter than the time for which a connection lingers.
        std::thread::sleep(Duration::from_millis(2));
    }
    assert_eq!(server.request_count(), 0);
}

/// Guards against shutting out later clients: connections that are never used again took up the limit of idle
/// connections, and the node closed the newer ones.
#[test]
fn the_longest_idle_connection_is_closed_in_favour_of_one_just_used() {
    let (_server, _discovery, node) = node_with_descriptor_limit(42);
    // Clients can hold nine connections, of which four may be idle, with or without one request in flight.
    let mut keys = 0..;
    let mut request_keeps_open = |client: &mut Client| {
        let response = client.request(&read_request("read", keys.next().unwrap(), 20_000));
        response.header("connection") != Some("close")
    };
    let mut idle: Vec<_> = (0..4).map(|_| node.client()).collect();
    assert!(idle.iter_mut().all(&mut request_keeps_open));
    // The node closes every further connection until the first of these has been idle for long enough.
    wait_for("a connection that is kept open", || request_keeps_open(&mut node.client()));
    assert_eq!(idle[0].receive(), None);
    assert!(idle[1..].iter().all(Client::is_open), "more than one connection was closed");
}
