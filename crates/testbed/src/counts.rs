//! Counts of what all nodes together do to the fleet, by second. What one node does is seldom conspicuous: a hundred nodes
//! that each meet a dead server once make a hundred lost attempts in a second.
//!
//! An attempt is counted by the state in which it finds its cache server, which the node may not have been notified of.

use serde::Serialize;
use std::ops::AddAssign;

/// The state in which an attempt finds its cache server. Where several hold, the first of them counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerState {
    /// Cut off from the network.
    Unreachable,
    /// No process runs.
    Removed,
    /// Draining.
    Draining,
    /// Under a fault that makes a fraction of its answers fail.
    Faulty,
    /// In slow start.
    WarmingUp,
    /// None of these.
    Healthy,
}

/// Counts of one second, or of all of them.
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
    /// Attempts at a warming server.
    #[serde(rename = "cold")]
    pub warming_up: u64,
    /// All other attempts.
    #[serde(rename = "well")]
    pub healthy: u64,
    /// Connections that nodes tried to open to cache servers.
    pub connects: u64,
    /// Connections that were not established.
    pub connects_failed: u64,
    /// Calls to discovery.
    pub list_calls: u64,
    /// Calls that failed.
    pub list_calls_failed: u64,
    /// Lines that calls cost discovery, whether they succeed or not; rounded down for each call.
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

    /// The number of attempts that could not be answered.
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
