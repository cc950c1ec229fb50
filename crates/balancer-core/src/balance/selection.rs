//! Server selection: an attempt goes to the first server in the key's order that is eligible and has
//! capacity.

use super::cached_keys::CacheMarks;
use super::concurrency_limit::MIN_INITIAL_LIMIT;
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

/// Maximum number of eligible servers of a key's order that are checked for capacity. With more of them, the
/// hits of a slow fleet would turn into misses.
const MAX_CANDIDATES: usize = 3;
/// Fraction of its concurrency limit up to which the first eligible server of the order accepts requests.
const FIRST_SERVER_FRACTION: f64 = 1.0;
/// Fraction of their concurrency limit up to which later servers accept requests for which the first one has
/// no capacity.
const SPILLOVER_FRACTION: f64 = 0.5;

/// Whether an attempt may cause a fetch from the origin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FetchPolicy {
    /// The attempt may go to any eligible server.
    Allowed,
    /// The attempt may go only to servers that most likely have the value cached.
    CachedOnly,
}

/// Selects servers based on the balancer's state at `now`.
#[derive(Clone, Copy, Debug)]
pub struct Selector<'a> {
    /// Current time.
    pub now: Timestamp,
    /// Current settings.
    pub settings: &'a Settings,
    /// Seed of this node.
    pub seed: u64,
    /// Initial concurrency limit of each server at this node.
    pub initial_limit: f64,
    /// Servers on the endpoint list.
    pub servers: &'a ServerList,
    /// Limits requests to warming servers.
    pub slow_start: &'a SlowStart,
    /// Replication factors of keys.
    pub hot_keys: &'a HotKeys,
    /// Keys that servers most likely have cached, where servers do not report misses.
    pub cache_marks: &'a CacheMarks,
}

impl Selector<'_> {
    /// Returns the index of the server for a request's next attempt, or `None` if no eligible server has
    /// capacity or the request has no attempts left.
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

    /// Returns whether the balancer must send this request to the origin itself: in cache-aside mode, a write
    /// or a request that has missed.
    fn needs_origin(&self, pending: &PendingRequest) -> bool {
        let is_aside = matches!(self.settings.mode, CacheMode::Aside { .. });
        is_aside && (pending.request.write || pending.has_missed())
    }

    /// Falls back to the first server of the order when no server is eligible. That server gets a request's
    /// first attempt even while it is ejected, within its concurrency limit and slow start, since every other
    /// server is ejected or excluded as well. Returns `None` if only cached values may be read.
    fn last_resort(&self, first: usize, pending: &PendingRequest, fetches: FetchPolicy) -> Option<usize> {
        let is_allowed =
            fetches == FetchPolicy::Allowed && pending.attempts.is_empty() && self.slow_start_admits(first);
        (is_allowed && self.has_capacity(first, FIRST_SERVER_FRACTION, pending)).then_some(first)
    }

    /// Returns whether an attempt may go to this server, regardless of its capacity.
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

    /// Returns whether this server will probably fetch the value from the origin: as far as this node knows,
    /// it has not answered for the key recently. Some of these reads are hits, since other nodes may have
    /// requested the key.
    pub fn is_probable_miss(&self, request: &Request, server: &Server) -> bool {
        self.settings.mode == CacheMode::Through
            && !request.write
            && request.key.is_some_and(|key| !self.cache_marks.contains(key, server.incarnation()))
    }

    /// Returns the first candidate with capacity for the request, or else the first one with idle capacity.
    fn first_with_capacity(&self, candidates: &[usize], pending: &PendingRequest) -> Option<usize> {
        let fraction = |position| if position == 0 { FIRST_SERVER_FRACTION } else { SPILLOVER_FRACTION };
        let within_limit = candidates
            .iter()
            .enumerate()
            .find(|&(position, &index)| self.has_capacity(index, fraction(position), pending));
        let within_limit = within_limit.map(|(_, &index)| index);
        within_limit.or_else(|| candidates.iter().copied().find(|index| self.has_idle_capacity(*index)))
    }

    /// Returns whether a server may be sent a request beyond its concurrency limit: it reports an empty queue
    /// and has fewer requests in flight than the initial limit. Late answers lower the limits, and all
    /// servers answer late while misses wait for a slow origin. Without this rule, a fleet with idle servers
    /// would reject hits.
    fn has_idle_capacity(&self, index: usize) -> bool {
        let server = &self.servers[index];
        self.empty_queue_is_known(server) && f64::from(server.concurrency.in_flight()) < self.initial_limit
    }

    /// Returns whether this node knows from the last report that a server's queue is empty. In a fleet of 16
    /// nodes or more, whose concurrency limits start at the minimum, no node ever knows, since reports are
    /// older than the bursts of the other nodes. There, classes are not ejected and idle capacity is not
    /// used.
    pub fn empty_queue_is_known(&self, server: &Server) -> bool {
        self.initial_limit > MIN_INITIAL_LIMIT && server.reports_empty_queue(self.now)
    }

    /// Returns the servers in the order of the request's key. For a hot key, the replica chosen for this
    /// request comes first.
    fn replica_order(&self, pending: &PendingRequest) -> Vec<usize> {
        let key = placement_key(&pending.request);
        let mut order = rendezvous_order(key, self.candidates());
        let replicas = self.hot_keys.replication_factor(self.now, key, order.len());
        let random = unit_interval(mix(pending.random.to_bits()));
        let chosen = self.choose_replica(&order[..replicas], random);
        order[..replicas].rotate_left(chosen);
        order
    }

    /// Chooses a replica by a random number between 0 and 1 and returns its position. The probability is
    /// proportional to capacity, so a warming replica is chosen less often.
    fn choose_replica(&self, replicas: &[usize], random: f64) -> usize {
        let capacity = |index: &usize| self.servers.capacity(&self.servers[*index], self.settings, self.now);
        let mut remaining = random * replicas.iter().map(capacity).sum::<f64>();
        let chosen = replicas.iter().position(|index| {
            remaining -= capacity(index);
            remaining < 0.0
        });
        chosen.unwrap_or(0)
    }

    /// Returns the cache servers that accept requests.
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
