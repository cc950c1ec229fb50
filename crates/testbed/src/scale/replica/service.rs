//! The HTTP service of a replica. Snapshots and watches pass through one queue.

use super::connection::{ByteCounts, CountedStream};
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

/// Maximum size of a request head in bytes, which bounds the memory of a connection.
const MAX_HEAD_BYTES: usize = 16 << 10;
/// Delay before the next attempt to accept after a failure, such as a lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

type HttpResponse = Response<Full<bytes::Bytes>>;

/// The state that all connections of a replica share.
pub struct Service {
    capacity: ReplicaCapacity,
    list: RefCell<VersionedList>,
    /// The version of the list, which watches wait for.
    version: watch::Sender<u64>,
    /// The origin of the times in `queue`.
    started_at: Instant,
    queue: RefCell<LineQueue>,
    answering: watch::Sender<Answering>,
    /// The number of times that all connections were reset.
    resets: watch::Sender<u64>,
    bytes: Rc<ByteCounts>,
    calls: Cell<u64>,
    rejected: Cell<u64>,
    snapshots: Cell<u64>,
}

impl Service {
    /// Creates a service with this list.
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
            rejected: Cell::new(0),
            snapshots: Cell::new(0),
        }
    }

    /// Changes the entry of a server.
    pub fn change(&self, version: u64, server: ListedServer) -> Result<(), ProcessError> {
        let current = self.list.borrow().version();
        if version <= current {
            return Err(ProcessError::OldVersion { host: server.host, version, current });
        }
        self.list.borrow_mut().change(version, server);
        self.version.send_replace(version);
        Ok(())
    }

    /// Replaces the list. The new version may be lower than the last one.
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

    /// Returns the counters since the start of the replica.
    pub fn report(&self) -> ReplicaReport {
        let queue = self.queue.borrow();
        ReplicaReport {
            calls: self.calls.get(),
            rejected: self.rejected.get(),
            snapshots: self.snapshots.get(),
            lines: queue.lines(),
            bytes_in: self.bytes.read.get(),
            bytes_out: self.bytes.written.get(),
            longest_queue_ms: queue.longest_wait().as_millis() as u64,
        }
    }

    /// Accepts connections and serves each one in a new task, until the returned future is dropped.
    pub async fn accept(self: Rc<Self>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => drop(spawn_local(self.clone().serve(stream, self.resets.subscribe()))),
                Err(_) => sleep(ACCEPT_RETRY_DELAY).await,
            }
        }
    }

    /// Serves a connection until one side closes it or all connections are reset.
    async fn serve(self: Rc<Self>, stream: TcpStream, mut resets: watch::Receiver<u64>) {
        // A failure only delays answers.
        let _ = stream.set_nodelay(true);
        let stream = CountedStream::new(stream, self.bytes.clone());
        let last_watch_answer = Cell::new(None);
        let service = service_fn(|request| {
            let (service, last_watch_answer) = (&self, &last_watch_answer);
            async move { Ok::<_, Infallible>(service.respond(request, last_watch_answer).await) }
        });
        let mut connection = http1::Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .serve_connection(TokioIo::new(stream), service);
        tokio::select! {
            // If the node closes the connection, its call in progress is cancelled.
            _ = &mut connection => {}
            _ = resets.changed() => connection.into_parts().io.into_inner().reset(),
        }
    }

    /// Answers a call. `last_watch_answer` is the time of the last answer on this connection if it was to a
    /// watch.
    async fn respond(
        &self,
        request: Request<Incoming>,
        last_watch_answer: &Cell<Option<Instant>>,
    ) -> HttpResponse {
        self.calls.set(self.calls.get() + 1);
        if request.method() != Method::GET || request.uri().path() != discovery_call::PATH {
            return empty_response(StatusCode::NOT_FOUND);
        }
        let call = DiscoveryCall::parse(request.uri().query());
        let continued = call.after.is_some()
            && last_watch_answer.take().is_some_and(|answered| answered.elapsed() <= WATCH_CONTINUED_WITHIN);
        self.wait_while_silent().await;
        let Ok(answer) = self.answer(call, continued).await else {
            self.rejected.set(self.rejected.get() + 1);
            return empty_response(StatusCode::SERVICE_UNAVAILABLE);
        };
        self.wait_while_silent().await;
        self.snapshots.set(self.snapshots.get() + u64::from(answer.is_snapshot));
        last_watch_answer.set(call.after.map(|_| Instant::now()));
        Response::new(Full::new(answer.body))
    }

    /// Waits until the queue has processed a call, and returns the answer to it.
    async fn answer(&self, call: DiscoveryCall, continued: bool) -> Result<Answer, QueueFull> {
        let cost = if continued { self.capacity.continued_call_lines } else { self.capacity.call_lines };
        let Some(after) = call.after else {
            return self.charge_and_answer(None, cost).await;
        };
        let arrived_at = Instant::now();
        sleep_until(self.charge(arrived_at, cost)?).await;
        // The time in the queue counts towards the wait that the call asks for.
        self.wait_for_change(after, arrived_at + call.wait).await;
        self.wait_while_silent().await;
        self.charge_and_answer(Some(after), 0.0).await
    }

    /// Charges lines to the queue. Returns the time at which they have been processed.
    fn charge(&self, now: Instant, lines: f64) -> Result<Instant, QueueFull> {
        let ends = self.queue.borrow_mut().charge(now - self.started_at, lines)?;
        self.started_at.checked_add(ends).ok_or(QueueFull)
    }

    /// Waits until the version of the list is above `after`, but no longer than until a time.
    async fn wait_for_change(&self, after: u64, until: Instant) {
        let mut versions = self.version.subscribe();
        // The channel is not closed while `self` exists. After a timeout, the watch is answered without
        // changes.
        let _ = timeout_at(until, versions.wait_for(|version| *version > after)).await;
    }

    /// Builds the answer for a node with this version, charges its entries and `call_lines` to the queue, and
    /// returns it after they have been processed.
    async fn charge_and_answer(&self, after: Option<u64>, call_lines: f64) -> Result<Answer, QueueFull> {
        let answer = self.list.borrow_mut().answer(after);
        let lines = answer.entries as f64 + call_lines;
        sleep_until(self.charge(Instant::now(), lines)?).await;
        Ok(answer)
    }

    async fn wait_while_silent(&self) {
        let mut answering = self.answering.subscribe();
        // The channel is not closed while `self` exists.
        let _ = answering.wait_for(|answering| *answering != Answering::Silent).await;
    }
}

fn empty_response(status: StatusCode) -> HttpResponse {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}
