//! The steps of a script's events, chosen at random by the seed: the same script gives the same steps.

use super::messages::{Answering, ListedServer};
use super::script::{Event, EventKind, ScaleScript};
use crate::random::RandomSource;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

const SECONDS_PER_DAY: f64 = 86_400.0;
/// The number of changes of the list that the replacement of one server makes.
const CHANGES_PER_REPLACEMENT: f64 = 3.0;
/// The number of servers in a cell.
const SERVERS_PER_CELL: u32 = 16;
/// The port of listed servers, which nobody connects to.
const SERVER_PORT: u16 = 7070;

/// A step and its time.
#[derive(Clone, Debug, PartialEq)]
pub struct Planned {
    /// From the beginning of the measurement.
    pub at: Duration,
    /// The step.
    pub step: Step,
}

/// Something that the run does.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// The entry of a server changes.
    Change {
        /// The new entry.
        server: ListedServer,
        /// The server starts now: its `born_ms` is the time of the step.
        starts: bool,
    },
    /// These hollow nodes are killed.
    Kill(Vec<u32>),
    /// These hollow nodes start, without a list.
    Launch(Vec<u32>),
    /// Replicas answer in another way from now on.
    Answer {
        /// Their numbers.
        replicas: Vec<u32>,
        /// How they answer.
        answering: Answering,
    },
    /// A replica learns of changes with a lag from now on.
    Lag {
        /// Its number.
        replica: u32,
        /// The lag. Zero ends it, and the replica learns at once of everything that is pending.
        by: Duration,
    },
    /// A replica loses its entries or its version.
    Lose {
        /// Its number.
        replica: u32,
        /// Whether it loses its version instead of its entries.
        versions: bool,
    },
    /// A replica has again what it lost.
    Restore {
        /// Its number.
        replica: u32,
    },
    /// Nodes are configured to use only this many of the replicas, the first ones.
    ReplicaSet(u32),
}

/// The list at the start of a run in which nobody connects to the servers: all of them are ready.
pub fn servers_at_start(script: &ScaleScript) -> Vec<ListedServer> {
    (0..script.servers).map(|index| server_at_start(script, index)).collect()
}

fn server_at_start(script: &ScaleScript, index: u32) -> ListedServer {
    let address = Ipv4Addr::new(127, 1, (index / 250) as u8, 1 + (index % 250) as u8);
    ListedServer {
        host: format!("server-{index}"),
        dial: SocketAddr::from((address, SERVER_PORT)),
        site: script.zone_name(index % script.zones),
        class: "standard".into(),
        block: u64::from(index / SERVERS_PER_CELL),
        health: "ready".into(),
        share: 1.0,
        born_ms: 0,
    }
}

/// The server after so many replacements of the first one: it has a name of its own, and the address of the first one.
fn successor(first: &ListedServer, generation: u32) -> ListedServer {
    match generation {
        0 => first.clone(),
        _ => ListedServer { host: format!("{}-{generation}", first.host), ..first.clone() },
    }
}

/// All steps of a script's events, in the order of time. `servers` are those of the list at the start.
pub fn plan(script: &ScaleScript, servers: &[ListedServer]) -> Vec<Planned> {
    let mut planner = Planner::new(script, servers);
    // A zone takes everything in it; the other events choose among the rest.
    let (zones, others): (Vec<_>, Vec<_>) =
        script.events.iter().enumerate().partition(|(_, event)| matches!(event.what, EventKind::Zone { .. }));
    for (number, event) in zones.into_iter().chain(others) {
        planner.event(event, RandomSource::new(script.seed).derive(number as u64));
    }
    planner.plan_server_changes();
    let mut planned = planner.planned;
    planned.sort_by_key(|planned| planned.at);
    planned
}

/// When each node or server is taken by an event, so that none is chosen for two events at once.
#[derive(Debug)]
struct Reservations(Vec<Vec<(Duration, Duration)>>);

impl Reservations {
    fn new(count: u32) -> Self {
        Self(vec![Vec::new(); count as usize])
    }

    /// Reserves one for a time. Returns `false` if it is reserved for any part of that time.
    fn reserve(&mut self, number: u32, from: Duration, to: Duration) -> bool {
        let times = &mut self.0[number as usize];
        let free = times.iter().all(|&(taken_from, taken_to)| to < taken_from || taken_to < from);
        if free {
            times.push((from, to));
        }
        free
    }

    /// Reserves the first free one, from a random one on.
    fn reserve_random(&mut self, random: RandomSource, from: Duration, to: Duration) -> Option<u32> {
        let count = self.0.len() as u64;
        let first = random.bits() % count;
        (0..count).map(|next| ((first + next) % count) as u32).find(|&number| self.reserve(number, from, to))
    }
}

/// What an event does to a server.
#[derive(Clone, Copy, Debug)]
struct ServerJob {
    index: u32,
    at: Duration,
    kind: ServerJobKind,
}

#[derive(Clone, Copy, Debug)]
enum ServerJobKind {
    /// It drains, is removed one step later, and its successor is ready after another step.
    Replace { step: Duration },
    /// It is removed, and ready again at this time.
    Restart { back: Duration },
}

struct Planner<'a> {
    script: &'a ScaleScript,
    at_start: &'a [ListedServer],
    nodes: Reservations,
    servers: Reservations,
    /// Planned last: which replacement is running depends on all earlier ones.
    server_jobs: Vec<ServerJob>,
    planned: Vec<Planned>,
}

impl<'a> Planner<'a> {
    fn new(script: &'a ScaleScript, at_start: &'a [ListedServer]) -> Self {
        Self {
            script,
            at_start,
            nodes: Reservations::new(script.nodes),
            servers: Reservations::new(at_start.len() as u32),
            server_jobs: Vec::new(),
            planned: Vec::new(),
        }
    }

    fn step(&mut self, at: Duration, step: Step) {
        self.planned.push(Planned { at, step });
    }

    /// Adds the step that ends something, if it ends.
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
            // Without the mechanism, nodes know one address whatever the set is.
            EventKind::ReplicaSet { .. } => {}
        }
    }

    /// A replica that nodes know: the one that the script names, or a random one.
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
        let replacements_per_day = per_day / CHANGES_PER_REPLACEMENT;
        for (number, at) in times(event, replacements_per_day, takes, random).into_iter().enumerate() {
            let random = random.derive(1).derive(number as u64);
            if let Some(index) = self.servers.reserve_random(random, at, at + takes) {
                self.server_jobs.push(ServerJob { index, at, kind: ServerJobKind::Replace { step } });
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
                if let Some(node) = self.nodes.reserve_random(random.derive(1), at, back) {
                    self.step(at, Step::Kill(vec![node]));
                    self.step(back, Step::Launch(vec![node]));
                }
            } else if let Some(index) = self.servers.reserve_random(random.derive(1), at, back) {
                self.server_jobs.push(ServerJob { index, at, kind: ServerJobKind::Restart { back } });
            }
        }
    }

    fn zone(&mut self, event: &Event, zone: u32) {
        let (from, to) = (event.at, event.at + event.over.unwrap_or_default());
        let in_zone = |number: &u32| number % self.script.zones == zone;
        let nodes: Vec<_> = (0..self.script.nodes).filter(in_zone).collect();
        let nodes: Vec<_> = nodes.into_iter().filter(|&node| self.nodes.reserve(node, from, to)).collect();
        let indices: Vec<_> = (0..self.at_start.len() as u32).filter(in_zone).collect();
        for index in indices {
            if self.servers.reserve(index, from, to) {
                let kind = ServerJobKind::Restart { back: to };
                self.server_jobs.push(ServerJob { index, at: from, kind });
            }
        }
        if !nodes.is_empty() {
            self.step(from, Step::Kill(nodes.clone()));
            self.step(to, Step::Launch(nodes));
        }
    }

    /// Turns server jobs into changes of the list, each of the replacement that is running by then.
    fn plan_server_changes(&mut self) {
        let mut jobs = std::mem::take(&mut self.server_jobs);
        jobs.sort_by_key(|job| job.at);
        let mut generations = vec![0_u32; self.at_start.len()];
        for ServerJob { index, at, kind } in jobs {
            let first = &self.at_start[index as usize];
            let generation = &mut generations[index as usize];
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

/// The times, within an event, of things that happen at this rate and take this long: one at a random time within each of
/// equal parts. There is at least one.
fn times(event: &Event, per_day: f64, takes: Duration, random: RandomSource) -> Vec<Duration> {
    let over = event.over.unwrap_or_default();
    let count = (per_day * over.as_secs_f64() / SECONDS_PER_DAY).round().max(1.0) as u32;
    let room = over.saturating_sub(takes);
    let part = room / count;
    (0..count)
        .map(|number| event.at + part * number + part.mul_f64(random.derive(u64::from(number)).uniform()))
        .collect()
}
