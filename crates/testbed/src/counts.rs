//! Counts the effects of all nodes together on the fleet, by second. Problems often show only in the sum:
//! when a hundred nodes each send one attempt to a dead server, a hundred attempts are lost in a second.
//!
//! An attempt is counted by the actual state of its cache server, which the node may not have been notified
//! of yet.

use serde::Serialize;
use std::ops::AddAssign;

/// The state of a cache server when an attempt arrives. If several apply, the first in this order counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerState {
    /// The server is cut off from the network.
    Unreachable,
    /// The server has no running process.
    Removed,
    /// The server is draining.
    Draining,
    /// A fault makes a fraction of the server's answers fail.
    Faulty,
    /// The server is in slow start.
    WarmingUp,
    /// None of the other states applies.
    Healthy,
}

/// Counts of one second, or their sum over a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Attempts at an unreachable server.
    #[serde(rename = "silent")]
    pub unreachable: u64,
    /// Attempts at a removed server.
    #[serde(rename = "gone")]
    pub removed: u64,
    /// Attempts at a draining server.
    pub draining: u64,
    /// Attempts at a faulty server.
    #[serde(rename = "bad")]
    pub faulty: u64,
    /// Attempts at a server in slow start.
    #[serde(rename = "cold")]
    pub warming_up: u64,
    /// Attempts at a healthy server.
    #[serde(rename = "well")]
    pub healthy: u64,
    /// Connections that nodes tried to open to cache servers.
    pub connects: u64,
    /// Connections that nodes failed to open.
    pub connects_failed: u64,
    /// Calls to discovery.
    pub list_calls: u64,
    /// Calls to discovery that failed.
    pub list_calls_failed: u64,
    /// Lines that the calls cost discovery, including failed calls; rounded down for each call.
    pub list_lines: u64,
}

impl Counts {
    /// Counts an attempt at a server in this state.
    pub fn add_attempt(&mut self, state: ServerState) {
        *match state {
            ServerState::Unreachable => &mut self.unreachable,
            ServerState::Removed => &mut self.removed,
            ServerState::Draining => &mut self.draining,
            ServerState::Faulty => &mut self.faulty,
            ServerState::WarmingUp => &mut self.warming_up,
            ServerState::Healthy => &mut self.healthy,
        } += 1;
    }

    /// Returns the number of attempts that could not be answered.
    pub fn lost_attempts(&self) -> u64 {
        self.unreachable + self.removed
    }
}

impl AddAssign for Counts {
    fn add_assign(&mut self, other: Self) {
        self.unreachable += other.unreachable;
        self.removed += other.removed;
        self.draining += other.draining;
        self.faulty += other.faulty;
        self.warming_up += other.warming_up;
        self.healthy += other.healthy;
        self.connects += other.connects;
        self.connects_failed += other.connects_failed;
        self.list_calls += other.list_calls;
        self.list_calls_failed += other.list_calls_failed;
        self.list_lines += other.list_lines;
    }
}

impl std::iter::Sum for Counts {
    fn sum<I: Iterator<Item = Self>>(all: I) -> Self {
        all.fold(Self::default(), |mut sum, counts| {
            sum += counts;
            sum
        })
    }
}
