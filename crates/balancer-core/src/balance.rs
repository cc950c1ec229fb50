//! The balancing policy: which server a request goes to, when it is sent again, and when it is refused. Its
//! interface, the types in and out, is `src/api.rs`; each part of the policy has a file in `balance/`.

mod breaker;
mod dispatch;
mod fetches;
mod learned_state;
mod outcome;
mod request;
mod selection;
mod servers;
mod slow_start;

use crate::admission::AdmissionController;
use crate::api::*;
use crate::hashing::*;
use crate::hot_keys::HotKeys;
use crate::recent::{OutcomeCount, RecentSet};
use breaker::*;
use dispatch::BUDGET_MAX;
use fetches::*;
use outcome::PACE_SPAN;
use request::*;
use servers::*;
use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

/// Limit of requests in flight at a server: its start for all nodes together, and its least.
const LIMIT_START: f64 = 16.0;
const LIMIT_MIN: f64 = 0.05;
const FOLLOW_AGAIN: Duration = Duration::from_secs(1);
/// Most keys whose last answer is remembered.
const KEYS_MAX: usize = 4096;
/// Time constant by which rates of outcomes decay.
const RATE_SPAN: Duration = Duration::from_secs(2);

/// Decides for one node. It has no clock and does no I/O: equal events give equal actions.
#[derive(Debug)]
pub struct Balancer {
    settings: Arc<Settings>,
    seed: u64,
    /// Requests so far; each has a random number by its place among them.
    requests_seen: u64,
    list_received: bool,
    /// Sorted by id. Draining servers stay until discovery removes them.
    servers: Vec<Server>,
    kinds: Vec<ServerKind>,
    /// Looked up by id, since its order differs from run to run; walked only where each is changed by itself.
    pending: HashMap<RequestId, PendingRequest>,
    /// Requests that wait for room, by the time of their next try.
    queued: BTreeSet<(Timestamp, RequestId)>,
    timer_at: Option<Timestamp>,
    follow_at: Option<Timestamp>,
    retry_budget: f64,
    /// Where a server's limit of requests in flight starts at this node.
    limit_start: f64,
    /// By class: what its answers take of late, in seconds.
    mean_latency: Vec<f64>,
    /// Forecast work of late, in seconds.
    mean_work: f64,
    /// The breaker of what servers fetch misses from, where they tell of misses.
    origin: Breaker,
    /// By key: whether the last answer to it here came from the server's cache. Never walked.
    cached_keys: HashMap<u64, bool>,
    hot_keys: HotKeys,
    /// Where servers do not report misses: marks of what they answered of late, by key and incarnation, which
    /// tell likely misses, and how many of these may be in flight.
    cache_marks: RecentSet,
    fetch_limit: FetchLimit,
    /// Answers that show no queue, over about `RATE_SPAN`.
    prompt_answers: f64,
    /// To what time the rates have decayed.
    decayed_at: Timestamp,
    admission: AdmissionController,
}

impl Balancer {
    /// A balancer that knows no server yet. `seed` should differ between nodes.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let (settings, limit_start) = completed(settings);
        Self {
            mean_latency: settings
                .classes
                .iter()
                .map(|class| class.latency_objective.as_secs_f64())
                .collect(),
            settings,
            seed,
            requests_seen: 0,
            list_received: false,
            servers: Vec::new(),
            kinds: Vec::new(),
            pending: HashMap::new(),
            queued: BTreeSet::new(),
            timer_at: None,
            follow_at: Some(Timestamp::default()),
            retry_budget: BUDGET_MAX,
            limit_start,
            mean_work: 0.0,
            origin: Breaker::new(WINDOW, Timestamp::default()),
            cached_keys: HashMap::new(),
            hot_keys: HotKeys::default(),
            cache_marks: RecentSet::default(),
            fetch_limit: FetchLimit::default(),
            prompt_answers: 0.0,
            decayed_at: Timestamp::default(),
            admission: AdmissionController::default(),
        }
    }

    /// Takes in what happened at `now` and appends what the node must do.
    pub fn handle(&mut self, now: Timestamp, event: Event, actions: &mut Vec<Action>) {
        self.decay(now);
        match event {
            Event::EndpointsRestored(list) | Event::EndpointsUpdated(EndpointUpdate::Snapshot(list)) => {
                self.apply_list(now, &list, true)
            }
            Event::EndpointsUpdated(EndpointUpdate::Delta(list)) => self.apply_list(now, &list, false),
            // Asked for again after a while: discovery that fails is loaded enough.
            Event::EndpointsUpdated(EndpointUpdate::Unavailable) => self.follow_at = Some(now + FOLLOW_AGAIN),
            Event::Request(request) => self.on_request(now, request, actions),
            Event::AttemptEnded(outcome) => self.on_outcome(now, &outcome, actions),
            Event::RequestCancelled(id) => self.pending.get_mut(&id).into_iter().for_each(|p| p.done = true),
            Event::StateRestored(known) => self.recall(now, &known),
            Event::Reconfigured(settings) => self.reconfigure(now, *settings),
            Event::TimerExpired => self.timer_at = None,
            Event::ResponseStarted { .. } | Event::HealthCheckEnded { .. } => {}
        }
        if self.settings.discovery_is_polled && self.follow_at.is_some_and(|at| now >= at) {
            self.follow_at = None;
            actions.push(Action::SubscribeToEndpoints);
        }
        while self.queued.first().is_some_and(|(at, _)| *at <= now) {
            if let Some(pending) = self.queued.pop_first().and_then(|(_, id)| self.pending.remove(&id)) {
                self.decide(now, pending, actions);
            }
        }
        self.set_timer(now, actions);
    }

    fn decay(&mut self, now: Timestamp) {
        let factor = (-now.since(self.decayed_at).as_secs_f64() / RATE_SPAN.as_secs_f64()).exp();
        self.decayed_at = now;
        self.prompt_answers *= factor;
        self.fetch_limit.decay(factor);
        self.cache_marks.rotate(now, MARK_SPAN, KEYS_MAX);
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
            arrived: now,
            done: false,
            request,
        };
        self.decide(now, pending, actions);
    }

    /// Asks for a timer event where something falls due before the one that is to come.
    fn set_timer(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        let queued = self.queued.first().map(|(at, _)| *at);
        let follow = self.follow_at.filter(|_| self.settings.discovery_is_polled);
        let next = queued.into_iter().chain(follow).min();
        if let Some(at) = next.filter(|at| self.timer_at.is_none_or(|timer_at| *at < timer_at)) {
            self.timer_at = Some(at);
            actions.push(Action::SetTimer { after: at.since(now) });
        }
    }

    /// What is known of servers lives on, and what is counted by class with the class's name.
    fn reconfigure(&mut self, now: Timestamp, settings: Settings) {
        let (settings, limit_start) = completed(settings);
        let before = std::mem::replace(&mut self.settings, settings);
        let limit_factor = limit_start / std::mem::replace(&mut self.limit_start, limit_start);
        let former = |class: &RequestClass| before.classes.iter().position(|other| other.name == class.name);
        let former: Vec<_> = self.settings.classes.iter().map(former).collect();
        self.reassign_classes(now, &former);
        // A node of twice as many has half of the work to do.
        for server in &mut self.servers {
            server.limit = (server.limit * limit_factor).max(LIMIT_MIN);
        }
        if self.settings.discovery_is_polled && !before.discovery_is_polled {
            self.follow_at = Some(now);
        }
    }

    /// Moves what is counted by class to the present classes. `former` has the position that each of them had
    /// before, if it was there.
    fn reassign_classes(&mut self, now: Timestamp, former: &[Option<usize>]) {
        let mean_latency = |(class, former): (&RequestClass, &Option<usize>)| {
            former.map_or(class.latency_objective.as_secs_f64(), |i| self.mean_latency[i])
        };
        self.mean_latency = self.settings.classes.iter().zip(former).map(mean_latency).collect();
        self.admission.reassign_classes(former);
        for server in &mut self.servers {
            let mut breakers: Vec<_> = std::mem::take(&mut server.by_class).into_iter().map(Some).collect();
            let breaker = |former: &Option<usize>| {
                former.and_then(|i| breakers[i].take()).unwrap_or_else(|| Breaker::new(CLASS_WINDOW, now))
            };
            server.by_class = former.iter().map(breaker).collect();
        }
        for pending in self.pending.values_mut() {
            match former.iter().position(|former| *former == Some(pending.class_index)) {
                Some(present) => pending.class_index = present,
                None => {
                    pending.class_index = former.len() - 1;
                    pending.attempts.iter_mut().for_each(|attempt| attempt.epochs.class = IGNORED_EPOCH);
                }
            }
        }
    }
}

/// Settings with a last class for requests of none, the most careful one; and where limits start under them.
fn completed(mut settings: Settings) -> (Arc<Settings>, f64) {
    settings.classes.push(RequestClass::default());
    let limit_start = (LIMIT_START / f64::from(settings.nodes.max(1))).max(1.0);
    (Arc::new(settings), limit_start)
}
