//! Cache-aside sites, where the balancer fetches misses from the origin itself.

mod common;
use balancer_core::*;
use common::*;

fn node() -> Node {
    let (settings, origin) = aside();
    let mut node = Node::new(settings, 1);
    node.apply_snapshot(vec![Endpoint::new("a"), Endpoint::new("b"), origin]);
    node
}

#[test]
fn a_miss_goes_to_the_origin_and_a_hit_does_not() {
    let mut node = node();
    let id = node.request(0, 7, ms(400));
    assert_ne!(node.in_flight(&id).expect("sent").1.as_str(), "zz-origin");
    node.answer(&id, AttemptStatus::Miss);
    assert_eq!(node.in_flight(&id).expect("retried").1.as_str(), "zz-origin");
    node.answer(&id, AttemptStatus::Ok);
    assert!(node.requests[&id].finished);
}

#[test]
fn a_write_goes_directly_to_the_origin() {
    let mut node = node();
    let request = Request { class: Some(ClassId(1)), write: true, ..Request::new("w", node.now + ms(400)) };
    let id = node.submit(request);
    assert_eq!(node.in_flight(&id).expect("sent").1.as_str(), "zz-origin");
}

#[test]
fn an_open_origin_breaker_rejects_misses_and_writes_with_a_retry_after() {
    let mut node = node();
    for i in 0..3 {
        let request = Request {
            class: Some(ClassId(0)),
            write: true,
            ..Request::new(&format!("w{i}"), node.now + ms(400))
        };
        let id = node.submit(request);
        node.answer(&id, AttemptStatus::Failed);
    }
    let miss = node.request(0, 7, ms(400));
    let rejected = node.answer(&miss, AttemptStatus::Miss);
    assert!(
        matches!(&rejected[..], [Action::Reject { retry_after, .. }] if *retry_after == ms(1000)),
        "{rejected:?}"
    );
    assert!(node.call(8, AttemptStatus::Ok).is_some(), "hits are still served");
}
