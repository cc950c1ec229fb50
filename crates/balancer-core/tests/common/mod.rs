//! A simulated node around a `Balancer`. It records the effects of the actions and checks rules 1 to 3.
//!
//! - Rule 1: each request gets exactly one final answer in time.
//! - Rule 2: no request has its effect twice.
//! - Rule 3: no new requests are sent to a server that is draining or removed.
//!
//! Rule 4, the budget of warming servers, is checked by the tests of slow start.

#![allow(dead_code, reason = "each test file compiles this module separately and uses a part of it")]

use balancer_core::*;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Returns a duration of `n` milliseconds.
pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// An attempt that the balancer has started.
pub struct SentAttempt {
    /// List entry of the server at the time the attempt was sent.
    pub endpoint: Endpoint,
    pub sent_at: Timestamp,
    pub times_out_at: Timestamp,
    /// How the attempt ended; `None` while it is in flight.
    pub status: Option<AttemptStatus>,
}

/// A request that was sent to the balancer.
pub struct TrackedRequest {
    pub request: Request,
    /// Settings at the arrival of the request. The rules are checked against these settings.
    pub settings: Settings,
    pub attempts: Vec<SentAttempt>,
    /// Whether the request has its final answer or its client has gone.
    pub finished: bool,
}

impl TrackedRequest {
    fn class(&self) -> RequestClass {
        self.request.class.map_or_else(RequestClass::default, |id| self.settings.classes[id.0].clone())
    }

    /// Returns whether the request may be sent again to any server, regardless of the results of earlier
    /// attempts.
    fn is_safe_everywhere(&self) -> bool {
        matches!(
            self.class().idempotency,
            Idempotency::Idempotent | Idempotency::WithKey { scope: DeduplicationScope::All, .. }
        )
    }

    /// Checks that an attempt at this server, sent now and started within `start_within`, has no second
    /// effect.
    fn check_effect_once(&self, now: Timestamp, endpoint: &Endpoint, start_within: Option<Duration>) {
        let idempotency = self.class().idempotency;
        for earlier in self.attempts.iter().filter(|attempt| may_have_run(attempt)) {
            match idempotency {
                Idempotency::Idempotent => {}
                Idempotency::NotIdempotent => {
                    panic!("rule 2: a request that is not idempotent was sent again")
                }
                Idempotency::WithKey { scope, window } => {
                    assert!(now < earlier.sent_at + window, "rule 2: a retry was sent after its window");
                    let latest_start = now + start_within.expect("a retry has a latest start");
                    assert!(
                        latest_start <= earlier.sent_at + window,
                        "rule 2: a retry may start after its window"
                    );
                    assert!(
                        is_in_scope(scope, &earlier.endpoint, endpoint),
                        "rule 2: a retry was sent outside its scope"
                    );
                }
            }
        }
    }
}

fn is_in_scope(scope: DeduplicationScope, earlier: &Endpoint, endpoint: &Endpoint) -> bool {
    match scope {
        DeduplicationScope::All => true,
        DeduplicationScope::Zone => earlier.zone == endpoint.zone,
        DeduplicationScope::Cell => earlier.cell == endpoint.cell,
    }
}

/// A node with its balancer, its clock and records of requests and actions.
pub struct Node {
    pub balancer: Balancer,
    pub settings: Settings,
    pub now: Timestamp,
    /// The endpoint list, including servers that were removed by a delta.
    pub endpoints: BTreeMap<ServerId, Endpoint>,
    pub requests: BTreeMap<RequestId, TrackedRequest>,
    pub timers: BTreeSet<Timestamp>,
    /// All actions so far.
    pub actions: Vec<Action>,
    /// Load that servers report with each answer.
    pub load: LoadReport,
    request_count: u32,
}

impl Node {
    pub fn new(settings: Settings, seed: u64) -> Self {
        let balancer = Balancer::new(settings.clone(), seed);
        let now = Timestamp::from_micros(3_000_000_000);
        Self {
            balancer,
            settings,
            now,
            endpoints: BTreeMap::new(),
            requests: BTreeMap::new(),
            timers: BTreeSet::new(),
            actions: Vec::new(),
            load: LoadReport::default(),
            request_count: 0,
        }
    }

    /// Returns a node with `count` warm servers, named a, b, c and so on, and seed 1.
    pub fn with_servers(settings: Settings, count: u8) -> Self {
        Self::with_seed_and_servers(settings, 1, count)
    }

    /// Returns a node with `count` warm servers and the given seed.
    pub fn with_seed_and_servers(settings: Settings, seed: u64, count: u8) -> Self {
        let mut node = Self::new(settings, seed);
        let endpoints = (0..count).map(|i| Endpoint::new(&char::from(b'a' + i).to_string()));
        node.apply_snapshot(endpoints.collect());
        node
    }

    /// Passes a complete endpoint list from discovery to the balancer.
    pub fn apply_snapshot(&mut self, endpoints: Vec<Endpoint>) {
        self.endpoints.clear();
        self.record_endpoints(&endpoints);
        self.handle(Event::EndpointsUpdated(EndpointUpdate::Snapshot(endpoints.into())));
    }

    /// Passes changes of the endpoint list from discovery to the balancer.
    pub fn apply_delta(&mut self, endpoints: Vec<Endpoint>) {
        self.record_endpoints(&endpoints);
        self.handle(Event::EndpointsUpdated(EndpointUpdate::Delta(endpoints.into())));
    }

    fn record_endpoints(&mut self, endpoints: &[Endpoint]) {
        let by_id = endpoints.iter().map(|endpoint| (endpoint.id.clone(), endpoint.clone()));
        self.endpoints.extend(by_id);
    }

    /// Changes the settings.
    pub fn reconfigure(&mut self, settings: Settings) {
        self.settings = settings.clone();
        self.handle(Event::Reconfigured(Box::new(settings)));
    }

    /// Passes an event to the balancer, applies its actions and returns them.
    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        for action in &actions {
            self.apply(action);
        }
        self.actions.extend(actions.iter().cloned());
        actions
    }

    fn apply(&mut self, action: &Action) {
        match action {
            Action::StartAttempt { id, server, timeout, start_within } => {
                self.start_attempt(id, server, *timeout, *start_within);
            }
            Action::Reject { id, .. } => {
                let request = self.finish(id);
                let may_have_run = request.attempts.iter().any(may_have_run);
                assert!(
                    request.is_safe_everywhere() || !may_have_run,
                    "rule 2: a request was rejected that may have run"
                );
            }
            Action::Fail { id } => {
                self.finish(id);
            }
            Action::SetTimer { after } => {
                self.timers.insert(self.now + (*after).max(Duration::from_micros(1)));
            }
            Action::CancelAttempt { id, attempt } => {
                let sent = self.requests[id].attempts.len();
                assert!(sent > *attempt as usize, "an attempt was cancelled that was never sent");
            }
            Action::CheckHealth { .. }
            | Action::CloseIdleConnections { .. }
            | Action::SubscribeToEndpoints
            | Action::Log(_) => {}
        }
    }

    fn start_attempt(
        &mut self,
        id: &RequestId,
        server: &ServerId,
        timeout: Duration,
        start_within: Option<Duration>,
    ) {
        let now = self.now;
        let endpoint = self.endpoints.get(server).expect("attempts are only sent to listed servers").clone();
        assert_eq!(endpoint.state, EndpointState::Ready, "rule 3: an attempt was sent to {server}");
        let request = self.requests.get_mut(id).expect("attempts are only sent for known requests");
        assert!(!request.finished, "rule 1: an attempt was sent for a finished request");
        let settings = &request.settings;
        assert!(
            request.attempts.len() < settings.max_attempts as usize,
            "more attempts than the settings allow"
        );
        let in_flight = request.attempts.iter().filter(|attempt| attempt.status.is_none()).count();
        let hedged = settings.hedging_allowed && in_flight == 1;
        assert!(in_flight == 0 || hedged, "too many attempts of a request are in flight");
        request.check_effect_once(now, &endpoint, start_within);
        let times_out_at = (now + timeout).min(request.request.deadline);
        request.attempts.push(SentAttempt { endpoint, sent_at: now, times_out_at, status: None });
    }

    /// Records the final answer to a request.
    fn finish(&mut self, id: &RequestId) -> &TrackedRequest {
        let request = self.requests.get_mut(id).expect("final answers are only given to known requests");
        assert!(!request.finished, "rule 1: a second final answer was given");
        request.finished = true;
        request
    }

    /// Sends a client request with this class index, key and time to its deadline. Returns its id.
    pub fn request(&mut self, class: usize, key: u64, time_to_deadline: Duration) -> RequestId {
        self.request_count += 1;
        let request = Request::new(&format!("r{}", self.request_count), self.now + time_to_deadline);
        self.submit(Request { class: Some(ClassId(class)), key: Some(key), ..request })
    }

    /// Sends this client request. Returns its id.
    pub fn submit(&mut self, request: Request) -> RequestId {
        let id = request.id.clone();
        let settings = self.settings.clone();
        let tracked =
            TrackedRequest { request: request.clone(), settings, attempts: Vec::new(), finished: false };
        self.requests.insert(id.clone(), tracked);
        self.handle(Event::Request(request));
        id
    }

    /// Returns the number and server of the request's first attempt in flight, if there is one.
    pub fn in_flight(&self, id: &RequestId) -> Option<(u32, ServerId)> {
        let attempts = &self.requests[id].attempts;
        let number = attempts.iter().position(|attempt| attempt.status.is_none())?;
        Some((number as u32, attempts[number].endpoint.id.clone()))
    }

    /// Returns the requests that have an attempt in flight.
    pub fn ids_in_flight(&self) -> Vec<RequestId> {
        self.requests.keys().filter(|id| self.in_flight(id).is_some()).cloned().collect()
    }

    /// Ends an attempt with this status.
    pub fn end_attempt(&mut self, id: &RequestId, attempt: u32, status: AttemptStatus) -> Vec<Action> {
        self.end_attempt_with(id, attempt, status, None)
    }

    /// Ends an attempt with this status and cache result.
    pub fn end_attempt_with(
        &mut self,
        id: &RequestId,
        attempt: u32,
        status: AttemptStatus,
        cache_result: Option<CacheResult>,
    ) -> Vec<Action> {
        let now = self.now;
        let request = self.requests.get_mut(id).expect("a known request");
        let sent = &mut request.attempts[attempt as usize];
        sent.status = Some(status);
        let (server, elapsed) = (sent.endpoint.id.clone(), now.since(sent.sent_at));
        request.finished |= status == AttemptStatus::Ok;
        let (request_finished, load) = (request.finished, self.load);
        self.handle(Event::AttemptEnded(AttemptOutcome {
            id: id.clone(),
            attempt,
            server,
            status,
            cache_result,
            elapsed,
            request_finished,
            load,
        }))
    }

    /// Ends the attempt in flight with this status.
    pub fn answer(&mut self, id: &RequestId, status: AttemptStatus) -> Vec<Action> {
        let (attempt, _) = self.in_flight(id).expect("an attempt in flight");
        self.end_attempt(id, attempt, status)
    }

    /// Sends a read of `key`. The first server answers with `status`; if the request is retried, the next
    /// server serves it. Returns the first server, or `None` if the request was not sent.
    pub fn call(&mut self, key: u64, status: AttemptStatus) -> Option<ServerId> {
        let id = self.request(0, key, ms(400));
        let (attempt, server) = self.in_flight(&id)?;
        self.end_attempt(&id, attempt, status);
        if !self.requests[&id].finished {
            self.answer(&id, AttemptStatus::Ok);
        }
        Some(server)
    }

    /// Advances the clock by `time`. Timers expire and attempts time out when due.
    pub fn advance(&mut self, time: Duration) {
        let end = self.now + time;
        loop {
            let attempts = self.requests.iter().flat_map(|(id, request)| {
                let in_flight = request.attempts.iter().enumerate().filter(|(_, sent)| sent.status.is_none());
                in_flight.map(move |(i, sent)| (sent.times_out_at, Some((id.clone(), i as u32))))
            });
            let timer = self.timers.first().map(|&at| (at, None));
            let Some((at, attempt)) = attempts.chain(timer).min().filter(|(at, _)| *at <= end) else { break };
            self.now = self.now.max(at);
            match attempt {
                Some((id, attempt)) => {
                    self.end_attempt(&id, attempt, AttemptStatus::TimedOut);
                }
                None => {
                    self.timers.remove(&at);
                    self.handle(Event::TimerExpired);
                }
            }
        }
        self.now = end;
        self.check_deadlines();
    }

    /// Checks that no request is without a final answer after its deadline.
    pub fn check_deadlines(&self) {
        for (id, request) in &self.requests {
            let overdue = !request.finished && self.now > request.request.deadline;
            assert!(!overdue, "rule 1: {id} has no final answer in time");
        }
    }
}

fn may_have_run(sent: &SentAttempt) -> bool {
    !sent.status.is_some_and(AttemptStatus::never_ran)
}

/// Returns settings with three classes with a latency objective of 150 ms: read (idempotent), keyed (with an
/// idempotency key that is valid for one second) and unsafe (not idempotent).
pub fn settings() -> Settings {
    let class = |name: &str, idempotency| RequestClass {
        name: name.into(),
        idempotency,
        latency_objective: ms(150),
        deadline: ms(400),
        priority_weight: 1.0,
        late_weight_fraction: 0.3,
    };
    let keyed = Idempotency::WithKey { scope: DeduplicationScope::All, window: ms(1000) };
    Settings {
        classes: vec![
            class("read", Idempotency::Idempotent),
            class("keyed", keyed),
            class("unsafe", Idempotency::NotIdempotent),
        ],
        max_attempts: 6,
        hedging_allowed: true,
        cancellation_allowed: true,
        max_retry_after: ms(1000),
        ..Settings::default()
    }
}

/// Returns the settings of a fleet in cache-aside mode, whose balancers fetch misses, and its origin.
pub fn aside() -> (Settings, Endpoint) {
    let mode = CacheMode::Aside { origin_kind: "origin".into() };
    let origin = Endpoint { kind: Some("origin".into()), ..Endpoint::new("zz-origin") };
    (Settings { mode, ..settings() }, origin)
}
