//! The process that replaces the one that serves.

/// What happens at the successor, which has received the sockets.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum SuccessorEvent {
    /// It is prepared to serve.
    Prepared,
    /// The predecessor has paused, and tells this process to proceed.
    Proceed,
    /// The predecessor stands by, and commits the hand-over.
    Committed,
    /// The predecessor departs; this process serves for good.
    PredecessorDeparted,
    /// The predecessor goes on by itself.
    Cancelled,
    /// The predecessor has died.
    PredecessorDied,
    /// The link has ended, and the predecessor lives.
    LinkLost,
    /// This process was told to stop.
    StopRequested,
    /// This process is about to hand over to a successor of its own.
    HandoverStarted,
}

/// What the successor has to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum SuccessorAction {
    /// Tell the predecessor that this process is prepared to serve.
    SendReady,
    /// Accept connections.
    Accept,
    /// Tell the predecessor that this process accepts connections.
    SendAccepting,
    /// Tell the predecessor that it need not stand by, and close the link. If the message cannot be sent, do as for
    /// [`Self::TerminatePredecessor`].
    Release,
    /// Tell the predecessor to go on by itself, and close the link.
    Decline,
    /// This process serves from here on, and can hand over to a successor of its own.
    TakeOwnership,
    /// Send the predecessor a termination signal, past the link: it need not stand by.
    TerminatePredecessor,
    /// Stop accepting, finish the requests in flight, and exit.
    Drain,
    /// Exit at once: this process has accepted no connection.
    Exit,
}

/// The progress of a hand-over, at the successor.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum SuccessorState {
    /// It prepares to serve.
    #[default]
    Preparing,
    /// It is prepared, and waits until it is told to proceed.
    Ready,
    /// It accepts connections. The predecessor may still cancel, if it waited too long.
    Accepting,
    /// It serves, and the predecessor stands by.
    OnProbation,
    /// It serves for good.
    Serving,
    /// It has given up or was cancelled.
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

    /// The progress of the hand-over.
    pub const fn state(self) -> SuccessorState {
        self.state
    }

    /// Whether this process serves, on probation or for good.
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
            // No process accepts: an unprepared one is better than none, as at any other start.
            (Preparing | Ready, PredecessorDied) => (Serving, &[Accept, TakeOwnership]),
            (Ready, Proceed) => (Accepting, &[Accept, SendAccepting]),
            (Accepting, Committed) => (OnProbation, &[TakeOwnership]),
            // If the link is lost here instead, the predecessor stands by or fences this process: a signal tells, or the
            // predecessor's death.
            (Accepting, PredecessorDied | PredecessorDeparted) => (Serving, &[TakeOwnership]),
            (Accepting, Cancelled) => (Ended, &[Drain]),
            (Accepting, StopRequested) => (Ended, &[Decline, Drain]),
            (Preparing | Ready, StopRequested) => (Ended, &[Decline, Exit]),
            // The predecessor still serves. One that sends messages out of order is taken to do so, too.
            (Preparing | Ready, Cancelled | LinkLost | PredecessorDeparted | Committed)
            | (Preparing, Proceed) => (Ended, &[Exit]),
            (OnProbation, StopRequested | HandoverStarted) => (Serving, &[Release]),
            // The predecessor could no longer be told that yet another process serves.
            (OnProbation, LinkLost) => (Serving, &[TerminatePredecessor]),
            (OnProbation, PredecessorDied | PredecessorDeparted) => (Serving, &[]),
            (state, _) => (state, &[]),
        }
    }
}
