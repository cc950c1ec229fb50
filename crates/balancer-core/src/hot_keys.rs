//! Computes the replication factor of hot keys, so that a key is served by as many servers as its share of
//! the traffic needs.
//!
//! Rendezvous hashing sends a key to one server, and a few keys carry much of the traffic. Since all nodes
//! choose the same server, the server of a hot key has several times the load of the others. In a large
//! fleet, a node does not see this in its own requests in flight, but its requests are a representative
//! sample of the requests of all nodes. Each node therefore counts requests independently, and the resulting
//! replication factors agree as far as the samples do.
//!
//! Counts decay by forward decay (Cormode, Shkapenyuk, Srivastava, Xu, "Forward Decay", ICDE 2009) and are
//! kept for a bounded number of keys by space-saving (Metwally, Agrawal, El Abbadi, "Efficient Computation of
//! Frequent and Top-k Elements in Data Streams", ICDT 2005): keys that a client invents displace each other,
//! but never a key that is requested often.

use crate::time::Timestamp;
use std::collections::HashMap;
use std::time::Duration;

#[cfg(test)]
mod tests;

/// Time constant of the decay. It is long enough that a short burst has little effect, and short enough that
/// a key that is no longer hot soon loses its replicas.
const TIME_CONSTANT: Duration = Duration::from_secs(10);
/// Number of replicas per fair share of the traffic, where a fair share is the load of one server. With 3,
/// one key makes up at most a third of a server's load, which leaves capacity for the server's other keys.
const REPLICAS_PER_SHARE: f64 = 3.0;
/// Minimum size of the sample, in requests. A smaller sample is treated as if it had this size.
const MIN_SAMPLE_REQUESTS: f64 = 60.0;
/// Maximum number of keys that are counted at a time.
const MAX_KEYS: usize = 512;
/// Weight of a new request at which all weights are scaled back, so that a new request has weight 1 again.
const MAX_WEIGHT: f64 = 1e9;

/// Decaying count of the requests for one key.
#[derive(Clone, Copy, Debug)]
struct KeyCount {
    weight: f64,
    /// Part of the weight that may be from keys that had this entry before.
    overestimate: f64,
}

/// Counts recent requests by key.
#[derive(Debug, Default)]
pub struct HotKeys {
    /// Iterated only where the order, which differs between runs, does not affect the result.
    counts: HashMap<u64, KeyCount>,
    /// Total weight of all requests.
    total: f64,
    /// Time at which a request has weight 1. Later requests have a higher weight.
    landmark: Timestamp,
}

impl HotKeys {
    /// Counts a request for a key. The first request for a key is no evidence of the key's share, so it
    /// counts as overestimate.
    pub fn record(&mut self, now: Timestamp, key: u64) {
        let weight = self.rescaled_weight(now);
        self.total += weight;
        if let Some(count) = self.counts.get_mut(&key) {
            count.weight += weight;
            return;
        }
        let inherited = if self.counts.len() >= MAX_KEYS { self.remove_least() } else { 0.0 };
        self.counts.insert(key, KeyCount { weight: inherited + weight, overestimate: inherited + weight });
    }

    /// Removes the key with the least weight, and returns that weight.
    fn remove_least(&mut self) -> f64 {
        let order = |a: &(&u64, &KeyCount), b: &(&u64, &KeyCount)| {
            a.1.weight.total_cmp(&b.1.weight).then_with(|| a.0.cmp(b.0))
        };
        let least = self.counts.iter().min_by(order).map(|(key, _)| *key);
        least.and_then(|key| self.counts.remove(&key)).map_or(0.0, |count| count.weight)
    }

    /// Returns the number of servers, out of `servers`, over which the key's requests are distributed. It is
    /// at least 1 unless `servers` is 0.
    pub fn replication_factor(&self, now: Timestamp, key: u64, servers: usize) -> usize {
        let Some(count) = self.counts.get(&key) else { return servers.min(1) };
        let sample = self.total.max(MIN_SAMPLE_REQUESTS * self.weight_at(now));
        let share = ((count.weight - count.overestimate) / sample).max(0.0);
        (1 + (share * servers as f64 * REPLICAS_PER_SHARE) as usize).min(servers)
    }

    /// Returns the weight of a request at `now`.
    fn weight_at(&self, now: Timestamp) -> f64 {
        (now.since(self.landmark).as_secs_f64() / TIME_CONSTANT.as_secs_f64()).exp()
    }

    /// Returns the weight of a request at `now`. Scales all weights back first if it is too large.
    fn rescaled_weight(&mut self, now: Timestamp) -> f64 {
        let weight = self.weight_at(now);
        if weight < MAX_WEIGHT {
            return weight;
        }
        // After a long idle time the weight is infinite and all earlier counts are scaled to 0.
        let scale = |number: f64| number / weight;
        self.total = scale(self.total);
        self.counts.retain(|_, count| {
            *count = KeyCount { weight: scale(count.weight), overestimate: scale(count.overestimate) };
            count.weight > 1.0 / MAX_WEIGHT
        });
        self.landmark = now;
        1.0
    }
}
