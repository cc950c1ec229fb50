//! The schedule of a script's faults: all changes to the world with their times, the same for every runner.
//!
//! Cache servers are named by their index (see [`crate::fleet`]). An incident chooses its servers by random values of its
//! own, so that adding an incident to a script does not move the others. `effects` turns each incident into effects, as if
//! it were the only one; `active_faults` combines those that overlap on one server, so that the end of one incident does not
//! lift what another still does.

mod active_faults;
mod effects;

use crate::script::Script;
use active_faults::ActiveFaults;
use std::time::Duration;

/// A change to the world.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// A cache server begins to drain, and discovery learns of it.
    Drain {
        /// The index of the cache server.
        index: usize,
    },
    /// The process of a cache server ends.
    Stop {
        /// The index of the cache server.
        index: usize,
    },
    /// A cold process starts, if none runs at this index.
    Start {
        /// The index of the cache server.
        index: usize,
        /// Whether it keeps the id of its predecessor.
        same_id: bool,
        /// Whether it listens at the address of its predecessor.
        same_address: bool,
    },
    /// A cache server makes no progress for a while.
    Pause {
        /// The index of the cache server.
        index: usize,
        /// How long the pause lasts.
        duration: Duration,
    },
    /// The condition of a cache server changes, whatever process runs there.
    SetCondition {
        /// The index of the cache server.
        index: usize,
        /// The new condition.
        condition: ServerCondition,
    },
    /// A middlebox forgets the present connections to a cache server: nothing passes on them any more, and neither end is
    /// notified.
    ForgetConnections {
        /// The index of the cache server.
        index: usize,
    },
    /// A node is shut down or killed, and starts again with its last endpoint list.
    RestartNode {
        /// The node.
        node: usize,
        /// Whether it is killed.
        killed: bool,
        /// The time from the end of the old process to the start of the new one.
        downtime: Duration,
    },
    /// A node hands over to a successor process.
    UpgradeNode {
        /// The node.
        node: usize,
    },
    /// The configuration of a node changes, and the node reloads it.
    ReloadNode {
        /// The node.
        node: usize,
    },
    /// Fetches from the origin take longer.
    SlowOrigin {
        /// The factor; 1 is the ordinary speed.
        factor: f64,
    },
    /// Discovery becomes available or unavailable.
    SetDiscoveryAvailable {
        /// Whether it answers.
        available: bool,
    },
    /// A fraction of discovery's answers is cut short or malformed.
    SetDiscoveryErrors {
        /// The fraction.
        rate: f64,
    },
}

/// The condition of a cache server and of the network before it, as all active faults have it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerCondition {
    /// Whether messages pass.
    pub reachable: bool,
    /// The fraction of its requests that fails, in addition to the ordinary error rate.
    pub error_rate: f64,
    /// The additional one-way latency.
    pub extra_latency: Duration,
    /// The fraction of packets that is lost, and retransmitted.
    pub packet_loss_rate: f64,
    /// The fraction of answers in the middle of which the connection is reset.
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
    /// The condition under both of two independent faults.
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

/// All changes of a script, in the order of time; those of the same time in the order of its incidents.
pub fn changes(script: &Script) -> Vec<(Duration, Change)> {
    let mut effects = effects::all(script);
    // The sort is stable: at the same time, the order of the script remains.
    effects.sort_by_key(|scheduled| scheduled.at);
    let mut active = ActiveFaults::default();
    let changes = effects.into_iter().filter_map(|scheduled| {
        let change = active.apply(scheduled.incident, scheduled.effect)?;
        Some((scheduled.at, change))
    });
    changes.collect()
}
