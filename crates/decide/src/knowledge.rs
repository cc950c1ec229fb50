//! What one life of a balancer learned, for the next one that takes its place: plain data, with ages and times left in
//! place of points on a clock, since the next one's clock may be another.
//!
//! Requests in flight are not part of it: the process that sent them learns of their end. Conversion from and to the
//! balancer's state is in `balance/knowledge.rs`.

use serde::{Deserialize, Serialize};

/// What a balancer has learned, for its successor. Times are in microseconds.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Knowledge {
    pub(crate) servers: Vec<KnownServer>,
    pub(crate) kinds: Vec<KnownKind>,
    /// By class: what its answers take, in seconds.
    pub(crate) usual: Vec<(String, f64)>,
    pub(crate) usual_work: f64,
    pub(crate) origin: KnownBreaker,
    /// Keys whose last answer was held by its server, or not.
    pub(crate) kept: Vec<(u64, bool)>,
    /// What servers most likely hold, in the present span and the one before, and how long ago that began.
    pub(crate) warm: [Vec<u64>; 2],
    pub(crate) warm_age: u64,
    /// `None` where likely misses are not limited.
    pub(crate) fetch_limit: Option<f64>,
    pub(crate) ends: [(f64, f64); 2],
    pub(crate) good: f64,
    /// Of what is asked for, the part that is let in; `None` where all of it is.
    pub(crate) door: Option<f64>,
    pub(crate) retry_budget: f64,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct KnownServer {
    pub(crate) id: String,
    pub(crate) started: Option<u64>,
    pub(crate) breaker: KnownBreaker,
    pub(crate) by_class: Vec<(String, KnownBreaker)>,
    /// Sends in the span that counts, while it is cold.
    pub(crate) used: u32,
    pub(crate) limit: f64,
    /// How long ago it last told of no queue.
    pub(crate) unqueued_age: Option<u64>,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct KnownKind {
    pub(crate) name: Option<String>,
    pub(crate) pace: f64,
    pub(crate) answers: f64,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct KnownBreaker {
    /// `None` while it is closed. One that was half-open has none left: trials begin anew.
    pub(crate) open_left: Option<u64>,
    pub(crate) window_left: u64,
    pub(crate) calls: u32,
    pub(crate) failures: u32,
    pub(crate) usual: u32,
}
