//! Start-up settings of a node: the classes of requests, the tenants, and what the platform promises and forbids.

use crate::names::Name;
use std::time::Duration;

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
