//! Slow start: the load that one node and many nodes send to a warming server.

mod common;

use balancer_core::*;
use common::{ms, settings, Node};
use std::time::Duration;

/// Window over which the load of a warming server is counted.
const OVERLOAD_WINDOW: Duration = Duration::from_millis(1_500);
/// Initial time of a [`Node`].
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

/// Creates `count` nodes with these settings and servers. Their seeds start at 1.
fn nodes_with(count: u32, settings: &Settings, servers: &[Endpoint]) -> Vec<Node> {
    let node = |seed: u32| {
        let mut node = Node::new(settings.clone(), u64::from(seed));
        node.apply_snapshot(servers.to_vec());
        node
    };
    (1..=count).map(node).collect()
}

/// Returns a server that starts at the same time as the nodes.
fn warming_server() -> Endpoint {
    Endpoint { started_at: Some(START), ..Endpoint::new("cold") }
}

/// Runs `count` nodes that have just started at a total of `rate` requests a second for 8 s. Returns the
/// maximum number of requests that the warming server was sent in any window.
fn max_sends_in_a_window(count: u32, min_fraction: f64, servers: &[Endpoint], rate: u64) -> usize {
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

/// Nodes that start together know nothing of each other. If each of them sent a warming server the whole
/// allowance, or treated it as warm, they would overload it together.
#[test]
fn nodes_that_start_together_do_not_overload_a_warming_server() {
    let mut servers: Vec<_> = (0..9).map(|i| Endpoint::new(&format!("warm-{i}"))).collect();
    servers.push(warming_server());
    // At 400 requests a second over ten servers, a warm server gets 60 in a window. A server at 0.3 of its
    // capacity is overloaded at 0.9 of that.
    let bound = (400.0 * OVERLOAD_WINDOW.as_secs_f64() / 10.0 * 0.3 * 3.0) as usize;
    for count in [1, 20, 100] {
        let max_sends = max_sends_in_a_window(count, 0.3, &servers, 400);
        assert!(max_sends <= bound, "{count} nodes sent {max_sends}, at most {bound} allowed");
    }
    // A server that is treated as warm is sent more than the bound, which shows that the check can fail.
    let max_sends = max_sends_in_a_window(20, 1.0, &servers, 400);
    assert!(max_sends > bound, "{max_sends}");
}

/// While every server is warming up, no prompt answer arrives before something is sent. An allowance that
/// depends on prompt answers alone would never start, and one that counts every answer would exceed the
/// servers' capacity at once.
#[test]
fn load_starts_low_and_grows_while_every_server_is_warming_up() {
    let servers = ["a", "b", "c", "cold"].map(|id| Endpoint { started_at: Some(START), ..Endpoint::new(id) });
    for count in [1, 20] {
        let mut nodes = nodes_with(count, &slow_start_settings(count, 0.3), &servers);
        // Number of requests served in each period of two seconds.
        let mut served = [0; 6];
        for request in 0..400 * 12_u64 {
            let at = Duration::from_micros(request * 2_500);
            let node = &mut nodes[(request % u64::from(count)) as usize];
            node.advance((START + at).since(node.now));
            node.request(0, request * 7_919, ms(400));
            // Includes requests that were queued for capacity.
            for id in node.ids_in_flight() {
                node.answer(&id, AttemptStatus::Ok);
                served[(at.as_secs() / 2) as usize] += 1;
            }
        }
        // 800 requests arrive in two seconds. At first, all nodes together may send each server four in a
        // window.
        assert!((5..200).contains(&served[0]), "{count} nodes: {served:?}");
        assert!(served[5] > 400, "{count} nodes: {served:?}");
        let grows = served.windows(2).all(|pair| pair[1] * 10 >= pair[0] * 8);
        assert!(grows, "{count} nodes: {served:?}");
    }
}

/// Whether a node under steady traffic sends server b less than its share right after `change`.
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

/// Where discovery reports no start times, a server that joins the list or returns to it has most likely just
/// started. If it were treated as warm, it would be overloaded. If the servers of the first list were treated
/// as new, they would be sent too little.
#[test]
fn a_server_that_joins_a_list_without_start_times_is_warming_up() {
    let both = || ["a", "b"].map(Endpoint::new).to_vec();
    let without_b = || vec![Endpoint::new("a")];
    let draining = || Endpoint { state: EndpointState::Draining, ..Endpoint::new("b") };
    assert!(!sends_less_after(false, |_| {}));
    // The same list again, as when a list file is read again.
    assert!(!sends_less_after(false, |node| node.apply_snapshot(both())));
    let returns = |node: &mut Node| {
        node.apply_snapshot(without_b());
        node.apply_snapshot(both());
    };
    assert!(sends_less_after(false, returns));
    assert!(!sends_less_after(true, returns), "a list with start times would state this start");
    let drained = |node: &mut Node| {
        node.apply_delta(vec![draining()]);
        node.apply_delta(vec![Endpoint::new("b")]);
        node.apply_snapshot(both());
    };
    assert!(sends_less_after(false, drained));
    assert!(!sends_less_after(true, drained));
}

/// Requests sent to a warming server, recorded independently of the balancer.
struct WarmUpLoad {
    started_at: Timestamp,
    sent: Vec<Timestamp>,
}

impl WarmUpLoad {
    /// Returns for each send the time since the server's start and the number of sends in the window that
    /// begins with it.
    fn windows(&self, window: Duration) -> impl Iterator<Item = (Duration, usize)> + '_ {
        self.sent.iter().enumerate().map(move |(first, at)| {
            let within = self.sent[first..].iter().take_while(|later| later.since(*at) <= window);
            (at.since(self.started_at), within.count())
        })
    }
}

/// Returns the time since the start as a fraction of the warm-up.
fn progress(settings: &Settings, since_start: Duration) -> f64 {
    since_start.as_secs_f64() / settings.slow_start_window.as_secs_f64()
}

/// Returns the fraction of its full capacity that a server has at this point of the warm-up.
fn capacity_fraction(settings: &Settings, progress: f64) -> f64 {
    settings.slow_start_min_fraction + (1.0 - settings.slow_start_min_fraction) * progress
}

/// Returns the endpoint list of a node with its first server marked as just started.
fn with_first_server_started(node: &Node, started_at: Timestamp) -> Vec<Endpoint> {
    let mut endpoints: Vec<Endpoint> = node.endpoints.values().cloned().collect();
    endpoints[0].started_at = Some(started_at);
    endpoints
}

/// Checks the budget of a warming server independently of the balancer: what one node sends it in any window
/// stays under the configured multiple of its capacity, which is estimated from the load of the whole fleet.
/// Above that the server would not recover.
#[test]
fn one_node_does_not_overload_a_warming_server() {
    (1..=12).for_each(check_one_node_and_a_warming_server);
}

fn check_one_node_and_a_warming_server(seed: u64) {
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
        // Half of the requests are for the same hot key. One first attempt in eight is rejected and retried.
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
    assert!(load.sent.len() > 100, "the warming server got too few requests: {}", load.sent.len());
    let per_server = all / 15.0 / 10.0;
    let windows = load.windows(settings.slow_start_overload_window);
    let windows = windows.map(|(since_start, within)| (progress(settings, since_start), within));
    for (progress, within) in windows.filter(|(progress, _)| *progress < 0.9) {
        let capacity = per_server * capacity_fraction(settings, progress);
        let max_allowed = settings.slow_start_overload_factor * capacity * 1.2 + 2.0;
        assert!(
            (within as f64) < max_allowed,
            "seed {seed}: {within} in a window, {max_allowed} allowed at progress {progress}"
        );
    }
}

/// A server starts while half of the traffic is for one of its keys. If each node could always send one
/// request, a large fleet would overload the server at once.
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
    // Each node gets two requests a second, half of them for the hot key.
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
    assert!(load.sent.len() > 50, "the warming server got too few requests: {}", load.sent.len());
    // Only windows that end while the server is still warming up.
    let window = settings.slow_start_overload_window;
    let last = settings.slow_start_window - window;
    for (since_start, within) in load.windows(window).take_while(|(since_start, _)| *since_start < last) {
        let progress = progress(settings, since_start);
        let capacity = capacity * capacity_fraction(settings, progress);
        let max_allowed = settings.slow_start_overload_factor * capacity * window.as_secs_f64();
        assert!(
            (within as f64) <= max_allowed * 1.1,
            "{within} in a window, {max_allowed} allowed at progress {progress}"
        );
    }
}

/// Returns a key that the first server owns even at the minimum capacity of a warming server.
fn key_of_first_server(node: &Node) -> u64 {
    let mut endpoints: Vec<Endpoint> = node.endpoints.values().cloned().collect();
    let first = endpoints[0].id.clone();
    endpoints[0].weight = settings().slow_start_min_fraction;
    let mut probe = Node::new(settings(), 9);
    probe.apply_snapshot(endpoints);
    (0..)
        .find(|&key| probe.call(key, AttemptStatus::Ok) == Some(first.clone()))
        .expect("a key of the first server")
}
