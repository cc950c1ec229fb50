//! Connections to cache servers, with checks before the first byte of each request.

use super::limit::ConnectionPermit;
use super::message::StartCondition;
use crate::message_body::MessageBody;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::rt::ReadBufCursor;
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::io;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::{timeout, Instant};

/// Maximum size of a response head, in bytes. It bounds the memory for an endless head, which fails the
/// attempt like a truncated one.
const MAX_HEAD_BYTES: usize = 16 << 10;

/// The reason why no connection to a server could be opened.
#[derive(Debug, Error)]
pub enum ConnectError {
    /// The connection limit is reached and no connection is idle.
    #[error("connection limit reached: all connections to cache servers are in use")]
    LimitReached,
    /// The connection was not established within the timeout.
    #[error("{0}: connecting timed out after {1:?}")]
    TimedOut(SocketAddr, Duration),
    /// The socket could not be connected.
    #[error("{0}: {1}")]
    Socket(SocketAddr, io::Error),
    /// The HTTP handshake failed.
    #[error("{0}: {1}")]
    Http(SocketAddr, hyper::Error),
}

impl ConnectError {
    /// Returns whether the cause is local and not the server's fault: this process or system is out of
    /// connections, file descriptors or local addresses.
    pub fn is_local(&self) -> bool {
        /// ENFILE, EMFILE and EADDRNOTAVAIL on Linux.
        const LOCAL_OS_ERRORS: [i32; 3] = [23, 24, 99];
        match self {
            Self::LimitReached => true,
            Self::Socket(_, error) => {
                error.raw_os_error().is_some_and(|code| LOCAL_OS_ERRORS.contains(&code))
            }
            Self::TimedOut(..) | Self::Http(..) => false,
        }
    }
}

/// Tracks how much of the current request on a connection has been written.
#[derive(Debug)]
pub(super) struct WriteProgress {
    /// Whether the first byte of the request has been written.
    pub(super) started: Cell<bool>,
    /// Whether the last byte of the request has been written.
    pub(super) complete: Cell<bool>,
    /// Whether an earlier request was sent on the connection.
    pub(super) reused: Cell<bool>,
    /// The start condition of the current request, or of the last one if the connection is idle.
    condition: RefCell<StartCondition>,
}

impl WriteProgress {
    fn new(condition: StartCondition) -> Self {
        let [started, complete, reused] = [false; 3].map(Cell::new);
        Self { started, complete, reused, condition: RefCell::new(condition) }
    }

    /// Prepares for the next request on the connection.
    pub(super) fn reset(&self, condition: &StartCondition) {
        self.started.set(false);
        self.complete.set(false);
        self.condition.replace(condition.clone());
    }
}

/// A socket that checks before the first byte of a request whether the request may be sent, and records when
/// the last byte is written. hyper puts the head and an available body into one buffer and flushes the socket
/// only when the buffer is empty, so a flush after a write marks the end of the request.
struct GuardedStream {
    stream: TokioIo<TcpStream>,
    progress: Rc<WriteProgress>,
    /// Whether the server accepts requests. Shared as a separate cell because the server owns its idle
    /// connections: a reference to the server itself would be a reference cycle.
    server_ready: Rc<Cell<bool>>,
}

impl GuardedStream {
    /// Returns an error before the first byte of a request that must not be sent.
    ///
    /// Between the attempt's own check and hyper's write, a watch event can report that the server is
    /// draining, the client can disconnect, or the deduplication window can end. The request would then run
    /// on the wrong server or too late. This check is made immediately before the write, so nothing can
    /// change in between.
    ///
    /// The check also fails on a reused connection with unread bytes, such as a second copy of the last
    /// response or noise. hyper checks for unread bytes too, but sees only those that the runtime has polled.
    /// It would parse the others as the response to this request, and a client would get another client's
    /// data. Peeking at the socket itself detects all of them.
    fn check_start(&self) -> io::Result<()> {
        if self.progress.started.get() {
            return Ok(());
        }
        if !self.server_ready.get() || !self.progress.condition.borrow().is_met() {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        if !self.progress.reused.get() {
            return Ok(());
        }
        match SockRef::from(self.stream.inner()).peek(&mut [MaybeUninit::uninit()]) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(()),
            Err(error) => Err(error),
            Ok(_) => Err(io::ErrorKind::ConnectionAborted.into()),
        }
    }

    fn record_write(&self, written: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if matches!(written, Poll::Ready(Ok(bytes)) if bytes > 0) {
            self.progress.started.set(true);
        }
        written
    }
}

impl hyper::rt::Read for GuardedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl hyper::rt::Write for GuardedStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.check_start()?;
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.record_write(written)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flushed = Pin::new(&mut self.stream).poll_flush(cx);
        if matches!(flushed, Poll::Ready(Ok(()))) && self.progress.started.get() {
            self.progress.complete.set(true);
        }
        flushed
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.check_start()?;
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.record_write(written)
    }
}

/// A connection to a cache server. Dropping it closes the socket at once, even while a response is being
/// received. Attempts are cancelled this way.
pub(super) struct Connection {
    pub(super) sender: SendRequest<Full<MessageBody>>,
    pub(super) progress: Rc<WriteProgress>,
    task: AbortHandle,
    /// The instant at which the connection was opened or last became idle.
    pub(super) idle_since: Instant,
}

impl Connection {
    /// Opens a connection. The permit is held until the socket is closed.
    pub(super) async fn open(
        address: SocketAddr,
        server_ready: Rc<Cell<bool>>,
        condition: &StartCondition,
        permit: ConnectionPermit,
        connect_timeout: Duration,
    ) -> Result<Self, ConnectError> {
        let socket_error = |error| ConnectError::Socket(address, error);
        let connecting = async {
            let stream = TcpStream::connect(address).await.map_err(socket_error)?;
            stream.set_nodelay(true).map_err(socket_error)?;
            let progress = Rc::new(WriteProgress::new(condition.clone()));
            let guarded =
                GuardedStream { stream: TokioIo::new(stream), progress: progress.clone(), server_ready };
            let mut http = http1::Builder::new();
            http.max_buf_size(MAX_HEAD_BYTES);
            let (sender, driving) =
                http.handshake(guarded).await.map_err(|error| ConnectError::Http(address, error))?;
            let task = tokio::task::spawn_local(async move {
                // An error is detected by the current attempt, or when the idle connection is to be reused.
                let _ = driving.await;
                drop(permit);
            });
            Ok(Self { sender, progress, task: task.abort_handle(), idle_since: Instant::now() })
        };
        timeout(connect_timeout, connecting)
            .await
            .unwrap_or(Err(ConnectError::TimedOut(address, connect_timeout)))
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

#[cfg(test)]
mod tests;
