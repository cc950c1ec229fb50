//! The times that follow from the stated capacity of a discovery replica and the number of nodes that share it.
//!
//! With S for the time that sending one snapshot takes and n for the nodes of a replica, all nodes have a list after n * S at
//! the earliest, which may be half an hour; a few nodes on their own have theirs after a few S. A node that is refused does
//! not know how many others poll, only how long it has been refused: with few others, it would have been answered by now. So
//! its next pause is drawn from a fraction of that time, which keeps the number of polls of a node logarithmic in the total
//! time. Close to n * S few nodes are left, and the pause is bounded by a fraction of the remaining time.

use std::time::Duration;

/// The shortest upper end of a pause.
const MIN_PAUSE_LIMIT: Duration = Duration::from_millis(400);
/// Bound of any computed time.
const MAX_TIME: Duration = Duration::from_secs(86_400);
/// The fraction of a replica's capacity that idle watches use; the rest is for changes, snapshots and nodes of other replicas.
const IDLE_UTILIZATION: f64 = 0.5;
/// The upper end of a pause as a fraction of the time for which the node has been refused.
const ELAPSED_FRACTION: f64 = 0.25;
/// The upper end of a pause as a fraction of the remaining time.
const REMAINING_FRACTION: f64 = 0.125;
/// The least upper end as a fraction of the time that the polls of all nodes take: refused polls may cost as much.
const ALL_POLLS_FRACTION: f64 = 0.5;
/// The pause before a watch is drawn from at most this multiple of the time that the polls of all nodes take.
const MAX_WATCH_PAUSE_FACTOR: f64 = 8.0;
/// Nodes return to a replica within this multiple of the time that the polls of all of them take: a quarter of its capacity.
const RETURN_SPREAD_FACTOR: f64 = 4.0;
/// The shortest hold-down, for any number of nodes.
const MIN_HOLD_DOWN: Duration = Duration::from_secs(30);
/// The length of the list for a node that holds none; doubled with each poll that times out.
const ASSUMED_LIST_LINES: u32 = 1_000;
const MAX_ASSUMED_DOUBLINGS: u32 = 6;
/// No answer is waited for longer than one of this many lines takes.
const MAX_ASSUMED_LIST_LINES: u32 = 64_000;
/// An answer may take this multiple of the time that sending its lines takes.
const SENDING_MARGIN: f64 = 1.5;

/// The capacity of one discovery replica, as the operator states it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReplicaCapacity {
    /// Lines of lists that one replica sends in a second.
    pub lines_per_second: f64,
    /// The cost of a poll beside the lines of its answer, in lines.
    pub call_lines: f64,
}

/// The nodes that share one replica, and its capacity.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReplicaShare {
    /// The number of nodes that poll this replica.
    pub nodes: u32,
    /// Its stated capacity.
    pub capacity: ReplicaCapacity,
    /// Lines of the full list; `None` for a node without a list.
    pub list_lines: Option<u32>,
}

impl ReplicaShare {
    /// How long the replica is busy with one poll of each of its nodes, without any change to send.
    pub fn all_polls_time(self) -> Duration {
        self.sending_time(f64::from(self.nodes) * self.capacity.call_lines)
    }

    /// How long sending one snapshot takes.
    pub fn snapshot_time(self) -> Duration {
        self.sending_time(self.capacity.call_lines + f64::from(self.known_or_assumed_lines()))
    }

    /// The factor, 1 or more, by which the waits of watches are stretched, so that idle watches use at most half of the
    /// replica. `mean_wait` is the mean wait without it.
    pub fn watch_stretch(self, mean_wait: Duration) -> f64 {
        (self.all_polls_time().as_secs_f64() / IDLE_UTILIZATION / mean_wait.as_secs_f64()).max(1.0)
    }

    /// How long the lines of an answer may take to arrive, beside the time in the replica's queue. `timeouts` is the number
    /// of polls in a row that timed out: the list may be longer than assumed.
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

    /// The upper end of the pause before the next snapshot poll of a node that has been refused for `refused_for`.
    pub fn snapshot_pause_limit(self, refused_for: Duration) -> Duration {
        let elapsed = refused_for.as_secs_f64();
        let all_snapshots = self.snapshot_time().as_secs_f64() * f64::from(self.nodes);
        let mut total = all_snapshots.max(MIN_PAUSE_LIMIT.as_secs_f64());
        // The list is longer than assumed, the replica was away for a while, or more nodes than its share poll it.
        while total <= elapsed {
            total *= 2.0;
        }
        let least = self.list_lines.map_or(MIN_PAUSE_LIMIT, |_| self.snapshot_time());
        let least = least.max(self.all_polls_time().mul_f64(ALL_POLLS_FRACTION)).max(MIN_PAUSE_LIMIT);
        let limit = (ELAPSED_FRACTION * elapsed).min(REMAINING_FRACTION * (total - elapsed));
        Duration::from_secs_f64(limit.min(MAX_TIME.as_secs_f64())).max(least)
    }

    /// The upper end of the pause before the next watch of a node that has been refused for `refused_for`. `None` where the
    /// replica can answer all of its nodes within `answered_within`: the pause need not grow beyond that.
    pub fn watch_pause_limit(self, refused_for: Duration, answered_within: Duration) -> Option<Duration> {
        let all = self.all_polls_time();
        let limit = || refused_for.min(all.mul_f64(MAX_WATCH_PAUSE_FACTOR)).max(answered_within);
        (all > answered_within).then(limit)
    }

    /// The shortest time for which a replica that failed is avoided; nodes return over as long again.
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
