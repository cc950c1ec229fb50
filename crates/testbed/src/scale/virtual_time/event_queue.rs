//! What is due, in the order of time; at the same time, in the order in which it was put in.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

/// A call of a node: stale once the node has begun another or was killed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct CallId {
    pub(super) node: u32,
    /// Counts all calls of the node, over all its lives.
    pub(super) number: u64,
}

/// Something that is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum SimulationEvent {
    /// An occurrence of the scene, by its place.
    Occurrence(usize),
    /// Counting begins.
    Measure,
    /// A node sets out on its next call.
    Operation { node: u32, life: u32 },
    /// A call reaches its replica.
    Arrive(CallId),
    /// Its call lines are worked through.
    Handled(CallId),
    /// A watch has waited as long as it was asked to.
    WaitOver(CallId),
    /// The replica has written the answer.
    Written(CallId),
    /// What came of a call reaches the node.
    Back(CallId),
    /// The node has waited long enough.
    GiveUp(CallId),
    /// A replica learns of all versions up to this.
    Learn { replica: u32, version: u64 },
}

#[derive(Debug, Default)]
pub(super) struct EventQueue {
    heap: BinaryHeap<Reverse<(Duration, u64, SimulationEvent)>>,
    number: u64,
}

impl EventQueue {
    pub(super) fn put(&mut self, at: Duration, due: SimulationEvent) {
        self.number += 1;
        self.heap.push(Reverse((at, self.number, due)));
    }

    pub(super) fn pop(&mut self) -> Option<(Duration, SimulationEvent)> {
        self.heap.pop().map(|Reverse((at, _, due))| (at, due))
    }
}
