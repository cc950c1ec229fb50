//! Circuit breakers: their transitions at each boundary, and which servers and classes they eject, seen through the
//! attempts.

mod common;
use balancer_core::*;
use common::*;

/// A node with two servers, and the server of key 7.
fn pair() -> (Node, ServerId) {
    let mut node = Node::with_servers(settings(), 2);
    let own = node.call(7, AttemptStatus::Ok).expect("served");
    (node, own)
}

/// Keys of one server, used in turn: one key alone would be hot, and have replicas at both servers.
struct Keys(Vec<u64>);

impl Keys {
    fn next(&mut self) -> u64 {
        self.0.rotate_left(1);
        self.0[0]
    }
}

fn pair_with_keys() -> (Node, ServerId, Keys) {
    let (mut node, own) = pair();
    let keys = (100..130).filter(|key| node.call(*key, AttemptStatus::Ok).as_ref() == Some(&own)).collect();
    // The window of these calls ends.
    node.advance(ms(5_000));
    (node, own, Keys(keys))
}

/// Makes calls fail until the server is ejected.
fn eject(node: &mut Node, own: &ServerId) {
    for _ in 0..20 {
        if node.call(7, AttemptStatus::Failed).as_ref() != Some(own) {
            return;
        }
    }
    panic!("twenty failures did not open the breaker");
}

#[test]
fn two_failures_in_quick_succession_do_not_open_a_breaker() {
    let mut node = Node::with_servers(settings(), 2);
    let own = node.call(7, AttemptStatus::Failed).expect("sent");
    assert_eq!(node.call(7, AttemptStatus::Failed), Some(own.clone()));
    assert_eq!(node.call(7, AttemptStatus::Failed), Some(own.clone()), "the third call still goes there");
    assert_ne!(node.call(7, AttemptStatus::Ok), Some(own), "three failures of three open it");
}

#[test]
fn a_failure_rate_below_the_threshold_does_not_open_a_breaker() {
    let (mut node, own, mut keys) = pair_with_keys();
    node.call(keys.next(), AttemptStatus::Ok);
    for _ in 0..10 {
        // Failures stay at half of the calls.
        assert_eq!(node.call(keys.next(), AttemptStatus::Failed), Some(own.clone()));
        assert_eq!(node.call(keys.next(), AttemptStatus::Ok), Some(own.clone()));
    }
}

#[test]
fn the_end_of_a_window_forgets_its_failures() {
    let (mut node, own) = pair();
    node.call(7, AttemptStatus::Ok);
    node.call(7, AttemptStatus::Failed);
    node.advance(ms(4_900));
    assert_eq!(node.call(7, AttemptStatus::Failed), Some(own.clone()), "two of four");
    node.advance(ms(200));
    // With the calls of the last window this failure would open the breaker, at 3 of 5.
    assert_eq!(node.call(7, AttemptStatus::Failed), Some(own.clone()));
    assert_eq!(node.call(7, AttemptStatus::Ok), Some(own));
}

#[test]
fn an_open_breaker_blocks_for_its_cooldown_and_three_trials_close_it() {
    let (mut node, own) = pair();
    eject(&mut node, &own);
    assert_ne!(node.call(7, AttemptStatus::Ok), Some(own.clone()));
    node.advance(ms(5_990));
    assert_ne!(node.call(7, AttemptStatus::Ok), Some(own.clone()), "just before the end of the cooldown");
    node.advance(ms(10));
    for _ in 0..4 {
        assert_eq!(node.call(7, AttemptStatus::Ok), Some(own.clone()));
    }
}

#[test]
fn a_half_open_breaker_admits_three_trials_and_one_failure_reopens_it() {
    let (mut node, own) = pair();
    eject(&mut node, &own);
    node.advance(ms(6_000));
    let ids: Vec<RequestId> = (0..4).map(|_| node.request(0, 7, ms(400))).collect();
    let at_own = ids.iter().filter(|id| node.in_flight(id).expect("sent").1 == own).count();
    assert_eq!(at_own, 3, "the fourth goes elsewhere");
    node.answer(&ids[0], AttemptStatus::Failed);
    assert_ne!(node.call(7, AttemptStatus::Ok), Some(own.clone()), "reopened");
    // Later successes of the other trials tell nothing of the reopened breaker.
    node.answer(&ids[1], AttemptStatus::Ok);
    node.answer(&ids[2], AttemptStatus::Ok);
    assert_ne!(node.call(7, AttemptStatus::Ok), Some(own));
}

/// If trials that were cancelled kept their places, a half-open breaker would admit nothing for good.
#[test]
fn an_inconclusive_trial_gives_its_place_back() {
    let (mut node, own) = pair();
    eject(&mut node, &own);
    node.advance(ms(6_000));
    let ids: Vec<RequestId> = (0..3).map(|_| node.request(0, 7, ms(400))).collect();
    for id in &ids {
        node.answer(id, AttemptStatus::Canceled);
    }
    assert_eq!(node.call(7, AttemptStatus::Ok), Some(own));
}

#[test]
fn results_of_attempts_of_an_earlier_state_do_not_count() {
    let (mut node, own) = pair();
    let late = node.request(0, 7, ms(30_000));
    eject(&mut node, &own);
    node.advance(ms(6_000));
    for _ in 0..3 {
        node.call(7, AttemptStatus::Ok);
    }
    // It was sent before the breaker opened: its failure must not count now that it is closed again.
    node.answer(&late, AttemptStatus::Failed);
    node.call(7, AttemptStatus::Failed);
    node.call(7, AttemptStatus::Failed);
    assert_eq!(node.call(7, AttemptStatus::Ok), Some(own));
}

#[test]
fn a_restarted_server_starts_with_a_closed_breaker() {
    let (mut node, own) = pair();
    eject(&mut node, &own);
    let long_ago = Timestamp::from_micros(node.now.as_micros() - 60_000_000);
    node.apply_delta(vec![Endpoint { started_at: Some(long_ago), ..Endpoint::new(own.as_str()) }]);
    assert_eq!(node.call(7, AttemptStatus::Ok), Some(own));
}

#[test]
fn with_every_server_ejected_a_key_goes_to_its_own() {
    let mut node = Node::with_servers(settings(), 1);
    let own = node.call(7, AttemptStatus::Ok).expect("served");
    for _ in 0..30 {
        assert_eq!(
            node.call(7, AttemptStatus::ConnectError),
            Some(own.clone()),
            "ejected or not, it is the only server"
        );
    }
}

/// A common cause (an origin that is down, say) could open every breaker, one after the other, and the keys
/// would pile up on the last server.
#[test]
fn most_of_the_fleet_stays_in_use_however_many_fail() {
    let mut node = Node::with_servers(settings(), 10);
    for key in 0..400 {
        node.call(key, AttemptStatus::Failed);
        node.advance(ms(5));
    }
    let mut used = std::collections::BTreeSet::new();
    for key in 0..400 {
        used.extend(node.call(key, AttemptStatus::Ok));
        node.advance(ms(1));
    }
    assert!(used.len() >= 6, "only {} of 10 servers are in use", used.len());
}

/// A server that fails while the others do well is at fault itself, and is ejected. One that fails like all
/// the others is not: its keys would be missed elsewhere, and fail there too.
#[test]
fn a_server_that_fails_like_all_the_others_is_not_ejected() {
    let ejections = |others: AttemptStatus| {
        let mut node = Node::with_servers(settings(), 10);
        for key in 0..60 {
            let id = node.request(0, key, ms(400));
            let (_, server) = node.in_flight(&id).expect("sent");
            node.answer(&id, if server.as_str() == "a" { AttemptStatus::Failed } else { others });
            if node.in_flight(&id).is_some() {
                node.answer(&id, AttemptStatus::Ok);
            }
            node.advance(ms(5));
        }
        let tripped = |action: &&Action| matches!(action, Action::Log(line) if line.contains(" a tripped"));
        node.actions.iter().filter(tripped).count()
    };
    assert_eq!(ejections(AttemptStatus::Ok), 1);
    assert_eq!(ejections(AttemptStatus::Failed), 0);
}

/// Fetches that fail at every server are the origin's failure. Its breaker keeps misses and writes off it
/// until it has worked its queue down. Keys that are cached are served meanwhile, and no server is ejected.
#[test]
fn failed_fetches_open_the_breaker_of_the_origin_and_of_no_server() {
    let mut node = Node::with_servers(settings(), 4);
    let read = |node: &mut Node, key, status, cache_result| {
        let id = node.request(0, key, ms(400));
        while let Some((attempt, _)) = node.in_flight(&id) {
            node.end_attempt_with(&id, attempt, status, Some(cache_result));
        }
        !node.requests[&id].attempts.is_empty()
    };
    for key in 0..8 {
        assert!(read(&mut node, key, AttemptStatus::Ok, CacheResult::Hit));
    }
    for key in 100..108 {
        read(&mut node, key, AttemptStatus::Failed, CacheResult::Miss);
        node.advance(ms(10));
    }
    let tripped = |node: &Node, of: &str| {
        let line = |action: &&Action| matches!(action, Action::Log(line) if line.contains(of));
        node.actions.iter().filter(line).count()
    };
    assert_eq!((tripped(&node, "origin tripped"), tripped(&node, "tripped")), (1, 1));
    assert!(!read(&mut node, 200, AttemptStatus::Ok, CacheResult::Miss), "a probable miss is rejected");
    assert!(read(&mut node, 3, AttemptStatus::Ok, CacheResult::Hit), "a cached key is served");
    let write = Request { write: true, class: Some(ClassId(1)), ..Request::new("w", node.now + ms(400)) };
    let write = node.submit(write);
    assert!(node.requests[&write].finished, "a write is rejected");
    node.advance(ms(9_000));
    for key in 300..303 {
        assert!(read(&mut node, key, AttemptStatus::Ok, CacheResult::Miss), "a trial after the cooldown");
    }
    assert!(read(&mut node, 303, AttemptStatus::Ok, CacheResult::Miss), "closed again");
}

/// A half-open trial of the origin that times out tells nothing of it. If it kept its place, three of them
/// would block the origin for good.
#[test]
fn a_lost_trial_does_not_block_the_origin_for_good() {
    let mut node = Node::with_servers(settings(), 4);
    for key in 100..108 {
        let id = node.request(0, key, ms(400));
        while let Some((attempt, _)) = node.in_flight(&id) {
            node.end_attempt_with(&id, attempt, AttemptStatus::Failed, Some(CacheResult::Miss));
        }
    }
    node.advance(ms(9_000));
    for key in 0..9 {
        node.request(0, key, ms(400));
        node.advance(ms(1_000));
    }
    let id = node.request(0, 77, ms(400));
    assert!(node.in_flight(&id).is_some());
}

/// Where one call in eight fails, two of a window's first three do every few windows. If that ejected the
/// server, its keys would be missed elsewhere for a whole cooldown each time.
#[test]
fn a_busy_servers_first_calls_of_a_window_do_not_open_its_breaker() {
    let (mut node, own, mut keys) = pair_with_keys();
    for _ in 0..100 {
        assert_eq!(node.call(keys.next(), AttemptStatus::Ok), Some(own.clone()));
    }
    node.advance(ms(5_000));
    for _ in 0..9 {
        assert_eq!(node.call(keys.next(), AttemptStatus::Reset), Some(own.clone()));
    }
    node.call(keys.next(), AttemptStatus::Reset);
    assert_ne!(
        node.call(keys.next(), AttemptStatus::Ok),
        Some(own),
        "a tenth of the last window's calls suffices"
    );
}

/// A server that rejects one class costs each such request an attempt. What it served before would hide that
/// for the rest of a long window; and ejected as a whole, it would lose the keys of all classes.
#[test]
fn a_class_that_an_idle_server_rejects_is_soon_ejected_there_and_alone() {
    let (mut node, own, mut keys) = pair_with_keys();
    node.load.queue_length = Some(0.0);
    let mut call = |node: &mut Node, status| {
        let id = node.request(1, keys.next(), ms(400));
        let (_, server) = node.in_flight(&id).expect("sent");
        node.answer(&id, if server == own { status } else { AttemptStatus::Ok });
        if !node.requests[&id].finished {
            node.answer(&id, AttemptStatus::Ok);
        }
        server
    };
    for _ in 0..50 {
        assert_eq!(call(&mut node, AttemptStatus::Ok), own);
    }
    node.advance(ms(1_000));
    let rejected = (0..50).take_while(|_| call(&mut node, AttemptStatus::QueueFull) == own).count();
    assert!((3..=6).contains(&rejected), "{rejected} were rejected before the breaker opened");
    for _ in 0..20 {
        assert_eq!(node.call(keys.next(), AttemptStatus::Ok), Some(own.clone()), "another class");
    }
}

/// Each of a hundred nodes would call a broken server three times before it stops, and lose as many requests.
#[test]
fn one_error_of_a_rarely_met_server_ejects_it_for_part_of_the_cooldown() {
    let mut node = Node::with_servers(settings(), 4);
    let own = node.call(7, AttemptStatus::Ok).expect("sent");
    node.advance(ms(6_000));
    assert_eq!(node.call(7, AttemptStatus::Failed), Some(own.clone()));
    assert_ne!(node.call(7, AttemptStatus::Ok), Some(own.clone()), "its only call of a window failed");
    node.advance(ms(2_000));
    assert_eq!(node.call(7, AttemptStatus::Failed), Some(own.clone()), "a third of the cooldown");
    node.advance(ms(5_990));
    assert_ne!(
        node.call(7, AttemptStatus::Ok),
        Some(own.clone()),
        "a failed trial is certain: the whole cooldown"
    );
    node.advance(ms(10));
    assert_eq!(node.call(7, AttemptStatus::Ok), Some(own));
}

/// Under overload attempts time out at all servers. If one time-out ejected a rarely met server, nodes would
/// eject most of the fleet.
#[test]
fn one_time_out_ejects_no_server() {
    let mut node = Node::with_servers(settings(), 4);
    let own = node.call(7, AttemptStatus::Ok).expect("sent");
    node.advance(ms(6_000));
    let id = node.request(0, 7, ms(400));
    node.answer(&id, AttemptStatus::TimedOut);
    assert!((0..20).any(|_| node.call(7, AttemptStatus::Ok).as_ref() == Some(&own)));
}
