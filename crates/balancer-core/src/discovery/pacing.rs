//! The inputs that determine the timing of polls.

use super::backoff::WATCH_COST;
use super::replica_capacity::{ReplicaCapacity, ReplicaShare};
use crate::settings::Settings;
use std::time::Duration;

/// Number of times per drain grace that the received part of an answer is read.
const PARTIAL_READS_PER_GRACE: u32 = 4;
/// Minimum of a fraction of the drain grace, so that a grace of zero does not lead to polls without a pause.
const MIN_GRACE_FRACTION: Duration = Duration::from_millis(5);

/// The settings that polls depend on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PollSettings {
    /// Number of nodes that poll.
    pub nodes: u32,
    /// [`Settings::max_poll_interval`].
    pub max_poll_interval: Duration,
    /// [`Settings::drain_grace`].
    pub drain_grace: Duration,
    /// Whether all nodes poll one service, at a pace that depends on their number
    /// ([`Settings::discovery_is_polled`]). Otherwise each node polls an agent on its own machine, several
    /// times within each drain grace.
    pub is_shared_service: bool,
}

impl From<&Settings> for PollSettings {
    fn from(settings: &Settings) -> Self {
        Self {
            nodes: settings.nodes,
            max_poll_interval: settings.max_poll_interval,
            drain_grace: settings.drain_grace,
            is_shared_service: settings.discovery_is_polled,
        }
    }
}

impl PollSettings {
    /// Returns the interval at which the received part of an answer is read: the node counts as notified of
    /// what discovery has written, even while the rest is outstanding.
    pub fn partial_read_interval(self) -> Duration {
        self.grace_fraction(PARTIAL_READS_PER_GRACE)
    }

    /// Returns the drain grace divided by `divisor`, but no less than [`MIN_GRACE_FRACTION`].
    pub(super) fn grace_fraction(self, divisor: u32) -> Duration {
        (self.drain_grace / divisor).max(MIN_GRACE_FRACTION)
    }
}

/// Determines the pace of a node's polls.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PollPacing {
    /// The settings; `nodes` is the number of nodes that poll one replica.
    pub settings: PollSettings,
    /// Capacity of one replica and the nodes that share it; `None` if the operator configures no capacity.
    pub share: Option<ReplicaShare>,
}

impl From<PollSettings> for PollPacing {
    fn from(settings: PollSettings) -> Self {
        Self { settings, share: None }
    }
}

impl PollPacing {
    /// Paces polls to one of `replicas` replicas, among which the nodes are divided evenly. `list_lines` is
    /// the length of the list that the node holds, in lines.
    pub fn new(
        settings: PollSettings,
        replicas: usize,
        capacity: Option<ReplicaCapacity>,
        list_lines: Option<u32>,
    ) -> Self {
        let replicas = u32::try_from(replicas.max(1)).unwrap_or(u32::MAX);
        let nodes = settings.nodes.div_ceil(replicas);
        // An agent on the node's own machine has no capacity that nodes share.
        let capacity = capacity.filter(|_| settings.is_shared_service);
        let share = capacity.map(|capacity| ReplicaShare { nodes, capacity, list_lines });
        Self { settings: PollSettings { nodes, ..settings }, share }
    }

    /// Returns the minimum time for which nodes avoid their preferred replica after it failed.
    pub fn min_hold_down(self) -> Duration {
        // At one line per second, a cost in lines equals the cost in seconds.
        let capacity = ReplicaCapacity { lines_per_second: 1.0, call_lines: WATCH_COST.as_secs_f64() };
        let assumed = ReplicaShare { nodes: self.settings.nodes, capacity, list_lines: None };
        self.share.unwrap_or(assumed).min_hold_down()
    }

    /// Returns how long the rest of an answer may take once it has begun. `timeouts` is the number of
    /// snapshot polls that timed out since the last answer or lost watch. Returns `None` if no capacity is
    /// configured: the time then does not depend on the length of the answer.
    pub(super) fn answer_allowance(self, timeouts: u32) -> Option<Duration> {
        self.share.map(|share| share.answer_allowance(timeouts))
    }
}
