//! A cache server's end of a connection, with what the network does to it: it breaks off in the middle of an answer, or
//! it goes silent without a word to either end.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Instant;

/// When what lies before a seat forgot its connections last.
pub type Forgotten = Rc<Cell<Option<Instant>>>;

/// What the network does to one connection.
#[derive(Clone, Debug)]
pub struct Faults {
    made: Instant,
    forgotten: Forgotten,
    /// The next thing that is written breaks off half-way.
    breaks_off: Rc<Cell<bool>>,
}

impl Faults {
    /// For a connection that comes up now.
    pub fn new(forgotten: Forgotten) -> Self {
        Self { made: Instant::now(), forgotten, breaks_off: Rc::default() }
    }

    /// Whether nothing passes any more.
    pub fn silent(&self) -> bool {
        self.forgotten.get().is_some_and(|at| self.made <= at)
    }

    /// The next answer breaks off half-way.
    pub fn break_off(&self) {
        self.breaks_off.set(true);
    }
}

/// A connection that suffers its faults.
#[derive(Debug)]
pub struct Wire {
    stream: TcpStream,
    faults: Faults,
}

impl Wire {
    pub fn new(stream: TcpStream, faults: Faults) -> Self {
        Self { stream, faults }
    }
}

impl AsyncRead for Wire {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.faults.silent() {
            // For good: the connection goes with its server.
            return Poll::Pending;
        }
        let before = buf.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        // What the end of the connection is told by, too, passes no more.
        if read.is_ready() && self.faults.silent() {
            buf.set_filled(before);
            return Poll::Pending;
        }
        read
    }
}

impl AsyncWrite for Wire {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        if self.faults.silent() {
            return Poll::Ready(Ok(buf.len()));
        }
        if !self.faults.breaks_off.get() {
            return Pin::new(&mut self.stream).poll_write(cx, buf);
        }
        match Pin::new(&mut self.stream).poll_write(cx, &buf[..buf.len() / 2]) {
            Poll::Ready(Ok(_)) => {
                // Closed next, it says so by a reset.
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
        if self.faults.silent() {
            return Poll::Ready(Ok(()));
        }
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    use tokio::net::TcpListener;

    /// Both ends of a connection: the node's, and the server's with its faults.
    async fn pair(forgotten: &Forgotten) -> (TcpStream, Wire, Faults) {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let node = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
        let faults = Faults::new(forgotten.clone());
        let server = Wire::new(listener.accept().await.unwrap().0, faults.clone());
        (node, server, faults)
    }

    #[tokio::test]
    async fn an_answer_that_breaks_off_comes_half_and_then_a_reset() {
        let (mut node, mut server, faults) = pair(&Forgotten::default()).await;
        server.write_all(b"whole ").await.unwrap();
        faults.break_off();
        let error = server.write_all(b"never whole").await.unwrap_err();
        assert_eq!(error.kind(), io::ErrorKind::ConnectionReset);
        // Read before the end of the connection, which could overtake it.
        let mut came = [0; 11];
        node.read_exact(&mut came).await.unwrap();
        assert_eq!(&came, b"whole never");
        drop(server);
        let end = node.read(&mut came).await.map_err(|error| error.kind());
        assert_eq!(end.unwrap_err(), io::ErrorKind::ConnectionReset);
    }

    #[tokio::test]
    async fn a_forgotten_connection_passes_nothing_and_a_later_one_does() {
        let forgotten = Forgotten::default();
        let (mut node, mut server, faults) = pair(&forgotten).await;
        server.write_all(b"a").await.unwrap();
        assert_eq!(node.read_u8().await.unwrap(), b'a');
        forgotten.set(Some(Instant::now()));
        assert!(faults.silent());
        // Both ends write, and neither hears of an error.
        server.write_all(b"b").await.unwrap();
        node.write_all(b"c").await.unwrap();
        server.shutdown().await.unwrap();
        let (mut none, mut nothing) = ([0; 1], [0; 1]);
        // The clock has to have gone on since.
        let mut later = pair(&forgotten).await;
        for _ in 0..1_000 {
            if !later.2.silent() {
                break;
            }
            later = pair(&forgotten).await;
        }
        let (mut later_node, mut later, faults) = later;
        assert!(!faults.silent());
        tokio::select! {
            biased;
            read = server.read(&mut none) => panic!("{read:?}"),
            read = node.read(&mut nothing) => panic!("{read:?}"),
            () = async {
                later_node.write_all(b"d").await.unwrap();
                assert_eq!(later.read_u8().await.unwrap(), b'd');
                later.write_all(b"e").await.unwrap();
                assert_eq!(later_node.read_u8().await.unwrap(), b'e');
            } => {}
        }
    }
}
