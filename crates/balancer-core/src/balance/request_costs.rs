//! What requests cost: how long the answers of each class take, and how much work a request is.

use crate::learned_state::{non_negative, MAX_VALUE};
use crate::names::Name;
use crate::requests::Request;
use crate::settings::RequestClass;
use std::time::Duration;

/// An answer counts as late past this fraction of its latency objective, before clients see it late.
const IN_TIME_FRACTION: f64 = 0.7;
/// Number of requests over which the mean work is averaged.
const MEAN_WORK_REQUESTS: f64 = 100.0;
/// Number of answers over which the mean latency of a class is averaged.
const MEAN_LATENCY_ANSWERS: f64 = 20.0;
/// Least mean work that is divided by, in seconds.
const MEAN_WORK_MIN_SECONDS: f64 = 1e-9;

/// Running means of what requests cost.
#[derive(Debug)]
pub struct RequestCosts {
    /// By class, in seconds; at first the class's latency objective.
    mean_latency: Vec<f64>,
    /// Expected work of a request, in seconds.
    mean_work: f64,
}

impl RequestCosts {
    /// Before the first request.
    pub fn new(classes: &[RequestClass]) -> Self {
        Self { mean_latency: classes.iter().map(objective_seconds).collect(), mean_work: 0.0 }
    }

    /// Mean latency by class, in seconds.
    pub fn mean_latencies(&self) -> &[f64] {
        &self.mean_latency
    }

    /// Mean latency of a class.
    pub fn mean_latency(&self, class: usize) -> Duration {
        Duration::from_secs_f64(self.mean_latency[class])
    }

    /// Counts the latency of an answer.
    pub fn record_latency(&mut self, class: usize, latency: Duration) {
        let mean = &mut self.mean_latency[class];
        *mean += (latency.as_secs_f64() - *mean) / MEAN_LATENCY_ANSWERS;
    }

    /// The time within which an answer is in time: a fraction of the latency objective, a larger one for a
    /// request of more than mean work. Otherwise work that is long by itself would look like a queue, and
    /// idle servers would be sent less.
    pub fn in_time_limit(&self, request: &Request, class: &RequestClass) -> Duration {
        let relative =
            IN_TIME_FRACTION * expected_seconds(request) / self.mean_work.max(MEAN_WORK_MIN_SECONDS);
        class.latency_objective.mul_f64(relative.clamp(IN_TIME_FRACTION, 1.0))
    }

    /// Counts the expected work of a request.
    pub fn record_work(&mut self, request: &Request) {
        self.mean_work += (expected_seconds(request) - self.mean_work) / MEAN_WORK_REQUESTS;
    }

    /// Moves the means to the classes of new settings. `former` has the position that each of them had
    /// before, if it was there.
    pub fn reassign_classes(&mut self, classes: &[RequestClass], former: &[Option<usize>]) {
        let mean_latency = |(class, former): (&RequestClass, &Option<usize>)| {
            former.map_or(objective_seconds(class), |index| self.mean_latency[index])
        };
        self.mean_latency = classes.iter().zip(former).map(mean_latency).collect();
    }

    /// Mean latency of each of these classes, for a successor.
    pub fn learned_latencies(&self, names: &[Name]) -> Vec<(String, f64)> {
        names.iter().zip(&self.mean_latency).map(|(name, mean)| (name.to_string(), *mean)).collect()
    }

    /// Mean work, for a successor.
    pub fn learned_work(&self) -> f64 {
        self.mean_work
    }

    /// Restores the means of a predecessor; a class that it did not know keeps its own.
    pub fn restore(&mut self, latencies: &[(String, f64)], work: f64, names: &[Name]) {
        for (name, mean) in names.iter().zip(&mut self.mean_latency) {
            if let Some((_, learned)) = latencies.iter().find(|(other, _)| other == name.as_str()) {
                *mean = non_negative(*learned, MAX_VALUE);
            }
        }
        self.mean_work = non_negative(work, MAX_VALUE);
    }
}

/// Expected work of a request, in seconds; 0 where none is stated.
fn expected_seconds(request: &Request) -> f64 {
    request.expected_work.map_or(0.0, |work| work.as_secs_f64())
}

fn objective_seconds(class: &RequestClass) -> f64 {
    class.latency_objective.as_secs_f64()
}
