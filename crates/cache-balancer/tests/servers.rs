//! The node towards cache servers and discovery, on loopback sockets.

mod common;

use common::*;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};

/// A request on an idle connection reached a server after the node had been notified of its drain.
#[test]
fn a_draining_server_gets_no_request_and_its_idle_connections_close() {
    let (old, new) = (CacheServer::serving("old"), CacheServer::serving("new"));
    let discovery = Discovery::start(&[old.entry("s-1", "ready")]);
    let node = Node::start_ready(&config(discovery.address));
    assert_eq!(node.read("read", 1).body, b"old");
    discovery.notify(false, &[old.entry("s-1", "draining"), new.entry("s-2", "ready")]);
    discovery.wait_until_notified(2);
    wait_for("the idle connection to close", || old.closed.load(Ordering::SeqCst) == 1);
    for key in 0..20 {
        assert_eq!(node.read("read", key).body, b"new");
    }
    assert_eq!((old.request_count(), new.request_count()), (1, 20));
}

/// A snapshot names all servers: one that is not in it is removed.
#[test]
fn a_server_that_a_snapshot_lacks_gets_no_request() {
    let (old, new) = (CacheServer::serving("old"), CacheServer::serving("new"));
    let discovery = Discovery::start(&[old.entry("s-1", "ready")]);
    let node = Node::start_ready(&config(discovery.address));
    assert_eq!(node.read("read", 1).body, b"old");
    discovery.notify(true, &[new.entry("s-2", "ready")]);
    discovery.wait_until_notified(2);
    wait_for("the idle connection to close", || old.closed.load(Ordering::SeqCst) == 1);
    assert_eq!(node.read("read", 1).body, b"new");
    assert_eq!(old.request_count(), 1);
}

/// A request that is written to an idle connection which its server has closed meanwhile is reset.
#[test]
fn a_connection_that_its_server_closed_is_not_used_again() {
    let server = CacheServer::start(|_| ServerBehavior::RespondAndClose(response("200 OK", "", "value")));
    let discovery = Discovery::start(&[server.entry("s-1", "ready")]);
    let node = Node::start_ready(&config(discovery.address));
    for key in 0..10 {
        // A reset would end an unsafe request as a failure: it may not be sent twice.
        assert_eq!(node.read("once", key).status(), 200);
        std::thread::sleep(std::time::Duration::from_millis(20));
    }
    assert_eq!((server.request_count(), server.connections.load(Ordering::SeqCst)), (10, 10));
}

/// A new connection for each request costs a handshake each time.
#[test]
fn a_connection_is_kept_for_the_next_request() {
    let server = CacheServer::serving("value");
    let discovery = Discovery::start(&[server.entry("s-1", "ready")]);
    let node = Node::start_ready(&config(discovery.address));
    for key in 0..10 {
        assert_eq!(node.read("read", key).status(), 200);
    }
    assert_eq!((server.request_count(), server.connections.load(Ordering::SeqCst)), (10, 1));
}

/// The status and the number of attempts of a request of this class, where the first attempt gets `behavior` and
/// all others are served.
fn after_one(behavior: fn() -> ServerBehavior, class: &str) -> (u16, usize) {
    let received = Arc::new(AtomicU32::new(0));
    let server = || {
        let received = received.clone();
        CacheServer::start(move |_| match received.fetch_add(1, Ordering::SeqCst) {
            0 => behavior(),
            _ => ServerBehavior::Respond(response("200 OK", "", "value")),
        })
    };
    let (one, two) = (server(), server());
    let discovery = Discovery::start(&[one.entry("s-1", "ready"), two.entry("s-2", "ready")]);
    let node = Node::start_ready(&config(discovery.address));
    let status = node.read(class, 1).status();
    (status, one.request_count() + two.request_count())
}

/// A result that is read wrong has a request run twice, or fail though it never ran.
#[test]
fn an_unsafe_request_is_retried_only_after_a_result_that_proves_it_never_ran() {
    let declined = || ServerBehavior::Respond(response("503 Service Unavailable", "Srv-Declined: 1\r\n", ""));
    assert_eq!(after_one(declined, "once"), (200, 2));
    let over = || ServerBehavior::Respond(response("504 Gateway Timeout", "Srv-Declined: 1\r\n", ""));
    assert_eq!(after_one(over, "once"), (200, 2));
    let ends: [fn() -> ServerBehavior; 5] = [
        || ServerBehavior::Respond(response("500 Internal Server Error", "", "")),
        || ServerBehavior::Respond(response("503 Service Unavailable", "", "")),
        || ServerBehavior::RespondAndClose(String::new()),
        || ServerBehavior::RespondAndClose("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf".to_owned()),
        || ServerBehavior::RespondAndClose("no HTTP at all\r\n\r\n".to_owned()),
    ];
    for (i, end) in ends.into_iter().enumerate() {
        let (status, sent) = after_one(end, "once");
        assert!(status >= 500 && status != 503 && sent == 1, "end {i}: {status} after {sent}");
    }
}

/// Half a response must not be passed on as a whole one.
#[test]
fn an_idempotent_request_is_retried_after_a_response_that_broke_off() {
    let half =
        || ServerBehavior::RespondAndClose("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf".to_owned());
    assert_eq!(after_one(half, "read"), (200, 2));
}

/// A refused connection proves that the request never ran.
#[test]
fn an_unsafe_request_is_retried_after_a_refused_connection() {
    let closed = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let server = CacheServer::serving("value");
    let discovery = Discovery::start(&[endpoint("s-1", closed, "ready"), server.entry("s-2", "ready")]);
    let node = Node::start_ready(&config(discovery.address));
    for key in 0..6 {
        assert_eq!(node.read("once", key).status(), 200);
    }
    assert_eq!(server.request_count(), 6);
}

/// A list that cannot be read leaves the node with the one it has, at its version, and it polls again.
#[test]
fn a_broken_list_is_a_failed_call_and_the_watch_goes_on() {
    let server = CacheServer::serving("value");
    let discovery = Discovery::start(&[server.entry("s-1", "ready")]);
    let node = Node::start_ready(&config(discovery.address));
    discovery.wait_until_notified(1);
    let calls = discovery.request_count();
    discovery.notify_text("{\"seq\":2,\"whole\":true,\"hosts\":[{\"host\":".to_owned());
    wait_for("another call", || discovery.request_count() > calls);
    assert_eq!(node.read("read", 1).status(), 200);
    // The version that the node has is the same.
    assert!(discovery.received.lock().unwrap()[calls..].iter().all(|path| path.contains("after=1&")));
    let new = CacheServer::serving("new");
    discovery.notify(true, &[new.entry("s-2", "ready")]);
    discovery.wait_until_notified(3);
    assert_eq!(node.read("read", 1).body, b"new");
}

/// A server that sends a second response behind the first gave it to the next client.
#[test]
fn bytes_behind_a_response_are_never_the_response_to_the_next_request() {
    let server = CacheServer::start(|request| {
        let own = response("200 OK", "", request.header("req-id").unwrap());
        let extra = response("200 OK", "", "a copy");
        ServerBehavior::Respond(own + &extra)
    });
    let discovery = Discovery::start(&[server.entry("s-1", "ready")]);
    let node = Node::start_ready(&config(discovery.address));
    let mut client = node.client();
    for key in 1..200_u64 {
        let served = client.request(&read_request("read", key, 20_000));
        assert_eq!((served.status(), served.body), (200, format!("{key:x}").into_bytes()));
    }
    assert_eq!(server.request_count(), 199);
}

/// The time that is spent waiting for it is the retry's.
#[test]
fn a_response_of_an_announced_length_over_the_limit_ends_its_attempt_at_once() {
    let huge =
        || ServerBehavior::Respond("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nsome".to_owned());
    assert_eq!(after_one(huge, "read"), (200, 2));
}

/// A head without end fills the memory; a 1xx response is not the final one.
#[test]
fn an_endless_head_fails_its_attempt_and_interim_responses_are_skipped() {
    let endless =
        || ServerBehavior::Respond(format!("HTTP/1.1 200 OK\r\n{}", "X-Noise: noise\r\n".repeat(2_000)));
    assert_eq!(after_one(endless, "read"), (200, 2));
    let switched = || ServerBehavior::Respond("HTTP/1.1 101 Switching Protocols\r\n\r\n".to_owned());
    assert_eq!(after_one(switched, "read"), (200, 2));
    let interim = || {
        let ahead = "HTTP/1.1 103 Early Hints\r\nX: 1\r\n\r\n".repeat(2);
        ServerBehavior::Respond(ahead + &response("200 OK", "", "value"))
    };
    assert_eq!(after_one(interim, "read"), (200, 1));
}

/// A server rejects one class (a release that does not know it, say). It lost the keys of all classes, these
/// were missed elsewhere, and the misses of a whole fleet overload the origin.
#[test]
fn a_class_that_a_server_rejects_leaves_the_keys_of_others_there() {
    let picky = CacheServer::start(|request| match request.header("idempotency-key") {
        Some(_) => ServerBehavior::Respond(response(
            "503 Service Unavailable",
            "Srv-Declined: 1\r\nSrv-Load: waiting=0\r\n",
            "",
        )),
        None => ServerBehavior::Respond(response("200 OK", "Srv-Load: waiting=0\r\n", "picky")),
    });
    let other = CacheServer::start(|_| {
        ServerBehavior::Respond(response("200 OK", "Srv-Load: waiting=0\r\n", "other"))
    });
    let discovery = Discovery::start(&[picky.entry("s-1", "ready"), other.entry("s-2", "ready")]);
    let node = Node::start_ready(&config(discovery.address));
    let own: Vec<u64> = (0..60).filter(|&key| node.read("read", key).body == b"picky").collect();
    assert!(own.len() >= 10, "{} of 60 keys", own.len());
    let mut client = node.client();
    let mut keyed = |key| {
        let text = read_request("keyed", key, 20_000).replace("\r\n\r\n", "\r\nIdempotency-Key: k\r\n\r\n");
        assert_eq!(client.request(&text).status(), 200);
    };
    (0..2).for_each(|_| own.iter().for_each(|&key| keyed(key)));
    let before = picky.request_count();
    own.iter().for_each(|&key| keyed(key));
    assert!(
        picky.request_count() - before <= 3,
        "{} more of that class went there",
        picky.request_count() - before
    );
    for &key in &own {
        assert_eq!(node.read("read", key).body, b"picky", "key {key}");
    }
}

/// Reads these keys at once. The servers hold the requests that reach them until each has reached one or has
/// its response. Returns the number that reached one, and all responses.
fn at_once(node: &Node, gate: &HoldingGate, keys: std::ops::Range<u64>) -> (usize, Vec<Message>) {
    gate.set_closed(true);
    let before = gate.reached.load(Ordering::SeqCst);
    let (sender, answers) = std::sync::mpsc::channel();
    for key in keys.clone() {
        let (mut client, sender) = (node.client(), sender.clone());
        std::thread::spawn(move || sender.send(client.request(&read_request("read", key, 20_000))).unwrap());
    }
    let mut got = Vec::new();
    let mut reached = 0;
    wait_for("each request to reach a server or to have its response", || {
        got.extend(answers.try_iter());
        reached = gate.reached.load(Ordering::SeqCst) - before;
        got.len() + reached == keys.clone().count()
    });
    gate.set_closed(false);
    while got.len() < keys.clone().count() {
        got.push(answers.recv_timeout(TIMEOUT).expect("a response"));
    }
    (reached, got)
}

/// Delays the responses of servers while it is closed, and counts the requests that reach it.
#[derive(Default)]
struct HoldingGate {
    closed: Mutex<bool>,
    opened: Condvar,
    reached: AtomicUsize,
}

impl HoldingGate {
    fn set_closed(&self, closed: bool) {
        *self.closed.lock().unwrap() = closed;
        self.opened.notify_all();
    }

    fn pass(&self) {
        self.reached.fetch_add(1, Ordering::SeqCst);
        let closed = self.closed.lock().unwrap();
        drop(self.opened.wait_timeout_while(closed, TIMEOUT, |closed| *closed).unwrap());
    }
}

/// An overloaded origin failed the misses, clients and node retried them, and the servers never got to cache
/// what was requested: the overload did not end.
#[test]
fn probable_misses_are_limited_while_fetches_fail_and_hits_go_on() {
    let gate = Arc::new(HoldingGate::default());
    let down = Arc::new(AtomicBool::new(false));
    let server = || {
        let (gate, down) = (gate.clone(), down.clone());
        // Keys under 1000 are cached, all others must be fetched.
        CacheServer::start(move |request| {
            let key = request.header("req-id").and_then(|id| u64::from_str_radix(id, 16).ok());
            if key.is_some_and(|key| key < 1000) {
                return ServerBehavior::Respond(response("200 OK", "", "cached"));
            }
            gate.pass();
            ServerBehavior::Respond(match down.load(Ordering::SeqCst) {
                true => response("500 Internal Server Error", "", ""),
                false => response("200 OK", "", "fetched"),
            })
        })
    };
    let servers = [server(), server(), server()];
    let names = ["s-1", "s-2", "s-3"];
    let endpoints: Vec<_> =
        servers.iter().zip(names).map(|(server, name)| server.entry(name, "ready")).collect();
    let node = Node::start_ready(&config(Discovery::start(&endpoints).address));
    (0..20).for_each(|key| assert_eq!(node.read("read", key).body, b"cached"));
    let mut keys = (1..).map(|round| round * 1000..round * 1000 + 20);
    let mut ask = || at_once(&node, &gate, keys.next().unwrap());
    // While fetches succeed none is limited.
    assert_eq!(ask().0, 20);
    down.store(true, Ordering::SeqCst);
    wait_for("a limit", || ask().0 <= 3);
    let (_, answers) = ask();
    let rejected = answers.iter().filter(|answer| answer.status() == 503).collect::<Vec<_>>();
    assert!(rejected.len() >= 17 && rejected.iter().all(|answer| answer.header("retry-after").is_some()));
    (0..20).for_each(|key| assert_eq!(node.read("read", key).body, b"cached", "key {key}"));
    down.store(false, Ordering::SeqCst);
    wait_for("the limit's end", || ask().0 == 20);
}
