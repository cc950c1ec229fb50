//! A real predecessor with scripted successors that crash, hang, or send messages out of order.

mod common;
mod handover_support;

use common::{read_request, wait_for, CacheServer, Client};
use handover_support::scripted::{frame, ACCEPTING, CANCEL, OFFER, PROCEED, READY};
use handover_support::{static_pool, Fixture};
use std::io::Write;
use std::os::unix::net::UnixStream;

#[test]
fn a_successor_that_dies_at_any_step_leaves_the_predecessor_serving() {
    let server = CacheServer::serving("a");
    let fixture = Fixture::new(&static_pool(&server), "20s");
    let predecessor = fixture.start_ready();
    // The successor connects and sends nothing, or bytes that are not a frame.
    drop(UnixStream::connect(fixture.socket()).unwrap());
    UnixStream::connect(fixture.socket()).unwrap().write_all(b"GET / HTTP/1.1\r\n\r\n").unwrap();
    assert_eq!(fixture.read(1), b"a");
    // The successor dies after its request, or after it has received the sockets.
    for (deaths, receives_offer) in [false, true].into_iter().enumerate() {
        let mut peer = fixture.request_hand_over();
        if receives_offer {
            peer.expect(OFFER);
        }
        drop(peer);
        wait_for("the log line of the death", || predecessor.logged("has died") == deaths + 1);
        assert_eq!(fixture.read(2), b"a");
    }
    // The successor dies while neither process accepts. The predecessor serves the clients that connected
    // meanwhile.
    let mut peer = fixture.request_hand_over();
    peer.expect(OFFER);
    peer.send(READY);
    peer.expect(PROCEED);
    let mut waiting = Client::connect(fixture.address);
    waiting.send(&read_request("read", 3, 20_000));
    drop(peer);
    assert_eq!(waiting.receive().unwrap().body, b"a");
    let successor = fixture.start();
    assert!(predecessor.exit_status().success());
    assert_eq!(fixture.read(4), b"a");
    drop(successor);
}

/// If the predecessor still accepted after it told the successor to proceed, it would compete with the
/// successor, and some clients would connect to a process that is about to depart.
#[test]
fn clients_that_connect_after_the_pause_are_accepted_by_the_successor() {
    let server = CacheServer::serving("a");
    let fixture = Fixture::new(&static_pool(&server), "20s");
    let predecessor = fixture.start_ready();
    let mut peer = fixture.request_hand_over();
    let (_, socket) = peer.receive_with_socket();
    peer.send(READY);
    peer.expect(PROCEED);
    let clients: Vec<_> = (0..20).map(|_| Client::connect(fixture.address)).collect();
    socket.set_nonblocking(true).unwrap();
    for _ in &clients {
        wait_for("each client at the successor", || socket.accept().is_ok());
    }
    peer.send(ACCEPTING);
    assert!(peer.receive().is_none());
    assert!(predecessor.exit_status().success());
}

#[test]
fn a_successor_that_hangs_or_sends_messages_out_of_order_is_cancelled() {
    let server = CacheServer::serving("a");
    let fixture = Fixture::new(&static_pool(&server), "200ms");
    let predecessor = fixture.start_ready();
    let timed_out = "the successor was not done in time";
    let mut peer = fixture.request_hand_over();
    peer.expect(OFFER);
    assert_eq!(peer.expect(CANCEL)["why"], timed_out);
    assert!(peer.receive().is_none());
    let mut peer = fixture.request_hand_over();
    peer.expect(OFFER);
    peer.send(READY);
    peer.expect(PROCEED);
    let mut waiting = Client::connect(fixture.address);
    waiting.send(&read_request("read", 1, 20_000));
    assert_eq!(peer.expect(CANCEL)["why"], timed_out);
    assert_eq!(waiting.receive().unwrap().body, b"a");
    // The successor resumes after it was cancelled.
    assert!(peer.0.write_all(&frame(ACCEPTING.0, ACCEPTING.1)).is_err() || peer.receive().is_none());
    // A successor that sends a message out of order is not trusted with clients.
    let mut peer = fixture.request_hand_over();
    peer.expect(OFFER);
    peer.send(ACCEPTING);
    assert_eq!(peer.expect(CANCEL)["why"], "the successor's words came out of their order");
    assert_eq!(fixture.read(2), b"a");
    assert_eq!(predecessor.logged("has handed over"), 0);
}
