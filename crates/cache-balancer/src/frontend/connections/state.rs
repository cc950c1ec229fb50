//! The state of one connection, and the counts over all of them.

use super::framing::RequestFraming;
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::mem::MaybeUninit;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::Instant;

/// A request must have come whole within this time: the first one from the connection's start, others from
/// their first byte. A client must get an error or a close within 3 s, whatever it sends or leaves out.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// A client that does not read its response holds its connection no longer than this.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(4);
/// An idle connection is closed after this time: many clients send one request and never close.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// A response that was written this long ago has reached its client.
pub(super) const RESPONSE_DELIVERY: Duration = Duration::from_millis(500);
/// How long a connection is read on after its last response.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);

/// What a connection is at.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// Nothing has come yet.
    New,
    /// A request is being read.
    ReadingRequest,
    /// A request is with the driver.
    Processing,
    /// A response is being written.
    WritingResponse,
    /// All requests that came have their response.
    Idle,
    /// The last response is written and the node's side closed; what still comes is discarded.
    Lingering,
}

impl Phase {
    /// How long a connection may stay in this phase; `None` where the driver's deadline ends it.
    fn timeout(self) -> Option<Duration> {
        match self {
            Self::New | Self::ReadingRequest => Some(REQUEST_TIMEOUT),
            Self::Processing => None,
            Self::WritingResponse => Some(RESPONSE_TIMEOUT),
            Self::Idle => Some(IDLE_TIMEOUT),
            Self::Lingering => Some(LINGER_TIMEOUT),
        }
    }
}

/// Counts over all connections. They are read at every response, where a walk over the table would cost too
/// much.
#[derive(Debug, Default)]
pub(super) struct Usage {
    /// The number of connections with a request under way.
    pub(super) in_use: Cell<usize>,
    /// Idle connections that were not asked to close, by number, the one idle for longest first.
    pub(super) idle: RefCell<BTreeSet<(Instant, u64)>>,
}

/// One connection.
#[derive(Debug)]
pub(super) struct ConnectionState {
    pub(super) number: u64,
    pub(super) socket: Rc<TcpStream>,
    pub(super) usage: Rc<Usage>,
    phase: Cell<Phase>,
    phase_since: Cell<Instant>,
    /// When the last bytes of a request came.
    received_at: Cell<Instant>,
    pub(super) framing: RequestFraming,
    /// Bytes came before the response to the last request was written: the next request has begun.
    pub(super) pipelined: Cell<bool>,
    /// More pipelined bytes came than are kept: some were discarded, and no further request is read.
    pub(super) pipeline_overflowed: Cell<bool>,
    /// It was asked to close.
    closing: Cell<bool>,
    pub(super) close: Notify,
}

impl ConnectionState {
    /// A connection that has just been accepted.
    pub(super) fn new(number: u64, socket: TcpStream, usage: Rc<Usage>) -> Self {
        Self {
            number,
            socket: Rc::new(socket),
            usage,
            phase: Cell::new(Phase::New),
            phase_since: Cell::new(Instant::now()),
            received_at: Cell::new(Instant::now()),
            framing: RequestFraming::default(),
            pipelined: Cell::default(),
            pipeline_overflowed: Cell::default(),
            closing: Cell::default(),
            close: Notify::new(),
        }
    }

    pub(super) fn phase(&self) -> Phase {
        self.phase.get()
    }

    pub(super) fn phase_since(&self) -> Instant {
        self.phase_since.get()
    }

    /// Whether it was asked to close and no request has come since.
    pub(super) fn is_closing(&self) -> bool {
        self.closing.get()
    }

    /// Whether it has been in its phase for longer than it may.
    pub(super) fn is_timed_out(&self) -> bool {
        self.phase().timeout().is_some_and(|timeout| self.phase_since().elapsed() > timeout)
    }

    /// Begins a phase.
    pub(super) fn enter(&self, phase: Phase) {
        let now = Instant::now();
        self.uncount();
        match phase {
            Phase::Processing | Phase::WritingResponse => self.usage.in_use.set(self.usage.in_use.get() + 1),
            Phase::Idle if !self.closing.get() => {
                self.usage.idle.borrow_mut().insert((now, self.number));
            }
            _ => {}
        }
        self.phase.set(phase);
        self.phase_since.set(now);
    }

    /// When the last bytes of a request came.
    pub(super) fn received_at(&self) -> Instant {
        self.received_at.get()
    }

    /// Bytes of a request were read that had waited in the system for this time.
    pub(super) fn bytes_received(&self, waited: Duration) {
        let now = Instant::now();
        self.received_at.set(now.checked_sub(waited).unwrap_or(now));
    }

    /// The first bytes have come. The time of the first request runs on from the connection's start.
    pub(super) fn first_bytes_read(&self) {
        self.phase.set(Phase::ReadingRequest);
    }

    /// Removes it from the counts.
    pub(super) fn uncount(&self) {
        match self.phase() {
            Phase::Processing | Phase::WritingResponse => self.usage.in_use.set(self.usage.in_use.get() - 1),
            Phase::Idle => self.uncount_idle(),
            _ => {}
        }
    }

    fn uncount_idle(&self) {
        self.usage.idle.borrow_mut().remove(&(self.phase_since(), self.number));
    }

    /// Whether the socket has unread bytes.
    ///
    /// Guarded against: a request arrives in the very moment in which its connection would be closed, and the
    /// runtime has not polled for it yet. The system has acknowledged it, so its client would see a reset
    /// instead of a response. The socket itself is asked, so nothing that the system has taken is missed. The
    /// end of the stream, or a reset, is nothing to be read.
    pub(super) fn has_unread(&self) -> bool {
        SockRef::from(&*self.socket).peek(&mut [MaybeUninit::uninit()]).is_ok_and(|bytes| bytes > 0)
    }

    /// Asks it to close. From now on it counts as one that will be gone.
    pub(super) fn ask_to_close(&self) {
        self.uncount_idle();
        self.closing.set(true);
        self.close.notify_one();
    }

    /// Whether a response may still be on its way to the client, in a phase between two requests.
    pub(super) fn responded_recently(&self) -> bool {
        self.phase() != Phase::New && self.phase_since().elapsed() < RESPONSE_DELIVERY
    }

    /// It is about to be closed between two requests, with no response on its way: it need not be read on.
    pub(super) fn close_at_once(&self) {
        self.uncount_idle();
        self.closing.set(true);
    }

    /// It was asked to close and stays open: a request has come meanwhile.
    pub(super) fn stay_open(&self) {
        self.closing.set(false);
        if self.phase() == Phase::Idle {
            self.usage.idle.borrow_mut().insert((self.phase_since(), self.number));
        }
    }
}
