//! The HTTP service of a replica: snapshots and watches, through one queue.

use super::connection::{Bytes, CountedStream};
use super::list::{Answer, VersionedList};
use crate::discovery_call::{self, DiscoveryCall, WATCH_CONTINUED_WITHIN};
use crate::scale::line_queue::{LineQueue, QueueFull};
use crate::scale::messages::{Answering, ListedServer, ReplicaCapacity, ReplicaReport};
use crate::scale::process::ProcessError;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::{sleep, sleep_until, timeout_at, Instant};

/// The longest head of a request, in bytes; it bounds the memory of a connection.
const MAX_HEAD_BYTES: usize = 16 << 10;
/// The pause after a failure to accept, such as a lack of descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

type HttpAnswer = Response<Full<bytes::Bytes>>;

/// What all connections of a replica share.
pub struct Service {
    capacity: ReplicaCapacity,
    list: RefCell<VersionedList>,
    /// The version of the list, for watches.
    version: watch::Sender<u64>,
    /// Times of the queue count from here.
    started_at: Instant,
    queue: RefCell<LineQueue>,
    answering: watch::Sender<Answering>,
    /// Counts the resets of all connections.
    resets: watch::Sender<u64>,
    bytes: Rc<Bytes>,
    calls: Cell<u64>,
    refused: Cell<u64>,
    whole_lists: Cell<u64>,
}

impl Service {
    /// Starts with this list.
    pub fn new(capacity: ReplicaCapacity, version: u64, servers: Vec<ListedServer>) -> Self {
        Self {
            capacity,
            list: RefCell::new(VersionedList::new(version, servers)),
            version: watch::Sender::new(version),
            started_at: Instant::now(),
            queue: RefCell::new(LineQueue::new(&capacity)),
            answering: watch::Sender::new(Answering::Up),
            resets: watch::Sender::new(0),
            bytes: Rc::default(),
            calls: Cell::new(0),
            refused: Cell::new(0),
            whole_lists: Cell::new(0),
        }
    }

    /// Changes the entry of a server.
    pub fn change(&self, version: u64, server: ListedServer) -> Result<(), ProcessError> {
        let held = self.list.borrow().version();
        if version <= held {
            return Err(ProcessError::OldVersion { host: server.host, version, held });
        }
        self.list.borrow_mut().change(version, server);
        self.version.send_replace(version);
        Ok(())
    }

    /// Replaces the list. Its version may be lower than the last one.
    pub fn reset(&self, version: u64, servers: Vec<ListedServer>) {
        self.list.replace(VersionedList::new(version, servers));
        self.version.send_replace(version);
    }

    /// Sets how calls are answered from now on.
    pub fn set_answering(&self, answering: Answering) {
        if answering == Answering::Away {
            self.resets.send_modify(|resets| *resets += 1);
        }
        self.answering.send_replace(answering);
    }

    /// What the replica has done so far.
    pub fn report(&self) -> ReplicaReport {
        let queue = self.queue.borrow();
        ReplicaReport {
            calls: self.calls.get(),
            refused: self.refused.get(),
            whole_lists: self.whole_lists.get(),
            lines: queue.lines(),
            bytes_in: self.bytes.read.get(),
            bytes_out: self.bytes.written.get(),
            longest_queue_ms: queue.longest_wait().as_millis() as u64,
        }
    }

    /// Accepts connections and serves them, for as long as this is polled.
    pub async fn accept(self: Rc<Self>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => drop(spawn_local(self.clone().serve(stream, self.resets.subscribe()))),
                Err(_) => sleep(ACCEPT_RETRY_DELAY).await,
            }
        }
    }

    /// Serves one connection, until either end closes it or all are reset.
    async fn serve(self: Rc<Self>, stream: TcpStream, mut resets: watch::Receiver<u64>) {
        // Without it, answers are sent later but still arrive.
        let _ = stream.set_nodelay(true);
        let stream = CountedStream::new(stream, self.bytes.clone());
        let last_answer = Cell::new(None);
        let service = service_fn(|request| {
            let (service, last_answer) = (&self, &last_answer);
            async move { Ok::<_, Infallible>(service.respond(request, last_answer).await) }
        });
        let mut connection = http1::Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .serve_connection(TokioIo::new(stream), service);
        tokio::select! {
            // A node that closes the connection ends its call.
            _ = &mut connection => {}
            _ = resets.changed() => connection.into_parts().io.into_inner().reset(),
        }
    }

    /// Answers a call. `last_answer` is when the last watch on this connection was answered.
    async fn respond(&self, request: Request<Incoming>, last_answer: &Cell<Option<Instant>>) -> HttpAnswer {
        self.calls.set(self.calls.get() + 1);
        if request.method() != Method::GET || request.uri().path() != discovery_call::PATH {
            return empty(StatusCode::NOT_FOUND);
        }
        let call = DiscoveryCall::read(request.uri().query());
        let continued = call.after.is_some()
            && last_answer.take().is_some_and(|answered| answered.elapsed() <= WATCH_CONTINUED_WITHIN);
        self.wait_while_silent().await;
        let Ok(answer) = self.answer(call, continued).await else {
            self.refused.set(self.refused.get() + 1);
            return empty(StatusCode::SERVICE_UNAVAILABLE);
        };
        self.wait_while_silent().await;
        self.whole_lists.set(self.whole_lists.get() + u64::from(answer.whole));
        last_answer.set(call.after.map(|_| Instant::now()));
        Response::new(Full::new(answer.body))
    }

    /// The answer to a call, after its turn.
    async fn answer(&self, call: DiscoveryCall, continued: bool) -> Result<Answer, QueueFull> {
        let cost = if continued { self.capacity.continued_call_lines } else { self.capacity.call_lines };
        let Some(after) = call.after else {
            return self.send_in_turn(None, cost).await;
        };
        let came = Instant::now();
        sleep_until(self.charge(came, cost)?).await;
        // The time in the queue is part of its wait.
        self.wait_for_change(after, came + call.wait).await;
        self.wait_while_silent().await;
        self.send_in_turn(Some(after), 0.0).await
    }

    /// Charges lines and returns the time at which they are worked through.
    fn charge(&self, now: Instant, lines: f64) -> Result<Instant, QueueFull> {
        let ends = self.queue.borrow_mut().charge(now - self.started_at, lines)?;
        self.started_at.checked_add(ends).ok_or(QueueFull)
    }

    /// Waits until there is a newer version, but no longer than until this time.
    async fn wait_for_change(&self, after: u64, until: Instant) {
        let mut versions = self.version.subscribe();
        // The sender lives as long as `self`. A watch that times out is answered without a change.
        let _ = timeout_at(until, versions.wait_for(|version| *version > after)).await;
    }

    /// Charges the answer with what is newer than this version by now, and returns it after its turn.
    async fn send_in_turn(&self, after: Option<u64>, more_lines: f64) -> Result<Answer, QueueFull> {
        let answer = self.list.borrow_mut().answer(after);
        let lines = answer.entries as f64 + more_lines;
        sleep_until(self.charge(Instant::now(), lines)?).await;
        Ok(answer)
    }

    async fn wait_while_silent(&self) {
        let mut answering = self.answering.subscribe();
        // The sender lives as long as `self`.
        let _ = answering.wait_for(|answering| *answering != Answering::Silent).await;
    }
}

fn empty(status: StatusCode) -> HttpAnswer {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}
