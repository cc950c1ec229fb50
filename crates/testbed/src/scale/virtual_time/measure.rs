//! The outcome of a run: how long changes took, and what the replicas did.

use serde::ser::SerializeStruct;
use serde::{Serialize, Serializer};
use std::fmt;
use std::time::Duration;

/// The bytes of a call, which has no body.
const CALL_BYTES: u64 = 75;
/// The bytes of an answer without entries.
const ANSWER_BYTES: u64 = 111;

/// A histogram of times by the millisecond.
#[derive(Clone, Default, PartialEq, Eq)]
pub struct Latencies {
    /// The number of times of each whole millisecond.
    by_millisecond: Vec<u64>,
    count: u64,
}

impl Latencies {
    /// Adds a time.
    pub fn add(&mut self, time: Duration) {
        let place = time.as_millis() as usize;
        if place >= self.by_millisecond.len() {
            self.by_millisecond.resize(place + 1, 0);
        }
        self.by_millisecond[place] += 1;
        self.count += 1;
    }

    /// The number of times.
    pub fn count(&self) -> u64 {
        self.count
    }

    /// The quantile of this fraction, in whole milliseconds; `None` if there are no times.
    pub fn quantile(&self, part: f64) -> Option<Duration> {
        let wanted = ((self.count as f64 * part).ceil() as u64).clamp(1, self.count.max(1));
        let mut seen = 0;
        let place = self.by_millisecond.iter().position(|count| {
            seen += count;
            seen >= wanted
        });
        place.map(|milliseconds| Duration::from_millis(milliseconds as u64))
    }
}

impl fmt::Debug for Latencies {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let quantile = |part| self.quantile(part).unwrap_or_default();
        let (median, most) = (quantile(0.5), quantile(1.0));
        write!(f, "{} times, {median:?} at the median, {most:?} at the most", self.count)
    }
}

impl Serialize for Latencies {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let quantile = |part| self.quantile(part).map(|time| time.as_millis() as u64);
        let mut fields = serializer.serialize_struct("Latencies", 4)?;
        fields.serialize_field("count", &self.count)?;
        fields.serialize_field("p50_ms", &quantile(0.5))?;
        fields.serialize_field("p99_ms", &quantile(0.99))?;
        fields.serialize_field("last_ms", &quantile(1.0))?;
        fields.end()
    }
}

/// What one replica did from the beginning of the measurement to the end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct ReplicaOutcome {
    /// Calls that reached it.
    pub calls: u64,
    /// Calls that it rejected.
    pub refused: u64,
    /// Answers that it sent.
    pub answers: u64,
    /// Of these, whole lists.
    pub whole_lists: u64,
    /// Lines charged.
    pub lines: f64,
    /// Bytes of entries in its answers.
    pub entry_bytes: u64,
    /// The longest time that a call waited for its turn, over the whole run.
    pub longest_queue: Duration,
}

impl ReplicaOutcome {
    /// The bytes of calls and answers: heads of a fixed size, and entries.
    pub fn bytes(&self) -> u64 {
        self.calls * CALL_BYTES + (self.answers + self.refused) * ANSWER_BYTES + self.entry_bytes
    }

    pub(super) fn since(&self, earlier: &Self) -> Self {
        Self {
            calls: self.calls - earlier.calls,
            refused: self.refused - earlier.refused,
            answers: self.answers - earlier.answers,
            whole_lists: self.whole_lists - earlier.whole_lists,
            lines: self.lines - earlier.lines,
            entry_bytes: self.entry_bytes - earlier.entry_bytes,
            longest_queue: self.longest_queue,
        }
    }
}

/// Lines that a replica sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Sent {
    /// The replica.
    pub replica: u32,
    /// When the last of them was sent.
    pub at: Duration,
    /// The number of lines.
    pub lines: f64,
}

/// The outcome of a run.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Outcome {
    /// Nodes of the scene.
    pub nodes: u32,
    /// The time from the beginning of the measurement to the end of the run.
    pub measured: Duration,
    /// Changes of the list.
    pub changes: u64,
    /// The time from a change at discovery until a node applies it, for each change and each node that ran at that time and
    /// did not end before.
    pub latencies: Latencies,
    /// Pairs of a change and such a node that has not applied it by the end.
    pub never: u64,
    /// Nodes launched without a list.
    pub launches: u64,
    /// The time from each launch until the node has a list, of nodes that were not killed before.
    pub lists: Latencies,
    /// Nodes that run at the end and have no list.
    pub without_list: u64,
    /// The time that the replicas that nodes know take to send as many whole lists as there were launches.
    pub sending_takes: Duration,
    /// Calls that timed out.
    pub overdue: u64,
    /// Calls that did not reach a replica.
    pub unreached: u64,
    /// The number of times that a node went back to an earlier version.
    pub went_back: u64,
    /// What each replica did.
    pub replicas: Vec<ReplicaOutcome>,
}

impl Outcome {
    /// The sum over all replicas.
    pub fn total(&self, of: impl Fn(&ReplicaOutcome) -> f64) -> f64 {
        self.replicas.iter().map(of).sum()
    }

    /// The most that a replica did over the mean of all; 1 where none did anything.
    pub fn largest_over_mean(&self, of: impl Fn(&ReplicaOutcome) -> f64) -> f64 {
        let mean = self.total(&of) / self.replicas.len().max(1) as f64;
        if mean > 0.0 {
            self.replicas.iter().map(of).fold(0.0, f64::max) / mean
        } else {
            1.0
        }
    }
}
