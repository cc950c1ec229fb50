//! The judge, tried on nodes that break each rule on purpose. One that lets any of these pass is worthless.

use balancer_core::{
    Action, Balancer, DeduplicationScope, EndpointState, EndpointUpdate, Event, Idempotency, RequestId,
    ServerId, Settings, Timestamp,
};
use std::collections::BTreeMap;
use std::time::Duration;
use testbed::judge::{FinalAnswer, Judge, Observation, Verdict};
use testbed::script::{Class, Fault, Incident};
use testbed::virtual_time::{run, run_with, Decisions, Safeguards};
use testbed::Script;

/// How a node deviates from the real decisions.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Deviation {
    Nothing,
    AnswersTwice,
    AnswersLate,
    Loses,
    SendsAfterItsAnswer,
    SendsAfterDrain,
    RunsTwice,
    RunsAgainLate,
    RefusesWhatRan,
    SendsAllToTheYoungest,
}

struct FaultyDecisions {
    real: Balancer,
    deviation: Deviation,
    /// All servers that the node was ever notified of, and when each started.
    servers: BTreeMap<ServerId, Option<Timestamp>>,
    drained: Option<ServerId>,
    late: Vec<(Timestamp, RequestId)>,
}

const LATE: Duration = Duration::from_secs(5);
/// Long after the first run is done.
const AGAIN: Duration = Duration::from_millis(250);
const PATIENT: Duration = Duration::from_secs(1);

impl FaultyDecisions {
    fn learn(&mut self, event: &Event) {
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

impl Decisions for FaultyDecisions {
    fn handle(&mut self, now: Timestamp, event: Event, actions: &mut Vec<Action>) {
        self.learn(&event);
        let Event::Request(request) = &event else {
            if let (Deviation::RefusesWhatRan, Event::AttemptEnded(outcome)) = (self.deviation, &event) {
                if !outcome.request_finished && !outcome.status.never_ran() {
                    return actions
                        .push(Action::Reject { id: outcome.id.clone(), retry_after: Duration::ZERO });
                }
            }
            while self.late.first().is_some_and(|(at, _)| *at <= now) {
                let id = self.late.remove(0).1;
                actions.push(match (self.deviation, self.servers.keys().nth(1)) {
                    (Deviation::RunsAgainLate, Some(server)) => Action::StartAttempt {
                        id,
                        server: server.clone(),
                        timeout: PATIENT,
                        start_within: None,
                    },
                    _ => Action::Fail { id },
                });
            }
            return self.real.handle(now, event, actions);
        };
        let id = request.id.clone();
        let to = |server: &ServerId| Action::StartAttempt {
            id: id.clone(),
            server: server.clone(),
            timeout: PATIENT,
            start_within: None,
        };
        let any = self.servers.keys().next().cloned();
        match self.deviation {
            Deviation::AnswersLate => {
                self.late.push((now + LATE, id));
                actions.push(Action::SetTimer { after: LATE });
            }
            Deviation::RunsAgainLate => {
                self.late.push((now + AGAIN, id.clone()));
                actions.push(Action::SetTimer { after: AGAIN });
                actions.extend(any.iter().map(to));
            }
            Deviation::Loses => {}
            Deviation::RunsTwice => actions.extend(self.servers.keys().take(2).map(to)),
            Deviation::SendsAfterItsAnswer => {
                actions.push(Action::Reject { id: id.clone(), retry_after: Duration::ZERO });
                actions.extend(any.iter().map(to));
            }
            Deviation::SendsAfterDrain if self.drained.is_some() => {
                actions.extend(self.drained.iter().map(to))
            }
            Deviation::SendsAllToTheYoungest => {
                let youngest = self.servers.iter().max_by_key(|(_, started)| **started).map(|(id, _)| id);
                actions.extend(youngest.map(to));
            }
            Deviation::AnswersTwice => {
                actions.push(Action::Reject { id: id.clone(), retry_after: Duration::ZERO });
                actions.push(Action::Fail { id });
            }
            _ => self.real.handle(now, event, actions),
        }
    }
}

fn judged(script: &Script, deviation: Deviation) -> Verdict {
    let mut make = |settings: Settings, seed| -> Box<dyn Decisions> {
        let real = Balancer::new(settings, seed);
        Box::new(FaultyDecisions {
            real,
            deviation,
            servers: BTreeMap::new(),
            drained: None,
            late: Vec::new(),
        })
    };
    let guard = match deviation {
        Deviation::Nothing => Safeguards::ALL,
        Deviation::AnswersLate | Deviation::Loses => {
            Safeguards { answers_in_time: false, suppresses_late_sends: false }
        }
        _ => Safeguards { answers_in_time: true, suppresses_late_sends: false },
    };
    run_with(script, guard, &mut make).verdict
}

fn small(idempotency: Idempotency, incidents: Vec<Incident>) -> Script {
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

fn incident(at: u64, over: u64, fault: Fault) -> Incident {
    Incident { at: Duration::from_secs(at), duration: Duration::from_secs(over), zone: None, fault }
}

/// Whether each rule was violated, from 1 to 4, and the descriptions of the violations.
fn broken(script: &Script, deviation: Deviation) -> ([bool; 4], String) {
    let verdict = judged(script, deviation);
    let words: Vec<_> = verdict.violations.iter().map(|violation| violation.description.as_str()).collect();
    let words = words.join(", ");
    (verdict.violation_counts.map(|count| count > 0), words)
}

#[track_caller]
fn must_break(script: &Script, deviation: Deviation, rule: usize, words: &str) {
    let (rules, said) = broken(script, deviation);
    let mut only = [false; 4];
    only[rule - 1] = true;
    assert_eq!(rules, only, "{deviation:?}: {said}");
    assert!(said.contains(words), "{deviation:?}: {said}");
    assert_eq!(broken(script, Deviation::Nothing), ([false; 4], String::new()), "the same run without it");
}

#[test]
fn a_second_answer_breaks_rule_1() {
    must_break(&small(Idempotency::Idempotent, vec![]), Deviation::AnswersTwice, 1, "answered twice");
}

#[test]
fn a_late_answer_breaks_rule_1() {
    must_break(
        &small(Idempotency::Idempotent, vec![]),
        Deviation::AnswersLate,
        1,
        "after its client gave up",
    );
}

#[test]
fn a_lost_request_breaks_rule_1() {
    must_break(&small(Idempotency::Idempotent, vec![]), Deviation::Loses, 1, "never answered");
}

#[test]
fn a_send_after_the_final_answer_breaks_rule_1() {
    must_break(
        &small(Idempotency::Idempotent, vec![]),
        Deviation::SendsAfterItsAnswer,
        1,
        "after its final answer",
    );
}

#[test]
fn only_a_repeat_of_a_request_that_is_not_idempotent_breaks_rule_2() {
    must_break(&small(Idempotency::NotIdempotent, vec![]), Deviation::RunsTwice, 2, "unsafe to repeat");
    let verdict = judged(&small(Idempotency::Idempotent, vec![]), Deviation::RunsTwice);
    assert_eq!(verdict.violation_counts, [0; 4], "{:?}", verdict.violations);
    assert!(verdict.repeats[0] > 0 && verdict.repeats[2] == 0);
}

#[test]
fn a_repeat_with_an_idempotency_key_breaks_rule_2_out_of_scope_or_window() {
    let window = Duration::from_secs(5);
    let keyed = |scope, window| small(Idempotency::WithKey { scope, window }, vec![]);
    // The first two servers stand in two zones and in one cell.
    must_break(
        &keyed(DeduplicationScope::Zone, window),
        Deviation::RunsTwice,
        2,
        "does not know of the first run",
    );
    for scope in [DeduplicationScope::All, DeduplicationScope::Cell] {
        let verdict = judged(&keyed(scope, window), Deviation::RunsTwice);
        assert_eq!(verdict.violation_counts, [0; 4], "{:?}", verdict.violations);
        assert!(verdict.repeats[1] > 0);
    }
    let mut short = keyed(DeduplicationScope::All, Duration::from_millis(1));
    // The first run is done and has failed, and nobody has given up.
    short.classes[0].deadline = LATE;
    short.incidents = vec![incident(0, 20, Fault::Errors { share: 1.0, rate: 1.0 })];
    must_break(&short, Deviation::RunsAgainLate, 2, "its first run is forgotten");
    // A server that keeps what it was sent in time, and runs it late, is not the node's doing.
    short.load.rate = 200.0;
    assert_eq!(judged(&short, Deviation::RunsTwice).violation_counts, [0; 4]);
}

#[test]
fn a_rejection_of_an_executed_request_breaks_rule_2() {
    let errors = vec![incident(2, 5, Fault::Errors { share: 1.0, rate: 0.5 })];
    must_break(
        &small(Idempotency::NotIdempotent, errors),
        Deviation::RefusesWhatRan,
        2,
        "was refused, and it ran",
    );
}

#[test]
fn a_send_after_a_drain_breaks_rule_3() {
    let shrink = Fault::Shrink { share: 0.1, drain: Duration::from_secs(6) };
    must_break(
        &small(Idempotency::Idempotent, vec![incident(1, 1, shrink)]),
        Deviation::SendsAfterDrain,
        3,
        "after it was told to stop",
    );
}

#[test]
fn an_overloaded_cold_server_breaks_rule_4() {
    let drain = Duration::from_secs(1);
    let deploy = Fault::Deploy { share: 0.1, batch: 0.2, drain, same_address: false };
    let mut script = small(Idempotency::Idempotent, vec![incident(1, 1, deploy)]);
    script.load.rate = 250.0;
    must_break(&script, Deviation::SendsAllToTheYoungest, 4, "pushed over");
}

/// The decisions must keep the rules not only without faults: each kind of idempotency runs under many faults at once.
#[test]
fn the_decisions_keep_the_rules_for_each_idempotency_under_many_faults() {
    let window = Duration::from_secs(3);
    let effects = [
        Idempotency::Idempotent,
        Idempotency::NotIdempotent,
        Idempotency::WithKey { scope: DeduplicationScope::Zone, window },
        Idempotency::WithKey { scope: DeduplicationScope::Cell, window },
    ];
    for (seed, effect) in (1..).zip(effects) {
        let drain = Duration::from_secs(1);
        let mut script = small(
            effect,
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
        assert_eq!(verdict.violation_counts, [0; 4], "{effect:?}, seed {seed}: {:?}", verdict.violations);
        assert!(verdict.answers[..3].iter().all(|&count| count > 0), "{effect:?}: {:?}", verdict.answers);
    }
}

/// The kill of a node excuses the requests that it could still have answered. A judge that excused all unanswered ones would
/// forgive a request that was lost long before.
#[test]
fn a_kill_excuses_only_requests_that_had_time_left() {
    let script = small(Idempotency::Idempotent, vec![]);
    let at = |ms: u64| Timestamp::from_micros(ms * 1_000);
    let mut judge = Judge::new(&script);
    for (number, until) in [(0, 100), (1, 300)] {
        judge.record(Observation::OperationStarted { operation: number, at: at(0), class: 0 });
        judge.record(Observation::RequestAccepted {
            request: number,
            operation: number,
            node: 0,
            at: at(1),
            expires_at: at(until),
        });
    }
    judge.record(Observation::NodeKilled { node: 0, at: at(200) });
    let verdict = judge.verdict();
    assert_eq!(verdict.violation_counts, [1, 0, 0, 0]);
    assert_eq!(verdict.violations[0].description, "request 0 was never answered");
}

#[test]
fn an_answer_that_was_made_for_another_request_breaks_rule_1() {
    let script = small(Idempotency::Idempotent, vec![]);
    let at = Timestamp::from_micros(1_000);
    let mut judge = Judge::new(&script);
    judge.record(Observation::OperationStarted { operation: 0, at, class: 0 });
    judge.record(Observation::RequestAccepted {
        request: 0,
        operation: 0,
        node: 0,
        at,
        expires_at: at + PATIENT,
    });
    judge.record(Observation::Answered { request: 0, at, answer: FinalAnswer::Mismatched });
    let verdict = judge.verdict();
    assert!(verdict.violations[0].description.contains("made for another"), "{:?}", verdict.violations);
}

/// A client that retries at once has two requests of one operation in flight: each is owed its own answer, and the service
/// counts the operation once.
#[test]
fn a_retry_that_overlaps_its_predecessor_is_owed_its_own_answer() {
    let script = small(Idempotency::Idempotent, vec![]);
    let at = |ms: u64| Timestamp::from_micros(ms * 1_000);
    let overlapping = |answers: &[(u64, u64)]| {
        let mut judge = Judge::new(&script);
        let server = judge.add_server("box", 0, 0);
        judge.record(Observation::OperationStarted { operation: 0, at: at(0), class: 0 });
        for (request, node) in [(0, 0), (1, 1)] {
            let until = at(100 + request * 100);
            judge.record(Observation::RequestAccepted {
                request,
                operation: 0,
                node,
                at: at(1 + request),
                expires_at: until,
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
    let both = overlapping(&[(1, 20), (0, 30)]);
    assert_eq!((both.violation_counts, both.answers[0]), ([0; 4], 2), "{:?}", both.violations);
    assert!((both.service.overall - 1.0).abs() < 1e-9, "{}", both.service.overall);
    let one = overlapping(&[(1, 20)]);
    assert_eq!(one.violation_counts, [1, 0, 0, 0]);
    assert_eq!(one.violations[0].description, "request 0 was never answered");
}

/// Red runs on sockets could not be explained: a node without processor time, a reset and a kill all read "was never answered".
#[test]
fn a_violation_tells_the_course_of_its_request() {
    let script = small(Idempotency::Idempotent, vec![]);
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
