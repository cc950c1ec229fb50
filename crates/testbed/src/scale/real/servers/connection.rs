//! Serves the connections of a cache server over HTTP/1.1.

use super::server::{ConnectionPermit, Offered, Server};
use super::Shared;
use crate::attempt_id::AttemptId;
use crate::judge::Observation;
use crate::models::cache_server::Job;
use crate::random::RandomSource;
use crate::scale::real::recorder::Recorder;
use crate::scale::real::response_body;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio::time::sleep;

/// Maximum length of a request body, in bytes.
const MAX_BODY_BYTES: usize = 64 << 10;
/// Delay before the next attempt to accept after a failure, such as a lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Accepts and serves connections until the future is dropped.
pub(super) async fn accept(shared: Arc<Shared>, server: Arc<Server>, listener: TcpListener) {
    // Dropping the set aborts its tasks, which closes their sockets.
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => drop(connections.spawn(serve(shared.clone(), server.clone(), stream))),
                Err(_) => sleep(ACCEPT_RETRY_DELAY).await,
            },
            Some(_) = connections.join_next() => {}
        }
    }
}

/// Serves a connection until the node or the server closes it or the server's process ends.
async fn serve(shared: Arc<Shared>, server: Arc<Server>, stream: TcpStream) {
    let global_permit = shared.connections.clone().try_acquire_owned();
    let (Ok(_global_permit), Some(_server_permit)) = (global_permit, ConnectionPermit::acquire(&server))
    else {
        shared.rejected_connections.fetch_add(1, Ordering::Relaxed);
        return;
    };
    // Setting the option fails only if the node has closed the connection already.
    let _ = stream.set_nodelay(true);
    let mut incarnation = server.incarnation();
    let service = service_fn(|request| respond(shared.recorder.clone(), server.clone(), request));
    tokio::select! {
        // The node sees a connection error too, and the judge records its effects.
        _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service) => {}
        // The sender lives as long as the server, so this completes only when the process ends.
        _ = incarnation.changed() => {}
    }
}

/// Makes the server close a connection without a response, since the process has ended or the request is
/// incomplete.
#[derive(Debug, Error)]
#[error("connection closed without a response")]
struct ConnectionClosed;

type HttpResponse = Response<Full<Bytes>>;

async fn respond(
    recorder: Arc<Recorder>,
    server: Arc<Server>,
    request: Request<Incoming>,
) -> Result<HttpResponse, ConnectionClosed> {
    let Some((id, work)) = record_attempt(&recorder, &server, &request) else {
        return Ok(empty_response(StatusCode::BAD_REQUEST));
    };
    let Some(key) = request_key(&request) else { return Ok(empty_response(StatusCode::BAD_REQUEST)) };
    let write = request.method() == Method::PUT;
    // A job starts only after the whole body has arrived.
    let body = Limited::new(request.into_body(), MAX_BODY_BYTES).collect();
    body.await.map_err(|_| ConnectionClosed)?;
    let job = Job {
        id: id.job(),
        key,
        initial_rank: None,
        work,
        write,
        handshake: Duration::ZERO,
        random: RandomSource::new(id.request).derive(id.attempt),
    };
    let finished = match server.offer(&recorder, job) {
        Offered::Accepted(finished) => finished,
        Offered::Declined => return Ok(declined_response()),
        Offered::Ended => return Err(ConnectionClosed),
    };
    finished.await.map_err(|_| ConnectionClosed)?;
    Ok(Response::new(Full::new(Bytes::from(response_body(id.request)))))
}

fn request_key(request: &Request<Incoming>) -> Option<u64> {
    let key = request.uri().path().rsplit('/').next()?;
    u64::from_str_radix(key, 16).ok()
}

/// Records an attempt at the request that the header `req-id` names, and returns the attempt's id and work.
/// Returns `None` if no client has sent that request.
fn record_attempt(
    recorder: &Recorder,
    server: &Server,
    request: &Request<Incoming>,
) -> Option<(AttemptId, Duration)> {
    let number = request.headers().get("req-id")?.to_str().ok()?;
    let number = u64::from_str_radix(number, 16).ok()?;
    let sent = recorder.start_attempt(number)?;
    let judge_number = server.judge_number();
    recorder.record(|at| Observation::AttemptSent { request: number, server: judge_number, at });
    Some((AttemptId::new(number, u64::from(sent.attempts)), sent.work))
}

fn empty_response(status: StatusCode) -> HttpResponse {
    let mut response = Response::new(Full::new(Bytes::new()));
    *response.status_mut() = status;
    response
}

fn declined_response() -> HttpResponse {
    let mut response = empty_response(StatusCode::SERVICE_UNAVAILABLE);
    response.headers_mut().insert("srv-declined", HeaderValue::from_static("1"));
    response
}
