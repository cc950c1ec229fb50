//! Errors of polls.

use crate::endpoint_list::EndpointListError;
use balancer_core::discovery::{ListError, PollOutcome};
use balancer_core::memory_budget::MemoryExhausted;
use hyper::StatusCode;
use std::time::Duration;
use thiserror::Error;

/// The reason why a poll failed.
#[derive(Debug, Error)]
pub(super) enum PollError {
    /// No connection could be opened.
    #[error("{0}")]
    Connect(#[from] std::io::Error),
    /// The connection broke, or the response was not valid HTTP.
    #[error("{0}")]
    Http(#[from] hyper::Error),
    #[error("{0}")]
    Request(#[from] hyper::http::Error),
    /// The response body was truncated or too long.
    #[error("{0}")]
    Body(#[from] Box<dyn std::error::Error + Send + Sync>),
    /// No memory is left for the response.
    #[error("the response does not fit: {0}")]
    NoMemory(#[from] MemoryExhausted),
    #[error("unexpected HTTP status {0}, expected 200")]
    Status(StatusCode),
    #[error("{error}; it begins with \"{excerpt}\"")]
    Malformed { error: EndpointListError, excerpt: String },
    #[error("list rejected: {0}")]
    Rejected(#[from] ListError),
    #[error("timed out waiting for the response")]
    TimedOut,
}

impl PollError {
    /// Returns the outcome of a poll that was sent `took` ago.
    pub(super) fn outcome(&self, took: Duration) -> PollOutcome {
        match self {
            Self::Status(StatusCode::SERVICE_UNAVAILABLE) => PollOutcome::Overloaded { took },
            Self::TimedOut => PollOutcome::TimedOut,
            Self::Connect(_) => PollOutcome::Unreachable { took },
            Self::Http(_) | Self::Body(_) | Self::Status(_) => PollOutcome::Unanswered { took },
            Self::Request(_) | Self::NoMemory(_) | Self::Malformed { .. } | Self::Rejected(_) => {
                PollOutcome::Failed
            }
        }
    }
}
