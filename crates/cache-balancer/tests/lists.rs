//! Tests invalid endpoint lists on sockets: the node keeps its current list, logs the error with its place,
//! and accepts the next valid list.

mod common;

use common::*;
use serde_json::{json, Value};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// Checks that a node with a list of one server rejects `text`, logs `message` and keeps its list, and that
/// it then accepts a valid list of version `version` with another server.
fn assert_rejected(text: &str, message: &str, version: u64) {
    let (old, new) = (CacheServer::serving("old"), CacheServer::serving("new"));
    let discovery = Discovery::start(&[old.endpoint("s-1", "ready")]);
    let node = Node::start_ready(&config(discovery.address));
    discovery.wait_until_applied(1);
    discovery.publish_text(text.replace("OLD", &old.endpoint("s-1", "ready").to_string()));
    wait_for(&format!("{message}, of {text}"), || node.logged(message) >= 1);
    for key in 0..5 {
        assert_eq!(node.read("read", key).body, b"old", "{text}");
    }
    let valid = snapshot(version, &[new.endpoint("s-2", "ready")]);
    discovery.publish_text(valid.to_string());
    discovery.wait_until_applied(version);
    for key in 0..5 {
        assert_eq!(node.read("read", key).body, b"new", "{text}");
    }
}

#[test]
fn malformed_list_is_logged_and_the_current_list_stays() {
    assert_rejected("", "invalid endpoint list: EOF while parsing", 7);
    assert_rejected(r#"{"seq":2,"whole":true,"hosts":[OLD"#, "invalid endpoint list: ", 7);
    assert_rejected(r#"{"seq":2,"whole":true,"hosts":[{"dial":null}]}"#, "hosts[0]: missing field `host`", 7);
}

#[test]
fn empty_list_and_list_with_a_duplicate_server_are_rejected() {
    assert_rejected(&snapshot(2, &[]), "list rejected: hosts: empty, although 1 ready servers are known", 7);
    assert_rejected(r#"{"seq":2,"whole":true}"#, "list rejected: hosts: empty", 7);
    assert_rejected(
        r#"{"seq":2,"whole":true,"hosts":[OLD,OLD]}"#,
        "hosts[1]: duplicate id s-1, first listed at hosts[0]",
        7,
    );
}

#[test]
fn older_version_is_rejected_and_a_snapshot_requested() {
    let server = CacheServer::serving("value");
    let discovery = Discovery::start(&[server.endpoint("s-1", "ready")]);
    let node = Node::start_ready(&config(discovery.address));
    discovery.wait_until_applied(1);
    discovery.publish_text(r#"{"seq":0,"whole":false,"hosts":[]}"#.into());
    wait_for("the rejection", || node.logged("seq: 0 is older than 1, the version of the current list") >= 1);
    let before = discovery.received.lock().unwrap().iter().filter(|path| !path.contains("after")).count();
    wait_for("a request for a snapshot", || {
        discovery.received.lock().unwrap().iter().filter(|path| !path.contains("after")).count() > before
    });
    assert_eq!(node.read("read", 1).body, b"value");
}

/// A discovery service that lost its stored state restarts its version numbers. A node that always rejected
/// older versions would never accept its lists again and would keep a stale list.
#[test]
fn discovery_with_restarted_versions_is_accepted_after_three_lists() {
    let (old, new) = (CacheServer::serving("old"), CacheServer::serving("new"));
    let discovery = Discovery::start(&[old.endpoint("s-1", "ready")]);
    let node = Node::start_ready(&config(discovery.address));
    discovery.wait_until_applied(1);
    discovery.publish_text(snapshot(0, &[new.endpoint("s-2", "ready")]));
    wait_for("the list to be accepted", || {
        node.logged("accepted, since it was received 3 times in a row") == 1
    });
    assert_eq!(node.logged("list rejected: seq: 0 is older than 1"), 2);
    wait_for("the new server to be used", || node.read("read", 1).body == b"new");
}

/// Starts a discovery service that responds to the first request with a snapshot of these two endpoints.
/// `then` returns the behavior for each later request, given its number from 1.
fn scripted_discovery(
    endpoints: [Value; 2],
    then: impl Fn(usize) -> ServerBehavior + Send + Sync + 'static,
) -> CacheServer {
    let first = response("200 OK", "", &snapshot(1, &endpoints));
    let polls = AtomicUsize::new(0);
    CacheServer::start(move |_| match polls.fetch_add(1, Ordering::SeqCst) {
        0 => ServerBehavior::Respond(first.clone()),
        poll => then(poll),
    })
}

/// Checks that a node avoids a server that an invalid list reports as leaving. The node has two servers and
/// receives `text`, in which `LEAVING` stands for the entry of one of them. `respond` converts the text into
/// the response; discovery sends nothing after it. The node must log `message` and send no requests to the
/// leaving server.
fn assert_leaving_avoided(text: &str, respond: fn(String) -> ServerBehavior, message: &str) -> Node {
    let (leaving, staying) = (CacheServer::serving("leaving"), CacheServer::serving("staying"));
    let text = text.replace("LEAVING", &leaving.endpoint("s-1", "draining").to_string());
    let shown = text.clone();
    let endpoints = [leaving.endpoint("s-1", "ready"), staying.endpoint("s-2", "ready")];
    let both_used = std::sync::Arc::new(AtomicUsize::new(0));
    let may_respond = both_used.clone();
    let discovery = scripted_discovery(endpoints, move |poll| {
        if poll > 1 {
            return ServerBehavior::NoResponse;
        }
        // The response is delayed until both servers have received requests.
        while may_respond.load(Ordering::SeqCst) == 0 {
            std::thread::sleep(Duration::from_millis(5));
        }
        respond(text.clone())
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

/// Responds with the complete text.
fn complete(text: String) -> ServerBehavior {
    ServerBehavior::Respond(response("200 OK", "", &text))
}

/// Responds with a `Content-Length` beyond the text, and closes the connection after the text.
fn truncated(text: String) -> ServerBehavior {
    ServerBehavior::RespondAndClose(format!("HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n{text}"))
}

/// Responds with a `Content-Length` beyond the text, and leaves the connection open after the text.
fn stalled(text: String) -> ServerBehavior {
    ServerBehavior::Respond(format!("HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n{text}"))
}

/// A node counts as notified of all entries that discovery has written. If the node waited for the rest of a
/// truncated or stalled response, it would send requests to a server that is shutting down. Entries must be
/// read as they arrive.
#[test]
fn drain_in_a_truncated_or_stalled_response_is_applied() {
    assert_leaving_avoided(r#"{"seq":2,"whole":false,"hosts":[LEAVING,{"host":"s-"#, truncated, AVOIDED);
    let cut = r#"{"seq":2,"whole":false,"hosts":[LEAVING"#;
    let indented = "{\n  \"seq\": 2,\n  \"whole\": false,\n  \"hosts\": [\n    LEAVING,\n";
    for text in [cut, indented] {
        let node = assert_leaving_avoided(text, stalled, AVOIDED);
        // The server is avoided while the response is incomplete, not only when the response times out.
        let log = node.log.lock().unwrap();
        let at = |message: &str| log.iter().position(|line| line.contains(message));
        assert!(
            at(AVOIDED).unwrap() < at("timed out waiting for the response").unwrap_or(usize::MAX),
            "{log:?}"
        );
    }
}

/// A response that has begun shows that there are changes. If the node waited for its end as long as for a
/// watch without events, it would learn of the changes too late.
#[test]
fn stalled_response_times_out_before_the_wait_of_its_watch() {
    let (one, two) = (CacheServer::serving("one"), CacheServer::serving("two"));
    let endpoints = [one.endpoint("s-1", "ready"), two.endpoint("s-2", "ready")];
    let discovery = scripted_discovery(endpoints, |poll| match poll {
        1 => stalled(r#"{"seq":2,"#.into()),
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

/// A malformed entry makes the whole list invalid, but the node still counts as notified of the drain of
/// another server in it.
#[test]
fn drain_in_a_malformed_or_rejected_list_is_applied() {
    let malformed =
        r#"{"seq":2,"whole":false,"hosts":[LEAVING,{"host":"s-3","dial":"nowhere","health":"ready"}]}"#;
    assert_leaving_avoided(malformed, complete, "hosts[1].dial: invalid socket address syntax");
    assert_leaving_avoided(malformed, complete, AVOIDED);
    assert_leaving_avoided(r#"{"seq":2,"whole":true,"hosts":[LEAVING,LEAVING]}"#, complete, AVOIDED);
    assert_leaving_avoided(r#"{"seq":0,"whole":false,"hosts":[LEAVING]}"#, complete, AVOIDED);
}

#[test]
fn drain_from_a_truncated_response_lasts_until_a_snapshot_differs() {
    let (one, two) = (CacheServer::serving("one"), CacheServer::serving("two"));
    let endpoints = [one.endpoint("s-1", "ready"), two.endpoint("s-2", "ready")];
    let truncated_list = format!(r#"{{"seq":2,"whole":false,"hosts":[{},"#, one.endpoint("s-1", "draining"));
    let second_snapshot = snapshot(2, &endpoints);
    let discovery = scripted_discovery(endpoints.clone(), move |poll| match poll {
        1 => truncated(truncated_list.clone()),
        2 => ServerBehavior::Respond(response("200 OK", "", &second_snapshot)),
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

/// A discovery agent receives lists by push, but sends them to a node only when polled. A node that polled
/// only once, or stopped polling while the agent did not respond, would keep its first list forever.
#[test]
fn agent_is_polled_repeatedly_even_after_polls_without_a_response() {
    let (leaving, staying) = (CacheServer::serving("leaving"), CacheServer::serving("staying"));
    let endpoints = [leaving.endpoint("s-1", "ready"), staying.endpoint("s-2", "ready")];
    let drained =
        json!({"seq": 2, "whole": false, "hosts": [leaving.endpoint("s-1", "draining")]}).to_string();
    let agent = scripted_discovery(endpoints, move |poll| match poll {
        // The agent sends no response on any connection while discovery is down.
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

/// Without a pause between polls, a discovery service that ignores the requested wait and responds to each
/// watch at once would be polled in a busy loop.
#[test]
fn discovery_that_ignores_the_wait_is_not_polled_in_a_busy_loop() {
    let server = CacheServer::serving("value");
    let endpoints = [server.endpoint("s-1", "ready"), server.endpoint("s-2", "ready")];
    let nothing = json!({"seq": 1, "whole": false, "hosts": []}).to_string();
    let discovery =
        scripted_discovery(endpoints, move |_| ServerBehavior::Respond(response("200 OK", "", &nothing)));
    let node = Node::start_ready(&config(discovery.address));
    wait_for("watches", || discovery.request_count() >= 3);
    let (before, mut client) = (discovery.request_count(), node.client());
    for key in 0..1_000 {
        assert_eq!(client.request(&read_request("read", key, 20_000)).body, b"value");
    }
    // Without a pause, there would be as many polls as discovery can respond to.
    let polls = discovery.request_count() - before;
    assert!(polls < 200, "{polls} polls during 1000 reads");
}

/// A second copy of a list that is taken for the answer to the next poll changes nothing: lists name their
/// version. Guards against a node that follows discovery one answer late, and sends requests to a server after
/// it was notified that the server is draining.
#[test]
fn second_copies_of_lists_delay_no_change() {
    let servers = [CacheServer::serving("0"), CacheServer::serving("1"), CacheServer::serving("2")];
    let names = ["s-0", "s-1", "s-2"];
    let entry = |index: usize, health: &str| servers[index].endpoint(names[index], health);
    let discovery = Discovery::start_with_second_copies(&[entry(0, "ready"), entry(1, "ready")]);
    let node = Node::start_ready(&config(discovery.address));
    let changes = [(0, "draining"), (2, "ready"), (1, "draining"), (0, "ready"), (2, "draining")];
    for (version, (index, health)) in (2..).zip(changes) {
        let before = servers[index].request_count();
        discovery.publish(false, &[entry(index, health)]);
        discovery.wait_until_applied(version);
        for key in 0..20 {
            assert_eq!(node.read("read", key).status(), 200);
        }
        let received = servers[index].request_count() > before;
        assert_eq!(received, health == "ready", "version {version}: {} is {health}", names[index]);
    }
}
