//! The real nodes of a scale run and their cache servers, which receive the same events as the replicas of
//! discovery.

use super::measure::Cost;
use super::messages::{Answering, ListedServer};
use super::real::{
    classes, CacheServers, NodeUsage, RealError, RealNodes, RealReport, RealSettings, ServerSettings,
};
use super::report::RealFigures;
use super::script::ScaleScript;
use super::steps::servers_at_start;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

/// The real nodes of a run and the cache servers that they use; neither is started if the script has no real
/// nodes.
#[derive(Debug)]
pub struct RealFleet {
    servers: Option<CacheServers>,
    nodes: Option<RealNodes>,
    /// How each replica answers, by its number.
    answering: Vec<Answering>,
    /// The number of replicas in the configuration of the nodes; they are the first ones.
    known_replicas: usize,
    /// Since when none of the known replicas answers, in microseconds of Unix time; `None` while one does.
    outage_started_us: Option<u64>,
}

impl RealFleet {
    /// Starts the cache servers if the script has real nodes.
    ///
    /// # Errors
    /// Returns an error if they do not start.
    pub async fn start_servers(script: &ScaleScript) -> Result<Self, RealError> {
        let mut servers = None;
        if script.real.nodes > 0 {
            let settings = ServerSettings { count: script.servers, zones: zones(script) };
            servers = Some(CacheServers::start(settings).await?);
        }
        Ok(Self {
            servers,
            nodes: None,
            answering: vec![Answering::Up; script.running_replicas() as usize],
            known_replicas: script.known_replicas() as usize,
            outage_started_us: None,
        })
    }

    /// Returns the list of cache servers at the start of the run.
    pub fn servers(&self, script: &ScaleScript) -> Vec<ListedServer> {
        self.servers.as_ref().map_or_else(|| servers_at_start(script), CacheServers::servers)
    }

    /// Starts the real nodes if the script has any, and waits until they are ready.
    ///
    /// # Errors
    /// Returns an error if a node does not start.
    pub async fn start_nodes(
        &mut self,
        script: &ScaleScript,
        program: &Path,
        replicas: Vec<SocketAddr>,
    ) -> Result<(), RealError> {
        let Some(servers) = &self.servers else { return Ok(()) };
        let settings = RealSettings {
            program: program.to_owned(),
            count: script.real.nodes,
            fleet_size: script.nodes + script.real.nodes,
            zones: zones(script),
            replicas,
            capacity: script.mechanism.then_some(script.capacity),
            rate: script.real.rate,
            classes: classes(),
            seed: script.seed,
        };
        let nodes = RealNodes::start(servers, settings).await?;
        // The nodes have read their files and are not started again. Removing the files now means that a run
        // that is killed leaves none behind. Files that cannot be removed now are removed with the nodes.
        let _ = std::fs::remove_dir_all(nodes.folder());
        self.nodes = Some(nodes);
        Ok(())
    }

    /// Applies a changed entry of discovery's list to the cache servers and records it for the judge.
    ///
    /// # Errors
    /// Returns an error if no cache server of this fleet listens at the entry's address, or its health is
    /// unknown.
    pub fn record_change(&self, server: &ListedServer, at_us: u64) -> Result<(), RealError> {
        self.nodes.as_ref().map_or(Ok(()), |nodes| nodes.apply_entry(server, at_us))
    }

    /// Records how replicas answer from now on. Discovery is unavailable while no replica that the nodes know
    /// answers.
    pub fn set_answering(&mut self, replicas: &[u32], answering: Answering, at_us: u64) {
        for &replica in replicas {
            if let Some(current) = self.answering.get_mut(replica as usize) {
                *current = answering;
            }
        }
        let mut known = self.answering.iter().take(self.known_replicas);
        let unavailable = known.all(|answering| *answering != Answering::Up);
        match self.outage_started_us {
            None if unavailable => self.outage_started_us = Some(at_us),
            Some(_) if !unavailable => self.end_outage(at_us),
            _ => {}
        }
    }

    fn end_outage(&mut self, at_us: u64) {
        let started = self.outage_started_us.take();
        if let (Some(nodes), Some(started)) = (&self.nodes, started) {
            nodes.record_outage(started, at_us);
        }
    }

    /// Returns the resource usage of all real nodes since their start.
    pub fn cost(&self) -> Cost {
        let usage = self.nodes.as_ref().map(RealNodes::usage).unwrap_or_default();
        let cost = |node: &NodeUsage| Cost {
            processor: Duration::from_micros(node.processor_us),
            resident_bytes: node.rss_anon,
        };
        usage.iter().map(cost).sum()
    }

    /// Stops the real nodes, judges them and returns their figures; `None` if there are no real nodes.
    pub async fn finish(mut self, at_us: u64) -> Option<RealFigures> {
        self.end_outage(at_us);
        let nodes = self.nodes.take()?;
        Some(figures(nodes.finish().await))
    }
}

fn zones(script: &ScaleScript) -> Vec<String> {
    (0..script.zones).map(|zone| script.zone_name(zone)).collect()
}

fn figures(report: RealReport) -> RealFigures {
    let counts = report.violation_counts;
    RealFigures {
        nodes: report.nodes.len() as u32,
        requests: report.requests,
        served: report.served,
        rejected: report.rejected,
        failed: report.failed,
        unanswered: report.unanswered,
        not_sent: report.not_sent,
        load_ran_out: report.load_ran_out,
        longest_delay_us: report.longest_delay_us,
        p50_us: report.latency.p50_us,
        p99_us: report.latency.p99_us,
        violation_counts: [
            counts.lost,
            counts.repeated_effect,
            counts.after_drain,
            counts.warming_server_overloaded,
        ],
        violations: report.violations.iter().map(|violation| violation.description.clone()).collect(),
    }
}
