//! One poll of a discovery replica over HTTP, on a connection that is kept for the next one.

use super::error::PollError;
use super::log_text::ReplicaLabel;
use crate::endpoint_list::EndpointList;
use crate::input::DriverInput;
use crate::log::log;
use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::HOST;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::mpsc::UnboundedSender;
use tokio::task::AbortHandle;
use tokio::time::{timeout, timeout_at, Instant};

/// The time in which an answer that has begun is complete, beside the time that sending its lines takes.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);
/// The longest stall of a watch's answer after the wait of the watch.
const MAX_STALL: Duration = Duration::from_secs(1);
/// An answer that keeps arriving may take this multiple of the time that sending its lines should take.
const MAX_ALLOWANCE_FACTOR: u32 = 8;
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// The same for one of several replicas: a round of all of them must not take long.
const REPLICA_CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// The longest answer, in bytes.
const MAX_ANSWER_BYTES: usize = 8 << 20;

/// An open connection. Its task ends when this is dropped.
pub(super) struct Connection {
    sender: SendRequest<Empty<Bytes>>,
    task: AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// When an answer times out.
#[derive(Clone, Copy, Debug)]
pub(super) struct AnswerDeadlines {
    /// The time from the request in which the answer begins; without an allowance also that in which it ends.
    pub(super) timeout: Duration,
    /// How long sending the answer may take; `None` where discovery's capacity is not stated.
    pub(super) allowance: Option<Duration>,
}

impl AnswerDeadlines {
    /// When the next part of an answer must have arrived.
    fn next_part_by(self, is_watch: bool, sent_at: Instant, last_part_at: Instant) -> Instant {
        match (self.allowance, is_watch) {
            (None, _) => sent_at + self.timeout,
            // A change that a stalled watch withholds still counts as notified by a deadline, so the watch is given
            // up early and another replica polled.
            (Some(_), true) => {
                let stalled_at = (sent_at + self.timeout).max(last_part_at + MAX_STALL);
                (last_part_at + ANSWER_TIMEOUT).min(stalled_at)
            }
            (Some(allowance), false) => last_part_at + ANSWER_TIMEOUT + allowance,
        }
    }

    /// The time in which an answer that has begun must be complete.
    fn complete_within(self) -> Duration {
        let allowance = self.allowance.map(|allowance| allowance * MAX_ALLOWANCE_FACTOR);
        ANSWER_TIMEOUT + allowance.unwrap_or_default()
    }
}

/// What a watch requests.
#[derive(Clone, Copy, Debug)]
pub(super) struct WatchRange {
    /// The version after which changes are requested.
    pub(super) after: u64,
    /// How long discovery is requested to wait for changes.
    pub(super) wait: Duration,
}

/// One poll.
pub(super) struct PollRequest {
    /// Where the replica listens.
    pub(super) address: SocketAddr,
    /// Whether there are other replicas.
    pub(super) has_neighbours: bool,
    /// `None` for a snapshot.
    pub(super) watch: Option<WatchRange>,
    pub(super) deadlines: AnswerDeadlines,
    /// How often the part of an answer that has arrived is read.
    pub(super) partial_read_interval: Duration,
    pub(super) label: ReplicaLabel,
    pub(super) driver_inputs: UnboundedSender<DriverInput>,
}

impl PollRequest {
    /// Sends the request and reads the answer into `body`. After an error `body` holds what has arrived of it.
    ///
    /// While the answer is incomplete, endpoints that it reports as leaving are passed on to the driver: what was written
    /// counts as notified, although the rest may never arrive.
    pub(super) async fn send(
        &self,
        connection: &mut Option<Connection>,
        body: &mut Vec<u8>,
    ) -> Result<(), PollError> {
        let sent_at = Instant::now();
        if self.deadlines.allowance.is_none() {
            let answered = timeout(self.deadlines.timeout, async {
                let response = self.receive_head(connection).await?;
                self.receive_body(response, sent_at, body).await
            });
            return answered.await.unwrap_or(Err(PollError::TimedOut));
        }
        let response = timeout(self.deadlines.timeout, self.receive_head(connection)).await;
        self.receive_body(response.unwrap_or(Err(PollError::TimedOut))?, sent_at, body).await
    }

    async fn receive_head(
        &self,
        connection: &mut Option<Connection>,
    ) -> Result<Response<Incoming>, PollError> {
        // A kept connection may have been closed by discovery meanwhile, which is no failure of this poll.
        let is_open = match connection {
            Some(connection) => connection.sender.ready().await.is_ok(),
            None => false,
        };
        if !is_open {
            *connection = None;
        }
        let connection = match connection {
            Some(connection) => connection,
            None => connection.insert(self.connect().await?),
        };
        let path = match self.watch {
            Some(WatchRange { after, wait }) => {
                format!("/v1/servers?after={after}&wait_ms={}", wait.as_millis())
            }
            None => "/v1/servers".to_owned(),
        };
        let request = Request::get(path).header(HOST, self.address.to_string()).body(Empty::new())?;
        let response = connection.sender.send_request(request).await?;
        match response.status() {
            StatusCode::OK => Ok(response),
            status => Err(PollError::Status(status)),
        }
    }

    async fn receive_body(
        &self,
        response: Response<Incoming>,
        sent_at: Instant,
        received: &mut Vec<u8>,
    ) -> Result<(), PollError> {
        let mut body = Limited::new(response.into_body(), MAX_ANSWER_BYTES);
        let mut last_part_at = Instant::now();
        let complete_by = last_part_at + self.deadlines.complete_within();
        let mut next_partial_read = last_part_at + self.partial_read_interval;
        let mut partially_read = 0;
        loop {
            match timeout_at(next_partial_read, body.frame()).await {
                Ok(Some(frame)) => {
                    if let Ok(data) = frame?.into_data() {
                        received.extend_from_slice(&data);
                    }
                    last_part_at = Instant::now();
                }
                Ok(None) => return Ok(()),
                Err(_) => {
                    let part_by = self.deadlines.next_part_by(self.watch.is_some(), sent_at, last_part_at);
                    if Instant::now() >= complete_by.min(part_by) {
                        return Err(PollError::TimedOut);
                    }
                    next_partial_read = Instant::now() + self.partial_read_interval;
                    if received.len() > partially_read {
                        self.report_leaving(received);
                        partially_read = received.len();
                    }
                }
            }
        }
    }

    /// Reports to the driver which endpoints are leaving, according to the part of an answer that has arrived.
    fn report_leaving(&self, received: &[u8]) {
        let leaving = EndpointList::read_leaving(received);
        if !leaving.ids.is_empty() {
            report_leaving(&self.label, &self.driver_inputs, leaving.ids);
        }
    }

    async fn connect(&self) -> Result<Connection, PollError> {
        let limit = if self.has_neighbours { REPLICA_CONNECT_TIMEOUT } else { CONNECT_TIMEOUT };
        let stream = timeout(limit, TcpStream::connect(self.address)).await;
        let stream = stream.unwrap_or(Err(std::io::ErrorKind::TimedOut.into()))?;
        stream.set_nodelay(true)?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
        let task = tokio::task::spawn_local(async move {
            // An error shows at the current poll or at the next one.
            let _ = connection.await;
        });
        Ok(Connection { sender, task: task.abort_handle() })
    }
}

/// Reports endpoints that are leaving to the driver.
pub(super) fn report_leaving(
    label: &ReplicaLabel,
    driver_inputs: &UnboundedSender<DriverInput>,
    ids: BTreeSet<String>,
) {
    log!("{label}: {} servers reported as leaving in an incomplete or rejected answer, avoided", ids.len());
    // The driver lives as long as the node.
    let _ = driver_inputs.send(DriverInput::EndpointsLeaving(ids));
}
