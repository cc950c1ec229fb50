//! The pause after polls that failed: exponential backoff with full jitter (M. Brooker, "Exponential Backoff And Jitter", AWS
//! Architecture Blog, 2015).
//!
//! Discovery is one service of fixed capacity for all nodes; they share no state, and each poll that fails uses capacity that
//! another node's poll needed. So the longest step grows with the number of nodes: all nodes together poll about as often as
//! discovery can answer.
//!
//! Whatever the outcome of a poll, a change counts as notified [`NOTIFICATION_DEADLINE`] after discovery had it and could be
//! reached. So the pause before a watch, and after a poll that did not reach discovery, is bounded to leave the next poll
//! enough time to be answered by then.
//!
//! Where the operator states the capacity of a replica, [`ReplicaShare`](super::ReplicaShare) bounds the pause instead.

use super::local_agent;
use super::pacing::{PollPacing, PollSettings};
use super::poll_schedule::{Poll, PollKind, PollOutcome};
use super::unit_fraction;
use std::time::Duration;

/// The time after which a change counts as notified to a node whose last poll failed, counted from when discovery had the
/// change and could be reached. Set by the operators' acceptance.
pub const NOTIFICATION_DEADLINE: Duration = Duration::from_secs(6);
/// The part of it that the poll needs which fetches the change: discovery queues none for longer.
const SERVER_QUEUE_TIMEOUT: Duration = Duration::from_secs(3);
/// The number of failed polls after a lost watch that are retried as soon as in a small fleet: what the watch missed has a
/// deadline, and the nodes are spread by the random waits of their watches.
const URGENT_RETRIES: u32 = 2;
/// The number of failed snapshot polls in a row whose pause is bounded like that of a watch. Their pauses take 1.5 s each on
/// average; a discovery that has sent no list by then must be spared.
const BOUNDED_SNAPSHOT_RETRIES: u32 = 5;

/// The base of the steps, which double with each failure: the pause after the first failure is up to twice this.
const FIRST_STEP: Duration = Duration::from_millis(200);
/// The longest step of a small fleet.
pub(super) const MAX_STEP: Duration = Duration::from_secs(3);
/// The base of the steps is at least the longest step divided by this, so the first pause is drawn from at least an eighth
/// of the longest step: with shorter ones hundreds of nodes fail repeatedly within the first second.
const MAX_TO_FIRST_STEP: u32 = 16;
/// The time that discovery is assumed to need for one line of a list: it sends 200 a second.
const LINE_COST: Duration = Duration::from_millis(5);
/// The cost of a poll beside the lines of its answer, in lines.
const POLL_COST_LINES: u32 = 10;
/// The assumed length of the full list, in lines.
const LIST_LINES: u32 = 40;
/// The cost of a snapshot to discovery, which the longest step allows for each node.
const SNAPSHOT_COST: Duration = LINE_COST.saturating_mul(POLL_COST_LINES + LIST_LINES);
/// The cost of a watch without events.
pub(super) const WATCH_COST: Duration = LINE_COST.saturating_mul(POLL_COST_LINES);
/// The step doubles no more often than this; it has reached its bound long before.
const MAX_DOUBLINGS: u32 = 16;

/// A poll that failed, as far as the next pause depends on it.
#[derive(Clone, Copy, Debug)]
pub(super) struct FailedPoll {
    /// Discovery was reached.
    reached: bool,
    /// Discovery answered that it is overloaded.
    overloaded: bool,
    timed_out: bool,
    /// The time from the poll to its failure, as far as that matters.
    took: Duration,
}

impl FailedPoll {
    /// Returns `None` for a poll that was answered with a list.
    pub(super) fn new(poll: Poll, outcome: PollOutcome) -> Option<Self> {
        let failed = Self { reached: true, overloaded: false, timed_out: false, took: Duration::ZERO };
        match outcome {
            PollOutcome::Answered { .. } => None,
            PollOutcome::TimedOut => Some(Self { timed_out: true, took: poll.timeout, ..failed }),
            PollOutcome::Unreachable { took } => Some(Self { reached: false, took, ..failed }),
            PollOutcome::Overloaded { took } => Some(Self { overloaded: true, took, ..failed }),
            PollOutcome::Failed => Some(failed),
        }
    }

    pub(super) fn is_overload(self) -> bool {
        self.overloaded
    }
}

/// The polls that failed since the last answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Backoff {
    /// Failures in a row that were followed by a pause.
    failures: u32,
    /// The first of them followed a watch that was lost.
    follows_lost_watch: bool,
    /// Snapshot polls that timed out since the last answer or lost watch.
    timeouts: u32,
    /// How long discovery has been reached without sending a list.
    refused_for: Duration,
}

impl Backoff {
    /// The state right after a watch was lost.
    pub(super) fn after_lost_watch() -> Self {
        Self { follows_lost_watch: true, ..Self::default() }
    }

    /// No answer has come since a watch was lost or a poll failed.
    pub(super) fn is_active(self) -> bool {
        self.follows_lost_watch || self.failures > 0
    }

    /// Snapshot polls that timed out since the last answer or lost watch. Other failures between them do not reset it.
    pub(super) fn timeouts(self) -> u32 {
        self.timeouts
    }

    /// Records a failed poll that is followed by no pause of this backoff.
    pub(super) fn record(&mut self, failed: FailedPoll) {
        self.timeouts = self.timeouts.saturating_add(u32::from(failed.timed_out));
        // A discovery that was away has no backlog when it comes back: the time counts from there.
        self.refused_for =
            if failed.reached { self.refused_for.saturating_add(failed.took) } else { Duration::ZERO };
    }

    /// Records a failed poll and returns the pause before the next one, which is of kind `next`.
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

    /// The upper end of the pause where it depends on the stated capacity of a replica; `None` where it does not.
    fn pause_limit_by_capacity(
        self,
        pacing: PollPacing,
        failed: FailedPoll,
        next: PollKind,
    ) -> Option<Duration> {
        let share = pacing.share.filter(|_| failed.reached)?;
        match next {
            PollKind::Snapshot => Some(share.snapshot_pause_limit(self.refused_for)),
            PollKind::Watch => {
                let answered_within = NOTIFICATION_DEADLINE - SERVER_QUEUE_TIMEOUT;
                let limit = share.watch_pause_limit(self.refused_for, answered_within);
                limit.filter(|_| failed.overloaded && !self.is_urgent())
            }
        }
    }

    /// The pause where it depends on the number of nodes.
    fn pause_by_fleet_size(
        self,
        settings: PollSettings,
        failed: FailedPoll,
        next: PollKind,
        jitter: f64,
    ) -> Duration {
        let nodes = if self.is_urgent() { 1 } else { settings.nodes };
        let limit =
            if self.meets_deadline(failed, next) { deadline_limit(settings, failed) } else { Duration::MAX };
        pause(settings, nodes, self.failures, next, limit, jitter)
    }

    /// Whether the next poll has to be in time for [`NOTIFICATION_DEADLINE`]. Snapshots are exempt after some failures: a
    /// discovery that keeps failing may be unable to send them, and failing polls would use up its capacity. One that is not
    /// reached loses nothing by being polled.
    fn meets_deadline(self, failed: FailedPoll, next: PollKind) -> bool {
        next == PollKind::Watch || !failed.reached || self.failures <= BOUNDED_SNAPSHOT_RETRIES
    }

    /// What a lost watch missed has a deadline.
    fn is_urgent(self) -> bool {
        self.follows_lost_watch && self.failures <= URGENT_RETRIES
    }
}

/// The longest step for which the next poll is in time. Discovery may have come back right after the failed poll was sent.
fn deadline_limit(settings: PollSettings, failed: FailedPoll) -> Duration {
    let elapsed = if failed.overloaded { Duration::ZERO } else { failed.took };
    let left = (NOTIFICATION_DEADLINE - SERVER_QUEUE_TIMEOUT).saturating_sub(elapsed);
    left.max(FIRST_STEP).min(settings.max_poll_interval * 2)
}

/// The pause after `failures` in a row. `limit` bounds the step and not the drawn pause: otherwise all nodes whose steps are
/// longer would return together at the limit.
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

/// The pause of one of `nodes` after `failures` in a row, before a poll of kind `next`. `jitter` is a random number from 0 to
/// 1; with 1 the result is the step that pauses are drawn from.
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

/// The longest step of `nodes` whose polls cost discovery `cost` each.
pub(super) fn max_step(cost: Duration, nodes: u32) -> Duration {
    MAX_STEP.max(cost.saturating_mul(nodes))
}
