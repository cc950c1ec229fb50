//! The state that all tasks of a run share. All tasks run on one thread, and none holds a borrow across an
//! `await`.

use super::cache_server::JobResult;
use super::error::SocketRunError;
use super::faulty_stream::StateLostAt;
use super::node::Node;
use crate::fault_schedule::ServerCondition;
use crate::fleet;
use crate::judge::{Judge, Observation};
use crate::models::cache_server::JobId;
use crate::models::{CacheServer, Origin};
use crate::network_model;
use crate::random::{RandomSource, RUN_PURPOSE};
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

/// Version of the endpoint list at the start of a run.
const FIRST_LIST_VERSION: u64 = 1;
/// Samples that are taken later than this after the end of the script are not kept.
const LAST_SAMPLE_DELAY: Duration = Duration::from_millis(500);

/// A cache server with one id. It runs at most one process at a time.
pub(super) struct Server {
    pub(super) name: String,
    /// Index in the fleet. A successor under another id has the same index.
    pub(super) index: usize,
    /// Number that the judge assigned to the server.
    pub(super) judge_number: usize,
    /// Index of the running process; `None` while there is none.
    pub(super) process: Option<usize>,
    pub(super) address: SocketAddr,
    /// State in discovery's endpoint list.
    pub(super) state: EndpointState,
    /// Start time of the listed process in Unix milliseconds; 0 if it was started with the run.
    pub(super) started_unix_ms: u64,
    /// Version of the endpoint list in which the server last changed.
    pub(super) version: u64,
}

/// A process of a cache server.
pub(super) struct Process {
    pub(super) server: usize,
    pub(super) model: CacheServer,
    pub(super) alive: bool,
    pub(super) connections: u32,
    /// Notified when the model has new work or the process has ended.
    pub(super) changed: Rc<Notify>,
    /// Notified when the process has ended.
    pub(super) ended: Rc<Notify>,
    /// The task that accepts connections. The listening address is in use until this task ends.
    pub(super) accepting: Option<JoinHandle<()>>,
}

/// Figures of a run's result other than the verdict.
#[derive(Clone, Debug, Default)]
pub(super) struct Statistics {
    pub(super) hits: u64,
    pub(super) misses: u64,
    /// Misses that earlier samples have counted.
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
    /// Number of the request within the operation, from 0.
    pub(super) ordinal: u32,
    pub(super) node: usize,
    /// Number of attempts that have reached cache servers.
    pub(super) attempts: u32,
}

pub(super) struct State {
    pub(super) servers: Vec<Server>,
    /// The current server at each index in the fleet.
    pub(super) server_at: Vec<usize>,
    /// Network and error faults at each index in the fleet.
    pub(super) conditions: Vec<watch::Sender<ServerCondition>>,
    /// When the connection state was last lost, at each index in the fleet.
    pub(super) connection_state_lost_at: Vec<StateLostAt>,
    pub(super) processes: Vec<Process>,
    pub(super) origin: Origin,
    /// The process that each fetch at the origin belongs to.
    pub(super) fetch_processes: HashMap<JobId, usize>,
    /// Receives the result of each unfinished job.
    pub(super) job_waiters: HashMap<JobId, oneshot::Sender<JobResult>>,
    pub(super) operations: Vec<Operation>,
    pub(super) requests: Vec<SentRequest>,
    pub(super) statistics: Statistics,
}

/// The state of the discovery service.
pub(super) struct DiscoveryState {
    pub(super) list_version: watch::Sender<u64>,
    pub(super) available: watch::Sender<bool>,
    /// Fraction of answers that are truncated or malformed.
    pub(super) error_rate: Cell<f64>,
    /// Number of answers so far.
    pub(super) answers: Cell<u64>,
    /// When all lines that are already queued will have been sent.
    pub(super) free_at: Cell<Instant>,
}

pub(super) struct Context {
    pub(super) script: Script,
    /// The executable that nodes run.
    pub(super) program: PathBuf,
    pub(super) random: RandomSource,
    /// Start of the run's clock.
    pub(super) started_at: Cell<Instant>,
    pub(super) judge: RefCell<Judge>,
    pub(super) state: RefCell<State>,
    pub(super) origin_changed: Notify,
    pub(super) nodes: RefCell<Vec<Node>>,
    pub(super) discovery: DiscoveryState,
    /// The first error that aborted the run.
    pub(super) error: RefCell<Option<SocketRunError>>,
    pub(super) aborted: Notify,
    /// Temporary folder for the nodes' configuration files.
    pub(super) folder: PathBuf,
}

impl Context {
    pub(super) fn new(script: Script, program: PathBuf) -> Result<Self, SocketRunError> {
        let folder = std::env::temp_dir().join(format!("cache-balancer-rehearse-{}", std::process::id()));
        std::fs::create_dir_all(&folder).map_err(SocketRunError::system(format!("{}", folder.display())))?;
        Ok(Self {
            random: RandomSource::new(script.seed).derive(RUN_PURPOSE),
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

    /// Aborts the run. Only the first error is kept.
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

    /// Converts an instant to a time of the run. An instant before the run's start becomes the start.
    pub(super) fn timestamp(&self, instant: Instant) -> Timestamp {
        Timestamp::default() + instant.saturating_duration_since(self.started_at.get())
    }

    pub(super) fn instant(&self, at: Timestamp) -> Instant {
        self.started_at.get() + at.since(Timestamp::default())
    }

    pub(super) fn record(&self, observation: Observation) {
        self.judge.borrow_mut().record(observation);
    }

    /// Returns the process that runs at this index in the fleet.
    pub(super) fn process_at(&self, index: usize) -> Option<usize> {
        let state = self.state.borrow();
        state.servers[state.server_at[index]].process
    }

    /// Returns the one-way latency between a node and a cache server, without faults.
    pub(super) fn latency(&self, node: usize, index: usize, random: RandomSource) -> Duration {
        let from = fleet::node_zone(&self.script, node);
        let to = fleet::server_zone(&self.script, index);
        network_model::latency(&self.script.network, from, to, random)
    }

    /// Samples the state of the cache servers and the origin.
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
        // Best effort: the files are no longer needed.
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
            connection_state_lost_at: (0..servers).map(|_| Rc::default()).collect(),
            processes: Vec::new(),
            origin: Origin::new(script.origin.clone()),
            fetch_processes: HashMap::new(),
            job_waiters: HashMap::new(),
            operations: Workload::new(script).collect(),
            requests: Vec::new(),
            statistics: Statistics::default(),
        }
    }
}

/// Returns the current Unix time in milliseconds.
pub(super) fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// Sleeps until `at`, or forever if it is `None`.
pub(super) async fn sleep_until_or_forever(at: Option<Instant>) {
    match at {
        Some(at) => sleep_until(at).await,
        None => std::future::pending().await,
    }
}
