//! What decides for a node which replica it asks, for what, for how long, and how soon again.

use super::scene::Scene;
use decide::asking::{Asking, Call, End, Terms};
use decide::membership::{Listed, Membership};
use decide::Availability;
use std::time::Duration;

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
}

/// A list, or changes of one, as the client has read it.
#[derive(Clone, Debug)]
pub struct Listing<'a> {
    /// Its version.
    pub version: u64,
    /// It is the whole list.
    pub whole: bool,
    /// Its entries.
    pub entries: Vec<Listed<'a>>,
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
    /// It was refused, or its connection was reset.
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

/// The decisions of one node's client. `draw` gives random numbers from 0 to 1.
pub trait ClientDecisions {
    /// The next call.
    fn next_call(&mut self, now: Duration, draw: &mut dyn FnMut() -> f64) -> NextCall;

    /// Takes in how the last call ended.
    fn ended(&mut self, now: Duration, end: CallEnd, draw: &mut dyn FnMut() -> f64) -> Next;
}

/// A client that knows one address: the real decisions of today.
pub struct OneAddress {
    terms: Terms,
    asking: Asking,
    membership: Membership,
    call: Call,
}

impl OneAddress {
    /// Of a node that holds this version and knows these ready servers, or that holds nothing.
    pub fn new(terms: Terms, version: Option<u64>, ready: impl IntoIterator<Item = String>) -> Self {
        let call = Call { wait: Duration::ZERO, limit: Duration::ZERO };
        Self { terms, asking: Asking::default(), membership: Membership::new(version, ready), call }
    }

    fn asks_for_changes(&self) -> bool {
        self.membership.asks_after().is_some()
    }
}

impl ClientDecisions for OneAddress {
    fn next_call(&mut self, _now: Duration, draw: &mut dyn FnMut() -> f64) -> NextCall {
        self.call = self.asking.call(self.terms, self.asks_for_changes(), draw());
        let Call { wait, limit } = self.call;
        NextCall { replica: 0, after: self.membership.asks_after(), wait, limit }
    }

    fn ended(&mut self, _now: Duration, end: CallEnd, draw: &mut dyn FnMut() -> f64) -> Next {
        let (end, applied) = match end {
            CallEnd::Answered { took, listing } => {
                let judged = self.membership.judge(listing.version, listing.whole, &listing.entries);
                let news = !listing.entries.is_empty();
                match judged {
                    Ok(_) => (End::Answered { took, news }, Some(listing.version)),
                    Err(_) => (End::Failed, None),
                }
            }
            CallEnd::Overdue => (End::Overdue, None),
            CallEnd::Unreached { took } => (End::Unreached { took }, None),
            CallEnd::Failed => (End::Failed, None),
        };
        let for_changes = self.asks_for_changes();
        let pause = self.asking.ended(self.terms, self.call, end, for_changes, draw());
        Next { pause, applied }
    }
}

/// An entry as the client reads it: every server of a scene has an address.
pub fn listed(name: &str, state: Availability) -> Listed<'_> {
    Listed { name, state, has_address: true }
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
    pub fn terms(&self) -> Terms {
        let nodes = self.scene.script.nodes;
        Terms { nodes, within: ASK_WITHIN, grace: DRAIN_GRACE, asked: true }
    }

    /// The decisions of a client that knows one address.
    pub fn one_address(&self) -> Box<dyn ClientDecisions> {
        let version = self.list.map(|(version, _)| version);
        let ready = self.list.iter().flat_map(|(_, ready)| ready.iter().cloned());
        Box::new(OneAddress::new(self.terms(), version, ready))
    }
}
