//! The `Retry-After` of a rejected request.

use super::circuit_breaker::BreakerState;
use crate::settings::RequestClass;
use crate::time::Timestamp;
use std::time::Duration;

/// Time to wait where another node may have capacity at once, as a fraction of the latency objective.
const OBJECTIVE_FRACTION: f64 = 0.02;

/// The time that a rejected client should stay away: while the breaker of the origin is open, until it admits
/// its first trial; otherwise shortly, since its next request is likely to reach another node, which may have
/// capacity.
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
