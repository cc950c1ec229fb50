//! One attempt of a request at one server.

use super::connection::{ConnectError, WriteProgress};
use super::message::{ForwardedRequest, StartCondition};
use super::pool::{Server, Upstream};
use super::response::{exchange, Exchange};
use balancer_core::{AttemptStatus, CacheResult, LoadReport, ServerId};
use bytes::Bytes;
use thiserror::Error;
use tokio::time::{timeout_at, Instant};

/// How an attempt ended.
#[derive(Debug)]
pub struct AttemptResult {
    /// The outcome as the decisions judge it.
    pub status: AttemptStatus,
    /// Whether the server had the key cached, if its response has it.
    pub cache_result: Option<CacheResult>,
    /// The server's load report.
    pub load: LoadReport,
    /// The whole body of a response with status 200.
    pub body: Option<Bytes>,
}

impl AttemptResult {
    /// The result of an attempt that had no response.
    pub fn without_response(status: AttemptStatus) -> Self {
        Self { status, cache_result: None, load: LoadReport::default(), body: None }
    }
}

/// Why an attempt has no response.
#[derive(Debug, Error)]
enum AttemptError {
    /// Its start condition was no longer met before its first byte.
    #[error("the client no longer waits, or the attempt may no longer start")]
    MayNotStart,
    /// The server drains or is removed.
    #[error("the server takes no requests")]
    ServerNotReady,
    /// There was no connection.
    #[error(transparent)]
    Connect(#[from] ConnectError),
    /// No connection came up by the deadline.
    #[error("no connection by the attempt's deadline")]
    ConnectDeadline,
    /// The client's request makes no valid one for the server.
    #[error("not forwardable: {0}")]
    Request(#[from] hyper::http::Error),
    /// The server had closed the idle connection, and not a byte went out.
    #[error("the idle connection was closed by the server")]
    StaleConnection,
    /// The connection broke, or the deadline came, before the request was written whole.
    #[error("the request was not written whole")]
    NotWritten,
    /// The connection broke before the response was whole.
    #[error("the connection broke: {0}")]
    Broken(hyper::Error),
    /// The response was not whole by the deadline.
    #[error("no response by the attempt's deadline")]
    Deadline,
}

impl AttemptError {
    /// The outcome as the decisions judge it.
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
    /// Makes one attempt at a server. Ends when its response is whole, its connection breaks or `deadline`
    /// comes.
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
                // Nothing was sent, so another connection may carry it.
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
        // Either may also change while the connection is being made: the connection checks both once more
        // before the first byte.
        if !condition.is_met() {
            return Err(AttemptError::MayNotStart);
        }
        if !server.is_ready() {
            return Err(AttemptError::ServerNotReady);
        }
        let connecting = timeout_at(condition.limit(deadline), self.connection(server, condition));
        let mut connection = match connecting.await {
            Ok(connected) => connected?,
            // The end of a deduplication window is no fault of the server.
            Err(_) if !condition.is_met() => return Err(AttemptError::MayNotStart),
            Err(_) => return Err(AttemptError::ConnectDeadline),
        };
        if !condition.is_met() {
            // The next request may use it.
            server.add_idle(connection);
            return Err(AttemptError::MayNotStart);
        }
        let http_request = request.to_http(server.address(), deadline)?;
        connection.progress.reset(condition);
        let exchanged = timeout_at(deadline, exchange(&mut connection.sender, http_request)).await;
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

/// Why an exchange has no response, by how far its request was written. `broken` is the error of its
/// connection, or `None` if the deadline came.
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
