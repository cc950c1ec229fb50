//! The player in virtual time: the real decisions, one instance a node, in a world of events. One thread, no wall
//! clock, nothing from outside: the same script gives the same bytes every time.
//!
//! What a node does beside deciding (its driver, its connections, its client of discovery) is done here in the way that
//! the daemon does it, as far as it shows from outside. The judge is told what a bystander would see.

use crate::conduct;
use crate::demand::{Ask, Demand};
use crate::draw::Draw;
use crate::fleet;
use crate::ledger::{Answer, Fact, Ledger, Verdict};
use crate::script::Script;
use crate::timeline::{changes, Change};
use crate::world::cache_server::Did;
use crate::world::{CacheServer, Origin, Verdict as Offer};
use decide::{
    Action, Availability, Balancer, ClassId, Event, LoadReport, Note, Outcome, Request, RequestId,
    ServerEntry, ServerId, ServerList, Settings, Status, Timestamp,
};
use serde::Serialize;
use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap, VecDeque};
use std::time::Duration;

/// Taken off a client's time by the daemon, and how long past that the decisions have for their own answer.
const MARGIN: Duration = Duration::from_millis(5);
const GUARD: Duration = Duration::from_millis(4);
/// A node that is told to stop serves on for so long, while the front still sends to it.
const LEAVING: Duration = Duration::from_millis(500);
/// The front has heard from a node that leaves after this.
const LEAVE_HEARD: Duration = Duration::from_millis(300);
/// Past the longest deadline, a node that was told to stop is killed after this.
const KILL_AFTER: Duration = Duration::from_millis(700);
/// A discovery that is away ends a call after this.
const CALL_ENDS: Duration = Duration::from_millis(10);
/// Attempts of a request are numbered below this.
const ATTEMPTS: u64 = 32;

/// What decides for a node: the real thing, or one that a test made to break a rule.
pub trait Decide {
    /// Takes in what happened and appends what the node must do.
    fn handle(&mut self, now: Timestamp, event: Event, actions: &mut Vec<Action>);
}

impl Decide for Balancer {
    fn handle(&mut self, now: Timestamp, event: Event, actions: &mut Vec<Action>) {
        Balancer::handle(self, now, event, actions);
    }
}

/// What a play came to, beside the judge's word.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Played {
    /// The judge's word.
    pub verdict: Verdict,
    /// Reads that a cache server held, of all that ran.
    pub hit_rate: f64,
    /// Fetches that the origin took, and those that it turned away.
    pub fetches: (u64, u64),
    /// The most fetches that waited at the origin.
    pub origin_queue: usize,
    /// Lines that the nodes logged.
    pub log_lines: u64,
    /// The world at the end of each second.
    pub samples: Vec<Sample>,
}

/// The world at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Sample {
    /// Requests in all cache servers, waiting or in work.
    pub held: usize,
    /// Fetches that wait at the origin.
    pub origin_waiting: usize,
    /// Cache servers that run.
    pub running: usize,
    /// Of these, cold ones.
    pub cold: usize,
    /// Reads since the sample before that their cache server did not hold.
    pub misses: u64,
}

/// Plays a script with the real decisions.
pub fn play(script: &Script) -> Played {
    play_with(script, Safeguards::ALL, &mut |settings, seed| Box::new(Balancer::new(settings, seed)))
}

/// What a node's driver holds back, or does, whatever its decisions say.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Safeguards {
    /// It fails a request that the decisions have left open until its time is all but up.
    pub answers_in_time: bool,
    /// It sends nothing for a request that has its final answer, or to a server that takes no work.
    pub keeps_back: bool,
}

impl Safeguards {
    /// As the daemon has them.
    pub const ALL: Self = Self { answers_in_time: true, keeps_back: true };
}

/// Plays a script with decisions of `make`'s.
pub fn play_with(
    script: &Script,
    guard: Safeguards,
    make: &mut dyn FnMut(Settings, u64) -> Box<dyn Decide>,
) -> Played {
    let mut play = Play::new(script, guard, make);
    while let Some(due) = play.agenda.pop() {
        play.now = due.at;
        play.step(due.what);
    }
    let ran = play.hits + play.misses;
    Played {
        verdict: play.ledger.verdict(),
        hit_rate: if ran == 0 { 1.0 } else { play.hits as f64 / ran as f64 },
        fetches: play.fetches,
        origin_queue: play.origin_queue,
        log_lines: play.log_lines,
        samples: play.samples,
    }
}

#[derive(Clone, Copy, Debug)]
enum What {
    Ask,
    /// A client sends a try.
    Try {
        ask: usize,
        number: u32,
    },
    /// It reaches its node.
    Arrive(usize),
    /// An answer, or the end of its connection (`None`), reaches the client.
    Heard {
        request: usize,
        answer: Option<Answer>,
        away: Duration,
    },
    GivesUp(usize),
    Leaves(usize),
    /// The node sees that the client has gone.
    Left(usize),
    Guard(usize),
    Wake {
        node: usize,
        life: u32,
    },
    /// The connection is up: the attempt's first byte goes out.
    Write {
        request: usize,
        attempt: usize,
    },
    /// Its last byte has come.
    Reach {
        request: usize,
        attempt: usize,
    },
    /// What came of it reaches the node.
    Back {
        request: usize,
        attempt: usize,
        status: Status,
        hit: bool,
        load: LoadReport,
    },
    Timeout {
        request: usize,
        attempt: usize,
    },
    Look(usize),
    LookAtOrigin,
    Change(usize),
    /// Discovery notices a change.
    Notice {
        host: usize,
        state: Availability,
        started: Option<Timestamp>,
    },
    /// A call of a node's ends: with what discovery has, or not at all.
    Told {
        node: usize,
        life: u32,
        ok: bool,
    },
    FrontHears {
        node: usize,
        life: u32,
        up: bool,
    },
    Ends {
        node: usize,
        life: u32,
        force: bool,
    },
    Start(usize),
    Sample,
}

#[derive(Debug)]
struct Due {
    at: Timestamp,
    number: u64,
    what: What,
}

impl PartialEq for Due {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for Due {}

impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Due {
    /// The earliest is the greatest: the heap gives that first. At the same time, the one that was put in first.
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.number).cmp(&(self.at, self.number))
    }
}

#[derive(Default)]
struct Agenda {
    heap: BinaryHeap<Due>,
    number: u64,
}

impl Agenda {
    fn put(&mut self, at: Timestamp, what: What) {
        self.number += 1;
        self.heap.push(Due { at, number: self.number, what });
    }

    fn pop(&mut self) -> Option<Due> {
        self.heap.pop()
    }
}

/// A cache server's id, whatever process runs under it.
struct Host {
    id: ServerId,
    seat: usize,
    /// The ledger's number.
    number: usize,
    /// The process that runs under it.
    process: Option<usize>,
    reachable: bool,
    /// As discovery has it.
    listed: Listed,
}

struct Listed {
    state: Availability,
    started: Option<Timestamp>,
    version: u64,
}

struct Process {
    host: usize,
    server: CacheServer,
    alive: bool,
    connections: u32,
    /// When it is looked at next.
    look: Option<Timestamp>,
}

struct Node {
    zone: usize,
    decide: Box<dyn Decide>,
    /// Counts its starts: what was meant for an earlier life is dropped.
    life: u32,
    up: bool,
    leaving: bool,
    /// The front sends to it.
    fronted: bool,
    /// Tries that it took and has not answered, or whose attempts are out.
    open: BTreeSet<usize>,
    /// By host: what it was told last.
    list: BTreeMap<usize, ServerEntry>,
    /// By host: idle connections, by the process that they lead to and since when.
    pool: BTreeMap<usize, Vec<(usize, Timestamp)>>,
    seq: Option<u64>,
    calling: bool,
    watching: bool,
    failures: u32,
}

struct Try {
    ask: usize,
    number: u32,
    node: usize,
    life: u32,
    until: Timestamp,
    /// The client has heard, or given up.
    over: bool,
    /// The node has answered, or nothing is owed any more.
    answered: bool,
    attempts: Vec<Attempt>,
}

struct Attempt {
    host: usize,
    process: Option<usize>,
    sent: Timestamp,
    fresh: bool,
    written: bool,
    /// Its outcome is with the decisions.
    ended: bool,
    /// The node no longer listens on its connection.
    given_up: bool,
}

struct Play<'a> {
    script: &'a Script,
    guard: Safeguards,
    make: &'a mut dyn FnMut(Settings, u64) -> Box<dyn Decide>,
    now: Timestamp,
    agenda: Agenda,
    ledger: Ledger,
    draw: Draw,
    demand: Demand<'a>,
    coming: Option<Ask>,
    asks: Vec<(Ask, bool)>,
    tries: Vec<Try>,
    changes: Vec<Change>,
    hosts: Vec<Host>,
    by_id: HashMap<ServerId, usize>,
    /// By seat: its host of today.
    seats: Vec<usize>,
    processes: Vec<Process>,
    nodes: Vec<Node>,
    /// By zone: the nodes that the front sends to.
    fronted: Vec<Vec<usize>>,
    origin: Origin,
    origin_look: Option<Timestamp>,
    discovery_up: bool,
    discovery_seq: u64,
    discovery_free: Timestamp,
    longest: Duration,
    hits: u64,
    misses: u64,
    fetches: (u64, u64),
    origin_queue: usize,
    log_lines: u64,
    samples: Vec<Sample>,
    sampled_misses: u64,
}

impl<'a> Play<'a> {
    fn new(
        script: &'a Script,
        guard: Safeguards,
        make: &'a mut dyn FnMut(Settings, u64) -> Box<dyn Decide>,
    ) -> Self {
        let now = Timestamp::default();
        let mut play = Self {
            script,
            guard,
            make,
            now,
            agenda: Agenda::default(),
            ledger: Ledger::new(script),
            draw: Draw::new(script.seed).on(0x706c_6179),
            demand: Demand::new(script),
            coming: None,
            asks: Vec::new(),
            tries: Vec::new(),
            changes: Vec::new(),
            hosts: Vec::new(),
            by_id: HashMap::new(),
            seats: Vec::new(),
            processes: Vec::new(),
            nodes: Vec::new(),
            fronted: vec![Vec::new(); script.zones.len()],
            origin: Origin::new(script.origin.clone()),
            origin_look: None,
            discovery_up: true,
            discovery_seq: 1,
            discovery_free: now,
            longest: script.classes.iter().map(|class| class.deadline).max().unwrap_or_default(),
            hits: 0,
            misses: 0,
            fetches: (0, 0),
            origin_queue: 0,
            log_lines: 0,
            samples: Vec::new(),
            sampled_misses: 0,
        };
        for seat in 0..fleet::seats(script) {
            play.seats.push(seat);
            play.new_host(seat, true);
        }
        play.warm_up();
        for node in 0..script.nodes as usize {
            let zone = node % script.zones.len();
            let settings = fleet::settings(script, zone);
            let decide = (play.make)(settings, play.draw.on(node as u64).bits());
            play.nodes.push(Node {
                zone,
                decide,
                life: 0,
                up: false,
                leaving: false,
                fronted: false,
                open: BTreeSet::new(),
                list: (0..play.hosts.len()).map(|host| (host, play.entry(host))).collect(),
                pool: BTreeMap::new(),
                seq: None,
                calling: false,
                watching: false,
                failures: 0,
            });
            play.start(node);
        }
        for (at, change) in changes(script) {
            let number = play.changes.len();
            play.changes.push(change);
            play.agenda.put(now + at, What::Change(number));
        }
        play.agenda.put(now + Duration::from_secs(1), What::Sample);
        play.next_ask();
        play
    }

    fn new_host(&mut self, seat: usize, seasoned: bool) {
        let before = self.hosts.iter().filter(|host| host.seat == seat).count();
        let name = fleet::name(self.script, seat, before);
        let number = self.ledger.server(&name, fleet::zone(self.script, seat), fleet::cell(seat));
        let id = ServerId::from(name.as_str());
        let host = self.hosts.len();
        self.by_id.insert(id.clone(), host);
        let listed = Listed {
            state: if seasoned { Availability::Ready } else { Availability::Gone },
            started: None,
            version: 0,
        };
        self.hosts.push(Host { id, seat, number, process: None, reachable: true, listed });
        self.seats[seat] = host;
        self.new_process(host, seasoned);
    }

    fn new_process(&mut self, host: usize, seasoned: bool) {
        let script = self.script;
        let kind = fleet::kind(script, self.hosts[host].seat).clone();
        let server = CacheServer::new(kind, script.rules.clone(), script.reports.clone(), self.now, seasoned);
        self.hosts[host].process = Some(self.processes.len());
        self.processes.push(Process { host, server, alive: true, connections: 0, look: None });
    }

    fn warm_up(&mut self) {
        let list: Vec<_> = (0..self.hosts.len()).map(|host| self.entry(host)).collect();
        for (server, key) in fleet::held_at_start(self.script, list) {
            if let Some(process) = self.by_id.get(&server).and_then(|&host| self.hosts[host].process) {
                self.processes[process].server.hold(key);
            }
        }
    }

    fn entry(&self, host: usize) -> ServerEntry {
        let Host { id, seat, listed, .. } = &self.hosts[host];
        fleet::entry(self.script, id.clone(), *seat, listed.state, listed.started)
    }

    fn way(&self, from: usize, to: usize, draw: Draw) -> Duration {
        conduct::way(&self.script.network, from, to, draw)
    }

    fn client_way(&self, draw: Draw) -> Duration {
        conduct::client_way(&self.script.network, draw)
    }

    fn since_start(&self) -> Duration {
        self.now.since(Timestamp::default())
    }

    fn step(&mut self, what: What) {
        match what {
            What::Ask => self.ask(),
            What::Try { ask, number } => self.send_try(ask, number),
            What::Arrive(request) => self.arrive(request),
            What::Heard { request, answer, away } => self.heard(request, answer, away),
            What::GivesUp(request) => self.gives_up(request),
            What::Leaves(request) => self.leaves(request),
            What::Left(request) => self.left(request),
            What::Guard(request) => {
                let Try { node, answered, .. } = self.tries[request];
                if !answered && self.lives(request) {
                    self.answer(request, Answer::Failed, Duration::ZERO);
                    self.decide(node, Event::Abandoned(request_id(request)));
                }
            }
            What::Wake { node, life } => {
                if self.nodes[node].up && self.nodes[node].life == life {
                    self.decide(node, Event::Timer);
                }
            }
            What::Write { request, attempt } => self.write(request, attempt),
            What::Reach { request, attempt } => self.reach(request, attempt),
            What::Back { request, attempt, status, hit, load } => {
                self.back(request, attempt, status, hit, load)
            }
            What::Timeout { request, attempt } => {
                let Attempt { written, ended, .. } = self.tries[request].attempts[attempt];
                if !ended {
                    self.give_up(request, attempt);
                    let status = if written { Status::TimedOut } else { Status::ConnectError };
                    self.end_attempt(request, attempt, status, false, LoadReport::default());
                }
            }
            What::Look(process) => {
                if self.processes[process].look == Some(self.now) {
                    self.processes[process].look = None;
                    self.look(process);
                }
            }
            What::LookAtOrigin => {
                if self.origin_look == Some(self.now) {
                    self.origin_look = None;
                    self.look_at_origin();
                }
            }
            What::Change(number) => self.change(number),
            What::Notice { host, state, started } => self.notice(host, state, started),
            What::Told { node, life, ok } => self.told(node, life, ok),
            What::FrontHears { node, life, up } => {
                if self.nodes[node].life == life {
                    self.front(node, up);
                }
            }
            What::Ends { node, life, force } => self.ends(node, life, force),
            What::Start(node) => self.start(node),
            What::Sample => self.sample(),
        }
    }

    // Clients.

    fn next_ask(&mut self) {
        self.coming = self.demand.next();
        if let Some(ask) = &self.coming {
            let at = Timestamp::default() + ask.at;
            self.agenda.put(at, What::Ask);
        }
    }

    fn ask(&mut self) {
        let Some(ask) = self.coming.take() else { return };
        self.ledger.note(Fact::Asked { ask: ask.number, at: self.now, class: ask.class });
        let number = self.asks.len();
        self.asks.push((ask, false));
        self.send_try(number, 0);
        self.next_ask();
    }

    fn send_try(&mut self, ask: usize, number: u32) {
        let zone = self.asks[ask].0.zone;
        let draw = self.asks[ask].0.of_try(number);
        let patience = conduct::patience(self.script, &self.asks[ask].0, self.since_start());
        let until = self.now + patience;
        let request = self.tries.len();
        let zones = self.fronted.len();
        let near =
            (0..zones).map(|step| &self.fronted[(zone + step) % zones]).find(|nodes| !nodes.is_empty());
        let node = near.map(|nodes| nodes[(draw.on(1).bits() % nodes.len() as u64) as usize]);
        let life = node.map_or(0, |node| self.nodes[node].life);
        let way = self.client_way(draw.on(2));
        self.tries.push(Try {
            ask,
            number,
            node: node.unwrap_or(0),
            life,
            until,
            over: false,
            answered: false,
            attempts: Vec::new(),
        });
        match node {
            Some(_) => self.agenda.put(self.now + way, What::Arrive(request)),
            None => {
                self.agenda.put(self.now + way, What::Heard { request, answer: None, away: Duration::ZERO })
            }
        }
        if let Some(after) = conduct::leaves(self.script, draw, patience) {
            self.agenda.put(self.now + after, What::Leaves(request));
        }
        self.agenda.put(until, What::GivesUp(request));
    }

    fn heard(&mut self, request: usize, answer: Option<Answer>, away: Duration) {
        let Try { ask, over, .. } = self.tries[request];
        if over {
            return;
        }
        self.tries[request].over = true;
        if answer == Some(Answer::Served) {
            let number = self.asks[ask].0.number;
            self.asks[ask].1 = true;
            self.ledger.note(Fact::Served { ask: number, at: self.now });
        } else {
            self.try_again(request, away);
        }
    }

    fn gives_up(&mut self, request: usize) {
        if !self.tries[request].over {
            self.tries[request].over = true;
            self.client_closes(request);
            self.try_again(request, Duration::ZERO);
        }
    }

    fn leaves(&mut self, request: usize) {
        if !self.tries[request].over {
            self.tries[request].over = true;
            self.ledger.note(Fact::Left { request: request as u64 });
            self.client_closes(request);
        }
    }

    fn client_closes(&mut self, request: usize) {
        let way = self.client_way(self.try_draw(request).on(5));
        self.agenda.put(self.now + way, What::Left(request));
    }

    fn try_again(&mut self, request: usize, away: Duration) {
        let Try { ask, number, .. } = self.tries[request];
        let (asked, served) = &self.asks[ask];
        let again = conduct::again(self.script, asked, number, self.since_start(), away);
        if let Some(wait) = again.filter(|_| !served) {
            self.agenda.put(self.now + wait, What::Try { ask, number: number + 1 });
        }
    }

    fn try_draw(&self, request: usize) -> Draw {
        let Try { ask, number, .. } = self.tries[request];
        self.asks[ask].0.of_try(number)
    }

    // Nodes.

    /// Whether the node's process that took this try still runs.
    fn lives(&self, request: usize) -> bool {
        let Try { node, life, .. } = self.tries[request];
        self.nodes[node].up && self.nodes[node].life == life
    }

    fn arrive(&mut self, request: usize) {
        let Try { ask, node, until, .. } = self.tries[request];
        if !self.nodes[node].up {
            let way = self.client_way(self.try_draw(request).on(6));
            return self
                .agenda
                .put(self.now + way, What::Heard { request, answer: None, away: Duration::ZERO });
        }
        self.tries[request].life = self.nodes[node].life;
        self.nodes[node].open.insert(request);
        let Ask { number, class, .. } = self.asks[ask].0;
        self.ledger.note(Fact::Taken { request: request as u64, ask: number, node, at: self.now, until });
        // The client tells how long it will wait, and the node counts from when the request has come.
        let sent = until.since(self.now) + self.client_way(self.try_draw(request).on(2));
        let valid_until = self.now + sent.saturating_sub(MARGIN);
        if self.guard.answers_in_time {
            self.agenda.put(valid_until + GUARD, What::Guard(request));
        }
        let class_settings = &self.script.classes[class];
        let event = Event::Request(Request {
            id: request_id(request),
            class: Some(ClassId(class)),
            tenant: None,
            key: Some(self.asks[ask].0.key_number()),
            valid_until,
            expected_work: None,
            write: class_settings.write,
            client_retry: false,
        });
        self.decide(node, event);
        // A client that left while its request was on its way.
        if self.tries[request].over {
            self.ledger.note(Fact::Left { request: request as u64 });
            self.left(request);
        }
    }

    fn left(&mut self, request: usize) {
        let Try { node, answered, .. } = self.tries[request];
        if !answered && self.lives(request) && self.nodes[node].open.contains(&request) {
            self.tries[request].answered = true;
            self.decide(node, Event::Abandoned(request_id(request)));
            self.tidy(request);
        }
    }

    /// Gives a final answer. A second one goes out too: the judge sees it.
    fn answer(&mut self, request: usize, answer: Answer, away: Duration) {
        self.tries[request].answered = true;
        self.ledger.note(Fact::Answered { request: request as u64, at: self.now, answer });
        let way = self.client_way(self.try_draw(request).on(7));
        self.agenda.put(self.now + way, What::Heard { request, answer: Some(answer), away });
        self.tidy(request);
    }

    fn tidy(&mut self, request: usize) {
        let Try { node, answered, attempts, .. } = &self.tries[request];
        if *answered && attempts.iter().all(|attempt| attempt.ended) {
            self.nodes[*node].open.remove(&request);
        }
    }

    fn decide(&mut self, node: usize, event: Event) {
        let mut due = VecDeque::from([event]);
        let mut actions = Vec::new();
        while let Some(event) = due.pop_front() {
            self.nodes[node].decide.handle(self.now, event, &mut actions);
            for action in actions.drain(..) {
                due.extend(self.carry_out(node, action));
            }
        }
    }

    /// Does what a node decided; what follows from it at once is for its decisions.
    fn carry_out(&mut self, node: usize, action: Action) -> Option<Event> {
        match action {
            Action::Send { id, server, timeout } => {
                return self.send(node, request_of(&id)?, server, timeout)
            }
            Action::Cancel { id, attempt } => {
                let (request, attempt) = (request_of(&id)?, attempt as usize);
                let ended = self.tries[request].attempts.get(attempt).is_none_or(|attempt| attempt.ended);
                if !ended {
                    self.give_up(request, attempt);
                    return Some(self.outcome(
                        request,
                        attempt,
                        Status::Canceled,
                        false,
                        LoadReport::default(),
                    ));
                }
            }
            Action::Refuse { id, retry_after } => self.answer(request_of(&id)?, Answer::Refused, retry_after),
            Action::Fail { id } => self.answer(request_of(&id)?, Answer::Failed, Duration::ZERO),
            Action::Wake { after } => {
                let life = self.nodes[node].life;
                self.agenda.put(self.now + after, What::Wake { node, life });
            }
            Action::Close { server } => {
                let host = *self.by_id.get(&server)?;
                self.close_idle(node, host);
            }
            Action::Follow => self.call(node),
            Action::Log(_) => self.log_lines += 1,
            Action::Probe { .. } => {}
        }
        None
    }

    fn close_idle(&mut self, node: usize, host: usize) {
        for (process, _) in self.nodes[node].pool.remove(&host).unwrap_or_default() {
            self.processes[process].connections -= 1;
        }
    }

    /// Begins an attempt.
    fn send(&mut self, node: usize, request: usize, server: ServerId, timeout: Duration) -> Option<Event> {
        let host = self.by_id.get(&server).copied()?;
        let (attempt, process) = (self.tries[request].attempts.len(), self.hosts[host].process);
        if self.guard.keeps_back && self.tries[request].answered {
            // The request was over when it was sent: nothing more goes out for it.
            let (sent, none) = (self.now, None);
            let never = Attempt {
                host,
                process: none,
                sent,
                fresh: false,
                written: false,
                ended: true,
                given_up: true,
            };
            self.tries[request].attempts.push(never);
            return Some(self.outcome(request, attempt, Status::Ignored, false, LoadReport::default()));
        }
        let idle_limit = self.script.network.idle / 2;
        let mut kept = None;
        while let Some((to, since)) = self.nodes[node].pool.get_mut(&host).and_then(Vec::pop) {
            if Some(to) == process && self.now.since(since) < idle_limit {
                kept = Some(to);
                break;
            }
            self.processes[to].connections -= 1;
        }
        self.tries[request].attempts.push(Attempt {
            host,
            process: kept,
            sent: self.now,
            fresh: kept.is_none(),
            written: false,
            ended: false,
            given_up: false,
        });
        let until = (self.now + timeout).min(self.tries[request].until + GUARD);
        self.agenda.put(until, What::Timeout { request, attempt });
        if kept.is_some() {
            self.write(request, attempt);
            return None;
        }
        let (from, to) = (self.nodes[node].zone, fleet::zone(self.script, self.hosts[host].seat));
        let trip = self.way(from, to, self.try_draw(request).on(8).on(attempt as u64)) * 2;
        let network = &self.script.network;
        let handshake = trip * network.handshake_rtts;
        let alive = process.filter(|&process| self.processes[process].alive);
        let full = |process: usize| {
            let Process { server, connections, .. } = &self.processes[process];
            *connections >= server.most_connections()
        };
        if !self.hosts[host].reachable || handshake > network.connect_timeout {
            let at = self.now + network.connect_timeout;
            self.fail_later(at, request, attempt);
        } else if alive.is_none_or(full) {
            self.fail_later(self.now + trip, request, attempt);
        } else {
            self.tries[request].attempts[attempt].process = alive;
            alive.into_iter().for_each(|process| self.processes[process].connections += 1);
            self.agenda.put(self.now + handshake, What::Write { request, attempt });
        }
        None
    }

    fn fail_later(&mut self, at: Timestamp, request: usize, attempt: usize) {
        let (status, hit, load) = (Status::ConnectError, false, LoadReport::default());
        self.agenda.put(at, What::Back { request, attempt, status, hit, load });
    }

    /// The first byte of an attempt goes out, unless the news that came meanwhile forbids it.
    fn write(&mut self, request: usize, attempt: usize) {
        let Try { node, ref attempts, .. } = self.tries[request];
        let Attempt { host, process, ended, given_up, .. } = attempts[attempt];
        if ended || given_up || !self.lives(request) {
            return;
        }
        let ready =
            self.nodes[node].list.get(&host).map(|entry| entry.availability) == Some(Availability::Ready);
        let alive = process.is_some_and(|process| self.processes[process].alive);
        if !alive || self.guard.keeps_back && !ready {
            self.give_up(request, attempt);
            return self.end_attempt(request, attempt, Status::ConnectError, false, LoadReport::default());
        }
        self.tries[request].attempts[attempt].written = true;
        let server = self.hosts[host].number;
        self.ledger.note(Fact::Sent { request: request as u64, server, at: self.now });
        let (from, to) = (self.nodes[node].zone, fleet::zone(self.script, self.hosts[host].seat));
        let way = self.way(from, to, self.try_draw(request).on(9).on(attempt as u64));
        self.agenda.put(self.now + way, What::Reach { request, attempt });
    }

    fn reach(&mut self, request: usize, attempt: usize) {
        let Attempt { host, process, fresh, .. } = self.tries[request].attempts[attempt];
        let Some(process) = process else { return };
        if !self.hosts[host].reachable {
            return;
        }
        if !self.processes[process].alive {
            return self.reset(request, attempt);
        }
        let (ask, draw) = (&self.asks[self.tries[request].ask].0, self.try_draw(request));
        let id = request as u64 * ATTEMPTS + attempt as u64;
        let job = conduct::job(self.script, ask, draw.on(10).on(attempt as u64), id, fresh);
        match self.processes[process].server.offer(self.now, job) {
            Offer::Taken => self.look(process),
            Offer::Declined => self.send_back(request, attempt, Status::QueueFull, false),
            Offer::Fell => {
                let server = self.hosts[host].number;
                self.ledger.note(Fact::Fell { server, at: self.now });
                self.reset(request, attempt);
                self.stop(process);
            }
        }
    }

    fn reset(&mut self, request: usize, attempt: usize) {
        self.send_back(request, attempt, Status::Reset, false);
    }

    fn send_back(&mut self, request: usize, attempt: usize, status: Status, hit: bool) {
        let Attempt { host, process, .. } = self.tries[request].attempts[attempt];
        if !self.hosts[host].reachable {
            return;
        }
        let node = self.tries[request].node;
        let (from, to) = (fleet::zone(self.script, self.hosts[host].seat), self.nodes[node].zone);
        let way = self.way(from, to, self.try_draw(request).on(11).on(attempt as u64));
        let answered = !matches!(status, Status::Reset | Status::ConnectError);
        let load = match process.filter(|_| answered) {
            Some(process) => {
                let report = self.processes[process].server.report(self.now);
                let waiting = Some(report.waiting as f64);
                LoadReport { service_time: Some(report.service_time), busy: None, waiting }
            }
            None => LoadReport::default(),
        };
        self.agenda.put(self.now + way, What::Back { request, attempt, status, hit, load });
    }

    fn back(&mut self, request: usize, attempt: usize, status: Status, hit: bool, load: LoadReport) {
        let Attempt { host, process, ended, given_up, .. } = self.tries[request].attempts[attempt];
        if ended || given_up || !self.lives(request) {
            return;
        }
        if matches!(status, Status::Ok | Status::Failed | Status::QueueFull) {
            // The connection is good for another request, unless the news forbids that.
            let node = self.tries[request].node;
            let list = &self.nodes[node].list;
            let ready = list.get(&host).map(|entry| entry.availability) == Some(Availability::Ready);
            match process {
                Some(process) if ready && self.processes[process].alive => {
                    self.nodes[node].pool.entry(host).or_default().push((process, self.now));
                }
                _ => self.give_up(request, attempt),
            }
        } else {
            self.give_up(request, attempt);
        }
        self.end_attempt(request, attempt, status, hit, load);
    }

    /// The node closes the attempt's connection.
    fn give_up(&mut self, request: usize, attempt: usize) {
        let attempt = &mut self.tries[request].attempts[attempt];
        if !std::mem::replace(&mut attempt.given_up, true) {
            if let Some(process) = attempt.process {
                self.processes[process].connections -= 1;
            }
        }
    }

    fn end_attempt(&mut self, request: usize, attempt: usize, status: Status, hit: bool, load: LoadReport) {
        if self.lives(request) {
            let node = self.tries[request].node;
            let outcome = self.outcome(request, attempt, status, hit, load);
            self.decide(node, outcome);
        }
    }

    fn outcome(
        &mut self,
        request: usize,
        attempt: usize,
        status: Status,
        hit: bool,
        load: LoadReport,
    ) -> Event {
        let Attempt { host, sent, .. } = self.tries[request].attempts[attempt];
        self.tries[request].attempts[attempt].ended = true;
        if status == Status::Ok && !self.tries[request].answered {
            self.answer(request, Answer::Served, Duration::ZERO);
        }
        self.tidy(request);
        let note = if hit { Note::Hit } else { Note::Miss };
        Event::Outcome(Outcome {
            id: request_id(request),
            attempt: attempt as u32,
            server: self.hosts[host].id.clone(),
            status,
            note: (self.script.reports.tell_misses && status == Status::Ok).then_some(note),
            took: self.now.since(sent),
            finished: self.tries[request].answered,
            load,
        })
    }

    fn front(&mut self, node: usize, up: bool) {
        let zone = self.nodes[node].zone;
        if std::mem::replace(&mut self.nodes[node].fronted, up) != up {
            self.fronted[zone].retain(|&other| other != node);
            if up {
                self.fronted[zone].push(node);
                self.fronted[zone].sort_unstable();
            }
        }
    }

    fn start(&mut self, node: usize) {
        let (settings, zone) = (fleet::settings(self.script, self.nodes[node].zone), node as u64);
        let life = self.nodes[node].life + 1;
        let decide = (self.make)(settings, self.draw.on(zone).on(u64::from(life)).bits());
        let state = &mut self.nodes[node];
        (state.decide, state.life, state.up, state.leaving) = (decide, life, true, false);
        (state.seq, state.calling, state.watching, state.failures) = (None, false, false, 0);
        let list: Vec<_> = state.list.values().cloned().collect();
        self.ledger.note(Fact::Started { node });
        self.decide(node, Event::Restored(list.into()));
        self.front(node, true);
    }

    fn restart(&mut self, node: usize, killed: bool, down: Duration) {
        if !self.nodes[node].up || self.nodes[node].leaving {
            return;
        }
        let life = self.nodes[node].life;
        if killed {
            self.kill(node);
            self.agenda.put(self.now + self.script.front_notice, What::FrontHears { node, life, up: false });
            return self.agenda.put(self.now + down, What::Start(node));
        }
        self.nodes[node].leaving = true;
        self.agenda.put(self.now + LEAVE_HEARD, What::FrontHears { node, life, up: false });
        self.agenda.put(self.now + LEAVING, What::Ends { node, life, force: false });
        self.agenda.put(self.now + self.longest + KILL_AFTER, What::Ends { node, life, force: true });
    }

    /// Ends a node that leaves, if it has nothing left to do or must.
    fn ends(&mut self, node: usize, life: u32, force: bool) {
        let state = &self.nodes[node];
        if !state.up || state.life != life {
            return;
        }
        if state.open.is_empty() || force {
            self.kill(node);
            let down = self.down(node);
            self.agenda.put(self.now + down, What::Start(node));
        } else {
            self.agenda.put(self.now + Duration::from_millis(50), What::Ends { node, life, force: false });
        }
    }

    /// How long a node stays down at a planned restart.
    fn down(&self, node: usize) -> Duration {
        let all = self.changes.iter().filter_map(|change| match change {
            Change::RestartNode { node: which, down, .. } if *which == node => Some(*down),
            _ => None,
        });
        all.max().unwrap_or_default()
    }

    fn kill(&mut self, node: usize) {
        self.ledger.note(Fact::Killed { node, at: self.now });
        self.nodes[node].up = false;
        let hosts: Vec<_> = self.nodes[node].pool.keys().copied().collect();
        hosts.into_iter().for_each(|host| self.close_idle(node, host));
        for request in std::mem::take(&mut self.nodes[node].open) {
            for attempt in 0..self.tries[request].attempts.len() {
                if !self.tries[request].attempts[attempt].ended {
                    self.tries[request].attempts[attempt].ended = true;
                    self.give_up(request, attempt);
                }
            }
            if !self.tries[request].answered {
                let way = self.client_way(self.try_draw(request).on(7));
                self.agenda.put(self.now + way, What::Heard { request, answer: None, away: Duration::ZERO });
            }
        }
    }

    // Cache servers.

    fn look(&mut self, process: usize) {
        if !self.processes[process].alive {
            return;
        }
        let mut did = Vec::new();
        self.processes[process].server.advance(self.now, &mut did);
        for did in did {
            match did {
                Did::Fetch(job) => self.fetch(process, job),
                Did::Done { id, failed, hit } => {
                    let (request, attempt) = ((id / ATTEMPTS) as usize, (id % ATTEMPTS) as usize);
                    let server = self.hosts[self.processes[process].host].number;
                    self.ledger.note(Fact::Ran { request: request as u64, server, at: self.now });
                    (self.hits, self.misses) = (self.hits + u64::from(hit), self.misses + u64::from(!hit));
                    let status = if failed { Status::Failed } else { Status::Ok };
                    self.send_back(request, attempt, status, hit);
                }
            }
        }
        self.look_again(process);
    }

    fn look_again(&mut self, process: usize) {
        let Process { server, look, .. } = &mut self.processes[process];
        if let Some(next) = server.next().filter(|next| look.is_none_or(|look| *next < look)) {
            let next = next.max(self.now);
            *look = Some(next);
            self.agenda.put(next, What::Look(process));
        }
    }

    fn fetch(&mut self, process: usize, job: u64) {
        let draw = self.try_draw((job / ATTEMPTS) as usize).on(12).on(job % ATTEMPTS);
        if self.origin.fetch(self.now, job, draw) {
            self.fetches.0 += 1;
            self.origin_queue = self.origin_queue.max(self.origin.waiting());
            self.look_at_origin_again();
        } else {
            self.fetches.1 += 1;
            self.processes[process].server.fetched(self.now, job, false);
        }
    }

    fn look_at_origin(&mut self) {
        let mut ended = Vec::new();
        self.origin.ended(self.now, &mut ended);
        for job in ended {
            let (request, attempt) = ((job / ATTEMPTS) as usize, (job % ATTEMPTS) as usize);
            if let Some(process) = self.tries[request].attempts[attempt].process {
                if self.processes[process].alive {
                    self.processes[process].server.fetched(self.now, job, true);
                    self.look(process);
                }
            }
        }
        self.look_at_origin_again();
    }

    fn look_at_origin_again(&mut self) {
        if let Some(next) = self.origin.next().filter(|next| self.origin_look.is_none_or(|look| *next < look))
        {
            self.origin_look = Some(next);
            self.agenda.put(next, What::LookAtOrigin);
        }
    }

    /// Ends a process: what it held is reset.
    fn stop(&mut self, process: usize) {
        if !std::mem::replace(&mut self.processes[process].alive, false) {
            return;
        }
        let host = self.processes[process].host;
        self.hosts[host].process = None;
        self.notice_later(host, Availability::Gone, None);
        // In the order of their numbers: the ones that are open at some node and lead here.
        let open: BTreeSet<usize> = self.nodes.iter().flat_map(|node| node.open.iter().copied()).collect();
        for request in open {
            for attempt in 0..self.tries[request].attempts.len() {
                let Attempt { process: to, written, ended, .. } = self.tries[request].attempts[attempt];
                if to == Some(process) && written && !ended {
                    self.reset(request, attempt);
                }
            }
        }
    }

    fn sample(&mut self) {
        let alive = || self.processes.iter().filter(|process| process.alive);
        self.samples.push(Sample {
            held: alive().map(|process| process.server.held()).sum(),
            origin_waiting: self.origin.waiting(),
            running: alive().count(),
            cold: alive().filter(|process| process.server.warmth(self.now) < 1.0).count(),
            misses: self.misses - self.sampled_misses,
        });
        self.sampled_misses = self.misses;
        let next = self.now + Duration::from_secs(1);
        if next.since(Timestamp::default()) <= self.script.length {
            self.agenda.put(next, What::Sample);
        }
    }

    fn change(&mut self, number: usize) {
        match self.changes[number].clone() {
            Change::Drain { seat } => {
                let host = self.seats[seat];
                if let Some(process) = self.hosts[host].process {
                    self.processes[process].server.drain();
                    self.notice_later(host, Availability::Draining, self.hosts[host].listed.started);
                }
            }
            Change::Stop { seat } => {
                let process = self.hosts[self.seats[seat]].process;
                process.into_iter().for_each(|process| self.stop(process));
            }
            Change::Start { seat, same_id, .. } => {
                let host = self.seats[seat];
                if self.hosts[host].process.is_none() {
                    if same_id {
                        self.new_process(host, false);
                    } else {
                        self.new_host(seat, false);
                    }
                    let host = self.seats[seat];
                    self.notice_later(host, Availability::Ready, Some(self.now));
                }
            }
            Change::Reach { seat, reachable } => {
                let host = self.seats[seat];
                self.hosts[host].reachable = reachable;
            }
            Change::Pause { seat, length } => {
                if let Some(process) = self.hosts[self.seats[seat]].process {
                    // What has ended by now ended before the pause.
                    self.look(process);
                    self.processes[process].server.pause(self.now, length);
                    self.processes[process].look = None;
                    self.look_again(process);
                }
            }
            Change::Errors { seat, rate } => {
                if let Some(process) = self.hosts[self.seats[seat]].process {
                    self.processes[process].server.set_errors(rate);
                }
            }
            Change::RestartNode { node, killed, down } => self.restart(node, killed, down),
            Change::Origin { factor } => self.origin.slow_down(factor),
            Change::Discovery { up } => self.discovery(up),
        }
    }

    // Discovery.

    fn notice_later(&mut self, host: usize, state: Availability, started: Option<Timestamp>) {
        let at = self.now + self.script.discovery.notice;
        self.agenda.put(at, What::Notice { host, state, started });
    }

    fn notice(&mut self, host: usize, state: Availability, started: Option<Timestamp>) {
        self.discovery_seq += 1;
        self.hosts[host].listed = Listed { state, started, version: self.discovery_seq };
        if self.discovery_up {
            for node in 0..self.nodes.len() {
                if std::mem::take(&mut self.nodes[node].watching) {
                    self.deliver(node, 1.0);
                }
            }
        }
    }

    fn discovery(&mut self, up: bool) {
        self.discovery_up = up;
        if !up {
            for node in 0..self.nodes.len() {
                let Node { life, up, .. } = self.nodes[node];
                if up && std::mem::take(&mut self.nodes[node].watching) {
                    self.agenda.put(self.now + CALL_ENDS, What::Told { node, life, ok: false });
                }
            }
        }
    }

    /// A node asks: for the whole list, or for what is newer than it has.
    fn call(&mut self, node: usize) {
        let Node { life, seq, calling, watching, .. } = self.nodes[node];
        if calling || watching {
            return;
        }
        self.nodes[node].calling = true;
        if !self.discovery_up {
            return self.agenda.put(self.now + CALL_ENDS, What::Told { node, life, ok: false });
        }
        match seq {
            Some(seq) if seq >= self.discovery_seq => {
                // It waits, at the cost of the call.
                self.discovery_free =
                    self.discovery_free.max(self.now) + self.lines(self.script.discovery.call_lines);
                let state = &mut self.nodes[node];
                (state.calling, state.watching) = (false, true);
            }
            Some(_) => self.deliver(node, self.script.discovery.call_lines + 1.0),
            None => self.deliver(node, self.script.discovery.call_lines + self.hosts.len() as f64),
        }
    }

    fn lines(&self, lines: f64) -> Duration {
        Duration::from_secs_f64(lines / self.script.discovery.lines_per_s)
    }

    /// Puts an answer of so many lines behind those that discovery has to send already.
    fn deliver(&mut self, node: usize, lines: f64) {
        let life = self.nodes[node].life;
        self.nodes[node].calling = true;
        let (at, timeout) =
            (self.discovery_free.max(self.now) + self.lines(lines), self.script.discovery.timeout);
        if at.since(self.now) > timeout {
            return self.agenda.put(self.now + timeout, What::Told { node, life, ok: false });
        }
        self.discovery_free = at;
        self.agenda.put(at, What::Told { node, life, ok: true });
    }

    fn told(&mut self, node: usize, life: u32, ok: bool) {
        if !self.nodes[node].up || self.nodes[node].life != life {
            return;
        }
        self.nodes[node].calling = false;
        if !ok || !self.discovery_up {
            self.nodes[node].failures += 1;
            return self.decide(node, Event::Servers(ServerList::Unavailable));
        }
        let seq = self.nodes[node].seq.replace(self.discovery_seq);
        let newer = |host: &usize| seq.is_none_or(|seq| self.hosts[*host].listed.version > seq);
        let listed: Vec<usize> = (0..self.hosts.len()).filter(newer).collect();
        let here = |host: usize| self.hosts[host].listed.state != Availability::Gone;
        let entries: Vec<_> = listed
            .iter()
            .filter(|&&host| seq.is_some() || here(host))
            .map(|&host| self.entry(host))
            .collect();
        for host in listed {
            let entry = self.entry(host);
            let stops = entry.availability != Availability::Ready;
            let known = self.nodes[node].list.contains_key(&host);
            if entry.availability == Availability::Gone {
                self.nodes[node].list.remove(&host);
            } else {
                self.nodes[node].list.insert(host, entry);
            }
            if stops {
                self.close_idle(node, host);
            }
            if known || !stops {
                let server = self.hosts[host].number;
                self.ledger.note(Fact::Told { node, server, at: self.now, stops });
            }
        }
        let list = if seq.is_none() {
            ServerList::Full(entries.into())
        } else {
            ServerList::Changes(entries.into())
        };
        self.nodes[node].failures = 0;
        self.decide(node, Event::Servers(list));
        // The watch goes on.
        self.call(node);
    }
}

fn request_id(request: usize) -> RequestId {
    RequestId::from(request.to_string().as_str())
}

fn request_of(id: &RequestId) -> Option<usize> {
    id.as_str().parse().ok()
}
