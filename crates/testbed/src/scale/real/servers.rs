//! Stand-in cache servers, up to 1,100 in this process: the state machine of [`crate::world`] behind a listener each.
//!
//! Each has a loopback address of its own, and keeps it when it is gone: what is sent to it then is noted for the judge
//! and broken off, as by a machine whose process has died. Work waits and burns nothing; fetches from the origin take no
//! time.

use super::recorder::{lock, Recorder};
use super::{answer_body, notification_judge::Wanted, zone_number, RealError};
use crate::judge::Observation;
use crate::models::cache_server::{Job, JobId, ServerOutput};
use crate::models::{CacheServer, OfferResult};
use crate::random::RandomSource;
use crate::scale::messages::ListedServer;
use crate::script::{Script, ServerKind};
use balancer_core::Timestamp;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use rustix::process::{getrlimit, Resource};
use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use thiserror::Error;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{oneshot, watch, Notify, Semaphore};
use tokio::task::JoinSet;
use tokio::time::{sleep, sleep_until};

/// More cache servers than this are not started in one process.
pub const MOST_SERVERS: u32 = 1_100;
/// Connections that all cache servers hold together; a further one is closed at once and counted.
const MOST_CONNECTIONS: usize = 12_000;
/// Descriptors that are left for the rest of the process, and at most half of what it may hold.
const DESCRIPTORS_ASIDE: u64 = 2_000;
/// Attempts of a request are numbered below this.
const ATTEMPTS: u64 = 32;
/// Servers whose addresses differ in their last byte only.
const ADDRESSES_A_ROW: u32 = 250;
/// The second byte of the addresses, 127.80.y.z.
const ADDRESS_BLOCK: u8 = 80;
/// Cache servers that share their memory of keyed repeats.
const CELL: u32 = 8;
/// A body that is longer is not read.
const LONGEST_BODY: usize = 64 << 10;
/// Accepting goes on after a failure such as a lack of descriptors, but not at once.
const ACCEPT_AGAIN: Duration = Duration::from_millis(50);

/// How cache servers are made.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerSettings {
    /// How many, from 1 to [`MOST_SERVERS`].
    pub count: u32,
    /// Their zones, dealt out in turn; at least one.
    pub zones: Vec<String>,
}

/// What every stand-in is; nodes are told the same of them.
pub fn kind() -> ServerKind {
    ServerKind { name: "standard".into(), error_rate: 0.0, ..ServerKind::default() }
}

/// What a process at an address does with requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Serving,
    /// Turns away what is new.
    Draining,
    /// There is none.
    Ended,
}

#[derive(Debug)]
struct Process {
    listed: ListedServer,
    /// The judge's number.
    number: usize,
    phase: Phase,
    machine: CacheServer,
    /// Who waits for the end of a job.
    waiting: HashMap<JobId, oneshot::Sender<()>>,
    connections: u32,
}

#[derive(Debug)]
struct Server {
    process: Mutex<Process>,
    /// Something came, or a process began.
    news: Notify,
    /// Counts the processes here; connections end with theirs.
    lives: watch::Sender<u64>,
}

/// What all servers share.
#[derive(Debug)]
struct Shared {
    recorder: Arc<Recorder>,
    connections: Arc<Semaphore>,
    turned_away: AtomicU64,
}

/// See the module's page. The servers end when this is dropped, and the nodes that use them as well.
#[derive(Clone, Debug)]
pub struct CacheServers(Arc<Inner>);

#[derive(Debug)]
struct Inner {
    servers: Vec<Arc<Server>>,
    by_address: HashMap<SocketAddr, usize>,
    zones: Vec<String>,
    shared: Arc<Shared>,
    /// Dropped with this, they are aborted.
    _tasks: JoinSet<()>,
}

impl CacheServers {
    /// Starts cache servers, all warm.
    ///
    /// # Errors
    ///
    /// Where the count is not from 1 to [`MOST_SERVERS`], no zone is named, or the system lets this process hold too few
    /// descriptors.
    pub async fn start(settings: ServerSettings) -> Result<Self, RealError> {
        let ServerSettings { count, zones } = settings;
        if !(1..=MOST_SERVERS).contains(&count) {
            return Err(RealError::Servers { found: count });
        }
        if zones.is_empty() {
            return Err(RealError::Zones);
        }
        let connections = Arc::new(Semaphore::new(connections(count)?));
        let recorder = Arc::new(Recorder::new());
        let shared = Arc::new(Shared { recorder, connections, turned_away: AtomicU64::new(0) });
        let (mut servers, mut by_address) = (Vec::new(), HashMap::new());
        let mut tasks = JoinSet::new();
        for place in 0..count {
            let listener = TcpListener::bind(SocketAddr::from((address(place), 0)));
            let listener = listener.await.map_err(RealError::system("a cache server's socket"))?;
            let dial = listener.local_addr().map_err(RealError::system("a cache server's socket"))?;
            let listed = first_entry(place, dial, &zones);
            let server = Arc::new(Server::new(listed, &zones, &shared.recorder));
            by_address.insert(dial, servers.len());
            tasks.spawn(accept(shared.clone(), server.clone(), listener));
            tasks.spawn(drive(shared.recorder.clone(), server.clone()));
            servers.push(server);
        }
        Ok(Self(Arc::new(Inner { servers, by_address, zones, shared, _tasks: tasks })))
    }

    /// The list as it holds now, without those that are gone.
    pub fn servers(&self) -> Vec<ListedServer> {
        let processes = self.0.servers.iter().map(|server| lock(&server.process));
        processes.filter(|process| process.phase != Phase::Ended).map(|p| p.listed.clone()).collect()
    }

    /// Takes in what discovery has of a cache server since `at_us`, in microseconds of Unix time: it drains, is gone, or
    /// is ready. One that was gone, or has started since, comes back cold, under another name perhaps.
    ///
    /// # Errors
    ///
    /// Where nothing listens at the entry's address here, or its health is none of discovery's words.
    pub fn notify(&self, entry: &ListedServer, at_us: u64) -> Result<(), RealError> {
        let unknown = || RealError::UnknownServer { host: entry.host.clone(), dial: entry.dial };
        let server = &self.0.servers[*self.0.by_address.get(&entry.dial).ok_or_else(unknown)?];
        let recorder = &self.0.shared.recorder;
        let (at, zone) = (recorder.time(at_us), zone_number(&self.0.zones, &entry.site));
        let number = recorder.judge(|judge| judge.server(&entry.host, zone, entry.block));
        match entry.health.as_str() {
            "draining" => {
                recorder.judge(|judge| judge.changed(number, at, Wanted::Nothing));
                server.drain(entry);
            }
            "gone" => {
                recorder.judge(|judge| judge.changed(number, at, Wanted::Nothing));
                server.end(entry);
            }
            "ready" => {
                recorder.judge(|judge| judge.changed(number, at, Wanted::Requests));
                server.ready(entry, number, recorder.now());
            }
            other => return Err(RealError::Health { host: entry.host.clone(), found: other.to_owned() }),
        }
        Ok(())
    }

    /// Connections that were closed at once, since servers held as many as they may.
    pub fn turned_away(&self) -> u64 {
        self.0.shared.turned_away.load(Ordering::Relaxed)
    }

    /// Descriptors that the servers hold at the most: listeners and connections.
    pub fn most_descriptors(&self) -> usize {
        let connections = &self.0.shared.connections;
        self.0.servers.len() + MOST_CONNECTIONS.min(connections.available_permits() + self.connections())
    }

    /// Connections that the servers hold.
    pub fn connections(&self) -> usize {
        self.0.servers.iter().map(|server| lock(&server.process).connections as usize).sum()
    }

    pub(super) fn recorder(&self) -> &Arc<Recorder> {
        &self.0.shared.recorder
    }
}

/// How many connections this process may hold beside so many listeners.
fn connections(listeners: u32) -> Result<usize, RealError> {
    let limit = getrlimit(Resource::Nofile).current.unwrap_or(u64::MAX);
    let aside = DESCRIPTORS_ASIDE.min(limit / 2);
    let left = limit.saturating_sub(aside + u64::from(listeners));
    // Each server can hold one at least.
    if left < u64::from(listeners) {
        return Err(RealError::Descriptors { needed: aside + 2 * u64::from(listeners), limit });
    }
    Ok(usize::try_from(left).unwrap_or(usize::MAX).min(MOST_CONNECTIONS))
}

fn address(place: u32) -> Ipv4Addr {
    let (row, last) = (place / ADDRESSES_A_ROW, place % ADDRESSES_A_ROW + 1);
    Ipv4Addr::new(127, ADDRESS_BLOCK, row as u8, last as u8)
}

fn first_entry(place: u32, dial: SocketAddr, zones: &[String]) -> ListedServer {
    let kind = kind();
    ListedServer {
        host: format!("server-{place}"),
        dial,
        site: zones[place as usize % zones.len()].clone(),
        share: f64::from(kind.cores) * kind.speed,
        class: kind.name,
        block: u64::from(place / CELL),
        health: "ready".into(),
        born_ms: 0,
    }
}

impl Server {
    fn new(listed: ListedServer, zones: &[String], recorder: &Recorder) -> Self {
        let zone = zone_number(zones, &listed.site);
        let number = recorder.judge(|judge| judge.server(&listed.host, zone, listed.block));
        let process = Process {
            listed,
            number,
            phase: Phase::Serving,
            machine: machine(recorder.now(), true),
            waiting: HashMap::new(),
            connections: 0,
        };
        Self { process: Mutex::new(process), news: Notify::new(), lives: watch::Sender::new(0) }
    }

    fn drain(&self, entry: &ListedServer) {
        let mut process = lock(&self.process);
        if process.phase == Phase::Serving && process.listed.host == entry.host {
            process.phase = Phase::Draining;
            process.listed = entry.clone();
        }
    }

    fn end(&self, entry: &ListedServer) {
        let mut process = lock(&self.process);
        // A successor at the same address stays.
        if process.listed.host == entry.host {
            self.end_process(&mut process);
            process.listed = entry.clone();
        }
    }

    /// What is under way breaks off.
    fn end_process(&self, process: &mut Process) {
        process.phase = Phase::Ended;
        process.waiting.clear();
        self.lives.send_modify(|lives| *lives += 1);
    }

    fn ready(&self, entry: &ListedServer, number: usize, now: Timestamp) {
        let mut process = lock(&self.process);
        let same = process.listed.host == entry.host && process.listed.born_ms == entry.born_ms;
        if process.phase == Phase::Ended || !same {
            self.end_process(&mut process);
            process.machine = machine(now, false);
        }
        process.phase = Phase::Serving;
        process.number = number;
        process.listed = entry.clone();
        self.news.notify_one();
    }
}

fn machine(now: Timestamp, warm: bool) -> CacheServer {
    let base = Script::default();
    CacheServer::new(kind(), base.rules, base.load_reports, now, warm)
}

async fn accept(shared: Arc<Shared>, server: Arc<Server>, listener: TcpListener) {
    // Dropped with this future, all of them are aborted: their sockets close.
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => drop(connections.spawn(connection(shared.clone(), server.clone(), stream))),
                Err(_) => sleep(ACCEPT_AGAIN).await,
            },
            Some(_) = connections.join_next() => {}
        }
    }
}

/// Counts a connection for as long as it lasts.
struct Counted(Arc<Server>);

impl Drop for Counted {
    fn drop(&mut self) {
        lock(&self.0.process).connections -= 1;
    }
}

fn counted(server: &Arc<Server>) -> Option<Counted> {
    let mut process = lock(&server.process);
    if process.connections >= process.machine.max_connections() {
        return None;
    }
    process.connections += 1;
    Some(Counted(server.clone()))
}

async fn connection(shared: Arc<Shared>, server: Arc<Server>, stream: TcpStream) {
    let permit = shared.connections.clone().try_acquire_owned();
    let (Ok(_permit), Some(_counted)) = (permit, counted(&server)) else {
        shared.turned_away.fetch_add(1, Ordering::Relaxed);
        return;
    };
    // It fails only where the other end has gone already.
    let _ = stream.set_nodelay(true);
    let mut lives = server.lives.subscribe();
    let service = service_fn(|request| respond(shared.recorder.clone(), server.clone(), request));
    tokio::select! {
        // How it ends is the node's affair: the judge counts what ran and what was answered.
        _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service) => {}
        // The sender lives as long as the server.
        _ = lives.changed() => {}
    }
}

/// The process that should answer has ended, or the request is none.
#[derive(Debug, Error)]
#[error("the connection breaks off")]
struct BrokenOff;

type Answer = Response<Full<Bytes>>;

async fn respond(
    recorder: Arc<Recorder>,
    server: Arc<Server>,
    request: Request<Incoming>,
) -> Result<Answer, BrokenOff> {
    let Some((id, attempt, work)) = noted(&recorder, &server, &request) else {
        return Ok(plain(StatusCode::BAD_REQUEST));
    };
    let write = request.method() == Method::PUT;
    let key = request.uri().path().rsplit('/').next().and_then(|key| u64::from_str_radix(key, 16).ok());
    let Some(key) = key else { return Ok(plain(StatusCode::BAD_REQUEST)) };
    let body = http_body_util::Limited::new(request.into_body(), LONGEST_BODY).collect();
    // A body that never comes whole has started nothing.
    body.await.map_err(|_| BrokenOff)?;
    let job_id = id * ATTEMPTS + u64::from(attempt) % ATTEMPTS;
    let random = RandomSource::new(id).derive(u64::from(attempt));
    let job = Job { id: job_id, key, initial_rank: None, work, write, handshake: Duration::ZERO, random };
    let done = match server.offer(&recorder, job) {
        Offered::Taken(done) => done,
        Offered::Declined => return Ok(declined()),
        Offered::Ended => return Err(BrokenOff),
    };
    done.await.map_err(|_| BrokenOff)?;
    Ok(Response::new(Full::new(Bytes::from(answer_body(id)))))
}

/// Tells the judge of an attempt: the request, which attempt at it this is, and its work.
fn noted(recorder: &Recorder, server: &Server, request: &Request<Incoming>) -> Option<(u64, u32, Duration)> {
    let id = request.headers().get("req-id")?.to_str().ok()?;
    let id = u64::from_str_radix(id, 16).ok()?;
    let sent = recorder.attempt(id)?;
    let number = lock(&server.process).number;
    recorder.record(|at| Observation::AttemptSent { request: id, server: number, at });
    Some((id, sent.attempts, sent.work))
}

enum Offered {
    Taken(oneshot::Receiver<()>),
    Declined,
    Ended,
}

impl Server {
    fn offer(&self, recorder: &Recorder, job: Job) -> Offered {
        let mut process = lock(&self.process);
        match process.phase {
            Phase::Serving => {}
            Phase::Draining => return Offered::Declined,
            Phase::Ended => return Offered::Ended,
        }
        let (now, id) = (recorder.now(), job.id);
        match process.machine.offer(now, job) {
            OfferResult::Accepted => {
                let (sender, receiver) = oneshot::channel();
                process.waiting.insert(id, sender);
                self.news.notify_one();
                Offered::Taken(receiver)
            }
            OfferResult::Declined => Offered::Declined,
            OfferResult::Overloaded => {
                let server = process.number;
                recorder.record(|at| Observation::ServerOverloaded { server, at });
                self.end_process(&mut process);
                Offered::Ended
            }
        }
    }

    /// Goes on up to now; when there is more to do.
    fn advance(&self, recorder: &Recorder) -> Option<Timestamp> {
        let mut process = lock(&self.process);
        if process.phase == Phase::Ended {
            return None;
        }
        let now = recorder.now();
        loop {
            let mut did = Vec::new();
            process.machine.advance(now, &mut did);
            if did.is_empty() {
                return process.machine.next_wakeup();
            }
            for did in did {
                match did {
                    ServerOutput::Fetch(job) => process.machine.fetch_ended(now, job, true),
                    ServerOutput::Finished { id, .. } => {
                        let server = process.number;
                        recorder.record(|at| Observation::Executed { request: id / ATTEMPTS, server, at });
                        if let Some(waiting) = process.waiting.remove(&id) {
                            // Whoever asked may have gone: the work was done all the same.
                            let _ = waiting.send(());
                        }
                    }
                }
            }
        }
    }
}

/// Drives the state machine of a server.
async fn drive(recorder: Arc<Recorder>, server: Arc<Server>) {
    loop {
        match server.advance(&recorder) {
            Some(at) => tokio::select! {
                () = sleep_until(recorder.instant(at)) => {}
                () = server.news.notified() => {}
            },
            None => server.news.notified().await,
        }
    }
}

fn plain(status: StatusCode) -> Answer {
    let mut response = Response::new(Full::new(Bytes::new()));
    *response.status_mut() = status;
    response
}

fn declined() -> Answer {
    let mut response = plain(StatusCode::SERVICE_UNAVAILABLE);
    response.headers_mut().insert("srv-declined", HeaderValue::from_static("1"));
    response
}
