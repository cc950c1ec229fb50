//! The clients, and the front, which distributes their requests over the nodes.

use super::event_queue::SimulationEvent;
use super::simulation::Simulation;
use super::state::{ClientRequest, StartedOperation};
use crate::judge::{FinalAnswer, Observation};
use crate::random::RandomSource;
use crate::{client_model, network_model};
use balancer_core::Timestamp;
use std::time::Duration;

impl Simulation<'_> {
    pub(super) fn schedule_next_operation(&mut self) {
        self.next_operation = self.workload.next();
        if let Some(operation) = &self.next_operation {
            let at = Timestamp::default() + operation.at;
            self.events.schedule(at, SimulationEvent::OperationStarts);
        }
    }

    pub(super) fn start_operation(&mut self) {
        let Some(operation) = self.next_operation.take() else { return };
        self.judge.record(Observation::OperationStarted {
            operation: operation.number,
            at: self.now,
            class: operation.class,
        });
        let number = self.operations.len();
        self.operations.push(StartedOperation { operation, served: false });
        self.send_request(number, 0);
        self.schedule_next_operation();
    }

    pub(super) fn send_request(&mut self, operation: usize, ordinal: u32) {
        let started = &self.operations[operation].operation;
        let random = started.request_random(ordinal);
        let timeout = client_model::request_timeout(self.script, started, self.elapsed());
        let expires_at = self.now + timeout;
        let node = self.choose_node(started.zone, random.derive(1));
        let latency = self.client_latency(random.derive(2));
        let request = self.requests.len();
        self.requests.push(ClientRequest {
            operation,
            ordinal,
            node: node.unwrap_or(0),
            incarnation: node.map_or(0, |node| self.nodes[node].incarnation),
            expires_at,
            over: false,
            answered: false,
            attempts: Vec::new(),
        });
        let arrival = match node {
            Some(_) => SimulationEvent::RequestArrives { request },
            None => no_answer(request),
        };
        self.events.schedule(self.now + latency, arrival);
        if let Some(after) = client_model::disconnects_after(self.script, random, timeout) {
            self.events.schedule(self.now + after, SimulationEvent::ClientDisconnects { request });
        }
        self.events.schedule(expires_at, SimulationEvent::ClientTimesOut { request });
    }

    /// Returns the node to which the front sends a request: a random one in the client's zone, or in the next
    /// zone that has nodes in rotation.
    fn choose_node(&self, zone: usize, random: RandomSource) -> Option<usize> {
        let zones = self.nodes_in_rotation.len();
        let mut by_distance = (0..zones).map(|step| &self.nodes_in_rotation[(zone + step) % zones]);
        let nodes = by_distance.find(|nodes| !nodes.is_empty())?;
        Some(nodes[(random.bits() % nodes.len() as u64) as usize])
    }

    pub(super) fn client_latency(&self, random: RandomSource) -> Duration {
        network_model::client_latency(&self.script.network, random)
    }

    pub(super) fn answer_arrives(
        &mut self,
        request: usize,
        answer: Option<FinalAnswer>,
        retry_after: Duration,
    ) {
        if std::mem::replace(&mut self.requests[request].over, true) {
            return;
        }
        if answer == Some(FinalAnswer::Served) {
            let started = &mut self.operations[self.requests[request].operation];
            started.served = true;
            let operation = started.operation.number;
            self.judge.record(Observation::OperationServed { operation, at: self.now });
        } else {
            self.retry(request, retry_after);
        }
    }

    pub(super) fn client_times_out(&mut self, request: usize) {
        if !std::mem::replace(&mut self.requests[request].over, true) {
            self.close_client_connection(request);
            self.retry(request, Duration::ZERO);
        }
    }

    pub(super) fn client_disconnects(&mut self, request: usize) {
        if !std::mem::replace(&mut self.requests[request].over, true) {
            self.judge.record(Observation::ClientDisconnected { request: request as u64 });
            self.close_client_connection(request);
        }
    }

    fn close_client_connection(&mut self, request: usize) {
        let latency = self.client_latency(self.request_random(request).derive(5));
        self.events.schedule(self.now + latency, SimulationEvent::DisconnectArrives { request });
    }

    fn retry(&mut self, request: usize, retry_after: Duration) {
        let ClientRequest { operation, ordinal, .. } = self.requests[request];
        let started = &self.operations[operation];
        let delay =
            client_model::retry_delay(self.script, &started.operation, ordinal, self.elapsed(), retry_after);
        if let Some(delay) = delay.filter(|_| !started.served) {
            let event = SimulationEvent::SendRequest { operation, ordinal: ordinal + 1 };
            self.events.schedule(self.now + delay, event);
        }
    }

    /// Returns the source of all random values of a request.
    pub(super) fn request_random(&self, request: usize) -> RandomSource {
        let ClientRequest { operation, ordinal, .. } = self.requests[request];
        self.operations[operation].operation.request_random(ordinal)
    }
}

/// Returns the event that the connection of a request ends without an answer.
pub(super) fn no_answer(request: usize) -> SimulationEvent {
    SimulationEvent::AnswerArrives { request, answer: None, retry_after: Duration::ZERO }
}
