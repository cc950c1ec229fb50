//! Decides after each poll how long a node pauses and which replica it polls next. With a single replica it
//! only delegates to [`PollSchedule`].

use super::pacing::PollPacing;
use super::poll_schedule::{Poll, PollKind, PollOutcome, PollSchedule};
use super::replica_selection::{ReplicaResponse, ReplicaSelection, ReplicaSetChange, ReplicaTransition};
use super::unit_fraction;
use crate::time::Timestamp;
use std::time::Duration;

/// Longest pause before a failover. Nodes that lost a replica together each wait for a random part of it, so
/// that they do not all poll the next replica at once.
const MAX_FAILOVER_PAUSE: Duration = Duration::from_millis(200);

/// Random numbers from 0 to 1 for one decision.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Jitter {
    /// Determines the pause before the next poll.
    pub pause: f64,
    /// Determines the hold-down of a preferred replica that failed.
    pub hold_down: f64,
}

/// The pause after a poll and the replica of the next one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NextPoll {
    /// The pause before the next poll.
    pub pause: Duration,
    /// The replica of the next poll, relative to that of the previous poll.
    pub transition: ReplicaTransition,
}

/// The client of the replicas of discovery, without I/O.
#[derive(Clone, Debug)]
pub struct DiscoveryClient {
    replicas: ReplicaSelection,
    schedule: PollSchedule,
}

impl DiscoveryClient {
    /// Creates a client that has not polled yet.
    pub fn new(replicas: ReplicaSelection) -> Self {
        Self { replicas, schedule: PollSchedule::default() }
    }

    /// Returns the replicas in this node's order of preference.
    pub fn replicas(&self) -> &ReplicaSelection {
        &self.replicas
    }

    /// Returns the next poll, which goes to the current replica. `jitter` is a random number from 0 to 1.
    pub fn next_poll(&self, pacing: PollPacing, kind: PollKind, jitter: f64) -> Poll {
        self.schedule.next_poll(pacing, kind, jitter)
    }

    /// Returns how long the rest of an answer may take once it has begun, or `None` if no capacity is
    /// configured.
    pub fn answer_allowance(&self, pacing: PollPacing) -> Option<Duration> {
        self.schedule.answer_allowance(pacing)
    }

    /// Records the outcome of `poll` to the current replica. The next poll is of kind `next`.
    pub fn poll_ended(
        &mut self,
        now: Timestamp,
        pacing: PollPacing,
        poll: Poll,
        outcome: PollOutcome,
        next: PollKind,
        jitter: Jitter,
    ) -> NextPoll {
        let response = ReplicaResponse::from(outcome);
        let transition = self.replicas.poll_ended(now, response, pacing.min_hold_down(), jitter.hold_down);
        let pause = match transition {
            ReplicaTransition::FailOver => {
                self.schedule.failed_over(poll, outcome);
                MAX_FAILOVER_PAUSE.mul_f64(unit_fraction(jitter.pause))
            }
            ReplicaTransition::Stay
            | ReplicaTransition::FailOverAfterBackoff
            | ReplicaTransition::ReturnToPreferred => {
                self.schedule.poll_ended(pacing, poll, outcome, next, jitter.pause)
            }
        };
        if transition != ReplicaTransition::Stay {
            self.schedule.replica_changed();
        }
        NextPoll { pause, transition }
    }

    /// Replaces the set of replicas.
    pub fn replace_replicas(&mut self, names: Vec<String>) -> ReplicaSetChange {
        let change = self.replicas.replace(names);
        if change != ReplicaSetChange::CurrentRemains {
            self.schedule = PollSchedule::default();
        }
        change
    }
}

impl From<PollOutcome> for ReplicaResponse {
    fn from(outcome: PollOutcome) -> Self {
        match outcome {
            PollOutcome::Answered { .. } => Self::Answered,
            PollOutcome::Overloaded { .. } => Self::Overloaded,
            PollOutcome::TimedOut
            | PollOutcome::Unreachable { .. }
            | PollOutcome::Unanswered { .. }
            | PollOutcome::Failed => Self::Failed,
        }
    }
}
