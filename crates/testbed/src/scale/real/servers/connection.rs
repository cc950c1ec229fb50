//! The connections of a cache server, and its responses over HTTP/1.1.

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

/// The longest request body, in bytes.
const MAX_BODY_BYTES: usize = 64 << 10;
/// The pause after a failure to accept, such as a lack of descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Accepts connections for as long as it is polled.
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

/// Serves a connection until either end closes it or the process ends.
async fn serve(shared: Arc<Shared>, server: Arc<Server>, stream: TcpStream) {
    let of_all = shared.connections.clone().try_acquire_owned();
    let (Ok(_of_all), Some(_of_server)) = (of_all, ConnectionPermit::acquire(&server)) else {
        shared.rejected_connections.fetch_add(1, Ordering::Relaxed);
        return;
    };
    // This fails only if the node has closed the connection already.
    let _ = stream.set_nodelay(true);
    let mut incarnation = server.incarnation();
    let service = service_fn(|request| respond(shared.recorder.clone(), server.clone(), request));
    tokio::select! {
        // A connection error shows at the node, and in what the judge records.
        _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service) => {}
        // The sender lives as long as the server.
        _ = incarnation.changed() => {}
    }
}

/// The connection is closed without a response: the process has ended, or the request is incomplete.
#[derive(Debug, Error)]
#[error("the connection breaks off")]
struct ConnectionClosed;

type HttpResponse = Response<Full<Bytes>>;

async fn respond(
    recorder: Arc<Recorder>,
    server: Arc<Server>,
    request: Request<Incoming>,
) -> Result<HttpResponse, ConnectionClosed> {
    let Some((id, work)) = record_attempt(&recorder, &server, &request) else {
        return Ok(empty(StatusCode::BAD_REQUEST));
    };
    let Some(key) = key(&request) else { return Ok(empty(StatusCode::BAD_REQUEST)) };
    let write = request.method() == Method::PUT;
    // A job starts only when the whole body has arrived.
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
        Offered::Declined => return Ok(declined()),
        Offered::Ended => return Err(ConnectionClosed),
    };
    finished.await.map_err(|_| ConnectionClosed)?;
    Ok(Response::new(Full::new(Bytes::from(response_body(id.request)))))
}

fn key(request: &Request<Incoming>) -> Option<u64> {
    let key = request.uri().path().rsplit('/').next()?;
    u64::from_str_radix(key, 16).ok()
}

/// Records an attempt at the request that its header names, and returns the attempt's work. Returns `None` if no client has
/// sent that request.
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

fn empty(status: StatusCode) -> HttpResponse {
    let mut response = Response::new(Full::new(Bytes::new()));
    *response.status_mut() = status;
    response
}

fn declined() -> HttpResponse {
    let mut response = empty(StatusCode::SERVICE_UNAVAILABLE);
    response.headers_mut().insert("srv-declined", HeaderValue::from_static("1"));
    response
}
