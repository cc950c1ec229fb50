//! Cold servers, and nodes that know nothing yet and share nothing.

mod common;

use balancer_core::*;
use common::{ms, settings, Node};
use std::time::Duration;

const SPAN: Duration = Duration::from_millis(1_500);

fn of_many(nodes: u32, cold_share: f64) -> Settings {
    let (warm_within, fall_multiple, fall_span) = (ms(60_000), 3.0, SPAN);
    Settings {
        nodes,
        slow_start_min_fraction: cold_share,
        slow_start_window: warm_within,
        slow_start_overload_factor: fall_multiple,
        slow_start_overload_window: fall_span,
        ..settings()
    }
}

/// Lets `count` nodes that have just started serve `rate` requests a second together, for a while, and gives the most that
/// the server "cold" was sent in any span.
fn most_in_a_span(count: u32, cold_share: f64, servers: &[Endpoint], rate: u64) -> usize {
    let mut nodes: Vec<_> = (0..count)
        .map(|seed| {
            let mut node = Node::new(of_many(count, cold_share), u64::from(seed) + 1);
            node.apply_snapshot(servers.to_vec());
            node
        })
        .collect();
    let mut sent = Vec::new();
    for request in 0..rate * 8 {
        let at = Duration::from_micros(request * 1_000_000 / rate);
        let node = &mut nodes[(request % u64::from(count)) as usize];
        let start = Timestamp::from_micros(3_000_000_000);
        node.advance((start + at).since(node.now));
        if node.call(request * 7_919, AttemptStatus::Ok).is_some_and(|server| server.as_str() == "cold") {
            sent.push(at);
        }
    }
    sent.iter()
        .map(|&from| sent.iter().filter(|&&at| at >= from && at < from + SPAN).count())
        .max()
        .unwrap_or(0)
}

fn cold(started: Timestamp) -> Endpoint {
    Endpoint { started_at: Some(started), ..Endpoint::new("cold") }
}

/// Nodes that start together know nothing of each other. If each sent a warming server the whole allowance,
/// or took it for warm, they would overload it together.
#[test]
fn nodes_that_start_together_do_not_overload_a_warming_server() {
    let now = Timestamp::from_micros(3_000_000_000);
    let mut servers: Vec<_> = (0..9).map(|i| Endpoint::new(&format!("warm-{i}"))).collect();
    servers.push(cold(now));
    // 400 a second over ten servers: a warm one gets 60 in a span. A cold one of 0.3 of its size falls at 0.9 of that.
    let bound = (400.0 * SPAN.as_secs_f64() / 10.0 * 0.3 * 3.0) as usize;
    for count in [1, 20, 100] {
        let most = most_in_a_span(count, 0.3, &servers, 400);
        assert!(most <= bound, "{count} nodes sent {most}, {bound} is the most");
    }
    // Taken for warm it gets more than it can bear: the bound is one that can be missed.
    let most = most_in_a_span(20, 1.0, &servers, 400);
    assert!(most > bound, "{most}");
}

/// Where every server is warming up, no prompt answer comes before something is sent: an allowance that is
/// only earned would never begin, and one that counts every answer would grow at once past what servers bear.
#[test]
fn with_every_server_warming_up_the_load_begins_low_and_grows() {
    let now = Timestamp::from_micros(3_000_000_000);
    let servers: Vec<_> =
        ["a", "b", "c", "cold"].map(|id| Endpoint { started_at: Some(now), ..Endpoint::new(id) }).to_vec();
    for count in [1, 20] {
        let mut nodes: Vec<_> = (0..count)
            .map(|seed| {
                let mut node = Node::new(of_many(count, 0.3), u64::from(seed) + 1);
                node.apply_snapshot(servers.clone());
                node
            })
            .collect();
        let mut served = [0; 6];
        for request in 0..400 * 12_u64 {
            let at = Duration::from_micros(request * 2_500);
            let node = &mut nodes[(request % u64::from(count)) as usize];
            node.advance((now + at).since(node.now));
            node.request(0, request * 7_919, ms(400));
            // Those that were held for room among them.
            for id in node.ids_in_flight() {
                node.answer(&id, AttemptStatus::Ok);
                served[(at.as_secs() / 2) as usize] += 1;
            }
        }
        // 800 are asked every two seconds; all may send 2 of them in a slot of 0.75 s to each of four at first.
        assert!((5..200).contains(&served[0]), "{count} nodes: {served:?}");
        assert!(served[5] > 400, "{count} nodes: {served:?}");
        let grows = served.windows(2).all(|pair| pair[1] * 10 >= pair[0] * 8);
        assert!(grows, "{count} nodes: {served:?}");
    }
}

/// Whether a node that serves steadily holds back from the server of this name right after this happened to its list.
fn held_back(starts_told: bool, change: impl FnOnce(&mut Node)) -> bool {
    let mut node = Node::new(Settings { start_times_reported: starts_told, ..of_many(1, 0.1) }, 1);
    node.apply_snapshot(["a", "b"].map(Endpoint::new).to_vec());
    for key in 0..200 {
        node.call(key, AttemptStatus::Ok);
        node.advance(ms(5));
    }
    change(&mut node);
    let mut sent = 0;
    for key in 0..400 {
        sent += usize::from(node.call(key, AttemptStatus::Ok).is_some_and(|server| server.as_str() == "b"));
        node.advance(ms(5));
    }
    sent < 100
}

/// Where discovery reports no start times, a server that joins the list or returns to it has most likely just
/// started. Taken for warm, it would be overloaded; the servers of the first list taken for new would be sent
/// too little.
#[test]
fn a_server_that_joins_a_list_without_start_times_is_warming_up() {
    let both = || ["a", "b"].map(Endpoint::new).to_vec();
    let alone = || vec![Endpoint::new("a")];
    let draining = || Endpoint { state: EndpointState::Draining, ..Endpoint::new("b") };
    assert!(!held_back(false, |_| {}));
    // The same list again, as a file gives it.
    assert!(!held_back(false, |node| node.apply_snapshot(both())));
    let comes_back = |node: &mut Node| {
        node.apply_snapshot(alone());
        node.apply_snapshot(both());
    };
    assert!(held_back(false, comes_back));
    assert!(!held_back(true, comes_back), "a list that tells starts would tell this one");
    let drained = |node: &mut Node| {
        node.apply_delta(vec![draining()]);
        node.apply_delta(vec![Endpoint::new("b")]);
        node.apply_snapshot(both());
    };
    assert!(held_back(false, drained));
    assert!(!held_back(true, drained));
}
