//! Real nodes of a scale run, which run beside the hollow ones: up to 64 processes of the daemon under a
//! light load. A judge checks the four rules on them.
//!
//! - [`CacheServers`] runs up to 1,100 stand-ins on loopback in this process. Discovery lists their entries.
//! - [`RealNodes`] starts the nodes, sends requests to them, applies changes of discovery's list and reports
//!   at the end.
//! - [`NotificationJudge`] determines when a node counts as notified of a change; the [`Judge`](crate::Judge)
//!   checks the rules.
//!
//! Discovery runs in another process, so the messages that it sends to a node are not observed. The judge
//! therefore relies on the operators' definition alone: a node is notified of a change 6 s after discovery
//! had it and could be reached ([`notification_judge::NOTIFIED_AFTER`]). The 6 s start again at the end of an
//! outage and at the start of the node. The drain grace of 0.5 s and the judge's tolerance of 50 ms are
//! added. A node that was notified earlier is still judged by the 6 s, so this judge is less strict than one
//! that sees the messages. An attempt is timed when it reaches the stand-in.
//!
//! All tasks are spawned on the caller's runtime. Nodes are started with `--with-parent`, which ends them
//! when the thread that started them ends, so start them from a thread that outlives the run. Dropping
//! [`RealNodes`] kills the nodes and removes the temporary folder with their configuration files, also after
//! errors. A program that handles Ctrl-C must drop it then.

mod error;
mod load;
pub mod notification_judge;
mod process;
mod recorder;
mod report;
mod servers;
mod settings;
mod usage;

pub use error::RealError;
pub use notification_judge::NotificationJudge;
pub use report::{Latency, NodeUsage, RealReport, ViolationCounts};
pub use servers::{CacheServers, ServerSettings, MAX_SERVERS};
pub use settings::{classes, RealSettings, MAX_NODES};
pub use usage::Usage;

use crate::judge::{FinalAnswer, Observation, RequestNumber};
use crate::random::RandomSource;
use crate::scale::messages::ListedServer;
use load::{Clients, Node, Statistics};
use process::Process;
use recorder::lock;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use tempfile::TempDir;
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet};

/// The purpose of the random values of the load.
const LOAD_PURPOSE: u64 = 0x7265_616c;

/// Returns the response body for a request, which is unique to it.
fn response_body(request: RequestNumber) -> String {
    format!("answer to {request:x}")
}

/// A node that can be killed and started again.
#[derive(Debug)]
struct NodeProcess {
    config_file: PathBuf,
    process: Option<Process>,
    /// The usage of the earlier processes of the node.
    earlier_usage: Usage,
}

/// Real nodes under load; see the module documentation.
#[derive(Debug)]
pub struct RealNodes {
    servers: CacheServers,
    settings: RealSettings,
    processes: Vec<NodeProcess>,
    nodes: Arc<Vec<Node>>,
    statistics: Arc<Statistics>,
    log_lines: Arc<AtomicU64>,
    stop: watch::Sender<bool>,
    load: JoinHandle<()>,
    /// The folder of the configuration files. It is declared after the processes, so that it is dropped after
    /// them.
    folder: TempDir,
}

impl Drop for RealNodes {
    fn drop(&mut self) {
        self.load.abort();
    }
}

impl RealNodes {
    /// Starts the nodes, waits until all are ready, and starts the load.
    ///
    /// # Errors
    ///
    /// Returns an error if a setting is out of range, the cache servers were used in an earlier run, the
    /// program cannot be run, or a node is not ready in time.
    pub async fn start(servers: &CacheServers, settings: RealSettings) -> Result<Self, RealError> {
        settings.check()?;
        let folder = tempfile::Builder::new().prefix("cache-balancer-scale-").tempdir();
        let folder = folder.map_err(RealError::system("a temporary folder"))?;
        if !servers.recorder().start_run(settings.count as usize) {
            return Err(RealError::ServersReused);
        }
        let log_lines = Arc::<AtomicU64>::default();
        let processes = start_all(&settings, &folder, &log_lines).await?;
        let nodes: Arc<Vec<_>> = Arc::new(processes.iter().map(|_| Node::new()).collect());
        for (number, node) in processes.iter().enumerate() {
            servers.recorder().record(|_| Observation::NodeStarted { node: number });
            node.process.iter().for_each(|process| nodes[number].set_started(process.address));
        }
        let (stop, stopped) = watch::channel(false);
        let statistics = Arc::<Statistics>::default();
        let clients = Clients {
            rate: settings.rate,
            classes: settings.classes.clone(),
            random: RandomSource::new(settings.seed).derive(LOAD_PURPOSE),
            nodes: nodes.clone(),
            recorder: servers.recorder().clone(),
            statistics: statistics.clone(),
        };
        let load = tokio::spawn(Arc::new(clients).run(stopped));
        let servers = servers.clone();
        Ok(Self { servers, settings, processes, nodes, statistics, log_lines, stop, load, folder })
    }

    /// Applies an entry that discovery has had since `at_us`; see [`CacheServers::apply_entry`].
    ///
    /// # Errors
    ///
    /// Returns the errors of [`CacheServers::apply_entry`].
    pub fn apply_entry(&self, entry: &ListedServer, at_us: u64) -> Result<(), RealError> {
        self.servers.apply_entry(entry, at_us)
    }

    /// Records an outage of discovery for all nodes; the times are microseconds of Unix time.
    pub fn record_outage(&self, from_us: u64, to_us: u64) {
        let recorder = self.servers.recorder();
        let (from, to) = (recorder.time(from_us), recorder.time(to_us));
        recorder.with_judge(|judge| judge.record_outage(from, to));
    }

    /// Kills a node and waits until it has ended. Its requests in flight are excused.
    ///
    /// # Errors
    ///
    /// Returns [`RealError::NoNode`] if the node does not exist or does not run.
    pub async fn kill(&mut self, node: u32) -> Result<(), RealError> {
        let number = node as usize;
        let state = self.processes.get_mut(number);
        let running = state.and_then(|state| Some((state.process.take()?, &mut state.earlier_usage)));
        let Some((mut process, earlier_usage)) = running else {
            return Err(RealError::NoNode { node, expected: "runs" });
        };
        let used = usage(&process);
        *earlier_usage =
            Usage { processor: earlier_usage.processor + used.processor, rss_anon: used.rss_anon };
        self.nodes[number].set_being_killed();
        process.kill().await;
        self.servers.recorder().record(|at| Observation::NodeKilled { node: number, at });
        self.nodes[number].set_ended();
        Ok(())
    }

    /// Starts a node that was killed, without learned state, and waits until it is ready.
    ///
    /// # Errors
    ///
    /// Returns an error if the node does not exist, already runs or does not start.
    pub async fn launch(&mut self, node: u32) -> Result<(), RealError> {
        let number = node as usize;
        let state = self.processes.get_mut(number).filter(|state| state.process.is_none());
        let Some(state) = state else {
            return Err(RealError::NoNode { node, expected: "was killed" });
        };
        let log_lines = self.log_lines.clone();
        let process = Process::start(&self.settings.program, &state.config_file, node, log_lines).await?;
        self.servers.recorder().record(|_| Observation::NodeStarted { node: number });
        self.nodes[number].set_started(process.address);
        state.process = Some(process);
        Ok(())
    }

    /// Returns the number of requests that clients have started so far.
    pub fn requests(&self) -> u64 {
        self.servers.recorder().requests()
    }

    /// Returns the folder of the nodes' configuration files, which is removed with the nodes.
    pub fn folder(&self) -> &Path {
        self.folder.path()
    }

    /// Returns the process ids of the running nodes.
    pub fn process_ids(&self) -> Vec<u32> {
        self.processes.iter().filter_map(|state| state.process.as_ref()?.id()).collect()
    }

    /// Returns the resource usage of each node so far.
    pub fn usage(&self) -> Vec<NodeUsage> {
        let usage = self.processes.iter().enumerate().map(|(number, state)| {
            let current = state.process.as_ref().map(usage);
            let processor = state.earlier_usage.processor + current.unwrap_or_default().processor;
            NodeUsage {
                name: process::name(number as u32),
                running: current.is_some(),
                processor_us: u64::try_from(processor.as_micros()).unwrap_or(u64::MAX),
                rss_anon: current.unwrap_or(state.earlier_usage).rss_anon,
            }
        });
        usage.collect()
    }

    /// Stops the load, waits for the requests in flight, ends the nodes, and returns the report with the
    /// judge's verdict.
    pub async fn finish(mut self) -> RealReport {
        // `send_replace` also works if the load ran out and dropped the receiver.
        self.stop.send_replace(true);
        // The load ends soon, since each request ends by its deadline.
        let _ = (&mut self.load).await;
        let nodes = self.usage();
        self.processes.clear();
        let verdict = self.servers.recorder().verdict(self.settings.classes.clone());
        let count = |answer: FinalAnswer| verdict.answers[answer as usize];
        let served = count(FinalAnswer::Served);
        let rejected = count(FinalAnswer::Rejected);
        let failed = count(FinalAnswer::Failed);
        let latencies = std::mem::take(&mut *lock(&self.statistics.latencies_us));
        RealReport {
            requests: verdict.accepted,
            served,
            rejected,
            failed,
            unanswered: verdict.accepted - served - rejected - failed,
            not_sent: self.statistics.not_sent.load(Ordering::Relaxed),
            load_ran_out: self.statistics.load_ran_out.load(Ordering::Relaxed),
            longest_delay_us: self.statistics.longest_delay_us.load(Ordering::Relaxed),
            attempts: verdict.attempts,
            rejected_connections: self.servers.rejected_connections(),
            log_lines: self.log_lines.load(Ordering::Relaxed),
            violation_counts: ViolationCounts::of(&verdict),
            violations: verdict.violations,
            latency: Latency::of(latencies),
            nodes,
        }
    }
}

/// Starts all nodes concurrently.
async fn start_all(
    settings: &RealSettings,
    folder: &TempDir,
    log_lines: &Arc<AtomicU64>,
) -> Result<Vec<NodeProcess>, RealError> {
    let mut starting = JoinSet::new();
    let mut processes = Vec::new();
    for node in 0..settings.count {
        let config_file = folder.path().join(format!("{}.toml", process::name(node)));
        let written = std::fs::write(&config_file, process::config(settings, node));
        written.map_err(RealError::system(config_file.display().to_string()))?;
        let (program, path, lines) = (settings.program.clone(), config_file.clone(), log_lines.clone());
        processes.push(NodeProcess { config_file, process: None, earlier_usage: Usage::default() });
        starting.spawn(async move { (node, Process::start(&program, &path, node, lines).await) });
    }
    while let Some(started) = starting.join_next().await {
        // A task that panicked has dropped its process, which kills the process.
        let Ok((node, process)) = started else { continue };
        processes[node as usize].process = Some(process?);
    }
    Ok(processes)
}

/// Returns the resource usage of a process, or zero if it has ended.
fn usage(process: &Process) -> Usage {
    process.id().and_then(|id| Usage::of(id).ok()).unwrap_or_default()
}
