//! Replicas of hot keys.

mod common;
use balancer_core::*;
use common::*;
use std::collections::BTreeMap;

/// Without replicas, the server of a key that gets a tenth of all traffic has seven times the load of the
/// others.
#[test]
fn a_hot_key_has_replicas_and_a_rarely_requested_key_has_one_server() {
    let mut node = Node::with_servers(settings(), 20);
    let mut hot = BTreeMap::<ServerId, u32>::new();
    let mut rarely_requested = BTreeMap::<ServerId, u32>::new();
    for i in 0..1_000_u64 {
        // One in five requests is for key 7 and one in a hundred for key 9. The other keys are requested
        // once.
        let key = match i % 100 {
            50 => 9,
            n if n % 5 == 0 => 7,
            _ => 1_000 + i,
        };
        let server = node.call(key, AttemptStatus::Ok).expect("sent");
        match key {
            7 => *hot.entry(server).or_default() += 1,
            9 => *rarely_requested.entry(server).or_default() += 1,
            _ => {}
        }
        node.advance(ms(10));
    }
    // A fifth of the load of 20 servers is four fair shares, with three replicas each. The key starts with
    // one server.
    assert!((11..=13).contains(&hot.len()), "{hot:?}");
    let most = hot.values().max().copied().unwrap_or_default();
    assert!(most <= 50, "one server had {most} of 190: {hot:?}");
    assert_eq!(rarely_requested.len(), 1, "{rarely_requested:?}");
}
