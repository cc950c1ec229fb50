//! Lists that cannot be right, on sockets: the node goes on with the one it holds, says what was wrong and where, and takes
//! the next good one.

mod common;

use common::*;
use serde_json::{json, Value};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// A node that serves from a list of one server, is told `text`, and says `words` of it; then a good list of another server
/// comes, with `seq`.
fn told(text: &str, words: &str, seq: u64) {
    let (old, new) = (CacheServer::serving("old"), CacheServer::serving("new"));
    let discovery = Discovery::start(&[old.entry("s-1", "ready")]);
    let node = Node::ready(&config(discovery.address));
    discovery.wait_until_told(1);
    discovery.tell_text(text.replace("OLD", &old.entry("s-1", "ready").to_string()));
    wait_for(&format!("{words}, of {text}"), || node.said(words) >= 1);
    for key in 0..5 {
        assert_eq!(node.read("read", key).body, b"old", "{text}");
    }
    let good = json!({"seq": seq, "whole": true, "hosts": [new.entry("s-2", "ready")]});
    discovery.tell_text(good.to_string());
    discovery.wait_until_told(seq);
    for key in 0..5 {
        assert_eq!(node.read("read", key).body, b"new", "{text}");
    }
}

fn whole(seq: u64, hosts: &[Value]) -> String {
    json!({"seq": seq, "whole": true, "hosts": hosts}).to_string()
}

#[test]
fn a_list_that_cannot_be_read_is_named_with_its_place_and_the_old_one_stays() {
    told("", "not a list: EOF while parsing", 7);
    told(r#"{"seq":2,"whole":true,"hosts":[OLD"#, "not a list: ", 7);
    told(r#"{"seq":2,"whole":true,"hosts":[{"dial":null}]}"#, "hosts[0]: missing field `host`", 7);
}

#[test]
fn a_list_without_hosts_and_one_with_a_server_twice_are_not_taken() {
    told(&whole(2, &[]), "list not taken: hosts: empty, where 1 ready servers are known", 7);
    told(r#"{"seq":2,"whole":true}"#, "list not taken: hosts: empty", 7);
    told(r#"{"seq":2,"whole":true,"hosts":[OLD,OLD]}"#, "hosts[1]: s-1 again, which stands at hosts[0]", 7);
}

#[test]
fn a_version_that_goes_back_is_not_taken_and_the_next_call_asks_for_the_whole_list() {
    let server = CacheServer::serving("value");
    let discovery = Discovery::start(&[server.entry("s-1", "ready")]);
    let node = Node::ready(&config(discovery.address));
    discovery.wait_until_told(1);
    discovery.tell_text(r#"{"seq":0,"whole":false,"hosts":[]}"#.into());
    wait_for("the doubt", || node.said("seq: 0, older than 1, which is held") >= 1);
    let before = discovery.asked.lock().unwrap().iter().filter(|path| !path.contains("after")).count();
    wait_for("a call for the whole list", || {
        discovery.asked.lock().unwrap().iter().filter(|path| !path.contains("after")).count() > before
    });
    assert_eq!(node.read("read", 1).body, b"value");
}

// Guards against a discovery that lost its versions, and would never be heard again.
#[test]
fn a_discovery_that_counts_anew_is_heard_at_the_third_time() {
    let (old, new) = (CacheServer::serving("old"), CacheServer::serving("new"));
    let discovery = Discovery::start(&[old.entry("s-1", "ready")]);
    let node = Node::ready(&config(discovery.address));
    discovery.wait_until_told(1);
    discovery.tell_text(whole(0, &[new.entry("s-2", "ready")]));
    wait_for("it to be believed", || node.said("accepted, since it came 3 times in a row") == 1);
    assert_eq!(node.said("list not taken: seq: 0, older than 1"), 2);
    wait_for("its server to be used", || node.read("read", 1).body == b"new");
}

/// A discovery that answers the first call with a whole list in which two servers are ready, and the calls after it as `then`
/// says, the first of them being number 1.
fn scripted(hosts: [Value; 2], then: impl Fn(usize) -> Does + Send + Sync + 'static) -> CacheServer {
    let first = answer("200 OK", "", &whole(1, &hosts));
    let calls = AtomicUsize::new(0);
    CacheServer::start(move |_| match calls.fetch_add(1, Ordering::SeqCst) {
        0 => Does::Answer(first.clone()),
        call => then(call),
    })
}

/// A node that is told in `text`, which is no list that it takes, that one of its two servers is leaving; after that its
/// discovery says nothing more. `end` is how the answer goes on behind the text.
fn heeded(text: &str, end: fn(String) -> Does, words: &str) -> Node {
    let (leaving, staying) = (CacheServer::serving("leaving"), CacheServer::serving("staying"));
    let text = text.replace("LEAVING", &leaving.entry("s-1", "draining").to_string());
    let shown = text.clone();
    let hosts = [leaving.entry("s-1", "ready"), staying.entry("s-2", "ready")];
    let told = std::sync::Arc::new(AtomicUsize::new(0));
    let served = told.clone();
    let discovery = scripted(hosts, move |call| {
        if call > 1 {
            return Does::Nothing;
        }
        // Both servers have had work before.
        while served.load(Ordering::SeqCst) == 0 {
            std::thread::sleep(Duration::from_millis(5));
        }
        end(text.clone())
    });
    let node = Node::ready(&config(discovery.address));
    wait_for("both servers to be used", || {
        (0..50).for_each(|key| drop(node.read("read", key)));
        leaving.count() > 0 && staying.count() > 0
    });
    told.store(1, Ordering::SeqCst);
    wait_for(&format!("{words}, of {shown}"), || node.said(words) >= 1);
    let before = leaving.count();
    for key in 0..50 {
        assert_eq!(node.read("read", key).body, b"staying", "{shown}");
    }
    assert_eq!(leaving.count(), before, "{shown}");
    node
}

const HEEDED: &str = "1 servers told to be leaving in an answer that is no list, heeded";

/// The whole answer.
fn complete(text: String) -> Does {
    Does::Answer(answer("200 OK", "", &text))
}

/// Says that more comes, and closes.
fn broken_off(text: String) -> Does {
    Does::Close(format!("HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n{text}"))
}

/// Says that more comes, which never does, on a connection that stays open.
fn without_end(text: String) -> Does {
    Does::Answer(format!("HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n{text}"))
}

#[test]
fn a_drain_is_heeded_although_the_answer_that_tells_it_breaks_off_or_never_ends() {
    heeded(r#"{"seq":2,"whole":false,"hosts":[LEAVING,{"host":"s-"#, broken_off, HEEDED);
    let cut = r#"{"seq":2,"whole":false,"hosts":[LEAVING"#;
    let indented = "{\n  \"seq\": 2,\n  \"whole\": false,\n  \"hosts\": [\n    LEAVING,\n";
    for text in [cut, indented] {
        let node = heeded(text, without_end, HEEDED);
        // While it is still coming, not when it is given up.
        let log = node.log.lock().unwrap();
        let at = |words: &str| log.iter().position(|line| line.contains(words));
        assert!(at(HEEDED).unwrap() < at("no answer in time").unwrap_or(usize::MAX), "{log:?}");
    }
}

// Guards against an answer that has begun and never ends, waited for as long as a watch with nothing to tell.
#[test]
fn an_answer_that_stalls_is_given_up_before_the_wait_of_its_watch_is_over() {
    let (one, two) = (CacheServer::serving("one"), CacheServer::serving("two"));
    let hosts = [one.entry("s-1", "ready"), two.entry("s-2", "ready")];
    let discovery = scripted(hosts, |call| match call {
        1 => without_end(r#"{"seq":2,"#.into()),
        _ => Does::Nothing,
    });
    let _node = Node::ready(&config(discovery.address));
    wait_for("the watch", || discovery.count() >= 2);
    let began = Instant::now();
    wait_for("the next call", || discovery.count() >= 3);
    let asked = discovery.asked.lock().unwrap()[1].start.clone();
    let wait = asked.split_once("wait_ms=").unwrap().1.split(' ').next().unwrap().parse().unwrap();
    assert!(began.elapsed() < Duration::from_millis(wait), "{asked}");
}

#[test]
fn a_drain_is_heeded_although_another_entry_or_the_list_as_a_whole_is_not_taken() {
    let bad = r#"{"seq":2,"whole":false,"hosts":[LEAVING,{"host":"s-3","dial":"nowhere","health":"ready"}]}"#;
    heeded(bad, complete, "hosts[1].dial: invalid socket address syntax");
    heeded(bad, complete, HEEDED);
    heeded(r#"{"seq":2,"whole":true,"hosts":[LEAVING,LEAVING]}"#, complete, HEEDED);
    heeded(r#"{"seq":0,"whole":false,"hosts":[LEAVING]}"#, complete, HEEDED);
}

#[test]
fn what_was_heeded_holds_until_the_whole_list_says_otherwise() {
    let (one, two) = (CacheServer::serving("one"), CacheServer::serving("two"));
    let hosts = [one.entry("s-1", "ready"), two.entry("s-2", "ready")];
    let spoilt = format!(r#"{{"seq":2,"whole":false,"hosts":[{},"#, one.entry("s-1", "draining"));
    let again = whole(2, &hosts);
    let discovery = scripted(hosts.clone(), move |call| match call {
        1 => broken_off(spoilt.clone()),
        2 => Does::Answer(answer("200 OK", "", &again)),
        _ => Does::Nothing,
    });
    let node = Node::ready(&config(discovery.address));
    wait_for("the drain to be heeded", || node.said(HEEDED) == 1);
    wait_for("the whole list to be asked for and the watch after it", || discovery.count() >= 4);
    assert!(!discovery.asked.lock().unwrap()[2].start.contains("after="), "the whole list");
    wait_for("the server to be used again", || {
        (0..50).for_each(|key| drop(node.read("read", key)));
        one.count() > 0
    });
}

// Guards against a node that waits to be told to ask: an agent tells nothing to one that does not call.
#[test]
fn pushed_lists_are_asked_of_the_agent_again_and_again_also_after_it_was_silent() {
    let (leaving, staying) = (CacheServer::serving("leaving"), CacheServer::serving("staying"));
    let hosts = [leaving.entry("s-1", "ready"), staying.entry("s-2", "ready")];
    let drained = json!({"seq": 2, "whole": false, "hosts": [leaving.entry("s-1", "draining")]}).to_string();
    let agent = scripted(hosts, move |call| match call {
        // Silent, as it is while discovery is down, on every connection.
        1..=5 => Does::Nothing,
        6 => Does::Answer(answer("200 OK", "", &drained)),
        _ => Does::Nothing,
    });
    let mut config = config(agent.address);
    config["settings"]["membership_mode"] = json!("automatic");
    let node = Node::ready(&config);
    wait_for("the drain to be told", || agent.count() >= 8);
    for key in 0..50 {
        assert_eq!(node.read("read", key).body, b"staying");
    }
}

// Guards against a loop without a pause where a discovery does not wait as it is asked to.
#[test]
fn a_discovery_that_answers_every_watch_at_once_is_not_asked_without_end() {
    let server = CacheServer::serving("value");
    let hosts = [server.entry("s-1", "ready"), server.entry("s-2", "ready")];
    let nothing = json!({"seq": 1, "whole": false, "hosts": []}).to_string();
    let discovery = scripted(hosts, move |_| Does::Answer(answer("200 OK", "", &nothing)));
    let node = Node::ready(&config(discovery.address));
    wait_for("watches", || discovery.count() >= 3);
    let (before, mut client) = (discovery.count(), node.client());
    for key in 0..1_000 {
        assert_eq!(client.ask(&read("read", key, 20_000)).body, b"value");
    }
    // One that asks without a pause asks as often as it answers.
    let calls = discovery.count() - before;
    assert!(calls < 200, "{calls} calls beside a thousand reads");
}
