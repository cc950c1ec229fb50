//! A generated workload: clients, cache servers with faults, and discovery, driven by one seed.
//!
//! The world answers what the adapter does, so two builds see the same events for as long as they act alike, and their
//! transcripts differ from the first other action on.

use crate::adapter::Adapter;
use crate::site::Site;
use std::collections::{BTreeMap, HashMap};
use std::error::Error;
use std::path::Path;

/// Time from one batch to the next, in microseconds.
const STEP_US: u64 = 2_000;
/// Length of a workload, in microseconds.
const LENGTH_US: u64 = 20_000_000;
/// Instances that are played; the settings tell them of more.
const INSTANCES: usize = 2;
const SERVERS: usize = 14;
const KEYS: u64 = 300;
/// Requests that arrive at each instance in a step, in the mean.
const REQUESTS_PER_STEP: f64 = 0.35;
/// Length of the spans in which a server keeps its fault, in microseconds.
const FAULT_SPAN_US: u64 = 3_000_000;

/// What a build did with a workload.
#[derive(Default)]
pub struct Transcript {
    /// The start of each instance, each event and each action, in order.
    pub lines: Vec<String>,
    /// Number of events.
    pub events: usize,
    /// Number of actions.
    pub actions: usize,
}

/// Plays the workload of this seed with an adapter.
pub fn record(program: &Path, site: &Site, nodes: u32, seed: u64) -> Result<Transcript, Box<dyn Error>> {
    let mut adapter = Adapter::start(program)?;
    let mut world = World::new(site, nodes, seed);
    let mut transcript = Transcript::default();
    while world.now < LENGTH_US {
        let events = world.next_events();
        let actions = adapter.handle(world.now, &events)?;
        transcript.events += events.len();
        transcript.actions += actions.len();
        for action in &actions {
            world.carry_out(action);
        }
        transcript.lines.extend(events);
        transcript.lines.extend(actions);
    }
    Ok(transcript)
}

/// What makes a server's answers bad for a while.
#[derive(Clone, Copy, PartialEq)]
enum Fault {
    None,
    Slow,
    QueueFull,
    Failing,
    Silent,
    Unreachable,
    Resetting,
}

const FAULTS: [Fault; 12] = [
    Fault::None,
    Fault::None,
    Fault::None,
    Fault::None,
    Fault::None,
    Fault::None,
    Fault::Slow,
    Fault::QueueFull,
    Fault::Failing,
    Fault::Silent,
    Fault::Unreachable,
    Fault::Resetting,
];

struct Server {
    name: String,
    zone: String,
    kind: &'static str,
    state: &'static str,
    started: u64,
    fault: Fault,
    in_flight: u32,
}

struct Pending {
    attempts: usize,
    finished: bool,
}

struct World<'a> {
    site: &'a Site,
    nodes: u32,
    random: fastrand::Rng,
    now: u64,
    servers: Vec<Server>,
    next_request: u64,
    revision: u64,
    requests: HashMap<(usize, String), Pending>,
    /// Events to come, by time and order.
    agenda: BTreeMap<(u64, u64), Later>,
    next_entry: u64,
    started: bool,
}

enum Later {
    Event { line: String },
    Returned { who: usize, request: String, hop: usize, server: usize, result: &'static str, spent: u64 },
}

impl<'a> World<'a> {
    fn new(site: &'a Site, nodes: u32, seed: u64) -> Self {
        let mut random = fastrand::Rng::with_seed(seed ^ (u64::from(nodes) << 32));
        let mut servers: Vec<Server> = (0..SERVERS)
            .map(|index| Server {
                name: format!("10.0.0.{index}:7000"),
                zone: site.zones[index % site.zones.len()].clone(),
                kind: "std",
                state: "U",
                started: 0,
                fault: Fault::None,
                in_flight: 0,
            })
            .collect();
        if site.is_aside() {
            servers[0].kind = "origin";
        }
        let now = 1_000_000 + random.u64(..1_000_000);
        Self {
            site,
            nodes,
            random,
            now,
            servers,
            next_request: 0,
            revision: 1,
            requests: HashMap::new(),
            agenda: BTreeMap::new(),
            next_entry: 0,
            started: false,
        }
    }

    fn next_events(&mut self) -> Vec<String> {
        let mut events = Vec::new();
        if !self.started {
            self.started = true;
            (0..INSTANCES).for_each(|who| self.start(who, &mut events));
            return events;
        }
        self.now += STEP_US;
        self.change_servers(&mut events);
        while let Some(entry) = self.agenda.first_entry().filter(|entry| entry.key().0 <= self.now) {
            match entry.remove() {
                Later::Event { line } => events.push(line),
                Later::Returned { who, request, hop, server, result, spent } => {
                    events.extend(self.returned(who, &request, hop, server, result, spent));
                }
            }
        }
        for who in 0..INSTANCES {
            if self.random.f64() < REQUESTS_PER_STEP {
                events.push(self.submit(who));
            }
        }
        if self.random.u32(..4_000) == 0 {
            let who = self.random.usize(..INSTANCES);
            events.push(format!("retire who={who}"));
            self.requests.retain(|(other, _), _| *other != who);
            self.start(who, &mut events);
        }
        events
    }

    fn start(&mut self, who: usize, events: &mut Vec<String>) {
        let zone = &self.site.zones[who % self.site.zones.len()];
        let seed = self.random.u64(..1 << 50);
        // The ranges of the site are settled by the seed alone, so that all instances have the same settings.
        let mut settings = fastrand::Rng::with_seed(u64::from(self.nodes));
        events.push(self.site.power_on(who, seed, zone, self.nodes, &mut settings));
        let all: Vec<usize> = (0..self.servers.len()).collect();
        self.list(&all, events);
        events.push(format!("peers_known who={who} how=restored bank=0 revision={}", self.revision));
    }

    fn list(&mut self, servers: &[usize], events: &mut Vec<String>) {
        events.push(format!("roster bank=0 hosts={}", servers.len()));
        for &index in servers {
            let Server { name, zone, kind, state, started, .. } = &self.servers[index];
            let weight = 1.0 + (index % 3) as f64 / 2.0;
            events.push(format!(
                "m server={name} region_part={zone} machine={kind} group={} availability={state} \
                 capacity_hint={weight} born_us={started}",
                index % 4
            ));
        }
    }

    fn change_servers(&mut self, events: &mut Vec<String>) {
        if self.now % FAULT_SPAN_US < STEP_US {
            for server in &mut self.servers {
                server.fault = FAULTS[self.random.usize(..FAULTS.len())];
            }
        }
        if self.random.u32(..500) != 0 {
            return;
        }
        let index = self.random.usize(..self.servers.len());
        let server = &mut self.servers[index];
        (server.state, server.started) = match server.state {
            "U" if self.random.bool() => ("L", server.started),
            "U" => ("U", self.now),
            "L" => ("D", server.started),
            _ => ("U", self.now),
        };
        self.revision += 1;
        let whole = self.random.u32(..8) == 0;
        let listed: Vec<usize> = if whole { (0..self.servers.len()).collect() } else { vec![index] };
        self.list(&listed, events);
        let how = if whole { "replace" } else { "update" };
        for who in 0..INSTANCES {
            events.push(match self.random.u32(..20) {
                0 => format!("peers_known who={who} how=unavailable"),
                _ => format!("peers_known who={who} how={how} bank=0 revision={}", self.revision),
            });
        }
    }

    fn submit(&mut self, who: usize) -> String {
        self.next_request += 1;
        let request = format!("c:{}", self.next_request);
        let class = &self.site.classes[self.random.usize(..self.site.classes.len())];
        // A few keys are hot.
        let key = if self.random.bool() { self.random.u64(..3) } else { self.random.u64(..KEYS) };
        let patience = self.random.u64(50_000..1_000_000);
        let (work, options) = (self.random.u64(5_000..60_000), self.random.u32(..8));
        let mut line = format!(
            "submit who={who} request_id={request} cls={class} object={key} valid_until_us={} expected_us={work} \
             options={options}",
            self.now + patience
        );
        if !self.site.tenants.is_empty() {
            let tenant = &self.site.tenants[self.random.usize(..self.site.tenants.len())];
            line.push_str(&format!(" party={tenant}"));
        }
        if self.random.u32(..30) == 0 {
            let gone = format!("abandoned who={who} request_id={request}");
            let after = self.random.u64(..patience);
            self.later(after, Later::Event { line: gone });
        }
        self.requests.insert((who, request), Pending { attempts: 0, finished: false });
        line
    }

    fn later(&mut self, after: u64, what: Later) {
        self.agenda.insert((self.now + after, self.next_entry), what);
        self.next_entry += 1;
    }

    fn carry_out(&mut self, action: &str) {
        let (verb, rest) = action.split_once(' ').unwrap_or((action, ""));
        let field = |name: &str| {
            let mut pairs = rest.split(' ').filter_map(|pair| pair.split_once('='));
            pairs.find(|(other, _)| *other == name).map(|(_, value)| value.to_owned())
        };
        let Some(who) = field("who").and_then(|who| who.parse::<usize>().ok()) else { return };
        match (verb, field("request_id")) {
            ("send", Some(request)) => {
                let timeout = field("allow_for_us").and_then(|time| time.parse().ok()).unwrap_or(1);
                self.send(who, request, &field("server").unwrap_or_default(), timeout);
            }
            ("busy" | "report_failure", Some(request)) => {
                if let Some(pending) = self.requests.get_mut(&(who, request)) {
                    pending.finished = true;
                }
            }
            ("wake_at", _) => {
                let after = field("sleep_for_us").and_then(|time| time.parse().ok()).unwrap_or(0);
                self.later(after, Later::Event { line: format!("timer who={who} nonce=w") });
            }
            _ => {}
        }
    }

    fn send(&mut self, who: usize, request: String, server: &str, timeout: u64) {
        let Some(pending) = self.requests.get_mut(&(who, request.clone())) else { return };
        let hop = pending.attempts;
        pending.attempts += 1;
        let Some(index) = self.servers.iter().position(|other| other.name == server) else { return };
        let server = &mut self.servers[index];
        server.in_flight += 1;
        let base = 8_000 + u64::from(server.in_flight) * 4_000;
        let mut spent = (base as f64 * (0.3 - self.random.f64().max(1e-9).ln())) as u64;
        let mut result = match server.fault {
            Fault::QueueFull if self.random.u32(..4) > 0 => "QueueFull",
            Fault::Failing if self.random.u32(..4) > 0 => "Failed",
            Fault::Unreachable => "ConnectError",
            Fault::Resetting if self.random.bool() => "ResetByPeer",
            _ => "Ok",
        };
        match server.fault {
            Fault::Slow => spent *= 8,
            Fault::Silent => spent = u64::MAX / 4,
            _ => {}
        }
        if self.site.is_aside() && server.kind != "origin" && result == "Ok" && self.random.u32(..6) == 0 {
            result = "Miss";
        }
        if spent >= timeout {
            (spent, result) = (timeout, "TimedOut");
        }
        self.later(spent, Later::Returned { who, request, hop, server: index, result, spent });
    }

    fn returned(
        &mut self,
        who: usize,
        request: &str,
        hop: usize,
        server: usize,
        result: &str,
        spent: u64,
    ) -> Option<String> {
        let server = &mut self.servers[server];
        server.in_flight -= 1;
        let pending = self.requests.get_mut(&(who, request.to_owned()))?;
        pending.finished |= result == "Ok";
        let mut line = format!(
            "returned who={who} request_id={request} hop={hop} server={} result={result} spent_us={spent} finished={}",
            server.name,
            u8::from(pending.finished)
        );
        if self.site.tells_hits() {
            line.push_str(&format!(" info={}", self.random.u32(1..4)));
        }
        if result == "Ok" && self.random.u32(..3) > 0 {
            let (waiting, busy) = (server.in_flight.saturating_sub(3), self.random.f64());
            line.push_str(&format!(" server_stats=waiting:{waiting},cpu:{busy:.3},avg_ms:12.5"));
        }
        Some(line)
    }
}
