//! A TCP stream that records when the bytes read from it arrived.
//!
//! The runner shares the machine with its nodes and may read late. The delay must not count against the
//! nodes.

use arrival_time::{ArrivalReader, Received};
use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Instant;

/// Time of arrival of the bytes that were last read from a stream.
#[derive(Clone, Debug)]
pub(super) struct LastArrival(Rc<Cell<Instant>>);

impl LastArrival {
    /// Returns the time of arrival of the bytes read last, or the creation time of the stream if none have
    /// been read.
    pub(super) fn get(&self) -> Instant {
        self.0.get()
    }

    fn record(&self, received: Received) {
        let now = Instant::now();
        self.0.set(now.checked_sub(received.waited).unwrap_or(now));
    }
}

/// A TCP stream that records the arrival time of the bytes read.
#[derive(Debug)]
pub(super) struct TimedStream {
    stream: TcpStream,
    reader: ArrivalReader,
    last_arrival: LastArrival,
}

impl TimedStream {
    pub(super) fn new(stream: TcpStream) -> Self {
        let reader = ArrivalReader::new(&stream);
        Self { stream, reader, last_arrival: LastArrival(Rc::new(Cell::new(Instant::now()))) }
    }

    pub(super) fn last_arrival(&self) -> LastArrival {
        self.last_arrival.clone()
    }

    /// Makes closing the stream send a reset.
    pub(super) fn set_zero_linger(&self) -> io::Result<()> {
        self.stream.set_zero_linger()
    }
}

impl AsyncRead for TimedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let Self { stream, reader, last_arrival } = &mut *self;
        loop {
            ready!(stream.poll_read_ready(cx))?;
            match reader.try_read(stream, buf.initialize_unfilled()) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
                Ok(received) => {
                    buf.advance(received.bytes);
                    last_arrival.record(received);
                    return Poll::Ready(Ok(()));
                }
            }
        }
    }
}

impl AsyncWrite for TimedStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

#[cfg(test)]
mod tests;
