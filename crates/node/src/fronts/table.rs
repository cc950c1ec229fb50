//! The table of clients' connections: what each is at, how long it may be, how many are kept that nobody uses,
//! and which one gives way when no place is left.

use crate::stage::Stage;
use bytes::Bytes;
use hyper::rt::{Read, ReadBufCursor, Write};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
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
/// After its last answer a connection is read on for so long, or for so many bytes: closed with bytes unread, TCP
/// resets it, and the reset can overtake the answer (RFC 9112, section 9.6).
const LINGER: Duration = Duration::from_secs(1);
const LINGER_BYTES: usize = 256 << 10;
/// The part of a node's descriptors that its clients hold at the most, by the platform's word.
const CLIENTS_PART: usize = 3;
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
    tally: Rc<Tally>,
    phase: Cell<Phase>,
    since: Cell<Instant>,
    /// Bytes came before the answer to the last request was out: the next request has begun.
    ahead: Cell<bool>,
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
        let longest = self.tally.idle.borrow().first().copied();
        let unused = longest.filter(|(since, _)| since.elapsed() >= UNUSED);
        let found = unused.and_then(|(_, number)| self.states.borrow().get(&number).cloned());
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
            all.into_iter().min_by_key(|state| state.since.get())
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
    pub fn new(table: Rc<Table>) -> Self {
        let number = table.next.replace(table.next.get() + 1);
        let state = Rc::new(State {
            number,
            tally: table.tally.clone(),
            phase: Cell::new(Phase::Silent),
            since: Cell::new(Instant::now()),
            ahead: Cell::default(),
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
    /// request must: that request has been taken.
    pub fn keeps(&self) -> bool {
        self.state.ahead.get() || self.table.keeps_one_more()
    }

    /// Its answer is at hand.
    pub fn answered(&self) {
        self.state.enter(Phase::Answering);
    }

    /// The socket, which tells the table what passes on it.
    pub fn watch(&self, stream: TcpStream) -> Heard {
        Heard { stream, state: self.state.clone(), kept: Bytes::new(), dropped: 0 }
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
                    Phase::Asking | Phase::Answering | Phase::Lingering => return,
                    _ => close(serving.as_mut()),
                },
            }
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
    stream: TcpStream,
    state: Rc<State>,
    /// Bytes of the next request, until this one's end is read.
    kept: Bytes,
    /// Bytes dropped while lingering.
    dropped: usize,
}

impl Read for Heard {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let room = buf.remaining().min(READ);
        if self.kept.is_empty() {
            let mut bytes = [0; READ];
            let mut read = ReadBuf::new(&mut bytes[..room]);
            ready!(Pin::new(&mut self.stream).poll_read(cx, &mut read))?;
            let (now, next) = read.filled().split_at(self.state.measure(read.filled()));
            buf.put_slice(now);
            self.kept = Bytes::copy_from_slice(next);
            if now.is_empty() {
                return Poll::Ready(Ok(()));
            }
        } else {
            let offered = room.min(self.kept.len());
            let taken = self.state.measure(&self.kept[..offered]);
            buf.put_slice(&self.kept.split_to(taken));
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
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flushed = Pin::new(&mut self.stream).poll_flush(cx);
        // hyper flushes the socket only once all of an answer is written.
        if self.state.phase.get() == Phase::Answering && matches!(flushed, Poll::Ready(Ok(()))) {
            self.state.body.set(None);
            self.state.enter(if self.state.ahead.get() { Phase::Asking } else { Phase::Idle });
        }
        flushed
    }

    /// Closes the node's side, then drops what comes until the client closes its own.
    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.state.phase.get() != Phase::Lingering {
            ready!(Pin::new(&mut self.stream).poll_shutdown(cx))?;
            // Told to end between two requests, it has no answer on its way.
            if self.state.leaving.get() {
                return Poll::Ready(Ok(()));
            }
            self.state.enter(Phase::Lingering);
        }
        let mut bytes = [0; READ];
        while self.dropped < LINGER_BYTES {
            let mut read = ReadBuf::new(&mut bytes);
            ready!(Pin::new(&mut self.stream).poll_read(cx, &mut read))?;
            if read.filled().is_empty() {
                break;
            }
            self.dropped += read.filled().len();
        }
        Poll::Ready(Ok(()))
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

#[cfg(test)]
mod tests {
    use super::*;

    fn worth_keeping(descriptors: usize, in_use: usize) -> usize {
        Table::new(descriptors, (descriptors - 24) / 2).worth_keeping(in_use)
    }

    // Guards against a bound that suits one size of node: it follows the descriptors and what is in use.
    #[test]
    fn half_of_the_free_places_may_lie_idle() {
        assert_eq!([0, 21, 85, 1000].map(|n| worth_keeping(256, n)), [42, 32, 0, 0]);
        assert_eq!([0, 845, 21_845].map(|n| worth_keeping(65_536, n)), [10_922, 10_500, 0]);
        // So few descriptors that the node's own share, not the clients', is the smaller.
        assert_eq!([0, 4].map(|n| worth_keeping(40, n)), [4, 2]);
    }

    fn state() -> Rc<State> {
        Place::new(Rc::new(Table::new(256, 116))).state.clone()
    }

    // Guards against a next request that hides in hyper's buffer when the connection closes.
    #[test]
    fn a_request_ends_where_its_head_and_body_do_however_the_bytes_come() {
        let heads =
            ["GET / HTTP/1.1\r\nA: b\r\n\r\n", "GET / HTTP/1.1\nA: b\n\n", "\r\n\r\nGET / HTTP/1.1\r\n\r\n"];
        for head in heads {
            let text = format!("{head}bodyGET /next");
            for cut in 1..text.len() {
                let (state, mut read, mut from) = (state(), 0, 0);
                for piece in [&text[..cut], &text[cut..]] {
                    let mut piece = piece.as_bytes();
                    while !piece.is_empty() && read < head.len() + 4 {
                        let taken = state.measure(piece);
                        (read, piece) = (read + taken, &piece[taken..]);
                        if read == head.len() && from == 0 {
                            from = read;
                            state.body.set(Some(4));
                        }
                    }
                }
                assert_eq!((from, read), (head.len(), head.len() + 4), "{head:?} cut at {cut}");
            }
        }
    }
}
