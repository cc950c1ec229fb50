//! Checks the predecessor's side of a graceful restart, event by event.

use balancer_core::graceful_restart::PredecessorAction::{
    BackOff, Cancel, Fence, Offer, Pause, Resume, Rollback,
};
use balancer_core::graceful_restart::PredecessorEvent::{
    self, BackoffExpired, Declined, LinkLost, Released, Requested, SuccessorAccepting, SuccessorDied,
    SuccessorReady, TimedOut,
};
use balancer_core::graceful_restart::{Predecessor, PredecessorAction, PredecessorState};

/// Returns the state after these events and the actions of all of them.
fn run(events: &[PredecessorEvent]) -> (PredecessorState, Vec<PredecessorAction>) {
    let mut predecessor = Predecessor::default();
    let actions = events.iter().flat_map(|event| predecessor.handle(*event)).copied().collect();
    (predecessor.state(), actions)
}

#[test]
fn a_second_successor_or_a_message_out_of_order_leaves_the_predecessor_serving() {
    let cases: [(&[PredecessorEvent], &[PredecessorAction]); 9] = [
        (&[SuccessorReady], &[]),
        (&[SuccessorAccepting], &[]),
        (&[Requested, SuccessorAccepting], &[Offer, Cancel]),
        (&[Requested, Released], &[Offer, Cancel]),
        (&[Requested, Requested], &[Offer, Cancel]),
        (&[Requested, TimedOut, SuccessorReady], &[Offer, Cancel]),
        (&[Requested, Declined, LinkLost], &[Offer]),
        (&[Requested, SuccessorReady, SuccessorReady], &[Offer, Pause, Cancel, Fence, Resume]),
        (&[Requested, SuccessorReady, SuccessorDied, SuccessorAccepting], &[Offer, Pause, Resume]),
    ];
    for (events, expected) in cases {
        assert_eq!(run(events), (PredecessorState::Serving, expected.to_vec()), "{events:?}");
        // The next successor is accepted like the first.
        let again: Vec<_> = events.iter().copied().chain([Requested]).collect();
        assert_eq!(run(&again).1.last(), Some(&Offer));
    }
}

/// Guards against a faulty version that is accepted again and again, and each time fails the clients handed
/// over to it.
#[test]
fn a_third_successor_is_rejected_after_two_deaths_until_the_backoff_expires() {
    let on_probation = [Requested, SuccessorReady, SuccessorAccepting, SuccessorDied];
    let paused = [Requested, SuccessorReady, SuccessorDied];
    for first in [&on_probation[..], &paused[..]] {
        for second in [&on_probation[..], &paused[..]] {
            let mut predecessor = Predecessor::default();
            assert!(!first.iter().any(|event| predecessor.handle(*event).contains(&BackOff)));
            // Deaths of successors that had no clients yet, and successors that give up, do not count.
            for event in [
                Requested,
                SuccessorDied,
                Requested,
                SuccessorReady,
                Declined,
                Requested,
                SuccessorReady,
                SuccessorAccepting,
                Declined,
            ] {
                predecessor.handle(event);
            }
            assert!(!predecessor.is_backing_off());
            let last = second.iter().map(|event| predecessor.handle(*event)).last().unwrap();
            assert!(matches!(last, [Resume | Rollback, BackOff]), "{last:?}");
            assert_eq!(predecessor.handle(Requested), [Cancel]);
            assert_eq!(predecessor.handle(BackoffExpired), []);
            assert_eq!(predecessor.handle(Requested), [Offer]);
        }
    }
}
