//! The decisions of a discovery client: which replica it calls, for what, how long it waits, and when it calls again.

use super::scene::Scene;
use balancer_core::discovery::{
    DiscoveryClient, Jitter, ListEntry, ListSource, ListValidator, Poll, PollOutcome, PollPacing,
    PollSettings, ReceivedList, ReplicaCapacity, ReplicaSelection,
};
use balancer_core::{EndpointState, Timestamp};
use std::time::Duration;

/// The connect timeout to a discovery without replicas.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// The connect timeout to one of several replicas.
const REPLICA_CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// The maximum poll interval, as the platform configures nodes.
const MAX_POLL_INTERVAL: Duration = Duration::from_secs(10);
/// The drain grace, as the platform configures nodes.
const DRAIN_GRACE: Duration = Duration::from_millis(500);

/// The parameters of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NextCall {
    /// The replica, by number.
    pub replica: u32,
    /// The node wants what is newer than this version; `None` for the whole list.
    pub after: Option<u64>,
    /// How long discovery waits for a change.
    pub wait: Duration,
    /// The timeout of the call.
    pub limit: Duration,
    /// The timeout of the connection.
    pub connect: Duration,
}

/// A snapshot or delta as the client has read it.
#[derive(Clone, Debug)]
pub struct Listing<'a> {
    /// Its version.
    pub version: u64,
    /// Whether it is a snapshot.
    pub whole: bool,
    /// Its entries.
    pub entries: Vec<ListEntry<'a>>,
}

/// The end of a call.
#[derive(Clone, Debug)]
pub enum CallEnd<'a> {
    /// An answer arrived.
    Answered {
        /// The time since the call.
        took: Duration,
        /// The list.
        listing: Listing<'a>,
    },
    /// The call timed out.
    Overdue,
    /// No connection was established.
    Unreached {
        /// The time since the call.
        took: Duration,
    },
    /// The replica rejected it because its queue was full.
    Refused {
        /// The time since the call.
        took: Duration,
    },
    /// The connection was reset.
    Failed,
}

/// What follows from the end of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Next {
    /// The pause before the next call.
    pub pause: Duration,
    /// The version of the list that the node has applied; `None` if it applied none.
    pub applied: Option<u64>,
}

/// The decisions of a node's discovery client. `random` returns uniform random values from 0 to 1.
pub trait ClientDecisions {
    /// The next call.
    fn next_call(&mut self, now: Duration, random: &mut dyn FnMut() -> f64) -> NextCall;

    /// Takes in the end of the last call.
    fn ended(&mut self, now: Duration, end: CallEnd, random: &mut dyn FnMut() -> f64) -> Next;
}

/// The real decisions, for one address or for several replicas of known capacity.
pub struct ReplicasClient {
    terms: PollSettings,
    capacity: Option<ReplicaCapacity>,
    names: Vec<String>,
    client: DiscoveryClient,
    membership: ListValidator,
    call: Poll,
}

impl ReplicasClient {
    /// Creates the decisions of a node that has not called yet.
    pub fn new(start: &ClientStart) -> Self {
        let script = &start.scene.script;
        let names: Vec<_> = (0..script.known_replicas()).map(replica_name).collect();
        let stated = ReplicaCapacity {
            lines_per_second: script.capacity.lines_per_second,
            call_lines: script.capacity.call_lines,
        };
        let version = start.list.map(|(version, _)| version);
        let ready = start.list.iter().flat_map(|(_, ready)| ready.iter().cloned());
        Self {
            terms: start.terms(),
            capacity: script.mechanism.then_some(stated),
            client: DiscoveryClient::new(ReplicaSelection::new(&start.name(), names.clone())),
            names,
            membership: ListValidator::new(version, ready),
            call: Poll { wait: Duration::ZERO, timeout: Duration::ZERO },
        }
    }

    fn pace(&self) -> PollPacing {
        let held = u32::try_from(self.membership.ready_count()).unwrap_or(u32::MAX);
        let list_lines = Some(held).filter(|lines| *lines > 0);
        PollPacing::new(self.terms, self.client.replicas().available(), self.capacity, list_lines)
    }

    /// Whether a list is accepted.
    fn accepts(&mut self, listing: &Listing) -> bool {
        let place = self.client.replicas().current();
        let replica = self.names.get(place).map_or("", String::as_str);
        let source = ListSource { replica, replicas: self.names.len() };
        let received =
            ReceivedList { version: listing.version, is_snapshot: listing.whole, entries: &listing.entries };
        self.membership.validate(source, &received).is_ok()
    }

    fn end(&mut self, end: CallEnd) -> (PollOutcome, Option<u64>) {
        match end {
            CallEnd::Answered { took, listing } if self.accepts(&listing) => {
                let has_changes = !listing.entries.is_empty();
                (PollOutcome::Answered { took, has_changes }, Some(listing.version))
            }
            CallEnd::Answered { .. } | CallEnd::Failed => (PollOutcome::Failed, None),
            CallEnd::Refused { took } => (PollOutcome::Overloaded { took }, None),
            CallEnd::Overdue => (PollOutcome::TimedOut, None),
            CallEnd::Unreached { took } => (PollOutcome::Unreachable { took }, None),
        }
    }
}

impl ClientDecisions for ReplicasClient {
    fn next_call(&mut self, _now: Duration, random: &mut dyn FnMut() -> f64) -> NextCall {
        self.call = self.client.next_poll(self.pace(), self.membership.next_poll_kind(), random());
        let Poll { wait, timeout: limit } = self.call;
        NextCall {
            replica: self.client.replicas().current() as u32,
            after: self.membership.watch_from(),
            wait,
            limit,
            connect: if self.names.len() > 1 { REPLICA_CONNECT_TIMEOUT } else { CONNECT_TIMEOUT },
        }
    }

    fn ended(&mut self, now: Duration, end: CallEnd, random: &mut dyn FnMut() -> f64) -> Next {
        let (end, applied) = self.end(end);
        let now = Timestamp::from_micros(now.as_micros() as u64);
        let jitter = Jitter { hold_down: random(), pause: random() };
        let (pace, kind) = (self.pace(), self.membership.next_poll_kind());
        let next = self.client.poll_ended(now, pace, self.call, end, kind, jitter);
        Next { pause: next.pause, applied }
    }
}

/// The name by which nodes know a replica.
fn replica_name(replica: u32) -> String {
    format!("10.0.0.{}:7100", replica + 1)
}

/// An entry as the client reads it. Every server of a scene has an address.
pub fn listed(name: &str, state: EndpointState) -> ListEntry<'_> {
    ListEntry { id: name, state, has_address: true }
}

/// A node that starts.
#[derive(Clone, Copy, Debug)]
pub struct ClientStart<'a> {
    /// The scene.
    pub scene: &'a Scene,
    /// Its number.
    pub node: u32,
    /// The version and the servers of the list that it starts with; `None` if it starts without one.
    pub list: Option<(u64, &'a [String])>,
}

impl ClientStart<'_> {
    /// Its name, as on sockets.
    pub fn name(&self) -> String {
        format!("h{}", self.node)
    }

    /// Its polling parameters.
    pub fn terms(&self) -> PollSettings {
        let nodes = self.scene.script.nodes;
        PollSettings {
            nodes,
            max_poll_interval: MAX_POLL_INTERVAL,
            drain_grace: DRAIN_GRACE,
            is_shared_service: true,
        }
    }

    /// The real decisions.
    pub fn client(&self) -> Box<dyn ClientDecisions> {
        Box::new(ReplicasClient::new(self))
    }
}
