//! What of a client's request is forwarded, and whether it may still be.

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HeaderName, HeaderValue, HOST};
use hyper::http::uri::PathAndQuery;
use hyper::{Method, Request, Uri};
use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::time::Instant;

/// The id that a client gives its request.
pub const REQ_ID: HeaderName = HeaderName::from_static("req-id");
/// Milliseconds that the sender waits for the response.
pub const REQ_DEADLINE: HeaderName = HeaderName::from_static("req-deadline-ms");
/// The idempotency key of a request.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// The part of a client's request that is forwarded to a cache server.
#[derive(Debug)]
pub struct ForwardedRequest {
    /// The method.
    pub method: Method,
    /// The path and query.
    pub target: PathAndQuery,
    /// The client's id of the request.
    pub id: InFlightId,
    /// The client's idempotency key, if it gave one.
    pub idempotency_key: Option<HeaderValue>,
    /// The whole body.
    pub body: Bytes,
    /// Whether the client waits for its response.
    pub pending: ResponsePending,
}

impl ForwardedRequest {
    /// The HTTP request of an attempt at this address, of which the response is due by `deadline`.
    pub(super) fn to_http(
        &self,
        address: SocketAddr,
        deadline: Instant,
    ) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
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

/// Whether a client still waits for the final response to its request. The front clears it where a client is
/// seen to disconnect, and a connection reads it right before the first byte of an attempt: no queue lies
/// between.
#[derive(Clone, Debug)]
pub struct ResponsePending(Rc<Cell<bool>>);

impl ResponsePending {
    /// That of a request that has just been accepted.
    pub fn new() -> Self {
        Self(Rc::new(Cell::new(true)))
    }

    /// The final response is given, or the client has disconnected.
    pub fn clear(&self) {
        self.0.set(false);
    }

    /// Whether the client still waits.
    pub fn is_set(&self) -> bool {
        self.0.get()
    }
}

/// The ids of requests that lack their final response or have an attempt in flight.
#[derive(Clone, Debug, Default)]
pub struct InFlightIds(Rc<RefCell<HashSet<HeaderValue>>>);

impl InFlightIds {
    /// Adds an id. Returns `None` if a request with this id is in flight.
    pub fn insert(&self, value: HeaderValue) -> Option<InFlightId> {
        let is_new = self.0.borrow_mut().insert(value.clone());
        is_new.then(|| InFlightId { value, ids: self.clone() })
    }
}

/// An id in the set. It is removed when this is dropped, with the last holder of the request's message.
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

/// What must hold when the first byte of an attempt is written.
#[derive(Clone, Debug)]
pub struct StartCondition {
    /// The client must wait for the response.
    pub pending: ResponsePending,
    /// The attempt must start before this instant: a retry past the server's deduplication window would be
    /// carried out a second time. `None` for an attempt without such a window.
    pub start_by: Option<Instant>,
}

impl StartCondition {
    /// Whether an attempt may start now.
    pub fn is_met(&self) -> bool {
        self.pending.is_set() && self.start_by.is_none_or(|start_by| Instant::now() < start_by)
    }

    /// The earlier of `deadline` and the last instant at which the attempt may start.
    pub fn limit(&self, deadline: Instant) -> Instant {
        self.start_by.map_or(deadline, |start_by| start_by.min(deadline))
    }
}
