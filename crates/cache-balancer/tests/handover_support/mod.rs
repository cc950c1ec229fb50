//! Fixtures of the hand-over tests: nodes with a hand-over socket, clients that create load, and scripted peers.
#![allow(dead_code, reason = "each test file compiles this module for itself and uses a part of it")]

pub mod recorded;
pub mod scripted;

use super::common::{
    command, read_request, server_table, unique_address, wait_for, CacheServer, Client, Node, TempDir,
    READ_CLASS, TIMEOUT,
};
use scripted::{Peer, REQUEST};
use std::net::SocketAddr;
use std::os::unix::net::UnixStream;
use std::path::PathBuf;
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;

/// Settings of a hand-over, for the begin of an operator's file.
pub const HANDOVER_SETTINGS: &str = "[hand_over]\nsocket = \"n.sock\"\nprobation = \"100ms\"\nbar = \"1s\"\n";

/// The operator's file and the directory of nodes that hand over to each other, with a fixed listening address.
pub struct Fixture {
    /// The directory of the operator's file and of the hand-over socket.
    pub folder: TempDir,
    /// The operator's file; a test may change it before it starts a node.
    pub text: String,
    /// The address on which the nodes listen for clients.
    pub address: SocketAddr,
}

impl Fixture {
    /// Creates a fixture. `pool` is the source of the pool's endpoint list in the operator's file, and `within` the
    /// timeout of each step, for example `20s`.
    pub fn new(pool: &str, within: &str) -> Self {
        let address = unique_address();
        let folder = TempDir::new();
        let text = format!(
            "version = 1\n{HANDOVER_SETTINGS}within = \"{within}\"\n[[listener]]\nname = \"clients\"\n\
             address = \"{address}\"\n[[pool]]\nname = \"p\"\n{pool}{READ_CLASS}"
        );
        Self { folder, text, address }
    }

    /// Creates a fixture in which the probation of a successor (10 min) does not expire during a test.
    pub fn with_long_probation(server: &CacheServer) -> Self {
        let mut fixture = Self::new(&static_pool(server), "20s");
        fixture.text = fixture.text.replace("probation = \"100ms\"", "probation = \"10min\"");
        fixture
    }

    /// Writes the operator's file, and returns a command that runs a node with it.
    pub fn command(&self) -> Command {
        // An earlier node removed the file.
        let path = self.folder.write("cache-balancer.toml", &self.text);
        let mut command = command();
        command.arg("run").arg("--config").arg(path);
        command
    }

    /// Starts a node that binds the address or takes it over from a predecessor. Returns once it listens.
    pub fn start(&self) -> Node {
        self.spawn(self.command())
    }

    /// Starts a node by this command, and returns once it listens.
    pub fn spawn(&self, command: Command) -> Node {
        Node::spawn(command, self.folder.0.join("cache-balancer.toml"))
    }

    /// Starts the first process, and returns once it serves and can be taken over from.
    pub fn start_ready(&self) -> Node {
        let node = self.start();
        wait_for("the node's readiness", || node.get("/healthz").status() == 200);
        wait_for("the socket", || self.socket().exists());
        node
    }

    /// Starts a successor, and returns once `predecessor` stands by.
    pub fn take_over(&self, predecessor: &Node) -> Node {
        let before = predecessor.logged("stands by");
        let successor = self.start();
        wait_for("the hand-over", || predecessor.logged("stands by") == before + 1);
        successor
    }

    /// The path of the hand-over socket.
    pub fn socket(&self) -> PathBuf {
        self.folder.0.join("n.sock")
    }

    /// Puts a directory where the socket is, so that none can be bound there.
    pub fn block_socket(&self) {
        std::fs::remove_file(self.socket()).unwrap();
        std::fs::create_dir_all(self.socket().join("full")).unwrap();
    }

    /// Sends a read of `key` on a new connection and returns the body of the response.
    pub fn read(&self, key: u64) -> Vec<u8> {
        Client::connect(self.address).request(&read_request("read", key, 20_000)).body
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
        stream.set_read_timeout(Some(TIMEOUT)).unwrap();
        Peer(stream)
    }
}

/// A pool of an operator's file with this server as its only, static endpoint.
pub fn static_pool(server: &CacheServer) -> String {
    server_table("box", server)
}

/// Clients that send one request after the other until they are stopped. Half of them reuse a connection until the
/// node closes it. Any status but 200 fails the test.
pub struct Clients {
    stopping: Arc<AtomicBool>,
    threads: Vec<JoinHandle<u64>>,
}

impl Clients {
    /// Starts this number of clients, a thread each.
    pub fn start(fixture: &Fixture, count: u64) -> Self {
        let stopping = Arc::new(AtomicBool::new(false));
        let start = |number| {
            let (stopping, address) = (stopping.clone(), fixture.address);
            std::thread::spawn(move || {
                let (mut client, mut responses) = (Client::connect(address), 0);
                while !stopping.load(Ordering::SeqCst) {
                    let response = client.request(&read_request("read", (number << 32) + responses, 20_000));
                    assert_eq!(response.status(), 200);
                    responses += 1;
                    // The other half uses a new connection each time.
                    if response.header("connection") == Some("close") || number % 2 == 0 {
                        client = Client::connect(address);
                    }
                }
                responses
            })
        };
        let threads = (1..=count).map(start).collect();
        Self { stopping, threads }
    }

    /// Stops the clients, and returns the number of responses.
    pub fn stop(self) -> u64 {
        self.stopping.store(true, Ordering::SeqCst);
        self.threads.into_iter().map(|thread| thread.join().unwrap()).sum()
    }
}
