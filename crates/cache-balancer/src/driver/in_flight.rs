//! Requests that have been accepted and are not complete, with their attempts.

use crate::input::FinalResponse;
use crate::upstream::ForwardedRequest;
use balancer_core::ServerId;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::task::AbortHandle;
use tokio::time::Instant;

/// Subtracted from the time that a client waits: that time counts from when the client sent its request, and
/// the response needs its way back.
const NETWORK_MARGIN: Duration = Duration::from_millis(5);
/// How long past a request's deadline the decisions may take for their own response.
const DECISION_GRACE: Duration = Duration::from_millis(4);

/// The instant by which the node must have the response of a request, so that its client gets it in time.
pub fn deadline(received_at: Instant, client_timeout: Duration) -> Instant {
    received_at + client_timeout.saturating_sub(NETWORK_MARGIN)
}

/// A request that lacks its final response or has an attempt in flight.
#[derive(Debug)]
pub struct InFlightRequest {
    message: Rc<ForwardedRequest>,
    /// `None` once the final response is given or the client has disconnected.
    response: Option<oneshot::Sender<FinalResponse>>,
    deadline: Instant,
    attempts: Vec<InFlightAttempt>,
}

/// One attempt of a request. It stays in the list of its request once it has ended: its place is its number.
#[derive(Debug)]
struct InFlightAttempt {
    server: ServerId,
    started_at: Instant,
    /// `None` once its result is known.
    task: Option<AbortHandle>,
}

/// An attempt of which the result has just become known.
#[derive(Debug)]
pub struct EndedAttempt {
    /// The server that it was sent to.
    pub server: ServerId,
    /// The time from its start to its result.
    pub elapsed: Duration,
}

impl InFlightRequest {
    /// A request without attempts, of which the response is due by `deadline`.
    pub fn new(
        message: ForwardedRequest,
        response: oneshot::Sender<FinalResponse>,
        deadline: Instant,
    ) -> Self {
        Self { message: Rc::new(message), response: Some(response), deadline, attempts: Vec::new() }
    }

    /// The instant by which an attempt must have ended to be of use to the client.
    pub fn deadline(&self) -> Instant {
        self.deadline
    }

    /// The instant at which a request that still lacks its response fails.
    pub fn deadline_timer(&self) -> Instant {
        self.deadline + DECISION_GRACE
    }

    /// What is forwarded to a cache server.
    pub fn message(&self) -> &Rc<ForwardedRequest> {
        &self.message
    }

    /// Whether the client still waits for the final response.
    pub fn awaits_response(&self) -> bool {
        self.response.is_some()
    }

    /// Gives the final response; a request that has had one, or whose client has disconnected, gets no
    /// second.
    pub fn respond(&mut self, response: FinalResponse) {
        self.message.pending.clear();
        if let Some(sender) = self.response.take() {
            // A client that disconnected meanwhile has dropped the receiver.
            let _ = sender.send(response);
        }
    }

    /// Notes that the client has disconnected: no response is due and no further attempt may begin.
    pub fn cancel(&mut self) {
        self.response = None;
        self.message.pending.clear();
    }

    /// The number of attempts so far, which is the number of the next one.
    pub fn attempt_count(&self) -> u32 {
        self.attempts.len() as u32
    }

    /// Records an attempt that has been started.
    pub fn add_attempt(&mut self, server: ServerId, started_at: Instant, task: AbortHandle) {
        self.attempts.push(InFlightAttempt { server, started_at, task: Some(task) });
    }

    /// The task of an attempt, or `None` if there is no such attempt or it has ended.
    pub fn attempt_task(&self, attempt: u32) -> Option<&AbortHandle> {
        self.attempts.get(attempt as usize)?.task.as_ref()
    }

    /// Marks an attempt as ended. `None` if its result was known before: the result of an attempt that was
    /// cancelled can still be on its way in the driver's queue.
    pub fn end_attempt(&mut self, attempt: u32) -> Option<EndedAttempt> {
        let ended = self.attempts.get_mut(attempt as usize)?;
        ended.task.take()?;
        Some(EndedAttempt { server: ended.server.clone(), elapsed: ended.started_at.elapsed() })
    }

    /// Whether the final response is given and no attempt is in flight.
    pub fn is_complete(&self) -> bool {
        self.response.is_none() && self.attempts.iter().all(|attempt| attempt.task.is_none())
    }
}
