//! The report of a scale run, as a table and as a line of JSON, which `scale fit` reads.

use super::messages::{ReplicaCapacity, ReplicaReport};
use super::propagation::{LatencyFigures, PropagationFigures, ReadinessFigures};
use super::snapshot::Window;
use comfy_table::presets::UTF8_BORDERS_ONLY;
use comfy_table::{CellAlignment, Table};
use serde::{Deserialize, Serialize};
use std::fmt::Write;

/// The version of the JSON format.
pub const VERSION: u32 = 1;

/// The report of a run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ScaleReport {
    /// The version of the format, [`VERSION`].
    pub version: u32,
    /// The name of the script.
    pub name: String,
    /// The seed of the random values.
    pub seed: u64,
    /// The number of hollow nodes.
    pub nodes: u32,
    /// The number of real nodes.
    pub real_nodes: u32,
    /// The number of servers on the list at the start.
    pub servers: u32,
    /// The number of processes of hollow nodes.
    pub hollow_processes: u32,
    /// The number of replicas.
    pub replicas: u32,
    /// Whether nodes were configured with all replicas and their capacity.
    pub mechanism: bool,
    /// The capacity of a replica.
    pub capacity: ReplicaCapacity,
    /// The longest delay with which a step was executed, in milliseconds. Above a few hundred milliseconds,
    /// the machine was too busy for meaningful times.
    #[serde(rename = "most_late_ms")]
    pub longest_step_delay_ms: f64,
    /// The figures before the first event.
    pub rest: WindowFigures,
    /// The figures from the first event until all nodes have caught up; `None` without events.
    pub active: Option<WindowFigures>,
    /// The propagation of changes of the list to the nodes.
    #[serde(rename = "acts")]
    pub propagation: PropagationFigures,
    /// The time from the start of a node without a list to its first list.
    #[serde(rename = "ready")]
    pub readiness: ReadinessFigures,
    /// Processor time of a node for each delta that it applies, in excess of that at rest, in microseconds.
    /// `None` if snapshots were applied as well, since the costs of the two cannot be separated.
    #[serde(rename = "node_change_us")]
    pub node_delta_us: Option<f64>,
    /// Processor time of a node for each snapshot that it applies, in excess of that at rest, in
    /// microseconds. `None` unless snapshots outnumbered deltas.
    #[serde(rename = "node_whole_list_us")]
    pub node_snapshot_us: Option<f64>,
    /// The activity of each replica during the measurement.
    pub replica_loads: Vec<ReplicaReport>,
    /// The largest number of calls to a replica, divided by the mean of all replicas.
    pub calls_largest_over_mean: f64,
    /// The largest number of lines charged to a replica, divided by the mean of all replicas.
    pub lines_largest_over_mean: f64,
    /// The figures of the real nodes, if there are any.
    pub real: Option<RealFigures>,
}

/// The cost and the activity of a part of the run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct WindowFigures {
    /// The duration of this part, in seconds.
    pub seconds: f64,
    /// Processor time of all processes of hollow nodes, in seconds.
    pub hollow_processor_s: f64,
    /// Processor time of all replicas, in seconds.
    pub replicas_processor_s: f64,
    /// Processor time of the run itself, including the servers and clients for real nodes, in seconds.
    pub run_processor_s: f64,
    /// Processor time of all real nodes, which serve their clients, in seconds.
    pub real_processor_s: f64,
    /// `RssAnon` of all processes of hollow nodes at the end of this part, in bytes.
    pub hollow_resident_bytes: u64,
    /// `RssAnon` of all replicas, in bytes.
    pub replicas_resident_bytes: u64,
    /// `RssAnon` of the run itself, in bytes.
    pub run_resident_bytes: u64,
    /// `RssAnon` of all real nodes, in bytes.
    pub real_resident_bytes: u64,
    /// Calls that nodes made.
    pub calls: u64,
    /// Calls that replicas rejected.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// Failed calls, as counted by the hollow nodes.
    pub failed_calls: u64,
    /// Snapshots that replicas sent.
    #[serde(rename = "whole_lists")]
    pub snapshots: u64,
    /// Lines charged to replicas.
    pub lines: f64,
    /// Bytes from nodes to replicas.
    pub bytes_from_nodes: u64,
    /// Bytes from replicas to nodes.
    pub bytes_to_nodes: u64,
    /// Processor time of a hollow node per second, in microseconds: 10,000 are 1% of a core.
    pub node_processor_us_per_s: f64,
    /// Resident memory of a hollow node, including its share of the memory of its process, in bytes.
    pub node_resident_bytes: f64,
    /// `node_resident_bytes` divided by the number of servers on the list.
    pub node_server_resident_bytes: f64,
    /// Bytes that a node sends per second.
    pub node_bytes_out_per_s: f64,
    /// Bytes that a node receives per second.
    pub node_bytes_in_per_s: f64,
    /// Messages that a node sends and receives per second: each call and its answer.
    pub node_messages_per_s: f64,
}

/// The figures of the real nodes, as recorded by the judge.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RealFigures {
    /// The number of real nodes.
    pub nodes: u32,
    /// Requests that nodes accepted.
    pub requests: u64,
    /// Requests that were answered with the response of a server.
    pub served: u64,
    /// Requests that were answered with status 429 or 503.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// Requests that were answered in any other way.
    pub failed: u64,
    /// Requests that were not answered.
    pub unanswered: u64,
    /// Requests that were not sent because too many were in flight at their node or the node did not run.
    #[serde(rename = "held_back")]
    pub not_sent: u64,
    /// Whether the maximum number of requests of a run was reached, so that nodes had no load from then on.
    pub load_ran_out: bool,
    /// The longest delay of a request at its client, in microseconds.
    #[serde(rename = "latest_us")]
    pub longest_delay_us: u64,
    /// The median latency of served requests, in microseconds.
    pub p50_us: u32,
    /// The 99th percentile of the latency of served requests, in microseconds.
    pub p99_us: u32,
    /// The numbers of violations of rules 1 to 4.
    #[serde(rename = "rules_broken")]
    pub violation_counts: [u64; 4],
    /// Descriptions of the first violations.
    #[serde(rename = "breaches")]
    pub violations: Vec<String>,
}

impl WindowFigures {
    /// Computes the figures of a window from the numbers of hollow nodes, real nodes and servers.
    pub fn new(window: &Window, nodes: u32, real_nodes: u32, servers: u32) -> Self {
        let seconds = window.seconds.max(f64::MIN_POSITIVE);
        let node_seconds = f64::from(nodes) * seconds;
        // Replicas cannot distinguish calls of hollow nodes from those of real nodes.
        let caller_seconds = f64::from(nodes + real_nodes) * seconds;
        let calls = &window.calls;
        let hollow_processor_s = window.hollow.processor.as_secs_f64();
        let node_resident_bytes = window.hollow.resident_bytes as f64 / f64::from(nodes);
        Self {
            seconds: window.seconds,
            hollow_processor_s,
            replicas_processor_s: window.replicas.processor.as_secs_f64(),
            run_processor_s: window.run.processor.as_secs_f64(),
            real_processor_s: window.real.processor.as_secs_f64(),
            hollow_resident_bytes: window.hollow.resident_bytes,
            replicas_resident_bytes: window.replicas.resident_bytes,
            run_resident_bytes: window.run.resident_bytes,
            real_resident_bytes: window.real.resident_bytes,
            calls: calls.calls,
            rejected: calls.rejected,
            failed_calls: window.failed_calls,
            snapshots: calls.snapshots,
            lines: calls.lines,
            bytes_from_nodes: calls.bytes_in,
            bytes_to_nodes: calls.bytes_out,
            node_processor_us_per_s: hollow_processor_s * 1e6 / node_seconds,
            node_resident_bytes,
            node_server_resident_bytes: node_resident_bytes / f64::from(servers),
            node_bytes_out_per_s: calls.bytes_in as f64 / caller_seconds,
            node_bytes_in_per_s: calls.bytes_out as f64 / caller_seconds,
            node_messages_per_s: 2.0 * calls.calls as f64 / caller_seconds,
        }
    }
}

impl ScaleReport {
    /// Returns whether every running node applied every change within the time that the script expects, every
    /// started node got a list, and the real nodes violated no rule.
    pub fn all_met(&self) -> bool {
        let rules_held = self.real.as_ref().is_none_or(|real| real.violation_counts == [0; 4]);
        self.propagation.never == 0 && self.propagation.late == 0 && self.readiness.never == 0 && rules_held
    }

    /// Serializes the report as a line of JSON.
    ///
    /// # Errors
    /// If a figure cannot be represented in JSON.
    pub fn json(&self) -> Result<String, serde_json::Error> {
        serde_json::to_string(self)
    }

    /// Parses the output of [`Self::json`].
    ///
    /// # Errors
    /// If the text is not a report, or one of another version.
    pub fn parse(text: &str) -> Result<Self, serde_json::Error> {
        let report: Self = serde_json::from_str(text)?;
        if report.version == VERSION {
            return Ok(report);
        }
        let problem = format!("expected version {VERSION}, found {}", report.version);
        Err(serde::de::Error::custom(problem))
    }

    /// Formats the report as tables for the terminal.
    pub fn text(&self) -> String {
        let known = if self.mechanism { "all replicas" } else { "one address only" };
        let mut text = format!(
            "{} (seed {}): {} hollow nodes in {} processes, {} real ones, {} servers, {} replicas, nodes know {known}\n",
            self.name,
            self.seed,
            self.nodes,
            self.hollow_processes,
            self.real_nodes,
            self.servers,
            self.replicas
        );
        let _ = writeln!(text, "{}", self.windows_table());
        let _ = writeln!(text, "{}", self.events_table());
        if self.propagation.never > 0 {
            let _ = writeln!(text, "MISSED: {} nodes never acted on a change", self.propagation.nodes_never);
        }
        if self.propagation.late > 0 {
            let _ =
                writeln!(text, "MISSED: {} acts came later than the script expects", self.propagation.late);
        }
        if self.readiness.never > 0 {
            let _ =
                writeln!(text, "MISSED: {} nodes that were started never held a list", self.readiness.never);
        }
        if let Some(real) = self.real.as_ref().filter(|real| real.violation_counts != [0; 4]) {
            let _ =
                writeln!(text, "MISSED: rules 1 to 4 broken {:?} times by real nodes", real.violation_counts);
            for violation in &real.violations {
                let _ = writeln!(text, "  {violation}");
            }
        }
        text
    }

    fn windows_table(&self) -> Table {
        let mut table = bordered_table(["", "at rest", "with events"]);
        let mut row = |label: &str, value: &dyn Fn(&WindowFigures) -> String| {
            let active = self.active.as_ref().map(value).unwrap_or_default();
            table.add_row([label.to_owned(), value(&self.rest), active]);
        };
        row("seconds", &|window| format!("{:.1}", window.seconds));
        row("a hollow node: processor, us a second", &|window| {
            format!("{:.1}", window.node_processor_us_per_s)
        });
        row("  resident, KiB", &|window| format!("{:.1}", window.node_resident_bytes / 1_024.0));
        row("  resident for each server, bytes", &|window| {
            format!("{:.1}", window.node_server_resident_bytes)
        });
        row("  bytes sent, received a second", &|window| {
            format!("{:.1}, {:.1}", window.node_bytes_out_per_s, window.node_bytes_in_per_s)
        });
        row("  messages a second, both ways", &|window| format!("{:.3}", window.node_messages_per_s));
        row("all replicas: calls, refused", &|window| format!("{}, {}", window.calls, window.rejected));
        row("  lines, whole lists", &|window| format!("{:.0}, {}", window.lines, window.snapshots));
        row("calls failed, by the nodes", &|window| window.failed_calls.to_string());
        row("processor, s: hollow, real, replicas, run", &|window| {
            let [hollow, real] = [window.hollow_processor_s, window.real_processor_s];
            let [replicas, run] = [window.replicas_processor_s, window.run_processor_s];
            format!("{hollow:.2}, {real:.2}, {replicas:.2}, {run:.2}")
        });
        row("resident, MiB: hollow, real, replicas, run", &|window| {
            let mib = |bytes: u64| bytes as f64 / f64::from(1 << 20);
            let [hollow, real] = [window.hollow_resident_bytes, window.real_resident_bytes].map(mib);
            let [replicas, run] = [window.replicas_resident_bytes, window.run_resident_bytes].map(mib);
            format!("{hollow:.1}, {real:.1}, {replicas:.1}, {run:.1}")
        });
        table
    }

    fn events_table(&self) -> Table {
        let mut table = bordered_table(["", "figure"]);
        let mut row = |label: &str, value: String| {
            table.add_row([label.to_owned(), value]);
        };
        let (propagation, readiness) = (&self.propagation, &self.readiness);
        if propagation.changes > 0 {
            row("changes of the list", propagation.changes.to_string());
            row("acts of nodes on them", propagation.times.count.to_string());
            row("  from change to act, ms: p50, p99, last", format_milliseconds(&propagation.times));
            row("  later than expected, never", format!("{}, {}", propagation.late, propagation.never));
            row("  not expected: the node was killed before", propagation.killed_before.to_string());
        }
        if readiness.launched > 0 {
            row(
                "nodes started without a list, never ready",
                format!("{}, {}", readiness.launched, readiness.never),
            );
            row("  from start to list, ms: p50, p99, last", format_milliseconds(&readiness.times));
            row("  most at once", readiness.largest_group.to_string());
            let [took, sending] = [readiness.largest_group_ms, readiness.largest_group_sending_ms];
            let multiple = readiness.largest_group_multiple;
            row("  all of these ready, ms", format!("{took:.0}: {multiple:.2} x {sending:.0}"));
        }
        let optional =
            |value: Option<f64>| value.map_or("not told apart".into(), |value| format!("{value:.1}"));
        if self.active.is_some() {
            row("a node's processor time for a change, us", optional(self.node_delta_us));
            row("a node's processor time for a whole list, us", optional(self.node_snapshot_us));
        }
        row("replicas' calls, largest over mean", format!("{:.2}", self.calls_largest_over_mean));
        row("replicas' lines, largest over mean", format!("{:.2}", self.lines_largest_over_mean));
        let queue = self.replica_loads.iter().map(|load| load.longest_queue_ms).max().unwrap_or_default();
        row("longest wait of a call for its turn, ms", queue.to_string());
        row("steps carried out late by at most, ms", format!("{:.0}", self.longest_step_delay_ms));
        if let Some(real) = &self.real {
            row("real nodes", real.nodes.to_string());
            let answers = [real.requests, real.served, real.rejected, real.failed, real.unanswered];
            row("  requests, served, refused, failed, unanswered", join_counts(&answers));
            row("  requests not made", real.not_sent.to_string());
            row("  clients late by at most, us", real.longest_delay_us.to_string());
            row("  answered in us: p50, p99", format!("{}, {}", real.p50_us, real.p99_us));
            row("  rules broken, 1 to 4", join_counts(&real.violation_counts));
        }
        table
    }
}

/// Creates a table with these headers. All columns but the first one are right-aligned.
pub(super) fn bordered_table<const N: usize>(headers: [&str; N]) -> Table {
    let mut table = Table::new();
    table.load_preset(UTF8_BORDERS_ONLY).set_header(headers);
    for column in 1..N {
        if let Some(column) = table.column_mut(column) {
            column.set_cell_alignment(CellAlignment::Right);
        }
    }
    table
}

fn format_milliseconds(times: &LatencyFigures) -> String {
    format!("{:.1}, {:.1}, {:.1}", times.p50_ms, times.p99_ms, times.last_ms)
}

fn join_counts(counts: &[u64]) -> String {
    let counts: Vec<_> = counts.iter().map(ToString::to_string).collect();
    counts.join(", ")
}

/// Returns the largest value divided by the mean. Returns 0 if the sum is not positive, in particular without
/// values.
pub fn largest_over_mean(values: impl Iterator<Item = f64>) -> f64 {
    let (count, sum, largest) = values.fold((0.0, 0.0, 0.0_f64), |(count, sum, largest), value| {
        (count + 1.0, sum + value, largest.max(value))
    });
    if sum > 0.0 {
        largest * count / sum
    } else {
        0.0
    }
}
