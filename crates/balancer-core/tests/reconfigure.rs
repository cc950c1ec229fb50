//! Tests of reloads: requests keep the settings under which they arrived, and the state of servers is kept.

mod common;

use balancer_core::*;
use common::{ms, settings, Node};

/// Returns settings with the given classes in this order; 0 is read, 1 keyed and 2 unsafe.
fn with_classes(order: &[usize]) -> Settings {
    let all = settings();
    Settings { classes: order.iter().map(|&i| all.classes[i].clone()).collect(), ..all }
}

fn with_idempotency(class: usize, idempotency: Idempotency) -> Settings {
    let mut changed = settings();
    changed.classes[class].idempotency = idempotency;
    changed
}

fn attempts_started(actions: &[Action]) -> usize {
    actions.iter().filter(|action| matches!(action, Action::StartAttempt { .. })).count()
}

#[test]
fn a_request_is_still_retried_when_its_class_becomes_not_idempotent() {
    let mut node = Node::with_servers(settings(), 4);
    let before = node.request(0, 7, ms(400));
    node.reconfigure(with_idempotency(0, Idempotency::NotIdempotent));
    let after = node.request(0, 8, ms(400));
    assert_eq!(attempts_started(&node.answer(&before, AttemptStatus::Reset)), 1);
    let actions = node.answer(&after, AttemptStatus::Reset);
    assert!(matches!(&actions[..], [Action::Fail { id }] if *id == after), "{actions:?}");
}

#[test]
fn a_request_is_not_retried_when_its_class_becomes_idempotent() {
    let mut node = Node::with_servers(settings(), 4);
    let before = node.request(2, 7, ms(400));
    node.reconfigure(with_idempotency(2, Idempotency::Idempotent));
    let actions = node.answer(&before, AttemptStatus::TimedOut);
    assert!(matches!(&actions[..], [Action::Fail { .. }]), "{actions:?}");
    let after = node.request(2, 8, ms(400));
    assert_eq!(attempts_started(&node.answer(&after, AttemptStatus::Reset)), 1);
}

/// Requests refer to classes by index. After classes are reordered or removed, the same index refers to
/// another class, and by the idempotency of that class a request might run twice.
#[test]
fn a_request_keeps_its_class_when_classes_are_removed_or_reordered() {
    let mut node = Node::with_servers(settings(), 4);
    let (read, not_idempotent) = (node.request(0, 7, ms(400)), node.request(2, 8, ms(400)));
    // The first class is removed, and its index now refers to the unsafe class.
    node.reconfigure(with_classes(&[2, 1]));
    assert_eq!(attempts_started(&node.answer(&read, AttemptStatus::Reset)), 1);
    let actions = node.answer(&not_idempotent, AttemptStatus::Reset);
    assert!(matches!(&actions[..], [Action::Fail { .. }]), "{actions:?}");
    node.answer(&read, AttemptStatus::Ok);
    let later = node.request(0, 9, ms(400));
    let actions = node.answer(&later, AttemptStatus::Reset);
    assert!(matches!(&actions[..], [Action::Fail { .. }]), "{actions:?}");
}

#[test]
fn max_attempts_and_retry_after_follow_the_settings_at_arrival() {
    let mut node = Node::with_servers(Settings { max_attempts: 2, ..settings() }, 4);
    let before = node.request(0, 7, ms(400));
    node.reconfigure(Settings { max_attempts: 1, max_retry_after: ms(0), ..settings() });
    let after = node.request(0, 8, ms(400));
    assert_eq!(attempts_started(&node.answer(&before, AttemptStatus::ConnectError)), 1);
    let retry_after = |actions: &[Action]| match actions {
        [Action::Reject { retry_after, .. }] => *retry_after,
        other => panic!("{other:?}"),
    };
    assert!(retry_after(&node.answer(&before, AttemptStatus::ConnectError)) > ms(0));
    assert_eq!(retry_after(&node.answer(&after, AttemptStatus::ConnectError)), ms(0));
}

/// Opens the breaker of the server of this key. Returns the server.
fn eject(node: &mut Node, key: u64) -> ServerId {
    let first = node.call(key, AttemptStatus::Reset).expect("sent");
    for _ in 0..2 {
        node.call(key, AttemptStatus::Reset);
    }
    assert_ne!(node.call(key, AttemptStatus::Ok), Some(first.clone()), "the breaker of {first} is open");
    first
}

#[test]
fn an_open_breaker_stays_open_for_its_cooldown_and_no_longer() {
    let mut node = Node::with_servers(settings(), 4);
    let server = eject(&mut node, 7);
    for order in [&[1, 0, 2][..], &[0, 1, 2], &[0]] {
        node.reconfigure(with_classes(order));
    }
    assert_ne!(node.call(7, AttemptStatus::Ok), Some(server.clone()));
    node.advance(ms(6_000));
    assert_eq!(node.call(7, AttemptStatus::Ok), Some(server));
}

/// The breakers of classes are found by index. After classes are reordered, a breaker must not count the
/// results of another class.
#[test]
fn rejections_of_a_class_count_for_the_class_of_that_name() {
    let mut node = Node::with_servers(settings(), 2);
    node.load = LoadReport { queue_length: Some(0.0), ..LoadReport::default() };
    let own = node.call(7, AttemptStatus::Ok).expect("sent");
    // Sends a request of this class, which only the key's own server rejects. Returns the first server that
    // it was sent to.
    let call = |node: &mut Node, class: usize| {
        let id = node.request(class, 7, ms(400));
        let (_, server) = node.in_flight(&id).expect("sent");
        let status = if server == own { AttemptStatus::QueueFull } else { AttemptStatus::Ok };
        node.answer(&id, status);
        if node.in_flight(&id).is_some() {
            node.answer(&id, AttemptStatus::Ok);
        }
        server
    };
    for _ in 0..4 {
        call(&mut node, 1);
    }
    assert_ne!(call(&mut node, 1), own, "the breaker of the class is open");
    node.reconfigure(with_classes(&[1, 0]));
    assert_ne!(call(&mut node, 0), own, "the breaker of the keyed class, now the first, is still open");
    let read = node.request(1, 7, ms(400));
    assert_eq!(node.in_flight(&read).expect("sent").1, own);
    node.answer(&read, AttemptStatus::Ok);
    // A class that was removed and added again starts with a closed breaker.
    node.reconfigure(with_classes(&[0]));
    node.reconfigure(with_classes(&[1]));
    let id = node.request(0, 7, ms(400));
    assert_eq!(node.in_flight(&id).expect("sent").1, own);
    node.answer(&id, AttemptStatus::Ok);
}

/// A request whose class is removed counts as a request without a class from then on. The results of its
/// earlier attempts must not open the breaker for requests without a class.
#[test]
fn results_of_a_removed_class_count_for_no_other_class() {
    let mut node = Node::with_servers(settings(), 2);
    node.load = LoadReport { queue_length: Some(0.0), ..LoadReport::default() };
    let own = node.call(7, AttemptStatus::Ok).expect("sent");
    let ids: Vec<_> = (0..6).map(|_| node.request(1, 7, ms(400))).collect();
    node.reconfigure(with_classes(&[0]));
    // The other server serves requests without a class. Otherwise the key's own server would not be an
    // outlier.
    let elsewhere = (0..).find(|&key| node.call(key, AttemptStatus::Ok).is_some_and(|server| server != own));
    let unnamed = |node: &mut Node, id: &str, key| {
        let request = Request { key, ..Request::new(id, node.now + ms(400)) };
        node.submit(request)
    };
    for number in 0..4 {
        let id = unnamed(&mut node, &format!("other {number}"), elsewhere);
        node.answer(&id, AttemptStatus::Ok);
    }
    for id in &ids {
        if node.in_flight(id).is_some_and(|(_, server)| server == own) {
            node.answer(id, AttemptStatus::QueueFull);
        }
    }
    let id = unnamed(&mut node, "unnamed", Some(7));
    assert_eq!(
        node.in_flight(&id).expect("sent").1,
        own,
        "the breaker for requests without a class is closed"
    );
}

#[test]
fn a_polled_endpoint_list_is_subscribed_to_once() {
    let mut node = Node::with_servers(settings(), 2);
    let subscriptions = |actions: Vec<Action>| {
        actions.iter().filter(|action| **action == Action::SubscribeToEndpoints).count()
    };
    let polled = Settings { discovery_is_polled: true, ..settings() };
    assert_eq!(subscriptions(node.handle(Event::Reconfigured(Box::new(polled.clone())))), 1);
    assert_eq!(subscriptions(node.handle(Event::Reconfigured(Box::new(polled.clone())))), 0);
    // After a change to another source and back, the node has to subscribe again.
    assert_eq!(subscriptions(node.handle(Event::Reconfigured(Box::new(settings())))), 0);
    assert_eq!(subscriptions(node.handle(Event::Reconfigured(Box::new(polled)))), 1);
}

/// Reloads of unchanged settings must not change any action. A reload that resets state would cause a
/// difference.
#[test]
fn a_reload_of_the_same_settings_changes_no_action() {
    let run = |reconfigured: bool| {
        let mut node = Node::with_servers(settings(), 5);
        for step in 0..400_u64 {
            let id = node.request((step % 3) as usize, step % 17, ms(400));
            if reconfigured && step % 50 == 25 {
                node.reconfigure(settings());
            }
            if node.in_flight(&id).is_some() {
                let status =
                    [AttemptStatus::Ok, AttemptStatus::Ok, AttemptStatus::Reset, AttemptStatus::QueueFull]
                        [(step % 4) as usize];
                node.answer(&id, status);
            }
            if node.in_flight(&id).is_some() {
                node.answer(&id, AttemptStatus::Ok);
            }
            node.advance(ms(7));
        }
        node.actions
    };
    let plain = run(false);
    assert_eq!(plain, run(false));
    assert_eq!(plain, run(true));
}
