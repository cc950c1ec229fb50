//! What the times of polls depend on.

use super::backoff::WATCH_COST;
use super::replica_capacity::{ReplicaCapacity, ReplicaShare};
use crate::settings::Settings;
use std::time::Duration;

/// How often within the drain grace the part of an answer that has arrived is read.
const PARTIAL_READS_PER_GRACE: u32 = 4;
/// A fraction of the drain grace is never shorter, so that a grace of zero does not lead to polls without a pause.
const MIN_GRACE_FRACTION: Duration = Duration::from_millis(5);

/// The settings that polls depend on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PollSettings {
    /// The number of nodes that poll.
    pub nodes: u32,
    /// [`Settings::max_poll_interval`].
    pub max_poll_interval: Duration,
    /// [`Settings::drain_grace`].
    pub drain_grace: Duration,
    /// [`Settings::discovery_is_polled`]. Both are polled: one service for all nodes, paced by their number, or else an
    /// agent on the node's own machine, several times within each drain grace.
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
    /// How often the part of an answer that has arrived is read: what discovery has written counts as notified, also while
    /// the rest is outstanding.
    pub fn partial_read_interval(self) -> Duration {
        self.grace_fraction(PARTIAL_READS_PER_GRACE)
    }

    /// The drain grace divided by `divisor`.
    pub(super) fn grace_fraction(self, divisor: u32) -> Duration {
        (self.drain_grace / divisor).max(MIN_GRACE_FRACTION)
    }
}

/// What the polls of a node are paced by.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PollPacing {
    /// The settings; `nodes` are those that poll one replica.
    pub settings: PollSettings,
    /// The stated capacity of one replica and the nodes that share it; `None` where the operator states no capacity.
    pub share: Option<ReplicaShare>,
}

impl From<PollSettings> for PollPacing {
    fn from(settings: PollSettings) -> Self {
        Self { settings, share: None }
    }
}

impl PollPacing {
    /// Paces polls to one of `replicas` that share the nodes evenly. `list_lines` are those of the list that the node holds.
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

    /// The shortest time for which nodes avoid their preferred replica after it failed.
    pub fn min_hold_down(self) -> Duration {
        let capacity = ReplicaCapacity { lines_per_second: 1.0, call_lines: WATCH_COST.as_secs_f64() };
        let assumed = ReplicaShare { nodes: self.settings.nodes, capacity, list_lines: None };
        self.share.unwrap_or(assumed).min_hold_down()
    }

    /// How long the rest of an answer may take once it has begun, after `timeouts` snapshot polls that timed out since the
    /// last answer or lost watch. `None` where no capacity is stated: the time does not depend on the answer's length.
    pub(super) fn answer_allowance(self, timeouts: u32) -> Option<Duration> {
        self.share.map(|share| share.answer_allowance(timeouts))
    }
}
