//! Carries out what the decisions ask for.

use super::timers::Timer;
use super::Driver;
use crate::input::{DriverInput, FinalResponse};
use crate::log::log;
use crate::upstream::{AttemptResult, StartCondition};
use balancer_core::{Action, AttemptStatus, RequestId, ServerId};
use std::time::Duration;
use tokio::time::Instant;

impl Driver {
    pub(super) fn carry_out(&mut self, action: Action) {
        match action {
            Action::StartAttempt { id, server, timeout, start_within } => {
                self.start_attempt(id, server, timeout, start_within);
            }
            Action::CancelAttempt { id, attempt } => self.cancel_attempt(id, attempt),
            Action::Reject { id, retry_after } => self.finish(&id, FinalResponse::Rejected { retry_after }),
            Action::Fail { id } => self.finish(&id, FinalResponse::Failed),
            Action::SetTimer { after } => self.timers.set(Instant::now() + after, Timer::Decisions),
            Action::CloseIdleConnections { server } => self.upstream.close_idle(&server),
            // The client of discovery polls on its own and judges itself when to poll again.
            Action::SubscribeToEndpoints => {}
            Action::Log(text) => {
                self.tally_line().trips += u32::from(is_breaker_trip(&text));
                log!("{text}");
            }
            // No decision asks for one yet.
            Action::CheckHealth { server } => log!("no probe of {server}: this node sends none"),
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
        self.tally.line_at(self.clock.timestamp(now)).retries += u32::from(attempt > 0);
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

    /// Cancels an attempt that is in flight. Its connection closes with its task: kept open, the server's
    /// late response would be read as that of the next request.
    fn cancel_attempt(&mut self, id: RequestId, attempt: u32) {
        let task = self.requests.get(&id).and_then(|request| request.attempt_task(attempt));
        if let Some(task) = task {
            task.abort();
            self.end_attempt(id, attempt, AttemptResult::without_response(AttemptStatus::Canceled));
        }
    }

    /// Gives the final response, and counts it if the client still waits.
    fn finish(&mut self, id: &RequestId, response: FinalResponse) {
        let Some(request) = self.requests.get_mut(id) else { return };
        let line = self.tally.line_at(self.clock.now());
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

/// Whether a log line of the decisions reports that a circuit breaker tripped. The decisions have no action
/// for it, and the tally counts trips, so it is recognised by the text of `Action::Log`.
pub(super) fn is_breaker_trip(text: &str) -> bool {
    text.starts_with("breaker of ") && text.contains(" tripped")
}
