//! A connection that counts its bytes in both directions.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Byte counts of all connections.
#[derive(Debug, Default)]
pub struct ByteCounts {
    /// Bytes read from nodes.
    pub read: Cell<u64>,
    /// Bytes written to nodes.
    pub written: Cell<u64>,
}

/// A connection that counts the bytes that its socket reads and writes.
#[derive(Debug)]
pub struct CountedStream {
    stream: TcpStream,
    bytes: Rc<ByteCounts>,
}

impl CountedStream {
    /// Wraps a connection and counts its bytes from now on.
    pub fn new(stream: TcpStream, bytes: Rc<ByteCounts>) -> Self {
        Self { stream, bytes }
    }

    /// Closes the connection with a reset.
    pub fn reset(self) {
        // This only fails if the connection has already ended.
        let _ = self.stream.set_zero_linger();
    }

    fn count_written(&self, result: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if let Poll::Ready(Ok(length)) = &result {
            self.bytes.written.set(self.bytes.written.get() + *length as u64);
        }
        result
    }
}

impl AsyncRead for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        let length = buffer.filled().len() - before;
        self.bytes.read.set(self.bytes.read.get() + length as u64);
        read
    }
}

impl AsyncWrite for CountedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.count_written(result)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(context, parts);
        self.count_written(result)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
