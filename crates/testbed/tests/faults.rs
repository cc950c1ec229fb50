//! Tests the faults of network, cache servers and nodes in virtual time, as the decision logic of the nodes
//! observes them.

use balancer_core::{Action, AttemptStatus, Balancer, EndpointUpdate, Event, Settings, Timestamp};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use testbed::run_result::RunResult;
use testbed::script::{Fault, Incident};
use testbed::virtual_time::{run_with, DecisionLogic, DriverSafeguards};
use testbed::Script;

/// An event that the decision logic of a node received.
#[derive(Clone, Debug, PartialEq)]
enum RecordedEvent {
    Started,
    AttemptEnded { status: AttemptStatus, elapsed: Duration },
    DiscoveryFailed,
}

type EventLog = Rc<RefCell<Vec<(Timestamp, RecordedEvent)>>>;

/// The production balancer with a log of its events.
struct RecordingBalancer {
    balancer: Balancer,
    log: EventLog,
}

impl DecisionLogic for RecordingBalancer {
    fn handle(&mut self, now: Timestamp, event: Event, actions: &mut Vec<Action>) {
        let recorded = match &event {
            Event::EndpointsRestored(_) => Some(RecordedEvent::Started),
            Event::AttemptEnded(outcome) => {
                Some(RecordedEvent::AttemptEnded { status: outcome.status, elapsed: outcome.elapsed })
            }
            Event::EndpointsUpdated(EndpointUpdate::Unavailable) => Some(RecordedEvent::DiscoveryFailed),
            _ => None,
        };
        self.log.borrow_mut().extend(recorded.map(|recorded| (now, recorded)));
        self.balancer.handle(now, event, actions);
    }
}

struct RecordedRun {
    result: RunResult,
    log: Vec<(Timestamp, RecordedEvent)>,
}

impl RecordedRun {
    fn run(script: &Script) -> Self {
        let log = EventLog::default();
        let shared_log = log.clone();
        let mut make = move |settings: Settings, seed| -> Box<dyn DecisionLogic> {
            Box::new(RecordingBalancer { balancer: Balancer::new(settings, seed), log: shared_log.clone() })
        };
        let result = run_with(script, DriverSafeguards::ALL, &mut make);
        assert_eq!(result.verdict.violation_counts, [0; 4], "{:?}", result.verdict.violations);
        Self { result, log: log.take() }
    }

    fn count(&self, expected: AttemptStatus) -> usize {
        self.outcomes().filter(|(_, status, _)| *status == expected).count()
    }

    /// Returns the ends of all attempts: the time in milliseconds, the status and the duration of the
    /// attempt.
    fn outcomes(&self) -> impl Iterator<Item = (u64, AttemptStatus, Duration)> + '_ {
        self.log.iter().filter_map(|(at, event)| match event {
            RecordedEvent::AttemptEnded { status, elapsed } => Some((ms(*at), *status, *elapsed)),
            _ => None,
        })
    }

    /// Returns the times of all occurrences of an event, in milliseconds.
    fn times(&self, expected: &RecordedEvent) -> Vec<u64> {
        self.log.iter().filter(|(_, event)| event == expected).map(|(at, _)| ms(*at)).collect()
    }
}

fn ms(at: Timestamp) -> u64 {
    at.since(Timestamp::default()).as_millis() as u64
}

/// Returns the script of a small fleet with only these faults.
fn small_fleet(incidents: Vec<Incident>) -> Script {
    let mut script = Script { nodes: 2, length: Duration::from_secs(10), incidents, ..Script::default() };
    script.load.rate = 40.0;
    script.clients.disconnect_fraction = 0.0;
    script.server_kinds.truncate(1);
    (script.server_kinds[0].count, script.server_kinds[0].error_rate) = (6, 0.0);
    // All entries are cached at the start, and the work varies little. Fetches also vary little: they occur
    // on the other servers over which a hot key is spread.
    (script.load.keys, script.origin.initially_cached_fraction, script.origin.fetch_variation) =
        (2_000, 1.0, 0.1);
    script.classes.iter_mut().for_each(|class| class.work_variation = 0.1);
    script
}

fn incident(at_ms: u64, duration_ms: u64, fault: Fault) -> Incident {
    Incident {
        at: Duration::from_millis(at_ms),
        duration: Duration::from_millis(duration_ms),
        zone: None,
        fault,
    }
}

#[test]
fn without_faults_no_attempt_fails() {
    let without_faults = RecordedRun::run(&small_fleet(vec![]));
    for status in
        [AttemptStatus::Reset, AttemptStatus::ConnectError, AttemptStatus::TimedOut, AttemptStatus::Failed]
    {
        assert_eq!(without_faults.count(status), 0, "{status:?}");
    }
}

#[test]
fn a_delay_adds_a_round_trip_to_attempts_and_times_out_new_connections() {
    let extra = Duration::from_millis(15);
    let delay = Fault::Delay { share: 1.0, extra };
    let delayed = RecordedRun::run(&small_fleet(vec![incident(0, 5_000, delay)]));
    let min_elapsed = |from: u64, to: u64| {
        let served = delayed
            .outcomes()
            .filter(move |(at, status, _)| *status == AttemptStatus::Ok && (from..to).contains(at));
        served.map(|(_, _, elapsed)| elapsed).min().expect("at least one attempt succeeded")
    };
    assert!(min_elapsed(1_000, 5_000) >= extra * 2);
    assert!(min_elapsed(6_000, 10_000) < extra * 2);
    // The two round trips of the handshake take more than the connect timeout of 75 ms.
    let long_delay = Fault::Delay { share: 1.0, extra: Duration::from_millis(19) };
    let timed_out = RecordedRun::run(&small_fleet(vec![incident(0, 1_000, long_delay)]));
    let early: Vec<_> = timed_out.outcomes().filter(|(at, ..)| *at < 1_000).collect();
    assert!(early.len() > 10 && early.iter().all(|(_, status, _)| *status == AttemptStatus::ConnectError));
}

#[test]
fn a_lost_packet_adds_200_ms_and_a_lost_first_packet_fails_the_connection() {
    let mut script = small_fleet(vec![incident(3_000, 7_000, Fault::Loss { share: 1.0, rate: 0.1 })]);
    script.classes.truncate(1);
    script.classes[0].deadline = Duration::from_secs(4);
    let lossy = RecordedRun::run(&script);
    let slow = |run: &RecordedRun| {
        run.outcomes()
            .filter(|(_, status, elapsed)| *status == AttemptStatus::Ok && elapsed.as_millis() >= 200)
            .count()
    };
    let without_faults = RecordedRun::run(&Script { incidents: vec![], ..script });
    assert_eq!(slow(&without_faults), 0);
    assert!(slow(&lossy) > 10, "{}", slow(&lossy));
    assert!(lossy.count(AttemptStatus::ConnectError) > 0);
}

#[test]
fn a_truncated_answer_is_a_reset_for_the_node_and_its_job_is_executed() {
    let mut script = small_fleet(vec![incident(2_000, 3_000, Fault::Resets { share: 1.0, rate: 0.5 })]);
    let with_resets = RecordedRun::run(&script);
    assert!(with_resets.count(AttemptStatus::Reset) > 30);
    let resets_only_during_incident = |(at, status, _): &(u64, AttemptStatus, Duration)| {
        *status != AttemptStatus::Reset || (2_000..5_100).contains(at)
    };
    assert!(with_resets.outcomes().all(|outcome| resets_only_during_incident(&outcome)));
    assert!(with_resets.outcomes().any(|(at, status, _)| at > 5_100 && status == AttemptStatus::Ok));
    // A request that is not idempotent must not be executed again after its answer was lost: half of these
    // requests are not served, and none is executed twice.
    script.classes.iter_mut().for_each(|class| class.idempotency = balancer_core::Idempotency::NotIdempotent);
    let not_idempotent = RecordedRun::run(&script);
    assert!(not_idempotent.count(AttemptStatus::Reset) > 30);
    assert_eq!(not_idempotent.result.verdict.repeats, [0; 3]);
}

#[test]
fn requests_on_half_open_connections_time_out_until_the_node_opens_new_ones() {
    let half_open = || Fault::HalfOpen { share: 1.0 };
    let with_half_open = RecordedRun::run(&small_fleet(vec![incident(5_000, 0, half_open())]));
    let timed_out = with_half_open.count(AttemptStatus::TimedOut);
    let without_faults = RecordedRun::run(&small_fleet(vec![]));
    assert!(timed_out > 0 && without_faults.count(AttemptStatus::TimedOut) == 0);
    // New connections work. A half-open connection may remain in the pool and be used later, but each only
    // once.
    let late = |expected| {
        with_half_open.outcomes().filter(|(at, status, _)| *at >= 8_000 && *status == expected).count()
    };
    assert!(late(AttemptStatus::Ok) > 30 && late(AttemptStatus::TimedOut) * 10 < late(AttemptStatus::Ok));
}

#[test]
fn closing_idle_connections_resets_only_requests_in_transit() {
    let mut script = small_fleet(vec![]);
    script.load.rate = 400.0;
    script.nodes = 6;
    script.server_kinds[0].count = 12;
    // The latency between zones is long enough for some requests to be in transit when the server closes the
    // connection.
    let idle = Duration::from_millis(50);
    script.server_kinds[0].idle_timeout = Some(idle);
    let with_idle_timeout = RecordedRun::run(&script);
    let resets = with_idle_timeout.count(AttemptStatus::Reset);
    assert!(resets > 0);
    let served = with_idle_timeout.count(AttemptStatus::Ok);
    assert!(resets * 20 < served, "{resets} of {served}");
    script.server_kinds[0].idle_timeout = None;
    assert_eq!(RecordedRun::run(&script).count(AttemptStatus::Reset), 0);
}

/// If a server still counted connections that it closed after the idle timeout as open, it would refuse new
/// ones. With a low limit of connections, nodes would then get connect errors without any fault.
#[test]
fn connections_closed_after_the_idle_timeout_do_not_count_as_open() {
    let mut script = small_fleet(vec![]);
    script.server_kinds[0].idle_timeout = Some(Duration::from_millis(300));
    (script.server_kinds[0].max_connections, script.nodes) = (8, 12);
    script.load.rate = 60.0;
    let run = RecordedRun::run(&script);
    let refused =
        run.outcomes().filter(|(at, status, _)| *at > 3_000 && *status == AttemptStatus::ConnectError);
    let (refused, served) = (refused.count(), run.count(AttemptStatus::Ok));
    assert!(refused * 20 < served, "{refused} of {served}");
}

#[test]
fn each_restart_of_a_node_has_its_own_downtime() {
    let down = Duration::from_millis;
    let restart = |downtime| Fault::RestartNodes { share: 1.0, batch: 1.0, downtime, killed: false };
    let mut script = small_fleet(vec![
        incident(1_000, 100, restart(down(100))),
        incident(6_000, 100, restart(down(3_000))),
    ]);
    script.nodes = 1;
    script.load.rate = 1.0;
    let times = RecordedRun::run(&script).times(&RecordedEvent::Started);
    // After the shutdown signal, a node accepts requests for another 500 ms, until the front sends it no
    // more.
    let expected = [0, 1_600, 9_500];
    assert_eq!(times.len(), 3, "{times:?}");
    assert!(
        times.iter().zip(expected).all(|(at, expected)| (expected..expected + 300).contains(at)),
        "{times:?}"
    );
}

#[test]
fn nodes_back_off_with_jitter_while_discovery_is_unavailable() {
    let mut script = small_fleet(vec![incident(1_000, 9_000, Fault::DiscoveryOutage)]);
    script.nodes = 8;
    let failed = RecordedRun::run(&script).times(&RecordedEvent::DiscoveryFailed);
    // The backoff times are 0.2 s, 0.4 s and so on up to 3 s, each multiplied by a random factor from 0.5 to
    // 1.5.
    let calls_per_node = failed.len() as f64 / 8.0;
    assert!((5.0..9.0).contains(&calls_per_node), "{calls_per_node} calls per node in 9 s");
    let calls_in_second = |from: u64| failed.iter().filter(|at| (from..from + 1_000).contains(at)).count();
    assert!(calls_in_second(1_000) > calls_in_second(8_000));
    let distinct_times: std::collections::BTreeSet<_> = failed.iter().filter(|&&at| at > 1_500).collect();
    assert!(distinct_times.len() > 20, "{distinct_times:?}");
}
