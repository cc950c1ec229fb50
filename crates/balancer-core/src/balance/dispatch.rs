//! Dispatches requests without an attempt in flight: each is sent, queued, rejected or failed.

use super::circuit_breaker::BreakerState;
use super::queue::QueueTimes;
use super::request::{placement_key, Attempt, PendingRequest};
use super::retry_after::retry_after;
use super::retry_budget::AttemptKind;
use super::selection::{FetchPolicy, Selector};
use super::slow_start::is_warming_up;
use super::Balancer;
use crate::admission::{shared_random, time_to_next_period};
use crate::events::Action;
use crate::requests::Request;
use crate::time::Timestamp;
use std::time::Duration;

/// Fraction of the fetch limit up to which a request may be fetched again after a failed fetch, so that
/// repeated fetches use only spare capacity of the origin.
const REFETCH_FRACTION: f64 = 0.5;

impl Balancer {
    /// Sends, queues, rejects or fails a request. Stores it unchanged if it has an attempt in flight, and
    /// drops it if it is finished.
    pub(super) fn dispatch(&mut self, now: Timestamp, pending: PendingRequest, actions: &mut Vec<Action>) {
        if pending.has_attempt_in_flight() {
            return self.store(pending);
        }
        if pending.finished {
            return;
        }
        if let Some(retry_after) = self.admission_retry_after(now, &pending) {
            return actions.push(Action::Reject { id: pending.request.id, retry_after });
        }
        let kind = AttemptKind::following(pending.last_status());
        if !self.retry_budget.allows(kind)
            || now >= pending.request.deadline
            || !self.origin_admits(now, &pending.request)
        {
            return self.reject_or_fail(now, pending, actions);
        }
        let fetches = self.fetch_policy(&pending);
        match self.selector(now).select(&pending, fetches) {
            Some(index) => {
                self.retry_budget.on_send(kind);
                self.send(now, index, pending, actions);
            }
            None if fetches == FetchPolicy::CachedOnly => self.reject_or_fail(now, pending, actions),
            None => self.queue_or_reject_or_fail(now, pending, actions),
        }
    }

    /// Stores a request until its attempt ends or its next try is due.
    pub(super) fn store(&mut self, pending: PendingRequest) {
        self.pending.insert(pending.request.id.clone(), pending);
    }

    /// Returns a selector of servers over the current state.
    pub(super) fn selector(&self, now: Timestamp) -> Selector<'_> {
        Selector {
            now,
            settings: &self.settings,
            seed: self.seed,
            initial_limit: self.initial_limit,
            servers: &self.servers,
            slow_start: &self.slow_start,
            hot_keys: &self.hot_keys,
            cache_marks: &self.cache_marks,
        }
    }

    /// Returns whether this is a read of a key that was cached at its server according to the last answer.
    fn is_cached(&self, request: &Request) -> bool {
        !request.write && self.cached_keys.contains(placement_key(request))
    }

    /// Returns whether the origin's circuit breaker admits the request. Cached keys do not need the origin.
    fn origin_admits(&self, now: Timestamp, request: &Request) -> bool {
        self.is_cached(request) || self.origin_breaker.admits(now)
    }

    fn fetch_policy(&self, pending: &PendingRequest) -> FetchPolicy {
        let fraction = if pending.last_fetch_failed() { REFETCH_FRACTION } else { 1.0 };
        if self.fetch_limit.is_reached(fraction, pending.random) {
            FetchPolicy::CachedOnly
        } else {
            FetchPolicy::Allowed
        }
    }

    /// Applies admission control to a new request. Returns the `Retry-After` of a rejected request, or `None`
    /// if the request is admitted or not new.
    ///
    /// A fleet that is overloaded as a whole recovers only if enough requests are rejected before they are
    /// sent, and if all nodes reject the same keys: a rejected client sends its request to another node at
    /// once, which would otherwise admit it.
    fn admission_retry_after(&mut self, now: Timestamp, pending: &PendingRequest) -> Option<Duration> {
        // A queued request has no attempts either, but was already admitted when it arrived.
        let is_new = pending.attempts.is_empty() && pending.arrived_at == now;
        if !is_new || now >= pending.request.deadline {
            return None;
        }
        let class = pending.class_index;
        let random = shared_random(now, placement_key(&pending.request), class);
        let mean_latencies = self.request_costs.mean_latencies();
        if self.admission.admits(now, class, &self.settings.classes, mean_latencies, random) {
            return None;
        }
        // No other node admits the request in this period either, unless that node's level rises.
        Some(time_to_next_period(now).min(pending.settings.max_retry_after))
    }

    /// Queues a request until there is capacity, as long as an answer within its latency objective is
    /// possible. Otherwise rejects or fails it.
    fn queue_or_reject_or_fail(
        &mut self,
        now: Timestamp,
        pending: PendingRequest,
        actions: &mut Vec<Action>,
    ) {
        let times = QueueTimes {
            arrived_at: pending.arrived_at,
            deadline: pending.request.deadline,
            latency_objective: pending.class().latency_objective,
            mean_latency: self.request_costs.mean_latency(pending.class_index),
        };
        let has_servers = || self.servers.iter().any(|server| server.is_ready_cache(&self.settings));
        match times.next_try(now).filter(|_| pending.attempts.is_empty() && has_servers()) {
            Some(next_try) => {
                self.queue.insert(next_try, pending.request.id.clone());
                self.store(pending);
            }
            None => self.reject_or_fail(now, pending, actions),
        }
    }

    fn send(&mut self, now: Timestamp, index: usize, mut pending: PendingRequest, actions: &mut Vec<Action>) {
        let is_cached = self.is_cached(&pending.request);
        let probable_miss = self.selector(now).is_probable_miss(&pending.request, &self.servers[index]);
        self.fetch_limit.on_send(probable_miss);
        let server = &mut self.servers[index];
        let is_warming_up = is_warming_up(&server.endpoint, &self.settings, now);
        server.warm_up_sends.on_send(is_warming_up, self.settings.slow_start_overload_window, now);
        server.concurrency.on_send();
        let epochs = server.outlier_detection.on_send(pending.class_index, now);
        let origin_epoch = self.origin_breaker.on_send(is_cached, now);
        let endpoint = server.endpoint.clone();
        let action = Action::StartAttempt {
            id: pending.request.id.clone(),
            server: endpoint.id.clone(),
            timeout: pending.request.deadline.since(now),
            // The connection may be established much later than now.
            start_within: pending.retry_window_end().map(|end| end.since(now)),
        };
        pending.attempts.push(Attempt {
            endpoint,
            sent_at: now,
            epochs,
            origin_epoch,
            probable_miss,
            status: None,
        });
        actions.push(action);
        self.store(pending);
    }

    /// Answers a request that is not sent again, because the retry budget is spent, the deadline has passed,
    /// the origin's breaker is open, its attempts are used up, or no server may or can serve it in time. The
    /// request is rejected if the client may safely retry it before the deadline, and fails otherwise.
    fn reject_or_fail(&mut self, now: Timestamp, pending: PendingRequest, actions: &mut Vec<Action>) {
        if pending.is_safe_to_reject() && now < pending.request.deadline {
            let max = pending.settings.max_retry_after;
            let retry_after = retry_after(self.origin_state(), pending.class(), max, now);
            actions.push(Action::Reject { id: pending.request.id, retry_after });
        } else {
            actions.push(Action::Fail { id: pending.request.id });
        }
    }

    /// Returns the state of the origin's circuit breaker: the breaker of the origin's endpoint if the origin
    /// is an endpoint, and otherwise the breaker for fetches.
    fn origin_state(&self) -> BreakerState {
        let origin = self.servers.iter().find(|server| server.is_origin(&self.settings));
        origin.map_or(self.origin_breaker.state(), |origin| origin.outlier_detection.server_state())
    }
}
