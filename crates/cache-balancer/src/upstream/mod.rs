//! Connections to cache servers and the attempts on them.
//!
//! [`Upstream`] holds the connections of a pool. [`Upstream::attempt`] forwards a [`ForwardedRequest`] to one
//! server and returns an [`AttemptResult`]. The protocol is HTTP/1.1, with one request at a time on each
//! connection.

mod attempt;
mod connection;
mod idle;
mod limit;
mod message;
mod pool;
mod response;

pub use attempt::AttemptResult;
pub use limit::ConnectionLimit;
pub use message::{
    ForwardedRequest, InFlightIds, ResponsePending, StartCondition, IDEMPOTENCY_KEY, REQ_DEADLINE, REQ_ID,
};
pub use pool::Upstream;

/// Maximum size of a request body or a response body, in bytes.
pub const MAX_BODY_BYTES: usize = 64 << 10;

#[cfg(test)]
mod tests;
