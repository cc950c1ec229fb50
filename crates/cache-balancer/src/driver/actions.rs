//! Executes the actions that the balancer returns.

use super::timers::Timer;
use super::Driver;
use crate::input::{DriverInput, FinalResponse};
use crate::log::log;
use crate::upstream::{AttemptResult, StartCondition};
use balancer_core::{Action, AttemptStatus, RequestId, ServerId};
use std::time::Duration;
use tokio::time::Instant;

impl Driver {
    pub(super) fn execute(&mut self, action: Action) {
        match action {
            Action::StartAttempt { id, server, timeout, start_within } => {
                self.start_attempt(id, server, timeout, start_within);
            }
            Action::CancelAttempt { id, attempt } => self.cancel_attempt(id, attempt),
            Action::Reject { id, retry_after } => self.finish(&id, FinalResponse::Rejected { retry_after }),
            Action::Fail { id } => self.finish(&id, FinalResponse::Failed),
            Action::SetTimer { after } => self.timers.set(Instant::now() + after, Timer::Balancer),
            Action::CloseIdleConnections { server } => self.upstream.close_idle(&server),
            // The discovery client polls on its own schedule.
            Action::SubscribeToEndpoints => {}
            Action::Log(text) => {
                self.tally_line().trips += u32::from(is_breaker_trip(&text));
                log!("{text}");
            }
            // The balancer does not request health checks yet.
            Action::CheckHealth { server } => {
                log!("skipped the health check of {server}: this node does not support health checks");
            }
        }
    }

    fn start_attempt(
        &mut self,
        id: RequestId,
        server: ServerId,
        timeout: Duration,
        start_within: Option<Duration>,
    ) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let (now, attempt) = (Instant::now(), request.attempt_count());
        self.attempts_in_flight += 1;
        let line = self.tally.line_at(self.clock.timestamp(now));
        line.in_flight = line.in_flight.max(self.attempts_in_flight);
        line.retries += u32::from(attempt > 0);
        let deadline = request.deadline().min(now + timeout);
        let message = request.message().clone();
        let condition = StartCondition {
            pending: message.pending.clone(),
            start_by: start_within.map(|within| now + within),
        };
        let (upstream, inputs, target) = (self.upstream.clone(), self.inputs.clone(), server.clone());
        let task = tokio::task::spawn_local(async move {
            let result = upstream.attempt(&target, &message, condition, deadline).await;
            // The queue closes only when the node stops.
            let _ = inputs.send(DriverInput::AttemptEnded { id, attempt, result });
        });
        request.add_attempt(server, now, task.abort_handle());
    }

    /// Cancels an attempt that is in flight. Aborting its task also closes its connection. If the connection
    /// stayed open, the late response would be read as the response to the next request.
    fn cancel_attempt(&mut self, id: RequestId, attempt: u32) {
        let task = self.requests.get(&id).and_then(|request| request.attempt_task(attempt));
        if let Some(task) = task {
            task.abort();
            self.end_attempt(id, attempt, AttemptResult::without_response(AttemptStatus::Canceled));
        }
    }

    /// Sends the final response to the client, and counts it if the client is still waiting.
    fn finish(&mut self, id: &RequestId, response: FinalResponse) {
        let Some(request) = self.requests.get_mut(id) else { return };
        let line = self.tally.line_at(self.clock.now());
        line.in_flight = line.in_flight.max(self.attempts_in_flight);
        if request.awaits_response() {
            *match response {
                FinalResponse::Served(_) => &mut line.served,
                FinalResponse::Rejected { .. } => &mut line.rejected,
                FinalResponse::Failed => &mut line.failed,
            } += 1;
        }
        request.respond(response);
        self.remove_if_complete(id);
    }
}

/// Returns whether a log line of the balancer reports that a circuit breaker tripped. The tally counts trips,
/// but there is no action for them, so they are recognized by the text of `Action::Log`.
pub(super) fn is_breaker_trip(text: &str) -> bool {
    text.starts_with("breaker of ") && text.contains(" tripped")
}
