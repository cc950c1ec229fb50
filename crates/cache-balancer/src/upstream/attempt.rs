//! Forwards a request to one server in a single attempt.

use super::connection::{ConnectError, WriteProgress};
use super::message::{ForwardedRequest, StartCondition};
use super::pool::{Server, Upstream};
use super::response::{exchange, Exchange};
use crate::message_body::MessageBody;
use balancer_core::{AttemptStatus, CacheResult, LoadReport, ServerId};
use thiserror::Error;
use tokio::time::{timeout_at, Instant};

/// How an attempt ended.
#[derive(Debug)]
pub struct AttemptResult {
    /// The status that is reported to the balancer.
    pub status: AttemptStatus,
    /// Whether the server had the key cached, if its response says so.
    pub cache_result: Option<CacheResult>,
    /// The load report in the server's response.
    pub load: LoadReport,
    /// The whole body of a response with status 200.
    pub body: Option<MessageBody>,
}

impl AttemptResult {
    /// Creates the result of an attempt without a response.
    pub fn without_response(status: AttemptStatus) -> Self {
        Self { status, cache_result: None, load: LoadReport::default(), body: None }
    }
}

/// The reason why an attempt has no response.
#[derive(Debug, Error)]
enum AttemptError {
    /// The start condition was no longer met before the first byte was written.
    #[error("the client is not waiting any more, or the attempt may not start any more")]
    MayNotStart,
    /// The server is draining or has been removed.
    #[error("the server is draining or has been removed")]
    ServerNotReady,
    /// No connection could be opened.
    #[error(transparent)]
    Connect(#[from] ConnectError),
    /// The connection was not established by the deadline.
    #[error("the connection was not established by the attempt's deadline")]
    ConnectDeadline,
    /// No valid request for the server can be built from the client's request.
    #[error("the request cannot be forwarded: {0}")]
    Request(#[from] hyper::http::Error),
    /// The server closed the idle connection before any byte of the request was written.
    #[error("the server closed the idle connection")]
    StaleConnection,
    /// The connection broke or the deadline passed before the request was completely written.
    #[error("the request was not completely written")]
    NotWritten,
    /// The connection broke before the response was complete.
    #[error("the connection broke: {0}")]
    Broken(hyper::Error),
    /// The response was not complete by the deadline.
    #[error("no complete response by the attempt's deadline")]
    Deadline,
}

impl AttemptError {
    /// Returns the status that is reported to the balancer.
    fn status(&self) -> AttemptStatus {
        match self {
            Self::MayNotStart => AttemptStatus::NotSent,
            Self::Connect(error) if error.is_local() => AttemptStatus::NotSent,
            Self::ServerNotReady
            | Self::Connect(_)
            | Self::ConnectDeadline
            | Self::Request(_)
            | Self::StaleConnection
            | Self::NotWritten => AttemptStatus::ConnectError,
            Self::Broken(_) => AttemptStatus::Reset,
            Self::Deadline => AttemptStatus::TimedOut,
        }
    }
}

impl Upstream {
    /// Makes one attempt at a server. The attempt ends when its response is complete, its connection breaks
    /// or `deadline` passes.
    pub async fn attempt(
        &self,
        server: &ServerId,
        request: &ForwardedRequest,
        condition: StartCondition,
        deadline: Instant,
    ) -> AttemptResult {
        let Some(server) = self.server(server) else {
            return AttemptResult::without_response(AttemptStatus::ConnectError);
        };
        loop {
            match self.attempt_on_connection(&server, request, &condition, deadline).await {
                Ok(result) => return result,
                // Nothing was sent, so the request can be sent on another connection.
                Err(AttemptError::StaleConnection) => {}
                Err(error) => return AttemptResult::without_response(error.status()),
            }
        }
    }

    async fn attempt_on_connection(
        &self,
        server: &Server,
        request: &ForwardedRequest,
        condition: &StartCondition,
        deadline: Instant,
    ) -> Result<AttemptResult, AttemptError> {
        // The start condition and the state of the server can still change while the connection is being
        // established. The connection checks both again before it writes the first byte.
        if !condition.is_met() {
            return Err(AttemptError::MayNotStart);
        }
        if !server.is_ready() {
            return Err(AttemptError::ServerNotReady);
        }
        let limit = condition.limit(deadline);
        let connecting = timeout_at(limit, self.acquire_connection(server, condition, limit));
        let mut connection = match connecting.await {
            Ok(connected) => connected?,
            // The end of a deduplication window is not a failure of the server.
            Err(_) if !condition.is_met() => return Err(AttemptError::MayNotStart),
            Err(_) => return Err(AttemptError::ConnectDeadline),
        };
        if !condition.is_met() {
            // The connection is unused and available to the next request.
            server.add_idle(connection);
            return Err(AttemptError::MayNotStart);
        }
        let http_request = request.to_http(server.address(), deadline)?;
        connection.progress.reset(condition);
        let exchanged =
            timeout_at(deadline, exchange(&mut connection.sender, http_request, self.limit())).await;
        match exchanged {
            Ok(Ok(Exchange { result, reusable })) => {
                if reusable {
                    server.add_idle(connection);
                }
                Ok(result)
            }
            Ok(Err(broken)) => Err(exchange_error(&connection.progress, condition, Some(broken))),
            Err(_) => Err(exchange_error(&connection.progress, condition, None)),
        }
    }
}

/// Returns the error of an exchange without a response, depending on how much of the request was written.
/// `broken` is the connection's error, or `None` if the deadline passed.
fn exchange_error(
    progress: &WriteProgress,
    condition: &StartCondition,
    broken: Option<hyper::Error>,
) -> AttemptError {
    let started = progress.started.get();
    match broken {
        _ if !started && !condition.is_met() => AttemptError::MayNotStart,
        Some(_) if progress.reused.get() && !started => AttemptError::StaleConnection,
        Some(error) if progress.complete.get() => AttemptError::Broken(error),
        None if progress.complete.get() => AttemptError::Deadline,
        _ => AttemptError::NotWritten,
    }
}
