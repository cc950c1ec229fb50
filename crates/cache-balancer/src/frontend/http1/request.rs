//! Reads a request: its path, headers and body, and what is wrong with them.

use super::response::{self, HttpResponse};
use super::routes::Routes;
use crate::input::DriverInput;
use crate::upstream::{IDEMPOTENCY_KEY, MAX_BODY_BYTES, REQ_DEADLINE, REQ_ID};
use balancer_core::{ClassId, TenantId};
use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderName, HeaderValue, ALLOW, TRANSFER_ENCODING};
use hyper::http::request::Parts;
use hyper::{HeaderMap, Method, StatusCode};
use std::hash::{DefaultHasher, Hasher};
use std::str::FromStr;
use std::time::Duration;
use thiserror::Error;
use tokio::sync::mpsc::UnboundedSender;

/// The request class.
const REQ_KIND: HeaderName = HeaderName::from_static("req-kind");
/// The tenant.
const REQ_OWNER: HeaderName = HeaderName::from_static("req-owner");
/// `1` for a client's retry.
const REQ_RETRY: HeaderName = HeaderName::from_static("req-retry");
/// The service time that the client expects, in microseconds.
const REQ_COST: HeaderName = HeaderName::from_static("req-cost");
const API_PREFIX: &str = "/api/";

/// Why a request is not accepted. The text is the body of the response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(super) enum RequestError {
    /// Its target has no path.
    #[error("no path")]
    NoPath,
    /// There is nothing at its path.
    #[error("no such path")]
    UnknownPath,
    /// Its path has other methods.
    #[error("no such method")]
    MethodNotAllowed {
        /// These, as the `Allow` header lists them.
        allowed: &'static str,
    },
    /// It has a `Transfer-Encoding`.
    #[error("a body needs a Content-Length")]
    LengthRequired,
    /// Its headers are not as expected.
    #[error(transparent)]
    Head(#[from] HeadError),
    /// Its body has more than [`MAX_BODY_BYTES`].
    #[error("the body is larger than 64 KiB")]
    BodyTooLarge,
    /// Its body ended before its announced length.
    #[error("the body broke off")]
    BodyIncomplete,
    /// A request with its id is in flight.
    #[error("Req-Id is open already")]
    IdInFlight,
}

/// What is wrong with the headers of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(super) enum HeadError {
    /// This header is missing.
    #[error("no {0}")]
    Missing(&'static str),
    /// The configuration does not know this header's value.
    #[error("unknown {0}")]
    Unknown(&'static str),
    /// This header is no number in its range.
    #[error("unreadable {0}")]
    InvalidNumber(&'static str),
    /// A header is no text.
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
        }
    }

    /// The response that the client gets.
    pub(super) fn response(self) -> HttpResponse {
        let mut response = response::text(self.status(), self.to_string());
        if let Self::MethodNotAllowed { allowed } = self {
            response.headers_mut().insert(ALLOW, HeaderValue::from_static(allowed));
        }
        response
    }
}

/// The headers of a request.
pub(super) struct RequestHead {
    /// The client's id of the request.
    pub(super) id: HeaderValue,
    pub(super) idempotency_key: Option<HeaderValue>,
    pub(super) terms: RequestTerms,
}

/// What the decisions need to know of a request.
pub(super) struct RequestTerms {
    /// How long the client waits.
    pub(super) client_timeout: Duration,
    pub(super) class: ClassId,
    /// To the driver of the class's pool.
    pub(super) driver: UnboundedSender<DriverInput>,
    pub(super) tenant: Option<TenantId>,
    pub(super) expected_work: Option<Duration>,
    pub(super) client_retry: bool,
}

impl RequestHead {
    /// Reads headers, with the classes and tenants of these routes.
    pub(super) fn read(routes: &Routes, headers: &HeaderMap) -> Result<Self, HeadError> {
        let id = single(headers, &REQ_ID)?.filter(|id| !id.is_empty()).ok_or(HeadError::Missing("Req-Id"))?;
        let class = text(headers, &REQ_KIND)?.ok_or(HeadError::Missing("Req-Kind"))?;
        let class = routes.class(class).ok_or(HeadError::Unknown("Req-Kind"))?;
        let tenant = tenant(routes, headers)?;
        // A number of 32 bits is under 50 days and safe to add to a clock.
        let deadline_ms: u32 = number(headers, &REQ_DEADLINE, "Req-Deadline-Ms")?
            .ok_or(HeadError::Missing("Req-Deadline-Ms"))?;
        let expected_work_us: Option<u32> = number(headers, &REQ_COST, "Req-Cost")?;
        Ok(Self {
            id: id.clone(),
            idempotency_key: single(headers, &IDEMPOTENCY_KEY)?.cloned(),
            terms: RequestTerms {
                // Capped: the node keeps the request's body and connection for this time.
                client_timeout: Duration::from_millis(deadline_ms.into()).min(class.deadline),
                class: class.id,
                driver: class.driver.clone(),
                tenant,
                expected_work: expected_work_us.map(|us| Duration::from_micros(us.into())),
                client_retry: text(headers, &REQ_RETRY)? == Some("1"),
            },
        })
    }
}

fn tenant(routes: &Routes, headers: &HeaderMap) -> Result<Option<TenantId>, HeadError> {
    let owner = text(headers, &REQ_OWNER)?;
    // Where the configuration has no tenants, the header has no meaning.
    if routes.tenants.is_empty() {
        return Ok(None);
    }
    let owner = owner.ok_or(HeadError::Missing("Req-Owner"))?;
    routes.tenant(owner).map(Some).ok_or(HeadError::Unknown("Req-Owner"))
}

/// The value of a header. One that occurs twice is an error: client and server could each go by another one.
fn single<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Result<Option<&'a HeaderValue>, HeadError> {
    let mut values = headers.get_all(name).iter();
    let first = values.next();
    values.next().map_or(Ok(first), |_| Err(HeadError::Repeated))
}

fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Result<Option<&'a str>, HeadError> {
    single(headers, name)?.map(|value| value.to_str().map_err(|_| HeadError::NotText)).transpose()
}

fn number<T: FromStr>(
    headers: &HeaderMap,
    name: &HeaderName,
    display_name: &'static str,
) -> Result<Option<T>, HeadError> {
    let parse = |text: &str| text.parse().map_err(|_| HeadError::InvalidNumber(display_name));
    text(headers, name)?.map(parse).transpose()
}

/// Checks a request's method, and that its body has a length.
///
/// hyper drops a `Content-Length` beside a `Transfer-Encoding`; where the two disagree, the body may hide a
/// second request from one of two parsers.
pub(super) fn check_transfer(head: &Parts) -> Result<(), RequestError> {
    if head.method != Method::GET && head.method != Method::PUT {
        return Err(RequestError::MethodNotAllowed { allowed: "GET, PUT" });
    }
    if head.headers.contains_key(TRANSFER_ENCODING) {
        return Err(RequestError::LengthRequired);
    }
    Ok(())
}

/// Reads a whole body, of at most [`MAX_BODY_BYTES`].
pub(super) async fn read_body(body: Incoming) -> Result<Bytes, RequestError> {
    // One that is announced as too large is not read.
    if body.size_hint().lower() > MAX_BODY_BYTES as u64 {
        return Err(RequestError::BodyTooLarge);
    }
    match Limited::new(body, MAX_BODY_BYTES).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(RequestError::BodyTooLarge),
        Err(_) => Err(RequestError::BodyIncomplete),
    }
}

/// The key that a path names, or `None` if it names none. Keys are 64-bit numbers in hexadecimal; any other
/// name counts as its hash, which is the same at every node.
pub(super) fn key_of(path: &str) -> Option<u64> {
    let name = path.strip_prefix(API_PREFIX)?.rsplit('/').next().filter(|name| !name.is_empty())?;
    Some(u64::from_str_radix(name, 16).unwrap_or_else(|_| {
        let mut hasher = DefaultHasher::new();
        hasher.write(name.as_bytes());
        hasher.finish()
    }))
}

#[cfg(test)]
mod tests;
