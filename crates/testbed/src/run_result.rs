//! The result of a run, in the form that all runners share.

use crate::counts::Counts;
use crate::judge::Verdict;
use crate::models::{CacheServer, Origin};
use balancer_core::Timestamp;
use serde::Serialize;

/// The result of a run.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct RunResult {
    /// The judge's verdict.
    pub verdict: Verdict,
    /// Fraction of executed reads that were cache hits.
    pub hit_rate: f64,
    /// Number of fetches that the origin accepted and rejected.
    pub fetches: (u64, u64),
    /// Maximum length of the origin's queue.
    pub origin_queue: usize,
    /// Number of lines that the nodes logged.
    pub log_lines: u64,
    /// The state of the servers at the end of each second.
    pub samples: Vec<Sample>,
    /// Effects of all nodes on the fleet, by second. Empty for runs on sockets, where they cannot be fully
    /// observed.
    pub counts: Vec<Counts>,
    /// Number of initial entries whose cache server was looked up. Counted only in virtual time.
    #[serde(skip)]
    pub placement_lookups: usize,
}

/// State of the cache servers and the origin at one time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Sample {
    /// Requests in all cache servers, queued or in progress.
    #[serde(rename = "held")]
    pub requests_in_servers: usize,
    /// Fetches in the origin's queue.
    #[serde(rename = "origin_waiting")]
    pub origin_queue: usize,
    /// Running cache servers.
    #[serde(rename = "running")]
    pub servers: usize,
    /// Running cache servers in slow start.
    #[serde(rename = "cold")]
    pub warming_servers: usize,
    /// Cache misses since the previous sample.
    pub misses: u64,
}

impl Sample {
    /// Takes a sample of the running cache servers and the origin.
    pub fn of<'a>(
        servers: impl Iterator<Item = &'a CacheServer>,
        origin: &Origin,
        now: Timestamp,
        misses: u64,
    ) -> Self {
        let origin_sample = Self { origin_queue: origin.queued(), misses, ..Self::default() };
        servers.fold(origin_sample, |sample, server| Self {
            requests_in_servers: sample.requests_in_servers + server.requests(),
            servers: sample.servers + 1,
            warming_servers: sample.warming_servers + usize::from(server.is_warming_up(now)),
            ..sample
        })
    }
}

/// Returns the fraction of reads that were cache hits; 1 if there were no reads.
pub(crate) fn hit_rate(hits: u64, misses: u64) -> f64 {
    match hits + misses {
        0 => 1.0,
        reads => hits as f64 / reads as f64,
    }
}
