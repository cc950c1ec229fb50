//! Start and end of node processes, shared by all runners.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncBufRead, AsyncReadExt, AsyncWriteExt, Lines};
use tokio::net::TcpStream;
use tokio::time::sleep;

/// Time from a node's shutdown signal until the front stops sending requests to the node.
pub(crate) const SHUTDOWN_ANNOUNCED_AFTER: Duration = Duration::from_millis(300);
/// A node that is shutting down is killed when the longest deadline and this time have passed since the
/// signal.
pub(crate) const KILLED_AFTER_LONGEST_DEADLINE: Duration = Duration::from_millis(700);

/// Outcome of reading the listen address from a node's log.
#[derive(Debug)]
pub(crate) enum Listening {
    /// The node listens at this address.
    At(SocketAddr),
    /// The log ended without an address.
    LogEnded {
        /// Last line of the log, empty if there was none.
        last_line: String,
    },
}

/// Reads a node's log until a line like `node n0 listens on 127.0.0.1:7070`.
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

/// Polls a node's health endpoint until it reports ready.
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
