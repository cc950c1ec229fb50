//! The socket of a client: hands one request at a time to hyper, and sees the client disconnect meanwhile.

use super::state::{ConnectionState, Phase};
use arrival_time::{ArrivalReader, Received};
use bytes::{Buf, BytesMut};
use hyper::rt::{Read, ReadBufCursor, Write};
use socket2::SockRef;
use std::io;
use std::net::Shutdown;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::net::TcpStream;

/// The number of bytes that are read from a socket at once.
const READ_CHUNK_BYTES: usize = 8 << 10;
/// The number of pipelined bytes that are kept while a request is under way: the longest head. What a client
/// sends beyond that is read and discarded, and its connection closes with the response: unless its bytes are
/// read, the end of its stream does not reach this machine, and its disconnection stays unseen.
const MAX_PIPELINED_BYTES: usize = 16 << 10;
/// The number of bytes that are discarded for that. A client that sends more while it waits for a response
/// takes from the node what others could have, for as long as it likes: it counts as disconnected.
const MAX_DISCARDED_BYTES: usize = 1 << 20;
/// The number of bytes that are discarded after the last response.
const MAX_LINGER_BYTES: usize = 256 << 10;

/// A client's socket, which records in the connection's state what passes on it.
pub struct ClientStream {
    socket: Rc<TcpStream>,
    reader: ArrivalReader,
    state: Rc<ConnectionState>,
    /// Pipelined bytes, until the current response is written.
    pipelined: BytesMut,
    /// The number of bytes discarded while lingering, or beyond what is kept of pipelined ones.
    discarded: usize,
}

impl ClientStream {
    /// The socket of a connection.
    pub(super) fn new(state: Rc<ConnectionState>) -> Self {
        let socket = state.socket.clone();
        let reader = ArrivalReader::new(&socket);
        Self { socket, reader, state, pipelined: BytesMut::new(), discarded: 0 }
    }

    fn poll_bytes(&mut self, cx: &mut Context<'_>, bytes: &mut [u8]) -> Poll<io::Result<Received>> {
        loop {
            ready!(self.socket.poll_read_ready(cx))?;
            match self.reader.try_read(&self.socket, bytes) {
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
                written => return Poll::Ready(written),
            }
        }
    }

    /// Reads on while a request is under way. Ready only at the end of the stream, or where it is taken for
    /// one.
    ///
    /// Guarded against: a client that disconnects before its response is not seen, and attempts for it go on.
    /// hyper, given pipelined bytes, would not look further; so they are kept here and the socket is read to
    /// its end.
    fn poll_disconnected(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.state.pipelined.set(self.state.pipelined.get() || !self.pipelined.is_empty());
        loop {
            // While the response is written it is decided whether the connection stays open: what can't be
            // kept stays in the socket.
            let writing = self.state.phase() == Phase::WritingResponse;
            let free = MAX_PIPELINED_BYTES.saturating_sub(self.pipelined.len());
            let chunk = if writing { free.min(READ_CHUNK_BYTES) } else { READ_CHUNK_BYTES };
            if chunk == 0 {
                return Poll::Pending;
            }
            let mut bytes = [0; READ_CHUNK_BYTES];
            let read = ready!(self.poll_bytes(cx, &mut bytes[..chunk]))?.bytes;
            if read == 0 {
                return Poll::Ready(Ok(()));
            }
            self.state.pipelined.set(true);
            if read <= free {
                self.pipelined.extend_from_slice(&bytes[..read]);
            } else {
                self.state.pipeline_overflowed.set(true);
                self.discarded += read;
                if self.discarded > MAX_DISCARDED_BYTES {
                    return Poll::Ready(Ok(()));
                }
            }
        }
    }

    /// Hands hyper bytes of the current request that came before its turn.
    fn read_pipelined(&mut self, buf: &mut ReadBufCursor<'_>, max_bytes: usize) {
        let offered = max_bytes.min(self.pipelined.len());
        let taken = self.state.framing.measure(&self.pipelined[..offered]);
        buf.put_slice(&self.pipelined[..taken]);
        self.pipelined.advance(taken);
    }
}

impl Read for ClientStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        if self.state.framing.is_complete() {
            return self.poll_disconnected(cx);
        }
        let max_bytes = buf.remaining().min(READ_CHUNK_BYTES);
        if self.pipelined.is_empty() {
            let mut bytes = [0; READ_CHUNK_BYTES];
            let received = ready!(self.poll_bytes(cx, &mut bytes[..max_bytes]))?;
            self.state.bytes_received(received.waited);
            let read = &bytes[..received.bytes];
            let (current, next) = read.split_at(self.state.framing.measure(read));
            buf.put_slice(current);
            self.pipelined.extend_from_slice(next);
            if current.is_empty() {
                return Poll::Ready(Ok(()));
            }
        } else {
            self.read_pipelined(&mut buf, max_bytes);
            self.state.bytes_received(Duration::ZERO);
        }
        match self.state.phase() {
            Phase::New => self.state.first_bytes_read(),
            Phase::Idle => self.state.enter(Phase::ReadingRequest),
            _ => {}
        }
        Poll::Ready(Ok(()))
    }
}

impl Write for ClientStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.poll_written(cx, || self.socket.try_write(buf))
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        // hyper flushes the socket only once all of a response is written; the socket itself buffers nothing.
        if self.state.phase() == Phase::WritingResponse {
            self.state.framing.next_request();
            let next = if self.state.pipelined.get() { Phase::ReadingRequest } else { Phase::Idle };
            self.state.enter(next);
            if !self.pipelined.is_empty() {
                // The last read returned pending: hyper does not read again without a wake-up.
                cx.waker().wake_by_ref();
            }
        }
        Poll::Ready(Ok(()))
    }

    /// Closes the node's side, then discards what comes until the client closes its own.
    ///
    /// Guarded against: closed with bytes unread, TCP resets a connection, and the reset can overtake the
    /// response (RFC 9112, section 9.6), which the client then never sees. Read to the end, there is nothing
    /// to reset for.
    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.state.phase() != Phase::Lingering {
            SockRef::from(&*self.socket).shutdown(Shutdown::Write)?;
            // Asked to close between two requests, it has no response on its way.
            if self.state.is_closing() {
                return Poll::Ready(Ok(()));
            }
            self.state.enter(Phase::Lingering);
            self.discarded = 0;
        }
        let mut bytes = [0; READ_CHUNK_BYTES];
        while self.discarded < MAX_LINGER_BYTES {
            match ready!(self.poll_bytes(cx, &mut bytes))?.bytes {
                0 => break,
                read => self.discarded += read,
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
