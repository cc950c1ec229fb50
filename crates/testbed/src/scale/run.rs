//! One scale run: starts the processes, carries the steps out at their times, and takes the measurements.

use super::child_processes::{ChildError, ChildMessage, ChildProcess, ChildProcesses};
use super::measure::{cost_of, Cost};
use super::messages::{
    HollowCommand, HollowEvent, ListedServer, ReplicaCommand, ReplicaEvent, ReplicaReport,
};
use super::propagation::Propagation;
use super::real::RealError;
use super::real_fleet::RealFleet;
use super::replica_set::{ReplicaSet, Told};
use super::report::{largest_over_mean, ScaleReport, WindowFigures, VERSION};
use super::requirements::{Limits, LimitsError, Requirements, Shortage};
use super::script::ScaleScript;
use super::snapshot::{Snapshot, Window};
use super::steps::{plan, Planned, Step};
use std::future::Future;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use thiserror::Error;
use tokio::time::{sleep_until, timeout, Instant};

/// The version of the list that nodes start from.
const FIRST_VERSION: u64 = 1;
/// Processes that have not begun within this time do not begin at all.
const STARTS: Duration = Duration::from_secs(60);
/// A report that was asked for comes within this time.
const REPORTS: Duration = Duration::from_secs(30);
/// While things happen, nodes are asked this often what they did.
const POLL: Duration = Duration::from_secs(5);
/// While nodes catch up, this often.
const CATCH_UP_POLL: Duration = Duration::from_millis(500);
/// And the run tells this often how far it is.
const TELL: Duration = Duration::from_secs(1);

/// Why a run came to nothing.
#[derive(Debug, Error)]
pub enum RunError {
    /// The machine is too small for it.
    #[error("the run does not fit into this machine:{}", listed(.0))]
    Requirements(Vec<Shortage>),
    /// The machine's limits could not be read.
    #[error(transparent)]
    Limits(#[from] LimitsError),
    /// The runtime did not start.
    #[error("the runtime does not start: {0}")]
    Runtime(std::io::Error),
    /// A process failed.
    #[error(transparent)]
    Child(#[from] ChildError),
    /// A real node, or what it uses, failed.
    #[error("real nodes: {0}")]
    Real(#[from] RealError),
    /// What a process costs could not be read.
    #[error("what process {process} costs can't be read: {source}")]
    Cost {
        /// The system's number of it.
        process: u32,
        /// Why.
        source: std::io::Error,
    },
    /// It was broken off.
    #[error("the run was broken off")]
    Interrupted,
}

fn listed(faults: &[Shortage]) -> String {
    faults.iter().map(|fault| format!("\n  {fault}")).collect()
}

/// What a run is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Processes start.
    Starting,
    /// Nodes have started, and nothing is measured yet.
    Settling,
    /// The script's time passes.
    Measuring,
    /// It is over, and some nodes are behind.
    CatchingUp,
}

/// How far a run is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Progress {
    /// What it is doing.
    pub phase: Phase,
    /// For how long.
    pub elapsed: Duration,
    /// Out of at most so long.
    pub length: Duration,
    /// Changes of the list so far.
    pub changes: usize,
    /// Nodes that did not hold the list of the time at which they were asked last.
    pub behind: usize,
}

/// Runs a script. Each process is one of `program`, which has the subcommands `scale-replica` and `scale-hollow`. All of
/// them have ended when this returns; it returns early once `stop` is over.
///
/// # Errors
/// When it doesn't fit into the machine, a process fails, or `stop` is over.
pub fn run(
    script: &ScaleScript,
    program: &Path,
    progress: impl FnMut(&Progress),
    stop: impl Future<Output = ()>,
) -> Result<ScaleReport, RunError> {
    Requirements::of(script).fit(&Limits::of_this_machine()?).map_err(RunError::Requirements)?;
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(RunError::Runtime)?;
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime, async {
        tokio::select! {
            biased;
            () = stop => Err(RunError::Interrupted),
            report = measured(script, program, progress) => report,
        }
    })
}

async fn measured(
    script: &ScaleScript,
    program: &Path,
    progress: impl FnMut(&Progress),
) -> Result<ScaleReport, RunError> {
    let beside = RealFleet::start_servers(script).await?;
    let servers = beside.servers(script);
    let steps = plan(script, &servers);
    let mut run = Run::new(script, &servers, beside, progress);
    run.start(program, &servers).await?;
    run.phase(Phase::Settling, script.settle);
    run.wait_until(Instant::now() + script.settle).await?;
    run.phase(Phase::Measuring, script.length);
    let begin = Instant::now();
    let first = run.snapshot().await?;
    let quiet = steps.first().map_or(script.length, |step| step.at);
    run.wait_until(begin + quiet).await?;
    let rest = run.snapshot().await?;
    let events_from_us = unix_us();
    for Planned { at, step } in &steps {
        run.wait_until(begin + *at).await?;
        run.most_late = run.most_late.max((begin + *at).elapsed());
        run.carry_out(step).await?;
    }
    run.wait_until(begin + script.length).await?;
    if !steps.is_empty() {
        run.phase(Phase::CatchingUp, script.catch_up);
        run.catch_up().await?;
    }
    let last = run.snapshot().await?;
    let report = run.report(&first, &rest, &last, (!steps.is_empty()).then_some(events_from_us));
    let real = run.beside.finish(unix_us()).await;
    run.children.stop().await;
    Ok(ScaleReport { real, ..report })
}

struct Run<'a, P> {
    script: &'a ScaleScript,
    children: ChildProcesses,
    beside: RealFleet,
    replicas: ReplicaSet,
    addresses: Vec<SocketAddr>,
    acts: Propagation,
    /// Each replica's last report; none while one is awaited.
    reports: Vec<Option<ReplicaReport>>,
    hollow_started: usize,
    /// Reports of hollow processes that are still to come.
    hollow_awaited: usize,
    /// The list's version when they were asked for.
    asked_at_version: u64,
    behind: usize,
    failed_calls: u64,
    next_poll: Option<Instant>,
    most_late: Duration,
    phase: Phase,
    phase_began: Instant,
    phase_length: Duration,
    progress: P,
}

impl<'a, P: FnMut(&Progress)> Run<'a, P> {
    fn new(script: &'a ScaleScript, servers: &[ListedServer], beside: RealFleet, progress: P) -> Self {
        let replicas = script.running_replicas();
        Self {
            script,
            children: ChildProcesses::default(),
            beside,
            replicas: ReplicaSet::new(replicas, FIRST_VERSION, servers),
            addresses: Vec::new(),
            acts: Propagation::new(script.nodes, unix_us(), FIRST_VERSION),
            reports: vec![None; replicas as usize],
            hollow_started: 0,
            hollow_awaited: 0,
            asked_at_version: FIRST_VERSION,
            behind: 0,
            failed_calls: 0,
            next_poll: None,
            most_late: Duration::ZERO,
            phase: Phase::Starting,
            phase_began: Instant::now(),
            phase_length: STARTS,
            progress,
        }
    }

    fn phase(&mut self, phase: Phase, length: Duration) {
        (self.phase, self.phase_began, self.phase_length) = (phase, Instant::now(), length);
    }

    /// Starts replicas, then real nodes, then hollow ones.
    async fn start(&mut self, program: &Path, servers: &[ListedServer]) -> Result<(), RunError> {
        for number in 0..self.reports.len() {
            self.children.start(program, ChildProcess::Replica(number))?;
            let command = ReplicaCommand::Start {
                listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
                capacity: self.script.capacity,
                version: FIRST_VERSION,
                servers: servers.to_vec(),
            };
            self.children.tell_replica(number, &command).await?;
            // In their order, so that addresses are by number.
            self.hear_until(STARTS, ChildProcess::Replica(number), |run| run.addresses.len() > number)
                .await?;
        }
        let known = self.known(self.script.known_replicas());
        self.beside.start_nodes(self.script, program, known.clone()).await?;
        let mut first = 0;
        for (number, count) in self.shares().into_iter().enumerate() {
            self.children.start(program, ChildProcess::Hollow(number))?;
            let command = HollowCommand::Start {
                first,
                count,
                fleet: self.script.nodes,
                replicas: known.clone(),
                capacity: self.script.mechanism.then_some(self.script.capacity),
                version: Some(FIRST_VERSION),
                servers: servers.to_vec(),
                seed: self.script.seed,
                zones: (0..self.script.zones).map(|zone| self.script.zone_name(zone)).collect(),
            };
            self.children.tell_hollow(number, &command).await?;
            first += count;
        }
        let processes = self.shares().len();
        self.hear_until(STARTS, ChildProcess::Hollow(0), |run| run.hollow_started == processes).await
    }

    /// How many nodes each process of hollow nodes has.
    fn shares(&self) -> Vec<u32> {
        let processes = self.script.hollow_processes.min(self.script.nodes);
        let (each, more) = (self.script.nodes / processes, self.script.nodes % processes);
        (0..processes).map(|process| each + u32::from(process < more)).collect()
    }

    fn known(&self, replicas: u32) -> Vec<SocketAddr> {
        self.addresses.iter().take(replicas as usize).copied().collect()
    }

    /// These nodes by the process that has them.
    fn by_process(&self, nodes: &[u32]) -> Vec<(usize, Vec<u32>)> {
        let mut first = 0;
        let mut parts = Vec::new();
        for (number, count) in self.shares().into_iter().enumerate() {
            let here = first..first + count;
            let part: Vec<_> = nodes.iter().copied().filter(|node| here.contains(node)).collect();
            if !part.is_empty() {
                parts.push((number, part));
            }
            first += count;
        }
        parts
    }

    async fn carry_out(&mut self, step: &Step) -> Result<(), RunError> {
        match step {
            Step::Change { server, starts } => {
                let mut server = server.clone();
                let now_us = unix_us();
                if *starts {
                    server.born_ms = now_us / 1_000;
                }
                self.beside.changed(&server, now_us)?;
                let told = self.replicas.change(server, Instant::now());
                self.acts.changed(self.replicas.version(), now_us);
                self.tell(told).await
            }
            Step::Kill(nodes) => {
                for (process, nodes) in self.by_process(nodes) {
                    self.children.tell_hollow(process, &HollowCommand::Kill { nodes }).await?;
                }
                self.acts.killed(nodes, unix_us());
                Ok(())
            }
            Step::Launch(nodes) => {
                self.acts.launched(nodes, unix_us(), self.sending_ms(nodes.len()));
                for (process, nodes) in self.by_process(nodes) {
                    self.children.tell_hollow(process, &HollowCommand::Launch { nodes }).await?;
                }
                Ok(())
            }
            Step::Answer { replicas, answering } => {
                self.beside.answers(replicas, *answering, unix_us());
                for &replica in replicas {
                    let command = ReplicaCommand::Answer { answering: *answering };
                    self.children.tell_replica(replica as usize, &command).await?;
                }
                Ok(())
            }
            Step::Lag { replica, by } => {
                let told = self.replicas.lag(*replica as usize, *by);
                self.tell(told).await
            }
            Step::Lose { replica, versions } => {
                let told = self.replicas.lose(*replica as usize, *versions);
                self.tell(told).await
            }
            Step::Restore { replica } => {
                let told = self.replicas.restore(*replica as usize);
                self.tell(told).await
            }
            Step::ReplicaSet(replicas) => {
                let command = HollowCommand::Replicas { replicas: self.known(*replicas) };
                for process in 0..self.shares().len() {
                    self.children.tell_hollow(process, &command).await?;
                }
                Ok(())
            }
        }
    }

    async fn tell(&mut self, told: Vec<Told>) -> Result<(), RunError> {
        for (replica, command) in told {
            self.children.tell_replica(replica, &command).await?;
        }
        Ok(())
    }

    /// How long the replicas that nodes know take to send so many nodes the whole list, by their capacity.
    fn sending_ms(&self, nodes: usize) -> f64 {
        let lines = nodes as f64 * (self.replicas.listed() as f64 + self.script.capacity.call_lines);
        let a_second = self.script.capacity.lines_per_second * f64::from(self.script.known_replicas());
        lines / a_second * 1e3
    }

    /// Takes in what comes until a time, and has done then what was due meanwhile.
    async fn wait_until(&mut self, until: Instant) -> Result<(), RunError> {
        let mut next_tell = Instant::now();
        loop {
            let now = Instant::now();
            if now >= next_tell {
                self.tell_progress();
                next_tell = now + TELL;
            }
            let told = self.replicas.due(now);
            self.tell(told).await?;
            if self.next_poll.is_some_and(|poll| poll <= now) && self.hollow_awaited == 0 {
                self.ask_hollow().await?;
                self.next_poll = Some(now + POLL);
            }
            if now >= until {
                return Ok(());
            }
            let due = self.replicas.next_due().map_or(until, |due| due.min(until)).min(next_tell);
            tokio::select! {
                heard = self.children.heard() => self.take_in(heard?),
                () = sleep_until(due) => {}
            }
        }
    }

    /// Waits until all nodes hold the newest list, as long as the script allows.
    async fn catch_up(&mut self) -> Result<(), RunError> {
        let until = Instant::now() + self.script.catch_up;
        self.next_poll = None;
        loop {
            self.ask_hollow().await?;
            self.hear_until(REPORTS, ChildProcess::Hollow(0), |run| run.hollow_awaited == 0).await?;
            if self.behind == 0 || Instant::now() >= until {
                return Ok(());
            }
            self.wait_until((Instant::now() + CATCH_UP_POLL).min(until)).await?;
        }
    }

    async fn ask_hollow(&mut self) -> Result<(), RunError> {
        self.asked_at_version = self.replicas.version();
        for process in 0..self.shares().len() {
            self.children.tell_hollow(process, &HollowCommand::Report).await?;
            self.hollow_awaited += 1;
        }
        Ok(())
    }

    /// Takes in what comes until `done`; `who` is to blame when that takes too long.
    async fn hear_until(
        &mut self,
        patience: Duration,
        who: ChildProcess,
        done: impl Fn(&Self) -> bool,
    ) -> Result<(), RunError> {
        let until = Instant::now() + patience;
        while !done(self) {
            let left = until.saturating_duration_since(Instant::now());
            match timeout(left, self.children.heard()).await {
                Ok(heard) => self.take_in(heard?),
                Err(_) => return Err(ChildError::Silent { who, waited: patience }.into()),
            }
        }
        Ok(())
    }

    fn take_in(&mut self, heard: ChildMessage) {
        match heard {
            ChildMessage::Replica(_, ReplicaEvent::Listening { address }) => self.addresses.push(address),
            ChildMessage::Replica(number, ReplicaEvent::Report(report)) => {
                self.reports[number] = Some(report)
            }
            ChildMessage::Hollow(_, HollowEvent::Started) => self.hollow_started += 1,
            ChildMessage::Hollow(_, HollowEvent::Report(report)) => {
                self.hollow_awaited = self.hollow_awaited.saturating_sub(1);
                self.failed_calls += report.failed_calls;
                report.applied.into_iter().for_each(|applied| self.acts.applied(applied));
                if self.hollow_awaited == 0 {
                    self.behind = self.acts.behind(self.asked_at_version);
                }
            }
        }
    }

    fn tell_progress(&mut self) {
        let progress = Progress {
            phase: self.phase,
            elapsed: self.phase_began.elapsed(),
            length: self.phase_length,
            changes: self.acts.changes(),
            behind: self.behind,
        };
        (self.progress)(&progress);
    }

    /// Has all processes report, and reads what they cost.
    async fn snapshot(&mut self) -> Result<Snapshot, RunError> {
        let at = std::time::Instant::now();
        let hollow = cost(&self.children.ids(|who| matches!(who, ChildProcess::Hollow(_))))?;
        let replicas = cost(&self.children.ids(|who| matches!(who, ChildProcess::Replica(_))))?;
        let run = cost(&[std::process::id()])?;
        let real = self.beside.cost();
        self.hear_until(REPORTS, ChildProcess::Hollow(0), |run| run.hollow_awaited == 0).await?;
        self.ask_hollow().await?;
        for number in 0..self.reports.len() {
            self.reports[number] = None;
            self.children.tell_replica(number, &ReplicaCommand::Report).await?;
        }
        for number in 0..self.reports.len() {
            self.hear_until(REPORTS, ChildProcess::Replica(number), |run| run.reports[number].is_some())
                .await?;
        }
        self.hear_until(REPORTS, ChildProcess::Hollow(0), |run| run.hollow_awaited == 0).await?;
        // From the first snapshot on, nodes are polled.
        self.next_poll.get_or_insert(Instant::now() + POLL);
        let reports = self.reports.iter().map(|report| report.unwrap_or_default()).collect();
        Ok(Snapshot { at, hollow, replicas, run, real, reports, failed_calls: self.failed_calls })
    }

    fn report(
        &self,
        first: &Snapshot,
        rest: &Snapshot,
        last: &Snapshot,
        events_from_us: Option<u64>,
    ) -> ScaleReport {
        let script = self.script;
        let figures =
            |window: &Window| WindowFigures::new(window, script.nodes, script.real.nodes, script.servers);
        let at_rest = figures(&rest.since(first));
        let active = events_from_us.map(|_| figures(&last.since(rest)));
        let above_rest_us = active.map_or(0.0, |active| {
            let node_seconds = active.seconds * f64::from(script.nodes);
            active.hollow_processor_s * 1e6 - at_rest.node_processor_us_per_s * node_seconds
        });
        let (changes, whole) = events_from_us.map_or((0, 0), |from_us| self.acts.taken_since(from_us));
        let loads = last.loads_since(first);
        let within_ms = script.within.map(|within| within.as_secs_f64() * 1e3);
        ScaleReport {
            version: VERSION,
            name: script.name.clone(),
            seed: script.seed,
            nodes: script.nodes,
            real_nodes: script.real.nodes,
            servers: script.servers,
            hollow_processes: self.shares().len() as u32,
            replicas: script.running_replicas(),
            mechanism: script.mechanism,
            capacity: script.capacity,
            most_late_ms: self.most_late.as_secs_f64() * 1e3,
            rest: at_rest,
            active,
            acts: self.acts.propagation_figures(within_ms),
            ready: self.acts.ready_figures(),
            node_change_us: (changes > 0 && whole == 0).then(|| above_rest_us / changes as f64),
            node_whole_list_us: (whole > changes).then(|| above_rest_us / whole as f64),
            calls_largest_over_mean: largest_over_mean(loads.iter().map(|load| load.calls as f64)),
            lines_largest_over_mean: largest_over_mean(loads.iter().map(|load| load.lines)),
            replica_loads: loads,
            real: None,
        }
    }
}

fn cost(processes: &[u32]) -> Result<Cost, RunError> {
    processes
        .iter()
        .map(|&process| cost_of(process).map_err(|source| RunError::Cost { process, source }))
        .sum::<Result<Cost, RunError>>()
}

/// Now, in microseconds of Unix time.
fn unix_us() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_micros() as u64)
}
