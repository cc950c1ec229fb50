use super::*;
use hyper::rt::Write;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;

// The news of a drain, or the end of the client's connection, may come between an attempt's look and the moment at which hyper
// writes.
#[tokio::test]
async fn a_request_that_is_overtaken_before_its_first_byte_writes_none_and_one_that_has_begun_goes_on() {
    let (past, ahead) = (Some(Instant::now()), Some(Instant::now() + Duration::from_secs(3_600)));
    let cases = [
        (false, true, true, None, true),
        (false, true, true, ahead, true),
        (false, false, true, None, false),
        (false, true, false, None, false),
        (false, true, true, past, false),
        (true, false, true, None, true),
        (true, true, false, None, true),
        (true, true, true, past, true),
    ];
    for (begun, takes_work, owed, begin_by, writes) in cases {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
        let address = listener.local_addr().expect("its address");
        let stream = TcpStream::connect(address).await.expect("a connection");
        let (mut server, _) = listener.accept().await.expect("the other end");
        let waits = Owed::new();
        let written = Rc::new(Written::new(Leave { owed: waits.clone(), begin_by }));
        written.begun.set(begun);
        if !owed {
            waits.end();
        }
        let takes_work = Rc::new(Cell::new(takes_work));
        let mut watched = Watched {
            stream: TokioIo::new(stream),
            written: written.clone(),
            takes_work: takes_work.clone(),
        };
        let wrote = std::future::poll_fn(|cx| Pin::new(&mut watched).poll_write(cx, b"GET")).await;
        assert_eq!(
            wrote.is_ok(),
            writes,
            "begun {begun}, takes work {takes_work:?}, owed {owed}, {begin_by:?}"
        );
        assert_eq!(written.begun.get(), begun || writes);
        drop(watched);
        let mut read = Vec::new();
        server.read_to_end(&mut read).await.expect("the end");
        assert_eq!(read.len(), if writes { 3 } else { 0 });
    }
}

// What lies in the socket of a kept connection may not have reached hyper yet: the runtime polls for it between two turns.
#[tokio::test]
async fn a_kept_connection_on_which_something_stands_unread_carries_no_request() {
    for (kept, stands, writes) in [(true, true, false), (true, false, true), (false, true, true)] {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a listener");
        let stream =
            TcpStream::connect(listener.local_addr().expect("its address")).await.expect("a connection");
        let (mut server, _) = listener.accept().expect("the other end");
        let written = Rc::new(Written::new(Leave { owed: Owed::new(), begin_by: None }));
        written.reused.set(kept);
        let stream = TokioIo::new(stream);
        let mut watched = Watched { stream, written, takes_work: Rc::new(Cell::new(true)) };
        if stands {
            io::Write::write_all(&mut server, b"HTTP/1.1 2").expect("a socket that takes it");
        }
        // Nothing is awaited in between: the runtime knows of nothing.
        let wrote = std::future::poll_fn(|cx| Pin::new(&mut watched).poll_write(cx, b"GET")).await;
        assert_eq!(wrote.is_ok(), writes, "kept {kept}, stands {stands}");
    }
}
