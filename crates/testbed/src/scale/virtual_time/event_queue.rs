//! The events of a simulation, in the order of time; at the same time, in the order in which they were scheduled.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

/// A call of a node. It is obsolete once the node has begun another call or was killed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct CallId {
    pub(super) node: u32,
    /// Counts the calls of all incarnations of the node.
    pub(super) number: u64,
}

/// An event of a simulation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum SimulationEvent {
    /// The occurrence of the scene with this index happens.
    Occurrence(usize),
    /// The measurement begins.
    MeasurementBegins,
    /// A node begins its next call.
    CallBegins { node: u32, incarnation: u32 },
    /// A call reaches its replica.
    CallArrives(CallId),
    /// The replica has worked through the lines that a watch costs.
    CallHandled(CallId),
    /// A watch has waited for as long as it asks.
    WatchTimesOut(CallId),
    /// The replica has sent the last line of an answer.
    AnswerSent(CallId),
    /// The end of a call reaches the node.
    CallEnds(CallId),
    /// The node's own timeout of a call ends.
    CallTimesOut(CallId),
    /// A replica learns of all versions up to this one.
    VersionReplicated { replica: u32, version: u64 },
}

/// A priority queue of events.
#[derive(Debug, Default)]
pub(super) struct EventQueue {
    heap: BinaryHeap<Reverse<(Duration, u64, SimulationEvent)>>,
    scheduled: u64,
}

impl EventQueue {
    pub(super) fn schedule(&mut self, at: Duration, event: SimulationEvent) {
        self.scheduled += 1;
        self.heap.push(Reverse((at, self.scheduled, event)));
    }

    pub(super) fn pop(&mut self) -> Option<(Duration, SimulationEvent)> {
        self.heap.pop().map(|Reverse((at, _, event))| (at, event))
    }
}
