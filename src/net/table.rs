//! The table of clients' connections: what each is at, how long it may be, and which one gives way when no
//! place is left.

use crate::net::server::Stage;
use hyper::rt::{Read, ReadBufCursor, Write};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::Future;
use std::io;
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::{watch, Notify};
use tokio::time::{interval, Instant};

/// From its first byte, or from the connection's start for the first one, a request has come whole by then. A
/// client is owed an error or a close within 3 s, whatever it sends or leaves out.
const ASKING: Duration = Duration::from_secs(2);
/// A client that does not take its answer holds its place for no longer than this.
const TAKING: Duration = Duration::from_secs(4);
/// An idle connection is kept for so long: many clients ask once and never close.
const IDLE: Duration = Duration::from_secs(10);
/// One that has said nothing for so long gives way where there is no room; a usual client asks at once.
const SILENCE: Duration = Duration::from_millis(30);
/// One that has been idle for so long is hardly missed.
const UNUSED: Duration = Duration::from_secs(2);
/// A request that is still on its way after so long gives way; usual ones come within a few packets.
const HALTING: Duration = Duration::from_millis(500);
const SWEEP: Duration = Duration::from_millis(100);
/// Bytes read from a socket at once.
const READ: usize = 8 << 10;

/// What a connection is at.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Nothing has come yet.
    Silent,
    /// A request is coming.
    Asking,
    /// A request is with the driver.
    Open,
    /// An answer is being written.
    Answering,
    /// All that came is answered.
    Idle,
}

#[derive(Debug)]
struct State {
    phase: Cell<Phase>,
    since: Cell<Instant>,
    /// Bytes came before the answer to the last request was out: the next request has begun.
    ahead: Cell<bool>,
    /// It was told to end.
    leaving: Cell<bool>,
    close: Notify,
}

impl State {
    fn enter(&self, phase: Phase) {
        self.phase.set(phase);
        self.since.set(Instant::now());
    }

    fn limit(&self) -> Option<Duration> {
        match self.phase.get() {
            Phase::Silent | Phase::Asking => Some(ASKING),
            Phase::Open => None,
            Phase::Answering => Some(TAKING),
            Phase::Idle => Some(IDLE),
        }
    }

    fn end(&self) {
        self.leaving.set(true);
        self.close.notify_one();
    }
}

/// All connections of clients.
#[derive(Debug, Default)]
pub struct Table {
    next: Cell<u64>,
    states: RefCell<BTreeMap<u64, Rc<State>>>,
}

impl Table {
    /// Asks one to close in favour of one that waits unaccepted. `false` where none can yet. A silent flood lives
    /// off itself first; but it must not wait for itself either, with usual clients behind it, while connections
    /// that nobody uses or half requests hold the other places.
    pub fn make_room(&self) -> bool {
        let states = self.states.borrow();
        let oldest = |phase, age| {
            let mut all: Vec<_> = states.values().filter(|state| !state.leaving.get()).collect();
            all.retain(|state| state.phase.get() == phase && state.since.get().elapsed() >= age);
            all.into_iter().min_by_key(|state| state.since.get())
        };
        let found = oldest(Phase::Silent, SILENCE)
            .or_else(|| oldest(Phase::Idle, UNUSED))
            .or_else(|| oldest(Phase::Asking, HALTING))
            .or_else(|| {
                oldest(Phase::Idle, Duration::ZERO)
                    .filter(|_| oldest(Phase::Silent, Duration::ZERO).is_none())
            });
        found.inspect(|state| state.end()).is_some()
    }

    /// Ends connections whose time is up, for as long as the node runs.
    pub async fn sweep(self: Rc<Self>) {
        let mut turns = interval(SWEEP);
        loop {
            turns.tick().await;
            for state in self.states.borrow().values() {
                if state.limit().is_some_and(|limit| state.since.get().elapsed() > limit) {
                    state.end();
                }
            }
        }
    }
}

/// A connection's place in the table.
#[derive(Debug)]
pub struct Place {
    table: Rc<Table>,
    number: u64,
    state: Rc<State>,
}

impl Place {
    pub fn new(table: Rc<Table>) -> Self {
        let number = table.next.replace(table.next.get() + 1);
        let state = Rc::new(State {
            phase: Cell::new(Phase::Silent),
            since: Cell::new(Instant::now()),
            ahead: Cell::default(),
            leaving: Cell::default(),
            close: Notify::new(),
        });
        table.states.borrow_mut().insert(number, state.clone());
        Self { table, number, state }
    }

    /// A request's head has come; its body may follow.
    pub fn asked(&self) {
        self.state.ahead.set(false);
        if !matches!(self.state.phase.get(), Phase::Silent | Phase::Asking) {
            self.state.enter(Phase::Asking);
        }
    }

    /// A request has come whole.
    pub fn opened(&self) {
        self.state.enter(Phase::Open);
    }

    /// Its answer is at hand.
    pub fn answered(&self) {
        self.state.enter(Phase::Answering);
    }

    /// The socket, which tells the table what passes on it.
    pub fn watch(&self, stream: TcpStream) -> Heard {
        Heard { stream, state: self.state.clone() }
    }

    /// Drives a connection to its end: what was taken is finished when the node closes; a connection whose
    /// time is up is dropped, but for an idle one, which may be met by a request just then.
    pub async fn drive<C>(&self, serving: C, close: impl Fn(Pin<&mut C>), mut stage: watch::Receiver<Stage>)
    where
        C: Future,
    {
        let mut serving = pin!(serving);
        let mut closing = pin!(stage.wait_for(|stage| *stage == Stage::Closing));
        let mut closed = false;
        loop {
            tokio::select! {
                biased;
                // An error here is a client that left or spoke no HTTP: hyper has answered what can be.
                _ = &mut serving => return,
                _ = &mut closing, if !closed => {
                    closed = true;
                    close(serving.as_mut());
                }
                () = self.state.close.notified() => match self.state.phase.get() {
                    Phase::Asking | Phase::Answering => return,
                    _ => close(serving.as_mut()),
                },
            }
        }
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.table.states.borrow_mut().remove(&self.number);
    }
}

/// A client's socket under its place's eyes.
pub struct Heard {
    stream: TcpStream,
    state: Rc<State>,
}

impl Read for Heard {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        // A cursor does not tell what was read into it: the bytes pass through a buffer that does.
        let mut bytes = [0; READ];
        let room = buf.remaining().min(READ);
        let mut read = ReadBuf::new(&mut bytes[..room]);
        ready!(Pin::new(&mut self.stream).poll_read(cx, &mut read))?;
        buf.put_slice(read.filled());
        if !read.filled().is_empty() {
            match self.state.phase.get() {
                // The time of the first request runs from the connection's start.
                Phase::Silent => self.state.phase.set(Phase::Asking),
                Phase::Idle => self.state.enter(Phase::Asking),
                Phase::Asking => {}
                Phase::Open | Phase::Answering => self.state.ahead.set(true),
            }
        }
        Poll::Ready(Ok(()))
    }
}

impl Write for Heard {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flushed = Pin::new(&mut self.stream).poll_flush(cx);
        // hyper flushes the socket only once all of an answer is written.
        if self.state.phase.get() == Phase::Answering && matches!(flushed, Poll::Ready(Ok(()))) {
            self.state.enter(if self.state.ahead.get() { Phase::Asking } else { Phase::Idle });
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
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }
}
