//! The node's clients' side, on loopback sockets.

mod node_common;

use node_common::*;
use serde_json::json;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Condvar, Mutex};

// Guards against rewriting what only the client and the cache server may read.
#[test]
fn a_request_goes_on_unchanged_and_its_answer_comes_back_unchanged() {
    let server =
        CacheServer::start(|_| Does::Answer(answer("200 OK", "Srv-Load: queue=2\r\n", "the\r\n\r\nvalue")));
    let discovery = Discovery::start(&[server.entry("s-1", "ready")]);
    let node = Node::ready(&config(discovery.address));
    let body = "v".repeat(64 << 10);
    let put = format!(
        "PUT /api/users/7f3a?x=1&y=%20z HTTP/1.1\r\nHost: s\r\nReq-Id: 9b1f03aa\r\nReq-Kind: keyed\r\n\
         Req-Deadline-Ms: 20000\r\nIdempotency-Key: k-1\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    let served = node.client().ask(&put);
    assert_eq!((served.status(), &served.body[..]), (200, &b"the\r\n\r\nvalue"[..]));
    let asked = server.asked.lock().unwrap();
    assert_eq!(asked.len(), 1);
    assert_eq!(asked[0].start, "PUT /api/users/7f3a?x=1&y=%20z HTTP/1.1");
    assert_eq!(asked[0].header("req-id"), Some("9b1f03aa"));
    assert_eq!(asked[0].header("idempotency-key"), Some("k-1"));
    let left: u64 = asked[0].header("req-deadline-ms").unwrap().parse().unwrap();
    assert!((1..20_000).contains(&left), "{left}");
    assert!(asked[0].body == body.as_bytes());
}

// Guards against bad input that takes the node down or reaches a cache server.
#[test]
fn bad_input_is_answered_with_its_status_and_reaches_no_cache_server() {
    let server = CacheServer::serving("value");
    let discovery = Discovery::start(&[server.entry("s-1", "ready")]);
    let node = Node::ready(&config(discovery.address));
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
        assert_eq!(node.client().ask(&text).status(), status, "{text}");
    }
    let chunks = format!("10001\r\n{}\r\n0\r\n\r\n", "v".repeat(0x10001));
    let text = format!(
        "PUT /api/1 HTTP/1.1\r\nHost: s\r\n{id}{kind}{time}Transfer-Encoding: chunked\r\n\r\n{chunks}"
    );
    assert_eq!(node.client().ask(&text).status(), 411, "a body of unstated length");
    assert_eq!(server.count(), 0);
    assert_eq!(node.read("read", 1).status(), 200);
}

// Guards against taking clients before there is a server to send to.
#[test]
fn a_node_is_ready_once_it_knows_a_ready_server() {
    let server = CacheServer::serving("value");
    let discovery = Discovery::start(&[server.entry("s-1", "draining")]);
    let node = Node::start(&config(discovery.address));
    discovery.wait_until_told(1);
    assert_eq!(node.get("/healthz").status(), 503);
    discovery.tell(false, &[server.entry("s-1", "ready")]);
    wait_for("readiness", || node.get("/healthz").status() == 200);

    let mut known = config(discovery.address);
    known["known"] = json!({"seq": 2, "whole": true, "hosts": [server.entry("s-1", "ready")]});
    let node = Node::ready(&known);
    assert_eq!(node.read("read", 1).status(), 200);
}

// Guards against keeping back a request that is given up, and against no word of when to come again.
#[test]
fn a_refusal_comes_at_once_and_says_when_to_come_back() {
    let server = CacheServer::serving("value");
    let discovery = Discovery::start(&[server.entry("s-1", "ready")]);
    let node = Node::ready(&config(discovery.address));
    discovery.tell(false, &[server.entry("s-1", "draining")]);
    discovery.wait_until_told(2);
    let mut client = node.client();
    // The client would wait for an hour: an answer at all is one that was not held until its time was up.
    let refused = client.ask(&read("read", 1, 3_600_000));
    assert_eq!(refused.status(), 503);
    let after: f64 = refused.header("retry-after").expect("Retry-After").parse().unwrap();
    assert!(after > 0.0 && after <= 2.0, "{after}");
    assert_eq!(server.count(), 0);
}

// Guards against a request that is lost in the silence of its cache server, and against a second answer.
#[test]
fn a_silent_server_ends_in_one_failure_before_the_client_gives_up() {
    let server = CacheServer::start(|asked| match asked.header("req-id") {
        Some("1") => Does::Nothing,
        _ => Does::Answer(answer("200 OK", "", "value")),
    });
    let discovery = Discovery::start(&[server.entry("s-1", "ready")]);
    let node = Node::ready(&config(discovery.address));
    let mut client = node.client();
    let failed = client.ask(&read("read", 1, 300));
    assert!(failed.status() >= 400, "{failed:?}");
    // The same connection goes on, and what it answers belongs to the next request.
    assert_eq!(client.ask(&read("read", 2, 20_000)).body, b"value");
    // The attempt was given up: its connection is closed.
    wait_for("the given-up connection's end", || server.closed.load(Ordering::SeqCst) == 1);
}

// Guards against clients that hold idle connections and keep all others out of a full table.
#[test]
fn idle_connections_give_way_when_the_table_is_full() {
    let server = CacheServer::serving("value");
    let discovery = Discovery::start(&[server.entry("s-1", "ready")]);
    let mut small = config(discovery.address);
    small["limits"]["sockets"] = json!(40);
    let node = Node::ready(&small);
    let mut clients: Vec<_> = (0..30).map(|_| node.client()).collect();
    for (i, client) in clients.iter_mut().enumerate() {
        let text = read("read", i as u64, 20_000);
        // One that was closed before it was used: a client opens another and sends once more.
        let mut answered = client.try_ask(&text);
        if answered.is_none() {
            *client = node.client();
            answered = client.try_ask(&text);
        }
        assert_eq!(answered.expect("an answer").status(), 200, "client {i}");
    }
    assert_eq!(server.count(), 30);
}

// Guards against work for a client that has gone: what its attempt comes to must not be tried again.
#[test]
fn nothing_more_is_sent_for_a_client_that_left() {
    let gate = Arc::new((Mutex::new(false), Condvar::new()));
    let server = || {
        let held = gate.clone();
        CacheServer::start(move |asked| {
            if asked.header("req-id") != Some("1") {
                return Does::Answer(answer("200 OK", "", "value"));
            }
            let open = held.0.lock().unwrap();
            drop(held.1.wait_timeout_while(open, PATIENCE, |open| !*open).unwrap());
            Does::Close(String::new())
        })
    };
    let (one, two) = (server(), server());
    let discovery = Discovery::start(&[one.entry("s-1", "ready"), two.entry("s-2", "ready")]);
    let node = Node::ready(&config(discovery.address));
    let mut client = node.client();
    client.send(&read("read", 1, 60_000));
    wait_for("the attempt", || one.count() + two.count() == 1);
    client.leave();
    assert_eq!(client.answer(), None);
    *gate.0.lock().unwrap() = true;
    gate.1.notify_all();
    for key in 2..12 {
        assert_eq!(node.read("read", key).status(), 200);
    }
    assert_eq!(one.count() + two.count(), 11);
}

/// A read with these headers beside its own, and this behind its head.
fn odd(key: u64, headers: &str, rest: &str) -> String {
    read("read", key, 20_000).replace("\r\n\r\n", &format!("\r\n{headers}\r\n{rest}"))
}

// Guards against a request that hides in another's body, and against a connection that goes on after one that
// could not be read for certain.
#[test]
fn a_request_of_doubtful_framing_is_turned_away_and_its_connection_closed() {
    let server = CacheServer::serving("value");
    let discovery = Discovery::start(&[server.entry("s-1", "ready")]);
    let node = Node::ready(&config(discovery.address));
    let hidden = read("read", 99, 20_000);
    let length = format!("Content-Length: {}\r\n", hidden.len() + 5);
    let cases = [
        odd(1, &format!("{length}Transfer-Encoding: chunked\r\n"), &format!("0\r\n\r\n{hidden}")),
        odd(2, &format!("Transfer-Encoding: chunked\r\n{length}"), &format!("0\r\n\r\n{hidden}")),
        odd(3, "Transfer-Encoding: chunked\r\n", "1\r\nv\r\n0\r\n\r\n"),
        odd(4, "Content-Length: 1\r\nContent-Length: 2\r\n", "vv"),
        odd(5, "Content-Length: -1\r\n", ""),
        odd(6, "Content-Length: +1\r\n", "v"),
        odd(7, "Content-Length: 99999999999999999999\r\n", "v"),
        odd(8, "Content-Length: 60000000\r\n", "v"),
        odd(9, "Req-Id: 10\r\n", ""),
        odd(10, "Req-Deadline-Ms: 1\r\n", ""),
        odd(11, "", "").replace("Req-Kind: read", "Req-Kind: none"),
    ];
    for text in cases {
        let mut client = node.client();
        let answered = client.ask(&text);
        assert!((400..500).contains(&answered.status()), "{} to {text}", answered.status());
        assert_eq!(client.answer(), None, "still open after {text}");
    }
    assert_eq!(server.count(), 0);
}

// Guards against a second copy of a request that another client asks for under the same id.
#[test]
fn an_id_that_is_open_already_is_turned_away_and_free_again_afterwards() {
    let gate = Arc::new((Mutex::new(false), Condvar::new()));
    let held = gate.clone();
    let server = CacheServer::start(move |_| {
        let open = held.0.lock().unwrap();
        drop(held.1.wait_timeout_while(open, PATIENCE, |open| !*open).unwrap());
        Does::Answer(answer("200 OK", "", "value"))
    });
    let discovery = Discovery::start(&[server.entry("s-1", "ready")]);
    let node = Node::ready(&config(discovery.address));
    let mut first = node.client();
    first.send(&read("read", 1, 20_000));
    wait_for("the attempt", || server.count() == 1);
    let answered = node.read("read", 1);
    assert!((400..500).contains(&answered.status()), "{}", answered.status());
    *gate.0.lock().unwrap() = true;
    gate.1.notify_all();
    assert_eq!(first.answer().expect("an answer").status(), 200);
    assert_eq!(node.read("read", 1).status(), 200);
    assert_eq!(server.count(), 2);
}

// Guards against clients that keep a place in the table with nothing, half a head or half a body.
#[test]
fn what_does_not_come_whole_is_closed_within_its_time() {
    let server = CacheServer::serving("value");
    let discovery = Discovery::start(&[server.entry("s-1", "ready")]);
    let node = Node::ready(&config(discovery.address));
    let start = std::time::Instant::now();
    let texts = ["", "GET /api/1 HTTP/1.1\r\nHost:", &odd(1, "Content-Length: 10\r\n", "half")];
    let mut clients: Vec<_> = texts.iter().map(|_| node.client()).collect();
    for (client, text) in clients.iter_mut().zip(texts) {
        client.send(text);
    }
    for (client, text) in clients.iter_mut().zip(texts) {
        assert_eq!(client.answer(), None, "{text}");
    }
    // A wide margin over 2 s, and well under the minute that nothing at all would take here.
    assert!(start.elapsed() < PATIENCE / 2, "{:?}", start.elapsed());
    assert_eq!(server.count(), 0);
}

// Guards against a silent flood that pushes the usual clients out of a full table, or a new one that is closed
// before its first request.
#[test]
fn a_silent_flood_gives_way_before_the_usual_clients() {
    let server = CacheServer::serving("value");
    let discovery = Discovery::start(&[server.entry("s-1", "ready")]);
    let mut small = config(discovery.address);
    small["limits"]["sockets"] = json!(40);
    let node = Node::ready(&small);
    let mut usual = node.client();
    assert_eq!(usual.ask(&read("read", 1, 20_000)).status(), 200);
    let _flood: Vec<_> = (0..24).map(|_| node.client()).collect();
    let mut new = node.client();
    assert_eq!(new.ask(&read("read", 2, 20_000)).status(), 200);
    assert_eq!(usual.ask(&read("read", 3, 20_000)).status(), 200);
    assert_eq!(server.count(), 3);
}
