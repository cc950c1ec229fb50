//! The report of the real nodes of a scale run.

use crate::judge::{Verdict, Violation};
use serde::Serialize;

/// The number of violations of each rule.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct RulesBroken {
    /// A request had no final answer in time, or two, or the response to another request.
    pub lost: u64,
    /// A request was repeated where that is not safe, or was rejected although it was executed.
    pub repeated_effect: u64,
    /// A node sent a new request to a cache server after it was notified that the server drains or is removed.
    pub after_drain: u64,
    /// A warming cache server was overloaded.
    #[serde(rename = "cold_server_fell")]
    pub warming_server_overloaded: u64,
}

impl RulesBroken {
    /// The number of violations of any rule.
    pub fn all(&self) -> u64 {
        self.lost + self.repeated_effect + self.after_drain + self.warming_server_overloaded
    }

    /// The counts of a verdict.
    pub fn of(verdict: &Verdict) -> Self {
        let [lost, repeated_effect, after_drain, warming_server_overloaded] = verdict.violation_counts;
        Self { lost, repeated_effect, after_drain, warming_server_overloaded }
    }
}

/// The latency of served requests, from their sending to the last byte of the answer; zero if none was served.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Latency {
    /// The median, in microseconds.
    pub p50_us: u32,
    /// The 99th percentile, in microseconds.
    pub p99_us: u32,
}

impl Latency {
    /// The percentiles of these times in microseconds, by nearest rank.
    pub fn of(mut all: Vec<u32>) -> Self {
        all.sort_unstable();
        let rank = |part: f64| (all.len() as f64 * part).ceil() as usize;
        let at = |part: f64| all.get(rank(part).saturating_sub(1)).copied().unwrap_or(0);
        Self { p50_us: at(0.5), p99_us: at(0.99) }
    }
}

/// The resource usage of a node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct NodeUsage {
    /// Its name.
    pub name: String,
    /// Whether it runs.
    pub running: bool,
    /// The processor time of all its processes, in microseconds.
    pub processor_us: u64,
    /// The memory (RssAnon) of its process, or of the last one when it was killed, in bytes.
    pub rss_anon: u64,
}

/// The report of the real nodes of a scale run.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct RealReport {
    /// Requests that nodes accepted: the sum of the four counts that follow.
    pub requests: u64,
    /// Requests that were served.
    pub served: u64,
    /// Requests that were rejected.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// Requests that failed.
    pub failed: u64,
    /// Requests without such an answer: lost, as `rules_broken` counts them, or in flight at a node that was killed.
    pub unanswered: u64,
    /// Requests that were not sent because too many were in flight at their node, or it did not run.
    #[serde(rename = "held_back")]
    pub not_sent: u64,
    /// The maximum number of requests of a run was sent, and nodes had no load afterwards.
    pub load_ran_out: bool,
    /// The longest delay of a request at its client, in microseconds. If that is not small against the 50 ms of tolerance, the
    /// machine was too busy, and a violation by less than this may be due to the testbed.
    #[serde(rename = "latest_us")]
    pub longest_delay_us: u64,
    /// Attempts that reached cache servers.
    pub attempts: u64,
    /// Connections that cache servers closed at once because they had as many as they may.
    #[serde(rename = "turned_away")]
    pub rejected_connections: u64,
    /// Lines that nodes logged after their starts.
    pub log_lines: u64,
    /// The violations of each rule.
    pub rules_broken: RulesBroken,
    /// The first violations.
    #[serde(rename = "breaches")]
    pub violations: Vec<Violation>,
    /// The latency of served requests.
    pub latency: Latency,
    /// By node.
    pub nodes: Vec<NodeUsage>,
}
