//! Simulates fleets that poll the replicas of one discovery service, in virtual time. Each replica sends
//! [`CAPACITY`] lines per second, answers polls one after the other, and rejects polls whose answer would
//! begin too late with status 503.

#[path = "support/poll_settings.rs"]
mod poll_settings;

use balancer_core::discovery::{
    DiscoveryClient, Jitter, PollKind, PollOutcome, PollPacing, PollSchedule, ReplicaCapacity,
    ReplicaSelection,
};
use balancer_core::Timestamp;
use poll_settings::settings;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

const CAPACITY: ReplicaCapacity = ReplicaCapacity { lines_per_second: 200.0, call_lines: 10.0 };
/// Longest time in the queue, in seconds. A poll whose answer would begin later is rejected.
const QUEUE_TIMEOUT: f64 = 3.0;
/// Length of a snapshot of the planned fleet, in lines.
const LINES: u32 = 1_110;
/// Upper bound of the duration of a simulation, in seconds.
const MAX_SECONDS: f64 = 50_000.0;

/// The inputs that the schedules of the nodes depend on.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Mode {
    /// Only the number of all nodes, as with one address.
    AllNodes,
    /// The numbers of nodes and of replicas.
    Replicas,
    /// The numbers of nodes and of replicas, and the capacity of a replica.
    Capacity,
}

/// A fleet and its discovery.
#[derive(Clone, Copy, Debug)]
struct Fleet {
    /// Number of nodes in the configuration.
    nodes: u32,
    /// Number of nodes that poll.
    polling: u32,
    replicas: usize,
    lines: u32,
    mode: Mode,
    /// Cost of a rejected poll, as a fraction of [`ReplicaCapacity::call_lines`].
    rejection_cost: f64,
    /// A replica that refuses connections. Only the nodes that prefer it poll.
    lost: Option<usize>,
}

/// The result of a simulation.
#[derive(Clone, Copy, Debug)]
struct Outcome {
    /// When the last node had its list, in seconds.
    last_list_at: f64,
    /// Time that the busiest replica spent sending, in seconds.
    max_sending_time: f64,
    /// Mean number of polls per node.
    polls_per_node: f64,
}

/// A node that polls.
struct Node {
    client: DiscoveryClient,
    random: fastrand::Rng,
}

/// Simulates nodes that all start within one second and hold no list, or a list that is outdated by `changes`
/// lines.
fn simulate(fleet: Fleet, changes: Option<u32>, seed: u64) -> Outcome {
    let names: Vec<String> = (0..fleet.replicas).map(|number| format!("10.1.{number}.18:7100")).collect();
    let mut random = fastrand::Rng::with_seed(seed);
    let mut nodes: Vec<_> = (0..fleet.polling)
        .map(|number| Node {
            client: DiscoveryClient::new(ReplicaSelection::new(&format!("h{seed}-{number}"), names.clone())),
            random: fastrand::Rng::with_seed(random.u64(..)),
        })
        .collect();
    if let Some(lost) = fleet.lost {
        nodes.retain(|node| node.client.replicas().current() == lost);
    }
    let mut queue: BinaryHeap<_> =
        (0..nodes.len()).map(|node| Reverse((random.u64(0..1_000_000), node))).collect();
    let (mut free_at, mut sending) = (vec![0.0_f64; fleet.replicas], vec![0.0; fleet.replicas]);
    let (mut last, mut polls) = (0.0_f64, 0);
    let call_time = CAPACITY.call_lines / CAPACITY.lines_per_second;
    let answer_time = f64::from(changes.unwrap_or(fleet.lines)) / CAPACITY.lines_per_second;
    while let Some(Reverse((at, index))) = queue.pop() {
        let now = at as f64 / 1e6;
        assert!(now < MAX_SECONDS, "{fleet:?}, seed {seed}: not all have a list");
        polls += 1;
        let node = &mut nodes[index];
        let endpoint_count = changes.map(|_| fleet.lines);
        let available = node.client.replicas().available();
        let pacing = match fleet.mode {
            Mode::AllNodes => PollPacing::from(settings(fleet.nodes)),
            Mode::Replicas => PollPacing::new(settings(fleet.nodes), available, None, endpoint_count),
            Mode::Capacity => {
                PollPacing::new(settings(fleet.nodes), available, Some(CAPACITY), endpoint_count)
            }
        };
        let replica = node.client.replicas().current();
        let answer_at = free_at[replica].max(now) + call_time;
        let reached = fleet.lost != Some(replica);
        if reached && answer_at - now <= QUEUE_TIMEOUT {
            free_at[replica] = answer_at + answer_time;
            sending[replica] += call_time + answer_time;
            last = last.max(free_at[replica]);
            continue;
        }
        free_at[replica] += call_time * fleet.rejection_cost;
        let took = Duration::from_millis(1);
        let kind = if changes.is_some() { PollKind::Watch } else { PollKind::Snapshot };
        let poll = node.client.next_poll(pacing, kind, node.random.f64());
        let jitter = Jitter { pause: node.random.f64(), hold_down: node.random.f64() };
        let outcome =
            if reached { PollOutcome::Overloaded { took } } else { PollOutcome::Unreachable { took } };
        let next = node.client.poll_ended(Timestamp::from_micros(at), pacing, poll, outcome, kind, jitter);
        queue.push(Reverse((at + 1_000 + next.pause.as_micros() as u64, index)));
    }
    Outcome {
        last_list_at: last,
        max_sending_time: sending.into_iter().fold(0.0, f64::max),
        polls_per_node: f64::from(polls) / nodes.len() as f64,
    }
}

/// Returns the worst results of five seeds: the longest time, as a multiple of the sending time of the mean
/// share and of the busiest replica, and the most polls per node.
fn worst(fleet: Fleet, changes: Option<u32>) -> (f64, f64, f64) {
    let call_time = CAPACITY.call_lines / CAPACITY.lines_per_second;
    let all = f64::from(fleet.polling) / fleet.replicas as f64;
    let min_time = all * (call_time + f64::from(changes.unwrap_or(fleet.lines)) / CAPACITY.lines_per_second);
    let outcomes: Vec<_> = (0..5).map(|seed| simulate(fleet, changes, seed)).collect();
    let most = |of: fn(&Outcome) -> f64| outcomes.iter().map(of).fold(0.0, f64::max);
    // Shares are not even: with few nodes one replica may have several and others none.
    let (last, busiest) = (
        most(|one| one.last_list_at),
        outcomes.iter().map(|one| one.last_list_at / one.max_sending_time).fold(0.0, f64::max),
    );
    (last / min_time, busiest, most(|one| one.polls_per_node))
}

fn fleets() -> Vec<(u32, u32, usize, u32)> {
    // Nodes, how many of them poll, replicas, lines.
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

/// Prints the results of the fleets in each mode and returns those with a configured capacity.
fn table(changes: Option<u32>, rejection_cost: f64) -> Vec<(Fleet, f64)> {
    println!("| nodes | polling | replicas | lines | by all nodes: last / sending | polls per node | by replicas: last / sending | polls per node | by capacity: last / sending | last / sending of the busiest | polls per node |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    let mut outcomes = Vec::new();
    for (nodes, polling, replicas, lines) in fleets() {
        let fleet = |mode| Fleet { nodes, polling, replicas, lines, mode, rejection_cost, lost: None };
        let [(all, _, polls_all), (shared, _, polls_shared), (by_capacity, busiest, polls)] =
            [Mode::AllNodes, Mode::Replicas, Mode::Capacity].map(|mode| worst(fleet(mode), changes));
        println!("| {nodes} | {polling} | {replicas} | {lines} | {all:.2} | {polls_all:.0} | {shared:.2} | {polls_shared:.0} | {by_capacity:.2} | {busiest:.2} | {polls:.0} |");
        outcomes.push((fleet(Mode::Capacity), by_capacity));
    }
    outcomes
}

#[test]
fn nodes_without_a_list_receive_one_within_1_5_times_the_sending_time() {
    for (fleet, last) in table(None, 0.0) {
        assert!(last <= 1.5, "{fleet:?}: {last}");
    }
}

/// Rejecting a poll may cost discovery as much as answering it. If the pauses were too short, rejections
/// would use up its capacity, and lists would be delayed more and more.
#[test]
fn rejected_polls_that_cost_as_much_as_others_leave_capacity_for_lists() {
    for (fleet, last) in table(None, 1.0) {
        assert!(last <= if fleet.lines < 1_000 { 6.0 } else { 2.0 }, "{fleet:?}: {last}");
    }
}

/// After an outage all nodes poll at once, each for one line of changes. If they retried as soon as the
/// deadline requires, a replica that cannot answer its share in time would spend its capacity on rejections.
#[test]
fn an_overloaded_replica_answers_changes_within_1_7_times_the_sending_time() {
    for rejection_cost in [0.0, 1.0] {
        println!("| nodes of one replica | rejection cost | last / sending | polls per node |");
        println!("| --- | --- | --- | --- |");
        for nodes in [1, 20, 60, 100, 200, 369, 900, 2_000] {
            let fleet = Fleet {
                nodes,
                polling: nodes,
                replicas: 1,
                lines: LINES,
                mode: Mode::Capacity,
                rejection_cost,
                lost: None,
            };
            let (last, _, polls) = worst(fleet, Some(1));
            println!("| {nodes} | {rejection_cost} | {last:.2} | {polls:.1} |");
            let min_time = f64::from(nodes) * 11.0 / CAPACITY.lines_per_second;
            // The nodes start within one second. If rejections cost as much as answers, it takes longer but
            // ends.
            let most = if rejection_cost == 0.0 { 1.7 } else { 30.0 };
            assert!(last * min_time <= most * min_time + 1.5, "{fleet:?}: {last}");
        }
    }
}

#[test]
fn idle_watches_use_at_most_half_of_a_replica() {
    println!("| nodes of a replica | shortest wait | longest | utilization by idle watches |");
    println!("| --- | --- | --- | --- |");
    for nodes in [1, 20, 60, 100, 150, 200, 369, 450, 900] {
        let pacing = PollPacing::new(settings(nodes), 1, Some(CAPACITY), Some(LINES));
        let plain = PollPacing::from(settings(nodes));
        let wait = |pacing: PollPacing, jitter: f64| {
            PollSchedule::default().next_poll(pacing, PollKind::Watch, jitter).wait.as_secs_f64()
        };
        for draw in 0..=10 {
            let draw = f64::from(draw) / 10.0;
            assert!((wait(plain, draw)..=60.0).contains(&wait(pacing, draw)), "{nodes} nodes");
        }
        let (shortest, longest) = (wait(pacing, 0.0), wait(pacing, 1.0));
        let all_calls = f64::from(nodes) * CAPACITY.call_lines / CAPACITY.lines_per_second;
        let used = all_calls / ((shortest + longest) / 2.0);
        println!("| {nodes} | {shortest:.1} s | {longest:.1} s | {:.0}% |", 100.0 * used);
        // The protocol allows no wait longer than 60 s, so from 450 nodes on the utilization is higher.
        assert!(used <= 0.501 || longest == 60.0, "{nodes} nodes: {used}");
        // Watches that were ended by the same change must not return together.
        assert!(longest - shortest >= all_calls.min(10.0), "{nodes} nodes");
    }
}

#[test]
fn a_snapshot_poll_times_out_after_the_sending_time_of_any_list() {
    let timeout = |pacing: PollPacing, schedule: &PollSchedule| {
        schedule.next_poll(pacing, PollKind::Snapshot, 0.5).timeout.as_secs_f64()
    };
    for lines in [1, 83, 1_110, 20_000] {
        let pacing = PollPacing::new(settings(369), 1, Some(CAPACITY), Some(lines));
        let sending = (f64::from(lines) + CAPACITY.call_lines) / CAPACITY.lines_per_second;
        assert!(timeout(pacing, &PollSchedule::default()) >= QUEUE_TIMEOUT + sending, "{lines}");
        assert!(timeout(pacing, &PollSchedule::default()) <= QUEUE_TIMEOUT + 1.5 * sending + 1.0, "{lines}");
    }
    // The timeout of a node without a list grows with each timeout, up to that of the longest assumed list.
    let pacing = PollPacing::new(settings(369), 1, Some(CAPACITY), None);
    let (mut schedule, mut timeouts) = (PollSchedule::default(), Vec::new());
    for _ in 0..9 {
        timeouts.push(timeout(pacing, &schedule));
        let poll = schedule.next_poll(pacing, PollKind::Snapshot, 0.5);
        schedule.poll_ended(pacing, poll, PollOutcome::TimedOut, PollKind::Snapshot, 0.5);
    }
    assert!(timeouts[0] >= QUEUE_TIMEOUT + 1_000.0 / 200.0, "{timeouts:?}");
    assert!(timeouts.windows(2).all(|pair| pair[0] <= pair[1]) && timeouts[6] == timeouts[8], "{timeouts:?}");
    assert!(timeouts[8] >= 64_000.0 / 200.0 && timeouts[8] <= 500.0, "{timeouts:?}");
}

#[test]
fn returning_nodes_use_at_most_a_quarter_of_a_replica() {
    for (nodes, replicas, capacity) in [(5_900, 16, Some(CAPACITY)), (5_900, 16, None), (20, 2, None)] {
        let hold_down =
            PollPacing::new(settings(nodes), replicas, capacity, None).min_hold_down().as_secs_f64();
        let share = f64::from(nodes) / replicas as f64;
        let call_time = CAPACITY.call_lines / CAPACITY.lines_per_second;
        assert!(share * call_time <= 0.2501 * hold_down && hold_down >= 30.0, "{hold_down}");
    }
}

/// A change must reach all nodes within 11 s. Nodes whose replica is lost at that moment would be late if
/// they waited for a backoff, or if all of them polled the same other replica.
#[test]
fn nodes_of_a_lost_replica_are_notified_by_other_replicas_in_time() {
    println!("| nodes | replicas | last node of the lost replica is notified after | polls per node |");
    println!("| --- | --- | --- | --- |");
    for (nodes, replicas, most) in [(100, 2, 5.0), (1_000, 4, 11.0), (2_000, 8, 5.0), (5_900, 16, 5.0)] {
        let fleet = Fleet {
            nodes,
            polling: nodes,
            replicas,
            lines: LINES,
            mode: Mode::Capacity,
            rejection_cost: 0.0,
            lost: Some(0),
        };
        let outcomes: Vec<_> = (0..5).map(|seed| simulate(fleet, Some(1), seed)).collect();
        let last = outcomes.iter().map(|one| one.last_list_at).fold(0.0, f64::max);
        let polls = outcomes.iter().map(|one| one.polls_per_node).fold(0.0, f64::max);
        println!("| {nodes} | {replicas} | {last:.1} s | {polls:.1} |");
        assert!(last <= most, "{fleet:?}: {last}");
    }
}
