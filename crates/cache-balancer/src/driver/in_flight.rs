//! Tracks accepted requests and their attempts until they are complete.

use crate::input::FinalResponse;
use crate::upstream::ForwardedRequest;
use balancer_core::ServerId;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::task::AbortHandle;
use tokio::time::Instant;

/// Subtracted from the client's timeout, which starts when the client sends the request and must also cover
/// the transfer of the response.
const NETWORK_MARGIN: Duration = Duration::from_millis(5);
/// The time after a request's deadline in which the balancer may still end the request itself.
const BALANCER_GRACE: Duration = Duration::from_millis(4);

/// Returns the instant by which the node must have the response so that the client gets it in time.
pub fn deadline(received_at: Instant, client_timeout: Duration) -> Instant {
    received_at + client_timeout.saturating_sub(NETWORK_MARGIN)
}

/// A request that has no final response yet or has an attempt in flight.
#[derive(Debug)]
pub struct InFlightRequest {
    message: Rc<ForwardedRequest>,
    /// `None` once the final response has been sent or the client has disconnected.
    response: Option<oneshot::Sender<FinalResponse>>,
    deadline: Instant,
    attempts: Vec<InFlightAttempt>,
}

/// One attempt of a request. Ended attempts stay in the list, because the number of an attempt is its index.
#[derive(Debug)]
struct InFlightAttempt {
    server: ServerId,
    started_at: Instant,
    /// `None` once the result of the attempt is known.
    task: Option<AbortHandle>,
}

/// An attempt whose result has just become known.
#[derive(Debug)]
pub struct EndedAttempt {
    /// The server of the attempt.
    pub server: ServerId,
    /// The time from the start of the attempt to its result.
    pub elapsed: Duration,
}

impl InFlightRequest {
    /// Creates a request without attempts whose response is due by `deadline`.
    pub fn new(
        message: ForwardedRequest,
        response: oneshot::Sender<FinalResponse>,
        deadline: Instant,
    ) -> Self {
        Self { message: Rc::new(message), response: Some(response), deadline, attempts: Vec::new() }
    }

    /// Returns the instant by which an attempt must end for its response to reach the client in time.
    pub fn deadline(&self) -> Instant {
        self.deadline
    }

    /// Returns the instant at which the request fails if it has no final response.
    pub fn deadline_timer(&self) -> Instant {
        self.deadline + BALANCER_GRACE
    }

    /// Returns the message that is forwarded to a cache server.
    pub fn message(&self) -> &Rc<ForwardedRequest> {
        &self.message
    }

    /// Returns whether the client is still waiting for the final response.
    pub fn awaits_response(&self) -> bool {
        self.response.is_some()
    }

    /// Sends the final response. Does nothing if one has been sent already or the client has disconnected.
    pub fn respond(&mut self, response: FinalResponse) {
        self.message.pending.clear();
        if let Some(sender) = self.response.take() {
            // A client that disconnected meanwhile has dropped the receiver.
            let _ = sender.send(response);
        }
    }

    /// Records that the client has disconnected: no response is due and no further attempt may start.
    pub fn cancel(&mut self) {
        self.response = None;
        self.message.pending.clear();
    }

    /// Returns the number of attempts so far, which is also the number of the next attempt.
    pub fn attempt_count(&self) -> u32 {
        self.attempts.len() as u32
    }

    /// Adds an attempt that has been started.
    pub fn add_attempt(&mut self, server: ServerId, started_at: Instant, task: AbortHandle) {
        self.attempts.push(InFlightAttempt { server, started_at, task: Some(task) });
    }

    /// Returns the task of an attempt, or `None` if the attempt does not exist or has ended.
    pub fn attempt_task(&self, attempt: u32) -> Option<&AbortHandle> {
        self.attempts.get(attempt as usize)?.task.as_ref()
    }

    /// Marks an attempt as ended. Returns `None` if its result was known already: after a cancellation, the
    /// result of the attempt can still be in the driver's queue.
    pub fn end_attempt(&mut self, attempt: u32) -> Option<EndedAttempt> {
        let ended = self.attempts.get_mut(attempt as usize)?;
        ended.task.take()?;
        Some(EndedAttempt { server: ended.server.clone(), elapsed: ended.started_at.elapsed() })
    }

    /// Returns whether no response is due any more and no attempt is in flight.
    pub fn is_complete(&self) -> bool {
        self.response.is_none() && self.attempts.iter().all(|attempt| attempt.task.is_none())
    }
}
