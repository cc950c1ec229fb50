//! The player in virtual time: the real decisions, one instance a node, in a world of events. One thread, no wall
//! clock, nothing from outside: the same script gives the same bytes every time.
//!
//! What a node does beside deciding (its driver, its connections, its client of discovery) is done here in the way that
//! the daemon does it, as far as it shows from outside. The judge is told what a bystander would see.

mod agenda;
mod attempts;
mod clients;
mod discovery;
mod nodes;
mod servers;

use self::agenda::{Agenda, What};
use self::nodes::request_id;
use crate::conduct;
use crate::counts::{Counts, Met};
use crate::demand::{Ask, Demand};
use crate::draw::Draw;
use crate::fleet;
use crate::ledger::{Answer, Ledger, Verdict};
use crate::placement::Placement;
use crate::script::Script;
use crate::timeline::{changes, Change, Condition};
use crate::world::{CacheServer, Origin};
use balancer_core::{
    Action, AttemptStatus, Balancer, Endpoint, EndpointState, Event, LearnedState, LoadReport, ServerId,
    Settings, Timestamp,
};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet, HashMap};
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

    /// What a successor is told; `None` where there is nothing to tell.
    fn knowledge(&self, _now: Timestamp) -> Option<LearnedState> {
        None
    }
}

impl Decide for Balancer {
    fn handle(&mut self, now: Timestamp, event: Event, actions: &mut Vec<Action>) {
        Balancer::handle(self, now, event, actions);
    }

    fn knowledge(&self, now: Timestamp) -> Option<LearnedState> {
        Some(Balancer::learned_state(self, now))
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
    /// What all nodes did to the fleet, by second; empty on sockets, where nobody sees it all.
    pub counts: Vec<Counts>,
    /// Entries whose place at the start was looked up. In virtual time.
    #[serde(skip)]
    pub placements_looked_up: usize,
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

impl Sample {
    /// Of these cache servers and the origin, as they are now.
    pub fn of<'a>(
        running: impl Iterator<Item = &'a CacheServer>,
        origin: &Origin,
        now: Timestamp,
        misses: u64,
    ) -> Self {
        let none = Self { origin_waiting: origin.waiting(), misses, ..Self::default() };
        running.fold(none, |sample, server| Self {
            held: sample.held + server.held(),
            running: sample.running + 1,
            cold: sample.cold + usize::from(server.warmth(now) < 1.0),
            ..sample
        })
    }
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
        counts: play.counts,
        placements_looked_up: play.placement.map_or(0, |placement| placement.lookups()),
    }
}

struct Host {
    id: ServerId,
    seat: usize,
    /// The ledger's number.
    number: usize,
    /// The process that runs under it.
    process: Option<usize>,
    /// As discovery has it.
    listed: Listed,
}

struct Listed {
    state: EndpointState,
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
    /// How often it has read its configuration again. Every other one has the classes the other way round.
    reloads: u32,
    /// Counts its starts: what was meant for an earlier life is dropped.
    life: u32,
    up: bool,
    leaving: bool,
    /// The front sends to it.
    fronted: bool,
    /// Tries that it took and has not answered, or whose attempts are out.
    open: BTreeSet<usize>,
    /// By host: what it was told last.
    list: BTreeMap<usize, Endpoint>,
    /// By host: idle connections, the one used last stands last.
    pool: BTreeMap<usize, Vec<Kept>>,
    /// Version of its list, which outlives it where the platform starts it.
    seq: Option<u64>,
    calling: bool,
    watching: bool,
    failures: u32,
}

/// An idle connection of a node's.
struct Kept {
    /// The process that it leads to.
    process: usize,
    made: Timestamp,
    /// Idle since then.
    since: Timestamp,
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
    /// When its connection came up.
    made: Timestamp,
    fresh: bool,
    /// The cache server has closed its connection, and the node has not heard of it.
    closed: bool,
    written: bool,
    /// Its outcome is with the decisions.
    ended: bool,
    /// The node no longer listens on its connection.
    given_up: bool,
}

/// What an attempt came to, as its node sees it.
#[derive(Clone, Copy, Debug)]
struct Ended {
    status: AttemptStatus,
    hit: bool,
    load: LoadReport,
}

impl Ended {
    fn without_answer(status: AttemptStatus) -> Self {
        Self { status, hit: false, load: LoadReport::default() }
    }
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
    placement: Option<Placement>,
    /// By seat: its host of today.
    seats: Vec<usize>,
    /// By seat.
    conditions: Vec<Condition>,
    /// By seat: nothing passes on connections that came up by then.
    forgotten: Vec<Option<Timestamp>>,
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
    counts: Vec<Counts>,
    /// Of discovery's answers, this part breaks off or can't be read; and how many there have been.
    breaks: f64,
    told: u64,
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
            placement: None,
            seats: Vec::new(),
            conditions: vec![Condition::default(); fleet::seats(script)],
            forgotten: vec![None; fleet::seats(script)],
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
            counts: vec![Counts::default(); script.length.as_secs_f64().ceil() as usize],
            breaks: 0.0,
            told: 0,
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
                reloads: 0,
                life: 0,
                up: false,
                leaving: false,
                fronted: false,
                open: BTreeSet::new(),
                list: (0..play.hosts.len()).map(|host| (host, play.entry(host))).collect(),
                pool: BTreeMap::new(),
                // The list that it starts with is today's.
                seq: Some(play.discovery_seq),
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

    fn client_way(&self, draw: Draw) -> Duration {
        conduct::client_way(&self.script.network, draw)
    }

    /// The counts of this second; what comes after the last belongs to that.
    fn count(&mut self) -> &mut Counts {
        let last = self.counts.len() - 1;
        let second = self.since_start().as_secs() as usize;
        &mut self.counts[second.min(last)]
    }

    /// The state that an attempt at this host meets.
    fn met(&self, host: usize) -> Met {
        let Host { seat, process, .. } = &self.hosts[host];
        let condition = &self.conditions[*seat];
        let alive = process.map(|process| &self.processes[process]).filter(|process| process.alive);
        match alive {
            _ if !condition.reachable => Met::Silent,
            None => Met::Gone,
            Some(process) if process.server.drains() => Met::Draining,
            _ if condition.errors > 0.0 || condition.resets > 0.0 => Met::Bad,
            Some(process) if process.server.warmth(self.now) < 1.0 => Met::Cold,
            _ => Met::Well,
        }
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
                    self.decide(node, Event::RequestCancelled(request_id(request)));
                }
            }
            What::Wake { node, life } => {
                if self.nodes[node].up && self.nodes[node].life == life {
                    self.decide(node, Event::TimerExpired);
                }
            }
            What::Write { request, attempt } => self.write(request, attempt),
            What::Reach { request, attempt } => self.reach(request, attempt),
            What::Back { request, attempt, came } => self.back(request, attempt, came),
            What::Timeout { request, attempt } => {
                let Attempt { written, ended, .. } = self.tries[request].attempts[attempt];
                if !ended {
                    self.give_up(request, attempt);
                    let status = if written { AttemptStatus::TimedOut } else { AttemptStatus::ConnectError };
                    self.end_attempt(request, attempt, Ended::without_answer(status));
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
            What::Ends { node, life, force, down } => self.ends(node, life, force, down),
            What::Call { node, life } => {
                if self.nodes[node].up && self.nodes[node].life == life {
                    self.call(node);
                }
            }
            What::Start(node) => self.start(node),
            What::Sample => self.sample(),
        }
    }

    fn sample(&mut self) {
        let alive = self.processes.iter().filter(|process| process.alive).map(|process| &process.server);
        let misses = self.misses - self.sampled_misses;
        self.samples.push(Sample::of(alive, &self.origin, self.now, misses));
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
                    self.notice_later(host, EndpointState::Draining, self.hosts[host].listed.started);
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
                    self.notice_later(host, EndpointState::Ready, Some(self.now));
                }
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
            Change::Condition { seat, condition } => {
                self.conditions[seat] = condition;
                if let Some(process) = self.hosts[self.seats[seat]].process {
                    self.processes[process].server.set_errors(condition.errors);
                }
            }
            Change::Forget { seat } => self.forgotten[seat] = Some(self.now),
            Change::UpgradeNode { node } => self.upgrade(node),
            Change::ReloadNode { node } => self.reload(node),
            Change::RestartNode { node, killed, down } => self.restart(node, killed, down),
            Change::Origin { factor } => self.origin.slow_down(factor),
            Change::Discovery { up } => self.discovery(up),
            Change::DiscoveryBreaks { rate } => self.breaks = rate,
        }
    }
}
