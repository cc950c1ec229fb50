//! A node with one address of discovery and no stated capacity asks as it did before there were replicas: the same waits,
//! limits and pauses, whatever comes of its calls.

#[path = "before/asking.rs"]
mod before;

use balancer_core::asking::{Call, End, Pace, Terms};
use balancer_core::discovery_client::{CallEnd, DiscoveryClient, Jitter};
use balancer_core::replicas::{Replicas, Step};
use balancer_core::Timestamp;
use proptest::prelude::*;
use std::time::Duration;

/// How a call ended, as both say it; 503 was a failure like any other before.
fn end(kind: u8, call: Call, part: f64) -> (CallEnd, before::End) {
    let took = call.limit.mul_f64(part);
    let (end, was) = match kind {
        0 => (End::Answered { took, news: false }, before::End::Answered { took, news: false }),
        1 => (End::Answered { took, news: true }, before::End::Answered { took, news: true }),
        2 => (End::Overdue, before::End::Overdue),
        3 => (End::Unreached { took }, before::End::Unreached { took }),
        4 => return (CallEnd::Refused { took }, before::End::Failed),
        _ => (End::Failed, before::End::Failed),
    };
    (CallEnd::Other(end), was)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(1_000))]
    #[test]
    fn one_address_without_a_capacity_is_asked_as_before(
        nodes in 1..10_000_u32,
        asked in prop::bool::weighted(0.9),
        (within, grace) in (1..60_000_u64, 0..3_000_u64),
        ends in prop::collection::vec((0..6_u8, 0.0..1.0_f64, 0.0..1.0_f64, any::<bool>()), 1..80),
    ) {
        let (within, grace) = (Duration::from_millis(within), Duration::from_millis(grace));
        let terms = Terms { nodes, within, grace, asked };
        let was_terms = before::Terms { nodes, within, grace, asked };
        let mut client = DiscoveryClient::new(Replicas::new("n0", vec!["127.0.0.1:7100".into()]));
        let mut was = before::Asking::default();
        let pace = |client: &DiscoveryClient| Pace::of(terms, client.replicas().serving(), None, Some(40));
        let mut for_changes = false;
        for (kind, part, jitter, next_for_changes) in ends {
            let call = client.call(pace(&client), for_changes, jitter);
            let was_call = was.call(was_terms, for_changes, jitter);
            prop_assert_eq!((call.wait, call.limit), (was_call.wait, was_call.limit));
            prop_assert!(client.sending(pace(&client)).is_none());
            let (end, was_end) = end(kind, call, part);
            for_changes = next_for_changes;
            let jitters = Jitter { pause: jitter, hold_down: part };
            let next = client.ended(Timestamp::from_micros(0), pace(&client), call, end, for_changes, jitters);
            let was_pause = was.ended(was_terms, was_call, was_end, for_changes, jitter);
            prop_assert_eq!(next.pause, was_pause);
            prop_assert_eq!(next.step, Step::Stay);
        }
        prop_assert_eq!(balancer_core::asking::wait(nodes, 7, true, 0.5), before::wait(nodes, 7, true, 0.5));
    }
}
