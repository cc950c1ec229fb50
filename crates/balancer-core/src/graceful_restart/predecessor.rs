//! The predecessor's side of a graceful restart: the process that serves and that a successor replaces.

/// Number of successors that may die while they serve, or are about to serve, before further ones are
/// rejected for a while.
const MAX_SUCCESSOR_DEATHS: u8 = 2;

/// An event at the predecessor.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum PredecessorEvent {
    /// A successor requests a hand-over.
    Requested,
    /// The successor is prepared to serve.
    SuccessorReady,
    /// The successor accepts connections.
    SuccessorAccepting,
    /// The successor serves and no longer needs a process on standby: it shuts down gracefully, or hands over
    /// to a successor of its own.
    Released,
    /// The successor gives up but is alive.
    Declined,
    /// The successor has died.
    SuccessorDied,
    /// The link has ended, but the successor is alive.
    LinkLost,
    /// Before the hand-over is committed: the successor exceeded the time limit of this step
    /// (`[hand_over] within`). On standby: the probation (`probation`) has passed and all requests that this
    /// process accepted have ended, which is the normal end of a hand-over.
    TimedOut,
    /// The backoff after deaths of successors (`bar`) has expired.
    BackoffExpired,
}

/// An action that the predecessor has to carry out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum PredecessorAction {
    /// Release the process on standby for this one, if there is one
    /// ([`super::SuccessorEvent::HandoverStarted`]): if this process dies from now on, its own successor
    /// takes over. Then send the sockets and the learned state. The time limit of the next step starts.
    Offer,
    /// Pause accepting and tell the successor to proceed, with the latest learned state. The time limit of
    /// the next step starts.
    Pause,
    /// Resume accepting after a pause.
    Resume,
    /// Tell the successor that the hand-over is cancelled and why, and close the link. Either successors are
    /// rejected for a while, this one exceeded a time limit or sent a message out of order, or this process
    /// was told to stop.
    Cancel,
    /// Send the successor a termination signal, which does not depend on the link: it may be accepting, and
    /// must not continue.
    Fence,
    /// Tell the successor that it serves from now on. Finish the requests in flight, and keep the sockets
    /// open.
    Commit,
    /// Resume accepting after standing by.
    Rollback,
    /// Deliver [`PredecessorEvent::BackoffExpired`] after the backoff (`bar`), and reject successors until
    /// then.
    BackOff,
    /// Tell the successor that this process departs, close the link, finish the requests in flight, and exit.
    Depart,
}

/// State of a hand-over at the predecessor.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum PredecessorState {
    /// No hand-over is in progress.
    #[default]
    Serving,
    /// A successor is preparing.
    Offered,
    /// The successor was told to proceed. No process accepts until the successor does.
    Paused,
    /// The successor serves on probation.
    StandingBy,
    /// The successor serves permanently.
    Departed,
}

/// The process that serves, as a state machine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Predecessor {
    state: PredecessorState,
    /// Number of successors that died while they served, or were about to serve, since the last backoff
    /// expired.
    successor_deaths: u8,
}

impl Predecessor {
    /// Handles `event` and returns the actions to carry out, in order.
    pub fn handle(&mut self, event: PredecessorEvent) -> &'static [PredecessorAction] {
        self.count_death(event);
        let (state, actions) = self.transition(event);
        self.state = state;
        if (state, event) == (PredecessorState::Serving, PredecessorEvent::BackoffExpired) {
            self.successor_deaths = 0;
        }
        actions
    }

    /// Handles a request to stop this process and returns the actions to carry out before it stops.
    ///
    /// A successor that is still preparing is cancelled. One that was told to proceed keeps the clients.
    pub fn stop(&mut self) -> &'static [PredecessorAction] {
        match std::mem::replace(&mut self.state, PredecessorState::Departed) {
            PredecessorState::Offered => &[PredecessorAction::Cancel],
            PredecessorState::Paused | PredecessorState::StandingBy => &[PredecessorAction::Depart],
            PredecessorState::Serving | PredecessorState::Departed => &[],
        }
    }

    /// Returns the state of the hand-over.
    pub const fn state(self) -> PredecessorState {
        self.state
    }

    /// Returns whether a hand-over is in progress that is not committed yet. A reload of the configuration
    /// waits until it ends.
    pub const fn is_handing_over(self) -> bool {
        matches!(self.state, PredecessorState::Offered | PredecessorState::Paused)
    }

    /// Returns whether successors are rejected until the backoff expires.
    pub const fn is_backing_off(self) -> bool {
        self.successor_deaths >= MAX_SUCCESSOR_DEATHS
    }

    /// Counts the death of a successor that had clients. One that dies before it was told to proceed had
    /// none, so its death says nothing about whether it can serve.
    fn count_death(&mut self, event: PredecessorEvent) {
        let had_clients = matches!(self.state, PredecessorState::Paused | PredecessorState::StandingBy);
        if event == PredecessorEvent::SuccessorDied && had_clients {
            self.successor_deaths += 1;
        }
    }

    fn transition(self, event: PredecessorEvent) -> (PredecessorState, &'static [PredecessorAction]) {
        use PredecessorAction::{BackOff, Cancel, Commit, Depart, Fence, Offer, Pause, Resume, Rollback};
        use PredecessorEvent::{
            Declined, LinkLost, Released, Requested, SuccessorAccepting, SuccessorDied, SuccessorReady,
            TimedOut,
        };
        use PredecessorState::{Departed, Offered, Paused, Serving, StandingBy};
        let backing_off = self.is_backing_off();
        match (self.state, event) {
            (Serving, Requested) if backing_off => (Serving, &[Cancel]),
            (Serving, Requested) => (Offered, &[Offer]),
            (Offered, SuccessorReady) => (Paused, &[Pause]),
            (Offered, SuccessorDied | LinkLost | Declined) => (Serving, &[]),
            // A successor that sends a message out of order cannot be trusted with clients.
            (Offered, Requested | SuccessorAccepting | Released | TimedOut) => (Serving, &[Cancel]),
            (Paused, SuccessorAccepting) => (StandingBy, &[Commit]),
            (Paused, SuccessorDied) if backing_off => (Serving, &[Resume, BackOff]),
            (Paused, SuccessorDied | Declined) => (Serving, &[Resume]),
            (Paused, LinkLost) => (Serving, &[Fence, Resume]),
            // The successor may have begun to accept, and may not read the cancellation.
            (Paused, TimedOut | Requested | SuccessorReady | Released) => (Serving, &[Cancel, Fence, Resume]),
            (StandingBy, SuccessorDied) if backing_off => (Serving, &[Rollback, BackOff]),
            (StandingBy, SuccessorDied | Declined) => (Serving, &[Rollback]),
            (StandingBy, Released | TimedOut) => (Departed, &[Depart]),
            // A link that is lost on standby changes nothing here: the successor keeps the clients. This
            // process stands by until the probation ends, the successor's death is reported, or the successor
            // sends a termination signal.
            (state, _) => (state, &[]),
        }
    }
}
