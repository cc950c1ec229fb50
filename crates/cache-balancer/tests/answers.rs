//! Responses of cache servers that break off, and bytes on idle connections.

mod common;

use common::*;
use socket2::SockRef;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Starts a server that passes each request's number, from 1, and its connection to `behavior`, which returns whether
/// the connection stays open. Returns its address, the ids of the requests, and a gate that opens once it has
/// ended a connection.
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

/// The status, the body and the number of attempts of a request of this class, with two servers that do the
/// same.
fn outcome(class: &str, behavior: fn(usize, &mut TcpStream) -> bool) -> (u16, String, usize) {
    let servers = [scripted(behavior), scripted(behavior)];
    let [one, two] = servers.each_ref().map(|(address, ..)| *address);
    let discovery = Discovery::start(&[endpoint("s-1", one, "ready"), endpoint("s-2", two, "ready")]);
    let node = Node::start_ready(&config(discovery.address));
    let answer = node.read(class, 1);
    let attempts = servers.iter().map(|(_, received, _)| received.lock().unwrap().len()).sum();
    (answer.status(), String::from_utf8(answer.body).unwrap(), attempts)
}

/// A response without a length is whole when its connection closes. A reset is no such close: taken for one,
/// half a response was passed on as a whole one.
#[test]
fn a_response_without_a_length_ends_with_its_connection_and_not_with_a_reset() {
    let whole = |_: usize, stream: &mut TcpStream| {
        write(stream, "HTTP/1.1 200 OK\r\n\r\nvalue");
        false
    };
    assert_eq!(outcome("read", whole), (200, "value".into(), 1));
    let broken = |_: usize, stream: &mut TcpStream| {
        write(stream, "HTTP/1.1 200 OK\r\n\r\nval");
        reset(stream)
    };
    let (status, body, attempts) = outcome("read", broken);
    assert_eq!((status == 200, body.contains("val"), attempts), (false, false, 2));
    // An unsafe request has run, and is not retried.
    let (status, body, attempts) = outcome("once", broken);
    assert_eq!((status, body.contains("val"), attempts), (502, false, 1));
}

/// The request has run by the time at which its server begins to respond. An attempt that counts as not sent
/// here is retried, and an unsafe request runs twice; one that is not seen to end waits until its request's
/// deadline.
#[test]
fn a_response_that_breaks_off_in_its_head_is_an_attempt_that_may_have_run() {
    let halves: [fn(usize, &mut TcpStream) -> bool; 3] = [
        |_, stream| close_after(stream, "H"),
        |_, stream| close_after(stream, "HTTP/1.1 2"),
        |_, stream| write(stream, "HTTP/1.1 200 OK\r\nContent-Le") && reset(stream),
    ];
    for half in halves {
        let (status, _, attempts) = outcome("once", half);
        assert_eq!((status, attempts), (502, 1));
    }
}

/// A server writes to an idle connection: half a line, a second response, noise, then perhaps a close or a
/// reset. The next request must neither get these bytes as its response nor fail because of them. A request
/// that is written without a look at the socket brings both back.
#[test]
fn bytes_on_an_idle_connection_end_it_and_cost_no_request() {
    type Then = fn(&mut TcpStream) -> bool;
    let cases: [Then; 5] = [
        |stream| write(stream, "HTTP/1.1 2"),
        |stream| close_after(stream, "HTTP/1.1 2"),
        |stream| write(stream, &response("200 OK", "", "not yours")),
        |stream| write(stream, "\0\0\0") && reset(stream),
        |stream| reset(stream),
    ];
    for (case, then) in cases.into_iter().enumerate() {
        // The bytes come once the response has been read: the connection is idle then.
        let gate = Gate::default();
        let written = Gate::default();
        let (opened, done) = (gate.clone(), written.clone());
        let (address, received, disconnected) = scripted(move |number, stream| {
            if !write(stream, &response("200 OK", "", "value")) || number != 1 {
                return true;
            }
            opened.wait();
            let goes_on = then(stream);
            if goes_on {
                done.open();
            }
            goes_on
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
            let answer = node.read("once", key);
            assert_eq!((answer.status(), &answer.body[..]), (200, &b"value"[..]), "{case}, {key}");
        }
        assert_eq!(received.lock().unwrap()[..], ["1", "2", "3", "4"], "{case}");
    }
}
