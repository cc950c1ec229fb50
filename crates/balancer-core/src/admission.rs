//! Admission control: how much of the demand a node admits, and what it rejects first.
//!
//! One of hundreds of nodes cannot know how full a server is that it sends a request to every ten seconds. What it can know is
//! the state of the fleet: the results of *all* its attempts, whatever their server, are a fair sample of all nodes' attempts. So the
//! controller has one level for the whole fleet.
//!
//! The level falls by a fraction of itself with each attempt that was late or found the queue full, and rises by a step
//! with each answer in time (Chiu and Jain, "Analysis of the Increase and Decrease Algorithms for Congestion Avoidance",
//! 1989: nodes that share a bottleneck converge to fair shares without communication). Steps are taken by result and not by
//! time, so the level at which increases and decreases balance depends little on how many results a node sees: N nodes
//! together admit about what one that sees all would. A node that sees few results gets there more slowly, and
//! `PRIOR_ANSWERS` weigh more there.
//!
//! What is not admitted is what has the least priority weight for its work, so that the most weight is served by the
//! capacity there is. A minimum of each class is admitted, since its results are evidence too.

use crate::decay::ExponentialDecay;
use crate::hashing::{mix, unit_interval};
use crate::settings::RequestClass;
use crate::time::Timestamp;
use std::time::Duration;

/// Time constant with which evidence decays.
const EVIDENCE_TIME_CONSTANT: Duration = Duration::from_secs(2);
/// Fraction of itself that the level loses with a full queue.
const DECREASE_FACTOR: f64 = 0.06;
/// Step up with an answer in time, where no attempt fails. It shrinks in proportion to the failure rate, down to
/// `INCREASE_MIN`, which holds from about `FAILURE_RATE_OF_MIN_INCREASE` on.
const INCREASE: f64 = 0.04;
const INCREASE_MIN: f64 = 0.003;
const FAILURE_RATE_OF_MIN_INCREASE: f64 = 0.12;
/// What each result counts against the level. A late answer most often comes from a server that works and is overloaded.
/// A time-out may as well come from one that is down or unreachable, and rejecting requests for that protects no server.
const LATE_WEIGHT: f64 = 0.7;
const TIMED_OUT_WEIGHT: f64 = 0.15;
const QUEUE_FULL_WEIGHT: f64 = 1.0;
/// Answers in time that are assumed before there are any, so that a node's first failure rejects nothing.
const PRIOR_ANSWERS: f64 = 5.0;
/// The lowest level.
const LEVEL_MIN: f64 = 0.1;
/// Fraction of the demand of each class that is admitted in any case; or the level, where that is lower.
const CLASS_MIN_FRACTION: f64 = 0.15;
/// For this time a key has the same random number at all nodes: clients that are rejected retry sooner.
const SHARED_RANDOM_PERIOD: Duration = Duration::from_secs(1);

/// What the result of an attempt shows of the load of the fleet. Connections that failed or broke show nothing of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadSignal {
    /// Answered in time.
    Answered,
    /// Answered late, or nearly so.
    Late,
    /// Not answered in time.
    TimedOut,
    /// Rejected because the server's queue was full.
    QueueFull,
}

impl LoadSignal {
    /// What it counts against the level, from 0 to 1.
    fn weight(self) -> f64 {
        match self {
            Self::Answered => 0.0,
            Self::Late => LATE_WEIGHT,
            Self::TimedOut => TIMED_OUT_WEIGHT,
            Self::QueueFull => QUEUE_FULL_WEIGHT,
        }
    }
}

/// One node's level of admission, and the evidence for it.
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionController {
    /// The admitted fraction of the demand.
    level: f64,
    /// Number of attempts that ended, decaying over [`EVIDENCE_TIME_CONSTANT`].
    attempts: f64,
    /// What they count against the level, decaying likewise.
    failures: f64,
    /// By class: the work of the requests, in the caller's unit, decaying likewise.
    demand: Vec<f64>,
    decay: ExponentialDecay,
}

impl Default for AdmissionController {
    /// Admits everything.
    fn default() -> Self {
        Self {
            level: 1.0,
            attempts: 0.0,
            failures: 0.0,
            demand: Vec::new(),
            decay: ExponentialDecay::default(),
        }
    }
}

impl AdmissionController {
    /// A controller at the level of another one, clamped to the valid range; at 1 where it is no finite number.
    pub fn at_level(level: f64) -> Self {
        let level = if level.is_finite() { level.clamp(LEVEL_MIN, 1.0) } else { 1.0 };
        Self { level, ..Self::default() }
    }

    /// The admitted fraction of the demand, from above 0 to 1.
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

    /// Counts the result of an attempt.
    pub fn record(&mut self, now: Timestamp, signal: LoadSignal) {
        self.decay(now);
        let weight = signal.weight();
        self.attempts += 1.0;
        self.failures += weight;
        let failure_rate = self.failures / (self.attempts + PRIOR_ANSWERS);
        let increase = (INCREASE * (1.0 - failure_rate / FAILURE_RATE_OF_MIN_INCREASE)).max(INCREASE_MIN);
        self.level =
            (self.level * (1.0 - DECREASE_FACTOR * weight) + (1.0 - weight) * increase).clamp(LEVEL_MIN, 1.0);
    }

    /// Whether a request of this class is admitted; it counts as demand either way. `work` has what a request of each class
    /// costs, all in one unit; `random` is the request's number between 0 and 1, uniformly distributed.
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
        random * self.demand[class] >= self.demand_to_reject(class, classes, work)
    }

    /// How much of the demand of this class is to be rejected: what is left to reject after the classes with less weight
    /// for their work, up to all but the minimum of the class.
    fn demand_to_reject(&self, class: usize, classes: &[RequestClass], work: &[f64]) -> f64 {
        let weight_for_work =
            |class: usize| classes[class].priority_weight / work[class].max(f64::MIN_POSITIVE);
        // Equal classes are rejected in their order.
        let rejected_before = (0..classes.len())
            .filter(|&other| (weight_for_work(other), other) < (weight_for_work(class), class));
        let rejectable_fraction = 1.0 - CLASS_MIN_FRACTION.min(self.level);
        let rejected = rejected_before.map(|other| self.demand[other] * rejectable_fraction).sum::<f64>();
        let to_reject = (1.0 - self.level) * self.demand.iter().sum::<f64>() - rejected;
        to_reject.clamp(0.0, self.demand[class] * rejectable_fraction)
    }

    fn decay(&mut self, now: Timestamp) {
        let factor = self.decay.factor(now, EVIDENCE_TIME_CONSTANT);
        self.demand.iter_mut().for_each(|demand| *demand *= factor);
        self.attempts *= factor;
        self.failures *= factor;
    }
}

/// The random number between 0 and 1 by which a request of this key and class is admitted at `now`. It is the same at all
/// nodes for a period, so that a client that is rejected by one is not admitted by the next, and the same load returns
/// through it; and another one in the next period, so that no key is rejected for good.
pub fn shared_random(now: Timestamp, key: u64, class: usize) -> f64 {
    let period = now.as_micros() / SHARED_RANDOM_PERIOD.as_micros() as u64;
    unit_interval(mix(key ^ mix(period) ^ class as u64))
}

/// Time until requests have other numbers by [`shared_random`].
pub fn time_to_next_period(now: Timestamp) -> Duration {
    let period = SHARED_RANDOM_PERIOD.as_micros() as u64;
    Duration::from_micros(period - now.as_micros() % period)
}
