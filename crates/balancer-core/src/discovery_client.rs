//! How a node asks the replicas of discovery: which one, with which wait and limit, and how soon again. No I/O and no clock:
//! a driver makes the calls and tells how they ended. With one replica this is [`Asking`] and nothing more.

use crate::asking::{Asking, Call, End, Pace};
use crate::replicas::{CallOutcome, Changed, Replicas, Step};
use crate::time::Timestamp;
use std::time::Duration;

/// Nodes that lost one replica together ask the next within this time, each at a moment of its own.
const MOVE_ON: Duration = Duration::from_millis(200);

/// Random numbers from 0 to 1 for one decision.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Jitter {
    /// For the pause.
    pub pause: f64,
    /// For the time until the first choice is tried again.
    pub hold_down: f64,
}

/// How a call to a replica ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEnd {
    /// With 503: the replica has too much to do.
    Refused {
        /// How long after the call.
        took: Duration,
    },
    /// In any other way.
    Other(End),
}

impl CallEnd {
    fn outcome(self) -> CallOutcome {
        match self {
            Self::Refused { .. } => CallOutcome::Refused,
            Self::Other(End::Answered { .. }) => CallOutcome::Answered,
            Self::Other(End::Overdue | End::Unreached { .. } | End::Failed) => CallOutcome::Failed,
        }
    }
}

/// What comes after a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Next {
    /// The pause before the next call.
    pub pause: Duration,
    /// Where it goes.
    pub step: Step,
}

/// The client of discovery's replicas, without I/O.
#[derive(Clone, Debug)]
pub struct DiscoveryClient {
    replicas: Replicas,
    asking: Asking,
}

impl DiscoveryClient {
    /// A client that has asked nobody yet.
    pub fn new(replicas: Replicas) -> Self {
        Self { replicas, asking: Asking::default() }
    }

    /// The replicas in this node's order.
    pub fn replicas(&self) -> &Replicas {
        &self.replicas
    }

    /// The next call, to the current replica, for changes or for the full list. `jitter` is a random number from 0 to 1.
    pub fn call(&self, pace: Pace, for_changes: bool, jitter: f64) -> Call {
        self.asking.call(pace, for_changes, jitter)
    }

    /// How long the rest of an answer that has begun may take; `None` where no capacity is stated.
    pub fn sending(&self, pace: Pace) -> Option<Duration> {
        self.asking.sending(pace)
    }

    /// Takes in how a call to the current replica ended. `for_changes` is of the next call.
    pub fn ended(
        &mut self,
        now: Timestamp,
        pace: Pace,
        call: Call,
        end: CallEnd,
        for_changes: bool,
        jitter: Jitter,
    ) -> Next {
        let step = self.replicas.ended(now, end.outcome(), pace.hold_down(), jitter.hold_down);
        let pause = match step {
            Step::Stay | Step::BackOff | Step::Return => {
                self.back_off(pace, call, end, for_changes, jitter.pause)
            }
            Step::MoveOn => self.move_on(call, end, jitter.pause),
        };
        if step != Step::Stay {
            self.asking.goes_elsewhere();
        }
        Next { pause, step }
    }

    fn back_off(&mut self, pace: Pace, call: Call, end: CallEnd, for_changes: bool, jitter: f64) -> Duration {
        match end {
            CallEnd::Refused { took } => self.asking.refused(pace, took, for_changes, jitter),
            CallEnd::Other(end) => self.asking.ended(pace, call, end, for_changes, jitter),
        }
    }

    /// The short pause before the call to the next replica.
    fn move_on(&mut self, call: Call, end: CallEnd, jitter: f64) -> Duration {
        if let CallEnd::Other(end) = end {
            self.asking.moved_on(call, end);
        }
        MOVE_ON.mul_f64(if jitter.is_nan() { 1.0 } else { jitter.clamp(0.0, 1.0) })
    }

    /// Other replicas from here on.
    pub fn change(&mut self, names: Vec<String>) -> Changed {
        let changed = self.replicas.change(names);
        if changed != Changed::CurrentStays {
            self.asking = Asking::default();
        }
        changed
    }
}
