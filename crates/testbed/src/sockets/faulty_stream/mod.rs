//! The cache server's end of a connection, with network faults: a reset in the middle of an answer, or a
//! half-open connection that silently drops all data in both directions.

#[cfg(test)]
mod tests;

use super::timed_stream::{LastArrival, TimedStream};
use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Instant;

/// When the emulated middlebox in front of a cache server last lost its connection state.
pub(super) type StateLostAt = Rc<Cell<Option<Instant>>>;

/// The faults of one connection.
#[derive(Clone, Debug)]
pub(super) struct ConnectionFaults {
    established_at: Instant,
    state_lost_at: StateLostAt,
    reset_next_write: Rc<Cell<bool>>,
}

impl ConnectionFaults {
    /// Creates the faults of a connection that is established now.
    pub(super) fn new(state_lost_at: StateLostAt) -> Self {
        Self { established_at: Instant::now(), state_lost_at, reset_next_write: Rc::default() }
    }

    /// Returns whether the middlebox has lost its state of this connection, so that no data passes any more.
    pub(super) fn is_half_open(&self) -> bool {
        self.state_lost_at.get().is_some_and(|at| self.established_at <= at)
    }

    /// Resets the connection in the middle of the next write.
    pub(super) fn reset_next_write(&self) {
        self.reset_next_write.set(true);
    }
}

/// A TCP stream that emulates network faults.
#[derive(Debug)]
pub(super) struct FaultyStream {
    stream: TimedStream,
    faults: ConnectionFaults,
}

impl FaultyStream {
    pub(super) fn new(stream: TcpStream, faults: ConnectionFaults) -> Self {
        Self { stream: TimedStream::new(stream), faults }
    }

    pub(super) fn last_arrival(&self) -> LastArrival {
        self.stream.last_arrival()
    }
}

impl AsyncRead for FaultyStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.faults.is_half_open() {
            // No wake-up is needed, since no data will ever arrive.
            return Poll::Pending;
        }
        let before = buf.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        // The connection may have become half-open since the check above. The close of the peer must not be
        // seen then.
        if read.is_ready() && self.faults.is_half_open() {
            buf.set_filled(before);
            return Poll::Pending;
        }
        read
    }
}

impl AsyncWrite for FaultyStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        if self.faults.is_half_open() {
            return Poll::Ready(Ok(buf.len()));
        }
        if !self.faults.reset_next_write.get() {
            return Pin::new(&mut self.stream).poll_write(cx, buf);
        }
        match Pin::new(&mut self.stream).poll_write(cx, &buf[..buf.len() / 2]) {
            Poll::Ready(Ok(_)) => {
                // With a zero linger time, closing the socket sends a reset.
                self.stream.set_zero_linger()?;
                Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()))
            }
            other => other,
        }
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.faults.is_half_open() {
            return Poll::Ready(Ok(()));
        }
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
