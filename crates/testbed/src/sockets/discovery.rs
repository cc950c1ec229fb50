//! The discovery service on sockets: snapshots, watches, a bounded number of lines per second, and faults.
//! Each node calls an address of its own, so that the runner can tell the judge which node was notified of
//! which change.

use super::context::{Context, Server};
use super::error::SocketRunError;
use super::node;
use crate::discovery_call::DiscoveryCall;
use crate::fleet;
use crate::judge::Observation;
use crate::random::RandomSource;
use balancer_core::EndpointState;
use bytes::Bytes;
use http_body_util::{Either, Full};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde_json::{json, Value};
use std::convert::Infallible;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context as TaskContext, Poll};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{sleep, sleep_until, timeout, Instant};

/// The purpose of the random values that decide which answers are truncated or malformed.
const ANSWERS: u64 = 0x6c69_7374;

/// Opens a listener for each node, and registers the nodes with the addresses.
pub(super) async fn start(context: &Rc<Context>) -> Result<(), SocketRunError> {
    for node in 0..context.script.nodes as usize {
        let listener = TcpListener::bind(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)));
        let listener = listener.await.map_err(SocketRunError::system("discovery's socket"))?;
        let address = listener.local_addr().map_err(SocketRunError::system("discovery's socket"))?;
        node::prepare(context, node, address, snapshot(context));
        spawn_local(accept(context.clone(), node, listener));
    }
    Ok(())
}

async fn accept(context: Rc<Context>, node: usize, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        spawn_local(serve(context.clone(), node, stream));
    }
}

async fn serve(context: Rc<Context>, node: usize, stream: TcpStream) {
    let service = service_fn(|request| {
        let context = context.clone();
        async move { Ok::<_, Infallible>(respond(&context, node, request).await) }
    });
    // An error means that the node has closed the connection, which ends its watch.
    let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
}

/// Publishes the new state of a server after discovery's detection delay.
pub(super) fn detect_state_later(
    context: &Rc<Context>,
    server: usize,
    state: EndpointState,
    started_unix_ms: Option<u64>,
) {
    let context = context.clone();
    spawn_local(async move {
        sleep(context.script.discovery.detection_delay).await;
        let version = *context.discovery.list_version.borrow() + 1;
        {
            let server = &mut context.state.borrow_mut().servers[server];
            (server.state, server.version) = (state, version);
            server.started_unix_ms = started_unix_ms.unwrap_or(server.started_unix_ms);
        }
        context.discovery.list_version.send_replace(version);
    });
}

/// Returns the whole endpoint list in discovery's format.
fn snapshot(context: &Context) -> Value {
    let state = context.state.borrow();
    let listed = state.servers.iter().filter(|server| server.state != EndpointState::Removed);
    let hosts: Vec<_> = listed.map(|server| entry(context, server)).collect();
    json!({"seq": *context.discovery.list_version.borrow(), "whole": true, "hosts": hosts})
}

/// Returns the entries that changed after `version`, in discovery's format, or the whole list if `version` is
/// `None`.
fn list_after(context: &Context, version: Option<u64>) -> Value {
    let Some(version) = version else { return snapshot(context) };
    let state = context.state.borrow();
    let newer = state.servers.iter().filter(|server| server.version > version);
    let hosts: Vec<_> = newer.map(|server| entry(context, server)).collect();
    json!({"seq": *context.discovery.list_version.borrow(), "whole": false, "hosts": hosts})
}

fn entry(context: &Context, server: &Server) -> Value {
    let health = match server.state {
        EndpointState::Ready => "ready",
        EndpointState::Draining => "draining",
        EndpointState::Removed => "gone",
    };
    let (script, index) = (&context.script, server.index);
    let kind = fleet::server_kind(script, index);
    json!({
        "host": server.name,
        "dial": server.address.to_string(),
        "site": script.zones[fleet::server_zone(script, index)],
        "class": kind.name,
        "block": fleet::server_cell(index),
        "health": health,
        "share": fleet::server_weight(kind),
        "born_ms": server.started_unix_ms,
    })
}

/// A response body with fewer bytes than its `Content-Length` says.
struct TruncatedBody {
    content_length: u64,
    part: Option<Bytes>,
}

impl Body for TruncatedBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut TaskContext<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let part = self.part.take().map(Frame::data);
        Poll::Ready(Some(part.ok_or_else(|| io::ErrorKind::BrokenPipe.into())))
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.content_length)
    }
}

type HttpResponse = Response<Either<Full<Bytes>, TruncatedBody>>;

/// Returns the first half of a list, either as a truncated response or as a complete but malformed one.
fn faulty_response(list: &str, truncated: bool) -> HttpResponse {
    let half = Bytes::copy_from_slice(&list.as_bytes()[..list.len() / 2]);
    Response::new(match truncated {
        true => Either::Right(TruncatedBody { content_length: list.len() as u64, part: Some(half) }),
        false => Either::Left(Full::new(half)),
    })
}

fn unavailable() -> HttpResponse {
    let mut response = Response::new(Either::Left(Full::new(Bytes::new())));
    *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    response
}

async fn respond(context: &Rc<Context>, node: usize, request: Request<Incoming>) -> HttpResponse {
    let call = DiscoveryCall::parse(request.uri().query());
    let mut available = context.discovery.available.subscribe();
    let response = tokio::select! {
        response = answer(context, node, call) => response,
        _ = available.wait_for(|available| !available) => Err(TimedOut),
    };
    response.unwrap_or_else(|TimedOut| unavailable())
}

/// The call waited longer for its turn than the call timeout.
struct TimedOut;

/// Waits for the call's turn and for the change that it watches for, and then answers it.
async fn answer(
    context: &Rc<Context>,
    node: usize,
    DiscoveryCall { after, wait }: DiscoveryCall,
) -> Result<HttpResponse, TimedOut> {
    send_lines(context, context.script.discovery.call_lines).await?;
    if let Some(after) = after {
        let mut version = context.discovery.list_version.subscribe();
        // The sender lives as long as the context, so this fails only when the watch times out. The answer
        // then has no changes.
        let _ = timeout(wait, version.wait_for(|version| *version > after)).await;
    }
    let changed = {
        let state = context.state.borrow();
        state.servers.iter().filter(|server| is_newer(server, after)).count()
    };
    send_lines(context, changed as f64).await?;
    let number = context.discovery.answers.get() + 1;
    context.discovery.answers.set(number);
    let random = RandomSource::new(context.script.seed).derive(ANSWERS).derive(number);
    if random.uniform() < context.discovery.error_rate.get() {
        let list = list_after(context, after).to_string();
        return Ok(faulty_response(&list, random.derive(1).uniform() < 0.5));
    }
    let list = list_after(context, after).to_string();
    notify_node(context, node, after);
    Ok(Response::new(Either::Left(Full::new(Bytes::from(list)))))
}

fn is_newer(server: &Server, version: Option<u64>) -> bool {
    version.is_none_or(|version| server.version > version)
}

/// Waits until discovery has sent this many lines after those already queued. The lines count against its
/// limit of lines per second.
async fn send_lines(context: &Context, lines: f64) -> Result<(), TimedOut> {
    let settings = &context.script.discovery;
    let now = Instant::now();
    let free_at = &context.discovery.free_at;
    let sent_at = free_at.get().max(now) + Duration::from_secs_f64(lines / settings.lines_per_second);
    if sent_at - now > settings.call_timeout {
        sleep(settings.call_timeout).await;
        return Err(TimedOut);
    }
    free_at.set(sent_at);
    sleep_until(sent_at).await;
    Ok(())
}

/// Records the changes that a node is notified of for the judge, and saves the list that the node would start
/// with.
fn notify_node(context: &Context, node: usize, after: Option<u64>) {
    let at = context.now();
    for server in context.state.borrow().servers.iter().filter(|server| is_newer(server, after)) {
        let unavailable = server.state != EndpointState::Ready;
        let server = server.judge_number;
        context.record(Observation::EndpointNotified { node, server, at, unavailable });
    }
    node::set_start_list(context, node, snapshot(context));
}
