//! Estimates the speed of each kind of server from the latency of its answers relative to their expected
//! work, where the weights of the endpoint list do not reflect speed. Without the estimate, servers of a slow
//! kind would get as many keys as fast ones, and requests would queue there.

use crate::learned_state::{non_negative, LearnedKind};
use crate::names::Name;
use std::time::Duration;

/// Number of assumed answers of relative latency 1 with which the mean of each kind starts.
const PRIOR_ANSWERS: f64 = 10.0;
/// Maximum number of answers over which the relative latency of a kind is averaged.
const MAX_ANSWERS: f64 = 200.0;
/// Minimum relative latency. Lower values are raised to it.
const MIN_RELATIVE_LATENCY: f64 = 1e-3;
/// Bound on the logarithm of a relative latency that is restored from a predecessor process.
const MAX_RESTORED_LOG: f64 = 10.0;

/// The kinds of servers that have been on the endpoint list.
#[derive(Debug, Default)]
pub struct ServerKinds {
    kinds: Vec<ServerKind>,
}

/// The relative latency of a kind of server: the latency of its answers divided by their expected work.
#[derive(Debug)]
struct ServerKind {
    name: Option<Name>,
    /// Mean of the logarithm of the relative latency. The logarithm reduces the influence of a few slow
    /// answers.
    log_relative_latency: f64,
    /// Number of answers in the mean.
    answers: f64,
}

impl ServerKinds {
    /// Returns the index of the kind with this name, and adds the kind if it is new.
    pub fn index_of(&mut self, name: Option<&Name>) -> usize {
        let existing = self.kinds.iter().position(|kind| kind.name.as_ref() == name);
        existing.unwrap_or_else(|| {
            self.kinds.push(ServerKind {
                name: name.cloned(),
                log_relative_latency: 0.0,
                answers: PRIOR_ANSWERS,
            });
            self.kinds.len() - 1
        })
    }

    /// Returns the speed of a kind relative to one whose answers take exactly their expected work.
    pub fn speed(&self, index: usize) -> f64 {
        (-self.kinds[index].log_relative_latency).exp()
    }

    /// Records the latency of an answer. `expected_seconds` is the expected work of the request, greater than
    /// 0.
    pub fn record(&mut self, index: usize, latency: Duration, expected_seconds: f64) {
        let kind = &mut self.kinds[index];
        kind.answers = (kind.answers + 1.0).min(MAX_ANSWERS);
        let relative_latency = (latency.as_secs_f64() / expected_seconds).max(MIN_RELATIVE_LATENCY);
        kind.log_relative_latency += (relative_latency.ln() - kind.log_relative_latency) / kind.answers;
    }

    /// Returns the kinds, for a successor process.
    pub fn learned(&self) -> Vec<LearnedKind> {
        let learned = |kind: &ServerKind| LearnedKind {
            name: kind.name.as_ref().map(Name::to_string),
            log_relative_latency: kind.log_relative_latency,
            answers: kind.answers,
        };
        self.kinds.iter().map(learned).collect()
    }

    /// Restores what a predecessor process learned about the kinds that are known here.
    pub fn restore(&mut self, learned: &[LearnedKind]) {
        for kind in &mut self.kinds {
            let name = kind.name.as_ref().map(Name::as_str);
            let Some(learned) = learned.iter().find(|other| other.name.as_deref() == name) else { continue };
            let log = learned.log_relative_latency;
            kind.log_relative_latency =
                if log.is_finite() { log.clamp(-MAX_RESTORED_LOG, MAX_RESTORED_LOG) } else { 0.0 };
            kind.answers = non_negative(learned.answers, MAX_ANSWERS).max(PRIOR_ANSWERS);
        }
    }
}
