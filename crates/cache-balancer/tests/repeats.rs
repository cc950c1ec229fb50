//! Tests retries on sockets, where time passes between the decision to retry and the first byte.

mod common;
mod unreachable;

use common::*;
use serde_json::json;
use std::thread::sleep;
use std::time::{Duration, Instant};
use unreachable::Unreachable;

/// The deduplication window. It is shorter than the time that the retry's connection takes to be established:
/// the kernel retransmits the SYN after one second, and again after two more.
const WINDOW: Duration = Duration::from_secs(2);

/// Guards against a request that runs twice: a retry was started within the deduplication window, but its
/// connection was established, and the retry sent, only after the window.
#[test]
fn retry_is_not_sent_if_its_connection_is_established_after_the_deduplication_window() {
    let late = Unreachable::start();
    let broken = CacheServer::start(|_| ServerBehavior::RespondAndClose(String::new()));
    let discovery =
        Discovery::start(&[broken.endpoint("s-1", "ready"), endpoint("s-2", late.address, "ready")]);
    let mut config = config(discovery.address);
    let keyed =
        config["settings"]["lanes"].as_array_mut().unwrap().iter_mut().find(|lane| lane["name"] == "keyed");
    keyed.unwrap()["repeat_window_us"] = json!(WINDOW.as_micros() as u64);
    let node = Node::start_ready(&config);
    // Sends requests until the first attempt of one goes to the broken server. Its retry then waits for the
    // connection to the other server.
    let mut waiting = Vec::new();
    let began = (1..)
        .find_map(|key| {
            let mut client = node.client();
            let began = Instant::now();
            client.send(&write_request(key, 20_000));
            waiting.push(client);
            wait_for("the connection that is not established", || late.connecting_count() == waiting.len());
            (broken.request_count() > 0).then_some(began)
        })
        .unwrap();
    sleep(WINDOW.saturating_sub(began.elapsed()) + Duration::from_millis(200));
    late.serve("value");
    let mut retried = waiting.pop().unwrap();
    let status = retried.receive().expect("a response").status();
    assert!([502, 503].contains(&status), "status {status}: the window ended before the retry could be sent");
    // The other requests are first attempts, to which no window applies.
    for mut first in waiting {
        assert_eq!(first.receive().expect("a response").status(), 200);
    }
}
