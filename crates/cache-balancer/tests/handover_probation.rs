//! Deaths, lost links and stops of either process during the probation after a hand-over.

mod common;
mod handover_support;

use common::{output_before_timeout, read_request, wait_for, CacheServer, Client, Node, TempDir, TIMEOUT};
use handover_support::scripted::{Peer, ACCEPTING, COMMIT, OFFER, PROCEED, READY, REQUEST_WITH_PROBATION};
use handover_support::Fixture;
use std::os::unix::net::{UnixDatagram, UnixListener, UnixStream};
use std::path::Path;
use std::process::{Command, Stdio};

/// Name of the test that a [`SuccessorProcess`] runs.
const SCRIPTED_SUCCESSOR: &str = "a_scripted_successor_requests_a_hand_over_and_keeps_running";

/// A scripted successor in a separate process, so that it can die while the test runs. It executes its script
/// and then keeps running until a signal ends it.
struct SuccessorProcess {
    process: std::process::Child,
    /// Created by the process once it has executed its script.
    done_file: std::path::PathBuf,
}

impl SuccessorProcess {
    /// Starts the process. The steps of the script are separated by spaces: `request`, `ready` and
    /// `accepting` send a message, `offer`, `proceed` and `commit` expect one, and `close` closes the link.
    fn start(directory: &TempDir, socket: &Path, script: &str) -> Self {
        let done_file = directory.0.join(format!("done-{}", script.replace(' ', "-")));
        let mut command = Command::new(std::env::current_exe().unwrap());
        command.args(["--exact", SCRIPTED_SUCCESSOR]).stdout(Stdio::null());
        command
            .env("SUCCESSOR_SOCKET", socket)
            .env("SUCCESSOR_SCRIPT", script)
            .env("SUCCESSOR_DONE", &done_file);
        Self { process: command.spawn().unwrap(), done_file }
    }

    /// Starts the process and returns once it has executed its script.
    fn run_script(fixture: &Fixture, script: &str) -> Self {
        let successor = Self::start(&fixture.directory, &fixture.socket(), script);
        wait_for("the script", || successor.done_file.exists());
        successor
    }

    /// Waits for the end of the process and returns the signal that ended it.
    fn exit_signal(&mut self) -> Option<i32> {
        use std::os::unix::process::ExitStatusExt;
        let mut status = None;
        wait_for("the exit of the successor", || {
            status = self.process.try_wait().unwrap();
            status.is_some()
        });
        status.unwrap().signal()
    }
}

impl Drop for SuccessorProcess {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

/// The probation tests rely on a successor that executes exactly its script. If the environment has a script,
/// this test acts as that successor. Otherwise it starts itself as one and checks it from the predecessor's
/// side.
#[test]
fn a_scripted_successor_requests_a_hand_over_and_keeps_running() {
    if let Some(script) = std::env::var_os("SUCCESSOR_SCRIPT") {
        return act_as_successor(script.to_str().unwrap());
    }
    let directory = TempDir::new();
    let socket = directory.0.join("n.sock");
    let listener = UnixListener::bind(&socket).unwrap();
    let mut successor = SuccessorProcess::start(&directory, &socket, "request close");
    let mut link = Peer(listener.accept().unwrap().0);
    let (kind, payload) = REQUEST_WITH_PROBATION;
    assert_eq!(link.expect(kind), serde_json::from_str::<serde_json::Value>(payload).unwrap());
    wait_for("the script", || successor.done_file.exists());
    assert_eq!(successor.process.try_wait().unwrap(), None, "the successor runs until a signal ends it");
}

/// Executes a script on a link to the socket that the environment names, and then keeps running.
fn act_as_successor(script: &str) {
    let variable = |name| std::env::var_os(name).expect("a variable set with the script");
    let mut peer = Some(Peer(UnixStream::connect(variable("SUCCESSOR_SOCKET")).unwrap()));
    for step in script.split(' ') {
        let Some(link) = &mut peer else { break };
        match step {
            "request" => link.send(REQUEST_WITH_PROBATION),
            "offer" => assert_eq!(link.expect(OFFER)["probation"], true),
            "ready" => link.send(READY),
            "proceed" => drop(link.expect(PROCEED)),
            "accepting" => link.send(ACCEPTING),
            "commit" => drop(link.expect(COMMIT)),
            "close" => peer = None,
            other => panic!("unknown step: {other}"),
        }
    }
    std::fs::write(variable("SUCCESSOR_DONE"), "").unwrap();
    std::thread::sleep(TIMEOUT);
}

/// A successor that was started by a node and outlives it; killed when this is dropped.
struct SpawnedSuccessor(rustix::process::Pid);

impl SpawnedSuccessor {
    /// Reads the PID of the successor from the log of the node that started it.
    fn started_by(node: &Node) -> Self {
        let pid = |line: &String| line.split("successor ").nth(1)?.split(' ').next()?.parse().ok();
        let log = node.log.lock().unwrap();
        let line =
            log.iter().find(|line| line.ends_with(" started")).expect("the log line of a started successor");
        Self(rustix::process::Pid::from_raw(pid(line).expect("a PID")).unwrap())
    }
}

impl Drop for SpawnedSuccessor {
    fn drop(&mut self) {
        let _ = rustix::process::kill_process(self.0, rustix::process::Signal::KILL);
    }
}

/// Guards against an outage after a failed upgrade. Usually the new program starts normally and dies on its
/// first real requests. Without a rollback, the service would be down until an operator intervened.
#[test]
fn a_successor_that_dies_on_probation_is_rolled_back() {
    let (server, gate) = CacheServer::gated("a");
    let fixture = Fixture::with_long_probation(&server);
    let manager = UnixDatagram::bind(fixture.directory.0.join("notify")).unwrap();
    manager.set_read_timeout(Some(TIMEOUT)).unwrap();
    let mut command = fixture.command();
    command.env("NOTIFY_SOCKET", fixture.directory.0.join("notify"));
    let predecessor = fixture.spawn(command);
    wait_for("the hand-over socket", || fixture.socket().exists());
    let mut accepted_by_predecessor = predecessor.client();
    accepted_by_predecessor.send(&read_request("read", 1, 20_000));
    wait_for("the first request", || server.request_count() == 1);
    let mut successor = fixture.take_over(&predecessor);
    let mut accepted_by_successor = Client::connect(fixture.address);
    accepted_by_successor.send(&read_request("read", 2, 20_000));
    wait_for("the second request", || server.request_count() == 2);
    // A client that connects while no process accepts waits and is served later.
    rustix::process::kill_process(
        rustix::process::Pid::from_child(&successor.child),
        rustix::process::Signal::STOP,
    )
    .unwrap();
    let mut waiting = Client::connect(fixture.address);
    waiting.send(&read_request("read", 3, 20_000));
    successor.child.kill().unwrap();
    wait_for("the rollback", || predecessor.logged("has rolled back and serves again") == 1);
    wait_for("the third request", || server.request_count() == 3);
    gate.open();
    assert_eq!(waiting.receive().unwrap().body, b"a");
    assert_eq!(accepted_by_predecessor.receive().unwrap().body, b"a");
    assert!(
        accepted_by_successor.receive().is_none(),
        "the connection is lost with the process that accepted it"
    );
    for key in 4..20 {
        assert_eq!(fixture.read(key), b"a");
    }
    // New connections are kept open again.
    let mut reused = Client::connect(fixture.address);
    assert_eq!(reused.request(&read_request("read", 21, 20_000)).header("connection"), None);
    let mut notifications = Vec::new();
    let main_pid = format!("MAINPID={}", predecessor.child.id());
    while !notifications.ends_with(&["READY=1".to_owned()]) || !notifications.contains(&main_pid) {
        notifications.push(common::receive_notification(&manager));
    }
    let status = "STATUS=serving: the successor has died, and this process accepts connections again";
    assert!(notifications.iter().any(|notification| notification == status), "{notifications:?}");
    assert_eq!(predecessor.get("/healthz").status(), 200);
    // The next successor is accepted.
    let successor = fixture.take_over(&predecessor);
    assert_eq!(fixture.read(22), b"a");
    drop(successor);
}

#[test]
fn successors_are_rejected_during_the_backoff_after_two_deaths_on_probation() {
    let server = CacheServer::serving("a");
    let fixture = Fixture::with_long_probation(&server);
    let predecessor = fixture.start_ready();
    for death in 1..=2 {
        // Kills the successor on probation.
        drop(fixture.take_over(&predecessor));
        wait_for("the rollback", || predecessor.logged("has rolled back") == death);
    }
    assert_eq!(predecessor.logged("further ones are rejected for 1s"), 1);
    predecessor.signal("-USR2");
    wait_for("the log line", || {
        predecessor.logged("no successor is started: two died while they served") == 1
    });
    let output = output_before_timeout(fixture.command());
    let stderr = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(1));
    assert!(
        stderr.contains("did not hand over: two successors have died with clients in their hands"),
        "{stderr}"
    );
    assert_eq!(fixture.read(1), b"a");
    wait_for("the end of the backoff", || {
        let mut peer = fixture.request_hand_over();
        peer.receive().is_some_and(|(kind, _)| kind == OFFER)
    });
    assert_eq!(fixture.read(2), b"a");
}

#[test]
fn a_stop_of_either_process_on_probation_is_not_treated_as_a_death() {
    let server = CacheServer::serving("a");
    let fixture = Fixture::with_long_probation(&server);
    let predecessor = fixture.start_ready();
    let successor = fixture.take_over(&predecessor);
    successor.terminate();
    assert!(successor.exit_status().success());
    assert_eq!(predecessor.logged("has rolled back"), 0);
    assert!(predecessor.exit_status().success());
    let predecessor = fixture.start_ready();
    let successor = fixture.take_over(&predecessor);
    predecessor.terminate();
    assert!(predecessor.exit_status().success());
    assert_eq!(fixture.read(1), b"a");
    // The successor has its own hand-over socket by now, and no predecessor stands by.
    let next = fixture.take_over(&successor);
    assert_eq!(fixture.read(2), b"a");
    drop(next);
    wait_for("the rollback", || successor.logged("has rolled back") == 1);
    assert_eq!(fixture.read(3), b"a");
}

#[test]
fn an_upgrade_on_probation_releases_the_first_process_and_signals_are_forwarded() {
    let server = CacheServer::serving("a");
    let fixture = Fixture::with_long_probation(&server);
    let first = fixture.start_ready();
    let second = fixture.take_over(&first);
    let config = format!("{}[[class]]\nname = \"new\"\neffect = \"safe\"\n", fixture.config);
    first.reload(&config);
    wait_for("the reload", || second.logged("configuration read again: class new added") == 1);
    assert_eq!(first.logged("configuration read again"), 0);
    first.signal("-USR2");
    wait_for("the third process", || second.logged("stands by") == 1);
    let third = SpawnedSuccessor::started_by(&second);
    assert!(first.exit_status().success());
    assert_eq!(Client::connect(fixture.address).request(&read_request("new", 1, 20_000)).body, b"a");
    second.terminate();
    assert!(second.exit_status().success());
    assert_eq!(fixture.read(2), b"a");
    drop(third);
}

#[test]
fn a_successor_that_loses_its_link_is_fenced_only_before_it_serves() {
    let server = CacheServer::serving("a");
    let fixture = Fixture::with_long_probation(&server);
    let predecessor = fixture.start_ready();
    let mut fenced = SuccessorProcess::run_script(&fixture, "request offer ready proceed close");
    assert_eq!(fenced.exit_signal(), Some(15));
    assert_eq!(fixture.read(1), b"a");
    assert_eq!(predecessor.logged("has lost its link but is still running"), 1);
    // This successor may serve, so the lost link has no effect. Only its death does.
    let mut serving =
        SuccessorProcess::run_script(&fixture, "request offer ready proceed accepting commit close");
    wait_for("the lost link", || predecessor.logged("has lost its link but is still running") == 2);
    let mut waiting = Client::connect(fixture.address);
    waiting.send(&read_request("read", 2, 20_000));
    assert_eq!(predecessor.logged("has rolled back"), 0);
    assert_eq!(serving.process.try_wait().unwrap(), None);
    serving.process.kill().unwrap();
    assert_eq!(waiting.receive().unwrap().body, b"a");
    assert_eq!(predecessor.logged("has rolled back"), 1);
}

#[test]
fn a_rollback_succeeds_without_a_service_manager_and_without_a_socket() {
    let server = CacheServer::serving("a");
    let fixture = Fixture::with_long_probation(&server);
    let mut command = fixture.command();
    command.env("NOTIFY_SOCKET", fixture.directory.0.join("nobody"));
    let predecessor = fixture.spawn(command);
    wait_for("the hand-over socket", || fixture.socket().exists());
    let successor = fixture.take_over(&predecessor);
    // The predecessor cannot bind its socket again.
    fixture.block_socket();
    drop(successor);
    wait_for("the rollback", || predecessor.logged("has rolled back") == 1);
    assert_eq!(fixture.read(1), b"a");
    assert_eq!(predecessor.logged("hand-over: no successor can connect: "), 1);
}
