//! The load that all nodes of a fleet together send to a warming server.
//!
//! The settings give the server a budget of N requests of mean work per window. The tolerance for random
//! variation is 2√N + 2, regardless of the number of nodes and of which of them have just started.

mod common;

use balancer_core::*;
use common::{ms, settings};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

/// Window over which the load of a warming server is counted.
const OVERLOAD_WINDOW: Duration = Duration::from_millis(1_500);
const MIN_FRACTION: f64 = 0.35;
const OVERLOAD_FACTOR: f64 = 3.0;
/// Start time of the simulation, in microseconds.
const START: u64 = 3_000_000_000;
/// Length of a run, in seconds.
const SECONDS: u64 = 9;
const SERVERS: usize = 12;
/// Latency of every answer, in microseconds.
const LATENCY: u64 = 40_000;

/// Conditions of one simulated fleet.
#[derive(Clone, Copy, Debug)]
struct Trial {
    nodes: u32,
    /// Total request rate of all nodes, per second.
    rate: u64,
    /// Request rate as a fraction of the servers' capacity.
    utilization: f64,
    /// Number of servers that have just started.
    warming: usize,
    /// Fraction of the requests that are for a single key, whose server is warming up.
    hot_fraction: f64,
    /// Fraction of the nodes that restart without learned state halfway through the run.
    restarting_fraction: f64,
    /// Whether some requests take six times as much work as the others.
    uneven_work: bool,
    /// Whether some nodes get up to six times as many requests as others.
    uneven_traffic: bool,
    /// Whether each node has two processes, as during a hand-over, so that the nodes' settings state half of
    /// the number of processes.
    two_processes: bool,
    /// Whether the nodes treat every server as warm.
    slow_start_off: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    RequestArrives,
    AttemptEnds { request: u64, attempt: u32, server: usize },
    TimerExpires,
}

/// A simulated fleet during a trial.
struct Fleet<'a> {
    trial: &'a Trial,
    seed: u64,
    settings: Settings,
    endpoints: Vec<Endpoint>,
    nodes: Vec<Balancer>,
    /// Scheduled steps: time in microseconds, node and step.
    scheduled_steps: BinaryHeap<Reverse<(u64, usize, Step)>>,
    rng: fastrand::Rng,
    hot_key: u64,
    requests: u64,
    /// Requests sent to each server: time in microseconds and work.
    sent: Vec<Vec<(u64, f64)>>,
}

fn request_id(request: u64) -> RequestId {
    request.to_string().as_str().into()
}

fn server_name(server: usize) -> String {
    format!("s-{server:02}")
}

fn server_index(server: &ServerId) -> usize {
    server.as_str()[2..].parse().expect("a number")
}

impl Trial {
    /// One of twelve servers is warming up, under ordinary conditions otherwise.
    fn ordinary(nodes: u32) -> Self {
        Self {
            nodes,
            rate: 600,
            utilization: 0.7,
            warming: 1,
            hot_fraction: 0.0,
            restarting_fraction: 0.0,
            uneven_work: false,
            uneven_traffic: false,
            two_processes: false,
            slow_start_off: false,
        }
    }

    /// Returns the budget of a warming server per window at its start, in requests of mean work.
    fn budget(&self) -> f64 {
        let capacity = self.rate as f64 / self.utilization / SERVERS as f64;
        OVERLOAD_FACTOR * capacity * MIN_FRACTION * OVERLOAD_WINDOW.as_secs_f64()
    }

    fn max_allowed(&self) -> f64 {
        self.budget() + 2.0 * self.budget().sqrt() + 2.0
    }

    fn settings(&self) -> Settings {
        Settings {
            nodes: if self.two_processes { self.nodes.div_ceil(2) } else { self.nodes },
            slow_start_min_fraction: if self.slow_start_off { 1.0 } else { MIN_FRACTION },
            // Long enough that the budget stays at its initial value throughout the run.
            slow_start_window: ms(600_000),
            slow_start_overload_factor: OVERLOAD_FACTOR,
            slow_start_overload_window: OVERLOAD_WINDOW,
            ..settings()
        }
    }

    /// Returns the relative traffic of each node.
    fn traffic_weights(&self) -> Vec<u64> {
        let weight = |node: u32| if self.uneven_traffic { 1 + u64::from(node * 7 % 6) } else { 1 };
        (0..self.nodes).map(weight).collect()
    }

    /// Returns the maximum work that any warming server was sent in a window.
    fn max_work_in_a_window(&self, seed: u64) -> f64 {
        let mut fleet = Fleet::new(self, seed);
        fleet.run();
        fleet.sent[..self.warming].iter().map(|sent| max_work_in_a_window(sent)).fold(0.0, f64::max)
    }

    /// Returns, over seeds 1 to `seeds`, the maximum work in a window and the number of seeds in which it
    /// exceeds the allowed work.
    fn max_over_seeds(&self, seeds: u64) -> (f64, usize) {
        let maxima: Vec<_> = (1..=seeds).map(|seed| self.max_work_in_a_window(seed)).collect();
        let exceeded = maxima.iter().filter(|max_work| **max_work > self.max_allowed()).count();
        (maxima.into_iter().fold(0.0, f64::max), exceeded)
    }
}

impl<'a> Fleet<'a> {
    fn new(trial: &'a Trial, seed: u64) -> Self {
        let settings = trial.settings();
        let started_at = Timestamp::from_micros(START);
        let endpoint = |server: usize| Endpoint {
            started_at: (server < trial.warming).then_some(started_at),
            ..Endpoint::new(&server_name(server))
        };
        let endpoints: Vec<_> = (0..SERVERS).map(endpoint).collect();
        let is_owned_by_warming_server =
            |key: &u64| first_server(*key, &settings, &endpoints) < trial.warming;
        let hot_key = (0..).find(is_owned_by_warming_server).expect("a key");
        let mut fleet = Self {
            trial,
            seed,
            settings,
            endpoints,
            nodes: Vec::new(),
            scheduled_steps: BinaryHeap::new(),
            rng: fastrand::Rng::with_seed(seed),
            hot_key,
            requests: 0,
            sent: vec![Vec::new(); SERVERS],
        };
        fleet.nodes = (0..trial.nodes).map(|node| fleet.new_node(u64::from(node), START)).collect();
        fleet.schedule_requests();
        fleet
    }

    /// Creates a node that starts at `at`. `number` is part of its seed.
    fn new_node(&self, number: u64, at: u64) -> Balancer {
        let mut node = Balancer::new(self.settings.clone(), self.seed << 32 | number);
        let snapshot = EndpointUpdate::Snapshot(self.endpoints.clone().into());
        node.handle(Timestamp::from_micros(at), Event::EndpointsUpdated(snapshot), &mut Vec::new());
        node
    }

    fn schedule_requests(&mut self) {
        let weights = self.trial.traffic_weights();
        let total_weight: u64 = weights.iter().sum();
        for request in 0..self.trial.rate * SECONDS {
            let at = START + request * 1_000_000 / self.trial.rate;
            let mut drawn = self.rng.u64(0..total_weight);
            let node = weights.iter().position(|weight| {
                let found = drawn < *weight;
                drawn = drawn.saturating_sub(*weight);
                found
            });
            self.scheduled_steps.push(Reverse((
                at,
                node.expect("a node with the drawn weight"),
                Step::RequestArrives,
            )));
        }
    }

    fn run(&mut self) {
        let restart_at = START + SECONDS * 500_000;
        let mut has_restarted = self.trial.restarting_fraction == 0.0;
        while let Some(Reverse((at, node, step))) = self.scheduled_steps.pop() {
            if !has_restarted && at >= restart_at {
                has_restarted = true;
                self.restart_nodes(at);
            }
            let now = Timestamp::from_micros(at);
            let event = self.event(now, step);
            let mut actions = Vec::new();
            self.nodes[node].handle(now, event, &mut actions);
            for action in actions {
                self.apply(at, node, action);
            }
        }
    }

    fn restart_nodes(&mut self, at: u64) {
        let count = (f64::from(self.trial.nodes) * self.trial.restarting_fraction) as usize;
        for node in 0..count {
            self.nodes[node] = self.new_node(1 << 20 | node as u64, at);
        }
    }

    fn event(&mut self, now: Timestamp, step: Step) -> Event {
        match step {
            Step::RequestArrives => {
                self.requests += 1;
                let is_hot = self.rng.f64() < self.trial.hot_fraction;
                let key = if is_hot { self.hot_key } else { self.rng.u64(..) };
                let request = Request::new(&self.requests.to_string(), now + ms(400));
                Event::Request(Request { class: Some(ClassId(0)), key: Some(key), ..request })
            }
            Step::AttemptEnds { request, attempt, server } => Event::AttemptEnded(AttemptOutcome {
                id: request_id(request),
                attempt,
                server: server_name(server).as_str().into(),
                status: AttemptStatus::Ok,
                cache_result: None,
                elapsed: Duration::from_micros(LATENCY),
                request_finished: true,
                load: LoadReport::default(),
            }),
            Step::TimerExpires => Event::TimerExpired,
        }
    }

    fn apply(&mut self, at: u64, node: usize, action: Action) {
        match action {
            Action::StartAttempt { id, server, .. } => {
                let server = server_index(&server);
                let work = self.work();
                self.sent[server].push((at, work));
                let request = id.as_str().parse().expect("a number");
                let ends = Step::AttemptEnds { request, attempt: 0, server };
                self.scheduled_steps.push(Reverse((at + LATENCY, node, ends)));
            }
            Action::SetTimer { after } => {
                let expires_at = at + after.as_micros().max(1) as u64;
                self.scheduled_steps.push(Reverse((expires_at, node, Step::TimerExpires)));
            }
            _ => {}
        }
    }

    /// Returns the work of a request. The mean is 1.
    fn work(&mut self) -> f64 {
        if !self.trial.uneven_work {
            1.0
        } else if self.rng.f64() < 0.1 {
            4.0
        } else {
            2.0 / 3.0
        }
    }
}

/// Returns the server that a node would send a key to if every server were warm.
fn first_server(key: u64, settings: &Settings, endpoints: &[Endpoint]) -> usize {
    let warm = endpoints.iter().map(|endpoint| Endpoint { started_at: None, ..endpoint.clone() });
    let snapshot = EndpointUpdate::Snapshot(warm.collect());
    let mut node = Balancer::new(settings.clone(), 1);
    let (now, mut actions) = (Timestamp::from_micros(START), Vec::new());
    node.handle(now, Event::EndpointsUpdated(snapshot), &mut actions);
    let request = Request { key: Some(key), ..Request::new("r", now + ms(400)) };
    node.handle(now, Event::Request(request), &mut actions);
    let server = actions.iter().find_map(|action| match action {
        Action::StartAttempt { server, .. } => Some(server_index(server)),
        _ => None,
    });
    server.expect("a server")
}

fn max_work_in_a_window(sent: &[(u64, f64)]) -> f64 {
    let window = OVERLOAD_WINDOW.as_micros() as u64;
    let work_from = |first: usize| {
        let within = sent[first..].iter().take_while(|later| later.0 - sent[first].0 < window);
        within.map(|(_, work)| work).sum::<f64>()
    };
    (0..sent.len()).map(work_from).fold(0.0, f64::max)
}

/// Each node limits itself to its part of a warming server's budget without knowing what the others send. If
/// the parts add up to more than the budget, the server is overloaded and does not recover.
#[test]
fn all_nodes_together_keep_to_the_budget_of_a_warming_server() {
    println!("| trial | nodes | N | allowed | maximum over seeds | seeds exceeding it |");
    println!("| --- | --- | --- | --- | --- | --- |");
    let mut exceeded = Vec::new();
    for nodes in [1, 2, 8, 20, 30, 60, 100, 350] {
        let ordinary = Trial::ordinary(nodes);
        let trials = [
            ("one of twelve warming up", ordinary),
            ("uneven traffic", Trial { uneven_traffic: true, ..ordinary }),
            ("half of them warming up", Trial { warming: 6, ..ordinary }),
            ("all warming up", Trial { warming: 12, ..ordinary }),
            ("half of the nodes restart", Trial { restarting_fraction: 0.5, warming: 3, ..ordinary }),
            ("all nodes restart", Trial { restarting_fraction: 1.0, warming: 3, ..ordinary }),
            (
                "two processes of each node",
                Trial { two_processes: true, restarting_fraction: 0.5, warming: 6, ..ordinary },
            ),
            ("a hot key of a warming server", Trial { hot_fraction: 0.3, ..ordinary }),
            ("uneven work", Trial { uneven_work: true, uneven_traffic: true, warming: 3, ..ordinary }),
            ("nearly full", Trial { utilization: 0.95, warming: 3, uneven_traffic: true, ..ordinary }),
            ("little traffic", Trial { rate: 90, warming: 3, ..ordinary }),
            (
                "little traffic, nodes restart",
                Trial { rate: 90, warming: 3, restarting_fraction: 0.5, uneven_work: true, ..ordinary },
            ),
            (
                "hardly any traffic, four fifths of it for one key",
                Trial { rate: 12, warming: 3, hot_fraction: 0.8, ..ordinary },
            ),
            ("the same, all warming up", Trial { rate: 12, warming: 12, hot_fraction: 0.8, ..ordinary }),
        ];
        for (name, trial) in trials {
            let (max_work, seeds_exceeding) = trial.max_over_seeds(6);
            println!(
                "| {name} | {nodes} | {:.0} | {:.0} | {max_work:.0} | {seeds_exceeding} of 6 |",
                trial.budget(),
                trial.max_allowed()
            );
            if seeds_exceeding > 0 {
                exceeded.push((name, nodes, max_work));
            }
        }
    }
    assert!(exceeded.is_empty(), "{exceeded:?}");
}

/// Shows that the check above can fail: nodes that treat a warming server as warm exceed its budget.
#[test]
fn a_warming_server_treated_as_warm_exceeds_its_budget() {
    for nodes in [1, 30, 350] {
        let trial =
            Trial { hot_fraction: 0.6, utilization: 1.4, slow_start_off: true, ..Trial::ordinary(nodes) };
        let (max_work, seeds_exceeding) = trial.max_over_seeds(3);
        assert_eq!(seeds_exceeding, 3, "{nodes} nodes sent {max_work} of {:.0}", trial.max_allowed());
    }
}
