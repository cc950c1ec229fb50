//! Combines the effects of overlapping incidents.

use super::effects::{Effect, IncidentIndex};
use super::{Change, ServerCondition};
use std::collections::{BTreeMap, BTreeSet};

/// The currently active effects, by incident.
#[derive(Default)]
pub(super) struct ActiveFaults {
    servers: BTreeMap<usize, ServerFaults>,
    origin_factors: BTreeMap<IncidentIndex, f64>,
    discovery_outages: BTreeSet<IncidentIndex>,
    discovery_error_rates: BTreeMap<IncidentIndex, f64>,
}

/// The active effects on the cache server of one index.
#[derive(Default)]
struct ServerFaults {
    conditions: BTreeMap<IncidentIndex, ServerCondition>,
    crashes: BTreeSet<IncidentIndex>,
    /// The incident that is retiring the current process.
    retiring: Option<IncidentIndex>,
    /// Whether the server has been retired permanently.
    removed: bool,
}

impl ActiveFaults {
    /// Applies an effect of an incident. Returns the resulting change, if there is one.
    pub(super) fn apply(&mut self, incident: IncidentIndex, effect: Effect) -> Option<Change> {
        match effect {
            Effect::Independent(change) => Some(change),
            Effect::BeginRetirement { index, permanent } => self.begin_retirement(incident, index, permanent),
            Effect::EndRetired { index } => {
                let retired = self.server_faults(index).retiring == Some(incident);
                retired.then_some(Change::Stop { index })
            }
            Effect::StartSuccessor { index, same_address } => {
                self.start_successor(incident, index, same_address)
            }
            Effect::Crash { index } => {
                self.server_faults(index).crashes.insert(incident);
                Some(Change::Stop { index })
            }
            Effect::Recover { index } => self.recover(incident, index),
            Effect::BeginCondition { index, condition } => {
                self.server_faults(index).conditions.insert(incident, condition);
                Some(self.condition_change(index))
            }
            Effect::EndCondition { index } => {
                self.server_faults(index).conditions.remove(&incident);
                Some(self.condition_change(index))
            }
            Effect::BeginSlowOrigin { factor } => {
                self.origin_factors.insert(incident, factor);
                Some(self.slow_origin_change())
            }
            Effect::EndSlowOrigin => {
                self.origin_factors.remove(&incident);
                Some(self.slow_origin_change())
            }
            Effect::BeginDiscoveryOutage => {
                self.discovery_outages.insert(incident);
                let first = self.discovery_outages.len() == 1;
                first.then_some(Change::SetDiscoveryAvailable { available: false })
            }
            Effect::EndDiscoveryOutage => {
                self.discovery_outages.remove(&incident);
                let last = self.discovery_outages.is_empty();
                last.then_some(Change::SetDiscoveryAvailable { available: true })
            }
            Effect::BeginDiscoveryErrors { rate } => {
                self.discovery_error_rates.insert(incident, rate);
                Some(self.discovery_error_change())
            }
            Effect::EndDiscoveryErrors => {
                self.discovery_error_rates.remove(&incident);
                Some(self.discovery_error_change())
            }
        }
    }

    fn server_faults(&mut self, index: usize) -> &mut ServerFaults {
        self.servers.entry(index).or_default()
    }

    /// Drains a server, unless another incident is already retiring it. Even then, a permanent retirement
    /// prevents the start of a successor.
    fn begin_retirement(&mut self, incident: IncidentIndex, index: usize, permanent: bool) -> Option<Change> {
        let server = self.server_faults(index);
        let already_retired = server.removed || server.retiring.is_some();
        server.removed |= permanent;
        if already_retired {
            return None;
        }
        server.retiring = Some(incident);
        Some(Change::Drain { index })
    }

    fn start_successor(
        &mut self,
        incident: IncidentIndex,
        index: usize,
        same_address: bool,
    ) -> Option<Change> {
        let server = self.server_faults(index);
        if server.retiring != Some(incident) {
            return None;
        }
        server.retiring = None;
        // A crash that is still active affected the predecessor only.
        server.crashes.clear();
        (!server.removed).then_some(Change::Start { index, same_id: false, same_address })
    }

    /// Restarts a crashed server at the end of its last crash, unless the server was retired meanwhile.
    fn recover(&mut self, incident: IncidentIndex, index: usize) -> Option<Change> {
        let server = self.server_faults(index);
        let crashed = server.crashes.remove(&incident);
        let recovers = crashed && server.crashes.is_empty() && !server.removed && server.retiring.is_none();
        recovers.then_some(Change::Start { index, same_id: true, same_address: true })
    }

    fn condition_change(&self, index: usize) -> Change {
        let conditions = self.servers.get(&index).into_iter().flat_map(|server| server.conditions.values());
        let condition = conditions.fold(ServerCondition::default(), |all, one| all.combine(*one));
        Change::SetCondition { index, condition }
    }

    fn slow_origin_change(&self) -> Change {
        Change::SetOriginSlowdown { factor: self.origin_factors.values().product() }
    }

    fn discovery_error_change(&self) -> Change {
        let intact: f64 = self.discovery_error_rates.values().map(|rate| 1.0 - rate).product();
        Change::SetDiscoveryErrors { rate: 1.0 - intact }
    }
}
