//! The judge's verdict on a run.

use serde::Serialize;

/// A violation of a rule.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Violation {
    /// Number of the rule. 1: one final answer in time. 2: repeats only where they are safe. 3: no new
    /// requests after a drain. 4: no overload of a cold server.
    pub rule: u8,
    /// Seconds from the start of the run.
    pub at_s: f64,
    /// The violation in words.
    #[serde(rename = "what")]
    pub description: String,
    /// The course of the request, if the violation concerns one.
    pub trace: Option<String>,
}

/// The figures of one second of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct SecondFigures {
    /// Operations that clients started.
    #[serde(rename = "asked")]
    pub operations: u32,
    /// Priority weight of these operations.
    #[serde(rename = "worth")]
    pub weight: f64,
    /// Weight earned by the answers to these operations.
    #[serde(rename = "got")]
    pub served_weight: f64,
    /// Requests that nodes accepted.
    #[serde(rename = "taken")]
    pub accepted: u32,
    /// Requests that nodes rejected.
    #[serde(rename = "refused")]
    pub rejected: u32,
    /// Requests that failed.
    pub failed: u32,
    /// Attempts that nodes sent.
    pub attempts: u32,
}

impl SecondFigures {
    /// Returns the service of the operations that started in this second.
    pub fn service(&self) -> f64 {
        ratio(self.served_weight, self.weight)
    }
}

/// Returns the served fraction of an offered weight; 1 if nothing was offered.
pub(super) fn ratio(served: f64, offered: f64) -> f64 {
    if offered > 0.0 {
        served / offered
    } else {
        1.0
    }
}

/// Name and service of a class.
pub type ClassService = (String, f64);

/// Service figures. Service is the weight earned by timely answers, as a fraction from 0 to 1 of the weight
/// of all operations.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Service {
    /// Service over the whole run.
    #[serde(rename = "whole")]
    pub overall: f64,
    /// Lowest service of any [`SERVICE_WINDOW`](super::SERVICE_WINDOW), and the second in which that window
    /// begins.
    pub worst_window: (f64, u64),
    /// Service of each class, in the script's order.
    pub classes: Vec<ClassService>,
    /// Lowest service of any class.
    pub worst_class: f64,
}

/// The judgement of a run.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Verdict {
    /// Number of violations of each rule, from 1 to 4.
    #[serde(rename = "broken")]
    pub violation_counts: [u64; 4],
    /// Descriptions of the first violations.
    #[serde(rename = "breaches")]
    pub violations: Vec<Violation>,
    /// Service figures of the run.
    pub service: Service,
    /// Operations that clients started.
    #[serde(rename = "asked")]
    pub operations: u64,
    /// Requests that nodes accepted.
    #[serde(rename = "taken")]
    pub accepted: u64,
    /// Number of final answers: served, rejected, failed and mismatched.
    pub answers: [u64; 4],
    /// Attempts that nodes sent.
    pub attempts: u64,
    /// Repeated executions of requests: of idempotent classes, of classes with an idempotency key, and of
    /// classes that are not idempotent.
    pub repeats: [u64; 3],
    /// Figures of each second.
    pub seconds: Vec<SecondFigures>,
}
