//! Polls of a discovery replica over HTTP, on a connection that is kept between polls.

use super::error::PollError;
use super::log_text::ReplicaLabel;
use crate::endpoint_list::{EndpointList, RESERVED_PER_BYTE};
use crate::input::DriverInput;
use crate::log::log;
use crate::memory::{MemoryAccount, Reservation};
use balancer_core::memory_budget::{MemoryExhausted, MemoryUse};
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

/// The time within which a response that has begun must be complete, in addition to the time for sending its
/// lines.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum stall of a watch's response after the end of the watch's wait.
const MAX_STALL: Duration = Duration::from_secs(1);
/// A response that keeps arriving may take up to this multiple of the expected time for sending its lines.
const MAX_ALLOWANCE_FACTOR: u32 = 8;
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// The connect timeout if there are several replicas. It is shorter, so that trying all of them does not take
/// long.
const REPLICA_CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum size of a response, in bytes.
const MAX_RESPONSE_BYTES: usize = 8 << 20;

/// The part of a response that has arrived, with its memory.
pub(super) struct ReceivedResponse {
    bytes: Vec<u8>,
    memory: Reservation,
}

impl ReceivedResponse {
    /// Creates an empty response, whose memory is reserved in `account` as it arrives.
    pub(super) fn new(account: &MemoryAccount) -> Self {
        Self { bytes: Vec::new(), memory: account.start(MemoryUse::List) }
    }

    /// Returns the bytes that have arrived.
    pub(super) fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    fn append(&mut self, data: &[u8]) -> Result<(), MemoryExhausted> {
        self.memory.grow_to((self.bytes.len() + data.len()) * RESERVED_PER_BYTE)?;
        self.bytes.extend_from_slice(data);
        Ok(())
    }
}

/// An open connection. Dropping it aborts its task.
pub(super) struct Connection {
    sender: SendRequest<Empty<Bytes>>,
    task: AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// The timeouts of a response.
#[derive(Clone, Copy, Debug)]
pub(super) struct ResponseDeadlines {
    /// The time from the request until the response must begin. Without an allowance, the response must also
    /// be complete by then.
    pub(super) timeout: Duration,
    /// The expected time for sending the response; `None` if the capacity of discovery is not configured.
    pub(super) allowance: Option<Duration>,
}

impl ResponseDeadlines {
    /// Returns the instant by which the next part of the response must arrive.
    fn next_part_by(self, is_watch: bool, sent_at: Instant, last_part_at: Instant) -> Instant {
        match (self.allowance, is_watch) {
            (None, _) => sent_at + self.timeout,
            // A change counts as notified at its deadline even if a stalled watch withholds it, so the watch
            // is abandoned early and another replica polled.
            (Some(_), true) => {
                let stalled_at = (sent_at + self.timeout).max(last_part_at + MAX_STALL);
                (last_part_at + RESPONSE_TIMEOUT).min(stalled_at)
            }
            (Some(allowance), false) => last_part_at + RESPONSE_TIMEOUT + allowance,
        }
    }

    /// Returns the time within which a response that has begun must be complete.
    fn complete_within(self) -> Duration {
        let allowance = self.allowance.map(|allowance| allowance * MAX_ALLOWANCE_FACTOR);
        RESPONSE_TIMEOUT + allowance.unwrap_or_default()
    }
}

/// The parameters of a watch.
#[derive(Clone, Copy, Debug)]
pub(super) struct WatchRange {
    /// The version after which changes are requested.
    pub(super) after: u64,
    /// The time that discovery should wait for changes.
    pub(super) wait: Duration,
}

/// A poll of a replica.
pub(super) struct PollRequest {
    /// The address on which the replica listens.
    pub(super) address: SocketAddr,
    /// Whether other replicas are configured.
    pub(super) has_other_replicas: bool,
    /// The parameters of a watch; `None` for a request for a snapshot.
    pub(super) watch: Option<WatchRange>,
    pub(super) deadlines: ResponseDeadlines,
    /// How often the received part of an incomplete response is parsed.
    pub(super) partial_read_interval: Duration,
    pub(super) label: ReplicaLabel,
    pub(super) driver_inputs: UnboundedSender<DriverInput>,
}

impl PollRequest {
    /// Sends the request and reads the response into `body`. After an error, `body` holds the part of the
    /// response that has arrived.
    ///
    /// While the response is incomplete, the endpoints that it lists as draining or removed are reported to
    /// the driver: they count as notified once discovery has written them, even if the rest never arrives.
    pub(super) async fn send(
        &self,
        connection: &mut Option<Connection>,
        body: &mut ReceivedResponse,
    ) -> Result<(), PollError> {
        let sent_at = Instant::now();
        if self.deadlines.allowance.is_none() {
            let completed = timeout(self.deadlines.timeout, async {
                let response = self.receive_head(connection).await?;
                self.receive_body(response, sent_at, body).await
            });
            return completed.await.unwrap_or(Err(PollError::TimedOut));
        }
        let response = timeout(self.deadlines.timeout, self.receive_head(connection)).await;
        self.receive_body(response.unwrap_or(Err(PollError::TimedOut))?, sent_at, body).await
    }

    async fn receive_head(
        &self,
        connection: &mut Option<Connection>,
    ) -> Result<Response<Incoming>, PollError> {
        // Discovery may have closed the kept connection in the meantime, which must not fail this poll.
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
        received: &mut ReceivedResponse,
    ) -> Result<(), PollError> {
        let mut body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES);
        let mut last_part_at = Instant::now();
        let complete_by = last_part_at + self.deadlines.complete_within();
        let mut next_partial_parse = last_part_at + self.partial_read_interval;
        let mut parsed_len = 0;
        loop {
            match timeout_at(next_partial_parse, body.frame()).await {
                Ok(Some(frame)) => {
                    if let Ok(data) = frame?.into_data() {
                        received.append(&data)?;
                    }
                    last_part_at = Instant::now();
                }
                Ok(None) => return Ok(()),
                Err(_) => {
                    let next_part_by =
                        self.deadlines.next_part_by(self.watch.is_some(), sent_at, last_part_at);
                    if Instant::now() >= complete_by.min(next_part_by) {
                        return Err(PollError::TimedOut);
                    }
                    next_partial_parse = Instant::now() + self.partial_read_interval;
                    if received.bytes.len() > parsed_len {
                        self.report_leaving(&received.bytes);
                        parsed_len = received.bytes.len();
                    }
                }
            }
        }
    }

    /// Reports the endpoints that the received part of a response lists as draining or removed to the driver.
    fn report_leaving(&self, received: &[u8]) {
        let leaving = EndpointList::read_leaving(received);
        if !leaving.ids.is_empty() {
            report_leaving(&self.label, &self.driver_inputs, leaving.ids);
        }
    }

    async fn connect(&self) -> Result<Connection, PollError> {
        let limit = if self.has_other_replicas { REPLICA_CONNECT_TIMEOUT } else { CONNECT_TIMEOUT };
        let stream = timeout(limit, TcpStream::connect(self.address)).await;
        let stream = stream.unwrap_or(Err(std::io::ErrorKind::TimedOut.into()))?;
        stream.set_nodelay(true)?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
        let task = tokio::task::spawn_local(async move {
            // An error is detected by the current poll or by the next one.
            let _ = connection.await;
        });
        Ok(Connection { sender, task: task.abort_handle() })
    }
}

/// Reports endpoints that are draining or removed to the driver.
pub(super) fn report_leaving(
    label: &ReplicaLabel,
    driver_inputs: &UnboundedSender<DriverInput>,
    ids: BTreeSet<String>,
) {
    log!(
        "{label}: {} servers reported as draining or removed in an incomplete or rejected response; \
         they get no new requests",
        ids.len()
    );
    // The send cannot fail while the node is running, because the driver runs for as long as the node.
    let _ = driver_inputs.send(DriverInput::EndpointsLeaving(ids));
}
