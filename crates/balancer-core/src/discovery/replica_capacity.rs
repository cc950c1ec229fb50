//! Computes the times that follow from the configured capacity of a discovery replica and the number of nodes
//! that share it.
//!
//! Let S be the time to send one snapshot and n the number of nodes of a replica. All nodes have a list after
//! n * S at the earliest, which may be half an hour; if only a few nodes poll, they have theirs after a few
//! S. A refused node does not know how many others poll, only how long it has been refused: with few others,
//! it would have been answered by now. Its next pause is therefore drawn from a fraction of that time, which
//! keeps the number of polls of a node logarithmic in the total time. Close to n * S few nodes are left, so
//! the pause is also bounded by a fraction of the remaining time.

use std::time::Duration;

/// Minimum of the upper end of a pause.
const MIN_PAUSE_LIMIT: Duration = Duration::from_millis(400);
/// Upper bound of all computed times.
const MAX_TIME: Duration = Duration::from_secs(86_400);
/// Fraction of a replica's capacity that idle watches use; the rest is for changes, snapshots and nodes of
/// other replicas.
const IDLE_UTILIZATION: f64 = 0.5;
/// Upper end of a pause, as a fraction of the time for which the node has been refused.
const ELAPSED_FRACTION: f64 = 0.25;
/// Upper end of a pause, as a fraction of the remaining time.
const REMAINING_FRACTION: f64 = 0.125;
/// Minimum of the upper end of a pause, as a fraction of the time that the polls of all nodes take: refused
/// polls may cost as much as answered ones.
const ALL_POLLS_FRACTION: f64 = 0.5;
/// Maximum of the upper end of the pause before a watch, as a multiple of the time that the polls of all
/// nodes take.
const MAX_WATCH_PAUSE_FACTOR: f64 = 8.0;
/// Nodes return to a replica within this multiple of the time that the polls of all of them take, which uses
/// a quarter of its capacity.
const RETURN_SPREAD_FACTOR: f64 = 4.0;
/// Minimum hold-down for any number of nodes.
const MIN_HOLD_DOWN: Duration = Duration::from_secs(30);
/// Assumed length of the list, in lines, for a node that holds none. It doubles with each poll that times
/// out.
const ASSUMED_LIST_LINES: u32 = 1_000;
const MAX_ASSUMED_DOUBLINGS: u32 = 6;
/// Upper bound of the assumed length: a node without a list waits no longer than an answer of this many lines
/// takes.
const MAX_ASSUMED_LIST_LINES: u32 = 64_000;
/// An answer may take this multiple of the time needed to send its lines.
const SENDING_MARGIN: f64 = 1.5;

/// Capacity of one discovery replica, as configured by the operator.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReplicaCapacity {
    /// Number of list lines that one replica sends per second.
    pub lines_per_second: f64,
    /// Cost of a poll in addition to the lines of its answer, in lines.
    pub call_lines: f64,
}

/// The nodes that share one replica, and its capacity.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReplicaShare {
    /// Number of nodes that poll this replica.
    pub nodes: u32,
    /// The configured capacity of the replica.
    pub capacity: ReplicaCapacity,
    /// Length of the full list, in lines; `None` for a node without a list.
    pub list_lines: Option<u32>,
}

impl ReplicaShare {
    /// Returns how long the replica is busy with one poll of each of its nodes if it has no changes to send.
    pub fn all_polls_time(self) -> Duration {
        self.sending_time(f64::from(self.nodes) * self.capacity.call_lines)
    }

    /// Returns how long it takes to send one snapshot.
    pub fn snapshot_time(self) -> Duration {
        self.sending_time(self.capacity.call_lines + f64::from(self.known_or_assumed_lines()))
    }

    /// Returns how long the replica is busy with one snapshot for each of its nodes.
    pub fn all_snapshots_time(self) -> Duration {
        self.snapshot_time().saturating_mul(self.nodes)
    }

    /// Returns the factor, 1 or more, by which the waits of watches are stretched so that idle watches use at
    /// most half of the replica's capacity. `mean_wait` is the mean wait without stretching.
    pub fn watch_stretch(self, mean_wait: Duration) -> f64 {
        (self.all_polls_time().as_secs_f64() / IDLE_UTILIZATION / mean_wait.as_secs_f64()).max(1.0)
    }

    /// Returns how long the lines of an answer may take to arrive, in addition to the time in the replica's
    /// queue. `timeouts` is the number of consecutive polls that timed out: the list may be longer than
    /// assumed.
    pub fn answer_allowance(self, timeouts: u32) -> Duration {
        let lines = match self.list_lines {
            Some(lines) => lines,
            None => {
                let doublings = timeouts.min(MAX_ASSUMED_DOUBLINGS);
                self.known_or_assumed_lines().saturating_mul(1 << doublings).min(MAX_ASSUMED_LIST_LINES)
            }
        };
        self.sending_time(SENDING_MARGIN * (self.capacity.call_lines + f64::from(lines)))
    }

    /// Returns the upper end of the pause before the next snapshot poll of a node that has been refused for
    /// `refused_for`.
    pub fn snapshot_pause_limit(self, refused_for: Duration) -> Duration {
        let elapsed = refused_for.as_secs_f64();
        let mut total = self.all_snapshots_time().as_secs_f64().max(MIN_PAUSE_LIMIT.as_secs_f64());
        // The estimate is too low: the list is longer than assumed, the replica was unreachable for a while,
        // or more nodes than its share poll it.
        while total <= elapsed {
            total *= 2.0;
        }
        let least = self.list_lines.map_or(MIN_PAUSE_LIMIT, |_| self.snapshot_time());
        let least = least.max(self.all_polls_time().mul_f64(ALL_POLLS_FRACTION)).max(MIN_PAUSE_LIMIT);
        let limit = (ELAPSED_FRACTION * elapsed).min(REMAINING_FRACTION * (total - elapsed));
        Duration::from_secs_f64(limit.min(MAX_TIME.as_secs_f64())).max(least)
    }

    /// Returns the upper end of the pause before the next watch of a node that has been refused for
    /// `refused_for`. Returns `None` if the replica can answer all of its nodes within `answered_within`: the
    /// pause then need not grow beyond that.
    pub fn watch_pause_limit(self, refused_for: Duration, answered_within: Duration) -> Option<Duration> {
        let all = self.all_polls_time();
        let limit = || refused_for.min(all.mul_f64(MAX_WATCH_PAUSE_FACTOR)).max(answered_within);
        (all > answered_within).then(limit)
    }

    /// Returns the minimum time for which a replica that failed is avoided. The nodes return spread over the
    /// same time again.
    pub fn min_hold_down(self) -> Duration {
        self.all_polls_time().mul_f64(RETURN_SPREAD_FACTOR).max(MIN_HOLD_DOWN)
    }

    fn known_or_assumed_lines(self) -> u32 {
        self.list_lines.unwrap_or(ASSUMED_LIST_LINES)
    }

    fn sending_time(self, lines: f64) -> Duration {
        let seconds = lines / self.capacity.lines_per_second;
        if seconds.is_finite() {
            Duration::from_secs_f64(seconds.clamp(0.0, MAX_TIME.as_secs_f64()))
        } else {
            MAX_TIME
        }
    }
}
