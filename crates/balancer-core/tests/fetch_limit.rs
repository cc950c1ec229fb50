//! The fetch limit, with an overloaded origin that fails fetches of all cache servers.

mod common;
use balancer_core::*;
use common::*;
use std::collections::VecDeque;
use std::time::Duration;

/// Sends a node its share of 1,500 reads a second, each for a different key, and ends each attempt with
/// `status` after 50 ms. Returns the fraction of the reads that were forwarded.
fn forwarded_fraction(
    node: &mut Node,
    keys: &mut std::ops::RangeFrom<u64>,
    seconds: u64,
    status: AttemptStatus,
) -> f64 {
    let interval = Duration::from_micros(1_000_000 / 1_500) * node.settings.nodes;
    let end = node.now + Duration::from_secs(seconds);
    // Requests in flight and the end times of their attempts, in order of time.
    let mut in_flight = VecDeque::new();
    let (mut forwarded, mut total) = (0, 0);
    while node.now < end {
        let id = node.request(0, keys.next().unwrap(), ms(400));
        total += 1;
        if node.in_flight(&id).is_some() {
            forwarded += 1;
            in_flight.push_back((node.now + ms(50), id));
        }
        let next = node.now + interval;
        while let Some((at, id)) = in_flight.front().cloned().filter(|(at, _)| *at <= next) {
            node.advance(at.since(node.now));
            in_flight.pop_front();
            node.answer(&id, status);
            if node.in_flight(&id).is_some() {
                in_flight.push_back((at + ms(50), id));
            }
        }
        node.advance(next.since(node.now));
        node.requests.retain(|_, request| {
            !request.finished || request.attempts.iter().any(|attempt| attempt.status.is_none())
        });
    }
    f64::from(forwarded) / f64::from(total)
}

/// Returns the fraction of the reads that are forwarded after 5 s in which all failed, and after another 20 s
/// in which all were served.
fn forwarded_while_failing_and_after(nodes: u32) -> (f64, f64) {
    let mut node = Node::with_servers(Settings { nodes, ..settings() }, 26);
    let mut keys = 0..;
    assert!(
        forwarded_fraction(&mut node, &mut keys, 5, AttemptStatus::Ok) > 0.9,
        "{nodes} nodes, while the origin serves all"
    );
    forwarded_fraction(&mut node, &mut keys, 5, AttemptStatus::Failed);
    let failing = forwarded_fraction(&mut node, &mut keys, 5, AttemptStatus::Failed);
    forwarded_fraction(&mut node, &mut keys, 20, AttemptStatus::Ok);
    (failing, forwarded_fraction(&mut node, &mut keys, 10, AttemptStatus::Ok))
}

/// An overloaded origin does not recover by itself: each failed fetch is sent again by the client and by the
/// node, and nothing is cached. A limit that applied only below 15 nodes left larger fleets without one.
#[test]
fn reads_that_fail_at_the_origin_are_held_back_at_any_number_of_nodes() {
    let counts = [1, 2, 15, 16, 17, 60, 100, 450];
    let fractions = counts.map(forwarded_while_failing_and_after);
    println!("{counts:?}: {fractions:.2?}");
    for (nodes, (failing, after)) in counts.into_iter().zip(fractions) {
        assert!(
            failing <= 0.4,
            "{nodes} nodes: {failing} of the reads forwarded while the origin serves nothing"
        );
        assert!(after >= 0.9, "{nodes} nodes: {after} of the reads forwarded once it serves again");
    }
    // Adjacent numbers of nodes give similar fractions.
    for pair in fractions[2..5].windows(2) {
        assert!((pair[0].0 - pair[1].0).abs() <= 0.1, "{fractions:?}");
    }
}

/// Failures of a single server must not activate the fetch limit, which would hold back the keys of all other
/// servers.
#[test]
fn one_failing_server_of_eight_does_not_hold_back_reads_of_others() {
    for nodes in [1, 16, 100] {
        let mut node = Node::with_servers(Settings { nodes, ..settings() }, 8);
        let mut rejected = 0;
        for key in 0..400 {
            let id = node.request(0, key, ms(400));
            node.advance(ms(50));
            while let Some((_, server)) = node.in_flight(&id) {
                let status = if server.as_str() == "c" { AttemptStatus::Failed } else { AttemptStatus::Ok };
                node.answer(&id, status);
            }
            rejected += u32::from(node.requests[&id].attempts.is_empty());
            node.advance(ms(16));
            node.requests.clear();
        }
        assert!(rejected <= 4, "{nodes} nodes: {rejected} of 400 rejected without an attempt");
    }
}
