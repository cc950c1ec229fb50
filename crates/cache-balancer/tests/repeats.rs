//! Repeated attempts on sockets, where time passes between the decision and the first byte.

mod common;
mod unreachable;

use common::*;
use serde_json::json;
use std::thread::sleep;
use std::time::{Duration, Instant};
use unreachable::Unreachable;

/// Shorter than the connection of the repeat takes to come up: the system asks again after one second, and after two more.
const WINDOW: Duration = Duration::from_secs(2);

// Guards against a repeat that sets out within its window and begins after it, when its connection comes up: it would run a
// second time.
#[test]
fn no_repeat_begins_after_its_window_though_it_set_out_within() {
    let late = Unreachable::start();
    let broken = CacheServer::start(|_| Does::Close(String::new()));
    let discovery = Discovery::start(&[broken.entry("s-1", "ready"), host("s-2", late.address, "ready")]);
    let mut config = config(discovery.address);
    let keyed =
        config["settings"]["lanes"].as_array_mut().unwrap().iter_mut().find(|lane| lane["name"] == "keyed");
    keyed.unwrap()["repeat_window_us"] = json!(WINDOW.as_micros() as u64);
    let node = Node::ready(&config);
    let put = |key| {
        read("keyed", key, 20_000)
            .replace("GET", "PUT")
            .replace("\r\n\r\n", "\r\nIdempotency-Key: k\r\nContent-Length: 3\r\n\r\nnew")
    };
    // Until one goes to the broken server first: its repeat waits for the other's connection.
    let mut waiting = Vec::new();
    let began = (1..)
        .find_map(|key| {
            let mut client = node.client();
            let began = Instant::now();
            client.send(&put(key));
            waiting.push(client);
            wait_for("the connection that does not come up", || late.connecting() == waiting.len());
            (broken.count() > 0).then_some(began)
        })
        .unwrap();
    sleep(WINDOW.saturating_sub(began.elapsed()) + Duration::from_millis(200));
    late.serve("value");
    let mut repeated = waiting.pop().unwrap();
    let status = repeated.answer().expect("an answer").status();
    assert!([502, 503].contains(&status), "{status}: its window was over before it could begin");
    // The others were first attempts, which no window bounds.
    for mut first in waiting {
        assert_eq!(first.answer().expect("an answer").status(), 200);
    }
}
