//! The process that serves, and that a successor is about to replace.

/// Successors that die while they serve, or are about to, before further ones are rejected for a while.
const MAX_SUCCESSOR_DEATHS: u8 = 2;

/// What happens at the predecessor.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum PredecessorEvent {
    /// A successor requests a hand-over.
    Requested,
    /// The successor is prepared to serve.
    SuccessorReady,
    /// The successor accepts connections.
    SuccessorAccepting,
    /// The successor serves and needs no process on standby: it stops in order, or hands over to a process of its own.
    Released,
    /// The successor gives up, and lives.
    Declined,
    /// The successor has died.
    SuccessorDied,
    /// The link has ended, and the successor lives.
    LinkLost,
    /// Until the hand-over is committed: the successor exceeded the time limit of this step (`[hand_over] within`). In
    /// standby: the probation (`probation`) has passed and every request that this process accepted has ended. This is the
    /// normal end of a hand-over.
    TimedOut,
    /// The backoff after deaths of successors (`bar`) has passed.
    BackoffExpired,
}

/// What the predecessor has to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum PredecessorAction {
    /// Release the process on standby behind this one, if there is one ([`super::SuccessorEvent::HandoverStarted`]): if
    /// this process dies from here on, its own successor takes over. Then send the sockets and the learned state. The
    /// time limit of the next step starts.
    Offer,
    /// Stop accepting for now, and tell the successor to proceed, with the latest learned state. The time limit of the
    /// next step starts.
    Pause,
    /// Accept again after a pause.
    Resume,
    /// Tell the successor that the hand-over is cancelled and why, and close the link: successors are rejected for a while,
    /// it exceeded a time limit, or it sent a message out of order.
    Cancel,
    /// Send the successor a termination signal, past the link: it may accept, and must not do so for good.
    Fence,
    /// Tell the successor that it serves from now on. Finish the requests in flight, and keep the sockets open.
    Commit,
    /// Accept again after standing by.
    Rollback,
    /// Deliver [`PredecessorEvent::BackoffExpired`] after the backoff (`bar`), and reject successors until then.
    BackOff,
    /// Tell the successor that this process departs, close the link, finish the requests in flight, and exit.
    Depart,
}

/// The progress of a hand-over, at the predecessor.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum PredecessorState {
    /// No hand-over is in progress.
    #[default]
    Serving,
    /// A successor prepares.
    Offered,
    /// The successor was told to proceed; neither process accepts until it does.
    Paused,
    /// The successor serves, on probation.
    StandingBy,
    /// The successor serves for good.
    Departed,
}

/// The process that serves, as a state machine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Predecessor {
    state: PredecessorState,
    /// Successors that died while they served, or were about to, since the last backoff expired.
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

    /// Handles a request to stop this process, and returns the actions to carry out before it does.
    ///
    /// A successor that only prepares is cancelled. One that was told to proceed keeps the clients.
    pub fn stop(&mut self) -> &'static [PredecessorAction] {
        match std::mem::replace(&mut self.state, PredecessorState::Departed) {
            PredecessorState::Offered => &[PredecessorAction::Cancel],
            PredecessorState::Paused | PredecessorState::StandingBy => &[PredecessorAction::Depart],
            PredecessorState::Serving | PredecessorState::Departed => &[],
        }
    }

    /// The progress of the hand-over.
    pub const fn state(self) -> PredecessorState {
        self.state
    }

    /// Whether a hand-over is in progress that is not committed yet. A reload of the configuration waits for its end.
    pub const fn is_handing_over(self) -> bool {
        matches!(self.state, PredecessorState::Offered | PredecessorState::Paused)
    }

    /// Whether successors are rejected until the backoff expires.
    pub const fn is_backing_off(self) -> bool {
        self.successor_deaths >= MAX_SUCCESSOR_DEATHS
    }

    /// A successor that dies before it was told to proceed had no client, so its death says nothing about serving.
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
            // A message out of order comes from a successor that cannot be trusted with clients.
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
            // A link that is lost in standby changes nothing here: the successor keeps the clients. This process stands by
            // until the probation ends, the successor's death is reported, or the successor ends it by a signal.
            (state, _) => (state, &[]),
        }
    }
}
