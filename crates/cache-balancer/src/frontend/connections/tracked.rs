//! A connection while it is served.

use super::state::{ConnectionState, Phase};
use super::stream::ClientStream;
use super::table::ConnectionTable;
use crate::shutdown_phase::ShutdownPhase;
use std::future::Future;
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{sleep_until, Instant};

/// When the node closes, a connection that has sent nothing yet is given this time from its start: its first
/// request is on its way.
const FIRST_REQUEST_GRACE: Duration = Duration::from_millis(100);

/// A connection in the table, for as long as it is served.
pub struct TrackedConnection {
    table: Rc<ConnectionTable>,
    pub(super) state: Rc<ConnectionState>,
}

impl TrackedConnection {
    /// Adds a connection to the table.
    pub fn new(table: Rc<ConnectionTable>, socket: TcpStream) -> Self {
        // It fails only where the client has disconnected already, as the first read then shows.
        let _ = socket.set_nodelay(true);
        let state = table.insert(socket);
        Self { table, state }
    }

    /// A request's head has been read; a body of this many bytes may follow.
    pub fn head_read(&self, body_bytes: usize) {
        self.state.pipelined.set(false);
        self.state.framing.head_read(body_bytes);
        if !matches!(self.state.phase(), Phase::New | Phase::ReadingRequest) {
            self.state.enter(Phase::ReadingRequest);
        }
    }

    /// When the last bytes of the current request came: before they were read, if the node was held up.
    pub fn received_at(&self) -> Instant {
        self.state.received_at()
    }

    /// A request has come whole.
    pub fn request_read(&self) {
        self.state.enter(Phase::Processing);
    }

    /// The response to the request is about to be written.
    pub fn response_ready(&self) {
        self.state.enter(Phase::WritingResponse);
    }

    /// Whether the connection may stay open after the current response. One on which the next request has
    /// begun must: that request has been accepted. One on which more has come than is kept cannot.
    pub fn may_stay_open(&self) -> bool {
        !self.state.pipeline_overflowed.get() && (self.state.pipelined.get() || self.table.keeps_one_more())
    }

    /// The socket, which reports to the table what passes on it.
    pub fn stream(&self) -> ClientStream {
        ClientStream::new(self.state.clone())
    }

    /// Drives a connection to its end. When the node closes, accepted requests are completed. A connection
    /// that is asked to close is dropped in the middle of a message, and otherwise closed by `close`, unless
    /// a request has arrived on it.
    pub async fn drive<C>(
        &self,
        serving: C,
        close: impl Fn(Pin<&mut C>),
        mut shutdown_phase: watch::Receiver<ShutdownPhase>,
    ) where
        C: Future,
    {
        let mut serving = pin!(serving);
        let mut node_closing = pin!(shutdown_phase.wait_for(|phase| *phase == ShutdownPhase::Closing));
        let mut grace_over = pin!(sleep_until(self.state.phase_since() + FIRST_REQUEST_GRACE));
        let (mut node_closed, mut in_grace) = (false, false);
        loop {
            tokio::select! {
                biased;
                // An error here is a client that disconnected or spoke no HTTP: hyper has sent what response
                // it can.
                _ = &mut serving => return,
                _ = &mut node_closing, if !node_closed => {
                    node_closed = true;
                    in_grace = self.state.phase() == Phase::New;
                    if !in_grace {
                        self.close_for_shutdown(serving.as_mut(), &close);
                    }
                }
                () = &mut grace_over, if in_grace => {
                    in_grace = false;
                    self.close_for_shutdown(serving.as_mut(), &close);
                }
                () = self.state.close.notified() => match self.state.phase() {
                    Phase::ReadingRequest | Phase::WritingResponse | Phase::Lingering => return,
                    Phase::New | Phase::Idle if self.state.has_unread() => self.state.stay_open(),
                    _ => close(serving.as_mut()),
                },
            }
        }
    }

    /// Closes it as the node shuts down. A request that has begun to come is waited for as at any time, and
    /// its response closes the connection: hyper would drop what it has read of it, and what stands in the
    /// socket.
    fn close_for_shutdown<C>(&self, serving: Pin<&mut C>, close: &impl Fn(Pin<&mut C>)) {
        match self.state.phase() {
            Phase::ReadingRequest => {}
            Phase::New | Phase::Idle if self.state.has_unread() => {}
            Phase::New | Phase::Idle if !self.state.responded_recently() => {
                self.state.close_at_once();
                close(serving);
            }
            _ => close(serving),
        }
    }
}

impl Drop for TrackedConnection {
    fn drop(&mut self) {
        self.table.remove(&self.state);
    }
}
