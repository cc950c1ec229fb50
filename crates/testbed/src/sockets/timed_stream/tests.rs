use super::*;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// Time between the arrival and the read.
const READ_DELAY: Duration = Duration::from_millis(100);
/// The kernel may start to timestamp arrivals a little after it was enabled, so the first attempts may fail.
const ATTEMPTS: usize = 20;

/// Guards against a timely answer that is judged late because the runner had no processor time to read it.
#[tokio::test]
async fn a_late_read_reports_the_time_of_arrival() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let mut node = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
    let mut client = TimedStream::new(listener.accept().await.unwrap().0);
    let last_arrival = client.last_arrival();
    for _ in 0..ATTEMPTS {
        node.write_all(b"answer").await.unwrap();
        std::thread::sleep(READ_DELAY);
        client.read_exact(&mut [0; 6]).await.unwrap();
        if last_arrival.get().elapsed() >= READ_DELAY {
            return;
        }
    }
    panic!("no arrival time before the delay in {ATTEMPTS} attempts");
}
