//! The schedule of a script's faults: all changes to the simulated system with their times, the same for
//! every runner.
//!
//! Cache servers are identified by their index (see [`crate::fleet`]). Each incident selects its servers with
//! its own random source, so that adding an incident to a script does not change the servers of the others.
//! `effects` expands each incident into effects as if it were the only one. `active_faults` combines effects
//! that overlap on one server, so that the end of one incident does not end the effects of another.

mod active_faults;
mod effects;

use crate::script::Script;
use active_faults::ActiveFaults;
use std::time::Duration;

/// A change to the simulated system.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// A cache server begins to drain, and discovery detects it.
    Drain {
        /// The index of the cache server.
        index: usize,
    },
    /// The process of a cache server ends.
    Stop {
        /// The index of the cache server.
        index: usize,
    },
    /// A cold process starts, unless one already runs at this index.
    Start {
        /// The index of the cache server.
        index: usize,
        /// Whether the process keeps the id of its predecessor.
        same_id: bool,
        /// Whether the process listens at the address of its predecessor.
        same_address: bool,
    },
    /// A cache server makes no progress for some time.
    Pause {
        /// The index of the cache server.
        index: usize,
        /// How long the pause lasts.
        duration: Duration,
    },
    /// The condition of a cache server changes. It applies to the current process and to its successors.
    SetCondition {
        /// The index of the cache server.
        index: usize,
        /// The new condition.
        condition: ServerCondition,
    },
    /// A middlebox loses its state of the current connections to a cache server. They are half-open from then
    /// on: the middlebox drops all their packets without notifying either end.
    LoseConnectionState {
        /// The index of the cache server.
        index: usize,
    },
    /// A node is shut down or killed and restarts with its last endpoint list.
    RestartNode {
        /// The index of the node.
        node: usize,
        /// Whether the node is killed instead of being shut down gracefully.
        killed: bool,
        /// The time from the end of the old process to the start of the new one.
        downtime: Duration,
    },
    /// A node hands over to a successor process.
    UpgradeNode {
        /// The index of the node.
        node: usize,
    },
    /// The configuration of a node changes, and the node reloads it.
    ReloadNode {
        /// The index of the node.
        node: usize,
    },
    /// The duration of fetches from the origin changes.
    SetOriginSlowdown {
        /// The new duration, as a multiple of the normal one.
        factor: f64,
    },
    /// Discovery becomes available or unavailable.
    SetDiscoveryAvailable {
        /// Whether discovery answers calls.
        available: bool,
    },
    /// The error rate of discovery changes.
    SetDiscoveryErrors {
        /// The fraction of answers that are truncated or malformed.
        rate: f64,
    },
}

/// The condition of a cache server and of its network, as the combined effect of all active faults.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerCondition {
    /// Whether messages to and from the server are delivered.
    pub reachable: bool,
    /// The fraction of requests that fail because of faults, in addition to the error rate of the server's
    /// kind.
    pub error_rate: f64,
    /// The additional one-way latency.
    pub extra_latency: Duration,
    /// The fraction of packets that are lost and retransmitted.
    pub packet_loss_rate: f64,
    /// The fraction of answers during which the connection is reset.
    pub reset_rate: f64,
}

impl Default for ServerCondition {
    fn default() -> Self {
        Self {
            reachable: true,
            error_rate: 0.0,
            extra_latency: Duration::ZERO,
            packet_loss_rate: 0.0,
            reset_rate: 0.0,
        }
    }
}

impl ServerCondition {
    /// Returns the condition under two independent faults that are active at the same time.
    fn combine(self, other: Self) -> Self {
        let either = |a: f64, b: f64| 1.0 - (1.0 - a) * (1.0 - b);
        Self {
            reachable: self.reachable && other.reachable,
            error_rate: either(self.error_rate, other.error_rate),
            extra_latency: self.extra_latency + other.extra_latency,
            packet_loss_rate: either(self.packet_loss_rate, other.packet_loss_rate),
            reset_rate: either(self.reset_rate, other.reset_rate),
        }
    }
}

/// Returns all changes of a script in chronological order. Changes at the same time are in the order of their
/// incidents.
pub fn changes(script: &Script) -> Vec<(Duration, Change)> {
    let mut effects = effects::expand_incidents(script);
    // The stable sort keeps effects at the same time in the order of the script.
    effects.sort_by_key(|scheduled| scheduled.at);
    let mut active = ActiveFaults::default();
    let changes = effects.into_iter().filter_map(|scheduled| {
        let change = active.apply(scheduled.incident, scheduled.effect)?;
        Some((scheduled.at, change))
    });
    changes.collect()
}
