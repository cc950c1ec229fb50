//! Cache servers on sockets: the state machine of `world`, driven by what comes over HTTP/1.1.

use super::wire::{Faults, Wire};
use super::{discovery, reach, unix_ms, way, Host, LiveError, Process, World};
use crate::conduct;
use crate::draw::Draw;
use crate::fleet;
use crate::ledger::Fact;
use crate::placement;
use crate::timeline::Condition;
use crate::world::cache_server::Did;
use crate::world::{CacheServer, Verdict};
use balancer_core::EndpointState;
use bytes::Bytes;
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
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{oneshot, watch, Notify};
use tokio::task::{spawn_local, JoinSet};
use tokio::time::{sleep, sleep_until, Instant};

/// Attempts of a try are numbered below this.
const ATTEMPTS: u64 = 32;

/// An idle connection is looked at no sooner than this.
const LEAST_IDLE: Duration = Duration::from_millis(1);

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
    for (server, key) in placement::held_at_start(&world.script, list) {
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
            dial,
            state: if seasoned { EndpointState::Ready } else { EndpointState::Removed },
            born_ms: 0,
            version: 0,
        });
        host
    };
    new_process(world, host, listener, seasoned);
}

fn new_process(world: &Rc<World>, host: usize, listener: TcpListener, seasoned: bool) {
    let mut state = world.state.borrow_mut();
    let seat = state.hosts[host].seat;
    let kind = fleet::kind(&world.script, seat).clone();
    let (rules, reports) = (world.script.rules.clone(), world.script.reports.clone());
    let mut server = CacheServer::new(kind, rules, reports, world.now(), seasoned);
    server.set_errors(state.conditions[seat].borrow().errors);
    let number = state.processes.len();
    let (news, ended) = (Rc::new(Notify::new()), Rc::new(Notify::new()));
    let accepting = Some(spawn_local(accept(world.clone(), number, listener, ended.clone())));
    state.processes.push(Process { host, server, alive: true, connections: 0, news, ended, accepting });
    state.hosts[host].process = Some(number);
    drop(state);
    spawn_local(drive(world.clone(), number));
}

/// Starts a cold process in a seat where none runs.
pub async fn start_again(world: &Rc<World>, seat: usize, same_id: bool, same_address: bool) {
    let (host, running, dial, before) = {
        let mut state = world.state.borrow_mut();
        let host = state.seats[seat];
        let (running, dial) = (state.hosts[host].process.is_some(), state.hosts[host].dial);
        let last = state.processes.iter_mut().rfind(|process| process.host == host && !process.alive);
        (host, running, dial, last.and_then(|process| process.accepting.take()))
    };
    if running {
        return;
    }
    if let Some(before) = before {
        // It ends by itself, or has; that it was aborted would do as well.
        let _ = before.await;
    }
    let listener = match listen(same_address.then_some(dial)).await {
        Ok(listener) => listener,
        Err(error) => {
            let what = format!("a cache server does not start again at {dial}");
            return world.fail(LiveError::System { what, error });
        }
    };
    if same_id {
        new_process(world, host, listener, false);
    } else {
        new_host(world, seat, listener, false);
    }
    let host = world.state.borrow().seats[seat];
    discovery::notice_later(world, host, EndpointState::Ready, Some(unix_ms()));
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
    discovery::notice_later(world, host, EndpointState::Removed, None);
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
    let (faults, idle) = {
        let state = world.state.borrow();
        let seat = state.hosts[state.processes[process].host].seat;
        let idle = fleet::kind(&world.script, seat).idle.unwrap_or(world.script.network.idle);
        (Faults::new(state.forgotten[seat].clone()), idle)
    };
    let fresh = Cell::new(true);
    let usage = Rc::new(Usage { busy: Cell::new(false), last: Cell::new(Instant::now()) });
    let service = service_fn(|request: Request<Incoming>| {
        let fresh = fresh.replace(false);
        let (world, faults, usage) = (world.clone(), faults.clone(), usage.clone());
        async move {
            usage.busy.set(true);
            let response = respond(&world, process, request, fresh, &faults).await;
            usage.busy.set(false);
            usage.last.set(Instant::now());
            Ok::<_, Infallible>(response)
        }
    });
    let stream = TokioIo::new(Wire::new(stream, faults.clone()));
    let mut serving = pin!(http1::Builder::new().serve_connection(stream, service));
    tokio::select! {
        // How it ends is the node's affair: the judge counts what ran and what was answered.
        _ = serving.as_mut() => return,
        () = usage.ends(idle) => {}
    }
    if faults.silent() {
        // The node is not told of this end either.
        return std::future::pending().await;
    }
    serving.as_mut().graceful_shutdown();
    // As above.
    let _ = serving.await;
}

/// How a connection is used.
struct Usage {
    busy: Cell<bool>,
    last: Cell<Instant>,
}

impl Usage {
    /// Waits until it has stood idle for so long.
    async fn ends(&self, idle: Duration) {
        loop {
            let due = self.last.get() + idle;
            sleep_until(due.max(Instant::now() + LEAST_IDLE)).await;
            if !self.busy.get() && self.last.get().elapsed() >= idle {
                return;
            }
        }
    }
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
    faults: &Faults,
) -> Response<Full<Bytes>> {
    let id = request.headers().get("req-id").and_then(|id| id.to_str().ok()).map(str::to_owned);
    let number = id.as_deref().and_then(|id| usize::from_str_radix(id, 16).ok());
    let Some(request) = number.filter(|&number| number < world.state.borrow().tries.len()) else {
        return plain(StatusCode::BAD_REQUEST);
    };
    let (host, seat, node, attempt, ask, draw, mut condition) = {
        let mut state = world.state.borrow_mut();
        let host = state.processes[process].host;
        let seat = state.hosts[host].seat;
        let condition = state.conditions[seat].subscribe();
        let sent = &mut state.tries[request];
        sent.attempts += 1;
        let (ask, number, node, attempt) = (sent.ask, sent.number, sent.node, u64::from(sent.attempts - 1));
        let ask = state.asks[ask].clone();
        let draw = ask.of_try(number);
        (host, seat, node, attempt.min(ATTEMPTS - 1), ask, draw, condition)
    };
    let server = world.state.borrow().hosts[host].number;
    world.note(Fact::Sent { request: request as u64, server, at: world.now() });
    let trip = way(world, node, seat, draw.on(8).on(attempt)) * 2;
    let (draw_there, draw_back) = (draw.on(9).on(attempt), draw.on(11).on(attempt));
    let now = *condition.borrow();
    let mut there = way(world, node, seat, draw_there) + conduct::held_up(&now, draw_there);
    if fresh {
        let network = &world.script.network;
        let handshake = conduct::handshake(network, &now, trip, draw.on(8).on(attempt));
        if handshake > network.connect_timeout {
            // The node has given this connection up by now. Loopback made it at once: a reset stands in for that.
            sleep(network.connect_timeout).await;
            faults.break_off();
            return plain(StatusCode::SERVICE_UNAVAILABLE);
        }
        there += handshake;
    }
    sleep(there).await;
    // Cut off, it says nothing, and hears nothing either. The sender lives as long as the world.
    let _ = condition.wait_for(|condition| condition.reachable).await;
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
            return sent_back(response, way(world, node, seat, draw_back), &condition, draw_back, faults)
                .await;
        }
        Verdict::Fell => {
            world.note(Fact::Fell { server, at: world.now() });
            stop(world, process);
            return std::future::pending().await;
        }
    }
    let Ok(end) = receiver.await else { return std::future::pending().await };
    let _ = condition.wait_for(|condition| condition.reachable).await;
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
    sent_back(response, way(world, node, seat, draw_back), &condition, draw_back, faults).await
}

/// An answer on its way back: later, or never whole, as the network has it.
async fn sent_back(
    response: Response<Full<Bytes>>,
    way: Duration,
    condition: &watch::Receiver<Condition>,
    draw: Draw,
    faults: &Faults,
) -> Response<Full<Bytes>> {
    let condition = *condition.borrow();
    sleep(way + conduct::held_up(&condition, draw)).await;
    if conduct::breaks_off(&condition, draw) {
        faults.break_off();
    }
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

#[cfg(test)]
mod tests {
    use super::*;
    use crate::script::Script;
    use tokio::io::AsyncReadExt;
    use tokio::task::LocalSet;
    use tokio::time::timeout;

    /// Far longer than anything here takes.
    const PATIENCE: Duration = Duration::from_secs(30);

    /// Runs tasks of one thread; one that would wait for good fails.
    async fn in_a_set(test: impl std::future::Future<Output = ()>) {
        timeout(PATIENCE, LocalSet::new().run_until(test)).await.expect("waited in vain");
    }

    /// One cache server, in a world of its own, that closes idle connections soon.
    async fn one(idle: Duration) -> Rc<World> {
        let mut script = Script::default();
        script.boxes.truncate(1);
        (script.boxes[0].count, script.boxes[0].idle) = (1, Some(idle));
        let world = Rc::new(World::new(script, "no node is started".into()).unwrap());
        start_all(&world).await.unwrap();
        world
    }

    fn dial(world: &World) -> SocketAddr {
        let state = world.state.borrow();
        state.hosts[state.seats[0]].dial
    }

    #[tokio::test]
    async fn a_connection_that_stands_idle_is_closed_unless_it_was_forgotten() {
        in_a_set(async {
            let world = one(Duration::from_millis(20)).await;
            let mut idle = TcpStream::connect(dial(&world)).await.unwrap();
            assert_eq!(idle.read(&mut [0; 1]).await.unwrap(), 0, "closed in order");
            let mut forgotten = TcpStream::connect(dial(&world)).await.unwrap();
            // It is up at the server's end as well.
            while world.state.borrow().processes[0].connections == 0 {
                sleep(LEAST_IDLE).await;
            }
            world.state.borrow().forgotten[0].set(Some(Instant::now()));
            let mut other = TcpStream::connect(dial(&world)).await.unwrap();
            let (mut a, mut b) = ([0; 1], [0; 1]);
            tokio::select! {
                read = forgotten.read(&mut a) => panic!("{read:?}"),
                closed = other.read(&mut b) => assert_eq!(closed.unwrap(), 0),
            }
        })
        .await;
    }

    #[tokio::test]
    async fn a_successor_takes_the_address_of_the_one_before_and_another_name() {
        in_a_set(async {
            let world = one(Duration::from_secs(60)).await;
            let before = dial(&world);
            stop(&world, 0);
            start_again(&world, 0, false, true).await;
            assert_eq!(dial(&world), before);
            let state = world.state.borrow();
            let names: Vec<_> = state.hosts.iter().map(|host| host.name.as_str()).collect();
            assert_eq!(names, ["fast-box-0", "fast-box-0.1"]);
            assert!(state.processes[1].alive && world.failed.borrow().is_none());
        })
        .await;
    }

    #[tokio::test]
    async fn an_address_that_another_has_taken_breaks_the_play_off_and_is_named() {
        in_a_set(async {
            let world = one(Duration::from_secs(60)).await;
            let address = dial(&world);
            stop(&world, 0);
            // The process lets go of its address when it hears that it has ended.
            let _other = loop {
                match TcpListener::bind(address).await {
                    Ok(listener) => break listener,
                    Err(_) => tokio::task::yield_now().await,
                }
            };
            start_again(&world, 0, true, true).await;
            world.failure.notified().await;
            let failed = world.failed.borrow().as_ref().map(ToString::to_string).unwrap();
            assert!(
                failed.starts_with(&format!("a cache server does not start again at {address}: ")),
                "{failed}"
            );
            assert!(world.state.borrow().processes.len() == 1);
        })
        .await;
    }
}
