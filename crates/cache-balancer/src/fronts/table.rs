//! The table of clients' connections: what each is at, how long it may be, how many are kept that nobody uses,
//! and which one gives way when no place is left.

use crate::shutdown_phase::ShutdownPhase;
use bytes::{Buf, BytesMut};
use hyper::rt::{Read, ReadBufCursor, Write};
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::future::Future;
use std::io;
use std::mem::MaybeUninit;
use std::net::Shutdown;
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::{watch, Notify};
use tokio::time::{interval, sleep_until, Instant};

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
/// After its last answer a connection is read on for so long, or for so many bytes: closed with bytes unread, TCP
/// resets it, and the reset can overtake the answer (RFC 9112, section 9.6).
const LINGER: Duration = Duration::from_secs(1);
const LINGER_BYTES: usize = 256 << 10;
/// The part of a node's descriptors that its clients hold at the most, by the platform's word.
const CLIENTS_PART: usize = 3;
/// Bytes read from a socket at once.
const READ: usize = 8 << 10;
/// Bytes of next requests that are kept while one is under way: a longest head. What a client sends beyond that is read and
/// dropped, to see the end of the stream behind it, and its connection closes with the answer: the end of a client whose bytes
/// nobody reads does not even reach this machine.
const AHEAD: usize = 16 << 10;
/// So many bytes are dropped for that. A client that sends more while it waits for an answer costs the node what others could
/// have, for as long as it likes: its connection ends at once.
const AHEAD_DROPPED: usize = 1 << 20;
/// At the node's end a connection that has said nothing yet is given so long from its start: its first request is on its way.
const GREETING: Duration = Duration::from_millis(100);

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
    /// The last answer is out and the node's side closed; what still comes is dropped.
    Lingering,
}

/// What all states count up together: it is asked at every answer, when a walk over the table would cost too much.
#[derive(Debug, Default)]
struct Tally {
    /// Connections with a request under way.
    in_use: Cell<usize>,
    /// Idle connections that were not told to end, the longest idle one first.
    idle: RefCell<BTreeSet<(Instant, u64)>>,
}

/// Where in a head the last byte stood, to find where the head ends.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Line {
    /// Before its first line: empty lines there are skipped (RFC 9112, section 2.2).
    #[default]
    None,
    /// In a line with something on it.
    Begun,
    /// At the start of a line that may be the empty one.
    Fresh,
}

#[derive(Debug)]
struct State {
    number: u64,
    socket: Rc<TcpStream>,
    tally: Rc<Tally>,
    phase: Cell<Phase>,
    since: Cell<Instant>,
    /// Bytes came before the answer to the last request was out: the next request has begun.
    ahead: Cell<bool>,
    /// More than [`AHEAD`] of them: some were dropped, and no next request is read.
    overrun: Cell<bool>,
    /// Bytes of the request's body that have not come yet; `None` before its head has come.
    body: Cell<Option<usize>>,
    line: Cell<Line>,
    /// It was told to end.
    leaving: Cell<bool>,
    close: Notify,
}

impl State {
    fn enter(&self, phase: Phase) {
        let now = Instant::now();
        self.leave();
        match phase {
            Phase::Open | Phase::Answering => self.tally.in_use.set(self.tally.in_use.get() + 1),
            Phase::Idle if !self.leaving.get() => {
                self.tally.idle.borrow_mut().insert((now, self.number));
            }
            _ => {}
        }
        self.phase.set(phase);
        self.since.set(now);
    }

    /// Takes it out of the tally, as what it was.
    fn leave(&self) {
        match self.phase.get() {
            Phase::Open | Phase::Answering => self.tally.in_use.set(self.tally.in_use.get() - 1),
            Phase::Idle => {
                self.tally.idle.borrow_mut().remove(&(self.since.get(), self.number));
            }
            _ => {}
        }
    }

    /// How many of these bytes belong to the request under way; the others are the next one's. hyper buffers all
    /// that it is given, and a next request in there would be lost, unseen, with a connection that closes.
    fn measure(&self, bytes: &[u8]) -> usize {
        match self.body.get() {
            Some(0) => self.ahead.set(self.ahead.get() || !bytes.is_empty()),
            Some(body) => {
                let taken = body.min(bytes.len());
                self.body.set(Some(body - taken));
                return taken;
            }
            None => {}
        }
        for (i, byte) in bytes.iter().enumerate() {
            self.line.set(match (byte, self.line.get()) {
                (b'\n', Line::Fresh) => {
                    self.line.set(Line::None);
                    return i + 1;
                }
                (b'\n', Line::Begun) => Line::Fresh,
                (b'\r' | b'\n', line) => line,
                _ => Line::Begun,
            });
        }
        bytes.len()
    }

    fn limit(&self) -> Option<Duration> {
        match self.phase.get() {
            Phase::Silent | Phase::Asking => Some(ASKING),
            Phase::Open => None,
            Phase::Answering => Some(TAKING),
            Phase::Idle => Some(IDLE),
            Phase::Lingering => Some(LINGER),
        }
    }

    /// Whether something stands in the socket that nobody has read: a request that came in the very moment in which this
    /// connection would be closed, and has been taken. The runtime may not have polled for it yet. An end of the stream, or a
    /// reset, is nothing to be read.
    fn has_unread(&self) -> bool {
        SockRef::from(&*self.socket).peek(&mut [MaybeUninit::uninit()]).is_ok_and(|bytes| bytes > 0)
    }

    /// Whether the request under way has come whole and is not answered yet: what comes now belongs to the next one.
    fn is_ahead(&self) -> bool {
        self.body.get() == Some(0)
    }

    /// It was told to end and does not: a request has come meanwhile.
    fn stay(&self) {
        self.leaving.set(false);
        if self.phase.get() == Phase::Idle {
            self.tally.idle.borrow_mut().insert((self.since.get(), self.number));
        }
    }

    fn end(&self) {
        // From now on its place counts as one that will be free.
        self.tally.idle.borrow_mut().remove(&(self.since.get(), self.number));
        self.leaving.set(true);
        self.close.notify_one();
    }
}

/// All connections of clients.
#[derive(Debug)]
pub struct Table {
    next: Cell<u64>,
    states: RefCell<BTreeMap<u64, Rc<State>>>,
    tally: Rc<Tally>,
    /// Connections that the clients can hold together.
    places: Cell<usize>,
    /// The last one has ended.
    emptied: Notify,
}

impl Table {
    /// A table for a process that may hold so many descriptors, with `most` connections of clients among them.
    pub fn new(descriptors: usize, most: usize) -> Self {
        Self {
            next: Cell::default(),
            states: RefCell::default(),
            tally: Rc::default(),
            places: Cell::new(most.min(descriptors / CLIENTS_PART)),
            emptied: Notify::new(),
        }
    }

    /// From here on the process may hold so many.
    pub fn resize(&self, descriptors: usize, most: usize) {
        self.places.set(most.min(descriptors / CLIENTS_PART));
    }

    /// Waits until there is none.
    pub async fn drained(&self) {
        while !self.states.borrow().is_empty() {
            self.emptied.notified().await;
        }
    }

    /// How many idle connections are worth keeping: half of the places that no request holds.
    ///
    /// Clients may hold only so many connections, and many of them ask once and never close. Without this
    /// bound such ones fill every place that clients have, and whoever comes next is shut out while the node
    /// sits idle, long before its own table is full. The other half of the places stays free for those who
    /// come without a connection. It guards in the same way against a front that opens a burst of connections
    /// and never goes back to them.
    ///
    /// What it can cost: a client turned away from its connection makes a new one, a round trip and a little
    /// work at both ends. That happens only while more connections lie idle than half of the free places,
    /// which a pool of a usual client (as many connections as it ever has requests under way) does not reach
    /// until half of all places are in use.
    fn worth_keeping(&self, in_use: usize) -> usize {
        self.places.get().saturating_sub(in_use) / 2
    }

    /// Ends the longest idle connection if nobody has used it for long enough; whether it did.
    fn end_unused(&self) -> bool {
        let states = self.states.borrow();
        let found = {
            let idle = self.tally.idle.borrow();
            let unused = idle.iter().take_while(|(since, _)| since.elapsed() >= UNUSED);
            unused.filter_map(|(_, number)| states.get(number)).find(|state| !state.has_unread()).cloned()
        };
        found.inspect(|state| state.end()).is_some()
    }

    /// Whether one more idle connection is worth keeping. The longest idle one makes way for it rather than
    /// the one that was used just now; but only an unused one, which no request is likely to cross.
    fn keeps_one_more(&self) -> bool {
        let (idle, in_use) = (self.tally.idle.borrow().len(), self.tally.in_use.get());
        // The one that asks is in use still.
        idle < self.worth_keeping(in_use.saturating_sub(1)) || self.end_unused()
    }

    /// Asks one to close in favour of one that waits unaccepted. `false` where none can yet. A silent flood lives
    /// off itself first; but it must not wait for itself either, with usual clients behind it, while connections
    /// that nobody uses or half requests hold the other places.
    pub fn make_room(&self) -> bool {
        let states = self.states.borrow();
        let oldest = |phase, age| {
            let mut all: Vec<_> = states.values().filter(|state| !state.leaving.get()).collect();
            all.retain(|state| state.phase.get() == phase && state.since.get().elapsed() >= age);
            all.sort_by_key(|state| state.since.get());
            // Of those between two requests only one that no request has met.
            let rests = matches!(phase, Phase::Silent | Phase::Idle);
            all.into_iter().find(|state| !rests || !state.has_unread())
        };
        let found = oldest(Phase::Lingering, Duration::ZERO)
            .or_else(|| oldest(Phase::Silent, SILENCE))
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
            // More came into use since these were kept.
            while self.tally.idle.borrow().len() > self.worth_keeping(self.tally.in_use.get())
                && self.end_unused()
            {}
        }
    }
}

/// A connection's place in the table.
#[derive(Debug)]
pub struct Place {
    table: Rc<Table>,
    state: Rc<State>,
}

impl Place {
    pub fn new(table: Rc<Table>, socket: TcpStream) -> Self {
        let number = table.next.replace(table.next.get() + 1);
        // It fails only where the client has gone already, as the first read then tells.
        let _ = socket.set_nodelay(true);
        let state = Rc::new(State {
            number,
            socket: Rc::new(socket),
            tally: table.tally.clone(),
            phase: Cell::new(Phase::Silent),
            since: Cell::new(Instant::now()),
            ahead: Cell::default(),
            overrun: Cell::default(),
            body: Cell::default(),
            line: Cell::default(),
            leaving: Cell::default(),
            close: Notify::new(),
        });
        table.states.borrow_mut().insert(number, state.clone());
        Self { table, state }
    }

    /// A request's head has come; a body of this many bytes may follow.
    pub fn asked(&self, body: usize) {
        self.state.ahead.set(false);
        self.state.body.set(Some(body));
        if !matches!(self.state.phase.get(), Phase::Silent | Phase::Asking) {
            self.state.enter(Phase::Asking);
        }
    }

    /// A request has come whole.
    pub fn opened(&self) {
        self.state.enter(Phase::Open);
    }

    /// Whether the connection should stay open after the answer that is at hand. One that has begun its next
    /// request must: that request has been taken. One that sent more ahead than is kept cannot.
    pub fn keeps(&self) -> bool {
        !self.state.overrun.get() && (self.state.ahead.get() || self.table.keeps_one_more())
    }

    /// Its answer is at hand.
    pub fn answered(&self) {
        self.state.enter(Phase::Answering);
    }

    /// The socket, which tells the table what passes on it.
    pub fn watch(&self) -> Heard {
        let (socket, state) = (self.state.socket.clone(), self.state.clone());
        Heard { socket, state, kept: BytesMut::new(), dropped: 0 }
    }

    /// Drives a connection to its end: what was taken is finished when the node closes; a connection whose
    /// time is up is dropped, but for an idle one, which may be met by a request just then.
    pub async fn drive<C>(
        &self,
        serving: C,
        close: impl Fn(Pin<&mut C>),
        mut stage: watch::Receiver<ShutdownPhase>,
    ) where
        C: Future,
    {
        let mut serving = pin!(serving);
        let mut closing = pin!(stage.wait_for(|stage| *stage == ShutdownPhase::Closing));
        let mut greeted = pin!(sleep_until(self.state.since.get() + GREETING));
        let (mut closed, mut greeting) = (false, false);
        loop {
            tokio::select! {
                biased;
                // An error here is a client that left or spoke no HTTP: hyper has answered what can be.
                _ = &mut serving => return,
                _ = &mut closing, if !closed => {
                    closed = true;
                    greeting = self.state.phase.get() == Phase::Silent;
                    if !greeting {
                        self.close(serving.as_mut(), &close);
                    }
                }
                () = &mut greeted, if greeting => {
                    greeting = false;
                    self.close(serving.as_mut(), &close);
                }
                () = self.state.close.notified() => match self.state.phase.get() {
                    Phase::Asking | Phase::Answering | Phase::Lingering => return,
                    Phase::Silent | Phase::Idle if self.state.has_unread() => self.state.stay(),
                    _ => close(serving.as_mut()),
                },
            }
        }
    }

    /// Closes it for the node's end. A request that has begun to come is waited for as long as ever, and its answer closes the
    /// connection: hyper would drop what it has read of it, and what stands in the socket.
    fn close<C>(&self, serving: Pin<&mut C>, close: &impl Fn(Pin<&mut C>)) {
        match self.state.phase.get() {
            Phase::Asking => {}
            Phase::Silent | Phase::Idle if self.state.has_unread() => {}
            _ => close(serving),
        }
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.state.leave();
        self.table.states.borrow_mut().remove(&self.state.number);
        if self.table.states.borrow().is_empty() {
            self.table.emptied.notify_one();
        }
    }
}

/// A client's socket under its place's eyes.
pub struct Heard {
    socket: Rc<TcpStream>,
    state: Rc<State>,
    /// Bytes of next requests, until this one's answer is out.
    kept: BytesMut,
    /// Bytes dropped while lingering, or ahead of an answer after which the connection closes.
    dropped: usize,
}

impl Heard {
    fn poll_bytes(&self, cx: &mut Context<'_>, bytes: &mut [u8]) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.socket.poll_read_ready(cx))?;
            match self.socket.try_read(bytes) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                read => return Poll::Ready(read),
            }
        }
    }

    fn poll_written(
        &self,
        cx: &mut Context<'_>,
        mut write: impl FnMut() -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.socket.poll_write_ready(cx))?;
            match write() {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                wrote => return Poll::Ready(wrote),
            }
        }
    }

    /// Reads on while a request is under way, for the sake of the end of the stream: a client that closes has gone. Given to
    /// hyper, what comes ahead would keep it from looking further. Ready only at the end, or where it is taken for one.
    fn poll_gone(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.state.ahead.set(self.state.ahead.get() || !self.kept.is_empty());
        loop {
            // Whether the connection goes on is decided by now: what is left stays in the socket.
            let answering = self.state.phase.get() == Phase::Answering;
            let room = if answering { AHEAD.saturating_sub(self.kept.len()).min(READ) } else { READ };
            if room == 0 {
                return Poll::Pending;
            }
            let mut bytes = [0; READ];
            let read = ready!(self.poll_bytes(cx, &mut bytes[..room]))?;
            if read == 0 {
                return Poll::Ready(Ok(()));
            }
            self.state.ahead.set(true);
            if self.kept.len() + read <= AHEAD {
                self.kept.extend_from_slice(&bytes[..read]);
            } else {
                self.state.overrun.set(true);
                self.dropped += read;
                if self.dropped > AHEAD_DROPPED {
                    return Poll::Ready(Ok(()));
                }
            }
        }
    }
}

impl Read for Heard {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        if self.state.is_ahead() {
            return self.poll_gone(cx);
        }
        let room = buf.remaining().min(READ);
        if self.kept.is_empty() {
            let mut bytes = [0; READ];
            let read = ready!(self.poll_bytes(cx, &mut bytes[..room]))?;
            let (now, next) = bytes[..read].split_at(self.state.measure(&bytes[..read]));
            buf.put_slice(now);
            self.kept.extend_from_slice(next);
            if now.is_empty() {
                return Poll::Ready(Ok(()));
            }
        } else {
            let offered = room.min(self.kept.len());
            let taken = self.state.measure(&self.kept[..offered]);
            buf.put_slice(&self.kept[..taken]);
            self.kept.advance(taken);
        }
        match self.state.phase.get() {
            // The time of the first request runs from the connection's start.
            Phase::Silent => self.state.phase.set(Phase::Asking),
            Phase::Idle => self.state.enter(Phase::Asking),
            _ => {}
        }
        Poll::Ready(Ok(()))
    }
}

impl Write for Heard {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.poll_written(cx, || self.socket.try_write(buf))
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        // hyper flushes the socket only once all of an answer is written; the socket itself holds nothing back.
        if self.state.phase.get() == Phase::Answering {
            self.state.body.set(None);
            self.state.enter(if self.state.ahead.get() { Phase::Asking } else { Phase::Idle });
            if !self.kept.is_empty() {
                // hyper was told that nothing is there to be read.
                cx.waker().wake_by_ref();
            }
        }
        Poll::Ready(Ok(()))
    }

    /// Closes the node's side, then drops what comes until the client closes its own.
    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.state.phase.get() != Phase::Lingering {
            SockRef::from(&*self.socket).shutdown(Shutdown::Write)?;
            // Told to end between two requests, it has no answer on its way.
            if self.state.leaving.get() {
                return Poll::Ready(Ok(()));
            }
            self.state.enter(Phase::Lingering);
            self.dropped = 0;
        }
        let mut bytes = [0; READ];
        while self.dropped < LINGER_BYTES {
            match ready!(self.poll_bytes(cx, &mut bytes))? {
                0 => break,
                read => self.dropped += read,
            }
        }
        Poll::Ready(Ok(()))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_written(cx, || self.socket.try_write_vectored(bufs))
    }
}

#[cfg(test)]
mod tests;
