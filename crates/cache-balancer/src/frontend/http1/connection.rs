//! Serves the requests of one connection.

use super::forward::forward;
use super::request::{check_transfer, key_of, read_body, RequestError, RequestHead};
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
use tokio::sync::watch;

/// The longest request head, in bytes; a longer one gets status 431. With a body each it is the most that
/// connections can make the node hold.
const MAX_HEAD_BYTES: usize = 16 << 10;
const HEALTH_PATH: &str = "/healthz";

/// Serves a connection to its end.
pub(super) async fn serve_connection(
    connection: TrackedConnection,
    shutdown_phase: watch::Receiver<ShutdownPhase>,
    frontend: Rc<Frontend>,
) {
    let (connection, frontend, shutdown_phase) = (&connection, &*frontend, &shutdown_phase);
    let service = service_fn(|request: Request<Incoming>| {
        // Not in the future: hyper reads on before it polls that for the first time.
        connection.head_read(request.body().size_hint().lower() as usize);
        async move {
            let response = respond(frontend, connection, shutdown_phase, request).await;
            connection.response_ready();
            Ok::<_, Infallible>(response)
        }
    });
    let mut http = http1::Builder::new();
    http.max_buf_size(MAX_HEAD_BYTES);
    let serving = http.serve_connection(connection.stream(), service);
    connection.drive(serving, |serving| serving.graceful_shutdown(), shutdown_phase.clone()).await;
}

async fn respond(
    frontend: &Frontend,
    connection: &TrackedConnection,
    shutdown_phase: &watch::Receiver<ShutdownPhase>,
    request: Request<Incoming>,
) -> HttpResponse {
    let (mut response, valid) = match handle(frontend, connection, shutdown_phase, request).await {
        Ok(response) => (response, true),
        Err(error) => (error.response(), false),
    };
    // A client whose request is invalid sends the next one at once: not on this connection, where its
    // requests would take the node's time without a pause.
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
    // Its client counts from there, and not from when this process came to read it.
    let received_at = connection.received_at();
    let (head, body) = request.into_parts();
    let target = head.uri.path_and_query().cloned().ok_or(RequestError::NoPath)?;
    if target.path() == HEALTH_PATH {
        return health(frontend, *shutdown_phase.borrow(), &head.method);
    }
    let key = key_of(target.path()).ok_or(RequestError::UnknownPath)?;
    check_transfer(&head)?;
    let routes = frontend.routes();
    let mut request_head = RequestHead::read(&routes, &head.headers)?;
    let body = read_body(body).await?;
    // It is accepted now, and not when its head came: a reload may have changed the routes meanwhile.
    if !Rc::ptr_eq(&routes, &frontend.routes()) {
        request_head = RequestHead::read(&frontend.routes(), &head.headers)?;
    }
    // Forwarded, a second request of this id would pass for a copy of the first.
    let id = frontend.in_flight_ids.insert(request_head.id).ok_or(RequestError::IdInFlight)?;
    connection.request_read();
    let message = ForwardedRequest {
        method: head.method,
        target,
        id,
        idempotency_key: request_head.idempotency_key,
        body,
        pending: ResponsePending::new(),
    };
    Ok(forward(frontend.request_number(), received_at, key, request_head.terms, message).await)
}

/// Whether the node is ready, for the platform's health checks.
fn health(
    frontend: &Frontend,
    shutdown_phase: ShutdownPhase,
    method: &Method,
) -> Result<HttpResponse, RequestError> {
    match *method {
        Method::GET if frontend.ready.reached() && shutdown_phase < ShutdownPhase::StandingBy => {
            Ok(response::text(StatusCode::OK, "ready"))
        }
        Method::GET => Ok(response::text(StatusCode::SERVICE_UNAVAILABLE, "not ready")),
        _ => Err(RequestError::MethodNotAllowed { allowed: "GET" }),
    }
}
