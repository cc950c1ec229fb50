//! Hand-overs between the version before and this one, in both directions, played with recorded frames of the version
//! before.

mod common;
mod handover_support;

use common::{
    output_before_timeout, response, serve_requests, wait_for, CacheServer, Discovery, ServerBehavior,
};
use handover_support::recorded::{form, kind, text, Recording};
use handover_support::scripted::{Peer, ScriptedPredecessor, OFFER, PROCEED};
use handover_support::{static_pool, Clients, Fixture};
use serde_json::Value;
use std::io::Write;
use std::net::TcpListener;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

const PREDECESSOR: &str = "predecessor";
const SUCCESSOR: &str = "successor";

/// The servers, the discovery service and the node's file as in the recording.
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
        let discovery = Discovery::start(&[good.entry("good", "ready"), broken.entry("broken", "ready")]);
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

/// What the recorded predecessor knew of a server.
fn server<'a>(state: &'a Value, id: &str) -> &'a Value {
    let servers = state["pools"][0]["knowledge"]["servers"].as_array().unwrap();
    servers.iter().find(|server| server["id"] == id).unwrap_or_else(|| panic!("{id} in {state}"))
}

/// A request of this version, as the recorded one is.
fn with_this_version(request: &[u8]) -> Value {
    let mut request = text(request);
    request["program"] = env!("CARGO_PKG_VERSION").into();
    request
}

/// An upgrade would lose the endpoint list, the breakers or the cache marks if this version could not read what the version
/// before sends, and would lose requests if the two disagreed on a message.
#[test]
fn this_version_takes_over_from_the_version_before_with_its_state() {
    let deployment = Deployment::new();
    deployment.discovery.notify(false, &[]);
    let Deployment { good, fixture, discovery, .. } = &deployment;
    let recording = deployment.recording();
    let sent = recording.frames("handover", PREDECESSOR);
    let [offer, proceed, commit, departed] = &sent[..] else { panic!("{} frames", sent.len()) };
    let expected = recording.frames("handover", SUCCESSOR);
    let [request, ready, accepting] = &expected[..] else { panic!("{} frames", expected.len()) };
    let predecessor = ScriptedPredecessor::at(fixture);
    // They wait in the kernel's queue until the successor accepts.
    let clients = Clients::start(fixture, 4);
    let (node, mut peer) = std::thread::scope(|scope| {
        let node = scope.spawn(|| fixture.start());
        let mut peer = predecessor.accept();
        let found = peer.receive_bytes().unwrap();
        assert_eq!((kind(&found), text(&found)), (kind(request), with_this_version(request)));
        peer.send_with_socket(offer, &predecessor.clients);
        assert_eq!(peer.receive_bytes().as_ref(), Some(ready));
        peer.0.write_all(proceed).unwrap();
        assert_eq!(peer.receive_bytes().as_ref(), Some(accepting));
        peer.0.write_all(commit).unwrap();
        (node.join().unwrap(), peer)
    });
    wait_for("requests", || good.request_count() > 50);
    let answers = clients.stop();
    assert_eq!(good.request_count() as u64, answers, "each request is answered, and sent to `good` once");
    // The watch goes on from the version handed over: no snapshot is requested.
    discovery.wait_until_notified(2);
    assert!(!discovery.received.lock().unwrap().iter().any(|path| path == "/v1/servers"));
    peer.0.write_all(departed).unwrap();
    drop(peer);
    assert_state_was_restored(fixture, &text(proceed)["state"]);
    node.terminate();
    assert!(node.exit_status().success());
}

/// The state that the node offers next has what the recorded one had.
fn assert_state_was_restored(fixture: &Fixture, recorded: &Value) {
    wait_for("the socket", || std::os::unix::net::UnixStream::connect(fixture.socket()).is_ok());
    let mut peer = fixture.request_hand_over();
    let state = peer.expect(OFFER)["state"].clone();
    assert_eq!(state["pools"][0]["listing"]["hosts"], recorded["pools"][0]["listing"]["hosts"]);
    assert_eq!(state["pools"][0]["listing"]["seq"], 2);
    // The breaker is open, or its time has passed since without a success.
    assert!(server(&state, "broken")["breaker"]["open_left"].is_u64(), "{state}");
    assert!(server(recorded, "broken")["breaker"]["open_left"].is_u64());
    assert!(server(&state, "good")["breaker"]["open_left"].is_null(), "{state}");
    let marks = |state: &Value| -> Vec<u64> {
        let marks = state["pools"][0]["knowledge"]["warm"].as_array().unwrap().iter();
        marks.flat_map(|marks| marks.as_array().unwrap()).map(|mark| mark.as_u64().unwrap()).collect()
    };
    let (restored, recorded) = (marks(&state), marks(recorded));
    assert!(recorded.len() > 50 && recorded.iter().all(|mark| restored.contains(mark)));
}

/// A rollback puts the version before back in place by the same hand-over. It would start without the state, or not at all,
/// if this version sent another form of message.
#[test]
fn this_version_hands_over_to_the_version_before_with_its_state() {
    let deployment = Deployment::new();
    let Deployment { good, broken, fixture, discovery, .. } = &deployment;
    let recording = deployment.recording();
    let expected = recording.frames("handover", PREDECESSOR);
    let [offer, proceed, commit, _] = &expected[..] else { panic!("{} frames", expected.len()) };
    let sent = recording.frames("handover", SUCCESSOR);
    let [request, ready, accepting] = &sent[..] else { panic!("{} frames", sent.len()) };
    let node = fixture.start_ready();
    discovery.wait_until_notified(1);
    let clients = Clients::start(fixture, 4);
    wait_for("an open breaker", || node.logged("breaker of broken tripped") > 0);
    wait_for("requests", || good.request_count() > 60);
    discovery.notify(false, &[]);
    discovery.wait_until_notified(2);
    let mut peer = fixture.connect();
    peer.0.write_all(request).unwrap();
    let (found, socket) = peer.receive_with_socket();
    assert_same_form(&found, offer, OFFER);
    assert_eq!(text(&found)["listeners"], text(offer)["listeners"]);
    peer.0.write_all(ready).unwrap();
    let found = peer.receive_bytes().unwrap();
    assert_same_form(&found, proceed, PROCEED);
    let state = &text(&found)["state"];
    assert_eq!(state["pools"][0]["listing"], text(proceed)["state"]["pools"][0]["listing"]);
    assert!(server(state, "broken")["breaker"]["open_left"].is_u64(), "{state}");
    assert!(broken.request_count() > 0);
    let served = serve(socket);
    peer.0.write_all(accepting).unwrap();
    assert_eq!(peer.receive_bytes().as_ref(), Some(commit));
    wait_for("requests at the successor", || served.load(Ordering::SeqCst) > 50);
    peer.0.write_all(&recording.frame_of("release", SUCCESSOR)).unwrap();
    drop(peer);
    let answers = clients.stop();
    assert!(node.exit_status().success());
    assert_eq!(
        good.request_count() as u64 + served.load(Ordering::SeqCst),
        answers,
        "each request is answered"
    );
}

fn assert_same_form(found: &[u8], recorded: &[u8], expected_kind: u16) {
    assert_eq!((kind(found), kind(recorded)), (expected_kind, expected_kind));
    assert_eq!(found[..8], recorded[..8]);
    assert_eq!(form(&text(found)), form(&text(recorded)));
}

/// Answers the requests on all connections that come, in place of the successor. Returns their number so far.
fn serve(socket: TcpListener) -> Arc<AtomicU64> {
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
fn a_declining_successor_of_the_version_before_leaves_this_one_serving() {
    let server = CacheServer::serving("a");
    let fixture = Fixture::new(&static_pool(&server), "20s");
    let recording = Recording::with_addresses(&[]);
    let node = fixture.start_ready();
    let mut peer = fixture.connect();
    peer.0.write_all(&recording.frames("handover", SUCCESSOR)[0]).unwrap();
    peer.expect(OFFER);
    peer.0.write_all(&recording.frame_of("decline", SUCCESSOR)).unwrap();
    drop(peer);
    wait_for("the end of the hand-over", || node.logged("declines") == 1);
    assert_eq!(fixture.read(1), b"a");
}

#[test]
fn frames_that_end_a_hand_over_are_those_of_the_version_before() {
    let server = CacheServer::serving("a");
    let recording = Recording::with_addresses(&[]);
    // A predecessor cancels, and departs.
    let fixture = Fixture::new(&static_pool(&server), "200ms");
    let node = fixture.start_ready();
    let mut peer = fixture.request_hand_over();
    peer.expect(OFFER);
    assert_eq!(peer.receive_bytes().unwrap(), recording.frame_of("cancel", PREDECESSOR));
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
fn a_successor_stopped_on_probation_releases_as_the_version_before_does() {
    let deployment = Deployment::new();
    let (fixture, recording) = (&deployment.fixture, deployment.recording());
    let sent = recording.frames("handover", PREDECESSOR);
    let predecessor = ScriptedPredecessor::at(fixture);
    let (node, mut peer) = std::thread::scope(|scope| {
        let node = scope.spawn(|| fixture.start());
        let mut peer = play_predecessor(&predecessor, &sent);
        peer.0.write_all(&sent[2]).unwrap();
        (node.join().unwrap(), peer)
    });
    wait_for("its socket", || std::os::unix::net::UnixStream::connect(fixture.socket()).is_ok());
    node.terminate();
    assert_eq!(peer.receive_bytes().unwrap(), recording.frame_of("release", SUCCESSOR));
    assert!(node.exit_status().success());
}

#[test]
fn a_successor_cancelled_by_the_version_before_exits_with_its_reason() {
    let deployment = Deployment::new();
    let (fixture, recording) = (&deployment.fixture, deployment.recording());
    let offer = &recording.frames("handover", PREDECESSOR)[0];
    let predecessor = ScriptedPredecessor::at(fixture);
    let output = std::thread::scope(|scope| {
        let node = scope.spawn(|| output_before_timeout(fixture.command()));
        let mut peer = play_offer(&predecessor, offer);
        peer.0.write_all(&recording.frame_of("cancel", PREDECESSOR)).unwrap();
        node.join().unwrap()
    });
    let log = String::from_utf8(output.stderr).unwrap();
    let reason = "the predecessor goes on by itself: the successor was not done in time";
    assert!(output.status.code() == Some(1) && log.contains(reason), "{log}");
}

#[test]
fn a_successor_stopped_before_it_proceeds_declines_as_the_version_before_does() {
    let deployment = Deployment::new();
    let (fixture, recording) = (&deployment.fixture, deployment.recording());
    let offer = &recording.frames("handover", PREDECESSOR)[0];
    let predecessor = ScriptedPredecessor::at(fixture);
    let mut node = fixture.command().stderr(std::process::Stdio::null()).spawn().unwrap();
    let mut peer = play_offer(&predecessor, offer);
    let pid = rustix::process::Pid::from_child(&node);
    rustix::process::kill_process(pid, rustix::process::Signal::TERM).unwrap();
    assert_eq!(peer.receive_bytes().unwrap(), recording.frame_of("decline", SUCCESSOR));
    assert!(node.wait().unwrap().success());
}

/// Plays the recorded predecessor until the successor is ready.
fn play_offer(predecessor: &ScriptedPredecessor, offer: &[u8]) -> Peer {
    let mut peer = predecessor.accept();
    peer.receive_bytes().unwrap();
    peer.send_with_socket(offer, &predecessor.clients);
    peer.receive_bytes().unwrap();
    peer
}

/// Plays the recorded predecessor until the successor accepts.
fn play_predecessor(predecessor: &ScriptedPredecessor, frames: &[Vec<u8>]) -> Peer {
    let mut peer = play_offer(predecessor, &frames[0]);
    peer.0.write_all(&frames[1]).unwrap();
    peer.receive_bytes().unwrap();
    peer
}
