//! Snapshots of the cost and the counters of all processes of a run, and the difference between two of them.

use super::measure::Cost;
use super::messages::ReplicaReport;
use std::time::Instant;

/// Cost and counters of all processes since their start.
#[derive(Clone, Debug)]
pub struct Snapshot {
    /// The time of the snapshot.
    pub at: Instant,
    /// The cost of all processes of hollow nodes.
    pub hollow: Cost,
    /// The cost of all replicas.
    pub replicas: Cost,
    /// The cost of the run itself.
    pub run: Cost,
    /// The cost of all real nodes.
    pub real: Cost,
    /// The report of each replica.
    pub reports: Vec<ReplicaReport>,
    /// Failed calls of hollow nodes.
    pub failed_calls: u64,
}

/// The difference between two snapshots. Memory is that of the later snapshot.
#[derive(Clone, Debug)]
pub struct Window {
    /// The time between the snapshots, in seconds.
    pub seconds: f64,
    /// The cost of all processes of hollow nodes.
    pub hollow: Cost,
    /// The cost of all replicas.
    pub replicas: Cost,
    /// The cost of the run itself.
    pub run: Cost,
    /// The cost of all real nodes.
    pub real: Cost,
    /// The sum of the reports of all replicas.
    pub calls: ReplicaReport,
    /// Failed calls of hollow nodes.
    pub failed_calls: u64,
}

impl Snapshot {
    /// Returns the difference between an earlier snapshot and this one.
    pub fn since(&self, earlier: &Self) -> Window {
        Window {
            seconds: self.at.duration_since(earlier.at).as_secs_f64(),
            hollow: cost_since(&self.hollow, &earlier.hollow),
            replicas: cost_since(&self.replicas, &earlier.replicas),
            run: cost_since(&self.run, &earlier.run),
            real: cost_since(&self.real, &earlier.real),
            calls: self.loads_since(earlier).into_iter().fold(ReplicaReport::default(), add_reports),
            failed_calls: self.failed_calls.saturating_sub(earlier.failed_calls),
        }
    }

    /// Returns the activity of each replica between an earlier snapshot and this one. The longest wait is
    /// that of the whole run.
    pub fn loads_since(&self, earlier: &Self) -> Vec<ReplicaReport> {
        self.reports.iter().zip(&earlier.reports).map(|(now, before)| report_since(now, before)).collect()
    }
}

fn cost_since(now: &Cost, before: &Cost) -> Cost {
    Cost { processor: now.processor.saturating_sub(before.processor), resident_bytes: now.resident_bytes }
}

fn report_since(now: &ReplicaReport, before: &ReplicaReport) -> ReplicaReport {
    ReplicaReport {
        calls: now.calls.saturating_sub(before.calls),
        rejected: now.rejected.saturating_sub(before.rejected),
        snapshots: now.snapshots.saturating_sub(before.snapshots),
        lines: now.lines - before.lines,
        bytes_in: now.bytes_in.saturating_sub(before.bytes_in),
        bytes_out: now.bytes_out.saturating_sub(before.bytes_out),
        longest_queue_ms: now.longest_queue_ms,
    }
}

fn add_reports(sum: ReplicaReport, one: ReplicaReport) -> ReplicaReport {
    ReplicaReport {
        calls: sum.calls + one.calls,
        rejected: sum.rejected + one.rejected,
        snapshots: sum.snapshots + one.snapshots,
        lines: sum.lines + one.lines,
        bytes_in: sum.bytes_in + one.bytes_in,
        bytes_out: sum.bytes_out + one.bytes_out,
        longest_queue_ms: sum.longest_queue_ms.max(one.longest_queue_ms),
    }
}
