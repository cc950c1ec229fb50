//! The servers on the endpoint list, the state that is kept for each, and how updates of the list change
//! them.

use super::cached_keys::CacheIncarnation;
use super::concurrency_limit::ConcurrencyLimit;
use super::outlier_detection::OutlierDetection;
use super::server_kinds::ServerKinds;
use super::slow_start::{warm_up_fraction, WarmUpSends};
use crate::endpoints::{Endpoint, EndpointState};
use crate::hashing::{hash_text, mix};
use crate::learned_state::{micros, timestamp_from_age, LearnedKind, LearnedServer};
use crate::names::{Name, ServerId};
use crate::settings::{CacheMode, Settings};
use crate::time::Timestamp;
use std::ops::{Index, IndexMut};
use std::time::Duration;

/// Time for which a report of an empty queue is considered current.
const QUEUE_REPORT_TTL: Duration = Duration::from_millis(500);
/// Minimum capacity, so that servers of weight 0 can still be compared.
const MIN_CAPACITY: f64 = 1e-9;

/// A server on the endpoint list.
#[derive(Debug)]
pub struct Server {
    /// Entry of the server on the endpoint list.
    pub endpoint: Endpoint,
    /// Index of the server's kind in [`ServerKinds`].
    kind: usize,
    /// Hash of the server's id.
    pub hash: u64,
    /// Circuit breakers of the server and of its classes.
    pub outlier_detection: OutlierDetection,
    /// Limit of the requests in flight at the server.
    pub concurrency: ConcurrencyLimit,
    /// Requests sent to the server while it warms up.
    pub warm_up_sends: WarmUpSends,
    /// Time of the last queue report, if that report showed an empty queue.
    pub empty_queue_at: Option<Timestamp>,
}

impl Server {
    /// Returns whether this is the origin, to which the balancer itself sends misses and writes.
    pub fn is_origin(&self, settings: &Settings) -> bool {
        match &settings.mode {
            CacheMode::Aside { origin_kind } => self.endpoint.kind.as_ref() == Some(origin_kind),
            CacheMode::Through => false,
        }
    }

    /// Returns whether this is a cache server that accepts requests.
    pub fn is_ready_cache(&self, settings: &Settings) -> bool {
        self.endpoint.state == EndpointState::Ready && !self.is_origin(settings)
    }

    /// Returns whether the server has recently reported an empty queue.
    pub fn reports_empty_queue(&self, now: Timestamp) -> bool {
        self.empty_queue_at.is_some_and(|at| now.since(at) < QUEUE_REPORT_TTL)
    }

    /// Returns the current incarnation of the server.
    pub fn incarnation(&self) -> CacheIncarnation {
        CacheIncarnation { server_hash: self.hash, started_at: self.endpoint.started_at }
    }

    fn learned(&self, class_names: &[Name], settings: &Settings, now: Timestamp) -> LearnedServer {
        let window = settings.slow_start_overload_window;
        LearnedServer {
            id: self.endpoint.id.to_string(),
            started_at: self.endpoint.started_at.map(Timestamp::as_micros),
            breaker: self.outlier_detection.learned_server(now),
            class_breakers: self.outlier_detection.learned_classes(class_names, now),
            warm_up_sends: self.warm_up_sends.count(window, now) as u32,
            concurrency_limit: self.concurrency.learned(),
            empty_queue_age: self.empty_queue_at.map(|at| micros(now.since(at))),
        }
    }

    fn restore(&mut self, learned: &LearnedServer, class_names: &[Name], now: Timestamp) {
        self.outlier_detection.restore(&learned.breaker, &learned.class_breakers, class_names, now);
        self.warm_up_sends.restore(learned.warm_up_sends, now);
        self.concurrency.restore(learned.concurrency_limit);
        self.empty_queue_at = learned.empty_queue_age.map(|age| timestamp_from_age(now, age));
    }
}

/// The servers of the endpoint list, and their kinds.
#[derive(Debug, Default)]
pub struct ServerList {
    /// Sorted by id. Draining servers stay until discovery removes them.
    servers: Vec<Server>,
    kinds: ServerKinds,
    list_received: bool,
}

impl ServerList {
    /// Applies a complete list and removes servers that are not on it. Concurrency limits of new servers
    /// start at `initial_limit`.
    pub fn apply_snapshot(
        &mut self,
        endpoints: &[Endpoint],
        settings: &Settings,
        initial_limit: f64,
        now: Timestamp,
    ) {
        self.servers.retain(|server| endpoints.iter().any(|endpoint| endpoint.id == server.endpoint.id));
        self.apply_delta(endpoints, settings, initial_limit, now);
    }

    /// Applies the endpoints that changed. Concurrency limits of new servers start at `initial_limit`.
    pub fn apply_delta(
        &mut self,
        endpoints: &[Endpoint],
        settings: &Settings,
        initial_limit: f64,
        now: Timestamp,
    ) {
        let is_first_list = !std::mem::replace(&mut self.list_received, true);
        for endpoint in endpoints {
            let is_removed = endpoint.state == EndpointState::Removed;
            match self.position(&endpoint.id) {
                Ok(index) if is_removed => drop(self.servers.remove(index)),
                Ok(index) => self.update(index, endpoint, settings, now),
                Err(_) if is_removed => {}
                Err(index) => {
                    // Servers on the first list are assumed to be warm.
                    let endpoint = if is_first_list {
                        endpoint.clone()
                    } else {
                        with_start_time(endpoint, None, settings, now)
                    };
                    let server = self.new_server(endpoint, settings, initial_limit, now);
                    self.servers.insert(index, server);
                }
            }
        }
    }

    /// Returns the index of a server, or else the index at which to insert it.
    pub fn position(&self, id: &ServerId) -> Result<usize, usize> {
        self.servers.binary_search_by(|server| server.endpoint.id.cmp(id))
    }

    fn update(&mut self, index: usize, endpoint: &Endpoint, settings: &Settings, now: Timestamp) {
        let server = &mut self.servers[index];
        let endpoint = with_start_time(endpoint, Some(&server.endpoint), settings, now);
        if endpoint.started_at != server.endpoint.started_at {
            server.outlier_detection.reset(now);
        }
        server.endpoint = endpoint;
    }

    fn new_server(
        &mut self,
        endpoint: Endpoint,
        settings: &Settings,
        initial_limit: f64,
        now: Timestamp,
    ) -> Server {
        Server {
            kind: self.kinds.index_of(endpoint.kind.as_ref()),
            hash: mix(hash_text(endpoint.id.as_str())),
            outlier_detection: OutlierDetection::new(settings.classes.len(), now),
            concurrency: ConcurrencyLimit::new(initial_limit),
            warm_up_sends: WarmUpSends::default(),
            empty_queue_at: None,
            endpoint,
        }
    }

    /// Returns the current capacity of a server relative to other servers; greater than 0.
    pub fn capacity(&self, server: &Server, settings: &Settings, now: Timestamp) -> f64 {
        let speed = if settings.weights_reflect_speed { 1.0 } else { self.kinds.speed(server.kind) };
        let warm_up_fraction = warm_up_fraction(&server.endpoint, settings, now);
        (server.endpoint.weight * speed * warm_up_fraction).max(MIN_CAPACITY)
    }

    /// Records the latency of an answer of a server, for the speed of its kind. `expected_seconds` is the
    /// expected work of the request, greater than 0.
    pub fn record_latency(&mut self, index: usize, latency: Duration, expected_seconds: f64) {
        self.kinds.record(self.servers[index].kind, latency, expected_seconds);
    }

    /// Returns the total current capacity of the cache servers that accept requests.
    pub fn total_capacity(&self, settings: &Settings, now: Timestamp) -> f64 {
        let cache_servers = self.servers.iter().filter(|server| server.is_ready_cache(settings));
        cache_servers.map(|server| self.capacity(server, settings, now)).sum()
    }

    /// Returns the servers, sorted by id.
    pub fn iter(&self) -> std::slice::Iter<'_, Server> {
        self.servers.iter()
    }

    /// Returns the servers, sorted by id.
    pub fn iter_mut(&mut self) -> std::slice::IterMut<'_, Server> {
        self.servers.iter_mut()
    }

    /// Returns the servers, sorted by id.
    pub fn as_slice(&self) -> &[Server] {
        &self.servers
    }

    /// Returns what was learned about the servers and their kinds, for a successor process.
    pub fn learned(
        &self,
        class_names: &[Name],
        settings: &Settings,
        now: Timestamp,
    ) -> (Vec<LearnedServer>, Vec<LearnedKind>) {
        let servers = self.servers.iter().map(|server| server.learned(class_names, settings, now));
        (servers.collect(), self.kinds.learned())
    }

    /// Restores what a predecessor process learned about the servers on the list, except for servers that
    /// have restarted since.
    pub fn restore(
        &mut self,
        servers: &[LearnedServer],
        kinds: &[LearnedKind],
        class_names: &[Name],
        now: Timestamp,
    ) {
        for server in &mut self.servers {
            let started_at = server.endpoint.started_at.map(Timestamp::as_micros);
            let is_same = |other: &&LearnedServer| {
                other.id == server.endpoint.id.as_str() && other.started_at == started_at
            };
            if let Some(learned) = servers.iter().find(is_same) {
                server.restore(learned, class_names, now);
            }
        }
        self.kinds.restore(kinds);
    }
}

impl Index<usize> for ServerList {
    type Output = Server;

    fn index(&self, index: usize) -> &Server {
        &self.servers[index]
    }
}

impl IndexMut<usize> for ServerList {
    fn index_mut(&mut self, index: usize) -> &mut Server {
        &mut self.servers[index]
    }
}

/// Returns the endpoint with its start time, which is inferred where discovery does not report it: a server
/// that was not listed before, or was draining, has most likely just started.
fn with_start_time(
    endpoint: &Endpoint,
    previous: Option<&Endpoint>,
    settings: &Settings,
    now: Timestamp,
) -> Endpoint {
    if settings.start_times_reported || endpoint.started_at.is_some() {
        return endpoint.clone();
    }
    let is_ready = endpoint.state == EndpointState::Ready;
    let started_at = match previous.filter(|previous| previous.state == EndpointState::Ready) {
        Some(previous) => previous.started_at,
        None => is_ready.then_some(now),
    };
    Endpoint { started_at, ..endpoint.clone() }
}
