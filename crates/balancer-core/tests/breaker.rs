//! The breaker's transitions at each boundary, seen through the sends.

mod common;
use balancer_core::*;
use common::*;

/// Two servers and a key of the first of them.
fn pair() -> (Node, ServerId) {
    let mut node = Node::with_servers(settings(), 2);
    let own = node.call(7, AttemptStatus::Ok).expect("served");
    (node, own)
}

/// Keys of the first server, called in turn: one key alone would be hot, and shared out over both servers.
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
    // The window of these calls is over.
    node.pass(ms(5_000));
    (node, own, Keys(keys))
}

fn trip(node: &mut Node, own: &ServerId) {
    for _ in 0..20 {
        if node.call(7, AttemptStatus::Failed).as_ref() != Some(own) {
            return;
        }
    }
    panic!("twenty failures did not trip the breaker");
}

#[test]
fn two_failures_are_too_few_to_trip() {
    let mut node = Node::with_servers(settings(), 2);
    let own = node.call(7, AttemptStatus::Failed).expect("sent");
    assert_eq!(node.call(7, AttemptStatus::Failed), Some(own.clone()));
    assert_eq!(node.call(7, AttemptStatus::Failed), Some(own.clone()), "the third call still goes there");
    assert_ne!(node.call(7, AttemptStatus::Ok), Some(own), "three failures of three trip");
}

#[test]
fn a_rate_under_the_threshold_does_not_trip() {
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
    node.pass(ms(4_900));
    assert_eq!(node.call(7, AttemptStatus::Failed), Some(own.clone()), "two of four");
    node.pass(ms(200));
    // With the calls of the last window this failure would trip at 3 of 5.
    assert_eq!(node.call(7, AttemptStatus::Failed), Some(own.clone()));
    assert_eq!(node.call(7, AttemptStatus::Ok), Some(own));
}

#[test]
fn an_open_breaker_blocks_until_its_cooldown_ends_and_three_trials_close_it() {
    let (mut node, own) = pair();
    trip(&mut node, &own);
    assert_ne!(node.call(7, AttemptStatus::Ok), Some(own.clone()));
    node.pass(ms(5_990));
    assert_ne!(node.call(7, AttemptStatus::Ok), Some(own.clone()), "just before the end of the cooldown");
    node.pass(ms(10));
    for _ in 0..4 {
        assert_eq!(node.call(7, AttemptStatus::Ok), Some(own.clone()));
    }
}

#[test]
fn half_open_admits_three_trials_at_once_and_one_failure_reopens() {
    let (mut node, own) = pair();
    trip(&mut node, &own);
    node.pass(ms(6_000));
    let ids: Vec<RequestId> = (0..4).map(|_| node.request(0, 7, ms(400))).collect();
    let at_own = ids.iter().filter(|id| node.out(id).expect("sent").1 == own).count();
    assert_eq!(at_own, 3, "the fourth goes elsewhere");
    node.answer(&ids[0], AttemptStatus::Failed);
    assert_ne!(node.call(7, AttemptStatus::Ok), Some(own.clone()), "reopened");
    // Late successes of the trials say nothing of the reopened breaker.
    node.answer(&ids[1], AttemptStatus::Ok);
    node.answer(&ids[2], AttemptStatus::Ok);
    assert_ne!(node.call(7, AttemptStatus::Ok), Some(own));
}

#[test]
fn a_trial_that_told_nothing_gives_its_place_back() {
    let (mut node, own) = pair();
    trip(&mut node, &own);
    node.pass(ms(6_000));
    let ids: Vec<RequestId> = (0..3).map(|_| node.request(0, 7, ms(400))).collect();
    for id in &ids {
        node.answer(id, AttemptStatus::Canceled);
    }
    assert_eq!(node.call(7, AttemptStatus::Ok), Some(own));
}

#[test]
fn outcomes_of_an_earlier_state_do_not_count() {
    let (mut node, own) = pair();
    let late = node.request(0, 7, ms(30_000));
    trip(&mut node, &own);
    node.pass(ms(6_000));
    for _ in 0..3 {
        node.call(7, AttemptStatus::Ok);
    }
    // Sent while closed, before the trip: one more failure must not count against the closed breaker.
    node.answer(&late, AttemptStatus::Failed);
    node.call(7, AttemptStatus::Failed);
    node.call(7, AttemptStatus::Failed);
    assert_eq!(node.call(7, AttemptStatus::Ok), Some(own));
}

#[test]
fn a_restarted_server_starts_with_a_fresh_breaker() {
    let (mut node, own) = pair();
    trip(&mut node, &own);
    let long_ago = Timestamp::from_micros(node.now.as_micros() - 60_000_000);
    node.changes(vec![Endpoint { started_at: Some(long_ago), ..Endpoint::new(own.as_str()) }]);
    assert_eq!(node.call(7, AttemptStatus::Ok), Some(own));
}

#[test]
fn every_server_blocked_sends_to_the_keys_own() {
    let mut node = Node::with_servers(settings(), 1);
    let own = node.call(7, AttemptStatus::Ok).expect("served");
    for _ in 0..30 {
        assert_eq!(
            node.call(7, AttemptStatus::ConnectError),
            Some(own.clone()),
            "blocked or not, it is all there is"
        );
    }
}

#[test]
fn most_of_the_fleet_stays_in_however_many_fail() {
    // The danger: a cause in common opens every breaker, and the keys pile up on the last server.
    let mut node = Node::with_servers(settings(), 10);
    for key in 0..400 {
        node.call(key, AttemptStatus::Failed);
        node.pass(ms(5));
    }
    let mut met = std::collections::BTreeSet::new();
    for key in 0..400 {
        met.extend(node.call(key, AttemptStatus::Ok));
        node.pass(ms(1));
    }
    assert!(met.len() >= 6, "only {} of 10 servers are in use", met.len());
}

/// One server that fails while the others do well is the fault of that server; a breaker trips for it only.
#[test]
fn a_server_that_fails_like_all_the_others_is_not_ejected() {
    let trips = |others: AttemptStatus| {
        let mut node = Node::with_servers(settings(), 10);
        for key in 0..60 {
            let id = node.request(0, key, ms(400));
            let (_, server) = node.out(&id).expect("sent");
            node.answer(&id, if server.as_str() == "a" { AttemptStatus::Failed } else { others });
            if node.out(&id).is_some() {
                node.answer(&id, AttemptStatus::Ok);
            }
            node.pass(ms(5));
        }
        let tripped = |action: &&Action| matches!(action, Action::Log(line) if line.contains(" a tripped"));
        node.trace.iter().filter(tripped).count()
    };
    assert_eq!(trips(AttemptStatus::Ok), 1);
    assert_eq!(trips(AttemptStatus::Failed), 0);
}

/// Fetches that fail at every server are the origin's failure. Its breaker keeps misses and writes off it until it
/// has worked its queue down; what servers are known to hold is served meanwhile, and no server is ejected.
#[test]
fn failed_fetches_trip_the_origins_breaker_and_no_servers() {
    let mut node = Node::with_servers(settings(), 4);
    let read = |node: &mut Node, key, status, note| {
        let id = node.request(0, key, ms(400));
        while let Some((attempt, _)) = node.out(&id) {
            node.end_attempt_noted(&id, attempt, status, Some(note));
        }
        !node.requests[&id].sent.is_empty()
    };
    for key in 0..8 {
        assert!(read(&mut node, key, AttemptStatus::Ok, CacheResult::Hit));
    }
    for key in 100..108 {
        read(&mut node, key, AttemptStatus::Failed, CacheResult::Miss);
        node.pass(ms(10));
    }
    let tripped = |node: &Node, of: &str| {
        let line = |action: &&Action| matches!(action, Action::Log(line) if line.contains(of));
        node.trace.iter().filter(line).count()
    };
    assert_eq!((tripped(&node, "origin tripped"), tripped(&node, "tripped")), (1, 1));
    assert!(!read(&mut node, 200, AttemptStatus::Ok, CacheResult::Miss), "a likely miss is refused");
    assert!(read(&mut node, 3, AttemptStatus::Ok, CacheResult::Hit), "a key that is held is served");
    let write = Request { write: true, class: Some(ClassId(1)), ..Request::new("w", node.now + ms(400)) };
    let write = node.submit(write);
    assert!(node.requests[&write].ended, "a write is refused");
    node.pass(ms(9_000));
    for key in 300..303 {
        assert!(read(&mut node, key, AttemptStatus::Ok, CacheResult::Miss), "a trial after the cooldown");
    }
    assert!(read(&mut node, 303, AttemptStatus::Ok, CacheResult::Miss), "closed again");
}

/// A half-open trial of the origin that times out tells nothing of it and gives its place back.
#[test]
fn a_lost_trial_of_the_origin_does_not_block_it_for_good() {
    let mut node = Node::with_servers(settings(), 4);
    for key in 100..108 {
        let id = node.request(0, key, ms(400));
        while let Some((attempt, _)) = node.out(&id) {
            node.end_attempt_noted(&id, attempt, AttemptStatus::Failed, Some(CacheResult::Miss));
        }
    }
    node.pass(ms(9_000));
    for key in 0..9 {
        node.request(0, key, ms(400));
        node.pass(ms(1_000));
    }
    let id = node.request(0, 77, ms(400));
    assert!(node.out(&id).is_some());
}

#[test]
fn a_busy_servers_first_calls_of_a_window_are_too_few_to_trip() {
    // The danger: with one call in eight broken, two of a window's first three are so every few windows, and the
    // server's keys are missed elsewhere for a whole cooldown.
    let (mut node, own, mut keys) = pair_with_keys();
    for _ in 0..100 {
        assert_eq!(node.call(keys.next(), AttemptStatus::Ok), Some(own.clone()));
    }
    node.pass(ms(5_000));
    for _ in 0..9 {
        assert_eq!(node.call(keys.next(), AttemptStatus::Reset), Some(own.clone()));
    }
    node.call(keys.next(), AttemptStatus::Reset);
    assert_ne!(node.call(keys.next(), AttemptStatus::Ok), Some(own), "a tenth of the usual calls is enough");
}

#[test]
fn a_class_turned_away_where_nobody_waits_is_blocked_soon_and_alone() {
    // The danger: each such request loses its time there, and what was served before hides it for a whole window;
    // or the server loses the keys of all classes for one.
    let (mut node, own, mut keys) = pair_with_keys();
    node.load.queue_length = Some(0.0);
    let mut ask = |node: &mut Node, status| {
        let id = node.request(1, keys.next(), ms(400));
        let (_, server) = node.out(&id).expect("sent");
        node.answer(&id, if server == own { status } else { AttemptStatus::Ok });
        if !node.requests[&id].ended {
            node.answer(&id, AttemptStatus::Ok);
        }
        server
    };
    for _ in 0..50 {
        assert_eq!(ask(&mut node, AttemptStatus::Ok), own);
    }
    node.pass(ms(1_000));
    let declined = (0..50).take_while(|_| ask(&mut node, AttemptStatus::QueueFull) == own).count();
    assert!((3..=6).contains(&declined), "{declined} were turned away before the breaker opened");
    for _ in 0..20 {
        assert_eq!(node.call(keys.next(), AttemptStatus::Ok), Some(own.clone()), "another class");
    }
}
