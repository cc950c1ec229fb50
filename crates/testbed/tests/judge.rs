//! Tests the judge on nodes that break each rule on purpose. The judge must report every one of these
//! violations.

use balancer_core::{
    Action, Balancer, DeduplicationScope, EndpointState, EndpointUpdate, Event, Idempotency, RequestId,
    ServerId, Settings, Timestamp,
};
use std::collections::BTreeMap;
use std::time::Duration;
use testbed::judge::{FinalAnswer, Judge, Observation, Verdict};
use testbed::script::{Class, Fault, Incident};
use testbed::virtual_time::{run, run_with, DecisionLogic, DriverSafeguards};
use testbed::Script;

/// How the decision logic of a node deviates from the real balancer.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Deviation {
    None,
    AnswersTwice,
    AnswersLate,
    LosesRequests,
    SendsAfterFinalAnswer,
    SendsAfterDrain,
    ExecutesTwice,
    RepeatsLate,
    RejectsAfterExecution,
    SendsAllToNewestServer,
}

struct FaultyDecisionLogic {
    real: Balancer,
    deviation: Deviation,
    /// All servers that the node has been notified of, with their start times.
    servers: BTreeMap<ServerId, Option<Timestamp>>,
    /// The first server that was listed as draining.
    drained: Option<ServerId>,
    /// Requests with a delayed action, and the time of the action.
    delayed: Vec<(Timestamp, RequestId)>,
}

/// Delay of a late answer, longer than the deadline of the test script's class.
const ANSWER_DELAY: Duration = Duration::from_secs(5);
/// Delay of a late repeat, long after the end of the first execution.
const REPEAT_DELAY: Duration = Duration::from_millis(250);
/// Timeout of attempts and of requests.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);

impl FaultyDecisionLogic {
    fn record_servers(&mut self, event: &Event) {
        let (Event::EndpointsRestored(list)
        | Event::EndpointsUpdated(EndpointUpdate::Snapshot(list) | EndpointUpdate::Delta(list))) = event
        else {
            return;
        };
        for entry in list.iter() {
            self.servers.insert(entry.id.clone(), entry.started_at);
            if entry.state == EndpointState::Draining {
                self.drained.get_or_insert(entry.id.clone());
            }
        }
    }
}

impl DecisionLogic for FaultyDecisionLogic {
    fn handle(&mut self, now: Timestamp, event: Event, actions: &mut Vec<Action>) {
        self.record_servers(&event);
        let Event::Request(request) = &event else {
            if let (Deviation::RejectsAfterExecution, Event::AttemptEnded(outcome)) = (self.deviation, &event)
            {
                if !outcome.request_finished && !outcome.status.never_ran() {
                    return actions
                        .push(Action::Reject { id: outcome.id.clone(), retry_after: Duration::ZERO });
                }
            }
            while self.delayed.first().is_some_and(|(at, _)| *at <= now) {
                let id = self.delayed.remove(0).1;
                actions.push(match (self.deviation, self.servers.keys().nth(1)) {
                    (Deviation::RepeatsLate, Some(server)) => Action::StartAttempt {
                        id,
                        server: server.clone(),
                        timeout: REQUEST_TIMEOUT,
                        start_within: None,
                    },
                    _ => Action::Fail { id },
                });
            }
            return self.real.handle(now, event, actions);
        };
        let id = request.id.clone();
        let attempt_at = |server: &ServerId| Action::StartAttempt {
            id: id.clone(),
            server: server.clone(),
            timeout: REQUEST_TIMEOUT,
            start_within: None,
        };
        let first_server = self.servers.keys().next().cloned();
        match self.deviation {
            Deviation::AnswersLate => {
                self.delayed.push((now + ANSWER_DELAY, id));
                actions.push(Action::SetTimer { after: ANSWER_DELAY });
            }
            Deviation::RepeatsLate => {
                self.delayed.push((now + REPEAT_DELAY, id.clone()));
                actions.push(Action::SetTimer { after: REPEAT_DELAY });
                actions.extend(first_server.iter().map(attempt_at));
            }
            Deviation::LosesRequests => {}
            Deviation::ExecutesTwice => actions.extend(self.servers.keys().take(2).map(attempt_at)),
            Deviation::SendsAfterFinalAnswer => {
                actions.push(Action::Reject { id: id.clone(), retry_after: Duration::ZERO });
                actions.extend(first_server.iter().map(attempt_at));
            }
            Deviation::SendsAfterDrain if self.drained.is_some() => {
                actions.extend(self.drained.iter().map(attempt_at))
            }
            Deviation::SendsAllToNewestServer => {
                let newest = self.servers.iter().max_by_key(|(_, started)| **started).map(|(id, _)| id);
                actions.extend(newest.map(attempt_at));
            }
            Deviation::AnswersTwice => {
                actions.push(Action::Reject { id: id.clone(), retry_after: Duration::ZERO });
                actions.push(Action::Fail { id });
            }
            _ => self.real.handle(now, event, actions),
        }
    }
}

fn run_with_deviation(script: &Script, deviation: Deviation) -> Verdict {
    let mut make_decision_logic = |settings: Settings, seed| -> Box<dyn DecisionLogic> {
        let real = Balancer::new(settings, seed);
        Box::new(FaultyDecisionLogic {
            real,
            deviation,
            servers: BTreeMap::new(),
            drained: None,
            delayed: Vec::new(),
        })
    };
    let safeguards = match deviation {
        Deviation::None => DriverSafeguards::ALL,
        Deviation::AnswersLate | Deviation::LosesRequests => {
            DriverSafeguards { fails_overdue_requests: false, suppresses_late_sends: false }
        }
        _ => DriverSafeguards { fails_overdue_requests: true, suppresses_late_sends: false },
    };
    run_with(script, safeguards, &mut make_decision_logic).verdict
}

/// Returns a short script with three nodes, six servers and one class. Its clients neither disconnect nor
/// retry.
fn small_script(idempotency: Idempotency, incidents: Vec<Incident>) -> Script {
    let mut script = Script { nodes: 3, length: Duration::from_secs(12), incidents, ..Script::default() };
    script.load.rate = 60.0;
    script.clients.disconnect_fraction = 0.0;
    script.clients.max_retries = 0;
    script.classes.truncate(1);
    script.server_kinds.truncate(1);
    script.server_kinds[0].count = 6;
    script.classes[0] = Class { idempotency, ..script.classes[0].clone() };
    script
}

/// Returns an incident with its start and duration in seconds.
fn incident(at: u64, duration: u64, fault: Fault) -> Incident {
    Incident { at: Duration::from_secs(at), duration: Duration::from_secs(duration), zone: None, fault }
}

/// Returns whether each of the rules 1 to 4 was violated, and the descriptions of the violations.
fn violations(script: &Script, deviation: Deviation) -> ([bool; 4], String) {
    let verdict = run_with_deviation(script, deviation);
    let descriptions: Vec<_> =
        verdict.violations.iter().map(|violation| violation.description.as_str()).collect();
    (verdict.violation_counts.map(|count| count > 0), descriptions.join(", "))
}

/// Asserts that the deviation breaks exactly this rule with a violation whose description contains
/// `expected`, and that the same run without the deviation breaks no rule.
#[track_caller]
fn assert_breaks_only(script: &Script, deviation: Deviation, rule: usize, expected: &str) {
    let (rules, descriptions) = violations(script, deviation);
    let mut expected_rules = [false; 4];
    expected_rules[rule - 1] = true;
    assert_eq!(rules, expected_rules, "{deviation:?}: {descriptions}");
    assert!(descriptions.contains(expected), "{deviation:?}: {descriptions}");
    assert_eq!(violations(script, Deviation::None), ([false; 4], String::new()), "without a deviation");
}

#[test]
fn a_second_answer_breaks_rule_1() {
    assert_breaks_only(
        &small_script(Idempotency::Idempotent, vec![]),
        Deviation::AnswersTwice,
        1,
        "answered twice",
    );
}

#[test]
fn a_late_answer_breaks_rule_1() {
    assert_breaks_only(
        &small_script(Idempotency::Idempotent, vec![]),
        Deviation::AnswersLate,
        1,
        "after its client gave up",
    );
}

#[test]
fn a_lost_request_breaks_rule_1() {
    assert_breaks_only(
        &small_script(Idempotency::Idempotent, vec![]),
        Deviation::LosesRequests,
        1,
        "never answered",
    );
}

#[test]
fn a_send_after_the_final_answer_breaks_rule_1() {
    assert_breaks_only(
        &small_script(Idempotency::Idempotent, vec![]),
        Deviation::SendsAfterFinalAnswer,
        1,
        "after its final answer",
    );
}

#[test]
fn only_a_repeat_of_a_request_that_is_not_idempotent_breaks_rule_2() {
    assert_breaks_only(
        &small_script(Idempotency::NotIdempotent, vec![]),
        Deviation::ExecutesTwice,
        2,
        "unsafe to repeat",
    );
    let verdict =
        run_with_deviation(&small_script(Idempotency::Idempotent, vec![]), Deviation::ExecutesTwice);
    assert_eq!(verdict.violation_counts, [0; 4], "{:?}", verdict.violations);
    assert!(verdict.repeats[0] > 0 && verdict.repeats[2] == 0);
}

#[test]
fn a_repeat_with_an_idempotency_key_breaks_rule_2_out_of_scope_or_window() {
    let window = Duration::from_secs(5);
    let keyed = |scope, window| small_script(Idempotency::WithKey { scope, window }, vec![]);
    // The first two servers are in different zones and in the same cell.
    assert_breaks_only(
        &keyed(DeduplicationScope::Zone, window),
        Deviation::ExecutesTwice,
        2,
        "does not know of the first run",
    );
    for scope in [DeduplicationScope::All, DeduplicationScope::Cell] {
        let verdict = run_with_deviation(&keyed(scope, window), Deviation::ExecutesTwice);
        assert_eq!(verdict.violation_counts, [0; 4], "{:?}", verdict.violations);
        assert!(verdict.repeats[1] > 0);
    }
    let mut short_window = keyed(DeduplicationScope::All, Duration::from_millis(1));
    // By the time of the repeat the first execution has failed, and the client still waits.
    short_window.classes[0].deadline = ANSWER_DELAY;
    short_window.incidents = vec![incident(0, 20, Fault::Errors { share: 1.0, rate: 1.0 })];
    assert_breaks_only(&short_window, Deviation::RepeatsLate, 2, "its first run is forgotten");
    // The node is not responsible for a server that gets the repeat in time and executes it late.
    short_window.load.rate = 200.0;
    assert_eq!(run_with_deviation(&short_window, Deviation::ExecutesTwice).violation_counts, [0; 4]);
}

#[test]
fn a_rejection_of_an_executed_request_breaks_rule_2() {
    let errors = vec![incident(2, 5, Fault::Errors { share: 1.0, rate: 0.5 })];
    assert_breaks_only(
        &small_script(Idempotency::NotIdempotent, errors),
        Deviation::RejectsAfterExecution,
        2,
        "was refused, and it ran",
    );
}

#[test]
fn a_send_after_a_drain_breaks_rule_3() {
    let shrink = Fault::Shrink { share: 0.1, drain: Duration::from_secs(6) };
    assert_breaks_only(
        &small_script(Idempotency::Idempotent, vec![incident(1, 1, shrink)]),
        Deviation::SendsAfterDrain,
        3,
        "after it was told to stop",
    );
}

#[test]
fn an_overloaded_cold_server_breaks_rule_4() {
    let drain = Duration::from_secs(1);
    let deploy = Fault::Deploy { share: 0.1, batch: 0.2, drain, same_address: false };
    let mut script = small_script(Idempotency::Idempotent, vec![incident(1, 1, deploy)]);
    script.load.rate = 250.0;
    assert_breaks_only(&script, Deviation::SendsAllToNewestServer, 4, "pushed over");
}

/// The real balancer must keep the rules for each kind of idempotency under many simultaneous faults.
#[test]
fn the_balancer_keeps_the_rules_for_each_idempotency_under_many_faults() {
    let window = Duration::from_secs(3);
    let idempotencies = [
        Idempotency::Idempotent,
        Idempotency::NotIdempotent,
        Idempotency::WithKey { scope: DeduplicationScope::Zone, window },
        Idempotency::WithKey { scope: DeduplicationScope::Cell, window },
    ];
    for (seed, idempotency) in (1..).zip(idempotencies) {
        let drain = Duration::from_secs(1);
        let mut script = small_script(
            idempotency,
            vec![
                incident(1, 8, Fault::Deploy { share: 0.99, batch: 0.19, drain, same_address: true }),
                incident(2, 3, Fault::Unreachable { share: 0.3 }),
                incident(
                    3,
                    4,
                    Fault::RestartNodes { share: 1.0, batch: 0.4, downtime: drain, killed: seed % 2 == 0 },
                ),
                incident(3, 3, Fault::Errors { share: 0.5, rate: 0.5 }),
                incident(4, 2, Fault::Crash { share: 0.3 }),
                incident(5, 2, Fault::Pause { share: 0.5 }),
                incident(6, 3, Fault::DiscoveryOutage),
                incident(7, 3, Fault::Surge { factor: 3.0 }),
            ],
        );
        (script.seed, script.clients.max_retries, script.clients.disconnect_fraction) = (seed, 3, 0.05);
        let verdict = run(&script).verdict;
        assert_eq!(
            verdict.violation_counts, [0; 4],
            "{idempotency:?}, seed {seed}: {:?}",
            verdict.violations
        );
        assert!(
            verdict.answers[..3].iter().all(|&count| count > 0),
            "{idempotency:?}: {:?}",
            verdict.answers
        );
    }
}

/// The kill of a node excuses only the requests that the node could still have answered in time. A judge that
/// excused all unanswered requests would miss those that were lost long before.
#[test]
fn a_kill_excuses_only_requests_that_had_time_left() {
    let script = small_script(Idempotency::Idempotent, vec![]);
    let at = |ms: u64| Timestamp::from_micros(ms * 1_000);
    let mut judge = Judge::new(&script);
    for (number, expires_at) in [(0, 100), (1, 300)] {
        judge.record(Observation::OperationStarted { operation: number, at: at(0), class: 0 });
        judge.record(Observation::RequestAccepted {
            request: number,
            operation: number,
            node: 0,
            at: at(1),
            expires_at: at(expires_at),
        });
    }
    judge.record(Observation::NodeKilled { node: 0, at: at(200) });
    let verdict = judge.verdict();
    assert_eq!(verdict.violation_counts, [1, 0, 0, 0]);
    assert_eq!(verdict.violations[0].description, "request 0 was never answered");
}

#[test]
fn an_answer_that_was_made_for_another_request_breaks_rule_1() {
    let script = small_script(Idempotency::Idempotent, vec![]);
    let at = Timestamp::from_micros(1_000);
    let mut judge = Judge::new(&script);
    judge.record(Observation::OperationStarted { operation: 0, at, class: 0 });
    judge.record(Observation::RequestAccepted {
        request: 0,
        operation: 0,
        node: 0,
        at,
        expires_at: at + REQUEST_TIMEOUT,
    });
    judge.record(Observation::Answered { request: 0, at, answer: FinalAnswer::Mismatched });
    let verdict = judge.verdict();
    assert!(verdict.violations[0].description.contains("made for another"), "{:?}", verdict.violations);
}

/// A client that retries early has two requests of one operation in flight. Each must get its own answer, and
/// the service counts the operation once.
#[test]
fn overlapping_requests_of_an_operation_each_need_an_answer() {
    let script = small_script(Idempotency::Idempotent, vec![]);
    let at = |ms: u64| Timestamp::from_micros(ms * 1_000);
    let verdict_for = |answers: &[(u64, u64)]| {
        let mut judge = Judge::new(&script);
        let server = judge.add_server("box", 0, 0);
        judge.record(Observation::OperationStarted { operation: 0, at: at(0), class: 0 });
        for (request, node) in [(0, 0), (1, 1)] {
            judge.record(Observation::RequestAccepted {
                request,
                operation: 0,
                node,
                at: at(1 + request),
                expires_at: at(100 + request * 100),
            });
        }
        for &(request, ms) in answers {
            judge.record(Observation::AttemptSent { request, server, at: at(5) });
            judge.record(Observation::Executed { request, server, at: at(10) });
            judge.record(Observation::Answered { request, at: at(ms), answer: FinalAnswer::Served });
            judge.record(Observation::OperationServed { operation: 0, at: at(ms) });
        }
        judge.verdict()
    };
    let both = verdict_for(&[(1, 20), (0, 30)]);
    assert_eq!((both.violation_counts, both.answers[0]), ([0; 4], 2), "{:?}", both.violations);
    assert!((both.service.overall - 1.0).abs() < 1e-9, "{}", both.service.overall);
    let one = verdict_for(&[(1, 20)]);
    assert_eq!(one.violation_counts, [1, 0, 0, 0]);
    assert_eq!(one.violations[0].description, "request 0 was never answered");
}

/// Guards against violations whose cause is unknown: a node without processor time, a reset and a kill were
/// all reported as "was never answered" on sockets.
#[test]
fn a_violation_has_the_trace_of_its_request() {
    let script = small_script(Idempotency::Idempotent, vec![]);
    let at = |ms: u64| Timestamp::from_micros(ms * 1_000);
    let mut judge = Judge::new(&script);
    let server = judge.add_server("box", 0, 0);
    judge.record(Observation::OperationStarted { operation: 0, at: at(0), class: 0 });
    judge.record(Observation::NodeKilled { node: 2, at: at(1) });
    let (request, node) = (0, 2);
    judge.record(Observation::RequestAccepted {
        request,
        operation: 0,
        node,
        at: at(2),
        expires_at: at(300),
    });
    judge.record(Observation::AttemptSent { request, server, at: at(5) });
    judge.record(Observation::Executed { request, server, at: at(10) });
    judge.record(Observation::ConnectionLost { request, at: at(20), reason: "reset".into() });
    let violations = judge.verdict().violations;
    let expected = "accepted by node 2 at 0.002 s, client waits until 0.300 s; sent to box at 0.005 s; \
                    executed at box at 0.010 s; connection lost at 0.020 s: reset; node 2 last killed at 0.001 s";
    assert_eq!(violations[0].trace.as_deref(), Some(expected));
}
