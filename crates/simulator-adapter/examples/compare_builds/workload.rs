//! Generates a workload from one seed: clients, cache servers with faults, and discovery.
//!
//! The simulated environment reacts to the actions of the adapter. Two builds get the same events as long as they take the
//! same actions; their transcripts differ from the first different action on.

use crate::adapter::Adapter;
use crate::site::Site;
use std::collections::{BTreeMap, HashMap};
use std::error::Error;
use std::path::Path;

/// Time between batches, in microseconds.
const STEP_US: u64 = 2_000;
/// Length of a workload, in microseconds.
const LENGTH_US: u64 = 20_000_000;
/// Number of simulated instances. Their settings usually state a larger number of nodes.
const INSTANCES: usize = 2;
const SERVERS: usize = 14;
const KEYS: u64 = 300;
/// Probability that a request arrives at an instance in a step.
const REQUEST_PROBABILITY: f64 = 0.35;
/// Time for which a server keeps its fault, in microseconds.
const FAULT_PERIOD_US: u64 = 3_000_000;

/// Events and actions of a workload.
#[derive(Default)]
pub struct Transcript {
    /// All events, including instance starts and endpoint lists, and all actions, in order.
    pub lines: Vec<String>,
    /// Number of events.
    pub events: usize,
    /// Number of actions.
    pub actions: usize,
}

/// Runs the workload of this seed with an adapter.
pub fn record(program: &Path, site: &Site, nodes: u32, seed: u64) -> Result<Transcript, Box<dyn Error>> {
    let mut adapter = Adapter::start(program)?;
    let mut environment = Environment::new(site, nodes, seed);
    let mut transcript = Transcript::default();
    while environment.now_us < LENGTH_US {
        let events = environment.next_events();
        let actions = adapter.handle(environment.now_us, &events)?;
        transcript.events += events.len();
        transcript.actions += actions.len();
        for action in &actions {
            environment.apply_action(action);
        }
        transcript.lines.extend(events);
        transcript.lines.extend(actions);
    }
    Ok(transcript)
}

/// A fault of a server.
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

/// Faults to choose from, each entry with equal probability.
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
    started_us: u64,
    fault: Fault,
    in_flight: u32,
}

struct Pending {
    attempts: usize,
    finished: bool,
}

struct Environment<'a> {
    site: &'a Site,
    nodes: u32,
    rng: fastrand::Rng,
    now_us: u64,
    servers: Vec<Server>,
    next_request: u64,
    revision: u64,
    requests: HashMap<(usize, String), Pending>,
    /// Scheduled events by time in microseconds, then in the order of scheduling.
    schedule: BTreeMap<(u64, u64), ScheduledEvent>,
    next_sequence: u64,
    started: bool,
}

enum ScheduledEvent {
    /// An event that is sent as it is.
    Event { line: String },
    /// The end of an attempt.
    AttemptEnded {
        instance: usize,
        request: String,
        attempt: usize,
        server: usize,
        result: &'static str,
        elapsed_us: u64,
    },
}

impl<'a> Environment<'a> {
    fn new(site: &'a Site, nodes: u32, seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed ^ (u64::from(nodes) << 32));
        let mut servers: Vec<Server> = (0..SERVERS)
            .map(|index| Server {
                name: format!("10.0.0.{index}:7000"),
                zone: site.zones[index % site.zones.len()].clone(),
                kind: "std",
                state: "U",
                started_us: 0,
                fault: Fault::None,
                in_flight: 0,
            })
            .collect();
        if site.is_aside() {
            servers[0].kind = "origin";
        }
        let now_us = 1_000_000 + rng.u64(..1_000_000);
        Self {
            site,
            nodes,
            rng,
            now_us,
            servers,
            next_request: 0,
            revision: 1,
            requests: HashMap::new(),
            schedule: BTreeMap::new(),
            next_sequence: 0,
            started: false,
        }
    }

    /// Returns the events of the next step. The first call starts the instances and does not advance the time.
    fn next_events(&mut self) -> Vec<String> {
        let mut events = Vec::new();
        if !self.started {
            self.started = true;
            (0..INSTANCES).for_each(|instance| self.start_instance(instance, &mut events));
            return events;
        }
        self.now_us += STEP_US;
        self.change_servers(&mut events);
        while let Some(entry) = self.schedule.first_entry().filter(|entry| entry.key().0 <= self.now_us) {
            match entry.remove() {
                ScheduledEvent::Event { line } => events.push(line),
                ScheduledEvent::AttemptEnded { instance, request, attempt, server, result, elapsed_us } => {
                    events.extend(self.end_attempt(instance, &request, attempt, server, result, elapsed_us));
                }
            }
        }
        for instance in 0..INSTANCES {
            if self.rng.f64() < REQUEST_PROBABILITY {
                events.push(self.new_request(instance));
            }
        }
        if self.rng.u32(..4_000) == 0 {
            let instance = self.rng.usize(..INSTANCES);
            events.push(format!("retire who={instance}"));
            self.requests.retain(|(other, _), _| *other != instance);
            self.start_instance(instance, &mut events);
        }
        events
    }

    fn start_instance(&mut self, instance: usize, events: &mut Vec<String>) {
        let zone = &self.site.zones[instance % self.site.zones.len()];
        let seed = self.rng.u64(..1 << 50);
        // The values chosen from the ranges of the site depend on the number of nodes only, so that all instances have the
        // same settings.
        let mut settings_rng = fastrand::Rng::with_seed(u64::from(self.nodes));
        events.push(self.site.start_line(instance, seed, zone, self.nodes, &mut settings_rng));
        let all: Vec<usize> = (0..self.servers.len()).collect();
        self.add_endpoint_list(&all, events);
        events.push(format!("peers_known who={instance} how=restored bank=0 revision={}", self.revision));
    }

    /// Adds an endpoint list with these servers to the events.
    fn add_endpoint_list(&mut self, servers: &[usize], events: &mut Vec<String>) {
        events.push(format!("roster bank=0 hosts={}", servers.len()));
        for &index in servers {
            let Server { name, zone, kind, state, started_us, .. } = &self.servers[index];
            let weight = 1.0 + (index % 3) as f64 / 2.0;
            events.push(format!(
                "m server={name} region_part={zone} machine={kind} group={} availability={state} \
                 capacity_hint={weight} born_us={started_us}",
                index % 4
            ));
        }
    }

    /// Chooses new faults at the start of each period, and now and then changes the state of a server and sends an update.
    fn change_servers(&mut self, events: &mut Vec<String>) {
        if self.now_us % FAULT_PERIOD_US < STEP_US {
            for server in &mut self.servers {
                server.fault = FAULTS[self.rng.usize(..FAULTS.len())];
            }
        }
        if self.rng.u32(..500) != 0 {
            return;
        }
        let index = self.rng.usize(..self.servers.len());
        let server = &mut self.servers[index];
        (server.state, server.started_us) = match server.state {
            "U" if self.rng.bool() => ("L", server.started_us),
            "U" => ("U", self.now_us),
            "L" => ("D", server.started_us),
            _ => ("U", self.now_us),
        };
        self.revision += 1;
        let is_snapshot = self.rng.u32(..8) == 0;
        let listed: Vec<usize> = if is_snapshot { (0..self.servers.len()).collect() } else { vec![index] };
        self.add_endpoint_list(&listed, events);
        let how = if is_snapshot { "replace" } else { "update" };
        for instance in 0..INSTANCES {
            events.push(match self.rng.u32(..20) {
                0 => format!("peers_known who={instance} how=unavailable"),
                _ => format!("peers_known who={instance} how={how} bank=0 revision={}", self.revision),
            });
        }
    }

    fn new_request(&mut self, instance: usize) -> String {
        self.next_request += 1;
        let request = format!("c:{}", self.next_request);
        let class = &self.site.classes[self.rng.usize(..self.site.classes.len())];
        // A few keys are hot.
        let key = if self.rng.bool() { self.rng.u64(..3) } else { self.rng.u64(..KEYS) };
        let time_limit_us = self.rng.u64(50_000..1_000_000);
        let (work_us, options) = (self.rng.u64(5_000..60_000), self.rng.u32(..8));
        let mut line = format!(
            "submit who={instance} request_id={request} cls={class} object={key} valid_until_us={} expected_us={work_us} \
             options={options}",
            self.now_us + time_limit_us
        );
        if !self.site.tenants.is_empty() {
            let tenant = &self.site.tenants[self.rng.usize(..self.site.tenants.len())];
            line.push_str(&format!(" party={tenant}"));
        }
        if self.rng.u32(..30) == 0 {
            let cancellation = format!("abandoned who={instance} request_id={request}");
            let delay_us = self.rng.u64(..time_limit_us);
            self.schedule_event(delay_us, ScheduledEvent::Event { line: cancellation });
        }
        self.requests.insert((instance, request), Pending { attempts: 0, finished: false });
        line
    }

    fn schedule_event(&mut self, delay_us: u64, event: ScheduledEvent) {
        self.schedule.insert((self.now_us + delay_us, self.next_sequence), event);
        self.next_sequence += 1;
    }

    /// Applies the effects of an action, which is a line of the reply.
    fn apply_action(&mut self, action: &str) {
        let (action_name, rest) = action.split_once(' ').unwrap_or((action, ""));
        let field = |name: &str| {
            let mut pairs = rest.split(' ').filter_map(|pair| pair.split_once('='));
            pairs.find(|(other, _)| *other == name).map(|(_, value)| value.to_owned())
        };
        let Some(instance) = field("who").and_then(|text| text.parse::<usize>().ok()) else { return };
        match (action_name, field("request_id")) {
            ("send", Some(request)) => {
                let timeout_us = field("allow_for_us").and_then(|text| text.parse().ok()).unwrap_or(1);
                self.start_attempt(instance, request, &field("server").unwrap_or_default(), timeout_us);
            }
            ("busy" | "report_failure", Some(request)) => {
                if let Some(pending) = self.requests.get_mut(&(instance, request)) {
                    pending.finished = true;
                }
            }
            ("wake_at", _) => {
                let delay_us = field("sleep_for_us").and_then(|text| text.parse().ok()).unwrap_or(0);
                self.schedule_event(
                    delay_us,
                    ScheduledEvent::Event { line: format!("timer who={instance} nonce=w") },
                );
            }
            _ => {}
        }
    }

    fn start_attempt(&mut self, instance: usize, request: String, server: &str, timeout_us: u64) {
        let Some(pending) = self.requests.get_mut(&(instance, request.clone())) else { return };
        let attempt = pending.attempts;
        pending.attempts += 1;
        let Some(index) = self.servers.iter().position(|other| other.name == server) else { return };
        let server = &mut self.servers[index];
        server.in_flight += 1;
        let base_us = 8_000 + u64::from(server.in_flight) * 4_000;
        let mut elapsed_us = (base_us as f64 * (0.3 - self.rng.f64().max(1e-9).ln())) as u64;
        let mut result = match server.fault {
            Fault::QueueFull if self.rng.u32(..4) > 0 => "QueueFull",
            Fault::Failing if self.rng.u32(..4) > 0 => "Failed",
            Fault::Unreachable => "ConnectError",
            Fault::Resetting if self.rng.bool() => "ResetByPeer",
            _ => "Ok",
        };
        match server.fault {
            Fault::Slow => elapsed_us *= 8,
            Fault::Silent => elapsed_us = u64::MAX / 4,
            _ => {}
        }
        if self.site.is_aside() && server.kind != "origin" && result == "Ok" && self.rng.u32(..6) == 0 {
            result = "Miss";
        }
        if elapsed_us >= timeout_us {
            (elapsed_us, result) = (timeout_us, "TimedOut");
        }
        self.schedule_event(
            elapsed_us,
            ScheduledEvent::AttemptEnded { instance, request, attempt, server: index, result, elapsed_us },
        );
    }

    /// Ends an attempt and returns its event, or `None` if the instance has been restarted since.
    fn end_attempt(
        &mut self,
        instance: usize,
        request: &str,
        attempt: usize,
        server: usize,
        result: &str,
        elapsed_us: u64,
    ) -> Option<String> {
        let server = &mut self.servers[server];
        server.in_flight -= 1;
        let pending = self.requests.get_mut(&(instance, request.to_owned()))?;
        pending.finished |= result == "Ok";
        let mut line = format!(
            "returned who={instance} request_id={request} hop={attempt} server={} result={result} spent_us={elapsed_us} finished={}",
            server.name,
            u8::from(pending.finished)
        );
        if self.site.reports_hits() {
            line.push_str(&format!(" info={}", self.rng.u32(1..4)));
        }
        if result == "Ok" && self.rng.u32(..3) > 0 {
            let (waiting, cpu) = (server.in_flight.saturating_sub(3), self.rng.f64());
            line.push_str(&format!(" server_stats=waiting:{waiting},cpu:{cpu:.3},avg_ms:12.5"));
        }
        Some(line)
    }
}
