//! Reloads of an operator's file: requests in flight keep the old configuration, and later requests use the
//! new one.

mod common;

use common::{
    command, read_request, response, server_table, start_with_operator_file, wait_for, CacheServer, Client,
    Discovery, Gate, Node, ServerBehavior, TempDir, CLIENT_LISTENER, TIMEOUT,
};
use std::net::{SocketAddr, TcpListener};
use std::os::unix::net::UnixDatagram;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

fn class(name: &str, rest: &str) -> String {
    format!("[[class]]\nname = \"{name}\"\naim = \"5s\"\ndeadline = \"20s\"\n{rest}")
}

fn safe_class(name: &str) -> String {
    class(name, "effect = \"safe\"\n")
}

fn pool(name: &str, servers: &[&CacheServer]) -> String {
    let tables = servers.iter().enumerate();
    let servers: String =
        tables.map(|(number, server)| server_table(&format!("box-{number}"), server)).collect();
    format!("[[pool]]\nname = \"{name}\"\n{servers}")
}

fn operator_file(parts: &[&str]) -> String {
    format!("version = 1\n{CLIENT_LISTENER}{}", parts.concat())
}

/// Returns an address on which no process listens.
fn unused_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

/// Sends a request on a new connection. The thread returns the status and body of the response.
fn spawn_request(node: &Node, class: &str, key: u64) -> std::thread::JoinHandle<(u16, Vec<u8>)> {
    let (mut client, text) = (node.client(), read_request(class, key, 20_000));
    std::thread::spawn(move || {
        let response = client.request(&text);
        (response.status(), response.body)
    })
}

#[test]
fn a_request_in_flight_keeps_its_class_and_later_ones_get_the_new_one() {
    let (server, gate) = CacheServer::gated("a");
    let directory = TempDir::new();
    let pool = pool("p", &[&server]);
    let node = start_with_operator_file(
        &directory,
        &operator_file(&[&pool, &safe_class("read"), &safe_class("gone")]),
    );
    let in_flight = [spawn_request(&node, "read", 1), spawn_request(&node, "gone", 2)];
    wait_for("both requests", || server.request_count() == 2);
    // The new class gets the index of the removed one.
    node.reconfigure(&operator_file(&[&pool, &class("read", ""), &safe_class("new")]));
    assert_eq!(node.logged("class read changed, class new added, class gone removed"), 1);
    assert_eq!(node.read("gone", 3).status(), 400);
    gate.open();
    for request in in_flight {
        assert_eq!(request.join().unwrap(), (200, b"a".to_vec()));
    }
    assert_eq!(node.read("new", 4).status(), 200);
}

/// A request is accepted when its last byte arrives. Guards against using the old configuration because the
/// header arrived before the reload.
#[test]
fn a_request_whose_body_arrives_after_a_reload_uses_the_new_configuration() {
    let (one, other) = (CacheServer::serving("one"), CacheServer::serving("other"));
    let directory = TempDir::new();
    let pools = format!("{}{}", pool("p", &[&one]), pool("q", &[&other]));
    let to = |pool: &str| class("write", &format!("effect = \"safe\"\npool = \"{pool}\"\n"));
    let node = start_with_operator_file(&directory, &operator_file(&[&pools, &to("p")]));
    let header = "PUT /api/1 HTTP/1.1\r\nHost: s\r\nReq-Id: 1\r\nReq-Kind: write\r\nReq-Deadline-Ms: 20000\r\nContent-Length: 4\r\n\r\n";
    let (mut moved, mut removed) = (node.client(), node.client());
    moved.send(&format!("{header}bo"));
    // The header has been read once a later request on another connection has got its response.
    assert_eq!(node.read("write", 9).body, b"one");
    node.reconfigure(&operator_file(&[&pools, &to("q")]));
    moved.send("dy");
    assert_eq!(moved.receive().unwrap().body, b"other");
    assert_eq!((one.request_count(), other.request_count()), (1, 1));
    removed.send(&format!("{header}bo"));
    assert_eq!(node.read("write", 8).body, b"other");
    node.reconfigure(&operator_file(&[&pools, &class("else", "pool = \"p\"\n")]));
    removed.send("dy");
    assert_eq!(removed.receive().unwrap().status(), 400);
    assert_eq!((one.request_count(), other.request_count()), (1, 2));
}

#[test]
fn a_removed_pool_finishes_its_requests_and_an_added_one_serves() {
    let ((old, gate), new) = (CacheServer::gated("old"), CacheServer::serving("new"));
    let directory = TempDir::new();
    // The idle timeout is so long that no connection is closed for being idle.
    let idle = "[servers]\nidle = \"60min\"\n";
    let node = start_with_operator_file(
        &directory,
        &operator_file(&[idle, &pool("p", &[&old]), &safe_class("read")]),
    );
    let in_flight = [1, 2].map(|key| spawn_request(&node, "read", key));
    wait_for("both requests", || old.request_count() == 2);
    node.reconfigure(&operator_file(&[idle, &pool("q", &[&new]), &safe_class("read")]));
    assert_eq!(node.read("read", 3).body, b"new");
    gate.open();
    for request in in_flight {
        assert_eq!(request.join().unwrap(), (200, b"old".to_vec()));
    }
    wait_for("the old pool's connections to close", || old.closed.load(Ordering::SeqCst) == 2);
    assert_eq!((old.request_count(), node.get("/healthz").status()), (2, 200));
}

/// Guards against restarting a pool when the source of its list changes: its requests in flight would be
/// lost.
#[test]
fn a_pool_may_change_the_source_of_its_list_with_requests_in_flight() {
    let (gate, other) = (Gate::default(), CacheServer::serving("other"));
    let opened = gate.clone();
    let slow = CacheServer::start(move |request| {
        if request.header("req-id") == Some("1") {
            opened.wait();
        }
        ServerBehavior::Respond(response("200 OK", "", "slow"))
    });
    let directory = TempDir::new();
    let from =
        |source: &str| operator_file(&[&format!("[[pool]]\nname = \"p\"\n{source}"), &safe_class("read")]);
    let node =
        start_with_operator_file(&directory, &operator_file(&[&pool("p", &[&slow]), &safe_class("read")]));
    let in_flight = spawn_request(&node, "read", 1);
    wait_for("the request", || slow.request_count() == 1);
    // The old list stays in use until the file exists.
    node.reconfigure(&from("file = \"boxes.toml\"\n"));
    let list = format!("version = 1\n[[server]]\nname = \"box\"\naddress = \"{}\"\n", other.address);
    directory.write("boxes.toml", &list);
    wait_for("the file's list", || node.read("read", 2).body == b"other");
    let discovery = Discovery::start(&[slow.endpoint("s", "draining"), other.endpoint("t", "ready")]);
    node.reconfigure(&from(&format!("discovery = \"{}\"\n", discovery.address)));
    discovery.wait_until_applied(1);
    assert_eq!(node.read("read", 3).body, b"other");
    // Changes of the file have no effect any more. Once the configuration itself has the list, neither have
    // changes of discovery.
    directory.write("boxes.toml", &list.replace("box", "tub"));
    node.reconfigure(&operator_file(&[&pool("p", &[&other]), &safe_class("read")]));
    discovery.publish(true, &[]);
    assert_eq!(node.read("read", 4).body, b"other");
    gate.open();
    assert_eq!(in_flight.join().unwrap(), (200, b"slow".to_vec()));
}

/// Guards against a reload that loses the learned state: breakers would close, and a broken server would get
/// requests.
#[test]
fn a_reload_keeps_the_state_of_breakers() {
    let broken = CacheServer::start(|_| ServerBehavior::RespondAndClose(String::new()));
    let good = CacheServer::serving("good");
    let directory = TempDir::new();
    let text = |nodes: u32| {
        format!(
            "version = 1\nnodes = {nodes}\n{CLIENT_LISTENER}{}{}",
            pool("p", &[&broken, &good]),
            safe_class("read")
        )
    };
    let node = start_with_operator_file(&directory, &text(1));
    for key in 0..60 {
        node.read("read", key);
    }
    let tripped = broken.request_count();
    assert!(node.logged("breaker of box-0 tripped") == 1 && tripped > 0);
    for nodes in 2..8 {
        node.reconfigure(&text(nodes));
        for key in 0..10 {
            assert_eq!(node.read("read", key).body, b"good");
        }
    }
    assert_eq!(broken.request_count(), tripped);
}

#[test]
fn a_removed_listener_finishes_its_requests_and_can_be_added_again() {
    let (server, gate) = CacheServer::gated("a");
    let directory = TempDir::new();
    let second = unused_address();
    let listener = format!("[[listener]]\nname = \"second\"\naddress = \"{second}\"\n");
    let rest = format!("{}{}", pool("p", &[&server]), safe_class("read"));
    let (without, with) = (operator_file(&[&rest]), operator_file(&[&listener, &rest]));
    let node = start_with_operator_file(&directory, &without);
    node.reconfigure(&with);
    let mut in_flight = Client::connect(second);
    let mut idle = Client::connect(second);
    assert_eq!(idle.request("GET /healthz HTTP/1.1\r\nHost: s\r\n\r\n").status(), 200);
    in_flight.send(&read_request("read", 1, 20_000));
    wait_for("the request", || server.request_count() == 1);
    node.reconfigure(&without);
    wait_for("the listener to close", || std::net::TcpStream::connect(second).is_err());
    wait_for("the idle connection to close", || !idle.is_open());
    assert_eq!(node.get("/healthz").status(), 200);
    gate.open();
    let response = in_flight.receive().unwrap();
    assert_eq!((response.status(), response.header("connection")), (200, Some("close")));
    // The listener is added again, then removed, and added once more before it has closed.
    node.reconfigure(&with);
    node.reconfigure(&without);
    node.reconfigure(&with);
    assert_eq!(Client::connect(second).request(&read_request("read", 2, 20_000)).body, b"a");
    assert_eq!(node.logged("configuration rejected"), 0);
}

/// Guards against applying a part of an invalid file.
#[test]
fn an_invalid_file_changes_nothing_and_its_fault_is_logged() {
    let (server, other_listener) = (CacheServer::serving("a"), TcpListener::bind("127.0.0.1:0").unwrap());
    let directory = TempDir::new();
    let pool = pool("p", &[&server]);
    let good = operator_file(&[&pool, &safe_class("read")]);
    let node = start_with_operator_file(&directory, &good);
    let occupied = other_listener.local_addr().unwrap();
    let listener = format!("[[listener]]\nname = \"second\"\naddress = \"{occupied}\"\n");
    let cases = [
        (good.replace("version = 1", "version = 2"), "cache-balancer.toml:1: version: expected "),
        (good[..good.len() - 20].to_owned(), "cache-balancer.toml:1"),
        (operator_file(&[&pool, &class("new", "effect = \"odd\"\n")]), "effect: expected "),
        (operator_file(&[&listener, &pool, &safe_class("new")]), &format!("cannot listen on {occupied}: ")),
        (
            format!(
                "version = 1\n[limits]\ndescriptors = 32\n{CLIENT_LISTENER}{}{pool}{}",
                CLIENT_LISTENER.replace("clients", "more"),
                safe_class("new")
            ),
            "32 descriptors are too few: ",
        ),
    ];
    for (number, (text, message)) in cases.iter().enumerate() {
        node.reconfigure(text);
        assert_eq!(node.logged("configuration rejected: "), number + 1, "{text}");
        assert!(node.logged(message) >= 1, "{message}: {:?}", node.log.lock().unwrap());
        assert_eq!((node.read("read", 1).status(), node.read("new", 2).status()), (200, 400));
    }
    std::fs::remove_file(directory.0.join("cache-balancer.toml")).unwrap();
    node.signal("-HUP");
    wait_for("the log line of the missing file", || node.logged("cache-balancer.toml: No such file") == 1);
    assert_eq!(node.read("read", 1).status(), 200);
    assert_eq!(node.logged("configuration read again"), 0);
}

#[test]
fn a_higher_descriptor_limit_applies_at_once_and_a_lower_one_ends_no_request() {
    let (server, gate) = CacheServer::gated("a");
    let directory = TempDir::new();
    let rest = format!("{CLIENT_LISTENER}{}{}", pool("p", &[&server]), safe_class("read"));
    let with = |descriptors: u32| format!("version = 1\n[limits]\ndescriptors = {descriptors}\n{rest}");
    // The node has capacity for four requests.
    let node = start_with_operator_file(&directory, &with(32));
    let in_flight: Vec<_> = (0..6).map(|key| spawn_request(&node, "read", key)).collect();
    wait_for("as many requests as the node has capacity for", || server.request_count() == 4);
    node.reconfigure(&with(200));
    wait_for("the other requests", || server.request_count() == 6);
    node.reconfigure(&with(32));
    assert_eq!(server.request_count(), 6);
    gate.open();
    for request in in_flight {
        assert_eq!(request.join().unwrap().0, 200);
    }
    assert_eq!(node.read("read", 9).status(), 200);
}

#[test]
fn a_hundred_reloads_in_a_row_with_truncated_files_lose_no_response() {
    let server = CacheServer::serving("a");
    let directory = TempDir::new();
    let file_of_turn = |turn: u32| {
        let limits = format!("[limits]\nmax_attempts = {}\n", 1 + turn % 9);
        format!("version = 1\n{CLIENT_LISTENER}{limits}{}{}", pool("p", &[&server]), safe_class("read"))
    };
    let node = Arc::new(start_with_operator_file(&directory, &file_of_turn(1)));
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..4_u64)
        .map(|number| {
            let (node, stop) = (node.clone(), stop.clone());
            std::thread::spawn(move || {
                let (mut client, mut key) = (node.client(), number << 32);
                while !stop.load(Ordering::SeqCst) {
                    key += 1;
                    assert_eq!(client.request(&read_request("read", key, 20_000)).status(), 200);
                }
                key - (number << 32)
            })
        })
        .collect();
    for turn in 0..100 {
        let text = file_of_turn(turn + 2);
        // Every third file is truncated.
        let length = if turn % 3 == 0 { text.len() * (turn as usize + 1) / 101 } else { text.len() };
        node.reload(&text[..length]);
    }
    // The last file is applied, regardless of how many signals were merged.
    let last = format!("{}{}", file_of_turn(7), safe_class("last"));
    node.reload(&last);
    wait_for("the last file to be applied", || node.read("last", u64::MAX).status() == 200);
    stop.store(true, Ordering::SeqCst);
    let responses: u64 = clients.into_iter().map(|client| client.join().unwrap()).sum();
    // Each request was forwarded exactly once. The request of the class `last` adds one.
    let keys: std::collections::BTreeSet<_> = server
        .received
        .lock()
        .unwrap()
        .iter()
        .map(|request| request.header("req-id").unwrap().to_owned())
        .collect();
    assert_eq!((server.request_count() as u64, keys.len() as u64), (responses + 1, responses + 1));
    assert!(node.logged("configuration read again: ") > 0);
}

/// Guards against a configuration file whose read blocks and keeps the node from serving or stopping.
#[test]
fn a_blocked_file_read_delays_neither_requests_nor_a_stop() {
    let server = CacheServer::serving("a");
    let directory = TempDir::new();
    let node =
        start_with_operator_file(&directory, &operator_file(&[&pool("p", &[&server]), &safe_class("read")]));
    let path = directory.0.join("cache-balancer.toml");
    std::fs::remove_file(&path).unwrap();
    // Opening the named pipe blocks until there is a writer.
    assert!(std::process::Command::new("mkfifo").arg(&path).status().unwrap().success());
    node.signal("-HUP");
    // The file is read on a separate thread.
    wait_for("the node to block on opening the file", || blocks_on_open(node.child.id()));
    assert_eq!(node.read("read", 1).status(), 200);
    node.terminate();
    assert!(node.exit_status().success());
}

/// Returns whether a thread of this process is blocked in the system call that opens a file.
fn blocks_on_open(pid: u32) -> bool {
    /// The number of openat(2) on Linux.
    const OPENAT: &str = if cfg!(target_arch = "x86_64") { "257 " } else { "56 " };
    let tasks = std::fs::read_dir(format!("/proc/{pid}/task")).unwrap();
    tasks.flatten().any(|task| {
        std::fs::read_to_string(task.path().join("syscall")).is_ok_and(|call| call.starts_with(OPENAT))
    })
}

#[test]
fn the_manager_is_notified_of_the_start_end_and_failure_of_a_reload() {
    let (server, directory) = (CacheServer::serving("a"), TempDir::new());
    let manager = UnixDatagram::bind(directory.0.join("notify")).unwrap();
    manager.set_read_timeout(Some(TIMEOUT)).unwrap();
    let notification = || common::receive_notification(&manager);
    let good = operator_file(&[&pool("p", &[&server]), &safe_class("read")]);
    let path = directory.write("cache-balancer.toml", &good);
    let mut command = command();
    command.arg("run").arg("--config").arg(&path).env("NOTIFY_SOCKET", directory.0.join("notify"));
    let node = Node::spawn(command, path);
    assert_eq!([notification(), notification()], ["STATUS=serving", "READY=1"]);
    let now = || rustix::time::clock_gettime(rustix::time::ClockId::Monotonic);
    let mut since = now();
    for (text, status) in [
        (format!("{good}{}", safe_class("new")), "STATUS=serving".to_owned()),
        (good.replace("safe", "odd"), "STATUS=serving with the previous configuration: ".to_owned()),
    ] {
        node.reload(&text);
        assert_eq!(notification(), "STATUS=reloading");
        let reloading = notification();
        let reported =
            reloading.strip_prefix("RELOADING=1\nMONOTONIC_USEC=").unwrap_or_else(|| panic!("{reloading}"));
        let (reported, until) = (reported.parse::<i64>().unwrap(), now());
        let micros = |time: rustix::time::Timespec| time.tv_sec * 1_000_000 + time.tv_nsec / 1_000;
        assert!((micros(since)..=micros(until)).contains(&reported), "{reported}");
        since = until;
        let found = notification();
        assert!(found.starts_with(&status), "{found}");
        assert_eq!(notification(), "READY=1");
    }
    node.terminate();
    assert_eq!(notification(), "STOPPING=1");
}
