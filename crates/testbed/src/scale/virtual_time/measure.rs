//! The outcome of a run: the latencies of changes and the activity of the replicas.

use serde::ser::SerializeStruct;
use serde::{Serialize, Serializer};
use std::fmt;
use std::time::Duration;

/// Size of a call in bytes. Calls have no body.
const CALL_BYTES: u64 = 75;
/// Size of an answer without entries, in bytes.
const ANSWER_BYTES: u64 = 111;

/// A histogram of times with a resolution of one millisecond.
#[derive(Clone, Default, PartialEq, Eq)]
pub struct Latencies {
    /// The number of times in each whole millisecond.
    by_millisecond: Vec<u64>,
    count: u64,
}

impl Latencies {
    /// Adds a time.
    pub fn add(&mut self, time: Duration) {
        let index = time.as_millis() as usize;
        if index >= self.by_millisecond.len() {
            self.by_millisecond.resize(index + 1, 0);
        }
        self.by_millisecond[index] += 1;
        self.count += 1;
    }

    /// Returns the number of times.
    pub fn count(&self) -> u64 {
        self.count
    }

    /// Returns the quantile of a fraction, in whole milliseconds, or `None` if there are no times.
    pub fn quantile(&self, fraction: f64) -> Option<Duration> {
        let rank = ((self.count as f64 * fraction).ceil() as u64).clamp(1, self.count.max(1));
        let mut seen = 0;
        let index = self.by_millisecond.iter().position(|count| {
            seen += count;
            seen >= rank
        });
        index.map(|milliseconds| Duration::from_millis(milliseconds as u64))
    }
}

impl fmt::Debug for Latencies {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let quantile = |fraction| self.quantile(fraction).unwrap_or_default();
        let (median, max) = (quantile(0.5), quantile(1.0));
        write!(f, "{} times, median {median:?}, maximum {max:?}", self.count)
    }
}

impl Serialize for Latencies {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let quantile = |fraction| self.quantile(fraction).map(|time| time.as_millis() as u64);
        let mut fields = serializer.serialize_struct("Latencies", 4)?;
        fields.serialize_field("count", &self.count)?;
        fields.serialize_field("p50_ms", &quantile(0.5))?;
        fields.serialize_field("p99_ms", &quantile(0.99))?;
        fields.serialize_field("last_ms", &quantile(1.0))?;
        fields.end()
    }
}

/// The activity of a replica from the beginning of the measurement to the end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct ReplicaOutcome {
    /// Calls that reached the replica.
    pub calls: u64,
    /// Calls that the replica rejected.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// Answers that the replica sent.
    pub answers: u64,
    /// Answers that were snapshots.
    #[serde(rename = "whole_lists")]
    pub snapshots: u64,
    /// Lines charged to the replica.
    pub lines: f64,
    /// Bytes of the entries in its answers.
    pub entry_bytes: u64,
    /// The longest time that a call waited in the queue, over the whole run.
    pub longest_queue: Duration,
}

impl ReplicaOutcome {
    /// Returns the bytes of calls and answers: heads of a fixed size, and entries.
    pub fn bytes(&self) -> u64 {
        self.calls * CALL_BYTES + (self.answers + self.rejected) * ANSWER_BYTES + self.entry_bytes
    }

    /// Returns the difference between an earlier state of the counts and this one.
    pub(super) fn since(&self, earlier: &Self) -> Self {
        Self {
            calls: self.calls - earlier.calls,
            rejected: self.rejected - earlier.rejected,
            answers: self.answers - earlier.answers,
            snapshots: self.snapshots - earlier.snapshots,
            lines: self.lines - earlier.lines,
            entry_bytes: self.entry_bytes - earlier.entry_bytes,
            longest_queue: self.longest_queue,
        }
    }
}

/// Lines that a replica processed for one charge.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SentLines {
    /// The index of the replica.
    pub replica: u32,
    /// The time at which the last line was processed.
    pub at: Duration,
    /// The number of lines.
    pub lines: f64,
}

/// The outcome of a run.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Outcome {
    /// The number of nodes in the scene.
    pub nodes: u32,
    /// The time from the beginning of the measurement to the end of the run.
    pub measured: Duration,
    /// The number of changes of the list.
    pub changes: u64,
    /// The times from a change at discovery until a node applies it, for each change and each node that ran
    /// at the time of the change and was not killed before it applied the change.
    pub latencies: Latencies,
    /// Pairs of a change and a node that ran from the change to the end of the run without applying it.
    pub never: u64,
    /// The number of nodes launched without a list.
    pub launches: u64,
    /// The times from a launch until the node has a list, without nodes that were killed before.
    pub lists: Latencies,
    /// Nodes that run without a list at the end.
    pub without_list: u64,
    /// The time that the replicas known to nodes need to send one snapshot for each launch.
    pub sending_takes: Duration,
    /// Calls that timed out.
    pub overdue: u64,
    /// Calls that did not reach a replica.
    pub unreached: u64,
    /// The number of times that a node went back to an earlier version.
    pub went_back: u64,
    /// The activity of each replica.
    pub replicas: Vec<ReplicaOutcome>,
}

impl Outcome {
    /// Returns the sum of a value over all replicas.
    pub fn total(&self, of: impl Fn(&ReplicaOutcome) -> f64) -> f64 {
        self.replicas.iter().map(of).sum()
    }

    /// Returns the largest value of a replica divided by the mean of all replicas, or 1 if the mean is 0.
    pub fn largest_over_mean(&self, of: impl Fn(&ReplicaOutcome) -> f64) -> f64 {
        let mean = self.total(&of) / self.replicas.len().max(1) as f64;
        if mean > 0.0 {
            self.replicas.iter().map(of).fold(0.0, f64::max) / mean
        } else {
            1.0
        }
    }
}
