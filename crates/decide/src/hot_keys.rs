//! Over how many servers a key is spread: over as many as its part of the traffic is worth.
//!
//! Consistent hashing sends a key to one server, and a few keys carry much of the traffic: whoever holds one of them has
//! several times the work of the others, on every node's word alike. One of many nodes learns nothing of that from what
//! it has in flight, but what it is asked for is a fair sample of what all of them are asked for. So each node counts for
//! itself, and the spreads that they find agree as far as their samples do.
//!
//! The counts fade by forward decay (Cormode, Shkapenyuk, Srivastava, Xu, "Forward Decay", ICDE 2009) and are held for a
//! bounded number of keys by space-saving (Metwally, Agrawal, El Abbadi, "Efficient Computation of Frequent and Top-k
//! Elements in Data Streams", ICDT 2005): a stranger's keys push out each other, never one that is asked for often.

use crate::time::Timestamp;
use std::collections::HashMap;
use std::time::Duration;

/// Requests count for about so long: a burst is over before it has moved much, and a spread does not outlive its key.
const SPAN: Duration = Duration::from_secs(10);
/// Servers for each server's fair share of the traffic: one key is to be a third of a server's work at the most, since it
/// has others besides.
const WIDTH: f64 = 3.0;
/// Fewer requests than these are no sample.
const SAMPLE: f64 = 60.0;
/// Keys that are counted at a time.
const KEYS: usize = 512;
/// Weights grow by this much before they are scaled back to start from one.
const LARGEST: f64 = 1e9;

/// What is asked for of late.
#[derive(Debug, Default)]
pub struct HotKeys {
    /// Weights of requests, and how far the count may be too high: it took over another key's place. Walked only for the
    /// least, which has one order.
    counts: HashMap<u64, (f64, f64)>,
    all: f64,
    /// When a request weighs one.
    since: Timestamp,
}

impl HotKeys {
    /// A request for a key.
    pub fn note(&mut self, now: Timestamp, key: u64) {
        let weight = self.weight(now);
        self.all += weight;
        if let Some((count, _)) = self.counts.get_mut(&key) {
            *count += weight;
            return;
        }
        let mut taken = 0.0;
        if self.counts.len() >= KEYS {
            let order = |a: &(&u64, &(f64, f64)), b: &(&u64, &(f64, f64))| {
                a.1 .0.total_cmp(&b.1 .0).then_with(|| a.0.cmp(b.0))
            };
            if let Some((least, count)) =
                self.counts.iter().min_by(order).map(|(key, (count, _))| (*key, *count))
            {
                self.counts.remove(&least);
                taken = count;
            }
        }
        self.counts.insert(key, (taken + weight, taken + weight));
    }

    /// Among how many of so many servers the key is to be shared out; one at the least, if there is one. The request that
    /// a key was first met with tells nothing of it.
    pub fn width(&self, now: Timestamp, key: u64, servers: usize) -> usize {
        let Some((count, doubt)) = self.counts.get(&key) else { return servers.min(1) };
        let sample = self.all.max(SAMPLE * self.weight_at(now));
        let share = ((count - doubt) / sample).max(0.0);
        (1 + (share * servers as f64 * WIDTH) as usize).min(servers)
    }

    fn weight_at(&self, now: Timestamp) -> f64 {
        (now.since(self.since).as_secs_f64() / SPAN.as_secs_f64()).exp()
    }

    fn weight(&mut self, now: Timestamp) -> f64 {
        let weight = self.weight_at(now);
        if weight < LARGEST {
            return weight;
        }
        // After a long rest the weight is infinite, and nothing of before is left.
        let scale = |number: f64| number / weight;
        self.all = scale(self.all);
        self.counts.retain(|_, (count, doubt)| {
            (*count, *doubt) = (scale(*count), scale(*doubt));
            *count > 1.0 / LARGEST
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
    fn play(keys: &mut HotKeys, from: u64, requests: u64, every: u64) -> u64 {
        for i in 0..requests {
            keys.note(at(from + i * 10), if i % every == 0 { 7 } else { 1_000 + from + i });
        }
        from + requests * 10
    }

    #[test]
    fn a_key_is_spread_by_its_part_of_the_traffic_and_comes_home_when_that_fades() {
        let mut keys = HotKeys::default();
        let end = play(&mut keys, 0, 3_000, 10);
        // A tenth of the work of 60 servers is six shares, of three servers each.
        let width = keys.width(at(end), 7, 60);
        assert!((17..=19).contains(&width), "{width}");
        assert_eq!(keys.width(at(end), 1_500, 60), 1, "asked for once");
        assert_eq!(keys.width(at(end), 7, 3), 1, "less than a third of one share of three");
        let end = play(&mut keys, end, 6_000, 6_001);
        assert_eq!(keys.width(at(end), 7, 60), 1, "a minute later");
    }

    #[test]
    fn no_key_is_hot_before_there_is_a_sample() {
        let mut keys = HotKeys::default();
        assert_eq!(keys.width(at(0), 7, 60), 1, "never met");
        keys.note(at(0), 7);
        assert_eq!(keys.width(at(0), 7, 60), 1, "met once: all there is, and no sample");
        assert_eq!(keys.width(at(0), 7, 0), 0);
    }

    #[test]
    fn a_strangers_many_keys_take_bounded_room_and_push_out_no_hot_one() {
        let mut keys = HotKeys::default();
        let end = play(&mut keys, 0, 100_000, 20);
        assert_eq!(keys.counts.len(), KEYS);
        let width = keys.width(at(end), 7, 60);
        assert!((9..=10).contains(&width), "{width}");
        let widest =
            keys.counts.keys().filter(|key| **key != 7).map(|key| keys.width(at(end), *key, 60)).max();
        assert_eq!(widest, Some(1), "what took another's place is not hot by its count");
    }

    #[test]
    fn weights_stay_numbers_after_a_long_rest() {
        let mut keys = HotKeys::default();
        play(&mut keys, 0, 100, 2);
        let later = 3_600_000 * 24 * 365;
        let end = play(&mut keys, later, 3_000, 10);
        assert!(keys.all.is_finite());
        assert!((17..=19).contains(&keys.width(at(end), 7, 60)));
    }
}
