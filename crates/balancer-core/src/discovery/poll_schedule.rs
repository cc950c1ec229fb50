//! Schedules the polls to one replica of discovery: the wait and timeout of each poll, and the pause before
//! the next.

use super::backoff::{self, Backoff, FailedPoll};
use super::pacing::PollPacing;
use super::{local_agent, watch};
use std::time::Duration;

/// Timeout of a snapshot poll, not including the time to send the list. Discovery gives up queued polls after
/// 3 s.
const SNAPSHOT_TIMEOUT: Duration = Duration::from_millis(3500);

/// What a poll requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PollKind {
    /// The full list, without a wait.
    Snapshot,
    /// Changes since the current version: a long poll.
    Watch,
}

/// The wait and timeout of a poll.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Poll {
    /// How long discovery is asked to wait for changes; zero for a snapshot.
    pub wait: Duration,
    /// Time after the request at which the poll fails if there is no complete answer.
    pub timeout: Duration,
}

impl Poll {
    /// Returns whether this is a long poll.
    fn is_watch(self) -> bool {
        !self.wait.is_zero()
    }
}

/// How a poll ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PollOutcome {
    /// A list was received and accepted.
    Answered {
        /// Time from the request to the answer.
        took: Duration,
        /// Whether the list has any entry.
        has_changes: bool,
    },
    /// No complete answer was received within [`Poll::timeout`].
    TimedOut,
    /// No connection to discovery could be opened.
    Unreachable {
        /// Time spent on connection attempts.
        took: Duration,
    },
    /// Discovery answered with status 503: it is overloaded.
    Overloaded {
        /// Time from the request to the answer.
        took: Duration,
    },
    /// Discovery ended the poll without a list: with another status, or by closing the connection.
    Unanswered {
        /// Time from the request to the end.
        took: Duration,
    },
    /// An answer cannot be used: a list that is malformed or was rejected.
    Failed,
}

/// The schedule of polls to one replica. The default value has not polled yet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PollSchedule {
    backoff: Backoff,
    /// Consecutive answers that neither waited as requested nor had changes.
    early_answers: u32,
    /// Whether the polled replica has changed since the last answer.
    replica_changed: bool,
}

impl PollSchedule {
    /// Returns the next poll. `jitter` is a random number from 0 to 1.
    pub fn next_poll(&self, pacing: impl Into<PollPacing>, kind: PollKind, jitter: f64) -> Poll {
        let pacing = pacing.into();
        if !pacing.settings.is_shared_service {
            return local_agent::next_poll(pacing.settings, kind);
        }
        match kind {
            PollKind::Snapshot => {
                let allowance = self.answer_allowance(pacing).unwrap_or_default();
                Poll { wait: Duration::ZERO, timeout: SNAPSHOT_TIMEOUT + allowance }
            }
            PollKind::Watch => {
                let is_uncertain = self.replica_changed || self.backoff.is_active();
                watch::next_poll(pacing, is_uncertain, jitter)
            }
        }
    }

    /// Returns how long the rest of an answer may take once it has begun. Returns `None` if no capacity is
    /// configured: the answer then ends within [`Poll::timeout`].
    pub fn answer_allowance(&self, pacing: impl Into<PollPacing>) -> Option<Duration> {
        pacing.into().answer_allowance(self.backoff.timeouts())
    }

    /// Records that the next poll does not go to the replica that answered last. A network fault that dropped
    /// the last watch may drop the next one too.
    pub fn replica_changed(&mut self) {
        self.replica_changed = true;
    }

    /// Records the outcome of a poll after which another replica is polled at once, without the pause of a
    /// backoff. A failed snapshot poll adds to the backoff's timeouts and its time without a list, unless
    /// discovery answered that it is overloaded. A lost watch counts only as a change of replica.
    pub fn failed_over(&mut self, poll: Poll, outcome: PollOutcome) {
        let failed = FailedPoll::new(poll, outcome).filter(|failed| !failed.is_overload());
        if let Some(failed) = failed.filter(|_| !poll.is_watch()) {
            self.backoff.record(failed);
        }
        self.replica_changed();
    }

    /// Records the outcome of `poll` and returns the pause before the next poll, which is of kind `next`.
    /// `jitter` is a random number from 0 to 1.
    pub fn poll_ended(
        &mut self,
        pacing: impl Into<PollPacing>,
        poll: Poll,
        outcome: PollOutcome,
        next: PollKind,
        jitter: f64,
    ) -> Duration {
        let pacing = pacing.into();
        match outcome {
            PollOutcome::Answered { took, has_changes } => {
                let early = poll.is_watch() && !has_changes && watch::returned_early(poll.wait, took);
                self.answered(pacing, early, jitter)
            }
            // No pause is needed: the random waits of the watches already spread the nodes, and discovery did
            // not refuse anything. A snapshot poll that times out does need one, since discovery is busy.
            PollOutcome::TimedOut if poll.is_watch() => {
                *self = Self { backoff: Backoff::after_lost_watch(), ..Self::default() };
                Duration::ZERO
            }
            _ => match FailedPoll::new(poll, outcome) {
                Some(failed) => {
                    self.early_answers = 0;
                    self.backoff.next_pause(pacing, failed, next, jitter)
                }
                None => Duration::ZERO,
            },
        }
    }

    /// Returns the pause after an answer. After the first early answer the next poll is sent at once. A
    /// discovery that never waits is polled with a backoff, well within the time for which its last answer is
    /// valid.
    fn answered(&mut self, pacing: PollPacing, early: bool, jitter: f64) -> Duration {
        let early_answers = if early { self.early_answers.saturating_add(1) } else { 0 };
        *self = Self { early_answers, ..Self::default() };
        let settings = pacing.settings;
        let limit = settings.max_poll_interval / 2;
        let repeats = early_answers.saturating_sub(1);
        backoff::pause(settings, settings.nodes, repeats, PollKind::Watch, limit, jitter)
    }
}
