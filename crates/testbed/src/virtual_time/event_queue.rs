//! The events of a simulation and the queue that orders them by time.

use super::state::AttemptEnd;
use crate::judge::FinalAnswer;
use balancer_core::{EndpointState, Timestamp};
use std::cmp::Ordering;
use std::collections::BinaryHeap;
use std::time::Duration;

/// An event of a simulation. Requests, attempts, nodes, servers and processes are identified by their
/// indices.
#[derive(Clone, Copy, Debug)]
pub(super) enum SimulationEvent {
    /// The next operation of the workload starts.
    OperationStarts,
    /// A client sends a request of an operation.
    SendRequest { operation: usize, ordinal: u32 },
    /// A request reaches its node.
    RequestArrives { request: usize },
    /// An answer reaches the client. `None` means that the connection ended without an answer.
    AnswerArrives { request: usize, answer: Option<FinalAnswer>, retry_after: Duration },
    /// The client's timeout ends.
    ClientTimesOut { request: usize },
    /// The client disconnects.
    ClientDisconnects { request: usize },
    /// The node notices that the client has disconnected.
    DisconnectArrives { request: usize },
    /// The node's own timer for the deadline of a request expires.
    DeadlineTimer { request: usize },
    /// A timer of a node's decision logic expires.
    NodeTimer { node: usize, incarnation: u32 },
    /// The connection of an attempt is established, and its first byte is sent.
    SendAttempt { request: usize, attempt: usize },
    /// The last byte of an attempt reaches the cache server.
    AttemptArrives { request: usize, attempt: usize },
    /// The end of an attempt reaches the node.
    AttemptEnds { request: usize, attempt: usize, end: AttemptEnd },
    /// The node's timeout of an attempt ends.
    AttemptTimesOut { request: usize, attempt: usize },
    /// The state machine of a cache server is due for a wakeup.
    ServerWakeup { process: usize },
    /// The state machine of the origin is due for a wakeup.
    OriginWakeup,
    /// A change of the fault schedule is due. `change` is its index.
    ChangeDue { change: usize },
    /// Discovery detects the new state of a cache server.
    StateDetected { server: usize, state: EndpointState, started_at: Option<Timestamp> },
    /// A node's call to discovery is due.
    ListCallDue { node: usize, incarnation: u32 },
    /// A node's call to discovery ends.
    ListCallEnds { node: usize, incarnation: u32, ok: bool },
    /// The front is notified whether to send requests to a node.
    FrontNotified { node: usize, incarnation: u32, in_rotation: bool },
    /// A node that is shutting down ends, if it has no requests left or `forced` is set.
    NodeStops { node: usize, incarnation: u32, forced: bool, downtime: Duration },
    /// A node starts.
    NodeStarts { node: usize },
    /// The state of the servers is sampled.
    Sample,
}

#[derive(Debug)]
pub(super) struct ScheduledEvent {
    pub(super) at: Timestamp,
    /// The sequence number of the event in the order of scheduling.
    sequence_number: u64,
    pub(super) event: SimulationEvent,
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for ScheduledEvent {}

impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ScheduledEvent {
    /// The earliest event is the greatest, because the heap pops the greatest. Of events at the same time,
    /// the one scheduled first is the greatest.
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.sequence_number).cmp(&(self.at, self.sequence_number))
    }
}

/// A priority queue of events, ordered by time.
#[derive(Default)]
pub(super) struct EventQueue {
    heap: BinaryHeap<ScheduledEvent>,
    /// The number of events scheduled so far.
    scheduled: u64,
}

impl EventQueue {
    pub(super) fn schedule(&mut self, at: Timestamp, event: SimulationEvent) {
        self.scheduled += 1;
        self.heap.push(ScheduledEvent { at, sequence_number: self.scheduled, event });
    }

    pub(super) fn pop(&mut self) -> Option<ScheduledEvent> {
        self.heap.pop()
    }
}
