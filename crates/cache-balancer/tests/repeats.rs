//! Retries on sockets, where time passes between the decision and the first byte.

mod common;
mod unreachable;

use common::*;
use serde_json::json;
use std::thread::sleep;
use std::time::{Duration, Instant};
use unreachable::Unreachable;

/// Shorter than the connection of the retry takes to come up: the system tries again after one second, and
/// after two more.
const WINDOW: Duration = Duration::from_secs(2);

/// A retry set out within its deduplication window and started after it, when its connection came up: it
/// would have run a second time.
#[test]
fn no_retry_starts_after_its_deduplication_window_though_it_set_out_within() {
    let late = Unreachable::start();
    let broken = CacheServer::start(|_| ServerBehavior::RespondAndClose(String::new()));
    let discovery = Discovery::start(&[broken.entry("s-1", "ready"), endpoint("s-2", late.address, "ready")]);
    let mut config = config(discovery.address);
    let keyed =
        config["settings"]["lanes"].as_array_mut().unwrap().iter_mut().find(|lane| lane["name"] == "keyed");
    keyed.unwrap()["repeat_window_us"] = json!(WINDOW.as_micros() as u64);
    let node = Node::start_ready(&config);
    // Until one goes to the broken server first: its retry waits for the other's connection.
    let mut waiting = Vec::new();
    let began = (1..)
        .find_map(|key| {
            let mut client = node.client();
            let began = Instant::now();
            client.send(&write_request(key, 20_000));
            waiting.push(client);
            wait_for("the connection that does not come up", || late.connecting_count() == waiting.len());
            (broken.request_count() > 0).then_some(began)
        })
        .unwrap();
    sleep(WINDOW.saturating_sub(began.elapsed()) + Duration::from_millis(200));
    late.serve("value");
    let mut retried = waiting.pop().unwrap();
    let status = retried.receive().expect("a response").status();
    assert!([502, 503].contains(&status), "{status}: its window was over before it could start");
    // The others were first attempts, which no window bounds.
    for mut first in waiting {
        assert_eq!(first.receive().expect("a response").status(), 200);
    }
}
