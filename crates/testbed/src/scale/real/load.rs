//! The load on the real nodes: clients that send requests on persistent connections and record the results.

use super::recorder::{lock, Recorder};
use super::response_body;
use crate::judge::{FinalAnswer, Observation, RequestNumber, TOLERANCE};
use crate::random::RandomSource;
use crate::script::Class;
use balancer_core::Idempotency;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::sync::{watch, Semaphore};
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::{sleep_until, timeout_at, Instant};

/// Maximum number of requests in flight at one node, each on a connection of its own.
const MAX_IN_FLIGHT: usize = 32;
/// Maximum number of requests of one run. The judge keeps a record of each of them.
const MAX_REQUESTS: u64 = 500_000;
/// Maximum time between two requests, which is longer than any run.
const MAX_GAP: Duration = Duration::from_secs(365 * 24 * 3_600);
/// Number of keys that requests choose from.
const KEYS: u64 = 64;
/// Maximum length of a response body, in bytes.
const MAX_ANSWER_BYTES: usize = 64 << 10;

/// The state of a node at its clients.
#[derive(Debug)]
pub(super) struct Node {
    state: Mutex<NodeState>,
    in_flight: Arc<Semaphore>,
}

#[derive(Debug, Default)]
struct NodeState {
    /// The address at which the node listens; `None` while it does not run.
    address: Option<SocketAddr>,
    /// The number of times that the node was killed. Requests that were in flight at a kill are excused.
    kills: u64,
    idle: Vec<Connection>,
}

impl Node {
    /// Creates a node that has not started.
    pub(super) fn new() -> Self {
        Self { state: Mutex::default(), in_flight: Arc::new(Semaphore::new(MAX_IN_FLIGHT)) }
    }

    /// Records that the node listens at this address.
    pub(super) fn set_started(&self, address: SocketAddr) {
        lock(&self.state).address = Some(address);
    }

    /// Records that the node is about to be killed. Clients still send requests to it.
    pub(super) fn set_being_killed(&self) {
        lock(&self.state).kills += 1;
    }

    /// Records that the node has ended; clients send it no more requests.
    pub(super) fn set_ended(&self) {
        let mut state = lock(&self.state);
        state.address = None;
        state.idle.clear();
    }

    fn kills(&self) -> u64 {
        lock(&self.state).kills
    }

    fn is_running(&self) -> bool {
        lock(&self.state).address.is_some()
    }

    /// Takes an idle connection, if there is one, and returns it with the address of the node. Returns `None`
    /// if the node does not run.
    fn take_idle(&self) -> Option<(SocketAddr, Option<Connection>)> {
        let mut state = lock(&self.state);
        let address = state.address?;
        state.idle.retain(|connection| !connection.sender.is_closed());
        Some((address, state.idle.pop()))
    }

    /// Keeps a connection for later requests, unless the node has ended since.
    fn put_back(&self, connection: Connection) {
        let mut state = lock(&self.state);
        if state.address == Some(connection.address) {
            state.idle.push(connection);
        }
    }
}

/// A connection to a node, which is closed when it is dropped.
#[derive(Debug)]
struct Connection {
    address: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Statistics of the clients, in addition to the observations for the judge.
#[derive(Debug, Default)]
pub(super) struct Statistics {
    /// Requests that were not sent because too many were in flight at their node or the node did not run.
    pub(super) not_sent: AtomicU64,
    /// The longest delay between the due time of a request and its start at the client, in microseconds.
    pub(super) longest_delay_us: AtomicU64,
    /// Whether [`MAX_REQUESTS`] were sent, after which the load ended.
    pub(super) load_ran_out: AtomicBool,
    /// The latencies of served requests, in microseconds.
    pub(super) latencies_us: Mutex<Vec<u32>>,
}

impl Statistics {
    fn record_delay(&self, delay: Duration) {
        let delay = u64::try_from(delay.as_micros()).unwrap_or(u64::MAX);
        self.longest_delay_us.fetch_max(delay, Ordering::Relaxed);
    }

    fn count_not_sent(&self) {
        self.not_sent.fetch_add(1, Ordering::Relaxed);
    }
}

/// The clients of all nodes.
#[derive(Debug)]
pub(super) struct Clients {
    /// Requests per second over all nodes.
    pub(super) rate: f64,
    /// The classes of requests.
    pub(super) classes: Vec<Class>,
    /// The source of random values.
    pub(super) random: RandomSource,
    /// The nodes that requests are sent to.
    pub(super) nodes: Arc<Vec<Node>>,
    /// Records observations for the judge.
    pub(super) recorder: Arc<Recorder>,
    /// The statistics of the clients.
    pub(super) statistics: Arc<Statistics>,
}

impl Clients {
    /// Sends requests at the configured rate until `stop` is set, then waits for the requests in flight.
    pub(super) async fn run(self: Arc<Self>, mut stop: watch::Receiver<bool>) {
        let mut in_flight = JoinSet::new();
        let mut due = Instant::now();
        for number in 0..MAX_REQUESTS {
            let random = self.random.derive(number);
            due += self.gap(random.derive(1));
            tokio::select! {
                () = sleep_until(due) => {}
                // The load also stops if the sender is dropped.
                _ = stop.wait_for(|stop| *stop) => break,
            }
            self.statistics.record_delay(due.elapsed());
            self.statistics.load_ran_out.store(number + 1 == MAX_REQUESTS, Ordering::Relaxed);
            let node = (random.derive(2).bits() % self.nodes.len() as u64) as usize;
            let Ok(permit) = self.nodes[node].in_flight.clone().try_acquire_owned() else {
                self.statistics.count_not_sent();
                continue;
            };
            let clients = self.clone();
            in_flight.spawn(async move {
                clients.send_random_request(node, random).await;
                drop(permit);
            });
            while in_flight.try_join_next().is_some() {}
        }
        // Each request ends by its deadline.
        while in_flight.join_next().await.is_some() {}
    }

    /// Returns a random time until the next request; at rate 0, [`MAX_GAP`].
    fn gap(&self, random: RandomSource) -> Duration {
        Duration::try_from_secs_f64(random.exponential() / self.rate).map_or(MAX_GAP, |gap| gap.min(MAX_GAP))
    }

    /// Returns the index of a random class, weighted by the shares of the classes.
    fn random_class(&self, random: RandomSource) -> usize {
        let total: f64 = self.classes.iter().map(|class| class.share).sum();
        let mut remaining = random.uniform() * total;
        let found = self.classes.iter().position(|class| {
            remaining -= class.share;
            remaining < 0.0
        });
        found.unwrap_or(0)
    }

    /// Sends a random request to a node and waits for the answer.
    async fn send_random_request(&self, node: usize, random: RandomSource) {
        if !self.nodes[node].is_running() {
            return self.statistics.count_not_sent();
        }
        let class_index = self.random_class(random.derive(3));
        let class = &self.classes[class_index];
        let work = class.mean_work.mul_f64(random.derive(4).log_normal(class.work_variation));
        let request = OutgoingRequest {
            number: self.recorder.start_request(class_index, work),
            node,
            class: class_index,
            key: random.derive(5).bits() % KEYS,
            expires_at: Instant::now() + class.deadline,
        };
        // After this time the client disconnects; an answer that was due and has not arrived counts as lost.
        let _ = timeout_at(request.expires_at + TOLERANCE, self.exchange(&request)).await;
    }

    /// Sends a request, retries it if an idle connection turns out closed, and records the answer.
    async fn exchange(&self, request: &OutgoingRequest) {
        let node = &self.nodes[request.node];
        let kills = node.kills();
        let mut accepted = false;
        loop {
            let Some((address, idle)) = node.take_idle() else { break };
            let reused = idle.is_some();
            let connection = match idle {
                Some(connection) => Some(connection),
                None => connect(address).await,
            };
            let Some(mut connection) = connection else { break };
            if connection.sender.ready().await.is_err() {
                continue;
            }
            if !std::mem::replace(&mut accepted, true) {
                self.record_accepted(request);
            }
            match self.send(&mut connection, request).await {
                Ok(answer) => {
                    let request = request.number;
                    self.recorder.record(|at| Observation::Answered { request, at, answer });
                    return node.put_back(connection);
                }
                // A node may close an idle connection while a request is on its way. The request is sent
                // again.
                Err(_) if reused => {}
                // The answer is lost unless the node was killed in the meantime.
                Err(_) if node.kills() == kills => return,
                Err(_) => break,
            }
        }
        if accepted {
            // The node was killed, or no longer listened when the request was sent again, so it never
            // accepted the request.
            let request = request.number;
            self.recorder.record(|_| Observation::ClientDisconnected { request });
        }
    }

    fn record_accepted(&self, request: &OutgoingRequest) {
        let (number, node) = (request.number, request.node);
        let time_left = request.expires_at.saturating_duration_since(Instant::now());
        self.recorder.record(|at| Observation::RequestAccepted {
            request: number,
            operation: number,
            node,
            at,
            expires_at: at + time_left,
        });
    }

    async fn send(
        &self,
        connection: &mut Connection,
        request: &OutgoingRequest,
    ) -> Result<FinalAnswer, NoAnswer> {
        let sent_at = Instant::now();
        let response = connection.sender.send_request(self.http_request(request)?).await?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES).collect().await;
        // A truncated answer counts as failed, not as lost, since the client can tell that it is incomplete.
        let Ok(body) = body.map(|body| body.to_bytes()) else { return Ok(FinalAnswer::Failed) };
        let answer = match status {
            StatusCode::OK if body == response_body(request.number) => FinalAnswer::Served,
            StatusCode::OK => FinalAnswer::Mismatched,
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => FinalAnswer::Rejected,
            _ => FinalAnswer::Failed,
        };
        if answer == FinalAnswer::Served {
            let latency = u32::try_from(sent_at.elapsed().as_micros()).unwrap_or(u32::MAX);
            lock(&self.statistics.latencies_us).push(latency);
        }
        Ok(answer)
    }

    fn http_request(&self, request: &OutgoingRequest) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
        let class = &self.classes[request.class];
        let id = format!("{:x}", request.number);
        let time_left = request.expires_at.saturating_duration_since(Instant::now());
        let body = if class.write { format!("value of {id}") } else { String::new() };
        let mut builder = Request::builder()
            .method(if class.write { Method::PUT } else { Method::GET })
            .uri(format!("/api/{:016x}", request.key))
            .header("host", "service.internal")
            .header("req-id", &id)
            .header("req-kind", &class.name)
            .header("req-deadline-ms", time_left.as_millis() as u64);
        if matches!(class.idempotency, Idempotency::WithKey { .. }) {
            builder = builder.header("idempotency-key", &id);
        }
        builder.body(Full::new(Bytes::from(body)))
    }
}

/// A request to a node.
#[derive(Debug)]
struct OutgoingRequest {
    number: RequestNumber,
    node: usize,
    class: usize,
    key: u64,
    /// When the client's timeout expires.
    expires_at: Instant,
}

/// An error that leaves a request without an answer on its connection.
#[derive(Debug, Error)]
enum NoAnswer {
    #[error("invalid request: {0}")]
    Request(#[from] hyper::http::Error),
    #[error("connection error: {0}")]
    Connection(#[from] hyper::Error),
}

async fn connect(address: SocketAddr) -> Option<Connection> {
    let stream = TcpStream::connect(address).await.ok()?;
    stream.set_nodelay(true).ok()?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    let task = tokio::spawn(async move {
        // An error also fails the request on this connection.
        let _ = connection.await;
    });
    Some(Connection { address, sender, task: task.abort_handle() })
}
