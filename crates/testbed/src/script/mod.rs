//! The script of a scenario: the simulated system, its faults, and the expected service.
//!
//! A script states only the differences from [`Script::default`], which has 20 cache servers and 12 nodes in
//! two zones and no faults. `docs/operators/scenarios.md` lists the keys of the file, and `parse` maps them
//! to the fields here.

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
    /// The name of the scenario, for lists and titles.
    pub name: String,
    /// What the scenario demonstrates.
    pub about: String,
    /// The seed of all random values.
    pub seed: u64,
    /// The period in which clients start new operations.
    pub length: Duration,
    /// The names of the zones. Nodes and cache servers are assigned to them round-robin.
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
    /// The discovery service, which provides nodes with the list of cache servers.
    pub discovery: Discovery,
    /// The time until the front, which distributes requests over the nodes, detects that a node has died.
    pub front_detection_delay: Duration,
    /// The load reports of cache servers.
    pub load_reports: LoadReports,
    /// The parameters of the four rules.
    pub rules: Rules,
    /// The faults, in chronological order.
    pub incidents: Vec<Incident>,
    /// The results that a run must achieve.
    pub expectations: Expectations,
}

/// The cache servers of one kind.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerKind {
    /// The name of the kind.
    pub name: String,
    /// The number of servers of this kind.
    pub count: u32,
    /// The number of cores of each server.
    pub cores: u32,
    /// The speed of a core relative to a standard core.
    pub speed: f64,
    /// Maximum number of requests in progress per core. A request that waits for the origin occupies a slot,
    /// but no core.
    pub slots_per_core: u32,
    /// Maximum number of queued requests per core. Further requests are declined.
    pub queue_per_core: u32,
    /// The capacity of the cache, in entries.
    pub cache_entries: u32,
    /// Maximum number of open connections.
    pub max_connections: u32,
    /// The capacity of a server right after a cold start, as a fraction of its full capacity.
    pub slow_start_min_fraction: f64,
    /// Slow start ends after this much work, in time on a standard core, or after `slow_start_window`,
    /// whichever comes first.
    pub slow_start_work: Duration,
    /// The longest duration of slow start. See `slow_start_work`.
    pub slow_start_window: Duration,
    /// The fraction of requests that fail when no fault is active.
    pub error_rate: f64,
    /// The time after which the server closes an idle connection. `None` stands for
    /// [`Network::idle_timeout`].
    pub idle_timeout: Option<Duration>,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// The name of the class.
    pub name: String,
    /// The share of this class in all requests, relative to the shares of the other classes.
    pub share: f64,
    /// The mean work of a request, in time on a standard core.
    pub mean_work: Duration,
    /// The coefficient of variation of the work.
    pub work_variation: f64,
    /// An answer within this time counts with the full priority weight.
    pub latency_objective: Duration,
    /// The time after which clients give up an operation.
    pub deadline: Duration,
    /// The weight of an answer that meets the latency objective.
    pub priority_weight: f64,
    /// The weight of a later answer, as a fraction of `priority_weight`.
    pub late_weight_fraction: f64,
    /// Whether a request may be executed more than once.
    pub idempotency: Idempotency,
    /// Whether a request modifies its entry.
    pub write: bool,
}

/// The rate of operations and their distribution.
#[derive(Clone, Debug, PartialEq)]
pub struct Load {
    /// The mean rate of all nodes together, in operations per second.
    pub rate: f64,
    /// The amplitude of the sine wave that the rate follows, as a fraction of `rate`.
    pub swing: f64,
    /// The period of the sine wave.
    pub swing_period: Duration,
    /// The number of keys.
    pub keys: u32,
    /// The exponent of the Zipf distribution of keys.
    pub zipf_exponent: f64,
    /// The share of operations in the first zone. The other zones have equal shares of the remainder.
    pub first_zone_share: f64,
}

/// The behaviour of clients.
#[derive(Clone, Debug, PartialEq)]
pub struct Clients {
    /// Maximum number of retries of an operation.
    pub max_retries: u32,
    /// The timeout of a request, as a fraction of the deadline of its class.
    pub request_timeout_fraction: f64,
    /// The delay before a retry. Zero means an immediate retry.
    pub backoff: Duration,
    /// The fraction of clients that honour `Retry-After`.
    pub retry_after_fraction: f64,
    /// The longest delay that a client accepts from `Retry-After`. A longer one is shortened to it.
    pub max_retry_after: Duration,
    /// The fraction of requests whose client may disconnect before the answer.
    pub disconnect_fraction: f64,
}

/// One-way latencies and the cost of connections.
#[derive(Clone, Debug, PartialEq)]
pub struct Network {
    /// One-way latency within a zone.
    pub same_zone_latency: Duration,
    /// One-way latency between two zones.
    pub cross_zone_latency: Duration,
    /// One-way latency between a client and its node.
    pub client_latency: Duration,
    /// Maximum random increase of a latency, as a fraction of it.
    pub jitter: f64,
    /// The number of round trips to establish a connection to a cache server before the first request is
    /// sent.
    pub handshake_round_trips: u32,
    /// The work of the cache server for a new connection, in time on a standard core.
    pub handshake_work: Duration,
    /// The time after which cache servers close an idle connection. Nodes are configured with the same value.
    pub idle_timeout: Duration,
    /// The time after which an attempt to connect fails.
    pub connect_timeout: Duration,
}

/// The origin.
#[derive(Clone, Debug, PartialEq)]
pub struct Origin {
    /// Maximum number of fetches in progress.
    pub slots: u32,
    /// The mean duration of a fetch.
    pub mean_fetch_time: Duration,
    /// The coefficient of variation of the duration of a fetch.
    pub fetch_variation: f64,
    /// Maximum number of queued fetches. Further fetches fail immediately.
    pub queue_capacity: u32,
    /// The fraction of keys, most popular first, whose entries are cached at the start.
    pub initially_cached_fraction: f64,
}

/// The discovery service.
#[derive(Clone, Debug, PartialEq)]
pub struct Discovery {
    /// The time until discovery detects that a cache server has started, begun to drain or ended.
    pub detection_delay: Duration,
    /// Maximum number of lines per second that discovery sends to all nodes together.
    pub lines_per_second: f64,
    /// The cost of a call in lines, in addition to the entries that it returns.
    pub call_lines: f64,
    /// The time after which a queued call fails.
    pub call_timeout: Duration,
}

/// The load reports that cache servers add to their answers.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadReports {
    /// The time between two snapshots.
    pub interval: Duration,
    /// The delay between a snapshot and the first answer that reports it.
    pub delay: Duration,
    /// Whether answers also state whether the request was a cache hit.
    pub include_cache_result: bool,
}

/// The parameters of the four rules that the [`Judge`](crate::Judge) checks.
#[derive(Clone, Debug, PartialEq)]
pub struct Rules {
    /// The time after a notification of a drain or removal in which a node may still send new requests to the
    /// cache server.
    pub drain_grace: Duration,
    /// A server in slow start crashes when the work sent to it exceeds this multiple of its current capacity.
    pub slow_start_overload_factor: f64,
    /// The sliding window over which the work sent to a server in slow start is measured.
    pub slow_start_overload_window: Duration,
    /// Maximum number of attempts of a request.
    pub max_attempts: u32,
}

/// The results that a run must achieve. Service values are fractions from 0 to 1.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Expectations {
    /// The minimum service over the whole run.
    pub service: Option<f64>,
    /// The minimum service of any window of 10 s.
    pub worst_window: Option<f64>,
    /// The minimum service of any class.
    pub worst_class: Option<f64>,
    /// The maximum number of attempts at removed or unreachable servers. Checked in virtual time only.
    pub lost_attempts: Option<u64>,
    /// The maximum number of attempts at faulty servers. Checked in virtual time only.
    pub faulty_attempts: Option<u64>,
    /// The maximum number of connections that nodes open to cache servers. Checked in virtual time only.
    pub connects: Option<u64>,
    /// The maximum number of failed calls to discovery. Checked in virtual time only.
    pub failed_list_calls: Option<u64>,
}

impl Script {
    /// Returns whether the script contains an upgrade or a reload. If so, nodes run from an operator's file
    /// instead of the platform's configuration.
    pub fn uses_operator_file(&self) -> bool {
        let is_operator_action =
            |fault: &Fault| matches!(fault, Fault::Upgrade { .. } | Fault::Reload { .. });
        self.incidents.iter().any(|incident| is_operator_action(&incident.fault))
    }

    /// Returns the longest deadline of all classes.
    pub fn longest_deadline(&self) -> Duration {
        self.classes.iter().map(|class| class.deadline).max().unwrap_or_default()
    }
}
