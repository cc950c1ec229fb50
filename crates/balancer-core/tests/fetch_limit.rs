//! An origin with more to do than it can, behind cache servers that fetch from it: what fails there fails at all of them.

mod common;
use balancer_core::*;
use common::*;
use std::collections::VecDeque;
use std::time::Duration;

/// Offers what a node of so many gets of 1,500 reads a second, of keys that nobody has asked for, each answered after 50 ms;
/// the part of them that was sent on.
fn sent(node: &mut Node, keys: &mut std::ops::RangeFrom<u64>, seconds: u64, status: AttemptStatus) -> f64 {
    let gap = Duration::from_micros(1_000_000 / 1_500) * node.settings.nodes;
    let end = node.now + Duration::from_secs(seconds);
    let (mut out, mut sent, mut all) = (VecDeque::new(), 0, 0);
    while node.now < end {
        let id = node.request(0, keys.next().unwrap(), ms(400));
        all += 1;
        if node.in_flight(&id).is_some() {
            sent += 1;
            out.push_back((node.now + ms(50), id));
        }
        let next = node.now + gap;
        while let Some((at, id)) = out.front().cloned().filter(|(at, _)| *at <= next) {
            node.advance(at.since(node.now));
            out.pop_front();
            node.answer(&id, status);
            if node.in_flight(&id).is_some() {
                out.push_back((at + ms(50), id));
            }
        }
        node.advance(next.since(node.now));
        node.requests
            .retain(|_, open| !open.finished || open.attempts.iter().any(|sent| sent.status.is_none()));
    }
    f64::from(sent) / f64::from(all)
}

/// The part of the reads that is sent on in 5 s after 5 s in which all failed, and after 20 s in which all are served again.
fn failing_and_back(nodes: u32) -> (f64, f64) {
    let mut node = Node::with_servers(Settings { nodes, ..settings() }, 26);
    let mut keys = 0..;
    assert!(sent(&mut node, &mut keys, 5, AttemptStatus::Ok) > 0.9, "{nodes} nodes, an ordinary day");
    sent(&mut node, &mut keys, 5, AttemptStatus::Failed);
    let failing = sent(&mut node, &mut keys, 5, AttemptStatus::Failed);
    sent(&mut node, &mut keys, 20, AttemptStatus::Ok);
    (failing, sent(&mut node, &mut keys, 10, AttemptStatus::Ok))
}

/// An overloaded origin does not recover by itself: each fetch that fails is sent again by its client and the
/// node, and with nothing cached the next minute is as bad. A limit that applied to fewer than 15 nodes only
/// left larger fleets without one.
#[test]
fn any_number_of_nodes_holds_back_reads_that_fail_at_the_origin() {
    let counts = [1, 2, 15, 16, 17, 60, 100, 450];
    let found = counts.map(failing_and_back);
    println!("{counts:?}: {found:.2?}");
    for (nodes, (failing, back)) in counts.into_iter().zip(found) {
        assert!(
            failing <= 0.4,
            "{nodes} nodes: {failing} of the reads sent to an origin that serves nothing"
        );
        assert!(back >= 0.9, "{nodes} nodes: {back} of the reads sent once it serves again");
    }
    // No step between two numbers that lie side by side.
    for pair in found[2..5].windows(2) {
        assert!((pair[0].0 - pair[1].0).abs() <= 0.1, "{found:?}");
    }
}

/// A fetch limit that one bad server brings about would hold back the keys of all the others.
#[test]
fn one_failing_server_of_eight_holds_back_no_other_servers_reads() {
    for nodes in [1, 16, 100] {
        let mut node = Node::with_servers(Settings { nodes, ..settings() }, 8);
        let mut refused = 0;
        for key in 0..400 {
            let id = node.request(0, key, ms(400));
            node.advance(ms(50));
            while let Some((_, server)) = node.in_flight(&id) {
                let status = if server.as_str() == "c" { AttemptStatus::Failed } else { AttemptStatus::Ok };
                node.answer(&id, status);
            }
            refused += u32::from(node.requests[&id].attempts.is_empty());
            node.advance(ms(16));
            node.requests.clear();
        }
        assert!(refused <= 4, "{nodes} nodes: {refused} of 400 refused unsent");
    }
}
