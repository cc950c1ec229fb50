//! One replica of the stand-in discovery of scale runs, asked over plain sockets: what it answers, what it charges, and what
//! its faults look like from outside.

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

/// A condition that has not come about by then fails the test.
const PATIENCE: Duration = Duration::from_secs(60);
/// The version that lists begin with.
const FIRST: u64 = 100;
/// Longer than a watch may take to go on.
const LONGER_THAN_CONTINUED: Duration = Duration::from_millis(300);
/// Of a replica that nothing keeps waiting.
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
    /// One whose list has so many servers.
    fn start(capacity: ReplicaCapacity, servers: usize) -> Self {
        let (commands, receiver) = tokio::sync::mpsc::channel(16);
        let (sender, events) = std::sync::mpsc::channel();
        let thread = thread::spawn(move || {
            // A test that has ended hears nothing any more.
            serve(receiver, |event| drop(sender.send(event)))
        });
        let listen = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let servers = (0..servers).map(server).collect();
        let start = ReplicaCommand::Start { listen, capacity, version: FIRST, servers };
        commands.blocking_send(Ok(start)).unwrap();
        let ReplicaEvent::Listening { address } = events.recv_timeout(PATIENCE).unwrap() else {
            panic!("expected where it listens");
        };
        Self { commands, events, thread, address }
    }

    fn tell(&self, command: ReplicaCommand) {
        self.commands.blocking_send(Ok(command)).unwrap();
    }

    fn change(&self, version: u64, server: ListedServer) {
        self.tell(ReplicaCommand::Change { version, server });
    }

    fn answer_like(&self, answering: Answering) {
        self.tell(ReplicaCommand::Answer { answering });
    }

    /// What it has done, all commands before this included.
    fn report(&self) -> ReplicaReport {
        self.tell(ReplicaCommand::Report);
        match self.events.recv_timeout(PATIENCE).unwrap() {
            ReplicaEvent::Report(report) => report,
            other => panic!("{other:?}"),
        }
    }

    fn wait_for_calls(&self, calls: u64) {
        wait_for("calls", || self.report().calls >= calls);
    }

    fn connect(&self) -> Node {
        let stream = TcpStream::connect(self.address).unwrap();
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        Node(BufReader::new(stream))
    }

    fn ended(self) -> Result<(), ProcessError> {
        drop(self.commands);
        self.thread.join().unwrap()
    }
}

/// An answer.
#[derive(Debug)]
struct Answer {
    status: u16,
    body: Vec<u8>,
    /// Bytes in all.
    length: usize,
}

impl Answer {
    fn list(&self) -> Value {
        assert_eq!(self.status, 200);
        serde_json::from_slice(&self.body).unwrap()
    }

    /// Version, whether it is the whole list, and its entries as `name health`.
    fn told(&self) -> (u64, bool, Vec<String>) {
        let list = self.list();
        let hosts = list["hosts"].as_array().unwrap();
        let word = |value: &Value| value.as_str().unwrap().to_owned();
        let entries = hosts.iter().map(|host| format!("{} {}", word(&host["host"]), word(&host["health"])));
        (list["seq"].as_u64().unwrap(), list["whole"].as_bool().unwrap(), entries.collect())
    }
}

/// A node's connection.
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

    fn ask(&mut self, text: &str) -> Answer {
        self.send(text);
        self.answer().unwrap()
    }
}

const WHOLE: &str = "GET /v1/servers HTTP/1.1\r\nHost: d\r\n\r\n";

fn watch(after: u64, wait_ms: u64) -> String {
    format!("GET /v1/servers?after={after}&wait_ms={wait_ms} HTTP/1.1\r\nHost: d\r\n\r\n")
}

/// A watch that only news end.
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

fn server_that_is(number: usize, health: &str) -> ListedServer {
    ListedServer { health: health.into(), ..server(number) }
}

fn wait_for(what: &str, condition: impl Fn() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < PATIENCE, "waited in vain for {what}");
        thread::sleep(Duration::from_millis(2));
    }
}

#[test]
fn the_whole_list_is_told_and_all_of_it_is_counted() {
    let replica = Replica::start(FAST, 3);
    let answer = replica.connect().ask(WHOLE);
    let first = &answer.list()["hosts"][0];
    assert_eq!(serde_json::from_value::<ListedServer>(first.clone()).unwrap(), server(0));
    assert_eq!(
        answer.told(),
        (FIRST, true, ["s-0000 ready", "s-0001 ready", "s-0002 ready"].map(Into::into).to_vec())
    );
    let expected = ReplicaReport {
        calls: 1,
        refused: 0,
        whole_lists: 1,
        lines: 10.0 + 3.0,
        bytes_in: WHOLE.len() as u64,
        bytes_out: answer.length as u64,
        longest_queue_ms: 0,
    };
    wait_for("the count of its bytes", || replica.report() == expected);
    assert_eq!(replica.connect().ask("GET /v2 HTTP/1.1\r\nHost: d\r\n\r\n").status, 404);
    replica.ended().unwrap();
}

#[test]
fn a_change_answers_all_watches_with_it_alone() {
    let replica = Replica::start(FAST, 3);
    let mut nodes: Vec<_> = (0..50).map(|_| replica.connect()).collect();
    for node in &mut nodes {
        node.send(&long_watch(FIRST));
    }
    replica.wait_for_calls(50);
    replica.change(FIRST + 1, server_that_is(1, "draining"));
    for node in &mut nodes {
        assert_eq!(node.answer().unwrap().told(), (FIRST + 1, false, vec!["s-0001 draining".into()]));
    }
    let report = replica.report();
    assert_eq!((report.calls, report.lines, report.whole_lists), (50, 50.0 * 11.0, 0));
}

#[test]
fn a_watch_is_told_all_that_is_newer_in_one_answer_and_of_each_server_the_last() {
    let replica = Replica::start(FAST, 4);
    replica.change(FIRST + 1, server_that_is(2, "draining"));
    replica.change(FIRST + 2, server_that_is(0, "draining"));
    replica.change(FIRST + 3, server_that_is(2, "gone"));
    replica.change(FIRST + 9, server(7));
    replica.report();
    let told = replica.connect().ask(&long_watch(FIRST)).told();
    let entries = ["s-0000 draining", "s-0002 gone", "s-0007 ready"].map(String::from).to_vec();
    assert_eq!(told, (FIRST + 9, false, entries));
    let told = replica.connect().ask(&long_watch(FIRST + 2)).told();
    assert_eq!(told, (FIRST + 9, false, ["s-0002 gone", "s-0007 ready"].map(String::from).to_vec()));
    let entries = ["s-0000 draining", "s-0001 ready", "s-0003 ready", "s-0007 ready"];
    assert_eq!(replica.connect().ask(WHOLE).told(), (FIRST + 9, true, entries.map(String::from).to_vec()));
}

#[test]
fn a_watch_without_news_ends_with_its_wait_and_the_replicas_own_version() {
    let replica = Replica::start(FAST, 3);
    let mut node = replica.connect();
    assert_eq!(node.ask(&watch(FIRST, 20)).told(), (FIRST, false, Vec::new()));
    // Whoever heard more from another replica is told nothing, and where this one stands.
    assert_eq!(node.ask(&watch(FIRST + 5, 20)).told(), (FIRST, false, Vec::new()));
    assert_eq!(node.ask(&watch(u64::MAX, 20)).told(), (FIRST, false, Vec::new()));
}

#[test]
fn a_call_that_continues_a_watch_costs_less() {
    let replica = Replica::start(FAST, 3);
    let mut node = replica.connect();
    let lines = || replica.report().lines;
    // The next call lies behind the first already: it comes at once after its answer, however busy this machine is.
    node.send(&[watch(FIRST, 20), watch(FIRST, 20), watch(FIRST, 20)].concat());
    for _ in 0..3 {
        assert_eq!(node.answer().unwrap().status, 200);
    }
    assert_eq!(lines(), 10.0 + 2.0 + 2.0);
    thread::sleep(LONGER_THAN_CONTINUED);
    node.ask(&watch(FIRST, 1));
    assert_eq!(lines(), 14.0 + 10.0);
    // Neither on another connection, nor after a whole list, nor for one.
    let mut other = replica.connect();
    other.send(&[WHOLE.to_owned(), watch(FIRST, 1), WHOLE.to_owned()].concat());
    for _ in 0..3 {
        assert_eq!(other.answer().unwrap().status, 200);
    }
    assert_eq!(lines(), 24.0 + 13.0 + 10.0 + 13.0);
}

#[test]
fn a_call_beyond_the_limit_of_the_queue_is_refused_and_charged_nothing() {
    let capacity = ReplicaCapacity { lines_per_second: 4.0, queue_limit_ms: 50, ..FAST };
    let replica = Replica::start(capacity, 2);
    let mut first = replica.connect();
    first.send(WHOLE);
    replica.wait_for_calls(1);
    // 12 lines take 3 s, and whoever comes meanwhile would wait for the rest of them.
    let mut node = replica.connect();
    while replica.report().refused == 0 {
        assert_eq!(node.ask(WHOLE).status, 503);
    }
    let report = replica.report();
    assert_eq!((report.calls, report.refused, report.lines, report.longest_queue_ms), (2, 1, 12.0, 0));
    assert_eq!(first.answer().unwrap().told().2.len(), 2);
    // The queue is empty again.
    assert_eq!(replica.connect().ask(WHOLE).told().2.len(), 2);
    assert_eq!(replica.report().lines, 24.0);
}

#[test]
fn calls_within_the_limit_wait_for_their_turn() {
    let capacity = ReplicaCapacity { lines_per_second: 100.0, queue_limit_ms: 50_000, ..FAST };
    let replica = Replica::start(capacity, 10);
    let mut nodes: Vec<_> = (0..5).map(|_| replica.connect()).collect();
    let began = Instant::now();
    for node in &mut nodes {
        node.send(WHOLE);
    }
    for node in &mut nodes {
        assert_eq!(node.answer().unwrap().told().2.len(), 10);
    }
    // So many lines take no less, however fast this machine is.
    assert!(began.elapsed() >= Duration::from_secs(1), "{:?}", began.elapsed());
    let report = replica.report();
    assert_eq!((report.calls, report.refused, report.lines), (5, 0, 100.0));
    assert!(report.longest_queue_ms <= 800, "{report:?}");
}

/// A replica works through one queue, so the answer to a watch may be due while a later call has its turn. Both calls are
/// then answered in the same moment, and which comes first says nothing. Whether the wait was counted from the call or from
/// its turn shows in the answer: a watch whose wait is over is answered without the change that came after it.
#[test]
fn the_wait_of_a_watch_counts_from_when_its_call_came() {
    let capacity = ReplicaCapacity { lines_per_second: 5.0, ..FAST };
    let replica = Replica::start(capacity, 2);
    let (mut first, mut second) = (replica.connect(), replica.connect());
    // The first call has its turn after 2 s, with 1 s of its wait left; the second one has its turn after 4 s.
    first.send(&watch(FIRST, 3_000));
    replica.wait_for_calls(1);
    second.send(&watch(FIRST, 1));
    let second = second.answer().unwrap();
    // A wait that counted from the turn of the first call would last until 5 s, and be ended by this change.
    replica.change(FIRST + 1, server_that_is(1, "draining"));
    let first = first.answer().unwrap();
    assert_eq!(replica.report().bytes_out, (first.length + second.length) as u64);
    assert_eq!(first.told(), (FIRST, false, Vec::new()));
    assert_eq!(second.told(), (FIRST, false, Vec::new()));
}

#[test]
fn news_beyond_the_limit_of_the_queue_are_refused_and_only_the_calls_charged() {
    let capacity = ReplicaCapacity { lines_per_second: 0.5, call_lines: 0.0, queue_limit_ms: 100, ..FAST };
    let replica = Replica::start(capacity, 2);
    let mut nodes: Vec<_> = (0..5).map(|_| replica.connect()).collect();
    for node in &mut nodes {
        node.send(&long_watch(FIRST));
    }
    replica.wait_for_calls(5);
    replica.change(FIRST + 1, server_that_is(1, "draining"));
    let mut statuses: Vec<_> = nodes.iter_mut().map(|node| node.answer().unwrap().status).collect();
    statuses.sort_unstable();
    assert_eq!(statuses, [200, 503, 503, 503, 503]);
    let report = replica.report();
    assert_eq!((report.refused, report.lines), (4, 1.0));
}

#[test]
fn away_connections_are_reset_and_refused_and_it_comes_back_on_the_same_port() {
    let replica = Replica::start(FAST, 3);
    let (mut watching, mut idle) = (replica.connect(), replica.connect());
    idle.ask(WHOLE);
    watching.send(&long_watch(FIRST));
    replica.wait_for_calls(2);
    for round in 1..=2 {
        replica.answer_like(Answering::Away);
        assert_eq!(watching.answer().unwrap_err().kind(), ErrorKind::ConnectionReset);
        assert_eq!(idle.answer().unwrap_err().kind(), ErrorKind::ConnectionReset);
        replica.report();
        for _ in 0..20 {
            let refused = TcpStream::connect(replica.address).unwrap_err();
            assert_eq!(refused.kind(), ErrorKind::ConnectionRefused);
        }
        // Nobody gets its port meanwhile.
        let taken = TcpSocket::new_v4().unwrap().bind(replica.address).unwrap_err();
        assert_eq!(taken.kind(), ErrorKind::AddrInUse);
        replica.change(FIRST + round, server_that_is(0, "draining"));
        replica.answer_like(Answering::Up);
        replica.report();
        (watching, idle) = (replica.connect(), replica.connect());
        assert_eq!(idle.ask(WHOLE).told().0, FIRST + round);
        watching.send(&long_watch(FIRST + round));
        replica.wait_for_calls(2 + 2 * round);
    }
}

#[test]
fn connections_are_reset_however_soon_it_is_back() {
    let replica = Replica::start(FAST, 3);
    let mut node = replica.connect();
    node.send(&long_watch(FIRST));
    replica.wait_for_calls(1);
    replica.answer_like(Answering::Away);
    replica.answer_like(Answering::Up);
    assert_eq!(node.answer().unwrap_err().kind(), ErrorKind::ConnectionReset);
    assert_eq!(replica.connect().ask(WHOLE).told().0, FIRST);
}

#[test]
fn silent_it_accepts_and_says_nothing_until_it_is_up() {
    let replica = Replica::start(FAST, 3);
    let (mut known, mut new) = (replica.connect(), replica.connect());
    known.send(&long_watch(FIRST));
    replica.wait_for_calls(1);
    replica.answer_like(Answering::Silent);
    replica.change(FIRST + 1, server_that_is(0, "draining"));
    new.send(WHOLE);
    replica.wait_for_calls(2);
    for node in [&mut known, &mut new] {
        node.0.get_ref().set_read_timeout(Some(Duration::from_millis(100))).unwrap();
        assert_eq!(node.answer().unwrap_err().kind(), ErrorKind::WouldBlock);
        node.0.get_ref().set_read_timeout(Some(PATIENCE)).unwrap();
    }
    let report = replica.report();
    assert_eq!((report.bytes_out, report.lines, report.refused), (0, 10.0, 0));
    replica.answer_like(Answering::Up);
    assert_eq!(known.answer().unwrap().told(), (FIRST + 1, false, vec!["s-0000 draining".into()]));
    assert_eq!(new.answer().unwrap().told().0, FIRST + 1);
}

#[test]
fn after_a_reset_another_list_is_told_whatever_its_version() {
    let replica = Replica::start(FAST, 3);
    let mut node = replica.connect();
    replica.change(FIRST + 1, server_that_is(0, "draining"));
    // It lost its entries.
    replica.tell(ReplicaCommand::Reset { version: FIRST + 2, servers: Vec::new() });
    replica.report();
    assert_eq!(node.ask(WHOLE).told(), (FIRST + 2, true, Vec::new()));
    assert_eq!(node.ask(&long_watch(FIRST + 1)).told(), (FIRST + 2, true, Vec::new()));
    // It counts anew: nothing it has is newer.
    replica.tell(ReplicaCommand::Reset { version: 3, servers: vec![server(5)] });
    replica.report();
    assert_eq!(node.ask(&watch(FIRST + 2, 20)).told(), (3, false, Vec::new()));
    assert_eq!(node.ask(WHOLE).told(), (3, true, vec!["s-0005 ready".into()]));
    // And goes on from there, for those who watch.
    node.send(&long_watch(3));
    replica.wait_for_calls(5);
    replica.change(4, server(6));
    assert_eq!(node.answer().unwrap().told(), (4, false, vec!["s-0006 ready".into()]));
    // A watch of what was before is told the whole list.
    node.send(&long_watch(4));
    replica.wait_for_calls(6);
    replica.tell(ReplicaCommand::Reset { version: 9, servers: vec![server(8), server_that_is(9, "gone")] });
    assert_eq!(node.answer().unwrap().told(), (9, true, vec!["s-0008 ready".into()]));
}

#[test]
fn whoever_is_behind_all_changes_that_are_remembered_is_told_the_whole_list() {
    let replica = Replica::start(FAST, 1);
    let last = FIRST + CHANGES_KEPT as u64 + 1;
    for (version, number) in (FIRST + 1..=last).zip(0..) {
        replica.change(version, server(number));
    }
    replica.report();
    let mut node = replica.connect();
    let counts = |(version, whole, entries): (u64, bool, Vec<String>)| (version, whole, entries.len());
    assert_eq!(counts(node.ask(&long_watch(FIRST)).told()), (last, true, CHANGES_KEPT + 1));
    assert_eq!(counts(node.ask(&long_watch(FIRST + 1)).told()), (last, false, CHANGES_KEPT));
    assert_eq!(replica.report().whole_lists, 1);
}

#[test]
fn what_cannot_be_carried_out_ends_it_with_an_error_that_says_why() {
    let replica = Replica::start(FAST, 1);
    replica.change(FIRST, server(0));
    let error = replica.ended().unwrap_err().to_string();
    assert_eq!(error, "change of s-0000: expected a version above 100, found 100");
    let (commands, receiver) = tokio::sync::mpsc::channel(1);
    commands.blocking_send(Ok(ReplicaCommand::Report)).unwrap();
    let error = serve(receiver, |_| ()).unwrap_err().to_string();
    assert_eq!(error, "line 1 of the commands: expected the command start");
}
