//! Connections to cache servers, one request at a time on each; attempts and how they end.

use balancer_core::platform::read_load_report;
use balancer_core::{AttemptStatus, CacheResult, LoadReport, ServerId};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{HeaderName, HeaderValue, HOST};
use hyper::http::uri::PathAndQuery;
use hyper::rt::ReadBufCursor;
use hyper::{Method, Request, Response, StatusCode, Uri};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::io;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::{sleep, timeout, timeout_at, Instant};

/// The largest body of a message either way.
pub const LARGEST_BODY: usize = 64 << 10;
/// The longest head of an answer: one without end costs no more than this, and ends as one that broke off.
const LARGEST_HEAD: usize = 16 << 10;
pub const REQ_ID: HeaderName = HeaderName::from_static("req-id");
pub const REQ_DEADLINE: HeaderName = HeaderName::from_static("req-deadline-ms");
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
const DECLINED: HeaderName = HeaderName::from_static("srv-declined");
const LOAD: HeaderName = HeaderName::from_static("srv-load");
const CACHE: HeaderName = HeaderName::from_static("srv-cache");
/// Share of the servers' idle time after which a kept connection is retired: one that its server is about to
/// close would take a request only to end it as a reset.
const IDLE_SHARE: u32 = 2;
const SWEEP: Duration = Duration::from_secs(1);

/// What of a client's request goes on to a cache server.
#[derive(Debug)]
pub struct Message {
    pub method: Method,
    pub target: PathAndQuery,
    pub id: OpenId,
    pub idempotency_key: Option<HeaderValue>,
    pub body: Bytes,
    pub owed: Owed,
}

/// Whether a request is still owed its final answer: its client waits, and has none yet. Set where a client is seen to leave,
/// and looked at where the first byte of an attempt is written: no queue lies between the two.
#[derive(Clone, Debug)]
pub struct Owed(Rc<Cell<bool>>);

impl Owed {
    /// One that has just been taken.
    pub fn new() -> Self {
        Self(Rc::new(Cell::new(true)))
    }

    /// The answer is given, or the client has left.
    pub fn end(&self) {
        self.0.set(false);
    }

    pub fn holds(&self) -> bool {
        self.0.get()
    }
}

/// The ids of requests that have no final answer yet or an attempt out.
#[derive(Clone, Debug, Default)]
pub struct OpenIds(Rc<RefCell<HashSet<HeaderValue>>>);

impl OpenIds {
    /// `None` for one that is open already.
    pub fn enter(&self, value: HeaderValue) -> Option<OpenId> {
        let new = self.0.borrow_mut().insert(value.clone());
        new.then(|| OpenId { value, ids: self.clone() })
    }
}

/// An id for as long as its request is open: it goes with the last that holds the request's message.
#[derive(Debug)]
pub struct OpenId {
    value: HeaderValue,
    ids: OpenIds,
}

impl Drop for OpenId {
    fn drop(&mut self) {
        self.ids.0.borrow_mut().remove(&self.value);
    }
}

/// How an attempt ended.
#[derive(Debug)]
pub struct Ended {
    pub status: AttemptStatus,
    pub note: Option<CacheResult>,
    pub load: LoadReport,
    /// The body of a 200 answer, whole.
    pub body: Option<Bytes>,
}

impl Ended {
    /// An end that came with no answer.
    pub fn without_answer(status: AttemptStatus) -> Self {
        Self { status, note: None, load: LoadReport::default(), body: None }
    }
}

/// Whether an attempt may begin.
#[derive(Clone, Debug)]
pub struct Leave {
    pub owed: Owed,
    /// A repeat past its window would run a second time.
    pub begin_by: Option<Instant>,
}

impl Leave {
    fn holds(&self) -> bool {
        self.owed.holds() && self.begin_by.is_none_or(|by| Instant::now() < by)
    }

    /// Whichever comes first, this time or the last moment at which it may begin.
    fn at_most(&self, until: Instant) -> Instant {
        self.begin_by.map_or(until, |by| by.min(until))
    }
}

/// Whether a request has left this machine's hands whole.
#[derive(Debug)]
struct Written {
    begun: Cell<bool>,
    whole: Cell<bool>,
    /// The connection was kept before this request.
    reused: Cell<bool>,
    /// Of the request that is to be written, or was written last.
    leave: RefCell<Leave>,
}

impl Written {
    fn new(leave: Leave) -> Self {
        let [begun, whole, reused] = [false; 3].map(Cell::new);
        Self { begun, whole, reused, leave: RefCell::new(leave) }
    }

    fn reset(&self, leave: &Leave) {
        self.begun.set(false);
        self.whole.set(false);
        self.leave.replace(leave.clone());
    }
}

/// A socket that notes when a request's last byte is written. hyper puts a head and a body that is at hand
/// into one buffer and flushes the socket only when that is empty: a flush after a write is the end of it.
struct Watched {
    stream: TokioIo<TcpStream>,
    written: Rc<Written>,
    /// Its server's. Held apart from the server, which holds its idle connections: neither must keep the other alive.
    takes_work: Rc<Cell<bool>>,
}

impl Watched {
    /// Before the first byte of a request: it must still have leave to begin and the server still take work, whatever was so
    /// when the request set out. And on a kept connection nothing may stand there to be read. hyper looks as well, but only as far as the runtime has polled,
    /// and would take what lies in the socket (a second copy of the last answer, noise) for the answer to this request.
    fn check(&self) -> io::Result<()> {
        if self.written.begun.get() {
            return Ok(());
        }
        if !self.takes_work.get() || !self.written.leave.borrow().holds() {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        if !self.written.reused.get() {
            return Ok(());
        }
        match SockRef::from(self.stream.inner()).peek(&mut [MaybeUninit::uninit()]) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(()),
            Err(error) => Err(error),
            Ok(_) => Err(io::ErrorKind::ConnectionAborted.into()),
        }
    }

    fn note(&self, wrote: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if matches!(wrote, Poll::Ready(Ok(n)) if n > 0) {
            self.written.begun.set(true);
        }
        wrote
    }
}

impl hyper::rt::Read for Watched {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl hyper::rt::Write for Watched {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.check()?;
        let wrote = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.note(wrote)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flushed = Pin::new(&mut self.stream).poll_flush(cx);
        if matches!(flushed, Poll::Ready(Ok(()))) && self.written.begun.get() {
            self.written.whole.set(true);
        }
        flushed
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.check()?;
        let wrote = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.note(wrote)
    }
}

/// How many connections to cache servers there may be, and how many there are, of all pools together.
#[derive(Debug)]
pub struct Places {
    pub most: Cell<usize>,
    open: Cell<usize>,
}

impl Places {
    pub fn new(most: usize) -> Self {
        Self { most: Cell::new(most), open: Cell::default() }
    }
}

/// A place among the descriptors that connections to cache servers may hold.
struct Slot(Rc<Places>);

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
    }
}

/// A connection. Dropping it closes the socket at once, also with an answer under way: that is how an
/// attempt is given up.
struct Connection {
    sender: SendRequest<Full<Bytes>>,
    written: Rc<Written>,
    task: AbortHandle,
    kept: Instant,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// A cache server.
struct Peer {
    dial: Cell<SocketAddr>,
    takes_work: Rc<Cell<bool>>,
    /// The one used last stands last.
    idle: RefCell<Vec<Connection>>,
}

impl Peer {
    /// Keeps a connection on which nothing is under way.
    fn keep(&self, mut connection: Connection) {
        if self.takes_work.get() && !connection.sender.is_closed() {
            connection.written.reused.set(true);
            connection.kept = Instant::now();
            self.idle.borrow_mut().push(connection);
        }
    }
}

/// All cache servers, by id.
pub struct Upstream {
    peers: RefCell<HashMap<ServerId, Rc<Peer>>>,
    places: Rc<Places>,
    connect_timeout: Cell<Duration>,
    idle_limit: Cell<Duration>,
}

impl Upstream {
    /// Keeps no more connections than there are places, together with all that share these.
    pub fn new(places: Rc<Places>, connect_timeout: Duration, keepalive: Duration) -> Self {
        let times = [connect_timeout, keepalive / IDLE_SHARE].map(Cell::new);
        let [connect_timeout, idle_limit] = times;
        Self { peers: RefCell::default(), places, connect_timeout, idle_limit }
    }

    /// Other times hold from here on.
    pub fn configure(&self, connect_timeout: Duration, keepalive: Duration) {
        self.connect_timeout.set(connect_timeout);
        self.idle_limit.set(keepalive / IDLE_SHARE);
    }

    /// Takes in what discovery says of a server.
    pub fn learn(&self, server: &ServerId, dial: Option<SocketAddr>, takes_work: bool) {
        let mut peers = self.peers.borrow_mut();
        if let Some(peer) = peers.get(server) {
            let moved = dial.is_some_and(|dial| peer.dial.replace(dial) != dial);
            peer.takes_work.set(takes_work);
            if moved || !takes_work {
                peer.idle.borrow_mut().clear();
            }
        } else if let Some(dial) = dial {
            let (dial, takes_work) = (Cell::new(dial), Rc::new(Cell::new(takes_work)));
            peers.insert(server.clone(), Rc::new(Peer { dial, takes_work, idle: RefCell::default() }));
        }
    }

    /// Forgets a server that is gone. An attempt on its way there sees that it takes no work any more.
    pub fn forget(&self, server: &ServerId) {
        if let Some(peer) = self.peers.borrow_mut().remove(server) {
            peer.takes_work.set(false);
            peer.idle.borrow_mut().clear();
        }
    }

    /// Forgets all servers but those that `keep` names: a whole list lacks the others.
    pub fn retain(&self, keep: impl Fn(&ServerId) -> bool) {
        let left: Vec<_> = self.peers.borrow().keys().filter(|id| !keep(id)).cloned().collect();
        left.iter().for_each(|id| self.forget(id));
    }

    /// Closes the idle connections to a server.
    pub fn close_idle(&self, server: &ServerId) {
        if let Some(peer) = self.peers.borrow().get(server) {
            peer.idle.borrow_mut().clear();
        }
    }

    /// Retires idle connections before their servers do, for as long as anyone has use for them.
    pub async fn sweep(upstream: Weak<Self>) {
        loop {
            sleep(SWEEP).await;
            let Some(upstream) = upstream.upgrade() else { return };
            for peer in upstream.peers.borrow().values() {
                peer.idle.borrow_mut().retain(|kept| upstream.fresh(kept));
            }
        }
    }

    fn fresh(&self, connection: &Connection) -> bool {
        !connection.sender.is_closed() && connection.kept.elapsed() < self.idle_limit.get()
    }

    /// One attempt, until its answer is whole, its connection breaks or `until` comes.
    pub async fn attempt(&self, server: &ServerId, message: &Message, leave: Leave, until: Instant) -> Ended {
        let peer = self.peers.borrow().get(server).cloned();
        let Some(peer) = peer else { return Ended::without_answer(AttemptStatus::ConnectError) };
        loop {
            // Nothing new after a drain, nor for a request that is over or must not be sent again. Each may also come about while the connection is
            // being made: the connection itself looks once more before the first byte.
            if !leave.holds() {
                return Ended::without_answer(AttemptStatus::NotSent);
            }
            if !peer.takes_work.get() {
                return Ended::without_answer(AttemptStatus::ConnectError);
            }
            let connecting = timeout_at(leave.at_most(until), self.connection(&peer, &leave));
            let mut connection = match connecting.await {
                Ok(Ok(connection)) => connection,
                // The node's own want says nothing of the server.
                Ok(Err(error)) if own_fault(&error) => return Ended::without_answer(AttemptStatus::NotSent),
                // Nor does the end of a repeat's window.
                Err(_) if !leave.holds() => return Ended::without_answer(AttemptStatus::NotSent),
                _ => return Ended::without_answer(AttemptStatus::ConnectError),
            };
            if !leave.holds() {
                // What was made for it serves the next one.
                peer.keep(connection);
                return Ended::without_answer(AttemptStatus::NotSent);
            }
            let Ok(request) = request(&peer, message, until) else {
                return Ended::without_answer(AttemptStatus::ConnectError);
            };
            connection.written.reset(&leave);
            let answer = timeout_at(until, exchange(&mut connection.sender, request)).await;
            let Written { begun, whole, reused, .. } = &*connection.written;
            return match answer {
                Ok(Ok((ended, reusable))) => {
                    if reusable {
                        peer.keep(connection);
                    }
                    ended
                }
                // It was over before its first byte.
                _ if !begun.get() && !leave.holds() => Ended::without_answer(AttemptStatus::NotSent),
                // A kept connection that turned out to be spent: not a byte went out, another one serves.
                Ok(Err(_)) if reused.get() && !begun.get() => continue,
                Ok(Err(_)) if whole.get() => Ended::without_answer(AttemptStatus::Reset),
                Err(_) if whole.get() => Ended::without_answer(AttemptStatus::TimedOut),
                _ => Ended::without_answer(AttemptStatus::ConnectError),
            };
        }
    }

    async fn connection(&self, peer: &Peer, leave: &Leave) -> io::Result<Connection> {
        loop {
            let kept = peer.idle.borrow_mut().pop();
            let Some(mut kept) = kept else { break };
            if self.fresh(&kept) && kept.sender.ready().await.is_ok() {
                return Ok(kept);
            }
        }
        let slot = self.slot()?;
        let connecting = async {
            let stream = TcpStream::connect(peer.dial.get()).await?;
            stream.set_nodelay(true)?;
            let written = Rc::new(Written::new(leave.clone()));
            let watched = Watched {
                stream: TokioIo::new(stream),
                written: written.clone(),
                takes_work: peer.takes_work.clone(),
            };
            let mut http = http1::Builder::new();
            http.max_buf_size(LARGEST_HEAD);
            let (sender, driving) = http.handshake(watched).await.map_err(io::Error::other)?;
            let task = tokio::task::spawn_local(async move {
                // How it ends shows at the attempt on it, or when it is taken from the idle ones.
                let _ = driving.await;
                drop(slot);
            });
            Ok(Connection { sender, written, task: task.abort_handle(), kept: Instant::now() })
        };
        timeout(self.connect_timeout.get(), connecting).await.unwrap_or(Err(io::ErrorKind::TimedOut.into()))
    }

    /// A place for a new connection. Where all are taken the idle one that has stood longest gives way: a node
    /// that met every server once must not be kept from the one it needs by connections that nobody uses.
    fn slot(&self) -> io::Result<Slot> {
        if self.places.open.get() >= self.places.most.get() {
            let peers = self.peers.borrow();
            let oldest =
                peers.values().filter_map(|p| Some((p.idle.borrow().first()?.kept, p))).min_by_key(|o| o.0);
            match oldest {
                Some((_, peer)) => drop(peer.idle.borrow_mut().remove(0)),
                None => return Err(io::ErrorKind::QuotaExceeded.into()),
            }
        }
        self.places.open.set(self.places.open.get() + 1);
        Ok(Slot(self.places.clone()))
    }
}

/// Whether a connection failed for want of this process's descriptors or addresses.
fn own_fault(error: &io::Error) -> bool {
    /// Of Linux: no descriptor left in the system, none in the process, no address left to connect from.
    const WANTS: [i32; 3] = [23, 24, 99];
    error.kind() == io::ErrorKind::QuotaExceeded
        || error.raw_os_error().is_some_and(|code| WANTS.contains(&code))
}

fn request(
    peer: &Peer,
    message: &Message,
    until: Instant,
) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
    let left = until.saturating_duration_since(Instant::now()).as_millis() as u64;
    let mut request = Request::builder()
        .method(message.method.clone())
        .uri(Uri::from(message.target.clone()))
        .header(HOST, peer.dial.get().to_string())
        .header(REQ_ID, message.id.value.clone())
        .header(REQ_DEADLINE, left);
    if let Some(key) = &message.idempotency_key {
        request = request.header(IDEMPOTENCY_KEY, key.clone());
    }
    request.body(Full::new(message.body.clone()))
}

/// Sends a request and reads its answer. The flag says whether the connection may carry another.
async fn exchange(
    sender: &mut SendRequest<Full<Bytes>>,
    request: Request<Full<Bytes>>,
) -> Result<(Ended, bool), hyper::Error> {
    let response = sender.send_request(request).await?;
    let status = outcome(&response);
    let text = |name: &HeaderName| response.headers().get(name).and_then(|value| value.to_str().ok());
    let note = match text(&CACHE) {
        Some("hit") => Some(CacheResult::Hit),
        Some("miss") => Some(CacheResult::Miss),
        Some("pending") => Some(CacheResult::MissFetchPending),
        _ => None,
    };
    let load = text(&LOAD).map_or_else(LoadReport::default, |text| read_load_report(text, '='));
    // What is stated to be larger than any answer may be is not waited for.
    if response.body().size_hint().lower() > LARGEST_BODY as u64 {
        return Ok((Ended { status: AttemptStatus::Failed, note, load, body: None }, false));
    }
    match Limited::new(response.into_body(), LARGEST_BODY).collect().await {
        Ok(body) => {
            let body = (status == AttemptStatus::Ok).then(|| body.to_bytes());
            Ok((Ended { status, note, load, body }, true))
        }
        Err(error) => match error.downcast::<hyper::Error>() {
            Ok(broken) => Err(*broken),
            // Larger than any answer may be: it ran, and what it says is of no use.
            Err(_) => Ok((Ended { status: AttemptStatus::Failed, note, load, body: None }, false)),
        },
    }
}

fn outcome(response: &Response<Incoming>) -> AttemptStatus {
    let declined = response.headers().get(DECLINED).is_some_and(|value| value == "1");
    match response.status() {
        StatusCode::OK => AttemptStatus::Ok,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if declined => AttemptStatus::QueueFull,
        _ => AttemptStatus::Failed,
    }
}

#[cfg(test)]
mod tests;
