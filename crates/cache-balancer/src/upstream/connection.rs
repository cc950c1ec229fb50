//! A connection to a cache server, and the checks before the first byte of each request on it.

use super::limit::ConnectionPermit;
use super::message::StartCondition;
use bytes::Bytes;
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

/// The longest response head, in bytes. One without end costs no more than this, and fails like one that
/// breaks off.
const MAX_HEAD_BYTES: usize = 16 << 10;

/// Why there is no connection to a server.
#[derive(Debug, Error)]
pub enum ConnectError {
    /// The limit is reached and no connection is idle.
    #[error("all connections to cache servers that this process may open are in use")]
    LimitReached,
    /// The server did not accept in time.
    #[error("{0}: no connection within {1:?}")]
    TimedOut(SocketAddr, Duration),
    /// The socket could not be connected.
    #[error("{0}: {1}")]
    Socket(SocketAddr, io::Error),
    /// The HTTP client refused the connection.
    #[error("{0}: {1}")]
    Http(SocketAddr, hyper::Error),
}

impl ConnectError {
    /// Whether this process lacked a descriptor or an address to connect from, which is no fault of the
    /// server.
    pub fn is_local(&self) -> bool {
        /// Linux: ENFILE, EMFILE and EADDRNOTAVAIL.
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

/// How far the current request of a connection has been written.
#[derive(Debug)]
pub(super) struct WriteProgress {
    /// Its first byte has been written.
    pub(super) started: Cell<bool>,
    /// Its last byte has been written.
    pub(super) complete: Cell<bool>,
    /// The connection carried a request before.
    pub(super) reused: Cell<bool>,
    /// That of the current request, or of the last one.
    condition: RefCell<StartCondition>,
}

impl WriteProgress {
    fn new(condition: StartCondition) -> Self {
        let [started, complete, reused] = [false; 3].map(Cell::new);
        Self { started, complete, reused, condition: RefCell::new(condition) }
    }

    /// Begins with another request.
    pub(super) fn reset(&self, condition: &StartCondition) {
        self.started.set(false);
        self.complete.set(false);
        self.condition.replace(condition.clone());
    }
}

/// A socket that checks before a request's first byte whether it may be sent, and notes when its last byte is
/// written. hyper puts a head and a body that is at hand into one buffer and flushes the socket only when
/// that is empty: a flush after a write is the end of the request.
struct GuardedStream {
    stream: TokioIo<TcpStream>,
    progress: Rc<WriteProgress>,
    /// Whether its server takes requests. Held apart from the server, which holds its idle connections:
    /// neither must keep the other alive.
    server_ready: Rc<Cell<bool>>,
}

impl GuardedStream {
    /// Fails before the first byte of a request that must not be sent.
    ///
    /// Guarded against: between the attempt's own check and the moment at which hyper writes, a watch event
    /// may tell that the server drains, the client may disconnect, or a deduplication window may end. The
    /// request would then run where or when it must not. Nothing lies between this check and the write, so it
    /// decides.
    ///
    /// Also guarded against: bytes that stand unread in a reused connection (a second copy of the last
    /// response, noise). hyper looks for them too, but only as far as the runtime has polled, and would take
    /// them for the response to this request: a client would get another's data. Asking the socket itself
    /// leaves no gap.
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

    fn note_write(&self, written: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
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
        self.note_write(written)
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
        self.note_write(written)
    }
}

/// A connection. Dropping it closes the socket at once, also with a response under way: that is how an
/// attempt is cancelled.
pub(super) struct Connection {
    pub(super) sender: SendRequest<Full<Bytes>>,
    pub(super) progress: Rc<WriteProgress>,
    task: AbortHandle,
    /// When it was opened or last became idle.
    pub(super) idle_since: Instant,
}

impl Connection {
    /// Opens one. The permit is held for as long as its socket is open.
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
                // Its error shows at the attempt on it, or when it is taken from the idle ones.
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
