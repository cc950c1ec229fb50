//! Settings of a node: request classes, tenants, and the guarantees and limits of the platform.
//!
//! Only [`platform`](crate::platform) reads the platform's names for these settings.

use crate::names::Name;
use std::time::Duration;

/// Index of a class in [`Settings::classes`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClassId(pub usize);

/// Index of a tenant in [`Settings::tenants`]. No decision uses it yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TenantId(pub usize);

/// The servers among which a second attempt with the same idempotency key is recognized and discarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All servers.
    All,
    /// The servers in the zone of the first attempt.
    Zone,
    /// The servers in the cell of the first attempt.
    Cell,
}

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// The request may run any number of times.
    Idempotent,
    /// The request carries an idempotency key. Within `scope`, repeated attempts have no further effect for
    /// the duration of `window` from the first attempt that may have run.
    WithKey {
        /// Servers that recognize the key.
        scope: DeduplicationScope,
        /// Time for which the servers recognize the key.
        window: Duration,
    },
    /// The request must not run twice.
    NotIdempotent,
}

/// A class of requests with common objectives.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestClass {
    /// Name that requests and logs use.
    pub name: Name,
    /// Whether requests of the class may run more than once.
    pub idempotency: Idempotency,
    /// An answer within this time counts with its full weight.
    pub latency_objective: Duration,
    /// Time after which clients give up for good. No decision uses it yet: decisions use
    /// [`Request::deadline`](crate::api::Request::deadline).
    pub deadline: Duration,
    /// Weight of an answer relative to other classes.
    pub priority_weight: f64,
    /// Fraction of `priority_weight`, from 0 to 1, with which an answer after `latency_objective` counts. No
    /// decision uses it yet.
    pub late_weight_fraction: f64,
}

impl Default for RequestClass {
    /// Returns the most conservative class: its requests are retried only if they cannot have run.
    fn default() -> Self {
        Self {
            name: "".into(),
            idempotency: Idempotency::NotIdempotent,
            latency_objective: Duration::from_millis(500),
            deadline: Duration::from_secs(1),
            priority_weight: 1.0,
            late_weight_fraction: 0.0,
        }
    }
}

/// A tenant and its quota. No decision uses it yet.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Name that requests use.
    pub name: Name,
    /// Requests per second, over all nodes, that are within the tenant's quota.
    pub quota_per_second: f64,
}

/// Who fetches a value that a cache server does not hold.
#[derive(Clone, Debug, PartialEq)]
pub enum CacheMode {
    /// The cache servers fetch from the origin and forward writes to it.
    Through,
    /// The balancer sends misses and writes to the origin, which is an endpoint itself.
    Aside {
        /// [`Endpoint::kind`](crate::api::Endpoint::kind) of the origin.
        origin_kind: Name,
    },
}

/// Settings of a node. `Default` provides a value for each setting, for callers that set only some of them.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Zone of this node. No decision uses it yet.
    pub zone: Option<Name>,
    /// Number of nodes that share the cache servers. Each node uses its share of the limits of the whole
    /// fleet.
    pub nodes: u32,
    /// Classes of requests.
    pub classes: Vec<RequestClass>,
    /// Tenants, if there are any. No decision uses them yet.
    pub tenants: Vec<Tenant>,
    /// Fraction of the weight of its class, from 0 to 1, with which a request over its tenant's quota counts.
    /// No decision uses it yet.
    pub over_quota_weight_fraction: f64,
    /// Who fetches a value that a cache server does not hold.
    pub mode: CacheMode,
    /// Whether endpoint weights reflect the speed of a server, rather than only its number of cores.
    pub weights_reflect_speed: bool,
    /// Source of the endpoint list. `true`: one discovery service that all nodes poll, at a rate that depends
    /// on their number. `false`: an agent on the node's own machine, polled several times within each
    /// `drain_grace`.
    pub discovery_is_polled: bool,
    /// Whether discovery reports the start times of servers. If not, an endpoint that appears later counts as
    /// just started.
    pub start_times_reported: bool,
    /// Maximum number of attempts of a request, including the first.
    pub max_attempts: u32,
    /// Whether two attempts of a request may be in flight at once. No decision uses it yet.
    pub hedging_allowed: bool,
    /// Whether attempts may be cancelled. No decision uses it yet.
    pub cancellation_allowed: bool,
    /// Whether servers may be sent health checks. No decision uses it yet.
    pub health_checks_allowed: bool,
    /// Longest `Retry-After` that clients honour; zero if none is sent to them.
    pub max_retry_after: Duration,
    /// Time after which a connection that is not established has failed.
    pub connect_timeout: Duration,
    /// Idle time after which servers close a connection.
    pub server_idle_timeout: Duration,
    /// Fraction of its full capacity, from 0 to 1, that a server has right after its start.
    pub slow_start_min_fraction: f64,
    /// Time after its start at which a server has reached its full capacity.
    pub slow_start_window: Duration,
    /// Multiple of its current capacity above which the load makes a warming server collapse.
    pub slow_start_overload_factor: f64,
    /// Window over which the load for `slow_start_overload_factor` is counted.
    pub slow_start_overload_window: Duration,
    /// While no watch is open, the current endpoint list is valid for this time after the last poll of
    /// discovery, or four times as long if that poll failed. After that, the node counts as notified of
    /// each change this long after the change was made.
    pub max_poll_interval: Duration,
    /// Time from the notification that a server is draining until no new attempt may be sent to that server.
    /// The balancer stops sending as soon as it is notified. Discovery is polled often enough for the
    /// notification to arrive in time.
    pub drain_grace: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            zone: None,
            nodes: 1,
            classes: Vec::new(),
            tenants: Vec::new(),
            over_quota_weight_fraction: 1.0,
            mode: CacheMode::Through,
            weights_reflect_speed: true,
            discovery_is_polled: false,
            start_times_reported: true,
            max_attempts: 3,
            hedging_allowed: false,
            cancellation_allowed: false,
            health_checks_allowed: false,
            max_retry_after: Duration::ZERO,
            connect_timeout: Duration::from_millis(250),
            server_idle_timeout: Duration::from_secs(15),
            slow_start_min_fraction: 0.3,
            slow_start_window: Duration::from_secs(10),
            slow_start_overload_factor: 2.0,
            slow_start_overload_window: Duration::from_secs(1),
            max_poll_interval: Duration::from_secs(10),
            drain_grace: Duration::from_millis(500),
        }
    }
}
