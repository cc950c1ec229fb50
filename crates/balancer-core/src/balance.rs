//! The balancing policy: which server a request goes to, when it is retried, and when it is rejected. The
//! types of its interface are in `src/api.rs`.
//!
//! Each rule is a type with its own state, in a file of its own in `balance/`; [`Balancer`] wires them
//! together:
//!
//! - where a request goes: `rendezvous` (weighted rendezvous hashing), [`hot_keys`](crate::hot_keys)
//!   (replicas of hot keys), `servers` and `server_kinds` (capacity), `slow_start`, `selection`;
//! - how much a server is sent: `concurrency_limit`, `circuit_breaker` and `outlier_detection` (ejection);
//! - what the origin is sent: `cached_keys`, `fetch_limit`, `origin_breaker`;
//! - what is sent at all: [`admission`](crate::admission), `retry_budget`, `queue`, `retry_after`, `dispatch`
//!   (the wiring);
//! - what a result is evidence of: `assessment`, `request_costs`, `attempt_results` (the wiring);
//! - what a successor restores: `learned_state`.

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

/// Time after which discovery is subscribed to again when it could not be reached: while it fails, it has
/// load enough.
const RESUBSCRIBE_DELAY: Duration = Duration::from_secs(1);
/// Time constant with which counts of attempts decay.
const RATE_TIME_CONSTANT: Duration = Duration::from_secs(2);

/// Decides for one node. It has no clock and does no I/O: equal events give equal actions.
#[derive(Debug)]
pub struct Balancer {
    /// With a last class for requests of no class; see [`with_unnamed_class`].
    settings: Arc<Settings>,
    seed: u64,
    /// Number of requests so far. Each has a random number by its place among them.
    requests_seen: u64,
    servers: ServerList,
    /// Where the concurrency limits of servers start at this node.
    initial_limit: f64,
    /// Looked up by id, since its order differs from run to run; iterated only where each is changed by
    /// itself.
    pending: HashMap<RequestId, PendingRequest>,
    queue: RequestQueue,
    /// Time of the next [`Event::TimerExpired`], if one is to come.
    timer_at: Option<Timestamp>,
    /// When to subscribe to the endpoint list, where discovery is polled.
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
    /// A balancer that knows no server yet. `seed` should differ between nodes.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let settings = with_unnamed_class(settings);
        Self {
            request_costs: RequestCosts::new(&settings.classes),
            initial_limit: initial_limit(settings.nodes),
            settings,
            seed,
            requests_seen: 0,
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

    /// Takes in what happened at `now`, and appends what the node must do.
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

    /// Scales the counts that decay with time.
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
        self.requests_seen += 1;
        if let Some(key) = request.key {
            self.hot_keys.record(now, key);
        }
        let pending = PendingRequest {
            settings: self.settings.clone(),
            class_index: class_index(&self.settings, &request),
            attempts: Vec::new(),
            random: unit_interval(mix(self.seed ^ self.requests_seen)),
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

    /// Sets a timer where something falls due before the one that is set.
    fn set_timer(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        let subscribe_at = self.subscribe_at.filter(|_| self.settings.discovery_is_polled);
        let next = self.queue.next_try().into_iter().chain(subscribe_at).min();
        if let Some(at) = next.filter(|at| self.timer_at.is_none_or(|timer_at| *at < timer_at)) {
            self.timer_at = Some(at);
            actions.push(Action::SetTimer { after: at.since(now) });
        }
    }

    /// Applies new settings. What is known of servers stays, and what is counted by class stays with the
    /// class of that name.
    fn reconfigure(&mut self, now: Timestamp, settings: Settings) {
        let before = std::mem::replace(&mut self.settings, with_unnamed_class(settings));
        let former = |class: &RequestClass| before.classes.iter().position(|other| other.name == class.name);
        let former: Vec<_> = self.settings.classes.iter().map(former).collect();
        self.reassign_classes(now, &former);
        let initial_limit = initial_limit(self.settings.nodes);
        let factor = initial_limit / std::mem::replace(&mut self.initial_limit, initial_limit);
        self.servers.iter_mut().for_each(|server| server.concurrency.scale(factor));
        if self.settings.discovery_is_polled && !before.discovery_is_polled {
            self.subscribe_at = Some(now);
        }
    }

    /// Moves what is counted by class to the present classes. `former` has the position that each of them had
    /// before, if it was there.
    fn reassign_classes(&mut self, now: Timestamp, former: &[Option<usize>]) {
        self.request_costs.reassign_classes(&self.settings.classes, former);
        self.admission.reassign_classes(former);
        for server in self.servers.iter_mut() {
            server.outlier_detection.reassign_classes(former, now);
        }
        let unnamed = former.len() - 1;
        for pending in self.pending.values_mut() {
            match former.iter().position(|former| *former == Some(pending.class_index)) {
                Some(present) => pending.class_index = present,
                None => {
                    // Its class is gone. The unnamed class must not be blamed for its attempts.
                    pending.class_index = unnamed;
                    pending.attempts.iter_mut().for_each(|attempt| attempt.epochs.class = IGNORED_EPOCH);
                }
            }
        }
    }
}

/// Settings with a last class for requests of no class: the most careful one.
fn with_unnamed_class(mut settings: Settings) -> Arc<Settings> {
    settings.classes.push(RequestClass::default());
    Arc::new(settings)
}

/// One node's part of what all nodes may do together.
fn per_node(of_all_nodes: f64, nodes: u32) -> f64 {
    of_all_nodes / f64::from(nodes.max(1))
}
