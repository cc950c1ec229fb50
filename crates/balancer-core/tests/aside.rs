//! Sites whose balancers fetch misses from the origin.

mod common;
use balancer_core::*;
use common::*;

fn node() -> Node {
    let (settings, origin) = aside();
    let mut node = Node::new(settings, 1);
    node.full_list(vec![Endpoint::new("a"), Endpoint::new("b"), origin]);
    node
}

#[test]
fn a_miss_goes_to_the_origin_and_a_hit_does_not() {
    let mut node = node();
    let id = node.request(0, 7, ms(400));
    assert_ne!(node.out(&id).expect("sent").1.as_str(), "zz-origin");
    node.answer(&id, AttemptStatus::Miss);
    assert_eq!(node.out(&id).expect("sent on").1.as_str(), "zz-origin");
    node.answer(&id, AttemptStatus::Ok);
    assert!(node.requests[&id].ended);
}

#[test]
fn a_write_goes_straight_to_the_origin() {
    let mut node = node();
    let request = Request { class: Some(ClassId(1)), write: true, ..Request::new("w", node.now + ms(400)) };
    let id = node.submit(request);
    assert_eq!(node.out(&id).expect("sent").1.as_str(), "zz-origin");
}

#[test]
fn an_open_origin_breaker_refuses_misses_and_writes_with_a_retry_after() {
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
    let refused = node.answer(&miss, AttemptStatus::Miss);
    assert!(
        matches!(&refused[..], [Action::Reject { retry_after, .. }] if *retry_after == ms(1000)),
        "{refused:?}"
    );
    assert!(node.call(8, AttemptStatus::Ok).is_some(), "hits are served all the same");
}
