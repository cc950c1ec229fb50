//! Tests of the reported waits of bytes before they are read.

use arrival_time::{enable_arrival_timestamps, ArrivalReader, MAX_WAIT};
use std::io::ErrorKind;
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};

const WAIT: Duration = Duration::from_millis(200);
/// Maximum number of connections until the kernel records arrival times.
const MAX_ATTEMPTS: usize = 1_000;

/// Returns a listener with arrival timestamps, after checking that the kernel records them: it may start to
/// do so with some delay.
async fn listener_with_timestamps() -> TcpListener {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    assert!(enable_arrival_timestamps(&listener));
    let has_timestamp = async || {
        let (mut client, server) = connect(&listener).await;
        client.write_all(b"x").await.unwrap();
        std::thread::sleep(Duration::from_millis(1));
        server.readable().await.unwrap();
        let received = ArrivalReader::new(&server).try_read(&server, &mut [0; 1]).unwrap();
        received.waited > Duration::ZERO
    };
    for _ in 0..MAX_ATTEMPTS {
        if has_timestamp().await {
            return listener;
        }
    }
    panic!("no arrival timestamp in {MAX_ATTEMPTS} connections");
}

/// Opens a connection. Returns the client's end and the accepted one.
async fn connect(listener: &TcpListener) -> (TcpStream, TcpStream) {
    let client = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
    (client, listener.accept().await.unwrap().0)
}

/// Guards against a process that, after a suspension, treats bytes that arrived long before as new.
#[tokio::test]
async fn the_wait_of_unread_bytes_is_reported() {
    let (mut client, server) = connect(&listener_with_timestamps().await).await;
    let mut reader = ArrivalReader::new(&server);
    let before = Instant::now();
    client.write_all(b"late").await.unwrap();
    std::thread::sleep(WAIT);
    server.readable().await.unwrap();
    let mut buffer = [0; 16];
    let received = reader.try_read(&server, &mut buffer).unwrap();
    assert_eq!((received.bytes, &buffer[..4]), (4, &b"late"[..]));
    assert!(received.waited >= WAIT && received.waited <= before.elapsed(), "{received:?}");
}

/// A starting process accepts connections on which bytes have already arrived.
#[tokio::test]
async fn the_wait_of_bytes_received_before_the_accept_is_reported() {
    let listener = listener_with_timestamps().await;
    let mut client = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
    client.write_all(b"early").await.unwrap();
    std::thread::sleep(WAIT);
    let (server, _) = listener.accept().await.unwrap();
    let mut reader = ArrivalReader::new(&server);
    server.readable().await.unwrap();
    assert!(reader.try_read(&server, &mut [0; 16]).unwrap().waited >= WAIT);
}

/// The wait of the last bytes is reported because a request is complete only with its last byte.
#[tokio::test]
async fn the_wait_of_the_last_bytes_is_reported() {
    let (mut client, server) = connect(&listener_with_timestamps().await).await;
    let mut reader = ArrivalReader::new(&server);
    client.write_all(b"first").await.unwrap();
    std::thread::sleep(WAIT);
    let before_last = Instant::now();
    client.write_all(b"last").await.unwrap();
    server.readable().await.unwrap();
    let received = reader.try_read(&server, &mut [0; 16]).unwrap();
    assert_eq!(received.bytes, 9);
    assert!(received.waited <= before_last.elapsed(), "{received:?}");
}

#[tokio::test]
async fn an_empty_socket_would_block_and_a_closed_one_returns_zero_bytes() {
    let (client, server) = connect(&listener_with_timestamps().await).await;
    let mut reader = ArrivalReader::new(&server);
    let empty = reader.try_read(&server, &mut [0; 16]);
    assert_eq!(empty.unwrap_err().kind(), ErrorKind::WouldBlock);
    drop(client);
    server.readable().await.unwrap();
    let end = reader.try_read(&server, &mut [0; 16]).unwrap();
    assert_eq!(end.bytes, 0);
    assert!(end.waited <= MAX_WAIT);
}
