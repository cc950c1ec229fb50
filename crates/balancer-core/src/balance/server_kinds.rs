//! How fast each kind of server is, where the weights of discovery's list do not reflect it: by how long
//! answers take relative to their expected work. Otherwise servers of a slow kind would get as many keys as
//! fast ones, and queue.

use crate::learned_state::{non_negative, LearnedKind};
use crate::names::Name;
use std::time::Duration;

/// Answers of relative latency 1 that each kind starts with.
const PRIOR_ANSWERS: f64 = 10.0;
/// Most answers over which the relative latency of a kind is averaged.
const MAX_ANSWERS: f64 = 200.0;
/// Least relative latency that is counted.
const RELATIVE_LATENCY_MIN: f64 = 1e-3;
/// Bound of the logarithm of a relative latency that is taken over from a predecessor.
const MAX_RESTORED_LOG: f64 = 10.0;

/// The kinds of servers that have been on the list.
#[derive(Debug, Default)]
pub struct ServerKinds {
    kinds: Vec<ServerKind>,
}

/// The relative latency of a kind of servers: what its answers take, divided by their expected work.
#[derive(Debug)]
struct ServerKind {
    name: Option<Name>,
    /// Mean of the logarithm, so that a few long answers do not decide.
    log_relative_latency: f64,
    /// Number of answers that the mean is taken over.
    answers: f64,
}

impl ServerKinds {
    /// Index of the kind with this name, added where it is new.
    pub fn index_of(&mut self, name: Option<&Name>) -> usize {
        let known = self.kinds.iter().position(|kind| kind.name.as_ref() == name);
        known.unwrap_or_else(|| {
            self.kinds.push(ServerKind {
                name: name.cloned(),
                log_relative_latency: 0.0,
                answers: PRIOR_ANSWERS,
            });
            self.kinds.len() - 1
        })
    }

    /// Speed of a kind relative to one whose answers take their expected work.
    pub fn speed(&self, index: usize) -> f64 {
        (-self.kinds[index].log_relative_latency).exp()
    }

    /// Counts the latency of an answer. `expected_seconds` is its expected work, above 0.
    pub fn record(&mut self, index: usize, latency: Duration, expected_seconds: f64) {
        let kind = &mut self.kinds[index];
        kind.answers = (kind.answers + 1.0).min(MAX_ANSWERS);
        let relative = (latency.as_secs_f64() / expected_seconds).max(RELATIVE_LATENCY_MIN);
        kind.log_relative_latency += (relative.ln() - kind.log_relative_latency) / kind.answers;
    }

    /// The kinds, for a successor.
    pub fn learned(&self) -> Vec<LearnedKind> {
        let learned = |kind: &ServerKind| LearnedKind {
            name: kind.name.as_ref().map(Name::to_string),
            log_relative_latency: kind.log_relative_latency,
            answers: kind.answers,
        };
        self.kinds.iter().map(learned).collect()
    }

    /// Restores what a predecessor learned of the kinds that are known here.
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
