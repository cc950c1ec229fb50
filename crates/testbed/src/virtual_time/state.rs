//! The state of the servers, nodes and requests of a simulation.

use super::Decisions;
use crate::models::CacheServer;
use crate::workload::Operation;
use balancer_core::{AttemptStatus, Endpoint, EndpointState, LoadReport, ServerId, Timestamp};
use std::collections::{BTreeMap, BTreeSet};

/// A cache server under one id. Its processes come and go.
pub(super) struct Server {
    pub(super) id: ServerId,
    /// Its index in the fleet. A successor under another id has the same index.
    pub(super) index: usize,
    /// Its number at the judge.
    pub(super) judge_number: usize,
    /// The process that runs under the id.
    pub(super) process: Option<usize>,
    pub(super) listed: ListedState,
}

/// A cache server as discovery lists it.
pub(super) struct ListedState {
    pub(super) state: EndpointState,
    pub(super) started_at: Option<Timestamp>,
    /// The version of the list in which this changed last.
    pub(super) version: u64,
}

/// A process of a cache server.
pub(super) struct Process {
    pub(super) server: usize,
    pub(super) model: CacheServer,
    pub(super) alive: bool,
    pub(super) connections: u32,
    /// The time of the next [`SimulationEvent::ServerWakeup`](super::event_queue::SimulationEvent::ServerWakeup) that
    /// counts.
    pub(super) wakeup: Option<Timestamp>,
}

/// A node.
pub(super) struct Node {
    pub(super) zone: usize,
    pub(super) decisions: Box<dyn Decisions>,
    /// The number of reloads. After each odd one, the classes are in reverse order.
    pub(super) reloads: u32,
    /// Counts its starts. Events of an earlier incarnation are ignored.
    pub(super) incarnation: u32,
    pub(super) up: bool,
    pub(super) shutting_down: bool,
    /// The front sends requests to it.
    pub(super) in_rotation: bool,
    /// Requests that it has accepted and not answered, or that have attempts in flight.
    pub(super) in_flight: BTreeSet<usize>,
    /// The endpoints that it was last notified of, by server.
    pub(super) endpoints: BTreeMap<usize, Endpoint>,
    /// Its idle connections, by server; the one used last is the last one.
    pub(super) idle_connections: BTreeMap<usize, Vec<IdleConnection>>,
    /// The version of its endpoint list. It outlives the process of a node that the platform starts.
    pub(super) list_version: Option<u64>,
    /// A call to discovery has been sent and is being answered.
    pub(super) calling: bool,
    /// A call to discovery waits for changes.
    pub(super) watching: bool,
    /// Failed calls in a row.
    pub(super) failed_calls: u32,
}

/// An idle connection of a node to a cache server.
pub(super) struct IdleConnection {
    pub(super) process: usize,
    pub(super) established_at: Timestamp,
    pub(super) idle_since: Timestamp,
}

/// An operation that has started.
pub(super) struct StartedOperation {
    pub(super) operation: Operation,
    pub(super) served: bool,
}

/// A request of a client to a node.
pub(super) struct ClientRequest {
    pub(super) operation: usize,
    /// Its number within the operation, from 0.
    pub(super) ordinal: u32,
    pub(super) node: usize,
    /// The incarnation of the node that accepted it.
    pub(super) incarnation: u32,
    /// When the client's timeout ends.
    pub(super) expires_at: Timestamp,
    /// The client has an answer, or no longer waits for one.
    pub(super) over: bool,
    /// The node has answered, or owes no answer any more.
    pub(super) answered: bool,
    pub(super) attempts: Vec<Attempt>,
}

/// An attempt of a node at a request.
pub(super) struct Attempt {
    pub(super) server: usize,
    /// The process that its connection leads to.
    pub(super) process: Option<usize>,
    pub(super) started_at: Timestamp,
    /// When its connection was established.
    pub(super) established_at: Timestamp,
    pub(super) new_connection: bool,
    /// The cache server has closed the connection, and the node does not know yet.
    pub(super) closed_by_server: bool,
    pub(super) sent: bool,
    /// The decisions have its outcome.
    pub(super) ended: bool,
    /// The node has closed the connection.
    pub(super) abandoned: bool,
}

/// The end of an attempt as its node sees it.
#[derive(Clone, Copy, Debug)]
pub(super) struct AttemptEnd {
    pub(super) status: AttemptStatus,
    pub(super) hit: bool,
    pub(super) load: LoadReport,
}

impl AttemptEnd {
    pub(super) fn without_answer(status: AttemptStatus) -> Self {
        Self { status, hit: false, load: LoadReport::default() }
    }
}
