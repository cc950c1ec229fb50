//! Applies the changes of the fault schedule to a simulation.

use super::simulation::Simulation;
use super::state::ListedState;
use crate::counts::ServerState;
use crate::fault_schedule::{Change, ServerCondition};
use balancer_core::EndpointState;
use std::time::Duration;

impl Simulation<'_> {
    pub(super) fn apply_change(&mut self, change: usize) {
        match self.changes[change].clone() {
            Change::Drain { index } => self.drain_server(index),
            Change::Stop { index } => {
                if let Some(process) = self.process_at(index) {
                    self.stop_process(process);
                }
            }
            Change::Start { index, same_id, .. } => self.restart_server(index, same_id),
            Change::Pause { index, duration } => self.pause_server(index, duration),
            Change::SetCondition { index, condition } => self.set_condition(index, condition),
            Change::LoseConnectionState { index } => self.connection_state_lost_at[index] = Some(self.now),
            Change::UpgradeNode { node } => self.upgrade_node(node),
            Change::ReloadNode { node } => self.reload_node(node),
            Change::RestartNode { node, killed, downtime } => self.restart_node(node, killed, downtime),
            Change::SetOriginSlowdown { factor } => self.origin.set_slowdown(factor),
            Change::SetDiscoveryAvailable { available } => self.set_discovery_available(available),
            Change::SetDiscoveryErrors { rate } => self.discovery.error_rate = rate,
        }
    }

    /// Returns the current process at this index in the fleet.
    fn process_at(&self, index: usize) -> Option<usize> {
        self.servers[self.server_at[index]].process
    }

    fn drain_server(&mut self, index: usize) {
        let Some(process) = self.process_at(index) else { return };
        self.processes[process].model.drain();
        let server = self.server_at[index];
        let started_at = self.servers[server].listed.started_at;
        self.detect_state_later(server, EndpointState::Draining, started_at);
    }

    fn restart_server(&mut self, index: usize, same_id: bool) {
        if self.process_at(index).is_some() {
            return;
        }
        if same_id {
            self.start_process(self.server_at[index], false);
        } else {
            let listed = ListedState { state: EndpointState::Removed, started_at: None, version: 0 };
            self.start_server(index, listed, false);
        }
        self.detect_state_later(self.server_at[index], EndpointState::Ready, Some(self.now));
    }

    fn pause_server(&mut self, index: usize, duration: Duration) {
        let Some(process) = self.process_at(index) else { return };
        // Job ends that are due by now happen before the pause.
        self.advance_server(process);
        self.processes[process].model.pause(self.now, duration);
        self.processes[process].wakeup = None;
        self.schedule_server_wakeup(process);
    }

    fn set_condition(&mut self, index: usize, condition: ServerCondition) {
        self.conditions[index] = condition;
        if let Some(process) = self.process_at(index) {
            self.processes[process].model.set_extra_error_rate(condition.error_rate);
        }
    }

    /// Returns the state in which an attempt finds this server.
    pub(super) fn server_state(&self, server: usize) -> ServerState {
        let server = &self.servers[server];
        let condition = &self.conditions[server.index];
        if !condition.reachable {
            return ServerState::Unreachable;
        }
        let process = server.process.map(|process| &self.processes[process]);
        let Some(process) = process.filter(|process| process.alive) else { return ServerState::Removed };
        if process.model.is_draining() {
            ServerState::Draining
        } else if condition.error_rate > 0.0 || condition.reset_rate > 0.0 {
            ServerState::Faulty
        } else if process.model.is_warming_up(self.now) {
            ServerState::WarmingUp
        } else {
            ServerState::Healthy
        }
    }
}
