//! Runs the real nodes of a scale run with the real program between simulated cache servers and clients, and
//! checks that they keep the rules.

mod common;

use common::Discovery;
use serde_json::Value;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use testbed::scale::messages::ListedServer;
use testbed::scale::real::notification_judge::{DRAIN_GRACE, NOTIFIED_AFTER};
use testbed::scale::real::{
    classes, CacheServers, RealError, RealNodes, RealReport, RealSettings, ServerSettings, ViolationCounts,
};
use tokio::time::sleep;

/// Time after which a wait fails, far longer than any expected wait.
const TIMEOUT: Duration = Duration::from_secs(120);
const NODES: u32 = 3;
const SERVERS: u32 = 40;
/// Maximum number of requests in flight at one node.
const MAX_IN_FLIGHT: u64 = 32;

/// Nodes, and the endpoint list that discovery sends them.
struct Run {
    servers: Vec<ListedServer>,
    discovery: Discovery,
    nodes: RealNodes,
}

fn entries(servers: &[ListedServer]) -> Vec<Value> {
    let present = servers.iter().filter(|server| server.health != "gone");
    present.map(|server| serde_json::to_value(server).unwrap()).collect()
}

fn now_us() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_micros() as u64
}

fn settings(discovery: &Discovery) -> RealSettings {
    RealSettings {
        program: env!("CARGO_BIN_EXE_cache-balancer").into(),
        count: NODES,
        fleet_size: NODES,
        zones: vec!["a".into(), "b".into()],
        replicas: vec![discovery.address],
        capacity: None,
        rate: 100.0,
        classes: classes(),
        seed: 7,
    }
}

impl Run {
    async fn start() -> Self {
        let zones = vec!["a".into(), "b".into()];
        let servers = CacheServers::start(ServerSettings { count: SERVERS, zones }).await.unwrap();
        let listed = servers.servers();
        let discovery = Discovery::start(&entries(&listed));
        let nodes = RealNodes::start(&servers, settings(&discovery)).await.unwrap();
        Self { servers: listed, discovery, nodes }
    }

    /// Waits until clients have sent this number of further requests.
    async fn wait_for_requests(&self, requests: u64) {
        let (start, target) = (Instant::now(), self.nodes.requests() + requests);
        while self.nodes.requests() < target {
            assert!(start.elapsed() < TIMEOUT, "timed out waiting for {requests} requests");
            sleep(Duration::from_millis(5)).await;
        }
    }

    /// Changes entries of the list, and notifies the judge and the cache servers, but not the nodes.
    fn change(&mut self, range: std::ops::Range<usize>, change: impl Fn(&mut ListedServer)) {
        for index in range {
            change(&mut self.servers[index]);
            self.nodes.apply_entry(&self.servers[index], now_us()).unwrap();
        }
    }

    /// Makes discovery send the list to the nodes.
    fn send_list(&self) {
        self.discovery.publish(true, &entries(&self.servers));
    }
}

fn set_health(health: &'static str) -> impl Fn(&mut ListedServer) {
    move |server| server.health = health.into()
}

/// Checks that each request has exactly one outcome.
fn assert_accounted(report: &RealReport, sent: u64) {
    let outcomes = report.served + report.rejected + report.failed + report.unanswered;
    assert_eq!(report.requests, outcomes, "{report:#?}");
    // Requests that no node accepted are not in the report.
    assert!(report.requests <= sent, "{report:#?}");
    assert!(report.attempts >= report.served, "{report:#?}");
    assert_eq!((report.rejected_connections, report.nodes.len()), (0, NODES as usize));
    assert!(!report.load_ran_out);
}

#[tokio::test]
async fn nodes_keep_the_rules_despite_drains_removals_cold_restarts_and_a_kill() {
    let mut run = Run::start().await;
    run.wait_for_requests(100).await;
    run.change(0..8, set_health("draining"));
    run.send_list();
    let drained = Instant::now();
    run.wait_for_requests(100).await;
    run.nodes.kill(1).await.unwrap();
    run.wait_for_requests(50).await;
    assert!(matches!(run.nodes.kill(1).await, Err(RealError::NoNode { node: 1, expected: "runs" })));
    assert!(matches!(run.nodes.kill(NODES).await, Err(RealError::NoNode { .. })));
    run.nodes.launch(1).await.unwrap();
    assert!(matches!(run.nodes.launch(1).await, Err(RealError::NoNode { node: 1, expected: "was killed" })));
    run.change(0..4, set_health("gone"));
    run.send_list();
    // After this time the judge counts requests to draining servers.
    let grace = NOTIFIED_AFTER + DRAIN_GRACE * 2;
    sleep(grace.saturating_sub(drained.elapsed())).await;
    run.wait_for_requests(100).await;
    run.change(0..2, |server| {
        server.host += ".1";
        server.health = "ready".into();
        server.born_ms = now_us() / 1_000;
    });
    run.send_list();
    run.wait_for_requests(100).await;
    let sent = run.nodes.requests();
    let usage = run.nodes.usage();
    let names: Vec<_> = usage.iter().map(|node| (node.name.as_str(), node.running)).collect();
    assert_eq!(names, [("real-0", true), ("real-1", true), ("real-2", true)]);
    assert!(usage.iter().all(|node| node.rss_anon > 0), "{usage:?}");
    let report = run.nodes.finish().await;
    assert_accounted(&report, sent + MAX_IN_FLIGHT * u64::from(NODES));
    assert_eq!(report.violation_counts, ViolationCounts::default(), "{report:#?}");
    // Only the killed node may leave requests without a response.
    assert!(report.unanswered <= MAX_IN_FLIGHT, "{report:#?}");
    assert!(report.served > 0 && report.latency.p50_us > 0, "{report:#?}");
    assert!(report.latency.p50_us <= report.latency.p99_us);
}

/// Checks that the judge detects violations of rule 3.
#[tokio::test]
async fn requests_to_a_drained_server_of_which_nodes_are_not_notified_break_rule_3() {
    let mut run = Run::start().await;
    run.wait_for_requests(50).await;
    // Discovery does not send the drain, so nodes keep sending requests to these servers.
    run.change(0..SERVERS as usize / 2, set_health("draining"));
    sleep(NOTIFIED_AFTER + DRAIN_GRACE * 2).await;
    run.wait_for_requests(100).await;
    let report = run.nodes.finish().await;
    let ViolationCounts { lost, repeated_effect, after_drain, warming_server_overloaded } =
        report.violation_counts;
    assert!(after_drain > 0, "{report:#?}");
    assert_eq!((lost, repeated_effect, warming_server_overloaded), (0, 0, 0), "{report:#?}");
    assert!(report.violations.iter().all(|breach| breach.rule == 3), "{report:#?}");
}

#[tokio::test]
async fn requests_to_draining_servers_are_excused_during_an_outage_of_discovery() {
    let mut run = Run::start().await;
    run.wait_for_requests(50).await;
    let from = now_us();
    run.change(0..SERVERS as usize / 2, set_health("draining"));
    sleep(NOTIFIED_AFTER + DRAIN_GRACE * 2).await;
    run.wait_for_requests(100).await;
    let sent = run.nodes.requests();
    run.nodes.record_outage(from, now_us());
    let report = run.nodes.finish().await;
    assert_accounted(&report, sent + MAX_IN_FLIGHT * u64::from(NODES));
    assert_eq!(report.violation_counts, ViolationCounts::default(), "{report:#?}");
}

#[tokio::test]
async fn a_cold_server_that_gets_too_many_requests_is_overloaded() {
    let zones = vec!["a".into()];
    let servers = CacheServers::start(ServerSettings { count: 2, zones }).await.unwrap();
    let listed = servers.servers();
    let discovery = Discovery::start(&entries(&listed));
    let mut costly = classes();
    costly.iter_mut().for_each(|class| class.mean_work = Duration::from_secs(5));
    let nodes = RealNodes::start(&servers, RealSettings { classes: costly, ..settings(&discovery) });
    let nodes = nodes.await.unwrap();
    // Nodes are not notified that the servers are cold, so they send them the full load.
    for server in &listed {
        nodes.apply_entry(&ListedServer { born_ms: now_us() / 1_000, ..server.clone() }, now_us()).unwrap();
    }
    let run = Run { servers: listed, discovery, nodes };
    run.wait_for_requests(100).await;
    let report = run.nodes.finish().await;
    let ViolationCounts { lost, repeated_effect, after_drain, warming_server_overloaded } =
        report.violation_counts;
    assert!((1..=2).contains(&warming_server_overloaded), "{report:#?}");
    assert_eq!((lost, repeated_effect, after_drain), (0, 0, 0), "{report:#?}");
}

#[tokio::test]
async fn without_load_no_request_is_made_and_no_rule_is_broken() {
    let zones = vec!["a".into()];
    let servers = CacheServers::start(ServerSettings { count: 2, zones }).await.unwrap();
    let discovery = Discovery::start(&entries(&servers.servers()));
    let idle = RealSettings { rate: 0.0, ..settings(&discovery) };
    let nodes = RealNodes::start(&servers, idle).await.unwrap();
    discovery.wait_until_applied(1);
    let report = nodes.finish().await;
    assert_accounted(&report, 0);
    assert_eq!(
        (report.attempts, report.not_sent, report.violation_counts),
        (0, 0, ViolationCounts::default())
    );
    assert_eq!((report.latency.p50_us, report.latency.p99_us), (0, 0));
}

#[tokio::test]
async fn files_are_removed_and_processes_exit_with_the_nodes() {
    let run = Run::start().await;
    let directory = run.nodes.folder().to_owned();
    let files = std::fs::read_dir(&directory).unwrap().count();
    assert_eq!(files, NODES as usize);
    let processes = run.nodes.process_ids();
    assert_eq!(processes.len(), NODES as usize);
    // Each process has its own process group, so that Ctrl-C at a terminal reaches only the run.
    assert!(processes.iter().all(|id| process_group(*id) == Some(*id)));
    drop(run);
    assert!(!directory.exists());
    // The processes are killed but not waited for; they disappear once the runtime has reaped them.
    let start = Instant::now();
    while processes.iter().any(|id| is_running(*id)) {
        assert!(start.elapsed() < TIMEOUT, "a node outlives its run");
        sleep(Duration::from_millis(5)).await;
    }
}

/// Returns the process group of a process, the third field after its name in `/proc/PID/stat`.
fn process_group(pid: u32) -> Option<u32> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    stat.rsplit_once(") ")?.1.split(' ').nth(2)?.parse().ok()
}

/// Returns whether a process exists and is not a zombie.
fn is_running(pid: u32) -> bool {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat"));
    stat.is_ok_and(|stat| !stat.rsplit_once(") ").is_some_and(|(_, rest)| rest.starts_with('Z')))
}

#[tokio::test]
async fn a_node_that_does_not_start_is_an_error_with_its_reason() {
    let zones = vec!["a".into()];
    let servers = CacheServers::start(ServerSettings { count: 1, zones }).await.unwrap();
    let discovery = Discovery::start(&entries(&servers.servers()));
    let bad = RealSettings { fleet_size: 0, ..settings(&discovery) };
    let error = RealNodes::start(&servers, bad).await.unwrap_err().to_string();
    assert!(error.contains("nodes: expected a whole number from 1 to 10000, found 0"), "{error}");
}
