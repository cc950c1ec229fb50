//! What came of a play: how long changes took, and what replicas did.

use serde::ser::SerializeStruct;
use serde::{Serialize, Serializer};
use std::fmt;
use std::time::Duration;

/// A call, without a body: its line and the name of the host.
const CALL_BYTES: u64 = 75;
/// An answer, without entries: its head, and what holds the entries.
const ANSWER_BYTES: u64 = 111;

/// Times, counted by the millisecond.
#[derive(Clone, Default, PartialEq, Eq)]
pub struct Latencies {
    /// How many there are of each whole millisecond.
    by_millisecond: Vec<u64>,
    count: u64,
}

impl Latencies {
    /// One more.
    pub fn add(&mut self, time: Duration) {
        let place = time.as_millis() as usize;
        if place >= self.by_millisecond.len() {
            self.by_millisecond.resize(place + 1, 0);
        }
        self.by_millisecond[place] += 1;
        self.count += 1;
    }

    /// How many there are.
    pub fn count(&self) -> u64 {
        self.count
    }

    /// The time that this part of all come to or less, in whole milliseconds; `None` where there are none.
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
    /// Calls that it refused.
    pub refused: u64,
    /// Answers that it wrote.
    pub answers: u64,
    /// Of these, whole lists.
    pub whole_lists: u64,
    /// Lines charged.
    pub lines: f64,
    /// Bytes of entries in its answers.
    pub entry_bytes: u64,
    /// The longest time that a call waited for its turn, over the whole play.
    pub longest_queue: Duration,
}

impl ReplicaOutcome {
    /// Bytes of calls and answers in both directions: of heads that always take the same, and of entries.
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

/// Lines that a replica worked through.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Sent {
    /// The replica.
    pub replica: u32,
    /// When the last of them was done.
    pub at: Duration,
    /// How many.
    pub lines: f64,
}

/// What came of a play.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Outcome {
    /// Nodes of the scene.
    pub nodes: u32,
    /// From the beginning of the measurement to the end of the play.
    pub measured: Duration,
    /// Changes of the list.
    pub changes: u64,
    /// From a change at discovery until a node acts on it, for each change and each node that ran at that time and did not
    /// end before it had it.
    pub latencies: Latencies,
    /// Pairs of a change and such a node that has not got it by the end.
    pub never: u64,
    /// Nodes launched without a list.
    pub launches: u64,
    /// From each launch until the node holds a list, of those that were not killed before.
    pub lists: Latencies,
    /// Nodes that run at the end and hold no list.
    pub without_list: u64,
    /// What it takes the replicas that nodes know to send as many whole lists as there were launches.
    pub sending_takes: Duration,
    /// Calls that nodes gave up.
    pub overdue: u64,
    /// Calls that did not reach a replica.
    pub unreached: u64,
    /// How often a node went from a version to an earlier one.
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
