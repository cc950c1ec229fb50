//! The state that all tasks of a run share. One thread runs all of them, and none holds a borrow across an `await`.

use super::cache_server::JobResult;
use super::error::SocketRunError;
use super::faulty_stream::ForgottenAt;
use super::node::Node;
use crate::fault_schedule::ServerCondition;
use crate::fleet;
use crate::judge::{Judge, Observation};
use crate::models::cache_server::JobId;
use crate::models::{CacheServer, Origin};
use crate::network_model;
use crate::random::{RandomSource, RUN_STREAM};
use crate::run_result::Sample;
use crate::script::Script;
use crate::workload::{Operation, Workload};
use balancer_core::{EndpointState, Timestamp};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::{oneshot, watch, Notify};
use tokio::task::JoinHandle;
use tokio::time::{sleep_until, Instant};

/// The version of the endpoint list at the start.
const FIRST_LIST_VERSION: u64 = 1;
/// How long after the end of the script samples are still kept.
const LAST_SAMPLE_DELAY: Duration = Duration::from_millis(500);

/// A cache server under one id. Its processes come and go.
pub(super) struct Server {
    pub(super) name: String,
    /// Its index in the fleet. A successor under another name has the same index.
    pub(super) index: usize,
    /// Its number at the judge.
    pub(super) judge_number: usize,
    pub(super) process: Option<usize>,
    pub(super) address: SocketAddr,
    /// Its state as discovery lists it.
    pub(super) state: EndpointState,
    /// When the listed process started, in milliseconds of Unix time; 0 for those of the start.
    pub(super) started_unix_ms: u64,
    /// The version of the list in which it changed last.
    pub(super) version: u64,
}

/// A process of a cache server.
pub(super) struct Process {
    pub(super) server: usize,
    pub(super) model: CacheServer,
    pub(super) alive: bool,
    pub(super) connections: u32,
    /// The model has new work, or the process has ended.
    pub(super) changed: Rc<Notify>,
    pub(super) ended: Rc<Notify>,
    /// The task that accepts connections, which holds the address until it ends.
    pub(super) accepting: Option<JoinHandle<()>>,
}

/// What the result of a run is made of, beside the verdict.
#[derive(Clone, Debug, Default)]
pub(super) struct Statistics {
    pub(super) hits: u64,
    pub(super) misses: u64,
    /// Misses up to the last sample.
    pub(super) sampled_misses: u64,
    pub(super) fetches_accepted: u64,
    pub(super) fetches_rejected: u64,
    pub(super) longest_origin_queue: usize,
    pub(super) log_lines: u64,
    pub(super) samples: Vec<Sample>,
}

/// A request that a client has sent.
pub(super) struct SentRequest {
    pub(super) operation: usize,
    /// Its number within the operation, from 0.
    pub(super) ordinal: u32,
    pub(super) node: usize,
    /// The number of attempts that have reached cache servers.
    pub(super) attempts: u32,
}

pub(super) struct State {
    pub(super) servers: Vec<Server>,
    /// By index in the fleet: the present server.
    pub(super) server_at: Vec<usize>,
    /// By index in the fleet.
    pub(super) conditions: Vec<watch::Sender<ServerCondition>>,
    /// By index in the fleet.
    pub(super) connections_forgotten_at: Vec<ForgottenAt>,
    pub(super) processes: Vec<Process>,
    pub(super) origin: Origin,
    /// The process that a fetch is for.
    pub(super) fetching: HashMap<JobId, usize>,
    /// Notified when a job ends.
    pub(super) jobs: HashMap<JobId, oneshot::Sender<JobResult>>,
    pub(super) operations: Vec<Operation>,
    pub(super) requests: Vec<SentRequest>,
    pub(super) statistics: Statistics,
}

/// The state of the discovery service.
pub(super) struct DiscoveryState {
    pub(super) list_version: watch::Sender<u64>,
    pub(super) available: watch::Sender<bool>,
    /// The fraction of answers that is cut short or malformed.
    pub(super) error_rate: Cell<f64>,
    pub(super) answers: Cell<u64>,
    /// When all lines that it has to send already are sent.
    pub(super) free_at: Cell<Instant>,
}

pub(super) struct Context {
    pub(super) script: Script,
    /// The program of the nodes.
    pub(super) program: PathBuf,
    pub(super) random: RandomSource,
    /// Times of the run count from here.
    pub(super) started_at: Cell<Instant>,
    pub(super) judge: RefCell<Judge>,
    pub(super) state: RefCell<State>,
    pub(super) origin_changed: Notify,
    pub(super) nodes: RefCell<Vec<Node>>,
    pub(super) discovery: DiscoveryState,
    /// Why the run cannot go on.
    pub(super) error: RefCell<Option<SocketRunError>>,
    pub(super) aborted: Notify,
    /// The folder of the nodes' configuration files.
    pub(super) folder: PathBuf,
}

impl Context {
    pub(super) fn new(script: Script, program: PathBuf) -> Result<Self, SocketRunError> {
        let folder = std::env::temp_dir().join(format!("cache-balancer-rehearse-{}", std::process::id()));
        std::fs::create_dir_all(&folder).map_err(SocketRunError::system(format!("{}", folder.display())))?;
        Ok(Self {
            random: RandomSource::new(script.seed).derive(RUN_STREAM),
            judge: RefCell::new(Judge::new(&script)),
            state: RefCell::new(State::new(&script)),
            script,
            program,
            started_at: Cell::new(Instant::now()),
            origin_changed: Notify::new(),
            nodes: RefCell::default(),
            discovery: DiscoveryState {
                list_version: watch::Sender::new(FIRST_LIST_VERSION),
                available: watch::Sender::new(true),
                error_rate: Cell::new(0.0),
                answers: Cell::new(0),
                free_at: Cell::new(Instant::now()),
            },
            error: RefCell::default(),
            aborted: Notify::new(),
            folder,
        })
    }

    /// Aborts the run; the first error counts.
    pub(super) fn abort(&self, error: SocketRunError) {
        self.error.borrow_mut().get_or_insert(error);
        self.aborted.notify_one();
    }

    /// Starts the clock of the run.
    pub(super) fn start_clock(&self) {
        self.started_at.set(Instant::now());
    }

    pub(super) fn now(&self) -> Timestamp {
        Timestamp::default() + self.elapsed()
    }

    pub(super) fn elapsed(&self) -> Duration {
        self.started_at.get().elapsed()
    }

    /// The time of an instant; the run's start, if it was earlier.
    pub(super) fn timestamp(&self, instant: Instant) -> Timestamp {
        Timestamp::default() + instant.saturating_duration_since(self.started_at.get())
    }

    pub(super) fn instant(&self, at: Timestamp) -> Instant {
        self.started_at.get() + at.since(Timestamp::default())
    }

    pub(super) fn record(&self, observation: Observation) {
        self.judge.borrow_mut().record(observation);
    }

    /// The present process at this index in the fleet.
    pub(super) fn process_at(&self, index: usize) -> Option<usize> {
        let state = self.state.borrow();
        state.servers[state.server_at[index]].process
    }

    /// The one-way latency between a node and a cache server, without faults.
    pub(super) fn latency(&self, node: usize, index: usize, random: RandomSource) -> Duration {
        let from = fleet::node_zone(&self.script, node);
        let to = fleet::server_zone(&self.script, index);
        network_model::latency(&self.script.network, from, to, random)
    }

    /// Samples the state of the servers.
    pub(super) fn sample(&self) -> Sample {
        let mut state = self.state.borrow_mut();
        let alive = state.processes.iter().filter(|process| process.alive).map(|process| &process.model);
        let misses = state.statistics.misses - state.statistics.sampled_misses;
        let sample = Sample::of(alive, &state.origin, self.now(), misses);
        state.statistics.sampled_misses = state.statistics.misses;
        if self.elapsed() < self.script.length + LAST_SAMPLE_DELAY {
            state.statistics.samples.push(sample);
        }
        sample
    }
}

impl Drop for Context {
    fn drop(&mut self) {
        // Best effort: the files are of no use any more.
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl State {
    fn new(script: &Script) -> Self {
        let servers = fleet::server_count(script);
        Self {
            servers: Vec::new(),
            server_at: Vec::new(),
            conditions: (0..servers).map(|_| watch::Sender::default()).collect(),
            connections_forgotten_at: (0..servers).map(|_| Rc::default()).collect(),
            processes: Vec::new(),
            origin: Origin::new(script.origin.clone()),
            fetching: HashMap::new(),
            jobs: HashMap::new(),
            operations: Workload::new(script).collect(),
            requests: Vec::new(),
            statistics: Statistics::default(),
        }
    }
}

/// The present Unix time in milliseconds.
pub(super) fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// Sleeps until a time; without one, forever.
pub(super) async fn sleep_until_some(at: Option<Instant>) {
    match at {
        Some(at) => sleep_until(at).await,
        None => std::future::pending().await,
    }
}
