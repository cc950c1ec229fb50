//! What all runners know of the processes of nodes: when they are ready, and how they end.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncBufRead, AsyncReadExt, AsyncWriteExt, Lines};
use tokio::net::TcpStream;
use tokio::time::sleep;

/// How long after a shutdown signal the front no longer sends requests to a node.
pub(crate) const SHUTDOWN_ANNOUNCED_AFTER: Duration = Duration::from_millis(300);
/// A node that has not ended this long after a shutdown signal and the longest deadline is killed.
pub(crate) const KILLED_AFTER_LONGEST_DEADLINE: Duration = Duration::from_millis(700);

/// What a node's log says of its address.
#[derive(Debug)]
pub(crate) enum Listening {
    /// It listens here.
    At(SocketAddr),
    /// The log has ended before; this was its last line.
    LogEnded { last_line: String },
}

/// Reads a node's log up to the line `node n0 listens on 127.0.0.1:7070`.
pub(crate) async fn read_address<R>(log: &mut Lines<R>) -> io::Result<Listening>
where
    R: AsyncBufRead + Unpin,
{
    let mut last_line = String::new();
    while let Some(line) = log.next_line().await? {
        if let Some(address) = line.split_once(" listens on ").and_then(|(_, text)| text.parse().ok()) {
            return Ok(Listening::At(address));
        }
        last_line = line;
    }
    Ok(Listening::LogEnded { last_line })
}

/// Polls a node until it says that it is ready.
pub(crate) async fn wait_until_ready(address: SocketAddr, poll_interval: Duration) {
    while !is_ready(address).await.unwrap_or(false) {
        sleep(poll_interval).await;
    }
}

async fn is_ready(address: SocketAddr) -> io::Result<bool> {
    let mut stream = TcpStream::connect(address).await?;
    stream.write_all(b"GET /healthz HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n").await?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await?;
    Ok(answer.starts_with("HTTP/1.1 200"))
}
