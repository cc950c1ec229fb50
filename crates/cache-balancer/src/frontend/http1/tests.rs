use super::*;
use crate::shutdown_phase::ShutdownPhase;
use std::io::{Read, Write};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;

fn frontend() -> Rc<Frontend> {
    let routes = Routes { classes: Vec::new(), tenants: Vec::new() };
    Rc::new(Frontend::new(routes, Rc::new(Readiness::new(Vec::new())), 256, 116))
}

/// A connection that the system had accepted for the node was reset with its listener as the node closed: it
/// had come since the runtime last polled. Accepting by the runtime alone brings it back.
#[tokio::test]
async fn connections_in_the_systems_queue_are_served_as_the_node_closes() {
    let all = async {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a listener");
        listener.set_nonblocking(true).expect("a socket for the runtime");
        let address = listener.local_addr().expect("its address");
        let listener = Rc::new(TcpListener::from_std(listener).expect("a socket of the runtime"));
        let (frontend, (_stage, closing)) = (frontend(), watch::channel(ShutdownPhase::Closing));
        let mut clients: Vec<_> =
            (0..3).map(|_| std::net::TcpStream::connect(address).expect("a client")).collect();
        for client in &mut clients {
            client.write_all(b"GET /nowhere HTTP/1.1\r\nHost: s\r\n\r\n").expect("a socket that takes it");
        }
        // Nothing is awaited until here: the runtime has not polled since they came.
        serve(listener, closing, frontend.clone()).await;
        let read = tokio::task::spawn_blocking(move || {
            let mut read = String::new();
            for client in &mut clients {
                client.set_read_timeout(Some(Duration::from_secs(20))).expect("a time limit");
                client.read_to_string(&mut read).expect("an answer, and no reset");
            }
            read
        });
        assert_eq!(read.await.expect("a reader").matches("HTTP/1.1 404").count(), 3);
        frontend.table.drained().await;
    };
    tokio::task::LocalSet::new().run_until(all).await;
}
