//! The faults of a script, and when each strikes.

use std::time::Duration;

/// A fault and its time.
#[derive(Clone, Debug, PartialEq)]
pub struct Incident {
    /// When it begins, from the start of the run.
    pub at: Duration,
    /// How long it lasts.
    pub duration: Duration,
    /// The zone whose cache servers or nodes it strikes, by index into [`Script::zones`](super::Script::zones); `None` for
    /// all zones.
    pub zone: Option<usize>,
    /// The fault.
    pub fault: Fault,
}

/// What goes wrong. A `share` is a fraction of the cache servers, or of the nodes where these are named; a `batch` is the
/// fraction that is struck at a time.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// Cache servers are drained one by one over the duration and removed for good.
    Shrink {
        /// The share that is removed.
        share: f64,
        /// The time from the drain to the end of the process.
        drain: Duration,
    },
    /// Cache servers are replaced, batch by batch, by successors that start cold under new ids.
    Deploy {
        /// The share that is replaced.
        share: f64,
        /// The fraction that is replaced at a time.
        batch: f64,
        /// The time from the drain to the end of the process, when the successor starts.
        drain: Duration,
        /// Successors take the addresses of the servers that they replace.
        same_address: bool,
    },
    /// Nodes restart, batch by batch, and come back with nothing but their last endpoint list.
    RestartNodes {
        /// The share that restarts.
        share: f64,
        /// The fraction that restarts at a time.
        batch: f64,
        /// The time from the end of the old process to the start of the new one.
        downtime: Duration,
        /// Nodes are killed instead of shut down gracefully.
        killed: bool,
    },
    /// Nodes hand over to successor processes, batch by batch.
    Upgrade {
        /// The share that is upgraded.
        share: f64,
        /// The fraction that is upgraded at a time.
        batch: f64,
    },
    /// Nodes reload a changed configuration, repeatedly and evenly over the duration.
    Reload {
        /// The share that reloads.
        share: f64,
        /// The number of reloads of each.
        times: u32,
    },
    /// Cache servers crash at once and come back cold at the end.
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
        /// The share that is struck.
        share: f64,
        /// The fraction of their requests that fails.
        rate: f64,
    },
    /// Messages to and from cache servers take longer, each way.
    Delay {
        /// The share that is struck.
        share: f64,
        /// The additional one-way latency.
        extra: Duration,
    },
    /// Packets to and from cache servers are lost at random, and retransmitted.
    Loss {
        /// The share that is struck.
        share: f64,
        /// The fraction of packets that is lost.
        rate: f64,
    },
    /// Connections are reset in the middle of a fraction of the answers.
    Resets {
        /// The share that is struck.
        share: f64,
        /// The fraction of answers that is cut short.
        rate: f64,
    },
    /// A middlebox forgets the connections to cache servers, one server after the other over the duration: nothing passes
    /// on them any more, and neither end is notified.
    HalfOpen {
        /// The share that is struck.
        share: f64,
    },
    /// A few keys receive a share of all operations.
    HotKeys {
        /// The number of hot keys.
        keys: u32,
        /// Their share of all operations.
        share: f64,
    },
    /// The rate of operations is multiplied.
    Surge {
        /// The factor.
        factor: f64,
    },
    /// Fetches from the origin take longer.
    SlowOrigin {
        /// The factor.
        factor: f64,
    },
    /// Discovery does not answer.
    DiscoveryOutage,
    /// A fraction of discovery's answers is cut short or malformed; these cost it as much as good ones.
    DiscoveryErrors {
        /// The fraction of answers.
        rate: f64,
    },
}
