//! `cache-balancer scale` as a command, at a size that fits into a test.

use rustix::process::{kill_process, Pid, Signal};
use std::io::{BufRead, BufReader};
use std::path::Path;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};
use testbed::scale::messages::Answering;
use testbed::scale::steps::{plan, servers_at_start, Step};
use testbed::scale::{ScaleReport, ScaleScript};

const NODES: u64 = 300;
/// The time after which a wait fails. Far longer than anything that the tests wait for.
const TIMEOUT: Duration = Duration::from_secs(300);
/// Processes of a run have a variable of this name in their environment, with a value of its own.
const MARK: &str = "PINHEAD_SCALE_TEST";

/// A replica is lost in the middle of changes, and does not come back. It is one of three of small capacity;
/// without the mechanism it is the one that all nodes know.
const SCRIPT: &str = r#"
version = 1
name = "test"
settle = "3s"
length = "16s"
catch_up = "CATCH_UP"
nodes = 300
servers = 40
hollow_processes = 2
zones = 4
regions = 2
replicas = 3
mechanism = MECHANISM

[capacity]
lines_per_second = 2000.0
call_lines = 5.0
continued_call_lines = 1.0
queue_limit = "2s"

[real]
nodes = 3
rate = 30.0

[[event]]
kind = "changes"
at = "2s"
over = "14s"
per_day = 120000
step = "1s"

[[event]]
kind = "replica-lost"
at = "6s"
replica = 0
"#;

fn script(mechanism: bool, catch_up: &str) -> String {
    SCRIPT.replace("MECHANISM", &mechanism.to_string()).replace("CATCH_UP", catch_up)
}

/// A run in a folder of its own, which is where its script is, and where its temporary files would be.
struct Run {
    folder: tempfile::TempDir,
    mark: String,
    child: Child,
}

impl Run {
    fn start(name: &str, script: &str) -> Self {
        let folder = tempfile::tempdir().unwrap();
        let file = folder.path().join("script.toml");
        std::fs::write(&file, script).unwrap();
        let mark = format!("{name}-{}", std::process::id());
        let child = Command::new(env!("CARGO_BIN_EXE_cache-balancer"))
            .args(["scale", "--json"])
            .arg(&file)
            .env(MARK, &mark)
            .env("TMPDIR", folder.path())
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        Self { folder, mark, child }
    }

    /// Its one line of result, and how it ended.
    fn result(mut self) -> (ScaleReport, ExitStatus) {
        let stderr = self.child.stderr.take().unwrap();
        let progress =
            std::thread::spawn(move || BufReader::new(stderr).lines().map_while(Result::ok).collect());
        let lines: Vec<String> =
            BufReader::new(self.child.stdout.take().unwrap()).lines().map_while(Result::ok).collect();
        let status = self.child.wait().unwrap();
        let progress: Vec<String> = progress.join().unwrap();
        assert_eq!(lines.len(), 1, "{status}: {progress:#?}");
        self.assert_nothing_left();
        (ScaleReport::parse(&lines[0]).unwrap(), status)
    }

    /// Waits until it measures: then all of its processes run.
    fn wait_until_measuring(&mut self) {
        let stderr = self.child.stderr.as_mut().unwrap();
        let begun =
            BufReader::new(stderr).lines().map_while(Result::ok).any(|line| line.starts_with("measuring"));
        assert!(begun, "the run ended before it measured");
    }

    fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.child), signal).unwrap();
    }

    /// Waits until none of its processes runs, and looks for files other than the script.
    fn assert_nothing_left(&self) {
        let until = Instant::now() + TIMEOUT;
        while !processes_with(&self.mark).is_empty() {
            assert!(Instant::now() < until, "processes run on: {:?}", processes_with(&self.mark));
            std::thread::sleep(Duration::from_millis(50));
        }
        let files: Vec<_> =
            std::fs::read_dir(self.folder.path()).unwrap().map(|entry| entry.unwrap().file_name()).collect();
        assert_eq!(files, ["script.toml"]);
    }
}

/// Processes that run and have this mark.
fn processes_with(mark: &str) -> Vec<String> {
    let wanted = format!("{MARK}={mark}");
    let has_mark = |folder: &Path| {
        let environment = std::fs::read(folder.join("environ")).unwrap_or_default();
        environment.split(|byte| *byte == 0).any(|variable| variable == wanted.as_bytes())
    };
    let entries = std::fs::read_dir("/proc").unwrap().filter_map(Result::ok).map(|entry| entry.path());
    let marked = entries.filter(|folder| has_mark(folder));
    marked.map(|folder| folder.display().to_string()).collect()
}

/// The number of changes that the script has after the replica is lost.
fn changes_after_the_loss(text: &str) -> u64 {
    let script = ScaleScript::parse("test", text).unwrap();
    let steps = plan(&script, &servers_at_start(&script));
    let lost = |step: &Step| matches!(step, Step::Answer { answering: Answering::Away, .. });
    let lost = steps.iter().position(|planned| lost(&planned.step)).unwrap();
    steps[lost..].iter().filter(|planned| matches!(planned.step, Step::Change { .. })).count() as u64
}

/// Nodes that know all replicas poll another one: none misses a change.
#[test]
fn every_node_acts_on_every_change_though_a_replica_is_lost() {
    let text = script(true, "60s");
    let (report, status) = Run::start("on", &text).result();
    let shown = report.text();
    assert!(changes_after_the_loss(&text) >= 9, "{shown}");
    assert_eq!(report.propagation.changes, 18, "{shown}");
    assert_eq!((report.propagation.never, report.propagation.nodes_never), (0, 0), "{shown}");
    assert_eq!(report.propagation.times.count, report.propagation.changes * NODES, "{shown}");
    assert_eq!(report.replica_loads.len(), 3, "{shown}");
    assert!(report.replica_loads.iter().all(|load| load.calls > 0), "{shown}");
    let real = report.real.clone().unwrap();
    assert_eq!((real.nodes, real.rules_broken, real.breaches.len()), (3, [0; 4], 0), "{shown}");
    assert!(real.served > 0, "{shown}");
    assert_eq!(report.rest.hollow_processor_s > 0.0, report.rest.hollow_resident_bytes > 0, "{shown}");
    assert!(report.all_met() && status.success(), "{shown}");
}

/// The comparison that shows that the test above can fail.
#[test]
fn without_the_mechanism_no_node_acts_on_a_change_after_its_replica_is_lost() {
    let text = script(false, "5s");
    let (report, status) = Run::start("off", &text).result();
    let shown = report.text();
    assert_eq!((report.mechanism, report.replicas, report.propagation.changes), (false, 1, 18), "{shown}");
    assert_eq!(report.propagation.nodes_never, NODES, "{shown}");
    assert!(report.propagation.never >= changes_after_the_loss(&text) * NODES, "{shown}");
    assert_eq!(
        report.propagation.times.count + report.propagation.never,
        report.propagation.changes * NODES,
        "{shown}"
    );
    assert!(report.text().contains("MISSED: 300 nodes never acted on a change"), "{shown}");
    assert!(!report.all_met(), "{shown}");
    assert_eq!(status.code(), Some(1), "{shown}");
}

/// Processes of a run outlived it and took the machine's time from the next one.
#[test]
fn a_run_that_is_interrupted_or_killed_leaves_no_process_and_no_file() {
    for signal in [Signal::INT, Signal::TERM, Signal::KILL] {
        let mut run = Run::start("ended", &script(true, "5s"));
        run.wait_until_measuring();
        // The run, 2 processes of hollow nodes, 3 replicas and 3 real nodes.
        assert_eq!(processes_with(&run.mark).len(), 9);
        run.signal(signal);
        let status = run.child.wait().unwrap();
        assert_eq!(status.code(), (signal != Signal::KILL).then_some(2), "{signal:?}: {status}");
        run.assert_nothing_left();
    }
}

#[test]
fn a_faulty_script_and_a_run_that_does_not_fit_are_refused_at_once() {
    let refused = |arguments: &[&str]| {
        let output =
            Command::new(env!("CARGO_BIN_EXE_cache-balancer")).arg("scale").args(arguments).output().unwrap();
        assert_eq!((output.status.code(), output.stdout.len()), (Some(2), 0), "{output:?}");
        String::from_utf8(output.stderr).unwrap()
    };
    let too_large =
        refused(&["quiet", "--nodes", "20000", "--servers", "4000", "--processes", "200", "--real", "0"]);
    assert!(
        too_large.contains("does not fit") && too_large.contains("memory: the run needs "),
        "{too_large}"
    );
    let none_such = refused(&["none-such"]);
    assert!(none_such.contains("expected the name of a scenario or the path of a script"), "{none_such}");
    let out_of_range = refused(&["quiet", "--replicas", "65"]);
    assert!(out_of_range.contains("65 is not in 1..=64"), "{out_of_range}");
    let nothing_to_fit = refused(&["fit", "none-such.json"]);
    assert!(nothing_to_fit.contains("none-such.json"), "{nothing_to_fit}");
}
