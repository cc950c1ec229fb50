//! Clients on sockets, and the front that distributes their requests to the nodes.

use super::cache_server::response_body;
use super::context::{Context, SentRequest};
use super::timed_stream::{LastArrival, TimedStream};
use crate::judge::{FinalAnswer, Observation, RequestNumber};
use crate::random::RandomSource;
use crate::{client_model, network_model};
use balancer_core::{Idempotency, Timestamp};
use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{CONNECTION, RETRY_AFTER};
use hyper::{HeaderMap, Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use std::cell::RefCell;
use std::collections::HashMap;
use std::error::Error;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::{spawn_local, AbortHandle, JoinSet};
use tokio::time::{sleep, sleep_until, timeout};

/// How long answers are still read after the client's timeout. Far longer than the judge's tolerance: the
/// judge decides by an answer's time of arrival, and the runner may read it later than that.
const READ_AFTER_TIMEOUT: Duration = Duration::from_millis(500);

/// A connection to a node. Dropping it closes it, even in the middle of an answer.
struct Connection {
    sender: SendRequest<Empty<Bytes>>,
    last_arrival: LastArrival,
    task: AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Idle connections by node address.
type Pool = Rc<RefCell<HashMap<SocketAddr, Vec<Connection>>>>;

/// Starts each operation at its scheduled time and waits until all have ended.
pub(super) async fn run_all(context: Rc<Context>) {
    let pool = Pool::default();
    let mut running = JoinSet::new();
    let count = context.state.borrow().operations.len();
    for number in 0..count {
        let (at, class) = {
            let operation = &context.state.borrow().operations[number];
            (operation.at, operation.class)
        };
        sleep_until(context.started_at.get() + at).await;
        let at = Timestamp::default() + at;
        context.record(Observation::OperationStarted { operation: number as u64, at, class });
        running.spawn_local(run_operation(context.clone(), pool.clone(), number));
    }
    while running.join_next().await.is_some() {}
    sleep(READ_AFTER_TIMEOUT).await;
}

/// Sends the requests of an operation until one is served or the client gives up.
async fn run_operation(context: Rc<Context>, pool: Pool, number: usize) {
    let operation = context.state.borrow().operations[number].clone();
    for ordinal in 0.. {
        match send_request(&context, &pool, number, ordinal).await {
            RequestEnd::Served => {
                let (operation, at) = (number as u64, context.now());
                return context.record(Observation::OperationServed { operation, at });
            }
            RequestEnd::Disconnected => return,
            RequestEnd::NotServed { retry_after } => {
                let script = &context.script;
                let elapsed = context.elapsed();
                let delay = client_model::retry_delay(script, &operation, ordinal, elapsed, retry_after);
                let Some(delay) = delay else { return };
                sleep(delay).await;
            }
        }
    }
}

/// How a request ended for its client.
enum RequestEnd {
    Served,
    Disconnected,
    NotServed { retry_after: Duration },
}

impl RequestEnd {
    const NO_ANSWER: Self = Self::NotServed { retry_after: Duration::ZERO };
}

/// Chooses the node for a request: a random one in the client's zone, or else in the next zone that has a
/// node in rotation.
fn choose_node(context: &Context, zone: usize, random: RandomSource) -> Option<(usize, SocketAddr)> {
    let (nodes, zones) = (context.nodes.borrow(), context.script.zones.len());
    (0..zones).find_map(|step| {
        let in_zone = |node: &usize| node % zones == (zone + step) % zones;
        let candidates: Vec<usize> =
            (0..nodes.len()).filter(|node| in_zone(node) && nodes[*node].in_rotation).collect();
        let node = *candidates.get((random.bits() % candidates.len().max(1) as u64) as usize)?;
        Some((node, nodes[node].address?))
    })
}

/// Sends a request of an operation and waits for its answer until the client gives up or disconnects.
async fn send_request(context: &Rc<Context>, pool: &Pool, number: usize, ordinal: u32) -> RequestEnd {
    let operation = context.state.borrow().operations[number].clone();
    let random = operation.request_random(ordinal);
    let request_timeout = client_model::request_timeout(&context.script, &operation, context.elapsed());
    let expires_at = context.now() + request_timeout;
    let disconnects_after = client_model::disconnects_after(&context.script, random, request_timeout);
    let Some((node, address)) = choose_node(context, operation.zone, random.derive(1)) else {
        return RequestEnd::NO_ANSWER;
    };
    let request = {
        let mut state = context.state.borrow_mut();
        state.requests.push(SentRequest { operation: number, ordinal, node, attempts: 0 });
        state.requests.len() as RequestNumber - 1
    };
    let outgoing = OutgoingRequest { request, operation: number, node, address, expires_at };
    let mut exchange = spawn_local(delayed_exchange(context.clone(), pool.clone(), outgoing, random));
    tokio::select! {
        answer = &mut exchange => match answer {
            Ok(Some(Answer { answer: FinalAnswer::Served, .. })) => RequestEnd::Served,
            Ok(Some(Answer { retry_after, .. })) => RequestEnd::NotServed { retry_after },
            _ => RequestEnd::NO_ANSWER,
        },
        () = sleep_or_forever(disconnects_after) => {
            exchange.abort();
            context.record(Observation::ClientDisconnected { request });
            RequestEnd::Disconnected
        }
        () = sleep_until(context.instant(expires_at)) => {
            // The client ignores an answer that arrives now, but the judge still needs to see it.
            spawn_local(async move {
                if timeout(READ_AFTER_TIMEOUT, &mut exchange).await.is_err() {
                    exchange.abort();
                }
            });
            RequestEnd::NO_ANSWER
        }
    }
}

/// Sleeps for `time`, or forever if it is `None`.
async fn sleep_or_forever(time: Option<Duration>) {
    match time {
        Some(time) => sleep(time).await,
        None => std::future::pending().await,
    }
}

/// A request to a node.
#[derive(Clone, Copy)]
struct OutgoingRequest {
    request: RequestNumber,
    operation: usize,
    node: usize,
    address: SocketAddr,
    expires_at: Timestamp,
}

/// A node's answer.
struct Answer {
    answer: FinalAnswer,
    retry_after: Duration,
    keep_connection: bool,
}

/// Runs an exchange with the latency between client and node in both directions.
async fn delayed_exchange(
    context: Rc<Context>,
    pool: Pool,
    request: OutgoingRequest,
    random: RandomSource,
) -> Option<Answer> {
    let network = &context.script.network;
    sleep(network_model::client_latency(network, random.derive(2))).await;
    let answer = exchange(&context, &pool, request).await;
    sleep(network_model::client_latency(network, random.derive(7))).await;
    answer
}

/// Sends a request and reads the answer. Returns `None` if the connection ends without one.
async fn exchange(context: &Context, pool: &Pool, request: OutgoingRequest) -> Option<Answer> {
    let mut accepted = false;
    loop {
        let idle = pool.borrow_mut().get_mut(&request.address).and_then(Vec::pop);
        let reused = idle.is_some();
        let mut connection = match idle {
            Some(connection) if !connection.sender.is_closed() => connection,
            Some(_) => continue,
            None => match connect(request.address).await {
                Some(connection) => connection,
                None => {
                    // The node closed the idle connection and no longer listens, so it never received the
                    // request.
                    if accepted {
                        context.record(Observation::ClientDisconnected { request: request.request });
                    }
                    return None;
                }
            },
        };
        if connection.sender.ready().await.is_err() {
            continue;
        }
        if !accepted && context.now() >= request.expires_at {
            // The client timed out before it had a connection for the request.
            return None;
        }
        if !std::mem::replace(&mut accepted, true) {
            let OutgoingRequest { request, operation, node, expires_at, .. } = request;
            let (operation, at) = (operation as u64, context.now());
            context.record(Observation::RequestAccepted { request, operation, node, at, expires_at });
        }
        match send(context, &mut connection, request).await {
            Ok(answer) => {
                context.record(Observation::Answered {
                    request: request.request,
                    at: context.timestamp(connection.last_arrival.get()),
                    answer: answer.answer,
                });
                if answer.keep_connection {
                    pool.borrow_mut().entry(request.address).or_default().push(connection);
                }
                return Some(answer);
            }
            // The node may have closed the idle connection while the request was on its way, so it is sent
            // again on a new connection.
            Err(_) if reused => {}
            Err(error) => {
                context.record(Observation::ConnectionLost {
                    request: request.request,
                    at: context.now(),
                    reason: error.to_string(),
                });
                return None;
            }
        }
    }
}

async fn connect(address: SocketAddr) -> Option<Connection> {
    let stream = TcpStream::connect(address).await.ok()?;
    stream.set_nodelay(true).ok()?;
    let stream = TimedStream::new(stream);
    let last_arrival = stream.last_arrival();
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    let task = spawn_local(async move {
        // Errors are reported by the request that uses the connection.
        let _ = connection.await;
    });
    Some(Connection { sender, last_arrival, task: task.abort_handle() })
}

async fn send(
    context: &Context,
    connection: &mut Connection,
    request: OutgoingRequest,
) -> Result<Answer, Box<dyn Error + Send + Sync>> {
    let response = connection.sender.send_request(http_request(context, request)?).await?;
    let status = response.status();
    let headers = response.headers();
    let retry_after = retry_after(headers).unwrap_or_default();
    let keep_connection =
        !header_text(headers, CONNECTION).is_some_and(|value| value.eq_ignore_ascii_case("close"));
    let body = response.into_body().collect().await?.to_bytes();
    let answer = match status {
        StatusCode::OK if body == response_body(request.request) => FinalAnswer::Served,
        StatusCode::OK => FinalAnswer::Mismatched,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => FinalAnswer::Rejected,
        _ => FinalAnswer::Failed,
    };
    Ok(Answer { answer, retry_after, keep_connection })
}

fn http_request(context: &Context, request: OutgoingRequest) -> hyper::http::Result<Request<Empty<Bytes>>> {
    // The time left is measured at the send, so the time spent on connecting is already subtracted.
    let time_left = request.expires_at.since(context.now());
    let state = context.state.borrow();
    let operation = &state.operations[request.operation];
    let class = &context.script.classes[operation.class];
    let id = format!("{:x}", request.request);
    let mut builder = Request::builder()
        .method(if class.write { Method::PUT } else { Method::GET })
        .uri(format!("/api/{:016x}", operation.key()))
        .header("host", "service.internal")
        .header("req-id", &id)
        .header("req-kind", &class.name)
        .header("req-deadline-ms", time_left.as_millis() as u64);
    if matches!(class.idempotency, Idempotency::WithKey { .. }) {
        builder = builder.header("idempotency-key", &id);
    }
    builder.body(Empty::new())
}

fn header_text(headers: &HeaderMap, name: hyper::header::HeaderName) -> Option<&str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

fn retry_after(headers: &HeaderMap) -> Option<Duration> {
    Duration::try_from_secs_f64(header_text(headers, RETRY_AFTER)?.parse().ok()?).ok()
}

#[cfg(test)]
mod tests;
