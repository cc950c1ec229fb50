//! Settings that change under way: requests are judged by those that they were taken under, and what is known lives on.

mod common;

use balancer_core::*;
use common::{ms, settings, Node};

/// Settings with these of the usual classes (read, keyed, unsafe), in this order.
fn with_classes(order: &[usize]) -> Settings {
    let usual = settings();
    Settings { classes: order.iter().map(|&i| usual.classes[i].clone()).collect(), ..usual }
}

fn with_effect(class: usize, effect: Idempotency) -> Settings {
    let mut changed = settings();
    changed.classes[class].idempotency = effect;
    changed
}

fn sends(actions: &[Action]) -> usize {
    actions.iter().filter(|action| matches!(action, Action::StartAttempt { .. })).count()
}

#[test]
fn a_request_whose_class_becomes_unsafe_is_still_repeated_and_a_later_one_is_not() {
    let mut node = Node::with_servers(settings(), 4);
    let before = node.request(0, 7, ms(400));
    node.reconfigure(with_effect(0, Idempotency::NotIdempotent));
    let after = node.request(0, 8, ms(400));
    assert_eq!(sends(&node.answer(&before, AttemptStatus::Reset)), 1);
    let actions = node.answer(&after, AttemptStatus::Reset);
    assert!(matches!(&actions[..], [Action::Fail { id }] if *id == after), "{actions:?}");
}

#[test]
fn a_request_whose_class_was_unsafe_is_not_repeated_because_later_ones_may_be() {
    let mut node = Node::with_servers(settings(), 4);
    let before = node.request(2, 7, ms(400));
    node.reconfigure(with_effect(2, Idempotency::Idempotent));
    let actions = node.answer(&before, AttemptStatus::TimedOut);
    assert!(matches!(&actions[..], [Action::Fail { .. }]), "{actions:?}");
    let after = node.request(2, 8, ms(400));
    assert_eq!(sends(&node.answer(&after, AttemptStatus::Reset)), 1);
}

// Guards against numbers of classes that mean others once the order changes or one is gone.
#[test]
fn a_request_of_a_class_that_is_removed_or_moved_goes_by_its_own_to_the_end() {
    let mut node = Node::with_servers(settings(), 4);
    let (read, only_once) = (node.request(0, 7, ms(400)), node.request(2, 8, ms(400)));
    // The first class is gone now, and its number means the unsafe one.
    node.reconfigure(with_classes(&[2, 1]));
    assert_eq!(sends(&node.answer(&read, AttemptStatus::Reset)), 1);
    let actions = node.answer(&only_once, AttemptStatus::Reset);
    assert!(matches!(&actions[..], [Action::Fail { .. }]), "{actions:?}");
    node.answer(&read, AttemptStatus::Ok);
    let later = node.request(0, 9, ms(400));
    let actions = node.answer(&later, AttemptStatus::Reset);
    assert!(matches!(&actions[..], [Action::Fail { .. }]), "{actions:?}");
}

#[test]
fn the_number_of_attempts_and_the_advice_are_those_of_the_time_it_was_taken() {
    let mut node = Node::with_servers(Settings { max_attempts: 2, ..settings() }, 4);
    let before = node.request(0, 7, ms(400));
    node.reconfigure(Settings { max_attempts: 1, max_retry_after: ms(0), ..settings() });
    let after = node.request(0, 8, ms(400));
    assert_eq!(sends(&node.answer(&before, AttemptStatus::ConnectError)), 1);
    let advice = |actions: &[Action]| match actions {
        [Action::Reject { retry_after, .. }] => *retry_after,
        other => panic!("{other:?}"),
    };
    assert!(advice(&node.answer(&before, AttemptStatus::ConnectError)) > ms(0));
    assert_eq!(advice(&node.answer(&after, AttemptStatus::ConnectError)), ms(0));
}

/// Trips the breaker of the server that keys go to, and gives it back.
fn trip(node: &mut Node, key: u64) -> ServerId {
    let first = node.call(key, AttemptStatus::Reset).expect("sent");
    for _ in 0..2 {
        node.call(key, AttemptStatus::Reset);
    }
    assert_ne!(node.call(key, AttemptStatus::Ok), Some(first.clone()), "its breaker is open");
    first
}

#[test]
fn an_open_breaker_stays_open_for_its_time_and_no_longer() {
    let mut node = Node::with_servers(settings(), 4);
    let server = trip(&mut node, 7);
    for order in [&[1, 0, 2][..], &[0, 1, 2], &[0]] {
        node.reconfigure(with_classes(order));
    }
    assert_ne!(node.call(7, AttemptStatus::Ok), Some(server.clone()));
    node.pass(ms(6_000));
    assert_eq!(node.call(7, AttemptStatus::Ok), Some(server));
}

// Guards against a breaker of a class that goes on counting for another one.
#[test]
fn what_a_server_turned_away_counts_for_the_class_of_that_name_wherever_it_stands() {
    let mut node = Node::with_servers(settings(), 2);
    node.load = LoadReport { queue_length: Some(0.0), ..LoadReport::default() };
    let home = node.call(7, AttemptStatus::Ok).expect("sent");
    let declined = |node: &mut Node, class: usize| {
        let id = node.request(class, 7, ms(400));
        let (_, server) = node.out(&id).expect("sent");
        let status = if server == home { AttemptStatus::QueueFull } else { AttemptStatus::Ok };
        node.answer(&id, status);
        if node.out(&id).is_some() {
            node.answer(&id, AttemptStatus::Ok);
        }
        server
    };
    for _ in 0..4 {
        declined(&mut node, 1);
    }
    assert_ne!(declined(&mut node, 1), home, "the breaker of the class is open");
    node.reconfigure(with_classes(&[1, 0]));
    assert_ne!(declined(&mut node, 0), home, "keyed is the first one now");
    let read = node.request(1, 7, ms(400));
    assert_eq!(node.out(&read).expect("sent").1, home);
    node.answer(&read, AttemptStatus::Ok);
    // Gone and come again, it is a class that nothing is known of.
    node.reconfigure(with_classes(&[0]));
    node.reconfigure(with_classes(&[1]));
    let id = node.request(0, 7, ms(400));
    assert_eq!(node.out(&id).expect("sent").1, home);
    node.answer(&id, AttemptStatus::Ok);
}

#[test]
fn an_end_of_an_attempt_of_a_removed_class_is_counted_by_no_other_class() {
    let mut node = Node::with_servers(settings(), 2);
    node.load = LoadReport { queue_length: Some(0.0), ..LoadReport::default() };
    let home = node.call(7, AttemptStatus::Ok).expect("sent");
    let out: Vec<_> = (0..6).map(|_| node.request(1, 7, ms(400))).collect();
    node.reconfigure(with_classes(&[0]));
    // The other server takes requests of no class: where none did, none would be better.
    let elsewhere = (0..).find(|&key| node.call(key, AttemptStatus::Ok).is_some_and(|server| server != home));
    let unnamed = |node: &mut Node, id: &str, key| {
        let request = Request { key, ..Request::new(id, node.now + ms(400)) };
        node.submit(request)
    };
    for number in 0..4 {
        let id = unnamed(&mut node, &format!("other {number}"), elsewhere);
        node.answer(&id, AttemptStatus::Ok);
    }
    for id in &out {
        if node.out(id).is_some_and(|(_, server)| server == home) {
            node.answer(id, AttemptStatus::QueueFull);
        }
    }
    let id = unnamed(&mut node, "unnamed", Some(7));
    assert_eq!(node.out(&id).expect("sent").1, home, "the breaker for requests of no class is closed");
}

#[test]
fn a_list_that_has_to_be_asked_for_from_now_on_is_asked_for_once() {
    let mut node = Node::with_servers(settings(), 2);
    let asks = |actions: Vec<Action>| {
        actions.iter().filter(|action| **action == Action::SubscribeToEndpoints).count()
    };
    let following = Settings { discovery_is_polled: true, ..settings() };
    assert_eq!(asks(node.feed(Event::Reconfigured(Box::new(following.clone())))), 1);
    assert_eq!(asks(node.feed(Event::Reconfigured(Box::new(following.clone())))), 0);
    // From another source in between, it has to be asked for again.
    assert_eq!(asks(node.feed(Event::Reconfigured(Box::new(settings())))), 0);
    assert_eq!(asks(node.feed(Event::Reconfigured(Box::new(following)))), 1);
}

// Guards against equal events that give other actions after a change of settings.
#[test]
fn equal_events_give_equal_actions_and_a_change_to_the_same_changes_nothing() {
    let play = |reconfigured: bool| {
        let mut node = Node::with_servers(settings(), 5);
        for step in 0..400_u64 {
            let id = node.request((step % 3) as usize, step % 17, ms(400));
            if reconfigured && step % 50 == 25 {
                node.reconfigure(settings());
            }
            if node.out(&id).is_some() {
                let status =
                    [AttemptStatus::Ok, AttemptStatus::Ok, AttemptStatus::Reset, AttemptStatus::QueueFull]
                        [(step % 4) as usize];
                node.answer(&id, status);
            }
            if node.out(&id).is_some() {
                node.answer(&id, AttemptStatus::Ok);
            }
            node.pass(ms(7));
        }
        node.trace
    };
    let plain = play(false);
    assert_eq!(plain, play(false));
    assert_eq!(plain, play(true));
}
