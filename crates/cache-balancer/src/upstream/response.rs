//! Sends a request on a connection and reads the response.

use super::attempt::AttemptResult;
use super::limit::ConnectionLimit;
use super::MAX_BODY_BYTES;
use crate::message_body::{read_body, BodyError, BodyMemory, MessageBody};
use balancer_core::memory_budget::MemoryUse;
use balancer_core::platform::read_load_report;
use balancer_core::{AttemptStatus, CacheResult, LoadReport};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use hyper::header::{HeaderMap, HeaderName};
use hyper::{Request, Response, StatusCode};

/// The header that is `1` if the server declined the request unprocessed because its queue is full.
const DECLINED: HeaderName = HeaderName::from_static("srv-declined");
/// The header with the server's load report.
const LOAD: HeaderName = HeaderName::from_static("srv-load");
/// The header that reports whether the server had the key cached.
const CACHE: HeaderName = HeaderName::from_static("srv-cache");

/// The outcome of a request whose response head was received.
pub(super) struct Exchange {
    pub(super) result: AttemptResult,
    /// Whether the connection may be reused for another request.
    pub(super) reusable: bool,
}

/// Sends a request and reads its response. Fails if the connection breaks before the response is complete.
pub(super) async fn exchange(
    sender: &mut SendRequest<Full<MessageBody>>,
    request: Request<Full<MessageBody>>,
    limit: &ConnectionLimit,
) -> Result<Exchange, hyper::Error> {
    let response = sender.send_request(request).await?;
    let status = attempt_status(&response);
    let cache_result = cache_result(response.headers());
    let load = load_report(response.headers());
    // The request was executed, but its response cannot be forwarded.
    let without_body = |status| Exchange {
        result: AttemptResult { status, cache_result, load, body: None },
        reusable: false,
    };
    let make_room = || limit.make_room();
    let memory = BodyMemory { account: limit.memory(), purpose: MemoryUse::Response, make_room };
    match read_body(response.into_body(), MAX_BODY_BYTES, memory).await {
        Ok(body) => {
            let body = (status == AttemptStatus::Ok).then_some(body);
            Ok(Exchange { result: AttemptResult { status, cache_result, load, body }, reusable: true })
        }
        Err(BodyError::TooLarge { .. }) => Ok(without_body(AttemptStatus::Failed)),
        // This node gives the attempt up, which is not the server's fault.
        Err(BodyError::NoMemory(_)) => Ok(without_body(AttemptStatus::Canceled)),
        Err(BodyError::Incomplete(broken)) => Err(broken),
    }
}

fn attempt_status(response: &Response<Incoming>) -> AttemptStatus {
    let declined = response.headers().get(DECLINED).is_some_and(|value| value == "1");
    match response.status() {
        StatusCode::OK => AttemptStatus::Ok,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if declined => AttemptStatus::QueueFull,
        _ => AttemptStatus::Failed,
    }
}

fn cache_result(headers: &HeaderMap) -> Option<CacheResult> {
    match header_text(headers, &CACHE)? {
        "hit" => Some(CacheResult::Hit),
        "miss" => Some(CacheResult::Miss),
        "pending" => Some(CacheResult::MissFetchPending),
        _ => None,
    }
}

fn load_report(headers: &HeaderMap) -> LoadReport {
    header_text(headers, &LOAD).map_or_else(LoadReport::default, |text| read_load_report(text, '='))
}

fn header_text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}
