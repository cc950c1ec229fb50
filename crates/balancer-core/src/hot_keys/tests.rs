//! Replication factors of keys with a known share of the traffic.

use super::{HotKeys, MAX_KEYS};
use crate::time::Timestamp;

fn at(ms: u64) -> Timestamp {
    Timestamp::from_micros(1_000_000_000 + ms * 1_000)
}

/// Records `requests` requests, 10 ms apart from `from` on. One in `every` is for key 7, the others are for
/// keys that are requested once. Returns the time of the next request.
fn send(keys: &mut HotKeys, from: u64, requests: u64, every: u64) -> u64 {
    for i in 0..requests {
        keys.record(at(from + i * 10), if i % every == 0 { 7 } else { 1_000 + from + i });
    }
    from + requests * 10
}

#[test]
fn replicas_follow_the_share_of_the_traffic() {
    let mut keys = HotKeys::default();
    let end = send(&mut keys, 0, 3_000, 10);
    // A tenth of the traffic of 60 servers is six fair shares, with three replicas each.
    let replicas = keys.replication_factor(at(end), 7, 60);
    assert!((17..=19).contains(&replicas), "{replicas}");
    assert_eq!(keys.replication_factor(at(end), 1_500, 60), 1, "requested once");
    assert_eq!(keys.replication_factor(at(end), 7, 3), 1, "the share is too small for a second replica");
    let end = send(&mut keys, end, 6_000, 6_001);
    assert_eq!(keys.replication_factor(at(end), 7, 60), 1, "a minute later");
}

#[test]
fn no_key_is_hot_before_the_minimum_sample() {
    let mut keys = HotKeys::default();
    assert_eq!(keys.replication_factor(at(0), 7, 60), 1, "never requested");
    keys.record(at(0), 7);
    assert_eq!(keys.replication_factor(at(0), 7, 60), 1, "one request is not a sample");
    assert_eq!(keys.replication_factor(at(0), 7, 0), 0);
}

/// A client that invents keys must not be able to exhaust memory, or to displace the counts of hot keys so
/// that their servers are overloaded again.
#[test]
fn invented_keys_are_bounded_and_do_not_displace_hot_keys() {
    let mut keys = HotKeys::default();
    let end = send(&mut keys, 0, 100_000, 20);
    assert_eq!(keys.counts.len(), MAX_KEYS);
    let replicas = keys.replication_factor(at(end), 7, 60);
    assert!((9..=10).contains(&replicas), "{replicas}");
    let most = keys
        .counts
        .keys()
        .filter(|key| **key != 7)
        .map(|key| keys.replication_factor(at(end), *key, 60))
        .max();
    assert_eq!(most, Some(1), "a key that replaced another must not be hot because of the inherited count");
}

/// The weight of a request grows exponentially. After a long idle time it is infinite; without rescaling, no
/// key would ever be hot again.
#[test]
fn weights_stay_finite_after_a_long_idle_time() {
    let mut keys = HotKeys::default();
    send(&mut keys, 0, 100, 2);
    let later = 3_600_000 * 24 * 365;
    let end = send(&mut keys, later, 3_000, 10);
    assert!(keys.total.is_finite());
    assert!((17..=19).contains(&keys.replication_factor(at(end), 7, 60)));
}
