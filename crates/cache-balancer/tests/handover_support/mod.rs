//! What the tests of the hand-over share: nodes that can be taken over from, clients under load, and scripted peers.
// Each test file uses a part of it.
#![allow(dead_code, reason = "each test file compiles this module for itself and uses a part of it")]

pub mod recorded;
pub mod scripted;

use super::common::{command, own_address, read, wait_for, CacheServer, Client, Folder, Node, PATIENCE};
use scripted::{Peer, REQUEST};
use std::net::SocketAddr;
use std::os::unix::net::UnixStream;
use std::path::PathBuf;
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;

const CLASS: &str = "[[class]]\nname = \"read\"\neffect = \"safe\"\naim = \"5s\"\ndeadline = \"20s\"\n";
pub const HAND_OVER: &str = "[hand_over]\nsocket = \"n.sock\"\nprobation = \"100ms\"\nbar = \"1s\"\n";

/// A folder with the file of nodes that hand over to each other, at an address that the test knows.
pub struct Fixture {
    pub folder: Folder,
    pub text: String,
    pub address: SocketAddr,
}

impl Fixture {
    /// `pool` is the source of the pool's list in the file, and `within` the time limit of each step.
    pub fn new(pool: &str, within: &str) -> Self {
        let address = own_address();
        let folder = Folder::new();
        let text = format!(
            "version = 1\n{HAND_OVER}within = \"{within}\"\n[[listener]]\nname = \"clients\"\n\
             address = \"{address}\"\n[[pool]]\nname = \"p\"\n{pool}{CLASS}"
        );
        Self { folder, text, address }
    }

    /// Successors are on probation for longer than any test takes.
    pub fn with_long_probation(server: &CacheServer) -> Self {
        let mut fixture = Self::new(&fixed(server), "20s");
        fixture.text = fixture.text.replace("probation = \"100ms\"", "probation = \"10min\"");
        fixture
    }

    pub fn command(&self) -> Command {
        // An earlier node removed the file.
        let path = self.folder.write("cache-balancer.toml", &self.text);
        let mut command = command();
        command.arg("run").arg("--config").arg(path);
        command
    }

    /// Starts a process that listens on the address itself, or takes over. Returns once it listens.
    pub fn start(&self) -> Node {
        self.spawn(self.command())
    }

    pub fn spawn(&self, command: Command) -> Node {
        Node::spawn(command, self.folder.0.join("cache-balancer.toml"))
    }

    /// Starts the first process, and returns once it serves and can be taken over from.
    pub fn ready(&self) -> Node {
        let node = self.start();
        wait_for("the node's readiness", || node.get("/healthz").status() == 200);
        wait_for("the socket", || self.socket().exists());
        node
    }

    /// Starts a successor, and returns once `predecessor` stands by.
    pub fn take_over(&self, predecessor: &Node) -> Node {
        let before = predecessor.said("stands by");
        let successor = self.start();
        wait_for("the hand-over", || predecessor.said("stands by") == before + 1);
        successor
    }

    pub fn socket(&self) -> PathBuf {
        self.folder.0.join("n.sock")
    }

    /// Puts a directory where the socket is, so that none can be bound there.
    pub fn block_socket(&self) {
        std::fs::remove_file(self.socket()).unwrap();
        std::fs::create_dir_all(self.socket().join("full")).unwrap();
    }

    /// One read on a connection of its own.
    pub fn read(&self, key: u64) -> Vec<u8> {
        Client::to(self.address).ask(&read("read", key, 20_000)).body
    }

    /// Connects to the node as a scripted successor, and requests a hand-over.
    pub fn request_hand_over(&self) -> Peer {
        let mut peer = self.connect();
        peer.send(REQUEST);
        peer
    }

    /// Connects to the node as a scripted successor.
    pub fn connect(&self) -> Peer {
        let stream = UnixStream::connect(self.socket()).unwrap();
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        Peer(stream)
    }
}

/// A pool with this server alone.
pub fn fixed(server: &CacheServer) -> String {
    format!("[[pool.server]]\nname = \"box\"\naddress = \"{}\"\n", server.address)
}

/// Clients that send one request after the other until the test ends them, half of them on a connection that they keep
/// while they may. Any answer but 200 fails.
pub struct Clients {
    over: Arc<AtomicBool>,
    threads: Vec<JoinHandle<u64>>,
}

impl Clients {
    pub fn start(fixture: &Fixture, count: u64) -> Self {
        let over = Arc::new(AtomicBool::new(false));
        let start = |number| {
            let (over, address) = (over.clone(), fixture.address);
            std::thread::spawn(move || {
                let (mut client, mut answers) = (Client::to(address), 0);
                while !over.load(Ordering::SeqCst) {
                    let answer = client.ask(&read("read", (number << 32) + answers, 20_000));
                    assert_eq!(answer.status(), 200);
                    answers += 1;
                    // The other half uses a new connection each time.
                    if answer.header("connection") == Some("close") || number % 2 == 0 {
                        client = Client::to(address);
                    }
                }
                answers
            })
        };
        let threads = (1..=count).map(start).collect();
        Self { over, threads }
    }

    /// Ends the clients, and returns the number of answers.
    pub fn answers(self) -> u64 {
        self.over.store(true, Ordering::SeqCst);
        self.threads.into_iter().map(|thread| thread.join().unwrap()).sum()
    }
}
