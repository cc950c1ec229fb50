//! A little load on the real nodes: clients that keep connections, and what each of their requests got.

use super::answer_body;
use super::recorder::{lock, Recorder};
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

/// Requests that are out at one node at a time, each on a connection of its own.
const MOST_OUT: usize = 32;
/// Requests of one run; the judge keeps what became of each.
const MOST_REQUESTS: u64 = 500_000;
/// Time between two requests at the most; no run lasts so long.
const LONGEST_GAP: Duration = Duration::from_secs(365 * 24 * 3_600);
/// Entries that are asked for.
const KEYS: u64 = 64;
/// An answer that is longer is none of the stand-ins'.
const LONGEST_ANSWER: usize = 64 << 10;

/// What clients know of a node.
#[derive(Debug)]
pub struct Node {
    state: Mutex<NodeState>,
    out: Arc<Semaphore>,
}

#[derive(Debug, Default)]
struct NodeState {
    /// Where it listens; none while it is not there.
    address: Option<SocketAddr>,
    /// Counts its kills: a request that was out at one is excused.
    kills: u64,
    idle: Vec<Link>,
}

impl Node {
    /// One that has not started.
    pub fn new() -> Self {
        Self { state: Mutex::default(), out: Arc::new(Semaphore::new(MOST_OUT)) }
    }

    /// Clients may ask it here.
    pub fn started(&self, address: SocketAddr) {
        lock(&self.state).address = Some(address);
    }

    /// It is about to be killed. Clients go on asking until they know.
    pub fn killing(&self) {
        lock(&self.state).kills += 1;
    }

    /// Clients know that it is gone.
    pub fn gone(&self) {
        let mut state = lock(&self.state);
        state.address = None;
        state.idle.clear();
    }

    fn kills(&self) -> u64 {
        lock(&self.state).kills
    }

    /// An idle connection, if there is one, and where to open another.
    fn idle(&self) -> Option<(SocketAddr, Option<Link>)> {
        let mut state = lock(&self.state);
        let address = state.address?;
        state.idle.retain(|link| !link.sender.is_closed());
        Some((address, state.idle.pop()))
    }

    fn keep(&self, link: Link) {
        let mut state = lock(&self.state);
        if state.address == Some(link.address) {
            state.idle.push(link);
        }
    }
}

/// A connection to a node. Dropped, it closes.
#[derive(Debug)]
struct Link {
    address: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
}

impl Drop for Link {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// What clients have seen beside what the judge knows.
#[derive(Debug, Default)]
pub struct Seen {
    /// Requests that were not made, since too many were out or no node was there.
    pub held_back: AtomicU64,
    /// A client came so late with a request at the most, in microseconds: the machine was busy.
    pub latest_us: AtomicU64,
    /// The most requests of a run were made, and there is no more load.
    pub ran_out: AtomicBool,
    /// How long served requests took, in microseconds.
    pub latencies: Mutex<Vec<u32>>,
}

impl Seen {
    fn came_late(&self, by: Duration) {
        let by = u64::try_from(by.as_micros()).unwrap_or(u64::MAX);
        self.latest_us.fetch_max(by, Ordering::Relaxed);
    }
}

/// The clients of all nodes.
#[derive(Debug)]
pub struct Clients {
    /// Requests a second over all nodes.
    pub rate: f64,
    /// What they ask for.
    pub classes: Vec<Class>,
    /// For chance.
    pub random: RandomSource,
    /// The nodes.
    pub nodes: Arc<Vec<Node>>,
    /// For the judge.
    pub recorder: Arc<Recorder>,
    /// What they see.
    pub seen: Arc<Seen>,
}

impl Clients {
    /// Asks at the rate until told to stop, and then waits for what is out.
    pub async fn run(self: Arc<Self>, mut stop: watch::Receiver<bool>) {
        let mut out = JoinSet::new();
        let mut due = Instant::now();
        for number in 0..MOST_REQUESTS {
            let random = self.random.derive(number);
            due += self.gap(random.derive(1));
            tokio::select! {
                () = sleep_until(due) => {}
                // A sender that is gone wants nothing more either.
                _ = stop.wait_for(|stop| *stop) => break,
            }
            self.seen.came_late(due.elapsed());
            self.seen.ran_out.store(number + 1 == MOST_REQUESTS, Ordering::Relaxed);
            let node = (random.derive(2).bits() % self.nodes.len() as u64) as usize;
            let Ok(permit) = self.nodes[node].out.clone().try_acquire_owned() else {
                self.seen.held_back.fetch_add(1, Ordering::Relaxed);
                continue;
            };
            let clients = self.clone();
            out.spawn(async move {
                clients.ask(node, random).await;
                drop(permit);
            });
            while out.try_join_next().is_some() {}
        }
        // Each ends by its deadline.
        while out.join_next().await.is_some() {}
    }

    /// The time between two requests; with no load, long after the end of a run.
    fn gap(&self, random: RandomSource) -> Duration {
        Duration::try_from_secs_f64(random.exponential() / self.rate)
            .map_or(LONGEST_GAP, |gap| gap.min(LONGEST_GAP))
    }

    fn class(&self, random: RandomSource) -> usize {
        let all: f64 = self.classes.iter().map(|class| class.share).sum();
        let mut left = random.uniform() * all;
        let found = self.classes.iter().position(|class| {
            left -= class.share;
            left < 0.0
        });
        found.unwrap_or(0)
    }

    async fn ask(&self, node: usize, random: RandomSource) {
        if lock(&self.nodes[node].state).address.is_none() {
            self.seen.held_back.fetch_add(1, Ordering::Relaxed);
            return;
        }
        let class = self.class(random.derive(3));
        let wanted = &self.classes[class];
        let work = wanted.mean_work.mul_f64(random.derive(4).log_normal(wanted.work_variation));
        let question = Question {
            request: self.recorder.ask(class, work),
            node,
            class,
            key: random.derive(5).bits() % KEYS,
            until: Instant::now() + wanted.deadline,
        };
        // Past that the client has left, and what was owed and did not come is lost.
        let _ = timeout_at(question.until + TOLERANCE, self.exchange(&question)).await;
    }

    /// Sends a request and reads its answer.
    async fn exchange(&self, question: &Question) {
        let node = &self.nodes[question.node];
        let kills = node.kills();
        let mut taken = false;
        loop {
            let Some((address, idle)) = node.idle() else { break };
            let reused = idle.is_some();
            let link = match idle {
                Some(link) => Some(link),
                None => connect(address).await,
            };
            let Some(mut link) = link else { break };
            if link.sender.ready().await.is_err() {
                continue;
            }
            if !std::mem::replace(&mut taken, true) {
                self.note_taken(question);
            }
            match self.answer(&mut link, question).await {
                Ok(answer) => {
                    let request = question.request;
                    self.recorder.record(|at| Observation::Answered { request, at, answer });
                    return node.keep(link);
                }
                // A node may close between two requests; what crossed that is sent once more, on a new connection.
                Err(_) if reused => {}
                // The answer that it owed is lost, unless it was killed meanwhile.
                Err(_) if node.kills() == kills => return,
                Err(_) => break,
            }
        }
        if taken {
            // The node is gone, or nobody listened any more where the request was to be sent again: it was never taken.
            self.recorder.record(|_| Observation::ClientDisconnected { request: question.request });
        }
    }

    fn note_taken(&self, question: &Question) {
        let (request, node) = (question.request, question.node);
        let left = question.until.saturating_duration_since(Instant::now());
        self.recorder.record(|at| Observation::RequestAccepted {
            request,
            operation: request,
            node,
            at,
            expires_at: at + left,
        });
    }

    async fn answer(&self, link: &mut Link, question: &Question) -> Result<FinalAnswer, NoAnswer> {
        let asked = Instant::now();
        let response = link.sender.send_request(self.request(question)?).await?;
        let status = response.status();
        let body = Limited::new(response.into_body(), LONGEST_ANSWER).collect().await;
        // An answer that has begun and breaks off has failed: the client can tell that it is not whole.
        let Ok(body) = body.map(|body| body.to_bytes()) else { return Ok(FinalAnswer::Failed) };
        let answer = match status {
            StatusCode::OK if body == answer_body(question.request) => FinalAnswer::Served,
            StatusCode::OK => FinalAnswer::Mismatched,
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => FinalAnswer::Rejected,
            _ => FinalAnswer::Failed,
        };
        if answer == FinalAnswer::Served {
            let took = u32::try_from(asked.elapsed().as_micros()).unwrap_or(u32::MAX);
            lock(&self.seen.latencies).push(took);
        }
        Ok(answer)
    }

    fn request(&self, question: &Question) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
        let class = &self.classes[question.class];
        let id = format!("{:x}", question.request);
        let left = question.until.saturating_duration_since(Instant::now());
        let body = if class.write { format!("value of {id}") } else { String::new() };
        let mut request = Request::builder()
            .method(if class.write { Method::PUT } else { Method::GET })
            .uri(format!("/api/{:016x}", question.key))
            .header("host", "service.internal")
            .header("req-id", &id)
            .header("req-kind", &class.name)
            .header("req-deadline-ms", left.as_millis() as u64);
        if matches!(class.idempotency, Idempotency::WithKey { .. }) {
            request = request.header("idempotency-key", &id);
        }
        request.body(Full::new(Bytes::from(body)))
    }
}

#[derive(Debug)]
struct Question {
    request: RequestNumber,
    node: usize,
    class: usize,
    key: u64,
    /// The client gives it up then.
    until: Instant,
}

/// Why a connection brought no whole answer.
#[derive(Debug, Error)]
enum NoAnswer {
    #[error("the request can't be made: {0}")]
    Request(#[from] hyper::http::Error),
    #[error("the connection ended: {0}")]
    Connection(#[from] hyper::Error),
}

async fn connect(address: SocketAddr) -> Option<Link> {
    let stream = TcpStream::connect(address).await.ok()?;
    stream.set_nodelay(true).ok()?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    let task = tokio::spawn(async move {
        // How it ends shows at the request on it.
        let _ = connection.await;
    });
    Some(Link { address, sender, task: task.abort_handle() })
}
