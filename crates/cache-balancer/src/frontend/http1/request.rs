//! Parses and validates the path, headers and body of a request.

use super::response::{self, HttpResponse};
use super::routes::Routes;
use crate::frontend::connections::TrackedConnection;
use crate::input::DriverInput;
use crate::memory::MemoryAccount;
use crate::message_body::{self, BodyError, BodyMemory, MessageBody};
use crate::upstream::{IDEMPOTENCY_KEY, MAX_BODY_BYTES, REQ_DEADLINE, REQ_ID};
use balancer_core::memory_budget::MemoryUse;
use balancer_core::{ClassId, TenantId};
use hyper::body::Incoming;
use hyper::header::{HeaderName, HeaderValue, ALLOW, TRANSFER_ENCODING};
use hyper::http::request::Parts;
use hyper::http::uri::PathAndQuery;
use hyper::{HeaderMap, Method, StatusCode};
use std::hash::{DefaultHasher, Hasher};
use std::str::FromStr;
use std::time::Duration;
use thiserror::Error;
use tokio::sync::mpsc::UnboundedSender;

/// Header that names the request class.
const REQ_KIND: HeaderName = HeaderName::from_static("req-kind");
/// Header that names the tenant.
const REQ_OWNER: HeaderName = HeaderName::from_static("req-owner");
/// Header that is `1` if the request is a client's retry.
const REQ_RETRY: HeaderName = HeaderName::from_static("req-retry");
/// Header with the service time that the client expects, in microseconds.
const REQ_COST: HeaderName = HeaderName::from_static("req-cost");
/// The headers that the node reads.
const USED_HEADERS: [HeaderName; 7] =
    [REQ_ID, REQ_KIND, REQ_OWNER, REQ_RETRY, REQ_COST, REQ_DEADLINE, IDEMPOTENCY_KEY];
const API_PREFIX: &str = "/api/";

/// Reason why a request is rejected as invalid. The display text is the body of the response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(super) enum RequestError {
    /// The request target has no path.
    #[error("no path")]
    NoPath,
    /// The path is neither the health check nor the path of a key.
    #[error("no such path")]
    UnknownPath,
    /// The path does not support the method.
    #[error("no such method")]
    MethodNotAllowed {
        /// The supported methods, as the value of the `Allow` header.
        allowed: &'static str,
    },
    /// The request has a `Transfer-Encoding` header.
    #[error("a body needs a Content-Length")]
    LengthRequired,
    /// A header is missing or invalid.
    #[error(transparent)]
    Head(#[from] HeadError),
    /// The body is longer than [`MAX_BODY_BYTES`].
    #[error("the body is larger than 64 KiB")]
    BodyTooLarge,
    /// The body ended before its `Content-Length`.
    #[error("the body broke off")]
    BodyIncomplete,
    /// There is no memory or connection left for a request that arrives slowly.
    #[error("refused: try again later")]
    Rejected {
        /// The time after which another request has had its time.
        retry_after: Duration,
    },
    /// Another request with the same id is in flight.
    #[error("Req-Id is open already")]
    IdInFlight,
}

/// Reason why the headers of a request are rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(super) enum HeadError {
    /// The named header is missing.
    #[error("no {0}")]
    Missing(&'static str),
    /// The named header's value does not occur in the configuration.
    #[error("unknown {0}")]
    Unknown(&'static str),
    /// The named header's value is not a number within the accepted range.
    #[error("unreadable {0}")]
    InvalidNumber(&'static str),
    /// The value of a header is not visible ASCII text.
    #[error("unreadable header")]
    NotText,
    /// A header occurs more than once.
    #[error("a header stands twice")]
    Repeated,
}

impl RequestError {
    fn status(self) -> StatusCode {
        match self {
            Self::NoPath | Self::Head(_) | Self::BodyIncomplete => StatusCode::BAD_REQUEST,
            Self::UnknownPath => StatusCode::NOT_FOUND,
            Self::MethodNotAllowed { .. } => StatusCode::METHOD_NOT_ALLOWED,
            Self::LengthRequired => StatusCode::LENGTH_REQUIRED,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::IdInFlight => StatusCode::CONFLICT,
            Self::Rejected { .. } => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// Builds the response to the client. `max_retry_after` is the longest `Retry-After`.
    pub(super) fn response(self, max_retry_after: Duration) -> HttpResponse {
        if let Self::Rejected { retry_after } = self {
            return response::rejected(retry_after.min(max_retry_after));
        }
        let mut response = response::text(self.status(), self.to_string());
        if let Self::MethodNotAllowed { allowed } = self {
            response.headers_mut().insert(ALLOW, HeaderValue::from_static(allowed));
        }
        response
    }
}

/// The parsed headers of a request.
pub(super) struct RequestHead {
    /// The id that the client assigned to the request.
    pub(super) id: HeaderValue,
    pub(super) idempotency_key: Option<HeaderValue>,
    pub(super) metadata: RequestMetadata,
}

/// Attributes of a request that the balancing decisions use.
pub(super) struct RequestMetadata {
    /// Time limit of the client, at most the deadline of its class.
    pub(super) client_timeout: Duration,
    pub(super) class: ClassId,
    /// The input queue of the driver of the class's pool.
    pub(super) driver_inputs: UnboundedSender<DriverInput>,
    pub(super) tenant: Option<TenantId>,
    pub(super) expected_work: Option<Duration>,
    pub(super) client_retry: bool,
}

impl RequestHead {
    /// Parses the headers, and looks up class and tenant in `routes`.
    pub(super) fn read(routes: &Routes, headers: &HeaderMap) -> Result<Self, HeadError> {
        let id = single_header(headers, &REQ_ID)?
            .filter(|id| !id.is_empty())
            .ok_or(HeadError::Missing("Req-Id"))?;
        let class = header_text(headers, &REQ_KIND)?.ok_or(HeadError::Missing("Req-Kind"))?;
        let class = routes.class(class).ok_or(HeadError::Unknown("Req-Kind"))?;
        let tenant = read_tenant(routes, headers)?;
        // 32 bits of milliseconds are under 50 days, which can be added to an `Instant` without overflow.
        let deadline_ms: u32 = header_number(headers, &REQ_DEADLINE, "Req-Deadline-Ms")?
            .ok_or(HeadError::Missing("Req-Deadline-Ms"))?;
        let expected_work_us: Option<u32> = header_number(headers, &REQ_COST, "Req-Cost")?;
        Ok(Self {
            id: id.clone(),
            idempotency_key: single_header(headers, &IDEMPOTENCY_KEY)?.cloned(),
            metadata: RequestMetadata {
                // Capped, because the node keeps the request's body and connection for this time.
                client_timeout: Duration::from_millis(deadline_ms.into()).min(class.deadline),
                class: class.id,
                driver_inputs: class.driver_inputs.clone(),
                tenant,
                expected_work: expected_work_us.map(|us| Duration::from_micros(us.into())),
                client_retry: header_text(headers, &REQ_RETRY)? == Some("1"),
            },
        })
    }
}

fn read_tenant(routes: &Routes, headers: &HeaderMap) -> Result<Option<TenantId>, HeadError> {
    let owner = header_text(headers, &REQ_OWNER)?;
    // The header is ignored if the configuration has no tenants.
    if routes.tenants.is_empty() {
        return Ok(None);
    }
    let owner = owner.ok_or(HeadError::Missing("Req-Owner"))?;
    routes.tenant(owner).map(Some).ok_or(HeadError::Unknown("Req-Owner"))
}

/// The parts of a head that the node uses, in memory of their own.
///
/// The parts that hyper returns are slices of its read buffer, which stays allocated as long as one of them.
/// A request holds these parts until its response, and hyper would need another buffer for the body.
pub(super) struct UsedHead {
    pub(super) method: Method,
    pub(super) target: PathAndQuery,
    pub(super) headers: HeaderMap,
}

impl UsedHead {
    /// Copies the used parts of a request's head, and releases the head.
    pub(super) fn copy_from(head: Parts) -> Result<Self, RequestError> {
        let target = head.uri.path_and_query().ok_or(RequestError::NoPath)?;
        let mut headers = HeaderMap::new();
        for name in &USED_HEADERS {
            for value in head.headers.get_all(name) {
                let copied = HeaderValue::from_bytes(value.as_bytes()).map_err(|_| HeadError::NotText)?;
                headers.append(name, copied);
            }
        }
        let target = PathAndQuery::try_from(target.as_str()).map_err(|_| RequestError::NoPath)?;
        Ok(Self { method: head.method, target, headers })
    }
}

/// Returns the value of a header. A header that occurs twice is an error: client and cache server could each
/// use a different one of the two values.
fn single_header<'a>(
    headers: &'a HeaderMap,
    name: &HeaderName,
) -> Result<Option<&'a HeaderValue>, HeadError> {
    let mut values = headers.get_all(name).iter();
    let first = values.next();
    values.next().map_or(Ok(first), |_| Err(HeadError::Repeated))
}

fn header_text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Result<Option<&'a str>, HeadError> {
    single_header(headers, name)?.map(|value| value.to_str().map_err(|_| HeadError::NotText)).transpose()
}

fn header_number<T: FromStr>(
    headers: &HeaderMap,
    name: &HeaderName,
    display_name: &'static str,
) -> Result<Option<T>, HeadError> {
    let parse = |text: &str| text.parse().map_err(|_| HeadError::InvalidNumber(display_name));
    header_text(headers, name)?.map(parse).transpose()
}

/// Checks the method, and rejects a `Transfer-Encoding`.
///
/// hyper drops a `Content-Length` beside a `Transfer-Encoding`. If the two disagree, two parsers can see
/// different ends of the body, and one of them can read a second request in it (request smuggling).
pub(super) fn check_method_and_framing(head: &Parts) -> Result<(), RequestError> {
    if head.method != Method::GET && head.method != Method::PUT {
        return Err(RequestError::MethodNotAllowed { allowed: "GET, PUT" });
    }
    if head.headers.contains_key(TRANSFER_ENCODING) {
        return Err(RequestError::LengthRequired);
    }
    Ok(())
}

/// Reads the whole body, up to [`MAX_BODY_BYTES`], unless the request is rejected meanwhile.
pub(super) async fn read_body(
    body: Incoming,
    connection: &TrackedConnection,
    account: &MemoryAccount,
) -> Result<MessageBody, RequestError> {
    let make_room = || connection.make_room();
    let memory = BodyMemory { account, purpose: MemoryUse::Request, make_room };
    let read = tokio::select! {
        biased;
        retry_after = connection.rejected() => return Err(RequestError::Rejected { retry_after }),
        read = message_body::read_body(body, MAX_BODY_BYTES, memory) => read,
    };
    read.map_err(|error| match error {
        BodyError::TooLarge { .. } => RequestError::BodyTooLarge,
        BodyError::NoMemory(_) => RequestError::Rejected { retry_after: connection.retry_after() },
        BodyError::Incomplete(_) => RequestError::BodyIncomplete,
    })
}

/// Returns the key in the last segment of a path, or `None` if the path contains none. A key is a 64-bit
/// number in hexadecimal. Any other name is hashed, with the same result on every node.
pub(super) fn key_from_path(path: &str) -> Option<u64> {
    let name = path.strip_prefix(API_PREFIX)?.rsplit('/').next().filter(|name| !name.is_empty())?;
    Some(u64::from_str_radix(name, 16).unwrap_or_else(|_| {
        let mut hasher = DefaultHasher::new();
        hasher.write(name.as_bytes());
        hasher.finish()
    }))
}

#[cfg(test)]
mod tests;
