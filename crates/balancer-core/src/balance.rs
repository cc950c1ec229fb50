//! The balancing policy: which server a request goes to, when it is retried, and when it is rejected. The
//! types of its interface are in `src/api.rs`.
//!
//! Each rule is a type with its own state, in its own file in `balance/`. [`Balancer`] connects them:
//!
//! - server selection: `rendezvous` (weighted rendezvous hashing), [`hot_keys`](crate::hot_keys) (replicas of
//!   hot keys), `servers` and `server_kinds` (capacity), `slow_start`, `selection`;
//! - load on a single server: `concurrency_limit`, `circuit_breaker` and `outlier_detection` (ejection);
//! - load on the origin: `cached_keys`, `fetch_limit`, `origin_breaker`;
//! - load on the fleet: [`admission`](crate::admission), `retry_budget`, `queue`, `retry_after`, and
//!   `dispatch`, which applies the rules to a request;
//! - evaluation of results: `assessment`, `request_costs`, and `attempt_results`, which passes a result to
//!   the rules;
//! - state for a successor process: `learned_state`.

mod assessment;
mod attempt_results;
mod cached_keys;
mod circuit_breaker;
mod concurrency_limit;
mod dispatch;
mod fetch_limit;
mod learned_state;
mod origin_breaker;
mod outlier_detection;
mod queue;
mod rendezvous;
mod request;
mod request_costs;
mod retry_after;
mod retry_budget;
mod selection;
mod server_kinds;
mod servers;
mod slow_start;

use crate::admission::AdmissionController;
use crate::decay::ExponentialDecay;
use crate::endpoints::EndpointUpdate;
use crate::events::{Action, Event};
use crate::hashing::{mix, unit_interval};
use crate::hot_keys::HotKeys;
use crate::names::RequestId;
use crate::requests::Request;
use crate::settings::{RequestClass, Settings};
use crate::time::Timestamp;
use cached_keys::{CacheMarks, CachedKeys};
use circuit_breaker::IGNORED_EPOCH;
use concurrency_limit::initial_limit;
use fetch_limit::FetchLimit;
use origin_breaker::OriginBreaker;
use queue::RequestQueue;
use request::{class_index, PendingRequest};
use request_costs::RequestCosts;
use retry_budget::RetryBudget;
use servers::ServerList;
use slow_start::SlowStart;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// Delay before subscribing to the endpoint list again after discovery was unavailable, so that retries do
/// not add to the load of a failing discovery.
const RESUBSCRIBE_DELAY: Duration = Duration::from_secs(1);
/// Time constant of the exponential decay of attempt counts.
const RATE_TIME_CONSTANT: Duration = Duration::from_secs(2);

/// Makes the balancing decisions of one node. It reads no clock and does no I/O, so equal events give equal
/// actions.
#[derive(Debug)]
pub struct Balancer {
    /// The last class is for requests without a class; see [`with_unnamed_class`].
    settings: Arc<Settings>,
    seed: u64,
    /// Number of requests so far, from which the random number of each request is derived.
    request_count: u64,
    servers: ServerList,
    /// Initial concurrency limit of each server at this node.
    initial_limit: f64,
    /// Requests that are queued or have an attempt in flight. The iteration order differs between runs, so
    /// the map is iterated only to change each entry independently.
    pending: HashMap<RequestId, PendingRequest>,
    queue: RequestQueue,
    /// Time of the next [`Event::TimerExpired`], if a timer is set.
    timer_at: Option<Timestamp>,
    /// Time of the next subscription to the endpoint list. Used only where discovery is polled.
    subscribe_at: Option<Timestamp>,
    retry_budget: RetryBudget,
    request_costs: RequestCosts,
    origin_breaker: OriginBreaker,
    cached_keys: CachedKeys,
    cache_marks: CacheMarks,
    hot_keys: HotKeys,
    fetch_limit: FetchLimit,
    slow_start: SlowStart,
    admission: AdmissionController,
    decay: ExponentialDecay,
}

impl Balancer {
    /// Creates a balancer without servers. `seed` should differ between nodes.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let settings = with_unnamed_class(settings);
        Self {
            request_costs: RequestCosts::new(&settings.classes),
            initial_limit: initial_limit(settings.nodes),
            settings,
            seed,
            request_count: 0,
            servers: ServerList::default(),
            pending: HashMap::new(),
            queue: RequestQueue::default(),
            timer_at: None,
            subscribe_at: Some(Timestamp::default()),
            retry_budget: RetryBudget::default(),
            origin_breaker: OriginBreaker::new(Timestamp::default()),
            cached_keys: CachedKeys::default(),
            cache_marks: CacheMarks::default(),
            hot_keys: HotKeys::default(),
            fetch_limit: FetchLimit::default(),
            slow_start: SlowStart::default(),
            admission: AdmissionController::default(),
            decay: ExponentialDecay::default(),
        }
    }

    /// Handles an event at `now` and appends the actions that the node must carry out.
    pub fn handle(&mut self, now: Timestamp, event: Event, actions: &mut Vec<Action>) {
        self.decay(now);
        match event {
            Event::EndpointsRestored(endpoints) => {
                self.servers.apply_snapshot(&endpoints, &self.settings, self.initial_limit, now);
            }
            Event::EndpointsUpdated(update) => self.on_endpoints_updated(now, update),
            Event::Request(request) => self.on_request(now, request, actions),
            Event::AttemptEnded(outcome) => self.on_attempt_ended(now, &outcome, actions),
            Event::RequestCancelled(id) => {
                if let Some(pending) = self.pending.get_mut(&id) {
                    pending.finished = true;
                }
            }
            Event::StateRestored(learned) => self.restore(now, &learned),
            Event::Reconfigured(settings) => self.reconfigure(now, *settings),
            Event::TimerExpired => self.timer_at = None,
            Event::ResponseStarted { .. } | Event::HealthCheckEnded { .. } => {}
        }
        self.subscribe_if_due(now, actions);
        while let Some(id) = self.queue.pop_due(now) {
            if let Some(pending) = self.pending.remove(&id) {
                self.dispatch(now, pending, actions);
            }
        }
        self.set_timer(now, actions);
    }

    /// Decays the counts of recent attempts and starts a new generation of cache marks if one is due.
    fn decay(&mut self, now: Timestamp) {
        let factor = self.decay.factor(now, RATE_TIME_CONSTANT);
        self.slow_start.decay(factor);
        self.fetch_limit.decay(factor);
        self.cache_marks.rotate(now);
    }

    fn on_endpoints_updated(&mut self, now: Timestamp, update: EndpointUpdate) {
        match update {
            EndpointUpdate::Snapshot(endpoints) => {
                self.servers.apply_snapshot(&endpoints, &self.settings, self.initial_limit, now);
            }
            EndpointUpdate::Delta(endpoints) => {
                self.servers.apply_delta(&endpoints, &self.settings, self.initial_limit, now);
            }
            EndpointUpdate::Unavailable => self.subscribe_at = Some(now + RESUBSCRIBE_DELAY),
        }
    }

    fn on_request(&mut self, now: Timestamp, request: Request, actions: &mut Vec<Action>) {
        self.request_count += 1;
        if let Some(key) = request.key {
            self.hot_keys.record(now, key);
        }
        let pending = PendingRequest {
            settings: self.settings.clone(),
            class_index: class_index(&self.settings, &request),
            attempts: Vec::new(),
            random: unit_interval(mix(self.seed ^ self.request_count)),
            arrived_at: now,
            finished: false,
            request,
        };
        self.dispatch(now, pending, actions);
    }

    fn subscribe_if_due(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        if self.settings.discovery_is_polled && self.subscribe_at.is_some_and(|at| now >= at) {
            self.subscribe_at = None;
            actions.push(Action::SubscribeToEndpoints);
        }
    }

    /// Sets a timer if a queued request or a subscription is due before the current timer.
    fn set_timer(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        let subscribe_at = self.subscribe_at.filter(|_| self.settings.discovery_is_polled);
        let next = self.queue.next_try().into_iter().chain(subscribe_at).min();
        if let Some(at) = next.filter(|at| self.timer_at.is_none_or(|timer_at| *at < timer_at)) {
            self.timer_at = Some(at);
            actions.push(Action::SetTimer { after: at.since(now) });
        }
    }

    /// Applies new settings. State about servers is kept, and state by class is carried over to the class of
    /// the same name.
    fn reconfigure(&mut self, now: Timestamp, settings: Settings) {
        let old_settings = std::mem::replace(&mut self.settings, with_unnamed_class(settings));
        let previous_index =
            |class: &RequestClass| old_settings.classes.iter().position(|other| other.name == class.name);
        let previous_indices: Vec<_> = self.settings.classes.iter().map(previous_index).collect();
        self.reassign_classes(now, &previous_indices);
        let initial_limit = initial_limit(self.settings.nodes);
        let factor = initial_limit / std::mem::replace(&mut self.initial_limit, initial_limit);
        self.servers.iter_mut().for_each(|server| server.concurrency.scale(factor));
        if self.settings.discovery_is_polled && !old_settings.discovery_is_polled {
            self.subscribe_at = Some(now);
        }
    }

    /// Maps state by class to the classes of new settings. `previous_indices` holds the previous index of
    /// each class, or `None` if the class was added.
    fn reassign_classes(&mut self, now: Timestamp, previous_indices: &[Option<usize>]) {
        self.request_costs.reassign_classes(&self.settings.classes, previous_indices);
        self.admission.reassign_classes(previous_indices);
        for server in self.servers.iter_mut() {
            server.outlier_detection.reassign_classes(previous_indices, now);
        }
        let unnamed_class = previous_indices.len() - 1;
        for pending in self.pending.values_mut() {
            match previous_indices.iter().position(|previous| *previous == Some(pending.class_index)) {
                Some(index) => pending.class_index = index,
                None => {
                    // The class of this request was removed. Results of its attempts must not count against
                    // the unnamed class.
                    pending.class_index = unnamed_class;
                    pending.attempts.iter_mut().for_each(|attempt| attempt.epochs.class = IGNORED_EPOCH);
                }
            }
        }
    }
}

/// Appends a class for requests without a class. Its settings are the most conservative ones.
fn with_unnamed_class(mut settings: Settings) -> Arc<Settings> {
    settings.classes.push(RequestClass::default());
    Arc::new(settings)
}

/// Returns one node's share of a total for all nodes.
fn per_node(fleet_total: f64, nodes: u32) -> f64 {
    fleet_total / f64::from(nodes.max(1))
}
