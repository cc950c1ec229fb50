//! `cache-balancer scale` run as a command, at a size suitable for a test.

use rustix::process::{kill_process, Pid, Signal};
use std::io::{BufRead, BufReader};
use std::path::Path;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};
use testbed::scale::messages::Answering;
use testbed::scale::steps::{plan, servers_at_start, Step};
use testbed::scale::{ScaleReport, ScaleScript};

const NODES: u64 = 300;
/// Time after which a wait fails, far longer than any expected wait.
const TIMEOUT: Duration = Duration::from_secs(300);
/// Environment variable that marks the processes of a run. Its value is unique to the run.
const MARK_VARIABLE: &str = "CACHE_BALANCER_SCALE_TEST";

/// Script in which a replica is lost during changes and does not return. It is one of three replicas of small
/// capacity; without the mechanism it is the only one that nodes know.
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

/// A run with its own directory, which holds the script and any temporary files.
struct Run {
    directory: tempfile::TempDir,
    mark: String,
    child: Child,
}

impl Run {
    fn start(name: &str, script: &str) -> Self {
        let directory = tempfile::tempdir().unwrap();
        let file = directory.path().join("script.toml");
        std::fs::write(&file, script).unwrap();
        let mark = format!("{name}-{}", std::process::id());
        let child = Command::new(env!("CARGO_BIN_EXE_cache-balancer"))
            .args(["scale", "--json"])
            .arg(&file)
            .env(MARK_VARIABLE, &mark)
            .env("TMPDIR", directory.path())
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        Self { directory, mark, child }
    }

    /// Waits until the run exits. Returns its result and exit status.
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

    /// Waits until the run measures. By then all of its processes are running.
    fn wait_until_measuring(&mut self) {
        let stderr = self.child.stderr.as_mut().unwrap();
        let is_measuring =
            BufReader::new(stderr).lines().map_while(Result::ok).any(|line| line.starts_with("measuring"));
        assert!(is_measuring, "the run ended before it measured");
    }

    fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.child), signal).unwrap();
    }

    /// Waits until all processes of the run have exited, then checks that only the script is left in the
    /// directory.
    fn assert_nothing_left(&self) {
        let deadline = Instant::now() + TIMEOUT;
        while !processes_with(&self.mark).is_empty() {
            assert!(Instant::now() < deadline, "processes are left: {:?}", processes_with(&self.mark));
            std::thread::sleep(Duration::from_millis(50));
        }
        let files: Vec<_> = std::fs::read_dir(self.directory.path())
            .unwrap()
            .map(|entry| entry.unwrap().file_name())
            .collect();
        assert_eq!(files, ["script.toml"]);
    }
}

/// Returns the running processes with this mark.
fn processes_with(mark: &str) -> Vec<String> {
    let wanted = format!("{MARK_VARIABLE}={mark}");
    let has_mark = |directory: &Path| {
        let environment = std::fs::read(directory.join("environ")).unwrap_or_default();
        environment.split(|byte| *byte == 0).any(|variable| variable == wanted.as_bytes())
    };
    let entries = std::fs::read_dir("/proc").unwrap().filter_map(Result::ok).map(|entry| entry.path());
    let marked = entries.filter(|directory| has_mark(directory));
    marked.map(|directory| directory.display().to_string()).collect()
}

/// Returns the number of changes in the script after the replica is lost.
fn changes_after_the_loss(text: &str) -> u64 {
    let script = ScaleScript::parse("test", text).unwrap();
    let steps = plan(&script, &servers_at_start(&script));
    let is_loss = |step: &Step| matches!(step, Step::SetAnswering { answering: Answering::Away, .. });
    let loss = steps.iter().position(|planned| is_loss(&planned.step)).unwrap();
    steps[loss..].iter().filter(|planned| matches!(planned.step, Step::Change { .. })).count() as u64
}

/// Guards against nodes that miss changes after a replica is lost. Nodes that know all replicas switch to
/// another one.
#[test]
fn every_node_acts_on_every_change_despite_a_lost_replica() {
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
    assert_eq!((real.nodes, real.violation_counts, real.violations.len()), (3, [0; 4], 0), "{shown}");
    assert!(real.served > 0, "{shown}");
    assert_eq!(report.rest.hollow_processor_s > 0.0, report.rest.hollow_resident_bytes > 0, "{shown}");
    assert!(report.all_met() && status.success(), "{shown}");
}

/// Shows that the test above can fail: without the mechanism, nodes miss changes.
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

/// Guards against processes that outlive their run and take processor time from the next run.
#[test]
fn a_run_that_is_interrupted_or_killed_leaves_no_process_and_no_file() {
    for signal in [Signal::INT, Signal::TERM, Signal::KILL] {
        let mut run = Run::start("ended", &script(true, "5s"));
        run.wait_until_measuring();
        // The run itself, 2 processes of hollow nodes, 3 replicas and 3 real nodes.
        assert_eq!(processes_with(&run.mark).len(), 9);
        run.signal(signal);
        let status = run.child.wait().unwrap();
        assert_eq!(status.code(), (signal != Signal::KILL).then_some(2), "{signal:?}: {status}");
        run.assert_nothing_left();
    }
}

#[test]
fn unusable_scripts_and_runs_that_exceed_resources_are_refused_before_they_start() {
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
    let unknown = refused(&["none-such"]);
    assert!(unknown.contains("expected the name of a scenario or the path of a script"), "{unknown}");
    let out_of_range = refused(&["quiet", "--replicas", "65"]);
    assert!(out_of_range.contains("65 is not in 1..=64"), "{out_of_range}");
    let nothing_to_fit = refused(&["fit", "none-such.json"]);
    assert!(nothing_to_fit.contains("none-such.json"), "{nothing_to_fit}");
}
