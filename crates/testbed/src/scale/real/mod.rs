//! Real nodes beside the hollow ones of a scale run: 10 to 20 processes of the program under a little load, judged by the
//! four rules.
//!
//! - [`CacheServers`] are stand-ins on loopback, up to 1,100 in this process; their entries are what discovery lists.
//! - [`RealNodes`] starts the nodes, asks them, is told what discovery has, and reports at the end.
//! - [`NotificationJudge`] decides when a node counts as told of a change; the [`Judge`](crate::Judge) decides the rules.
//!
//! When a node is told: discovery is another process here, and what it writes to a node this judge doesn't see. So it goes
//! by the operators' term alone: a node counts as told of a change 6 s after discovery had it and could be reached
//! ([`notification_judge::TOLD_AFTER`]), counted anew from the end of an outage and from the node's own start; then come the grace of
//! 0.5 s and the protocol's tolerance of 50 ms. What was written to the node earlier isn't seen, so this judge is milder
//! there than one that sees the wire. A send is timed when it reaches the stand-in.
//!
//! All tasks are spawned on the runtime of the caller. Nodes are started with `--with-parent`, so they end with the thread
//! that started them at the latest: call from a thread that stays. Configuration files lie in a temporary folder. It goes,
//! and nodes are killed, when [`RealNodes`] is dropped, also on errors; a program that takes Ctrl-C has to drop it then.

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
pub use report::{Latency, NodeUsage, RealReport, RulesBroken};
pub use servers::{CacheServers, ServerSettings, MOST_SERVERS};
pub use settings::{classes, RealSettings, MOST_NODES};
pub use usage::Usage;

use crate::judge::{FinalAnswer, Observation};
use crate::random::RandomSource;
use crate::scale::messages::ListedServer;
use load::{Clients, Node, Seen};
use process::Process;
use recorder::lock;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use tempfile::TempDir;
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet};

/// The body that is made for a request, and for no other.
fn answer_body(request: u64) -> String {
    format!("answer to {request:x}")
}

/// The place of a zone, or the next one behind all where it is not among them.
fn zone_number(zones: &[String], zone: &str) -> usize {
    zones.iter().position(|known| known == zone).unwrap_or(zones.len())
}

#[derive(Debug)]
struct Slot {
    file: PathBuf,
    process: Option<Process>,
    /// What its processes before used.
    before: Usage,
}

/// Real nodes under load. See the module's page.
#[derive(Debug)]
pub struct RealNodes {
    servers: CacheServers,
    settings: RealSettings,
    slots: Vec<Slot>,
    nodes: Arc<Vec<Node>>,
    seen: Arc<Seen>,
    log_lines: Arc<AtomicU64>,
    stop: watch::Sender<bool>,
    load: JoinHandle<()>,
    /// Behind the slots: nodes go before their files.
    folder: TempDir,
}

impl Drop for RealNodes {
    fn drop(&mut self) {
        self.load.abort();
    }
}

impl RealNodes {
    /// Starts the nodes, waits until all are ready, and begins to ask.
    ///
    /// # Errors
    ///
    /// Where a setting is out of its range, the cache servers have had nodes before, the program can't be run, or a node isn't ready in time.
    pub async fn start(servers: &CacheServers, settings: RealSettings) -> Result<Self, RealError> {
        settings.check()?;
        let folder = tempfile::Builder::new().prefix("cache-balancer-scale-").tempdir();
        let folder = folder.map_err(RealError::system("a temporary folder"))?;
        if !servers.recorder().begin(settings.count as usize) {
            return Err(RealError::Used);
        }
        let log_lines = Arc::<AtomicU64>::default();
        let slots = start_all(&settings, &folder, &log_lines).await?;
        let nodes: Arc<Vec<_>> = Arc::new(slots.iter().map(|_| Node::new()).collect());
        let (stop, stopped) = watch::channel(false);
        let seen = Arc::<Seen>::default();
        let clients = Clients {
            rate: settings.rate,
            classes: settings.classes.clone(),
            random: RandomSource::new(settings.seed).derive(0x7265_616c),
            nodes: nodes.clone(),
            recorder: servers.recorder().clone(),
            seen: seen.clone(),
        };
        for (number, slot) in slots.iter().enumerate() {
            servers.recorder().record(|_| Observation::NodeStarted { node: number });
            slot.process.iter().for_each(|process| nodes[number].started(process.address));
        }
        let load = tokio::spawn(Arc::new(clients).run(stopped));
        let servers = servers.clone();
        Ok(Self { servers, settings, slots, nodes, seen, log_lines, stop, load, folder })
    }

    /// Takes in what discovery has of a cache server since `at_us`; see [`CacheServers::notify`].
    ///
    /// # Errors
    ///
    /// Those of [`CacheServers::notify`].
    pub fn notify(&self, entry: &ListedServer, at_us: u64) -> Result<(), RealError> {
        self.servers.notify(entry, at_us)
    }

    /// No node could reach discovery in this span, in microseconds of Unix time. It may be over already.
    pub fn discovery_away(&self, from_us: u64, to_us: u64) {
        let recorder = self.servers.recorder();
        let (from, to) = (recorder.time(from_us), recorder.time(to_us));
        recorder.judge(|judge| judge.discovery_away(from, to));
    }

    /// Kills a node outright, and waits until it is gone. What was out at it is excused.
    ///
    /// # Errors
    ///
    /// Where there is no such node, or it does not run.
    pub async fn kill(&mut self, node: u32) -> Result<(), RealError> {
        let number = node as usize;
        let slot = self.slots.get_mut(number);
        let running = slot.and_then(|slot| Some((slot.process.take()?, &mut slot.before)));
        let Some((mut process, before)) = running else {
            return Err(RealError::NoNode { node, expected: "runs" });
        };
        let used = usage(&process);
        *before = Usage { processor: before.processor + used.processor, rss_anon: used.rss_anon };
        self.nodes[number].killing();
        process.kill().await;
        self.servers.recorder().record(|at| Observation::NodeKilled { node: number, at });
        self.nodes[number].gone();
        Ok(())
    }

    /// Starts a node that was killed, and waits until it is ready. It knows nothing of before.
    ///
    /// # Errors
    ///
    /// Where there is no such node, it runs, or it does not come up.
    pub async fn launch(&mut self, node: u32) -> Result<(), RealError> {
        let number = node as usize;
        let Some(slot) = self.slots.get_mut(number).filter(|slot| slot.process.is_none()) else {
            return Err(RealError::NoNode { node, expected: "was killed" });
        };
        let process = Process::start(&self.settings.program, &slot.file, node, self.log_lines.clone());
        let process = process.await?;
        self.servers.recorder().record(|_| Observation::NodeStarted { node: number });
        self.nodes[number].started(process.address);
        slot.process = Some(process);
        Ok(())
    }

    /// Requests that clients have begun to make up to now.
    pub fn asked(&self) -> u64 {
        self.servers.recorder().asked()
    }

    /// Where the nodes' files lie for as long as this lasts.
    pub fn folder(&self) -> &Path {
        self.folder.path()
    }

    /// Ids of the nodes' processes, of those that run.
    pub fn processes(&self) -> Vec<u32> {
        self.slots.iter().filter_map(|slot| slot.process.as_ref()?.id()).collect()
    }

    /// What the nodes have used up to now.
    pub fn usage(&self) -> Vec<NodeUsage> {
        let used = self.slots.iter().enumerate().map(|(number, slot)| {
            let now = slot.process.as_ref().map(usage);
            let processor = slot.before.processor + now.unwrap_or_default().processor;
            NodeUsage {
                name: process::name(number as u32),
                running: now.is_some(),
                processor_us: u64::try_from(processor.as_micros()).unwrap_or(u64::MAX),
                rss_anon: now.unwrap_or(slot.before).rss_anon,
            }
        });
        used.collect()
    }

    /// Asks no more, waits for what is out, ends the nodes, and judges.
    pub async fn finish(mut self) -> RealReport {
        // The receiver is gone where the most requests of a run have been asked.
        self.stop.send_replace(true);
        // It ends by itself: each request does by its deadline.
        let _ = (&mut self.load).await;
        let nodes = self.usage();
        self.slots.clear();
        let verdict = self.servers.recorder().verdict(self.settings.classes.clone());
        let answers = |answer: FinalAnswer| verdict.answers[answer as usize];
        let (served, refused, failed) =
            (answers(FinalAnswer::Served), answers(FinalAnswer::Rejected), answers(FinalAnswer::Failed));
        let latencies = std::mem::take(&mut *lock(&self.seen.latencies));
        RealReport {
            requests: verdict.accepted,
            served,
            refused,
            failed,
            unanswered: verdict.accepted - served - refused - failed,
            held_back: self.seen.held_back.load(Ordering::Relaxed),
            load_ran_out: self.seen.ran_out.load(Ordering::Relaxed),
            latest_us: self.seen.latest_us.load(Ordering::Relaxed),
            attempts: verdict.attempts,
            turned_away: self.servers.turned_away(),
            log_lines: self.log_lines.load(Ordering::Relaxed),
            rules_broken: RulesBroken::of(&verdict),
            breaches: verdict.violations,
            latency: Latency::of(latencies),
            nodes,
        }
    }
}

/// Starts all nodes side by side.
async fn start_all(
    settings: &RealSettings,
    folder: &TempDir,
    log_lines: &Arc<AtomicU64>,
) -> Result<Vec<Slot>, RealError> {
    let mut starting = JoinSet::new();
    let mut slots = Vec::new();
    for node in 0..settings.count {
        let file = folder.path().join(format!("{}.toml", process::name(node)));
        let written = std::fs::write(&file, process::config(settings, node));
        written.map_err(RealError::system(file.display().to_string()))?;
        let (program, path, lines) = (settings.program.clone(), file.clone(), log_lines.clone());
        slots.push(Slot { file, process: None, before: Usage::default() });
        starting.spawn(async move { (node, Process::start(&program, &path, node, lines).await) });
    }
    while let Some(started) = starting.join_next().await {
        // A task that ended by a panic has its process killed.
        let Ok((node, process)) = started else { continue };
        slots[node as usize].process = Some(process?);
    }
    Ok(slots)
}

/// What a process has used; nothing where it has ended.
fn usage(process: &Process) -> Usage {
    process.id().and_then(|id| Usage::of(id).ok()).unwrap_or_default()
}
