//! Requests that have no final answer yet, and their attempts.

use super::*;

/// Epochs of the breakers that judge an attempt, at the time it was sent.
#[derive(Clone, Copy, Debug)]
pub struct Epochs {
    pub server: u32,
    pub class: u32,
    pub origin: u32,
}

#[derive(Debug)]
pub struct Attempt {
    pub entry: Endpoint,
    pub sent: Timestamp,
    pub epochs: Epochs,
    pub likely_miss: bool,
    pub status: Option<AttemptStatus>,
}

#[derive(Debug)]
pub struct PendingRequest {
    pub request: Request,
    /// Those that it was taken under: they judge it to its end, whatever holds for later ones.
    pub settings: Arc<Settings>,
    /// Its class among those of the present settings, for what is counted by class.
    pub class_index: usize,
    pub attempts: Vec<Attempt>,
    /// Between 0 and 1, evenly distributed over requests: decides where limits are no whole number.
    pub random: f64,
    pub arrived: Timestamp,
    pub done: bool,
}

impl PendingRequest {
    pub fn class(&self) -> &RequestClass {
        &self.settings.classes[class_index(&self.settings, &self.request)]
    }

    pub fn outstanding(&self) -> usize {
        self.attempts.iter().filter(|attempt| attempt.status.is_none()).count()
    }

    /// Whether its last attempt was a likely miss that failed, perhaps since the origin did.
    pub fn fetch_failed(&self) -> bool {
        let last = self.attempts.last();
        last.is_some_and(|attempt| attempt.likely_miss && attempt.status == Some(AttemptStatus::Failed))
    }

    /// When it may not be sent again any more, if some time bounds that.
    pub fn repeat_ends(&self) -> Option<Timestamp> {
        let Idempotency::WithKey { window, .. } = self.class().idempotency else { return None };
        self.may_have_run().map(|earlier| earlier.sent + window).min()
    }

    pub fn may_have_run(&self) -> impl Iterator<Item = &Attempt> {
        self.attempts.iter().filter(|attempt| !attempt.status.is_some_and(AttemptStatus::never_ran))
    }

    /// Whether rule 2 (no request has its effect twice) lets it go to this server now.
    pub fn may_go_to(&self, entry: &Endpoint, now: Timestamp) -> bool {
        let effect = self.class().idempotency;
        self.may_have_run().all(|earlier| match effect {
            Idempotency::Idempotent => true,
            Idempotency::NotIdempotent => false,
            Idempotency::WithKey { scope, window } => {
                now < earlier.sent + window
                    && match scope {
                        DeduplicationScope::All => true,
                        DeduplicationScope::Zone => earlier.entry.zone == entry.zone,
                        DeduplicationScope::Cell => earlier.entry.cell == entry.cell,
                    }
            }
        })
    }
}

/// Position of a request's class in settings whose last class is for requests of none.
pub fn class_index(settings: &Settings, request: &Request) -> usize {
    let other = settings.classes.len() - 1;
    request.class.map_or(other, |id| id.0.min(other))
}

pub fn key_of(request: &Request) -> u64 {
    request.key.unwrap_or_else(|| hash_text(request.id.as_str()))
}
