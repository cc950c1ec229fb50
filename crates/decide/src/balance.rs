//! Every decision the router makes. Its interface, the types in and out, is `src/api.rs`.

mod knowledge;

use crate::admission::{Door, End};
use crate::api::*;
use crate::hot_keys::HotKeys;
use crate::knowledge::Knowledge;
use std::collections::{BTreeSet, HashMap, HashSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

const TRIP_RATE: f64 = 0.6;
const MIN_CALLS: u32 = 3;
/// A busy server's first calls of a window decide nothing before they are such a part of its last one's:
/// where one call in eight breaks, two of the first three do every few windows. Few calls still trip an idle
/// one's breaker; the price is that a busy server that dies takes half a second's calls, not the first three.
const USUAL_PART: u32 = 10;
const WINDOW: Duration = Duration::from_secs(5);
/// A class that is turned away where nobody waits is no chance: its breaker's windows are short, since what
/// was served before would hide it for the rest of a long one.
const CLASS_WINDOW: Duration = Duration::from_secs(1);
const COOLDOWN: Duration = Duration::from_secs(6);
const TRIALS: u32 = 3;
/// No breaker trips while the other servers fail at this rate: the cause is not that one server's.
const COMMON_RATE: f64 = TRIP_RATE / 2.0;
/// Share of a cold server's stated multiple that is used: its size is guessed, from the fleet's use.
const COLD_PART: f64 = 0.65;
/// So much of what a cold server is sent, by all nodes together in a span, needs no good answers before: none
/// come where all servers are cold. It is little beside what any server can do.
const COLD_TRICKLE: f64 = 4.0;
/// Of what cold servers were sent within a span, this part proves nothing in it: all cold, each answer would
/// allow more than one more, and work would not grow from span to span but at once, past what they can bear.
const COLD_DOUBT: f64 = 0.4;
/// Retry budget: each request pays in this much, and no more than so many are saved up.
const RETRY_SHARE: f64 = 0.2;
const RETRY_SAVED: f64 = 10.0;
/// An answer is late past this share of its aim, from a server at least this busy.
const AIM_SHARE: f64 = 0.7;
const BUSY: f64 = 0.8;
/// Up to so many nodes, each meets a server often enough for the queue that it reports to be worth heeding.
const FEW_NODES: u32 = 100;
/// For so long what a server said of its queue tells of its present state: reports are this old at most.
const REPORT_FRESH: Duration = Duration::from_millis(500);
/// In-flight limit: its start for all nodes together, its least, its steps for answers in time and late, and
/// for those late with no queue.
const LIMIT_START: f64 = 16.0;
const LIMIT_LEAST: f64 = 0.05;
const LIMIT_UP: f64 = 0.1;
const LIMIT_DOWN: f64 = 1.0;
const LIMIT_EASE: f64 = 0.3;
/// Answers over which the pace of a kind of server is averaged, and how many at par it starts with.
const PACE_SPAN: f64 = 200.0;
const PACE_PRIOR: f64 = 10.0;
/// Servers of a key's order that may take it; for want of room at the first, up to this share of their bound.
const SPREAD: usize = 3;
const SPILL: f64 = 0.5;
/// A request that is held for want of room tries again at such steps of its aim.
const HOLD_STEP: f64 = 0.1;
/// A refused client is told to come back after such a part of its aim.
const AWAY_STEP: f64 = 0.02;
const FOLLOW_AGAIN: Duration = Duration::from_secs(1);
/// Keys whose last answer is remembered.
const KEYS_KNOWN: usize = 4096;
/// For so long a key has the same place in the door's draw at all nodes: longer than clients try at once.
const DRAW_SPAN: Duration = Duration::from_secs(1);
const RATE_SPAN: Duration = Duration::from_secs(2);
/// A server most likely holds what it answered in the present or the last of such spans.
const WARM_SPAN: Duration = Duration::from_secs(5);
/// The origin is strained while this share of the likely misses fails, and at least twice that of the rest.
const STRAIN_RATE: f64 = 0.4;
/// Epoch of what no breaker counts: of a class that is no more.
const NO_EPOCH: u32 = u32::MAX;
/// Limit of likely misses in flight: its factor after a failure, its step up for each that is served. Its
/// least is one for all nodes together.
const FETCH_DOWN: f64 = 0.7;
const FETCH_UP: f64 = 0.1;

#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    Closed,
    Open { until: Timestamp },
    HalfOpen { admitted: u32, passed: u32 },
}

#[derive(Debug)]
struct Breaker {
    state: State,
    /// Counts state changes: outcomes of attempts sent in an earlier state say nothing of the present one.
    epoch: u32,
    window: Duration,
    window_ends: Timestamp,
    calls: u32,
    failures: u32,
    /// Calls in the last whole window.
    usual: u32,
}

impl Breaker {
    fn new(window: Duration, now: Timestamp) -> Self {
        let (state, window_ends) = (State::Closed, now + window);
        Self { state, epoch: 0, window, window_ends, calls: 0, failures: 0, usual: 0 }
    }

    fn enter(&mut self, state: State, now: Timestamp) {
        let (epoch, usual) = (self.epoch + 1, self.usual);
        *self = Self { state, epoch, usual, ..Self::new(self.window, now) };
    }

    fn admits(&self, now: Timestamp) -> bool {
        match self.state {
            State::Closed => true,
            State::Open { until } => now >= until,
            State::HalfOpen { admitted, .. } => admitted < TRIALS,
        }
    }

    fn on_send(&mut self, now: Timestamp) {
        match &mut self.state {
            State::Open { until } if now >= *until => {
                self.enter(State::HalfOpen { admitted: 1, passed: 0 }, now);
            }
            State::HalfOpen { admitted, .. } => *admitted += 1,
            _ => {}
        }
    }

    /// `ok` is `None` where it tells nothing: a trial gives its place back. Returns whether it should trip,
    /// for which `least` calls are needed.
    fn on_outcome(&mut self, epoch: u32, ok: Option<bool>, least: u32, now: Timestamp) -> bool {
        if epoch != self.epoch {
            return false;
        }
        match (&mut self.state, ok) {
            (State::HalfOpen { admitted, .. }, None) => *admitted -= 1,
            (State::HalfOpen { .. }, Some(false)) => return true,
            (State::HalfOpen { passed, .. }, Some(true)) => {
                *passed += 1;
                if *passed >= TRIALS {
                    self.enter(State::Closed, now);
                }
            }
            (State::Closed, Some(ok)) => {
                if now >= self.window_ends {
                    self.usual = self.calls;
                    (self.window_ends, self.calls, self.failures) = (now + self.window, 0, 0);
                }
                self.calls += 1;
                self.failures += u32::from(!ok);
                return self.calls >= least.max(self.usual / USUAL_PART)
                    && f64::from(self.failures) >= TRIP_RATE * f64::from(self.calls);
            }
            _ => {}
        }
        false
    }
}

#[derive(Debug)]
struct Server {
    entry: ServerEntry,
    kind: usize,
    hash: u64,
    breaker: Breaker,
    /// By class: a server may turn one class away and serve the others (a release that does not know it, a
    /// quota of that class's own). Blocked as a whole, it would lose the keys of all classes to servers that
    /// lack them. Harmful if turned away for a moment only: that class's keys are missed elsewhere meanwhile.
    by_class: Vec<Breaker>,
    /// While it is cold: when it was sent to in the span that counts, oldest first.
    lately: VecDeque<Timestamp>,
    in_flight: u32,
    limit: f64,
    /// When it was last sent to, and how long after the send before.
    sent: Timestamp,
    gap: Duration,
    /// When it last told of no queue, unless it told of one since.
    unqueued: Option<Timestamp>,
}

/// What answers of a kind of server take against their forecast work: a logarithm, so that no few decide.
#[derive(Debug)]
struct Kind {
    name: Option<Name>,
    pace: f64,
    answers: f64,
}

#[derive(Debug)]
struct Attempt {
    entry: ServerEntry,
    sent: Timestamp,
    /// Of the server's breaker, of its class's there and of the origin's, when it was sent.
    epochs: (u32, u32, u32),
    /// Sent as a likely miss.
    cold: bool,
    status: Option<Status>,
}

#[derive(Debug)]
struct Held {
    request: Request,
    /// Those that it was taken under: they judge it to its end, whatever holds for later ones.
    settings: Arc<Settings>,
    /// Its class among those that hold now, for what is counted by class.
    slot: usize,
    attempts: Vec<Attempt>,
    luck: f64,
    arrived: Timestamp,
    done: bool,
}

impl Held {
    fn class(&self) -> &Class {
        &self.settings.classes[slot_of(&self.settings, &self.request)]
    }

    fn outstanding(&self) -> usize {
        self.attempts.iter().filter(|a| a.status.is_none()).count()
    }

    /// Whether a fetch of the origin's may have failed under it.
    fn fetch_failed(&self) -> bool {
        self.attempts.last().is_some_and(|a| a.cold && a.status == Some(Status::Failed))
    }

    /// When it may not be sent again any more, if some time bounds that.
    fn repeat_ends(&self) -> Option<Timestamp> {
        let Effect::Keyed { window, .. } = self.class().effect else { return None };
        self.may_have_run().map(|earlier| earlier.sent + window).min()
    }

    fn may_have_run(&self) -> impl Iterator<Item = &Attempt> {
        self.attempts.iter().filter(|a| !a.status.is_some_and(Status::never_ran))
    }
}

/// What servers answered of late, by marks of key and incarnation, in two spans of which the older is dropped
/// as a whole: servers that are gone are forgotten with it. Never walked.
#[derive(Debug, Default)]
struct Warm {
    marks: HashSet<u64>,
    before: HashSet<u64>,
    since: Timestamp,
}

impl Warm {
    fn turn(&mut self, now: Timestamp) {
        if now.since(self.since) >= WARM_SPAN || self.marks.len() >= KEYS_KNOWN {
            self.before = std::mem::take(&mut self.marks);
            self.since = now;
        }
    }

    fn holds(&self, mark: u64) -> bool {
        self.marks.contains(&mark) || self.before.contains(&mark)
    }
}

/// Decides for one node. It has no clock and does no I/O: equal events give equal actions.
#[derive(Debug)]
pub struct Balancer {
    settings: Arc<Settings>,
    seed: u64,
    drawn: u64,
    /// A list has come.
    listed: bool,
    /// Sorted by id. Draining servers stay until discovery removes them.
    servers: Vec<Server>,
    /// Looked up by id, since its order differs from run to run; walked only where each is changed by itself.
    held: HashMap<RequestId, Held>,
    due: BTreeSet<(Timestamp, RequestId)>,
    armed: Option<Timestamp>,
    follow_at: Option<Timestamp>,
    retry_budget: f64,
    limit_start: f64,
    /// By class: what its answers take of late, in seconds.
    usual: Vec<f64>,
    usual_work: f64,
    kinds: Vec<Kind>,
    /// The breaker of what servers fetch misses from, where they tell of misses.
    origin: Breaker,
    /// By key: whether the last answer to it here was held by its server. Never walked.
    kept: HashMap<u64, bool>,
    hot: HotKeys,
    /// Where servers tell nothing of misses: what tells likely ones, how many of them are in flight, how many
    /// may be, and when that was last cut.
    warm: Warm,
    fetching: u32,
    fetch_limit: f64,
    fetch_cut: Timestamp,
    /// Ends of other requests and of likely misses, and how many of them failed, over about `RATE_SPAN`.
    ends: [(f64, f64); 2],
    /// Answers that show no queue, over about `RATE_SPAN`.
    good: f64,
    counted: Timestamp,
    /// What of all that is asked for is let in.
    door: Door,
}

impl Balancer {
    /// A balancer that knows no server yet. `seed` should differ between nodes.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let (settings, limit_start) = completed(settings);
        let usual = settings.classes.iter().map(|class| class.aim.as_secs_f64()).collect();
        Self {
            settings,
            seed,
            drawn: 0,
            usual,
            usual_work: 0.0,
            kinds: Vec::new(),
            origin: Breaker::new(WINDOW, Timestamp::default()),
            kept: HashMap::new(),
            hot: HotKeys::default(),
            warm: Warm::default(),
            fetching: 0,
            fetch_limit: f64::INFINITY,
            fetch_cut: Timestamp::default(),
            ends: [(0.0, 0.0); 2],
            listed: false,
            servers: Vec::new(),
            held: HashMap::new(),
            due: BTreeSet::new(),
            armed: None,
            follow_at: Some(Timestamp::default()),
            limit_start,
            retry_budget: RETRY_SAVED,
            good: 0.0,
            counted: Timestamp::default(),
            door: Door::default(),
        }
    }

    /// Takes in what happened at `now` and appends what the node must do.
    pub fn handle(&mut self, now: Timestamp, event: Event, actions: &mut Vec<Action>) {
        let faded = (-now.since(self.counted).as_secs_f64() / RATE_SPAN.as_secs_f64()).exp();
        (self.good, self.counted) = (self.good * faded, now);
        self.ends = self.ends.map(|(all, failed)| (all * faded, failed * faded));
        self.warm.turn(now);
        match event {
            Event::Restored(list) | Event::Servers(ServerList::Full(list)) => self.learn(now, &list, true),
            Event::Servers(ServerList::Changes(list)) => self.learn(now, &list, false),
            // Asked for again after a while: discovery that fails is loaded enough.
            Event::Servers(ServerList::Unavailable) => self.follow_at = Some(now + FOLLOW_AGAIN),
            Event::Request(request) => {
                self.drawn += 1;
                let luck = unit(mix(self.seed ^ self.drawn));
                request.key.into_iter().for_each(|key| self.hot.note(now, key));
                let (settings, slot) = (self.settings.clone(), slot_of(&self.settings, &request));
                let attempts = Vec::new();
                let held = Held { request, settings, slot, attempts, luck, arrived: now, done: false };
                self.decide(now, held, actions);
            }
            Event::Outcome(outcome) => self.outcome(now, &outcome, actions),
            Event::Abandoned(id) => self.held.get_mut(&id).into_iter().for_each(|held| held.done = true),
            Event::Recalled(known) => self.recall(now, &known),
            Event::Reconfigured(settings) => self.reconfigure(now, *settings),
            Event::Timer => self.armed = None,
            Event::FirstByte { .. } | Event::Probed { .. } => {}
        }
        if self.settings.must_follow && self.follow_at.is_some_and(|at| now >= at) {
            self.follow_at = None;
            actions.push(Action::Follow);
        }
        while self.due.first().is_some_and(|(at, _)| *at <= now) {
            if let Some(held) = self.due.pop_first().and_then(|(_, id)| self.held.remove(&id)) {
                self.decide(now, held, actions);
            }
        }
        let due = self.due.first().map(|(at, _)| *at);
        let follow = self.follow_at.filter(|_| self.settings.must_follow);
        let next = due.into_iter().chain(follow).min();
        if let Some(at) = next.filter(|at| self.armed.is_none_or(|armed| *at < armed)) {
            self.armed = Some(at);
            actions.push(Action::Wake { after: at.since(now) });
        }
    }

    /// What is known of servers lives on, and what is counted by class with the class's name.
    fn reconfigure(&mut self, now: Timestamp, settings: Settings) {
        let (settings, limit_start) = completed(settings);
        let place = |classes: &[Class], name| classes.iter().position(|class| class.name == name);
        let before = std::mem::replace(&mut self.settings, settings);
        // For each class that holds now, where it stood.
        let stood: Vec<_> =
            self.settings.classes.iter().map(|class| place(&before.classes, class.name.clone())).collect();
        let usual = |(class, stood): (&Class, &Option<usize>)| {
            stood.map_or(class.aim.as_secs_f64(), |i| self.usual[i])
        };
        self.usual = self.settings.classes.iter().zip(&stood).map(usual).collect();
        self.door.reclass(&stood);
        // A node of twice as many has half of the work to do.
        let part = limit_start / std::mem::replace(&mut self.limit_start, limit_start);
        for server in &mut self.servers {
            server.limit = (server.limit * part).max(LIMIT_LEAST);
            let mut breakers: Vec<_> = std::mem::take(&mut server.by_class).into_iter().map(Some).collect();
            let breaker = |stood: &Option<usize>| {
                stood.and_then(|i| breakers[i].take()).unwrap_or_else(|| Breaker::new(CLASS_WINDOW, now))
            };
            server.by_class = stood.iter().map(breaker).collect();
        }
        for held in self.held.values_mut() {
            match stood.iter().position(|stood| *stood == Some(held.slot)) {
                Some(slot) => held.slot = slot,
                None => {
                    held.slot = self.settings.classes.len() - 1;
                    held.attempts.iter_mut().for_each(|attempt| attempt.epochs.1 = NO_EPOCH);
                }
            }
        }
        if self.settings.must_follow && !before.must_follow {
            self.follow_at = Some(now);
        }
    }

    fn learn(&mut self, now: Timestamp, entries: &[ServerEntry], full: bool) {
        if full {
            self.servers.retain(|server| entries.iter().any(|entry| entry.id == server.entry.id));
        }
        let first = !std::mem::replace(&mut self.listed, true);
        for entry in entries {
            let place = self.servers.binary_search_by(|server| server.entry.id.cmp(&entry.id));
            match place {
                Ok(i) if entry.availability == Availability::Gone => {
                    self.servers.remove(i);
                }
                Ok(i) => {
                    let entry = &self.dated(entry, Some(&self.servers[i].entry), now);
                    if entry.started != self.servers[i].entry.started {
                        let server = &mut self.servers[i];
                        server.breaker.enter(State::Closed, now);
                        server.by_class.iter_mut().for_each(|breaker| breaker.enter(State::Closed, now));
                    }
                    self.servers[i].entry = entry.clone();
                }
                Err(_) if entry.availability == Availability::Gone => {}
                Err(i) => {
                    let hash = mix(hash_text(entry.id.as_str()));
                    let kind = self.kinds.iter().position(|kind| kind.name == entry.kind);
                    let kind = kind.unwrap_or_else(|| {
                        self.kinds.push(Kind { name: entry.kind.clone(), pace: 0.0, answers: PACE_PRIOR });
                        self.kinds.len() - 1
                    });
                    let entry = if first { entry.clone() } else { self.dated(entry, None, now) };
                    let (breaker, gap) = (Breaker::new(WINDOW, now), Duration::MAX);
                    let (lately, in_flight, limit, sent) = (VecDeque::new(), 0, self.limit_start, now);
                    let unqueued = None;
                    let by_class =
                        self.settings.classes.iter().map(|_| Breaker::new(CLASS_WINDOW, now)).collect();
                    let fresh = Server {
                        entry,
                        kind,
                        hash,
                        breaker,
                        by_class,
                        lately,
                        in_flight,
                        limit,
                        sent,
                        gap,
                        unqueued,
                    };
                    self.servers.insert(i, fresh);
                }
            }
        }
    }

    /// An entry with the time of its server's start, where lists do not tell that: one that was not there
    /// before, or was to be sent no more, has most likely just started.
    fn dated(&self, entry: &ServerEntry, before: Option<&ServerEntry>, now: Timestamp) -> ServerEntry {
        if self.settings.starts_told || entry.started.is_some() {
            return entry.clone();
        }
        let known = before.filter(|before| before.availability == Availability::Ready);
        let back = entry.availability == Availability::Ready;
        let started = known.map_or(back.then_some(now), |before| before.started);
        ServerEntry { started, ..entry.clone() }
    }

    fn is_origin(&self, entry: &ServerEntry) -> bool {
        let CacheMode::Aside { origin_kind } = &self.settings.mode else { return false };
        entry.kind.as_ref() == Some(origin_kind)
    }

    fn warmth(&self, entry: &ServerEntry, now: Timestamp) -> f64 {
        let warm = self.settings.warm_within.as_secs_f64().max(1e-6);
        let age = entry.started.map_or(warm, |at| now.since(at).as_secs_f64());
        let cold = self.settings.cold_share;
        (cold + (1.0 - cold) * age / warm).min(1.0)
    }

    fn capacity(&self, server: &Server, now: Timestamp) -> f64 {
        let speed = if self.settings.sized { 1.0 } else { (-self.kinds[server.kind].pace).exp() };
        (server.entry.weight * speed * self.warmth(&server.entry, now)).max(1e-9)
    }

    /// Pushed over by all nodes, a cold server never comes back: each sends its part of what its size
    /// should get of the good answers seen here, within any span of time, with nothing saved up. Of many
    /// nodes each may send now and then: it draws whether it may for a span, which ends at another time on
    /// each. A node that has just started has seen no answers, and begins with its part of a trickle.
    fn cold_room(&self, i: usize, now: Timestamp) -> bool {
        let server = &self.servers[i];
        if self.is_origin(&server.entry) || self.warmth(&server.entry, now) >= 1.0 {
            return true;
        }
        let caches = self.servers.iter().filter(|server| self.in_use(server));
        let fleet: f64 = caches.map(|server| self.capacity(server, now)).sum();
        let share = self.capacity(server, now) / fleet;
        let span = self.settings.fall_span;
        let spans = span.as_secs_f64() / RATE_SPAN.as_secs_f64();
        let lately = |server: &Server| server.lately.iter().filter(|sent| now.since(**sent) < span).count();
        let proven = self.good - COLD_DOUBT * self.servers.iter().map(lately).sum::<usize>() as f64;
        let part = proven * spans * share * self.settings.fall_multiple * COLD_PART;
        let part = part.max(COLD_TRICKLE / f64::from(self.settings.nodes.max(1)));
        let drawn = mix(self.seed ^ server.hash);
        let turn = (now + span.mul_f64(unit(drawn))).as_micros() / (span.as_micros() as u64).max(1);
        (lately(server) as f64) < (part + unit(mix(drawn ^ turn))).floor()
    }

    /// Many servers failing together have a common cause: ejecting them would push their keys onto the rest.
    fn is_outlier(&self, i: usize, now: Timestamp) -> bool {
        let others = self.servers.iter().filter(|other| other.hash != self.servers[i].hash);
        let recent = others.map(|other| &other.breaker).filter(|breaker| now < breaker.window_ends);
        let (calls, failed) = recent.fold((0, 0), |(c, f), b| (c + b.calls, f + b.failures));
        calls < MIN_CALLS || f64::from(failed) < COMMON_RATE * f64::from(calls)
    }

    /// Whether others take a class better than this server does: where most turn it away, none is better.
    fn is_classes_own(&self, i: usize, class: usize, now: Timestamp) -> bool {
        let others = self.servers.iter().filter(|other| other.hash != self.servers[i].hash);
        let recent = others.map(|other| &other.by_class[class]).filter(|breaker| now < breaker.window_ends);
        let (calls, failed) = recent.fold((0, 0), |(c, f), b| (c + b.calls, f + b.failures));
        f64::from(failed) < TRIP_RATE * f64::from(calls)
    }

    /// Whether it told of no queue of late. Only a node that has a real part of a server's work can tell: for
    /// one of more the report is older than the bursts of the others.
    fn unqueued(&self, server: &Server, now: Timestamp) -> bool {
        self.limit_start > 1.0 && server.unqueued.is_some_and(|at| now.since(at) < REPORT_FRESH)
    }

    fn mark(key: u64, server: &Server) -> u64 {
        mix(key ^ mix(server.hash ^ server.entry.started.map_or(0, Timestamp::as_micros)))
    }

    /// Whether a read at this server will be fetched from the origin, as far as can be told from what that
    /// server answered here. Other nodes may have warmed the key: some of these are hits.
    fn likely_miss(&self, request: &Request, server: &Server) -> bool {
        self.settings.mode == CacheMode::Through
            && !request.write
            && request.key.is_some_and(|key| !self.warm.holds(Self::mark(key, server)))
    }

    /// Whether likely misses have had their share for now. Each that an origin with too much to do lets fail
    /// is asked for again by its client and the node, and nothing is kept: without a limit such a day stays
    /// down, whatever began it (servers that come empty, keys that moved, an origin that slowed down). Hits
    /// go on. Harmful where likely misses fail for a cause of their own that more of them would not worsen.
    fn fetches_full(&self, held: &Held) -> bool {
        // After a failed fetch another is made only if the origin has plenty of room.
        let share = if held.fetch_failed() { SPILL } else { 1.0 };
        f64::from(self.fetching) + held.luck >= self.fetch_limit * share
    }

    fn strained(&self) -> bool {
        let [(others, others_failed), (all, failed)] = self.ends;
        failed >= f64::from(MIN_CALLS)
            && failed >= STRAIN_RATE * all
            && failed * others >= 2.0 * others_failed * all
    }

    /// Steers the limit of likely misses by how one of them ended; returns whether the origin is to blame.
    fn fetched(&mut self, now: Timestamp, sent: Timestamp, status: Status) -> bool {
        self.fetching -= 1;
        let failed = matches!(status, Status::Failed | Status::TimedOut);
        // One of many nodes sees too few of them to judge by.
        let strained = self.strained();
        if status == Status::Ok && f64::from(self.fetching + 1) * 4.0 >= self.fetch_limit {
            self.fetch_limit += FETCH_UP;
        } else if failed && strained && sent >= self.fetch_cut {
            let most = self.fetch_limit.min(f64::from(self.fetching + 1));
            self.fetch_limit = (most * FETCH_DOWN).max(1.0 / f64::from(self.settings.nodes.max(1)));
            // What comes back from before says nothing of the new limit.
            (self.fetch_cut, self.ends[1]) = (now, (0.0, 0.0));
        }
        failed && self.ends[0].0 >= f64::from(MIN_CALLS) && now.since(self.fetch_cut) < RATE_SPAN
    }

    fn in_use(&self, server: &Server) -> bool {
        server.entry.availability == Availability::Ready && !self.is_origin(&server.entry)
    }

    fn outcome(&mut self, now: Timestamp, outcome: &Outcome, actions: &mut Vec<Action>) {
        let Some(mut held) = self.held.remove(&outcome.id) else { return };
        let Some(attempt) = held.attempts.get_mut(outcome.attempt as usize) else { return self.keep(held) };
        attempt.status = Some(outcome.status);
        let fetched = outcome.note == Some(Note::Miss) && self.settings.mode == CacheMode::Through;
        // A time-out brings no report. Where answers of late met no queue it was not that server's load (a
        // miss waits for the origin, say): less work and a breaker for that server help nobody, and its keys
        // would be missed elsewhere.
        let place = self.servers.binary_search_by(|server| server.entry.id.cmp(&outcome.server)).ok();
        let lately = place.is_some_and(|i| self.unqueued(&self.servers[i], now));
        let excused = lately && outcome.status == Status::TimedOut;
        let (cold, sent) = (attempt.cold, attempt.sent);
        let failed = matches!(outcome.status, Status::Failed | Status::TimedOut);
        if !cold || sent >= self.fetch_cut {
            let ends = &mut self.ends[usize::from(cold)];
            *ends = (ends.0 + 1.0, ends.1 + f64::from(u8::from(failed)));
        }
        let origins = cold && self.fetched(now, sent, outcome.status);
        if let (Some(i), Some(key), Status::Ok) = (place, held.request.key, outcome.status) {
            self.warm.marks.insert(Self::mark(key, &self.servers[i]));
        }
        let ok = match outcome.status {
            Status::Ok | Status::Miss => Some(true),
            _ if excused => None,
            Status::Canceled | Status::Ignored => None,
            // A failed fetch is the origin's failure, not the server's: another would ask the same origin.
            _ if fetched || origins => None,
            _ => Some(false),
        };
        if fetched || outcome.note == Some(Note::Hit) {
            if self.kept.len() > KEYS_KNOWN {
                self.kept.clear();
            }
            self.kept.insert(key_of(&held.request), ok.is_some());
        }
        if self.origin.on_outcome(attempt.epochs.2, fetched.then_some(ok.is_some()), MIN_CALLS, now) {
            let jittered = COOLDOWN.mul_f64(0.75 + unit(mix(self.seed ^ now.as_micros())) / 2.0);
            self.origin.enter(State::Open { until: now + jittered }, now);
            actions.push(Action::Log("breaker of the origin tripped".into()));
        }
        let (epoch, class_epoch, _) = attempt.epochs;
        // Late past a part of its aim (a heavy one takes longer), unless the server has cores to spare.
        let work = held.request.expected_work.map_or(0.0, |work| work.as_secs_f64());
        let share = (AIM_SHARE * work / self.usual_work.max(1e-9)).clamp(AIM_SHARE, 1.0);
        self.usual_work += (work - self.usual_work) / 100.0;
        let in_time = outcome.took <= held.class().aim.mul_f64(share);
        let spare = outcome.load.busy.is_some_and(|busy| busy < BUSY);
        // Where nobody waits it is most often the work itself that takes long.
        let reported = outcome.load.waiting.map(|waiting| waiting < 1.0);
        let unqueued = excused || self.settings.nodes <= FEW_NODES && reported == Some(true);
        if outcome.status == Status::Ok {
            self.usual[held.slot] += (outcome.took.as_secs_f64() - self.usual[held.slot]) / 20.0;
        }
        let class = held.slot;
        let par = held.request.expected_work.unwrap_or(held.class().aim).as_secs_f64().max(1e-6);
        if let Some(i) = place {
            let told = matches!(outcome.status, Status::Ok | Status::TimedOut) && !fetched;
            if told && self.warmth(&self.servers[i].entry, now) >= 1.0 {
                let kind = &mut self.kinds[self.servers[i].kind];
                kind.answers = (kind.answers + 1.0).min(PACE_SPAN);
                kind.pace += ((outcome.took.as_secs_f64() / par).max(1e-3).ln() - kind.pace) / kind.answers;
            }
            let server = &mut self.servers[i];
            if let Some(unqueued) = reported {
                server.unqueued = unqueued.then_some(now);
            }
            let (answered, failed) = (ok == Some(true), ok == Some(false));
            // Turned away where nobody waits: how much is sent there changes nothing.
            let barred = outcome.status == Status::QueueFull && lately && reported != Some(false);
            let jammed = excused
                || failed && !barred && matches!(outcome.status, Status::QueueFull | Status::TimedOut);
            let prompt = answered && (in_time || spare || unqueued);
            self.good += f64::from(u8::from(prompt));
            let end = match outcome.status {
                Status::Ok if prompt => Some(End::Answered),
                Status::Ok => Some(End::Late),
                Status::QueueFull if jammed => Some(End::Full),
                Status::TimedOut if !excused => Some(End::TimedOut),
                _ => None,
            };
            end.into_iter().for_each(|end| self.door.note(now, end));
            if answered && in_time && f64::from(server.in_flight) * 2.0 >= server.limit {
                server.limit += LIMIT_UP;
            } else if answered && !in_time && !spare && unqueued {
                server.limit = (server.limit - LIMIT_EASE).max(LIMIT_LEAST);
            } else if answered && !in_time && !spare || jammed {
                server.limit = (server.limit - LIMIT_DOWN).max(LIMIT_LEAST);
            }
            server.in_flight = server.in_flight.saturating_sub(1);
            // Other failures may be the origin's or the whole server's.
            let of_class = (answered || barred).then_some(answered);
            if server.by_class[class].on_outcome(class_epoch, of_class, MIN_CALLS, now)
                && self.is_classes_own(i, class, now)
            {
                self.servers[i].by_class[class].enter(State::Open { until: now + COOLDOWN }, now);
                actions.push(Action::Log(format!("breaker of {} tripped for class {class}", outcome.server)));
            }
            let server = &mut self.servers[i];
            // One of many nodes seldom makes so many calls in a window: as many as it makes are enough, for
            // a part of the cooldown. Not of time-outs and full queues: with too much to do all have them.
            let load = matches!(outcome.status, Status::TimedOut | Status::QueueFull);
            let least = if load { MIN_CALLS } else { calls_in_window(server.gap) };
            if server.breaker.on_outcome(epoch, ok.filter(|_| !barred), least, now) && self.is_outlier(i, now)
            {
                let breaker = &mut self.servers[i].breaker;
                let part = match breaker.state {
                    State::Closed => breaker.calls.min(MIN_CALLS),
                    _ => MIN_CALLS,
                };
                breaker.enter(State::Open { until: now + COOLDOWN * part / MIN_CALLS }, now);
                actions.push(Action::Log(format!("breaker of {} tripped", outcome.server)));
            }
        }
        held.done |= outcome.finished;
        self.decide(now, held, actions);
    }

    fn decide(&mut self, now: Timestamp, mut held: Held, actions: &mut Vec<Action>) {
        if held.outstanding() > 0 {
            return self.keep(held);
        }
        if held.done {
            return;
        }
        // Asking the origin after a miss is the ordinary way on, any other attempt a retry on a budget.
        // One after an attempt that reached nobody cost no server anything: it is free, and pays nothing in.
        let (retry, pays) = match held.attempts.last().and_then(|attempt| attempt.status) {
            None | Some(Status::Miss) => (false, RETRY_SHARE),
            Some(Status::ConnectError) => (false, 0.0),
            Some(_) => (true, -1.0),
        };
        let barred = retry && self.retry_budget < 1.0;
        // A fleet that is jammed as a whole drains only if enough is refused before it is sent, and the same
        // keys at all nodes: a client that comes again to another node at once would undo it.
        if held.attempts.is_empty() && held.arrived == now && now < held.request.valid_until {
            let length = DRAW_SPAN.as_micros() as u64;
            let (span, past) = (now.as_micros() / length, now.as_micros() % length);
            let draw = unit(mix(key_of(&held.request) ^ mix(span) ^ held.slot as u64));
            if !self.door.admits(now, held.slot, &self.settings.classes, &self.usual, draw) {
                // No other node takes it before the next draw either, unless the door opens.
                let retry_after = Duration::from_micros(length - past).min(held.settings.max_retry_after);
                return actions.push(Action::Refuse { id: held.request.id, retry_after });
            }
        }
        // An origin with a queue longer than anyone waits serves nobody until likely misses leave it alone.
        let kept = !held.request.write && self.kept.get(&key_of(&held.request)) == Some(&true);
        if barred || now >= held.request.valid_until || !(kept || self.origin.admits(now)) {
            return self.end(now, held, actions);
        }
        let full = self.fetches_full(&held);
        let Some(i) = self.pick(now, &held, full) else {
            if full {
                return self.end(now, held, actions);
            }
            // A burst passes: without room a request waits, while thrice a usual answer would be in time.
            let aim = held.class().aim;
            let usual = Duration::from_secs_f64(self.usual[held.slot]);
            let again = now + aim.mul_f64(HOLD_STEP);
            if held.attempts.is_empty()
                && again + usual * 3 <= (held.arrived + aim).min(held.request.valid_until)
                && self.servers.iter().any(|server| self.in_use(server))
            {
                self.due.insert((again, held.request.id.clone()));
                return self.keep(held);
            }
            return self.end(now, held, actions);
        };
        self.retry_budget = (self.retry_budget + pays).min(RETRY_SAVED);
        let class = held.slot;
        let cold = self.likely_miss(&held.request, &self.servers[i]);
        self.fetching += u32::from(cold);
        let counts = self.warmth(&self.servers[i].entry, now) < 1.0;
        let server = &mut self.servers[i];
        server.lately.retain(|sent| counts && now.since(*sent) < self.settings.fall_span);
        server.lately.extend(counts.then_some(now));
        server.in_flight += 1;
        (server.sent, server.gap) = (now, now.since(server.sent));
        server.breaker.on_send(now);
        server.by_class[class].on_send(now);
        if !kept {
            self.origin.on_send(now);
        }
        // Its connection may come up long after this.
        let begin_within = held.repeat_ends().map(|at| at.since(now));
        let skew = u32::from(kept && self.origin.state != State::Closed);
        let class_epoch = server.by_class[class].epoch;
        let epochs = (server.breaker.epoch, class_epoch, self.origin.epoch.wrapping_sub(skew));
        held.attempts.push(Attempt { entry: server.entry.clone(), sent: now, epochs, cold, status: None });
        let timeout = held.request.valid_until.since(now);
        let (id, server) = (held.request.id.clone(), server.entry.id.clone());
        actions.push(Action::Send { id, server, timeout, begin_within });
        self.keep(held);
    }

    fn keep(&mut self, held: Held) {
        self.held.insert(held.request.id.clone(), held);
    }

    /// Whether rule 2 lets the request go to this server now.
    fn may_send(&self, now: Timestamp, held: &Held, entry: &ServerEntry) -> bool {
        let effect = held.class().effect;
        held.may_have_run().all(|earlier| match effect {
            Effect::Safe => true,
            Effect::Unsafe => false,
            Effect::Keyed { scope, window } => {
                now < earlier.sent + window
                    && match scope {
                        Scope::All => true,
                        Scope::Zone => earlier.entry.zone == entry.zone,
                        Scope::Cell => earlier.entry.cell == entry.cell,
                    }
            }
        })
    }

    fn pick(&self, now: Timestamp, held: &Held, no_fetch: bool) -> Option<usize> {
        if held.attempts.len() >= held.settings.max_attempts as usize {
            return None;
        }
        let class = held.slot;
        let usable = |i: &usize| {
            if no_fetch && self.likely_miss(&held.request, &self.servers[*i]) {
                return false;
            }
            let entry = &self.servers[*i].entry;
            entry.availability == Availability::Ready
                && self.may_send(now, held, entry)
                && self.servers[*i].breaker.admits(now)
                && self.servers[*i].by_class[class].admits(now)
                && self.cold_room(*i, now)
                && !held.attempts.iter().any(|a| a.entry.id == entry.id)
        };
        let room = |i: usize, share: f64| {
            f64::from(self.servers[i].in_flight) + held.luck < self.servers[i].limit * share
        };
        let aside = matches!(self.settings.mode, CacheMode::Aside { .. });
        let missed = held.attempts.iter().any(|a| a.status == Some(Status::Miss));
        if aside && (held.request.write || missed) {
            let mut origins = (0..self.servers.len()).filter(|&i| self.is_origin(&self.servers[i].entry));
            return origins.find(usable).filter(|i| room(*i, 1.0));
        }
        let key = key_of(&held.request);
        let mut order = self.order(key, now);
        // Each of the servers that share a hot key is the first for a part of it, a cold one for a smaller.
        let wide = self.hot.width(now, key, order.len());
        let able = |i: &usize| self.capacity(&self.servers[*i], now);
        let mut left = unit(mix(held.luck.to_bits())) * order[..wide].iter().map(able).sum::<f64>();
        let first = order[..wide].iter().position(|i| {
            left -= able(i);
            left < 0.0
        });
        order[..wide].rotate_left(first.unwrap_or(0));
        let own = *order.first()?;
        // For want of room to the next few and no further: over a slow fleet, hits would turn to misses.
        let mut open = order.into_iter().filter(usable).take(SPREAD).peekable();
        if open.peek().is_some() {
            let share = |n| if n == 0 { 1.0 } else { SPILL };
            let open: Vec<usize> = open.collect();
            let found = open.iter().enumerate().find(|&(n, &i)| room(i, share(n))).map(|(_, &i)| i);
            // Limits steer away from servers that answer late, and all of them do where misses wait for a
            // slow origin. One that tells of no queue takes what none of the others has room for, up to where
            // limits start: its cores may be shared by many although none of them waits.
            let spare = |&&i: &&usize| {
                let server = &self.servers[i];
                self.unqueued(server, now) && f64::from(server.in_flight) < self.limit_start
            };
            return found.or_else(|| open.iter().find(spare).copied());
        }
        // Every server is blocked: the key's own server then, rather than none.
        (!no_fetch && self.cold_room(own, now) && held.attempts.is_empty() && room(own, 1.0)).then_some(own)
    }

    /// The ready cache servers in the key's own order, by weighted rendezvous: a leaver moves only its keys.
    fn order(&self, key: u64, now: Timestamp) -> Vec<usize> {
        let rank = |(i, server): (usize, &Server)| {
            let distance = -unit(mix(key ^ server.hash)).ln() / self.capacity(server, now);
            // The bits of positive numbers sort as the numbers do.
            (distance.to_bits(), i)
        };
        let in_use = self.servers.iter().enumerate().filter(|(_, server)| self.in_use(server));
        let mut ranked: Vec<_> = in_use.map(rank).collect();
        ranked.sort_unstable();
        ranked.into_iter().map(|(_, i)| i).collect()
    }

    /// How long refused clients should stay away: until the origin's breaker lets its first trial through,
    /// or shortly: the front deals a client that comes again to another node, which may have room.
    fn retry_after(&self, now: Timestamp, held: &Held) -> Duration {
        let origin = self.servers.iter().find(|server| self.is_origin(&server.entry));
        let advice = match origin.map_or(self.origin.state, |server| server.breaker.state) {
            State::Open { until } => until.since(now),
            _ => held.class().aim.mul_f64(AWAY_STEP),
        };
        advice.min(held.settings.max_retry_after)
    }

    fn end(&mut self, now: Timestamp, held: Held, actions: &mut Vec<Action>) {
        let effect = held.class().effect;
        let safe_again = matches!(effect, Effect::Safe | Effect::Keyed { scope: Scope::All, .. })
            || held.may_have_run().next().is_none();
        if safe_again && now < held.request.valid_until {
            let retry_after = self.retry_after(now, &held);
            let id = held.request.id;
            actions.push(Action::Refuse { id, retry_after });
        } else {
            actions.push(Action::Fail { id: held.request.id });
        }
    }
}

/// Settings with a last class for requests of none, the most careful one; and where limits start under them.
fn completed(mut settings: Settings) -> (Arc<Settings>, f64) {
    settings.classes.push(Class::default());
    let limit_start = (LIMIT_START / f64::from(settings.nodes.max(1))).max(1.0);
    (Arc::new(settings), limit_start)
}

/// How many calls a server gets in a window if they come so far apart, up to those that trip its breaker.
fn calls_in_window(gap: Duration) -> u32 {
    (WINDOW.as_secs_f64() / gap.as_secs_f64()).clamp(1.0, f64::from(MIN_CALLS)) as u32
}

fn slot_of(settings: &Settings, request: &Request) -> usize {
    let other = settings.classes.len() - 1;
    request.class.map_or(other, |id| id.0.min(other))
}

fn key_of(request: &Request) -> u64 {
    request.key.unwrap_or_else(|| hash_text(request.id.as_str()))
}

/// Spreads nearby numbers (the finaliser of splitmix64).
fn mix(mut x: u64) -> u64 {
    x = x.wrapping_add(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

fn unit(hash: u64) -> f64 {
    ((hash >> 11) as f64 + 0.5) / (1u64 << 53) as f64
}

fn hash_text(text: &str) -> u64 {
    text.bytes().fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(b)).wrapping_mul(0x100_0000_01b3))
}
