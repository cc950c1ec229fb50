//! The result of the judge.

use serde::Serialize;

/// A violation of a rule.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Violation {
    /// The rule. 1: one final answer in time. 2: a repeat only where it is safe. 3: nothing new after a drain. 4: no cold
    /// server overloaded.
    pub rule: u8,
    /// Seconds from the start of the run.
    pub at_s: f64,
    /// What happened.
    #[serde(rename = "what")]
    pub description: String,
    /// The course of the request, for a violation that concerns one.
    pub trace: Option<String>,
}

/// The figures of one second of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct SecondFigures {
    /// Operations that clients started.
    #[serde(rename = "asked")]
    pub operations: u32,
    /// Their priority weight.
    #[serde(rename = "worth")]
    pub weight: f64,
    /// The weight of the answers to these operations.
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
    /// The service of the operations that started in this second.
    pub fn service(&self) -> f64 {
        ratio(self.served_weight, self.weight)
    }
}

/// The served fraction of an offered weight; 1 if nothing was offered.
pub(super) fn ratio(served: f64, offered: f64) -> f64 {
    if offered > 0.0 {
        served / offered
    } else {
        1.0
    }
}

/// The name of a class and its service.
pub type ClassService = (String, f64);

/// The service figures: the weight of timely answers as a fraction, from 0 to 1, of the weight of all operations.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Service {
    /// Over the whole run.
    #[serde(rename = "whole")]
    pub overall: f64,
    /// The lowest of any [`WINDOW`](super::WINDOW), and the second in which that begins.
    pub worst_window: (f64, u64),
    /// By class, in the script's order.
    pub classes: Vec<ClassService>,
    /// The lowest of any class.
    pub worst_class: f64,
}

/// The judgement of a run.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Verdict {
    /// The number of violations of each rule, from the first to the fourth.
    #[serde(rename = "broken")]
    pub violation_counts: [u64; 4],
    /// The first violations.
    #[serde(rename = "breaches")]
    pub violations: Vec<Violation>,
    /// The service.
    pub service: Service,
    /// Operations that clients started.
    #[serde(rename = "asked")]
    pub operations: u64,
    /// Requests that nodes accepted.
    #[serde(rename = "taken")]
    pub accepted: u64,
    /// Final answers: served, rejected, failed and mismatched.
    pub answers: [u64; 4],
    /// Attempts.
    pub attempts: u64,
    /// Executions beyond the first one of a request: of idempotent classes, of those with an idempotency key, and of those
    /// that are not idempotent.
    pub repeats: [u64; 3],
    /// By second.
    pub seconds: Vec<SecondFigures>,
}
