//! How a node paces its calls by what one replica of discovery can do for its share of the nodes.
//!
//! With S for the time that sending one full list takes and n for the nodes of a replica, all of them have a list after
//! n * S at the soonest, which may be half an hour; a few of them alone have theirs after a few S. A node that is refused
//! does not know how many others ask. What it knows is the time for which it has been refused so far: had few others asked,
//! it would be over. So its next pause is drawn from a part of that time, which keeps the number of calls a node logarithmic
//! in the time that all take. Towards n * S few nodes are left: the pause is bounded by a part of what remains of it.

use crate::replicas::Capacity;
use std::time::Duration;

/// The least pause's upper end, and the least time that anything here takes.
const LEAST: Duration = Duration::from_millis(400);
/// The longest time that a replica may be said to take for anything.
const MOST: Duration = Duration::from_secs(86_400);
/// At rest watches use such a part of what a replica can do: the rest is for changes, lists and a neighbour's nodes.
const AT_REST: f64 = 0.5;
/// The upper end of a pause, as a part of the time for which the node was refused.
const PART_OF_TIME: f64 = 0.25;
/// And as a part of the time that remains.
const PART_OF_REST: f64 = 0.125;
/// No upper end is shorter than such a part of the time that all nodes' calls take: refused calls may cost as much.
const PART_OF_CALLS: f64 = 0.5;
/// A pause before a call for changes is drawn from no more than so many times the time that all nodes' calls take.
const MOST_CHANGES_PAUSE: f64 = 8.0;
/// Nodes come back to a replica within so many times the time that all of their calls take: a quarter of its capacity.
const RETURN_SPREAD: f64 = 4.0;
/// A hold-down is no shorter, however few nodes there are.
const LEAST_HOLD_DOWN: Duration = Duration::from_secs(30);
/// Lines of the full list, as long as a node has none. Taken for twice as many each time it proves too few.
const ASSUMED_LIST_LINES: u32 = 1_000;
/// An answer may take so many times as long to send as its lines come to.
const SENDING_MARGIN: f64 = 1.5;
/// No answer is waited for longer than one of so many lines may take.
const MOST_LIST_LINES: u32 = 64_000;

/// One replica's share of the nodes, and what it can do for them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Share {
    /// Nodes that ask this replica.
    pub nodes: u32,
    /// What the operator states of it.
    pub capacity: Capacity,
    /// Lines of the full list, where the node holds one.
    pub list_lines: Option<u32>,
}

impl Share {
    /// How long the replica is busy with the calls of all its nodes, if none is told anything.
    pub fn all_calls(self) -> Duration {
        self.sending(f64::from(self.nodes) * self.capacity.call_lines)
    }

    /// What a call costs the replica that brings nothing.
    pub fn one_call(self) -> Duration {
        self.sending(self.capacity.call_lines)
    }

    /// How long sending one full list takes.
    pub fn one_list(self) -> Duration {
        self.sending(self.capacity.call_lines + f64::from(self.lines()))
    }

    /// By how much watches are stretched, so that at rest they use half of the replica at the most. `mean` is the mean
    /// wait without it.
    pub fn stretch(self, mean: Duration) -> f64 {
        (self.all_calls().as_secs_f64() / AT_REST / mean.as_secs_f64()).max(1.0)
    }

    /// How long the lines of a full list may take to come, beside the wait for the call's turn. `given_up` is how many calls
    /// in a row were given up: the list may be longer than was assumed.
    pub fn list_allowance(self, given_up: u32) -> Duration {
        let lines = match self.list_lines {
            Some(lines) => lines,
            None => self.lines().saturating_mul(1 << given_up.min(6)).min(MOST_LIST_LINES),
        };
        self.sending(SENDING_MARGIN * (self.capacity.call_lines + f64::from(lines)))
    }

    /// The upper end of the pause before a full list is asked for again, for a node that has been refused for this long.
    pub fn list_pause(self, refused_for: Duration) -> Duration {
        let refused_for = refused_for.as_secs_f64();
        let mut all = (self.one_list().as_secs_f64() * f64::from(self.nodes)).max(LEAST.as_secs_f64());
        // The list is longer than assumed, the replica was away for a while, or has more nodes than its share.
        while all <= refused_for {
            all *= 2.0;
        }
        let least = self.list_lines.map_or(LEAST, |_| self.one_list());
        let least = least.max(self.all_calls().mul_f64(PART_OF_CALLS)).max(LEAST);
        let pause = (PART_OF_TIME * refused_for).min(PART_OF_REST * (all - refused_for));
        Duration::from_secs_f64(pause.min(MOST.as_secs_f64())).max(least)
    }

    /// The upper end of the pause before changes are asked for again, for a node that has been refused for this long. `None`
    /// where the replica can answer all of its nodes within `in_time`: the pause need not grow beyond that.
    pub fn changes_pause(self, refused_for: Duration, in_time: Duration) -> Option<Duration> {
        let all = self.all_calls();
        (all > in_time).then(|| refused_for.min(all.mul_f64(MOST_CHANGES_PAUSE)).max(in_time))
    }

    /// The shortest time for which a replica that failed is left alone; nodes come back over as long again.
    pub fn hold_down(self) -> Duration {
        self.all_calls().mul_f64(RETURN_SPREAD).max(LEAST_HOLD_DOWN)
    }

    fn lines(self) -> u32 {
        self.list_lines.unwrap_or(ASSUMED_LIST_LINES)
    }

    fn sending(self, lines: f64) -> Duration {
        let seconds = lines / self.capacity.lines_per_second;
        if seconds.is_finite() {
            Duration::from_secs_f64(seconds.clamp(0.0, MOST.as_secs_f64()))
        } else {
            MOST
        }
    }
}
