//! What goes into a [`Balancer`](crate::Balancer) and what comes out: settings, events, actions.

use crate::balance::Knowledge;
use std::fmt;
use std::ops::Add;
use std::sync::Arc;
use std::time::Duration;

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(Arc<str>);
        impl $name {
            /// The name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }
        impl From<&str> for $name {
            fn from(name: &str) -> Self {
                Self(name.into())
            }
        }
        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

name_type!(/// A server, by the name the caller knows it under; cheap to clone.
    ServerId);
name_type!(/// A request, by a name that is never used twice; cheap to clone.
    RequestId);
name_type!(/// Name of a zone, a kind of machine, a class or a tenant; compared, never interpreted.
    Name);

/// A point on the caller's clock, in microseconds from any origin; the clock must not run backwards.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Timestamp(u64);

impl Timestamp {
    /// From a count of microseconds.
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }
    /// As a count of microseconds.
    pub const fn as_micros(self) -> u64 {
        self.0
    }
    /// Time since `earlier`; zero where that lies ahead.
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Timestamp {
    type Output = Self;
    fn add(self, time: Duration) -> Self {
        Self(self.0.saturating_add(u64::try_from(time.as_micros()).unwrap_or(u64::MAX)))
    }
}

/// Position of a class in [`Settings::classes`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClassId(pub usize);

/// Position of a tenant in [`Settings::tenants`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TenantId(pub usize);

/// Which servers discard a repeat of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// Any server does.
    All,
    /// Those of the zone the request was first sent to.
    Zone,
    /// Those of the cell the request was first sent to.
    Cell,
}

/// What running a request twice would do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// No harm.
    Safe,
    /// No harm within `scope` for `window` from the first send that may have run.
    Keyed {
        /// The servers that discard repeats.
        scope: Scope,
        /// For how long they do.
        window: Duration,
    },
    /// Harm: it must never run twice.
    Unsafe,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Its name.
    pub name: Name,
    /// What a repeat does.
    pub effect: Effect,
    /// Answers within this time are worth most.
    pub aim: Duration,
    /// Clients give up for good after this time.
    pub deadline: Duration,
    /// What an answer is worth.
    pub worth: f64,
    /// Share of the worth that an answer after the aim still has.
    pub late_worth: f64,
}

impl Default for Class {
    /// The most careful class: never repeated.
    fn default() -> Self {
        Self {
            name: "".into(),
            effect: Effect::Unsafe,
            aim: Duration::from_millis(500),
            deadline: Duration::from_secs(1),
            worth: 1.0,
            late_worth: 0.0,
        }
    }
}

/// A tenant and its share.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Its name.
    pub name: Name,
    /// Requests a second, over all nodes, that are within its share.
    pub quota_per_s: f64,
}

/// Where missing values come from.
#[derive(Clone, Debug, PartialEq)]
pub enum CacheMode {
    /// Cache servers fetch them and forward writes.
    Through,
    /// The balancer sends misses and writes to the origin: the list entry of this kind.
    Aside {
        /// Kind of the origin's entry.
        origin_kind: Name,
    },
}

/// Start-up settings. `Default` gives a value for each, for callers that know only some.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Zone of this node.
    pub zone: Option<Name>,
    /// Number of nodes.
    pub nodes: u32,
    /// Classes of requests.
    pub classes: Vec<Class>,
    /// Tenants, if there are any.
    pub tenants: Vec<Tenant>,
    /// Worth of a request over its tenant's share, as a part of its class's.
    pub over_share_worth: f64,
    /// Where missing values come from.
    pub mode: CacheMode,
    /// Whether the weights of servers tell their speed, and not just how many cores they have.
    pub sized: bool,
    /// Whether the list must be asked for (`Follow`) rather than pushed.
    pub must_follow: bool,
    /// Whether the list tells when servers started. Where it does not, one that comes to it later is taken for fresh.
    pub starts_told: bool,
    /// Attempts a request may have.
    pub max_attempts: u32,
    /// Whether two attempts of a request may be out at once.
    pub second_copies: bool,
    /// Whether attempts may be cancelled.
    pub cancelling: bool,
    /// Whether servers may be probed.
    pub probing: bool,
    /// Longest stay-away advice a client honours; zero where clients are told none.
    pub max_retry_after: Duration,
    /// A new connection not established within this time fails.
    pub connect_timeout: Duration,
    /// Servers close a connection that has stood idle for this long.
    pub keepalive: Duration,
    /// Share of its capacity that a fresh server has at least.
    pub cold_share: f64,
    /// A fresh server is warm after this time.
    pub warm_within: Duration,
    /// A cold server sent more than this multiple of its present capacity falls over.
    pub fall_multiple: f64,
    /// The span over which that is counted.
    pub fall_span: Duration,
    /// Where the list must be asked for: a node that has not asked for this long counts as told of what was listed then,
    /// and four times as long after a call that failed.
    pub ask_within: Duration,
    /// Nothing new may go to a server later than this after it was told to be leaving.
    pub drain_grace: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            zone: None,
            nodes: 1,
            classes: Vec::new(),
            tenants: Vec::new(),
            over_share_worth: 1.0,
            mode: CacheMode::Through,
            sized: true,
            must_follow: false,
            starts_told: true,
            max_attempts: 3,
            second_copies: false,
            cancelling: false,
            probing: false,
            max_retry_after: Duration::ZERO,
            connect_timeout: Duration::from_millis(250),
            keepalive: Duration::from_secs(15),
            cold_share: 0.3,
            warm_within: Duration::from_secs(10),
            fall_multiple: 2.0,
            fall_span: Duration::from_secs(1),
            ask_within: Duration::from_secs(10),
            drain_grace: Duration::from_millis(500),
        }
    }
}

/// What discovery says of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    /// Takes work.
    Ready,
    /// Finishes its work and must be sent no more.
    Draining,
    /// Removed.
    Gone,
}

/// One server, as discovery lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerEntry {
    /// Its id.
    pub id: ServerId,
    /// Its zone.
    pub zone: Option<Name>,
    /// Its kind.
    pub kind: Option<Name>,
    /// The small group it shares its memory of repeats with.
    pub cell: u64,
    /// Whether it takes work.
    pub availability: Availability,
    /// Its size, for comparison with other servers.
    pub weight: f64,
    /// When it last started; `None` for long ago.
    pub started: Option<Timestamp>,
}

impl ServerEntry {
    /// A ready server of weight 1 that started long ago.
    pub fn new(id: &str) -> Self {
        Self {
            id: id.into(),
            zone: None,
            kind: None,
            cell: 0,
            availability: Availability::Ready,
            weight: 1.0,
            started: None,
        }
    }
}

/// Word from discovery.
#[derive(Clone, Debug, PartialEq)]
pub enum ServerList {
    /// The complete list: what it lacks is gone.
    Full(Arc<[ServerEntry]>),
    /// Entries that changed.
    Changes(Arc<[ServerEntry]>),
    /// A call failed or the subscription broke; the list held stays.
    Unavailable,
}

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
