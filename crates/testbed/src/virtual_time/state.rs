//! The state of the servers, nodes and requests of a simulation.

use super::DecisionLogic;
use crate::models::CacheServer;
use crate::workload::Operation;
use balancer_core::{AttemptStatus, Endpoint, EndpointState, LoadReport, ServerId, Timestamp};
use std::collections::{BTreeMap, BTreeSet};

/// A cache server under one id. Several processes may run under the id, one after another.
pub(super) struct Server {
    pub(super) id: ServerId,
    /// The index in the fleet. A successor under another id has the same index.
    pub(super) index: usize,
    /// The number that the judge assigned to the server.
    pub(super) judge_number: usize,
    /// The index of the process that runs under the id, if there is one.
    pub(super) process: Option<usize>,
    pub(super) listed: ListedState,
}

/// The state of a cache server in the endpoint list of discovery.
pub(super) struct ListedState {
    pub(super) state: EndpointState,
    pub(super) started_at: Option<Timestamp>,
    /// The list version of the last change of this state.
    pub(super) version: u64,
}

/// A process of a cache server.
pub(super) struct Process {
    pub(super) server: usize,
    pub(super) model: CacheServer,
    pub(super) alive: bool,
    pub(super) connections: u32,
    /// The time of the next valid
    /// [`SimulationEvent::ServerWakeup`](super::event_queue::SimulationEvent::ServerWakeup). Others are
    /// ignored.
    pub(super) wakeup: Option<Timestamp>,
}

/// A node with its decision logic, connections and endpoint list.
pub(super) struct Node {
    pub(super) zone: usize,
    pub(super) decision_logic: Box<dyn DecisionLogic>,
    /// The number of reloads since the start. When it is odd, the node's classes are in reverse order.
    pub(super) reloads: u32,
    /// The number of starts. Events of an earlier incarnation are ignored.
    pub(super) incarnation: u32,
    pub(super) up: bool,
    pub(super) shutting_down: bool,
    /// Whether the front sends requests to the node.
    pub(super) in_rotation: bool,
    /// Accepted requests that are not answered yet or have attempts in flight.
    pub(super) in_flight: BTreeSet<usize>,
    /// The endpoints by server, as of the last notification to the node.
    pub(super) endpoints: BTreeMap<usize, Endpoint>,
    /// The idle connections by server. The most recently used connection is the last one.
    pub(super) idle_connections: BTreeMap<usize, Vec<IdleConnection>>,
    /// The version of the endpoint list. It survives a restart if the node runs from the platform's
    /// configuration.
    pub(super) list_version: Option<u64>,
    /// Whether a call to discovery is being answered.
    pub(super) calling: bool,
    /// Whether a call to discovery is waiting for changes.
    pub(super) watching: bool,
    /// The number of consecutive failed calls to discovery.
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
    /// The number of the request within the operation, from 0.
    pub(super) ordinal: u32,
    pub(super) node: usize,
    /// The incarnation of the node that accepted the request.
    pub(super) incarnation: u32,
    /// The time at which the client's timeout ends.
    pub(super) expires_at: Timestamp,
    /// Whether the client has an answer or no longer waits for one.
    pub(super) over: bool,
    /// Whether the node has answered, or no longer needs to because the client has disconnected.
    pub(super) answered: bool,
    pub(super) attempts: Vec<Attempt>,
}

/// An attempt of a node to serve a request.
pub(super) struct Attempt {
    pub(super) server: usize,
    /// The process at the other end of the connection, if there is one.
    pub(super) process: Option<usize>,
    pub(super) started_at: Timestamp,
    /// The time at which the connection was established.
    pub(super) established_at: Timestamp,
    pub(super) new_connection: bool,
    /// Whether the cache server has closed the connection without the node's knowledge.
    pub(super) closed_by_server: bool,
    pub(super) sent: bool,
    /// Whether the outcome has been passed to the decision logic.
    pub(super) ended: bool,
    /// Whether the node has closed the connection of the attempt.
    pub(super) abandoned: bool,
}

/// The end of an attempt as observed by its node.
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
