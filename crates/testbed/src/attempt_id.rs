//! The number of an attempt as a job of a cache server.

use crate::judge::RequestNumber;
use crate::models::cache_server::JobId;

/// The bound of the numbers of a request's attempts; requests have fewer.
const MAX_ATTEMPTS: u64 = 32;

/// An attempt at a request, from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct AttemptId {
    pub(crate) request: RequestNumber,
    pub(crate) attempt: u64,
}

impl AttemptId {
    /// The attempt of this number; those beyond the bound share the last number.
    pub(crate) fn new(request: RequestNumber, attempt: u64) -> Self {
        Self { request, attempt: attempt.min(MAX_ATTEMPTS - 1) }
    }

    pub(crate) fn job(self) -> JobId {
        self.request * MAX_ATTEMPTS + self.attempt
    }

    pub(crate) fn of_job(job: JobId) -> Self {
        Self { request: job / MAX_ATTEMPTS, attempt: job % MAX_ATTEMPTS }
    }
}
