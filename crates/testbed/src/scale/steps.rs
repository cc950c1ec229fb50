//! Turns the events of a script into timed steps. Random choices depend on the seed only, so the same script
//! always gives the same steps.

use super::messages::{Answering, ListedServer};
use super::script::{Event, EventKind, ScaleScript};
use crate::random::RandomSource;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

const SECONDS_PER_DAY: f64 = 86_400.0;
/// Changes of the list caused by the replacement of one server.
const CHANGES_PER_REPLACEMENT: f64 = 3.0;
/// Servers in each cell.
const SERVERS_PER_CELL: u32 = 16;
/// The port of the servers on the list. Nothing connects to it.
const SERVER_PORT: u16 = 7070;

/// A step and its time.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedStep {
    /// The time since the beginning of the measurement.
    pub at: Duration,
    /// The step.
    pub step: Step,
}

/// An action of the run.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Changes the entry of a server.
    Change {
        /// The new entry.
        server: ListedServer,
        /// Whether the server starts now, so that `born_ms` is the time of the step.
        starts: bool,
    },
    /// Kills hollow nodes, given by index.
    Kill(Vec<u32>),
    /// Starts hollow nodes, given by index, without a list.
    Launch(Vec<u32>),
    /// Sets how replicas answer from now on.
    SetAnswering {
        /// The indices of the replicas.
        replicas: Vec<u32>,
        /// How they answer.
        answering: Answering,
    },
    /// Sets the lag with which a replica receives changes.
    SetLag {
        /// The index of the replica.
        replica: u32,
        /// The lag. With zero, the replica receives all pending changes at once.
        by: Duration,
    },
    /// Makes a replica lose its entries or its version.
    LoseState {
        /// The index of the replica.
        replica: u32,
        /// Whether the replica loses its version instead of its entries.
        versions: bool,
    },
    /// Restores what a replica has lost.
    RestoreState {
        /// The index of the replica.
        replica: u32,
    },
    /// Configures nodes to use only this number of replicas, from the first one on.
    SetReplicas(u32),
}

/// Returns the list at the start of a run in which nothing connects to the servers. All of them are ready.
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

/// Returns the server after `generation` replacements of the first one. It has its own name and the address
/// of the first server.
fn successor(first: &ListedServer, generation: u32) -> ListedServer {
    match generation {
        0 => first.clone(),
        _ => ListedServer { host: format!("{}-{generation}", first.host), ..first.clone() },
    }
}

/// Returns the steps of all events of a script in chronological order. `servers` is the list at the start.
pub fn plan(script: &ScaleScript, servers: &[ListedServer]) -> Vec<PlannedStep> {
    let mut planner = Planner::new(script, servers);
    // The loss of a zone affects all of its nodes and servers, so it is planned first. The other events
    // choose among the remaining ones.
    let (zones, others): (Vec<_>, Vec<_>) =
        script.events.iter().enumerate().partition(|(_, event)| matches!(event.kind, EventKind::Zone { .. }));
    for (number, event) in zones.into_iter().chain(others) {
        planner.plan_event(event, RandomSource::new(script.seed).derive(number as u64));
    }
    planner.plan_server_changes();
    let mut planned = planner.planned;
    planned.sort_by_key(|planned| planned.at);
    planned
}

/// The periods for which each node or server is reserved by an event, so that none is chosen for two events
/// at once.
#[derive(Debug)]
struct Reservations(Vec<Vec<(Duration, Duration)>>);

impl Reservations {
    fn new(count: u32) -> Self {
        Self(vec![Vec::new(); count as usize])
    }

    /// Reserves an item for a period. Returns `false` if it is already reserved for any part of that period.
    fn reserve(&mut self, number: u32, from: Duration, to: Duration) -> bool {
        let periods = &mut self.0[number as usize];
        let free =
            periods.iter().all(|&(reserved_from, reserved_to)| to < reserved_from || reserved_to < from);
        if free {
            periods.push((from, to));
        }
        free
    }

    /// Reserves the first free item, searching from a random one on. Returns its index.
    fn reserve_random(&mut self, random: RandomSource, from: Duration, to: Duration) -> Option<u32> {
        let count = self.0.len() as u64;
        let first = random.bits() % count;
        (0..count)
            .map(|offset| ((first + offset) % count) as u32)
            .find(|&number| self.reserve(number, from, to))
    }
}

/// A planned replacement or restart of a server.
#[derive(Clone, Copy, Debug)]
struct ServerOperation {
    index: u32,
    at: Duration,
    kind: ServerOperationKind,
}

#[derive(Clone, Copy, Debug)]
enum ServerOperationKind {
    /// The server drains, is removed one step later, and its successor is ready after another step.
    Replace { step: Duration },
    /// The server is removed, and is ready again at `back`.
    Restart { back: Duration },
}

struct Planner<'a> {
    script: &'a ScaleScript,
    initial_servers: &'a [ListedServer],
    nodes: Reservations,
    servers: Reservations,
    /// Turned into steps last, since the generation of a server depends on all earlier operations on it.
    server_operations: Vec<ServerOperation>,
    planned: Vec<PlannedStep>,
}

impl<'a> Planner<'a> {
    fn new(script: &'a ScaleScript, initial_servers: &'a [ListedServer]) -> Self {
        Self {
            script,
            initial_servers,
            nodes: Reservations::new(script.nodes),
            servers: Reservations::new(initial_servers.len() as u32),
            server_operations: Vec::new(),
            planned: Vec::new(),
        }
    }

    fn push_step(&mut self, at: Duration, step: Step) {
        self.planned.push(PlannedStep { at, step });
    }

    /// Adds a step at the end of an event, unless the event has no end.
    fn push_end_step(&mut self, end: Option<Duration>, step: Step) {
        if let Some(at) = end {
            self.push_step(at, step);
        }
    }

    fn plan_event(&mut self, event: &Event, random: RandomSource) {
        let from = event.at;
        let to = event.duration.map(|duration| from + duration);
        match event.kind {
            EventKind::Changes { per_day, step } => self.plan_changes(event, per_day, step, random),
            EventKind::Restarts { per_day, downtime, nodes_only } => {
                self.plan_restarts(event, per_day, downtime, nodes_only, random);
            }
            EventKind::Zone { zone } => {
                let random_zone = (random.bits() % u64::from(self.script.zones)) as u32;
                self.plan_zone_loss(event, zone.unwrap_or(random_zone));
            }
            EventKind::ReplicaLost { replica } => {
                let replica = self.choose_replica(replica, random);
                self.plan_answering(event, vec![replica], Answering::Away);
            }
            EventKind::ReplicaSilent { replica } => {
                let replica = self.choose_replica(replica, random);
                self.plan_answering(event, vec![replica], Answering::Silent);
            }
            EventKind::ReplicaLagging { replica, lag } => {
                let replica = self.choose_replica(replica, random);
                self.push_step(from, Step::SetLag { replica, by: lag });
                self.push_end_step(to, Step::SetLag { replica, by: Duration::ZERO });
            }
            EventKind::ReplicaReset { replica, versions } => {
                let replica = self.choose_replica(replica, random);
                self.push_step(from, Step::LoseState { replica, versions });
                self.push_end_step(to, Step::RestoreState { replica });
            }
            EventKind::DiscoveryAway => {
                let all = (0..self.script.running_replicas()).collect();
                self.plan_answering(event, all, Answering::Away);
            }
            EventKind::ReplicaSet { replicas } if self.script.mechanism => {
                self.push_step(from, Step::SetReplicas(replicas));
            }
            // Without the mechanism, nodes know only one address.
            EventKind::ReplicaSet { .. } => {}
        }
    }

    /// Returns a replica that nodes know: the one named by the script, or a random one.
    fn choose_replica(&self, named: Option<u32>, random: RandomSource) -> u32 {
        let known = self.script.known_replicas();
        named.unwrap_or((random.bits() % u64::from(known)) as u32).min(known - 1)
    }

    fn plan_answering(&mut self, event: &Event, replicas: Vec<u32>, answering: Answering) {
        self.push_step(event.at, Step::SetAnswering { replicas: replicas.clone(), answering });
        let end = event.duration.map(|duration| event.at + duration);
        self.push_end_step(end, Step::SetAnswering { replicas, answering: Answering::Up });
    }

    fn plan_changes(&mut self, event: &Event, per_day: f64, step: Duration, random: RandomSource) {
        let duration = step * 2;
        let replacements_per_day = per_day / CHANGES_PER_REPLACEMENT;
        for (number, at) in
            random_times(event, replacements_per_day, duration, random).into_iter().enumerate()
        {
            let random = random.derive(1).derive(number as u64);
            if let Some(index) = self.servers.reserve_random(random, at, at + duration) {
                self.server_operations.push(ServerOperation {
                    index,
                    at,
                    kind: ServerOperationKind::Replace { step },
                });
            }
        }
    }

    fn plan_restarts(
        &mut self,
        event: &Event,
        per_day: f64,
        downtime: Duration,
        nodes_only: bool,
        random: RandomSource,
    ) {
        let machines = u64::from(self.script.nodes) + self.initial_servers.len() as u64;
        for (number, at) in random_times(event, per_day, downtime, random).into_iter().enumerate() {
            let random = random.derive(1).derive(number as u64);
            let back = at + downtime;
            let is_node = nodes_only || random.bits() % machines < u64::from(self.script.nodes);
            if is_node {
                if let Some(node) = self.nodes.reserve_random(random.derive(1), at, back) {
                    self.push_step(at, Step::Kill(vec![node]));
                    self.push_step(back, Step::Launch(vec![node]));
                }
            } else if let Some(index) = self.servers.reserve_random(random.derive(1), at, back) {
                self.server_operations.push(ServerOperation {
                    index,
                    at,
                    kind: ServerOperationKind::Restart { back },
                });
            }
        }
    }

    fn plan_zone_loss(&mut self, event: &Event, zone: u32) {
        let (from, to) = (event.at, event.at + event.duration.unwrap_or_default());
        let in_zone = |number: &u32| number % self.script.zones == zone;
        let nodes: Vec<_> = (0..self.script.nodes).filter(in_zone).collect();
        let nodes: Vec<_> = nodes.into_iter().filter(|&node| self.nodes.reserve(node, from, to)).collect();
        let indices: Vec<_> = (0..self.initial_servers.len() as u32).filter(in_zone).collect();
        for index in indices {
            if self.servers.reserve(index, from, to) {
                let kind = ServerOperationKind::Restart { back: to };
                self.server_operations.push(ServerOperation { index, at: from, kind });
            }
        }
        if !nodes.is_empty() {
            self.push_step(from, Step::Kill(nodes.clone()));
            self.push_step(to, Step::Launch(nodes));
        }
    }

    /// Turns server operations into changes of the list. Each one applies to the generation of the server
    /// that is listed at that time.
    fn plan_server_changes(&mut self) {
        let mut operations = std::mem::take(&mut self.server_operations);
        operations.sort_by_key(|operation| operation.at);
        let mut generations = vec![0_u32; self.initial_servers.len()];
        for ServerOperation { index, at, kind } in operations {
            let first = &self.initial_servers[index as usize];
            let generation = &mut generations[index as usize];
            let current = successor(first, *generation);
            match kind {
                ServerOperationKind::Replace { step } => {
                    *generation += 1;
                    let successor = successor(first, *generation);
                    self.push_change(at, with_health(&current, "draining"));
                    self.push_change(at + step, with_health(&current, "gone"));
                    self.push_server_start(at + step * 2, successor);
                }
                ServerOperationKind::Restart { back } => {
                    self.push_change(at, with_health(&current, "gone"));
                    self.push_server_start(back, current);
                }
            }
        }
    }

    fn push_change(&mut self, at: Duration, server: ListedServer) {
        self.push_step(at, Step::Change { server, starts: false });
    }

    fn push_server_start(&mut self, at: Duration, server: ListedServer) {
        self.push_step(at, Step::Change { server, starts: true });
    }
}

fn with_health(server: &ListedServer, health: &str) -> ListedServer {
    ListedServer { health: health.into(), ..server.clone() }
}

/// Returns the start times of operations that occur at a rate during an event and end before the event does.
/// The event is divided into equal parts, and one operation starts at a random time in each of them. There is
/// at least one.
fn random_times(
    event: &Event,
    per_day: f64,
    operation_time: Duration,
    random: RandomSource,
) -> Vec<Duration> {
    let duration = event.duration.unwrap_or_default();
    let count = (per_day * duration.as_secs_f64() / SECONDS_PER_DAY).round().max(1.0) as u32;
    let available = duration.saturating_sub(operation_time);
    let part = available / count;
    (0..count)
        .map(|number| event.at + part * number + part.mul_f64(random.derive(u64::from(number)).uniform()))
        .collect()
}
