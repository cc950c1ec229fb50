//! A table entry for a connection that is being served.

use super::receiving::MIN_RECEIVE_TIME;
use super::state::{ConnectionState, Phase};
use super::stream::ClientStream;
use super::table::ConnectionTable;
use crate::memory::MemoryAccount;
use crate::shutdown_phase::ShutdownPhase;
use hyper::rt::Write;
use std::future::{poll_fn, Future};
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{sleep_until, Instant};

/// Minimum time from its start for which a connection without any received bytes stays open when the node
/// closes, because its first request is likely to be on its way.
const FIRST_REQUEST_GRACE: Duration = Duration::from_millis(100);

/// A connection that is in the table until this value is dropped.
pub struct TrackedConnection {
    table: Rc<ConnectionTable>,
    pub(super) state: Rc<ConnectionState>,
}

impl TrackedConnection {
    /// Adds a connection to the table.
    pub fn new(table: Rc<ConnectionTable>, socket: TcpStream) -> Self {
        // This fails only if the client has already disconnected, which the first read reports.
        let _ = socket.set_nodelay(true);
        let state = table.insert(socket);
        Self { table, state }
    }

    /// Records that a request's head has been read and that a body of `body_bytes` bytes follows.
    pub fn on_head_read(&self, body_bytes: usize) {
        self.state.pipelined.set(false);
        self.state.framing.on_head_read(body_bytes);
        if !matches!(self.state.phase(), Phase::New | Phase::ReadingRequest) {
            self.state.enter(Phase::ReadingRequest);
        }
    }

    /// Returns when the last bytes of the current request arrived. That is before they were read if the
    /// process was starting or suspended.
    pub fn received_at(&self) -> Instant {
        self.state.received_at()
    }

    /// Waits until the current request is rejected, and returns its `Retry-After`.
    pub async fn rejected(&self) -> Duration {
        loop {
            match self.state.rejection() {
                Some(retry_after) => return retry_after,
                None => self.state.body_rejected.notified().await,
            }
        }
    }

    /// Rejects an incomplete request because no memory is left: another one, which releases memory, or the
    /// current one. Returns whether it is another one.
    pub fn make_room(&self) -> bool {
        self.table.make_room(&self.state)
    }

    /// Returns the `Retry-After` of the current request, which was rejected.
    pub fn retry_after(&self) -> Duration {
        self.state.rejection().unwrap_or(MIN_RECEIVE_TIME)
    }

    /// Records that the current request has been read completely.
    pub fn on_request_read(&self) {
        self.table.on_request_ended(&self.state);
        self.state.enter(Phase::Processing);
    }

    /// Records that the response to the current request is about to be written.
    pub fn on_response_ready(&self) {
        self.table.on_request_ended(&self.state);
        self.state.enter(Phase::WritingResponse);
    }

    /// Returns whether the connection stays open after the current response. It must if the next request has
    /// begun, since that request counts as accepted. It cannot if pipelined bytes were discarded.
    pub fn may_stay_open(&self) -> bool {
        !self.state.pipeline_overflowed.get() && (self.state.pipelined.get() || self.table.may_keep_idle())
    }

    /// Returns the socket as a stream that updates the connection's phase on reads and writes. Long heads and
    /// pipelined bytes are reserved in `memory`.
    pub fn stream(&self, memory: &MemoryAccount) -> ClientStream {
        ClientStream::new(self.state.clone(), self.table.clone(), memory)
    }

    /// Drives the connection to its end. Accepted requests are completed when the node closes.
    ///
    /// On a requested close, the connection is dropped if a message is being read or written. Otherwise it is
    /// closed with `close`, unless a request has arrived on it. A request that is rejected before its head has
    /// been read gets the response that `rejection` formats.
    pub async fn drive<C>(
        &self,
        serving: C,
        close: impl Fn(Pin<&mut C>),
        rejection: impl Fn(Duration) -> String,
        shutdown_phase: watch::Receiver<ShutdownPhase>,
    ) where
        C: Future,
    {
        // The buffers of the connection are released before the response is written.
        if let Some(retry_after) = self.serve(serving, close, shutdown_phase).await {
            self.respond_and_linger(&rejection(retry_after)).await;
        }
    }

    /// Writes a response to a request that was not parsed, and closes the connection.
    async fn respond_and_linger(&self, response: &str) {
        // The socket's buffer has room for this response, since it is the first or the client has taken the
        // one before. If not, the client sees only the close.
        let _ = self.state.socket.try_write(response.as_bytes());
        let mut stream = ClientStream::new(self.state.clone(), self.table.clone(), &MemoryAccount::new(0));
        tokio::select! {
            // The connection ends in any case.
            _ = poll_fn(|cx| Pin::new(&mut stream).poll_shutdown(cx)) => {}
            () = self.state.close_requested.notified() => {}
        }
    }

    /// Drives the connection until it ends, or until a request is rejected whose head has not been read.
    /// Returns the `Retry-After` of that request.
    async fn serve<C>(
        &self,
        serving: C,
        close: impl Fn(Pin<&mut C>),
        mut shutdown_phase: watch::Receiver<ShutdownPhase>,
    ) -> Option<Duration>
    where
        C: Future,
    {
        let mut serving = pin!(serving);
        let mut node_closing = pin!(shutdown_phase.wait_for(|phase| *phase == ShutdownPhase::Closing));
        let mut grace_over = pin!(sleep_until(self.state.phase_since() + FIRST_REQUEST_GRACE));
        let (mut node_closed, mut in_grace) = (false, false);
        loop {
            tokio::select! {
                biased;
                // An error here means that the client disconnected or did not speak HTTP. hyper has already
                // sent a response if it could.
                _ = &mut serving => return None,
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
                () = self.state.close_requested.notified() => match self.state.phase() {
                    Phase::ReadingRequest if !self.state.framing.is_head_read() => {
                        return self.state.rejection();
                    }
                    // The head was read meanwhile, so the request is rejected where its body is read.
                    _ if self.state.rejection().is_some() && !self.state.is_closing() => {}
                    Phase::ReadingRequest | Phase::WritingResponse | Phase::Lingering => return None,
                    Phase::New | Phase::Idle if self.state.has_unread_bytes() => self.state.cancel_close(),
                    _ => close(serving.as_mut()),
                },
            }
        }
    }

    /// Closes the connection as the node shuts down. If a request has begun to arrive, the connection waits
    /// for the rest of it under the usual timeout and closes with its response. If it were closed at once,
    /// hyper would drop the part that it has read and the bytes in the socket.
    fn close_for_shutdown<C>(&self, serving: Pin<&mut C>, close: &impl Fn(Pin<&mut C>)) {
        match self.state.phase() {
            Phase::ReadingRequest => {}
            Phase::New | Phase::Idle if self.state.has_unread_bytes() => {}
            Phase::New | Phase::Idle if !self.state.responded_recently() => {
                self.state.close_without_lingering();
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
