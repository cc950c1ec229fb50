//! Tests how a node treats cache servers and discovery, on loopback sockets.

mod common;

use common::*;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};

/// Guards against a request on an idle connection that reaches a server after the node was notified of its
/// drain.
#[test]
fn draining_server_gets_no_requests_and_its_idle_connections_close() {
    let (old, new) = (CacheServer::serving("old"), CacheServer::serving("new"));
    let discovery = Discovery::start(&[old.endpoint("s-1", "ready")]);
    let node = Node::start_ready(&config(discovery.address));
    assert_eq!(node.read("read", 1).body, b"old");
    discovery.publish(false, &[old.endpoint("s-1", "draining"), new.endpoint("s-2", "ready")]);
    discovery.wait_until_applied(2);
    wait_for("the idle connection to close", || old.closed.load(Ordering::SeqCst) == 1);
    for key in 0..20 {
        assert_eq!(node.read("read", key).body, b"new");
    }
    assert_eq!((old.request_count(), new.request_count()), (1, 20));
}

/// A snapshot contains all servers, so a server that is missing from it has been removed.
#[test]
fn server_missing_from_a_snapshot_gets_no_requests() {
    let (old, new) = (CacheServer::serving("old"), CacheServer::serving("new"));
    let discovery = Discovery::start(&[old.endpoint("s-1", "ready")]);
    let node = Node::start_ready(&config(discovery.address));
    assert_eq!(node.read("read", 1).body, b"old");
    discovery.publish(true, &[new.endpoint("s-2", "ready")]);
    discovery.wait_until_applied(2);
    wait_for("the idle connection to close", || old.closed.load(Ordering::SeqCst) == 1);
    assert_eq!(node.read("read", 1).body, b"new");
    assert_eq!(old.request_count(), 1);
}

/// Guards against resets: a request written to an idle connection that the server has closed would be reset.
#[test]
fn connection_closed_by_the_server_is_not_reused() {
    let server = CacheServer::start(|_| ServerBehavior::RespondAndClose(response("200 OK", "", "value")));
    let discovery = Discovery::start(&[server.endpoint("s-1", "ready")]);
    let node = Node::start_ready(&config(discovery.address));
    for key in 0..10 {
        // A reset would fail a request of class `once`, because its effect is unsafe and it may not be
        // retried.
        assert_eq!(node.read("once", key).status(), 200);
        std::thread::sleep(std::time::Duration::from_millis(20));
    }
    assert_eq!((server.request_count(), server.connections.load(Ordering::SeqCst)), (10, 10));
}

/// Guards against opening a new connection for each request, which would cost a handshake each time.
#[test]
fn connection_is_reused_for_the_next_request() {
    let server = CacheServer::serving("value");
    let discovery = Discovery::start(&[server.endpoint("s-1", "ready")]);
    let node = Node::start_ready(&config(discovery.address));
    for key in 0..10 {
        assert_eq!(node.read("read", key).status(), 200);
    }
    assert_eq!((server.request_count(), server.connections.load(Ordering::SeqCst)), (10, 1));
}

/// Sends a request of this class whose first attempt meets `behavior` and whose later attempts are served.
/// Returns the status and the number of attempts.
fn send_with_first_behavior(behavior: fn() -> ServerBehavior, class: &str) -> (u16, usize) {
    let received = Arc::new(AtomicU32::new(0));
    let server = || {
        let received = received.clone();
        CacheServer::start(move |_| match received.fetch_add(1, Ordering::SeqCst) {
            0 => behavior(),
            _ => ServerBehavior::Respond(response("200 OK", "", "value")),
        })
    };
    let (one, two) = (server(), server());
    let discovery = Discovery::start(&[one.endpoint("s-1", "ready"), two.endpoint("s-2", "ready")]);
    let node = Node::start_ready(&config(discovery.address));
    let status = node.read(class, 1).status();
    (status, one.request_count() + two.request_count())
}

/// If the result of an attempt is misread, a request can run twice, or fail although it never ran.
#[test]
fn unsafe_request_is_retried_only_if_it_provably_never_ran() {
    let declined = || ServerBehavior::Respond(response("503 Service Unavailable", "Srv-Declined: 1\r\n", ""));
    assert_eq!(send_with_first_behavior(declined, "once"), (200, 2));
    let declined_timeout =
        || ServerBehavior::Respond(response("504 Gateway Timeout", "Srv-Declined: 1\r\n", ""));
    assert_eq!(send_with_first_behavior(declined_timeout, "once"), (200, 2));
    let failures: [fn() -> ServerBehavior; 5] = [
        || ServerBehavior::Respond(response("500 Internal Server Error", "", "")),
        || ServerBehavior::Respond(response("503 Service Unavailable", "", "")),
        || ServerBehavior::RespondAndClose(String::new()),
        || ServerBehavior::RespondAndClose("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf".to_owned()),
        || ServerBehavior::RespondAndClose("no HTTP at all\r\n\r\n".to_owned()),
    ];
    for (i, failure) in failures.into_iter().enumerate() {
        let (status, sent) = send_with_first_behavior(failure, "once");
        assert!(
            status >= 500 && status != 503 && sent == 1,
            "failure {i}: status {status} after {sent} attempts"
        );
    }
}

/// A truncated response must not be forwarded as a complete one.
#[test]
fn idempotent_request_is_retried_after_a_truncated_response() {
    let half =
        || ServerBehavior::RespondAndClose("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf".to_owned());
    assert_eq!(send_with_first_behavior(half, "read"), (200, 2));
}

/// A refused connection proves that the request never ran.
#[test]
fn unsafe_request_is_retried_after_a_refused_connection() {
    let unused_address = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let server = CacheServer::serving("value");
    let discovery =
        Discovery::start(&[endpoint("s-1", unused_address, "ready"), server.endpoint("s-2", "ready")]);
    let node = Node::start_ready(&config(discovery.address));
    for key in 0..6 {
        assert_eq!(node.read("once", key).status(), 200);
    }
    assert_eq!(server.request_count(), 6);
}

/// After a malformed list, the node keeps its current list and version, and polls again.
#[test]
fn malformed_list_is_a_failed_poll_and_the_watch_continues() {
    let server = CacheServer::serving("value");
    let discovery = Discovery::start(&[server.endpoint("s-1", "ready")]);
    let node = Node::start_ready(&config(discovery.address));
    discovery.wait_until_applied(1);
    let polls = discovery.request_count();
    discovery.publish_text("{\"seq\":2,\"whole\":true,\"hosts\":[{\"host\":".to_owned());
    wait_for("another poll", || discovery.request_count() > polls);
    assert_eq!(node.read("read", 1).status(), 200);
    // The node still requests changes after the version of its current list.
    assert!(discovery.received.lock().unwrap()[polls..].iter().all(|path| path.contains("after=1&")));
    let new = CacheServer::serving("new");
    discovery.publish(true, &[new.endpoint("s-2", "ready")]);
    discovery.wait_until_applied(3);
    assert_eq!(node.read("read", 1).body, b"new");
}

/// Guards against forwarding the wrong response: a server sent a second response right after the first, and
/// the next client got the second one.
#[test]
fn bytes_after_a_response_are_never_used_for_the_next_request() {
    let server = CacheServer::start(|request| {
        let own = response("200 OK", "", request.header("req-id").unwrap());
        let extra = response("200 OK", "", "a copy");
        ServerBehavior::Respond(own + &extra)
    });
    let discovery = Discovery::start(&[server.endpoint("s-1", "ready")]);
    let node = Node::start_ready(&config(discovery.address));
    let mut client = node.client();
    for key in 1..200_u64 {
        let served = client.request(&read_request("read", key, 20_000));
        assert_eq!((served.status(), served.body), (200, format!("{key:x}").into_bytes()));
    }
    assert_eq!(server.request_count(), 199);
}

/// Time spent on receiving a response that is too large would be missing for the retry.
#[test]
fn response_with_a_content_length_over_the_limit_ends_its_attempt_at_once() {
    let huge =
        || ServerBehavior::Respond("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nsome".to_owned());
    assert_eq!(send_with_first_behavior(huge, "read"), (200, 2));
}

/// An endless head must not fill the memory, and a 1xx response must not be taken for the final one.
#[test]
fn endless_head_fails_its_attempt_and_interim_responses_are_skipped() {
    let endless =
        || ServerBehavior::Respond(format!("HTTP/1.1 200 OK\r\n{}", "X-Noise: noise\r\n".repeat(2_000)));
    assert_eq!(send_with_first_behavior(endless, "read"), (200, 2));
    let switched = || ServerBehavior::Respond("HTTP/1.1 101 Switching Protocols\r\n\r\n".to_owned());
    assert_eq!(send_with_first_behavior(switched, "read"), (200, 2));
    let interim = || {
        let ahead = "HTTP/1.1 103 Early Hints\r\nX: 1\r\n\r\n".repeat(2);
        ServerBehavior::Respond(ahead + &response("200 OK", "", "value"))
    };
    assert_eq!(send_with_first_behavior(interim, "read"), (200, 1));
}

/// Guards against an overload of the origin. A server can reject a single class, for example because its
/// release does not know the class. The node then moved the keys of all classes to other servers, which did
/// not have them cached, and the misses of a whole fleet overload the origin.
#[test]
fn server_that_rejects_one_class_keeps_the_keys_of_other_classes() {
    let rejecting = CacheServer::start(|request| match request.header("idempotency-key") {
        Some(_) => ServerBehavior::Respond(response(
            "503 Service Unavailable",
            "Srv-Declined: 1\r\nSrv-Load: waiting=0\r\n",
            "",
        )),
        None => ServerBehavior::Respond(response("200 OK", "Srv-Load: waiting=0\r\n", "rejecting")),
    });
    let other = CacheServer::start(|_| {
        ServerBehavior::Respond(response("200 OK", "Srv-Load: waiting=0\r\n", "other"))
    });
    let discovery = Discovery::start(&[rejecting.endpoint("s-1", "ready"), other.endpoint("s-2", "ready")]);
    let node = Node::start_ready(&config(discovery.address));
    let own_keys: Vec<u64> = (0..60).filter(|&key| node.read("read", key).body == b"rejecting").collect();
    assert!(own_keys.len() >= 10, "{} of 60 keys", own_keys.len());
    let mut client = node.client();
    let mut keyed = |key| {
        let text = read_request("keyed", key, 20_000).replace("\r\n\r\n", "\r\nIdempotency-Key: k\r\n\r\n");
        assert_eq!(client.request(&text).status(), 200);
    };
    (0..2).for_each(|_| own_keys.iter().for_each(|&key| keyed(key)));
    let before = rejecting.request_count();
    own_keys.iter().for_each(|&key| keyed(key));
    assert!(
        rejecting.request_count() - before <= 3,
        "{} more requests of the rejected class were sent to the server",
        rejecting.request_count() - before
    );
    for &key in &own_keys {
        assert_eq!(node.read("read", key).body, b"rejecting", "key {key}");
    }
}

/// Reads these keys concurrently. The servers hold the requests that they receive until each request has
/// reached a server or has its response. Returns the number of requests that reached a server, and all
/// responses.
fn read_concurrently(node: &Node, gate: &HoldingGate, keys: std::ops::Range<u64>) -> (usize, Vec<Message>) {
    gate.set_closed(true);
    let before = gate.reached.load(Ordering::SeqCst);
    let (sender, responses) = std::sync::mpsc::channel();
    for key in keys.clone() {
        let (mut client, sender) = (node.client(), sender.clone());
        std::thread::spawn(move || sender.send(client.request(&read_request("read", key, 20_000))).unwrap());
    }
    let mut got = Vec::new();
    let mut reached = 0;
    wait_for("each request to reach a server or to have its response", || {
        got.extend(responses.try_iter());
        reached = gate.reached.load(Ordering::SeqCst) - before;
        got.len() + reached == keys.clone().count()
    });
    gate.set_closed(false);
    while got.len() < keys.clone().count() {
        got.push(responses.recv_timeout(TIMEOUT).expect("a response"));
    }
    (reached, got)
}

/// Delays the responses of servers while closed, and counts the requests that reach the servers.
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

/// Guards against an overload that does not end: an overloaded origin failed the fetches for misses, clients
/// and the node retried the requests, and the servers never cached the requested keys.
#[test]
fn probable_misses_are_limited_while_fetches_fail_and_hits_are_served() {
    let gate = Arc::new(HoldingGate::default());
    let down = Arc::new(AtomicBool::new(false));
    let server = || {
        let (gate, down) = (gate.clone(), down.clone());
        // Keys below 1000 are cached; all others must be fetched.
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
        servers.iter().zip(names).map(|(server, name)| server.endpoint(name, "ready")).collect();
    let node = Node::start_ready(&config(Discovery::start(&endpoints).address));
    (0..20).for_each(|key| assert_eq!(node.read("read", key).body, b"cached"));
    let mut keys = (1..).map(|round| round * 1000..round * 1000 + 20);
    let mut read_new_keys = || read_concurrently(&node, &gate, keys.next().unwrap());
    // No request is limited while fetches succeed.
    assert_eq!(read_new_keys().0, 20);
    down.store(true, Ordering::SeqCst);
    wait_for("a limit on probable misses", || read_new_keys().0 <= 3);
    let (_, responses) = read_new_keys();
    let rejected = responses.iter().filter(|response| response.status() == 503).collect::<Vec<_>>();
    assert!(rejected.len() >= 17 && rejected.iter().all(|response| response.header("retry-after").is_some()));
    (0..20).for_each(|key| assert_eq!(node.read("read", key).body, b"cached", "key {key}"));
    down.store(false, Ordering::SeqCst);
    wait_for("the end of the limit", || read_new_keys().0 == 20);
}
