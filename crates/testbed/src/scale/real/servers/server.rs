//! A cache server: the emulated process at its address and the jobs of that process.

use super::{kind, zone_number};
use crate::attempt_id::AttemptId;
use crate::judge::Observation;
use crate::models::cache_server::{Job, JobId, ServerOutput};
use crate::models::{CacheServer, OfferResult};
use crate::scale::messages::ListedServer;
use crate::scale::real::recorder::{lock, Recorder};
use crate::script::Script;
use balancer_core::Timestamp;
use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use tokio::sync::{oneshot, watch, Notify};
use tokio::time::sleep_until;

/// The lifecycle phase of the emulated process at an address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Serving,
    /// The process declines new requests.
    Draining,
    /// The process has ended, and no other runs at the address.
    Ended,
}

/// The emulated process of a cache server.
#[derive(Debug)]
struct Process {
    listed: ListedServer,
    /// The number of the server at the judge.
    judge_number: usize,
    phase: Phase,
    model: CacheServer,
    /// The senders that signal the end of each job. They are dropped when the process ends.
    jobs: HashMap<JobId, oneshot::Sender<()>>,
    connections: u32,
}

/// A cache server, at whose address one process after another may run.
#[derive(Debug)]
pub(super) struct Server {
    process: Mutex<Process>,
    /// Notified when the model has new work or a process has started.
    changed: Notify,
    /// Incremented when a process ends, which closes its connections.
    incarnation: watch::Sender<u64>,
}

/// The result of [`Server::offer`].
pub(super) enum Offered {
    /// The job was accepted. The receiver completes when it is done, or fails if the process ends first.
    Accepted(oneshot::Receiver<()>),
    /// The job was declined.
    Declined,
    /// No process runs.
    Ended,
}

impl Server {
    /// Starts a warm server.
    pub(super) fn new(listed: ListedServer, zones: &[String], recorder: &Recorder) -> Self {
        let zone = zone_number(zones, &listed.site);
        let judge_number = recorder.with_judge(|judge| judge.server(&listed.host, zone, listed.block));
        let process = Process {
            listed,
            judge_number,
            phase: Phase::Serving,
            model: new_model(recorder.now(), true),
            jobs: HashMap::new(),
            connections: 0,
        };
        Self { process: Mutex::new(process), changed: Notify::new(), incarnation: watch::Sender::new(0) }
    }

    /// Returns the entry of the server on the list; `None` if the server was removed.
    pub(super) fn listed(&self) -> Option<ListedServer> {
        let process = lock(&self.process);
        (process.phase != Phase::Ended).then(|| process.listed.clone())
    }

    pub(super) fn judge_number(&self) -> usize {
        lock(&self.process).judge_number
    }

    pub(super) fn connections(&self) -> usize {
        lock(&self.process).connections as usize
    }

    /// Returns a receiver that is notified when the current process ends.
    pub(super) fn incarnation(&self) -> watch::Receiver<u64> {
        self.incarnation.subscribe()
    }

    /// Drains the server, unless the entry is of an earlier process at the same address.
    pub(super) fn drain(&self, entry: &ListedServer) {
        let mut process = lock(&self.process);
        if process.phase == Phase::Serving && process.listed.host == entry.host {
            process.phase = Phase::Draining;
            process.listed = entry.clone();
        }
    }

    /// Ends the process, unless the entry is of an earlier process at the same address.
    pub(super) fn remove(&self, entry: &ListedServer) {
        let mut process = lock(&self.process);
        if process.listed.host == entry.host {
            self.end_process(&mut process);
            process.listed = entry.clone();
        }
    }

    /// Ends a process. Its jobs are lost, and its connections are closed.
    fn end_process(&self, process: &mut Process) {
        process.phase = Phase::Ended;
        process.jobs.clear();
        self.incarnation.send_modify(|incarnation| *incarnation += 1);
    }

    /// Marks the server as ready. A cold process starts if none runs or if the entry has another name or
    /// start time.
    pub(super) fn set_ready(&self, entry: &ListedServer, judge_number: usize, now: Timestamp) {
        let mut process = lock(&self.process);
        let same_process = process.listed.host == entry.host && process.listed.born_ms == entry.born_ms;
        if process.phase == Phase::Ended || !same_process {
            self.end_process(&mut process);
            process.model = new_model(now, false);
        }
        process.phase = Phase::Serving;
        process.judge_number = judge_number;
        process.listed = entry.clone();
        self.changed.notify_one();
    }

    /// Offers a job to the current process.
    pub(super) fn offer(&self, recorder: &Recorder, job: Job) -> Offered {
        let mut process = lock(&self.process);
        match process.phase {
            Phase::Serving => {}
            Phase::Draining => return Offered::Declined,
            Phase::Ended => return Offered::Ended,
        }
        let (now, id) = (recorder.now(), job.id);
        match process.model.offer(now, job) {
            OfferResult::Accepted => {
                let (sender, receiver) = oneshot::channel();
                process.jobs.insert(id, sender);
                self.changed.notify_one();
                Offered::Accepted(receiver)
            }
            OfferResult::Declined => Offered::Declined,
            OfferResult::Overloaded => {
                let server = process.judge_number;
                recorder.record(|at| Observation::ServerOverloaded { server, at });
                self.end_process(&mut process);
                Offered::Ended
            }
        }
    }

    /// Advances the model of the process to the current time. Returns the time of its next event.
    fn advance(&self, recorder: &Recorder) -> Option<Timestamp> {
        let mut process = lock(&self.process);
        if process.phase == Phase::Ended {
            return None;
        }
        let now = recorder.now();
        loop {
            let mut outputs = Vec::new();
            process.model.advance(now, &mut outputs);
            if outputs.is_empty() {
                return process.model.next_wakeup();
            }
            for output in outputs {
                match output {
                    ServerOutput::Fetch(job) => process.model.fetch_ended(now, job, true),
                    ServerOutput::Finished { id, .. } => process.finish(recorder, id),
                }
            }
        }
    }
}

impl Process {
    fn finish(&mut self, recorder: &Recorder, job: JobId) {
        let (request, server) = (AttemptId::of_job(job).request, self.judge_number);
        recorder.record(|at| Observation::Executed { request, server, at });
        if let Some(sender) = self.jobs.remove(&job) {
            // Sending fails if the node has closed the connection; the job is done nevertheless.
            let _ = sender.send(());
        }
    }
}

fn new_model(now: Timestamp, warm: bool) -> CacheServer {
    let defaults = Script::default();
    CacheServer::new(kind(), defaults.rules, defaults.load_reports, now, warm)
}

/// Advances the state machine of a server whenever it is due or changes.
pub(super) async fn drive(recorder: Arc<Recorder>, server: Arc<Server>) {
    loop {
        match server.advance(&recorder) {
            Some(at) => tokio::select! {
                () = sleep_until(recorder.instant(at)) => {}
                () = server.changed.notified() => {}
            },
            None => server.changed.notified().await,
        }
    }
}

/// Counts one connection of a server until it is dropped.
pub(super) struct ConnectionPermit(Arc<Server>);

impl ConnectionPermit {
    /// Returns `None` if the server has reached its maximum number of connections.
    pub(super) fn acquire(server: &Arc<Server>) -> Option<Self> {
        let mut process = lock(&server.process);
        if process.connections >= process.model.max_connections() {
            return None;
        }
        process.connections += 1;
        Some(Self(server.clone()))
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        lock(&self.0.process).connections -= 1;
    }
}
