//! Simulates fleets that poll one discovery service at once, in virtual time. The service answers polls one
//! after the other. A poll that would be queued for longer than [`QUEUE_TIMEOUT`] fails.

#[path = "support/poll_settings.rs"]
mod poll_settings;

use balancer_core::discovery::{
    backoff, Poll, PollKind, PollOutcome, PollSchedule, MISSED_EVENT_DEADLINE, NOTIFICATION_DEADLINE,
};
use poll_settings::settings;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;
use PollKind::{Snapshot, Watch};

const LINES_PER_SECOND: f64 = 200.0;
/// Cost of a poll in addition to the lines of its answer, regardless of its outcome.
const CALL_LINES: f64 = 10.0;
/// Longest time in the queue, in seconds.
const QUEUE_TIMEOUT: f64 = 3.0;
/// Time, in seconds, in which the slowest supported discovery answers all nodes once.
const SLOWEST_ROUND: f64 = 8.0;

/// Pending polls, as pairs of the time in microseconds and the node.
type PollQueue = BinaryHeap<Reverse<(u64, u32)>>;

/// Returns the time for one answer, in seconds, if all nodes are answered within `round`. It is at most 0.25
/// s, even for a few nodes.
fn answer_time(nodes: u32, round: f64) -> f64 {
    (round / f64::from(nodes)).min(0.25)
}

fn micros(seconds: f64) -> u64 {
    (seconds * 1e6) as u64
}

/// An earlier backoff, for comparison, which does not depend on the number of nodes.
fn backoff_without_fleet_size(_: u32, failures: u32, _: PollKind, jitter: f64) -> Duration {
    let step =
        Duration::from_millis(200).saturating_mul(1 << (failures - 1).min(8)).min(Duration::from_secs(3));
    step.mul_f64(0.5 + jitter)
}

/// Returns the pause of the schedule after this many consecutive failures.
fn scheduled_pause(nodes: u32, failures: u32, kind: PollKind, jitter: f64) -> Duration {
    let (mut schedule, mut pause) = (PollSchedule::default(), Duration::ZERO);
    for _ in 0..failures {
        let poll = schedule.next_poll(settings(nodes), kind, jitter);
        pause = schedule.poll_ended(settings(nodes), poll, PollOutcome::Failed, kind, jitter);
    }
    pause
}

/// Returns when the last node is answered, in seconds, and the number of polls of all nodes, or `None` if
/// that takes over an hour. A snapshot has `lines` lines; nodes that watch have no changes to receive.
fn all_answered(
    pause: impl Fn(u32, u32, PollKind, f64) -> Duration,
    nodes: u32,
    lines: f64,
    kind: PollKind,
    seed: u64,
) -> Option<(f64, u32)> {
    let mut random = fastrand::Rng::with_seed(seed);
    // Each poll has two stages: handling the call and sending the answer.
    let mut queue: BinaryHeap<_> = (0..nodes).map(|node| Reverse((0, node, false))).collect();
    let (mut free_at, mut polls, mut last) = (0.0_f64, 0, 0.0);
    let mut failures = vec![0; nodes as usize];
    let answer_lines = if kind == Watch { 0.0 } else { lines };
    while let Some(Reverse((at, node, is_answer))) = queue.pop() {
        let now = at as f64 / 1e6;
        if now > 3_600.0 {
            return None;
        }
        polls += u32::from(!is_answer);
        let done = free_at.max(now) + if is_answer { answer_lines } else { CALL_LINES } / LINES_PER_SECOND;
        if done - now > QUEUE_TIMEOUT {
            failures[node as usize] += 1;
            let pause = pause(nodes, failures[node as usize], kind, random.f64());
            queue.push(Reverse((micros(now + QUEUE_TIMEOUT + pause.as_secs_f64()), node, false)));
        } else {
            free_at = done;
            if is_answer {
                last = done;
            } else {
                queue.push(Reverse((micros(done), node, true)));
            }
        }
    }
    Some((last, polls))
}

/// Returns the longest time and the most polls of ten seeds.
fn worst(
    pause: impl Fn(u32, u32, PollKind, f64) -> Duration + Copy,
    nodes: u32,
    lines: f64,
    kind: PollKind,
) -> Option<(f64, u32)> {
    let all = (0..10).map(|seed| all_answered(pause, nodes, lines, kind, seed));
    all.reduce(|one, other| {
        let ((at, polls), (other_at, other_polls)) = (one?, other?);
        Some((at.max(other_at), polls.max(other_polls)))
    })?
}

#[test]
fn nodes_without_a_list_receive_one_within_twice_the_sending_time_plus_one_step() {
    println!("| nodes | servers | sending time | last list, before | now | polls per node, before | now |");
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for (nodes, servers) in
        [(1, 8), (8, 20), (20, 20), (60, 20), (60, 83), (200, 83), (450, 83), (450, 20), (1_000, 83)]
    {
        let lines = f64::from(servers);
        let min_time = f64::from(nodes) * (CALL_LINES + lines) / LINES_PER_SECOND;
        let before = worst(backoff_without_fleet_size, nodes, lines, Snapshot);
        let now = worst(scheduled_pause, nodes, lines, Snapshot);
        let time =
            |all: Option<(f64, u32)>| all.map_or("over an hour".into(), |(at, _)| format!("{at:.1} s"));
        let polls = |all: Option<(f64, u32)>| {
            all.map_or("-".into(), |(_, polls)| format!("{:.1}", f64::from(polls) / f64::from(nodes)))
        };
        println!(
            "| {nodes} | {servers} | {min_time:.1} s | {} | {} | {} | {} |",
            time(before),
            time(now),
            polls(before),
            polls(now)
        );
        let (at, _) = now.expect("all of them in an hour");
        let longest = backoff(nodes, 30, Snapshot, 1.0).as_secs_f64();
        assert!(
            at <= 2.0 * min_time + longest + QUEUE_TIMEOUT,
            "{nodes} nodes, {servers} servers: {at:.1} s"
        );
    }
}

#[test]
fn watches_are_retried_sooner_than_snapshots() {
    for nodes in [1, 20, 60, 450, 1_000] {
        let min_time = f64::from(nodes) * CALL_LINES / LINES_PER_SECOND;
        let (at, _) = worst(scheduled_pause, nodes, 0.0, Watch).expect("all of them in an hour");
        assert!(at <= 3.0 * min_time + 12.0, "{nodes} nodes: {at:.1} s");
        // The bound holds for any number of failures.
        let limit = Duration::from_secs(3).max(Duration::from_millis(50) * nodes);
        assert!(backoff(nodes, 40, Watch, 1.0) <= limit);
    }
}

/// The deadline bounds the pause before a watch. If it also bounded the pause before a snapshot, a discovery
/// that sends snapshots slowly would spend its capacity on failing polls, and a large fleet would wait longer
/// for its lists.
#[test]
fn bounding_the_pause_before_snapshots_would_delay_the_lists_of_large_fleets() {
    let bounded = |nodes: u32, failures: u32, kind: PollKind, jitter: f64| {
        backoff(nodes, failures, kind, jitter).min(Duration::from_secs(20))
    };
    let lines = 83.0;
    let (without, with) = (worst(backoff, 450, lines, Snapshot), worst(bounded, 450, lines, Snapshot));
    println!("450 nodes: {without:?} without, {with:?} with the bound");
    assert!(with.expect("an end").0 > 1.2 * without.expect("an end").0);
}

/// Returns the number of nodes whose next answer comes too late for the changes that their lost watches
/// missed. All watches were opened and lost together. A fraction `refused` of the polls fails at once, as do
/// those that would be queued for too long.
fn late_after_lost_watches(nodes: u32, refused: f64, seed: u64, watch: impl Fn(f64) -> Poll) -> usize {
    let mut random = fastrand::Rng::with_seed(seed);
    let mut queue = PollQueue::new();
    let mut states: Vec<(PollSchedule, f64)> = Vec::new();
    for node in 0..nodes {
        let mut schedule = PollSchedule::default();
        let poll = watch(random.f64());
        let pause = schedule.poll_ended(settings(nodes), poll, PollOutcome::TimedOut, Watch, random.f64());
        let deadline = poll.wait + MISSED_EVENT_DEADLINE + settings(nodes).drain_grace;
        states.push((schedule, deadline.as_secs_f64()));
        queue.push(Reverse(((poll.timeout + pause).as_micros() as u64, node)));
    }
    let (mut free_at, mut late) = (0.0_f64, 0);
    while let Some(Reverse((at, node))) = queue.pop() {
        let now = at as f64 / 1e6;
        let (schedule, deadline) = &mut states[node as usize];
        let answered = free_at.max(now) + answer_time(nodes, SLOWEST_ROUND);
        if answered - now > QUEUE_TIMEOUT || random.f64() < refused {
            let poll = schedule.next_poll(settings(nodes), Watch, random.f64());
            let pause = schedule.poll_ended(settings(nodes), poll, PollOutcome::Failed, Watch, random.f64());
            queue.push(Reverse((at + pause.as_micros() as u64, node)));
        } else {
            free_at = answered;
            late += usize::from(answered > *deadline);
        }
    }
    late
}

/// A network fault drops the watches of all nodes at once. If the nodes also returned at once, discovery
/// could not answer most of them before they count as notified of the missed changes, and they would continue
/// to send to servers that have left. The random waits of the watches spread the nodes.
#[test]
fn nodes_whose_watches_were_lost_together_are_all_notified_in_time() {
    println!("| nodes | late in 10 seeds, no poll refused | late in 10 seeds, one poll in ten refused |");
    println!("| --- | --- | --- |");
    for nodes in [1, 8, 60, 350, 1_024, 5_000] {
        let watch = |jitter: f64| PollSchedule::default().next_poll(settings(nodes), Watch, jitter);
        let late =
            |refused| (0..10).map(|seed| late_after_lost_watches(nodes, refused, seed, watch)).sum::<usize>();
        let (none, some) = (late(0.0), late(0.1));
        println!("| {nodes} | {none} | {some} |");
        assert_eq!(none, 0, "{nodes} nodes");
        // One poll in a thousand is refused three times in a row.
        assert!(some as f64 <= 0.003 * 10.0 * f64::from(nodes) + 1.0, "{nodes} nodes: {some}");
    }
}

/// Verifies the simulation of the test above: with the earlier schedules, which had one wait for all nodes,
/// with and without a random part of the timeout, most nodes are late.
#[test]
fn equal_waits_of_all_watches_leave_most_nodes_late() {
    let random_timeout = |jitter: f64| Poll {
        wait: Duration::from_secs(20),
        timeout: Duration::from_millis(22_500) + Duration::from_millis(400).mul_f64(jitter),
    };
    let equal = |_: f64| Poll { wait: Duration::from_secs(20), timeout: Duration::from_millis(20_500) };
    let cases: [(u32, &dyn Fn(f64) -> Poll); 5] =
        [(8, &random_timeout), (60, &random_timeout), (350, &random_timeout), (60, &equal), (350, &equal)];
    for (nodes, watch) in cases {
        let late = late_after_lost_watches(nodes, 0.0, 1, watch);
        assert!(late as f64 > 0.5 * f64::from(nodes), "{late} of {nodes}");
    }
}

/// An outage of discovery that begins when all nodes poll.
#[derive(Clone, Copy)]
struct Outage {
    nodes: u32,
    /// Time in which discovery answers all nodes once, in seconds.
    round: f64,
    /// Whether discovery drops connection attempts during the outage. Otherwise it refuses them at once.
    drops_connects: bool,
}

/// The result of an outage.
#[derive(Clone, Copy, Debug)]
struct Recovery {
    /// Percentage of nodes that were notified too late.
    late_percent: f64,
    /// Time from the end of the outage until the last node has its first answer, in seconds.
    last_notified: f64,
    /// Mean number of polls per node after the outage.
    polls_per_node: f64,
}

impl Recovery {
    /// Returns the maximum of each figure.
    fn max(self, other: Self) -> Self {
        Self {
            late_percent: self.late_percent.max(other.late_percent),
            last_notified: self.last_notified.max(other.last_notified),
            polls_per_node: self.polls_per_node.max(other.polls_per_node),
        }
    }
}

/// Simulates the outage. `pause` returns the pause after a failed poll, in seconds, given the number of
/// failures so far.
fn recover(
    outage: Outage,
    seed: u64,
    pause: impl Fn(&mut PollSchedule, u32, PollOutcome, f64) -> f64,
) -> Recovery {
    /// End of the outage, in seconds.
    const BACK: f64 = 8.0;
    const CONNECT_TIMEOUT: f64 = 2.0;
    let nodes = outage.nodes;
    let mut random = fastrand::Rng::with_seed(seed);
    let mut queue: PollQueue = (0..nodes).map(|node| Reverse((0, node))).collect();
    let mut schedules = vec![PollSchedule::default(); nodes as usize];
    let mut notified = vec![None; nodes as usize];
    let mut failures = vec![0; nodes as usize];
    let (mut free_at, mut polls) = (0.0_f64, 0);
    while let Some(Reverse((at, node))) = queue.pop() {
        let now = at as f64 / 1e6;
        let schedule = &mut schedules[node as usize];
        let poll = schedule.next_poll(settings(nodes), Watch, random.f64());
        let mut failed = |schedule: &mut PollSchedule, outcome, took| {
            failures[node as usize] += 1;
            let next = now + took + pause(schedule, failures[node as usize], outcome, random.f64());
            queue.push(Reverse((micros(next), node)));
        };
        if now < BACK {
            let took = if outage.drops_connects { CONNECT_TIMEOUT } else { 0.0 };
            failed(schedule, PollOutcome::Unreachable { took: Duration::from_secs_f64(took) }, took);
            continue;
        }
        polls += 1;
        let answered = free_at.max(now) + answer_time(nodes, outage.round);
        if answered - now > QUEUE_TIMEOUT {
            failed(schedule, PollOutcome::Failed, 0.0);
            continue;
        }
        free_at = answered;
        if notified[node as usize].is_none() {
            notified[node as usize] = Some(answered - BACK);
            // The next poll has no changes to receive, but is queued as well.
            let outcome = PollOutcome::Answered { took: Duration::ZERO, has_changes: true };
            let pause = schedule.poll_ended(settings(nodes), poll, outcome, Watch, 0.5);
            let next = schedule.next_poll(settings(nodes), Watch, random.f64()).wait + pause;
            queue.push(Reverse((micros(answered + next.as_secs_f64()), node)));
        }
    }
    let notified: Vec<f64> = notified.into_iter().map(|at| at.expect("notified in the end")).collect();
    let deadline = (NOTIFICATION_DEADLINE + settings(nodes).drain_grace).as_secs_f64();
    let late = notified.iter().filter(|at| **at > deadline).count() as f64 / f64::from(nodes);
    Recovery {
        late_percent: 100.0 * late,
        last_notified: notified.iter().fold(0.0, |last, at| last.max(*at)),
        polls_per_node: f64::from(polls) / f64::from(nodes),
    }
}

/// A backoff that grows with the number of nodes without another bound would still be running when discovery
/// is back: nodes would learn of changes after the deadline, and until then send to servers that have left.
/// So the deadline bounds the step. Nodes that discovery cannot answer by then are late with any schedule.
#[test]
fn nodes_whose_polls_failed_are_notified_in_time_once_discovery_is_back() {
    println!("| nodes | time to answer all | connections in the outage | late, before | now | last notified, before | now | polls per node, before | now |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for (round, drops_connects) in [(5.0, false), (5.0, true), (8.0, false), (8.0, true)] {
        for nodes in [1, 8, 20, 60, 100, 300, 350] {
            let outage = Outage { nodes, round, drops_connects };
            let poll = PollSchedule::default().next_poll(settings(nodes), Watch, 0.5);
            let worst = |pause: &dyn Fn(&mut PollSchedule, u32, PollOutcome, f64) -> f64| {
                let seeds = (0..10).map(|seed| recover(outage, seed, pause));
                seeds.reduce(Recovery::max).expect("ten seeds")
            };
            let now = worst(&|schedule, _, outcome, jitter| {
                schedule.poll_ended(settings(nodes), poll, outcome, Watch, jitter).as_secs_f64()
            });
            // An earlier backoff, with the same steps but without the bound by the deadline.
            let before = worst(&|schedule, failures, outcome, jitter| {
                schedule.poll_ended(settings(nodes), poll, outcome, Watch, 0.0);
                let max_pause = (settings(nodes).max_poll_interval * 2).as_secs_f64();
                backoff(nodes, failures, Watch, jitter).as_secs_f64().min(max_pause)
            });
            println!(
                "| {nodes} | {round:.0} s | {} | {:.0}% | {:.0}% | {:.1} s | {:.1} s | {:.1} | {:.1} |",
                if drops_connects { "dropped" } else { "refused" },
                before.late_percent,
                now.late_percent,
                before.last_notified,
                now.last_notified,
                before.polls_per_node,
                now.polls_per_node
            );
            // The percentage of nodes that discovery cannot answer in time with any schedule.
            let deadline = (NOTIFICATION_DEADLINE + settings(nodes).drain_grace).as_secs_f64();
            let unavoidable = (1.0 - deadline / round).max(0.0) * 100.0;
            if nodes >= 60 {
                assert!(now.late_percent <= unavoidable * 1.6, "{nodes} nodes, {round} s: {now:?}");
                assert!(now.last_notified <= round + 2.5, "{nodes} nodes, {round} s: {now:?}");
            } else {
                assert_eq!(now.late_percent, 0.0, "{nodes} nodes, {round} s: {now:?}");
            }
        }
    }
}

/// Nodes that are restarted together hold no list, and each requests a snapshot. If the pauses grew too soon,
/// many would still have no list, and reject requests, long after discovery could have sent it. Nine in ten
/// nodes must have their list within 10 s, even if discovery needs 8 s to answer all of them.
#[test]
fn nodes_that_start_together_without_a_list_receive_one_in_time() {
    let cases =
        [1, 20, 60, 100, 300, 350].into_iter().flat_map(|nodes| [(nodes, 5.0), (nodes, SLOWEST_ROUND)]);
    for (nodes, round) in cases {
        for seed in 0..10 {
            let mut random = fastrand::Rng::with_seed(seed);
            let mut queue: PollQueue = (0..nodes).map(|node| Reverse((0, node))).collect();
            let mut schedules = vec![PollSchedule::default(); nodes as usize];
            let (mut free_at, mut in_time, mut last) = (0.0_f64, 0, 0.0);
            while let Some(Reverse((at, node))) = queue.pop() {
                let (now, schedule) = (at as f64 / 1e6, &mut schedules[node as usize]);
                let answered = free_at.max(now) + answer_time(nodes, round);
                if answered - now > QUEUE_TIMEOUT {
                    let poll = schedule.next_poll(settings(nodes), Snapshot, random.f64());
                    let failed = PollOutcome::Failed;
                    let pause = schedule.poll_ended(settings(nodes), poll, failed, Snapshot, random.f64());
                    queue.push(Reverse((at + pause.as_micros() as u64, node)));
                } else {
                    free_at = answered;
                    (in_time, last) = (in_time + u32::from(answered <= 10.0), answered);
                }
            }
            assert!(in_time * 10 >= nodes * 9, "{in_time} of {nodes} nodes, {round} s, seed {seed}");
            let deadline = (NOTIFICATION_DEADLINE + settings(nodes).drain_grace).as_secs_f64();
            let is_late = round <= deadline && last > deadline;
            assert!(!is_late, "the last of {nodes} nodes at {last:.1} s, seed {seed}");
        }
    }
}
