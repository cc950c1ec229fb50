//! Lists that cannot be right, on sockets: the node goes on with the one it holds, says what was wrong and where, and takes
//! the next good one.

mod common;

use common::*;
use serde_json::{json, Value};

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
    told(&whole(2, &[]), "list not taken: hosts: nobody, where 1 ready servers are known", 7);
    told(r#"{"seq":2,"whole":true}"#, "list not taken: hosts: nobody", 7);
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
    wait_for("it to be believed", || node.said("taken, since it was told 3 times in a row") == 1);
    assert_eq!(node.said("list not taken: seq: 0, older than 1"), 2);
    wait_for("its server to be used", || node.read("read", 1).body == b"new");
}
