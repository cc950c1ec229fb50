//! Tests a process of hollow nodes (the real discovery client and balancing decisions, without clients) with
//! replicas of the simulated discovery service. Both are started and controlled as in a scale run.

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

/// Version of the first list.
const FIRST_VERSION: u64 = 100;
const FIRST_NODE: u32 = 40;
const NODES: u32 = 8;
const CAPACITY: ReplicaCapacity = ReplicaCapacity {
    lines_per_second: 1e6,
    call_lines: 10.0,
    continued_call_lines: 1.0,
    queue_limit_ms: 3_000,
};

/// A process that reads commands and writes events, one per line.
struct Process<C, E> {
    child: Child,
    commands: Option<ChildStdin>,
    events: Receiver<E>,
    stderr: Option<thread::JoinHandle<String>>,
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
        let mut stderr = child.stderr.take().unwrap();
        let stderr = thread::spawn(move || std::io::read_to_string(&mut stderr).unwrap());
        let commands = child.stdin.take();
        let mut process = Self { child, commands, events, stderr: Some(stderr), command: PhantomData };
        process.send(first);
        process
    }

    fn send(&mut self, command: &C) {
        let mut line = serde_json::to_vec(command).unwrap();
        line.push(b'\n');
        self.commands.as_mut().unwrap().write_all(&line).unwrap();
    }

    fn next_event(&self) -> E {
        self.events.recv_timeout(TIMEOUT).expect("an event")
    }

    /// Closes the process's input and waits until it exits. Returns whether it succeeded, and its standard
    /// error.
    fn finish(mut self) -> (bool, String) {
        self.commands = None;
        let status = wait_for_exit(&mut self.child);
        let stderr = self.stderr.take().unwrap().join().unwrap();
        (status.success(), stderr)
    }
}

impl<C, E> Drop for Process<C, E> {
    fn drop(&mut self) {
        // The process may have exited already.
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
                servers: server_list(servers),
            },
        );
        let ReplicaEvent::Listening { address } = process.next_event() else { panic!("expected an address") };
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
        match self.process.borrow().next_event() {
            ReplicaEvent::Report(report) => report,
            other => panic!("{other:?}"),
        }
    }

    fn wait_for_calls(&self, calls: u64) {
        wait_for("polls", || self.report().calls >= calls);
    }
}

/// A process of hollow nodes, with the sum of its reports so far.
struct Hollow {
    process: RefCell<Process<HollowCommand, HollowEvent>>,
    report: RefCell<HollowReport>,
}

impl Hollow {
    /// Starts nodes with a list of this version and number of servers, or without a list.
    fn start(replicas: Vec<SocketAddr>, version: Option<u64>, servers: u32) -> Self {
        let process = Process::start("scale-hollow", &start_command(replicas, version, servers));
        assert_eq!(process.next_event(), HollowEvent::Started);
        Self { process: RefCell::new(process), report: RefCell::default() }
    }

    fn send(&self, command: &HollowCommand) {
        self.process.borrow_mut().send(command);
    }

    /// Requests a report and returns the sum of all reports. The process executes commands in order, so all
    /// earlier commands have been executed.
    fn report(&self) -> HollowReport {
        self.send(&HollowCommand::Report);
        let HollowEvent::Report(new) = self.process.borrow().next_event() else {
            panic!("expected a report")
        };
        let mut report = self.report.borrow_mut();
        report.applied.extend(new.applied);
        report.failed_calls += new.failed_calls;
        report.clone()
    }

    /// Waits until the nodes have applied this many lists in total.
    fn wait_for_lists(&self, count: usize) -> Vec<Applied> {
        wait_for("the lists to be applied", || self.report().applied.len() >= count);
        let applied = self.report.borrow().applied.clone();
        assert_eq!(applied.len(), count, "{applied:?}");
        applied
    }

    /// Waits until each of these nodes has applied this version.
    fn wait_for_version(&self, nodes: impl Iterator<Item = u32> + Clone, version: u64) {
        wait_for("the version at every node", || {
            let applied = self.report().applied;
            nodes.clone().all(|node| applied.iter().any(|list| (list.node, list.version) == (node, version)))
        });
    }
}

fn start_command(replicas: Vec<SocketAddr>, version: Option<u64>, servers: u32) -> HollowCommand {
    HollowCommand::Start {
        first: FIRST_NODE,
        count: NODES,
        fleet: 20,
        replicas,
        capacity: Some(CAPACITY),
        version,
        servers: server_list(servers),
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

fn server_list(servers: u32) -> Vec<ListedServer> {
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
    let replica = Replica::start(FIRST_VERSION, 10);
    let hollow = Hollow::start(vec![replica.address], Some(FIRST_VERSION), 10);
    replica.wait_for_calls(NODES.into());
    let changes = [
        (FIRST_VERSION + 1, 3, "draining"),
        (FIRST_VERSION + 2, 3, "gone"),
        (FIRST_VERSION + 7, 11, "ready"),
    ];
    let mut times = vec![now_us()];
    for (number, (version, server, health)) in changes.into_iter().enumerate() {
        replica.change(version, server, health);
        hollow.wait_for_lists(NODES as usize * (number + 1));
        times.push(now_us());
        // Each node has opened its next watch.
        replica.wait_for_calls(u64::from(NODES) * (number as u64 + 2));
    }
    let applied = hollow.report().applied;
    for node in nodes() {
        let lists: Vec<_> = applied.iter().filter(|list| list.node == node).collect();
        let versions: Vec<_> = lists.iter().map(|list| (list.version, list.is_snapshot)).collect();
        assert_eq!(versions, changes.map(|(version, ..)| (version, false)), "node {node}");
        for (list, between) in lists.iter().zip(times.windows(2)) {
            assert!(between[0] <= list.at_us && list.at_us <= between[1], "{list:?} {times:?}");
        }
    }
    let report = replica.report();
    assert_eq!((report.snapshots, report.rejected), (0, 0));
    assert_eq!(hollow.report().failed_calls, 0);
}

#[test]
fn nodes_without_a_list_request_a_snapshot() {
    let replica = Replica::start(FIRST_VERSION, 30);
    let hollow = Hollow::start(vec![replica.address], None, 0);
    let applied = hollow.wait_for_lists(NODES as usize);
    assert!(applied.iter().all(|list| list.is_snapshot && list.version == FIRST_VERSION), "{applied:?}");
    let mut nodes_with_list: Vec<_> = applied.iter().map(|list| list.node).collect();
    nodes_with_list.sort_unstable();
    assert_eq!(nodes_with_list, Vec::from_iter(nodes()));
    // Each node uses its own connection, also for its watch.
    replica.wait_for_calls(u64::from(NODES) * 2);
    let report = replica.report();
    assert_eq!((report.calls, report.snapshots), (u64::from(NODES) * 2, NODES.into()));
    assert_eq!(report.lines, f64::from(NODES) * (10.0 + 30.0 + 10.0));
}

#[test]
fn killed_nodes_are_not_notified_and_restart_without_a_list() {
    let replica = Replica::start(FIRST_VERSION, 10);
    let hollow = Hollow::start(vec![replica.address], Some(FIRST_VERSION), 10);
    replica.wait_for_calls(NODES.into());
    let killed = vec![FIRST_NODE, FIRST_NODE + 5];
    hollow.send(&HollowCommand::Kill { nodes: killed.clone() });
    hollow.report();
    replica.change(FIRST_VERSION + 1, 3, "draining");
    let running = NODES as usize - killed.len();
    let applied = hollow.wait_for_lists(running);
    assert!(applied.iter().all(|list| !killed.contains(&list.node) && !list.is_snapshot), "{applied:?}");
    hollow.send(&HollowCommand::Launch { nodes: killed.clone() });
    let applied = hollow.wait_for_lists(running + killed.len());
    let new: Vec<_> = applied[running..].iter().map(|list| (list.version, list.is_snapshot)).collect();
    assert_eq!(new, [(FIRST_VERSION + 1, true); 2]);
    assert!(applied[running..].iter().all(|list| killed.contains(&list.node)), "{applied:?}");
    // A running node can be restarted as well; the others keep running.
    hollow.send(&HollowCommand::Launch { nodes: vec![FIRST_NODE + 1] });
    let applied = hollow.wait_for_lists(running + killed.len() + 1);
    assert_eq!(applied.last().map(|list| (list.node, list.is_snapshot)), Some((FIRST_NODE + 1, true)));
    replica.change(FIRST_VERSION + 2, 3, "gone");
    hollow.wait_for_version(nodes(), FIRST_VERSION + 2);
    assert_eq!(hollow.report().failed_calls, 0);
}

#[test]
fn failed_polls_are_counted_and_missed_changes_are_applied_later() {
    let replica = Replica::start(FIRST_VERSION, 10);
    let hollow = Hollow::start(vec![replica.address], Some(FIRST_VERSION), 10);
    replica.wait_for_calls(NODES.into());
    replica.send(&ReplicaCommand::Answer { answering: Answering::Away });
    // All watches are interrupted.
    wait_for("failed polls", || hollow.report().failed_calls >= NODES.into());
    replica.change(FIRST_VERSION + 1, 3, "draining");
    replica.send(&ReplicaCommand::Answer { answering: Answering::Up });
    hollow.wait_for_version(nodes(), FIRST_VERSION + 1);
    assert!(hollow.report().applied.iter().all(|list| !list.is_snapshot));
}

#[test]
fn after_a_replacement_of_the_replicas_only_the_new_ones_are_polled() {
    let (before, after) = (Replica::start(FIRST_VERSION, 10), Replica::start(FIRST_VERSION + 50, 12));
    let hollow = Hollow::start(vec![before.address], Some(FIRST_VERSION), 10);
    before.wait_for_calls(NODES.into());
    hollow.send(&HollowCommand::Replicas { replicas: vec![after.address] });
    hollow.wait_for_version(nodes(), FIRST_VERSION + 50);
    after.change(FIRST_VERSION + 51, 0, "draining");
    hollow.wait_for_version(nodes(), FIRST_VERSION + 51);
    assert_eq!(before.report().calls, u64::from(NODES));
}

#[test]
fn nodes_fail_over_to_an_available_replica() {
    let replicas = [Replica::start(FIRST_VERSION, 10), Replica::start(FIRST_VERSION, 10)];
    let addresses = replicas.iter().map(|replica| replica.address).collect();
    let hollow = Hollow::start(addresses, Some(FIRST_VERSION), 10);
    let calls = || replicas.iter().map(|replica| replica.report().calls).sum::<u64>();
    wait_for("polls", || calls() >= u64::from(NODES));
    // Each replica is unavailable once, so that every node has to fail over, whichever one it prefers.
    for (version, away, up) in [(FIRST_VERSION + 1, 0, 1), (FIRST_VERSION + 21, 1, 0)] {
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
    let replica = Replica::start(FIRST_VERSION, 3);
    let hollow = Hollow::start(vec![replica.address], Some(FIRST_VERSION), 3);
    replica.wait_for_calls(NODES.into());
    hollow.send(&HollowCommand::Stop);
    assert_eq!(hollow.process.into_inner().finish(), (true, String::new()));
    let hollow = Hollow::start(vec![replica.address], Some(FIRST_VERSION), 3);
    assert!(hollow.process.into_inner().finish().0);
    replica.send(&ReplicaCommand::Stop);
    assert_eq!(replica.process.into_inner().finish(), (true, String::new()));
    let replica = Replica::start(FIRST_VERSION, 3);
    assert!(replica.process.into_inner().finish().0);
}

#[test]
fn invalid_commands_end_the_process_with_an_error() {
    let replica = Replica::start(FIRST_VERSION, 3);
    let hollow = Hollow::start(vec![replica.address], Some(FIRST_VERSION), 3);
    hollow.send(&HollowCommand::Kill { nodes: vec![FIRST_NODE + NODES] });
    let (succeeded, errors) = hollow.process.into_inner().finish();
    assert!(!succeeded);
    assert!(errors.contains("node 48: expected one from 40 to 47"), "{errors}");
    let cases = [
        (HollowCommand::Report, "line 1 of the commands: expected the command start"),
        (start_command(Vec::new(), None, 0), "replicas: expected one address or more, found none"),
    ];
    for (first_command, expected) in cases {
        let (succeeded, errors) = Process::<_, HollowEvent>::start("scale-hollow", &first_command).finish();
        assert!(!succeeded && errors.contains(expected), "{errors}; expected {expected}");
    }
    let (succeeded, errors) = Process::<_, ReplicaEvent>::start("scale-replica", &"rest").finish();
    assert!(!succeeded && errors.contains("line 1 of the commands: "), "{errors}");
}
