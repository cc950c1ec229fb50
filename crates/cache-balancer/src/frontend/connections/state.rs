//! The state of one connection, and counts of all connections.

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

/// Time within which a request must have arrived completely, counted from the start of the connection for its
/// first request and from the first byte for others. A client must get an error or a close within 3 s, even
/// if it sends an incomplete request or nothing.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// Time within which a client must read its response. The connection is closed afterwards.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(4);
/// Time after which an idle connection is closed. Many clients send one request and never close.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Time after which a written response is assumed to have reached its client.
pub(super) const RESPONSE_DELIVERY_TIME: Duration = Duration::from_millis(500);
/// Maximum time for which a connection is read after its last response.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);

/// The phase of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// No bytes have arrived yet.
    New,
    /// A request is being read.
    ReadingRequest,
    /// The driver is handling a request.
    Processing,
    /// A response is being written.
    WritingResponse,
    /// All received requests have been answered.
    Idle,
    /// The last response is written and the sending direction is shut down. Further received bytes are
    /// discarded.
    Lingering,
}

impl Phase {
    /// Returns the maximum time in this phase, or `None` if the driver ends it at the request's deadline.
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

/// Counts of all connections. They are kept up to date because they are read for every response, where
/// iterating over the table would cost too much.
#[derive(Debug, Default)]
pub(super) struct Usage {
    /// The number of connections in phase [`Phase::Processing`] or [`Phase::WritingResponse`].
    pub(super) in_use: Cell<usize>,
    /// Idle connections whose close was not requested.
    pub(super) idle: ConnectionsBySince,
    /// Connections in phase [`Phase::New`].
    pub(super) new: ConnectionsBySince,
    /// Connections in phase [`Phase::Lingering`].
    pub(super) lingering: ConnectionsBySince,
    /// Connections in phase [`Phase::WritingResponse`], by the time since which the client has taken nothing.
    pub(super) writing: ConnectionsBySince,
}

/// Connections in a phase, as the start of the phase and the connection number, oldest first.
pub(super) type ConnectionsBySince = RefCell<BTreeSet<(Instant, u64)>>;

impl Usage {
    /// Returns the connections in a phase, if they are counted.
    pub(super) fn in_phase(&self, phase: Phase) -> Option<&ConnectionsBySince> {
        match phase {
            Phase::New => Some(&self.new),
            Phase::Idle => Some(&self.idle),
            Phase::Lingering => Some(&self.lingering),
            Phase::WritingResponse => Some(&self.writing),
            Phase::ReadingRequest | Phase::Processing => None,
        }
    }
}

/// The state of one connection.
#[derive(Debug)]
pub(super) struct ConnectionState {
    pub(super) number: u64,
    pub(super) socket: Rc<TcpStream>,
    pub(super) usage: Rc<Usage>,
    phase: Cell<Phase>,
    phase_since: Cell<Instant>,
    /// When the client last took bytes of the current response.
    written_at: Cell<Instant>,
    /// When the last bytes of a request arrived.
    received_at: Cell<Instant>,
    pub(super) framing: RequestFraming,
    /// Whether bytes of the next request arrived before the current response was written.
    pub(super) pipelined: Cell<bool>,
    /// Whether more pipelined bytes arrived than are kept. Some were discarded, so no further request is
    /// read.
    pub(super) pipeline_overflowed: Cell<bool>,
    /// The `Retry-After` of the current request if it was rejected before it had arrived completely.
    rejection: Cell<Option<Duration>>,
    /// Notified when the request is rejected after its head has been read.
    pub(super) body_rejected: Notify,
    /// Whether a close was requested.
    closing: Cell<bool>,
    pub(super) close_requested: Notify,
}

impl ConnectionState {
    /// Creates the state of a newly accepted connection.
    pub(super) fn new(number: u64, socket: TcpStream, usage: Rc<Usage>) -> Self {
        let now = Instant::now();
        usage.new.borrow_mut().insert((now, number));
        Self {
            number,
            socket: Rc::new(socket),
            usage,
            phase: Cell::new(Phase::New),
            phase_since: Cell::new(now),
            written_at: Cell::new(now),
            received_at: Cell::new(now),
            framing: RequestFraming::default(),
            pipelined: Cell::default(),
            pipeline_overflowed: Cell::default(),
            rejection: Cell::default(),
            body_rejected: Notify::new(),
            closing: Cell::default(),
            close_requested: Notify::new(),
        }
    }

    pub(super) fn phase(&self) -> Phase {
        self.phase.get()
    }

    pub(super) fn phase_since(&self) -> Instant {
        self.phase_since.get()
    }

    /// Returns whether a close was requested and no request has arrived since.
    pub(super) fn is_closing(&self) -> bool {
        self.closing.get()
    }

    /// Returns whether the current phase has exceeded its timeout.
    pub(super) fn is_timed_out(&self) -> bool {
        self.phase().timeout().is_some_and(|timeout| self.phase_since().elapsed() > timeout)
    }

    /// Enters a phase and updates the counts.
    pub(super) fn enter(&self, phase: Phase) {
        let now = Instant::now();
        self.remove_from_counts();
        match phase {
            Phase::Processing => self.usage.in_use.set(self.usage.in_use.get() + 1),
            Phase::WritingResponse => {
                self.usage.in_use.set(self.usage.in_use.get() + 1);
                self.usage.writing.borrow_mut().insert((now, self.number));
                self.written_at.set(now);
            }
            Phase::Idle if self.closing.get() => {}
            Phase::New | Phase::ReadingRequest | Phase::Idle | Phase::Lingering => {
                if let Some(connections) = self.usage.in_phase(phase) {
                    connections.borrow_mut().insert((now, self.number));
                }
            }
        }
        self.phase.set(phase);
        self.phase_since.set(now);
    }

    /// Records that the client has taken bytes of the current response.
    pub(super) fn record_write(&self) {
        if self.phase() == Phase::WritingResponse {
            let now = Instant::now();
            let mut writing = self.usage.writing.borrow_mut();
            writing.remove(&(self.written_at.replace(now), self.number));
            writing.insert((now, self.number));
        }
    }

    /// Returns when the last bytes of a request arrived.
    pub(super) fn received_at(&self) -> Instant {
        self.received_at.get()
    }

    /// Records the arrival of request bytes that were read just now and had waited in the kernel for
    /// `waited`.
    pub(super) fn record_arrival(&self, waited: Duration) {
        let now = Instant::now();
        self.received_at.set(now.checked_sub(waited).unwrap_or(now));
    }

    /// Enters [`Phase::ReadingRequest`] for the first request. Its timeout still counts from the start of the
    /// connection.
    pub(super) fn begin_first_request(&self) {
        self.remove_from_counts();
        self.phase.set(Phase::ReadingRequest);
    }

    /// Removes the connection from the counts of its current phase.
    pub(super) fn remove_from_counts(&self) {
        match self.phase() {
            Phase::Processing => self.usage.in_use.set(self.usage.in_use.get() - 1),
            Phase::WritingResponse => {
                self.usage.in_use.set(self.usage.in_use.get() - 1);
                self.usage.writing.borrow_mut().remove(&(self.written_at.get(), self.number));
            }
            phase => {
                if let Some(connections) = self.usage.in_phase(phase) {
                    connections.borrow_mut().remove(&(self.phase_since(), self.number));
                }
            }
        }
    }

    fn remove_from_idle(&self) {
        self.usage.idle.borrow_mut().remove(&(self.phase_since(), self.number));
    }

    /// Returns whether the socket has unread bytes.
    ///
    /// The socket is peeked directly because the runtime may not have polled it yet: a request can arrive
    /// just before its connection is closed. The kernel has acknowledged that request, so its client would
    /// see a reset instead of a response. The end of the stream and a reset do not count as unread bytes.
    pub(super) fn has_unread_bytes(&self) -> bool {
        SockRef::from(&*self.socket).peek(&mut [MaybeUninit::uninit()]).is_ok_and(|bytes| bytes > 0)
    }

    /// Requests the close of the connection. It no longer counts as idle.
    pub(super) fn request_close(&self) {
        self.remove_from_idle();
        self.closing.set(true);
        self.close_requested.notify_one();
    }

    /// Rejects the request that is being read. Its client gets a response, and the connection closes.
    pub(super) fn reject(&self, retry_after: Duration) {
        self.rejection.set(Some(retry_after));
        match self.framing.is_head_read() {
            true => self.body_rejected.notify_one(),
            false => self.close_requested.notify_one(),
        }
    }

    /// Returns the `Retry-After` of the current request if it was rejected before it had arrived completely.
    pub(super) fn rejection(&self) -> Option<Duration> {
        self.rejection.get()
    }

    /// Returns whether a response may still be on its way to the client. Applies to the phases between two
    /// requests.
    pub(super) fn responded_recently(&self) -> bool {
        self.phase() != Phase::New && self.phase_since().elapsed() < RESPONSE_DELIVERY_TIME
    }

    /// Marks the connection as closing between two requests with no response on its way, so that it is not
    /// read any further after the close.
    pub(super) fn close_without_lingering(&self) {
        self.remove_from_idle();
        self.closing.set(true);
    }

    /// Cancels a requested close because a request has arrived meanwhile.
    pub(super) fn cancel_close(&self) {
        self.closing.set(false);
        if self.phase() == Phase::Idle {
            self.usage.idle.borrow_mut().insert((self.phase_since(), self.number));
        }
    }
}
