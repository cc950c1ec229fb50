//! Replication factor of hot keys: a key is served by as many servers as its share of the traffic needs.
//!
//! Rendezvous hashing sends a key to one server, and a few keys carry much of the traffic: the server of one of them has
//! several times the load of the others, since all nodes choose alike. One of many nodes sees nothing of that in its own
//! requests in flight, but its requests are a fair sample of those of all nodes. So each node counts for itself, and the
//! replication factors that they find agree as far as their samples do.
//!
//! The counts decay by forward decay (Cormode, Shkapenyuk, Srivastava, Xu, "Forward Decay", ICDE 2009) and are held for a
//! bounded number of keys by space-saving (Metwally, Agrawal, El Abbadi, "Efficient Computation of Frequent and Top-k
//! Elements in Data Streams", ICDT 2005): keys that a client invents displace each other, never one that is requested often.

use crate::time::Timestamp;
use std::collections::HashMap;
use std::time::Duration;

#[cfg(test)]
mod tests;

/// Time constant of the counts: long enough that a short burst moves little, short enough that a key soon loses its
/// replicas.
const TIME_CONSTANT: Duration = Duration::from_secs(10);
/// Replicas for each server's fair share of the traffic: one key is to be at most a third of a server's load, since the
/// server has other keys besides.
const REPLICAS_PER_SHARE: f64 = 3.0;
/// Fewer requests than these are no sample.
const SAMPLE_MIN: f64 = 60.0;
/// Keys that are counted at a time.
const MAX_KEYS: usize = 512;
/// Weights of requests grow to this before they are scaled back to 1.
const WEIGHT_MAX: f64 = 1e9;

/// Requests for one key.
#[derive(Clone, Copy, Debug)]
struct Count {
    weight: f64,
    /// How much of the weight may be that of the keys that had this place before.
    overestimate: f64,
}

/// Recent requests by key.
#[derive(Debug, Default)]
pub struct HotKeys {
    /// Iterated only for the least count, which is the same in any order.
    counts: HashMap<u64, Count>,
    /// Weight of all requests.
    total: f64,
    /// The time at which a request has weight 1; later ones have more.
    landmark: Timestamp,
}

impl HotKeys {
    /// Counts a request for a key. The first one for a key is no evidence of its share, so it counts as overestimate.
    pub fn record(&mut self, now: Timestamp, key: u64) {
        let weight = self.weight(now);
        self.total += weight;
        if let Some(count) = self.counts.get_mut(&key) {
            count.weight += weight;
            return;
        }
        let inherited = if self.counts.len() >= MAX_KEYS { self.remove_least() } else { 0.0 };
        self.counts.insert(key, Count { weight: inherited + weight, overestimate: inherited + weight });
    }

    /// Removes the key with the least weight, and returns that weight.
    fn remove_least(&mut self) -> f64 {
        let order = |a: &(&u64, &Count), b: &(&u64, &Count)| {
            a.1.weight.total_cmp(&b.1.weight).then_with(|| a.0.cmp(b.0))
        };
        let least = self.counts.iter().min_by(order).map(|(key, _)| *key);
        least.and_then(|key| self.counts.remove(&key)).map_or(0.0, |count| count.weight)
    }

    /// How many of `servers` servers the key's requests are distributed over; at least one, if there is one.
    pub fn replication_factor(&self, now: Timestamp, key: u64, servers: usize) -> usize {
        let Some(count) = self.counts.get(&key) else { return servers.min(1) };
        let sample = self.total.max(SAMPLE_MIN * self.weight_at(now));
        let share = ((count.weight - count.overestimate) / sample).max(0.0);
        (1 + (share * servers as f64 * REPLICAS_PER_SHARE) as usize).min(servers)
    }

    /// Weight of a request at `now`.
    fn weight_at(&self, now: Timestamp) -> f64 {
        (now.since(self.landmark).as_secs_f64() / TIME_CONSTANT.as_secs_f64()).exp()
    }

    /// Weight of a request at `now`, after the counts have been scaled back where it is too large.
    fn weight(&mut self, now: Timestamp) -> f64 {
        let weight = self.weight_at(now);
        if weight < WEIGHT_MAX {
            return weight;
        }
        // After a long idle time the weight is infinite, and no earlier count is left.
        let scale = |number: f64| number / weight;
        self.total = scale(self.total);
        self.counts.retain(|_, count| {
            *count = Count { weight: scale(count.weight), overestimate: scale(count.overestimate) };
            count.weight > 1.0 / WEIGHT_MAX
        });
        self.landmark = now;
        1.0
    }
}
