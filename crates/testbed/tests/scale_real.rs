//! Real nodes of a scale run, in what needs no program: the judge on sequences made by hand, and the cache servers.

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
    classes, CacheServers, Latency, RealError, RealNodes, RealSettings, RulesBroken, ServerSettings,
    MAX_SERVERS,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Far longer than anything here takes: a wait that reaches it has failed.
const PATIENCE: Duration = Duration::from_secs(60);
/// Places in `classes()`.
const READ: usize = 0;
const KEYED: usize = 1;
const UNSAFE: usize = 2;

fn at(ms: u64) -> Timestamp {
    Timestamp::from_micros(ms * 1_000)
}

/// A judge and the number of the next request.
struct Books {
    judge: NotificationJudge,
    requests: u64,
}

impl Books {
    /// Two nodes, and two cache servers in different zones and cells.
    fn new() -> Self {
        let mut judge = NotificationJudge::new(2);
        assert_eq!((judge.server("a", 0, 0), judge.server("b", 1, 1)), (0, 1));
        Self { judge, requests: 0 }
    }

    /// Node 0 takes a request.
    fn taken(&mut self, ms: u64, class: usize) -> u64 {
        self.taken_by(0, ms, class)
    }

    fn taken_by(&mut self, node: usize, ms: u64, class: usize) -> u64 {
        let request = self.requests;
        self.requests += 1;
        let until = at(ms) + classes()[class].deadline;
        self.judge.record(at(ms), Observation::OperationStarted { operation: request, at: at(ms), class });
        self.judge.record(
            at(ms),
            Observation::RequestAccepted { request, operation: request, node, at: at(ms), expires_at: until },
        );
        request
    }

    fn sent(&mut self, ms: u64, request: u64, server: usize) {
        self.judge.record(at(ms), Observation::AttemptSent { request, server, at: at(ms) });
    }

    fn ran(&mut self, ms: u64, request: u64, server: usize) {
        self.judge.record(at(ms), Observation::Executed { request, server, at: at(ms) });
    }

    fn answered(&mut self, ms: u64, request: u64, answer: FinalAnswer) {
        self.judge.record(at(ms), Observation::Answered { request, at: at(ms), answer });
    }

    /// A node takes a read, sends it to this server at once, and serves it.
    fn read(&mut self, ms: u64, node: usize, server: usize) {
        let request = self.taken_by(node, ms, READ);
        self.sent(ms, request, server);
        self.ran(ms, request, server);
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

    fn broken(self) -> RulesBroken {
        RulesBroken::of(&self.verdict())
    }
}

const KEPT: RulesBroken =
    RulesBroken { lost: 0, repeated_effect: 0, after_drain: 0, warming_server_overloaded: 0 };

/// What one read that is sent at this time breaks.
fn read_at(ms: u64, prepare: impl FnOnce(&mut Books)) -> RulesBroken {
    let mut books = Books::new();
    prepare(&mut books);
    books.read(ms, 0, 0);
    books.broken()
}

const AFTER_DRAIN: RulesBroken = RulesBroken { after_drain: 1, ..KEPT };

#[test]
fn the_term_is_that_of_operators_and_of_the_protocol() {
    assert_eq!(NOTIFIED_AFTER + DRAIN_GRACE + TOLERANCE, Duration::from_millis(6_550));
}

#[test]
fn a_drained_server_may_be_sent_to_until_its_term_is_over() {
    let drained = |books: &mut Books| books.changed(1_000, 0, Availability::Unavailable);
    for (after, broken) in
        [(0, KEPT), (6_400, KEPT), (6_550, KEPT), (6_551, AFTER_DRAIN), (6_600, AFTER_DRAIN)]
    {
        assert_eq!(read_at(1_000 + after, drained), broken, "{after} ms after discovery had it");
    }
    // The other server is not meant.
    let mut books = Books::new();
    books.changed(1_000, 1, Availability::Unavailable);
    books.read(60_000, 0, 0);
    assert_eq!(books.broken(), KEPT);
}

#[test]
fn a_server_that_drains_and_is_then_gone_counts_from_its_drain() {
    let stopped = |books: &mut Books| {
        books.changed(1_000, 0, Availability::Unavailable);
        books.changed(5_000, 0, Availability::Unavailable);
    };
    assert_eq!(read_at(7_500, stopped), KEPT);
    assert_eq!(read_at(7_600, stopped), AFTER_DRAIN);
}

#[test]
fn a_server_that_is_back_may_be_sent_to_at_once() {
    let back = |books: &mut Books| {
        books.changed(1_000, 0, Availability::Unavailable);
        books.changed(20_000, 0, Availability::Available);
    };
    assert_eq!(read_at(19_999, back), AFTER_DRAIN);
    assert_eq!(read_at(20_000, back), KEPT);
    assert_eq!(read_at(60_000, back), KEPT);
    // Nodes are not notified of a server that was back before the term was over, until it is unavailable again.
    let soon = |books: &mut Books| {
        books.changed(1_000, 0, Availability::Unavailable);
        books.changed(6_000, 0, Availability::Available);
        books.changed(8_000, 0, Availability::Unavailable);
    };
    assert_eq!(read_at(14_500, soon), KEPT);
    assert_eq!(read_at(14_600, soon), AFTER_DRAIN);
}

#[test]
fn only_an_outage_before_the_notification_postpones_it() {
    let outage = |from: u64, to: u64| {
        move |books: &mut Books| {
            books.judge.record_outage(at(from), at(to));
            books.changed(1_000, 0, Availability::Unavailable);
        }
    };
    // Counted anew from its end.
    assert_eq!(read_at(26_500, outage(6_999, 20_000)), KEPT);
    assert_eq!(read_at(26_600, outage(6_999, 20_000)), AFTER_DRAIN);
    // Nodes were notified when it began.
    assert_eq!(read_at(7_600, outage(7_000, 20_000)), AFTER_DRAIN);
    // It was over when discovery had the change.
    assert_eq!(read_at(7_600, outage(0, 1_000)), AFTER_DRAIN);
    // One upon another, whatever the order in which they are reported, also after the fact.
    let several = |books: &mut Books| {
        books.changed(1_000, 0, Availability::Unavailable);
        books.judge.record_outage(at(8_000), at(9_000));
        books.judge.record_outage(at(2_000), at(3_000));
        books.judge.record_outage(at(30_000), at(40_000));
    };
    assert_eq!(read_at(15_500, several), KEPT);
    assert_eq!(read_at(15_600, several), AFTER_DRAIN);
}

#[test]
fn a_node_that_starts_anew_has_its_term_from_there() {
    let restarted = |books: &mut Books| {
        books.changed(1_000, 0, Availability::Unavailable);
        books.started(10_000, 0);
    };
    assert_eq!(read_at(9_000, restarted), AFTER_DRAIN);
    assert_eq!(read_at(16_500, restarted), KEPT);
    assert_eq!(read_at(16_600, restarted), AFTER_DRAIN);
    // The other node ran all the time.
    let mut books = Books::new();
    restarted(&mut books);
    books.read(16_000, 1, 0);
    assert_eq!(books.broken(), AFTER_DRAIN);
}

#[test]
fn one_final_answer_and_no_other_number() {
    let answers = |times: u64| {
        let mut books = Books::new();
        let request = books.taken(0, READ);
        books.sent(1, request, 0);
        books.ran(2, request, 0);
        (0..times).for_each(|time| books.answered(10 + time, request, FinalAnswer::Served));
        books.broken()
    };
    let lost = RulesBroken { lost: 1, ..KEPT };
    assert_eq!([0, 1, 2].map(answers), [lost, KEPT, lost]);
}

#[test]
fn an_answer_that_is_late_or_made_for_another_is_none() {
    let answer = |ms: u64, answer: FinalAnswer| {
        let mut books = Books::new();
        let request = books.taken(0, READ);
        books.sent(1, request, 0);
        books.ran(2, request, 0);
        books.answered(ms, request, answer);
        books.broken().lost
    };
    assert_eq!(answer(10_050, FinalAnswer::Served), 0);
    assert_eq!(answer(10_051, FinalAnswer::Served), 1);
    // Not made for it, and so never answered either.
    assert_eq!(answer(10, FinalAnswer::Mismatched), 2);
}

#[test]
fn a_kill_excuses_the_requests_of_that_node_only() {
    let killed = |node: usize| {
        let mut books = Books::new();
        books.taken(0, READ);
        books.judge.record(at(100), Observation::NodeKilled { node, at: at(100) });
        books.broken().lost
    };
    assert_eq!((killed(0), killed(1)), (0, 1));
}

#[test]
fn a_repeat_is_judged_by_its_class() {
    let repeats = |class: usize, again: u64, answer: FinalAnswer| {
        let mut books = Books::new();
        let request = books.taken(0, class);
        for (ms, server) in [(10, 0), (again, 1)] {
            books.sent(ms, request, server);
            books.ran(ms, request, server);
        }
        books.answered(again + 1, request, answer);
        books.broken().repeated_effect
    };
    let served = [READ, KEYED, UNSAFE].map(|class| repeats(class, 20, FinalAnswer::Served));
    assert_eq!(served, [0, 0, 1]);
    // Refused although it ran: asking again must be harmless.
    let refused = [READ, KEYED, UNSAFE].map(|class| repeats(class, 20, FinalAnswer::Rejected));
    assert_eq!(refused, [0, 0, 2]);
    // Its first run is forgotten after 20 s.
    assert_eq!([20_060, 20_061].map(|again| repeats(KEYED, again, FinalAnswer::Served)), [0, 1]);
}

#[test]
fn latencies_are_by_nearest_rank() {
    assert_eq!(Latency::of(Vec::new()), Latency::default());
    assert_eq!(Latency::of(vec![7]), Latency { p50_us: 7, p99_us: 7 });
    let hundred = (1..=100).rev().collect();
    assert_eq!(Latency::of(hundred), Latency { p50_us: 50, p99_us: 99 });
}

// The second formulation: time goes by in steps, and a node counts up while it could have heard.

/// The length of a step.
const STEP_MS: u64 = 250;
/// The number of steps.
const STEPS: u64 = 160;

/// What happens in the step that it names, in the order of the list.
#[derive(Clone, Copy, Debug)]
enum Happens {
    Changed { server: usize, availability: Availability },
    Started { node: usize },
    Away { steps: u64 },
    Sent { node: usize, server: usize },
}

fn happens() -> impl Strategy<Value = Happens> {
    let availability = prop_oneof![
        Just(Availability::Available),
        Just(Availability::Unavailable),
        Just(Availability::Unavailable)
    ];
    prop_oneof![
        3 => (0usize..2, availability).prop_map(|(server, availability)| Happens::Changed { server, availability }),
        1 => (0usize..2).prop_map(|node| Happens::Started { node }),
        1 => (1u64..30).prop_map(|steps| Happens::Away { steps }),
        8 => (0usize..2, 0usize..2).prop_map(|(node, server)| Happens::Sent { node, server }),
    ]
}

/// Things in the order of time, at most one change, start or end of a kind in a step.
fn sequence() -> impl Strategy<Value = Vec<(u64, Happens)>> {
    prop::collection::vec((0..STEPS, happens()), 1..60).prop_map(|mut all| {
        all.sort_by_key(|(step, _)| *step);
        all
    })
}

fn judged(sequence: &[(u64, Happens)]) -> u64 {
    let mut books = Books::new();
    for &(step, happens) in sequence {
        let ms = step * STEP_MS;
        match happens {
            Happens::Changed { server, availability } => books.changed(ms, server, availability),
            Happens::Started { node } => books.started(ms, node),
            Happens::Away { steps } => books.judge.record_outage(at(ms), at(ms + steps * STEP_MS)),
            Happens::Sent { .. } => {}
        }
    }
    // In the middle of a step, where nothing else is.
    for &(step, happens) in sequence {
        if let Happens::Sent { node, server } = happens {
            books.read(step * STEP_MS + STEP_MS / 2, node, server);
        }
    }
    let broken = books.broken();
    assert_eq!(broken, RulesBroken { after_drain: broken.after_drain, ..KEPT });
    broken.after_drain
}

fn stepped(sequence: &[(u64, Happens)]) -> u64 {
    const TERM: u64 = 6_000 / STEP_MS;
    // Half of a step past the two steps of the grace, the tolerance is over as well.
    const GRACE: u64 = 500 / STEP_MS;
    let spans = sequence.iter().filter_map(|&(step, happens)| match happens {
        Happens::Away { steps } => Some(step..step + steps),
        _ => None,
    });
    let away: Vec<_> = spans.collect();
    let mut stops = [false; 2];
    // By node and server: steps that the node could have heard in since it should have known.
    let mut heard = [[0u64; 2]; 2];
    let mut broken = 0;
    for step in 0..STEPS {
        for &(_, happens) in sequence.iter().filter(|(at, _)| *at == step) {
            match happens {
                Happens::Changed { server, availability } => {
                    stops[server] = availability == Availability::Unavailable;
                    if !stops[server] {
                        heard.iter_mut().for_each(|heard| heard[server] = 0);
                    }
                }
                Happens::Started { node } => heard[node] = [0; 2],
                Happens::Away { .. } | Happens::Sent { .. } => {}
            }
        }
        for &(_, happens) in sequence.iter().filter(|(at, _)| *at == step) {
            if let Happens::Sent { node, server } = happens {
                broken += u64::from(stops[server] && heard[node][server] >= TERM + GRACE);
            }
        }
        let away = away.iter().any(|span| span.contains(&step));
        for heard in &mut heard {
            for (heard, stops) in heard.iter_mut().zip(stops) {
                // Once notified, the node knows, whether discovery is available or not.
                *heard = match (stops, *heard >= TERM, away) {
                    (false, ..) => 0,
                    (true, true, _) | (true, false, false) => *heard + 1,
                    (true, false, true) => 0,
                };
            }
        }
    }
    broken
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    #[test]
    fn sends_after_a_drain_are_those_of_the_second_formulation(sequence in sequence()) {
        prop_assert_eq!(judged(&sequence), stepped(&sequence));
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

/// What a server says to a request on a connection of its own; none where it breaks off.
async fn said(server: &ListedServer, id: &str) -> Option<String> {
    timeout(PATIENCE, async {
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
    .expect("waited in vain")
}

#[tokio::test]
async fn as_many_servers_as_one_process_may_have_listen_at_addresses_of_their_own() {
    let servers = servers(MAX_SERVERS).await;
    let listed = servers.servers();
    assert_eq!(listed.len(), 1_100);
    let addresses: BTreeSet<_> = listed.iter().map(|server| server.dial.ip()).collect();
    let names: BTreeSet<_> = listed.iter().map(|server| &server.host).collect();
    assert_eq!((addresses.len(), names.len()), (1_100, 1_100));
    assert!(addresses.iter().all(|address| address.is_loopback()));
    assert!(listed.iter().all(|server| server.health == "ready" && server.born_ms == 0));
    let in_first = listed.iter().filter(|server| server.site == "a").count();
    assert_eq!(in_first, 367, "every third");
    assert!(servers.max_descriptors() <= 1_100 + 12_000);
    assert_eq!(servers.connections(), 0);
}

#[tokio::test]
async fn counts_and_zones_out_of_range_are_named() {
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
async fn settings_out_of_range_are_named_before_anything_is_started() {
    let servers = servers(1).await;
    let good = RealSettings {
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
    let changed = |change: &dyn Fn(&mut RealSettings)| {
        let mut settings = good.clone();
        change(&mut settings);
        settings
    };
    let bad = [
        (changed(&|s| s.count = 0), "count: expected a whole number from 1 to 64, found 0"),
        (changed(&|s| s.count = 65), "count: expected a whole number from 1 to 64, found 65"),
        (changed(&|s| s.zones.clear()), "zones: expected at least one"),
        (changed(&|s| s.replicas.clear()), "replicas: expected at least one address of discovery"),
        (changed(&|s| s.rate = -1.0), "rate: expected a number from 0 to 10000, found -1"),
        (changed(&|s| s.rate = 10_001.0), "rate: expected a number from 0 to 10000, found 10001"),
        (changed(&|s| s.rate = f64::NAN), "rate: expected a number from 0 to 10000, found NaN"),
        (changed(&|s| s.classes.clear()), "classes: expected at least one, each with a share above 0"),
        (changed(&|s| s.classes[0].share = 0.0), "classes: expected at least one, each with a share above 0"),
        (good.clone(), "no such program: No such file or directory (os error 2)"),
        // The run before it had begun when its program turned out not to be there.
        (good.clone(), "these cache servers were used in an earlier run; expected new ones for each run"),
    ];
    for (settings, expected) in bad {
        let error = RealNodes::start(&servers, settings).await.unwrap_err();
        assert_eq!(error.to_string(), expected);
    }
}

#[tokio::test]
async fn an_entry_that_is_none_of_theirs_is_named_and_changes_nothing() {
    let servers = servers(2).await;
    let before = servers.servers();
    let elsewhere = ListedServer { dial: ([127, 0, 0, 1], 1).into(), ..before[0].clone() };
    let error = servers.apply_entry(&elsewhere, now_us()).unwrap_err();
    assert_eq!(
        error.to_string(),
        "server-0: expected the address of a cache server of this run, found 127.0.0.1:1"
    );
    let odd = ListedServer { health: "well".into(), ..before[0].clone() };
    let error = servers.apply_entry(&odd, now_us()).unwrap_err();
    assert_eq!(
        error.to_string(),
        "server-0: expected its health to be ready, draining or gone, found \"well\""
    );
    assert_eq!(servers.servers(), before);
}

#[tokio::test]
async fn a_request_that_no_client_has_sent_is_none() {
    let servers = servers(1).await;
    let server = &servers.servers()[0];
    for id in ["0", "ffffffffffffffff", "x", ""] {
        let said = said(server, id).await.expect("an answer");
        assert!(said.starts_with("HTTP/1.1 400 "), "{id}: {said}");
    }
}

#[tokio::test]
async fn a_removed_server_closes_its_connections_and_its_successor_is_listed() {
    let servers = servers(2).await;
    let first = servers.servers()[0].clone();
    let mut kept = TcpStream::connect(first.dial).await.unwrap();
    timeout(PATIENCE, async {
        while servers.connections() == 0 {
            tokio::task::yield_now().await;
        }
    })
    .await
    .expect("a connection");
    let gone = ListedServer { health: "gone".into(), ..first.clone() };
    servers.apply_entry(&gone, now_us()).unwrap();
    let ended = timeout(PATIENCE, kept.read(&mut [0])).await.expect("the connection's end");
    assert!(matches!(ended, Ok(0)) || ended.is_err());
    assert_eq!(servers.servers().iter().map(|s| s.host.as_str()).collect::<Vec<_>>(), ["server-1"]);
    let successor = ListedServer { host: "server-0.1".into(), born_ms: now_us() / 1_000, ..first };
    servers.apply_entry(&successor, now_us()).unwrap();
    assert_eq!(servers.servers()[0], successor);
    // What is said of the one before does not end its successor.
    servers.apply_entry(&gone, now_us()).unwrap();
    assert_eq!(servers.servers()[0], successor);
}
