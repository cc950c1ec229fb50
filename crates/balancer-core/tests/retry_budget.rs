//! Tests of the retry budget: which retries it limits, and which attempts add to it.

mod common;
use balancer_core::*;
use common::*;

/// Trying each request on several servers multiplies the load when it is already too high.
#[test]
fn retries_stop_when_the_budget_is_spent() {
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

/// Each node with an outdated endpoint list has to find out by itself that a server was removed. A connection
/// that fails puts no load on a server, so its retry is free. If the request were rejected for lack of
/// budget, the client would only send it again.
#[test]
fn retries_after_connect_errors_need_no_budget() {
    let mut node = Node::with_servers(settings(), 26);
    for key in 0..100 {
        let id = node.request(0, key, ms(400));
        for attempts_left in (0..3).rev() {
            let (attempt, server) = node.in_flight(&id).expect("sent, and retried");
            // Half of the listed servers no longer exist.
            if server.as_str() < "n" && attempts_left > 0 {
                node.end_attempt(&id, attempt, AttemptStatus::ConnectError);
            } else {
                node.end_attempt(&id, attempt, AttemptStatus::Ok);
                break;
            }
        }
    }
}

/// If attempts after connect errors added to the budget, failed connections would pay for retries at
/// overloaded servers.
#[test]
fn attempts_after_connect_errors_add_nothing_to_the_budget() {
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
    // The first run spends the initial balance. After that, one request in five can be retried.
    retries(0);
    let (without, with) = (retries(0), retries(2));
    assert!((18..=22).contains(&without), "{without}");
    assert!(with <= 22, "{with}");
}
