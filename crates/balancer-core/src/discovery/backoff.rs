//! Computes the pause after failed polls: exponential backoff with full jitter (M. Brooker, "Exponential
//! Backoff And Jitter", AWS Architecture Blog, 2015).
//!
//! Discovery has a fixed capacity that all nodes share, and each failed poll uses capacity that another
//! node's poll needed. The nodes share no state, so the longest step grows with the number of nodes: all
//! nodes together poll about as often as discovery can answer.
//!
//! Regardless of the outcome of a poll, a node counts as notified of a change [`NOTIFICATION_DEADLINE`] after
//! discovery has the change and is reachable. A pause is therefore bounded so that the next poll can be
//! answered in time, however many polls have failed: from a failed poll a node cannot tell whether discovery is
//! down, and will be back at any moment, or overloaded. The bound is lifted for snapshots that discovery may
//! have no capacity for, but only once it has refused them for longer than an outage is expected to last.
//!
//! If the operator configures the capacity of a replica, [`ReplicaShare`](super::ReplicaShare) bounds the
//! pause instead.

use super::local_agent;
use super::pacing::{PollPacing, PollSettings};
use super::poll_schedule::{Poll, PollKind, PollOutcome};
use super::unit_fraction;
use std::time::Duration;

/// Time after which a node whose last poll failed counts as notified of a change, from when discovery has the
/// change and is reachable. Required by the operators' acceptance criteria.
pub const NOTIFICATION_DEADLINE: Duration = Duration::from_secs(6);
/// Part of [`NOTIFICATION_DEADLINE`] that is reserved for the poll that fetches the change: discovery queues
/// no poll for longer.
const SERVER_QUEUE_TIMEOUT: Duration = Duration::from_secs(3);
/// Number of failed polls after a lost watch that are retried as soon as in a small fleet. The changes that
/// the watch missed have a deadline, and the random waits of the watches already spread the nodes.
const URGENT_RETRIES: u32 = 2;
/// Number of consecutive failed snapshot polls after which discovery is polled less. The pauses until then
/// take 1.5 s each on average.
const FREQUENT_SNAPSHOT_RETRIES: u32 = 5;
/// The least part of the step that is drawn as a pause after [`FREQUENT_SNAPSHOT_RETRIES`]. The polls of all
/// nodes then leave more of the capacity of discovery to answers, and are still spread over a part of the step.
const MIN_LATER_PAUSE_FRACTION: f64 = 0.75;
/// Time for which a discovery that sends no lists is taken to be down rather than overloaded.
const MAX_OUTAGE: Duration = Duration::from_secs(600);

/// Base of the steps, which double with each failure: the pause after the first failure is at most twice
/// this.
const FIRST_STEP: Duration = Duration::from_millis(200);
/// Longest step in a small fleet.
pub(super) const MAX_STEP: Duration = Duration::from_secs(3);
/// The base of the steps is at least the longest step divided by this, so the first pause is drawn from at
/// least an eighth of the longest step. With shorter first pauses, hundreds of nodes fail repeatedly within
/// the first second.
const MAX_TO_FIRST_STEP: u32 = 16;
/// Time that discovery is assumed to need for one line of a list: it sends 200 lines per second.
const LINE_COST: Duration = Duration::from_millis(5);
/// Cost of a poll in addition to the lines of its answer, in lines.
const POLL_COST_LINES: u32 = 10;
/// Assumed length of the full list, in lines.
const LIST_LINES: u32 = 40;
/// Time that a snapshot costs discovery. The longest step allows this much for each node.
const SNAPSHOT_COST: Duration = LINE_COST.saturating_mul(POLL_COST_LINES + LIST_LINES);
/// Time that a watch without events costs discovery.
pub(super) const WATCH_COST: Duration = LINE_COST.saturating_mul(POLL_COST_LINES);
/// Maximum number of doublings of the step. The step reaches its bound long before.
const MAX_DOUBLINGS: u32 = 16;

/// The properties of a failed poll that determine the next pause.
#[derive(Clone, Copy, Debug)]
pub(super) struct FailedPoll {
    /// Whether discovery was reached.
    reached: bool,
    /// Whether discovery answered that it is overloaded.
    overloaded: bool,
    timed_out: bool,
    /// Whether the answer was a list that cannot be used.
    unusable: bool,
    /// Time from the poll to its failure; zero where the pause does not depend on it.
    took: Duration,
}

impl FailedPoll {
    /// Returns `None` if the poll was answered with a list.
    pub(super) fn new(poll: Poll, outcome: PollOutcome) -> Option<Self> {
        let failed = Self {
            reached: true,
            overloaded: false,
            timed_out: false,
            unusable: false,
            took: Duration::ZERO,
        };
        match outcome {
            PollOutcome::Answered { .. } => None,
            PollOutcome::TimedOut => Some(Self { timed_out: true, took: poll.timeout, ..failed }),
            PollOutcome::Unreachable { took } => Some(Self { reached: false, took, ..failed }),
            PollOutcome::Overloaded { took } => Some(Self { overloaded: true, took, ..failed }),
            PollOutcome::Unanswered { took } => Some(Self { took, ..failed }),
            PollOutcome::Failed => Some(Self { unusable: true, ..failed }),
        }
    }

    pub(super) fn is_overload(self) -> bool {
        self.overloaded
    }
}

/// Tracks the polls that failed since the last answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Backoff {
    /// Consecutive failures that were followed by a pause.
    failures: u32,
    /// Whether the first of these failures followed a lost watch.
    follows_lost_watch: bool,
    /// Snapshot polls that timed out since the last answer or lost watch.
    timeouts: u32,
    /// How long discovery has been reachable without sending a list.
    refused_for: Duration,
}

impl Backoff {
    /// Returns the state right after a watch was lost.
    pub(super) fn after_lost_watch() -> Self {
        Self { follows_lost_watch: true, ..Self::default() }
    }

    /// Returns whether a watch was lost or a poll failed since the last answer.
    pub(super) fn is_active(self) -> bool {
        self.follows_lost_watch || self.failures > 0
    }

    /// Returns the number of snapshot polls that timed out since the last answer or lost watch. Other
    /// failures in between do not reset it.
    pub(super) fn timeouts(self) -> u32 {
        self.timeouts
    }

    /// Records a failed poll that is not followed by a pause of this backoff.
    pub(super) fn record(&mut self, failed: FailedPoll) {
        self.timeouts = self.timeouts.saturating_add(u32::from(failed.timed_out));
        // A discovery that was unreachable has no backlog when it returns, so the time counts from its
        // return.
        self.refused_for =
            if failed.reached { self.refused_for.saturating_add(failed.took) } else { Duration::ZERO };
    }

    /// Records a failed poll and returns the pause before the next poll, which is of kind `next`.
    pub(super) fn next_pause(
        &mut self,
        pacing: PollPacing,
        failed: FailedPoll,
        next: PollKind,
        jitter: f64,
    ) -> Duration {
        self.failures = self.failures.saturating_add(1);
        self.record(failed);
        let pause = match self.pause_limit_by_capacity(pacing, failed, next) {
            Some(limit) => limit.mul_f64(unit_fraction(jitter)),
            None => self.pause_by_fleet_size(pacing.settings, failed, next, jitter),
        };
        if failed.reached {
            self.refused_for = self.refused_for.saturating_add(pause);
        }
        pause
    }

    /// Returns the upper end of the pause if it depends on the configured capacity of a replica, otherwise
    /// `None`.
    fn pause_limit_by_capacity(
        self,
        pacing: PollPacing,
        failed: FailedPoll,
        next: PollKind,
    ) -> Option<Duration> {
        let share = pacing.share.filter(|_| failed.reached)?;
        let answered_within = NOTIFICATION_DEADLINE - SERVER_QUEUE_TIMEOUT;
        match next {
            PollKind::Snapshot => {
                let limit = share.snapshot_pause_limit(self.refused_for);
                let all_in_time = share.all_snapshots_time() <= answered_within;
                Some(if all_in_time { limit.min(deadline_limit(pacing.settings, failed)) } else { limit })
            }
            PollKind::Watch => {
                let limit = share.watch_pause_limit(self.refused_for, answered_within);
                limit.filter(|_| failed.overloaded && !self.is_urgent())
            }
        }
    }

    /// Returns the pause if it depends on the number of nodes.
    fn pause_by_fleet_size(
        self,
        settings: PollSettings,
        failed: FailedPoll,
        next: PollKind,
        jitter: f64,
    ) -> Duration {
        let nodes = if self.is_urgent() { 1 } else { settings.nodes };
        let in_time = self.must_meet_deadline(settings, failed, next);
        let limit = if in_time { deadline_limit(settings, failed) } else { Duration::MAX };
        let least = if in_time && failed.reached && next == PollKind::Snapshot && !self.retries_frequently() {
            MIN_LATER_PAUSE_FRACTION
        } else {
            0.0
        };
        let jitter = least + (1.0 - least) * unit_fraction(jitter);
        pause(settings, nodes, self.failures, next, limit, jitter)
    }

    /// Returns whether the next poll must be in time for [`NOTIFICATION_DEADLINE`].
    fn must_meet_deadline(self, settings: PollSettings, failed: FailedPoll, next: PollKind) -> bool {
        let may_be_down = !failed.unusable && self.refused_for <= MAX_OUTAGE;
        next == PollKind::Watch
            || !failed.reached
            || may_be_down
            || self.retries_frequently()
            || has_capacity_for_retries(settings, failed)
    }

    /// Returns whether so few polls have failed that snapshots are polled for as often as changes.
    fn retries_frequently(self) -> bool {
        self.failures <= FREQUENT_SNAPSHOT_RETRIES
    }

    /// Returns whether the poll must be retried soon, since the changes that a lost watch missed have a
    /// deadline.
    fn is_urgent(self) -> bool {
        self.follows_lost_watch && self.failures <= URGENT_RETRIES
    }
}

/// Returns whether discovery can take a poll of every node in the time from one poll of a node to the next, if
/// the pauses are bounded by the deadline.
fn has_capacity_for_retries(settings: PollSettings, failed: FailedPoll) -> bool {
    let least_pause = deadline_limit(settings, failed).mul_f64(MIN_LATER_PAUSE_FRACTION);
    WATCH_COST.saturating_mul(settings.nodes) <= failed.took + least_pause
}

/// Returns the longest step with which the next poll is in time for [`NOTIFICATION_DEADLINE`]. The time that
/// the failed poll took counts against the deadline, unless discovery answered that it is overloaded:
/// discovery may have come back right after that poll was sent.
fn deadline_limit(settings: PollSettings, failed: FailedPoll) -> Duration {
    let elapsed = if failed.overloaded { Duration::ZERO } else { failed.took };
    let left = (NOTIFICATION_DEADLINE - SERVER_QUEUE_TIMEOUT).saturating_sub(elapsed);
    left.max(FIRST_STEP).min(settings.max_poll_interval * 2)
}

/// Returns the pause after `failures` consecutive failures. `limit` bounds the step and not the drawn pause:
/// otherwise all nodes with longer steps would return together at the limit.
pub(super) fn pause(
    settings: PollSettings,
    nodes: u32,
    failures: u32,
    next: PollKind,
    limit: Duration,
    jitter: f64,
) -> Duration {
    if failures == 0 {
        return Duration::ZERO;
    }
    if !settings.is_shared_service {
        return local_agent::pause(settings);
    }
    backoff(nodes, failures, next, 1.0).min(limit).mul_f64(unit_fraction(jitter))
}

/// Returns the pause of one of `nodes` nodes after `failures` consecutive failures, before a poll of kind
/// `next`. `jitter` is a random number from 0 to 1; with 1 the result is the step that pauses are drawn from.
pub fn backoff(nodes: u32, failures: u32, next: PollKind, jitter: f64) -> Duration {
    if failures == 0 {
        return Duration::ZERO;
    }
    let cost = match next {
        PollKind::Watch => WATCH_COST,
        PollKind::Snapshot => SNAPSHOT_COST,
    };
    let max = max_step(cost, nodes);
    let first = FIRST_STEP.max(max / MAX_TO_FIRST_STEP);
    let step = first.saturating_mul(1 << failures.min(MAX_DOUBLINGS)).min(max);
    step.mul_f64(unit_fraction(jitter))
}

/// Returns the longest step of `nodes` nodes whose polls cost discovery `cost` each.
pub(super) fn max_step(cost: Duration, nodes: u32) -> Duration {
    MAX_STEP.max(cost.saturating_mul(nodes))
}
