//! Draws what a script's events do, step by step: the same script gives the same steps.

use super::messages::{Answering, ListedServer};
use super::script::{Event, EventKind, ScaleScript};
use crate::random::RandomSource;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

const SECONDS_A_DAY: f64 = 86_400.0;
/// Changes of the list that replacing one server makes.
const CHANGES_A_REPLACEMENT: f64 = 3.0;
/// Servers that share a cell.
const SERVERS_A_CELL: u32 = 16;
/// Where servers would listen, were there any.
const SERVER_PORT: u16 = 7070;

/// A step of the run.
#[derive(Clone, Debug, PartialEq)]
pub struct Planned {
    /// From the beginning of the measurement.
    pub at: Duration,
    /// What is done.
    pub step: Step,
}

/// What the run does at one time.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// A server's entry on the list is new.
    Change {
        /// The entry.
        server: ListedServer,
        /// It starts at this time, so that its `born_ms` is that of the step.
        starts: bool,
    },
    /// Hollow nodes are killed.
    Kill(Vec<u32>),
    /// Hollow nodes start, without a list.
    Launch(Vec<u32>),
    /// Replicas answer like this from here on.
    Answer {
        /// Their numbers.
        replicas: Vec<u32>,
        /// How.
        answering: Answering,
    },
    /// A replica learns of changes later by this from here on.
    Lag {
        /// Its number.
        replica: u32,
        /// Zero: at once, also what it was to learn later.
        by: Duration,
    },
    /// A replica loses all entries, or its count of versions.
    Lose {
        /// Its number.
        replica: u32,
        /// The count of versions.
        versions: bool,
    },
    /// A replica that lost something has it again.
    Restore {
        /// Its number.
        replica: u32,
    },
    /// Nodes are told to use the first so many replicas.
    ReplicaSet(u32),
}

/// A list for runs in which nobody sends anything to servers: all of them ready, for a long time.
pub fn servers_at_start(script: &ScaleScript) -> Vec<ListedServer> {
    (0..script.servers).map(|seat| server_at_start(script, seat)).collect()
}

fn server_at_start(script: &ScaleScript, seat: u32) -> ListedServer {
    let address = Ipv4Addr::new(127, 1, (seat / 250) as u8, 1 + (seat % 250) as u8);
    ListedServer {
        host: format!("server-{seat}"),
        dial: SocketAddr::from((address, SERVER_PORT)),
        site: script.zone_name(seat % script.zones),
        class: "standard".into(),
        block: u64::from(seat / SERVERS_A_CELL),
        health: "ready".into(),
        share: 1.0,
        born_ms: 0,
    }
}

/// The server in a seat, after so many replacements: each has a name of its own, and listens where the first one did.
fn successor(first: &ListedServer, generation: u32) -> ListedServer {
    match generation {
        0 => first.clone(),
        _ => ListedServer { host: format!("{}-{generation}", first.host), ..first.clone() },
    }
}

/// All steps of a script's events, in the order of time. `servers` are on the list at the start, one for each seat.
pub fn plan(script: &ScaleScript, servers: &[ListedServer]) -> Vec<Planned> {
    let mut planner = Planner::new(script, servers);
    // A zone takes all that is in it; the others draw among what is left.
    let (zones, others): (Vec<_>, Vec<_>) =
        script.events.iter().enumerate().partition(|(_, event)| matches!(event.what, EventKind::Zone { .. }));
    for (number, event) in zones.into_iter().chain(others) {
        planner.event(event, RandomSource::new(script.seed).derive(number as u64));
    }
    planner.carry_out_servers();
    let mut planned = planner.planned;
    planned.sort_by_key(|planned| planned.at);
    planned
}

/// What is under way at which times, so that no node or server is drawn for two things at once.
#[derive(Debug)]
struct Occupied(Vec<Vec<(Duration, Duration)>>);

impl Occupied {
    fn new(count: u32) -> Self {
        Self(vec![Vec::new(); count as usize])
    }

    /// Takes this one for the time between, if it is free.
    fn take(&mut self, number: u32, from: Duration, to: Duration) -> bool {
        let times = &mut self.0[number as usize];
        let free = times.iter().all(|&(taken_from, taken_to)| to < taken_from || taken_to < from);
        if free {
            times.push((from, to));
        }
        free
    }

    /// Takes the first free one from a drawn one on.
    fn take_random(&mut self, random: RandomSource, from: Duration, to: Duration) -> Option<u32> {
        let count = self.0.len() as u64;
        let first = random.bits() % count;
        (0..count).map(|next| ((first + next) % count) as u32).find(|&number| self.take(number, from, to))
    }
}

/// What is drawn for a server.
#[derive(Clone, Copy, Debug)]
struct ServerJob {
    seat: u32,
    at: Duration,
    kind: ServerJobKind,
}

#[derive(Clone, Copy, Debug)]
enum ServerJobKind {
    /// It drains, is gone after one step, and its successor is ready after another.
    Replace { step: Duration },
    /// It is gone, and ready again at this time.
    Restart { back: Duration },
}

struct Planner<'a> {
    script: &'a ScaleScript,
    at_start: &'a [ListedServer],
    nodes: Occupied,
    servers: Occupied,
    /// Which server is in a seat is known once all of them are drawn.
    server_jobs: Vec<ServerJob>,
    planned: Vec<Planned>,
}

impl<'a> Planner<'a> {
    fn new(script: &'a ScaleScript, at_start: &'a [ListedServer]) -> Self {
        Self {
            script,
            at_start,
            nodes: Occupied::new(script.nodes),
            servers: Occupied::new(at_start.len() as u32),
            server_jobs: Vec::new(),
            planned: Vec::new(),
        }
    }

    fn step(&mut self, at: Duration, step: Step) {
        self.planned.push(Planned { at, step });
    }

    /// A step with which something ends, if it does.
    fn step_at_end(&mut self, end: Option<Duration>, step: Step) {
        if let Some(at) = end {
            self.step(at, step);
        }
    }

    fn event(&mut self, event: &Event, random: RandomSource) {
        let from = event.at;
        let to = event.over.map(|over| from + over);
        match event.what {
            EventKind::Changes { per_day, step } => self.changes(event, per_day, step, random),
            EventKind::Restarts { per_day, down, nodes_only } => {
                self.restarts(event, per_day, down, nodes_only, random);
            }
            EventKind::Zone { zone } => {
                let drawn = (random.bits() % u64::from(self.script.zones)) as u32;
                self.zone(event, zone.unwrap_or(drawn));
            }
            EventKind::ReplicaLost { replica } => {
                let replica = self.replica(replica, random);
                self.answer(event, vec![replica], Answering::Away);
            }
            EventKind::ReplicaSilent { replica } => {
                let replica = self.replica(replica, random);
                self.answer(event, vec![replica], Answering::Silent);
            }
            EventKind::ReplicaLagging { replica, lag } => {
                let replica = self.replica(replica, random);
                self.step(from, Step::Lag { replica, by: lag });
                self.step_at_end(to, Step::Lag { replica, by: Duration::ZERO });
            }
            EventKind::ReplicaReset { replica, versions } => {
                let replica = self.replica(replica, random);
                self.step(from, Step::Lose { replica, versions });
                self.step_at_end(to, Step::Restore { replica });
            }
            EventKind::DiscoveryAway => {
                let all = (0..self.script.running_replicas()).collect();
                self.answer(event, all, Answering::Away);
            }
            EventKind::ReplicaSet { replicas } if self.script.mechanism => {
                self.step(from, Step::ReplicaSet(replicas));
            }
            // Nodes know one address, whatever set there is.
            EventKind::ReplicaSet { .. } => {}
        }
    }

    /// A replica that nodes know: the one that the script names, or a drawn one.
    fn replica(&self, named: Option<u32>, random: RandomSource) -> u32 {
        let known = self.script.known_replicas();
        named.unwrap_or((random.bits() % u64::from(known)) as u32).min(known - 1)
    }

    fn answer(&mut self, event: &Event, replicas: Vec<u32>, answering: Answering) {
        self.step(event.at, Step::Answer { replicas: replicas.clone(), answering });
        let end = event.over.map(|over| event.at + over);
        self.step_at_end(end, Step::Answer { replicas, answering: Answering::Up });
    }

    fn changes(&mut self, event: &Event, per_day: f64, step: Duration, random: RandomSource) {
        let takes = step * 2;
        let replacements_a_day = per_day / CHANGES_A_REPLACEMENT;
        for (number, at) in times(event, replacements_a_day, takes, random).into_iter().enumerate() {
            let random = random.derive(1).derive(number as u64);
            if let Some(seat) = self.servers.take_random(random, at, at + takes) {
                self.server_jobs.push(ServerJob { seat, at, kind: ServerJobKind::Replace { step } });
            }
        }
    }

    fn restarts(
        &mut self,
        event: &Event,
        per_day: f64,
        down: Duration,
        nodes_only: bool,
        random: RandomSource,
    ) {
        let machines = u64::from(self.script.nodes) + self.at_start.len() as u64;
        for (number, at) in times(event, per_day, down, random).into_iter().enumerate() {
            let random = random.derive(1).derive(number as u64);
            let back = at + down;
            let is_node = nodes_only || random.bits() % machines < u64::from(self.script.nodes);
            if is_node {
                if let Some(node) = self.nodes.take_random(random.derive(1), at, back) {
                    self.step(at, Step::Kill(vec![node]));
                    self.step(back, Step::Launch(vec![node]));
                }
            } else if let Some(seat) = self.servers.take_random(random.derive(1), at, back) {
                self.server_jobs.push(ServerJob { seat, at, kind: ServerJobKind::Restart { back } });
            }
        }
    }

    fn zone(&mut self, event: &Event, zone: u32) {
        let (from, to) = (event.at, event.at + event.over.unwrap_or_default());
        let in_zone = |number: &u32| number % self.script.zones == zone;
        let nodes: Vec<_> = (0..self.script.nodes).filter(in_zone).collect();
        let nodes: Vec<_> = nodes.into_iter().filter(|&node| self.nodes.take(node, from, to)).collect();
        let seats: Vec<_> = (0..self.at_start.len() as u32).filter(in_zone).collect();
        for seat in seats {
            if self.servers.take(seat, from, to) {
                let kind = ServerJobKind::Restart { back: to };
                self.server_jobs.push(ServerJob { seat, at: from, kind });
            }
        }
        if !nodes.is_empty() {
            self.step(from, Step::Kill(nodes.clone()));
            self.step(to, Step::Launch(nodes));
        }
    }

    /// Turns what is drawn for servers into changes of the list, each of the server that is in the seat by then.
    fn carry_out_servers(&mut self) {
        let mut jobs = std::mem::take(&mut self.server_jobs);
        jobs.sort_by_key(|job| job.at);
        let mut generations = vec![0_u32; self.at_start.len()];
        for ServerJob { seat, at, kind } in jobs {
            let first = &self.at_start[seat as usize];
            let generation = &mut generations[seat as usize];
            let present = successor(first, *generation);
            match kind {
                ServerJobKind::Replace { step } => {
                    *generation += 1;
                    let successor = successor(first, *generation);
                    self.change(at, with_health(&present, "draining"));
                    self.change(at + step, with_health(&present, "gone"));
                    self.server_starts(at + step * 2, successor);
                }
                ServerJobKind::Restart { back } => {
                    self.change(at, with_health(&present, "gone"));
                    self.server_starts(back, present);
                }
            }
        }
    }

    fn change(&mut self, at: Duration, server: ListedServer) {
        self.step(at, Step::Change { server, starts: false });
    }

    fn server_starts(&mut self, at: Duration, server: ListedServer) {
        self.step(at, Step::Change { server, starts: true });
    }
}

fn with_health(server: &ListedServer, health: &str) -> ListedServer {
    ListedServer { health: health.into(), ..server.clone() }
}

/// When things of a rate begin that take so long, within an event: evenly, each drawn within its part. At least one.
fn times(event: &Event, per_day: f64, takes: Duration, random: RandomSource) -> Vec<Duration> {
    let over = event.over.unwrap_or_default();
    let count = (per_day * over.as_secs_f64() / SECONDS_A_DAY).round().max(1.0) as u32;
    let room = over.saturating_sub(takes);
    let part = room / count;
    (0..count)
        .map(|number| event.at + part * number + part.mul_f64(random.derive(u64::from(number)).uniform()))
        .collect()
}
