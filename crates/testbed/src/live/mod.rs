//! The player on sockets: real nodes, as processes, against the stand-ins on loopback in real time.
//!
//! One thread plays all that is not a node: clients and the front before the nodes, cache servers, origin, discovery.
//! Emulated work waits and burns nothing. What loopback cannot do is done next to it: a message's way is waited out at
//! the stand-in, and a server that is cut off still takes connections, but says nothing on them.
//!
//! A play that came late, because the machine was busy, is void: its figure would be the machine's.

mod cache;
mod client;
mod discovery;
mod node;
mod wire;

pub(crate) use node::class_table;

use crate::conduct;
use crate::demand::{Ask, Demand};
use crate::draw::Draw;
use crate::fleet;
use crate::ledger::{Fact, Ledger};
use crate::script::Script;
use crate::simulate::{Played, Sample};
use crate::timeline::{changes, Change, Condition};
use crate::world::{CacheServer, Origin};
use balancer_core::{EndpointState, Timestamp};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use thiserror::Error;
use tokio::sync::{watch, Notify};
use tokio::task::{spawn_local, JoinHandle, LocalSet};
use tokio::time::{sleep, sleep_until, Instant};

/// A timer that rings later than this at its 99th percentile, or than [`LATE_ONCE`] ever, makes a play void.
const LATE: Duration = Duration::from_millis(20);
const LATE_ONCE: Duration = Duration::from_millis(400);
const TICK: Duration = Duration::from_millis(5);

/// Nodes that a play on sockets may have: each is a process.
pub const MOST_NODES: u32 = 2_000;

/// Why a play on sockets came to nothing.
#[derive(Debug, Error)]
pub enum LiveError {
    /// The system would not do what the player needs.
    #[error("{what}: {error}")]
    System {
        /// What was tried.
        what: String,
        /// What the system said.
        error: std::io::Error,
    },
    /// More processes than one machine can stand in for.
    #[error("expected {MOST_NODES} nodes at the most on sockets, found {found}; the player in virtual time takes more")]
    TooManyNodes {
        /// How many the script has.
        found: u32,
    },
    /// A node did not come up.
    #[error("node {node} did not start: {said}")]
    Node {
        /// Which.
        node: usize,
        /// The last that it said.
        said: String,
    },
}

impl LiveError {
    fn system(what: impl Into<String>) -> impl FnOnce(std::io::Error) -> Self {
        let what = what.into();
        move |error| Self::System { what, error }
    }
}

/// What a play on sockets came to.
#[derive(Debug)]
pub struct Live {
    /// As of any play.
    pub played: Played,
    /// How late timers rang: the 99th percentile and the most.
    pub late: (Duration, Duration),
    /// It was broken off.
    pub partial: bool,
    /// What broke it off, where nobody asked for that.
    pub failed: Option<LiveError>,
}

impl Live {
    /// Whether the machine was too busy for the figure to be the script's.
    pub fn void(&self) -> bool {
        self.late.0 > LATE || self.late.1 > LATE_ONCE
    }
}

/// Plays a script with nodes of this program, until it is over or `stop` is told. `progress` hears each second.
pub fn play(
    script: &Script,
    program: &Path,
    mut progress: impl FnMut(Duration, &Sample) + 'static,
    stop: impl std::future::Future<Output = ()>,
) -> Result<Live, LiveError> {
    if script.nodes > MOST_NODES {
        return Err(LiveError::TooManyNodes { found: script.nodes });
    }
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(LiveError::system("the runtime"))?;
    let local = LocalSet::new();
    let world = Rc::new(World::new(script.clone(), program.to_owned())?);
    let result = local.block_on(&runtime, async {
        cache::start_all(&world).await?;
        discovery::start(&world).await?;
        node::start_all(&world).await?;
        world.begin();
        spawn_local(origin(world.clone()));
        spawn_local(incidents(world.clone()));
        let rung = Rc::new(RefCell::new(Vec::new()));
        let lateness = spawn_local(lateness(rung.clone()));
        let sampling = world.clone();
        spawn_local(async move {
            loop {
                sleep(Duration::from_secs(1)).await;
                let sample = sampling.sample();
                progress(sampling.since_start(), &sample);
            }
        });
        let mut partial = true;
        tokio::select! {
            () = client::all(world.clone()) => partial = false,
            () = stop => {}
            () = world.failure.notified() => {}
        }
        lateness.abort();
        let mut all = rung.take();
        all.sort_unstable();
        let at = |part: f64| all.get(((all.len() as f64 * part) as usize).min(all.len().saturating_sub(1)));
        let late = (at(0.99).copied().unwrap_or_default(), all.last().copied().unwrap_or_default());
        Ok((late, partial))
    });
    // Children go with the world; what still runs here goes with the set of tasks.
    drop(local);
    let (late, partial) = result?;
    let state = world.state.borrow_mut();
    let played = state.counts.clone();
    let verdict = world.ledger.replace(Ledger::new(script)).verdict();
    drop(state);
    let ran = played.hits + played.misses;
    let played = Played {
        verdict,
        hit_rate: if ran == 0 { 1.0 } else { played.hits as f64 / ran as f64 },
        fetches: played.fetches,
        origin_queue: played.origin_queue,
        log_lines: played.log_lines,
        samples: played.samples,
        counts: Vec::new(),
        placements_looked_up: 0,
    };
    world.nodes.borrow_mut().clear();
    let failed = world.failed.take();
    Ok(Live { played, late, partial, failed })
}

/// Keeps how late each of a row of timers rings.
async fn lateness(rung: Rc<RefCell<Vec<Duration>>>) {
    loop {
        let due = Instant::now() + TICK;
        sleep_until(due).await;
        rung.borrow_mut().push(due.elapsed());
    }
}

/// Waits until then; where there is no such time, for good.
async fn reach(at: Option<Instant>) {
    match at {
        Some(at) => sleep_until(at).await,
        None => std::future::pending().await,
    }
}

/// A cache server's id, whatever process runs under it.
struct Host {
    name: String,
    seat: usize,
    /// The ledger's number.
    number: usize,
    process: Option<usize>,
    dial: SocketAddr,
    /// As discovery has it.
    state: EndpointState,
    born_ms: u64,
    version: u64,
}

struct Process {
    host: usize,
    server: CacheServer,
    alive: bool,
    connections: u32,
    /// Something came, or it ended.
    news: Rc<Notify>,
    ended: Rc<Notify>,
    /// Holds its address until it has ended.
    accepting: Option<JoinHandle<()>>,
}

#[derive(Clone, Debug, Default)]
struct Counts {
    hits: u64,
    misses: u64,
    sampled_misses: u64,
    fetches: (u64, u64),
    origin_queue: usize,
    log_lines: u64,
    samples: Vec<Sample>,
}

/// A try that a client has sent.
struct Sent {
    ask: usize,
    number: u32,
    node: usize,
    attempts: u32,
}

struct State {
    hosts: Vec<Host>,
    /// By seat: its host of today.
    seats: Vec<usize>,
    /// By seat.
    conditions: Vec<watch::Sender<Condition>>,
    /// By seat.
    forgotten: Vec<wire::Forgotten>,
    processes: Vec<Process>,
    origin: Origin,
    /// Which process a fetch is for.
    fetching: std::collections::HashMap<u64, usize>,
    /// Who waits for a job's end.
    jobs: std::collections::HashMap<u64, tokio::sync::oneshot::Sender<cache::End>>,
    asks: Vec<Ask>,
    tries: Vec<Sent>,
    counts: Counts,
}

struct World {
    script: Script,
    program: PathBuf,
    draw: Draw,
    begun: Cell<Instant>,
    begun_unix_ms: Cell<u64>,
    ledger: RefCell<Ledger>,
    state: RefCell<State>,
    origin_news: Notify,
    nodes: RefCell<Vec<node::Node>>,
    /// Versions of discovery's list; and whether it answers.
    versions: watch::Sender<u64>,
    discovery_up: watch::Sender<bool>,
    /// Of its answers, this part breaks off or can't be read; and how many there have been.
    discovery_breaks: Cell<f64>,
    discovery_told: Cell<u64>,
    discovery_free: Cell<Instant>,
    /// Why the play cannot go on as the script has it.
    failed: RefCell<Option<LiveError>>,
    failure: Notify,
    folder: PathBuf,
}

impl World {
    fn new(script: Script, program: PathBuf) -> Result<Self, LiveError> {
        let folder = std::env::temp_dir().join(format!("cache-balancer-rehearse-{}", std::process::id()));
        std::fs::create_dir_all(&folder).map_err(LiveError::system(format!("{}", folder.display())))?;
        let state = State {
            hosts: Vec::new(),
            seats: Vec::new(),
            conditions: (0..fleet::seats(&script)).map(|_| watch::Sender::default()).collect(),
            forgotten: (0..fleet::seats(&script)).map(|_| Rc::default()).collect(),
            processes: Vec::new(),
            origin: Origin::new(script.origin.clone()),
            fetching: std::collections::HashMap::new(),
            jobs: std::collections::HashMap::new(),
            asks: Vec::new(),
            tries: Vec::new(),
            counts: Counts::default(),
        };
        Ok(Self {
            draw: Draw::new(script.seed).on(0x706c_6179),
            ledger: RefCell::new(Ledger::new(&script)),
            script,
            program,
            begun: Cell::new(Instant::now()),
            begun_unix_ms: Cell::new(unix_ms()),
            state: RefCell::new(state),
            origin_news: Notify::new(),
            nodes: RefCell::default(),
            versions: watch::Sender::new(1),
            discovery_up: watch::Sender::new(true),
            discovery_breaks: Cell::new(0.0),
            discovery_told: Cell::new(0),
            discovery_free: Cell::new(Instant::now()),
            failed: RefCell::default(),
            failure: Notify::new(),
            folder,
        })
    }

    /// Breaks the play off; the first word counts.
    fn fail(&self, error: LiveError) {
        self.failed.borrow_mut().get_or_insert(error);
        self.failure.notify_one();
    }

    /// The play begins: times count from here.
    fn begin(&self) {
        self.begun.set(Instant::now());
        self.begun_unix_ms.set(unix_ms());
    }

    fn now(&self) -> Timestamp {
        Timestamp::default() + self.since_start()
    }

    fn since_start(&self) -> Duration {
        self.begun.get().elapsed()
    }

    fn instant(&self, at: Timestamp) -> Instant {
        self.begun.get() + at.since(Timestamp::default())
    }

    fn note(&self, fact: Fact) {
        self.ledger.borrow_mut().note(fact);
    }

    fn sample(&self) -> Sample {
        let mut state = self.state.borrow_mut();
        let now = self.now();
        let alive = state.processes.iter().filter(|process| process.alive).map(|process| &process.server);
        let misses = state.counts.misses - state.counts.sampled_misses;
        let sample = Sample::of(alive, &state.origin, now, misses);
        state.counts.sampled_misses = state.counts.misses;
        if self.since_start() < self.script.length + Duration::from_millis(500) {
            state.counts.samples.push(sample);
        }
        sample
    }
}

impl Drop for World {
    fn drop(&mut self) {
        // What is left in it is of no use to anyone.
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// Drives the origin: tells cache servers of the fetches that have ended.
async fn origin(world: Rc<World>) {
    loop {
        let next = world.state.borrow().origin.next().map(|at| world.instant(at));
        tokio::select! {
            () = reach(next) => {}
            () = world.origin_news.notified() => {}
        }
        let now = world.now();
        let mut state = world.state.borrow_mut();
        let mut ended = Vec::new();
        state.origin.ended(now, &mut ended);
        for job in ended {
            let Some(process) = state.fetching.remove(&job) else { continue };
            let process = &mut state.processes[process];
            if process.alive {
                process.server.fetched(now, job, true);
                process.news.notify_one();
            }
        }
    }
}

/// Makes the script's changes at their times.
async fn incidents(world: Rc<World>) {
    for (at, change) in changes(&world.script) {
        sleep_until(world.begun.get() + at).await;
        match change {
            Change::Drain { seat } => {
                let host = world.state.borrow().seats[seat];
                let process = world.state.borrow().hosts[host].process;
                if let Some(process) = process {
                    world.state.borrow_mut().processes[process].server.drain();
                    discovery::notice_later(&world, host, EndpointState::Draining, None);
                }
            }
            Change::Stop { seat } => {
                let process = {
                    let state = world.state.borrow();
                    state.hosts[state.seats[seat]].process
                };
                process.into_iter().for_each(|process| cache::stop(&world, process));
            }
            Change::Start { seat, same_id, same_address } => {
                cache::start_again(&world, seat, same_id, same_address).await;
            }
            Change::Pause { seat, length } => {
                let mut state = world.state.borrow_mut();
                let host = state.seats[seat];
                if let Some(process) = state.hosts[host].process {
                    let now = world.now();
                    state.processes[process].server.pause(now, length);
                    state.processes[process].news.notify_one();
                }
            }
            Change::Condition { seat, condition } => {
                let mut state = world.state.borrow_mut();
                state.conditions[seat].send_replace(condition);
                let host = state.seats[seat];
                if let Some(process) = state.hosts[host].process {
                    state.processes[process].server.set_errors(condition.errors);
                }
            }
            Change::Forget { seat } => world.state.borrow().forgotten[seat].set(Some(Instant::now())),
            Change::UpgradeNode { node } => drop(spawn_local(node::upgrade(world.clone(), node))),
            Change::ReloadNode { node } => node::reload(&world, node),
            Change::RestartNode { node, killed, down } => {
                spawn_local(node::restart(world.clone(), node, killed, down));
            }
            Change::Origin { factor } => world.state.borrow_mut().origin.slow_down(factor),
            Change::Discovery { up } => {
                world.discovery_up.send_replace(up);
            }
            Change::DiscoveryBreaks { rate } => world.discovery_breaks.set(rate),
        }
    }
}

/// The asks of the script, each at its time.
fn demand(world: &World) -> Vec<Ask> {
    Demand::new(&world.script).collect()
}

/// One way between a node and a cache server on an ordinary day.
fn way(world: &World, node: usize, seat: usize, draw: Draw) -> Duration {
    let (script, zones) = (&world.script, world.script.zones.len());
    conduct::way(&script.network, node % zones, fleet::zone(script, seat), draw)
}
