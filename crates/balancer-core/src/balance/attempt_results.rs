//! Records the result of an attempt in the state of its server, its class at that server, the kind of the
//! server, the origin and the load of the fleet.

use super::assessment::{Assessment, Evidence};
use super::circuit_breaker::CallResult;
use super::outlier_detection::{is_class_outlier, is_server_outlier, Epochs};
use super::request::{placement_key, PendingRequest};
use super::slow_start::is_warming_up;
use super::Balancer;
use crate::events::Action;
use crate::requests::{AttemptOutcome, AttemptStatus, CacheResult};
use crate::settings::CacheMode;
use crate::time::Timestamp;

/// CPU utilization below which a server has idle cores.
const SPARE_CPU_UTILIZATION: f64 = 0.8;
/// Maximum number of nodes at which each node sends requests to a server often enough for the server's queue
/// reports to explain its latency.
const MAX_NODES_FOR_QUEUE_REPORTS: u32 = 100;
/// Reported queue length, in requests, below which a queue counts as empty.
const EMPTY_QUEUE_THRESHOLD: f64 = 1.0;
/// Minimum of the expected work of a request, in seconds.
const MIN_EXPECTED_WORK_SECONDS: f64 = 1e-6;

/// An attempt that has ended.
struct EndedAttempt<'a> {
    outcome: &'a AttemptOutcome,
    assessment: Assessment,
    epochs: Epochs,
    origin_epoch: u32,
    class: usize,
    /// Whether the server reported that it fetched the value from the origin.
    fetched: bool,
    /// Expected work in seconds, or the latency objective if the request states no work; greater than 0.
    expected_seconds: f64,
}

impl Balancer {
    /// Records the result of an attempt and dispatches its request again.
    pub(super) fn on_attempt_ended(
        &mut self,
        now: Timestamp,
        outcome: &AttemptOutcome,
        actions: &mut Vec<Action>,
    ) {
        let Some(mut pending) = self.pending.remove(&outcome.id) else { return };
        let Some(attempt) = pending.attempts.get_mut(outcome.attempt as usize) else {
            return self.store(pending);
        };
        attempt.status = Some(outcome.status);
        let (epochs, origin_epoch) = (attempt.epochs, attempt.origin_epoch);
        let origin_overloaded =
            self.fetch_limit.on_result(now, attempt.ended(outcome.status), self.settings.nodes);
        let server = self.servers.position(&outcome.server).ok();
        self.mark_cached(server, &pending, outcome);
        let fetched =
            outcome.cache_result == Some(CacheResult::Miss) && self.settings.mode == CacheMode::Through;
        // The evidence includes the server's last queue report before this answer, so it is collected before
        // `record_load` replaces that report.
        let evidence = self.evidence(now, server, &pending, outcome, fetched || origin_overloaded);
        self.request_costs.record_work(&pending.request);
        let expected = pending.request.expected_work.unwrap_or(pending.class().latency_objective);
        let ended = EndedAttempt {
            outcome,
            assessment: Assessment::of(outcome.status, &evidence),
            epochs,
            origin_epoch,
            class: pending.class_index,
            fetched,
            expected_seconds: expected.as_secs_f64().max(MIN_EXPECTED_WORK_SECONDS),
        };
        self.record_origin(now, placement_key(&pending.request), &ended, actions);
        if outcome.status == AttemptStatus::Ok {
            self.request_costs.record_latency(ended.class, outcome.elapsed);
        }
        if let Some(index) = server {
            self.record_kind(now, index, &ended);
            self.record_load(now, index, &ended, evidence.queue_is_empty);
            self.record_class(now, index, &ended, actions);
            self.record_server(now, index, &ended, actions);
        }
        pending.finished |= outcome.request_finished;
        self.dispatch(now, pending, actions);
    }

    /// Marks the key of a request as cached by the server that served it.
    fn mark_cached(&mut self, server: Option<usize>, pending: &PendingRequest, outcome: &AttemptOutcome) {
        if let (Some(index), Some(key), AttemptStatus::Ok) = (server, pending.request.key, outcome.status) {
            self.cache_marks.insert(key, self.servers[index].incarnation());
        }
    }

    /// Collects the information about the attempt in addition to its status.
    fn evidence(
        &self,
        now: Timestamp,
        server: Option<usize>,
        pending: &PendingRequest,
        outcome: &AttemptOutcome,
        origin_at_fault: bool,
    ) -> Evidence {
        let queue_was_empty =
            server.is_some_and(|index| self.selector(now).empty_queue_is_known(&self.servers[index]));
        let in_time_limit = self.request_costs.in_time_limit(&pending.request, pending.class());
        let load = &outcome.load;
        Evidence {
            in_time: outcome.elapsed <= in_time_limit,
            spare_cpu: load.cpu_utilization.is_some_and(|utilization| utilization < SPARE_CPU_UTILIZATION),
            queue_was_empty,
            queue_is_empty: load.queue_length.map(|length| length < EMPTY_QUEUE_THRESHOLD),
            queue_explains_latency: self.settings.nodes <= MAX_NODES_FOR_QUEUE_REPORTS,
            origin_at_fault,
        }
    }

    /// Records whether the key is cached, if the server reported a hit or a miss, and the result for the
    /// circuit breaker of the origin. For that breaker only fetches are conclusive.
    fn record_origin(&mut self, now: Timestamp, key: u64, ended: &EndedAttempt, actions: &mut Vec<Action>) {
        let assessment = ended.assessment;
        if ended.fetched {
            self.cached_keys.record(key, assessment.is_answer());
        } else if ended.outcome.cache_result == Some(CacheResult::Hit) {
            self.cached_keys.record(key, assessment.confirms_hit());
        }
        let result = if ended.fetched { assessment.origin_result() } else { CallResult::Inconclusive };
        if self.origin_breaker.on_result(ended.origin_epoch, result, self.seed, now) {
            actions.push(Action::Log("breaker of the origin tripped".into()));
        }
    }

    /// Records the latency for the speed of servers of this kind. Fetches are left out because they show the
    /// speed of the origin, and warming servers because they are slower.
    fn record_kind(&mut self, now: Timestamp, index: usize, ended: &EndedAttempt) {
        let server = &self.servers[index];
        let shows_speed = matches!(ended.outcome.status, AttemptStatus::Ok | AttemptStatus::TimedOut)
            && !ended.fetched
            && !is_warming_up(&server.endpoint, &self.settings, now);
        if shows_speed {
            self.servers.record_latency(index, ended.outcome.elapsed, ended.expected_seconds);
        }
    }

    /// Records the load of the fleet and of the server.
    fn record_load(
        &mut self,
        now: Timestamp,
        index: usize,
        ended: &EndedAttempt,
        queue_is_empty: Option<bool>,
    ) {
        let assessment = ended.assessment;
        if assessment.shows_no_queue() {
            self.slow_start.on_prompt_answer();
        }
        // A miss whose value the balancer itself fetches next is not an answer yet.
        let is_miss = ended.outcome.status == AttemptStatus::Miss;
        if let Some(signal) = assessment.load_signal().filter(|_| !is_miss) {
            self.admission.record(now, signal);
        }
        let server = &mut self.servers[index];
        if let Some(is_empty) = queue_is_empty {
            server.empty_queue_at = is_empty.then_some(now);
        }
        server.concurrency.on_result(assessment);
    }

    /// Ejects the class from the server if the class fails there and not at other servers.
    fn record_class(
        &mut self,
        now: Timestamp,
        index: usize,
        ended: &EndedAttempt,
        actions: &mut Vec<Action>,
    ) {
        let class = ended.class;
        let outlier_detection = &mut self.servers[index].outlier_detection;
        let opens = outlier_detection.on_class_result(class, ended.epochs, ended.assessment, now);
        if opens && is_class_outlier(self.servers.as_slice(), index, class, now) {
            self.servers[index].outlier_detection.eject_class(class, now);
            let server = &ended.outcome.server;
            actions.push(Action::Log(format!("breaker of {server} tripped for class {class}")));
        }
    }

    /// Ejects the server if it fails and other servers do not. If other servers fail as well, the state of
    /// the breaker does not change, and a failed trial still counts as admitted: see
    /// [`CircuitBreaker::on_result`].
    ///
    /// [`CircuitBreaker::on_result`]: super::circuit_breaker::CircuitBreaker::on_result
    fn record_server(
        &mut self,
        now: Timestamp,
        index: usize,
        ended: &EndedAttempt,
        actions: &mut Vec<Action>,
    ) {
        let outlier_detection = &mut self.servers[index].outlier_detection;
        let opens = outlier_detection.on_server_result(ended.epochs, ended.assessment, now);
        if opens && is_server_outlier(self.servers.as_slice(), index, now) {
            self.servers[index].outlier_detection.eject_server(now);
            actions.push(Action::Log(format!("breaker of {} tripped", ended.outcome.server)));
        }
    }
}
