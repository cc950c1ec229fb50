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
    /// The server, as it was listed when the attempt was sent.
    pub endpoint: Endpoint,
    /// When it was sent.
    pub sent_at: Timestamp,
    /// Epochs of the server's breakers when it was sent.
    pub epochs: Epochs,
    /// Epoch of the origin's breaker when it was sent.
    pub origin_epoch: u32,
    /// Whether the server most likely did not hold the value when it was sent.
    pub probable_miss: bool,
    /// How it ended; `None` while it is in flight.
    pub status: Option<AttemptStatus>,
}

impl Attempt {
    /// The attempt with how it ended, for the fetch limit.
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
    /// The request.
    pub request: Request,
    /// The settings under which it arrived. They hold for it to its end, whatever holds for later requests.
    pub settings: Arc<Settings>,
    /// Its class among those of the present settings, for what is counted by class.
    pub class_index: usize,
    /// Its attempts, in the order in which they were sent.
    pub attempts: Vec<Attempt>,
    /// Its random number, from 0 to 1 and evenly distributed over requests. It decides where limits are no
    /// whole number.
    pub random: f64,
    /// When it arrived.
    pub arrived_at: Timestamp,
    /// Whether it needs no further attempt: it has its final answer, or its client has gone.
    pub finished: bool,
}

impl PendingRequest {
    /// Its class.
    pub fn class(&self) -> &RequestClass {
        &self.settings.classes[class_index(&self.settings, &self.request)]
    }

    /// Whether an attempt of it is in flight.
    pub fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.status.is_none())
    }

    /// How its last attempt ended; `None` before the first attempt and while the last one is in flight.
    pub fn last_status(&self) -> Option<AttemptStatus> {
        self.attempts.last().and_then(|attempt| attempt.status)
    }

    /// Whether an attempt of it ended with a miss.
    pub fn has_missed(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.status == Some(AttemptStatus::Miss))
    }

    /// Whether its last attempt was a probable miss that failed, perhaps since the origin did.
    pub fn last_fetch_failed(&self) -> bool {
        let last = self.attempts.last();
        last.is_some_and(|attempt| attempt.probable_miss && attempt.status == Some(AttemptStatus::Failed))
    }

    /// End of its idempotency window, from which on it may not be sent again; `None` where no time bounds
    /// that.
    pub fn retry_window_end(&self) -> Option<Timestamp> {
        let Idempotency::WithKey { window, .. } = self.class().idempotency else { return None };
        self.attempts_that_may_have_run().map(|earlier| earlier.sent_at + window).min()
    }

    /// Whether a client may send it again after a rejection without its effect happening twice.
    pub fn is_safe_to_reject(&self) -> bool {
        match self.class().idempotency {
            Idempotency::Idempotent | Idempotency::WithKey { scope: DeduplicationScope::All, .. } => true,
            Idempotency::WithKey { .. } | Idempotency::NotIdempotent => {
                self.attempts_that_may_have_run().next().is_none()
            }
        }
    }

    /// Whether it may be sent to this server now without its effect happening twice.
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

/// Whether `endpoint` recognises the idempotency key of an attempt at `earlier`.
fn is_in_scope(scope: DeduplicationScope, earlier: &Endpoint, endpoint: &Endpoint) -> bool {
    match scope {
        DeduplicationScope::All => true,
        DeduplicationScope::Zone => earlier.zone == endpoint.zone,
        DeduplicationScope::Cell => earlier.cell == endpoint.cell,
    }
}

/// Position of a request's class in settings whose last class is for requests of no class.
pub fn class_index(settings: &Settings, request: &Request) -> usize {
    let unnamed = settings.classes.len() - 1;
    request.class.map_or(unnamed, |id| id.0.min(unnamed))
}

/// The key by which a request is placed: a request without one gets its own.
pub fn placement_key(request: &Request) -> u64 {
    request.key.unwrap_or_else(|| hash_text(request.id.as_str()))
}
