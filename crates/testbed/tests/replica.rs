//! A replica of the stand-in discovery service of scale runs, called over plain sockets: its answers, its
//! charges, and the behaviour of its faults as clients see it.

use serde_json::Value;
use std::io::{self, BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::sync::mpsc::Receiver;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};
use testbed::scale::messages::{
    Answering, ListedServer, ReplicaCapacity, ReplicaCommand, ReplicaEvent, ReplicaReport,
};
use testbed::scale::process::ProcessError;
use testbed::scale::replica::{serve, CHANGES_KEPT};
use tokio::net::TcpSocket;
use tokio::sync::mpsc::Sender;

/// Time limit for a condition; a test that reaches it fails.
const TIMEOUT: Duration = Duration::from_secs(60);
/// Version of the list at the start.
const FIRST_VERSION: u64 = 100;
/// A pause after which a watch no longer counts as continued.
const PAUSE_BETWEEN_WATCHES: Duration = Duration::from_millis(300);
/// Capacity of a replica whose queue causes no delay.
const FAST: ReplicaCapacity = ReplicaCapacity {
    lines_per_second: 1e9,
    call_lines: 10.0,
    continued_call_lines: 2.0,
    queue_limit_ms: 60_000,
};

struct Replica {
    commands: Sender<Result<ReplicaCommand, ProcessError>>,
    events: Receiver<ReplicaEvent>,
    thread: JoinHandle<Result<(), ProcessError>>,
    address: SocketAddr,
}

impl Replica {
    /// Starts a replica on a thread, with this number of servers on its list.
    fn start(capacity: ReplicaCapacity, servers: usize) -> Self {
        let (commands, receiver) = tokio::sync::mpsc::channel(16);
        let (sender, events) = std::sync::mpsc::channel();
        let thread = thread::spawn(move || {
            // Sending fails once the test has ended.
            serve(receiver, |event| drop(sender.send(event)))
        });
        let listen = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let servers = (0..servers).map(server).collect();
        let start = ReplicaCommand::Start { listen, capacity, version: FIRST_VERSION, servers };
        commands.blocking_send(Ok(start)).unwrap();
        let ReplicaEvent::Listening { address } = events.recv_timeout(TIMEOUT).unwrap() else {
            panic!("expected the address of the replica");
        };
        Self { commands, events, thread, address }
    }

    fn send_command(&self, command: ReplicaCommand) {
        self.commands.blocking_send(Ok(command)).unwrap();
    }

    fn change(&self, version: u64, server: ListedServer) {
        self.send_command(ReplicaCommand::Change { version, server });
    }

    fn set_answering(&self, answering: Answering) {
        self.send_command(ReplicaCommand::Answer { answering });
    }

    /// Returns the replica's report. All earlier commands have been executed by then.
    fn report(&self) -> ReplicaReport {
        self.send_command(ReplicaCommand::Report);
        match self.events.recv_timeout(TIMEOUT).unwrap() {
            ReplicaEvent::Report(report) => report,
            other => panic!("{other:?}"),
        }
    }

    fn wait_for_calls(&self, calls: u64) {
        wait_for("calls", || self.report().calls >= calls);
    }

    fn connect(&self) -> Node {
        let stream = TcpStream::connect(self.address).unwrap();
        stream.set_read_timeout(Some(TIMEOUT)).unwrap();
        Node(BufReader::new(stream))
    }

    fn stop(self) -> Result<(), ProcessError> {
        drop(self.commands);
        self.thread.join().unwrap()
    }
}

/// An HTTP response.
#[derive(Debug)]
struct Answer {
    status: u16,
    body: Vec<u8>,
    /// The number of bytes of head and body.
    length: usize,
}

impl Answer {
    fn list(&self) -> Value {
        assert_eq!(self.status, 200);
        serde_json::from_slice(&self.body).unwrap()
    }

    /// Returns the version, whether the list is a snapshot, and the entries as `name health`.
    fn version_and_entries(&self) -> (u64, bool, Vec<String>) {
        let list = self.list();
        let hosts = list["hosts"].as_array().unwrap();
        let word = |value: &Value| value.as_str().unwrap().to_owned();
        let entries = hosts.iter().map(|host| format!("{} {}", word(&host["host"]), word(&host["health"])));
        (list["seq"].as_u64().unwrap(), list["whole"].as_bool().unwrap(), entries.collect())
    }
}

/// A connection of a node to the replica.
struct Node(BufReader<TcpStream>);

impl Node {
    fn send(&mut self, text: &str) {
        self.0.get_mut().write_all(text.as_bytes()).unwrap();
    }

    fn answer(&mut self) -> io::Result<Answer> {
        let (mut length, mut body, mut status) = (0, 0, 0);
        loop {
            let mut line = String::new();
            if self.0.read_line(&mut line)? == 0 {
                return Err(ErrorKind::UnexpectedEof.into());
            }
            length += line.len();
            let line = line.trim_end().to_ascii_lowercase();
            if let Some(rest) = line.strip_prefix("http/1.1 ") {
                status = rest[..3].parse().unwrap();
            } else if let Some(rest) = line.strip_prefix("content-length:") {
                body = rest.trim().parse().unwrap();
            } else if line.is_empty() {
                break;
            }
        }
        let mut bytes = vec![0; body];
        self.0.read_exact(&mut bytes)?;
        Ok(Answer { status, length: length + body, body: bytes })
    }

    fn call(&mut self, text: &str) -> Answer {
        self.send(text);
        self.answer().unwrap()
    }
}

const SNAPSHOT_REQUEST: &str = "GET /v1/servers HTTP/1.1\r\nHost: d\r\n\r\n";

fn watch(after: u64, wait_ms: u64) -> String {
    format!("GET /v1/servers?after={after}&wait_ms={wait_ms} HTTP/1.1\r\nHost: d\r\n\r\n")
}

/// A watch that does not time out during a test, so that only a change ends it.
fn long_watch(after: u64) -> String {
    watch(after, 60_000)
}

fn server(number: usize) -> ListedServer {
    ListedServer {
        host: format!("s-{number:04}"),
        dial: SocketAddr::from(([127, 0, 0, 1], 7070)),
        site: "a".into(),
        class: "m2".into(),
        block: 3,
        health: "ready".into(),
        share: 1.0,
        born_ms: 0,
    }
}

fn server_with_health(number: usize, health: &str) -> ListedServer {
    ListedServer { health: health.into(), ..server(number) }
}

fn wait_for(what: &str, condition: impl Fn() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < TIMEOUT, "timed out waiting for {what}");
        thread::sleep(Duration::from_millis(2));
    }
}

#[test]
fn a_snapshot_contains_the_whole_list_and_is_counted() {
    let replica = Replica::start(FAST, 3);
    let answer = replica.connect().call(SNAPSHOT_REQUEST);
    let first = &answer.list()["hosts"][0];
    assert_eq!(serde_json::from_value::<ListedServer>(first.clone()).unwrap(), server(0));
    assert_eq!(
        answer.version_and_entries(),
        (FIRST_VERSION, true, ["s-0000 ready", "s-0001 ready", "s-0002 ready"].map(Into::into).to_vec())
    );
    let expected = ReplicaReport {
        calls: 1,
        rejected: 0,
        snapshots: 1,
        lines: 10.0 + 3.0,
        bytes_in: SNAPSHOT_REQUEST.len() as u64,
        bytes_out: answer.length as u64,
        longest_queue_ms: 0,
    };
    wait_for("the count of its bytes", || replica.report() == expected);
    assert_eq!(replica.connect().call("GET /v2 HTTP/1.1\r\nHost: d\r\n\r\n").status, 404);
    replica.stop().unwrap();
}

#[test]
fn a_change_is_sent_to_all_watches_as_a_delta() {
    let replica = Replica::start(FAST, 3);
    let mut nodes: Vec<_> = (0..50).map(|_| replica.connect()).collect();
    for node in &mut nodes {
        node.send(&long_watch(FIRST_VERSION));
    }
    replica.wait_for_calls(50);
    replica.change(FIRST_VERSION + 1, server_with_health(1, "draining"));
    for node in &mut nodes {
        assert_eq!(
            node.answer().unwrap().version_and_entries(),
            (FIRST_VERSION + 1, false, vec!["s-0001 draining".into()])
        );
    }
    let report = replica.report();
    assert_eq!((report.calls, report.lines, report.snapshots), (50, 50.0 * 11.0, 0));
}

#[test]
fn a_delta_contains_the_last_change_of_each_server_since_the_version() {
    let replica = Replica::start(FAST, 4);
    replica.change(FIRST_VERSION + 1, server_with_health(2, "draining"));
    replica.change(FIRST_VERSION + 2, server_with_health(0, "draining"));
    replica.change(FIRST_VERSION + 3, server_with_health(2, "gone"));
    replica.change(FIRST_VERSION + 9, server(7));
    replica.report();
    let list = replica.connect().call(&long_watch(FIRST_VERSION)).version_and_entries();
    let entries = ["s-0000 draining", "s-0002 gone", "s-0007 ready"].map(String::from).to_vec();
    assert_eq!(list, (FIRST_VERSION + 9, false, entries));
    let list = replica.connect().call(&long_watch(FIRST_VERSION + 2)).version_and_entries();
    assert_eq!(list, (FIRST_VERSION + 9, false, ["s-0002 gone", "s-0007 ready"].map(String::from).to_vec()));
    let entries = ["s-0000 draining", "s-0001 ready", "s-0003 ready", "s-0007 ready"];
    assert_eq!(
        replica.connect().call(SNAPSHOT_REQUEST).version_and_entries(),
        (FIRST_VERSION + 9, true, entries.map(String::from).to_vec())
    );
}

#[test]
fn a_watch_without_changes_ends_after_its_wait_with_the_version_of_the_replica() {
    let replica = Replica::start(FAST, 3);
    let mut node = replica.connect();
    assert_eq!(
        node.call(&watch(FIRST_VERSION, 20)).version_and_entries(),
        (FIRST_VERSION, false, Vec::new())
    );
    // A node with a newer list from another replica gets an empty delta with the version of this replica.
    assert_eq!(
        node.call(&watch(FIRST_VERSION + 5, 20)).version_and_entries(),
        (FIRST_VERSION, false, Vec::new())
    );
    assert_eq!(node.call(&watch(u64::MAX, 20)).version_and_entries(), (FIRST_VERSION, false, Vec::new()));
}

#[test]
fn a_call_that_continues_a_watch_costs_less() {
    let replica = Replica::start(FAST, 3);
    let mut node = replica.connect();
    let lines = || replica.report().lines;
    // The calls are pipelined, so that each follows the previous answer at once, even on a busy machine.
    node.send(&[watch(FIRST_VERSION, 20), watch(FIRST_VERSION, 20), watch(FIRST_VERSION, 20)].concat());
    for _ in 0..3 {
        assert_eq!(node.answer().unwrap().status, 200);
    }
    assert_eq!(lines(), 10.0 + 2.0 + 2.0);
    thread::sleep(PAUSE_BETWEEN_WATCHES);
    node.call(&watch(FIRST_VERSION, 1));
    assert_eq!(lines(), 14.0 + 10.0);
    // A watch costs the full price on a new connection or after a snapshot, and so does a snapshot after a
    // watch.
    let mut other = replica.connect();
    other.send(&[SNAPSHOT_REQUEST.to_owned(), watch(FIRST_VERSION, 1), SNAPSHOT_REQUEST.to_owned()].concat());
    for _ in 0..3 {
        assert_eq!(other.answer().unwrap().status, 200);
    }
    assert_eq!(lines(), 24.0 + 13.0 + 10.0 + 13.0);
}

#[test]
fn a_call_beyond_the_queue_limit_is_rejected_without_charge() {
    let capacity = ReplicaCapacity { lines_per_second: 4.0, queue_limit_ms: 50, ..FAST };
    let replica = Replica::start(capacity, 2);
    let mut first = replica.connect();
    first.send(SNAPSHOT_REQUEST);
    replica.wait_for_calls(1);
    // 12 lines take 3 s. A call in that time would wait longer than the limit.
    let mut node = replica.connect();
    while replica.report().rejected == 0 {
        assert_eq!(node.call(SNAPSHOT_REQUEST).status, 503);
    }
    let report = replica.report();
    assert_eq!((report.calls, report.rejected, report.lines, report.longest_queue_ms), (2, 1, 12.0, 0));
    assert_eq!(first.answer().unwrap().version_and_entries().2.len(), 2);
    // The queue is empty again.
    assert_eq!(replica.connect().call(SNAPSHOT_REQUEST).version_and_entries().2.len(), 2);
    assert_eq!(replica.report().lines, 24.0);
}

#[test]
fn calls_within_the_queue_limit_wait_in_the_queue() {
    let capacity = ReplicaCapacity { lines_per_second: 100.0, queue_limit_ms: 50_000, ..FAST };
    let replica = Replica::start(capacity, 10);
    let mut nodes: Vec<_> = (0..5).map(|_| replica.connect()).collect();
    let start = Instant::now();
    for node in &mut nodes {
        node.send(SNAPSHOT_REQUEST);
    }
    for node in &mut nodes {
        assert_eq!(node.answer().unwrap().version_and_entries().2.len(), 10);
    }
    // 100 lines at 100 lines per second take at least a second, even on a fast machine.
    assert!(start.elapsed() >= Duration::from_secs(1), "{:?}", start.elapsed());
    let report = replica.report();
    assert_eq!((report.calls, report.rejected, report.lines), (5, 0, 100.0));
    assert!(report.longest_queue_ms <= 800, "{report:?}");
}

/// The wait of a watch must count from the arrival of the call, not from the end of its time in the queue.
/// All calls share one queue, so the watch may be answered together with a later call, and the order of the
/// answers proves nothing. The content does: a watch whose wait is over is answered without a change that
/// comes later.
#[test]
fn the_wait_of_a_watch_counts_from_the_arrival_of_its_call() {
    let capacity = ReplicaCapacity { lines_per_second: 5.0, ..FAST };
    let replica = Replica::start(capacity, 2);
    let (mut first, mut second) = (replica.connect(), replica.connect());
    // The first call leaves the queue after 2 s, with 1 s of its wait left. The second one leaves it after 4
    // s.
    first.send(&watch(FIRST_VERSION, 3_000));
    replica.wait_for_calls(1);
    second.send(&watch(FIRST_VERSION, 1));
    let second = second.answer().unwrap();
    // If the wait counted from the end of the time in the queue, it would last until 5 s, and this change
    // would end it.
    replica.change(FIRST_VERSION + 1, server_with_health(1, "draining"));
    let first = first.answer().unwrap();
    assert_eq!(replica.report().bytes_out, (first.length + second.length) as u64);
    assert_eq!(first.version_and_entries(), (FIRST_VERSION, false, Vec::new()));
    assert_eq!(second.version_and_entries(), (FIRST_VERSION, false, Vec::new()));
}

#[test]
fn answers_to_watches_beyond_the_queue_limit_are_rejected_without_charge() {
    let capacity = ReplicaCapacity { lines_per_second: 0.5, call_lines: 0.0, queue_limit_ms: 100, ..FAST };
    let replica = Replica::start(capacity, 2);
    let mut nodes: Vec<_> = (0..5).map(|_| replica.connect()).collect();
    for node in &mut nodes {
        node.send(&long_watch(FIRST_VERSION));
    }
    replica.wait_for_calls(5);
    replica.change(FIRST_VERSION + 1, server_with_health(1, "draining"));
    let mut statuses: Vec<_> = nodes.iter_mut().map(|node| node.answer().unwrap().status).collect();
    statuses.sort_unstable();
    assert_eq!(statuses, [200, 503, 503, 503, 503]);
    let report = replica.report();
    assert_eq!((report.rejected, report.lines), (4, 1.0));
}

#[test]
fn an_away_replica_resets_and_refuses_connections_and_returns_on_the_same_port() {
    let replica = Replica::start(FAST, 3);
    let (mut watching, mut idle) = (replica.connect(), replica.connect());
    idle.call(SNAPSHOT_REQUEST);
    watching.send(&long_watch(FIRST_VERSION));
    replica.wait_for_calls(2);
    for round in 1..=2 {
        replica.set_answering(Answering::Away);
        assert_eq!(watching.answer().unwrap_err().kind(), ErrorKind::ConnectionReset);
        assert_eq!(idle.answer().unwrap_err().kind(), ErrorKind::ConnectionReset);
        replica.report();
        for _ in 0..20 {
            let refused = TcpStream::connect(replica.address).unwrap_err();
            assert_eq!(refused.kind(), ErrorKind::ConnectionRefused);
        }
        // The port stays reserved in the meantime.
        let in_use = TcpSocket::new_v4().unwrap().bind(replica.address).unwrap_err();
        assert_eq!(in_use.kind(), ErrorKind::AddrInUse);
        replica.change(FIRST_VERSION + round, server_with_health(0, "draining"));
        replica.set_answering(Answering::Up);
        replica.report();
        (watching, idle) = (replica.connect(), replica.connect());
        assert_eq!(idle.call(SNAPSHOT_REQUEST).version_and_entries().0, FIRST_VERSION + round);
        watching.send(&long_watch(FIRST_VERSION + round));
        replica.wait_for_calls(2 + 2 * round);
    }
}

#[test]
fn connections_are_reset_even_if_the_replica_returns_at_once() {
    let replica = Replica::start(FAST, 3);
    let mut node = replica.connect();
    node.send(&long_watch(FIRST_VERSION));
    replica.wait_for_calls(1);
    replica.set_answering(Answering::Away);
    replica.set_answering(Answering::Up);
    assert_eq!(node.answer().unwrap_err().kind(), ErrorKind::ConnectionReset);
    assert_eq!(replica.connect().call(SNAPSHOT_REQUEST).version_and_entries().0, FIRST_VERSION);
}

#[test]
fn a_silent_replica_accepts_connections_and_answers_only_when_it_is_up_again() {
    let replica = Replica::start(FAST, 3);
    let (mut known, mut new) = (replica.connect(), replica.connect());
    known.send(&long_watch(FIRST_VERSION));
    replica.wait_for_calls(1);
    replica.set_answering(Answering::Silent);
    replica.change(FIRST_VERSION + 1, server_with_health(0, "draining"));
    // The call must not overtake the commands, which take another way.
    replica.report();
    new.send(SNAPSHOT_REQUEST);
    replica.wait_for_calls(2);
    for node in [&mut known, &mut new] {
        node.0.get_ref().set_read_timeout(Some(Duration::from_millis(100))).unwrap();
        assert_eq!(node.answer().unwrap_err().kind(), ErrorKind::WouldBlock);
        node.0.get_ref().set_read_timeout(Some(TIMEOUT)).unwrap();
    }
    let report = replica.report();
    assert_eq!((report.bytes_out, report.lines, report.rejected), (0, 10.0, 0));
    replica.set_answering(Answering::Up);
    assert_eq!(
        known.answer().unwrap().version_and_entries(),
        (FIRST_VERSION + 1, false, vec!["s-0000 draining".into()])
    );
    assert_eq!(new.answer().unwrap().version_and_entries().0, FIRST_VERSION + 1);
}

#[test]
fn after_a_reset_the_new_list_is_sent_even_with_a_lower_version() {
    let replica = Replica::start(FAST, 3);
    let mut node = replica.connect();
    replica.change(FIRST_VERSION + 1, server_with_health(0, "draining"));
    // The replica loses its entries.
    replica.send_command(ReplicaCommand::Reset { version: FIRST_VERSION + 2, servers: Vec::new() });
    replica.report();
    assert_eq!(node.call(SNAPSHOT_REQUEST).version_and_entries(), (FIRST_VERSION + 2, true, Vec::new()));
    assert_eq!(
        node.call(&long_watch(FIRST_VERSION + 1)).version_and_entries(),
        (FIRST_VERSION + 2, true, Vec::new())
    );
    // The version restarts at a lower number, so there is nothing newer for a node with the old version.
    replica.send_command(ReplicaCommand::Reset { version: 3, servers: vec![server(5)] });
    replica.report();
    assert_eq!(node.call(&watch(FIRST_VERSION + 2, 20)).version_and_entries(), (3, false, Vec::new()));
    assert_eq!(node.call(SNAPSHOT_REQUEST).version_and_entries(), (3, true, vec!["s-0005 ready".into()]));
    // Later changes continue from the new version and are sent to watches.
    node.send(&long_watch(3));
    replica.wait_for_calls(5);
    replica.change(4, server(6));
    assert_eq!(node.answer().unwrap().version_and_entries(), (4, false, vec!["s-0006 ready".into()]));
    // A watch from before a reset is answered with a snapshot.
    node.send(&long_watch(4));
    replica.wait_for_calls(6);
    replica.send_command(ReplicaCommand::Reset {
        version: 9,
        servers: vec![server(8), server_with_health(9, "gone")],
    });
    assert_eq!(node.answer().unwrap().version_and_entries(), (9, true, vec!["s-0008 ready".into()]));
}

#[test]
fn a_node_with_a_version_older_than_all_kept_changes_gets_a_snapshot() {
    let replica = Replica::start(FAST, 1);
    let last = FIRST_VERSION + CHANGES_KEPT as u64 + 1;
    for (version, number) in (FIRST_VERSION + 1..=last).zip(0..) {
        replica.change(version, server(number));
    }
    replica.report();
    let mut node = replica.connect();
    let counts =
        |(version, is_snapshot, entries): (u64, bool, Vec<String>)| (version, is_snapshot, entries.len());
    assert_eq!(
        counts(node.call(&long_watch(FIRST_VERSION)).version_and_entries()),
        (last, true, CHANGES_KEPT + 1)
    );
    assert_eq!(
        counts(node.call(&long_watch(FIRST_VERSION + 1)).version_and_entries()),
        (last, false, CHANGES_KEPT)
    );
    assert_eq!(replica.report().snapshots, 1);
}

#[test]
fn an_invalid_command_ends_the_replica_with_an_error_that_names_the_reason() {
    let replica = Replica::start(FAST, 1);
    replica.change(FIRST_VERSION, server(0));
    let error = replica.stop().unwrap_err().to_string();
    assert_eq!(error, "change of s-0000: expected a version above 100, found 100");
    let (commands, receiver) = tokio::sync::mpsc::channel(1);
    commands.blocking_send(Ok(ReplicaCommand::Report)).unwrap();
    let error = serve(receiver, |_| ()).unwrap_err().to_string();
    assert_eq!(error, "line 1 of the commands: expected the command start");
}
