//! Tests the model of the origin.

use balancer_core::Timestamp;
use std::time::Duration;
use testbed::models::Origin;
use testbed::random::RandomSource;
use testbed::script;

#[test]
fn fetches_beyond_the_slots_are_queued_and_beyond_the_queue_rejected() {
    let settings = script::Origin {
        slots: 2,
        mean_fetch_time: Duration::from_millis(100),
        fetch_variation: 0.0,
        queue_capacity: 1,
        initially_cached_fraction: 0.0,
    };
    let mut origin = Origin::new(settings);
    let at = Timestamp::from_micros;
    let accepted: Vec<_> = (0..4).map(|id| origin.fetch(at(0), id, RandomSource::new(id))).collect();
    assert_eq!(accepted, [true, true, true, false]);
    let mut ended = Vec::new();
    origin.advance(at(99_999), &mut ended);
    assert!(ended.is_empty());
    assert_eq!(origin.next_wakeup(), Some(at(100_000)));
    // The queued fetch started when a slot became free, not at the call of `advance`.
    origin.advance(at(250_000), &mut ended);
    assert_eq!((ended, origin.next_wakeup()), (vec![0, 1, 2], None));
}
