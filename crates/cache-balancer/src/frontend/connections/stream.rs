//! Wraps a client's socket: passes one request at a time to hyper, and detects a disconnection of the client
//! while the request is handled.

use super::state::{ConnectionState, Phase};
use super::table::ConnectionTable;
use crate::memory::{MemoryAccount, Reservation};
use arrival_time::{ArrivalReader, Received};
use balancer_core::memory_budget::MemoryUse;
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

/// Maximum number of bytes per read from a socket: one less than hyper's read buffer, which hyper doubles once
/// a read has filled it.
const READ_CHUNK_BYTES: usize = (8 << 10) - 1;
/// The part of a head that is planned for each connection. The rest is reserved.
const PLANNED_HEAD_BYTES: usize = 8 << 10;
/// Reserved for a longer head: what hyper's read buffer grows by.
const LONG_HEAD_BYTES: usize = 16 << 10;
/// The pipelined bytes that are planned for each connection. More of them are reserved.
const PLANNED_PIPELINED_BYTES: usize = 4 << 10;
/// Maximum number of bytes that are read and discarded before other connections get their turn.
const MAX_DISCARDED_BYTES_PER_TURN: usize = 64 << 10;
/// Maximum number of pipelined bytes that are kept while a request is in flight, equal to the longest head.
/// Further bytes are read and discarded, and the connection closes after the response. Unless they are read,
/// TCP flow control holds back the end of the client's stream, and its disconnection goes undetected.
const MAX_PIPELINED_BYTES: usize = 16 << 10;
/// Maximum number of pipelined bytes that are discarded while a request is in flight. A client that sends
/// more is treated as disconnected, because it could take up the node's time at the expense of others for as
/// long as it likes.
const MAX_DISCARDED_BYTES: usize = 1 << 20;
/// Maximum number of bytes that are read and discarded after the last response.
const MAX_LINGER_BYTES: usize = 256 << 10;

/// A client's socket that updates the connection's state on reads and writes.
pub struct ClientStream {
    socket: Rc<TcpStream>,
    reader: ArrivalReader,
    state: Rc<ConnectionState>,
    table: Rc<ConnectionTable>,
    /// The number of bytes of the current head that have been read.
    head_bytes: usize,
    head_memory: Reservation,
    pipelined_memory: Reservation,
    /// Pipelined bytes, kept until the current response is written.
    pipelined: BytesMut,
    /// The number of bytes discarded while lingering, or of pipelined bytes beyond those that are kept.
    discarded: usize,
}

impl ClientStream {
    /// Wraps the socket of a connection.
    pub(super) fn new(
        state: Rc<ConnectionState>,
        table: Rc<ConnectionTable>,
        memory: &MemoryAccount,
    ) -> Self {
        let socket = state.socket.clone();
        let reader = ArrivalReader::new(&socket);
        Self {
            socket,
            reader,
            state,
            table,
            head_bytes: 0,
            head_memory: memory.start(MemoryUse::Request),
            pipelined_memory: memory.start(MemoryUse::Request),
            pipelined: BytesMut::new(),
            discarded: 0,
        }
    }

    fn poll_socket_read(&mut self, cx: &mut Context<'_>, bytes: &mut [u8]) -> Poll<io::Result<Received>> {
        loop {
            ready!(self.socket.poll_read_ready(cx))?;
            match self.reader.try_read(&self.socket, bytes) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                read => return Poll::Ready(read),
            }
        }
    }

    fn poll_socket_write(
        &self,
        cx: &mut Context<'_>,
        mut write: impl FnMut() -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.socket.poll_write_ready(cx))?;
            match write() {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                written => {
                    self.state.record_write();
                    return Poll::Ready(written);
                }
            }
        }
    }

    /// Reads from the socket while a request is in flight. Completes only when the client has disconnected,
    /// or is treated as disconnected because it sent more than [`MAX_DISCARDED_BYTES`].
    ///
    /// Attempts for a client must stop when it disconnects before its response. hyper stops reading once it
    /// has pipelined bytes and would not see the disconnection, so the bytes are kept here and the socket is
    /// read to its end.
    fn poll_disconnected(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.state.pipelined.set(self.state.pipelined.get() || !self.pipelined.is_empty());
        let mut discarded_in_turn = 0;
        loop {
            // Whether the connection stays open is already decided while the response is written. Bytes that
            // cannot be kept then stay in the socket.
            let writing = self.state.phase() == Phase::WritingResponse;
            let free = self.reserve_pipelined(READ_CHUNK_BYTES);
            let chunk = if writing { free.min(READ_CHUNK_BYTES) } else { READ_CHUNK_BYTES };
            if chunk == 0 {
                return Poll::Pending;
            }
            let mut bytes = [0; READ_CHUNK_BYTES];
            let read = ready!(self.poll_socket_read(cx, &mut bytes[..chunk]))?.bytes;
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
                discarded_in_turn += read;
                if discarded_in_turn > MAX_DISCARDED_BYTES_PER_TURN {
                    cx.waker().wake_by_ref();
                    return Poll::Pending;
                }
            }
        }
    }

    /// Returns how many pipelined bytes may be kept in addition to those that are, after reserving memory for
    /// `wanted`.
    fn reserve_pipelined(&mut self, wanted: usize) -> usize {
        let kept = self.pipelined.len();
        let is_planned = kept + wanted <= PLANNED_PIPELINED_BYTES;
        let max = match is_planned || self.pipelined_memory.grow_to(MAX_PIPELINED_BYTES).is_ok() {
            true => MAX_PIPELINED_BYTES,
            false => PLANNED_PIPELINED_BYTES,
        };
        max.saturating_sub(kept)
    }

    /// Counts bytes of the current request that are passed to hyper, which keeps those of the head. The
    /// request is rejected if there is no memory for a long head.
    fn record_request_bytes(&mut self, bytes: usize) {
        if self.state.framing.is_head_read() {
            return;
        }
        self.head_bytes += bytes;
        let is_planned = self.head_bytes <= PLANNED_HEAD_BYTES;
        if !is_planned && self.head_memory.grow_to(LONG_HEAD_BYTES).is_err() {
            self.table.make_room(&self.state);
        }
    }

    /// Passes hyper the pipelined bytes that belong to the current request, and returns their number.
    fn read_pipelined(&mut self, buf: &mut ReadBufCursor<'_>, max_bytes: usize) -> usize {
        let offered = max_bytes.min(self.pipelined.len());
        let taken = self.state.framing.consume(&self.pipelined[..offered]);
        buf.put_slice(&self.pipelined[..taken]);
        self.pipelined.advance(taken);
        if self.pipelined.is_empty() {
            self.pipelined = BytesMut::new();
            self.pipelined_memory.clear();
        }
        taken
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
            let Poll::Ready(received) = self.poll_socket_read(cx, &mut bytes[..max_bytes]) else {
                if self.state.phase() == Phase::ReadingRequest {
                    self.table.on_request_incomplete(&self.state);
                }
                return Poll::Pending;
            };
            let received = received?;
            self.state.record_arrival(received.waited);
            let read = &bytes[..received.bytes];
            let (current, next) = read.split_at(self.state.framing.consume(read));
            buf.put_slice(current);
            self.pipelined.extend_from_slice(next);
            if current.is_empty() {
                return Poll::Ready(Ok(()));
            }
            self.record_request_bytes(current.len());
        } else {
            let taken = self.read_pipelined(&mut buf, max_bytes);
            self.record_request_bytes(taken);
            self.state.record_arrival(Duration::ZERO);
        }
        match self.state.phase() {
            Phase::New => self.state.begin_first_request(),
            Phase::Idle => self.state.enter(Phase::ReadingRequest),
            _ => {}
        }
        Poll::Ready(Ok(()))
    }
}

impl Write for ClientStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.poll_socket_write(cx, || self.socket.try_write(buf))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        // hyper flushes only after a complete response has been written. The socket itself buffers nothing.
        if self.state.phase() == Phase::WritingResponse {
            self.state.framing.start_next_request();
            self.head_bytes = 0;
            self.head_memory.clear();
            let next = if self.state.pipelined.get() { Phase::ReadingRequest } else { Phase::Idle };
            self.state.enter(next);
            if !self.pipelined.is_empty() {
                // The last read returned `Pending`, so hyper does not read again without a wake-up.
                cx.waker().wake_by_ref();
            }
        }
        Poll::Ready(Ok(()))
    }

    /// Shuts down the sending direction, then discards received bytes until the client closes its side.
    ///
    /// TCP resets a connection that is closed with unread bytes, and the reset can overtake the response (RFC
    /// 9112, section 9.6), which the client then never sees. A connection that was read to its end is not
    /// reset.
    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.state.phase() != Phase::Lingering {
            SockRef::from(&*self.socket).shutdown(Shutdown::Write)?;
            // A connection whose close was requested between two requests has no response on its way.
            if self.state.is_closing() {
                return Poll::Ready(Ok(()));
            }
            self.state.enter(Phase::Lingering);
            self.discarded = 0;
        }
        let mut bytes = [0; READ_CHUNK_BYTES];
        let end_of_turn = self.discarded + MAX_DISCARDED_BYTES_PER_TURN;
        while self.discarded < MAX_LINGER_BYTES {
            if self.discarded > end_of_turn {
                cx.waker().wake_by_ref();
                return Poll::Pending;
            }
            match ready!(self.poll_socket_read(cx, &mut bytes))?.bytes {
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
        self.poll_socket_write(cx, || self.socket.try_write_vectored(bufs))
    }
}
