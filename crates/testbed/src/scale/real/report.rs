//! What the real nodes of a scale run came to.

use crate::judge::{Verdict, Violation};
use serde::Serialize;

/// How often each rule was broken.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct RulesBroken {
    /// A request got no final answer in time, or two, or what was made for another.
    pub lost: u64,
    /// A request ran again where that is not safe, or was refused although it ran.
    pub repeated_effect: u64,
    /// Something new was sent to a cache server after a node was told that it drains or is gone.
    pub after_drain: u64,
    /// A cold cache server was pushed over.
    pub cold_server_fell: u64,
}

impl RulesBroken {
    /// How often any rule was.
    pub fn all(&self) -> u64 {
        self.lost + self.repeated_effect + self.after_drain + self.cold_server_fell
    }

    /// As the ledger counts them.
    pub fn of(verdict: &Verdict) -> Self {
        let [lost, repeated_effect, after_drain, cold_server_fell] = verdict.violation_counts;
        Self { lost, repeated_effect, after_drain, cold_server_fell }
    }
}

/// How long served requests took, from their sending to the last byte of their answers; zero where none was served.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Latency {
    /// The median, in microseconds.
    pub p50_us: u32,
    /// The 99th percentile, in microseconds.
    pub p99_us: u32,
}

impl Latency {
    /// Of these times in microseconds, by nearest rank.
    pub fn of(mut all: Vec<u32>) -> Self {
        all.sort_unstable();
        let rank = |part: f64| (all.len() as f64 * part).ceil() as usize;
        let at = |part: f64| all.get(rank(part).saturating_sub(1)).copied().unwrap_or(0);
        Self { p50_us: at(0.5), p99_us: at(0.99) }
    }
}

/// What a node used.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct NodeUsage {
    /// Its name.
    pub name: String,
    /// Whether it runs.
    pub running: bool,
    /// Processor time of all its processes, in microseconds.
    pub processor_us: u64,
    /// Memory of its process, or of the last one as it was killed, in bytes (RssAnon).
    pub rss_anon: u64,
}

/// What the real nodes of a scale run came to.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct RealReport {
    /// Requests that nodes took: the sum of the four counts that follow.
    pub requests: u64,
    /// Answered with what was made for them.
    pub served: u64,
    /// Refused.
    pub refused: u64,
    /// Failed.
    pub failed: u64,
    /// Without an answer of these: lost, as `rules_broken` has it, or out at a node that was killed.
    pub unanswered: u64,
    /// Requests that were not made, since too many were out at their node or it was not there.
    pub held_back: u64,
    /// The most requests of a run were made, and nodes had no load from then on.
    pub load_ran_out: bool,
    /// A client came so late with a request at the most, in microseconds. Where that is no small part of the 50 ms that the
    /// rules allow for, the machine was too busy, and a breach by less than this may be the rig's.
    pub latest_us: u64,
    /// Attempts that reached cache servers.
    pub attempts: u64,
    /// Connections that cache servers closed at once, since they held as many as they may.
    pub turned_away: u64,
    /// Lines that nodes logged after their starts.
    pub log_lines: u64,
    /// Rules that were broken.
    pub rules_broken: RulesBroken,
    /// The first breaches in words.
    pub breaches: Vec<Violation>,
    /// How long requests took.
    pub latency: Latency,
    /// By node.
    pub nodes: Vec<NodeUsage>,
}
