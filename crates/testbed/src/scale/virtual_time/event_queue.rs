//! The queue of simulation events, in chronological order. Simultaneous events keep the order in which they
//! were scheduled.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

/// Identifies a call. Its events are obsolete once the node has begun another call or was killed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct CallId {
    pub(super) node: u32,
    /// The number of the call, counted over all incarnations of the node.
    pub(super) number: u64,
}

/// An event of the simulation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum SimulationEvent {
    /// The event of the scene with this index happens.
    SceneEvent(usize),
    /// The measurement begins.
    MeasurementBegins,
    /// A node begins its next call.
    CallBegins { node: u32, incarnation: u32 },
    /// A call reaches its replica.
    CallArrives(CallId),
    /// The replica has processed the lines that a watch costs.
    CallHandled(CallId),
    /// The maximum wait of a watch has passed.
    WatchTimesOut(CallId),
    /// The replica has sent the last line of an answer.
    AnswerSent(CallId),
    /// The result of a call reaches the node.
    CallEnds(CallId),
    /// The node's timeout for a call expires.
    CallTimesOut(CallId),
    /// A replica receives all changes up to this version.
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
