//! Settings of a node: request classes, tenants, and the guarantees and limits of the platform.
//!
//! The platform's own names for these are read in [`platform`](crate::platform) and nowhere else.

use crate::names::Name;
use std::time::Duration;

/// Index of a class in [`Settings::classes`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClassId(pub usize);

/// Index of a tenant in [`Settings::tenants`]. No decision uses it yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TenantId(pub usize);

/// The servers among which a second attempt with the same idempotency key is recognised and discarded.
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
    /// It may run any number of times.
    Idempotent,
    /// It carries an idempotency key: within `scope`, and for `window` from the first attempt that may have run, it
    /// has no further effect.
    WithKey {
        /// The servers that recognise the key.
        scope: DeduplicationScope,
        /// How long they do.
        window: Duration,
    },
    /// It must not run twice.
    NotIdempotent,
}

/// A class of requests with common objectives.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestClass {
    /// The name that requests and logs use.
    pub name: Name,
    /// Whether requests of the class may run more than once.
    pub idempotency: Idempotency,
    /// An answer within this time has its full weight.
    pub latency_objective: Duration,
    /// Time after which clients give up for good. No decision uses it yet: they use the deadline of the request.
    pub deadline: Duration,
    /// Weight of an answer relative to other classes.
    pub priority_weight: f64,
    /// Part of `priority_weight`, from 0 to 1, that an answer past `latency_objective` still has. No decision uses it yet.
    pub late_weight_fraction: f64,
}

impl Default for RequestClass {
    /// The most careful class: its requests are never retried.
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
    /// The name that requests use.
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

/// Settings of a node. `Default` gives a value for each, for callers that know only some.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Zone of this node. No decision uses it yet.
    pub zone: Option<Name>,
    /// Number of nodes that share the cache servers; each takes its part of what all may do together.
    pub nodes: u32,
    /// Classes of requests.
    pub classes: Vec<RequestClass>,
    /// Tenants, if there are any. No decision uses it yet.
    pub tenants: Vec<Tenant>,
    /// Weight of a request over its tenant's quota, from 0 to 1, as a part of its class's. No decision uses it yet.
    pub over_quota_weight_fraction: f64,
    /// Who fetches what a cache server does not hold.
    pub mode: CacheMode,
    /// Whether endpoint weights reflect the speed of a server, rather than only its number of cores.
    pub weights_reflect_speed: bool,
    /// Which discovery the node polls. `true`: one service for all nodes, paced by their number. `false`: an agent on the
    /// node's own machine, polled several times within each `drain_grace`.
    pub discovery_is_polled: bool,
    /// Whether discovery reports start times. If not, an endpoint that appears later counts as just started.
    pub start_times_reported: bool,
    /// Attempts a request may have, the first included.
    pub max_attempts: u32,
    /// Whether two attempts of a request may be in flight at once. No decision uses it yet.
    pub hedging_allowed: bool,
    /// Whether attempts may be cancelled. No decision uses it yet.
    pub cancellation_allowed: bool,
    /// Whether servers may be sent health checks. No decision uses it yet.
    pub health_checks_allowed: bool,
    /// Longest `Retry-After` that clients honour; zero where they are sent none.
    pub max_retry_after: Duration,
    /// A connection that is not established within this time has failed.
    pub connect_timeout: Duration,
    /// Servers close a connection that has been idle for this long.
    pub server_idle_timeout: Duration,
    /// Part of its full capacity, from 0 to 1, that a server has right after its start.
    pub slow_start_min_fraction: f64,
    /// Time after its start at which a server has reached its full capacity.
    pub slow_start_window: Duration,
    /// A warming server collapses when it is sent more than this multiple of its present capacity.
    pub slow_start_overload_factor: f64,
    /// Time over which `slow_start_overload_factor` is counted.
    pub slow_start_overload_window: Duration,
    /// While no watch is open, the held list is valid for this time from the last poll of discovery, four times as long if
    /// that poll failed. After that, a change counts as notified this long after it was made.
    pub max_poll_interval: Duration,
    /// Time after the notification that a server is draining from which no new attempt may be sent to it. The balancer
    /// sends none from the notification itself on; discovery is polled often enough to be notified in time.
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
