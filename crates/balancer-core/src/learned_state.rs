//! What one life of a balancer learned, for the next one that takes its place: plain data, with ages and times left in
//! place of points on a clock, since the next one's clock may be another.
//!
//! Requests in flight are not part of it: the process that sent them learns of their end. Conversion from and to the
//! balancer's state is in `balance/learned_state.rs`.

use crate::time::Timestamp;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// What a balancer has learned, for its successor. Times are in microseconds.
///
/// Processes of other versions read and write it, so serialised names stay as they are.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LearnedState {
    pub(crate) servers: Vec<KnownServer>,
    pub(crate) kinds: Vec<KnownKind>,
    /// By class: what its answers take, in seconds.
    #[serde(rename = "usual")]
    pub(crate) mean_latency: Vec<(String, f64)>,
    #[serde(rename = "usual_work")]
    pub(crate) mean_work: f64,
    pub(crate) origin: KnownBreaker,
    /// Keys, and whether the last answer to each came from its server's cache.
    #[serde(rename = "kept")]
    pub(crate) cached_keys: Vec<(u64, bool)>,
    /// What servers most likely hold, in the present span and the one before, and how long ago that began.
    #[serde(rename = "warm")]
    pub(crate) cache_marks: [Vec<u64>; 2],
    #[serde(rename = "warm_age")]
    pub(crate) cache_marks_age: u64,
    /// `None` where likely misses are not limited.
    pub(crate) fetch_limit: Option<f64>,
    #[serde(rename = "ends")]
    pub(crate) outcomes: [(f64, f64); 2],
    #[serde(rename = "good")]
    pub(crate) prompt_answers: f64,
    /// The level of admission control; `None` where everything is admitted.
    #[serde(rename = "door")]
    pub(crate) admission_level: Option<f64>,
    pub(crate) retry_budget: f64,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct KnownServer {
    pub(crate) id: String,
    pub(crate) started: Option<u64>,
    pub(crate) breaker: KnownBreaker,
    pub(crate) by_class: Vec<(String, KnownBreaker)>,
    /// Sends in the span that counts, during its slow start.
    #[serde(rename = "used")]
    pub(crate) recent_sends: u32,
    pub(crate) limit: f64,
    /// How long ago it last reported an empty queue.
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
    #[serde(rename = "usual")]
    pub(crate) last_window_calls: u32,
}

/// A duration in microseconds.
pub(crate) fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

/// A number that a balancer can work with, whatever was written.
pub(crate) fn sound(number: f64, most: f64) -> f64 {
    if number.is_finite() {
        number.clamp(0.0, most)
    } else {
        0.0
    }
}

/// The time that lies `age` microseconds before `now`.
pub(crate) fn ago(now: Timestamp, age: u64) -> Timestamp {
    Timestamp::from_micros(now.as_micros().saturating_sub(age))
}
