//! Tests of the real nodes of a scale run that need no program: the notification judge on constructed
//! observations, and the cache servers.

use balancer_core::Timestamp;
use proptest::prelude::*;
use std::collections::BTreeSet;
use std::io::ErrorKind;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use testbed::judge::{FinalAnswer, Observation, Verdict, TOLERANCE};
use testbed::scale::messages::ListedServer;
use testbed::scale::real::notification_judge::{
    Availability, NotificationJudge, DRAIN_GRACE, NOTIFIED_AFTER,
};
use testbed::scale::real::{
    classes, CacheServers, Latency, RealError, RealNodes, RealSettings, ServerSettings, ViolationCounts,
    MAX_SERVERS,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Timeout of every wait, which is far longer than any of them takes.
const TIMEOUT: Duration = Duration::from_secs(60);
/// Indices of the classes that `classes()` returns.
const READ: usize = 0;
const KEYED_WRITE: usize = 1;
const UNSAFE_WRITE: usize = 2;

fn at(ms: u64) -> Timestamp {
    Timestamp::from_micros(ms * 1_000)
}

/// Feeds a judge with observations.
struct JudgeInput {
    judge: NotificationJudge,
    /// The number of requests so far, which is the number of the next one.
    requests: u64,
}

impl JudgeInput {
    /// Creates a judge of two nodes and two cache servers, which are in different zones and cells.
    fn new() -> Self {
        let mut judge = NotificationJudge::new(2);
        assert_eq!((judge.server("a", 0, 0), judge.server("b", 1, 1)), (0, 1));
        Self { judge, requests: 0 }
    }

    /// Records that node 0 accepted a request, and returns its number.
    fn accepted(&mut self, ms: u64, class: usize) -> u64 {
        self.accepted_by(0, ms, class)
    }

    fn accepted_by(&mut self, node: usize, ms: u64, class: usize) -> u64 {
        let request = self.requests;
        self.requests += 1;
        let expires_at = at(ms) + classes()[class].deadline;
        self.judge.record(at(ms), Observation::OperationStarted { operation: request, at: at(ms), class });
        self.judge.record(
            at(ms),
            Observation::RequestAccepted { request, operation: request, node, at: at(ms), expires_at },
        );
        request
    }

    fn attempt_sent(&mut self, ms: u64, request: u64, server: usize) {
        self.judge.record(at(ms), Observation::AttemptSent { request, server, at: at(ms) });
    }

    fn executed(&mut self, ms: u64, request: u64, server: usize) {
        self.judge.record(at(ms), Observation::Executed { request, server, at: at(ms) });
    }

    fn answered(&mut self, ms: u64, request: u64, answer: FinalAnswer) {
        self.judge.record(at(ms), Observation::Answered { request, at: at(ms), answer });
    }

    /// Records a read that a node accepted, sent to this server at once, and served.
    fn served_read(&mut self, ms: u64, node: usize, server: usize) {
        let request = self.accepted_by(node, ms, READ);
        self.attempt_sent(ms, request, server);
        self.executed(ms, request, server);
        self.answered(ms, request, FinalAnswer::Served);
    }

    fn started(&mut self, ms: u64, node: usize) {
        self.judge.record(at(ms), Observation::NodeStarted { node });
    }

    fn changed(&mut self, ms: u64, server: usize, availability: Availability) {
        self.judge.record_change(server, at(ms), availability);
    }

    fn verdict(self) -> Verdict {
        self.judge.verdict(classes())
    }

    fn violation_counts(self) -> ViolationCounts {
        ViolationCounts::of(&self.verdict())
    }
}

const NO_VIOLATIONS: ViolationCounts =
    ViolationCounts { lost: 0, repeated_effect: 0, after_drain: 0, warming_server_overloaded: 0 };

/// Returns the violations of one read that node 0 sends to server 0 at this time.
fn violations_of_read_at(ms: u64, prepare: impl FnOnce(&mut JudgeInput)) -> ViolationCounts {
    let mut input = JudgeInput::new();
    prepare(&mut input);
    input.served_read(ms, 0, 0);
    input.violation_counts()
}

const AFTER_DRAIN: ViolationCounts = ViolationCounts { after_drain: 1, ..NO_VIOLATIONS };

#[test]
fn a_node_has_6550_ms_to_act_on_a_drain() {
    assert_eq!(NOTIFIED_AFTER + DRAIN_GRACE + TOLERANCE, Duration::from_millis(6_550));
}

#[test]
fn requests_to_a_drained_server_break_the_rule_after_the_time_limit() {
    let drained = |input: &mut JudgeInput| input.changed(1_000, 0, Availability::Unavailable);
    for (after, broken) in [
        (0, NO_VIOLATIONS),
        (6_400, NO_VIOLATIONS),
        (6_550, NO_VIOLATIONS),
        (6_551, AFTER_DRAIN),
        (6_600, AFTER_DRAIN),
    ] {
        assert_eq!(
            violations_of_read_at(1_000 + after, drained),
            broken,
            "{after} ms after discovery had it"
        );
    }
    // A drain of the other server changes nothing.
    let mut input = JudgeInput::new();
    input.changed(1_000, 1, Availability::Unavailable);
    input.served_read(60_000, 0, 0);
    assert_eq!(input.violation_counts(), NO_VIOLATIONS);
}

#[test]
fn the_time_limit_of_a_server_that_drains_and_is_removed_starts_at_the_drain() {
    let drained_and_removed = |input: &mut JudgeInput| {
        input.changed(1_000, 0, Availability::Unavailable);
        input.changed(5_000, 0, Availability::Unavailable);
    };
    assert_eq!(violations_of_read_at(7_500, drained_and_removed), NO_VIOLATIONS);
    assert_eq!(violations_of_read_at(7_600, drained_and_removed), AFTER_DRAIN);
}

#[test]
fn a_server_that_is_available_again_may_receive_requests_at_once() {
    let returned = |input: &mut JudgeInput| {
        input.changed(1_000, 0, Availability::Unavailable);
        input.changed(20_000, 0, Availability::Available);
    };
    assert_eq!(violations_of_read_at(19_999, returned), AFTER_DRAIN);
    assert_eq!(violations_of_read_at(20_000, returned), NO_VIOLATIONS);
    assert_eq!(violations_of_read_at(60_000, returned), NO_VIOLATIONS);
    // If a server is available again before nodes count as notified, only its next drain counts.
    let returned_early = |input: &mut JudgeInput| {
        input.changed(1_000, 0, Availability::Unavailable);
        input.changed(6_000, 0, Availability::Available);
        input.changed(8_000, 0, Availability::Unavailable);
    };
    assert_eq!(violations_of_read_at(14_500, returned_early), NO_VIOLATIONS);
    assert_eq!(violations_of_read_at(14_600, returned_early), AFTER_DRAIN);
}

#[test]
fn an_outage_postpones_only_later_notifications() {
    let outage = |from: u64, to: u64| {
        move |input: &mut JudgeInput| {
            input.judge.record_outage(at(from), at(to));
            input.changed(1_000, 0, Availability::Unavailable);
        }
    };
    // The time limit starts again at the end of the outage.
    assert_eq!(violations_of_read_at(26_500, outage(6_999, 20_000)), NO_VIOLATIONS);
    assert_eq!(violations_of_read_at(26_600, outage(6_999, 20_000)), AFTER_DRAIN);
    // Nodes count as notified when the outage begins.
    assert_eq!(violations_of_read_at(7_600, outage(7_000, 20_000)), AFTER_DRAIN);
    // The outage is over when discovery has the change.
    assert_eq!(violations_of_read_at(7_600, outage(0, 1_000)), AFTER_DRAIN);
    // Each of several consecutive outages postpones the notification, whatever the order and time of their
    // recording.
    let several = |input: &mut JudgeInput| {
        input.changed(1_000, 0, Availability::Unavailable);
        input.judge.record_outage(at(8_000), at(9_000));
        input.judge.record_outage(at(2_000), at(3_000));
        input.judge.record_outage(at(30_000), at(40_000));
    };
    assert_eq!(violations_of_read_at(15_500, several), NO_VIOLATIONS);
    assert_eq!(violations_of_read_at(15_600, several), AFTER_DRAIN);
}

#[test]
fn the_time_limit_of_a_restarted_node_starts_at_its_restart() {
    let restarted = |input: &mut JudgeInput| {
        input.changed(1_000, 0, Availability::Unavailable);
        input.started(10_000, 0);
    };
    assert_eq!(violations_of_read_at(9_000, restarted), AFTER_DRAIN);
    assert_eq!(violations_of_read_at(16_500, restarted), NO_VIOLATIONS);
    assert_eq!(violations_of_read_at(16_600, restarted), AFTER_DRAIN);
    // The other node was not restarted.
    let mut input = JudgeInput::new();
    restarted(&mut input);
    input.served_read(16_000, 1, 0);
    assert_eq!(input.violation_counts(), AFTER_DRAIN);
}

#[test]
fn a_request_has_exactly_one_final_answer() {
    let violations = |answers: u64| {
        let mut input = JudgeInput::new();
        let request = input.accepted(0, READ);
        input.attempt_sent(1, request, 0);
        input.executed(2, request, 0);
        (0..answers).for_each(|answer| input.answered(10 + answer, request, FinalAnswer::Served));
        input.violation_counts()
    };
    let lost = ViolationCounts { lost: 1, ..NO_VIOLATIONS };
    assert_eq!([0, 1, 2].map(violations), [lost, NO_VIOLATIONS, lost]);
}

#[test]
fn a_late_or_mismatched_answer_counts_as_lost() {
    let lost = |ms: u64, answer: FinalAnswer| {
        let mut input = JudgeInput::new();
        let request = input.accepted(0, READ);
        input.attempt_sent(1, request, 0);
        input.executed(2, request, 0);
        input.answered(ms, request, answer);
        input.violation_counts().lost
    };
    assert_eq!(lost(10_050, FinalAnswer::Served), 0);
    assert_eq!(lost(10_051, FinalAnswer::Served), 1);
    // A mismatched answer is one violation, and the missing answer another.
    assert_eq!(lost(10, FinalAnswer::Mismatched), 2);
}

#[test]
fn a_kill_excuses_only_requests_of_the_killed_node() {
    let lost_after_kill_of = |node: usize| {
        let mut input = JudgeInput::new();
        input.accepted(0, READ);
        input.judge.record(at(100), Observation::NodeKilled { node, at: at(100) });
        input.violation_counts().lost
    };
    assert_eq!((lost_after_kill_of(0), lost_after_kill_of(1)), (0, 1));
}

#[test]
fn repeats_are_judged_by_the_idempotency_of_their_class() {
    let violations = |class: usize, repeated_at: u64, answer: FinalAnswer| {
        let mut input = JudgeInput::new();
        let request = input.accepted(0, class);
        for (ms, server) in [(10, 0), (repeated_at, 1)] {
            input.attempt_sent(ms, request, server);
            input.executed(ms, request, server);
        }
        input.answered(repeated_at + 1, request, answer);
        input.violation_counts().repeated_effect
    };
    let served = [READ, KEYED_WRITE, UNSAFE_WRITE].map(|class| violations(class, 20, FinalAnswer::Served));
    assert_eq!(served, [0, 0, 1]);
    // The request was rejected although it was executed, but a retry after a rejection must be harmless.
    let rejected =
        [READ, KEYED_WRITE, UNSAFE_WRITE].map(|class| violations(class, 20, FinalAnswer::Rejected));
    assert_eq!(rejected, [0, 0, 2]);
    // Servers remember an idempotency key for 20 s.
    assert_eq!(
        [20_060, 20_061].map(|repeated_at| violations(KEYED_WRITE, repeated_at, FinalAnswer::Served)),
        [0, 1]
    );
}

#[test]
fn latency_percentiles_use_the_nearest_rank() {
    assert_eq!(Latency::of(Vec::new()), Latency::default());
    assert_eq!(Latency::of(vec![7]), Latency { p50_us: 7, p99_us: 7 });
    let hundred = (1..=100).rev().collect();
    assert_eq!(Latency::of(hundred), Latency { p50_us: 50, p99_us: 99 });
}

// A second implementation of the time limit, which advances in steps: a node counts the steps in which it
// could reach discovery.

/// The length of a step.
const STEP_MS: u64 = 250;
/// The number of steps.
const STEPS: u64 = 160;

/// An event of a generated sequence. Events of the same step apply in the order of the sequence.
#[derive(Clone, Copy, Debug)]
enum Event {
    Changed { server: usize, availability: Availability },
    Started { node: usize },
    DiscoveryOutage { steps: u64 },
    Sent { node: usize, server: usize },
}

fn event() -> impl Strategy<Value = Event> {
    let availability = prop_oneof![
        Just(Availability::Available),
        Just(Availability::Unavailable),
        Just(Availability::Unavailable)
    ];
    prop_oneof![
        3 => (0usize..2, availability).prop_map(|(server, availability)| Event::Changed { server, availability }),
        1 => (0usize..2).prop_map(|node| Event::Started { node }),
        1 => (1u64..30).prop_map(|steps| Event::DiscoveryOutage { steps }),
        8 => (0usize..2, 0usize..2).prop_map(|(node, server)| Event::Sent { node, server }),
    ]
}

/// Generates up to 59 events, each with its step, in chronological order.
fn event_sequence() -> impl Strategy<Value = Vec<(u64, Event)>> {
    prop::collection::vec((0..STEPS, event()), 1..60).prop_map(|mut events| {
        events.sort_by_key(|(step, _)| *step);
        events
    })
}

/// Returns the number of violations of the drain rule that the judge finds.
fn violations_by_judge(sequence: &[(u64, Event)]) -> u64 {
    let mut input = JudgeInput::new();
    for &(step, event) in sequence {
        let ms = step * STEP_MS;
        match event {
            Event::Changed { server, availability } => input.changed(ms, server, availability),
            Event::Started { node } => input.started(ms, node),
            Event::DiscoveryOutage { steps } => input.judge.record_outage(at(ms), at(ms + steps * STEP_MS)),
            Event::Sent { .. } => {}
        }
    }
    // Requests are sent in the middle of a step, where no other event is.
    for &(step, event) in sequence {
        if let Event::Sent { node, server } = event {
            input.served_read(step * STEP_MS + STEP_MS / 2, node, server);
        }
    }
    let broken = input.violation_counts();
    assert_eq!(broken, ViolationCounts { after_drain: broken.after_drain, ..NO_VIOLATIONS });
    broken.after_drain
}

/// Returns the number of violations of the drain rule that the second implementation finds.
fn violations_by_steps(sequence: &[(u64, Event)]) -> u64 {
    const NOTIFIED_AFTER_STEPS: u64 = 6_000 / STEP_MS;
    // Requests are sent half a step after these two steps, when the tolerance has passed as well.
    const GRACE_STEPS: u64 = 500 / STEP_MS;
    let outages = sequence.iter().filter_map(|&(step, event)| match event {
        Event::DiscoveryOutage { steps } => Some(step..step + steps),
        _ => None,
    });
    let outages: Vec<_> = outages.collect();
    let mut unavailable = [false; 2];
    // Steps by node and server since the latest of these: the server became unavailable, the node started, an
    // outage ended before the node was notified.
    let mut steps_since_change = [[0u64; 2]; 2];
    let mut violations = 0;
    for step in 0..STEPS {
        for &(_, event) in sequence.iter().filter(|(at, _)| *at == step) {
            match event {
                Event::Changed { server, availability } => {
                    unavailable[server] = availability == Availability::Unavailable;
                    if !unavailable[server] {
                        steps_since_change.iter_mut().for_each(|steps| steps[server] = 0);
                    }
                }
                Event::Started { node } => steps_since_change[node] = [0; 2],
                Event::DiscoveryOutage { .. } | Event::Sent { .. } => {}
            }
        }
        for &(_, event) in sequence.iter().filter(|(at, _)| *at == step) {
            if let Event::Sent { node, server } = event {
                violations += u64::from(
                    unavailable[server]
                        && steps_since_change[node][server] >= NOTIFIED_AFTER_STEPS + GRACE_STEPS,
                );
            }
        }
        let discovery_away = outages.iter().any(|span| span.contains(&step));
        for node_steps in &mut steps_since_change {
            for (steps, unavailable) in node_steps.iter_mut().zip(unavailable) {
                // An outage does not affect a node that has been notified already.
                *steps = match (unavailable, *steps >= NOTIFIED_AFTER_STEPS, discovery_away) {
                    (false, ..) => 0,
                    (true, true, _) | (true, false, false) => *steps + 1,
                    (true, false, true) => 0,
                };
            }
        }
    }
    violations
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    #[test]
    fn the_judge_agrees_with_the_second_implementation(sequence in event_sequence()) {
        prop_assert_eq!(violations_by_judge(&sequence), violations_by_steps(&sequence));
    }
}

// Cache servers.

fn zones() -> Vec<String> {
    ["a", "b", "c"].map(String::from).to_vec()
}

async fn servers(count: u32) -> CacheServers {
    CacheServers::start(ServerSettings { count, zones: zones() }).await.unwrap()
}

fn now_us() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_micros() as u64
}

/// Returns the response of a server to a request on a new connection; `None` if the connection ends without
/// one.
async fn response_text(server: &ListedServer, id: &str) -> Option<String> {
    timeout(TIMEOUT, async {
        let mut stream = TcpStream::connect(server.dial).await.unwrap();
        let head = format!("GET /api/7 HTTP/1.1\r\nHost: s\r\nReq-Id: {id}\r\nConnection: close\r\n\r\n");
        stream.write_all(head.as_bytes()).await.unwrap();
        let mut text = String::new();
        match stream.read_to_string(&mut text).await {
            Ok(_) => Some(text).filter(|text| !text.is_empty()),
            Err(error) if error.kind() == ErrorKind::ConnectionReset => None,
            Err(error) => panic!("{error}"),
        }
    })
    .await
    .expect("timed out waiting for a response")
}

#[tokio::test]
async fn the_maximum_number_of_servers_listen_at_distinct_addresses() {
    let servers = servers(MAX_SERVERS).await;
    let listed = servers.servers();
    assert_eq!(listed.len(), 1_100);
    let addresses: BTreeSet<_> = listed.iter().map(|server| server.dial.ip()).collect();
    let names: BTreeSet<_> = listed.iter().map(|server| &server.host).collect();
    assert_eq!((addresses.len(), names.len()), (1_100, 1_100));
    assert!(addresses.iter().all(|address| address.is_loopback()));
    assert!(listed.iter().all(|server| server.health == "ready" && server.born_ms == 0));
    let in_zone_a = listed.iter().filter(|server| server.site == "a").count();
    assert_eq!(in_zone_a, 367, "every third server is in zone a");
    assert!(servers.max_descriptors() <= 1_100 + 12_000);
    assert_eq!(servers.connections(), 0);
}

#[tokio::test]
async fn an_invalid_server_count_or_an_empty_list_of_zones_is_an_error() {
    for count in [0, MAX_SERVERS + 1] {
        let error = CacheServers::start(ServerSettings { count, zones: zones() }).await.unwrap_err();
        assert_eq!(
            error.to_string(),
            format!("servers: expected a whole number from 1 to 1100, found {count}")
        );
    }
    let error = CacheServers::start(ServerSettings { count: 1, zones: Vec::new() }).await.unwrap_err();
    assert!(matches!(error, RealError::NoZones), "{error}");
}

#[tokio::test]
async fn invalid_settings_and_reused_servers_are_errors() {
    let servers = servers(1).await;
    let valid = RealSettings {
        program: "no such program".into(),
        count: 1,
        fleet_size: 1,
        zones: zones(),
        replicas: vec![servers.servers()[0].dial],
        capacity: None,
        rate: 1.0,
        classes: classes(),
        seed: 1,
    };
    let with = |change: &dyn Fn(&mut RealSettings)| {
        let mut settings = valid.clone();
        change(&mut settings);
        settings
    };
    let invalid = [
        (with(&|s| s.count = 0), "count: expected a whole number from 1 to 64, found 0"),
        (with(&|s| s.count = 65), "count: expected a whole number from 1 to 64, found 65"),
        (with(&|s| s.zones.clear()), "zones: expected at least one"),
        (with(&|s| s.replicas.clear()), "replicas: expected at least one address of discovery"),
        (with(&|s| s.rate = -1.0), "rate: expected a number from 0 to 10000, found -1"),
        (with(&|s| s.rate = 10_001.0), "rate: expected a number from 0 to 10000, found 10001"),
        (with(&|s| s.rate = f64::NAN), "rate: expected a number from 0 to 10000, found NaN"),
        (with(&|s| s.classes.clear()), "classes: expected at least one, each with a share above 0"),
        (with(&|s| s.classes[0].share = 0.0), "classes: expected at least one, each with a share above 0"),
        (valid.clone(), "no such program: No such file or directory (os error 2)"),
        // The previous run used the servers: it had started before it failed to run its program.
        (valid.clone(), "these cache servers were used in an earlier run; expected new ones for each run"),
    ];
    for (settings, expected) in invalid {
        let error = RealNodes::start(&servers, settings).await.unwrap_err();
        assert_eq!(error.to_string(), expected);
    }
}

#[tokio::test]
async fn an_entry_with_an_unknown_address_or_health_is_an_error_and_changes_nothing() {
    let servers = servers(2).await;
    let before = servers.servers();
    let elsewhere = ListedServer { dial: ([127, 0, 0, 1], 1).into(), ..before[0].clone() };
    let error = servers.apply_entry(&elsewhere, now_us()).unwrap_err();
    assert_eq!(
        error.to_string(),
        "server-0: expected the address of a cache server of this run, found 127.0.0.1:1"
    );
    let unknown_health = ListedServer { health: "well".into(), ..before[0].clone() };
    let error = servers.apply_entry(&unknown_health, now_us()).unwrap_err();
    assert_eq!(
        error.to_string(),
        "server-0: expected its health to be ready, draining or gone, found \"well\""
    );
    assert_eq!(servers.servers(), before);
}

#[tokio::test]
async fn a_request_that_no_client_has_sent_is_a_bad_request() {
    let servers = servers(1).await;
    let server = &servers.servers()[0];
    for id in ["0", "ffffffffffffffff", "x", ""] {
        let response = response_text(server, id).await.expect("a response");
        assert!(response.starts_with("HTTP/1.1 400 "), "{id}: {response}");
    }
}

#[tokio::test]
async fn a_removed_server_closes_its_connections_and_its_successor_is_listed() {
    let servers = servers(2).await;
    let first = servers.servers()[0].clone();
    let mut connection = TcpStream::connect(first.dial).await.unwrap();
    timeout(TIMEOUT, async {
        while servers.connections() == 0 {
            tokio::task::yield_now().await;
        }
    })
    .await
    .expect("timed out waiting for the connection");
    let gone = ListedServer { health: "gone".into(), ..first.clone() };
    servers.apply_entry(&gone, now_us()).unwrap();
    let ended = timeout(TIMEOUT, connection.read(&mut [0]))
        .await
        .expect("timed out waiting for the connection to close");
    assert!(matches!(ended, Ok(0)) || ended.is_err());
    assert_eq!(servers.servers().iter().map(|s| s.host.as_str()).collect::<Vec<_>>(), ["server-1"]);
    let successor = ListedServer { host: "server-0.1".into(), born_ms: now_us() / 1_000, ..first };
    servers.apply_entry(&successor, now_us()).unwrap();
    assert_eq!(servers.servers()[0], successor);
    // A later entry of the predecessor does not end its successor.
    servers.apply_entry(&gone, now_us()).unwrap();
    assert_eq!(servers.servers()[0], successor);
}
