//! Nodes: the parts of the daemon around the decision logic, as far as they are visible from outside.

use super::clients::no_answer;
use super::event_queue::SimulationEvent;
use super::simulation::Simulation;
use super::state::{AttemptEnd, ClientRequest};
use crate::fleet;
use crate::judge::{FinalAnswer, Observation};
use crate::node_process::{KILLED_AFTER_LONGEST_DEADLINE, SHUTDOWN_ANNOUNCED_AFTER};
use balancer_core::{Action, AttemptStatus, ClassId, Event, Request, RequestId};
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

/// The daemon subtracts this margin from the client's timeout.
const DEADLINE_MARGIN: Duration = Duration::from_millis(5);
/// The delay from the deadline of a request to the expiry of the node's own timer. The decision logic can
/// answer until then.
pub(super) const DEADLINE_TIMER_DELAY: Duration = Duration::from_millis(4);
/// After a shutdown signal, a node accepts requests for this long, because the front may still send them.
const ACCEPTS_DURING_SHUTDOWN: Duration = Duration::from_millis(500);
/// The interval at which a node that is shutting down checks whether requests are left.
const SHUTDOWN_POLL_INTERVAL: Duration = Duration::from_millis(50);

impl Simulation<'_> {
    /// Returns whether this incarnation of a node is running.
    pub(super) fn is_up(&self, node: usize, incarnation: u32) -> bool {
        self.nodes[node].up && self.nodes[node].incarnation == incarnation
    }

    /// Returns whether the node process that accepted a request is still running.
    pub(super) fn node_is_up(&self, request: usize) -> bool {
        let ClientRequest { node, incarnation, .. } = self.requests[request];
        self.is_up(node, incarnation)
    }

    pub(super) fn request_arrives(&mut self, request: usize) {
        let ClientRequest { operation, node, expires_at, .. } = self.requests[request];
        if !self.nodes[node].up {
            let latency = self.client_latency(self.request_random(request).derive(6));
            return self.events.schedule(self.now + latency, no_answer(request));
        }
        self.requests[request].incarnation = self.nodes[node].incarnation;
        self.nodes[node].in_flight.insert(request);
        self.judge.record(Observation::RequestAccepted {
            request: request as u64,
            operation: self.operations[operation].operation.number,
            node,
            at: self.now,
            expires_at,
        });
        let event = Event::Request(self.node_request(request));
        self.decide(node, event);
        // The client disconnected while its request was in transit.
        if self.requests[request].over {
            self.judge.record(Observation::ClientDisconnected { request: request as u64 });
            self.disconnect_arrives(request);
        }
    }

    /// Builds a request as the node's decision logic receives it. Starts the node's own timer for the
    /// deadline.
    fn node_request(&mut self, request: usize) -> Request {
        let ClientRequest { operation, node, expires_at, .. } = self.requests[request];
        // The client sends its timeout, and the node measures it from the arrival of the request.
        let latency = self.client_latency(self.request_random(request).derive(2));
        let timeout = expires_at.since(self.now) + latency;
        let deadline = self.now + timeout.saturating_sub(DEADLINE_MARGIN);
        if self.safeguards.fails_overdue_requests {
            let event = SimulationEvent::DeadlineTimer { request };
            self.events.schedule(deadline + DEADLINE_TIMER_DELAY, event);
        }
        let operation = &self.operations[operation].operation;
        Request {
            id: request_id(request),
            class: Some(ClassId(self.class_id(node, operation.class))),
            tenant: None,
            key: Some(operation.key()),
            deadline,
            expected_work: None,
            write: self.script.classes[operation.class].write,
            client_retry: false,
        }
    }

    pub(super) fn disconnect_arrives(&mut self, request: usize) {
        let ClientRequest { node, answered, .. } = self.requests[request];
        let pending = !answered && self.node_is_up(request) && self.nodes[node].in_flight.contains(&request);
        if pending {
            self.requests[request].answered = true;
            self.decide(node, Event::RequestCancelled(request_id(request)));
            self.remove_if_finished(request);
        }
    }

    pub(super) fn deadline_timer(&mut self, request: usize) {
        let ClientRequest { node, answered, .. } = self.requests[request];
        if !answered && self.node_is_up(request) {
            self.answer(request, FinalAnswer::Failed, Duration::ZERO);
            self.decide(node, Event::RequestCancelled(request_id(request)));
        }
    }

    pub(super) fn node_timer(&mut self, node: usize, incarnation: u32) {
        if self.is_up(node, incarnation) {
            self.decide(node, Event::TimerExpired);
        }
    }

    /// Sends a final answer. A second answer for the same request is also sent, so that the judge detects it.
    pub(super) fn answer(&mut self, request: usize, answer: FinalAnswer, retry_after: Duration) {
        self.requests[request].answered = true;
        self.judge.record(Observation::Answered { request: request as u64, at: self.now, answer });
        let latency = self.client_latency(self.request_random(request).derive(7));
        let event = SimulationEvent::AnswerArrives { request, answer: Some(answer), retry_after };
        self.events.schedule(self.now + latency, event);
        self.remove_if_finished(request);
    }

    /// Removes a request from its node once it is answered and no attempt is in flight.
    pub(super) fn remove_if_finished(&mut self, request: usize) {
        let ClientRequest { node, answered, attempts, .. } = &self.requests[request];
        if *answered && attempts.iter().all(|attempt| attempt.ended) {
            self.nodes[*node].in_flight.remove(&request);
        }
    }

    /// Passes an event to a node's decision logic and executes the resulting actions. Events that follow
    /// immediately are handled too.
    pub(super) fn decide(&mut self, node: usize, event: Event) {
        let mut events = VecDeque::from([event]);
        let mut actions = Vec::new();
        while let Some(event) = events.pop_front() {
            self.nodes[node].decision_logic.handle(self.now, event, &mut actions);
            for action in actions.drain(..) {
                events.extend(self.execute(node, action));
            }
        }
    }

    /// Executes an action. Returns the event that follows immediately, if there is one.
    fn execute(&mut self, node: usize, action: Action) -> Option<Event> {
        match action {
            Action::StartAttempt { id, server, timeout, .. } => {
                return self.start_attempt(node, request_number(&id)?, server, timeout);
            }
            Action::CancelAttempt { id, attempt } => {
                return self.cancel_attempt(request_number(&id)?, attempt as usize);
            }
            Action::Reject { id, retry_after } => {
                self.answer(request_number(&id)?, FinalAnswer::Rejected, retry_after);
            }
            Action::Fail { id } => self.answer(request_number(&id)?, FinalAnswer::Failed, Duration::ZERO),
            Action::SetTimer { after } => {
                let incarnation = self.nodes[node].incarnation;
                self.events.schedule(self.now + after, SimulationEvent::NodeTimer { node, incarnation });
            }
            Action::CloseIdleConnections { server } => {
                let server = *self.server_by_id.get(&server)?;
                self.close_idle_connections(node, server);
            }
            Action::SubscribeToEndpoints => self.subscribe_to_endpoints(node),
            Action::Log(_) => self.statistics.log_lines += 1,
            Action::CheckHealth { .. } => {}
        }
        None
    }

    fn cancel_attempt(&mut self, request: usize, attempt: usize) -> Option<Event> {
        let in_flight = self.requests[request].attempts.get(attempt).is_some_and(|attempt| !attempt.ended);
        if !in_flight {
            return None;
        }
        self.abandon_attempt(request, attempt);
        Some(self.outcome(request, attempt, AttemptEnd::without_answer(AttemptStatus::Canceled)))
    }

    pub(super) fn close_idle_connections(&mut self, node: usize, server: usize) {
        for connection in self.nodes[node].idle_connections.remove(&server).unwrap_or_default() {
            self.processes[connection.process].connections -= 1;
        }
    }

    pub(super) fn set_in_rotation(&mut self, node: usize, in_rotation: bool) {
        let zone = self.nodes[node].zone;
        if std::mem::replace(&mut self.nodes[node].in_rotation, in_rotation) != in_rotation {
            let nodes = &mut self.nodes_in_rotation[zone];
            nodes.retain(|&other| other != node);
            if in_rotation {
                nodes.push(node);
                nodes.sort_unstable();
            }
        }
    }

    pub(super) fn start_node(&mut self, node: usize) {
        let settings = fleet::node_settings(self.script, self.nodes[node].zone);
        let incarnation = self.nodes[node].incarnation + 1;
        let seed = self.random.derive(node as u64).derive(u64::from(incarnation)).bits();
        let decision_logic = (self.make_decision_logic)(settings, seed);
        let keeps_list_version = !self.script.uses_operator_file();
        let state = &mut self.nodes[node];
        state.decision_logic = decision_logic;
        state.incarnation = incarnation;
        state.up = true;
        state.shutting_down = false;
        state.reloads = 0;
        // A node that runs from an operator's file starts without a list version, so it cannot request only
        // the changes.
        state.list_version = state.list_version.filter(|_| keeps_list_version);
        (state.calling, state.watching, state.failed_calls) = (false, false, 0);
        let list: Vec<_> = state.endpoints.values().cloned().collect();
        self.judge.record(Observation::NodeStarted { node });
        self.decide(node, Event::EndpointsRestored(list.into()));
        self.set_in_rotation(node, true);
    }

    /// Restores the learned state as the successor process does. The decision logic keeps its attempts in
    /// flight.
    pub(super) fn upgrade_node(&mut self, node: usize) {
        if !self.nodes[node].up || self.nodes[node].shutting_down {
            return;
        }
        if let Some(state) = self.nodes[node].decision_logic.learned_state(self.now) {
            self.decide(node, Event::StateRestored(Arc::new(state)));
        }
    }

    pub(super) fn reload_node(&mut self, node: usize) {
        if !self.nodes[node].up {
            return;
        }
        self.nodes[node].reloads += 1;
        let mut settings = fleet::node_settings(self.script, self.nodes[node].zone);
        if self.has_reversed_classes(node) {
            settings.classes.reverse();
        }
        self.decide(node, Event::Reconfigured(Box::new(settings)));
    }

    fn has_reversed_classes(&self, node: usize) -> bool {
        self.nodes[node].reloads % 2 == 1
    }

    /// Returns the index in the node's configuration of a class of the script.
    fn class_id(&self, node: usize, class: usize) -> usize {
        if self.has_reversed_classes(node) {
            self.script.classes.len() - 1 - class
        } else {
            class
        }
    }

    pub(super) fn restart_node(&mut self, node: usize, killed: bool, downtime: Duration) {
        if !self.nodes[node].up || self.nodes[node].shutting_down {
            return;
        }
        let incarnation = self.nodes[node].incarnation;
        let leaves_rotation = SimulationEvent::FrontNotified { node, incarnation, in_rotation: false };
        if killed {
            self.kill_node(node);
            self.events.schedule(self.now + self.script.front_detection_delay, leaves_rotation);
            self.events.schedule(self.now + downtime, SimulationEvent::NodeStarts { node });
            return;
        }
        self.nodes[node].shutting_down = true;
        let stops = |forced| SimulationEvent::NodeStops { node, incarnation, forced, downtime };
        let killed_at = self.now + self.longest_deadline + KILLED_AFTER_LONGEST_DEADLINE;
        self.events.schedule(self.now + SHUTDOWN_ANNOUNCED_AFTER, leaves_rotation);
        self.events.schedule(self.now + ACCEPTS_DURING_SHUTDOWN, stops(false));
        self.events.schedule(killed_at, stops(true));
    }

    /// Ends a node that is shutting down, if it has no requests left or `forced` is set. Otherwise, checks
    /// again later.
    pub(super) fn node_stops(&mut self, node: usize, incarnation: u32, forced: bool, downtime: Duration) {
        if !self.is_up(node, incarnation) {
            return;
        }
        if self.nodes[node].in_flight.is_empty() || forced {
            self.kill_node(node);
            self.events.schedule(self.now + downtime, SimulationEvent::NodeStarts { node });
        } else {
            let again = SimulationEvent::NodeStops { node, incarnation, forced: false, downtime };
            self.events.schedule(self.now + SHUTDOWN_POLL_INTERVAL, again);
        }
    }

    fn kill_node(&mut self, node: usize) {
        self.judge.record(Observation::NodeKilled { node, at: self.now });
        self.nodes[node].up = false;
        let servers: Vec<_> = self.nodes[node].idle_connections.keys().copied().collect();
        servers.into_iter().for_each(|server| self.close_idle_connections(node, server));
        for request in std::mem::take(&mut self.nodes[node].in_flight) {
            self.drop_attempts(request);
            if !self.requests[request].answered {
                let latency = self.client_latency(self.request_random(request).derive(7));
                self.events.schedule(self.now + latency, no_answer(request));
            }
        }
    }

    fn drop_attempts(&mut self, request: usize) {
        for attempt in 0..self.requests[request].attempts.len() {
            if !std::mem::replace(&mut self.requests[request].attempts[attempt].ended, true) {
                self.abandon_attempt(request, attempt);
            }
        }
    }
}

/// Returns the id of a request at its node.
pub(super) fn request_id(request: usize) -> RequestId {
    RequestId::from(request.to_string().as_str())
}

fn request_number(id: &RequestId) -> Option<usize> {
    id.as_str().parse().ok()
}
