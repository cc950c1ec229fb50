//! Requests of clients, and how the attempts to serve them end.

use crate::names::{RequestId, ServerId};
use crate::settings::{ClassId, TenantId};
use crate::time::Timestamp;
use std::time::Duration;

/// A request from a client. It is owed exactly one final answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Its class; `None` for one the settings do not name.
    pub class: Option<ClassId>,
    /// Its tenant.
    pub tenant: Option<TenantId>,
    /// The object it is about.
    pub key: Option<u64>,
    /// When the client gives this try up.
    pub valid_until: Timestamp,
    /// Rough forecast of its work, as time on a standard core.
    pub expected_work: Option<Duration>,
    /// Whether it changes the object.
    pub write: bool,
    /// Whether it is marked as a client's repeat.
    pub client_retry: bool,
}

impl Request {
    /// A read of an unnamed class, to be answered before `valid_until`.
    pub fn new(id: &str, valid_until: Timestamp) -> Self {
        Self {
            id: id.into(),
            class: None,
            tenant: None,
            key: None,
            valid_until,
            expected_work: None,
            write: false,
            client_retry: false,
        }
    }
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// Served.
    Ok,
    /// The server answered with an error; the request may have run.
    Failed,
    /// Turned away unseen; it never ran.
    QueueFull,
    /// No answer in time; it may have run or still run.
    TimedOut,
    /// No connection; it never ran.
    ConnectError,
    /// The connection broke; it may have run.
    Reset,
    /// Cancelled by this node; it may have run.
    Canceled,
    /// Never sent.
    Ignored,
    /// The server holds no value for the key; it never ran.
    Miss,
}

impl Status {
    /// Whether this outcome proves that the request never ran.
    pub const fn never_ran(self) -> bool {
        matches!(self, Self::QueueFull | Self::ConnectError | Self::Ignored | Self::Miss)
    }
}

/// What a server says of its load; `None` where it says nothing.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Recent service time without waiting.
    pub service_time: Option<Duration>,
    /// How busy its cores are, 0 to 1.
    pub busy: Option<f64>,
    /// Requests that wait for a core.
    pub waiting: Option<f64>,
}

/// What a cache server says of how it came by an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Note {
    /// It held the value.
    Hit,
    /// It did not.
    Miss,
    /// It did not, and has told another request to fetch it.
    MissFetching,
}

/// The end of one attempt; every `Send` gets exactly one.
#[derive(Clone, Debug, PartialEq)]
pub struct Outcome {
    /// The request.
    pub id: RequestId,
    /// Number of the attempt, from 0 in the order of sending.
    pub attempt: u32,
    /// The server.
    pub server: ServerId,
    /// How it ended.
    pub status: Status,
    /// Where the answer came from.
    pub note: Option<Note>,
    /// Time since it was sent.
    pub took: Duration,
    /// The request has its final answer.
    pub finished: bool,
    /// The server's load.
    pub load: LoadReport,
}
