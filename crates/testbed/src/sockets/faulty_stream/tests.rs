use super::*;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// Both ends of a connection: the node's, and the server's with its faults.
async fn pair(forgotten_at: &ForgottenAt) -> (TcpStream, FaultyStream, ConnectionFaults) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let node = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
    let faults = ConnectionFaults::new(forgotten_at.clone());
    let server = FaultyStream::new(listener.accept().await.unwrap().0, faults.clone());
    (node, server, faults)
}

#[tokio::test]
async fn a_reset_write_delivers_half_of_it_and_then_a_reset() {
    let (mut node, mut server, faults) = pair(&ForgottenAt::default()).await;
    server.write_all(b"whole ").await.unwrap();
    faults.reset_next_write();
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
    let forgotten_at = ForgottenAt::default();
    let (mut node, mut server, faults) = pair(&forgotten_at).await;
    server.write_all(b"a").await.unwrap();
    assert_eq!(node.read_u8().await.unwrap(), b'a');
    forgotten_at.set(Some(Instant::now()));
    assert!(faults.is_forgotten());
    // Both ends write, and neither hears of an error.
    server.write_all(b"b").await.unwrap();
    node.write_all(b"c").await.unwrap();
    server.shutdown().await.unwrap();
    let (mut none, mut nothing) = ([0; 1], [0; 1]);
    // The clock has to have gone on since.
    let mut later = pair(&forgotten_at).await;
    for _ in 0..1_000 {
        if !later.2.is_forgotten() {
            break;
        }
        later = pair(&forgotten_at).await;
    }
    let (mut later_node, mut later, faults) = later;
    assert!(!faults.is_forgotten());
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
