//! A hot key is shared out over servers, and repeats after attempts that reached nobody are free.

mod common;
use balancer_core::*;
use common::*;
use std::collections::BTreeMap;

/// Without it the server of a key that draws a tenth of all traffic has seven times the work of the others.
#[test]
fn a_hot_key_is_shared_out_and_a_quiet_one_keeps_its_server() {
    let mut node = Node::with_servers(settings(), 20);
    let mut hot = BTreeMap::<ServerId, u32>::new();
    let mut quiet = BTreeMap::<ServerId, u32>::new();
    for i in 0..1_000_u64 {
        // One in five for key 7, one in a hundred for key 9; the others come once.
        let key = match i % 100 {
            50 => 9,
            n if n % 5 == 0 => 7,
            _ => 1_000 + i,
        };
        let server = node.call(key, AttemptStatus::Ok).expect("sent");
        match key {
            7 => *hot.entry(server).or_default() += 1,
            9 => *quiet.entry(server).or_default() += 1,
            _ => {}
        }
        node.pass(ms(10));
    }
    // A fifth of 20 servers' work is four shares, of three servers each; it began at one.
    assert!((11..=13).contains(&hot.len()), "{hot:?}");
    let most = hot.values().max().copied().unwrap_or_default();
    assert!(most <= 50, "one server had {most} of 190: {hot:?}");
    assert_eq!(quiet.len(), 1, "{quiet:?}");
}

/// The danger: nodes that hold an old list meet each gone server by themselves; a repeat elsewhere costs nobody anything,
/// and turned away for want of a budget the client would only come again.
#[test]
fn repeats_after_connections_that_failed_need_no_budget() {
    let mut node = Node::with_servers(settings(), 26);
    for key in 0..100 {
        let id = node.request(0, key, ms(400));
        for attempts_left in (0..3).rev() {
            let (attempt, server) = node.out(&id).expect("sent, and sent again");
            // Half of the list is out of date.
            if server.as_str() < "n" && attempts_left > 0 {
                node.end_attempt(&id, attempt, AttemptStatus::ConnectError);
            } else {
                node.end_attempt(&id, attempt, AttemptStatus::Ok);
                break;
            }
        }
    }
}

/// The danger: connections that fail pay for repeats that servers with too much to do are to be spared.
#[test]
fn connections_that_failed_save_up_no_budget_for_other_repeats() {
    let mut node = Node::with_servers(settings(), 26);
    let mut repeats = |unmet: usize| {
        let mut repeated = 0;
        for key in 0..100 {
            let id = node.request(0, key, ms(400));
            for _ in 0..unmet {
                node.answer(&id, AttemptStatus::ConnectError);
            }
            node.answer(&id, AttemptStatus::Reset);
            repeated += u32::from(node.out(&id).is_some());
            if node.out(&id).is_some() {
                node.answer(&id, AttemptStatus::Ok);
            }
        }
        repeated
    };
    // What was saved up is spent first: a fifth of the requests pay for one repeat each.
    repeats(0);
    let (without, with) = (repeats(0), repeats(2));
    assert!((18..=22).contains(&without), "{without}");
    assert!(with <= 22, "{with}");
}

/// The danger: each of a hundred nodes calls a broken server three times before it stops, and each loses as many requests.
#[test]
fn one_error_of_a_server_that_is_seldom_met_blocks_it_for_a_part_of_the_cooldown() {
    let mut node = Node::with_servers(settings(), 4);
    let own = node.call(7, AttemptStatus::Ok).expect("sent");
    node.pass(ms(6_000));
    assert_eq!(node.call(7, AttemptStatus::Failed), Some(own.clone()));
    assert_ne!(node.call(7, AttemptStatus::Ok), Some(own.clone()), "its only call of a window failed");
    node.pass(ms(2_000));
    assert_eq!(node.call(7, AttemptStatus::Failed), Some(own.clone()), "a third of the cooldown");
    node.pass(ms(5_990));
    assert_ne!(
        node.call(7, AttemptStatus::Ok),
        Some(own.clone()),
        "a failed trial is certain: the whole cooldown"
    );
    node.pass(ms(10));
    assert_eq!(node.call(7, AttemptStatus::Ok), Some(own));
}

#[test]
fn one_time_out_blocks_no_server_since_too_much_to_do_shows_everywhere() {
    let mut node = Node::with_servers(settings(), 4);
    let own = node.call(7, AttemptStatus::Ok).expect("sent");
    node.pass(ms(6_000));
    let id = node.request(0, 7, ms(400));
    node.answer(&id, AttemptStatus::TimedOut);
    assert!((0..20).any(|_| node.call(7, AttemptStatus::Ok).as_ref() == Some(&own)));
}
