//! A fault of all servers at once (the origin, a switch, a zone) that meets a half-open breaker. When it is over, each
//! server serves again.

mod common;

use balancer_core::*;
use common::*;
use std::time::Duration;

const COOLDOWN: Duration = Duration::from_secs(6);
const SERVERS: u8 = 12;
const STEP: Duration = Duration::from_millis(500);
const KEYS: std::ops::Range<u64> = 100..160;

/// A node of a fleet of this many.
fn node_of(nodes: u32) -> Node {
    Node::with_servers(Settings { nodes, max_attempts: 2, ..settings() }, SERVERS)
}

/// Makes calls of key 7 fail at its server alone until that is ejected. Returns the server.
fn eject(node: &mut Node, status: AttemptStatus) -> ServerId {
    let own = node.call(7, AttemptStatus::Ok).expect("served");
    let ejected = (0..60).any(|_| node.call(7, status).as_ref() != Some(&own));
    assert!(ejected, "{own} is still sent to");
    own
}

/// The fault: for this long, every attempt at `own` ends with `status`, and at the others each but one of `served_one_in`.
/// So the others are not ejected, and what fails is not `own` alone.
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

/// Whether key 7 is served by its own server again after at most this time of calls that succeed.
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

/// A failed trial kept its place for good where other servers failed as well: after three, the server was sent nothing
/// until it was restarted, though it had recovered.
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

/// The same for the breaker of one class at one server.
#[test]
fn a_class_that_was_on_trial_in_a_fault_of_everything_is_served_again() {
    let mut node = Node::with_servers(settings(), 3);
    node.load.queue_length = Some(0.0);
    let own = eject(&mut node, AttemptStatus::QueueFull);
    node.advance(COOLDOWN);
    fault(&mut node, &own, AttemptStatus::QueueFull, u32::MAX, Duration::from_secs(3));
    assert!(serves_again_within(&mut node, &own, COOLDOWN * 2), "{own}");
}

/// The trials of a fault of everything stay a trickle: a server with three free places at a time gets no more for it.
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

/// A guard: trials are not part of the state that a successor takes over, so they do not block it.
#[test]
fn a_successor_serves_from_a_server_that_was_on_trial_in_a_fault_of_everything() {
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
