//! A frozen copy of the poll schedule from before discovery had replicas. The test `single_address` compares
//! the current schedule with this reference.
//!
//! The copy shares no code with the current schedule, not even constants or types: a change of the current
//! schedule would otherwise change the reference as well, and the comparison would always pass. For the same
//! reason it is not edited when the schedule is; only its names follow those of the crate.

use std::time::Duration;

const MAX_WATCH_WAIT: Duration = Duration::from_secs(20);
const MIN_WATCH_WAIT: Duration = Duration::from_secs(10);
const NOTIFICATION_DEADLINE: Duration = Duration::from_secs(6);
const SERVER_QUEUE_TIMEOUT: Duration = Duration::from_secs(3);
const WATCH_TIMEOUT_MARGIN: Duration = Duration::from_millis(500);
const SNAPSHOT_TIMEOUT: Duration = Duration::from_millis(3500);
const AGENT_WAIT_DIVISOR: u32 = 5;
const AGENT_TIMEOUT_MARGIN_DIVISOR: u32 = 5;
const AGENT_PAUSE_DIVISOR: u32 = 10;
const MIN_GRACE_FRACTION: Duration = Duration::from_millis(5);
const MIN_WAITED_FRACTION: f64 = 0.5;
const URGENT_RETRIES: u32 = 2;
const BOUNDED_SNAPSHOT_RETRIES: u32 = 5;
const FIRST_STEP: Duration = Duration::from_millis(200);
const MAX_STEP: Duration = Duration::from_secs(3);
const MAX_TO_FIRST_STEP: u32 = 16;
const SNAPSHOT_COST: Duration = Duration::from_millis(250);
const WATCH_COST: Duration = Duration::from_millis(50);

/// The settings that polls depend on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// The number of nodes that poll.
    pub nodes: u32,
    pub max_poll_interval: Duration,
    pub drain_grace: Duration,
    /// Whether all nodes poll one service. Otherwise each node polls an agent on its own machine.
    pub is_shared_service: bool,
}

impl Settings {
    fn grace_fraction(self, divisor: u32) -> Duration {
        (self.drain_grace / divisor).max(MIN_GRACE_FRACTION)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Poll {
    pub wait: Duration,
    pub timeout: Duration,
}

/// How a poll ended. Status 503 was a failure like any other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Answered { took: Duration, has_changes: bool },
    TimedOut,
    Unreachable { took: Duration },
    Failed,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Schedule {
    /// Consecutive failures.
    failures: u32,
    /// Consecutive answers that neither waited as requested nor had changes.
    early_answers: u32,
    /// A watch was lost, and no answer was received since.
    watch_lost: bool,
}

impl Schedule {
    /// Returns the next poll: a watch or a snapshot.
    pub fn next_poll(&self, settings: Settings, is_watch: bool, jitter: f64) -> Poll {
        if !settings.is_shared_service {
            let wait = if is_watch { settings.grace_fraction(AGENT_WAIT_DIVISOR) } else { Duration::ZERO };
            return Poll { wait, timeout: wait + settings.grace_fraction(AGENT_TIMEOUT_MARGIN_DIVISOR) };
        }
        if !is_watch {
            return Poll { wait: Duration::ZERO, timeout: SNAPSHOT_TIMEOUT };
        }
        let drawn = MIN_WATCH_WAIT + (MAX_WATCH_WAIT - MIN_WATCH_WAIT).mul_f64(unit_fraction(jitter));
        let is_uncertain = self.watch_lost || self.failures > 0;
        let wait = if is_uncertain { drawn.min(max_step(WATCH_COST, settings.nodes)) } else { drawn };
        Poll { wait, timeout: wait + WATCH_TIMEOUT_MARGIN }
    }

    /// Records the outcome of a poll and returns the pause before the next one: a watch or a snapshot.
    pub fn poll_ended(
        &mut self,
        settings: Settings,
        poll: Poll,
        outcome: Outcome,
        next_is_watch: bool,
        jitter: f64,
    ) -> Duration {
        let was_watch = !poll.wait.is_zero();
        match outcome {
            Outcome::Answered { took, has_changes } => {
                let early = was_watch && !has_changes && took < poll.wait.mul_f64(MIN_WAITED_FRACTION);
                let early_answers = if early { self.early_answers.saturating_add(1) } else { 0 };
                *self = Self { early_answers, ..Self::default() };
                let limit = settings.max_poll_interval / 2;
                self.pause(settings, early_answers.saturating_sub(1), settings.nodes, true, jitter, limit)
            }
            Outcome::TimedOut if was_watch => {
                *self = Self { watch_lost: true, ..Self::default() };
                Duration::ZERO
            }
            Outcome::TimedOut | Outcome::Unreachable { .. } | Outcome::Failed => {
                (self.failures, self.early_answers) = (self.failures.saturating_add(1), 0);
                let is_urgent = self.watch_lost && self.failures <= URGENT_RETRIES;
                let nodes = if is_urgent { 1 } else { settings.nodes };
                let (reached, took) = match outcome {
                    Outcome::Unreachable { took } => (false, took),
                    Outcome::TimedOut => (true, poll.timeout),
                    _ => (true, Duration::ZERO),
                };
                let left = (NOTIFICATION_DEADLINE - SERVER_QUEUE_TIMEOUT).saturating_sub(took);
                let in_time = left.max(FIRST_STEP).min(settings.max_poll_interval * 2);
                let bounded = next_is_watch || !reached || self.failures <= BOUNDED_SNAPSHOT_RETRIES;
                let limit = if bounded { in_time } else { Duration::MAX };
                self.pause(settings, self.failures, nodes, next_is_watch, jitter, limit)
            }
        }
    }

    fn pause(
        self,
        settings: Settings,
        failures: u32,
        nodes: u32,
        next_is_watch: bool,
        jitter: f64,
        limit: Duration,
    ) -> Duration {
        match (settings.is_shared_service, failures) {
            (_, 0) => Duration::ZERO,
            (false, _) => settings.grace_fraction(AGENT_PAUSE_DIVISOR),
            (true, _) => {
                backoff(nodes, failures, next_is_watch, 1.0).min(limit).mul_f64(unit_fraction(jitter))
            }
        }
    }
}

/// Returns the pause of one of `nodes` nodes after `failures` consecutive failures.
pub fn backoff(nodes: u32, failures: u32, next_is_watch: bool, jitter: f64) -> Duration {
    if failures == 0 {
        return Duration::ZERO;
    }
    let max = max_step(if next_is_watch { WATCH_COST } else { SNAPSHOT_COST }, nodes);
    let step = FIRST_STEP.max(max / MAX_TO_FIRST_STEP).saturating_mul(1 << failures.min(16)).min(max);
    step.mul_f64(unit_fraction(jitter))
}

fn max_step(cost: Duration, nodes: u32) -> Duration {
    MAX_STEP.max(cost.saturating_mul(nodes))
}

fn unit_fraction(random: f64) -> f64 {
    if random.is_nan() {
        1.0
    } else {
        random.clamp(0.0, 1.0)
    }
}
