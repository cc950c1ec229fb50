//! The report of the real nodes of a scale run.

use crate::judge::{Verdict, Violation};
use serde::Serialize;

/// The number of violations of each rule.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct ViolationCounts {
    /// Rule 1: a request had no final answer in time, two answers, or the response to another request.
    pub lost: u64,
    /// Rule 2: a request was repeated although that was not safe, or was rejected although it was executed.
    pub repeated_effect: u64,
    /// Rule 3: a node sent a new request to a cache server after it was notified that the server drains or is
    /// removed.
    pub after_drain: u64,
    /// Rule 4: a cache server was overloaded in slow start.
    #[serde(rename = "cold_server_fell")]
    pub warming_server_overloaded: u64,
}

impl ViolationCounts {
    /// Returns the number of violations of all rules.
    pub fn all(&self) -> u64 {
        self.lost + self.repeated_effect + self.after_drain + self.warming_server_overloaded
    }

    /// Returns the counts of a verdict.
    pub fn of(verdict: &Verdict) -> Self {
        let [lost, repeated_effect, after_drain, warming_server_overloaded] = verdict.violation_counts;
        Self { lost, repeated_effect, after_drain, warming_server_overloaded }
    }
}

/// The latency of served requests, from the start of sending to the last byte of the answer; zero if none was
/// served.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Latency {
    /// The median, in microseconds.
    pub p50_us: u32,
    /// The 99th percentile, in microseconds.
    pub p99_us: u32,
}

impl Latency {
    /// Returns the nearest-rank percentiles of these latencies in microseconds.
    pub fn of(mut latencies_us: Vec<u32>) -> Self {
        latencies_us.sort_unstable();
        let rank = |fraction: f64| (latencies_us.len() as f64 * fraction).ceil() as usize;
        let percentile =
            |fraction: f64| latencies_us.get(rank(fraction).saturating_sub(1)).copied().unwrap_or(0);
        Self { p50_us: percentile(0.5), p99_us: percentile(0.99) }
    }
}

/// The resource usage of a node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct NodeUsage {
    /// The name of the node.
    pub name: String,
    /// Whether the node runs.
    pub running: bool,
    /// The processor time of all processes of the node, in microseconds.
    pub processor_us: u64,
    /// The anonymous resident memory (RssAnon) in bytes, of the running process or of the last one when it
    /// was killed.
    pub rss_anon: u64,
}

/// The report of the real nodes of a scale run.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct RealReport {
    /// Requests that nodes accepted; the sum of the next four counts.
    pub requests: u64,
    /// Requests that were served.
    pub served: u64,
    /// Requests that were rejected.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// Requests that failed.
    pub failed: u64,
    /// Requests with none of these answers: lost ones, which `violation_counts` counts, or in flight at a
    /// node that was killed.
    pub unanswered: u64,
    /// Requests that were not sent because too many were in flight at their node or the node did not run.
    #[serde(rename = "held_back")]
    pub not_sent: u64,
    /// Whether the maximum number of requests of a run was sent, after which the nodes had no load.
    pub load_ran_out: bool,
    /// The longest delay of a request at its client, in microseconds. If it is not small compared to the
    /// tolerance of 50 ms, the machine was too busy, and a time limit exceeded by less than this delay may be
    /// due to the testbed.
    #[serde(rename = "latest_us")]
    pub longest_delay_us: u64,
    /// Attempts that reached cache servers.
    pub attempts: u64,
    /// Connections that cache servers closed at once because they were at their limit of connections.
    #[serde(rename = "turned_away")]
    pub rejected_connections: u64,
    /// Lines that nodes logged after they had started to listen.
    pub log_lines: u64,
    /// The number of violations of each rule.
    #[serde(rename = "rules_broken")]
    pub violation_counts: ViolationCounts,
    /// The first violations, in detail.
    #[serde(rename = "breaches")]
    pub violations: Vec<Violation>,
    /// The latency of served requests.
    pub latency: Latency,
    /// The resource usage of each node.
    pub nodes: Vec<NodeUsage>,
}
