//! What the node's parts tell the driver, and how it answers them.

use crate::endpoint_list::EndpointList;
use crate::upstream::{Ended, Message};
use balancer_core::{ClassId, LearnedState, RequestId, Settings, TenantId};
use bytes::Bytes;
use std::collections::BTreeSet;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// A client's request, read whole.
#[derive(Debug)]
pub struct Taken {
    /// A number that is never used twice: a client's own id might come again.
    pub ticket: u64,
    pub at: Instant,
    /// How long the client waits.
    pub patience: Duration,
    pub class: ClassId,
    pub tenant: Option<TenantId>,
    pub key: Option<u64>,
    pub expected_work: Option<Duration>,
    pub write: bool,
    pub client_retry: bool,
    pub message: Message,
    pub answer: oneshot::Sender<Answer>,
}

/// The final answer to a request.
#[derive(Debug)]
pub enum Answer {
    /// The body of the cache server's answer.
    Served(Bytes),
    /// Not done and safe to ask again.
    Refused { retry_after: Duration },
    /// Not done, or not known.
    Failed,
}

/// What the node's other parts tell the driver.
#[derive(Debug)]
pub enum Input {
    Taken(Box<Taken>),
    /// The client of this ticket has gone.
    Left(u64),
    Ended {
        id: RequestId,
        attempt: u32,
        ended: Ended,
    },
    Listing(EndpointList),
    ListingFailed,
    /// Servers that an answer says are leaving, of which no list has been taken, or not yet.
    Leaving(BTreeSet<String>),
    /// Other settings hold for what is taken from here on.
    Reconfigured(Box<Settings>),
    /// What the process knew whose place this one takes. It comes before the first request.
    Recalled(Box<(EndpointList, LearnedState)>),
    /// What is known by now is wanted.
    Report(oneshot::Sender<(EndpointList, LearnedState)>),
    /// Nothing more is taken: the driver ends once all that it has is finished.
    Retired,
    /// Whether the driver still does its work: it answers.
    Alive(oneshot::Sender<()>),
}
