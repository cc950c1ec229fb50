//! How a replica answers: whole lists and watches, each in its turn.

use super::connection::{Bytes, CountedStream};
use super::list::{Answer, VersionedList};
use super::queue::{LineQueue, QueueFull};
use crate::discovery_call::{self, DiscoveryCall};
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

/// A watch goes on if the next call comes within this time of the last answer. Of the protocol.
const CONTINUED_WITHIN: Duration = Duration::from_millis(200);
/// The longest head of a request: one without end costs no more than this.
const LARGEST_HEAD: usize = 16 << 10;
/// Before the next connection is accepted where the last one could not be, as for want of descriptors.
const ACCEPT_AGAIN: Duration = Duration::from_millis(10);

type HttpAnswer = Response<Full<bytes::Bytes>>;

/// What all connections of a replica share.
pub struct Service {
    capacity: ReplicaCapacity,
    list: RefCell<VersionedList>,
    /// The list's version, for those who wait for news.
    version: watch::Sender<u64>,
    queue: RefCell<LineQueue>,
    answering: watch::Sender<Answering>,
    /// How often all connections were reset.
    resets: watch::Sender<u64>,
    bytes: Rc<Bytes>,
    calls: Cell<u64>,
    refused: Cell<u64>,
    whole_lists: Cell<u64>,
}

impl Service {
    /// Answers with this list, as it should.
    pub fn new(capacity: ReplicaCapacity, version: u64, servers: Vec<ListedServer>) -> Self {
        Self {
            capacity,
            list: RefCell::new(VersionedList::new(version, servers)),
            version: watch::Sender::new(version),
            queue: RefCell::new(LineQueue::new(&capacity)),
            answering: watch::Sender::new(Answering::Up),
            resets: watch::Sender::new(0),
            bytes: Rc::default(),
            calls: Cell::new(0),
            refused: Cell::new(0),
            whole_lists: Cell::new(0),
        }
    }

    /// Takes in a server's new entry.
    pub fn change(&self, version: u64, server: ListedServer) -> Result<(), ProcessError> {
        let held = self.list.borrow().version();
        if version <= held {
            return Err(ProcessError::OldVersion { host: server.host, version, held });
        }
        self.list.borrow_mut().change(version, server);
        self.version.send_replace(version);
        Ok(())
    }

    /// Goes over to another list, whose version may be any.
    pub fn reset(&self, version: u64, servers: Vec<ListedServer>) {
        self.list.replace(VersionedList::new(version, servers));
        self.version.send_replace(version);
    }

    /// Answers like this from here on.
    pub fn answer_like(&self, answering: Answering) {
        if answering == Answering::Away {
            self.resets.send_modify(|resets| *resets += 1);
        }
        self.answering.send_replace(answering);
    }

    /// What was done so far.
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
                Err(_) => sleep(ACCEPT_AGAIN).await,
            }
        }
    }

    /// Serves one connection, until either end closes it or all are reset.
    async fn serve(self: Rc<Self>, stream: TcpStream, mut resets: watch::Receiver<u64>) {
        // Answers are whole: there is nothing to wait for, and one that cannot be sent at once is sent all the same.
        let _ = stream.set_nodelay(true);
        let stream = CountedStream::new(stream, self.bytes.clone());
        let last_answer = Cell::new(None);
        let service = service_fn(|request| {
            let (service, last_answer) = (&self, &last_answer);
            async move { Ok::<_, Infallible>(service.respond(request, last_answer).await) }
        });
        let mut connection =
            http1::Builder::new().max_buf_size(LARGEST_HEAD).serve_connection(TokioIo::new(stream), service);
        tokio::select! {
            // A node that hangs up ends its call with it.
            _ = &mut connection => {}
            _ = resets.changed() => connection.into_parts().io.into_inner().reset(),
        }
    }

    /// Answers a call. `last_answer` is when the last watch on this connection had its answer.
    async fn respond(&self, request: Request<Incoming>, last_answer: &Cell<Option<Instant>>) -> HttpAnswer {
        self.calls.set(self.calls.get() + 1);
        if request.method() != Method::GET || request.uri().path() != discovery_call::PATH {
            return empty(StatusCode::NOT_FOUND);
        }
        let call = DiscoveryCall::read(request.uri().query());
        let continued = call.after.is_some()
            && last_answer.take().is_some_and(|answered| answered.elapsed() <= CONTINUED_WITHIN);
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

    /// The answer to a call, once its turn is over.
    async fn answer(&self, call: DiscoveryCall, continued: bool) -> Result<Answer, QueueFull> {
        let cost = if continued { self.capacity.continued_call_lines } else { self.capacity.call_lines };
        let Some(after) = call.after else {
            return self.send_in_turn(None, cost).await;
        };
        let came = Instant::now();
        let handled = self.queue.borrow_mut().charge(came, cost)?;
        sleep_until(handled).await;
        // Of its wait, what it has queued is over.
        self.wait_for_news(after, came + call.wait).await;
        self.wait_while_silent().await;
        self.send_in_turn(Some(after), 0.0).await
    }

    /// Waits until there is something newer than this version, or that time has come.
    async fn wait_for_news(&self, after: u64, until: Instant) {
        let mut versions = self.version.subscribe();
        // The sender lives as long as this; a wait that is over has no news.
        let _ = timeout_at(until, versions.wait_for(|version| *version > after)).await;
    }

    /// Charges what is newer than this version as it is by now, and gives it when its turn is over.
    async fn send_in_turn(&self, after: Option<u64>, more_lines: f64) -> Result<Answer, QueueFull> {
        let answer = self.list.borrow_mut().answer(after);
        let lines = answer.entries as f64 + more_lines;
        let sent = self.queue.borrow_mut().charge(Instant::now(), lines)?;
        sleep_until(sent).await;
        Ok(answer)
    }

    async fn wait_while_silent(&self) {
        let mut answering = self.answering.subscribe();
        // The sender lives as long as this.
        let _ = answering.wait_for(|answering| *answering != Answering::Silent).await;
    }
}

fn empty(status: StatusCode) -> HttpAnswer {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}
