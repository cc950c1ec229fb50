//! Checks the waits, timeouts and pauses of polls for each outcome.

#[path = "support/poll_settings.rs"]
mod poll_settings;

use balancer_core::discovery::{
    backoff, Poll, PollKind, PollOutcome, PollSchedule, PollSettings, MISSED_EVENT_DEADLINE,
    NOTIFICATION_DEADLINE,
};
use poll_settings::settings;
use proptest::prelude::*;
use std::time::Duration;
use PollKind::{Snapshot, Watch};

/// Time after which discovery gives up a queued poll.
const QUEUE_TIMEOUT: Duration = Duration::from_secs(3);

#[test]
fn the_backoff_is_drawn_from_zero_up_to_a_step_that_doubles() {
    assert_eq!(backoff(450, 0, Snapshot, 1.0), Duration::ZERO);
    let steps: Vec<_> = (1..=6).map(|failures| backoff(20, failures, Watch, 1.0).as_millis()).collect();
    assert_eq!(steps, [400, 800, 1_600, 3_000, 3_000, 3_000]);
    assert_eq!(backoff(20, 2, Watch, 0.25), Duration::from_millis(200));
    assert_eq!(backoff(450, 30, Snapshot, 1.0), Duration::from_millis(112_500));
    // The bound holds for invalid random numbers and for any number of nodes.
    for jitter in [f64::NAN, f64::INFINITY, -1.0, 2.0] {
        assert!(backoff(10_000, u32::MAX, Snapshot, jitter) <= Duration::from_secs(5_000));
    }
}

/// Polls after a lost watch are retried sooner than others, since the changes that it missed have a deadline.
/// If that continued, a discovery that is down would be polled far more often after a network fault than at
/// any other time, so only two retries are urgent.
#[test]
fn only_two_retries_after_a_lost_watch_are_urgent() {
    let settings = settings(350);
    let mut schedule = PollSchedule::default();
    let poll = schedule.next_poll(settings, Watch, 0.5);
    let mut pause = |outcome| schedule.poll_ended(settings, poll, outcome, Watch, 1.0);
    assert_eq!(pause(PollOutcome::TimedOut), Duration::ZERO);
    let urgent = [pause(PollOutcome::Failed), pause(PollOutcome::Failed)];
    assert_eq!(urgent, [backoff(1, 1, Watch, 1.0), backoff(1, 2, Watch, 1.0)]);
    assert!(urgent.iter().sum::<Duration>() <= MISSED_EVENT_DEADLINE);
    // Changes still have a deadline, which bounds the longer step of hundreds of nodes.
    assert_eq!(pause(PollOutcome::Failed), backoff(350, 3, Watch, 1.0).min(NOTIFICATION_DEADLINE / 2));
    // An answer resets the number of failures.
    pause(PollOutcome::Answered { took: Duration::ZERO, has_changes: true });
    assert_eq!(pause(PollOutcome::Failed), backoff(350, 1, Watch, 1.0));
}

/// The network fault that dropped one poll may drop the next watch as well. With a usual wait of up to 20 s,
/// the loss would be detected too late for the changes that the watch misses; a short wait leaves time for
/// another poll.
#[test]
fn the_watch_after_a_failed_poll_is_short_once_all_nodes_can_have_polled() {
    for nodes in [1, 20, 60, 350] {
        let settings = settings(nodes);
        let unreachable = PollOutcome::Unreachable { took: Duration::ZERO };
        for outcome in [PollOutcome::Failed, unreachable, PollOutcome::TimedOut] {
            let mut schedule = PollSchedule::default();
            let usual = schedule.next_poll(settings, Watch, 0.0);
            schedule.poll_ended(settings, usual, outcome, Watch, 0.5);
            let next = schedule.next_poll(settings, Watch, 1.0);
            // Discovery answers the first polls of all nodes in 50 ms per node.
            let first_polls = Duration::from_millis(50) * nodes;
            assert_eq!(
                next.wait,
                Duration::from_secs(3).max(first_polls).min(Duration::from_secs(20)),
                "{nodes} nodes, {outcome:?}"
            );
            let answered = PollOutcome::Answered { took: next.wait, has_changes: false };
            schedule.poll_ended(settings, next, answered, Watch, 0.5);
            assert_eq!(schedule.next_poll(settings, Watch, 0.0), usual);
        }
    }
}

/// Guards against hundreds of nodes that each poll in a loop without a pause, because discovery answers
/// watches at once although there are no changes.
#[test]
fn a_discovery_that_never_waits_is_polled_a_bounded_number_of_times() {
    const SPAN: Duration = Duration::from_secs(600);
    for nodes in [1, 60, 350, 1_024] {
        let mut random = fastrand::Rng::with_seed(u64::from(nodes));
        let mut polls = 0_u64;
        for _ in 0..nodes {
            let (mut schedule, mut now) = (PollSchedule::default(), Duration::ZERO);
            while now < SPAN {
                let poll = schedule.next_poll(settings(nodes), Watch, random.f64());
                let took = Duration::from_millis(1);
                let outcome = PollOutcome::Answered { took, has_changes: false };
                let pause = schedule.poll_ended(settings(nodes), poll, outcome, Watch, random.f64());
                // The current list stays valid for longer than the pause.
                assert!(pause <= settings(nodes).max_poll_interval / 2);
                now += took + pause;
                polls += 1;
            }
        }
        // Each node polls about once per 1.5 s, in large fleets once per 2.5 s, and more often at first.
        let most = SPAN.as_secs_f64() / if nodes < 100 { 1.3 } else { 2.3 };
        assert!(polls as f64 <= most * f64::from(nodes), "{nodes} nodes: {polls} polls");
    }
}

#[test]
fn a_local_agent_is_polled_again_within_any_drain_grace() {
    for grace in [50, 150, 500, 3_000] {
        let drain_grace = Duration::from_millis(grace);
        let settings = PollSettings { is_shared_service: false, drain_grace, ..settings(350) };
        let mut schedule = PollSchedule::default();
        for failures in 0..40 {
            let kind = if failures % 3 > 0 { Watch } else { Snapshot };
            let poll = schedule.next_poll(settings, kind, 0.7);
            let pause = schedule.poll_ended(settings, poll, PollOutcome::Failed, Watch, 1.0);
            let in_time = poll.timeout + pause <= drain_grace;
            assert!(in_time && !pause.is_zero(), "{drain_grace:?}: {poll:?}, {pause:?}");
        }
    }
    // A drain grace of zero cannot be met, but must not lead to polls without a pause.
    let none = PollSettings { is_shared_service: false, drain_grace: Duration::ZERO, ..settings(1) };
    let poll = PollSchedule::default().next_poll(none, Watch, 0.0);
    assert!(poll.wait >= Duration::from_millis(5) && poll.timeout > poll.wait);
}

#[test]
fn snapshot_polls_that_keep_failing_pause_longer_than_the_list_is_valid() {
    let settings = settings(450);
    let mut schedule = PollSchedule::default();
    let snapshot = Poll { wait: Duration::ZERO, timeout: QUEUE_TIMEOUT };
    let mut longest = Duration::ZERO;
    for _ in 0..20 {
        longest = schedule.poll_ended(settings, snapshot, PollOutcome::Failed, Snapshot, 1.0);
    }
    assert!(longest > settings.max_poll_interval * 2, "{longest:?}");
}

proptest! {
    /// A pause that is too long delays a change past its deadline, and polls without a pause overload
    /// discovery. However polls end: a watch times out, and the next poll is sent, before the node counts as
    /// notified of the events it missed; after failures there are at least two polls in the time for which a
    /// failed one leaves the list valid; and polls repeat without a pause only after a watch that waited, or
    /// after changes.
    #[test]
    fn the_next_poll_is_in_time_however_polls_end(
        nodes in 1..5_000_u32,
        within in 500..60_000_u64,
        ends in prop::collection::vec((0..6_u8, 0.01..1.0_f64, any::<bool>()), 1..60),
    ) {
        let max_poll_interval = Duration::from_millis(within);
        let settings = PollSettings { nodes, max_poll_interval, ..settings(nodes) };
        let (mut schedule, mut early_answers) = (PollSchedule::default(), 0);
        for (end, jitter, is_watch) in ends {
            let kind = if is_watch { Watch } else { Snapshot };
            let poll = schedule.next_poll(settings, kind, jitter);
            prop_assert!(poll.timeout > poll.wait);
            let outcome = match end {
                0 => PollOutcome::Answered { took: poll.wait, has_changes: false },
                1 => PollOutcome::Answered { took: Duration::ZERO, has_changes: true },
                2 => PollOutcome::Answered { took: Duration::ZERO, has_changes: false },
                3 => PollOutcome::TimedOut,
                4 => PollOutcome::Unreachable { took: QUEUE_TIMEOUT.mul_f64(jitter) },
                5 => PollOutcome::Unanswered { took: QUEUE_TIMEOUT.mul_f64(jitter) },
                _ => PollOutcome::Failed,
            };
            let early = outcome == PollOutcome::Answered { took: Duration::ZERO, has_changes: false } && is_watch;
            early_answers = if early { early_answers + 1 } else { 0 };
            let pause = schedule.poll_ended(settings, poll, outcome, kind, jitter);
            match outcome {
                PollOutcome::TimedOut if is_watch => {
                    prop_assert!(poll.timeout + pause + Duration::from_secs(1) <= poll.wait + MISSED_EVENT_DEADLINE);
                }
                PollOutcome::TimedOut | PollOutcome::Failed | PollOutcome::Unanswered { .. } => {
                    let limit = (settings.max_poll_interval * 2).min(NOTIFICATION_DEADLINE / 2);
                    prop_assert!(!pause.is_zero() && (!is_watch || pause <= limit));
                }
                // The time spent on connection attempts counts, for watches and snapshots.
                PollOutcome::Unreachable { took } => {
                    prop_assert!(!pause.is_zero() && pause <= settings.max_poll_interval * 2);
                    prop_assert!(pause <= Duration::from_millis(200) || took + pause <= NOTIFICATION_DEADLINE / 2);
                }
                PollOutcome::Answered { .. } => {
                    prop_assert_eq!(pause.is_zero(), early_answers < 2);
                    prop_assert!(pause < settings.max_poll_interval);
                }
                PollOutcome::Overloaded { .. } => prop_assert!(false, "not generated here"),
            }
        }
    }
}
