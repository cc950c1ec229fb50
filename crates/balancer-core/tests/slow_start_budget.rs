//! What all nodes of a fleet send a cold server together. Its settings allow it a budget of N calls of mean work in a span; what
//! is put down to chance beyond that is 2√N + 2, however many nodes there are, and whichever of them know nothing yet.

mod common;

use balancer_core::*;
use common::{ms, settings};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

const SPAN: Duration = Duration::from_millis(1_500);
const COLD_SHARE: f64 = 0.35;
const MULTIPLE: f64 = 3.0;
const BEGIN: u64 = 3_000_000_000;
const SECONDS: u64 = 9;
const SERVERS: usize = 12;

/// What a fleet is put through.
#[derive(Clone, Copy, Debug)]
struct Trial {
    nodes: u32,
    /// Requests a second of all together, and the part of the servers' capacity that they are.
    rate: u64,
    use_: f64,
    /// Servers of the twelve that have just started.
    cold: usize,
    /// A part of the requests is for one key, whose own server is a cold one.
    hot: f64,
    /// Such a part of the nodes starts anew in the middle, and knows nothing then.
    anew: f64,
    /// Some requests are six times as dear as the others.
    dear: bool,
    /// Nodes get from one to six times as much as others.
    uneven: bool,
    /// There are two processes of each node, as in a hand-over: half as many nodes are known to be.
    twins: bool,
    /// The nodes take every server for warm.
    blind: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum What {
    Asks,
    Answered { request: u64, attempt: u32, server: usize },
    Rings,
}

fn id(request: u64) -> RequestId {
    request.to_string().as_str().into()
}

fn name(server: usize) -> String {
    format!("s-{server:02}")
}

impl Trial {
    fn calm(nodes: u32) -> Self {
        let [dear, uneven, twins, blind] = [false; 4];
        Self { nodes, rate: 600, use_: 0.7, cold: 1, hot: 0.0, anew: 0.0, dear, uneven, twins, blind }
    }

    /// The budget of a cold server in a span, in requests of mean work, as the settings give it when it starts.
    fn budget(&self) -> f64 {
        let capacity = self.rate as f64 / self.use_ / SERVERS as f64;
        MULTIPLE * capacity * COLD_SHARE * SPAN.as_secs_f64()
    }

    fn most_allowed(&self) -> f64 {
        self.budget() + 2.0 * self.budget().sqrt() + 2.0
    }

    /// The most work that any cold server was sent in a span.
    fn most(&self, seed: u64) -> f64 {
        let mut random = fastrand::Rng::with_seed(seed);
        let settings = Settings {
            nodes: if self.twins { self.nodes.div_ceil(2) } else { self.nodes },
            slow_start_min_fraction: if self.blind { 1.0 } else { COLD_SHARE },
            // So slowly that the budget is that of the start all the time.
            slow_start_window: ms(600_000),
            slow_start_overload_factor: MULTIPLE,
            slow_start_overload_window: SPAN,
            ..settings()
        };
        let started = Timestamp::from_micros(BEGIN);
        let entries: Vec<_> = (0..SERVERS)
            .map(|i| Endpoint { started_at: (i < self.cold).then_some(started), ..Endpoint::new(&name(i)) })
            .collect();
        let begin = |seed: u64, at: u64| {
            let mut node = Balancer::new(settings.clone(), seed);
            let list = Event::EndpointsUpdated(EndpointUpdate::Snapshot(entries.clone().into()));
            node.handle(Timestamp::from_micros(at), list, &mut Vec::new());
            node
        };
        let mut nodes: Vec<_> = (0..self.nodes).map(|i| begin(seed << 32 | u64::from(i), BEGIN)).collect();
        let weight = |node: u32| if self.uneven { 1 + u64::from(node * 7 % 6) } else { 1 };
        let weights: Vec<u64> = (0..self.nodes).map(weight).collect();
        let all: u64 = weights.iter().sum();
        let hot_key = (0..).find(|key| first_server(*key, &settings, &entries) < self.cold).expect("a key");
        let mut agenda = BinaryHeap::new();
        for request in 0..self.rate * SECONDS {
            let at = BEGIN + request * 1_000_000 / self.rate;
            let mut drawn = random.u64(0..all);
            let node = weights.iter().position(|weight| {
                let found = drawn < *weight;
                drawn = drawn.saturating_sub(*weight);
                found
            });
            agenda.push(Reverse((at, node.expect("one of them"), What::Asks)));
        }
        let (mut asked, mut anew, mut sent) = (0, self.anew == 0.0, vec![Vec::new(); SERVERS]);
        while let Some(Reverse((at, node, what))) = agenda.pop() {
            let now = Timestamp::from_micros(at);
            if !anew && at >= BEGIN + SECONDS * 500_000 {
                anew = true;
                let count = (f64::from(self.nodes) * self.anew) as usize;
                let fresh =
                    |(i, node): (usize, &mut Balancer)| *node = begin(seed << 32 | 1 << 20 | i as u64, at);
                nodes.iter_mut().take(count).enumerate().for_each(fresh);
            }
            let event = match what {
                What::Asks => {
                    asked += 1;
                    let key = if random.f64() < self.hot { hot_key } else { random.u64(..) };
                    let request = Request::new(&asked.to_string(), now + ms(400));
                    Event::Request(Request { class: Some(ClassId(0)), key: Some(key), ..request })
                }
                What::Answered { request, attempt, server } => Event::AttemptEnded(AttemptOutcome {
                    id: id(request),
                    attempt,
                    server: name(server).as_str().into(),
                    status: AttemptStatus::Ok,
                    cache_result: None,
                    elapsed: ms(40),
                    request_finished: true,
                    load: LoadReport::default(),
                }),
                What::Rings => Event::TimerExpired,
            };
            let mut actions = Vec::new();
            nodes[node].handle(now, event, &mut actions);
            for action in actions {
                match action {
                    Action::StartAttempt { id, server, .. } => {
                        let server = server.as_str()[2..].parse::<usize>().expect("a number");
                        let dear = if self.dear {
                            if random.f64() < 0.1 {
                                4.0
                            } else {
                                2.0 / 3.0
                            }
                        } else {
                            1.0
                        };
                        sent[server].push((at, dear));
                        let request = id.as_str().parse().expect("a number");
                        let answered = What::Answered { request, attempt: 0, server };
                        agenda.push(Reverse((at + 40_000, node, answered)));
                    }
                    Action::SetTimer { after } => {
                        agenda.push(Reverse((at + after.as_micros().max(1) as u64, node, What::Rings)));
                    }
                    _ => {}
                }
            }
        }
        sent[..self.cold].iter().map(|sent| most_in_a_span(sent)).fold(0.0, f64::max)
    }

    /// Over so many seeds, the most and how many of them went past what chance allows.
    fn over(&self, seeds: u64) -> (f64, usize) {
        let all: Vec<_> = (1..=seeds).map(|seed| self.most(seed)).collect();
        let past = all.iter().filter(|most| **most > self.most_allowed()).count();
        (all.into_iter().fold(0.0, f64::max), past)
    }
}

/// The server that a node which knows only warm ones would pick for a key.
fn first_server(key: u64, settings: &Settings, entries: &[Endpoint]) -> usize {
    let warm: Vec<_> = entries.iter().map(|entry| Endpoint { started_at: None, ..entry.clone() }).collect();
    let mut node = Balancer::new(settings.clone(), 1);
    let (now, mut actions) = (Timestamp::from_micros(BEGIN), Vec::new());
    node.handle(now, Event::EndpointsUpdated(EndpointUpdate::Snapshot(warm.into())), &mut actions);
    let request = Request { key: Some(key), ..Request::new("r", now + ms(400)) };
    node.handle(now, Event::Request(request), &mut actions);
    let server = actions.iter().find_map(|action| match action {
        Action::StartAttempt { server, .. } => server.as_str()[2..].parse().ok(),
        _ => None,
    });
    server.expect("a server")
}

fn most_in_a_span(sent: &[(u64, f64)]) -> f64 {
    let span = SPAN.as_micros() as u64;
    let from = |i: usize| {
        sent[i..].iter().take_while(|later| later.0 - sent[i].0 < span).map(|one| one.1).sum::<f64>()
    };
    (0..sent.len()).map(from).fold(0.0, f64::max)
}

/// Each node keeps to its part of a warming server's budget without knowing what the others send. If the
/// parts add up to more, the server is overloaded and does not recover.
#[test]
fn all_nodes_together_keep_to_the_budget_of_a_warming_server() {
    println!("| trial | nodes | N | allowed | the most over seeds | seeds past it |");
    println!("| --- | --- | --- | --- | --- | --- |");
    let mut past_all = Vec::new();
    for nodes in [1, 2, 8, 20, 30, 60, 100, 350] {
        let calm = Trial::calm(nodes);
        let trials = [
            ("one of twelve cold", calm),
            ("uneven traffic", Trial { uneven: true, ..calm }),
            ("half of them cold", Trial { cold: 6, ..calm }),
            ("all cold", Trial { cold: 12, ..calm }),
            ("half of the nodes start anew", Trial { anew: 0.5, cold: 3, ..calm }),
            ("all nodes start anew", Trial { anew: 1.0, cold: 3, ..calm }),
            ("two processes of each node", Trial { twins: true, anew: 0.5, cold: 6, ..calm }),
            ("a hot key of a cold server", Trial { hot: 0.3, ..calm }),
            ("dear requests", Trial { dear: true, uneven: true, cold: 3, ..calm }),
            ("nearly full", Trial { use_: 0.95, cold: 3, uneven: true, ..calm }),
            ("thin traffic", Trial { rate: 90, cold: 3, ..calm }),
            ("thin traffic, nodes anew", Trial { rate: 90, cold: 3, anew: 0.5, dear: true, ..calm }),
            ("hardly any traffic, most of it one key", Trial { rate: 12, cold: 3, hot: 0.8, ..calm }),
            ("the same, all cold", Trial { rate: 12, cold: 12, hot: 0.8, ..calm }),
        ];
        for (words, trial) in trials {
            let (most, past) = trial.over(6);
            println!(
                "| {words} | {nodes} | {:.0} | {:.0} | {most:.0} | {past} of 6 |",
                trial.budget(),
                trial.most_allowed()
            );
            if past > 0 {
                past_all.push((words, nodes, most));
            }
        }
    }
    assert!(past_all.is_empty(), "{past_all:?}");
}

/// The same check on nodes that take a warming server for warm shows that the check can fail.
#[test]
fn a_warming_server_that_is_taken_for_warm_exceeds_its_budget() {
    for nodes in [1, 30, 350] {
        let blind = Trial { hot: 0.6, use_: 1.4, blind: true, ..Trial::calm(nodes) };
        let (most, past) = blind.over(3);
        assert_eq!(past, 3, "{nodes} nodes sent {most} of {:.0}", blind.most_allowed());
    }
}
