//! Checks the four rules and measures the service of a run.
//!
//! The judge uses only what an observer outside of the nodes sees: the requests sent to a node and its
//! answers, the attempts that reached a cache server and their executions, and the endpoint states that
//! discovery sent to nodes. Nodes and cache servers are identified by number. All runners record the same
//! [`Observation`]s, whatever protocol they use.

mod observation;
mod record;
mod trace;
mod verdict;

pub use observation::{FinalAnswer, Observation, RequestNumber};
pub use verdict::{ClassService, SecondFigures, Service, Verdict, Violation};

use crate::script::{Class, Script};
use balancer_core::{DeduplicationScope, Idempotency, Timestamp};
use record::{is_always_repeatable, OperationRecord, RequestRecord, ServerRecord};
use std::collections::BTreeMap;
use std::time::Duration;
use verdict::ratio;

/// Added to each time limit, because times are measured at the far end of a connection.
pub const TOLERANCE: Duration = Duration::from_millis(50);
/// Length of the windows over which the worst service is determined.
pub const SERVICE_WINDOW: Duration = Duration::from_secs(10);
/// Maximum number of violations that are described. Further ones are only counted.
const MAX_DESCRIBED_VIOLATIONS: usize = 20;

/// One of the four rules.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Rule {
    /// Rule 1: each request gets exactly one final answer, in time.
    OneAnswerInTime = 1,
    /// Rule 2: a request is repeated only where that is safe.
    SafeRepeats = 2,
    /// Rule 3: a cache server that drains or is removed gets no new requests.
    NoSendAfterDrain = 3,
    /// Rule 4: no cache server in slow start is overloaded.
    NoOverloadInSlowStart = 4,
}

/// Collects observations and derives the verdict from them. See the module documentation.
#[derive(Debug)]
pub struct Judge {
    classes: Vec<Class>,
    length: Duration,
    drain_grace: Duration,
    servers: Vec<ServerRecord>,
    operations: Vec<OperationRecord>,
    requests: BTreeMap<RequestNumber, RequestRecord>,
    /// When each node was notified that a cache server is unavailable, by node and cache server.
    unavailable_since: BTreeMap<(usize, usize), Timestamp>,
    /// Figures of each second of the run.
    seconds: Vec<SecondFigures>,
    /// Node and time of each kill.
    kills: Vec<(usize, Timestamp)>,
    /// The first [`MAX_DESCRIBED_VIOLATIONS`] violations.
    violations: Vec<Violation>,
    /// Number of violations of each rule.
    violation_counts: [u64; 4],
}

impl Judge {
    /// Creates the judge for a run of this script.
    pub fn new(script: &Script) -> Self {
        let seconds = script.length.as_secs_f64().ceil() as usize;
        Self {
            classes: script.classes.clone(),
            length: script.length,
            drain_grace: script.rules.drain_grace,
            servers: Vec::new(),
            operations: Vec::new(),
            requests: BTreeMap::new(),
            unavailable_since: BTreeMap::new(),
            seconds: vec![SecondFigures::default(); seconds.max(1)],
            kills: Vec::new(),
            violations: Vec::new(),
            violation_counts: [0; 4],
        }
    }

    /// Registers a cache server and returns its number in observations. `zone` and `cell` determine where
    /// repeats of requests with an idempotency key are safe.
    pub fn add_server(&mut self, name: &str, zone: usize, cell: u64) -> usize {
        self.servers.push(ServerRecord { name: name.to_owned(), zone, cell });
        self.servers.len() - 1
    }

    /// Records an observation. The observations of one request must be recorded in chronological order.
    pub fn record(&mut self, observation: Observation) {
        match observation {
            Observation::OperationStarted { operation, at, class } => {
                self.operation_started(operation, at, class);
            }
            Observation::RequestAccepted { request, operation, node, at, expires_at } => {
                self.second(at).accepted += 1;
                self.requests.insert(request, RequestRecord::new(operation, node, at, expires_at));
            }
            Observation::AttemptSent { request, server, at } => self.attempt_sent(request, server, at),
            Observation::Executed { request, server, at } => self.executed(request, server, at),
            Observation::Answered { request, at, answer } => self.answered(request, at, answer),
            Observation::ConnectionLost { request, at, reason } => {
                if let Some(record) = self.requests.get_mut(&request) {
                    record.connection_lost = Some((at, reason));
                }
            }
            Observation::ClientDisconnected { request } => {
                if let Some(record) = self.requests.get_mut(&request) {
                    record.excused = true;
                }
            }
            Observation::OperationServed { operation, at } => self.operation_served(operation, at),
            Observation::NodeKilled { node, at } => self.node_killed(node, at),
            Observation::NodeStarted { node } => {
                self.unavailable_since.retain(|(notified, _), _| *notified != node);
            }
            Observation::EndpointNotified { node, server, at, unavailable: true } => {
                self.unavailable_since.entry((node, server)).or_insert(at);
            }
            Observation::EndpointNotified { node, server, unavailable: false, .. } => {
                self.unavailable_since.remove(&(node, server));
            }
            Observation::ServerOverloaded { server, at } => {
                let description = format!("{} was cold and pushed over", self.server_name(server));
                self.add_untraced_violation(Rule::NoOverloadInSlowStart, at, description);
            }
        }
    }

    /// Adds a violation that concerns no known request.
    fn add_untraced_violation(&mut self, rule: Rule, at: Timestamp, description: String) {
        self.add_violation(rule, at, description, None);
    }

    /// Adds a violation by a request, with the request's trace.
    fn add_request_violation(
        &mut self,
        rule: Rule,
        at: Timestamp,
        request: RequestNumber,
        description: String,
    ) {
        let trace = self.requests.get(&request).map(|record| self.trace(record));
        self.add_violation(rule, at, description, trace);
    }

    fn add_violation(&mut self, rule: Rule, at: Timestamp, description: String, trace: Option<String>) {
        let number = rule as u8;
        self.violation_counts[usize::from(number) - 1] += 1;
        if self.violations.len() < MAX_DESCRIBED_VIOLATIONS {
            let at_s = at.as_micros() as f64 / 1e6;
            self.violations.push(Violation { rule: number, at_s, description, trace });
        }
    }

    /// Returns the figures of the second that contains `at`. Times after the end of the run belong to its
    /// last second.
    fn second(&mut self, at: Timestamp) -> &mut SecondFigures {
        let last = self.seconds.len() - 1;
        &mut self.seconds[((at.as_micros() / 1_000_000) as usize).min(last)]
    }

    fn server_name(&self, server: usize) -> &str {
        self.servers.get(server).map_or("an unknown server", |record| record.name.as_str())
    }

    fn class_of(&self, request: &RequestRecord) -> &Class {
        &self.classes[self.operations[request.operation as usize].class]
    }

    fn operation_started(&mut self, operation: u64, at: Timestamp, class: usize) {
        debug_assert_eq!(operation, self.operations.len() as u64);
        let weight = self.classes[class].priority_weight;
        let second = self.second(at);
        second.operations += 1;
        second.weight += weight;
        self.operations.push(OperationRecord { at, class, served_weight: 0.0, served: false });
    }

    fn node_killed(&mut self, node: usize, at: Timestamp) {
        self.kills.push((node, at));
        let pending = self.requests.values_mut().filter(|record| record.is_pending_at(node));
        let in_time = pending.filter(|record| at <= record.expires_at + TOLERANCE);
        in_time.for_each(|record| record.excused = true);
    }

    fn attempt_sent(&mut self, request: RequestNumber, server: usize, at: Timestamp) {
        self.second(at).attempts += 1;
        let Some(record) = self.requests.get_mut(&request) else {
            let description = format!("request {request:x} was forwarded, and no node had accepted it");
            return self.add_untraced_violation(Rule::SafeRepeats, at, description);
        };
        record.sent.push((server, at));
        let (node, answered) = (record.node, record.answered);
        if answered.is_some_and(|(when, _)| at > when) {
            let description = format!("request {request:x} was forwarded after its final answer");
            self.add_request_violation(Rule::OneAnswerInTime, at, request, description);
        }
        let notified = self.unavailable_since.get(&(node, server)).copied();
        if let Some(notified) = notified.filter(|since| at > *since + self.drain_grace + TOLERANCE) {
            let late = at.since(notified).as_millis();
            let name = self.server_name(server);
            let description = format!("node {node} sent to {name} {late} ms after it was told to stop");
            self.add_request_violation(Rule::NoSendAfterDrain, at, request, description);
        }
    }

    fn executed(&mut self, request: RequestNumber, server: usize, at: Timestamp) {
        let Some(record) = self.requests.get_mut(&request) else {
            let description = format!("request {request:x} was executed, and no node had accepted it");
            return self.add_untraced_violation(Rule::SafeRepeats, at, description);
        };
        record.executions.push((server, at));
        if let Some(reason) = self.unsafe_repeat(request, server, at) {
            let description =
                format!("request {request:x} ran again at {}: {reason}", self.server_name(server));
            self.add_request_violation(Rule::SafeRepeats, at, request, description);
        }
    }

    /// Returns why the last execution of a request was an unsafe repeat; `None` if it was safe or the first
    /// execution.
    fn unsafe_repeat(&self, request: RequestNumber, server: usize, at: Timestamp) -> Option<&'static str> {
        let record = self.requests.get(&request)?;
        let first = *record.executions.first().filter(|_| record.executions.len() > 1)?;
        // The node is not responsible for the time that a server holds an attempt before executing it, so the
        // window is checked against the time of the send.
        let sent_at = record.sent.iter().rfind(|(to, _)| *to == server).map_or(at, |(_, sent_at)| *sent_at);
        match self.class_of(record).idempotency {
            Idempotency::Idempotent => None,
            Idempotency::NotIdempotent => Some("it is unsafe to repeat"),
            Idempotency::WithKey { window, .. } if sent_at.since(first.1) > window + TOLERANCE => {
                Some("its first run is forgotten")
            }
            Idempotency::WithKey { scope, .. } => {
                let (one, other) = (&self.servers[first.0], &self.servers[server]);
                let deduplicated = match scope {
                    DeduplicationScope::All => true,
                    DeduplicationScope::Zone => one.zone == other.zone,
                    DeduplicationScope::Cell => one.cell == other.cell,
                };
                (!deduplicated).then_some("that server does not know of the first run")
            }
        }
    }

    fn answered(&mut self, request: RequestNumber, at: Timestamp, answer: FinalAnswer) {
        let second = self.second(at);
        second.rejected += u32::from(answer == FinalAnswer::Rejected);
        second.failed += u32::from(answer == FinalAnswer::Failed);
        let Some(record) = self.requests.get_mut(&request) else {
            let description = format!("request {request:x} was answered, and no node had accepted it");
            return self.add_untraced_violation(Rule::OneAnswerInTime, at, description);
        };
        let (expires_at, excused) = (record.expires_at, record.excused);
        let description = if answer == FinalAnswer::Mismatched {
            format!("request {request:x} was served with what was made for another")
        } else if record.answered.replace((at, answer)).is_some() {
            format!("request {request:x} was answered twice")
        } else if !excused && at > expires_at + TOLERANCE {
            let late = at.since(expires_at).as_millis();
            format!("request {request:x} was answered {late} ms after its client gave up")
        } else {
            return;
        };
        self.add_request_violation(Rule::OneAnswerInTime, at, request, description);
    }

    fn operation_served(&mut self, operation: u64, at: Timestamp) {
        let record = &mut self.operations[operation as usize];
        let class = &self.classes[record.class];
        let took = at.since(record.at);
        if record.served || took > class.deadline {
            return;
        }
        record.served = true;
        record.served_weight = if took <= class.latency_objective {
            class.priority_weight
        } else {
            class.priority_weight * class.late_weight_fraction
        };
        let (weight, started_at) = (record.served_weight, record.at);
        self.second(started_at).served_weight += weight;
    }

    /// Ends the run and returns the verdict. Requests without an answer are lost.
    pub fn verdict(mut self) -> Verdict {
        self.check_requests_at_end();
        let mut answers = [0; 4];
        let mut repeats = [0; 3];
        for record in self.requests.values() {
            if let Some((_, answer)) = record.answered {
                answers[answer as usize] += 1;
            }
            let kind = match self.class_of(record).idempotency {
                Idempotency::Idempotent => 0,
                Idempotency::WithKey { .. } => 1,
                Idempotency::NotIdempotent => 2,
            };
            repeats[kind] += record.executions.len().saturating_sub(1) as u64;
        }
        Verdict {
            violation_counts: self.violation_counts,
            service: self.service(),
            operations: self.operations.len() as u64,
            accepted: self.requests.len() as u64,
            answers,
            attempts: self.requests.values().map(|record| record.sent.len() as u64).sum(),
            repeats,
            seconds: self.seconds,
            violations: self.violations,
        }
    }

    /// Finds the violations that are known only after the end of the run.
    fn check_requests_at_end(&mut self) {
        let mut violations = Vec::new();
        for (request, record) in &self.requests {
            match record.answered {
                None if !record.excused => {
                    let description = format!("request {request:x} was never answered");
                    violations.push((Rule::OneAnswerInTime, record.expires_at, *request, description));
                }
                // A rejection promises that a retry is harmless. An execution before or after it breaks the
                // promise, unless repeats are always safe.
                Some((at, FinalAnswer::Rejected))
                    if !record.executions.is_empty()
                        && !is_always_repeatable(self.class_of(record).idempotency) =>
                {
                    let description = format!("request {request:x} was refused, and it ran");
                    violations.push((Rule::SafeRepeats, at, *request, description));
                }
                Some((at, FinalAnswer::Served)) if record.executions.is_empty() => {
                    let description = format!("request {request:x} was served, and it ran nowhere");
                    violations.push((Rule::OneAnswerInTime, at, *request, description));
                }
                _ => {}
            }
        }
        for (rule, at, request, description) in violations {
            self.add_request_violation(rule, at, request, description);
        }
    }

    fn service(&self) -> Service {
        let classes: Vec<_> = (0..self.classes.len()).map(|class| self.class_service(class)).collect();
        let length = (SERVICE_WINDOW.as_secs() as usize)
            .min(self.length.as_secs() as usize)
            .clamp(1, self.seconds.len());
        let windows = self.seconds.windows(length).enumerate();
        let windows = windows.map(|(start, seconds)| (service_of(seconds), start as u64));
        Service {
            overall: service_of(&self.seconds),
            worst_window: windows.min_by(|one, other| one.0.total_cmp(&other.0)).unwrap_or((1.0, 0)),
            worst_class: classes.iter().map(|(_, service)| *service).fold(1.0, f64::min),
            classes,
        }
    }

    fn class_service(&self, class: usize) -> ClassService {
        let weight = self.classes[class].priority_weight;
        let in_class = self.operations.iter().filter(|operation| operation.class == class);
        let (served, offered) = in_class.fold((0.0, 0.0), |(served, offered), operation| {
            (served + operation.served_weight, offered + weight)
        });
        (self.classes[class].name.clone(), ratio(served, offered))
    }
}

/// Returns the served fraction of the weight offered in these seconds.
fn service_of(seconds: &[SecondFigures]) -> f64 {
    let (served, offered) = seconds.iter().fold((0.0, 0.0), |(served, offered), second| {
        (served + second.served_weight, offered + second.weight)
    });
    ratio(served, offered)
}
