//! The discovery service and the discovery clients of nodes.

use super::event_queue::SimulationEvent;
use super::simulation::Simulation;
use super::state::{ListedState, Node};
use crate::judge::Observation;
use balancer_core::discovery::{backoff, PollKind};
use balancer_core::{EndpointState, EndpointUpdate, Event, Timestamp};
use std::time::Duration;

/// The time after which a call fails while discovery is unavailable.
const FAILED_CALL_TIME: Duration = Duration::from_millis(10);
/// The purpose of the random values of backoff times.
const BACKOFF: u64 = 0x6261;
/// The purpose of the random values that decide which answers are truncated or malformed.
const ANSWERS: u64 = 0x6c69_7374;

impl Simulation<'_> {
    /// Schedules the detection of a server's new state by discovery.
    pub(super) fn detect_state_later(
        &mut self,
        server: usize,
        state: EndpointState,
        started_at: Option<Timestamp>,
    ) {
        let at = self.now + self.script.discovery.detection_delay;
        self.events.schedule(at, SimulationEvent::StateDetected { server, state, started_at });
    }

    pub(super) fn state_detected(
        &mut self,
        server: usize,
        state: EndpointState,
        started_at: Option<Timestamp>,
    ) {
        self.discovery.list_version += 1;
        let version = self.discovery.list_version;
        self.servers[server].listed = ListedState { state, started_at, version };
        if self.discovery.available {
            for node in 0..self.nodes.len() {
                if std::mem::take(&mut self.nodes[node].watching) {
                    self.answer_call(node, 1.0);
                }
            }
        }
    }

    pub(super) fn set_discovery_available(&mut self, available: bool) {
        self.discovery.available = available;
        if available {
            return;
        }
        for node in 0..self.nodes.len() {
            if self.nodes[node].up && std::mem::take(&mut self.nodes[node].watching) {
                self.fail_call(node, FAILED_CALL_TIME);
            }
        }
    }

    /// Handles a node's request for an endpoint update. After failed calls, the node first backs off with
    /// jitter, so that nodes that lost the same discovery service do not all call at the same time.
    pub(super) fn subscribe_to_endpoints(&mut self, node: usize) {
        let Node { incarnation, failed_calls, list_version, .. } = self.nodes[node];
        if failed_calls == 0 {
            return self.call_discovery(node);
        }
        let random = self.random.derive(BACKOFF).derive(node as u64);
        let random = random.derive(u64::from(incarnation)).derive(u64::from(failed_calls));
        let kind = if list_version.is_some() { PollKind::Watch } else { PollKind::Snapshot };
        let backoff = backoff(self.script.nodes, failed_calls, kind, random.uniform());
        self.events.schedule(self.now + backoff, SimulationEvent::ListCallDue { node, incarnation });
    }

    /// Sends a node's call to discovery: for a snapshot, or for the changes since its list version.
    pub(super) fn call_discovery(&mut self, node: usize) {
        let Node { list_version, calling, watching, .. } = self.nodes[node];
        if calling || watching {
            return;
        }
        self.nodes[node].calling = true;
        self.counts().list_calls += 1;
        if !self.discovery.available {
            return self.fail_call(node, FAILED_CALL_TIME);
        }
        let call_lines = self.script.discovery.call_lines;
        match list_version {
            Some(version) if version >= self.discovery.list_version => {
                // The call waits for a change. Until then it costs only the lines of the call itself.
                self.charge_lines(call_lines);
                let node = &mut self.nodes[node];
                (node.calling, node.watching) = (false, true);
            }
            Some(_) => self.answer_call(node, call_lines + 1.0),
            None => self.answer_call(node, call_lines + self.servers.len() as f64),
        }
    }

    /// Queues an answer of this many lines behind the lines that discovery already has to send.
    fn answer_call(&mut self, node: usize, lines: f64) {
        let incarnation = self.nodes[node].incarnation;
        self.nodes[node].calling = true;
        let at = self.discovery.free_at.max(self.now) + self.sending_time(lines);
        let timeout = self.script.discovery.call_timeout;
        if at.since(self.now) > timeout {
            // The call times out in the queue and costs no lines.
            return self.fail_call(node, timeout);
        }
        self.charge_lines(lines);
        self.discovery.answers += 1;
        let random = self.random.derive(ANSWERS).derive(self.discovery.answers);
        let ok = random.uniform() >= self.discovery.error_rate;
        self.events.schedule(at, SimulationEvent::ListCallEnds { node, incarnation, ok });
    }

    fn fail_call(&mut self, node: usize, after: Duration) {
        let incarnation = self.nodes[node].incarnation;
        let event = SimulationEvent::ListCallEnds { node, incarnation, ok: false };
        self.events.schedule(self.now + after, event);
    }

    fn sending_time(&self, lines: f64) -> Duration {
        Duration::from_secs_f64(lines / self.script.discovery.lines_per_second)
    }

    fn charge_lines(&mut self, lines: f64) {
        self.discovery.free_at = self.discovery.free_at.max(self.now) + self.sending_time(lines);
        self.counts().list_lines += lines as u64;
    }

    pub(super) fn list_call_ends(&mut self, node: usize, incarnation: u32, ok: bool) {
        if !self.is_up(node, incarnation) {
            return;
        }
        self.nodes[node].calling = false;
        if !ok || !self.discovery.available {
            self.nodes[node].failed_calls += 1;
            self.counts().list_calls_failed += 1;
            return self.decide(node, Event::EndpointsUpdated(EndpointUpdate::Unavailable));
        }
        let known_version = self.nodes[node].list_version.replace(self.discovery.list_version);
        let update = self.endpoint_update(known_version);
        self.notify_node(node, known_version);
        self.nodes[node].failed_calls = 0;
        self.decide(node, Event::EndpointsUpdated(update));
        // The next call watches for changes.
        self.call_discovery(node);
    }

    /// Returns the servers that changed after this version, or all servers if there is none.
    fn changed_since(&self, version: Option<u64>) -> Vec<usize> {
        let changed =
            |server: &usize| version.is_none_or(|known| self.servers[*server].listed.version > known);
        (0..self.servers.len()).filter(changed).collect()
    }

    /// Returns the update for a node that knows this version: a delta, or a snapshot if it knows none.
    fn endpoint_update(&self, known_version: Option<u64>) -> EndpointUpdate {
        let changed = self.changed_since(known_version).into_iter().map(|server| self.endpoint(server));
        match known_version {
            Some(_) => EndpointUpdate::Delta(changed.collect::<Vec<_>>().into()),
            None => {
                let present = changed.filter(|endpoint| endpoint.state != EndpointState::Removed);
                EndpointUpdate::Snapshot(present.collect::<Vec<_>>().into())
            }
        }
    }

    /// Updates a node's endpoints, closes its idle connections to unavailable servers and notifies the judge.
    fn notify_node(&mut self, node: usize, known_version: Option<u64>) {
        for server in self.changed_since(known_version) {
            let endpoint = self.endpoint(server);
            let unavailable = endpoint.state != EndpointState::Ready;
            let endpoints = &mut self.nodes[node].endpoints;
            let known = endpoints.contains_key(&server);
            if endpoint.state == EndpointState::Removed {
                endpoints.remove(&server);
            } else {
                endpoints.insert(server, endpoint);
            }
            if unavailable {
                self.close_idle_connections(node, server);
            }
            if known || !unavailable {
                let server = self.servers[server].judge_number;
                self.judge.record(Observation::EndpointNotified { node, server, at: self.now, unavailable });
            }
        }
    }
}
