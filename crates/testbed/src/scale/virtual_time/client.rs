//! What decides for a node which replica it asks, for what, for how long, and how soon again.

use super::scene::Scene;
use balancer_core::discovery::{
    DiscoveryClient, Jitter, ListEntry, ListSource, ListValidator, Poll, PollOutcome, PollPacing,
    PollSettings, ReceivedList, ReplicaCapacity, ReplicaSelection,
};
use balancer_core::{EndpointState, Timestamp};
use std::time::Duration;

/// A connection that does not come up is given up after this time: to a discovery that has no replicas, and to one of several.
const CONNECT: Duration = Duration::from_secs(2);
const CONNECT_TO_REPLICA: Duration = Duration::from_secs(1);
/// For how long a list is good, and how long a server may be sent to after it left it: as nodes are told on the platform.
const ASK_WITHIN: Duration = Duration::from_secs(10);
const DRAIN_GRACE: Duration = Duration::from_millis(500);

/// A call that a node makes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NextCall {
    /// The replica, by number.
    pub replica: u32,
    /// What is newer than this version is asked for; `None` for the whole list.
    pub after: Option<u64>,
    /// Discovery is asked to wait for so long for news.
    pub wait: Duration,
    /// The node gives the call up after this time.
    pub limit: Duration,
    /// And after this time, where no connection comes up.
    pub connect: Duration,
}

/// A list, or changes of one, as the client has read it.
#[derive(Clone, Debug)]
pub struct Listing<'a> {
    /// Its version.
    pub version: u64,
    /// It is the whole list.
    pub whole: bool,
    /// Its entries.
    pub entries: Vec<ListEntry<'a>>,
}

/// What came of a call.
#[derive(Clone, Debug)]
pub enum CallEnd<'a> {
    /// A list came.
    Answered {
        /// So long after the call.
        took: Duration,
        /// The list.
        listing: Listing<'a>,
    },
    /// The node gave it up.
    Overdue,
    /// No connection came up.
    Unreached {
        /// In this time.
        took: Duration,
    },
    /// The replica has too much to do, and said so.
    Refused {
        /// So long after the call.
        took: Duration,
    },
    /// Its connection was reset.
    Failed,
}

/// What follows from a call's end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Next {
    /// The next call is made after this time.
    pub pause: Duration,
    /// The node acts on a list of this version from now on.
    pub applied: Option<u64>,
}

/// The decisions of one node's client. `random` gives random numbers from 0 to 1.
pub trait ClientDecisions {
    /// The next call.
    fn next_call(&mut self, now: Duration, random: &mut dyn FnMut() -> f64) -> NextCall;

    /// Takes in how the last call ended.
    fn ended(&mut self, now: Duration, end: CallEnd, random: &mut dyn FnMut() -> f64) -> Next;
}

/// The real decisions: of a client that knows one address, or several replicas and what each can do.
pub struct ReplicasClient {
    terms: PollSettings,
    capacity: Option<ReplicaCapacity>,
    names: Vec<String>,
    client: DiscoveryClient,
    membership: ListValidator,
    call: Poll,
}

impl ReplicasClient {
    /// Of a node that has not called yet.
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

    /// Whether a list is taken.
    fn takes(&mut self, listing: &Listing) -> bool {
        let place = self.client.replicas().current();
        let replica = self.names.get(place).map_or("", String::as_str);
        let source = ListSource { replica, replicas: self.names.len() };
        let received =
            ReceivedList { version: listing.version, is_snapshot: listing.whole, entries: &listing.entries };
        self.membership.validate(source, &received).is_ok()
    }

    fn end(&mut self, end: CallEnd) -> (PollOutcome, Option<u64>) {
        match end {
            CallEnd::Answered { took, listing } if self.takes(&listing) => {
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
            connect: if self.names.len() > 1 { CONNECT_TO_REPLICA } else { CONNECT },
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

/// What nodes call a replica.
fn replica_name(replica: u32) -> String {
    format!("10.0.0.{}:7100", replica + 1)
}

/// An entry as the client reads it: every server of a scene has an address.
pub fn listed(name: &str, state: EndpointState) -> ListEntry<'_> {
    ListEntry { id: name, state, has_address: true }
}

/// A node whose decisions are to be made.
#[derive(Clone, Copy, Debug)]
pub struct ClientStart<'a> {
    /// The scene.
    pub scene: &'a Scene,
    /// Its number.
    pub node: u32,
    /// The version of the list that it begins with, and the servers on it; `None` where it begins without one.
    pub list: Option<(u64, &'a [String])>,
}

impl ClientStart<'_> {
    /// Its name, as on sockets.
    pub fn name(&self) -> String {
        format!("h{}", self.node)
    }

    /// What it knows of asking.
    pub fn terms(&self) -> PollSettings {
        let nodes = self.scene.script.nodes;
        PollSettings { nodes, max_poll_interval: ASK_WITHIN, drain_grace: DRAIN_GRACE, is_polled: true }
    }

    /// The real decisions.
    pub fn client(&self) -> Box<dyn ClientDecisions> {
        Box::new(ReplicasClient::new(self))
    }
}
