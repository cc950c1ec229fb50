//! Admission control: how much of the demand a node admits, and which requests it rejects first.
//!
//! In a fleet of hundreds of nodes, each node sends a given server a request about every ten seconds, which
//! is too rarely to know how full that server is. The results of *all* attempts of the node, to any server,
//! are however a fair sample of the attempts of all nodes. The controller therefore keeps a single level for
//! the whole fleet.
//!
//! The level decreases by a fraction of itself with each attempt that was late or found the queue full, and
//! increases by an additive step with each answer in time (Chiu and Jain, "Analysis of the Increase and
//! Decrease Algorithms for Congestion Avoidance", 1989: nodes that share a bottleneck converge to fair shares
//! without communication). The level changes with each result and not with time, so the level at which
//! increases and decreases balance depends little on the number of results that a node sees: N nodes together
//! admit about as much as a single node that sees all results. A node that sees few results converges more
//! slowly, and `PRIOR_ANSWERS` have more influence on it.
//!
//! Requests with the least priority weight per unit of work are rejected first, so that the available
//! capacity serves as much weight as possible. A minimum fraction of each class is always admitted, because
//! the results of every class are needed as evidence.

use crate::decay::ExponentialDecay;
use crate::hashing::{mix, unit_interval};
use crate::settings::RequestClass;
use crate::time::Timestamp;
use std::time::Duration;

/// Time constant with which evidence decays.
const EVIDENCE_TIME_CONSTANT: Duration = Duration::from_secs(2);
/// Fraction by which a full queue decreases the level.
const DECREASE_FRACTION: f64 = 0.06;
/// Increase of the level with each answer in time at a failure rate of zero. The increase shrinks linearly
/// with the failure rate and reaches `MIN_INCREASE` at about `FAILURE_RATE_OF_MIN_INCREASE`.
const INCREASE: f64 = 0.04;
const MIN_INCREASE: f64 = 0.003;
const FAILURE_RATE_OF_MIN_INCREASE: f64 = 0.12;
/// Weight of each result in decreasing the level. A late answer usually comes from a server that is up and
/// overloaded. A timeout may also come from a server that is down or unreachable, in which case rejecting
/// requests protects no server.
const LATE_WEIGHT: f64 = 0.7;
const TIMED_OUT_WEIGHT: f64 = 0.15;
const QUEUE_FULL_WEIGHT: f64 = 1.0;
/// Number of answers in time that the failure rate assumes in addition to the recorded attempts, so that a
/// node's first timeout does not reject requests.
const PRIOR_ANSWERS: f64 = 5.0;
/// Minimum of the level.
const MIN_LEVEL: f64 = 0.1;
/// Fraction of the demand of each class that is always admitted. The level itself applies where it is lower.
const MIN_CLASS_FRACTION: f64 = 0.15;
/// Time for which all nodes use the same random number for a key. Rejected clients retry sooner than this.
const SHARED_RANDOM_PERIOD: Duration = Duration::from_secs(1);

/// What the result of an attempt indicates about the load of the fleet. Failed or broken connections indicate
/// nothing and have no variant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadSignal {
    /// Answered in time.
    Answered,
    /// Answered after the latency objective or close to it.
    Late,
    /// Not answered in time.
    TimedOut,
    /// Rejected because the server's queue was full.
    QueueFull,
}

impl LoadSignal {
    /// Returns the weight of the signal in decreasing the level, from 0 to 1.
    fn weight(self) -> f64 {
        match self {
            Self::Answered => 0.0,
            Self::Late => LATE_WEIGHT,
            Self::TimedOut => TIMED_OUT_WEIGHT,
            Self::QueueFull => QUEUE_FULL_WEIGHT,
        }
    }
}

/// Tracks the admission level of one node and the evidence for it.
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionController {
    /// The admitted fraction of the demand.
    level: f64,
    /// Number of attempts that ended, decaying over [`EVIDENCE_TIME_CONSTANT`].
    attempts: f64,
    /// Sum of the weights of their results, decaying likewise.
    failures: f64,
    /// Work of the requests of each class, in the caller's unit, decaying likewise.
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
    /// Returns a controller that starts at `level`, clamped to the valid range. A level that is not finite
    /// counts as 1.
    pub fn at_level(level: f64) -> Self {
        let level = if level.is_finite() { level.clamp(MIN_LEVEL, 1.0) } else { 1.0 };
        Self { level, ..Self::default() }
    }

    /// Returns the admitted fraction of the demand, greater than 0 and at most 1.
    pub fn level(&self) -> f64 {
        self.level
    }

    /// Maps the demand to the classes of new settings. `previous_indices` holds the previous index of each
    /// class, or `None` if the class was added.
    pub fn reassign_classes(&mut self, previous_indices: &[Option<usize>]) {
        let demand = |previous: &Option<usize>| {
            previous.and_then(|index| self.demand.get(index).copied()).unwrap_or(0.0)
        };
        self.demand = previous_indices.iter().map(demand).collect();
    }

    /// Records the result of an attempt and adjusts the level.
    pub fn record(&mut self, now: Timestamp, signal: LoadSignal) {
        self.decay(now);
        let weight = signal.weight();
        self.attempts += 1.0;
        self.failures += weight;
        let failure_rate = self.failures / (self.attempts + PRIOR_ANSWERS);
        let increase = (INCREASE * (1.0 - failure_rate / FAILURE_RATE_OF_MIN_INCREASE)).max(MIN_INCREASE);
        self.level = (self.level * (1.0 - DECREASE_FRACTION * weight) + (1.0 - weight) * increase)
            .clamp(MIN_LEVEL, 1.0);
    }

    /// Returns whether a request of this class is admitted. The request counts as demand in either case.
    /// `work` holds the cost of a request of each class, in the same unit for all classes. `random` is a
    /// number drawn for the request, uniformly distributed between 0 and 1.
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

    /// Returns how much of the demand of this class is to be rejected: the amount that remains to be rejected
    /// after the classes with less weight per unit of work, limited so that the minimum of this class is
    /// still admitted.
    fn demand_to_reject(&self, class: usize, classes: &[RequestClass], work: &[f64]) -> f64 {
        let weight_per_work =
            |class: usize| classes[class].priority_weight / work[class].max(f64::MIN_POSITIVE);
        // Classes of equal weight per unit of work are rejected in their order in the settings.
        let rejected_before = (0..classes.len())
            .filter(|&other| (weight_per_work(other), other) < (weight_per_work(class), class));
        let rejectable_fraction = 1.0 - MIN_CLASS_FRACTION.min(self.level);
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

/// Returns the random number between 0 and 1 that decides on the admission of a request with this key and
/// class at `now`.
///
/// All nodes use the same number during a period. Otherwise a client that one node rejects would be admitted
/// by the next node, and the rejected load would come back that way. The number changes with each period, so
/// that no key is rejected permanently.
pub fn shared_random(now: Timestamp, key: u64, class: usize) -> f64 {
    let period = now.as_micros() / SHARED_RANDOM_PERIOD.as_micros() as u64;
    unit_interval(mix(key ^ mix(period) ^ class as u64))
}

/// Returns the time until the numbers of [`shared_random`] change.
pub fn time_to_next_period(now: Timestamp) -> Duration {
    let period = SHARED_RANDOM_PERIOD.as_micros() as u64;
    Duration::from_micros(period - now.as_micros() % period)
}
