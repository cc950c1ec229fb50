//! What goes into a [`Balancer`](crate::Balancer) and what comes out of it.

use crate::knowledge::Knowledge;
use crate::names::{RequestId, ServerId};
use crate::requests::{LoadReport, Outcome, Request, Status};
use crate::servers::{ServerEntry, ServerList};
use crate::settings::Settings;
use std::sync::Arc;
use std::time::Duration;

/// Something that happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The node starts with the list it held last, possibly stale.
    Restored(Arc<[ServerEntry]>),
    /// Word from discovery.
    Servers(ServerList),
    /// A client asks.
    Request(Request),
    /// An attempt's answer has begun to stream to the client.
    FirstByte {
        /// The request.
        id: RequestId,
    },
    /// An attempt ended.
    Outcome(Outcome),
    /// The client left; nothing more is owed.
    Abandoned(RequestId),
    /// What the process knew whose place this one takes. It comes before the first request, and may come again as long as
    /// there is none.
    Recalled(Arc<Knowledge>),
    /// From here on other settings hold. Requests taken before are judged by theirs to their end, and what is
    /// known of servers lives on; so does what is known by class, with the class's name. The mode, and whether
    /// weights tell speed, count for all.
    Reconfigured(Box<Settings>),
    /// A time asked for with [`Action::Wake`] has come.
    Timer,
    /// A probe ended.
    Probed {
        /// The server.
        server: ServerId,
        /// How it ended.
        status: Status,
        /// Time since it was sent.
        took: Duration,
        /// The server's load.
        load: LoadReport,
    },
}

/// Something the node must do, in the order given.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Begin an attempt.
    Send {
        /// The request.
        id: RequestId,
        /// Where to.
        server: ServerId,
        /// Time-out of the attempt; the client's own end of patience cuts it short.
        timeout: Duration,
        /// It begins within this time or not at all: a repeat past its window would run a second time. `None` where nothing
        /// but the time-out bounds it.
        begin_within: Option<Duration>,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        id: RequestId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// Final answer: not done, and safe to try again.
    Refuse {
        /// The request.
        id: RequestId,
        /// How long the client should stay away; zero for no advice.
        retry_after: Duration,
    },
    /// Final answer: failed, with no word on whether it ran.
    Fail {
        /// The request.
        id: RequestId,
    },
    /// Deliver [`Event::Timer`] after this time.
    Wake {
        /// From now.
        after: Duration,
    },
    /// Probe a server.
    Probe {
        /// Which.
        server: ServerId,
    },
    /// Close the idle connections to a server.
    Close {
        /// Which.
        server: ServerId,
    },
    /// Ask discovery to push changes.
    Follow,
    /// A line for whoever is on call.
    Log(String),
}
