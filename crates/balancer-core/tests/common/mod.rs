//! A node around a `Balancer`: it carries the actions out on paper and checks the rules from outside.
#![allow(dead_code)]

use balancer_core::*;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

pub struct Sent {
    pub server: Endpoint,
    pub at: Timestamp,
    pub ends: Timestamp,
    pub status: Option<AttemptStatus>,
}

pub struct Open {
    pub request: Request,
    /// The settings that it was taken under, which judge it.
    pub settings: Settings,
    pub sent: Vec<Sent>,
    pub ended: bool,
}

impl Open {
    fn class(&self) -> RequestClass {
        self.request.class.map_or_else(RequestClass::default, |id| self.settings.classes[id.0].clone())
    }
}

pub struct Node {
    pub balancer: Balancer,
    pub settings: Settings,
    pub now: Timestamp,
    pub list: BTreeMap<ServerId, Endpoint>,
    pub requests: BTreeMap<RequestId, Open>,
    pub timers: BTreeSet<Timestamp>,
    pub trace: Vec<Action>,
    /// What servers report with each answer.
    pub load: LoadReport,
    count: u32,
}

impl Node {
    pub fn new(settings: Settings, seed: u64) -> Self {
        let balancer = Balancer::new(settings.clone(), seed);
        let now = Timestamp::from_micros(3_000_000_000);
        let (list, requests) = (BTreeMap::new(), BTreeMap::new());
        let (timers, trace, load) = (BTreeSet::new(), Vec::new(), LoadReport::default());
        Self { balancer, settings, now, list, requests, timers, trace, load, count: 0 }
    }

    /// A node that knows `n` warm servers, named a, b, c and so on.
    pub fn with_servers(settings: Settings, n: u8) -> Self {
        let mut node = Self::new(settings, 1);
        let entries = (0..n).map(|i| Endpoint::new(&char::from(b'a' + i).to_string()));
        node.full_list(entries.collect());
        node
    }

    pub fn full_list(&mut self, entries: Vec<Endpoint>) {
        self.list.clear();
        for entry in &entries {
            self.list.insert(entry.id.clone(), entry.clone());
        }
        self.feed(Event::EndpointsUpdated(EndpointUpdate::Snapshot(entries.into())));
    }

    pub fn changes(&mut self, entries: Vec<Endpoint>) {
        for entry in &entries {
            self.list.insert(entry.id.clone(), entry.clone());
        }
        self.feed(Event::EndpointsUpdated(EndpointUpdate::Delta(entries.into())));
    }

    pub fn reconfigure(&mut self, settings: Settings) {
        self.settings = settings.clone();
        self.feed(Event::Reconfigured(Box::new(settings)));
    }

    pub fn feed(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        for action in &actions {
            self.carry_out(action);
        }
        self.trace.extend(actions.iter().cloned());
        actions
    }

    fn carry_out(&mut self, action: &Action) {
        match action {
            Action::StartAttempt { id, server, timeout, start_within } => {
                let entry = self.list.get(server).expect("a send to a server no list has named").clone();
                assert_eq!(entry.state, EndpointState::Ready, "rule 3: a send to a leaving server");
                let now = self.now;
                let open = self.requests.get_mut(id).expect("a send for an unknown request");
                let (class, limits) = (open.class(), &open.settings);
                assert!(!open.ended, "rule 1: a send for an ended request");
                assert!(open.sent.len() < limits.max_attempts as usize, "more attempts than allowed");
                let out = open.sent.iter().filter(|sent| sent.status.is_none()).count();
                assert!(out == 0 || (limits.hedging_allowed && out == 1), "too many attempts out at once");
                for earlier in open.sent.iter().filter(|sent| may_have_run(sent)) {
                    match class.idempotency {
                        Idempotency::Idempotent => {}
                        Idempotency::NotIdempotent => panic!("rule 2: an unsafe request sent again"),
                        Idempotency::WithKey { scope, window } => {
                            assert!(now < earlier.at + window, "rule 2: sent again after its window");
                            let begin = now + start_within.expect("a repeat is told until when it may begin");
                            assert!(begin <= earlier.at + window, "rule 2: may begin after its window");
                            let near = match scope {
                                DeduplicationScope::All => true,
                                DeduplicationScope::Zone => earlier.server.zone == entry.zone,
                                DeduplicationScope::Cell => earlier.server.cell == entry.cell,
                            };
                            assert!(near, "rule 2: sent again outside its scope");
                        }
                    }
                }
                let ends = (now + *timeout).min(open.request.deadline);
                open.sent.push(Sent { server: entry, at: now, ends, status: None });
            }
            Action::Reject { id, .. } => {
                let open = self.requests.get_mut(id).expect("a refusal of an unknown request");
                let effect = open.class().idempotency;
                assert!(!open.ended, "rule 1: a second final answer");
                let all = matches!(
                    effect,
                    Idempotency::Idempotent | Idempotency::WithKey { scope: DeduplicationScope::All, .. }
                );
                assert!(all || !open.sent.iter().any(may_have_run), "rule 2: refused, yet it may have run");
                open.ended = true;
            }
            Action::Fail { id } => {
                let open = self.requests.get_mut(id).expect("a failure of an unknown request");
                assert!(!open.ended, "rule 1: a second final answer");
                open.ended = true;
            }
            Action::SetTimer { after } => {
                self.timers.insert(self.now + (*after).max(Duration::from_micros(1)));
            }
            Action::CancelAttempt { id, attempt } => {
                assert!(self.requests[id].sent.len() > *attempt as usize, "cancelled an attempt never made");
            }
            Action::CheckHealth { .. }
            | Action::CloseIdleConnections { .. }
            | Action::SubscribeToEndpoints
            | Action::Log(_) => {}
        }
    }

    /// A request of the class with this number, with this key, given up after `patience`.
    pub fn request(&mut self, class: usize, key: u64, patience: Duration) -> RequestId {
        self.count += 1;
        let request = Request::new(&format!("r{}", self.count), self.now + patience);
        self.submit(Request { class: Some(ClassId(class)), key: Some(key), ..request })
    }

    pub fn submit(&mut self, request: Request) -> RequestId {
        let id = request.id.clone();
        let settings = self.settings.clone();
        let open = Open { request: request.clone(), settings, sent: Vec::new(), ended: false };
        self.requests.insert(id.clone(), open);
        self.feed(Event::Request(request));
        id
    }

    /// The server of the request's attempt that is out, if one is.
    pub fn out(&self, id: &RequestId) -> Option<(u32, ServerId)> {
        let sent = &self.requests[id].sent;
        let at = sent.iter().position(|sent| sent.status.is_none())?;
        Some((at as u32, sent[at].server.id.clone()))
    }

    /// The requests that have an attempt out.
    pub fn all_out(&self) -> Vec<RequestId> {
        self.requests.keys().filter(|id| self.out(id).is_some()).cloned().collect()
    }

    pub fn end_attempt(&mut self, id: &RequestId, attempt: u32, status: AttemptStatus) -> Vec<Action> {
        self.end_attempt_noted(id, attempt, status, None)
    }

    pub fn end_attempt_noted(
        &mut self,
        id: &RequestId,
        attempt: u32,
        status: AttemptStatus,
        note: Option<CacheResult>,
    ) -> Vec<Action> {
        let now = self.now;
        let open = self.requests.get_mut(id).expect("known");
        let sent = &mut open.sent[attempt as usize];
        sent.status = Some(status);
        let (server, took) = (sent.server.id.clone(), now.since(sent.at));
        open.ended |= status == AttemptStatus::Ok;
        let (finished, load) = (open.ended, self.load);
        self.feed(Event::AttemptEnded(AttemptOutcome {
            id: id.clone(),
            attempt,
            server,
            status,
            cache_result: note,
            elapsed: took,
            request_finished: finished,
            load,
        }))
    }

    /// Ends the attempt that is out.
    pub fn answer(&mut self, id: &RequestId, status: AttemptStatus) -> Vec<Action> {
        let (attempt, _) = self.out(id).expect("an attempt out");
        self.end_attempt(id, attempt, status)
    }

    /// One read of `key`, answered with `status` by whichever server is asked first.
    pub fn call(&mut self, key: u64, status: AttemptStatus) -> Option<ServerId> {
        let id = self.request(0, key, ms(400));
        let (attempt, server) = self.out(&id)?;
        self.end_attempt(&id, attempt, status);
        if !self.requests[&id].ended {
            self.answer(&id, AttemptStatus::Ok);
        }
        Some(server)
    }

    /// Lets time pass: timers fire and attempts time out when due.
    pub fn pass(&mut self, time: Duration) {
        let end = self.now + time;
        loop {
            let attempts = self.requests.iter().flat_map(|(id, open)| {
                let out = open.sent.iter().enumerate().filter(|(_, sent)| sent.status.is_none());
                out.map(move |(i, sent)| (sent.ends, Some((id.clone(), i as u32))))
            });
            let timer = self.timers.first().map(|&at| (at, None));
            let Some((at, what)) = attempts.chain(timer).min().filter(|(at, _)| *at <= end) else { break };
            self.now = self.now.max(at);
            match what {
                Some((id, attempt)) => {
                    self.end_attempt(&id, attempt, AttemptStatus::TimedOut);
                }
                None => {
                    self.timers.remove(&at);
                    self.feed(Event::TimerExpired);
                }
            }
        }
        self.now = end;
        self.check_none_lost();
    }

    pub fn check_none_lost(&self) {
        for (id, open) in &self.requests {
            let overdue = !open.ended && self.now > open.request.deadline;
            assert!(!overdue, "rule 1: {id} has no final answer in time");
        }
    }
}

fn may_have_run(sent: &Sent) -> bool {
    !sent.status.is_some_and(AttemptStatus::never_ran)
}

/// Read, keyed for one second, and unsafe; aims of 150 ms.
pub fn settings() -> Settings {
    let class = |name: &str, effect| RequestClass {
        name: name.into(),
        idempotency: effect,
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

/// Settings of a fleet whose balancers fetch misses, with its origin entry.
pub fn aside() -> (Settings, Endpoint) {
    let mode = CacheMode::Aside { origin_kind: "origin".into() };
    let origin = Endpoint { kind: Some("origin".into()), ..Endpoint::new("zz-origin") };
    (Settings { mode, ..settings() }, origin)
}
