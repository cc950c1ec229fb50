//! Tests of truncated responses of cache servers and of unexpected bytes on idle connections.

mod common;

use common::*;
use socket2::SockRef;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Starts a server that passes the number of each request, from 1, and its connection to `behavior`, which
/// returns whether the connection stays open. Returns the server's address, the ids of the received requests,
/// and a gate that opens once the server has closed a connection.
fn scripted(
    behavior: impl Fn(usize, &mut TcpStream) -> bool + Send + Sync + 'static,
) -> (SocketAddr, Arc<Mutex<Vec<String>>>, Gate) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (received, behavior) = (Arc::<Mutex<Vec<String>>>::default(), Arc::new(behavior));
    let (received_ids, disconnected) = (received.clone(), Gate::default());
    let first_disconnect = disconnected.clone();
    thread::spawn(move || {
        for mut stream in listener.incoming().map_while(Result::ok) {
            let (received, behavior, disconnected) =
                (received.clone(), behavior.clone(), disconnected.clone());
            thread::spawn(move || {
                let mut reader = BufReader::new(stream.try_clone().unwrap());
                while let Ok(Some(message)) = Message::read(&mut reader) {
                    let number = {
                        let mut received = received.lock().unwrap();
                        received.push(message.header("req-id").unwrap().to_owned());
                        received.len()
                    };
                    if !behavior(number, &mut stream) {
                        drop((reader, stream));
                        return disconnected.open();
                    }
                }
            });
        }
    });
    (address, received_ids, first_disconnect)
}

fn write(stream: &mut TcpStream, text: &str) -> bool {
    stream.write_all(text.as_bytes()).is_ok()
}

fn close_after(stream: &mut TcpStream, text: &str) -> bool {
    write(stream, text);
    false
}

fn reset(stream: &TcpStream) -> bool {
    SockRef::from(stream).set_linger(Some(Duration::ZERO)).unwrap();
    false
}

/// Sends a request of this class to a node with two servers of the same behavior. Returns the status and the
/// body of the response, and the number of attempts.
fn send_request(class: &str, behavior: fn(usize, &mut TcpStream) -> bool) -> (u16, String, usize) {
    let servers = [scripted(behavior), scripted(behavior)];
    let [one, two] = servers.each_ref().map(|(address, ..)| *address);
    let discovery = Discovery::start(&[endpoint("s-1", one, "ready"), endpoint("s-2", two, "ready")]);
    let node = Node::start_ready(&config(discovery.address));
    let response = node.read(class, 1);
    let attempts = servers.iter().map(|(_, received, _)| received.lock().unwrap().len()).sum();
    (response.status(), String::from_utf8(response.body).unwrap(), attempts)
}

/// A response without a length is complete when its connection closes. Guards against a reset that counts as
/// such a close, so that half a response was forwarded as a complete one.
#[test]
fn a_response_without_a_length_ends_with_a_close_but_not_with_a_reset() {
    let complete = |_: usize, stream: &mut TcpStream| {
        write(stream, "HTTP/1.1 200 OK\r\n\r\nvalue");
        false
    };
    assert_eq!(send_request("read", complete), (200, "value".into(), 1));
    let truncated = |_: usize, stream: &mut TcpStream| {
        write(stream, "HTTP/1.1 200 OK\r\n\r\nval");
        reset(stream)
    };
    let (status, body, attempts) = send_request("read", truncated);
    assert_eq!((status == 200, body.contains("val"), attempts), (false, false, 2));
    // An unsafe request may have run and is not retried.
    let (status, body, attempts) = send_request("once", truncated);
    assert_eq!((status, body.contains("val"), attempts), (502, false, 1));
}

/// A server that has begun to respond has run the request. If the attempt counted as not sent, it would be
/// retried and an unsafe request would run twice. If its end went unnoticed, the request would wait until its
/// deadline.
#[test]
fn a_truncated_response_head_counts_as_an_attempt_that_may_have_run() {
    let truncated_heads: [fn(usize, &mut TcpStream) -> bool; 3] = [
        |_, stream| close_after(stream, "H"),
        |_, stream| close_after(stream, "HTTP/1.1 2"),
        |_, stream| write(stream, "HTTP/1.1 200 OK\r\nContent-Le") && reset(stream),
    ];
    for truncated_head in truncated_heads {
        let (status, _, attempts) = send_request("once", truncated_head);
        assert_eq!((status, attempts), (502, 1));
    }
}

/// A server writes to an idle connection (half a line, a second response or arbitrary bytes), and in some
/// cases closes or resets it. The next request must neither get these bytes as its response nor fail because
/// of them. Both faults return if a request is written without checking the socket for unread bytes first.
#[test]
fn unexpected_bytes_on_an_idle_connection_close_it_and_fail_no_request() {
    type IdleAction = fn(&mut TcpStream) -> bool;
    let cases: [IdleAction; 5] = [
        |stream| write(stream, "HTTP/1.1 2"),
        |stream| close_after(stream, "HTTP/1.1 2"),
        |stream| write(stream, &response("200 OK", "", "not yours")),
        |stream| write(stream, "\0\0\0") && reset(stream),
        |stream| reset(stream),
    ];
    for (case, idle_action) in cases.into_iter().enumerate() {
        // The bytes are sent after the response has been read, when the connection is idle.
        let gate = Gate::default();
        let written = Gate::default();
        let (opened, done) = (gate.clone(), written.clone());
        let (address, received, disconnected) = scripted(move |number, stream| {
            if !write(stream, &response("200 OK", "", "value")) || number != 1 {
                return true;
            }
            opened.wait();
            let stays_open = idle_action(stream);
            if stays_open {
                done.open();
            }
            stays_open
        });
        let discovery = Discovery::start(&[endpoint("s-1", address, "ready")]);
        let node = Node::start_ready(&config(discovery.address));
        assert_eq!(node.read("once", 1).body, b"value", "{case}");
        gate.open();
        if [0, 2].contains(&case) {
            written.wait()
        } else {
            disconnected.wait()
        }
        for key in 2..5 {
            let response = node.read("once", key);
            assert_eq!((response.status(), &response.body[..]), (200, &b"value"[..]), "{case}, {key}");
        }
        assert_eq!(received.lock().unwrap()[..], ["1", "2", "3", "4"], "{case}");
    }
}
