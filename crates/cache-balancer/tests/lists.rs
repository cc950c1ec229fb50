//! Lists that cannot be right, on sockets: the node keeps the one it holds, logs what was wrong and where, and accepts the next
//! good one.

mod common;

use common::*;
use serde_json::{json, Value};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// A node that serves from a list of one server receives `text` and logs `message`. It accepts the good list of another server
/// that follows, of version `seq`.
fn rejects(text: &str, message: &str, seq: u64) {
    let (old, new) = (CacheServer::serving("old"), CacheServer::serving("new"));
    let discovery = Discovery::start(&[old.entry("s-1", "ready")]);
    let node = Node::start_ready(&config(discovery.address));
    discovery.wait_until_notified(1);
    discovery.notify_text(text.replace("OLD", &old.entry("s-1", "ready").to_string()));
    wait_for(&format!("{message}, of {text}"), || node.logged(message) >= 1);
    for key in 0..5 {
        assert_eq!(node.read("read", key).body, b"old", "{text}");
    }
    let good = snapshot(seq, &[new.entry("s-2", "ready")]);
    discovery.notify_text(good.to_string());
    discovery.wait_until_notified(seq);
    for key in 0..5 {
        assert_eq!(node.read("read", key).body, b"new", "{text}");
    }
}

#[test]
fn the_error_in_a_malformed_list_is_logged_and_the_current_list_stays() {
    rejects("", "invalid endpoint list: EOF while parsing", 7);
    rejects(r#"{"seq":2,"whole":true,"hosts":[OLD"#, "invalid endpoint list: ", 7);
    rejects(r#"{"seq":2,"whole":true,"hosts":[{"dial":null}]}"#, "hosts[0]: missing field `host`", 7);
}

#[test]
fn an_empty_list_and_one_with_a_duplicate_server_are_rejected() {
    rejects(&snapshot(2, &[]), "list rejected: hosts: empty, where 1 ready servers are known", 7);
    rejects(r#"{"seq":2,"whole":true}"#, "list rejected: hosts: empty", 7);
    rejects(
        r#"{"seq":2,"whole":true,"hosts":[OLD,OLD]}"#,
        "hosts[1]: s-1 again, which stands at hosts[0]",
        7,
    );
}

#[test]
fn an_older_version_is_rejected_and_a_snapshot_requested() {
    let server = CacheServer::serving("value");
    let discovery = Discovery::start(&[server.entry("s-1", "ready")]);
    let node = Node::start_ready(&config(discovery.address));
    discovery.wait_until_notified(1);
    discovery.notify_text(r#"{"seq":0,"whole":false,"hosts":[]}"#.into());
    wait_for("the rejection", || node.logged("seq: 0, older than 1, which is held") >= 1);
    let before = discovery.received.lock().unwrap().iter().filter(|path| !path.contains("after")).count();
    wait_for("a request for a snapshot", || {
        discovery.received.lock().unwrap().iter().filter(|path| !path.contains("after")).count() > before
    });
    assert_eq!(node.read("read", 1).body, b"value");
}

/// A discovery that lost its store counts versions from the start. A node that rejected older versions for good would never
/// follow it again, and its list would go stale.
#[test]
fn a_discovery_that_lost_its_versions_is_accepted_the_third_time() {
    let (old, new) = (CacheServer::serving("old"), CacheServer::serving("new"));
    let discovery = Discovery::start(&[old.entry("s-1", "ready")]);
    let node = Node::start_ready(&config(discovery.address));
    discovery.wait_until_notified(1);
    discovery.notify_text(snapshot(0, &[new.entry("s-2", "ready")]));
    wait_for("its list to be accepted", || node.logged("accepted, since it came 3 times in a row") == 1);
    assert_eq!(node.logged("list rejected: seq: 0, older than 1"), 2);
    wait_for("its server to be used", || node.read("read", 1).body == b"new");
}

/// A discovery that answers the first request with a snapshot in which two servers are ready, and later ones as `then`
/// returns, which is given their number from 1.
fn scripted(
    endpoints: [Value; 2],
    then: impl Fn(usize) -> ServerBehavior + Send + Sync + 'static,
) -> CacheServer {
    let first = response("200 OK", "", &snapshot(1, &endpoints));
    let calls = AtomicUsize::new(0);
    CacheServer::start(move |_| match calls.fetch_add(1, Ordering::SeqCst) {
        0 => ServerBehavior::Respond(first.clone()),
        call => then(call),
    })
}

/// A node receives `text`, which is no list that it accepts and reports one of its two servers as leaving. Its discovery sends
/// nothing after that. The node logs `message` and avoids the server. `end` makes the answer of the text.
fn avoids_leaving(text: &str, end: fn(String) -> ServerBehavior, message: &str) -> Node {
    let (leaving, staying) = (CacheServer::serving("leaving"), CacheServer::serving("staying"));
    let text = text.replace("LEAVING", &leaving.entry("s-1", "draining").to_string());
    let shown = text.clone();
    let endpoints = [leaving.entry("s-1", "ready"), staying.entry("s-2", "ready")];
    let both_used = std::sync::Arc::new(AtomicUsize::new(0));
    let may_answer = both_used.clone();
    let discovery = scripted(endpoints, move |call| {
        if call > 1 {
            return ServerBehavior::NoResponse;
        }
        // Both servers have had work before.
        while may_answer.load(Ordering::SeqCst) == 0 {
            std::thread::sleep(Duration::from_millis(5));
        }
        end(text.clone())
    });
    let node = Node::start_ready(&config(discovery.address));
    wait_for("both servers to be used", || {
        (0..50).for_each(|key| drop(node.read("read", key)));
        leaving.request_count() > 0 && staying.request_count() > 0
    });
    both_used.store(1, Ordering::SeqCst);
    wait_for(&format!("{message}, of {shown}"), || node.logged(message) >= 1);
    let before = leaving.request_count();
    for key in 0..50 {
        assert_eq!(node.read("read", key).body, b"staying", "{shown}");
    }
    assert_eq!(leaving.request_count(), before, "{shown}");
    node
}

const AVOIDED: &str =
    "1 servers reported as draining or removed in an incomplete or rejected response; they get no new requests";

/// The complete answer.
fn complete(text: String) -> ServerBehavior {
    ServerBehavior::Respond(response("200 OK", "", &text))
}

/// Announces more than it sends, and closes.
fn broken_off(text: String) -> ServerBehavior {
    ServerBehavior::RespondAndClose(format!("HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n{text}"))
}

/// Announces more than it sends, and leaves the connection open.
fn without_end(text: String) -> ServerBehavior {
    ServerBehavior::Respond(format!("HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n{text}"))
}

/// What discovery has written counts as notified. If the node waited for the rest of an answer that breaks off or stalls, it
/// would send requests to a server that shuts down. Entries are read as they arrive.
#[test]
fn a_drain_in_an_answer_that_breaks_off_or_never_ends_is_applied() {
    avoids_leaving(r#"{"seq":2,"whole":false,"hosts":[LEAVING,{"host":"s-"#, broken_off, AVOIDED);
    let cut = r#"{"seq":2,"whole":false,"hosts":[LEAVING"#;
    let indented = "{\n  \"seq\": 2,\n  \"whole\": false,\n  \"hosts\": [\n    LEAVING,\n";
    for text in [cut, indented] {
        let node = avoids_leaving(text, without_end, AVOIDED);
        // While the answer is incomplete, not when it times out.
        let log = node.log.lock().unwrap();
        let at = |message: &str| log.iter().position(|line| line.contains(message));
        assert!(
            at(AVOIDED).unwrap() < at("timed out waiting for the response").unwrap_or(usize::MAX),
            "{log:?}"
        );
    }
}

/// An answer that has begun shows that there are changes. If the node waited for its end as long as for a watch without
/// events, it would be notified of them late.
#[test]
fn a_stalled_answer_times_out_before_the_wait_of_its_watch() {
    let (one, two) = (CacheServer::serving("one"), CacheServer::serving("two"));
    let endpoints = [one.entry("s-1", "ready"), two.entry("s-2", "ready")];
    let discovery = scripted(endpoints, |call| match call {
        1 => without_end(r#"{"seq":2,"#.into()),
        _ => ServerBehavior::NoResponse,
    });
    let _node = Node::start_ready(&config(discovery.address));
    wait_for("the watch", || discovery.request_count() >= 2);
    let began = Instant::now();
    wait_for("the next poll", || discovery.request_count() >= 3);
    let watch = discovery.received.lock().unwrap()[1].start_line.clone();
    let wait = watch.split_once("wait_ms=").unwrap().1.split(' ').next().unwrap().parse().unwrap();
    assert!(began.elapsed() < Duration::from_millis(wait), "{watch}");
}

/// One malformed entry makes an answer no list. The drain of another server in it counts as notified all the same.
#[test]
fn a_drain_in_a_malformed_or_rejected_list_is_applied() {
    let bad = r#"{"seq":2,"whole":false,"hosts":[LEAVING,{"host":"s-3","dial":"nowhere","health":"ready"}]}"#;
    avoids_leaving(bad, complete, "hosts[1].dial: invalid socket address syntax");
    avoids_leaving(bad, complete, AVOIDED);
    avoids_leaving(r#"{"seq":2,"whole":true,"hosts":[LEAVING,LEAVING]}"#, complete, AVOIDED);
    avoids_leaving(r#"{"seq":0,"whole":false,"hosts":[LEAVING]}"#, complete, AVOIDED);
}

#[test]
fn a_drain_from_a_damaged_answer_lasts_until_a_snapshot_differs() {
    let (one, two) = (CacheServer::serving("one"), CacheServer::serving("two"));
    let endpoints = [one.entry("s-1", "ready"), two.entry("s-2", "ready")];
    let damaged = format!(r#"{{"seq":2,"whole":false,"hosts":[{},"#, one.entry("s-1", "draining"));
    let again = snapshot(2, &endpoints);
    let discovery = scripted(endpoints.clone(), move |call| match call {
        1 => broken_off(damaged.clone()),
        2 => ServerBehavior::Respond(response("200 OK", "", &again)),
        _ => ServerBehavior::NoResponse,
    });
    let node = Node::start_ready(&config(discovery.address));
    wait_for("the drain to be applied", || node.logged(AVOIDED) == 1);
    wait_for("the request for a snapshot and the watch after it", || discovery.request_count() >= 4);
    assert!(!discovery.received.lock().unwrap()[2].start_line.contains("after="), "a snapshot");
    wait_for("the server to be used again", || {
        (0..50).for_each(|key| drop(node.read("read", key)));
        one.request_count() > 0
    });
}

/// An agent that lists are pushed to sends nothing to a node that does not poll it. A node that polled once, or stopped after
/// the agent was silent, would keep its first list for good.
#[test]
fn an_agent_is_polled_again_and_again_also_after_it_was_silent() {
    let (leaving, staying) = (CacheServer::serving("leaving"), CacheServer::serving("staying"));
    let endpoints = [leaving.entry("s-1", "ready"), staying.entry("s-2", "ready")];
    let drained = json!({"seq": 2, "whole": false, "hosts": [leaving.entry("s-1", "draining")]}).to_string();
    let agent = scripted(endpoints, move |call| match call {
        // Silent, as it is while discovery is down, on every connection.
        1..=5 => ServerBehavior::NoResponse,
        6 => ServerBehavior::Respond(response("200 OK", "", &drained)),
        _ => ServerBehavior::NoResponse,
    });
    let mut config = config(agent.address);
    config["settings"]["membership_mode"] = json!("automatic");
    let node = Node::start_ready(&config);
    wait_for("the drain to be sent", || agent.request_count() >= 8);
    for key in 0..50 {
        assert_eq!(node.read("read", key).body, b"staying");
    }
}

/// A discovery that does not wait as requested, and answers each watch at once, would be polled in a loop without a pause.
#[test]
fn a_discovery_that_never_waits_is_not_polled_without_a_pause() {
    let server = CacheServer::serving("value");
    let endpoints = [server.entry("s-1", "ready"), server.entry("s-2", "ready")];
    let nothing = json!({"seq": 1, "whole": false, "hosts": []}).to_string();
    let discovery = scripted(endpoints, move |_| ServerBehavior::Respond(response("200 OK", "", &nothing)));
    let node = Node::start_ready(&config(discovery.address));
    wait_for("watches", || discovery.request_count() >= 3);
    let (before, mut client) = (discovery.request_count(), node.client());
    for key in 0..1_000 {
        assert_eq!(client.request(&read_request("read", key, 20_000)).body, b"value");
    }
    // Without a pause there would be as many as it can answer.
    let calls = discovery.request_count() - before;
    assert!(calls < 200, "{calls} polls beside a thousand reads");
}
