//! The successor's side of a graceful restart: the process that replaces the one that serves.

/// An event at the successor, which has received the sockets.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum SuccessorEvent {
    /// This process is prepared to serve.
    Prepared,
    /// The predecessor has paused and tells this process to proceed.
    Proceed,
    /// The predecessor stands by and commits the hand-over.
    Committed,
    /// The predecessor departs, so this process serves permanently.
    PredecessorDeparted,
    /// The predecessor cancelled the hand-over and serves on.
    Cancelled,
    /// The predecessor has died.
    PredecessorDied,
    /// The link has ended, but the predecessor is alive.
    LinkLost,
    /// This process was told to stop.
    StopRequested,
    /// This process is about to hand over to a successor of its own.
    HandoverStarted,
}

/// An action that the successor has to carry out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum SuccessorAction {
    /// Tell the predecessor that this process is prepared to serve.
    SendReady,
    /// Accept connections.
    Accept,
    /// Tell the predecessor that this process accepts connections.
    SendAccepting,
    /// Tell the predecessor that it need not stand by, and close the link. If the message cannot be sent,
    /// proceed as for [`Self::TerminatePredecessor`].
    Release,
    /// Tell the predecessor to serve on without this process, and close the link.
    Decline,
    /// Take over as the serving process, which can hand over to a successor of its own.
    TakeOwnership,
    /// Send the predecessor a termination signal, which does not depend on the link: it need not stand by.
    TerminatePredecessor,
    /// Stop accepting, finish the requests in flight, and exit.
    Drain,
    /// Exit at once, since this process has accepted no connection.
    Exit,
}

/// State of a hand-over at the successor.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum SuccessorState {
    /// The process prepares to serve.
    #[default]
    Preparing,
    /// The process is prepared and waits until it is told to proceed.
    Ready,
    /// The process accepts connections. The predecessor may still cancel if it waited too long.
    Accepting,
    /// The process serves while the predecessor stands by.
    OnProbation,
    /// The process serves permanently.
    Serving,
    /// The process has given up or was cancelled.
    Ended,
}

/// The process that replaces the one that serves, as a state machine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Successor {
    state: SuccessorState,
}

impl Successor {
    /// Handles `event` and returns the actions to carry out, in order.
    pub fn handle(&mut self, event: SuccessorEvent) -> &'static [SuccessorAction] {
        let (state, actions) = self.transition(event);
        self.state = state;
        actions
    }

    /// Returns the state of the hand-over.
    pub const fn state(self) -> SuccessorState {
        self.state
    }

    /// Returns whether this process serves, on probation or permanently.
    pub const fn serves(self) -> bool {
        matches!(self.state, SuccessorState::OnProbation | SuccessorState::Serving)
    }

    fn transition(self, event: SuccessorEvent) -> (SuccessorState, &'static [SuccessorAction]) {
        use SuccessorAction::{
            Accept, Decline, Drain, Exit, Release, SendAccepting, SendReady, TakeOwnership,
            TerminatePredecessor,
        };
        use SuccessorEvent::{
            Cancelled, Committed, HandoverStarted, LinkLost, PredecessorDeparted, PredecessorDied, Prepared,
            Proceed, StopRequested,
        };
        use SuccessorState::{Accepting, Ended, OnProbation, Preparing, Ready, Serving};
        match (self.state, event) {
            (Preparing, Prepared) => (Ready, &[SendReady]),
            // No other process accepts, so this one accepts even if it is not prepared, as at any other
            // start.
            (Preparing | Ready, PredecessorDied) => (Serving, &[Accept, TakeOwnership]),
            (Ready, Proceed) => (Accepting, &[Accept, SendAccepting]),
            (Accepting, Committed) => (OnProbation, &[TakeOwnership]),
            // If the link is lost in this state, nothing happens yet: the predecessor either stands by or
            // fences this process. A signal or the predecessor's death tells which.
            (Accepting, PredecessorDied | PredecessorDeparted) => (Serving, &[TakeOwnership]),
            (Accepting, Cancelled) => (Ended, &[Drain]),
            (Accepting, StopRequested) => (Ended, &[Decline, Drain]),
            (Preparing | Ready, StopRequested) => (Ended, &[Decline, Exit]),
            // The predecessor still serves. One that sends messages out of order is assumed to serve as well.
            (Preparing | Ready, Cancelled | LinkLost | PredecessorDeparted | Committed)
            | (Preparing, Proceed) => (Ended, &[Exit]),
            (OnProbation, StopRequested | HandoverStarted) => (Serving, &[Release]),
            // Without the link, the predecessor could not be told later that yet another process serves.
            (OnProbation, LinkLost) => (Serving, &[TerminatePredecessor]),
            (OnProbation, PredecessorDied | PredecessorDeparted) => (Serving, &[]),
            (state, _) => (state, &[]),
        }
    }
}
