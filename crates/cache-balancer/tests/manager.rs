//! An operator's node under a service manager: a stand-in receives what sd_notify(3) sends, and passes sockets as
//! sd_listen_fds(3) specifies.

mod common;

use common::{
    command, output_before_timeout, read_request, server_table, wait_for, CacheServer, Client, Discovery,
    Node, TempDir, CLIENT_LISTENER, READ_CLASS, TIMEOUT,
};
use std::net::TcpListener;
use std::os::fd::OwnedFd;
use std::os::unix::net::UnixDatagram;
use std::path::PathBuf;
use std::process::{Command, Stdio};

/// The manager's socket and the node's file.
struct Manager {
    folder: TempDir,
    socket: UnixDatagram,
}

impl Manager {
    fn start() -> Self {
        let folder = TempDir::new();
        let socket = UnixDatagram::bind(folder.0.join("notify")).unwrap();
        socket.set_read_timeout(Some(TIMEOUT)).unwrap();
        Self { folder, socket }
    }

    /// The next notification of the node.
    fn notification(&self) -> String {
        common::receive_notification(&self.socket)
    }

    /// Waits for this notification, and returns those before it.
    fn until(&self, wanted: &str) -> Vec<String> {
        let notifications = std::iter::repeat_with(|| self.notification());
        notifications.take_while(|notification| notification != wanted).collect()
    }

    /// The command of a node that serves from a file of this text.
    fn command(&self, text: &str) -> (Command, PathBuf) {
        let path = self.folder.write("cache-balancer.toml", text);
        let mut command = command();
        command.arg("run").arg("--config").arg(&path).env("NOTIFY_SOCKET", self.folder.0.join("notify"));
        (command, path)
    }
}

fn discovered(discovery: &Discovery) -> String {
    format!(
        "version = 1\n{CLIENT_LISTENER}[[pool]]\nname = \"records\"\ndiscovery = \"{}\"\n{READ_CLASS}",
        discovery.address
    )
}

fn operator_file(server: &CacheServer, listeners: &str) -> String {
    let table = server_table("box", server);
    format!("version = 1\n{listeners}[[pool]]\nname = \"records\"\n{table}{READ_CLASS}")
}

#[test]
fn readiness_and_a_stop_are_notified_when_they_happen() {
    let (manager, server, discovery) = (Manager::start(), CacheServer::serving("a"), Discovery::start(&[]));
    let (command, path) = manager.command(&discovered(&discovery));
    let node = Node::spawn(command, path);
    // The list has arrived and is empty: the node listens, and cannot serve.
    discovery.wait_until_notified(1);
    assert_eq!(manager.notification(), "STATUS=waiting for cache servers of pool records");
    assert_eq!(node.get("/healthz").status(), 503);
    discovery.notify(true, &[server.entry("box", "ready")]);
    assert_eq!(manager.until("READY=1"), ["STATUS=serving"]);
    assert_eq!(node.read("read", 1).body, b"a");
    node.terminate();
    assert_eq!(manager.notification(), "STOPPING=1");
    assert!(node.exit_status().success());
}

#[test]
fn the_watchdog_is_fed_while_the_node_works_and_only_if_requested() {
    let (manager, server) = (Manager::start(), CacheServer::serving("a"));
    let (mut command, path) = manager.command(&operator_file(&server, CLIENT_LISTENER));
    command.env("WATCHDOG_USEC", "100000");
    let node = Node::spawn(command, path);
    (0..3).for_each(|_| drop(manager.until("WATCHDOG=1")));
    drop(node);
    let (command, path) = manager.command(&operator_file(&server, CLIENT_LISTENER));
    let node = Node::spawn(command, path);
    let _ = manager.until("READY=1");
    node.terminate();
    assert!(!manager.until("STOPPING=1").contains(&"WATCHDOG=1".to_owned()));
    assert!(node.exit_status().success());
}

#[test]
fn a_manager_that_is_away_or_reads_nothing_delays_no_request() {
    let server = CacheServer::serving("a");
    let away = Manager::start();
    let (mut command, path) = away.command(&operator_file(&server, CLIENT_LISTENER));
    command.env("NOTIFY_SOCKET", away.folder.0.join("nobody"));
    let node = Node::spawn(command, path);
    let warnings = || node.logged("is not notified");
    wait_for("the failure in the log", || warnings() > 0);
    assert_eq!(node.read("read", 1).body, b"a");
    assert_eq!(warnings(), 1, "one line, however many notifications are lost");
    // Its queue is full: a write to it blocks.
    let full = Manager::start();
    let filler = UnixDatagram::unbound().unwrap();
    filler.set_nonblocking(true).unwrap();
    while filler.send_to(b"X=1", full.folder.0.join("notify")).is_ok() {}
    let (mut command, path) = full.command(&operator_file(&server, CLIENT_LISTENER));
    command.env("WATCHDOG_USEC", "2000");
    let node = Node::spawn(command, path);
    wait_for("the node's readiness", || node.get("/healthz").status() == 200);
    (0..50).for_each(|key| assert_eq!(node.read("read", key).body, b"a"));
    node.terminate();
    assert!(node.exit_status().success());
}

/// A notification of readiness that was dropped from a full queue would leave the start unfinished forever.
#[test]
fn a_manager_that_reads_nothing_for_a_while_learns_of_readiness_afterwards() {
    let (manager, server, discovery) = (Manager::start(), CacheServer::serving("a"), Discovery::start(&[]));
    let filler = UnixDatagram::unbound().unwrap();
    filler.set_nonblocking(true).unwrap();
    while filler.send_to(b"X=1", manager.folder.0.join("notify")).is_ok() {}
    let (mut command, path) = manager.command(&discovered(&discovery));
    // So often that notifications of the watchdog would fill any queue.
    command.env("WATCHDOG_USEC", "200");
    let node = Node::spawn(command, path);
    discovery.wait_until_notified(1);
    (0..200).for_each(|_| assert_eq!(node.get("/healthz").status(), 503));
    discovery.notify(true, &[server.entry("box", "ready")]);
    wait_for("the node's readiness", || node.get("/healthz").status() == 200);
    let before = manager.until("READY=1");
    assert!(
        before.iter().filter(|word| *word == "WATCHDOG=1").count() <= 2,
        "one is queued and one is being sent"
    );
}

/// A node that is started with this socket as its descriptor 3, and also 4 if there are two names, separated by a colon.
fn activated(manager: &Manager, text: &str, socket: TcpListener, names: &str) -> (Command, PathBuf) {
    let (inner, path) = manager.command(text);
    let mut command = Command::new("sh");
    // The variables name the process that they are for: only it knows its id.
    let script = "exec 3<&0 4<&0 </dev/null; export LISTEN_PID=$$; exec \"$0\" \"$@\"";
    command.arg("-c").arg(script).arg(inner.get_program()).args(inner.get_args());
    for (key, value) in inner.get_envs() {
        match value {
            Some(value) => command.env(key, value),
            None => command.env_remove(key),
        };
    }
    let count = names.split(':').count().to_string();
    command.env("LISTEN_FDNAMES", names).env("LISTEN_FDS", count).stdin(Stdio::from(OwnedFd::from(socket)));
    (command, path)
}

#[test]
fn a_passed_socket_is_used_in_place_of_the_address() {
    let (manager, server) = (Manager::start(), CacheServer::serving("a"));
    let two = format!("{CLIENT_LISTENER}{}", CLIENT_LISTENER.replace("clients", "others"));
    for (listeners, name) in [(CLIENT_LISTENER, "cache-balancer.socket"), (&two, "others")] {
        let socket = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = socket.local_addr().unwrap();
        // A client that came before the node: the kernel holds its connection.
        let mut early = Client::connect(address);
        early.send(&read_request("read", 1, 20_000));
        let (command, path) = activated(&manager, &operator_file(&server, listeners), socket, name);
        let node = Node::spawn(command, path);
        assert_eq!(early.receive().expect("an answer").body, b"a", "{name}");
        assert_eq!(Client::connect(address).request(&read_request("read", 2, 20_000)).body, b"a");
        node.terminate();
        assert!(node.exit_status().success());
    }
}

#[test]
fn a_passed_socket_without_a_listener_is_named_and_fails_the_start() {
    let (manager, server) = (Manager::start(), CacheServer::serving("a"));
    let two = format!("{CLIENT_LISTENER}{}", CLIENT_LISTENER.replace("clients", "others"));
    for (names, expected) in [
        ("odd", "passed a socket \"odd\", and there is no listener of this name"),
        ("clients:clients", "passed two sockets \"clients\", and a listener has one address"),
    ] {
        let socket = TcpListener::bind("127.0.0.1:0").unwrap();
        let (command, _) = activated(&manager, &operator_file(&server, &two), socket, names);
        let output = output_before_timeout(command);
        assert_eq!(output.status.code(), Some(1));
        let stderr = String::from_utf8(output.stderr).unwrap();
        assert!(stderr.contains(expected), "{stderr}");
    }
}
