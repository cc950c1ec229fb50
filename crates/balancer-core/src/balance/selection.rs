//! Which server an attempt goes to: the first of the key's order that is eligible and has capacity.

use super::cached_keys::CacheMarks;
use super::concurrency_limit::INITIAL_LIMIT_MIN;
use super::rendezvous::{rendezvous_order, Candidate};
use super::request::{placement_key, PendingRequest};
use super::servers::{Server, ServerList};
use super::slow_start::SlowStart;
use crate::endpoints::EndpointState;
use crate::hashing::{mix, unit_interval};
use crate::hot_keys::HotKeys;
use crate::requests::Request;
use crate::settings::{CacheMode, Settings};
use crate::time::Timestamp;

/// Number of eligible servers of a key's order that are tried for capacity. With more of them the hits of a
/// slow fleet would turn into misses.
const MAX_CANDIDATES: usize = 3;
/// Fraction of its concurrency limit up to which the first eligible server of the order takes requests.
const FIRST_SERVER_FRACTION: f64 = 1.0;
/// The same for the servers after it, which take what the first has no capacity for.
const SPILLOVER_FRACTION: f64 = 0.5;

/// Which servers an attempt may go to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FetchPolicy {
    /// Any of them.
    Allowed,
    /// Those that most likely hold the value.
    CachedOnly,
}

/// Selects servers, by what the balancer knows at `now`.
#[derive(Clone, Copy, Debug)]
pub struct Selector<'a> {
    /// The present time.
    pub now: Timestamp,
    /// The present settings.
    pub settings: &'a Settings,
    /// Seed of this node.
    pub seed: u64,
    /// Where concurrency limits start at this node.
    pub initial_limit: f64,
    /// The servers.
    pub servers: &'a ServerList,
    /// What may be sent to warming servers.
    pub slow_start: &'a SlowStart,
    /// Replication factors of keys.
    pub hot_keys: &'a HotKeys,
    /// What servers most likely hold, where they do not report misses.
    pub cache_marks: &'a CacheMarks,
}

impl Selector<'_> {
    /// Index of the server for a request's next attempt; `None` where no eligible server has capacity.
    pub fn select(&self, pending: &PendingRequest, fetches: FetchPolicy) -> Option<usize> {
        if pending.attempts.len() >= pending.settings.max_attempts as usize {
            return None;
        }
        let is_eligible = |index: &usize| self.is_eligible(*index, pending, fetches);
        if self.needs_origin(pending) {
            let origin = (0..self.servers.as_slice().len())
                .find(|index| self.servers[*index].is_origin(self.settings) && is_eligible(index));
            return origin.filter(|index| self.has_capacity(*index, FIRST_SERVER_FRACTION, pending));
        }
        let order = self.replica_order(pending);
        let first = *order.first()?;
        let candidates: Vec<usize> = order.into_iter().filter(is_eligible).take(MAX_CANDIDATES).collect();
        if candidates.is_empty() {
            self.last_resort(first, pending, fetches)
        } else {
            self.first_with_capacity(&candidates, pending)
        }
    }

    /// Whether the balancer itself has to go to the origin for this request.
    fn needs_origin(&self, pending: &PendingRequest) -> bool {
        let is_aside = matches!(self.settings.mode, CacheMode::Aside { .. });
        is_aside && (pending.request.write || pending.has_missed())
    }

    /// The first server of the order, where no server is eligible. It is sent a request's first attempt even
    /// while it is ejected, within its concurrency limit and slow start: every other server is ejected or
    /// excluded as well. `None` where only cached values may be read.
    fn last_resort(&self, first: usize, pending: &PendingRequest, fetches: FetchPolicy) -> Option<usize> {
        let may_be_sent =
            fetches == FetchPolicy::Allowed && pending.attempts.is_empty() && self.slow_start_admits(first);
        (may_be_sent && self.has_capacity(first, FIRST_SERVER_FRACTION, pending)).then_some(first)
    }

    /// Whether an attempt may go to this server, whatever its capacity.
    fn is_eligible(&self, index: usize, pending: &PendingRequest, fetches: FetchPolicy) -> bool {
        let server = &self.servers[index];
        let endpoint = &server.endpoint;
        !(fetches == FetchPolicy::CachedOnly && self.is_probable_miss(&pending.request, server))
            && endpoint.state == EndpointState::Ready
            && pending.may_go_to(endpoint, self.now)
            && server.outlier_detection.admits(pending.class_index, self.now)
            && self.slow_start_admits(index)
            && !pending.attempts.iter().any(|attempt| attempt.endpoint.id == endpoint.id)
    }

    fn slow_start_admits(&self, index: usize) -> bool {
        self.slow_start.admits(self.servers, index, self.settings, self.seed, self.now)
    }

    fn has_capacity(&self, index: usize, fraction: f64, pending: &PendingRequest) -> bool {
        self.servers[index].concurrency.has_capacity(fraction, pending.random)
    }

    /// Whether a read at this server will be fetched from the origin, as far as is known from what that
    /// server has answered here. Other nodes may have asked it for the key: some of these are hits.
    pub fn is_probable_miss(&self, request: &Request, server: &Server) -> bool {
        self.settings.mode == CacheMode::Through
            && !request.write
            && request.key.is_some_and(|key| !self.cache_marks.contains(key, server.incarnation()))
    }

    /// The first of these candidates that has capacity for the request.
    fn first_with_capacity(&self, candidates: &[usize], pending: &PendingRequest) -> Option<usize> {
        let fraction = |place| if place == 0 { FIRST_SERVER_FRACTION } else { SPILLOVER_FRACTION };
        let within_limit = candidates
            .iter()
            .enumerate()
            .find(|&(place, &index)| self.has_capacity(index, fraction(place), pending));
        let found = within_limit.map(|(_, &index)| index);
        found.or_else(|| candidates.iter().copied().find(|index| self.has_idle_capacity(*index)))
    }

    /// Whether a server past its limit may be sent a request all the same: it reports an empty queue, and has
    /// fewer requests in flight than limits start with. Limits keep requests off servers that answer late,
    /// and all servers do while misses wait for a slow origin: without this rule a fleet with idle servers
    /// would reject hits.
    fn has_idle_capacity(&self, index: usize) -> bool {
        let server = &self.servers[index];
        self.empty_queue_is_known(server) && f64::from(server.concurrency.in_flight()) < self.initial_limit
    }

    /// Whether this node knows that a server's queue is empty, by its last report. In a fleet of 16 nodes or
    /// more, whose concurrency limits start at the minimum, no node ever knows: its reports are older than
    /// the bursts of the other nodes. So classes are not ejected there, and idle capacity is not used.
    pub fn empty_queue_is_known(&self, server: &Server) -> bool {
        self.initial_limit > INITIAL_LIMIT_MIN && server.reports_empty_queue(self.now)
    }

    /// The servers in the order of the request's key, with the one that it goes to among the replicas of a
    /// hot key first.
    fn replica_order(&self, pending: &PendingRequest) -> Vec<usize> {
        let key = placement_key(&pending.request);
        let mut order = rendezvous_order(key, self.candidates());
        let replicas = self.hot_keys.replication_factor(self.now, key, order.len());
        let random = unit_interval(mix(pending.random.to_bits()));
        let chosen = self.choose_replica(&order[..replicas], random);
        order[..replicas].rotate_left(chosen);
        order
    }

    /// The place of the replica for this random number: each of them is chosen in proportion to its capacity,
    /// a warming one less often.
    fn choose_replica(&self, replicas: &[usize], random: f64) -> usize {
        let capacity = |index: &usize| self.servers.capacity(&self.servers[*index], self.settings, self.now);
        let mut remaining = random * replicas.iter().map(capacity).sum::<f64>();
        let chosen = replicas.iter().position(|index| {
            remaining -= capacity(index);
            remaining < 0.0
        });
        chosen.unwrap_or(0)
    }

    /// The cache servers that take requests.
    fn candidates(&self) -> impl Iterator<Item = Candidate> + '_ {
        let ready = self.servers.iter().enumerate();
        let ready = ready.filter(|(_, server)| server.is_ready_cache(self.settings));
        ready.map(move |(index, server)| Candidate {
            index,
            hash: server.hash,
            capacity: self.servers.capacity(server, self.settings, self.now),
        })
    }
}
