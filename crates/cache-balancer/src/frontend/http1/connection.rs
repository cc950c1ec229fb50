//! Serves the requests of one client connection.

use super::forward::forward;
use super::request::{
    check_method_and_framing, key_from_path, read_body, RequestError, RequestHead, UsedHead,
};
use super::response::{self, HttpResponse};
use super::Frontend;
use crate::frontend::connections::TrackedConnection;
use crate::shutdown_phase::ShutdownPhase;
use crate::upstream::{ForwardedRequest, ResponsePending};
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderValue, CONNECTION};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, StatusCode};
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;

/// Maximum size of a request head in bytes. A longer one gets status 431. Together with the maximum
/// size of a body, this bounds the memory that a connection can make the node use.
const MAX_HEAD_BYTES: usize = 16 << 10;
const HEALTH_PATH: &str = "/healthz";

/// Serves a connection until it ends.
pub(super) async fn serve_connection(
    connection: TrackedConnection,
    shutdown_phase: watch::Receiver<ShutdownPhase>,
    frontend: Rc<Frontend>,
) {
    let (connection, frontend, shutdown_phase) = (&connection, &*frontend, &shutdown_phase);
    let service = service_fn(|request: Request<Incoming>| {
        // Called outside the future: hyper continues to read before it first polls the future.
        connection.on_head_read(request.body().size_hint().lower() as usize);
        async move {
            let response = respond(frontend, connection, shutdown_phase, request).await;
            connection.on_response_ready();
            Ok::<_, Infallible>(response)
        }
    });
    let mut http = http1::Builder::new();
    http.max_buf_size(MAX_HEAD_BYTES);
    let serving = http.serve_connection(connection.stream(&frontend.memory), service);
    let rejection =
        |retry_after: Duration| response::rejected_text(retry_after.min(frontend.routes().max_retry_after));
    connection.drive(serving, |serving| serving.graceful_shutdown(), rejection, shutdown_phase.clone()).await;
}

async fn respond(
    frontend: &Frontend,
    connection: &TrackedConnection,
    shutdown_phase: &watch::Receiver<ShutdownPhase>,
    request: Request<Incoming>,
) -> HttpResponse {
    let (mut response, valid) = match handle(frontend, connection, shutdown_phase, request).await {
        Ok(response) => (response, true),
        Err(error) => (error.response(frontend.routes().max_retry_after), false),
    };
    // The connection is closed after an invalid request. Its client would send the next one at once, and a
    // stream of invalid requests on one connection would take the node's time without a pause.
    if !valid || *shutdown_phase.borrow() >= ShutdownPhase::StandingBy || !connection.may_stay_open() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

async fn handle(
    frontend: &Frontend,
    connection: &TrackedConnection,
    shutdown_phase: &watch::Receiver<ShutdownPhase>,
    request: Request<Incoming>,
) -> Result<HttpResponse, RequestError> {
    // The client's time limit runs from the arrival of the request, not from the time at which this process
    // read it.
    let received_at = connection.received_at();
    let (head, body) = request.into_parts();
    let target = head.uri.path_and_query().ok_or(RequestError::NoPath)?;
    if target.path() == HEALTH_PATH {
        return health_response(frontend, *shutdown_phase.borrow(), &head.method);
    }
    let key = key_from_path(target.path()).ok_or(RequestError::UnknownPath)?;
    check_method_and_framing(&head)?;
    let head = UsedHead::copy_from(head)?;
    let routes = frontend.routes();
    let mut request_head = RequestHead::read(&routes, &head.headers)?;
    let body = read_body(body, connection, &frontend.memory).await?;
    // A reload may have changed the routes while the body was read. The request is accepted only now, so it
    // uses the current ones.
    if !Rc::ptr_eq(&routes, &frontend.routes()) {
        request_head = RequestHead::read(&frontend.routes(), &head.headers)?;
    }
    // A cache server would take a second request with this id for a copy of the first.
    let id = frontend.in_flight_ids.insert(request_head.id).ok_or(RequestError::IdInFlight)?;
    connection.on_request_read();
    let message = ForwardedRequest {
        method: head.method,
        target: head.target,
        id,
        idempotency_key: request_head.idempotency_key,
        body,
        pending: ResponsePending::new(),
    };
    Ok(forward(frontend.allocate_request_number(), received_at, key, request_head.metadata, message).await)
}

/// Responds to the platform's health check with the node's readiness.
fn health_response(
    frontend: &Frontend,
    shutdown_phase: ShutdownPhase,
    method: &Method,
) -> Result<HttpResponse, RequestError> {
    match *method {
        Method::GET if frontend.readiness.reached() && shutdown_phase < ShutdownPhase::StandingBy => {
            Ok(response::text(StatusCode::OK, "ready"))
        }
        Method::GET => Ok(response::text(StatusCode::SERVICE_UNAVAILABLE, "not ready")),
        _ => Err(RequestError::MethodNotAllowed { allowed: "GET" }),
    }
}
