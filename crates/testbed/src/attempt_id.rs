//! Maps attempts to the job numbers of cache servers.

use crate::judge::RequestNumber;
use crate::models::cache_server::JobId;

/// Exclusive upper bound of a request's attempt numbers. Requests have fewer attempts than this.
const MAX_ATTEMPTS: u64 = 32;

/// An attempt at a request. Attempts are numbered from 0 within a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct AttemptId {
    pub(crate) request: RequestNumber,
    pub(crate) attempt: u64,
}

impl AttemptId {
    /// Creates the id of an attempt. Attempts beyond the bound share the last number.
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
