//! Checks that a node with one address of discovery and no configured capacity polls as it did before
//! replicas were introduced, with the same waits, timeouts and pauses for all outcomes of polls.

#[path = "reference/single_address_schedule.rs"]
mod reference;

use balancer_core::discovery::{
    backoff, DiscoveryClient, Jitter, Poll, PollKind, PollOutcome, PollPacing, PollSettings,
    ReplicaSelection, ReplicaTransition,
};
use balancer_core::Timestamp;
use proptest::prelude::*;
use std::time::Duration;

fn kind(is_watch: bool) -> PollKind {
    if is_watch {
        PollKind::Watch
    } else {
        PollKind::Snapshot
    }
}

/// Returns an outcome of a poll, for the client and for the reference.
fn outcomes(number: u8, poll: Poll, fraction: f64) -> (PollOutcome, reference::Outcome) {
    use reference::Outcome as Reference;
    let took = poll.timeout.mul_f64(fraction);
    match number {
        0 => (
            PollOutcome::Answered { took, has_changes: false },
            Reference::Answered { took, has_changes: false },
        ),
        1 => (
            PollOutcome::Answered { took, has_changes: true },
            Reference::Answered { took, has_changes: true },
        ),
        2 => (PollOutcome::TimedOut, Reference::TimedOut),
        3 => (PollOutcome::Unreachable { took }, Reference::Unreachable { took }),
        4 => (PollOutcome::Overloaded { took }, Reference::Failed),
        _ => (PollOutcome::Failed, Reference::Failed),
    }
}

/// Returns how long a poll with this outcome counts to have taken for the next pause.
fn time_taken(outcome: PollOutcome, timeout: Duration) -> Duration {
    match outcome {
        PollOutcome::TimedOut => timeout,
        PollOutcome::Overloaded { took } | PollOutcome::Unanswered { took } => took,
        PollOutcome::Answered { .. } | PollOutcome::Unreachable { .. } | PollOutcome::Failed => {
            Duration::ZERO
        }
    }
}

/// The pause before a snapshot poll after more than five failures, which differs from the reference: there it
/// grew with the fleet, so that nodes learned of changes after their deadline once an outage was over. Now it
/// is bounded by the deadline, unless discovery has sent unusable lists, or none for ten minutes, and may have
/// no capacity for the polls of all nodes. Returns `None` if the pause is that of the reference.
fn pause_of_later_snapshot_poll(
    settings: PollSettings,
    failures: u32,
    outcome: PollOutcome,
    timeout: Duration,
    refused_for: Duration,
    jitter: f64,
) -> Option<Duration> {
    let took = time_taken(outcome, timeout);
    let counted = if matches!(outcome, PollOutcome::Overloaded { .. }) { Duration::ZERO } else { took };
    let left = Duration::from_secs(3).saturating_sub(counted);
    let limit = left.max(Duration::from_millis(200)).min(settings.max_poll_interval * 2);
    let may_be_down = outcome != PollOutcome::Failed && refused_for <= Duration::from_secs(600);
    let has_capacity = Duration::from_millis(50) * settings.nodes <= took + limit.mul_f64(0.75);
    let step = reference::backoff(settings.nodes, failures, false, 1.0).min(limit);
    (may_be_down || has_capacity).then(|| step.mul_f64(0.75 + 0.25 * jitter))
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(1_000))]
    /// Operators with one address were promised that replicas change nothing for them. A different wait or
    /// pause would change the load of their discovery and the time within which their nodes are notified of
    /// changes.
    #[test]
    fn one_address_without_a_capacity_is_polled_as_before_replicas(
        nodes in 1..10_000_u32,
        is_shared_service in prop::bool::weighted(0.9),
        (within, grace) in (1..60_000_u64, 0..3_000_u64),
        ends in prop::collection::vec((0..6_u8, 0.0..1.0_f64, 0.0..1.0_f64, any::<bool>()), 1..80),
    ) {
        let (max_poll_interval, drain_grace) = (Duration::from_millis(within), Duration::from_millis(grace));
        let settings = PollSettings { nodes, max_poll_interval, drain_grace, is_shared_service };
        let reference_settings = reference::Settings { nodes, max_poll_interval, drain_grace, is_shared_service };
        let mut client = DiscoveryClient::new(ReplicaSelection::new("n0", vec!["127.0.0.1:7100".into()]));
        let mut reference = reference::Schedule::default();
        let pacing = |client: &DiscoveryClient| {
            PollPacing::new(settings, client.replicas().available(), None, Some(40))
        };
        let (mut is_watch, mut failures, mut refused_for) = (false, 0, Duration::ZERO);
        for (number, fraction, jitter, next_is_watch) in ends {
            let poll = client.next_poll(pacing(&client), kind(is_watch), jitter);
            let reference_poll = reference.next_poll(reference_settings, is_watch, jitter);
            prop_assert_eq!((poll.wait, poll.timeout), (reference_poll.wait, reference_poll.timeout));
            prop_assert!(client.answer_allowance(pacing(&client)).is_none());
            let (outcome, reference_outcome) = outcomes(number, poll, fraction);
            let is_lost_watch = outcome == PollOutcome::TimedOut && !poll.wait.is_zero();
            let is_failure = !is_lost_watch && !matches!(outcome, PollOutcome::Answered { .. });
            let is_refusal = is_failure && !matches!(outcome, PollOutcome::Unreachable { .. });
            failures = if is_failure { failures + 1 } else { 0 };
            refused_for = if is_refusal { refused_for + time_taken(outcome, poll.timeout) } else { Duration::ZERO };
            is_watch = next_is_watch;
            let next = client.poll_ended(
                Timestamp::from_micros(0),
                pacing(&client),
                poll,
                outcome,
                kind(is_watch),
                Jitter { pause: jitter, hold_down: fraction },
            );
            let reference_pause =
                reference.poll_ended(reference_settings, reference_poll, reference_outcome, is_watch, jitter);
            let is_later_snapshot = failures > 5 && !is_watch && is_shared_service;
            let later = (is_later_snapshot && is_refusal)
                .then(|| {
                    pause_of_later_snapshot_poll(settings, failures, outcome, poll.timeout, refused_for, jitter)
                })
                .flatten();
            prop_assert_eq!(next.pause, later.unwrap_or(reference_pause));
            if is_refusal {
                refused_for += next.pause;
            }
            prop_assert_eq!(next.transition, ReplicaTransition::Stay);
        }
        prop_assert_eq!(backoff(nodes, 7, PollKind::Watch, 0.5), reference::backoff(nodes, 7, true, 0.5));
    }
}
