//! Tests how soon nodes that need a whole list poll discovery after an outage, in virtual time.

#[path = "support/poll_settings.rs"]
mod poll_settings;

use balancer_core::discovery::{
    PollKind, PollOutcome, PollPacing, PollSchedule, ReplicaCapacity, NOTIFICATION_DEADLINE,
};
use poll_settings::settings;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;
use PollKind::Snapshot;

/// Time within which discovery answers a poll, or fails it, at the latest, in seconds.
const QUEUE_TIMEOUT: f64 = 2.0;
/// Sizes of the fleet that are checked.
const FLEETS: [u32; 6] = [1, 6, 60, 300, 900, 5_900];
/// Lengths of the outage, in seconds.
const OUTAGES: [f64; 8] = [1.0, 4.0, 8.0, 12.0, 20.0, 45.0, 120.0, 590.0];
/// The length of an outage for which only nodes of small fleets poll in time, in seconds.
const LONG_OUTAGE: f64 = 7_200.0;

/// How polls end while discovery is down.
#[derive(Clone, Copy, Debug)]
enum Failure {
    /// Status 503 after this many seconds.
    Rejected(f64),
    /// The connection ends after this many seconds.
    ClosedConnection(f64),
    /// No connection is opened.
    Unreachable,
}

impl Failure {
    /// Returns the time from the poll to its failure, in seconds.
    fn took(self) -> f64 {
        match self {
            Self::Rejected(took) | Self::ClosedConnection(took) => took,
            Self::Unreachable => 0.0,
        }
    }

    fn outcome(self) -> PollOutcome {
        let took = Duration::from_secs_f64(self.took());
        match self {
            Self::Rejected(_) => PollOutcome::Overloaded { took },
            Self::ClosedConnection(_) => PollOutcome::Unanswered { took },
            Self::Unreachable => PollOutcome::Unreachable { took },
        }
    }
}

/// Returns the time from the end of an outage to the node's next poll, in seconds. All polls fail from 0 to
/// `outage`, in seconds.
fn first_poll_after(pacing: PollPacing, failure: Failure, outage: f64, random: &mut fastrand::Rng) -> f64 {
    let mut schedule = PollSchedule::default();
    let mut now = random.f64() * 0.1;
    while now < outage {
        let poll = schedule.next_poll(pacing, Snapshot, random.f64());
        let pause = schedule.poll_ended(pacing, poll, failure.outcome(), Snapshot, random.f64());
        now += failure.took() + pause.as_secs_f64();
    }
    now - outage
}

/// Returns the longest time from the end of an outage to a node's next poll, over all lengths of the outage.
fn latest_poll_after(pacing: PollPacing, failure: Failure, outages: &[f64]) -> f64 {
    const NODES: usize = 100;
    let mut random = fastrand::Rng::with_seed(1);
    let outages = outages.iter().flat_map(|outage| [*outage; NODES]);
    let polls = outages.map(|outage| first_poll_after(pacing, failure, outage, &mut random));
    polls.fold(0.0, f64::max)
}

/// The time from the end of an outage by which a node must have sent a poll, in seconds: discovery may take
/// half of the deadline for the answer.
fn polled_by() -> f64 {
    NOTIFICATION_DEADLINE.as_secs_f64() / 2.0
}

/// The failures of polls that are checked. A discovery that is down may hold polls for a while first.
const FAILURES: [Failure; 7] = [
    Failure::Rejected(0.0),
    Failure::Rejected(0.5),
    Failure::Rejected(2.0),
    Failure::ClosedConnection(0.02),
    Failure::ClosedConnection(0.5),
    Failure::ClosedConnection(2.0),
    Failure::Unreachable,
];

/// Guards against a node without a list whose pauses grow with the fleet and the length of an outage: it
/// learned of a drain up to 10 s after discovery was back, and sent requests to the draining server.
#[test]
fn a_node_that_needs_a_list_polls_in_time_after_an_outage() {
    for nodes in FLEETS {
        for failure in FAILURES {
            // The outage may end while a poll is held.
            let latest = latest_poll_after(settings(nodes).into(), failure, &OUTAGES) - failure.took();
            assert!(latest <= polled_by(), "{nodes} nodes, {failure:?}: {latest:.1} s");
        }
    }
}

/// A small fleet never polls less: its polls leave discovery the capacity for lists in any case.
#[test]
fn a_node_of_a_small_fleet_polls_in_time_after_an_outage_of_any_length() {
    for nodes in [1, 6, 45] {
        for failure in FAILURES {
            let pacing = settings(nodes).into();
            let latest = latest_poll_after(pacing, failure, &[LONG_OUTAGE]) - failure.took();
            assert!(latest <= polled_by(), "{nodes} nodes, {failure:?}: {latest:.1} s");
        }
    }
}

/// The same where the capacity of discovery is configured, and suffices for the lists of all nodes.
#[test]
fn a_node_polls_in_time_after_an_outage_if_the_configured_capacity_suffices_for_all() {
    let capacity = ReplicaCapacity { lines_per_second: 60_000.0, call_lines: 10.0 };
    for nodes in FLEETS {
        let pacing = PollPacing::new(settings(nodes), 1, Some(capacity), Some(20));
        for failure in FAILURES {
            let latest = latest_poll_after(pacing, failure, &OUTAGES) - failure.took();
            assert!(latest <= polled_by(), "{nodes} nodes, {failure:?}: {latest:.1} s");
        }
    }
}

/// Returns when the last node has its list, in seconds after the outage, and the polls per node since then.
/// Discovery answers polls one after the other, all nodes within `round` seconds, and rejects those that would
/// wait for longer than [`QUEUE_TIMEOUT`] at once, which takes `rejection_cost` of the time for an answer.
fn all_answered(nodes: u32, round: f64, rejection_cost: f64, seed: u64) -> (f64, f64) {
    const OUTAGE: f64 = 20.0;
    const MAX_TIME: f64 = 600.0;
    /// The longest time for an answer, in seconds, however few the nodes are.
    const MAX_ANSWER_TIME: f64 = 0.25;
    let answer_time = (round / f64::from(nodes)).min(MAX_ANSWER_TIME);
    let pacing = PollPacing::from(settings(nodes));
    let mut random = fastrand::Rng::with_seed(seed);
    let mut queue: BinaryHeap<_> = (0..nodes).map(|node| Reverse((0_u64, node))).collect();
    let mut schedules = vec![PollSchedule::default(); nodes as usize];
    let (mut free_at, mut polls, mut last) = (0.0_f64, 0, 0.0);
    while let Some(Reverse((at, node))) = queue.pop() {
        let now = at as f64 / 1e6;
        let answered = free_at.max(now) + answer_time;
        let is_down = now < OUTAGE;
        polls += u32::from(!is_down);
        if !is_down && answered - now <= QUEUE_TIMEOUT {
            (free_at, last) = (answered, answered - OUTAGE);
            continue;
        }
        if !is_down {
            free_at = free_at.max(now) + rejection_cost * answer_time;
        }
        if now > MAX_TIME {
            return (f64::INFINITY, f64::INFINITY);
        }
        let schedule = &mut schedules[node as usize];
        let poll = schedule.next_poll(pacing, Snapshot, random.f64());
        let rejected = PollOutcome::Overloaded { took: Duration::ZERO };
        let pause = schedule.poll_ended(pacing, poll, rejected, Snapshot, random.f64());
        queue.push(Reverse((at + pause.as_micros() as u64, node)));
    }
    (last, f64::from(polls) / f64::from(nodes))
}

/// Guards against retries that keep an overloaded discovery busy after an outage, so that it sends no lists. The
/// operators state that discovery can take one poll of every node in 2 to 8 s.
#[test]
fn retries_after_an_outage_leave_discovery_the_capacity_for_all_lists() {
    println!("| nodes | time to answer all | cost of a rejection | last list | polls per node |");
    println!("| --- | --- | --- | --- | --- |");
    for nodes in FLEETS {
        for round in [2.0, 5.0, 8.0] {
            for rejection_cost in [0.0, 0.3] {
                let worst = (0..5)
                    .map(|seed| all_answered(nodes, round, rejection_cost, seed))
                    .fold((0.0_f64, 0.0_f64), |worst, (last, polls)| (worst.0.max(last), worst.1.max(polls)));
                let (last, polls) = worst;
                println!("| {nodes} | {round} s | {rejection_cost} | {last:.1} s | {polls:.1} |");
                // A rejection after the queue's time and one more pause, for each list that is rejected.
                assert!(last <= 2.0 * round + polled_by(), "{nodes} nodes, {round} s: {last:.1} s");
            }
        }
    }
}
