use super::*;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// Returns both ends of a connection: the node's, and the server's with its faults.
async fn connected_pair(state_lost_at: &StateLostAt) -> (TcpStream, FaultyStream, ConnectionFaults) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let node = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
    let faults = ConnectionFaults::new(state_lost_at.clone());
    let server = FaultyStream::new(listener.accept().await.unwrap().0, faults.clone());
    (node, server, faults)
}

#[tokio::test]
async fn a_reset_write_delivers_half_of_its_bytes_and_then_a_reset() {
    let (mut node, mut server, faults) = connected_pair(&StateLostAt::default()).await;
    server.write_all(b"whole ").await.unwrap();
    faults.reset_next_write();
    let error = server.write_all(b"never whole").await.unwrap_err();
    assert_eq!(error.kind(), io::ErrorKind::ConnectionReset);
    // Read before the connection is closed, because the reset can overtake the data.
    let mut received = [0; 11];
    node.read_exact(&mut received).await.unwrap();
    assert_eq!(&received, b"whole never");
    drop(server);
    let end = node.read(&mut received).await.map_err(|error| error.kind());
    assert_eq!(end.unwrap_err(), io::ErrorKind::ConnectionReset);
}

#[tokio::test]
async fn a_half_open_connection_drops_all_data_and_a_later_one_works() {
    let state_lost_at = StateLostAt::default();
    let (mut node, mut server, faults) = connected_pair(&state_lost_at).await;
    server.write_all(b"a").await.unwrap();
    assert_eq!(node.read_u8().await.unwrap(), b'a');
    state_lost_at.set(Some(Instant::now()));
    assert!(faults.is_half_open());
    // Writes succeed at both ends.
    server.write_all(b"b").await.unwrap();
    node.write_all(b"c").await.unwrap();
    server.shutdown().await.unwrap();
    let (mut server_buffer, mut node_buffer) = ([0; 1], [0; 1]);
    // A new connection counts as half-open until the clock has advanced since `state_lost_at`.
    let mut later = connected_pair(&state_lost_at).await;
    for _ in 0..1_000 {
        if !later.2.is_half_open() {
            break;
        }
        later = connected_pair(&state_lost_at).await;
    }
    let (mut later_node, mut later, faults) = later;
    assert!(!faults.is_half_open());
    tokio::select! {
        biased;
        read = server.read(&mut server_buffer) => panic!("{read:?}"),
        read = node.read(&mut node_buffer) => panic!("{read:?}"),
        () = async {
            later_node.write_all(b"d").await.unwrap();
            assert_eq!(later.read_u8().await.unwrap(), b'd');
            later.write_all(b"e").await.unwrap();
            assert_eq!(later_node.read_u8().await.unwrap(), b'e');
        } => {}
    }
}
