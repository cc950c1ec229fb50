//! Requests that have no final answer yet, and their attempts.

use super::fetch_limit::AttemptResult;
use super::outlier_detection::Epochs;
use crate::endpoints::Endpoint;
use crate::hashing::hash_text;
use crate::requests::{AttemptStatus, Request};
use crate::settings::{DeduplicationScope, Idempotency, RequestClass, Settings};
use crate::time::Timestamp;
use std::sync::Arc;

/// An attempt to serve a request.
#[derive(Debug)]
pub struct Attempt {
    /// List entry of the server at the time the attempt was sent.
    pub endpoint: Endpoint,
    /// When the attempt was sent.
    pub sent_at: Timestamp,
    /// Epochs of the server's breakers when the attempt was sent.
    pub epochs: Epochs,
    /// Epoch of the origin's breaker when the attempt was sent.
    pub origin_epoch: u32,
    /// Whether the server most likely had not cached the value when the attempt was sent.
    pub probable_miss: bool,
    /// How the attempt ended; `None` while it is in flight.
    pub status: Option<AttemptStatus>,
}

impl Attempt {
    /// Returns the result of the attempt for the fetch limit.
    pub fn ended(&self, status: AttemptStatus) -> AttemptResult {
        AttemptResult { sent_at: self.sent_at, probable_miss: self.probable_miss, status }
    }

    fn may_have_run(&self) -> bool {
        !self.status.is_some_and(AttemptStatus::never_ran)
    }
}

/// A request without a final answer.
#[derive(Debug)]
pub struct PendingRequest {
    /// The request as the client sent it.
    pub request: Request,
    /// Settings in force when the request arrived. They apply to the request until it is finished, even if
    /// the settings change.
    pub settings: Arc<Settings>,
    /// Index of the request's class in the current settings, used for counts by class.
    pub class_index: usize,
    /// Attempts in the order in which they were sent.
    pub attempts: Vec<Attempt>,
    /// Random number of the request, uniformly distributed from 0 to 1. It rounds limits that are not whole
    /// numbers up or down.
    pub random: f64,
    /// When the request arrived.
    pub arrived_at: Timestamp,
    /// Whether no further attempt is needed, because the request has its final answer or its client has gone.
    pub finished: bool,
}

impl PendingRequest {
    /// Returns the request's class in the settings under which it arrived.
    pub fn class(&self) -> &RequestClass {
        &self.settings.classes[class_index(&self.settings, &self.request)]
    }

    /// Returns whether an attempt is in flight.
    pub fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.status.is_none())
    }

    /// Returns the status of the last attempt, or `None` before the first attempt and while the last one is
    /// in flight.
    pub fn last_status(&self) -> Option<AttemptStatus> {
        self.attempts.last().and_then(|attempt| attempt.status)
    }

    /// Returns whether an attempt ended with a miss.
    pub fn has_missed(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.status == Some(AttemptStatus::Miss))
    }

    /// Returns whether the last attempt was a probable miss that failed, possibly because the origin failed.
    pub fn last_fetch_failed(&self) -> bool {
        let last = self.attempts.last();
        last.is_some_and(|attempt| attempt.probable_miss && attempt.status == Some(AttemptStatus::Failed))
    }

    /// Returns the end of the idempotency window, from which on the request must not be sent again, or `None`
    /// if there is no time limit.
    pub fn retry_window_end(&self) -> Option<Timestamp> {
        let Idempotency::WithKey { window, .. } = self.class().idempotency else { return None };
        self.attempts_that_may_have_run().map(|earlier| earlier.sent_at + window).min()
    }

    /// Returns whether the client may retry the request after a rejection without its effect happening twice.
    pub fn is_safe_to_reject(&self) -> bool {
        match self.class().idempotency {
            Idempotency::Idempotent | Idempotency::WithKey { scope: DeduplicationScope::All, .. } => true,
            Idempotency::WithKey { .. } | Idempotency::NotIdempotent => {
                self.attempts_that_may_have_run().next().is_none()
            }
        }
    }

    /// Returns whether the request may be sent to this server now without its effect happening twice.
    pub fn may_go_to(&self, endpoint: &Endpoint, now: Timestamp) -> bool {
        let idempotency = self.class().idempotency;
        self.attempts_that_may_have_run().all(|earlier| match idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NotIdempotent => false,
            Idempotency::WithKey { scope, window } => {
                now < earlier.sent_at + window && is_in_scope(scope, &earlier.endpoint, endpoint)
            }
        })
    }

    fn attempts_that_may_have_run(&self) -> impl Iterator<Item = &Attempt> {
        self.attempts.iter().filter(|attempt| attempt.may_have_run())
    }
}

/// Returns whether `endpoint` recognizes the idempotency key of an attempt at `earlier`.
fn is_in_scope(scope: DeduplicationScope, earlier: &Endpoint, endpoint: &Endpoint) -> bool {
    match scope {
        DeduplicationScope::All => true,
        DeduplicationScope::Zone => earlier.zone == endpoint.zone,
        DeduplicationScope::Cell => earlier.cell == endpoint.cell,
    }
}

/// Returns the index of a request's class in `settings`, whose last class is for requests without a class.
pub fn class_index(settings: &Settings, request: &Request) -> usize {
    let unnamed = settings.classes.len() - 1;
    request.class.map_or(unnamed, |id| id.0.min(unnamed))
}

/// Returns the key that determines the server of a request. For a request without a key it is the hash of the
/// request's id.
pub fn placement_key(request: &Request) -> u64 {
    request.key.unwrap_or_else(|| hash_text(request.id.as_str()))
}
