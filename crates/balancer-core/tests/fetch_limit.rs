//! The fetch limit: an overloaded origin behind cache servers that fetch from it fails at all of them.

mod common;
use balancer_core::*;
use common::*;
use std::collections::VecDeque;
use std::time::Duration;

/// Offers a node its part of 1,500 reads a second, all of different keys, and ends each attempt after 50 ms with this status.
/// Returns the fraction of the reads that was forwarded.
fn forwarded_fraction(
    node: &mut Node,
    keys: &mut std::ops::RangeFrom<u64>,
    seconds: u64,
    status: AttemptStatus,
) -> f64 {
    let interval = Duration::from_micros(1_000_000 / 1_500) * node.settings.nodes;
    let end = node.now + Duration::from_secs(seconds);
    // The requests in flight, by the end of their attempt.
    let mut in_flight = VecDeque::new();
    let (mut forwarded, mut all) = (0, 0);
    while node.now < end {
        let id = node.request(0, keys.next().unwrap(), ms(400));
        all += 1;
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
    f64::from(forwarded) / f64::from(all)
}

/// The fraction of the reads that is forwarded after 5 s in which all have failed, and after 20 s in which all are served again.
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

/// An overloaded origin does not recover by itself: each fetch that fails is sent again by its client and the
/// node, and with nothing cached the next minute is as bad. A limit that applied to fewer than 15 nodes only
/// left larger fleets without one.
#[test]
fn any_number_of_nodes_holds_back_reads_that_fail_at_the_origin() {
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
    // There is no step between numbers of nodes side by side.
    for pair in fractions[2..5].windows(2) {
        assert!((pair[0].0 - pair[1].0).abs() <= 0.1, "{fractions:?}");
    }
}

/// A fetch limit that one bad server brings about would hold back the keys of all the others.
#[test]
fn one_failing_server_of_eight_holds_back_no_other_servers_reads() {
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
