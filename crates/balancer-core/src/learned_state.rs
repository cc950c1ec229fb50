//! What one process has learned, for the successor that takes its place: plain data, with ages and remaining times in
//! place of points in time, since the successor's clock may be another.
//!
//! Requests in flight are not part of it: the process that sent them receives their results. `balance/learned_state.rs`
//! converts from and to the balancer's state.

use crate::time::Timestamp;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// What a balancer has learned, for its successor. Times are in microseconds unless stated otherwise.
///
/// Processes of other versions read and write it, so the serialized names stay as they are.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LearnedState {
    pub(crate) servers: Vec<LearnedServer>,
    pub(crate) kinds: Vec<LearnedKind>,
    /// By class: mean latency of its answers, in seconds.
    #[serde(rename = "usual")]
    pub(crate) mean_latency: Vec<(String, f64)>,
    /// Mean expected work of a request, in seconds.
    #[serde(rename = "usual_work")]
    pub(crate) mean_work: f64,
    /// Breaker of the origin.
    pub(crate) origin: LearnedBreaker,
    /// Keys, and whether the last answer for each came from its server's cache.
    #[serde(rename = "kept")]
    pub(crate) cached_keys: Vec<(u64, bool)>,
    /// Marks of what servers have answered, of the current generation and the one before.
    #[serde(rename = "warm")]
    pub(crate) cache_marks: [Vec<u64>; 2],
    /// Age of the current generation.
    #[serde(rename = "warm_age")]
    pub(crate) cache_marks_age: u64,
    /// Limit of probable misses in flight, in requests; `None` where there is none.
    pub(crate) fetch_limit: Option<f64>,
    /// All and failed attempts: of those that were no probable misses, and of those that were.
    #[serde(rename = "ends")]
    pub(crate) attempt_counts: [(f64, f64); 2],
    /// Recent answers that show no queue.
    #[serde(rename = "good")]
    pub(crate) prompt_answers: f64,
    /// Level of admission control; `None` where everything is admitted.
    #[serde(rename = "door")]
    pub(crate) admission_level: Option<f64>,
    /// Balance of the retry budget, in retries.
    pub(crate) retry_budget: f64,
}

/// What was learned of one server.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct LearnedServer {
    pub(crate) id: String,
    /// Start of the incarnation that this is about, on the clock of discovery's list.
    #[serde(rename = "started")]
    pub(crate) started_at: Option<u64>,
    pub(crate) breaker: LearnedBreaker,
    /// By name of the class.
    #[serde(rename = "by_class")]
    pub(crate) class_breakers: Vec<(String, LearnedBreaker)>,
    /// Requests sent in the last overload window, while it warms up.
    #[serde(rename = "used")]
    pub(crate) warm_up_sends: u32,
    /// In requests.
    #[serde(rename = "limit")]
    pub(crate) concurrency_limit: f64,
    /// Time since it last reported an empty queue.
    #[serde(rename = "unqueued_age")]
    pub(crate) empty_queue_age: Option<u64>,
}

/// What was learned of one kind of server.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct LearnedKind {
    pub(crate) name: Option<String>,
    /// Mean logarithm of the latency divided by the expected work.
    #[serde(rename = "pace")]
    pub(crate) log_relative_latency: f64,
    /// Number of answers that the mean is taken over.
    pub(crate) answers: f64,
}

/// State of a circuit breaker.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct LearnedBreaker {
    /// Remaining time of its cooldown; `None` while it is closed. A half-open one has none left: its trials start over.
    #[serde(rename = "open_left")]
    pub(crate) open_remaining: Option<u64>,
    #[serde(rename = "window_left")]
    pub(crate) window_remaining: u64,
    pub(crate) calls: u32,
    pub(crate) failures: u32,
    #[serde(rename = "usual")]
    pub(crate) previous_window_calls: u32,
}

/// Largest count that is taken over. No balancer counts as far.
pub(crate) const MAX_COUNT: u32 = 1 << 30;
/// Largest number of any other kind that is taken over.
pub(crate) const MAX_VALUE: f64 = MAX_COUNT as f64;

/// A duration in microseconds.
pub(crate) fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

/// A number from 0 to `max` that a balancer can work with, whatever was written; 0 where it is not finite.
pub(crate) fn non_negative(number: f64, max: f64) -> f64 {
    if number.is_finite() {
        number.clamp(0.0, max)
    } else {
        0.0
    }
}

/// The time that lies `age` microseconds before `now`.
pub(crate) fn timestamp_from_age(now: Timestamp, age: u64) -> Timestamp {
    Timestamp::from_micros(now.as_micros().saturating_sub(age))
}
