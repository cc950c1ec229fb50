//! Admission control: how much of the demand a node admits, and what it refuses first.
//!
//! One of hundreds of nodes cannot know how full a server is that it meets every ten seconds. What it can know is how the
//! fleet does: the ends of *all* its attempts, whatever their server, are a fair sample of all nodes' attempts. So the
//! controller has one level for the whole fleet, and no server's own history closes it.
//!
//! The level falls by a part of itself with each attempt that was late or found no room, and rises by a step with each
//! answer in time (Chiu and Jain, "Analysis of the Increase and Decrease Algorithms for Congestion Avoidance", 1989: nodes that
//! share a bottleneck converge to fair parts without communication). Steps are taken by outcome and not by time, so the
//! level at which increases and decreases balance is the same for a node that sees four outcomes a second and for one that
//! sees four hundred: N nodes together admit what one that sees all would. Only its speed differs.
//!
//! What is not admitted is what is worth least for its work, so that the most worth is served by the capacity there is; a
//! minimum is left to each class, since its answers are evidence too.

use crate::settings::RequestClass;
use crate::time::Timestamp;
use std::time::Duration;

/// Time constant of the evidence: servers that are too full are so for two to three seconds (docs/design/evidence.md).
const EVIDENCE_SPAN: Duration = Duration::from_secs(2);
/// The part that the level loses with an attempt that found no room.
const DECREASE: f64 = 0.06;
/// The step up with an answer in time, where all of them are; it shrinks to `INCREASE_MIN` as `TOLERATED_FAILURES` of them
/// are not, which is what a few bad servers among many cost.
const INCREASE: f64 = 0.04;
const INCREASE_MIN: f64 = 0.003;
const TOLERATED_FAILURES: f64 = 0.12;
/// What each end counts against the level. A late answer comes from a server that works and has too much to do, most often; a
/// time-out comes as well from one that is down or unreachable, and refusing requests for that helps nobody.
const LATE_WEIGHT: f64 = 0.7;
const TIMED_OUT_WEIGHT: f64 = 0.15;
/// Answers in time that are assumed before there are any.
const PRIOR_ANSWERS: f64 = 5.0;
/// The lowest level, and the part of each class that is admitted whatever the level.
const LEVEL_MIN: f64 = 0.1;
const CLASS_MIN: f64 = 0.15;

/// How an attempt ended, as far as it shows the load of the fleet. Connections that failed or broke show nothing of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// Answered in time.
    Answered,
    /// Answered late, or all but.
    Late,
    /// Not answered in time.
    TimedOut,
    /// Turned away because the server's queue was full.
    QueueFull,
}

impl AttemptEnd {
    fn weight(self) -> f64 {
        match self {
            Self::Answered => 0.0,
            Self::Late => LATE_WEIGHT,
            Self::TimedOut => TIMED_OUT_WEIGHT,
            Self::QueueFull => 1.0,
        }
    }
}

/// One node's level of admission and the evidence for it; see the module's documentation.
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionController {
    /// The admitted part of the demand.
    level: f64,
    /// Attempts that ended, and what they count against the level, over about `EVIDENCE_SPAN`.
    attempts: f64,
    failures: f64,
    /// By class: the work of the requests, over about `EVIDENCE_SPAN`, in the caller's unit.
    demand: Vec<f64>,
    decayed_at: Timestamp,
}

impl Default for AdmissionController {
    /// Admits everything.
    fn default() -> Self {
        Self {
            level: 1.0,
            attempts: 0.0,
            failures: 0.0,
            demand: Vec::new(),
            decayed_at: Timestamp::default(),
        }
    }
}

impl AdmissionController {
    /// A controller at the level of another one, clamped to the valid range; at 1 where it is no finite number.
    pub fn at_level(level: f64) -> Self {
        let level = if level.is_finite() { level.clamp(LEVEL_MIN, 1.0) } else { 1.0 };
        Self { level, ..Self::default() }
    }

    /// The admitted part of the demand, from above 0 to 1.
    pub fn level(&self) -> f64 {
        self.level
    }

    /// Moves the demand counted by class to the classes of new settings. `former` has the position that each of them had
    /// before, if it was there.
    pub fn reassign_classes(&mut self, former: &[Option<usize>]) {
        let demand =
            |former: &Option<usize>| former.and_then(|index| self.demand.get(index).copied()).unwrap_or(0.0);
        self.demand = former.iter().map(demand).collect();
    }

    /// Counts the end of an attempt.
    pub fn record(&mut self, now: Timestamp, end: AttemptEnd) {
        self.decay(now);
        let weight = end.weight();
        self.attempts += 1.0;
        self.failures += weight;
        let failure_share = self.failures / (self.attempts + PRIOR_ANSWERS);
        let increase = (INCREASE * (1.0 - failure_share / TOLERATED_FAILURES)).max(INCREASE_MIN);
        self.level =
            (self.level * (1.0 - DECREASE * weight) + (1.0 - weight) * increase).clamp(LEVEL_MIN, 1.0);
    }

    /// Whether a request of this class is admitted; it counts as demand either way. `work` is by class what one of its
    /// requests takes, in any one unit; `random` is the request's number between 0 and 1, uniformly distributed.
    pub fn admits(
        &mut self,
        now: Timestamp,
        class: usize,
        classes: &[RequestClass],
        work: &[f64],
        random: f64,
    ) -> bool {
        self.decay(now);
        self.demand.resize(classes.len(), 0.0);
        self.demand[class] += work[class];
        if self.level >= 1.0 {
            return true;
        }
        let price = |class: usize| classes[class].priority_weight / work[class].max(f64::MIN_POSITIVE);
        // Classes that are worth less for their work are refused first; equal ones in their order.
        let refused_first = (0..classes.len()).filter(|&other| (price(other), other) < (price(class), class));
        let refusable = 1.0 - CLASS_MIN.min(self.level);
        let refused = refused_first.map(|other| self.demand[other] * refusable).sum::<f64>();
        let to_refuse = (1.0 - self.level) * self.demand.iter().sum::<f64>() - refused;
        random * self.demand[class] >= to_refuse.clamp(0.0, self.demand[class] * refusable)
    }

    fn decay(&mut self, now: Timestamp) {
        let factor = (-now.since(self.decayed_at).as_secs_f64() / EVIDENCE_SPAN.as_secs_f64()).exp();
        self.decayed_at = now;
        self.demand.iter_mut().for_each(|demand| *demand *= factor);
        (self.attempts, self.failures) = (self.attempts * factor, self.failures * factor);
    }
}
