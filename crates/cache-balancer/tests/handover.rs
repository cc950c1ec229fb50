//! Upgrades by a hand-over between real processes.

mod common;
mod handover_support;

use common::{command, read_request, wait_for, CacheServer, Discovery, Gate, TIMEOUT};
use handover_support::scripted::{CANCEL, OFFER, PROCEED, READY};
use handover_support::{static_pool, Clients, Fixture, HANDOVER_SETTINGS};
use std::os::unix::net::{UnixDatagram, UnixStream};
use std::process::Stdio;

#[test]
fn repeated_upgrades_under_load_send_and_answer_each_request_once() {
    let server = CacheServer::serving("a");
    let fixture = Fixture::new(&static_pool(&server), "20s");
    let mut node = fixture.start_ready();
    let clients = Clients::start(&fixture, 4);
    for _ in 0..4 {
        let before = server.request_count();
        wait_for("some requests", || server.request_count() > before + 20);
        let next = fixture.start();
        assert!(node.exit_status().success());
        node = next;
    }
    let responses = clients.stop();
    assert_eq!(server.request_count() as u64, responses);
    assert_eq!(node.logged("has handed over"), 0);
    node.terminate();
    assert!(node.exit_status().success());
}

#[test]
fn the_predecessor_finishes_its_requests_and_the_successor_receives_its_state() {
    let gate = Gate::default();
    let server_gate = gate.clone();
    let good = CacheServer::start(move |request| {
        if request.header("req-id") == Some("ff") {
            server_gate.wait();
        }
        common::ServerBehavior::Respond(common::response("200 OK", "", "good"))
    });
    let broken = CacheServer::start(|_| common::ServerBehavior::RespondAndClose(String::new()));
    let discovery = Discovery::start(&[good.endpoint("good", "ready"), broken.endpoint("broken", "ready")]);
    let fixture = Fixture::new(&format!("discovery = \"{}\"\n", discovery.address), "20s");
    let predecessor = fixture.start_ready();
    for key in 0..60 {
        assert_eq!(fixture.read(key), b"good");
    }
    let broken_requests = broken.request_count();
    assert_eq!(predecessor.logged("breaker of broken tripped"), 1);
    discovery.publish(false, &[]);
    discovery.wait_until_applied(2);
    // Request 0xff is in flight while another client is idle.
    let (mut in_flight, mut idle) = (predecessor.client(), predecessor.client());
    assert_eq!(idle.request(&read_request("read", 0x100, 20_000)).body, b"good");
    in_flight.send(&read_request("read", 0xff, 20_000));
    wait_for("request 0xff at the server", || {
        good.received.lock().unwrap().iter().any(|request| request.header("req-id") == Some("ff"))
    });
    let successor = fixture.start();
    wait_for("the hand-over", || predecessor.logged("stands by: its successor serves, on probation") == 1);
    for key in 0..60 {
        assert_eq!(fixture.read(0x200 + key), b"good");
    }
    assert_eq!(broken.request_count(), broken_requests, "the breaker is open at the successor too");
    // The watch continues from the version that was handed over, without a request for a snapshot.
    discovery.wait_until_applied(2);
    let snapshots = discovery.received.lock().unwrap().iter().filter(|path| *path == "/v1/servers").count();
    assert_eq!(snapshots, 1);
    // The predecessor still responds on its own connections, but tells the clients to use another one.
    let response = idle.request(&read_request("read", 0x101, 20_000));
    assert_eq!((response.status(), response.header("connection")), (200, Some("close")));
    gate.open();
    let response = in_flight.receive().unwrap();
    assert_eq!((response.status(), response.header("connection")), (200, Some("close")));
    drop((in_flight, idle));
    assert!(predecessor.exit_status().success());
    assert_eq!(fixture.read(0x300), b"good");
    drop(successor);
}

/// If the predecessor stopped accepting before its successor was ready, clients would be turned away until
/// the successor has a first server.
#[test]
fn a_successor_that_is_not_ready_leaves_the_predecessor_serving() {
    let server = CacheServer::serving("a");
    let fixture = Fixture::new(&static_pool(&server), "20s");
    let predecessor = fixture.start_ready();
    // The discovery service in the successor's configuration has no servers yet.
    let discovery = Discovery::start(&[]);
    let config = &fixture.config;
    let config = config.replace(&static_pool(&server), &format!("discovery = \"{}\"\n", discovery.address));
    let config = config.replace("name = \"p\"", "name = \"other\"");
    fixture.directory.write("next.toml", &config);
    let mut successor = command();
    successor.arg("run").arg("--config").arg(fixture.directory.0.join("next.toml")).stderr(Stdio::null());
    let mut successor = successor.spawn().unwrap();
    discovery.wait_until_applied(1);
    for key in 0..20 {
        assert_eq!(fixture.read(key), b"a");
    }
    assert_eq!(predecessor.logged("has handed over"), 0);
    discovery.publish(true, &[server.endpoint("box", "ready")]);
    assert!(predecessor.exit_status().success());
    assert_eq!(fixture.read(99), b"a");
    successor.kill().unwrap();
    successor.wait().unwrap();
}

#[test]
fn a_reload_waits_for_the_end_of_a_hand_over_and_a_stop_does_not() {
    let server = CacheServer::serving("a");
    let fixture = Fixture::new(&static_pool(&server), "20s");
    let predecessor = fixture.start_ready();
    let config = &fixture.config;
    let mut peer = fixture.request_hand_over();
    peer.expect(OFFER);
    predecessor.reload(&format!("{config}[[class]]\nname = \"new\"\neffect = \"safe\"\n"));
    for key in 0..20 {
        assert_eq!(fixture.read(key), b"a");
    }
    assert_eq!(predecessor.logged("configuration read again"), 0);
    drop(peer);
    wait_for("the reload", || predecessor.logged("configuration read again: class new added") == 1);
    let mut peer = fixture.request_hand_over();
    peer.expect(OFFER);
    predecessor.terminate();
    assert_eq!(peer.expect(CANCEL)["why"], "it is told to stop");
    assert!(predecessor.exit_status().success());
    // If the predecessor is stopped while neither process accepts, it leaves the clients to the successor.
    let predecessor = fixture.start_ready();
    let mut peer = fixture.request_hand_over();
    peer.expect(OFFER);
    peer.send(READY);
    peer.expect(PROCEED);
    predecessor.terminate();
    assert!(peer.receive().is_none());
    assert!(predecessor.exit_status().success());
}

#[test]
fn sigusr2_starts_a_successor_that_becomes_the_main_process() {
    let server = CacheServer::serving("a");
    let fixture = Fixture::new(&static_pool(&server), "20s");
    let manager = UnixDatagram::bind(fixture.directory.0.join("notify")).unwrap();
    manager.set_read_timeout(Some(TIMEOUT)).unwrap();
    let notification = || common::receive_notification(&manager);
    let mut command = fixture.command();
    command.env("NOTIFY_SOCKET", fixture.directory.0.join("notify")).env("WATCHDOG_USEC", "60000000");
    let predecessor = fixture.spawn(command);
    while notification() != "READY=1" {}
    wait_for("the hand-over socket", || fixture.socket().exists());
    predecessor.signal("-USR2");
    // The successor is ready first and becomes the main process once its probation is over.
    while notification() != "READY=1" {}
    let main_pid: i32 = loop {
        if let Some(pid) = notification().strip_prefix("MAINPID=") {
            break pid.parse().unwrap();
        }
    };
    assert_ne!(main_pid, predecessor.child.id() as i32);
    assert!(predecessor.exit_status().success());
    assert_eq!(fixture.read(1), b"a");
    let main_pid = rustix::process::Pid::from_raw(main_pid).unwrap();
    rustix::process::kill_process(main_pid, rustix::process::Signal::TERM).unwrap();
    // The predecessor did not report that it stops, because the service continues.
    while notification() != "STOPPING=1" {}
    wait_for("the exit of the main process", || rustix::process::test_kill_process(main_pid).is_err());
}

#[test]
fn a_reload_moves_or_removes_the_hand_over_socket() {
    let server = CacheServer::serving("a");
    let fixture = Fixture::new(&static_pool(&server), "20s");
    let config = &fixture.config;
    let predecessor = fixture.start_ready();
    let without_handover: String = config.replace(&format!("{HANDOVER_SETTINGS}within = \"20s\"\n"), "");
    predecessor.reconfigure(&without_handover);
    assert_eq!(predecessor.logged("configuration read again: hand-over changed"), 1);
    wait_for("the removal of the hand-over socket", || UnixStream::connect(fixture.socket()).is_err());
    predecessor.signal("-USR2");
    wait_for("the log line", || predecessor.logged("hand-over: the configuration has no [hand_over]") == 1);
    predecessor.reconfigure(&config.replace("n.sock", "m.sock"));
    assert!(UnixStream::connect(fixture.directory.0.join("m.sock")).is_ok());
    let long_path = fixture.directory.write("long.toml", &config.replace("n.sock", &"n".repeat(90)));
    let checked = command().arg("check").arg(long_path).output().unwrap();
    let stderr = String::from_utf8(checked.stderr).unwrap();
    assert!(
        stderr.contains("hand_over.socket: expected the path of a Unix socket, of up to 80 bytes"),
        "{stderr}"
    );
}

#[test]
fn a_configured_port_equal_to_the_assigned_port_is_the_same_listener() {
    let server = CacheServer::serving("a");
    let mut fixture = Fixture::new(&static_pool(&server), "20s");
    fixture.config = fixture.config.replace(&fixture.address.to_string(), "127.0.0.1:0");
    let predecessor = fixture.start_ready();
    fixture.config = fixture.config.replace("127.0.0.1:0", &predecessor.address.to_string());
    let successor = fixture.take_over(&predecessor);
    assert_eq!(successor.address, predecessor.address);
    assert_eq!(successor.read("read", 1).body, b"a");
}

#[test]
fn after_the_probation_the_predecessor_departs_and_does_not_roll_back() {
    let server = CacheServer::serving("a");
    let fixture = Fixture::new(&static_pool(&server), "20s");
    let predecessor = fixture.start_ready();
    let successor = fixture.start();
    assert!(predecessor.exit_status().success());
    drop(successor);
    assert!(std::net::TcpStream::connect(fixture.address).is_err());
}
