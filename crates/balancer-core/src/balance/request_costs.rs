//! Estimates what requests cost: the latency of answers by class, and the mean work of a request.

use crate::learned_state::{non_negative, MAX_VALUE};
use crate::names::Name;
use crate::requests::Request;
use crate::settings::RequestClass;
use std::time::Duration;

/// Fraction of the latency objective after which an answer counts as late, so that lateness is detected
/// before clients see it.
const IN_TIME_FRACTION: f64 = 0.7;
/// Number of requests over which the mean work is averaged.
const MEAN_WORK_REQUESTS: f64 = 100.0;
/// Number of answers over which the mean latency of a class is averaged.
const MEAN_LATENCY_ANSWERS: f64 = 20.0;
/// Minimum mean work that is used as a divisor, in seconds.
const MIN_MEAN_WORK_SECONDS: f64 = 1e-9;

/// Running means of latency and work.
#[derive(Debug)]
pub struct RequestCosts {
    /// Mean latency by class, in seconds. Starts at the class's latency objective.
    mean_latency: Vec<f64>,
    /// Mean expected work of a request, in seconds.
    mean_work: f64,
}

impl RequestCosts {
    /// Creates the costs before the first request.
    pub fn new(classes: &[RequestClass]) -> Self {
        Self { mean_latency: classes.iter().map(objective_seconds).collect(), mean_work: 0.0 }
    }

    /// Returns the mean latency by class, in seconds.
    pub fn mean_latencies(&self) -> &[f64] {
        &self.mean_latency
    }

    /// Returns the mean latency of a class.
    pub fn mean_latency(&self, class: usize) -> Duration {
        Duration::from_secs_f64(self.mean_latency[class])
    }

    /// Adds the latency of an answer to the mean of its class.
    pub fn record_latency(&mut self, class: usize, latency: Duration) {
        let mean = &mut self.mean_latency[class];
        *mean += (latency.as_secs_f64() - *mean) / MEAN_LATENCY_ANSWERS;
    }

    /// Returns the latency up to which an answer counts as in time: a fraction of the latency objective. The
    /// fraction is larger for a request of more than mean work. Otherwise a request that takes long because
    /// of its own work would seem to have been queued, and idle servers would be sent fewer requests.
    pub fn in_time_limit(&self, request: &Request, class: &RequestClass) -> Duration {
        let relative =
            IN_TIME_FRACTION * expected_seconds(request) / self.mean_work.max(MIN_MEAN_WORK_SECONDS);
        class.latency_objective.mul_f64(relative.clamp(IN_TIME_FRACTION, 1.0))
    }

    /// Adds the expected work of a request to the mean.
    pub fn record_work(&mut self, request: &Request) {
        self.mean_work += (expected_seconds(request) - self.mean_work) / MEAN_WORK_REQUESTS;
    }

    /// Maps the means to the classes of new settings. `previous_indices` holds the previous index of each
    /// class, or `None` if the class was added.
    pub fn reassign_classes(&mut self, classes: &[RequestClass], previous_indices: &[Option<usize>]) {
        let mean_latency = |(class, previous_index): (&RequestClass, &Option<usize>)| {
            previous_index.map_or(objective_seconds(class), |index| self.mean_latency[index])
        };
        self.mean_latency = classes.iter().zip(previous_indices).map(mean_latency).collect();
    }

    /// Returns the mean latency of each of these classes, for a successor process.
    pub fn learned_latencies(&self, names: &[Name]) -> Vec<(String, f64)> {
        names.iter().zip(&self.mean_latency).map(|(name, mean)| (name.to_string(), *mean)).collect()
    }

    /// Returns the mean work, for a successor process.
    pub fn learned_work(&self) -> f64 {
        self.mean_work
    }

    /// Restores the means of a predecessor process. Classes that it did not know keep their mean.
    pub fn restore(&mut self, latencies: &[(String, f64)], work: f64, names: &[Name]) {
        for (name, mean) in names.iter().zip(&mut self.mean_latency) {
            if let Some((_, learned)) = latencies.iter().find(|(other, _)| other == name.as_str()) {
                *mean = non_negative(*learned, MAX_VALUE);
            }
        }
        self.mean_work = non_negative(work, MAX_VALUE);
    }
}

/// Returns the expected work of a request in seconds, or 0 if none is stated.
fn expected_seconds(request: &Request) -> f64 {
    request.expected_work.map_or(0.0, |work| work.as_secs_f64())
}

fn objective_seconds(class: &RequestClass) -> f64 {
    class.latency_objective.as_secs_f64()
}
