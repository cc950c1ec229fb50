//! The forwarded part of a client's request, and the conditions under which an attempt may start.

use crate::message_body::MessageBody;
use http_body_util::Full;
use hyper::header::{HeaderName, HeaderValue, HOST};
use hyper::http::uri::PathAndQuery;
use hyper::{Method, Request, Uri};
use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::time::Instant;

/// The header with the client's request id.
pub const REQ_ID: HeaderName = HeaderName::from_static("req-id");
/// The header with the time that the sender waits for the response, in milliseconds.
pub const REQ_DEADLINE: HeaderName = HeaderName::from_static("req-deadline-ms");
/// The header with the idempotency key of a request.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// The part of a client's request that is forwarded to a cache server.
#[derive(Debug)]
pub struct ForwardedRequest {
    /// The HTTP method.
    pub method: Method,
    /// The path and query.
    pub target: PathAndQuery,
    /// The request id that the client chose.
    pub id: InFlightId,
    /// The client's idempotency key, if the request has one.
    pub idempotency_key: Option<HeaderValue>,
    /// The complete body.
    pub body: MessageBody,
    /// Whether the client is still waiting for the response.
    pub pending: ResponsePending,
}

impl ForwardedRequest {
    /// Builds the HTTP request for an attempt at this address whose response is due by `deadline`.
    pub(super) fn to_http(
        &self,
        address: SocketAddr,
        deadline: Instant,
    ) -> Result<Request<Full<MessageBody>>, hyper::http::Error> {
        let remaining_ms = deadline.saturating_duration_since(Instant::now()).as_millis() as u64;
        let mut request = Request::builder()
            .method(self.method.clone())
            .uri(Uri::from(self.target.clone()))
            .header(HOST, address.to_string())
            .header(REQ_ID, self.id.value.clone())
            .header(REQ_DEADLINE, remaining_ms);
        if let Some(key) = &self.idempotency_key {
            request = request.header(IDEMPOTENCY_KEY, key.clone());
        }
        request.body(Full::new(self.body.clone()))
    }
}

/// A flag that is set while a client is waiting for the final response to its request. The client-facing
/// listener clears it as soon as it detects a disconnect, and a connection reads it right before the first
/// byte of an attempt. The flag is shared rather than sent through a queue, so the change takes effect at
/// once.
#[derive(Clone, Debug)]
pub struct ResponsePending(Rc<Cell<bool>>);

impl ResponsePending {
    /// Creates the flag of a newly accepted request, which is set.
    pub fn new() -> Self {
        Self(Rc::new(Cell::new(true)))
    }

    /// Clears the flag, when the final response is sent or the client has disconnected.
    pub fn clear(&self) {
        self.0.set(false);
    }

    /// Returns whether the client is still waiting.
    pub fn is_set(&self) -> bool {
        self.0.get()
    }
}

/// The ids of requests that have no final response yet or have an attempt in flight.
#[derive(Clone, Debug, Default)]
pub struct InFlightIds(Rc<RefCell<HashSet<HeaderValue>>>);

impl InFlightIds {
    /// Adds an id. Returns `None` if a request with this id is already in flight.
    pub fn insert(&self, value: HeaderValue) -> Option<InFlightId> {
        let is_new = self.0.borrow_mut().insert(value.clone());
        is_new.then(|| InFlightId { value, ids: self.clone() })
    }
}

/// An id in an [`InFlightIds`] set. The id is removed from the set on drop, when the last reference to the
/// request's message is released.
#[derive(Debug)]
pub struct InFlightId {
    value: HeaderValue,
    ids: InFlightIds,
}

impl Drop for InFlightId {
    fn drop(&mut self) {
        self.ids.0.borrow_mut().remove(&self.value);
    }
}

/// The conditions that must hold when the first byte of an attempt is written.
#[derive(Clone, Debug)]
pub struct StartCondition {
    /// The client must still be waiting for the response.
    pub pending: ResponsePending,
    /// The attempt must start before this instant: a retry after the end of the server's deduplication window
    /// would be executed a second time. `None` for an attempt without such a window.
    pub start_by: Option<Instant>,
}

impl StartCondition {
    /// Returns whether the attempt may start now.
    pub fn is_met(&self) -> bool {
        self.pending.is_set() && self.start_by.is_none_or(|start_by| Instant::now() < start_by)
    }

    /// Returns the earlier of `deadline` and the instant before which the attempt must start.
    pub fn limit(&self, deadline: Instant) -> Instant {
        self.start_by.map_or(deadline, |start_by| start_by.min(deadline))
    }
}
