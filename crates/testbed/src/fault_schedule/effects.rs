//! Expands each incident into effects, as if it were the only incident.

use super::{Change, ServerCondition};
use crate::fleet;
use crate::random::RandomSource;
use crate::script::{Fault, Incident, Script};
use std::time::Duration;

/// The purpose of the random values that select the servers and nodes of an incident.
const INCIDENT_TARGETS: u64 = 0x7469_6d65;

/// The index of an incident in the script.
pub(super) type IncidentIndex = usize;

/// An effect and its time.
#[derive(Clone, Debug)]
pub(super) struct ScheduledEffect {
    pub(super) at: Duration,
    pub(super) incident: IncidentIndex,
    pub(super) effect: Effect,
}

/// An effect of one incident, before overlapping incidents are taken into account.
#[derive(Clone, Debug)]
pub(super) enum Effect {
    /// A cache server begins to retire: it drains before its process ends.
    BeginRetirement {
        index: usize,
        /// Whether the server has no successor.
        permanent: bool,
    },
    /// The process that was retired by the same incident ends.
    EndRetired {
        index: usize,
    },
    /// The successor of the process that was retired by the same incident starts.
    StartSuccessor {
        index: usize,
        same_address: bool,
    },
    /// A cache server crashes.
    Crash {
        index: usize,
    },
    /// A cache server that was crashed by the same incident restarts.
    Recover {
        index: usize,
    },
    /// A condition of a cache server becomes active.
    BeginCondition {
        index: usize,
        condition: ServerCondition,
    },
    /// The condition that the same incident caused ends.
    EndCondition {
        index: usize,
    },
    BeginSlowOrigin {
        factor: f64,
    },
    EndSlowOrigin,
    BeginDiscoveryOutage,
    EndDiscoveryOutage,
    BeginDiscoveryErrors {
        rate: f64,
    },
    EndDiscoveryErrors,
    /// A change that does not depend on other incidents.
    Independent(Change),
}

/// Returns the effects of all incidents of a script, grouped by incident.
pub(super) fn expand_incidents(script: &Script) -> Vec<ScheduledEffect> {
    let mut effects = Vec::new();
    for (incident_index, incident) in script.incidents.iter().enumerate() {
        let random = RandomSource::new(script.seed).derive(INCIDENT_TARGETS).derive(incident_index as u64);
        let mut planner = Planner { script, incident, incident_index, random, effects: &mut effects };
        planner.plan();
    }
    effects
}

/// Plans the effects of one incident.
struct Planner<'a> {
    script: &'a Script,
    incident: &'a Incident,
    incident_index: IncidentIndex,
    random: RandomSource,
    effects: &'a mut Vec<ScheduledEffect>,
}

impl Planner<'_> {
    fn plan(&mut self) {
        let normal = ServerCondition::default();
        match self.incident.fault {
            Fault::Unreachable { share } => {
                self.plan_condition(share, ServerCondition { reachable: false, ..normal });
            }
            Fault::Errors { share, rate } => {
                self.plan_condition(share, ServerCondition { error_rate: rate, ..normal });
            }
            Fault::Delay { share, extra } => {
                self.plan_condition(share, ServerCondition { extra_latency: extra, ..normal });
            }
            Fault::Loss { share, rate } => {
                self.plan_condition(share, ServerCondition { packet_loss_rate: rate, ..normal });
            }
            Fault::Resets { share, rate } => {
                self.plan_condition(share, ServerCondition { reset_rate: rate, ..normal });
            }
            Fault::HalfOpen { share } => self.plan_half_open(share),
            Fault::Shrink { share, drain } => self.plan_shrink(share, drain),
            Fault::Deploy { share, batch, drain, same_address } => {
                self.plan_deploy(share, batch, drain, same_address);
            }
            Fault::RestartNodes { share, batch, downtime, killed } => {
                self.plan_node_batches(share, batch, |node| Change::RestartNode { node, killed, downtime });
            }
            Fault::Upgrade { share, batch } => {
                self.plan_node_batches(share, batch, |node| Change::UpgradeNode { node });
            }
            Fault::Reload { share, times } => self.plan_reloads(share, times),
            Fault::Crash { share } => self.plan_crash(share),
            Fault::Pause { share } => self.plan_pause(share),
            Fault::SlowOrigin { factor } => {
                self.plan_begin_and_end(Effect::BeginSlowOrigin { factor }, Effect::EndSlowOrigin);
            }
            Fault::DiscoveryOutage => {
                self.plan_begin_and_end(Effect::BeginDiscoveryOutage, Effect::EndDiscoveryOutage);
            }
            Fault::DiscoveryErrors { rate } => {
                self.plan_begin_and_end(Effect::BeginDiscoveryErrors { rate }, Effect::EndDiscoveryErrors);
            }
            // The workload implements these faults.
            Fault::HotKeys { .. } | Fault::Surge { .. } => {}
        }
    }

    fn plan_condition(&mut self, share: f64, condition: ServerCondition) {
        for index in self.choose_servers(share) {
            self.plan_begin_and_end(
                Effect::BeginCondition { index, condition },
                Effect::EndCondition { index },
            );
        }
    }

    fn plan_half_open(&mut self, share: f64) {
        let servers = self.choose_servers(share);
        for (n, &index) in servers.iter().enumerate() {
            let at = self.at_fraction(n as f64 / servers.len() as f64);
            self.add(at, Effect::Independent(Change::LoseConnectionState { index }));
        }
    }

    fn plan_shrink(&mut self, share: f64, drain: Duration) {
        let servers = self.choose_servers(share);
        for (n, &index) in servers.iter().enumerate() {
            let at = self.at_fraction(n as f64 / servers.len() as f64);
            self.add(at, Effect::BeginRetirement { index, permanent: true });
            self.add(at + drain, Effect::EndRetired { index });
        }
    }

    fn plan_deploy(&mut self, share: f64, batch: f64, drain: Duration, same_address: bool) {
        let servers = self.choose_servers(share);
        for (at, batch) in self.batches(&servers, fleet::server_count(self.script), batch) {
            for index in batch {
                self.add(at, Effect::BeginRetirement { index, permanent: false });
                self.add(at + drain, Effect::EndRetired { index });
                self.add(at + drain, Effect::StartSuccessor { index, same_address });
            }
        }
    }

    fn plan_node_batches(&mut self, share: f64, batch: f64, change: impl Fn(usize) -> Change) {
        let nodes = self.choose_nodes(share);
        for (at, batch) in self.batches(&nodes, self.script.nodes as usize, batch) {
            for node in batch {
                self.add(at, Effect::Independent(change(node)));
            }
        }
    }

    fn plan_reloads(&mut self, share: f64, times: u32) {
        for node in self.choose_nodes(share) {
            for time in 0..times {
                let at = self.at_fraction(f64::from(time) / f64::from(times));
                self.add(at, Effect::Independent(Change::ReloadNode { node }));
            }
        }
    }

    fn plan_crash(&mut self, share: f64) {
        for index in self.choose_servers(share) {
            self.plan_begin_and_end(Effect::Crash { index }, Effect::Recover { index });
        }
    }

    fn plan_pause(&mut self, share: f64) {
        let Incident { at, duration, .. } = *self.incident;
        for index in self.choose_servers(share) {
            self.add(at, Effect::Independent(Change::Pause { index, duration }));
        }
    }

    fn add(&mut self, at: Duration, effect: Effect) {
        self.effects.push(ScheduledEffect { at, incident: self.incident_index, effect });
    }

    /// Adds an effect at the beginning of the incident and another one at its end.
    fn plan_begin_and_end(&mut self, begin: Effect, end: Effect) {
        let Incident { at, duration, .. } = *self.incident;
        self.add(at, begin);
        self.add(at + duration, end);
    }

    /// Returns the time at a fraction of the incident's duration.
    fn at_fraction(&self, fraction: f64) -> Duration {
        self.incident.at + self.incident.duration.mul_f64(fraction)
    }

    /// Returns a random share of the cache servers in the zone of the incident, or in all zones if it has
    /// none.
    fn choose_servers(&self, share: f64) -> Vec<usize> {
        self.choose(fleet::server_count(self.script), share)
    }

    /// Returns a random share of the nodes in the zone of the incident, or in all zones if it has none.
    fn choose_nodes(&self, share: f64) -> Vec<usize> {
        self.choose(self.script.nodes as usize, share)
    }

    /// Returns a random share, rounded up, of the indices below `count` that belong to the incident's zone.
    fn choose(&self, count: usize, share: f64) -> Vec<usize> {
        // Nodes and cache servers are assigned to zones by the same rule, see `fleet`.
        let in_zone = |i: &usize| self.incident.zone.is_none_or(|zone| i % self.script.zones.len() == zone);
        let mut all: Vec<_> = (0..count).filter(in_zone).collect();
        let chosen = (all.len() as f64 * share).ceil() as usize;
        all.sort_by_key(|&i| (self.random.derive(i as u64).bits(), i));
        all.truncate(chosen);
        all
    }

    /// Splits the chosen indices into batches of at most `fraction` of `count`, but at least one. The batches
    /// start at equal intervals over the duration of the incident.
    fn batches(&self, chosen: &[usize], count: usize, fraction: f64) -> Vec<(Duration, Vec<usize>)> {
        let size = ((count as f64 * fraction).floor() as usize).max(1);
        let batches = chosen.len().div_ceil(size).max(1);
        let starts = (0..batches).map(|n| self.at_fraction(n as f64 / batches as f64));
        starts.zip(chosen.chunks(size).map(<[usize]>::to_vec)).collect()
    }
}
