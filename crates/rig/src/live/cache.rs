//! Cache servers on sockets: the state machine of `world`, driven by what comes over HTTP/1.1.

use super::{discovery, reach, unix_ms, way, Host, LiveError, Process, World};
use crate::conduct;
use crate::fleet;
use crate::ledger::Fact;
use crate::world::cache_server::Did;
use crate::world::{CacheServer, Verdict};
use bytes::Bytes;
use decide::Availability;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::cell::Cell;
use std::collections::HashMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{oneshot, watch, Notify};
use tokio::task::{spawn_local, JoinSet};
use tokio::time::sleep;

/// Attempts of a try are numbered below this.
const ATTEMPTS: u64 = 32;

/// How a job ended.
#[derive(Clone, Copy, Debug)]
pub struct End {
    failed: bool,
    hit: bool,
}

/// Starts the cache servers that are there from the beginning, warm.
pub async fn start_all(world: &Rc<World>) -> Result<(), LiveError> {
    for seat in 0..fleet::seats(&world.script) {
        world.state.borrow_mut().seats.push(seat);
        let listener = listen(None).await.map_err(LiveError::system("a cache server's socket"))?;
        new_host(world, seat, listener, true);
    }
    let mut state = world.state.borrow_mut();
    let listed =
        |host: &Host| fleet::entry(&world.script, host.name.as_str().into(), host.seat, host.state, None);
    let list: Vec<_> = state.hosts.iter().map(listed).collect();
    // At the start, the hosts' numbers are those of their processes.
    let by_name: HashMap<_, _> =
        list.iter().enumerate().map(|(host, entry)| (entry.id.clone(), host)).collect();
    for (server, key) in fleet::held_at_start(&world.script, list) {
        state.processes[by_name[&server]].server.hold(key);
    }
    Ok(())
}

async fn listen(address: Option<SocketAddr>) -> std::io::Result<TcpListener> {
    TcpListener::bind(address.unwrap_or_else(|| SocketAddr::from(([127, 0, 0, 1], 0)))).await
}

fn new_host(world: &Rc<World>, seat: usize, listener: TcpListener, seasoned: bool) {
    // A listener that is bound has an address.
    let Ok(dial) = listener.local_addr() else { return };
    let host = {
        let mut state = world.state.borrow_mut();
        let before = state.hosts.iter().filter(|host| host.seat == seat).count();
        let name = fleet::name(&world.script, seat, before);
        let zone = fleet::zone(&world.script, seat);
        let number = world.ledger.borrow_mut().server(&name, zone, fleet::cell(seat));
        let host = state.hosts.len();
        state.seats[seat] = host;
        state.hosts.push(Host {
            name,
            seat,
            number,
            process: None,
            reachable: watch::Sender::new(true),
            dial,
            state: if seasoned { Availability::Ready } else { Availability::Gone },
            born_ms: 0,
            version: 0,
        });
        host
    };
    new_process(world, host, listener, seasoned);
}

fn new_process(world: &Rc<World>, host: usize, listener: TcpListener, seasoned: bool) {
    let mut state = world.state.borrow_mut();
    let kind = fleet::kind(&world.script, state.hosts[host].seat).clone();
    let (rules, reports) = (world.script.rules.clone(), world.script.reports.clone());
    let server = CacheServer::new(kind, rules, reports, world.now(), seasoned);
    let number = state.processes.len();
    let (news, ended) = (Rc::new(Notify::new()), Rc::new(Notify::new()));
    state.processes.push(Process { host, server, alive: true, connections: 0, news, ended: ended.clone() });
    state.hosts[host].process = Some(number);
    drop(state);
    spawn_local(drive(world.clone(), number));
    spawn_local(accept(world.clone(), number, listener, ended));
}

/// Starts a cold process in a seat where none runs.
pub async fn start_again(world: &Rc<World>, seat: usize, same_id: bool, same_address: bool) {
    let (host, running, dial) = {
        let state = world.state.borrow();
        let host = state.seats[seat];
        (host, state.hosts[host].process.is_some(), state.hosts[host].dial)
    };
    if running {
        return;
    }
    let listener = match listen(same_address.then_some(dial)).await {
        Ok(listener) => listener,
        Err(error) => return eprintln!("a cache server does not start again at {dial}: {error}"),
    };
    if same_id {
        new_process(world, host, listener, false);
    } else {
        new_host(world, seat, listener, false);
    }
    let host = world.state.borrow().seats[seat];
    discovery::notice_later(world, host, Availability::Ready, Some(unix_ms()));
}

/// Ends a process: its connections break, and what it held is gone.
pub fn stop(world: &Rc<World>, process: usize) {
    let mut state = world.state.borrow_mut();
    if !std::mem::replace(&mut state.processes[process].alive, false) {
        return;
    }
    let host = state.processes[process].host;
    state.hosts[host].process = None;
    state.processes[process].ended.notify_waiters();
    state.processes[process].ended.notify_one();
    state.processes[process].news.notify_one();
    drop(state);
    discovery::notice_later(world, host, Availability::Gone, None);
}

async fn accept(world: Rc<World>, process: usize, listener: TcpListener, ended: Rc<Notify>) {
    // Dropped with this future, all of them are aborted: their sockets close.
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            () = ended.notified() => return,
            accepted = listener.accept() => {
                let Ok((stream, _)) = accepted else { continue };
                connections.spawn_local(connection(world.clone(), process, stream));
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

struct Counted(Rc<World>, usize);

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.state.borrow_mut().processes[self.1].connections -= 1;
    }
}

async fn connection(world: Rc<World>, process: usize, stream: TcpStream) {
    {
        let mut state = world.state.borrow_mut();
        let Process { server, connections, .. } = &mut state.processes[process];
        if *connections >= server.most_connections() {
            return;
        }
        *connections += 1;
    }
    let _counted = Counted(world.clone(), process);
    // It fails only where the other end has gone already.
    let _ = stream.set_nodelay(true);
    let fresh = Cell::new(true);
    let service = service_fn(|request: Request<Incoming>| {
        let fresh = fresh.replace(false);
        let world = world.clone();
        async move { Ok::<_, Infallible>(respond(&world, process, request, fresh).await) }
    });
    let serving = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    // How it ends is the node's affair: the judge counts what ran and what was answered.
    let _ = serving.await;
}

fn plain(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::new()));
    *response.status_mut() = status;
    response
}

async fn respond(
    world: &Rc<World>,
    process: usize,
    request: Request<Incoming>,
    fresh: bool,
) -> Response<Full<Bytes>> {
    let id = request.headers().get("req-id").and_then(|id| id.to_str().ok()).map(str::to_owned);
    let number = id.as_deref().and_then(|id| usize::from_str_radix(id, 16).ok());
    let Some(request) = number.filter(|&number| number < world.state.borrow().tries.len()) else {
        return plain(StatusCode::BAD_REQUEST);
    };
    let (host, seat, node, attempt, ask, draw, mut reachable) = {
        let mut state = world.state.borrow_mut();
        let host = state.processes[process].host;
        let (seat, reachable) = (state.hosts[host].seat, state.hosts[host].reachable.subscribe());
        let sent = &mut state.tries[request];
        sent.attempts += 1;
        let (ask, number, node, attempt) = (sent.ask, sent.number, sent.node, u64::from(sent.attempts - 1));
        let ask = state.asks[ask].clone();
        let draw = ask.of_try(number);
        (host, seat, node, attempt.min(ATTEMPTS - 1), ask, draw, reachable)
    };
    let server = world.state.borrow().hosts[host].number;
    world.note(Fact::Sent { request: request as u64, server, at: world.now() });
    let trip = way(world, node, seat, draw.on(8).on(attempt)) * 2;
    let there = way(world, node, seat, draw.on(9).on(attempt));
    let back = way(world, node, seat, draw.on(11).on(attempt));
    sleep(there + if fresh { trip * world.script.network.handshake_rtts } else { Default::default() }).await;
    // Cut off, it says nothing, and hears nothing either. The sender lives as long as its host.
    let _ = reachable.wait_for(|reachable| *reachable).await;
    let job_id = request as u64 * ATTEMPTS + attempt;
    let job = conduct::job(&world.script, &ask, draw.on(10).on(attempt), job_id, fresh);
    let (sender, receiver) = oneshot::channel();
    let verdict = {
        let mut state = world.state.borrow_mut();
        state.jobs.insert(job_id, sender);
        let verdict = state.processes[process].server.offer(world.now(), job);
        state.processes[process].news.notify_one();
        verdict
    };
    match verdict {
        Verdict::Taken => {}
        Verdict::Declined => {
            world.state.borrow_mut().jobs.remove(&job_id);
            let mut response = plain(StatusCode::SERVICE_UNAVAILABLE);
            response.headers_mut().insert("srv-declined", hyper::header::HeaderValue::from_static("1"));
            report(world, process, &mut response);
            sleep(back).await;
            return response;
        }
        Verdict::Fell => {
            world.note(Fact::Fell { server, at: world.now() });
            stop(world, process);
            return std::future::pending().await;
        }
    }
    let Ok(end) = receiver.await else { return std::future::pending().await };
    let _ = reachable.wait_for(|reachable| *reachable).await;
    let mut response = if end.failed {
        plain(StatusCode::INTERNAL_SERVER_ERROR)
    } else {
        Response::new(Full::new(Bytes::from(body(request as u64))))
    };
    if world.script.reports.tell_misses {
        let word = hyper::header::HeaderValue::from_static(if end.hit { "hit" } else { "miss" });
        response.headers_mut().insert("srv-cache", word);
    }
    report(world, process, &mut response);
    sleep(back).await;
    response
}

/// The answer that is made for a try, and for no other.
pub fn body(request: u64) -> String {
    format!("answer to {request:x}")
}

fn report(world: &World, process: usize, response: &mut Response<Full<Bytes>>) {
    let report = world.state.borrow_mut().processes[process].server.report(world.now());
    let text = format!("latency_ms={:.3},queue={}", report.service_time.as_secs_f64() * 1e3, report.waiting);
    if let Ok(value) = text.parse() {
        response.headers_mut().insert("srv-load", value);
    }
}

/// Drives a process's state machine for as long as it lives.
async fn drive(world: Rc<World>, process: usize) {
    loop {
        let (next, news) = {
            let state = world.state.borrow();
            let Process { server, alive, news, .. } = &state.processes[process];
            if !alive {
                return;
            }
            (server.next().map(|at| world.instant(at)), news.clone())
        };
        tokio::select! {
            () = reach(next) => {}
            () = news.notified() => {}
        }
        let now = world.now();
        let mut state = world.state.borrow_mut();
        if !state.processes[process].alive {
            return;
        }
        let mut did = Vec::new();
        state.processes[process].server.advance(now, &mut did);
        let server = state.hosts[state.processes[process].host].number;
        for did in did {
            match did {
                Did::Fetch(job) => {
                    let sent = &state.tries[(job / ATTEMPTS) as usize];
                    let draw = state.asks[sent.ask].of_try(sent.number).on(12).on(job % ATTEMPTS);
                    if state.origin.fetch(now, job, draw) {
                        state.counts.fetches.0 += 1;
                        state.counts.origin_queue = state.counts.origin_queue.max(state.origin.waiting());
                        state.fetching.insert(job, process);
                        world.origin_news.notify_one();
                    } else {
                        state.counts.fetches.1 += 1;
                        state.processes[process].server.fetched(now, job, false);
                    }
                }
                Did::Done { id, failed, hit } => {
                    world.note(Fact::Ran { request: id / ATTEMPTS, server, at: now });
                    state.counts.hits += u64::from(hit);
                    state.counts.misses += u64::from(!hit);
                    if let Some(waiting) = state.jobs.remove(&id) {
                        // Whoever asked may have gone: the work was done all the same.
                        let _ = waiting.send(End { failed, hit });
                    }
                }
            }
        }
    }
}
