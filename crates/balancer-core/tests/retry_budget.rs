//! The retry budget: which retries it pays for, and what pays into it.

mod common;
use balancer_core::*;
use common::*;

/// Every request tried on every server multiplies the load just when there is too much of it.
#[test]
fn retries_stop_when_their_budget_is_spent() {
    let mut node = Node::with_servers(settings(), 8);
    let mut sends = 0;
    for key in 0..300 {
        let id = node.request(0, key, ms(400));
        while node.in_flight(&id).is_some() {
            node.answer(&id, AttemptStatus::QueueFull);
        }
        sends += node.requests[&id].attempts.len();
        node.advance(ms(2));
    }
    assert!(sends <= 300 + 300 / 5 + 10, "{sends} sends for 300 requests");
}

/// Nodes that hold an old list meet each removed server by themselves. A retry elsewhere costs no server
/// anything; rejected for want of budget, the client would only come again.
#[test]
fn retries_after_connect_errors_need_no_budget() {
    let mut node = Node::with_servers(settings(), 26);
    for key in 0..100 {
        let id = node.request(0, key, ms(400));
        for attempts_left in (0..3).rev() {
            let (attempt, server) = node.in_flight(&id).expect("sent, and retried");
            // Half of the servers on the list are gone.
            if server.as_str() < "n" && attempts_left > 0 {
                node.end_attempt(&id, attempt, AttemptStatus::ConnectError);
            } else {
                node.end_attempt(&id, attempt, AttemptStatus::Ok);
                break;
            }
        }
    }
}

/// If attempts after connect errors paid into the budget, failed connections would pay for retries that
/// overloaded servers are to be spared.
#[test]
fn connect_errors_pay_nothing_into_the_retry_budget() {
    let mut node = Node::with_servers(settings(), 26);
    let mut retries = |connect_errors: usize| {
        let mut retried = 0;
        for key in 0..100 {
            let id = node.request(0, key, ms(400));
            for _ in 0..connect_errors {
                node.answer(&id, AttemptStatus::ConnectError);
            }
            node.answer(&id, AttemptStatus::Reset);
            retried += u32::from(node.in_flight(&id).is_some());
            if node.in_flight(&id).is_some() {
                node.answer(&id, AttemptStatus::Ok);
            }
        }
        retried
    };
    // The saved balance is spent first. After that, every fifth request can be retried.
    retries(0);
    let (without, with) = (retries(0), retries(2));
    assert!((18..=22).contains(&without), "{without}");
    assert!(with <= 22, "{with}");
}
