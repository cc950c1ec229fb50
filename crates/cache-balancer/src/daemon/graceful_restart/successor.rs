//! Takes over from a predecessor.

use crate::daemon::listeners::BoundSockets;
use crate::daemon::node::Node;
use crate::handover::{CancelCause, Message, SuccessorEndpoint};
use crate::log::log;
use balancer_core::graceful_restart::{Successor, SuccessorAction, SuccessorEvent, SuccessorState};
use std::ops::ControlFlow;
use std::pin::pin;
use thiserror::Error;
use tokio::signal::unix::Signal;

/// The outcome of a takeover.
#[derive(Debug)]
pub(in crate::daemon) enum Takeover {
    /// This process serves.
    Serving(StandbyPredecessor),
    /// This process was asked to stop.
    Terminated,
    /// The predecessor continues to serve. This process has to finish its requests in flight.
    Cancelled(TakeoverError),
}

/// The reason why a predecessor continues to serve.
#[derive(Debug, Error)]
pub enum TakeoverError {
    #[error("the predecessor continues to serve: {0}")]
    Cancelled(CancelCause),
    #[error("the link to the predecessor was lost, and the predecessor continues to serve")]
    LinkLost,
    #[error("the predecessor continues to serve: its messages arrived out of order")]
    OutOfOrder,
}

/// Takes over from the predecessor that `endpoint` is connected to. `bound` has a socket for each listener.
///
/// # Errors
///
/// The predecessor continues to serve, and this process has not accepted any connection.
pub(in crate::daemon) async fn take_over(
    node: &mut Node,
    endpoint: SuccessorEndpoint,
    bound: BoundSockets,
    terminate: &mut Signal,
) -> Result<Takeover, TakeoverError> {
    let takeover = TakeoverInProgress {
        node,
        machine: Successor::default(),
        endpoint,
        bound: Some(bound),
        stopping: false,
        error: TakeoverError::OutOfOrder,
    };
    takeover.run(terminate).await
}

struct TakeoverInProgress<'a> {
    node: &'a mut Node,
    machine: Successor,
    endpoint: SuccessorEndpoint,
    /// The listening sockets, until the node accepts connections on them.
    bound: Option<BoundSockets>,
    /// Whether this process was asked to stop.
    stopping: bool,
    /// The error that is reported if the takeover fails.
    error: TakeoverError,
}

/// How a takeover ends.
enum End {
    Serving,
    /// Connections were accepted, so requests may be in flight.
    Drain,
    /// No connection was accepted.
    Exit,
}

impl TakeoverInProgress<'_> {
    async fn run(mut self, terminate: &mut Signal) -> Result<Takeover, TakeoverError> {
        match self.until_end(terminate).await {
            End::Serving => {
                let Self { machine, endpoint, .. } = self;
                Ok(Takeover::Serving(StandbyPredecessor { machine, endpoint }))
            }
            End::Drain | End::Exit if self.stopping => Ok(Takeover::Terminated),
            End::Drain => Ok(Takeover::Cancelled(self.error)),
            End::Exit => Err(self.error),
        }
    }

    async fn until_end(&mut self, terminate: &mut Signal) -> End {
        let readiness = self.node.readiness.clone();
        let mut prepared = pin!(readiness.wait(|pool| log!("waiting for cache servers of pool {pool}")));
        let mut preparing = true;
        loop {
            let event = tokio::select! {
                biased;
                _ = terminate.recv() => {
                    self.stopping = true;
                    SuccessorEvent::StopRequested
                }
                message = self.endpoint.next() => self.event(message),
                () = &mut prepared, if preparing => {
                    preparing = false;
                    SuccessorEvent::Prepared
                }
            };
            for action in self.machine.handle(event) {
                if let ControlFlow::Break(end) = self.perform(*action).await {
                    return end;
                }
            }
        }
    }

    fn event(&mut self, message: Message) -> SuccessorEvent {
        match message {
            Message::Proceed(state) => {
                if let Some(state) = state {
                    self.node.restore(state);
                }
                SuccessorEvent::Proceed
            }
            Message::Committed => SuccessorEvent::Committed,
            Message::Departed => SuccessorEvent::PredecessorDeparted,
            Message::Cancelled(cause) => {
                self.error = TakeoverError::Cancelled(cause);
                SuccessorEvent::Cancelled
            }
            Message::Died => SuccessorEvent::PredecessorDied,
            Message::LinkLost => {
                self.error = TakeoverError::LinkLost;
                SuccessorEvent::LinkLost
            }
        }
    }

    async fn perform(&mut self, action: SuccessorAction) -> ControlFlow<End> {
        match action {
            SuccessorAction::SendReady => self.endpoint.send_ready(),
            SuccessorAction::Accept => {
                if let Some(bound) = self.bound.take() {
                    self.node.listen(bound);
                }
            }
            SuccessorAction::SendAccepting => self.endpoint.send_accepting(),
            SuccessorAction::Decline => self.endpoint.decline().await,
            SuccessorAction::Release => self.endpoint.release().await,
            SuccessorAction::TerminatePredecessor => self.endpoint.terminate_predecessor(),
            // The service manager is notified only after this action, since until then the takeover may be
            // cancelled.
            SuccessorAction::TakeOwnership => return ControlFlow::Break(End::Serving),
            SuccessorAction::Drain => return ControlFlow::Break(End::Drain),
            SuccessorAction::Exit => return ControlFlow::Break(End::Exit),
        }
        ControlFlow::Continue(())
    }
}

/// The predecessor of this process, while it stands by.
#[derive(Debug)]
pub(in crate::daemon) struct StandbyPredecessor {
    machine: Successor,
    endpoint: SuccessorEndpoint,
}

impl StandbyPredecessor {
    pub fn is_standing_by(&self) -> bool {
        self.machine.state() == SuccessorState::OnProbation
    }

    /// Waits until the predecessor no longer stands by. Cancel safe.
    pub async fn gone(&mut self) {
        while self.is_standing_by() {
            let event = match self.endpoint.next().await {
                Message::Departed => SuccessorEvent::PredecessorDeparted,
                Message::Died => SuccessorEvent::PredecessorDied,
                Message::LinkLost => SuccessorEvent::LinkLost,
                Message::Committed | Message::Proceed(_) | Message::Cancelled(_) => continue,
            };
            self.handle(event).await;
        }
    }

    pub async fn handle(&mut self, event: SuccessorEvent) {
        for action in self.machine.handle(event) {
            match action {
                SuccessorAction::Release => self.endpoint.release().await,
                SuccessorAction::TerminatePredecessor => self.endpoint.terminate_predecessor(),
                // These actions occur only before this process serves.
                SuccessorAction::SendReady
                | SuccessorAction::Accept
                | SuccessorAction::SendAccepting
                | SuccessorAction::Decline
                | SuccessorAction::TakeOwnership
                | SuccessorAction::Drain
                | SuccessorAction::Exit => {}
            }
        }
    }
}
