//! The attempts of nodes, from connecting to the outcome.

use super::event_queue::SimulationEvent;
use super::nodes::{request_id, DEADLINE_TIMER_DELAY};
use super::simulation::Simulation;
use super::state::{Attempt, AttemptEnd, ClientRequest, IdleConnection, Process};
use crate::attempt_id::AttemptId;
use crate::fleet;
use crate::judge::{FinalAnswer, Observation};
use crate::models::OfferResult;
use crate::random::RandomSource;
use crate::{network_model, workload};
use balancer_core::{
    AttemptOutcome, AttemptStatus, CacheResult, EndpointState, Event, LoadReport, ServerId, Timestamp,
};
use std::time::Duration;

/// An idle connection that an attempt reuses.
struct ReusedConnection {
    connection: IdleConnection,
    /// Whether the cache server has closed the connection without the node's knowledge.
    closed_by_server: bool,
}

impl Simulation<'_> {
    /// Starts an attempt. Returns its outcome if it ends immediately.
    pub(super) fn start_attempt(
        &mut self,
        node: usize,
        request: usize,
        server: ServerId,
        timeout: Duration,
    ) -> Option<Event> {
        let server = self.server_by_id.get(&server).copied()?;
        if self.safeguards.suppresses_late_sends && self.requests[request].answered {
            return Some(self.suppress_attempt(request, server));
        }
        let attempt = self.requests[request].attempts.len();
        let process = self.servers[server].process;
        let reused = self.reuse_connection(node, server, request, attempt);
        let state = self.server_state(server);
        self.counts().add_attempt(state);
        self.counts().connects += u64::from(reused.is_none());
        let connection = reused.as_ref().map(|reused| &reused.connection);
        let started = Attempt {
            server,
            process: connection.map(|connection| connection.process),
            started_at: self.now,
            established_at: connection.map_or(self.now, |connection| connection.established_at),
            new_connection: reused.is_none(),
            closed_by_server: reused.as_ref().is_some_and(|reused| reused.closed_by_server),
            sent: false,
            ended: false,
            abandoned: false,
        };
        self.requests[request].attempts.push(started);
        let times_out_at = (self.now + timeout).min(self.requests[request].expires_at + DEADLINE_TIMER_DELAY);
        self.events.schedule(times_out_at, SimulationEvent::AttemptTimesOut { request, attempt });
        if reused.is_some() {
            self.send_attempt(request, attempt);
        } else {
            self.connect(node, request, attempt, process);
        }
        None
    }

    /// Ends an attempt before anything is sent, because its request is already answered.
    fn suppress_attempt(&mut self, request: usize, server: usize) -> Event {
        let attempt = self.requests[request].attempts.len();
        self.requests[request].attempts.push(Attempt {
            server,
            process: None,
            started_at: self.now,
            established_at: self.now,
            new_connection: false,
            closed_by_server: false,
            sent: false,
            ended: true,
            abandoned: true,
        });
        self.outcome(request, attempt, AttemptEnd::without_answer(AttemptStatus::NotSent))
    }

    /// Opens a new connection for an attempt. `process` is the current process of its server.
    fn connect(&mut self, node: usize, request: usize, attempt: usize, process: Option<usize>) {
        let server = self.requests[request].attempts[attempt].server;
        let index = self.servers[server].index;
        let random = self.request_random(request).derive(8).derive(attempt as u64);
        let (from, to) = (self.nodes[node].zone, fleet::server_zone(self.script, index));
        let network = &self.script.network;
        let round_trip = network_model::latency(network, from, to, random) * 2;
        let condition = self.conditions[index];
        let handshake = network_model::handshake_time(network, &condition, round_trip, random);
        let alive = process.filter(|&process| self.processes[process].alive);
        let refused = alive.is_none_or(|process| self.is_full(server, process));
        if !condition.reachable || handshake > network.connect_timeout {
            self.counts().connects_failed += 1;
            self.fail_to_connect(self.now + network.connect_timeout, request, attempt);
        } else if refused {
            self.counts().connects_failed += 1;
            self.fail_to_connect(self.now + round_trip, request, attempt);
        } else {
            let established_at = self.now + handshake;
            self.requests[request].attempts[attempt].process = alive;
            alive.into_iter().for_each(|process| self.processes[process].connections += 1);
            self.requests[request].attempts[attempt].established_at = established_at;
            self.events.schedule(established_at, SimulationEvent::SendAttempt { request, attempt });
        }
    }

    fn fail_to_connect(&mut self, at: Timestamp, request: usize, attempt: usize) {
        let end = AttemptEnd::without_answer(AttemptStatus::ConnectError);
        self.events.schedule(at, SimulationEvent::AttemptEnds { request, attempt, end });
    }

    /// Returns the one-way latency between a node and a server in the server's current condition.
    fn latency(&self, node: usize, server: usize, random: RandomSource) -> Duration {
        let index = self.servers[server].index;
        let (from, to) = (self.nodes[node].zone, fleet::server_zone(self.script, index));
        network_model::latency(&self.script.network, from, to, random)
            + network_model::fault_delay(&self.conditions[index], random)
    }

    /// Returns whether messages are delivered on an attempt's connection.
    fn connection_delivers(&self, request: usize, attempt: usize) -> bool {
        let Attempt { server, established_at, .. } = self.requests[request].attempts[attempt];
        let index = self.servers[server].index;
        self.conditions[index].reachable
            && self.connection_state_lost_at[index].is_none_or(|state_lost_at| established_at > state_lost_at)
    }

    /// Returns whether a process has reached its maximum number of connections. Connections that were closed
    /// after their idle timeout are removed only here, because they have no effect before the limit is
    /// reached.
    fn is_full(&mut self, server: usize, process: usize) -> bool {
        let Process { model, connections, .. } = &self.processes[process];
        let (max, open) = (model.max_connections(), *connections);
        if open < max {
            return false;
        }
        let network = &self.script.network;
        let kind = fleet::server_kind(self.script, self.servers[server].index);
        let idle_timeout = kind.idle_timeout.unwrap_or(network.idle_timeout);
        let slowest = network.same_zone_latency.max(network.cross_zone_latency).mul_f64(1.0 + network.jitter);
        // After this time, every node has noticed that the server closed the connection, or has closed it
        // itself.
        let limit = (idle_timeout + slowest).min(network.idle_timeout / 2);
        let (now, mut closed) = (self.now, 0);
        for idle in self.nodes.iter_mut().filter_map(|node| node.idle_connections.get_mut(&server)) {
            let before = idle.len();
            idle.retain(|connection| {
                connection.process != process || now.since(connection.idle_since) < limit
            });
            closed += (before - idle.len()) as u32;
        }
        self.processes[process].connections -= closed;
        open - closed >= max
    }

    /// Returns the idle connection that an attempt reuses, if there is one. Removes connections that the node
    /// knows to be closed or closes itself.
    fn reuse_connection(
        &mut self,
        node: usize,
        server: usize,
        request: usize,
        attempt: usize,
    ) -> Option<ReusedConnection> {
        let index = self.servers[server].index;
        let node_limit = self.script.network.idle_timeout / 2;
        let kind = fleet::server_kind(self.script, index);
        let server_limit = kind.idle_timeout.unwrap_or(self.script.network.idle_timeout);
        let random = self.request_random(request).derive(9).derive(attempt as u64);
        let latency = self.latency(node, server, random);
        while let Some(connection) = self.nodes[node].idle_connections.get_mut(&server).and_then(Vec::pop) {
            let idle = self.now.since(connection.idle_since);
            let close_noticed = idle >= server_limit + latency && self.conditions[index].reachable;
            let same_process = Some(connection.process) == self.servers[server].process;
            if same_process && idle < node_limit && !close_noticed {
                let closed_by_server = idle + latency >= server_limit;
                return Some(ReusedConnection { connection, closed_by_server });
            }
            self.processes[connection.process].connections -= 1;
        }
        None
    }

    /// Sends the first byte of an attempt, unless the node's endpoint list has meanwhile marked the server as
    /// not ready.
    pub(super) fn send_attempt(&mut self, request: usize, attempt: usize) {
        let ClientRequest { node, ref attempts, .. } = self.requests[request];
        let Attempt { server, process, ended, abandoned, .. } = attempts[attempt];
        if ended || abandoned || !self.node_is_up(request) {
            return;
        }
        let alive = process.is_some_and(|process| self.processes[process].alive);
        let suppressed = self.safeguards.suppresses_late_sends && !self.is_ready(node, server);
        if !alive || suppressed {
            self.abandon_attempt(request, attempt);
            let end = AttemptEnd::without_answer(AttemptStatus::ConnectError);
            return self.end_attempt(request, attempt, end);
        }
        self.requests[request].attempts[attempt].sent = true;
        let judge_number = self.servers[server].judge_number;
        self.judge.record(Observation::AttemptSent {
            request: request as u64,
            server: judge_number,
            at: self.now,
        });
        let random = self.request_random(request).derive(9).derive(attempt as u64);
        let latency = self.latency(node, server, random);
        self.events.schedule(self.now + latency, SimulationEvent::AttemptArrives { request, attempt });
    }

    /// Returns whether a server is ready according to a node's endpoint list.
    fn is_ready(&self, node: usize, server: usize) -> bool {
        let known = self.nodes[node].endpoints.get(&server);
        known.map(|endpoint| endpoint.state) == Some(EndpointState::Ready)
    }

    pub(super) fn attempt_arrives(&mut self, request: usize, attempt: usize) {
        let Attempt { server, process, new_connection, closed_by_server, .. } =
            self.requests[request].attempts[attempt];
        let Some(process) = process else { return };
        if !self.connection_delivers(request, attempt) {
            return;
        }
        if closed_by_server || !self.processes[process].alive {
            return self.reset_attempt(request, attempt);
        }
        let operation = &self.operations[self.requests[request].operation].operation;
        let random = self.request_random(request).derive(10).derive(attempt as u64);
        let id = AttemptId::new(request as u64, attempt as u64).job();
        let mut job = workload::job(self.script, operation, random, id, new_connection);
        let rank = operation.key_rank;
        job.initial_rank = self.initial_rank(server, process, job.key, rank);
        match self.processes[process].model.offer(self.now, job) {
            OfferResult::Accepted => self.advance_server(process),
            OfferResult::Declined => self.send_response(request, attempt, AttemptStatus::QueueFull, false),
            OfferResult::Overloaded => {
                let judge_number = self.servers[server].judge_number;
                self.judge.record(Observation::ServerOverloaded { server: judge_number, at: self.now });
                self.reset_attempt(request, attempt);
                self.stop_process(process);
            }
        }
    }

    /// Resets the connection of an attempt at the cache server.
    pub(super) fn reset_attempt(&mut self, request: usize, attempt: usize) {
        self.send_response(request, attempt, AttemptStatus::Reset, false);
    }

    /// Sends a cache server's response to an attempt.
    pub(super) fn send_response(&mut self, request: usize, attempt: usize, status: AttemptStatus, hit: bool) {
        if !self.connection_delivers(request, attempt) {
            return;
        }
        let Attempt { server, process, .. } = self.requests[request].attempts[attempt];
        let random = self.request_random(request).derive(11).derive(attempt as u64);
        let latency = self.latency(self.requests[request].node, server, random);
        let condition = &self.conditions[self.servers[server].index];
        let is_reset = network_model::answer_is_reset(condition, random);
        let status = if is_reset { AttemptStatus::Reset } else { status };
        let answered = !matches!(status, AttemptStatus::Reset | AttemptStatus::ConnectError);
        let load = process.filter(|_| answered).map(|process| self.load_report(process));
        let end = AttemptEnd { status, hit, load: load.unwrap_or_default() };
        self.events.schedule(self.now + latency, SimulationEvent::AttemptEnds { request, attempt, end });
    }

    fn load_report(&mut self, process: usize) -> LoadReport {
        let load = self.processes[process].model.load_report(self.now);
        LoadReport {
            service_time: Some(load.service_time),
            cpu_utilization: None,
            queue_length: Some(load.queued as f64),
        }
    }

    pub(super) fn attempt_ends(&mut self, request: usize, attempt: usize, end: AttemptEnd) {
        let Attempt { ended, abandoned, .. } = self.requests[request].attempts[attempt];
        if ended || abandoned || !self.node_is_up(request) {
            return;
        }
        let complete =
            matches!(end.status, AttemptStatus::Ok | AttemptStatus::Failed | AttemptStatus::QueueFull);
        if !complete || !self.keep_connection(request, attempt) {
            self.abandon_attempt(request, attempt);
        }
        self.end_attempt(request, attempt, end);
    }

    /// Keeps the connection of an attempt for another request, if its server is ready and its process is
    /// alive. Returns whether the connection was kept.
    fn keep_connection(&mut self, request: usize, attempt: usize) -> bool {
        let node = self.requests[request].node;
        let Attempt { server, process, established_at, .. } = self.requests[request].attempts[attempt];
        let alive = process.filter(|&process| self.processes[process].alive);
        let Some(process) = alive.filter(|_| self.is_ready(node, server)) else { return false };
        let connection = IdleConnection { process, established_at, idle_since: self.now };
        self.nodes[node].idle_connections.entry(server).or_default().push(connection);
        true
    }

    pub(super) fn attempt_times_out(&mut self, request: usize, attempt: usize) {
        let Attempt { sent, ended, .. } = self.requests[request].attempts[attempt];
        if !ended {
            self.abandon_attempt(request, attempt);
            let status = if sent { AttemptStatus::TimedOut } else { AttemptStatus::ConnectError };
            self.end_attempt(request, attempt, AttemptEnd::without_answer(status));
        }
    }

    /// Closes the connection of an attempt at the node.
    pub(super) fn abandon_attempt(&mut self, request: usize, attempt: usize) {
        let attempt = &mut self.requests[request].attempts[attempt];
        if !std::mem::replace(&mut attempt.abandoned, true) {
            if let Some(process) = attempt.process {
                self.processes[process].connections -= 1;
            }
        }
    }

    fn end_attempt(&mut self, request: usize, attempt: usize, end: AttemptEnd) {
        if self.node_is_up(request) {
            let node = self.requests[request].node;
            let outcome = self.outcome(request, attempt, end);
            self.decide(node, outcome);
        }
    }

    /// Ends an attempt and returns its outcome as an event for the node's decision logic. Sends a successful
    /// answer to the client.
    pub(super) fn outcome(&mut self, request: usize, attempt: usize, end: AttemptEnd) -> Event {
        let AttemptEnd { status, hit, load } = end;
        let Attempt { server, started_at, .. } = self.requests[request].attempts[attempt];
        self.requests[request].attempts[attempt].ended = true;
        if status == AttemptStatus::Ok && !self.requests[request].answered {
            self.answer(request, FinalAnswer::Served, Duration::ZERO);
        }
        self.remove_if_finished(request);
        let cache_result = if hit { CacheResult::Hit } else { CacheResult::Miss };
        let includes_cache_result =
            self.script.load_reports.include_cache_result && status == AttemptStatus::Ok;
        Event::AttemptEnded(AttemptOutcome {
            id: request_id(request),
            attempt: attempt as u32,
            server: self.servers[server].id.clone(),
            status,
            cache_result: includes_cache_result.then_some(cache_result),
            elapsed: self.now.since(started_at),
            request_finished: self.requests[request].answered,
            load,
        })
    }
}
