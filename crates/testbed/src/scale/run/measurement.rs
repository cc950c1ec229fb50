//! Measures the cost of the processes of a run, and creates the report.

use super::executor::{Executor, POLL_INTERVAL, REPORT_TIMEOUT};
use super::{Progress, RunError};
use crate::scale::child_processes::ChildId;
use crate::scale::measure::{cost_of, Cost};
use crate::scale::messages::{ReplicaCommand, ReplicaReport};
use crate::scale::report::{largest_over_mean, ScaleReport, WindowFigures, VERSION};
use crate::scale::snapshot::{Snapshot, Window};
use tokio::time::Instant;

impl<P: FnMut(&Progress)> Executor<'_, P> {
    /// Reads the cost of all processes and requests their reports.
    pub(super) async fn snapshot(&mut self) -> Result<Snapshot, RunError> {
        let at = std::time::Instant::now();
        let hollow = cost(&self.processes.process_ids(|process| matches!(process, ChildId::Hollow(_))))?;
        let replicas = cost(&self.processes.process_ids(|process| matches!(process, ChildId::Replica(_))))?;
        let run = cost(&[std::process::id()])?;
        let real = self.real_fleet.cost();
        self.receive_hollow_reports().await?;
        self.poll_hollow_nodes().await?;
        let reports = self.receive_replica_reports().await?;
        self.receive_hollow_reports().await?;
        // Periodic polling starts with the first snapshot.
        self.next_poll.get_or_insert(Instant::now() + POLL_INTERVAL);
        Ok(Snapshot { at, hollow, replicas, run, real, reports, failed_calls: self.failed_calls })
    }

    async fn receive_replica_reports(&mut self) -> Result<Vec<ReplicaReport>, RunError> {
        for number in 0..self.replica_reports.len() {
            self.replica_reports[number] = None;
            self.processes.send_to_replica(number, &ReplicaCommand::Report).await?;
        }
        for number in 0..self.replica_reports.len() {
            let reported = |executor: &Self| executor.replica_reports[number].is_some();
            self.receive_until(REPORT_TIMEOUT, ChildId::Replica(number), reported).await?;
        }
        Ok(self.replica_reports.iter().map(|report| report.unwrap_or_default()).collect())
    }

    /// Creates the report of a run from the snapshots at the beginning of the measurement, before the first
    /// step, and at the end. `steps_from_us` is the time of the first step, if there is one.
    pub(super) fn report(
        &self,
        at_begin: &Snapshot,
        before_steps: &Snapshot,
        at_end: &Snapshot,
        steps_from_us: Option<u64>,
    ) -> ScaleReport {
        let script = self.script;
        let figures =
            |window: &Window| WindowFigures::new(window, script.nodes, script.real.nodes, script.servers);
        let rest = figures(&before_steps.since(at_begin));
        let active = steps_from_us.map(|_| figures(&at_end.since(before_steps)));
        let above_rest_us = active.map_or(0.0, |active| {
            let node_seconds = active.seconds * f64::from(script.nodes);
            active.hollow_processor_s * 1e6 - rest.node_processor_us_per_s * node_seconds
        });
        let (deltas, snapshots) =
            steps_from_us.map_or((0, 0), |from_us| self.propagation.lists_applied_since(from_us));
        let loads = at_end.loads_since(at_begin);
        let within_ms = script.within.map(|within| within.as_secs_f64() * 1e3);
        ScaleReport {
            version: VERSION,
            name: script.name.clone(),
            seed: script.seed,
            nodes: script.nodes,
            real_nodes: script.real.nodes,
            servers: script.servers,
            hollow_processes: self.nodes_per_process().len() as u32,
            replicas: script.running_replicas(),
            mechanism: script.mechanism,
            capacity: script.capacity,
            longest_step_delay_ms: self.longest_step_delay.as_secs_f64() * 1e3,
            rest,
            active,
            propagation: self.propagation.propagation_figures(within_ms),
            readiness: self.propagation.readiness_figures(),
            node_delta_us: (deltas > 0 && snapshots == 0).then(|| above_rest_us / deltas as f64),
            node_snapshot_us: (snapshots > deltas).then(|| above_rest_us / snapshots as f64),
            calls_largest_over_mean: largest_over_mean(loads.iter().map(|load| load.calls as f64)),
            lines_largest_over_mean: largest_over_mean(loads.iter().map(|load| load.lines)),
            replica_loads: loads,
            real: None,
        }
    }
}

/// Returns the total cost of processes, given by process id.
fn cost(processes: &[u32]) -> Result<Cost, RunError> {
    processes
        .iter()
        .map(|&process| cost_of(process).map_err(|source| RunError::Cost { process, source }))
        .sum::<Result<Cost, RunError>>()
}
