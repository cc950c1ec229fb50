//! Builds the responses to clients.

use crate::input::FinalResponse;
use crate::message_body::MessageBody;
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HeaderValue, CONNECTION, CONTENT_LENGTH, RETRY_AFTER};
use hyper::{Response, StatusCode};
use std::time::Duration;

/// The body of the response to a rejected request.
const REJECTED: &str = "refused: try again later";

/// An HTTP response to a client.
pub(super) type HttpResponse = Response<Full<MessageBody>>;

/// Builds a response with a text of the node itself as its body.
pub(super) fn text(status: StatusCode, text: impl Into<Bytes>) -> HttpResponse {
    let mut response = Response::new(Full::new(MessageBody::from_iter([text.into()])));
    *response.status_mut() = status;
    response
}

/// Converts the driver's final response to HTTP.
pub(super) fn from_final(response: FinalResponse) -> HttpResponse {
    match response {
        FinalResponse::Served(body) => Response::new(Full::new(body)),
        FinalResponse::Rejected { retry_after } => rejected(retry_after),
        FinalResponse::Failed => text(StatusCode::BAD_GATEWAY, "failed"),
    }
}

/// Builds the response to a request that was not executed and may be sent again after this time.
pub(super) fn rejected(retry_after: Duration) -> HttpResponse {
    let mut response = text(StatusCode::SERVICE_UNAVAILABLE, REJECTED);
    if let Ok(seconds) = HeaderValue::try_from(seconds(retry_after)) {
        response.headers_mut().insert(RETRY_AFTER, seconds);
    }
    response
}

/// Formats the same response for a connection on which no request has been parsed.
pub(super) fn rejected_text(retry_after: Duration) -> String {
    format!(
        "HTTP/1.1 {}\r\n{RETRY_AFTER}: {}\r\n{CONNECTION}: close\r\n{CONTENT_LENGTH}: {}\r\n\r\n{REJECTED}",
        StatusCode::SERVICE_UNAVAILABLE,
        seconds(retry_after),
        REJECTED.len()
    )
}

fn seconds(time: Duration) -> String {
    format!("{:.3}", time.as_secs_f64())
}
