//! Slow start: what one node and many nodes send a server that is warming up.

mod common;

use balancer_core::*;
use common::{ms, settings, Node};
use std::time::Duration;

/// Window over which the load of a warming server is counted.
const OVERLOAD_WINDOW: Duration = Duration::from_millis(1_500);
/// Start of the clock of a [`Node`].
const START: Timestamp = Timestamp::from_micros(3_000_000_000);

fn slow_start_settings(nodes: u32, min_fraction: f64) -> Settings {
    Settings {
        nodes,
        slow_start_min_fraction: min_fraction,
        slow_start_window: ms(60_000),
        slow_start_overload_factor: 3.0,
        slow_start_overload_window: OVERLOAD_WINDOW,
        ..settings()
    }
}

/// `count` nodes with these settings and servers; their seeds count up from 1.
fn nodes_with(count: u32, settings: &Settings, servers: &[Endpoint]) -> Vec<Node> {
    let node = |seed: u32| {
        let mut node = Node::new(settings.clone(), u64::from(seed));
        node.apply_snapshot(servers.to_vec());
        node
    };
    (1..=count).map(node).collect()
}

/// The server that starts with the nodes.
fn warming_server() -> Endpoint {
    Endpoint { started_at: Some(START), ..Endpoint::new("cold") }
}

/// Lets `count` nodes that have just started serve `rate` requests a second together, for 8 s. Returns the most requests
/// that the warming server was sent in any window.
fn most_in_a_window(count: u32, min_fraction: f64, servers: &[Endpoint], rate: u64) -> usize {
    let mut nodes = nodes_with(count, &slow_start_settings(count, min_fraction), servers);
    let warming_server = warming_server().id;
    let mut sent = Vec::new();
    for request in 0..rate * 8 {
        let at = Duration::from_micros(request * 1_000_000 / rate);
        let node = &mut nodes[(request % u64::from(count)) as usize];
        node.advance((START + at).since(node.now));
        if node.call(request * 7_919, AttemptStatus::Ok) == Some(warming_server.clone()) {
            sent.push(at);
        }
    }
    sent.iter()
        .map(|&from| sent.iter().filter(|&&at| at >= from && at < from + OVERLOAD_WINDOW).count())
        .max()
        .unwrap_or(0)
}

/// Nodes that start together know nothing of each other. If each sent a warming server the whole allowance, or took it for
/// warm, they would overload it together.
#[test]
fn nodes_that_start_together_do_not_overload_a_warming_server() {
    let mut servers: Vec<_> = (0..9).map(|i| Endpoint::new(&format!("warm-{i}"))).collect();
    servers.push(warming_server());
    // 400 a second over ten servers: a warm one gets 60 in a window. One at 0.3 of its capacity is overloaded at 0.9 of that.
    let bound = (400.0 * OVERLOAD_WINDOW.as_secs_f64() / 10.0 * 0.3 * 3.0) as usize;
    for count in [1, 20, 100] {
        let most = most_in_a_window(count, 0.3, &servers, 400);
        assert!(most <= bound, "{count} nodes sent {most}, {bound} is the most");
    }
    // Taken for warm it is sent more than it can bear, so the bound can be missed.
    let most = most_in_a_window(20, 1.0, &servers, 400);
    assert!(most > bound, "{most}");
}

/// Where every server is warming up, no prompt answer comes before something is sent: an allowance that is only earned
/// would never begin, and one that counts every answer would grow at once past what servers bear.
#[test]
fn with_every_server_warming_up_the_load_begins_low_and_grows() {
    let servers = ["a", "b", "c", "cold"].map(|id| Endpoint { started_at: Some(START), ..Endpoint::new(id) });
    for count in [1, 20] {
        let mut nodes = nodes_with(count, &slow_start_settings(count, 0.3), &servers);
        // In each two seconds.
        let mut served = [0; 6];
        for request in 0..400 * 12_u64 {
            let at = Duration::from_micros(request * 2_500);
            let node = &mut nodes[(request % u64::from(count)) as usize];
            node.advance((START + at).since(node.now));
            node.request(0, request * 7_919, ms(400));
            // Those among them that were queued for capacity.
            for id in node.ids_in_flight() {
                node.answer(&id, AttemptStatus::Ok);
                served[(at.as_secs() / 2) as usize] += 1;
            }
        }
        // 800 arrive in two seconds. At first all nodes together may send four to each server in a window.
        assert!((5..200).contains(&served[0]), "{count} nodes: {served:?}");
        assert!(served[5] > 400, "{count} nodes: {served:?}");
        let grows = served.windows(2).all(|pair| pair[1] * 10 >= pair[0] * 8);
        assert!(grows, "{count} nodes: {served:?}");
    }
}

/// Whether a node that serves steadily sends server b less than its share right after this change of its list.
fn sends_less_after(start_times_reported: bool, change: impl FnOnce(&mut Node)) -> bool {
    let settings = Settings { start_times_reported, ..slow_start_settings(1, 0.1) };
    let mut node = Node::with_servers(settings, 2);
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

/// Where discovery reports no start times, a server that joins the list or returns to it has most likely just started.
/// Taken for warm, it would be overloaded; the servers of the first list taken for new would be sent too little.
#[test]
fn a_server_that_joins_a_list_without_start_times_is_warming_up() {
    let both = || ["a", "b"].map(Endpoint::new).to_vec();
    let without_b = || vec![Endpoint::new("a")];
    let draining = || Endpoint { state: EndpointState::Draining, ..Endpoint::new("b") };
    assert!(!sends_less_after(false, |_| {}));
    // The same list again, as a list file gives it.
    assert!(!sends_less_after(false, |node| node.apply_snapshot(both())));
    let returns = |node: &mut Node| {
        node.apply_snapshot(without_b());
        node.apply_snapshot(both());
    };
    assert!(sends_less_after(false, returns));
    assert!(!sends_less_after(true, returns), "a list with start times would have this one");
    let drained = |node: &mut Node| {
        node.apply_delta(vec![draining()]);
        node.apply_delta(vec![Endpoint::new("b")]);
        node.apply_snapshot(both());
    };
    assert!(sends_less_after(false, drained));
    assert!(!sends_less_after(true, drained));
}

/// The load that a warming server was sent, counted from outside.
struct WarmUpLoad {
    started_at: Timestamp,
    sent: Vec<Timestamp>,
}

impl WarmUpLoad {
    /// For each send: the time since the server's start, and how many sends lie within a window from it on.
    fn windows(&self, window: Duration) -> impl Iterator<Item = (Duration, usize)> + '_ {
        self.sent.iter().enumerate().map(move |(first, at)| {
            let within = self.sent[first..].iter().take_while(|later| later.since(*at) <= window);
            (at.since(self.started_at), within.count())
        })
    }
}

/// This time since the start as a fraction of the warm-up.
fn age(settings: &Settings, since_start: Duration) -> f64 {
    since_start.as_secs_f64() / settings.slow_start_window.as_secs_f64()
}

/// The fraction of its capacity that a server has at this age.
fn capacity_fraction(settings: &Settings, age: f64) -> f64 {
    settings.slow_start_min_fraction + (1.0 - settings.slow_start_min_fraction) * age
}

/// The list of a node, on which its first server has just started.
fn with_first_server_started(node: &Node, started_at: Timestamp) -> Vec<Endpoint> {
    let mut endpoints: Vec<Endpoint> = node.endpoints.values().cloned().collect();
    endpoints[0].started_at = Some(started_at);
    endpoints
}

/// The budget of a warming server, counted from outside: what one node sends it in any window stays under the stated
/// multiple of its capacity, which is estimated by the use of the rest of the fleet. Above it the server would not recover.
#[test]
fn one_node_does_not_overload_a_warming_server() {
    (1..=12).for_each(one_node_and_a_warming_server);
}

fn one_node_and_a_warming_server(seed: u64) {
    let mut node = Node::with_servers(settings(), 10);
    let started_at = node.now + ms(4_000);
    let mut load = WarmUpLoad { started_at, sent: Vec::new() };
    let mut all = 0.0;
    let mut rng = fastrand::Rng::with_seed(seed);
    for step in 0..20_000u64 {
        let is_counted = step >= 5_000;
        if step == 5_000 {
            let endpoints = with_first_server_started(&node, started_at);
            node.apply_delta(endpoints);
        }
        // Every other request is for the same hot key; one attempt in eight is rejected and retried.
        let key = if rng.bool() { 3 } else { rng.u64(..) };
        let id = node.request(0, key, ms(400));
        for status in [AttemptStatus::QueueFull, AttemptStatus::Ok] {
            if let Some((attempt, server)) = node.in_flight(&id) {
                if is_counted {
                    all += 1.0;
                    load.sent.extend((server.as_str() == "a").then_some(node.now));
                }
                node.end_attempt(&id, attempt, if rng.u8(0..8) == 0 { status } else { AttemptStatus::Ok });
            }
        }
        node.advance(ms(1));
        for id in node.ids_in_flight() {
            let (_, server) = node.in_flight(&id).expect("in flight");
            load.sent.extend((is_counted && server.as_str() == "a").then_some(node.now));
            node.answer(&id, AttemptStatus::Ok);
        }
        node.requests.retain(|_, request| !request.finished);
    }
    let settings = &node.settings;
    assert!(load.sent.len() > 100, "it must get some work: {}", load.sent.len());
    let per_server = all / 15.0 / 10.0;
    let windows = load.windows(settings.slow_start_overload_window);
    let windows = windows.map(|(since_start, within)| (age(settings, since_start), within));
    for (age, within) in windows.filter(|(age, _)| *age < 0.9) {
        let capacity = per_server * capacity_fraction(settings, age);
        let most = settings.slow_start_overload_factor * capacity * 1.2 + 2.0;
        assert!((within as f64) < most, "seed {seed}: {within} in a window, {most} allowed at age {age}");
    }
}

/// A server starts while half of the traffic is for one of its keys. If each node had one send in hand, a large fleet would
/// overload it at once.
#[test]
fn many_nodes_together_do_not_overload_a_warming_server() {
    let (count, servers) = (200, 10);
    let node = |seed| {
        let settings = Settings { nodes: count, ..settings() };
        Node::with_seed_and_servers(settings, u64::from(seed), servers)
    };
    let mut nodes: Vec<Node> = (0..count).map(node).collect();
    let mut rng = fastrand::Rng::with_seed(5);
    let hot_key = key_of_first_server(&nodes[0]);
    let start = nodes[0].now;
    let started_at = start + ms(6_000);
    let mut load = WarmUpLoad { started_at, sent: Vec::new() };
    let mut all = 0;
    // Each node gets two requests a second, every other one for the hot key.
    for step in 0..14_000u64 {
        let node = &mut nodes[rng.usize(0..count as usize)];
        let now = start + ms(step * 5 / 2);
        node.advance(now.since(node.now));
        if now >= started_at && node.endpoints.values().all(|endpoint| endpoint.started_at.is_none()) {
            let endpoints = with_first_server_started(node, started_at);
            node.apply_delta(endpoints);
        }
        let key = if rng.bool() { hot_key } else { rng.u64(..) };
        let id = node.request(0, key, ms(400));
        if let Some((_, server)) = node.in_flight(&id) {
            all += 1;
            load.sent.extend((now >= started_at && server.as_str() == "a").then_some(now));
            node.advance(ms(1));
            node.answer(&id, AttemptStatus::Ok);
        }
        node.requests.clear();
    }
    let settings = &nodes[0].settings;
    let seconds = 14_000.0 * 0.0025;
    let capacity = f64::from(all) / seconds / f64::from(servers);
    assert!(load.sent.len() > 50, "it must get some work: {}", load.sent.len());
    // Windows that end while it is still warming up.
    let window = settings.slow_start_overload_window;
    let last = settings.slow_start_window - window;
    for (since_start, within) in load.windows(window).take_while(|(since_start, _)| *since_start < last) {
        let age = age(settings, since_start);
        let capacity = capacity * capacity_fraction(settings, age);
        let most = settings.slow_start_overload_factor * capacity * window.as_secs_f64();
        assert!((within as f64) <= most * 1.1, "{within} in a window, {most} allowed at age {age}");
    }
}

/// A key of the first server even while that has the least capacity of a warming one.
fn key_of_first_server(node: &Node) -> u64 {
    let mut endpoints: Vec<Endpoint> = node.endpoints.values().cloned().collect();
    let first = endpoints[0].id.clone();
    endpoints[0].weight = settings().slow_start_min_fraction;
    let mut probe = Node::new(settings(), 9);
    probe.apply_snapshot(endpoints);
    (0..).find(|&key| probe.call(key, AttemptStatus::Ok) == Some(first.clone())).expect("some key is its own")
}
