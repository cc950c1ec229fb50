//! The behaviour of clients: request timeouts, disconnects and retries. Times are relative to the start of
//! the run.

use crate::random::RandomSource;
use crate::script::Script;
use crate::workload::Operation;
use std::time::Duration;

/// An operation with less time left than this is not retried, because clients send their timeout in whole
/// milliseconds.
const MIN_TIMEOUT: Duration = Duration::from_millis(1);

/// Returns the time that a client waits for the answer to a request that it sends now.
pub fn request_timeout(script: &Script, operation: &Operation, now: Duration) -> Duration {
    let deadline = script.classes[operation.class].deadline;
    let timeout = deadline.mul_f64(script.clients.request_timeout_fraction);
    timeout.min((operation.at + deadline).saturating_sub(now))
}

/// Returns the time after which the client of a request disconnects without an answer, or `None` if it waits
/// for the timeout. `random` is the request's own source.
pub fn disconnects_after(script: &Script, random: RandomSource, timeout: Duration) -> Option<Duration> {
    let disconnects = random.derive(3).uniform() < script.clients.disconnect_fraction;
    disconnects.then(|| timeout.mul_f64(random.derive(4).uniform()))
}

/// Returns the delay before the retry of a request that was not served, or `None` if the client gives up the
/// operation.
///
/// `ordinal` is the number of the request within the operation, from 0. `retry_after` is the value from the
/// answer, or zero if there is none.
pub fn retry_delay(
    script: &Script,
    operation: &Operation,
    ordinal: u32,
    now: Duration,
    retry_after: Duration,
) -> Option<Duration> {
    let clients = &script.clients;
    let honours_retry_after = operation.random.derive(50).uniform() < clients.retry_after_fraction;
    let delay = if honours_retry_after {
        clients.backoff.max(retry_after.min(clients.max_retry_after))
    } else {
        clients.backoff
    };
    let deadline = operation.at + script.classes[operation.class].deadline;
    let in_time = now + delay + MIN_TIMEOUT < deadline;
    (ordinal < clients.max_retries && in_time).then_some(delay)
}
