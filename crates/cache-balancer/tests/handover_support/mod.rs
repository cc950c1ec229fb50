//! Fixtures of the hand-over tests: nodes with a hand-over socket, load-generating clients, and scripted
//! peers.
#![allow(dead_code, reason = "each test file compiles this module separately and uses a part of it")]

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

/// Hand-over settings, to be placed at the beginning of an operator's file.
pub const HANDOVER_SETTINGS: &str = "[hand_over]\nsocket = \"n.sock\"\nprobation = \"100ms\"\nbar = \"1s\"\n";

/// Configuration, directory and listening address that are shared by nodes that hand over to each other.
pub struct Fixture {
    /// Directory of the operator's file and of the hand-over socket.
    pub directory: TempDir,
    /// Content of the operator's file. A test may change it before it starts a node.
    pub config: String,
    /// Address on which the nodes listen for clients.
    pub address: SocketAddr,
}

impl Fixture {
    /// Creates a fixture. `pool` is the part of the operator's file that defines the source of the pool's
    /// endpoint list, and `step_timeout` the time limit of each step, for example `20s`.
    pub fn new(pool: &str, step_timeout: &str) -> Self {
        let address = unique_address();
        let directory = TempDir::new();
        let config = format!(
            "version = 1\n{HANDOVER_SETTINGS}within = \"{step_timeout}\"\n[[listener]]\nname = \"clients\"\n\
             address = \"{address}\"\n[[pool]]\nname = \"p\"\n{pool}{READ_CLASS}"
        );
        Self { directory, config, address }
    }

    /// Creates a fixture with a probation of 10 min, which does not end during a test.
    pub fn with_long_probation(server: &CacheServer) -> Self {
        let mut fixture = Self::new(&static_pool(server), "20s");
        fixture.config = fixture.config.replace("probation = \"100ms\"", "probation = \"10min\"");
        fixture
    }

    /// Writes the operator's file and returns a command that runs a node with it.
    pub fn command(&self) -> Command {
        // An earlier node of this fixture has removed the file.
        let path = self.directory.write("cache-balancer.toml", &self.config);
        let mut command = command();
        command.arg("run").arg("--config").arg(path);
        command
    }

    /// Starts a node, which binds the address or takes it over from a predecessor. Returns once the node
    /// listens.
    pub fn start(&self) -> Node {
        self.spawn(self.command())
    }

    /// Starts a node with `command` and returns once it listens.
    pub fn spawn(&self, command: Command) -> Node {
        Node::spawn(command, self.directory.0.join("cache-balancer.toml"))
    }

    /// Starts a first node and returns once it serves and accepts requests for a hand-over.
    pub fn start_ready(&self) -> Node {
        let node = self.start();
        wait_for("the node's readiness", || node.get("/healthz").status() == 200);
        wait_for("the hand-over socket", || self.socket().exists());
        node
    }

    /// Starts a successor and returns once `predecessor` stands by.
    pub fn take_over(&self, predecessor: &Node) -> Node {
        let before = predecessor.logged("stands by");
        let successor = self.start();
        wait_for("the hand-over", || predecessor.logged("stands by") == before + 1);
        successor
    }

    /// Returns the path of the hand-over socket.
    pub fn socket(&self) -> PathBuf {
        self.directory.0.join("n.sock")
    }

    /// Replaces the hand-over socket by a directory, so that no socket can be bound there.
    pub fn block_socket(&self) {
        std::fs::remove_file(self.socket()).unwrap();
        std::fs::create_dir_all(self.socket().join("full")).unwrap();
    }

    /// Sends a read of `key` on a new connection and returns the body of the response.
    pub fn read(&self, key: u64) -> Vec<u8> {
        Client::connect(self.address).request(&read_request("read", key, 20_000)).body
    }

    /// Connects to the node as a scripted successor and requests a hand-over.
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

/// Returns the part of an operator's file that defines `server` as the only, static endpoint of a pool.
pub fn static_pool(server: &CacheServer) -> String {
    server_table("box", server)
}

/// Clients that send requests one after the other until they are stopped. Half of them reuse a connection
/// until the node closes it. A status other than 200 fails the test.
pub struct Clients {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<u64>>,
}

impl Clients {
    /// Starts `count` clients, each in its own thread.
    pub fn start(fixture: &Fixture, count: u64) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let start = |client_number| {
            let (stop, address) = (stop.clone(), fixture.address);
            std::thread::spawn(move || {
                let (mut client, mut responses) = (Client::connect(address), 0);
                while !stop.load(Ordering::SeqCst) {
                    let response =
                        client.request(&read_request("read", (client_number << 32) + responses, 20_000));
                    assert_eq!(response.status(), 200);
                    responses += 1;
                    // Clients with an even number use a new connection for each request.
                    if response.header("connection") == Some("close") || client_number % 2 == 0 {
                        client = Client::connect(address);
                    }
                }
                responses
            })
        };
        let threads = (1..=count).map(start).collect();
        Self { stop, threads }
    }

    /// Stops the clients and returns the number of responses that they received.
    pub fn stop(self) -> u64 {
        self.stop.store(true, Ordering::SeqCst);
        self.threads.into_iter().map(|thread| thread.join().unwrap()).sum()
    }
}
