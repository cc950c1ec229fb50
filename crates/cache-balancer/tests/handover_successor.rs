//! A real successor with scripted predecessors that crash, cancel, or send unreadable messages.

mod common;
mod handover_support;

use common::{output_before_timeout, read_request, wait_for, CacheServer, Client, Discovery, Node, TIMEOUT};
use handover_support::scripted::{
    empty_state, frame, ScriptedPredecessor, ACCEPTING, CANCEL, OFFER, PROCEED, READY,
};
use handover_support::{static_pool, Fixture};
use serde_json::json;
use std::io::Write;
use std::os::unix::net::UnixDatagram;
use std::process::{Command, Stdio};

#[test]
fn a_successor_that_cannot_read_the_state_starts_without_it() {
    let server = CacheServer::serving("a");
    for (state, reason) in [
        (json!({"version": 99, "pools": "?"}), "expected a state of version 1, found 99"),
        (json!({"version": 1, "pools": 7}), "expected a state of version 1: invalid type: integer `7`"),
        (json!(null), "expected a state of version 1: invalid type: null"),
    ] {
        let fixture = Fixture::new(&static_pool(&server), "20s");
        let predecessor = ScriptedPredecessor::listen(&fixture);
        let node = std::thread::scope(|scope| {
            let node = scope.spawn(|| fixture.start());
            let mut peer = predecessor.accept_request();
            predecessor.offer(&fixture, &peer, &state);
            peer.expect(READY.0);
            peer.send((PROCEED, &json!({"state": state}).to_string()));
            peer.expect(ACCEPTING.0);
            drop(peer);
            node.join().unwrap()
        });
        // The predecessor holds the same socket open but does not accept on it.
        assert_eq!(fixture.read(1), b"a");
        assert!(node.startup_log.contains(reason), "{}", node.startup_log);
        drop(predecessor);
        assert_eq!(fixture.read(2), b"a");
    }
}

#[test]
fn a_successor_takes_over_from_a_predecessor_that_dies_before_it_proceeds() {
    let server = CacheServer::serving("a");
    let fixture = Fixture::new(&static_pool(&server), "20s");
    let predecessor = ScriptedPredecessor::listen(&fixture);
    let mut waiting = Client::connect(fixture.address);
    waiting.send(&read_request("read", 1, 20_000));
    let node = std::thread::scope(|scope| {
        let node = scope.spawn(|| fixture.start());
        let mut peer = predecessor.accept_request();
        predecessor.offer(&fixture, &peer, &empty_state());
        peer.expect(READY.0);
        drop(peer);
        drop(predecessor);
        node.join().unwrap()
    });
    assert_eq!(waiting.receive().unwrap().body, b"a");
    drop(node);
}

#[test]
fn a_cancelled_successor_exits_and_accepts_no_client() {
    let server = CacheServer::serving("a");
    let fixture = Fixture::new(&static_pool(&server), "20s");
    let predecessor = ScriptedPredecessor::listen(&fixture);
    let output = std::thread::scope(|scope| {
        let node = scope.spawn(|| output_before_timeout(fixture.command()));
        let mut peer = predecessor.accept_request();
        predecessor.offer(&fixture, &peer, &empty_state());
        peer.expect(READY.0);
        peer.send((CANCEL, "{\"why\":\"a change of mind\"}"));
        node.join().unwrap()
    });
    assert_eq!(output.status.code(), Some(1));
    let stderr = String::from_utf8(output.stderr).unwrap();
    assert!(
        stderr.contains("cache-balancer: the predecessor continues to serve: a change of mind"),
        "{stderr}"
    );
    assert!(!stderr.contains("listens on"), "{stderr}");
    // If the predecessor sends no valid offer, the error states the cause.
    for (bytes, reason) in [
        (b"HTTP".to_vec(), "byte 0 of a frame: expected \"PHHO\""),
        (frame(CANCEL, "{\"why\":\"busy\"}"), "did not hand over: busy"),
        (frame(OFFER, "{}"), "payload of a frame: missing field `listeners`"),
        (Vec::new(), "disconnected before it handed over"),
    ] {
        let output = std::thread::scope(|scope| {
            let node = scope.spawn(|| output_before_timeout(fixture.command()));
            let mut peer = predecessor.accept_request();
            peer.0.write_all(&bytes).unwrap();
            drop(peer);
            node.join().unwrap()
        });
        let stderr = String::from_utf8(output.stderr).unwrap();
        assert!(output.status.code() == Some(1) && stderr.contains(reason), "{reason}: {stderr}");
    }
}

/// Guards against a successor that hangs right after it began to accept, is cancelled by the predecessor, and
/// then accepts connections at the same time as the predecessor.
#[test]
fn a_successor_cancelled_while_it_accepts_finishes_its_requests() {
    let (server, gate) = CacheServer::gated("a");
    let fixture = Fixture::new(&static_pool(&server), "20s");
    let predecessor = ScriptedPredecessor::listen(&fixture);
    let (node, mut client) = std::thread::scope(|scope| {
        let node = scope.spawn(|| fixture.start());
        let mut peer = predecessor.accept_request();
        predecessor.offer(&fixture, &peer, &empty_state());
        peer.expect(READY.0);
        peer.send((PROCEED, &json!({"state": empty_state()}).to_string()));
        peer.expect(ACCEPTING.0);
        let mut client = Client::connect(fixture.address);
        client.send(&read_request("read", 1, 20_000));
        wait_for("the request", || server.request_count() == 1);
        peer.send((CANCEL, "{\"why\":\"too late\"}"));
        let node = node.join().unwrap();
        // The successor has stopped accepting, so new clients wait for the predecessor.
        wait_for("the end of accepting", || {
            let probe = Client::connect(fixture.address);
            predecessor.clients.set_nonblocking(true).unwrap();
            let accepted = predecessor.clients.accept().is_ok();
            drop(probe);
            accepted
        });
        (node, client)
    });
    gate.open();
    assert_eq!(client.receive().unwrap().body, b"a");
    drop(client);
    assert_eq!(node.exit_status().code(), Some(1));
}

#[test]
fn a_predecessor_killed_during_a_hand_over_is_replaced_by_its_successor() {
    let server = CacheServer::serving("a");
    let discovery = Discovery::start(&[]);
    let fixture = Fixture::new(&format!("discovery = \"{}\"\n", discovery.address), "20s");
    let mut predecessor = fixture.start();
    wait_for("the hand-over socket", || fixture.socket().exists());
    discovery.wait_until_applied(1);
    // Neither process has had a server yet, so the successor cannot become ready.
    let node = std::thread::scope(|scope| {
        let node = scope.spawn(|| fixture.start());
        wait_for("the request of a hand-over", || predecessor.logged("requested by version") == 1);
        let before = discovery.request_count();
        wait_for("the successor's watch", || {
            discovery.request_count() > before || discovery.request_count() >= 3
        });
        predecessor.child.kill().unwrap();
        node.join().unwrap()
    });
    discovery.publish(true, &[server.endpoint("box", "ready")]);
    wait_for("the node's readiness", || node.get("/healthz").status() == 200);
    assert_eq!(fixture.read(1), b"a");
}

/// Guards against two faults: a process with clients exits because it cannot bind its hand-over socket, and
/// the service manager takes the stop of a successor that never served for a stop of the service.
#[test]
fn a_successor_without_a_socket_serves_and_one_stopped_early_sends_no_notification() {
    let server = CacheServer::serving("a");
    let fixture = Fixture::new(&static_pool(&server), "20s");
    let predecessor = ScriptedPredecessor::listen(&fixture);
    let manager = UnixDatagram::bind(fixture.directory.0.join("notify")).unwrap();
    manager.set_read_timeout(Some(TIMEOUT)).unwrap();
    let node_command = || {
        let mut command = fixture.command();
        command.env("NOTIFY_SOCKET", fixture.directory.0.join("notify")).stderr(Stdio::piped());
        command
    };
    let mut stopped = node_command().spawn().unwrap();
    let mut peer = predecessor.accept_request();
    predecessor.offer(&fixture, &peer, &empty_state());
    peer.expect(READY.0);
    assert!(Command::new("kill").args(["-TERM", &stopped.id().to_string()]).status().unwrap().success());
    assert!(peer.receive().is_none() && stopped.wait().unwrap().success());
    manager.set_nonblocking(true).unwrap();
    assert!(manager.recv(&mut [0; 64]).is_err(), "the successor notified the service manager");
    let node = std::thread::scope(|scope| {
        let node =
            scope.spawn(|| Node::spawn(node_command(), fixture.directory.0.join("cache-balancer.toml")));
        let mut peer = predecessor.accept_request();
        predecessor.offer(&fixture, &peer, &empty_state());
        peer.expect(READY.0);
        // The successor cannot bind its socket.
        fixture.block_socket();
        drop(peer);
        node.join().unwrap()
    });
    wait_for("the log line of the failure", || node.logged("hand-over: no successor can connect: ") == 1);
    drop(predecessor);
    assert_eq!(fixture.read(1), b"a");
}
