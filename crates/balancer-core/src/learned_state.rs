//! The state that a process has learned, as plain data for its successor. It contains ages and remaining
//! times instead of timestamps, since the successor's clock may have a different origin.
//!
//! Requests in flight are not included: the process that sent them receives their results.
//! `balance/learned_state.rs` converts between this state and the balancer's.

use crate::time::Timestamp;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The state that a balancer has learned, for its successor. Times are in microseconds unless stated
/// otherwise.
///
/// Processes of other versions read and write this state, so the serialized names must not change.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LearnedState {
    pub(crate) servers: Vec<LearnedServer>,
    pub(crate) kinds: Vec<LearnedKind>,
    /// Mean latency of the answers of each class, in seconds.
    #[serde(rename = "usual")]
    pub(crate) mean_latency: Vec<(String, f64)>,
    /// Mean expected work of a request, in seconds.
    #[serde(rename = "usual_work")]
    pub(crate) mean_work: f64,
    /// Circuit breaker of the origin.
    pub(crate) origin: LearnedBreaker,
    /// Keys, each with whether its last answer came from its server's cache.
    #[serde(rename = "kept")]
    pub(crate) cached_keys: Vec<(u64, bool)>,
    /// Marks of the keys that servers have answered, of the current and the previous generation.
    #[serde(rename = "warm")]
    pub(crate) cache_marks: [Vec<u64>; 2],
    /// Age of the current generation.
    #[serde(rename = "warm_age")]
    pub(crate) cache_marks_age: u64,
    /// Limit on probable misses in flight, in requests; `None` if there is no limit.
    pub(crate) fetch_limit: Option<f64>,
    /// Counts of all attempts and of failed attempts: first for attempts that were not probable misses, then
    /// for probable misses.
    #[serde(rename = "ends")]
    pub(crate) attempt_counts: [(f64, f64); 2],
    /// Number of recent answers that indicate no queue.
    #[serde(rename = "good")]
    pub(crate) prompt_answers: f64,
    /// Level of admission control; `None` if everything is admitted.
    #[serde(rename = "door")]
    pub(crate) admission_level: Option<f64>,
    /// Balance of the retry budget, in retries.
    pub(crate) retry_budget: f64,
}

/// The state learned about one server.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct LearnedServer {
    pub(crate) id: String,
    /// Start of the incarnation that this state refers to, on the clock of the endpoint list.
    #[serde(rename = "started")]
    pub(crate) started_at: Option<u64>,
    pub(crate) breaker: LearnedBreaker,
    /// Breakers of the classes at this server, each with the name of its class.
    #[serde(rename = "by_class")]
    pub(crate) class_breakers: Vec<(String, LearnedBreaker)>,
    /// Number of requests sent in the last overload window while the server warms up.
    #[serde(rename = "used")]
    pub(crate) warm_up_sends: u32,
    /// Limit on requests in flight.
    #[serde(rename = "limit")]
    pub(crate) concurrency_limit: f64,
    /// Time since the server last reported an empty queue.
    #[serde(rename = "unqueued_age")]
    pub(crate) empty_queue_age: Option<u64>,
}

/// The state learned about one kind of server.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct LearnedKind {
    pub(crate) name: Option<String>,
    /// Mean logarithm of the latency divided by the expected work.
    #[serde(rename = "pace")]
    pub(crate) log_relative_latency: f64,
    /// Number of answers in the mean.
    pub(crate) answers: f64,
}

/// State of a circuit breaker.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct LearnedBreaker {
    /// Remaining time of the cooldown; `None` for a closed breaker and 0 for a half-open one, whose trials
    /// start over.
    #[serde(rename = "open_left")]
    pub(crate) open_remaining: Option<u64>,
    #[serde(rename = "window_left")]
    pub(crate) window_remaining: u64,
    pub(crate) calls: u32,
    pub(crate) failures: u32,
    #[serde(rename = "usual")]
    pub(crate) previous_window_calls: u32,
}

/// Largest count that is restored. No balancer counts this far.
pub(crate) const MAX_COUNT: u32 = 1 << 30;
/// Largest number of any other kind that is restored.
pub(crate) const MAX_VALUE: f64 = MAX_COUNT as f64;

/// Converts a duration to microseconds.
pub(crate) fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

/// Clamps a restored number to the range from 0 to `max`. Returns 0 for a number that is not finite.
pub(crate) fn non_negative(number: f64, max: f64) -> f64 {
    if number.is_finite() {
        number.clamp(0.0, max)
    } else {
        0.0
    }
}

/// Returns the time `age` microseconds before `now`.
pub(crate) fn timestamp_from_age(now: Timestamp, age: u64) -> Timestamp {
    Timestamp::from_micros(now.as_micros().saturating_sub(age))
}
