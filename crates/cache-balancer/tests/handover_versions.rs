//! Hand-overs between the previous version and this one, in both directions. The previous version is
//! simulated by its recorded frames.

mod common;
mod handover_support;

use common::{
    output_before_timeout, response, serve_requests, wait_for, CacheServer, Discovery, ServerBehavior,
};
use handover_support::recorded::{frame_kind, frame_payload, schema, Recording};
use handover_support::scripted::{Peer, ScriptedPredecessor, OFFER, PROCEED};
use handover_support::{static_pool, Clients, Fixture};
use serde_json::Value;
use std::io::Write;
use std::net::TcpListener;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

const PREDECESSOR: &str = "predecessor";
const SUCCESSOR: &str = "successor";

/// Cache servers, discovery service and node configuration, as in the recording.
struct Deployment {
    good: CacheServer,
    broken: CacheServer,
    discovery: Discovery,
    fixture: Fixture,
}

impl Deployment {
    fn new() -> Self {
        let good = CacheServer::serving("good");
        let broken = CacheServer::start(|_| ServerBehavior::RespondAndClose(String::new()));
        let discovery =
            Discovery::start(&[good.endpoint("good", "ready"), broken.endpoint("broken", "ready")]);
        let fixture = Fixture::new(&format!("discovery = \"{}\"\n", discovery.address), "20s");
        Self { good, broken, discovery, fixture }
    }

    fn recording(&self) -> Recording {
        Recording::with_addresses(&[
            ("clients", self.fixture.address),
            ("discovery", self.discovery.address),
            ("good", self.good.address),
            ("broken", self.broken.address),
        ])
    }
}

/// Returns the learned state of a server.
fn server_state<'a>(state: &'a Value, id: &str) -> &'a Value {
    let servers = state["pools"][0]["knowledge"]["servers"].as_array().unwrap();
    servers.iter().find(|server| server["id"] == id).unwrap_or_else(|| panic!("{id} in {state}"))
}

/// Returns the payload of a recorded request with the version number of this program.
fn with_current_version(request: &[u8]) -> Value {
    let mut payload = frame_payload(request);
    payload["program"] = env!("CARGO_PKG_VERSION").into();
    payload
}

/// An upgrade would lose the endpoint list, the breakers or the cache marks if this version could not read
/// the state that the previous version sends, and would lose requests if the versions disagreed on a message.
#[test]
fn this_version_takes_over_from_the_previous_version_with_its_state() {
    let deployment = Deployment::new();
    deployment.discovery.publish(false, &[]);
    let Deployment { good, fixture, discovery, .. } = &deployment;
    let recording = deployment.recording();
    let sent = recording.frames("handover", PREDECESSOR);
    let [offer, proceed, commit, departed] = &sent[..] else { panic!("{} frames", sent.len()) };
    let expected = recording.frames("handover", SUCCESSOR);
    let [request, ready, accepting] = &expected[..] else { panic!("{} frames", expected.len()) };
    let predecessor = ScriptedPredecessor::listen(fixture);
    // The clients' connections wait in the kernel's queue until the successor accepts.
    let clients = Clients::start(fixture, 4);
    let (node, mut peer) = std::thread::scope(|scope| {
        let node = scope.spawn(|| fixture.start());
        let mut peer = predecessor.accept();
        let found = peer.receive_bytes().unwrap();
        assert_eq!(
            (frame_kind(&found), frame_payload(&found)),
            (frame_kind(request), with_current_version(request))
        );
        peer.send_with_socket(offer, &predecessor.clients);
        assert_eq!(peer.receive_bytes().as_ref(), Some(ready));
        peer.0.write_all(proceed).unwrap();
        assert_eq!(peer.receive_bytes().as_ref(), Some(accepting));
        peer.0.write_all(commit).unwrap();
        (node.join().unwrap(), peer)
    });
    wait_for("requests", || good.request_count() > 50);
    let responses = clients.stop();
    assert_eq!(
        good.request_count() as u64,
        responses,
        "each request is sent to `good` once and gets a response"
    );
    // The watch continues from the version that was handed over, without a request for a snapshot.
    discovery.wait_until_applied(2);
    assert!(!discovery.received.lock().unwrap().iter().any(|path| path == "/v1/servers"));
    peer.0.write_all(departed).unwrap();
    drop(peer);
    assert_state_was_restored(fixture, &frame_payload(proceed)["state"]);
    node.terminate();
    assert!(node.exit_status().success());
}

/// Asserts that the state that the node offers next contains the recorded state.
fn assert_state_was_restored(fixture: &Fixture, recorded: &Value) {
    wait_for("the hand-over socket", || std::os::unix::net::UnixStream::connect(fixture.socket()).is_ok());
    let mut peer = fixture.request_hand_over();
    let state = peer.expect(OFFER)["state"].clone();
    assert_eq!(state["pools"][0]["listing"]["hosts"], recorded["pools"][0]["listing"]["hosts"]);
    assert_eq!(state["pools"][0]["listing"]["seq"], 2);
    // The breaker is open, or its open period has passed since without a success.
    assert!(server_state(&state, "broken")["breaker"]["open_left"].is_u64(), "{state}");
    assert!(server_state(recorded, "broken")["breaker"]["open_left"].is_u64());
    assert!(server_state(&state, "good")["breaker"]["open_left"].is_null(), "{state}");
    let marks = |state: &Value| -> Vec<u64> {
        let marks = state["pools"][0]["knowledge"]["warm"].as_array().unwrap().iter();
        marks.flat_map(|marks| marks.as_array().unwrap()).map(|mark| mark.as_u64().unwrap()).collect()
    };
    let (restored, recorded) = (marks(&state), marks(recorded));
    assert!(recorded.len() > 50 && recorded.iter().all(|mark| restored.contains(mark)));
}

/// A rollback to the previous version uses the same hand-over. The previous version would start without the
/// state, or not at all, if this version sent messages of another schema.
#[test]
fn this_version_hands_over_to_the_previous_version_with_its_state() {
    let deployment = Deployment::new();
    let Deployment { good, broken, fixture, discovery, .. } = &deployment;
    let recording = deployment.recording();
    let expected = recording.frames("handover", PREDECESSOR);
    let [offer, proceed, commit, _] = &expected[..] else { panic!("{} frames", expected.len()) };
    let sent = recording.frames("handover", SUCCESSOR);
    let [request, ready, accepting] = &sent[..] else { panic!("{} frames", sent.len()) };
    let node = fixture.start_ready();
    discovery.wait_until_applied(1);
    let clients = Clients::start(fixture, 4);
    wait_for("an open breaker", || node.logged("breaker of broken tripped") > 0);
    wait_for("requests", || good.request_count() > 60);
    discovery.publish(false, &[]);
    discovery.wait_until_applied(2);
    let mut peer = fixture.connect();
    peer.0.write_all(request).unwrap();
    let (found, socket) = peer.receive_with_socket();
    assert_same_schema(&found, offer, OFFER);
    assert_eq!(frame_payload(&found)["listeners"], frame_payload(offer)["listeners"]);
    peer.0.write_all(ready).unwrap();
    let found = peer.receive_bytes().unwrap();
    assert_same_schema(&found, proceed, PROCEED);
    let state = &frame_payload(&found)["state"];
    assert_eq!(state["pools"][0]["listing"], frame_payload(proceed)["state"]["pools"][0]["listing"]);
    assert!(server_state(state, "broken")["breaker"]["open_left"].is_u64(), "{state}");
    assert!(broken.request_count() > 0);
    let served = serve_as_successor(socket);
    peer.0.write_all(accepting).unwrap();
    assert_eq!(peer.receive_bytes().as_ref(), Some(commit));
    wait_for("requests at the successor", || served.load(Ordering::SeqCst) > 50);
    peer.0.write_all(&recording.only_frame("release", SUCCESSOR)).unwrap();
    drop(peer);
    let responses = clients.stop();
    assert!(node.exit_status().success());
    assert_eq!(
        good.request_count() as u64 + served.load(Ordering::SeqCst),
        responses,
        "each request gets a response"
    );
}

fn assert_same_schema(found: &[u8], recorded: &[u8], expected_kind: u16) {
    assert_eq!((frame_kind(found), frame_kind(recorded)), (expected_kind, expected_kind));
    assert_eq!(found[..8], recorded[..8]);
    assert_eq!(schema(&frame_payload(found)), schema(&frame_payload(recorded)));
}

/// Responds to the requests on all connections in place of the successor. Returns the counter of the
/// requests.
fn serve_as_successor(socket: TcpListener) -> Arc<AtomicU64> {
    socket.set_nonblocking(false).unwrap();
    let served: Arc<AtomicU64> = Arc::default();
    let count = served.clone();
    serve_requests(socket, move |_, stream| {
        count.fetch_add(1, Ordering::SeqCst);
        stream.write_all(response("200 OK", "", "successor").as_bytes()).is_ok()
    });
    served
}

#[test]
fn a_declining_successor_of_the_previous_version_leaves_this_one_serving() {
    let server = CacheServer::serving("a");
    let fixture = Fixture::new(&static_pool(&server), "20s");
    let recording = Recording::with_addresses(&[]);
    let node = fixture.start_ready();
    let mut peer = fixture.connect();
    peer.0.write_all(&recording.frames("handover", SUCCESSOR)[0]).unwrap();
    peer.expect(OFFER);
    peer.0.write_all(&recording.only_frame("decline", SUCCESSOR)).unwrap();
    drop(peer);
    wait_for("the end of the hand-over", || node.logged("has declined the hand-over") == 1);
    assert_eq!(fixture.read(1), b"a");
}

#[test]
fn frames_that_end_a_hand_over_match_the_previous_version() {
    let server = CacheServer::serving("a");
    let recording = Recording::with_addresses(&[]);
    // The first predecessor cancels, and the second departs.
    let fixture = Fixture::new(&static_pool(&server), "200ms");
    let node = fixture.start_ready();
    let mut peer = fixture.request_hand_over();
    peer.expect(OFFER);
    assert_eq!(peer.receive_bytes().unwrap(), recording.only_frame("cancel", PREDECESSOR));
    drop((peer, node));
    let fixture = Fixture::new(&static_pool(&server), "20s");
    let node = fixture.start_ready();
    let frames = recording.frames("handover", SUCCESSOR);
    let expected = recording.frames("handover", PREDECESSOR);
    let mut peer = fixture.connect();
    peer.0.write_all(&frames[0]).unwrap();
    peer.expect(OFFER);
    peer.0.write_all(&frames[1]).unwrap();
    peer.expect(PROCEED);
    peer.0.write_all(&frames[2]).unwrap();
    assert_eq!(peer.receive_bytes().as_ref(), Some(&expected[2]));
    assert_eq!(peer.receive_bytes().as_ref(), Some(&expected[3]), "after the probation");
    assert!(node.exit_status().success());
}

#[test]
fn a_successor_stopped_on_probation_releases_as_the_previous_version_does() {
    let deployment = Deployment::new();
    let (fixture, recording) = (&deployment.fixture, deployment.recording());
    let sent = recording.frames("handover", PREDECESSOR);
    let predecessor = ScriptedPredecessor::listen(fixture);
    let (node, mut peer) = std::thread::scope(|scope| {
        let node = scope.spawn(|| fixture.start());
        let mut peer = replay_until_accepting(&predecessor, &sent);
        peer.0.write_all(&sent[2]).unwrap();
        (node.join().unwrap(), peer)
    });
    wait_for("the hand-over socket of the successor", || {
        std::os::unix::net::UnixStream::connect(fixture.socket()).is_ok()
    });
    node.terminate();
    assert_eq!(peer.receive_bytes().unwrap(), recording.only_frame("release", SUCCESSOR));
    assert!(node.exit_status().success());
}

#[test]
fn a_successor_cancelled_by_the_previous_version_exits_with_its_reason() {
    let deployment = Deployment::new();
    let (fixture, recording) = (&deployment.fixture, deployment.recording());
    let offer = &recording.frames("handover", PREDECESSOR)[0];
    let predecessor = ScriptedPredecessor::listen(fixture);
    let output = std::thread::scope(|scope| {
        let node = scope.spawn(|| output_before_timeout(fixture.command()));
        let mut peer = replay_until_ready(&predecessor, offer);
        peer.0.write_all(&recording.only_frame("cancel", PREDECESSOR)).unwrap();
        node.join().unwrap()
    });
    let log = String::from_utf8(output.stderr).unwrap();
    let reason = "the predecessor continues to serve: the successor was not done in time";
    assert!(output.status.code() == Some(1) && log.contains(reason), "{log}");
}

#[test]
fn a_successor_stopped_before_it_proceeds_declines_as_the_previous_version_does() {
    let deployment = Deployment::new();
    let (fixture, recording) = (&deployment.fixture, deployment.recording());
    let offer = &recording.frames("handover", PREDECESSOR)[0];
    let predecessor = ScriptedPredecessor::listen(fixture);
    let mut node = fixture.command().stderr(std::process::Stdio::null()).spawn().unwrap();
    let mut peer = replay_until_ready(&predecessor, offer);
    let pid = rustix::process::Pid::from_child(&node);
    rustix::process::kill_process(pid, rustix::process::Signal::TERM).unwrap();
    assert_eq!(peer.receive_bytes().unwrap(), recording.only_frame("decline", SUCCESSOR));
    assert!(node.wait().unwrap().success());
}

/// Acts as the recorded predecessor until the successor is ready.
fn replay_until_ready(predecessor: &ScriptedPredecessor, offer: &[u8]) -> Peer {
    let mut peer = predecessor.accept();
    peer.receive_bytes().unwrap();
    peer.send_with_socket(offer, &predecessor.clients);
    peer.receive_bytes().unwrap();
    peer
}

/// Acts as the recorded predecessor until the successor accepts connections.
fn replay_until_accepting(predecessor: &ScriptedPredecessor, frames: &[Vec<u8>]) -> Peer {
    let mut peer = replay_until_ready(predecessor, &frames[0]);
    peer.0.write_all(&frames[1]).unwrap();
    peer.receive_bytes().unwrap();
    peer
}
