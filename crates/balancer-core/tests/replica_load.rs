//! Fleets that ask the replicas of one discovery service, in virtual time. Each replica sends so many lines a second, works
//! through calls in turn, and refuses with 503 what would wait too long for the beginning of its answer.

use balancer_core::asking::{Asking, End, Pace, Terms};
use balancer_core::discovery_client::{CallEnd, DiscoveryClient, Jitter};
use balancer_core::replicas::{Capacity, Replicas};
use balancer_core::Timestamp;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

const CAPACITY: Capacity = Capacity { lines_per_second: 200.0, call_lines: 10.0 };
/// A call whose answer would begin later than this is refused.
const QUEUE_LIMIT: f64 = 3.0;
/// Lines of the full list of the fleet that is coming.
const LINES: u32 = 1_110;
/// Nothing here takes longer.
const MOST_SECONDS: f64 = 50_000.0;

fn terms(nodes: u32) -> Terms {
    Terms { nodes, within: Duration::from_secs(10), grace: Duration::from_millis(500), asked: true }
}

/// What nodes go by.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Mode {
    /// The number of all nodes, as with one address.
    AllNodes,
    /// The number of nodes and of replicas.
    Replicas,
    /// The capacity of a replica as well.
    Capacity,
}

/// A fleet and its discovery.
#[derive(Clone, Copy, Debug)]
struct Fleet {
    /// The nodes of the fleet, as all of them are told.
    nodes: u32,
    /// Of these, the ones that ask.
    asking: u32,
    replicas: usize,
    lines: u32,
    /// What nodes go by.
    mode: Mode,
    /// What a refused call costs, of [`Capacity::call_lines`].
    refusal_cost: f64,
    /// This replica refuses connections, and only the nodes ask whose first choice it is.
    lost: Option<usize>,
}

/// What came of it.
#[derive(Clone, Copy, Debug)]
struct Outcome {
    /// When the last had its list, in seconds.
    last: f64,
    /// What the busiest replica took for sending, in seconds.
    sending: f64,
    /// Calls for each node.
    calls: f64,
}

/// A node that asks, and the replicas it can ask.
struct Node {
    client: DiscoveryClient,
    random: fastrand::Rng,
}

/// All nodes begin within a second and hold no list, or one that is out of date by `news` lines.
fn play(fleet: Fleet, news: Option<u32>, seed: u64) -> Outcome {
    let names: Vec<String> = (0..fleet.replicas).map(|number| format!("10.1.{number}.18:7100")).collect();
    let mut random = fastrand::Rng::with_seed(seed);
    let mut nodes: Vec<_> = (0..fleet.asking)
        .map(|number| Node {
            client: DiscoveryClient::new(Replicas::new(&format!("h{seed}-{number}"), names.clone())),
            random: fastrand::Rng::with_seed(random.u64(..)),
        })
        .collect();
    if let Some(lost) = fleet.lost {
        nodes.retain(|node| node.client.replicas().current() == lost);
    }
    let mut agenda: BinaryHeap<_> =
        (0..nodes.len()).map(|node| Reverse((random.u64(0..1_000_000), node))).collect();
    let (mut free, mut sending) = (vec![0.0_f64; fleet.replicas], vec![0.0; fleet.replicas]);
    let (mut last, mut calls) = (0.0_f64, 0);
    let call_time = CAPACITY.call_lines / CAPACITY.lines_per_second;
    let answer_time = f64::from(news.unwrap_or(fleet.lines)) / CAPACITY.lines_per_second;
    while let Some(Reverse((at, place))) = agenda.pop() {
        let now = at as f64 / 1e6;
        assert!(now < MOST_SECONDS, "{fleet:?}, seed {seed}: not all have a list");
        calls += 1;
        let node = &mut nodes[place];
        let held = news.map(|_| fleet.lines);
        let serving = node.client.replicas().serving();
        let pace = match fleet.mode {
            Mode::AllNodes => Pace::from(terms(fleet.nodes)),
            Mode::Replicas => Pace::of(terms(fleet.nodes), serving, None, held),
            Mode::Capacity => Pace::of(terms(fleet.nodes), serving, Some(CAPACITY), held),
        };
        let replica = node.client.replicas().current();
        let turn = free[replica].max(now) + call_time;
        let reached = fleet.lost != Some(replica);
        if reached && turn - now <= QUEUE_LIMIT {
            free[replica] = turn + answer_time;
            sending[replica] += call_time + answer_time;
            last = last.max(free[replica]);
            continue;
        }
        free[replica] += call_time * fleet.refusal_cost;
        let took = Duration::from_millis(1);
        let call = node.client.call(pace, news.is_some(), node.random.f64());
        let jitter = Jitter { pause: node.random.f64(), hold_down: node.random.f64() };
        let end = if reached { CallEnd::Refused { took } } else { CallEnd::Other(End::Unreached { took }) };
        let next = node.client.ended(Timestamp::from_micros(at), pace, call, end, news.is_some(), jitter);
        agenda.push(Reverse((at + 1_000 + next.pause.as_micros() as u64, place)));
    }
    Outcome {
        last,
        sending: sending.into_iter().fold(0.0, f64::max),
        calls: f64::from(calls) / nodes.len() as f64,
    }
}

/// Over some seeds: the longest time, as a multiple of what sending takes, and the most calls.
fn worst(fleet: Fleet, news: Option<u32>) -> (f64, f64, f64) {
    let call_time = CAPACITY.call_lines / CAPACITY.lines_per_second;
    let all = f64::from(fleet.asking) / fleet.replicas as f64;
    let least = all * (call_time + f64::from(news.unwrap_or(fleet.lines)) / CAPACITY.lines_per_second);
    let outcomes: Vec<_> = (0..5).map(|seed| play(fleet, news, seed)).collect();
    let most = |of: fn(&Outcome) -> f64| outcomes.iter().map(of).fold(0.0, f64::max);
    // Shares are not quite even: of a few nodes one replica may have several where others have none.
    let (last, busiest) =
        (most(|one| one.last), outcomes.iter().map(|one| one.last / one.sending).fold(0.0, f64::max));
    (last / least, busiest, most(|one| one.calls))
}

fn fleets() -> Vec<(u32, u32, usize, u32)> {
    // The fleet, how many of it ask, replicas, lines.
    vec![
        (1, 1, 1, LINES),
        (20, 20, 1, 83),
        (60, 60, 1, 83),
        (60, 60, 4, LINES),
        (369, 369, 1, LINES),
        (5_900, 5_900, 16, LINES),
        (5_900, 174, 16, LINES),
        (5_900, 174, 1, LINES),
        (1_000, 1_000, 4, 300),
        (5_900, 5_900, 16, 5_000),
    ]
}

/// Prints how the fleets fare by each mode, and gives the outcomes with a stated capacity.
fn table(news: Option<u32>, refusal_cost: f64) -> Vec<(Fleet, f64)> {
    println!("| fleet | asking | replicas | lines | all nodes: last / sending | calls a node | replicas | calls a node | capacity | of the busiest | calls a node |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    let mut outcomes = Vec::new();
    for (nodes, asking, replicas, lines) in fleets() {
        let fleet = |mode| Fleet { nodes, asking, replicas, lines, mode, refusal_cost, lost: None };
        let [(all, _, calls_all), (shared, _, calls_shared), (stated, busiest, calls)] =
            [Mode::AllNodes, Mode::Replicas, Mode::Capacity].map(|mode| worst(fleet(mode), news));
        println!("| {nodes} | {asking} | {replicas} | {lines} | {all:.2} | {calls_all:.0} | {shared:.2} | {calls_shared:.0} | {stated:.2} | {busiest:.2} | {calls:.0} |");
        outcomes.push((fleet(Mode::Capacity), stated));
    }
    outcomes
}

#[test]
fn nodes_without_a_list_have_one_within_one_and_a_half_times_what_sending_takes() {
    for (fleet, last) in table(None, 0.0) {
        assert!(last <= 1.5, "{fleet:?}: {last}");
    }
}

// What one discovery does not charge another may: here a refused call costs a replica as much as any.
#[test]
fn refused_calls_that_cost_as_much_as_others_do_not_take_all_that_a_replica_has() {
    for (fleet, last) in table(None, 1.0) {
        assert!(last <= if fleet.lines < 1_000 { 6.0 } else { 2.0 }, "{fleet:?}: {last}");
    }
}

// Nodes that hold a list and are refused after an outage, each with a line of news to hear.
#[test]
fn a_replica_that_cannot_answer_its_share_in_time_is_not_asked_more_than_it_can_answer() {
    for refusal_cost in [0.0, 1.0] {
        println!(
            "| nodes of one replica | a refused call costs | last, of what answering takes | calls a node |"
        );
        println!("| --- | --- | --- | --- |");
        for nodes in [1, 20, 60, 100, 200, 369, 900, 2_000] {
            let fleet = Fleet {
                nodes,
                asking: nodes,
                replicas: 1,
                lines: LINES,
                mode: Mode::Capacity,
                refusal_cost,
                lost: None,
            };
            let (last, _, calls) = worst(fleet, Some(1));
            println!("| {nodes} | {refusal_cost} | {last:.2} | {calls:.1} |");
            let least = f64::from(nodes) * 11.0 / CAPACITY.lines_per_second;
            // They begin within a second. Where refusals cost as much as answers it takes longer, and comes to an end.
            let most = if refusal_cost == 0.0 { 1.7 } else { 30.0 };
            assert!(last * least <= most * least + 1.5, "{fleet:?}: {last}");
        }
    }
}

#[test]
fn watches_at_rest_use_at_most_half_of_a_replica_and_are_never_shorter_than_without_a_capacity() {
    println!("| nodes of a replica | shortest wait | longest | of the replica at rest |");
    println!("| --- | --- | --- | --- |");
    for nodes in [1, 20, 60, 100, 150, 200, 369, 450, 900] {
        let pace = Pace::of(terms(nodes), 1, Some(CAPACITY), Some(LINES));
        let plain = Pace::from(terms(nodes));
        let wait = |pace: Pace, jitter: f64| Asking::default().call(pace, true, jitter).wait.as_secs_f64();
        for draw in 0..=10 {
            let draw = f64::from(draw) / 10.0;
            assert!((wait(plain, draw)..=60.0).contains(&wait(pace, draw)), "{nodes} nodes");
        }
        let (shortest, longest) = (wait(pace, 0.0), wait(pace, 1.0));
        let all_calls = f64::from(nodes) * CAPACITY.call_lines / CAPACITY.lines_per_second;
        let used = all_calls / ((shortest + longest) / 2.0);
        println!("| {nodes} | {shortest:.1} s | {longest:.1} s | {:.0}% |", 100.0 * used);
        // The protocol lets no call wait for longer than 60 s: from 450 nodes on it is more.
        assert!(used <= 0.501 || longest == 60.0, "{nodes} nodes: {used}");
        // Watches that one change ended do not come back together.
        assert!(longest - shortest >= all_calls.min(10.0), "{nodes} nodes");
    }
}

#[test]
fn a_call_for_the_full_list_lasts_as_long_as_sending_takes_also_where_its_length_is_not_known() {
    let limit = |pace: Pace, asking: &Asking| asking.call(pace, false, 0.5).limit.as_secs_f64();
    for lines in [1, 83, 1_110, 20_000] {
        let pace = Pace::of(terms(369), 1, Some(CAPACITY), Some(lines));
        let sending = (f64::from(lines) + CAPACITY.call_lines) / CAPACITY.lines_per_second;
        assert!(limit(pace, &Asking::default()) >= QUEUE_LIMIT + sending, "{lines}");
        assert!(limit(pace, &Asking::default()) <= QUEUE_LIMIT + 1.5 * sending + 1.0, "{lines}");
    }
    // A node without a list gives up later each time, until the list is longer than any.
    let pace = Pace::of(terms(369), 1, Some(CAPACITY), None);
    let (mut asking, mut limits) = (Asking::default(), Vec::new());
    for _ in 0..9 {
        limits.push(limit(pace, &asking));
        let call = asking.call(pace, false, 0.5);
        asking.ended(pace, call, End::Overdue, false, 0.5);
    }
    assert!(limits[0] >= QUEUE_LIMIT + 1_000.0 / 200.0, "{limits:?}");
    assert!(limits.windows(2).all(|pair| pair[0] <= pair[1]) && limits[6] == limits[8], "{limits:?}");
    assert!(limits[8] >= 64_000.0 / 200.0 && limits[8] <= 500.0, "{limits:?}");
}

#[test]
fn nodes_of_a_lost_replica_come_back_within_a_quarter_of_its_capacity() {
    for (nodes, replicas, capacity) in [(5_900, 16, Some(CAPACITY)), (5_900, 16, None), (20, 2, None)] {
        let hold_down = Pace::of(terms(nodes), replicas, capacity, None).hold_down().as_secs_f64();
        let share = f64::from(nodes) / replicas as f64;
        let call_time = CAPACITY.call_lines / CAPACITY.lines_per_second;
        assert!(share * call_time <= 0.2501 * hold_down && hold_down >= 30.0, "{hold_down}");
    }
}

// A change is in force everywhere within 11 s: also where the replica that would have told it is lost at that moment.
#[test]
fn nodes_of_a_lost_replica_hear_from_its_neighbours_in_time() {
    println!("| fleet | replicas | last of the lost one's nodes has the news after | calls a node |");
    println!("| --- | --- | --- | --- |");
    for (nodes, replicas, most) in [(100, 2, 5.0), (1_000, 4, 11.0), (2_000, 8, 5.0), (5_900, 16, 5.0)] {
        let fleet = Fleet {
            nodes,
            asking: nodes,
            replicas,
            lines: LINES,
            mode: Mode::Capacity,
            refusal_cost: 0.0,
            lost: Some(0),
        };
        let outcomes: Vec<_> = (0..5).map(|seed| play(fleet, Some(1), seed)).collect();
        let last = outcomes.iter().map(|one| one.last).fold(0.0, f64::max);
        let calls = outcomes.iter().map(|one| one.calls).fold(0.0, f64::max);
        println!("| {nodes} | {replicas} | {last:.1} s | {calls:.1} |");
        assert!(last <= most, "{fleet:?}: {last}");
    }
}
