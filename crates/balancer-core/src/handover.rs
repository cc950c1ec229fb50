//! Handing clients over from one process to its successor: who accepts, and what each does when the other dies, hangs or
//! changes its mind. Both ends are state machines without I/O; a program passes the sockets and carries the words.
//!
//! The link between the two keeps order and ends when either process does (a stream socket within one machine). A link
//! that ends while the process at its other end lives was cut: each end is told which of the two it was
//! ([`GiverEvent::Died`] and [`GiverEvent::Cut`], and the same for the taker).
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
//! stands by: finishes what it took,     |
//! and has the sockets still             |
//!   |-------------- yours ------------->|
//!   |                                 serves
//!   | <------------- free --------------|   if it stops, or hands over in its turn
//! leaves, then or with the probation's end
//!   |-------------- left -------------->|
//! ```
//!
//! The listening sockets are open at both ends throughout, so that no connection is refused; who comes while neither
//! accepts waits in the machine's queue. While the giver stands by, the taker is on probation: should it die, the giver
//! accepts again. At most one accepts at a time, but for a taker that hangs right after it has begun and comes to itself
//! when the giver has long gone on: it learns so with the next word it reads, or by the signal that fences it, and leaves.

/// So many successors may die with clients in their hands before no further one is asked for a while.
const MOST_DEATHS: u8 = 2;

/// What happens at the giver.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum GiverEvent {
    /// A successor asks for the sockets.
    Asked,
    /// The successor could serve.
    Ready,
    /// The successor accepts.
    Taken,
    /// The successor serves and needs nobody behind it: it stops in order, or hands over in its turn.
    Freed,
    /// The successor gives up, and lives.
    Declined,
    /// The successor has died.
    Died,
    /// The link has ended, and the successor lives.
    Cut,
    /// The successor has had its time for this step, or its probation is over and all that was taken is finished.
    Overdue,
    /// Successors that died before are long past.
    Forgiven,
}

/// What the giver must do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum GiverAction {
    /// Release whoever stands by for this process ([`TakerEvent::Giving`]): should this one die from here on, it is the
    /// successor that follows. Then send the sockets and what is known. The next step has its time from here.
    Offer,
    /// Accept no more for now, and tell the successor to go on, with what is known by now. The next step has its time
    /// from here.
    Pause,
    /// Accept again.
    Resume,
    /// Tell the successor that it is not wanted any more, and end the link.
    Cancel,
    /// Tell the successor to stop, past the link: it may accept, and is not to for good.
    Fence,
    /// Tell the successor that the clients are its own. Finish what was taken, and keep the sockets.
    StandBy,
    /// Accept again, after having stood by.
    TakeBack,
    /// Deliver [`GiverEvent::Forgiven`] after a while; until then successors are turned away.
    Bar,
    /// Say that it leaves, end the link, finish what was taken, and end.
    Leave,
}

/// How far a giver is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum Giving {
    /// Nobody asks for its place.
    #[default]
    Serving,
    /// A successor prepares.
    Offered,
    /// A successor was told to go on; neither accepts until it does.
    Paused,
    /// The successor serves, on probation.
    StandingBy,
    /// The successor serves.
    Left,
}

/// The process that serves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Giver {
    giving: Giving,
    /// Successors that died with the clients in their hands, and are not forgiven.
    deaths: u8,
}

impl Giver {
    /// Takes in what happened, and says what to do, in this order.
    pub fn handle(&mut self, event: GiverEvent) -> &'static [GiverAction] {
        use GiverAction::{Bar, Cancel, Fence, Leave, Offer, Pause, Resume, StandBy, TakeBack};
        use GiverEvent::{Asked, Cut, Declined, Died, Forgiven, Freed, Overdue, Ready, Taken};
        use Giving::{Left, Offered, Paused, Serving, StandingBy};
        if event == Died && matches!(self.giving, Paused | StandingBy) {
            self.deaths += 1;
        }
        let barred = self.barred();
        let (next, actions): (_, &[_]) = match (self.giving, event) {
            (Serving, Asked) if barred => (Serving, &[Cancel]),
            (Serving, Asked) => (Offered, &[Offer]),
            (Serving, Forgiven) => {
                self.deaths = 0;
                (Serving, &[])
            }
            (Offered, Ready) => (Paused, &[Pause]),
            (Offered, Died | Cut | Declined) => (Serving, &[]),
            // A word out of its order is a successor that cannot be trusted with clients.
            (Offered, Asked | Taken | Freed | Overdue) => (Serving, &[Cancel]),
            (Paused, Taken) => (StandingBy, &[StandBy]),
            (Paused, Died) if barred => (Serving, &[Resume, Bar]),
            (Paused, Died | Declined) => (Serving, &[Resume]),
            (Paused, Cut) => (Serving, &[Fence, Resume]),
            // It may have begun to accept, and may not read that it is not wanted.
            (Paused, Overdue | Asked | Ready | Freed) => (Serving, &[Cancel, Fence, Resume]),
            (StandingBy, Died) if barred => (Serving, &[TakeBack, Bar]),
            (StandingBy, Died | Declined) => (Serving, &[TakeBack]),
            (StandingBy, Freed | Overdue) => (Left, &[Leave]),
            // Cut off from each other, the one that has the clients keeps them. Only its death is heeded from here on.
            (state, _) => (state, &[]),
        };
        self.giving = next;
        actions
    }

    /// It is told to stop: gives the clients to a successor that was told to go on, and sends one that still prepares away.
    /// What it says to do comes before the stop.
    pub fn stop(&mut self) -> &'static [GiverAction] {
        match std::mem::replace(&mut self.giving, Giving::Left) {
            Giving::Offered => &[GiverAction::Cancel],
            Giving::Paused | Giving::StandingBy => &[GiverAction::Leave],
            Giving::Serving | Giving::Left => &[],
        }
    }

    /// How far it is.
    pub const fn giving(self) -> Giving {
        self.giving
    }

    /// Whether a hand-over is under way: a change of the configuration waits for its end.
    pub const fn busy(self) -> bool {
        matches!(self.giving, Giving::Offered | Giving::Paused)
    }

    /// Whether successors are turned away.
    pub const fn barred(self) -> bool {
        self.deaths >= MOST_DEATHS
    }
}

/// What happens at the taker, which has the sockets.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum TakerEvent {
    /// It could serve.
    Prepared,
    /// The giver has paused.
    Go,
    /// The giver stands by.
    Yours,
    /// The giver leaves, and the clients to this one.
    Left,
    /// The giver goes on by itself.
    Cancelled,
    /// The giver has died.
    Died,
    /// The link has ended, and the giver lives.
    Cut,
    /// It is told to stop.
    Stop,
    /// It is about to hand over in its turn.
    Giving,
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
    /// Tell the giver that it need not stand by, and end the link. Where it takes no word any more, as [`Self::Dismiss`].
    SayFree,
    /// Tell the giver to go on by itself, and end the link.
    SayDeclined,
    /// It is the one that serves from here on, and gives in its turn.
    Own,
    /// Tell the giver to stop, past the link: it need not stand by.
    Dismiss,
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
    /// It serves, and the giver stands by.
    OnProbation,
    /// It serves.
    Owning,
    /// It is of no use any more.
    Ended,
}

impl Taker {
    /// Takes in what happened, and says what to do, in this order.
    pub fn handle(&mut self, event: TakerEvent) -> &'static [TakerAction] {
        use TakerAction::{Accept, Dismiss, End, Own, SayDeclined, SayFree, SayReady, SayTaken, Withdraw};
        use TakerEvent::{Cancelled, Cut, Died, Giving, Go, Left, Prepared, Stop, Yours};
        let (next, actions): (_, &[_]) = match (*self, event) {
            (Self::Preparing, Prepared) => (Self::Waiting, &[SayReady]),
            // Nobody accepts: one that is not ready yet is better than none, as at any start.
            (Self::Preparing | Self::Waiting, Died) => (Self::Owning, &[Accept, Own]),
            (Self::Waiting, Go) => (Self::Accepting, &[Accept, SayTaken]),
            (Self::Accepting, Yours) => (Self::OnProbation, &[Own]),
            // A giver that lives and is cut off stands by, or fences this one: that shows by a signal, or by its end.
            (Self::Accepting, Died | Left) => (Self::Owning, &[Own]),
            (Self::Accepting, Cancelled) => (Self::Ended, &[Withdraw]),
            (Self::Accepting, Stop) => (Self::Ended, &[SayDeclined, Withdraw]),
            (Self::Preparing | Self::Waiting, Stop) => (Self::Ended, &[SayDeclined, End]),
            // The giver still serves; so does one whose words come out of order.
            (Self::Preparing | Self::Waiting, Cancelled | Cut | Left | Yours) | (Self::Preparing, Go) => {
                (Self::Ended, &[End])
            }
            (Self::OnProbation, Stop | Giving) => (Self::Owning, &[SayFree]),
            // It could not be told any more that another process serves.
            (Self::OnProbation, Cut) => (Self::Owning, &[Dismiss]),
            (Self::OnProbation, Died | Left) => (Self::Owning, &[]),
            (state, _) => (state, &[]),
        };
        *self = next;
        actions
    }
}
