//! One process takes another's place: real ones, and scripted ones that crash, hang, or speak what the other cannot read.

mod common;

use common::{
    command, ended, own_address, read, wait_for, CacheServer, Client, Discovery, Folder, Gate, Node, PATIENCE,
};
use rustix::net::{
    recvmsg, sendmsg, RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags,
};
use serde_json::{json, Value};
use std::io::{ErrorKind, IoSlice, IoSliceMut, Read, Write};
use std::net::TcpListener;
use std::os::fd::AsFd;
use std::os::unix::net::{UnixDatagram, UnixListener, UnixStream};
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;

const CLASS: &str = "[[class]]\nname = \"read\"\neffect = \"safe\"\naim = \"5s\"\ndeadline = \"20s\"\n";
const HAND_OVER: &str = "[hand_over]\nsocket = \"n.sock\"\nprobation = \"100ms\"\nbar = \"1s\"\n";
/// As said by a version that knows of no probation, and by this one.
const ASK: (u16, &str) = (1, "{\"program\":\"a test\"}");
const ASK_ON_PROBATION: (u16, &str) = (1, "{\"program\":\"a test\",\"probation\":true}");
const OFFER: u16 = 2;
const READY: (u16, &str) = (3, "null");
const GO: u16 = 4;
const TAKEN: (u16, &str) = (5, "null");
const CANCEL: u16 = 6;
const YOURS: u16 = 7;

/// A folder with the file of a node that may be taken over from, at an address that the test knows.
struct Place {
    folder: Folder,
    text: String,
    address: std::net::SocketAddr,
}

impl Place {
    /// `pool` is where the list comes from, and `within` the time for each step.
    fn new(pool: &str, within: &str) -> Self {
        let address = own_address();
        let folder = Folder::new();
        let text = format!(
            "version = 1\n{HAND_OVER}within = \"{within}\"\n[[listener]]\nname = \"clients\"\n\
             address = \"{address}\"\n[[pool]]\nname = \"p\"\n{pool}{CLASS}"
        );
        Self { folder, text, address }
    }

    fn command(&self) -> Command {
        // An earlier node took it along.
        self.folder.write("cache-balancer.toml", &self.text);
        let mut command = command();
        command.arg("run").arg("--config").arg(self.folder.0.join("cache-balancer.toml"));
        command
    }

    /// A process that listens on the address itself, or takes over.
    fn start(&self) -> Node {
        Node::spawn(self.command(), self.folder.0.join("cache-balancer.toml"))
    }

    fn ready(&self) -> Node {
        let node = self.start();
        wait_for("the node's readiness", || node.get("/healthz").status() == 200);
        wait_for("the socket", || self.socket().exists());
        node
    }

    fn socket(&self) -> std::path::PathBuf {
        self.folder.0.join("n.sock")
    }

    /// One read on a connection of its own.
    fn read(&self, key: u64) -> Vec<u8> {
        Client::to(self.address).ask(&read("read", key, 20_000)).body
    }

    fn asks_the_node(&self) -> Peer {
        let stream = UnixStream::connect(self.socket()).unwrap();
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        let mut peer = Peer(stream);
        peer.say(ASK);
        peer
    }
}

fn fixed(server: &CacheServer) -> String {
    format!("[[pool.server]]\nname = \"box\"\naddress = \"{}\"\n", server.address)
}

/// The other end of a hand-over, on script.
struct Peer(UnixStream);

impl Peer {
    fn say(&mut self, (kind, text): (u16, &str)) {
        self.0.write_all(&frame(kind, text)).unwrap();
    }

    /// The next frame's kind and text; `None` where the link has ended.
    fn hear(&mut self) -> Option<(u16, Value)> {
        let mut head = [0; 12];
        match self.0.read_exact(&mut head) {
            Ok(()) => {}
            Err(error) if matches!(error.kind(), ErrorKind::UnexpectedEof | ErrorKind::ConnectionReset) => {
                return None;
            }
            Err(error) => panic!("nothing heard: {error}"),
        }
        assert_eq!(&head[..6], b"PHHO\0\x01");
        let mut text = vec![0; u32::from_be_bytes([head[8], head[9], head[10], head[11]]) as usize];
        self.0.read_exact(&mut text).unwrap();
        Some((u16::from_be_bytes([head[6], head[7]]), serde_json::from_slice(&text).unwrap()))
    }

    fn hears(&mut self, kind: u16) -> Value {
        let heard = self.hear();
        let (found, text) = heard.unwrap_or_else(|| panic!("the link ended before a word of kind {kind}"));
        assert_eq!(found, kind, "{text}");
        text
    }
}

/// The listening socket that comes with the peer's next byte, which is a frame's first.
fn socket_with(peer: &mut Peer) -> TcpListener {
    let mut space = [std::mem::MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut beside = RecvAncillaryBuffer::new(&mut space);
    let mut byte = [0];
    recvmsg(&peer.0, &mut [IoSliceMut::new(&mut byte)], &mut beside, RecvFlags::empty()).unwrap();
    assert_eq!(&byte, b"P");
    let passed = beside.drain().find_map(|message| match message {
        RecvAncillaryMessage::ScmRights(mut passed) => passed.next(),
        _ => None,
    });
    // What is left of the frame.
    let mut head = [0; 11];
    peer.0.read_exact(&mut head).unwrap();
    let mut text = vec![0; u32::from_be_bytes([head[7], head[8], head[9], head[10]]) as usize];
    peer.0.read_exact(&mut text).unwrap();
    TcpListener::from(passed.expect("a socket"))
}

fn frame(kind: u16, text: &str) -> Vec<u8> {
    let mut frame = b"PHHO\0\x01".to_vec();
    frame.extend(kind.to_be_bytes());
    frame.extend((text.len() as u32).to_be_bytes());
    frame.extend(text.as_bytes());
    frame
}

/// A scripted process that serves: it listens for a successor, and has the socket of the clients.
struct Serving {
    clients: TcpListener,
    socket: UnixListener,
}

impl Serving {
    fn at(place: &Place) -> Self {
        Self {
            clients: TcpListener::bind(place.address).unwrap(),
            socket: UnixListener::bind(place.socket()).unwrap(),
        }
    }

    /// The successor that asks.
    fn asked(&self) -> Peer {
        let (stream, _) = self.socket.accept().unwrap();
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        let mut peer = Peer(stream);
        let text = peer.hears(ASK.0);
        assert_eq!(text["program"], env!("CARGO_PKG_VERSION"));
        peer
    }

    fn offer(&self, place: &Place, peer: &Peer, state: &Value) {
        let listener = json!({"name": "clients", "address": place.address});
        let offer = frame(OFFER, &json!({"listeners": [listener], "state": state}).to_string());
        let sockets = [self.clients.as_fd()];
        let mut space = [std::mem::MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
        let mut beside = SendAncillaryBuffer::new(&mut space);
        assert!(beside.push(SendAncillaryMessage::ScmRights(&sockets)));
        let sent = sendmsg(&peer.0, &[IoSlice::new(&offer)], &mut beside, SendFlags::empty()).unwrap();
        assert_eq!(sent, offer.len());
    }
}

fn empty_state() -> Value {
    json!({"version": 1, "pools": []})
}

/// Clients that ask all the time, each on a connection that it keeps while it may, until they are told that it is over.
/// Each gives how many answers it had; anything but 200 fails.
struct Clients {
    over: Arc<AtomicBool>,
    asking: Vec<JoinHandle<u64>>,
}

impl Clients {
    fn start(place: &Place, count: u64) -> Self {
        let over = Arc::new(AtomicBool::new(false));
        let begin = |number| {
            let (over, address) = (over.clone(), place.address);
            std::thread::spawn(move || {
                let (mut client, mut answers) = (Client::to(address), 0);
                while !over.load(Ordering::SeqCst) {
                    let answer = client.ask(&read("read", (number << 32) + answers, 20_000));
                    assert_eq!(answer.status(), 200);
                    answers += 1;
                    // Every other one asks on a new connection each time.
                    if answer.header("connection") == Some("close") || number % 2 == 0 {
                        client = Client::to(address);
                    }
                }
                answers
            })
        };
        let asking = (1..=count).map(begin).collect();
        Self { over, asking }
    }

    fn answers(self) -> u64 {
        self.over.store(true, Ordering::SeqCst);
        self.asking.into_iter().map(|asking| asking.join().unwrap()).sum()
    }
}

#[test]
fn upgrade_after_upgrade_under_load_each_request_is_sent_once_and_answered() {
    let server = CacheServer::serving("a");
    let place = Place::new(&fixed(&server), "20s");
    let mut node = place.ready();
    let clients = Clients::start(&place, 4);
    for _ in 0..4 {
        let seen = server.count();
        wait_for("some requests", || server.count() > seen + 20);
        let next = place.start();
        assert!(node.exit().success());
        node = next;
    }
    let answers = clients.answers();
    assert_eq!(server.count() as u64, answers);
    assert_eq!(node.said("has handed over"), 0);
    node.terminate();
    assert!(node.exit().success());
}

#[test]
fn what_the_old_process_took_it_finishes_and_what_it_knew_the_new_one_knows() {
    let gate = Gate::default();
    let held = gate.clone();
    let good = CacheServer::start(move |asked| {
        if asked.header("req-id") == Some("ff") {
            held.wait();
        }
        common::Does::Answer(common::answer("200 OK", "", "good"))
    });
    let broken = CacheServer::start(|_| common::Does::Close(String::new()));
    let discovery = Discovery::start(&[good.entry("good", "ready"), broken.entry("broken", "ready")]);
    let place = Place::new(&format!("discovery = \"{}\"\n", discovery.address), "20s");
    let old = place.ready();
    for key in 0..60 {
        assert_eq!(place.read(key), b"good");
    }
    let tripped = broken.count();
    assert_eq!(old.said("breaker of broken tripped"), 1);
    discovery.tell(false, &[]);
    discovery.wait_until_told(2);
    // The request 0xff is out, and another client has nothing under way.
    let (mut out, mut idle) = (old.client(), old.client());
    assert_eq!(idle.ask(&read("read", 0x100, 20_000)).body, b"good");
    out.send(&read("read", 0xff, 20_000));
    wait_for("the request", || {
        good.asked.lock().unwrap().iter().any(|asked| asked.header("req-id") == Some("ff"))
    });
    let new = place.start();
    wait_for("the hand-over", || old.said("stands by: its successor serves, on probation") == 1);
    for key in 0..60 {
        assert_eq!(place.read(0x200 + key), b"good");
    }
    assert_eq!(broken.count(), tripped, "the breaker is open at the new one too");
    // The watch goes on from the version that was known: no whole list is asked for.
    discovery.wait_until_told(2);
    let lists = discovery.asked.lock().unwrap().iter().filter(|path| *path == "/v1/servers").count();
    assert_eq!(lists, 1);
    // On its own connection the old one answers still, and asks for another connection.
    let answer = idle.ask(&read("read", 0x101, 20_000));
    assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
    gate.open();
    let answer = out.answer().unwrap();
    assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
    drop((out, idle));
    assert!(old.exit().success());
    assert_eq!(place.read(0x300), b"good");
    drop(new);
}

// Guards against an old process that stops accepting before the new one does.
#[test]
fn a_successor_that_is_not_ready_leaves_the_old_process_serving() {
    let server = CacheServer::serving("a");
    let place = Place::new(&fixed(&server), "20s");
    let old = place.ready();
    // The next version's list comes from a discovery that says nothing yet.
    let discovery = Discovery::start(&[]);
    let text = &place.text;
    let text = text.replace(&fixed(&server), &format!("discovery = \"{}\"\n", discovery.address));
    let text = text.replace("name = \"p\"", "name = \"other\"");
    place.folder.write("next.toml", &text);
    let mut next = command();
    next.arg("run").arg("--config").arg(place.folder.0.join("next.toml")).stderr(Stdio::null());
    let mut next = next.spawn().unwrap();
    discovery.wait_until_told(1);
    for key in 0..20 {
        assert_eq!(place.read(key), b"a");
    }
    assert_eq!(old.said("has handed over"), 0);
    discovery.tell(true, &[server.entry("box", "ready")]);
    assert!(old.exit().success());
    assert_eq!(place.read(99), b"a");
    next.kill().unwrap();
    next.wait().unwrap();
}

#[test]
fn a_successor_that_dies_at_any_step_leaves_the_old_process_serving_and_the_next_one_takes_over() {
    let server = CacheServer::serving("a");
    let place = Place::new(&fixed(&server), "20s");
    let old = place.ready();
    // It comes and says nothing, or what is no frame.
    drop(UnixStream::connect(place.socket()).unwrap());
    UnixStream::connect(place.socket()).unwrap().write_all(b"GET / HTTP/1.1\r\n\r\n").unwrap();
    assert_eq!(place.read(1), b"a");
    // It dies after its question, and with the sockets in its hands.
    for (before, heard) in [false, true].into_iter().enumerate() {
        let mut peer = place.asks_the_node();
        if heard {
            peer.hears(OFFER);
        }
        drop(peer);
        wait_for("the node to see it", || old.said("has died") == before + 1);
        assert_eq!(place.read(2), b"a");
    }
    // It dies when neither accepts: whoever comes meanwhile is served by the old one.
    let mut peer = place.asks_the_node();
    peer.hears(OFFER);
    peer.say(READY);
    peer.hears(GO);
    let mut waiting = Client::to(place.address);
    waiting.send(&read("read", 3, 20_000));
    drop(peer);
    assert_eq!(waiting.answer().unwrap().body, b"a");
    let new = place.start();
    assert!(old.exit().success());
    assert_eq!(place.read(4), b"a");
    drop(new);
}

// Guards against an old process that still accepts when the new one was told to go on.
#[test]
fn whoever_comes_once_the_successor_was_told_to_go_on_is_the_successors() {
    let server = CacheServer::serving("a");
    let place = Place::new(&fixed(&server), "20s");
    let old = place.ready();
    let mut peer = place.asks_the_node();
    let socket = socket_with(&mut peer);
    peer.say(READY);
    peer.hears(GO);
    let clients: Vec<_> = (0..20).map(|_| Client::to(place.address)).collect();
    socket.set_nonblocking(true).unwrap();
    for _ in &clients {
        wait_for("each of them at the successor", || socket.accept().is_ok());
    }
    peer.say(TAKEN);
    assert!(peer.hear().is_none());
    assert!(old.exit().success());
}

#[test]
fn a_successor_that_hangs_is_sent_away_after_its_time_wherever_it_hangs() {
    let server = CacheServer::serving("a");
    let place = Place::new(&fixed(&server), "200ms");
    let old = place.ready();
    let in_time = "the successor was not done in time";
    let mut peer = place.asks_the_node();
    peer.hears(OFFER);
    assert_eq!(peer.hears(CANCEL)["why"], in_time);
    assert!(peer.hear().is_none());
    let mut peer = place.asks_the_node();
    peer.hears(OFFER);
    peer.say(READY);
    peer.hears(GO);
    let mut waiting = Client::to(place.address);
    waiting.send(&read("read", 1, 20_000));
    assert_eq!(peer.hears(CANCEL)["why"], in_time);
    assert_eq!(waiting.answer().unwrap().body, b"a");
    // It comes to itself too late.
    assert!(peer.0.write_all(&frame(TAKEN.0, TAKEN.1)).is_err() || peer.hear().is_none());
    // One that says what it has not come to yet is not trusted with clients.
    let mut peer = place.asks_the_node();
    peer.hears(OFFER);
    peer.say(TAKEN);
    assert_eq!(peer.hears(CANCEL)["why"], "the successor's words came out of their order");
    assert_eq!(place.read(2), b"a");
    assert_eq!(old.said("has handed over"), 0);
}

#[test]
fn a_successor_that_cannot_read_what_was_known_starts_without() {
    let server = CacheServer::serving("a");
    for (state, why) in [
        (json!({"version": 99, "pools": "?"}), "expected a state of version 1, found 99"),
        (json!({"version": 1, "pools": 7}), "expected a state of version 1: invalid type: integer `7`"),
        (json!(null), "expected a state of version 1: invalid type: null"),
    ] {
        let place = Place::new(&fixed(&server), "20s");
        let serving = Serving::at(&place);
        let starting = std::thread::scope(|scope| {
            let node = scope.spawn(|| place.start());
            let mut peer = serving.asked();
            serving.offer(&place, &peer, &state);
            peer.hears(READY.0);
            peer.say((GO, &json!({"state": state}).to_string()));
            peer.hears(TAKEN.0);
            drop(peer);
            node.join().unwrap()
        });
        // The same socket, and nobody else accepts on it.
        assert_eq!(place.read(1), b"a");
        assert!(starting.first.contains(why), "{}", starting.first);
        drop(serving);
        assert_eq!(place.read(2), b"a");
    }
}

#[test]
fn a_successor_takes_the_clients_of_a_process_that_dies_before_it_is_told_to_go_on() {
    let server = CacheServer::serving("a");
    let place = Place::new(&fixed(&server), "20s");
    let serving = Serving::at(&place);
    let mut waiting = Client::to(place.address);
    waiting.send(&read("read", 1, 20_000));
    let node = std::thread::scope(|scope| {
        let node = scope.spawn(|| place.start());
        let mut peer = serving.asked();
        serving.offer(&place, &peer, &empty_state());
        peer.hears(READY.0);
        drop(peer);
        drop(serving);
        node.join().unwrap()
    });
    assert_eq!(waiting.answer().unwrap().body, b"a");
    drop(node);
}

#[test]
fn a_successor_that_is_sent_away_ends_and_takes_nobody() {
    let server = CacheServer::serving("a");
    let place = Place::new(&fixed(&server), "20s");
    let serving = Serving::at(&place);
    let output = std::thread::scope(|scope| {
        let node = scope.spawn(|| ended(place.command()));
        let mut peer = serving.asked();
        serving.offer(&place, &peer, &empty_state());
        peer.hears(READY.0);
        peer.say((CANCEL, "{\"why\":\"a change of mind\"}"));
        node.join().unwrap()
    });
    assert_eq!(output.status.code(), Some(1));
    let said = String::from_utf8(output.stderr).unwrap();
    assert!(
        said.contains("cache-balancer: the process that serves goes on by itself: a change of mind"),
        "{said}"
    );
    assert!(!said.contains("listens on"), "{said}");
    // What is no offer is named.
    for (bytes, why) in [
        (b"HTTP".to_vec(), "byte 0 of a frame: expected \"PHHO\""),
        (frame(CANCEL, "{\"why\":\"busy\"}"), "did not hand over: busy"),
        (frame(OFFER, "{}"), "the text of a frame: missing field `listeners`"),
        (Vec::new(), "went away before it handed over"),
    ] {
        let output = std::thread::scope(|scope| {
            let node = scope.spawn(|| ended(place.command()));
            let mut peer = serving.asked();
            peer.0.write_all(&bytes).unwrap();
            drop(peer);
            node.join().unwrap()
        });
        let said = String::from_utf8(output.stderr).unwrap();
        assert!(output.status.code() == Some(1) && said.contains(why), "{why}: {said}");
    }
}

// Guards against two processes that accept for good: one that hung right after it began, and the one that went on.
#[test]
fn a_successor_that_accepts_and_is_sent_away_finishes_what_it_took() {
    let (server, gate) = CacheServer::gated("a");
    let place = Place::new(&fixed(&server), "20s");
    let serving = Serving::at(&place);
    let (node, mut client) = std::thread::scope(|scope| {
        let node = scope.spawn(|| place.start());
        let mut peer = serving.asked();
        serving.offer(&place, &peer, &empty_state());
        peer.hears(READY.0);
        peer.say((GO, &json!({"state": empty_state()}).to_string()));
        peer.hears(TAKEN.0);
        let mut client = Client::to(place.address);
        client.send(&read("read", 1, 20_000));
        wait_for("the request", || server.count() == 1);
        peer.say((CANCEL, "{\"why\":\"too late\"}"));
        let node = node.join().unwrap();
        // It accepts nobody any more: who comes now waits for the one that serves.
        wait_for("the listener's end", || {
            let probe = Client::to(place.address);
            serving.clients.set_nonblocking(true).unwrap();
            let accepted = serving.clients.accept().is_ok();
            drop(probe);
            accepted
        });
        (node, client)
    });
    gate.open();
    assert_eq!(client.answer().unwrap().body, b"a");
    drop(client);
    assert_eq!(node.exit().code(), Some(1));
}

#[test]
fn an_old_process_that_is_killed_while_it_hands_over_is_followed_by_the_new_one() {
    let server = CacheServer::serving("a");
    let discovery = Discovery::start(&[]);
    let place = Place::new(&format!("discovery = \"{}\"\n", discovery.address), "20s");
    let mut old = place.start();
    wait_for("the socket", || place.socket().exists());
    discovery.wait_until_told(1);
    // Neither has known a server yet: the new one cannot be ready.
    let node = std::thread::scope(|scope| {
        let node = scope.spawn(|| place.start());
        wait_for("the question", || old.said("asked for by version") == 1);
        let calls = discovery.calls();
        wait_for("the new one's watch", || discovery.calls() > calls || discovery.calls() >= 3);
        old.child.kill().unwrap();
        node.join().unwrap()
    });
    discovery.tell(true, &[server.entry("box", "ready")]);
    wait_for("the node's readiness", || node.get("/healthz").status() == 200);
    assert_eq!(place.read(1), b"a");
}

#[test]
fn a_reload_waits_for_the_end_of_a_hand_over_and_a_stop_does_not() {
    let server = CacheServer::serving("a");
    let place = Place::new(&fixed(&server), "20s");
    let old = place.ready();
    let text = &place.text;
    let mut peer = place.asks_the_node();
    peer.hears(OFFER);
    old.reload(&format!("{text}[[class]]\nname = \"new\"\neffect = \"safe\"\n"));
    for key in 0..20 {
        assert_eq!(place.read(key), b"a");
    }
    assert_eq!(old.said("configuration read again"), 0);
    drop(peer);
    wait_for("the reload", || old.said("configuration read again: class new added") == 1);
    let mut peer = place.asks_the_node();
    peer.hears(OFFER);
    old.terminate();
    assert_eq!(peer.hears(CANCEL)["why"], "it is told to stop");
    assert!(old.exit().success());
    // Told to stop when neither accepts, it leaves the clients to the successor.
    let old = place.ready();
    let mut peer = place.asks_the_node();
    peer.hears(OFFER);
    peer.say(READY);
    peer.hears(GO);
    old.terminate();
    assert!(peer.hear().is_none());
    assert!(old.exit().success());
}

#[test]
fn a_node_starts_its_own_successor_at_sigusr2_and_the_manager_is_told_whom_to_mind() {
    let server = CacheServer::serving("a");
    let place = Place::new(&fixed(&server), "20s");
    let socket = UnixDatagram::bind(place.folder.0.join("notify")).unwrap();
    socket.set_read_timeout(Some(PATIENCE)).unwrap();
    let word = || common::word(&socket);
    let mut command = place.command();
    command.env("NOTIFY_SOCKET", place.folder.0.join("notify")).env("WATCHDOG_USEC", "60000000");
    let old = Node::spawn(command, place.folder.0.join("cache-balancer.toml"));
    while word() != "READY=1" {}
    wait_for("the socket", || place.socket().exists());
    old.signal("-USR2");
    // Its readiness first; it is the one to mind once it has passed its probation.
    while word() != "READY=1" {}
    let process: i32 = loop {
        if let Some(process) = word().strip_prefix("MAINPID=") {
            break process.parse().unwrap();
        }
    };
    assert_ne!(process, old.child.id() as i32);
    assert!(old.exit().success());
    assert_eq!(place.read(1), b"a");
    let process = rustix::process::Pid::from_raw(process).unwrap();
    rustix::process::kill_process(process, rustix::process::Signal::TERM).unwrap();
    // The old process said nothing of a stop: the service goes on.
    while word() != "STOPPING=1" {}
    wait_for("its end", || rustix::process::test_kill_process(process).is_err());
}

// Guards against a process that has clients and ends because of a path, and against a stop that is taken for the service's.
#[test]
fn a_successor_without_a_socket_of_its_own_serves_on_and_one_that_is_stopped_early_says_nothing() {
    let server = CacheServer::serving("a");
    let place = Place::new(&fixed(&server), "20s");
    let serving = Serving::at(&place);
    let notify = UnixDatagram::bind(place.folder.0.join("notify")).unwrap();
    notify.set_read_timeout(Some(PATIENCE)).unwrap();
    let start = || {
        let mut command = place.command();
        command.env("NOTIFY_SOCKET", place.folder.0.join("notify")).stderr(Stdio::piped());
        command
    };
    let mut early = start().spawn().unwrap();
    let mut peer = serving.asked();
    serving.offer(&place, &peer, &empty_state());
    peer.hears(READY.0);
    assert!(Command::new("kill").args(["-TERM", &early.id().to_string()]).status().unwrap().success());
    assert!(peer.hear().is_none() && early.wait().unwrap().success());
    notify.set_nonblocking(true).unwrap();
    assert!(notify.recv(&mut [0; 64]).is_err(), "it said something");
    let node = std::thread::scope(|scope| {
        let node = scope.spawn(|| Node::spawn(start(), place.folder.0.join("cache-balancer.toml")));
        let mut peer = serving.asked();
        serving.offer(&place, &peer, &empty_state());
        peer.hears(READY.0);
        // Where its socket was to be there is a folder now.
        std::fs::remove_file(place.socket()).unwrap();
        std::fs::create_dir_all(place.socket().join("full")).unwrap();
        drop(peer);
        node.join().unwrap()
    });
    wait_for("a word of it", || node.said("hand-over: nobody can take over: ") == 1);
    drop(serving);
    assert_eq!(place.read(1), b"a");
}

#[test]
fn a_file_names_the_socket_and_without_one_nobody_can_take_over() {
    let server = CacheServer::serving("a");
    let place = Place::new(&fixed(&server), "20s");
    let good = &place.text;
    let old = place.ready();
    let without: String = good.replace(&format!("{HAND_OVER}within = \"20s\"\n"), "");
    old.reconfigure(&without);
    assert_eq!(old.said("configuration read again: hand-over changed"), 1);
    wait_for("the socket's end", || UnixStream::connect(place.socket()).is_err());
    old.signal("-USR2");
    wait_for("a word", || old.said("hand-over: the configuration has no [hand_over]") == 1);
    old.reconfigure(&good.replace("n.sock", "m.sock"));
    assert!(UnixStream::connect(place.folder.0.join("m.sock")).is_ok());
    let far = place.folder.write("far.toml", &good.replace("n.sock", &"n".repeat(90)));
    let checked = command().arg("check").arg(far).output().unwrap();
    let said = String::from_utf8(checked.stderr).unwrap();
    assert!(
        said.contains("hand_over.socket: expected the path of a Unix socket, of up to 80 bytes"),
        "{said}"
    );
}

/// The other end of a hand-over in a process of its own, which can be told apart from this one: it says and hears as the
/// letters have it, and then lives on until a signal ends it.
struct Actor {
    process: std::process::Child,
    done: std::path::PathBuf,
}

impl Actor {
    /// `a`sk, hear the `o`ffer, say `r`eady, hear `g`o, say `t`aken, hear `y`ours, `c`lose the link.
    fn start(place: &Place, script: &str) -> Self {
        let done = place.folder.0.join(format!("done-{script}"));
        let mut command = Command::new(std::env::current_exe().unwrap());
        command.args(["--exact", "acts_as_a_successor", "--ignored"]).stdout(Stdio::null());
        command.env("SOCKET", place.socket()).env("SCRIPT", script).env("DONE", &done);
        Self { process: command.spawn().unwrap(), done }
    }

    fn done(place: &Place, script: &str) -> Self {
        let actor = Self::start(place, script);
        wait_for("the actor's part", || actor.done.exists());
        actor
    }

    /// The signal that ended it.
    fn ended_by(&mut self) -> Option<i32> {
        use std::os::unix::process::ExitStatusExt;
        let mut status = None;
        wait_for("the actor's end", || {
            status = self.process.try_wait().unwrap();
            status.is_some()
        });
        status.unwrap().signal()
    }
}

impl Drop for Actor {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

#[test]
#[ignore = "the process of an Actor, and no test"]
fn acts_as_a_successor() {
    let of = |name| std::env::var_os(name).expect("started by a test");
    let mut peer = Some(Peer(UnixStream::connect(of("SOCKET")).unwrap()));
    for word in of("SCRIPT").into_string().unwrap().chars() {
        let Some(link) = &mut peer else { break };
        match word {
            'a' => link.say(ASK_ON_PROBATION),
            'o' => assert_eq!(link.hears(OFFER)["probation"], true),
            'r' => link.say(READY),
            'g' => drop(link.hears(GO)),
            't' => link.say(TAKEN),
            'y' => drop(link.hears(YOURS)),
            _ => peer = None,
        }
    }
    std::fs::write(of("DONE"), "").unwrap();
    std::thread::sleep(PATIENCE);
}

/// The successor that a node has started, which outlives it; it ends with the test.
struct Started(rustix::process::Pid);

impl Started {
    fn by(node: &Node) -> Self {
        let number = |line: &String| line.split("successor ").nth(1)?.split(' ').next()?.parse().ok();
        let log = node.log.lock().unwrap();
        let line = log.iter().find(|line| line.ends_with(" started")).expect("a successor");
        Self(rustix::process::Pid::from_raw(number(line).expect("its number")).unwrap())
    }
}

impl Drop for Started {
    fn drop(&mut self) {
        let _ = rustix::process::kill_process(self.0, rustix::process::Signal::KILL);
    }
}

/// A node whose successors are on probation for longer than any test takes.
fn place_with_long_probation(server: &CacheServer) -> Place {
    let mut place = Place::new(&fixed(server), "20s");
    place.text = place.text.replace("probation = \"100ms\"", "probation = \"10min\"");
    place
}

fn takes_over(place: &Place, old: &Node) -> Node {
    let before = old.said("stands by");
    let new = place.start();
    wait_for("the hand-over", || old.said("stands by") == before + 1);
    new
}

// Guards against the usual bad upgrade: a program that starts well and dies on its first real requests.
#[test]
fn a_successor_that_dies_on_probation_is_followed_by_the_process_before_it() {
    let (server, gate) = CacheServer::gated("a");
    let place = place_with_long_probation(&server);
    let notify = UnixDatagram::bind(place.folder.0.join("notify")).unwrap();
    notify.set_read_timeout(Some(PATIENCE)).unwrap();
    let mut command = place.command();
    command.env("NOTIFY_SOCKET", place.folder.0.join("notify"));
    let old = Node::spawn(command, place.folder.0.join("cache-balancer.toml"));
    wait_for("the socket", || place.socket().exists());
    let mut taken_by_old = old.client();
    taken_by_old.send(&read("read", 1, 20_000));
    wait_for("the request", || server.count() == 1);
    let mut new = takes_over(&place, &old);
    let mut taken_by_new = Client::to(place.address);
    taken_by_new.send(&read("read", 2, 20_000));
    wait_for("the request", || server.count() == 2);
    // Who comes while nobody accepts waits, and is served.
    rustix::process::kill_process(
        rustix::process::Pid::from_child(&new.child),
        rustix::process::Signal::STOP,
    )
    .unwrap();
    let mut waiting = Client::to(place.address);
    waiting.send(&read("read", 3, 20_000));
    new.child.kill().unwrap();
    wait_for("the taking back", || old.said("has taken the clients back and serves again") == 1);
    wait_for("the request", || server.count() == 3);
    gate.open();
    assert_eq!(waiting.answer().unwrap().body, b"a");
    assert_eq!(taken_by_old.answer().unwrap().body, b"a");
    assert!(taken_by_new.answer().is_none(), "lost with the process that had taken it");
    for key in 4..20 {
        assert_eq!(place.read(key), b"a");
    }
    // Connections that come now are kept, and those that run are asked for no more.
    let mut kept = Client::to(place.address);
    assert_eq!(kept.ask(&read("read", 21, 20_000)).header("connection"), None);
    let mut said = Vec::new();
    let main = format!("MAINPID={}", old.child.id());
    while !said.ends_with(&["READY=1".to_owned()]) || !said.contains(&main) {
        said.push(common::word(&notify));
    }
    let status = "STATUS=serving: the successor has died, and its clients were taken back";
    assert!(said.iter().any(|word| word == status), "{said:?}");
    assert_eq!(old.get("/healthz").status(), 200);
    // The next version is let in.
    let new = takes_over(&place, &old);
    assert_eq!(place.read(22), b"a");
    drop(new);
}

#[test]
fn two_successors_that_die_on_probation_bar_the_next_for_the_stated_time_and_no_longer() {
    let server = CacheServer::serving("a");
    let place = place_with_long_probation(&server);
    let old = place.ready();
    for turn in 1..=2 {
        // One is killed, and one stops with an error of its own: it has served, and is gone.
        drop(takes_over(&place, &old));
        wait_for("the taking back", || old.said("has taken the clients back") == turn);
    }
    assert_eq!(old.said("none is let in for 1s"), 1);
    old.signal("-USR2");
    wait_for("a word", || old.said("no successor is started: two have died") == 1);
    let output = ended(place.command());
    let said = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(1));
    assert!(
        said.contains("did not hand over: two successors have died with clients in their hands"),
        "{said}"
    );
    assert_eq!(place.read(1), b"a");
    wait_for("the end of the bar", || {
        let mut peer = place.asks_the_node();
        peer.hear().is_some_and(|(kind, _)| kind == OFFER)
    });
    assert_eq!(place.read(2), b"a");
}

#[test]
fn a_file_that_names_the_port_that_the_system_picked_before_means_the_same_listener() {
    let server = CacheServer::serving("a");
    let mut place = Place::new(&fixed(&server), "20s");
    place.text = place.text.replace(&place.address.to_string(), "127.0.0.1:0");
    let old = place.ready();
    place.text = place.text.replace("127.0.0.1:0", &old.address.to_string());
    let new = takes_over(&place, &old);
    assert_eq!(new.address, old.address);
    assert_eq!(new.read("read", 1).body, b"a");
}

#[test]
fn after_the_probation_the_old_process_leaves_and_takes_nothing_back() {
    let server = CacheServer::serving("a");
    let place = Place::new(&fixed(&server), "20s");
    let old = place.ready();
    let new = place.start();
    assert!(old.exit().success());
    drop(new);
    assert!(std::net::TcpStream::connect(place.address).is_err());
}

#[test]
fn a_stop_of_the_successor_is_no_death_and_a_stop_of_the_old_one_leaves_the_successor_serving() {
    let server = CacheServer::serving("a");
    let place = place_with_long_probation(&server);
    let old = place.ready();
    let new = takes_over(&place, &old);
    new.terminate();
    assert!(new.exit().success());
    assert_eq!(old.said("taken the clients back"), 0);
    assert!(old.exit().success());
    let old = place.ready();
    let new = takes_over(&place, &old);
    old.terminate();
    assert!(old.exit().success());
    assert_eq!(place.read(1), b"a");
    // It has a place of its own by now, and nobody behind it.
    let next = takes_over(&place, &new);
    assert_eq!(place.read(2), b"a");
    drop(next);
    wait_for("the taking back", || new.said("taken the clients back") == 1);
    assert_eq!(place.read(3), b"a");
}

#[test]
fn an_upgrade_on_probation_sets_the_one_before_free_and_signals_to_the_old_process_reach_the_one_that_serves()
{
    let server = CacheServer::serving("a");
    let place = place_with_long_probation(&server);
    let first = place.ready();
    let second = takes_over(&place, &first);
    let text = format!("{}[[class]]\nname = \"new\"\neffect = \"safe\"\n", place.text);
    first.reload(&text);
    wait_for("the reload", || second.said("configuration read again: class new added") == 1);
    assert_eq!(first.said("configuration read again"), 0);
    first.signal("-USR2");
    wait_for("the third process", || second.said("stands by") == 1);
    let third = Started::by(&second);
    assert!(first.exit().success());
    assert_eq!(Client::to(place.address).ask(&read("new", 1, 20_000)).body, b"a");
    second.terminate();
    assert!(second.exit().success());
    assert_eq!(place.read(2), b"a");
    drop(third);
}

#[test]
fn a_successor_that_is_cut_off_before_it_accepts_is_fenced_and_one_that_serves_is_left_alone_until_it_dies() {
    let server = CacheServer::serving("a");
    let place = place_with_long_probation(&server);
    let old = place.ready();
    let mut fenced = Actor::done(&place, "aorgc");
    assert_eq!(fenced.ended_by(), Some(15));
    assert_eq!(place.read(1), b"a");
    assert_eq!(old.said("cannot be heard any more, and lives"), 1);
    // It may serve: only its death is heeded.
    let mut serving = Actor::done(&place, "aorgtyc");
    wait_for("the cut", || old.said("cannot be heard any more, and lives") == 2);
    let mut waiting = Client::to(place.address);
    waiting.send(&read("read", 2, 20_000));
    assert_eq!(old.said("taken the clients back"), 0);
    assert_eq!(serving.process.try_wait().unwrap(), None);
    serving.process.kill().unwrap();
    assert_eq!(waiting.answer().unwrap().body, b"a");
    assert_eq!(old.said("taken the clients back"), 1);
}

#[test]
fn a_process_that_stands_by_takes_back_with_nobody_to_tell_and_none_behind_it() {
    let server = CacheServer::serving("a");
    let place = place_with_long_probation(&server);
    let mut command = place.command();
    command.env("NOTIFY_SOCKET", place.folder.0.join("nobody"));
    let old = Node::spawn(command, place.folder.0.join("cache-balancer.toml"));
    wait_for("the socket", || place.socket().exists());
    let new = takes_over(&place, &old);
    // Where its socket was to be there is a folder now.
    std::fs::remove_file(place.socket()).unwrap();
    std::fs::create_dir_all(place.socket().join("full")).unwrap();
    drop(new);
    wait_for("the taking back", || old.said("taken the clients back") == 1);
    assert_eq!(place.read(1), b"a");
    assert_eq!(old.said("hand-over: nobody can take over: "), 1);
}
