//! Tests of a fault that affects all servers at once (the origin, a switch, a zone) while a circuit breaker
//! is half-open. After the fault, each server must be used again.

mod common;

use balancer_core::*;
use common::*;
use std::time::Duration;

const COOLDOWN: Duration = Duration::from_secs(6);
const SERVERS: u8 = 12;
const STEP: Duration = Duration::from_millis(500);
const KEYS: std::ops::Range<u64> = 100..160;

/// Returns a node of a fleet of `nodes` nodes.
fn node_of(nodes: u32) -> Node {
    Node::with_servers(Settings { nodes, max_attempts: 2, ..settings() }, SERVERS)
}

/// Makes calls of key 7 fail, only at its own server, until that server is ejected. Returns the server.
fn eject(node: &mut Node, status: AttemptStatus) -> ServerId {
    let own = node.call(7, AttemptStatus::Ok).expect("served");
    let ejected = (0..60).any(|_| node.call(7, status).as_ref() != Some(&own));
    assert!(ejected, "{own} is still used after 60 failed calls");
    own
}

/// Simulates the fault for this time: every attempt at `own` ends with `status`, and so do the attempts at
/// the other servers, except for one in `served_one_in`. So the other servers are not ejected, and `own` is
/// not the only server that fails.
fn fault(node: &mut Node, own: &ServerId, status: AttemptStatus, served_one_in: u32, time: Duration) {
    let end = node.now + time;
    let mut attempts = 0;
    while node.now < end {
        for key in KEYS.chain([7]) {
            let id = node.request(0, key, ms(400));
            while let Some((_, server)) = node.in_flight(&id) {
                attempts += 1;
                let failed = server == *own || attempts % served_one_in > 0;
                node.answer(&id, if failed { status } else { AttemptStatus::Ok });
            }
        }
        node.advance(STEP);
    }
}

/// Returns whether key 7 is sent to its own server again after this time of successful calls.
fn serves_again_within(node: &mut Node, own: &ServerId, time: Duration) -> bool {
    let end = node.now + time;
    while node.now < end {
        for key in KEYS.chain([7]) {
            node.call(key, AttemptStatus::Ok);
        }
        node.advance(STEP);
    }
    node.call(7, AttemptStatus::Ok).as_ref() == Some(own)
}

/// If other servers fail as well, failed trials count as admitted permanently. After three of them, the
/// server receives no requests until its restart, even though it has recovered.
#[test]
fn a_server_that_was_on_trial_in_a_fault_of_everything_serves_again() {
    let is_blocked = |nodes: &u32| {
        let mut node = node_of(*nodes);
        let own = eject(&mut node, AttemptStatus::Failed);
        node.advance(COOLDOWN);
        fault(&mut node, &own, AttemptStatus::Failed, 2, Duration::from_secs(3));
        !serves_again_within(&mut node, &own, COOLDOWN * 2)
    };
    let blocked: Vec<u32> = [1, 20, 300].into_iter().filter(is_blocked).collect();
    assert!(blocked.is_empty(), "the server is sent nothing in fleets of {blocked:?} nodes");
}

/// The same failure as above, for the breaker of one class at one server.
#[test]
fn a_class_that_was_on_trial_in_a_fault_of_everything_is_served_again() {
    let mut node = Node::with_servers(settings(), 3);
    node.load.queue_length = Some(0.0);
    let own = eject(&mut node, AttemptStatus::QueueFull);
    node.advance(COOLDOWN);
    fault(&mut node, &own, AttemptStatus::QueueFull, u32::MAX, Duration::from_secs(3));
    assert!(serves_again_within(&mut node, &own, COOLDOWN * 2), "{own}");
}

/// During a fault of all servers, a server with a half-open breaker must get at most three trials in one
/// cooldown.
#[test]
fn a_server_on_trial_gets_no_more_than_its_trials_in_a_fault_of_everything() {
    let mut node = node_of(1);
    let own = eject(&mut node, AttemptStatus::Failed);
    node.advance(COOLDOWN);
    let before = sends_to(&node, &own);
    fault(&mut node, &own, AttemptStatus::Failed, 2, COOLDOWN - STEP);
    let trials = sends_to(&node, &own) - before;
    assert!((1..=3).contains(&trials), "{trials} attempts in one cooldown");
}

/// Trials are not part of the state that a successor restores, so failed trials do not block the server at
/// the successor.
#[test]
fn a_successor_uses_a_server_whose_trials_failed_in_a_common_fault() {
    let mut node = node_of(1);
    let own = eject(&mut node, AttemptStatus::Failed);
    node.advance(COOLDOWN);
    fault(&mut node, &own, AttemptStatus::Failed, 2, Duration::from_secs(3));
    let learned = node.balancer.learned_state(node.now);
    let mut successor = Node::with_servers(node.settings.clone(), SERVERS);
    successor.now = node.now;
    successor.handle(Event::StateRestored(learned.into()));
    assert!(serves_again_within(&mut successor, &own, COOLDOWN * 2), "{own}");
}

fn sends_to(node: &Node, server: &ServerId) -> usize {
    let starts = node.actions.iter();
    starts.filter(|action| matches!(action, Action::StartAttempt { server: to, .. } if to == server)).count()
}
