//! The node's clients' side, on loopback sockets.

mod common;

use common::*;
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

/// A node for so many descriptors in front of one server that serves everything.
fn small_node(sockets: usize) -> (CacheServer, Discovery, Node) {
    let server = CacheServer::serving("value");
    let discovery = Discovery::start(&[server.entry("s-1", "ready")]);
    let mut small = config(discovery.address);
    small["limits"]["sockets"] = json!(sockets);
    let node = Node::ready(&small);
    (server, discovery, node)
}

/// Clients that come one after the other, ask once and keep their connection until the node closes it: the
/// most connections that they held together. Each must be served.
fn most_held(node: &Node, clients: u64) -> usize {
    let (mut held, mut most) = (Vec::new(), 0);
    for key in 0..clients {
        let mut client = node.client();
        let answered = client.ask(&read("read", key, 20_000));
        assert_eq!(answered.status(), 200, "client {key}");
        if answered.header("connection") != Some("close") {
            held.push(client);
        }
        held.retain(Client::is_open);
        most = most.max(held.len());
    }
    most
}

// Guards against clients that ask once and never close: a platform gives its clients a third of a node's
// descriptors, and once all of these are held by such clients the next one is shut out.
#[test]
fn the_next_client_finds_a_place_although_all_earlier_ones_hold_their_connections() {
    let (server, _discovery, node) = small_node(96);
    let most = most_held(&node, 200);
    assert!((8..=16).contains(&most), "{most} of 32 places held by clients that don't use them");
    assert_eq!(server.count(), 200);
}

// The same with a flood of connections that say nothing, which holds what is left of the table.
#[test]
fn the_next_client_finds_a_place_beside_a_silent_flood_too() {
    let (server, _discovery, node) = small_node(96);
    let _flood: Vec<_> = (0..100).map(|_| node.client()).collect();
    let most = most_held(&node, 100);
    assert!(most <= 16, "{most} of 32 places held by clients that don't use them");
    assert_eq!(server.count(), 100);
}

// Guards against a close where a client would go on: on a calm day connections are kept.
#[test]
fn a_client_that_goes_on_keeps_its_connection() {
    let (server, _discovery, node) = small_node(96);
    let mut clients: Vec<_> = (0..8).map(|_| node.client()).collect();
    for round in 0..20 {
        for (i, client) in clients.iter_mut().enumerate() {
            let answered = client.ask(&read("read", round * 8 + i as u64, 20_000));
            assert_eq!((answered.status(), answered.header("connection")), (200, None));
        }
    }
    assert_eq!(server.count(), 160);
}

// Guards against a request that is lost with the connection that the answer before it closes.
#[test]
fn a_request_that_was_sent_ahead_is_answered_before_its_connection_closes() {
    let (server, _discovery, node) = small_node(40);
    let mut idle: Vec<_> = (0..4).map(|_| node.client()).collect();
    for (key, client) in idle.iter_mut().enumerate() {
        assert_eq!(client.ask(&read("read", key as u64, 20_000)).header("connection"), None);
    }
    let mut client = node.client();
    let put = |key| {
        read("keyed", key, 20_000)
            .replace("GET", "PUT")
            .replace("\r\n\r\n", "\r\nIdempotency-Key: k\r\nContent-Length: 3\r\n\r\nnew")
    };
    client.send(&(put(10) + &read("read", 11, 20_000) + &put(12)));
    let answers: Vec<_> = (0..3).map(|_| client.answer().expect("an answer")).collect();
    assert_eq!(answers.iter().map(Message::status).collect::<Vec<_>>(), [200; 3]);
    let closes: Vec<_> = answers.iter().map(|answer| answer.header("connection")).collect();
    assert_eq!(closes, [None, None, Some("close")]);
    assert_eq!(client.answer(), None);
    assert_eq!(server.count(), 7);
}

// Guards against a reset that overtakes an answer: closed with a body half read, a connection is reset.
#[test]
fn a_client_that_is_still_sending_when_its_answer_comes_is_not_reset() {
    let (server, _discovery, node) = small_node(96);
    let mut client = node.client();
    let length = 128 << 10;
    client.send(&odd(1, &format!("Content-Length: {length}\r\n"), "").replace("GET", "PUT"));
    assert_eq!(client.answer().expect("an answer").status(), 413);
    assert_eq!(client.answer(), None);
    for _ in 0..16 {
        client.send(&"v".repeat(length / 16));
        // Long enough for a reset to come back, far shorter than a connection lingers.
        std::thread::sleep(std::time::Duration::from_millis(2));
    }
    assert_eq!(server.count(), 0);
}

// Guards against connections that nobody uses and that hold all idle places against those who come later.
#[test]
fn the_longest_idle_connection_makes_way_for_one_just_used() {
    let (_server, _discovery, node) = small_node(42);
    // Nine places: four may lie idle, beside a request under way or not.
    let mut keys = 0..;
    let mut ask = |client: &mut Client| {
        let answered = client.ask(&read("read", keys.next().unwrap(), 20_000));
        answered.header("connection") != Some("close")
    };
    let mut idle: Vec<_> = (0..4).map(|_| node.client()).collect();
    assert!(idle.iter_mut().all(&mut ask));
    // Until the first of them is unused for long enough, each further one is told to close.
    wait_for("a place among the idle", || ask(&mut node.client()));
    assert_eq!(idle[0].answer(), None);
    assert!(idle[1..].iter().all(Client::is_open), "one makes way for one");
}
