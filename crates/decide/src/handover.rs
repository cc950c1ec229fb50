//! Handing clients over from one process to its successor: who accepts, and what each does when the other dies, hangs or
//! changes its mind. Both ends are state machines without I/O; a program passes the sockets and carries the words.
//!
//! The link between the two keeps order, loses nothing, and ends when either process does (a stream socket within one
//! machine). A giver that gives up says so first: a link that ends without that word tells that the giver has died.
//!
//! ```text
//! giver                                taker
//!   | <------------- asks --------------|
//!   |-- sockets, what is known -------->|   prepares: reads the list, fills its pools
//!   | <------------- ready -------------|
//! pauses                                |
//!   |-- what is known by now, go ------>|
//!   |                                 accepts
//!   | <------------- taken -------------|
//! leaves: finishes what it took         |
//! ```
//!
//! The listening sockets are open at both ends throughout, so that no connection is refused; who comes while neither
//! accepts waits in the machine's queue. At most one accepts at a time, but for a taker that hangs right after it has
//! begun and comes to itself when the giver has long gone on: it learns so with the next word it reads, and leaves.

/// What happens at the giver.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum GiverEvent {
    /// A successor asks for the sockets.
    Asked,
    /// The successor could serve.
    Ready,
    /// The successor accepts.
    Taken,
    /// The link has ended: the successor has died, or gave up.
    Broken,
    /// The successor has had its time for this step.
    Overdue,
}

/// What the giver must do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum GiverAction {
    /// Send the sockets and what is known. The next step has its time from here.
    Offer,
    /// Accept no more for now, and tell the successor to go on, with what is known by now. The next step has its time
    /// from here.
    Pause,
    /// Accept again.
    Resume,
    /// Tell the successor that it is not wanted any more, and end the link.
    Cancel,
    /// End the link, finish what was taken, and end.
    Leave,
}

/// The process that serves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum Giver {
    /// Nobody asks for its place.
    #[default]
    Serving,
    /// A successor prepares.
    Offered,
    /// A successor was told to go on; neither accepts until it does.
    Paused,
    /// The successor serves.
    Left,
}

impl Giver {
    /// Takes in what happened, and says what to do, in this order.
    pub fn handle(&mut self, event: GiverEvent) -> &'static [GiverAction] {
        use GiverAction::{Cancel, Leave, Offer, Pause, Resume};
        use GiverEvent::{Asked, Broken, Overdue, Ready, Taken};
        let (next, actions): (_, &[_]) = match (*self, event) {
            (Self::Serving, Asked) => (Self::Offered, &[Offer]),
            (Self::Offered, Ready) => (Self::Paused, &[Pause]),
            (Self::Offered, Broken) => (Self::Serving, &[]),
            (Self::Offered, Overdue) => (Self::Serving, &[Cancel]),
            // A word out of its order is a successor that cannot be trusted with clients.
            (Self::Offered, Asked | Taken) => (Self::Serving, &[Cancel]),
            (Self::Paused, Taken) => (Self::Left, &[Leave]),
            (Self::Paused, Broken) => (Self::Serving, &[Resume]),
            (Self::Paused, Overdue | Asked | Ready) => (Self::Serving, &[Cancel, Resume]),
            (state @ (Self::Serving | Self::Left), _) => (state, &[]),
        };
        *self = next;
        actions
    }

    /// It is told to stop: gives the clients to a successor that was told to go on, and sends one that still prepares away.
    /// What it says to do comes before the stop.
    pub fn stop(&mut self) -> &'static [GiverAction] {
        match std::mem::replace(self, Self::Left) {
            Self::Offered => &[GiverAction::Cancel],
            Self::Serving | Self::Paused | Self::Left => &[],
        }
    }

    /// Whether a hand-over is under way: a change of the configuration waits for its end.
    pub const fn busy(self) -> bool {
        matches!(self, Self::Offered | Self::Paused)
    }
}

/// What happens at the taker, which has the sockets.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum TakerEvent {
    /// It could serve.
    Prepared,
    /// The giver has paused.
    Go,
    /// The giver goes on by itself.
    Cancelled,
    /// The link has ended without a word: the giver has died, or has left.
    Broken,
}

/// What the taker must do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum TakerAction {
    /// Tell the giver that it could serve.
    SayReady,
    /// Accept clients.
    Accept,
    /// Tell the giver that it accepts.
    SayTaken,
    /// It is the one that serves from here on, and gives in its turn.
    Own,
    /// Accept no more, finish what was taken, and end.
    Withdraw,
    /// End at once: nothing was taken.
    End,
}

/// The process that is to serve.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum Taker {
    /// It gets ready to serve.
    #[default]
    Preparing,
    /// It could serve, and waits for the giver's word.
    Waiting,
    /// It accepts. The giver may still go on by itself, where it has waited too long.
    Accepting,
    /// It serves.
    Owning,
    /// It is of no use any more.
    Ended,
}

impl Taker {
    /// Takes in what happened, and says what to do, in this order.
    pub fn handle(&mut self, event: TakerEvent) -> &'static [TakerAction] {
        use TakerAction::{Accept, End, Own, SayReady, SayTaken, Withdraw};
        use TakerEvent::{Broken, Cancelled, Go, Prepared};
        let (next, actions): (_, &[_]) = match (*self, event) {
            (Self::Preparing, Prepared) => (Self::Waiting, &[SayReady]),
            // Nobody accepts: one that is not ready yet is better than none, as at any start.
            (Self::Preparing | Self::Waiting, Broken) => (Self::Owning, &[Accept, Own]),
            (Self::Waiting, Go) => (Self::Accepting, &[Accept, SayTaken]),
            (Self::Accepting, Broken) => (Self::Owning, &[Own]),
            (Self::Accepting, Cancelled) => (Self::Ended, &[Withdraw]),
            // A giver whose words come out of order still serves.
            (Self::Preparing | Self::Waiting, Cancelled) | (Self::Preparing, Go) => (Self::Ended, &[End]),
            (state, _) => (state, &[]),
        };
        *self = next;
        actions
    }
}
