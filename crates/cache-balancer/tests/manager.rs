//! A node with an operator's file under a service manager. A stand-in for the service manager receives
//! notifications as in sd_notify(3) and passes sockets as in sd_listen_fds(3).

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

/// A stand-in for the service manager, with the directory of its socket and of the node's configuration file.
struct Manager {
    directory: TempDir,
    socket: UnixDatagram,
}

impl Manager {
    fn start() -> Self {
        let directory = TempDir::new();
        let socket = UnixDatagram::bind(directory.0.join("notify")).unwrap();
        socket.set_read_timeout(Some(TIMEOUT)).unwrap();
        Self { directory, socket }
    }

    /// Receives the next notification of the node.
    fn notification(&self) -> String {
        common::receive_notification(&self.socket)
    }

    /// Waits for this notification and returns the notifications before it.
    fn notifications_until(&self, wanted: &str) -> Vec<String> {
        let notifications = std::iter::repeat_with(|| self.notification());
        notifications.take_while(|notification| notification != wanted).collect()
    }

    /// Returns the command that starts a node with a configuration file of this text, and the path of the
    /// file.
    fn command(&self, text: &str) -> (Command, PathBuf) {
        let path = self.directory.write("cache-balancer.toml", text);
        let mut command = command();
        command.arg("run").arg("--config").arg(&path).env("NOTIFY_SOCKET", self.directory.0.join("notify"));
        (command, path)
    }
}

/// Returns an operator's file whose pool uses this discovery service.
fn file_with_discovery(discovery: &Discovery) -> String {
    format!(
        "version = 1\n{CLIENT_LISTENER}[[pool]]\nname = \"records\"\ndiscovery = \"{}\"\n{READ_CLASS}",
        discovery.address
    )
}

/// Returns an operator's file with these listeners, whose pool has this server.
fn file_with_server(server: &CacheServer, listeners: &str) -> String {
    let table = server_table("box", server);
    format!("version = 1\n{listeners}[[pool]]\nname = \"records\"\n{table}{READ_CLASS}")
}

#[test]
fn the_manager_is_notified_of_readiness_and_of_a_stop() {
    let (manager, server, discovery) = (Manager::start(), CacheServer::serving("a"), Discovery::start(&[]));
    let (command, path) = manager.command(&file_with_discovery(&discovery));
    let node = Node::spawn(command, path);
    // The list has arrived and is empty: the node listens but cannot serve.
    discovery.wait_until_applied(1);
    assert_eq!(manager.notification(), "STATUS=waiting for cache servers of pool records");
    assert_eq!(node.get("/healthz").status(), 503);
    discovery.publish(true, &[server.endpoint("box", "ready")]);
    assert_eq!(manager.notifications_until("READY=1"), ["STATUS=serving"]);
    assert_eq!(node.read("read", 1).body, b"a");
    node.terminate();
    assert_eq!(manager.notification(), "STOPPING=1");
    assert!(node.exit_status().success());
}

#[test]
fn the_watchdog_is_fed_while_the_node_works_and_only_if_requested() {
    let (manager, server) = (Manager::start(), CacheServer::serving("a"));
    let (mut command, path) = manager.command(&file_with_server(&server, CLIENT_LISTENER));
    command.env("WATCHDOG_USEC", "100000");
    let node = Node::spawn(command, path);
    (0..3).for_each(|_| drop(manager.notifications_until("WATCHDOG=1")));
    drop(node);
    let (command, path) = manager.command(&file_with_server(&server, CLIENT_LISTENER));
    let node = Node::spawn(command, path);
    let _ = manager.notifications_until("READY=1");
    node.terminate();
    assert!(!manager.notifications_until("STOPPING=1").contains(&"WATCHDOG=1".to_owned()));
    assert!(node.exit_status().success());
}

#[test]
fn an_unreachable_or_blocked_manager_delays_no_request() {
    let server = CacheServer::serving("a");
    let unreachable = Manager::start();
    let (mut command, path) = unreachable.command(&file_with_server(&server, CLIENT_LISTENER));
    command.env("NOTIFY_SOCKET", unreachable.directory.0.join("nobody"));
    let node = Node::spawn(command, path);
    let warnings = || node.logged("cannot notify the service manager");
    wait_for("the log line of the failure", || warnings() > 0);
    assert_eq!(node.read("read", 1).body, b"a");
    assert_eq!(warnings(), 1, "one line, regardless of the number of lost notifications");
    // The queue of this manager's socket is full, so that a write to it blocks.
    let blocked = Manager::start();
    let filler = UnixDatagram::unbound().unwrap();
    filler.set_nonblocking(true).unwrap();
    while filler.send_to(b"X=1", blocked.directory.0.join("notify")).is_ok() {}
    let (mut command, path) = blocked.command(&file_with_server(&server, CLIENT_LISTENER));
    command.env("WATCHDOG_USEC", "2000");
    let node = Node::spawn(command, path);
    wait_for("the node's readiness", || node.get("/healthz").status() == 200);
    (0..50).for_each(|key| assert_eq!(node.read("read", key).body, b"a"));
    node.terminate();
    assert!(node.exit_status().success());
}

/// Guards against a readiness notification that is dropped because the queue is full: the manager would wait
/// for the start forever.
#[test]
fn a_manager_that_was_blocked_is_notified_of_readiness_afterwards() {
    let (manager, server, discovery) = (Manager::start(), CacheServer::serving("a"), Discovery::start(&[]));
    let filler = UnixDatagram::unbound().unwrap();
    filler.set_nonblocking(true).unwrap();
    while filler.send_to(b"X=1", manager.directory.0.join("notify")).is_ok() {}
    let (mut command, path) = manager.command(&file_with_discovery(&discovery));
    // The watchdog is fed so often that its notifications would fill any queue.
    command.env("WATCHDOG_USEC", "200");
    let node = Node::spawn(command, path);
    discovery.wait_until_applied(1);
    (0..200).for_each(|_| assert_eq!(node.get("/healthz").status(), 503));
    discovery.publish(true, &[server.endpoint("box", "ready")]);
    wait_for("the node's readiness", || node.get("/healthz").status() == 200);
    let before = manager.notifications_until("READY=1");
    assert!(
        before.iter().filter(|notification| *notification == "WATCHDOG=1").count() <= 2,
        "one is queued and one is being sent"
    );
}

/// Returns the command that starts a node with this socket as descriptor 3. If `names` has two names,
/// separated by a colon, the socket is passed as descriptor 4 as well.
fn command_with_socket(
    manager: &Manager,
    text: &str,
    socket: TcpListener,
    names: &str,
) -> (Command, PathBuf) {
    let (inner, path) = manager.command(text);
    let mut command = Command::new("sh");
    // LISTEN_PID must be the id of the node's process, so the shell that becomes that process sets it.
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
        // A client that connected before the node started: its connection waits in the kernel's queue.
        let mut early = Client::connect(address);
        early.send(&read_request("read", 1, 20_000));
        let (command, path) =
            command_with_socket(&manager, &file_with_server(&server, listeners), socket, name);
        let node = Node::spawn(command, path);
        assert_eq!(early.receive().expect("a response").body, b"a", "{name}");
        assert_eq!(Client::connect(address).request(&read_request("read", 2, 20_000)).body, b"a");
        node.terminate();
        assert!(node.exit_status().success());
    }
}

#[test]
fn a_passed_socket_without_its_own_listener_fails_the_start() {
    let (manager, server) = (Manager::start(), CacheServer::serving("a"));
    let two = format!("{CLIENT_LISTENER}{}", CLIENT_LISTENER.replace("clients", "others"));
    for (names, expected) in [
        ("odd", "passed a socket \"odd\", but there is no listener of this name"),
        ("clients:clients", "passed two sockets \"clients\", but a listener can use only one"),
    ] {
        let socket = TcpListener::bind("127.0.0.1:0").unwrap();
        let (command, _) = command_with_socket(&manager, &file_with_server(&server, &two), socket, names);
        let output = output_before_timeout(command);
        assert_eq!(output.status.code(), Some(1));
        let stderr = String::from_utf8(output.stderr).unwrap();
        assert!(stderr.contains(expected), "{stderr}");
    }
}
