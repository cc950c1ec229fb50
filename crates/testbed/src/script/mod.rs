//! The script of a scenario: the simulated world, the faults that strike it, and the service that is expected.
//!
//! A script states only what differs from an ordinary fleet: [`Script::default`] has 20 cache servers and 12 nodes in two
//! zones, and no faults. The keys of the file are listed in `docs/operators/scenarios.md`; `parse` maps them to the fields here.

mod defaults;
mod fault;
mod parse;

pub use fault::{Fault, Incident};

use balancer_core::Idempotency;
use std::time::Duration;

/// The version of the file format that this program reads.
pub const VERSION: u64 = 1;

/// A scenario's script.
#[derive(Clone, Debug, PartialEq)]
pub struct Script {
    /// The name, for lists and titles.
    pub name: String,
    /// What the scenario shows.
    pub about: String,
    /// The seed of all random values.
    pub seed: u64,
    /// How long clients start new operations.
    pub length: Duration,
    /// The zones. Nodes and cache servers are dealt out over them in turn.
    pub zones: Vec<String>,
    /// The number of nodes.
    pub nodes: u32,
    /// The cache servers, by kind.
    pub server_kinds: Vec<ServerKind>,
    /// The classes of requests.
    pub classes: Vec<Class>,
    /// The rate of operations and their distribution over keys and zones.
    pub load: Load,
    /// The behaviour of clients.
    pub clients: Clients,
    /// The latency of messages and connections.
    pub network: Network,
    /// The origin, from which cache servers fetch entries on a miss.
    pub origin: Origin,
    /// The discovery service, from which nodes learn of cache servers.
    pub discovery: Discovery,
    /// How long the front takes to detect that a node has died.
    pub front_detection_delay: Duration,
    /// The load reports of cache servers.
    pub load_reports: LoadReports,
    /// The parameters of the four rules.
    pub rules: Rules,
    /// The faults, in the order of time.
    pub incidents: Vec<Incident>,
    /// What the run must achieve.
    pub expectations: Expectations,
}

/// The cache servers of one kind.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerKind {
    /// The name of the kind.
    pub name: String,
    /// The number of servers of this kind.
    pub count: u32,
    /// The number of cores of each.
    pub cores: u32,
    /// The speed of a core, in multiples of a standard core.
    pub speed: f64,
    /// Requests in progress at a time, for each core: one that waits for the origin holds no core.
    pub slots_per_core: u32,
    /// Requests that may be queued, for each core; more are declined.
    pub queue_per_core: u32,
    /// The number of entries that fit into the cache.
    pub cache_entries: u32,
    /// The maximum number of open connections.
    pub max_connections: u32,
    /// The fraction of its capacity that a server has right after a cold start.
    pub slow_start_min_fraction: f64,
    /// A cold server is warm after this much work of a standard core, or after `slow_start_window`, whichever comes first.
    pub slow_start_work: Duration,
    /// See `slow_start_work`.
    pub slow_start_window: Duration,
    /// The fraction of requests that fail without any fault.
    pub error_rate: f64,
    /// An idle connection is closed after this time; `None` for [`Network::idle_timeout`].
    pub idle_timeout: Option<Duration>,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// The name.
    pub name: String,
    /// The share of all requests, in proportion to the other classes' shares.
    pub share: f64,
    /// The mean work of a request, on a standard core.
    pub mean_work: Duration,
    /// The coefficient of variation of the work.
    pub work_variation: f64,
    /// An answer within this time counts in full.
    pub latency_objective: Duration,
    /// Clients give an operation up after this time.
    pub deadline: Duration,
    /// The weight of an answer within the latency objective.
    pub priority_weight: f64,
    /// The fraction of that weight that a later answer has.
    pub late_weight_fraction: f64,
    /// Whether a request may be repeated.
    pub idempotency: Idempotency,
    /// Whether a request changes its entry.
    pub write: bool,
}

/// The rate of operations and their distribution.
#[derive(Clone, Debug, PartialEq)]
pub struct Load {
    /// Operations per second, over all nodes.
    pub rate: f64,
    /// The rate rises and falls by this fraction of itself.
    pub swing: f64,
    /// The period of that sine wave.
    pub swing_period: Duration,
    /// The number of keys.
    pub keys: u32,
    /// The exponent of the Zipf distribution of keys.
    pub zipf_exponent: f64,
    /// The share of operations in the first zone; the other zones have equal shares of the rest.
    pub first_zone_share: f64,
}

/// The behaviour of clients.
#[derive(Clone, Debug, PartialEq)]
pub struct Clients {
    /// The maximum number of retries of an operation.
    pub max_retries: u32,
    /// A request times out after this fraction of the class's deadline.
    pub request_timeout_fraction: f64,
    /// The wait before a retry; zero for an immediate one.
    pub backoff: Duration,
    /// The fraction of clients that honour `Retry-After`.
    pub retry_after_fraction: f64,
    /// The longest `Retry-After` that they honour.
    pub max_retry_after: Duration,
    /// The fraction of requests whose client disconnects before the answer.
    pub disconnect_fraction: f64,
}

/// One-way latencies, and the cost of connections.
#[derive(Clone, Debug, PartialEq)]
pub struct Network {
    /// Within a zone.
    pub same_zone_latency: Duration,
    /// Between two zones.
    pub cross_zone_latency: Duration,
    /// Between a client and its node.
    pub client_latency: Duration,
    /// A message takes up to this fraction longer.
    pub jitter: f64,
    /// Round trips that a new connection to a cache server takes before its first request.
    pub handshake_round_trips: u32,
    /// Work of a standard core that a new connection costs the cache server.
    pub handshake_work: Duration,
    /// Cache servers close a connection that has been idle for this long, and nodes are told so.
    pub idle_timeout: Duration,
    /// A connection that is not established after this time has failed.
    pub connect_timeout: Duration,
}

/// The origin.
#[derive(Clone, Debug, PartialEq)]
pub struct Origin {
    /// The number of fetches in progress at a time.
    pub slots: u32,
    /// The mean time of a fetch.
    pub mean_fetch_time: Duration,
    /// The coefficient of variation of that time.
    pub fetch_variation: f64,
    /// The number of fetches that may be queued; more fail at once.
    pub queue_capacity: u32,
    /// The fraction of keys, most popular first, that is cached somewhere at the start.
    pub initially_cached_fraction: f64,
}

/// The discovery service.
#[derive(Clone, Debug, PartialEq)]
pub struct Discovery {
    /// How long it takes to detect that a process has ended or started.
    pub detection_delay: Duration,
    /// Lines per second that it can send, to all nodes together.
    pub lines_per_second: f64,
    /// Lines that a call costs beside the entries that it returns.
    pub call_lines: f64,
    /// A call that has waited for this long fails.
    pub call_timeout: Duration,
}

/// The load reports that cache servers add to each answer.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadReports {
    /// The time between two snapshots.
    pub interval: Duration,
    /// The age at which a snapshot is first reported.
    pub delay: Duration,
    /// Whether answers also carry the cache result.
    pub include_cache_result: bool,
}

/// The parameters of the four rules.
#[derive(Clone, Debug, PartialEq)]
pub struct Rules {
    /// How long after the notification of a drain or removal a node may still send new requests to a cache server.
    pub drain_grace: Duration,
    /// A warming server crashes when it is sent more than this multiple of its present capacity.
    pub slow_start_overload_factor: f64,
    /// The window over which that is measured.
    pub slow_start_overload_window: Duration,
    /// The maximum number of attempts of a request.
    pub max_attempts: u32,
}

/// What a run must achieve. Service figures are fractions from 0 to 1.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Expectations {
    /// The minimum service over the whole run.
    pub service: Option<f64>,
    /// The minimum service of any 10 s.
    pub worst_window: Option<f64>,
    /// The minimum service of any class.
    pub worst_class: Option<f64>,
    /// The maximum number of attempts at removed or unreachable servers. In virtual time.
    pub lost_attempts: Option<u64>,
    /// The maximum number of attempts at faulty servers. In virtual time.
    pub faulty_attempts: Option<u64>,
    /// The maximum number of connections to cache servers. In virtual time.
    pub connects: Option<u64>,
    /// The maximum number of failed calls to discovery. In virtual time.
    pub failed_list_calls: Option<u64>,
}

impl Script {
    /// Whether an operator acts in it. Nodes then run from an operator's file instead of the platform's configuration.
    pub fn uses_operator_file(&self) -> bool {
        let of_operators = |fault: &Fault| matches!(fault, Fault::Upgrade { .. } | Fault::Reload { .. });
        self.incidents.iter().any(|incident| of_operators(&incident.fault))
    }

    /// The longest deadline of all classes.
    pub fn longest_deadline(&self) -> Duration {
        self.classes.iter().map(|class| class.deadline).max().unwrap_or_default()
    }
}
