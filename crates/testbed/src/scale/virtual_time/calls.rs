//! Simulates the calls of nodes to replicas, from the decision to call until the answer is applied.

use super::client::{list_entry, AfterCall, CallOutcome, ListResponse, NextCall};
use super::event_queue::{CallId, SimulationEvent};
use super::measure::SentLines;
use super::nodes::{Call, CallResult, Connection};
use super::replica::Answer;
use super::simulation::{Simulation, LATENCY};
use crate::discovery_call::WATCH_CONTINUED_WITHIN;
use crate::scale::messages::Answering;
use std::time::Duration;

/// One-way latencies until a call on a new connection arrives: two for the handshake, one for the call.
const NEW_CONNECTION_LATENCIES: u32 = 3;

impl Simulation<'_> {
    /// Makes the next call of a node.
    pub(super) fn begin_call(&mut self, node: u32, incarnation: u32) {
        let now = self.now;
        let state = &mut self.nodes[node as usize];
        if !state.up || state.incarnation != incarnation {
            return;
        }
        let next_call = state.decide(|decision_logic, random| decision_logic.next_call(now, random));
        let Some(parameters) = next_call else { return };
        state.calls += 1;
        let id = CallId { node, number: state.calls };
        state.call = Some(Call {
            number: id.number,
            parameters,
            began_at: now,
            lost: false,
            answer: None,
            result: None,
        });
        // A connection to a different replica is closed.
        state.connection = state.connection.filter(|connection| connection.replica == parameters.replica);
        let connected = state.connection.is_some();
        self.events.schedule(now + parameters.timeout, SimulationEvent::CallTimesOut(id));
        self.send_call(id, parameters, connected);
    }

    /// Sends a call, on the existing connection or on a new one.
    fn send_call(&mut self, id: CallId, parameters: NextCall, connected: bool) {
        let replica = parameters.replica;
        let can_communicate = self.can_communicate(id.node, replica);
        let away = self.replicas[replica as usize].answering == Answering::Away;
        match (connected, can_communicate) {
            (true, true) => self.events.schedule(self.now + LATENCY, SimulationEvent::CallArrives(id)),
            // The node believes that the connection is open, but messages are lost.
            (true, false) => {}
            (false, false) => self.end_call(id.node, CallResult::Unreachable, parameters.connect_timeout),
            (false, true) if away => self.end_call(id.node, CallResult::Unreachable, LATENCY * 2),
            (false, true) => {
                let connection = Connection { replica, watch_answered_at: None };
                self.nodes[id.node as usize].connection = Some(connection);
                let at = self.now + LATENCY * NEW_CONNECTION_LATENCIES;
                self.events.schedule(at, SimulationEvent::CallArrives(id));
            }
        }
    }

    /// Returns the replica of a call that is still in flight and not lost.
    fn replica_of(&self, id: CallId) -> Option<u32> {
        let call = self.nodes[id.node as usize].call.as_ref()?;
        let in_flight = call.number == id.number && !call.lost && call.result.is_none();
        in_flight.then_some(call.parameters.replica)
    }

    pub(super) fn call_arrives(&mut self, id: CallId) {
        let Some(replica) = self.replica_of(id) else { return };
        match self.replicas[replica as usize].answering {
            Answering::Away => self.end_call(id.node, CallResult::Failed, LATENCY),
            Answering::Silent => self.replicas[replica as usize].held_calls.push(id),
            Answering::Up => self.serve(id),
        }
    }

    /// Processes a call at its replica: queues the answer if the list has changed. Otherwise charges the
    /// call, which then waits for a change.
    pub(super) fn serve(&mut self, id: CallId) {
        let Some(replica) = self.replica_of(id) else { return };
        self.counts[replica as usize].calls += 1;
        let (now, capacity) = (self.now, self.scene.script.capacity);
        let state = &mut self.nodes[id.node as usize];
        let answered_at =
            state.connection.as_mut().and_then(|connection| connection.watch_answered_at.take());
        let after = state.call.as_ref().and_then(|call| call.parameters.after);
        let continues_watch = after.is_some()
            && answered_at.is_some_and(|answered_at| now - answered_at <= WATCH_CONTINUED_WITHIN);
        let cost = if continues_watch { capacity.continued_call_lines } else { capacity.call_lines };
        let has_newer = after.is_none_or(|after| self.replicas[replica as usize].has_newer(after));
        if has_newer {
            self.queue_answer(id, replica, after, cost);
        } else {
            self.charge(id, replica, cost, SimulationEvent::CallHandled(id));
        }
    }

    /// Charges lines to a replica and schedules the event for when they have been processed. Rejects the call
    /// if the queue is full.
    fn charge(&mut self, id: CallId, replica: u32, lines: f64, event: SimulationEvent) {
        match self.replicas[replica as usize].queue.charge(self.now, lines) {
            Ok(at) => {
                if self.traced {
                    self.sent.push(SentLines { replica, at, lines });
                }
                self.events.schedule(at, event);
            }
            Err(_) => {
                self.counts[replica as usize].rejected += 1;
                self.end_call(id.node, CallResult::Rejected, LATENCY);
            }
        }
    }

    /// Lets a call wait for changes, or answers it if there are some by now.
    pub(super) fn call_handled(&mut self, id: CallId) {
        let Some(replica) = self.replica_of(id) else { return };
        let call = self.nodes[id.node as usize].call.as_ref();
        let Some(parameters) = call.map(|call| call.parameters) else { return };
        let after = parameters.after.unwrap_or_default();
        let state = &mut self.replicas[replica as usize];
        if state.has_newer(after) && state.answering == Answering::Up {
            return self.send_answer(id);
        }
        state.watch(id, after);
        self.events.schedule(self.now + parameters.wait, SimulationEvent::WatchTimesOut(id));
    }

    pub(super) fn watch_times_out(&mut self, id: CallId) {
        let Some(replica) = self.replica_of(id) else { return };
        if self.replicas[replica as usize].unwatch(id) {
            self.send_answer(id);
        }
    }

    /// Queues the answer to a call with all changes so far.
    pub(super) fn send_answer(&mut self, id: CallId) {
        let Some(replica) = self.replica_of(id) else { return };
        let after = self.nodes[id.node as usize].call.as_ref().and_then(|call| call.parameters.after);
        self.queue_answer(id, replica, after, 0.0);
    }

    fn queue_answer(&mut self, id: CallId, replica: u32, after: Option<u64>, call_lines: f64) {
        let answer = self.replicas[replica as usize].answer(&self.versions, after);
        let lines = answer.entries.len() as f64 + call_lines;
        if let Some(call) = self.nodes[id.node as usize].call.as_mut() {
            call.answer = Some(answer);
        }
        self.charge(id, replica, lines, SimulationEvent::AnswerSent(id));
    }

    /// Delivers an answer, or holds it back while the replica is silent.
    pub(super) fn answer_sent(&mut self, id: CallId) {
        let Some(replica) = self.replica_of(id) else { return };
        if self.replicas[replica as usize].answering == Answering::Silent {
            return self.replicas[replica as usize].held_answers.push(id);
        }
        let state = &mut self.nodes[id.node as usize];
        let Some(call) = state.call.as_mut() else { return };
        let Some(answer) = call.answer.take() else { return };
        if let Some(connection) = state.connection.as_mut() {
            connection.watch_answered_at = call.parameters.after.map(|_| self.now);
        }
        let counts = &mut self.counts[replica as usize];
        counts.answers += 1;
        counts.snapshots += u64::from(answer.is_snapshot);
        let bytes = answer.entries.iter().map(|(server, _)| self.versions.entry_bytes(*server));
        counts.entry_bytes += bytes.sum::<usize>() as u64;
        self.end_call(id.node, CallResult::Answer(answer), LATENCY);
    }

    /// Schedules the arrival of a call's result at the node after a delay.
    pub(super) fn end_call(&mut self, node: u32, result: CallResult, after: Duration) {
        let call = self.nodes[node as usize].call.as_mut();
        if let Some(call) = call.filter(|call| call.result.is_none()) {
            let id = CallId { node, number: call.number };
            call.result = Some(result);
            self.events.schedule(self.now + after, SimulationEvent::CallEnds(id));
        }
    }

    pub(super) fn call_ends(&mut self, id: CallId) {
        let state = &mut self.nodes[id.node as usize];
        let current = state.call.as_ref().is_some_and(|call| call.number == id.number && !call.lost);
        let Some(call) = state.call.take_if(|_| current) else { return };
        let took = self.now - call.began_at;
        match call.result {
            Some(CallResult::Answer(answer)) => self.call_answered(id.node, took, &answer),
            Some(CallResult::Unreachable) => {
                self.outcome.unreached += 1;
                self.call_failed(id.node, CallOutcome::Unreachable { took });
            }
            Some(CallResult::Rejected) => self.call_failed(id.node, CallOutcome::Rejected { took }),
            Some(CallResult::Failed) | None => self.call_failed(id.node, CallOutcome::Failed),
        }
    }

    pub(super) fn call_times_out(&mut self, id: CallId) {
        let call = self.nodes[id.node as usize].call.as_ref();
        if call.is_some_and(|call| call.number == id.number) {
            self.drop_call(id.node);
            self.outcome.overdue += 1;
            self.call_failed(id.node, CallOutcome::TimedOut);
        }
    }

    /// Removes the call in flight of a node, if there is one, from the node and from its replica.
    pub(super) fn drop_call(&mut self, node: u32) {
        if let Some(call) = self.nodes[node as usize].call.take() {
            let id = CallId { node, number: call.number };
            self.replicas[call.parameters.replica as usize].unwatch(id);
        }
    }

    fn call_answered(&mut self, node: u32, took: Duration, answer: &Answer) {
        let (now, versions) = (self.now, &self.versions);
        let entries = answer.entries.iter().map(|(server, state)| list_entry(versions.name(*server), *state));
        let response = ListResponse {
            version: answer.version,
            is_snapshot: answer.is_snapshot,
            entries: entries.collect(),
        };
        let outcome = CallOutcome::Answered { took, response };
        let next = self.nodes[node as usize]
            .decide(|decision_logic, random| decision_logic.call_ended(now, outcome, random));
        let Some(next) = next else { return };
        match next.applied {
            Some(version) => self.list_applied(node, version),
            // A node that rejects a list closes the connection.
            None => self.nodes[node as usize].connection = None,
        }
        self.schedule_next_call(node, next);
    }

    fn call_failed(&mut self, node: u32, outcome: CallOutcome) {
        let now = self.now;
        let state = &mut self.nodes[node as usize];
        state.connection = None;
        if let Some(next) =
            state.decide(|decision_logic, random| decision_logic.call_ended(now, outcome, random))
        {
            self.schedule_next_call(node, next);
        }
    }

    fn schedule_next_call(&mut self, node: u32, next: AfterCall) {
        let incarnation = self.nodes[node as usize].incarnation;
        let event = SimulationEvent::CallBegins { node, incarnation };
        self.events.schedule(self.now + next.pause, event);
    }

    /// Records that a node applies a list of this version.
    fn list_applied(&mut self, node: u32, version: u64) {
        let state = &mut self.nodes[node as usize];
        let before = state.version.replace(version);
        self.outcome.went_back += u64::from(before.is_some_and(|before| version < before));
        if let Some(launched_at) = state.launched_at.take() {
            self.outcome.lists.add(self.now - launched_at);
        }
        let from = before.unwrap_or(0).max(state.counted_after);
        for version in from + 1..=version {
            if let Some(change) = self.versions.change_at(version) {
                self.outcome.latencies.add(self.now - change.at);
            }
        }
    }
}
