//! The decision logic of a discovery client: which replica it calls, which list it requests, how long it
//! waits, and when it calls again.

use super::scene::Scene;
use balancer_core::discovery::{
    DiscoveryClient, Jitter, ListEntry, ListSource, ListValidator, Poll, PollOutcome, PollPacing,
    PollSettings, ReceivedList, ReplicaCapacity, ReplicaSelection,
};
use balancer_core::{EndpointState, Timestamp};
use std::time::Duration;

/// Connect timeout if discovery is a single address.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Connect timeout if discovery has several replicas.
const REPLICA_CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum poll interval in the platform's configuration of nodes.
const MAX_POLL_INTERVAL: Duration = Duration::from_secs(10);
/// Drain grace in the platform's configuration of nodes.
const DRAIN_GRACE: Duration = Duration::from_millis(500);

/// The parameters of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NextCall {
    /// The index of the replica.
    pub replica: u32,
    /// The version that the node has, to request newer changes; `None` to request a snapshot.
    pub after: Option<u64>,
    /// The time for which discovery may wait for a change.
    pub wait: Duration,
    /// The timeout of the call.
    pub timeout: Duration,
    /// The timeout for establishing a connection.
    pub connect_timeout: Duration,
}

/// A snapshot or delta that a client received.
#[derive(Clone, Debug)]
pub struct ListResponse<'a> {
    /// The version of the list.
    pub version: u64,
    /// Whether the response is a snapshot.
    pub is_snapshot: bool,
    /// The entries.
    pub entries: Vec<ListEntry<'a>>,
}

/// The outcome of a call.
#[derive(Clone, Debug)]
pub enum CallOutcome<'a> {
    /// An answer arrived.
    Answered {
        /// The time since the call.
        took: Duration,
        /// The list.
        response: ListResponse<'a>,
    },
    /// The call timed out.
    TimedOut,
    /// No connection could be established.
    Unreachable {
        /// The time since the call.
        took: Duration,
    },
    /// The replica rejected the call because its queue was full.
    Rejected {
        /// The time since the call.
        took: Duration,
    },
    /// The connection was reset.
    Failed,
}

/// The reaction of a client to the outcome of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AfterCall {
    /// The pause before the next call.
    pub pause: Duration,
    /// The version of the list that the node applied; `None` if it applied none.
    pub applied: Option<u64>,
}

/// The decision logic of a node's discovery client. `random` returns uniform random values from 0 to 1.
pub trait ClientDecisionLogic {
    /// Returns the next call.
    fn next_call(&mut self, now: Duration, random: &mut dyn FnMut() -> f64) -> NextCall;

    /// Handles the outcome of the last call.
    fn call_ended(
        &mut self,
        now: Duration,
        outcome: CallOutcome,
        random: &mut dyn FnMut() -> f64,
    ) -> AfterCall;
}

/// The decision logic of the discovery client of `balancer_core`, for one address or for several replicas of
/// known capacity.
pub struct CoreClientDecisionLogic {
    poll_settings: PollSettings,
    capacity: Option<ReplicaCapacity>,
    names: Vec<String>,
    client: DiscoveryClient,
    list_validator: ListValidator,
    poll: Poll,
}

impl CoreClientDecisionLogic {
    /// Creates the decision logic of a node that has not made a call yet.
    pub fn new(start: &ClientStart) -> Self {
        let script = &start.scene.script;
        let names: Vec<_> = (0..script.known_replicas()).map(replica_name).collect();
        let capacity = ReplicaCapacity {
            lines_per_second: script.capacity.lines_per_second,
            call_lines: script.capacity.call_lines,
        };
        let version = start.list.map(|(version, _)| version);
        let ready = start.list.iter().flat_map(|(_, ready)| ready.iter().cloned());
        Self {
            poll_settings: start.poll_settings(),
            capacity: script.mechanism.then_some(capacity),
            client: DiscoveryClient::new(ReplicaSelection::new(&start.name(), names.clone())),
            names,
            list_validator: ListValidator::new(version, ready),
            poll: Poll { wait: Duration::ZERO, timeout: Duration::ZERO },
        }
    }

    fn pacing(&self) -> PollPacing {
        let ready_servers = u32::try_from(self.list_validator.ready_count()).unwrap_or(u32::MAX);
        let list_lines = Some(ready_servers).filter(|lines| *lines > 0);
        PollPacing::new(self.poll_settings, self.client.replicas().available(), self.capacity, list_lines)
    }

    /// Validates a received list. Returns whether it is accepted.
    fn accepts(&mut self, response: &ListResponse) -> bool {
        let index = self.client.replicas().current();
        let replica = self.names.get(index).map_or("", String::as_str);
        let source = ListSource { replica, replicas: self.names.len() };
        let received = ReceivedList {
            version: response.version,
            is_snapshot: response.is_snapshot,
            entries: &response.entries,
        };
        self.list_validator.validate(source, &received).is_ok()
    }

    /// Converts the outcome of a call, and returns the version of its list if the list is accepted.
    fn poll_outcome(&mut self, outcome: CallOutcome) -> (PollOutcome, Option<u64>) {
        match outcome {
            CallOutcome::Answered { took, response } if self.accepts(&response) => {
                let has_changes = !response.entries.is_empty();
                (PollOutcome::Answered { took, has_changes }, Some(response.version))
            }
            CallOutcome::Answered { .. } | CallOutcome::Failed => (PollOutcome::Failed, None),
            CallOutcome::Rejected { took } => (PollOutcome::Overloaded { took }, None),
            CallOutcome::TimedOut => (PollOutcome::TimedOut, None),
            CallOutcome::Unreachable { took } => (PollOutcome::Unreachable { took }, None),
        }
    }
}

impl ClientDecisionLogic for CoreClientDecisionLogic {
    fn next_call(&mut self, _now: Duration, random: &mut dyn FnMut() -> f64) -> NextCall {
        self.poll = self.client.next_poll(self.pacing(), self.list_validator.next_poll_kind(), random());
        let Poll { wait, timeout } = self.poll;
        NextCall {
            replica: self.client.replicas().current() as u32,
            after: self.list_validator.watch_from(),
            wait,
            timeout,
            connect_timeout: if self.names.len() > 1 { REPLICA_CONNECT_TIMEOUT } else { CONNECT_TIMEOUT },
        }
    }

    fn call_ended(
        &mut self,
        now: Duration,
        outcome: CallOutcome,
        random: &mut dyn FnMut() -> f64,
    ) -> AfterCall {
        let (outcome, applied) = self.poll_outcome(outcome);
        let now = Timestamp::from_micros(now.as_micros() as u64);
        let jitter = Jitter { hold_down: random(), pause: random() };
        let (pacing, kind) = (self.pacing(), self.list_validator.next_poll_kind());
        let next = self.client.poll_ended(now, pacing, self.poll, outcome, kind, jitter);
        AfterCall { pause: next.pause, applied }
    }
}

/// Returns the name under which nodes know a replica.
fn replica_name(replica: u32) -> String {
    format!("10.0.0.{}:7100", replica + 1)
}

/// Creates a list entry as a client reads it. Every server of a scene has an address.
pub fn list_entry(name: &str, state: EndpointState) -> ListEntry<'_> {
    ListEntry { id: name, state, has_address: true }
}

/// The start of a node.
#[derive(Clone, Copy, Debug)]
pub struct ClientStart<'a> {
    /// The scene.
    pub scene: &'a Scene,
    /// The index of the node.
    pub node: u32,
    /// The version and the servers of the list that the node starts with; `None` if it starts without a list.
    pub list: Option<(u64, &'a [String])>,
}

impl ClientStart<'_> {
    /// Returns the name of the node, which is the same as in runs on sockets.
    pub fn name(&self) -> String {
        format!("h{}", self.node)
    }

    /// Returns the polling settings of the node.
    pub fn poll_settings(&self) -> PollSettings {
        let nodes = self.scene.script.nodes;
        PollSettings {
            nodes,
            max_poll_interval: MAX_POLL_INTERVAL,
            drain_grace: DRAIN_GRACE,
            is_shared_service: true,
        }
    }

    /// Creates the decision logic of the discovery client of `balancer_core`.
    pub fn client(&self) -> Box<dyn ClientDecisionLogic> {
        Box::new(CoreClientDecisionLogic::new(self))
    }
}
