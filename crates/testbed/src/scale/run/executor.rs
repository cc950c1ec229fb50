//! Starts the processes of a run, executes its steps, and handles the events that the processes report.

use super::{unix_us, Phase, Progress, RunError};
use crate::scale::child_processes::{ChildError, ChildEvent, ChildId, ChildProcesses};
use crate::scale::messages::{
    HollowCommand, HollowEvent, ListedServer, ReplicaCommand, ReplicaEvent, ReplicaReport,
};
use crate::scale::propagation::Propagation;
use crate::scale::real_fleet::RealFleet;
use crate::scale::replica_set::{AddressedCommand, ReplicaSet};
use crate::scale::report::RealFigures;
use crate::scale::script::ScaleScript;
use crate::scale::steps::Step;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::time::Duration;
use tokio::time::{sleep_until, timeout, Instant};

/// The version of the list that nodes start with.
const FIRST_VERSION: u64 = 1;
/// Time within which a process must start.
const START_TIMEOUT: Duration = Duration::from_secs(60);
/// Time within which a process must answer a request for a report.
pub(super) const REPORT_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval at which hollow nodes are polled during the script.
pub(super) const POLL_INTERVAL: Duration = Duration::from_secs(5);
/// Interval at which hollow nodes are polled while they catch up.
const CATCH_UP_POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Interval at which the progress is reported.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);

pub(super) struct Executor<'a, P> {
    pub(super) script: &'a ScaleScript,
    pub(super) processes: ChildProcesses,
    pub(super) real_fleet: RealFleet,
    replicas: ReplicaSet,
    /// The addresses of the replicas, by index.
    addresses: Vec<SocketAddr>,
    pub(super) propagation: Propagation,
    /// The last report of each replica; `None` while the run waits for it.
    pub(super) replica_reports: Vec<Option<ReplicaReport>>,
    /// The number of processes of hollow nodes that have started.
    started_hollow_processes: usize,
    /// The number of processes of hollow nodes that have not answered the last request for a report.
    pub(super) awaited_hollow_reports: usize,
    /// The version of the list at the time of the last poll.
    polled_version: u64,
    /// The number of nodes that had an older version at the time of the last poll.
    nodes_behind: usize,
    pub(super) failed_calls: u64,
    pub(super) next_poll: Option<Instant>,
    pub(super) longest_step_delay: Duration,
    phase: Phase,
    phase_began: Instant,
    phase_length: Duration,
    progress: P,
}

impl<'a, P: FnMut(&Progress)> Executor<'a, P> {
    pub(super) fn new(
        script: &'a ScaleScript,
        servers: &[ListedServer],
        real_fleet: RealFleet,
        progress: P,
    ) -> Self {
        let replicas = script.running_replicas();
        Self {
            script,
            processes: ChildProcesses::default(),
            real_fleet,
            replicas: ReplicaSet::new(replicas, FIRST_VERSION, servers),
            addresses: Vec::new(),
            propagation: Propagation::new(script.nodes, unix_us(), FIRST_VERSION),
            replica_reports: vec![None; replicas as usize],
            started_hollow_processes: 0,
            awaited_hollow_reports: 0,
            polled_version: FIRST_VERSION,
            nodes_behind: 0,
            failed_calls: 0,
            next_poll: None,
            longest_step_delay: Duration::ZERO,
            phase: Phase::Starting,
            phase_began: Instant::now(),
            phase_length: START_TIMEOUT,
            progress,
        }
    }

    pub(super) fn enter_phase(&mut self, phase: Phase, length: Duration) {
        (self.phase, self.phase_began, self.phase_length) = (phase, Instant::now(), length);
    }

    /// Records the delay with which a step is executed.
    pub(super) fn record_delay(&mut self, delay: Duration) {
        self.longest_step_delay = self.longest_step_delay.max(delay);
    }

    /// Starts the replicas, then real nodes, then hollow nodes.
    pub(super) async fn start(&mut self, program: &Path, servers: &[ListedServer]) -> Result<(), RunError> {
        self.start_replicas(program, servers).await?;
        let replicas = self.first_addresses(self.script.known_replicas());
        self.real_fleet.start_nodes(self.script, program, replicas.clone()).await?;
        self.start_hollow_nodes(program, servers, replicas).await
    }

    async fn start_replicas(&mut self, program: &Path, servers: &[ListedServer]) -> Result<(), RunError> {
        for number in 0..self.replica_reports.len() {
            self.processes.start(program, ChildId::Replica(number))?;
            let command = ReplicaCommand::Start {
                listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
                capacity: self.script.capacity,
                version: FIRST_VERSION,
                servers: servers.to_vec(),
            };
            self.processes.send_to_replica(number, &command).await?;
            // Replicas are started one at a time, so that their addresses arrive in the order of their
            // indices.
            let listens = |executor: &Self| executor.addresses.len() > number;
            self.receive_until(START_TIMEOUT, ChildId::Replica(number), listens).await?;
        }
        Ok(())
    }

    async fn start_hollow_nodes(
        &mut self,
        program: &Path,
        servers: &[ListedServer],
        replicas: Vec<SocketAddr>,
    ) -> Result<(), RunError> {
        let script = self.script;
        let mut first = 0;
        let counts = self.nodes_per_process();
        for (number, count) in counts.iter().copied().enumerate() {
            self.processes.start(program, ChildId::Hollow(number))?;
            let command = HollowCommand::Start {
                first,
                count,
                fleet: script.nodes,
                replicas: replicas.clone(),
                capacity: script.mechanism.then_some(script.capacity),
                version: Some(FIRST_VERSION),
                servers: servers.to_vec(),
                seed: script.seed,
                zones: (0..script.zones).map(|zone| script.zone_name(zone)).collect(),
            };
            self.processes.send_to_hollow(number, &command).await?;
            first += count;
        }
        let all_started = |executor: &Self| executor.started_hollow_processes == counts.len();
        self.receive_until(START_TIMEOUT, ChildId::Hollow(0), all_started).await
    }

    /// Returns the number of nodes in each process of hollow nodes.
    pub(super) fn nodes_per_process(&self) -> Vec<u32> {
        let processes = self.script.hollow_processes.min(self.script.nodes);
        let (each, remainder) = (self.script.nodes / processes, self.script.nodes % processes);
        (0..processes).map(|process| each + u32::from(process < remainder)).collect()
    }

    /// Returns the addresses of the first replicas.
    fn first_addresses(&self, replicas: u32) -> Vec<SocketAddr> {
        self.addresses.iter().take(replicas as usize).copied().collect()
    }

    /// Groups nodes by the process that they run in.
    fn by_process(&self, nodes: &[u32]) -> Vec<(usize, Vec<u32>)> {
        let mut first = 0;
        let mut groups = Vec::new();
        for (number, count) in self.nodes_per_process().into_iter().enumerate() {
            let process_nodes = first..first + count;
            let group: Vec<_> = nodes.iter().copied().filter(|node| process_nodes.contains(node)).collect();
            if !group.is_empty() {
                groups.push((number, group));
            }
            first += count;
        }
        groups
    }

    /// Executes a step now.
    pub(super) async fn execute(&mut self, step: &Step) -> Result<(), RunError> {
        match step {
            Step::Change { server, starts } => self.change(server.clone(), *starts).await,
            Step::Kill(nodes) => {
                for (process, nodes) in self.by_process(nodes) {
                    self.processes.send_to_hollow(process, &HollowCommand::Kill { nodes }).await?;
                }
                self.propagation.record_kill(nodes, unix_us());
                Ok(())
            }
            Step::Launch(nodes) => {
                self.propagation.record_launch(nodes, unix_us(), self.sending_ms(nodes.len()));
                for (process, nodes) in self.by_process(nodes) {
                    self.processes.send_to_hollow(process, &HollowCommand::Launch { nodes }).await?;
                }
                Ok(())
            }
            Step::SetAnswering { replicas, answering } => {
                self.real_fleet.set_answering(replicas, *answering, unix_us());
                for &replica in replicas {
                    let command = ReplicaCommand::Answer { answering: *answering };
                    self.processes.send_to_replica(replica as usize, &command).await?;
                }
                Ok(())
            }
            Step::SetLag { replica, by } => {
                let commands = self.replicas.set_lag(*replica as usize, *by);
                self.send_all(commands).await
            }
            Step::LoseState { replica, versions } => {
                let commands = self.replicas.lose_state(*replica as usize, *versions);
                self.send_all(commands).await
            }
            Step::RestoreState { replica } => {
                let commands = self.replicas.restore_state(*replica as usize);
                self.send_all(commands).await
            }
            Step::SetReplicas(replicas) => {
                let command = HollowCommand::Replicas { replicas: self.first_addresses(*replicas) };
                for process in 0..self.nodes_per_process().len() {
                    self.processes.send_to_hollow(process, &command).await?;
                }
                Ok(())
            }
        }
    }

    async fn change(&mut self, mut server: ListedServer, starts: bool) -> Result<(), RunError> {
        let now_us = unix_us();
        if starts {
            server.born_ms = now_us / 1_000;
        }
        self.real_fleet.record_change(&server, now_us)?;
        let commands = self.replicas.change(server, Instant::now());
        self.propagation.record_change(self.replicas.version(), now_us);
        self.send_all(commands).await
    }

    async fn send_all(&mut self, commands: Vec<AddressedCommand>) -> Result<(), RunError> {
        for (replica, command) in commands {
            self.processes.send_to_replica(replica, &command).await?;
        }
        Ok(())
    }

    /// Returns the time in milliseconds that the replicas known to nodes need to send this number of
    /// snapshots, from their capacity.
    fn sending_ms(&self, lists: usize) -> f64 {
        let lines = lists as f64 * (self.replicas.server_count() as f64 + self.script.capacity.call_lines);
        let lines_per_second =
            self.script.capacity.lines_per_second * f64::from(self.script.known_replicas());
        lines / lines_per_second * 1e3
    }

    /// Handles events until a time. Meanwhile polls the nodes and sends delayed changes to lagging replicas.
    pub(super) async fn wait_until(&mut self, until: Instant) -> Result<(), RunError> {
        let mut next_progress = Instant::now();
        loop {
            let now = Instant::now();
            if now >= next_progress {
                self.report_progress();
                next_progress = now + PROGRESS_INTERVAL;
            }
            let commands = self.replicas.take_due(now);
            self.send_all(commands).await?;
            if self.next_poll.is_some_and(|poll| poll <= now) && self.awaited_hollow_reports == 0 {
                self.poll_hollow_nodes().await?;
                self.next_poll = Some(now + POLL_INTERVAL);
            }
            if now >= until {
                return Ok(());
            }
            let due = self.replicas.next_due().map_or(until, |due| due.min(until)).min(next_progress);
            tokio::select! {
                event = self.processes.next_event() => self.handle(event?),
                () = sleep_until(due) => {}
            }
        }
    }

    /// Waits until all nodes have the latest list, but no longer than the script allows.
    pub(super) async fn catch_up(&mut self) -> Result<(), RunError> {
        let until = Instant::now() + self.script.catch_up;
        self.next_poll = None;
        loop {
            self.poll_hollow_nodes().await?;
            self.receive_hollow_reports().await?;
            if self.nodes_behind == 0 || Instant::now() >= until {
                return Ok(());
            }
            self.wait_until((Instant::now() + CATCH_UP_POLL_INTERVAL).min(until)).await?;
        }
    }

    /// Requests a report from each process of hollow nodes.
    pub(super) async fn poll_hollow_nodes(&mut self) -> Result<(), RunError> {
        self.polled_version = self.replicas.version();
        for process in 0..self.nodes_per_process().len() {
            self.processes.send_to_hollow(process, &HollowCommand::Report).await?;
            self.awaited_hollow_reports += 1;
        }
        Ok(())
    }

    /// Waits for the outstanding reports of the processes of hollow nodes.
    pub(super) async fn receive_hollow_reports(&mut self) -> Result<(), RunError> {
        let complete = |executor: &Self| executor.awaited_hollow_reports == 0;
        self.receive_until(REPORT_TIMEOUT, ChildId::Hollow(0), complete).await
    }

    /// Handles events until a condition holds. If that takes longer than `limit`, the error names `process`.
    pub(super) async fn receive_until(
        &mut self,
        limit: Duration,
        process: ChildId,
        condition: impl Fn(&Self) -> bool,
    ) -> Result<(), RunError> {
        let until = Instant::now() + limit;
        while !condition(self) {
            let left = until.saturating_duration_since(Instant::now());
            match timeout(left, self.processes.next_event()).await {
                Ok(event) => self.handle(event?),
                Err(_) => return Err(ChildError::Silent { process, waited: limit }.into()),
            }
        }
        Ok(())
    }

    fn handle(&mut self, event: ChildEvent) {
        match event {
            ChildEvent::Replica(_, ReplicaEvent::Listening { address }) => self.addresses.push(address),
            ChildEvent::Replica(number, ReplicaEvent::Report(report)) => {
                self.replica_reports[number] = Some(report);
            }
            ChildEvent::Hollow(_, HollowEvent::Started) => self.started_hollow_processes += 1,
            ChildEvent::Hollow(_, HollowEvent::Report(report)) => {
                self.awaited_hollow_reports = self.awaited_hollow_reports.saturating_sub(1);
                self.failed_calls += report.failed_calls;
                report.applied.into_iter().for_each(|applied| self.propagation.record_applied(applied));
                if self.awaited_hollow_reports == 0 {
                    self.nodes_behind = self.propagation.nodes_behind(self.polled_version);
                }
            }
        }
    }

    fn report_progress(&mut self) {
        let progress = Progress {
            phase: self.phase,
            elapsed: self.phase_began.elapsed(),
            length: self.phase_length,
            changes: self.propagation.change_count(),
            behind: self.nodes_behind,
        };
        (self.progress)(&progress);
    }

    /// Ends all processes. Returns the figures of the real nodes if there are any.
    pub(super) async fn finish(self) -> Option<RealFigures> {
        let real = self.real_fleet.finish(unix_us()).await;
        self.processes.stop().await;
        real
    }
}
