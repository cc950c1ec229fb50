//! Replication factor of hot keys: a key is served by as many servers as its share of the traffic needs.
//!
//! Consistent hashing sends a key to one server, and a few keys carry much of the traffic: whoever holds one of them has
//! several times the work of the others, since all nodes choose alike. One of many nodes learns nothing of that from what
//! it has in flight, but its requests are a fair sample of those of all nodes. So each node counts for itself, and the
//! replication factors that they find agree as far as their samples do.
//!
//! The counts decay by forward decay (Cormode, Shkapenyuk, Srivastava, Xu, "Forward Decay", ICDE 2009) and are held for a
//! bounded number of keys by space-saving (Metwally, Agrawal, El Abbadi, "Efficient Computation of Frequent and Top-k
//! Elements in Data Streams", ICDT 2005): a stranger's keys push out each other, never one that is asked for often.

use crate::time::Timestamp;
use std::collections::HashMap;
use std::time::Duration;

/// Time constant of the counts: a burst is over before it has moved much, and no key keeps its replicas for long.
const SPAN: Duration = Duration::from_secs(10);
/// Replicas for each server's fair share of the traffic: one key is to be a third of a server's work at the most, since it
/// has others besides.
const REPLICAS_PER_SHARE: f64 = 3.0;
/// Fewer requests than these are no sample.
const SAMPLE_MIN: f64 = 60.0;
/// Keys that are counted at a time.
const KEYS_MAX: usize = 512;
/// Weights grow to this before they are scaled back to one.
const WEIGHT_MAX: f64 = 1e9;

/// Requests for one key.
#[derive(Clone, Copy, Debug)]
struct Count {
    weight: f64,
    /// How far the weight may be too high, since the count took over another key's place.
    excess: f64,
}

/// Requests by key of late.
#[derive(Debug, Default)]
pub struct HotKeys {
    /// Walked only for the least count, of which there is one in any order.
    counts: HashMap<u64, Count>,
    total: f64,
    /// When a request has weight one.
    since: Timestamp,
}

impl HotKeys {
    /// Counts a request for a key.
    pub fn record(&mut self, now: Timestamp, key: u64) {
        let weight = self.weight(now);
        self.total += weight;
        if let Some(count) = self.counts.get_mut(&key) {
            count.weight += weight;
            return;
        }
        let inherited = if self.counts.len() >= KEYS_MAX { self.remove_least() } else { 0.0 };
        self.counts.insert(key, Count { weight: inherited + weight, excess: inherited + weight });
    }

    /// Removes the key with the least weight, and returns that weight.
    fn remove_least(&mut self) -> f64 {
        let order = |a: &(&u64, &Count), b: &(&u64, &Count)| {
            a.1.weight.total_cmp(&b.1.weight).then_with(|| a.0.cmp(b.0))
        };
        let least = self.counts.iter().min_by(order).map(|(key, _)| *key);
        least.and_then(|key| self.counts.remove(&key)).map_or(0.0, |count| count.weight)
    }

    /// How many of `servers` servers the key's requests are distributed over; at least one, if there is one. A key's first
    /// request tells nothing of its share.
    pub fn replication_factor(&self, now: Timestamp, key: u64, servers: usize) -> usize {
        let Some(count) = self.counts.get(&key) else { return servers.min(1) };
        let sample = self.total.max(SAMPLE_MIN * self.weight_at(now));
        let share = ((count.weight - count.excess) / sample).max(0.0);
        (1 + (share * servers as f64 * REPLICAS_PER_SHARE) as usize).min(servers)
    }

    fn weight_at(&self, now: Timestamp) -> f64 {
        (now.since(self.since).as_secs_f64() / SPAN.as_secs_f64()).exp()
    }

    fn weight(&mut self, now: Timestamp) -> f64 {
        let weight = self.weight_at(now);
        if weight < WEIGHT_MAX {
            return weight;
        }
        // After a long idle time the weight is infinite, and nothing of before is left.
        let scale = |number: f64| number / weight;
        self.total = scale(self.total);
        self.counts.retain(|_, count| {
            *count = Count { weight: scale(count.weight), excess: scale(count.excess) };
            count.weight > 1.0 / WEIGHT_MAX
        });
        self.since = now;
        1.0
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn at(ms: u64) -> Timestamp {
        Timestamp::from_micros(1_000_000_000 + ms * 1_000)
    }

    /// So many requests, 10 ms apart; one in `every` is for key 7, the others for keys that come once.
    fn send(keys: &mut HotKeys, from: u64, requests: u64, every: u64) -> u64 {
        for i in 0..requests {
            keys.record(at(from + i * 10), if i % every == 0 { 7 } else { 1_000 + from + i });
        }
        from + requests * 10
    }

    #[test]
    fn a_key_has_replicas_by_its_share_of_the_traffic_and_one_server_when_that_decays() {
        let mut keys = HotKeys::default();
        let end = send(&mut keys, 0, 3_000, 10);
        // A tenth of the work of 60 servers is six shares, of three servers each.
        let replicas = keys.replication_factor(at(end), 7, 60);
        assert!((17..=19).contains(&replicas), "{replicas}");
        assert_eq!(keys.replication_factor(at(end), 1_500, 60), 1, "asked for once");
        assert_eq!(keys.replication_factor(at(end), 7, 3), 1, "less than a third of one share of three");
        let end = send(&mut keys, end, 6_000, 6_001);
        assert_eq!(keys.replication_factor(at(end), 7, 60), 1, "a minute later");
    }

    #[test]
    fn no_key_is_hot_before_there_is_a_sample() {
        let mut keys = HotKeys::default();
        assert_eq!(keys.replication_factor(at(0), 7, 60), 1, "never met");
        keys.record(at(0), 7);
        assert_eq!(keys.replication_factor(at(0), 7, 60), 1, "met once: all there is, and no sample");
        assert_eq!(keys.replication_factor(at(0), 7, 0), 0);
    }

    #[test]
    fn a_strangers_many_keys_take_bounded_room_and_push_out_no_hot_one() {
        let mut keys = HotKeys::default();
        let end = send(&mut keys, 0, 100_000, 20);
        assert_eq!(keys.counts.len(), KEYS_MAX);
        let replicas = keys.replication_factor(at(end), 7, 60);
        assert!((9..=10).contains(&replicas), "{replicas}");
        let most = keys
            .counts
            .keys()
            .filter(|key| **key != 7)
            .map(|key| keys.replication_factor(at(end), *key, 60))
            .max();
        assert_eq!(most, Some(1), "what took another's place is not hot by its count");
    }

    #[test]
    fn weights_stay_numbers_after_a_long_rest() {
        let mut keys = HotKeys::default();
        send(&mut keys, 0, 100, 2);
        let later = 3_600_000 * 24 * 365;
        let end = send(&mut keys, later, 3_000, 10);
        assert!(keys.total.is_finite());
        assert!((17..=19).contains(&keys.replication_factor(at(end), 7, 60)));
    }
}
