//! The faults of a script and their times.

use std::time::Duration;

/// A fault with its time and zone.
#[derive(Clone, Debug, PartialEq)]
pub struct Incident {
    /// The time of the beginning, from the start of the run.
    pub at: Duration,
    /// The duration of the incident.
    pub duration: Duration,
    /// The index in [`Script::zones`](super::Script::zones) of the zone whose cache servers or nodes are
    /// affected. `None` stands for all zones.
    pub zone: Option<usize>,
    /// The kind of fault and its parameters.
    pub fault: Fault,
}

/// A kind of fault. `share` is the affected fraction of the cache servers or, for faults of nodes, of the
/// nodes. `batch` is the fraction that is affected at the same time.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// Cache servers are drained one by one over the duration and removed permanently.
    Shrink {
        /// The share that is removed.
        share: f64,
        /// The time from the drain to the end of the process.
        drain: Duration,
    },
    /// Cache servers are replaced in batches by successors that start cold under new ids.
    Deploy {
        /// The share that is replaced.
        share: f64,
        /// The fraction that is replaced at a time.
        batch: f64,
        /// The time from the drain to the end of the process. The successor starts at the same moment.
        drain: Duration,
        /// Whether successors listen at the addresses of the servers that they replace.
        same_address: bool,
    },
    /// Nodes restart in batches. Only their last endpoint list survives the restart.
    RestartNodes {
        /// The share that restarts.
        share: f64,
        /// The fraction that restarts at a time.
        batch: f64,
        /// The time from the end of the old process to the start of the new one.
        downtime: Duration,
        /// Whether nodes are killed instead of being shut down gracefully.
        killed: bool,
    },
    /// Nodes hand over to successor processes, in batches.
    Upgrade {
        /// The share that is upgraded.
        share: f64,
        /// The fraction that is upgraded at a time.
        batch: f64,
    },
    /// Nodes reload a changed configuration several times, at equal intervals over the duration.
    Reload {
        /// The share that reloads.
        share: f64,
        /// The number of reloads of each node.
        times: u32,
    },
    /// Cache servers crash at the beginning and restart cold at the end.
    Crash {
        /// The share that crashes.
        share: f64,
    },
    /// Cache servers are cut off from the network until the end.
    Unreachable {
        /// The share that is cut off.
        share: f64,
    },
    /// Cache servers make no progress until the end.
    Pause {
        /// The share that is paused.
        share: f64,
    },
    /// Cache servers answer a fraction of their requests with errors.
    Errors {
        /// The share that is affected.
        share: f64,
        /// The fraction of requests that fail.
        rate: f64,
    },
    /// Messages to and from cache servers take longer in each direction.
    Delay {
        /// The share that is affected.
        share: f64,
        /// The additional one-way latency.
        extra: Duration,
    },
    /// Packets to and from cache servers are lost at random and retransmitted.
    Loss {
        /// The share that is affected.
        share: f64,
        /// The fraction of packets that are lost.
        rate: f64,
    },
    /// Connections are reset in the middle of a fraction of the answers.
    Resets {
        /// The share that is affected.
        share: f64,
        /// The fraction of answers that are truncated.
        rate: f64,
    },
    /// A middlebox loses its state of the connections to cache servers, one server after another over the
    /// duration. These connections are half-open from then on: the middlebox drops all their packets without
    /// notifying either end.
    HalfOpen {
        /// The share that is affected.
        share: f64,
    },
    /// A few keys receive a share of all operations.
    HotKeys {
        /// The number of hot keys.
        keys: u32,
        /// The share of all operations that use the hot keys.
        share: f64,
    },
    /// The rate of operations is multiplied.
    Surge {
        /// The factor of the rate.
        factor: f64,
    },
    /// Fetches from the origin take longer.
    SlowOrigin {
        /// The factor of the duration of a fetch.
        factor: f64,
    },
    /// Discovery does not answer.
    DiscoveryOutage,
    /// A fraction of discovery's answers is truncated or malformed. Such answers cost discovery as much as
    /// intact ones.
    DiscoveryErrors {
        /// The fraction of answers that are truncated or malformed.
        rate: f64,
    },
}
