//! A process of hollow nodes with replicas of the simulated discovery, as a scale run starts and commands them.

mod common;

use common::{command, wait_for, wait_for_exit, TIMEOUT};
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::cell::RefCell;
use std::io::{BufRead, BufReader, Write};
use std::marker::PhantomData;
use std::net::{Ipv4Addr, SocketAddr};
use std::process::{Child, ChildStdin, Stdio};
use std::sync::mpsc::{channel, Receiver};
use std::thread;
use std::time::{SystemTime, UNIX_EPOCH};
use testbed::scale::messages::{
    Answering, Applied, HollowCommand, HollowEvent, HollowReport, ListedServer, ReplicaCapacity,
    ReplicaCommand, ReplicaEvent, ReplicaReport,
};

/// The version of the first list.
const FIRST: u64 = 100;
const FIRST_NODE: u32 = 40;
const NODES: u32 = 8;
const CAPACITY: ReplicaCapacity = ReplicaCapacity {
    lines_per_second: 1e6,
    call_lines: 10.0,
    continued_call_lines: 1.0,
    queue_limit_ms: 3_000,
};

/// A process that reads commands and writes events, a line each.
struct Process<C, E> {
    child: Child,
    commands: Option<ChildStdin>,
    events: Receiver<E>,
    /// Its standard error.
    errors: Option<thread::JoinHandle<String>>,
    command: PhantomData<C>,
}

impl<C: Serialize, E: DeserializeOwned + Send + 'static> Process<C, E> {
    fn start(subcommand: &str, first: &C) -> Self {
        let mut command = command();
        command.arg(subcommand).stdin(Stdio::piped()).stdout(Stdio::piped()).stderr(Stdio::piped());
        let mut child = command.spawn().unwrap();
        let lines = BufReader::new(child.stdout.take().unwrap()).lines();
        let (sender, events) = channel();
        thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                // The test may have ended.
                let _ = sender.send(serde_json::from_str(&line).unwrap());
            }
        });
        let mut errors = child.stderr.take().unwrap();
        let errors = thread::spawn(move || std::io::read_to_string(&mut errors).unwrap());
        let commands = child.stdin.take();
        let mut process = Self { child, commands, events, errors: Some(errors), command: PhantomData };
        process.send(first);
        process
    }

    fn send(&mut self, command: &C) {
        let mut line = serde_json::to_vec(command).unwrap();
        line.push(b'\n');
        self.commands.as_mut().unwrap().write_all(&line).unwrap();
    }

    fn event(&self) -> E {
        self.events.recv_timeout(TIMEOUT).expect("an event")
    }

    /// Ends its input and waits for its end. Returns whether it succeeded, and its standard error.
    fn finish(mut self) -> (bool, String) {
        self.commands = None;
        let status = wait_for_exit(&mut self.child);
        let errors = self.errors.take().unwrap().join().unwrap();
        (status.success(), errors)
    }
}

impl<C, E> Drop for Process<C, E> {
    fn drop(&mut self) {
        // The process may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

struct Replica {
    process: RefCell<Process<ReplicaCommand, ReplicaEvent>>,
    address: SocketAddr,
}

impl Replica {
    fn start(version: u64, servers: u32) -> Self {
        let process = Process::start(
            "scale-replica",
            &ReplicaCommand::Start {
                listen: (Ipv4Addr::LOCALHOST, 0).into(),
                capacity: CAPACITY,
                version,
                servers: list(servers),
            },
        );
        let ReplicaEvent::Listening { address } = process.event() else { panic!("expected an address") };
        Self { process: RefCell::new(process), address }
    }

    fn send(&self, command: &ReplicaCommand) {
        self.process.borrow_mut().send(command);
    }

    fn change(&self, version: u64, number: u32, health: &str) {
        self.send(&ReplicaCommand::Change { version, server: server(number, health) });
    }

    fn report(&self) -> ReplicaReport {
        self.send(&ReplicaCommand::Report);
        match self.process.borrow().event() {
            ReplicaEvent::Report(report) => report,
            other => panic!("{other:?}"),
        }
    }

    fn wait_for_calls(&self, calls: u64) {
        wait_for("calls", || self.report().calls >= calls);
    }
}

/// A process of hollow nodes, and everything it has reported so far.
struct Hollow {
    process: RefCell<Process<HollowCommand, HollowEvent>>,
    report: RefCell<HollowReport>,
}

impl Hollow {
    /// Starts nodes with this list, or without one.
    fn start(replicas: Vec<SocketAddr>, version: Option<u64>, servers: u32) -> Self {
        let process = Process::start("scale-hollow", &start(replicas, version, servers));
        assert_eq!(process.event(), HollowEvent::Started);
        Self { process: RefCell::new(process), report: RefCell::default() }
    }

    fn send(&self, command: &HollowCommand) {
        self.process.borrow_mut().send(command);
    }

    /// Returns everything reported so far. The process carries out commands in order, so all earlier ones are done.
    fn report(&self) -> HollowReport {
        self.send(&HollowCommand::Report);
        let HollowEvent::Report(new) = self.process.borrow().event() else { panic!("expected a report") };
        let mut report = self.report.borrow_mut();
        report.applied.extend(new.applied);
        report.failed_calls += new.failed_calls;
        report.clone()
    }

    /// Waits until the nodes have applied this many lists in total.
    fn wait_for_lists(&self, count: usize) -> Vec<Applied> {
        wait_for("lists", || self.report().applied.len() >= count);
        let applied = self.report.borrow().applied.clone();
        assert_eq!(applied.len(), count, "{applied:?}");
        applied
    }

    /// Waits until each of these nodes holds this version.
    fn wait_for_version(&self, nodes: impl Iterator<Item = u32> + Clone, version: u64) {
        wait_for("a version", || {
            let applied = self.report().applied;
            nodes.clone().all(|node| applied.iter().any(|list| (list.node, list.version) == (node, version)))
        });
    }
}

fn start(replicas: Vec<SocketAddr>, version: Option<u64>, servers: u32) -> HollowCommand {
    HollowCommand::Start {
        first: FIRST_NODE,
        count: NODES,
        fleet: 20,
        replicas,
        capacity: Some(CAPACITY),
        version,
        servers: list(servers),
        seed: 7,
        zones: vec!["a".into(), "b".into()],
    }
}

fn server(number: u32, health: &str) -> ListedServer {
    ListedServer {
        host: format!("s-{number}"),
        dial: SocketAddr::from(([127, 0, 0, 1], 7070)),
        site: "a".into(),
        class: "m2".into(),
        block: 3,
        health: health.into(),
        share: 1.0,
        born_ms: 0,
    }
}

fn list(servers: u32) -> Vec<ListedServer> {
    (0..servers).map(|number| server(number, "ready")).collect()
}

fn nodes() -> std::ops::Range<u32> {
    FIRST_NODE..FIRST_NODE + NODES
}

fn now_us() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_micros() as u64
}

#[test]
fn nodes_with_a_list_apply_each_change_in_order() {
    let replica = Replica::start(FIRST, 10);
    let hollow = Hollow::start(vec![replica.address], Some(FIRST), 10);
    replica.wait_for_calls(NODES.into());
    let changes = [(FIRST + 1, 3, "draining"), (FIRST + 2, 3, "gone"), (FIRST + 7, 11, "ready")];
    let mut times = vec![now_us()];
    for (number, (version, server, health)) in changes.into_iter().enumerate() {
        replica.change(version, server, health);
        hollow.wait_for_lists(NODES as usize * (number + 1));
        times.push(now_us());
        // Each node opens its next watch.
        replica.wait_for_calls(u64::from(NODES) * (number as u64 + 2));
    }
    let applied = hollow.report().applied;
    for node in nodes() {
        let lists: Vec<_> = applied.iter().filter(|list| list.node == node).collect();
        let versions: Vec<_> = lists.iter().map(|list| (list.version, list.whole)).collect();
        assert_eq!(versions, changes.map(|(version, ..)| (version, false)), "node {node}");
        for (list, between) in lists.iter().zip(times.windows(2)) {
            assert!(between[0] <= list.at_us && list.at_us <= between[1], "{list:?} {times:?}");
        }
    }
    let report = replica.report();
    assert_eq!((report.whole_lists, report.refused), (0, 0));
    assert_eq!(hollow.report().failed_calls, 0);
}

#[test]
fn nodes_without_a_list_request_a_snapshot() {
    let replica = Replica::start(FIRST, 30);
    let hollow = Hollow::start(vec![replica.address], None, 0);
    let applied = hollow.wait_for_lists(NODES as usize);
    assert!(applied.iter().all(|list| list.whole && list.version == FIRST), "{applied:?}");
    let mut nodes_with_list: Vec<_> = applied.iter().map(|list| list.node).collect();
    nodes_with_list.sort_unstable();
    assert_eq!(nodes_with_list, Vec::from_iter(nodes()));
    // Each node has a connection of its own, which its watch uses as well.
    replica.wait_for_calls(u64::from(NODES) * 2);
    let report = replica.report();
    assert_eq!((report.calls, report.whole_lists), (u64::from(NODES) * 2, NODES.into()));
    assert_eq!(report.lines, f64::from(NODES) * (10.0 + 30.0 + 10.0));
}

#[test]
fn killed_nodes_are_not_notified_and_restart_without_a_list() {
    let replica = Replica::start(FIRST, 10);
    let hollow = Hollow::start(vec![replica.address], Some(FIRST), 10);
    replica.wait_for_calls(NODES.into());
    let killed = vec![FIRST_NODE, FIRST_NODE + 5];
    hollow.send(&HollowCommand::Kill { nodes: killed.clone() });
    hollow.report();
    replica.change(FIRST + 1, 3, "draining");
    let up = NODES as usize - killed.len();
    let applied = hollow.wait_for_lists(up);
    assert!(applied.iter().all(|list| !killed.contains(&list.node) && !list.whole), "{applied:?}");
    hollow.send(&HollowCommand::Launch { nodes: killed.clone() });
    let applied = hollow.wait_for_lists(up + killed.len());
    let new: Vec<_> = applied[up..].iter().map(|list| (list.version, list.whole)).collect();
    assert_eq!(new, [(FIRST + 1, true); 2]);
    assert!(applied[up..].iter().all(|list| killed.contains(&list.node)), "{applied:?}");
    // A running node restarts as well, and all others go on.
    hollow.send(&HollowCommand::Launch { nodes: vec![FIRST_NODE + 1] });
    let applied = hollow.wait_for_lists(up + killed.len() + 1);
    assert_eq!(applied.last().map(|list| (list.node, list.whole)), Some((FIRST_NODE + 1, true)));
    replica.change(FIRST + 2, 3, "gone");
    hollow.wait_for_version(nodes(), FIRST + 2);
    assert_eq!(hollow.report().failed_calls, 0);
}

#[test]
fn failed_polls_are_counted_and_missed_changes_are_applied_later() {
    let replica = Replica::start(FIRST, 10);
    let hollow = Hollow::start(vec![replica.address], Some(FIRST), 10);
    replica.wait_for_calls(NODES.into());
    replica.send(&ReplicaCommand::Answer { answering: Answering::Away });
    // Every watch breaks off.
    wait_for("failed polls", || hollow.report().failed_calls >= NODES.into());
    replica.change(FIRST + 1, 3, "draining");
    replica.send(&ReplicaCommand::Answer { answering: Answering::Up });
    hollow.wait_for_version(nodes(), FIRST + 1);
    assert!(hollow.report().applied.iter().all(|list| !list.whole));
}

#[test]
fn a_replaced_set_of_replicas_is_polled_from_then_on() {
    let (before, after) = (Replica::start(FIRST, 10), Replica::start(FIRST + 50, 12));
    let hollow = Hollow::start(vec![before.address], Some(FIRST), 10);
    before.wait_for_calls(NODES.into());
    hollow.send(&HollowCommand::Replicas { replicas: vec![after.address] });
    hollow.wait_for_version(nodes(), FIRST + 50);
    after.change(FIRST + 51, 0, "draining");
    hollow.wait_for_version(nodes(), FIRST + 51);
    assert_eq!(before.report().calls, u64::from(NODES));
}

#[test]
fn nodes_fail_over_to_the_replica_that_answers() {
    let replicas = [Replica::start(FIRST, 10), Replica::start(FIRST, 10)];
    let addresses = replicas.iter().map(|replica| replica.address).collect();
    let hollow = Hollow::start(addresses, Some(FIRST), 10);
    let calls = || replicas.iter().map(|replica| replica.report().calls).sum::<u64>();
    wait_for("calls", || calls() >= u64::from(NODES));
    // Each replica is away once, whichever of them a node prefers.
    for (version, away, up) in [(FIRST + 1, 0, 1), (FIRST + 21, 1, 0)] {
        for replica in &replicas {
            replica.change(version, 3, "draining");
        }
        hollow.wait_for_version(nodes(), version);
        replicas[away].send(&ReplicaCommand::Answer { answering: Answering::Away });
        replicas[up].send(&ReplicaCommand::Answer { answering: Answering::Up });
        replicas[away].report();
        let later = version + 10;
        replicas[up].change(later, 3, "ready");
        hollow.wait_for_version(nodes(), later);
        replicas[away].change(later, 3, "ready");
        replicas[away].send(&ReplicaCommand::Answer { answering: Answering::Up });
    }
    let applied = hollow.report().applied;
    for node in nodes() {
        let versions: Vec<_> =
            applied.iter().filter(|list| list.node == node).map(|list| list.version).collect();
        assert!(versions.windows(2).all(|pair| pair[0] <= pair[1]), "node {node}: {versions:?}");
    }
}

#[test]
fn processes_end_on_the_stop_command_or_at_the_end_of_input() {
    let replica = Replica::start(FIRST, 3);
    let hollow = Hollow::start(vec![replica.address], Some(FIRST), 3);
    replica.wait_for_calls(NODES.into());
    hollow.send(&HollowCommand::Stop);
    assert_eq!(hollow.process.into_inner().finish(), (true, String::new()));
    let hollow = Hollow::start(vec![replica.address], Some(FIRST), 3);
    assert!(hollow.process.into_inner().finish().0);
    replica.send(&ReplicaCommand::Stop);
    assert_eq!(replica.process.into_inner().finish(), (true, String::new()));
    let replica = Replica::start(FIRST, 3);
    assert!(replica.process.into_inner().finish().0);
}

#[test]
fn a_command_that_cannot_be_carried_out_ends_the_process_with_an_error() {
    let replica = Replica::start(FIRST, 3);
    let hollow = Hollow::start(vec![replica.address], Some(FIRST), 3);
    hollow.send(&HollowCommand::Kill { nodes: vec![FIRST_NODE + NODES] });
    let (succeeded, errors) = hollow.process.into_inner().finish();
    assert!(!succeeded);
    assert!(errors.contains("node 48: expected one from 40 to 47"), "{errors}");
    let cases = [
        (HollowCommand::Report, "line 1 of the commands: expected the command start"),
        (start(Vec::new(), None, 0), "replicas: expected one address or more, found none"),
    ];
    for (first, message) in cases {
        let (succeeded, errors) = Process::<_, HollowEvent>::start("scale-hollow", &first).finish();
        assert!(!succeeded && errors.contains(message), "{errors}; expected {message}");
    }
    let (succeeded, errors) = Process::<_, ReplicaEvent>::start("scale-replica", &"rest").finish();
    assert!(!succeeded && errors.contains("line 1 of the commands: "), "{errors}");
}
