//! Many nodes deciding at once, each on its own small part of the traffic.

mod common;
use balancer_core::*;
use common::*;

/// `nodes` nodes that know servers a, b, c and so on.
fn fleet(nodes: u32, servers: u8) -> Vec<Node> {
    let node = |seed| {
        let mut node = Node::new(Settings { nodes, ..settings() }, u64::from(seed));
        let entries = (0..servers).map(|i| Endpoint::new(&char::from(b'a' + i).to_string()));
        node.apply_snapshot(entries.collect());
        node
    };
    (0..nodes).map(node).collect()
}

/// A server starts while half of the traffic is for one of its keys. If each node had one send in hand, a
/// large fleet would overload it at once.
#[test]
fn many_nodes_together_do_not_overload_a_warming_server() {
    let (count, servers) = (200, 10);
    let mut nodes = fleet(count, servers);
    let mut rng = fastrand::Rng::with_seed(5);
    // A key that server a owns even at the size it has when it is cold.
    let mut probe = Node::new(settings(), 9);
    let mut list: Vec<Endpoint> = nodes[0].endpoints.values().cloned().collect();
    list[0].weight = settings().slow_start_min_fraction;
    probe.apply_snapshot(list);
    let hot =
        (0..).find(|&key| probe.call(key, AttemptStatus::Ok).is_some_and(|server| server.as_str() == "a"));
    let hot = hot.expect("some key is a's");
    let born = nodes[0].now + ms(6_000);
    let (mut to_cold, mut all) = (Vec::new(), 0);
    // Each node sees two requests a second, every other one for the hot key.
    for step in 0..14_000u64 {
        let node = &mut nodes[rng.usize(0..count as usize)];
        let now = born + ms(step * 5 / 2);
        let now = Timestamp::from_micros(now.as_micros() - 6_000_000);
        node.advance(now.since(node.now));
        if now >= born && node.endpoints.values().all(|entry| entry.started_at.is_none()) {
            let mut list: Vec<Endpoint> = node.endpoints.values().cloned().collect();
            list[0].started_at = Some(born);
            node.apply_delta(list);
        }
        let key = if rng.bool() { hot } else { rng.u64(..) };
        let id = node.request(0, key, ms(400));
        if let Some((_, server)) = node.in_flight(&id) {
            all += 1;
            if now >= born && server.as_str() == "a" {
                to_cold.push(now);
            }
            node.advance(ms(1));
            node.answer(&id, AttemptStatus::Ok);
        }
        node.requests.clear();
    }
    let (settings, seconds) = (&nodes[0].settings, 14_000.0 * 0.0025);
    let capacity = f64::from(all) / seconds / f64::from(servers);
    assert!(to_cold.len() > 50, "it must get some work: {}", to_cold.len());
    // Spans that end while it is still cold.
    let cold_for = settings.slow_start_window - settings.slow_start_overload_window;
    for (i, at) in to_cold.iter().enumerate().take_while(|(_, at)| at.since(born) < cold_for) {
        let within = to_cold[i..]
            .iter()
            .take_while(|later| later.since(*at) <= settings.slow_start_overload_window)
            .count();
        let age = at.since(born).as_secs_f64() / settings.slow_start_window.as_secs_f64();
        let now_able =
            capacity * (settings.slow_start_min_fraction + (1.0 - settings.slow_start_min_fraction) * age);
        let most = settings.slow_start_overload_factor
            * now_able
            * settings.slow_start_overload_window.as_secs_f64();
        assert!((within as f64) <= most * 1.1, "{within} in a span, {most} allowed at age {age}");
    }
}

/// A new connection costs a server more than one that stays open. One of hundreds of nodes, which meets a
/// server every ten seconds, must not close its connections: the node drops them anyway before the server
/// would.
#[test]
fn connections_that_one_of_many_nodes_rarely_uses_stay_open() {
    for (nodes, gap) in [(300, 12_000), (300, 100), (3, 12_000)] {
        let mut node = Node::with_servers(Settings { nodes, ..settings() }, 1);
        for key in 0..20 {
            node.call(key, AttemptStatus::Ok);
            node.advance(ms(gap));
        }
        let closed = node.actions.iter().any(|action| matches!(action, Action::CloseIdleConnections { .. }));
        assert!(!closed, "{nodes} nodes, met every {gap} ms");
    }
}

/// Where listed weights do not reflect speed, servers of a slow kind would get as many keys as fast ones, and
/// queue.
#[test]
fn a_slow_kind_gets_fewer_keys_where_weights_do_not_reflect_speed() {
    let share = |sized| {
        let mut node = Node::new(Settings { weights_reflect_speed: sized, ..settings() }, 1);
        let entry = |i: u8| Endpoint {
            kind: Some(Name::from(if i < 5 { "x" } else { "y" })),
            ..Endpoint::new(&char::from(b'a' + i).to_string())
        };
        node.apply_snapshot((0..10).map(entry).collect());
        let mut rng = fastrand::Rng::with_seed(3);
        let mut of_slow = 0;
        for step in 0..2_000 {
            let id = node.request(0, rng.u64(..), ms(400));
            let (_, server) = node.in_flight(&id).expect("sent");
            let slow = server.as_str() < "f";
            of_slow += u32::from(slow && step >= 1_000);
            node.advance(ms(if slow { 60 } else { 20 }));
            node.answer(&id, AttemptStatus::Ok);
            node.requests.clear();
        }
        f64::from(of_slow) / 1_000.0
    };
    assert!((0.45..0.55).contains(&share(true)), "{}", share(true));
    assert!((0.2..0.3).contains(&share(false)), "{}", share(false));
}
