//! Discovery on sockets: whole lists, watches, a bounded number of lines a second, and outages. Each node asks at an
//! address of its own, so that the judge knows who was told what.

use super::{LiveError, World};
use crate::discovery_call::DiscoveryCall;
use crate::draw::Draw;
use crate::fleet;
use crate::ledger::Fact;
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
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::spawn_local;
use tokio::time::{sleep, sleep_until, timeout, Instant};

/// Starts an address for each node; they are in the nodes' order.
pub async fn start(world: &Rc<World>) -> Result<(), LiveError> {
    for node in 0..world.script.nodes as usize {
        let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0)));
        let listener = listener.await.map_err(LiveError::system("discovery's socket"))?;
        let address = listener.local_addr().map_err(LiveError::system("discovery's socket"))?;
        super::node::prepare(world, node, address, whole(world));
        let world = world.clone();
        spawn_local(async move {
            loop {
                let Ok((stream, _)) = listener.accept().await else { continue };
                let world = world.clone();
                spawn_local(async move {
                    let service = service_fn(|request| {
                        let world = world.clone();
                        async move { Ok::<_, Infallible>(respond(&world, node, request).await) }
                    });
                    // A node that hangs up ends its watch.
                    let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
                });
            }
        });
    }
    Ok(())
}

/// What discovery will have noticed after its time.
pub fn notice_later(world: &Rc<World>, host: usize, state: EndpointState, born_ms: Option<u64>) {
    let world = world.clone();
    spawn_local(async move {
        sleep(world.script.discovery.notice).await;
        let version = *world.versions.borrow() + 1;
        {
            let mut all = world.state.borrow_mut();
            let host = &mut all.hosts[host];
            (host.state, host.version) = (state, version);
            host.born_ms = born_ms.unwrap_or(host.born_ms);
        }
        world.versions.send_replace(version);
    });
}

/// The whole list, as nodes are told it.
pub fn whole(world: &World) -> Value {
    let state = world.state.borrow();
    let listed = (0..state.hosts.len()).filter(|&host| state.hosts[host].state != EndpointState::Removed);
    let hosts: Vec<_> = listed.map(|number| entry(world, &state.hosts[number])).collect();
    json!({"seq": *world.versions.borrow(), "whole": true, "hosts": hosts})
}

fn entry(world: &World, host: &super::Host) -> Value {
    let health = match host.state {
        EndpointState::Ready => "ready",
        EndpointState::Draining => "draining",
        EndpointState::Removed => "gone",
    };
    let (script, seat) = (&world.script, host.seat);
    let kind = fleet::kind(script, seat);
    json!({
        "host": host.name, "dial": host.dial.to_string(), "site": script.zones[fleet::zone(script, seat)],
        "class": kind.name, "block": fleet::cell(seat), "health": health,
        "share": f64::from(kind.cores) * kind.speed, "born_ms": host.born_ms,
    })
}

/// A body that breaks off: fewer bytes come than its head has told.
struct BreaksOff {
    told: u64,
    left: Option<Bytes>,
}

impl Body for BreaksOff {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let part = self.left.take().map(Frame::data);
        Poll::Ready(Some(part.ok_or_else(|| io::ErrorKind::BrokenPipe.into())))
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.told)
    }
}

type Answer = Response<Either<Full<Bytes>, BreaksOff>>;

/// An answer of which its node can use nothing: half of it, under a head that tells of the whole or of just that half.
fn broken(whole: &str, breaks_off: bool) -> Answer {
    let half = Bytes::copy_from_slice(&whole.as_bytes()[..whole.len() / 2]);
    Response::new(match breaks_off {
        true => Either::Right(BreaksOff { told: whole.len() as u64, left: Some(half) }),
        false => Either::Left(Full::new(half)),
    })
}

async fn respond(world: &Rc<World>, node: usize, request: Request<Incoming>) -> Answer {
    let DiscoveryCall { after, wait } = DiscoveryCall::read(request.uri().query());
    let mut up = world.discovery_up.subscribe();
    let told = async {
        let settings = &world.script.discovery;
        if !in_turn(world, settings.call_lines).await {
            return None;
        }
        if let Some(after) = after {
            let mut versions = world.versions.subscribe();
            // The sender lives as long as the world; a wait that is over answers with nothing new.
            let _ = timeout(wait, versions.wait_for(|version| *version > after)).await;
        }
        let lines = world
            .state
            .borrow()
            .hosts
            .iter()
            .filter(|host| after.is_none_or(|after| host.version > after))
            .count();
        if !in_turn(world, lines as f64).await {
            return None;
        }
        let number = world.discovery_told.get() + 1;
        world.discovery_told.set(number);
        let draw = Draw::new(world.script.seed).on(0x6c69_7374).on(number);
        if draw.unit() < world.discovery_breaks.get() {
            return Some(broken(&worded(world, after).to_string(), draw.on(1).unit() < 0.5));
        }
        let list = tell(world, node, after).to_string();
        Some(Response::new(Either::Left(Full::new(Bytes::from(list)))))
    };
    let answer = tokio::select! {
        answer = told => answer,
        _ = up.wait_for(|up| !up) => None,
    };
    answer.unwrap_or_else(|| {
        let mut response = Response::new(Either::Left(Full::new(Bytes::new())));
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        response
    })
}

/// Waits for the turn of so many lines; `false` where that would take too long.
async fn in_turn(world: &World, lines: f64) -> bool {
    let settings = &world.script.discovery;
    let now = Instant::now();
    let free = world.discovery_free.get().max(now) + Duration::from_secs_f64(lines / settings.lines_per_s);
    if free - now > settings.timeout {
        sleep(settings.timeout).await;
        return false;
    }
    world.discovery_free.set(free);
    sleep_until(free).await;
    true
}

/// What is newer than that version.
fn worded(world: &World, after: Option<u64>) -> Value {
    let Some(after) = after else { return whole(world) };
    let state = world.state.borrow();
    let newer = state.hosts.iter().filter(|host| host.version > after);
    let hosts: Vec<_> = newer.map(|host| entry(world, host)).collect();
    json!({"seq": *world.versions.borrow(), "whole": false, "hosts": hosts})
}

/// Writes down who is told what, and words it.
fn tell(world: &World, node: usize, after: Option<u64>) -> Value {
    let at = world.now();
    let list = worded(world, after);
    let state = world.state.borrow();
    for host in state.hosts.iter().filter(|host| after.is_none_or(|after| host.version > after)) {
        let stops = host.state != EndpointState::Ready;
        world.note(Fact::Told { node, server: host.number, at, stops });
    }
    drop(state);
    super::node::keep_list(world, node, whole(world));
    list
}
