//! Why a poll failed.

use crate::endpoint_list::EndpointListError;
use balancer_core::discovery::{ListError, PollOutcome};
use hyper::StatusCode;
use std::time::Duration;
use thiserror::Error;

/// Why a poll failed.
#[derive(Debug, Error)]
pub(super) enum PollError {
    /// No connection came up.
    #[error("{0}")]
    Connect(#[from] std::io::Error),
    /// The connection broke, or the answer was not HTTP.
    #[error("{0}")]
    Http(#[from] hyper::Error),
    #[error("{0}")]
    Request(#[from] hyper::http::Error),
    /// The answer broke off, or was too long.
    #[error("{0}")]
    Body(#[from] Box<dyn std::error::Error + Send + Sync>),
    #[error("answered {0}")]
    Status(StatusCode),
    #[error("{error}; it begins with \"{excerpt}\"")]
    Malformed { error: EndpointListError, excerpt: String },
    #[error("list rejected: {0}")]
    Rejected(#[from] ListError),
    #[error("no answer in time")]
    TimedOut,
}

impl PollError {
    /// The outcome of the poll, which was sent `took` ago.
    pub(super) fn outcome(&self, took: Duration) -> PollOutcome {
        match self {
            Self::Status(StatusCode::SERVICE_UNAVAILABLE) => PollOutcome::Overloaded { took },
            Self::TimedOut => PollOutcome::TimedOut,
            Self::Connect(_) => PollOutcome::Unreachable { took },
            Self::Http(_)
            | Self::Request(_)
            | Self::Body(_)
            | Self::Status(_)
            | Self::Malformed { .. }
            | Self::Rejected(_) => PollOutcome::Failed,
        }
    }
}
