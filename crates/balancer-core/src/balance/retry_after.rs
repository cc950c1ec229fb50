//! The `Retry-After` of a rejected request.

use super::circuit_breaker::BreakerState;
use crate::settings::RequestClass;
use crate::time::Timestamp;
use std::time::Duration;

/// Time to wait if another node may already have capacity, as a fraction of the latency objective.
const OBJECTIVE_FRACTION: f64 = 0.02;

/// Returns the time that a rejected client should wait before it retries. While the origin's breaker is open,
/// the client waits until the breaker admits its first trial. Otherwise the wait is short, because the retry
/// is likely to reach another node, which may have capacity.
pub fn retry_after(
    origin: BreakerState,
    class: &RequestClass,
    max_retry_after: Duration,
    now: Timestamp,
) -> Duration {
    let wait = match origin {
        BreakerState::Open { until } => until.since(now),
        BreakerState::Closed | BreakerState::HalfOpen { .. } => {
            class.latency_objective.mul_f64(OBJECTIVE_FRACTION)
        }
    };
    wait.min(max_retry_after)
}
