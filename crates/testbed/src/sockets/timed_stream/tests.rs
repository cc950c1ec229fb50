use super::*;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// How long the reader is held up.
const HELD_UP: Duration = Duration::from_millis(100);
/// The system may note arrivals a little later than it was asked to.
const ATTEMPTS: usize = 20;

/// An answer in time was judged late, since the runner had no processor time to read it.
#[tokio::test]
async fn what_is_read_late_came_when_it_came() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let mut node = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
    let mut client = TimedStream::new(listener.accept().await.unwrap().0);
    let last_arrival = client.last_arrival();
    for _ in 0..ATTEMPTS {
        node.write_all(b"answer").await.unwrap();
        std::thread::sleep(HELD_UP);
        client.read_exact(&mut [0; 6]).await.unwrap();
        if last_arrival.get().elapsed() >= HELD_UP {
            return;
        }
    }
    panic!("no wait seen in {ATTEMPTS} attempts");
}
