//! Waits of bytes before they are read.

use arrival_time::{enable_arrival_timestamps, ArrivalReader, MAX_WAIT};
use std::io::ErrorKind;
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};

const WAIT: Duration = Duration::from_millis(200);
/// The most connections until the system notes arrivals.
const MAX_ATTEMPTS: usize = 1_000;

/// A listener whose connections are known to have their arrivals noted: the system may take a moment to begin.
async fn noting_listener() -> TcpListener {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    assert!(enable_arrival_timestamps(&listener));
    let is_noted = async || {
        let (mut client, server) = connection(&listener).await;
        client.write_all(b"x").await.unwrap();
        std::thread::sleep(Duration::from_millis(1));
        server.readable().await.unwrap();
        let received = ArrivalReader::new(&server).try_read(&server, &mut [0; 1]).unwrap();
        received.waited > Duration::ZERO
    };
    for _ in 0..MAX_ATTEMPTS {
        if is_noted().await {
            return listener;
        }
    }
    panic!("no arrival noted in {MAX_ATTEMPTS} connections");
}

async fn connection(listener: &TcpListener) -> (TcpStream, TcpStream) {
    let client = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
    (client, listener.accept().await.unwrap().0)
}

/// A process that was held up took bytes for new that had come long before.
#[tokio::test]
async fn bytes_tell_how_long_they_have_waited() {
    let (mut client, server) = connection(&noting_listener().await).await;
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

/// A starting process has connections that came before it accepts any.
#[tokio::test]
async fn bytes_that_came_before_the_accept_tell_their_wait() {
    let listener = noting_listener().await;
    let mut client = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
    client.write_all(b"early").await.unwrap();
    std::thread::sleep(WAIT);
    let (server, _) = listener.accept().await.unwrap();
    let mut reader = ArrivalReader::new(&server);
    server.readable().await.unwrap();
    assert!(reader.try_read(&server, &mut [0; 16]).unwrap().waited >= WAIT);
}

/// The wait of the last bytes counts: a request is there once its last byte is.
#[tokio::test]
async fn the_last_bytes_count() {
    let (mut client, server) = connection(&noting_listener().await).await;
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
async fn an_empty_socket_blocks_and_a_closed_one_ends() {
    let (client, server) = connection(&noting_listener().await).await;
    let mut reader = ArrivalReader::new(&server);
    let empty = reader.try_read(&server, &mut [0; 16]);
    assert_eq!(empty.unwrap_err().kind(), ErrorKind::WouldBlock);
    drop(client);
    server.readable().await.unwrap();
    let end = reader.try_read(&server, &mut [0; 16]).unwrap();
    assert_eq!(end.bytes, 0);
    assert!(end.waited <= MAX_WAIT);
}
