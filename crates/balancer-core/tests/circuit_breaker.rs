//! Tests of circuit breakers: state transitions at each boundary, and which servers and classes are ejected,
//! observed through the attempts that the balancer starts.

mod common;
use balancer_core::*;
use common::*;

/// Returns a node with two servers, and the server of key 7.
fn pair() -> (Node, ServerId) {
    let mut node = Node::with_servers(settings(), 2);
    let own = node.call(7, AttemptStatus::Ok).expect("served");
    (node, own)
}

/// Keys of one server, used in turn. A single key would become hot and get replicas at both servers.
struct Keys(Vec<u64>);

impl Keys {
    fn next(&mut self) -> u64 {
        self.0.rotate_left(1);
        self.0[0]
    }
}

/// Returns a node with two servers, the server of key 7, and other keys of that server, after the window of
/// the first calls has ended.
fn pair_with_keys() -> (Node, ServerId, Keys) {
    let (mut node, own) = pair();
    let keys = (100..130).filter(|key| node.call(*key, AttemptStatus::Ok).as_ref() == Some(&own)).collect();
    // End the window of these calls.
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
    panic!("20 failures did not open the breaker of {own}");
}

#[test]
fn two_failures_in_quick_succession_do_not_open_a_breaker() {
    let mut node = Node::with_servers(settings(), 2);
    let own = node.call(7, AttemptStatus::Failed).expect("sent");
    assert_eq!(node.call(7, AttemptStatus::Failed), Some(own.clone()));
    assert_eq!(
        node.call(7, AttemptStatus::Failed),
        Some(own.clone()),
        "two failures do not open the breaker"
    );
    assert_ne!(node.call(7, AttemptStatus::Ok), Some(own), "three failures in three calls open the breaker");
}

#[test]
fn a_failure_rate_below_the_threshold_does_not_open_a_breaker() {
    let (mut node, own, mut keys) = pair_with_keys();
    node.call(keys.next(), AttemptStatus::Ok);
    for _ in 0..10 {
        // Half of the calls fail.
        assert_eq!(node.call(keys.next(), AttemptStatus::Failed), Some(own.clone()));
        assert_eq!(node.call(keys.next(), AttemptStatus::Ok), Some(own.clone()));
    }
}

#[test]
fn failures_do_not_count_after_the_end_of_their_window() {
    let (mut node, own) = pair();
    node.call(7, AttemptStatus::Ok);
    node.call(7, AttemptStatus::Failed);
    node.advance(ms(4_900));
    assert_eq!(node.call(7, AttemptStatus::Failed), Some(own.clone()), "two of four calls failed");
    node.advance(ms(200));
    // Together with the calls of the previous window, this failure would open the breaker: 3 of 5 calls
    // failed.
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
    assert_eq!(at_own, 3, "the fourth request goes to another server");
    node.answer(&ids[0], AttemptStatus::Failed);
    assert_ne!(node.call(7, AttemptStatus::Ok), Some(own.clone()), "reopened");
    // Later successes of the other trials do not affect the reopened breaker.
    node.answer(&ids[1], AttemptStatus::Ok);
    node.answer(&ids[2], AttemptStatus::Ok);
    assert_ne!(node.call(7, AttemptStatus::Ok), Some(own));
}

/// If cancelled trials still counted as admitted, a half-open breaker would block calls permanently.
#[test]
fn an_inconclusive_trial_allows_another_trial() {
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
fn results_of_attempts_sent_in_an_earlier_state_do_not_count() {
    let (mut node, own) = pair();
    let early = node.request(0, 7, ms(30_000));
    eject(&mut node, &own);
    node.advance(ms(6_000));
    for _ in 0..3 {
        node.call(7, AttemptStatus::Ok);
    }
    // This request was sent before the breaker opened, so its failure must not count after the breaker has
    // closed.
    node.answer(&early, AttemptStatus::Failed);
    node.call(7, AttemptStatus::Failed);
    node.call(7, AttemptStatus::Failed);
    assert_eq!(node.call(7, AttemptStatus::Ok), Some(own));
}

#[test]
fn a_restarted_server_starts_with_a_closed_breaker() {
    let (mut node, own) = pair();
    eject(&mut node, &own);
    let started_at = Timestamp::from_micros(node.now.as_micros() - 60_000_000);
    node.apply_delta(vec![Endpoint { started_at: Some(started_at), ..Endpoint::new(own.as_str()) }]);
    assert_eq!(node.call(7, AttemptStatus::Ok), Some(own));
}

#[test]
fn with_every_server_ejected_a_key_still_goes_to_its_own_server() {
    let mut node = Node::with_servers(settings(), 1);
    let own = node.call(7, AttemptStatus::Ok).expect("served");
    for _ in 0..30 {
        assert_eq!(
            node.call(7, AttemptStatus::ConnectError),
            Some(own.clone()),
            "the only server is used even if it is ejected"
        );
    }
}

/// A common cause, such as an origin that is down, must not open one breaker after the other until the last
/// server gets all keys.
#[test]
fn most_servers_stay_in_use_when_all_of_them_fail() {
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

/// A server that fails while the others succeed is ejected. A server that fails like all others is not,
/// because its keys would be misses at other servers and fail there too.
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

/// Fetches that fail at every server are failures of the origin. The origin's breaker blocks misses and
/// writes until the origin has worked off its queue. Cached keys are still served, and no server is ejected.
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
    let tripped = |node: &Node, text: &str| {
        let matches_text = |action: &&Action| matches!(action, Action::Log(line) if line.contains(text));
        node.actions.iter().filter(matches_text).count()
    };
    assert_eq!((tripped(&node, "origin tripped"), tripped(&node, "tripped")), (1, 1));
    assert!(!read(&mut node, 200, AttemptStatus::Ok, CacheResult::Miss), "a probable miss is rejected");
    assert!(read(&mut node, 3, AttemptStatus::Ok, CacheResult::Hit), "a cached key is served");
    let write = Request { write: true, class: Some(ClassId(1)), ..Request::new("w", node.now + ms(400)) };
    let write = node.submit(write);
    assert!(node.requests[&write].finished, "a write is rejected");
    node.advance(ms(9_000));
    for key in 300..303 {
        assert!(
            read(&mut node, key, AttemptStatus::Ok, CacheResult::Miss),
            "a trial is sent after the cooldown"
        );
    }
    assert!(read(&mut node, 303, AttemptStatus::Ok, CacheResult::Miss), "the breaker is closed again");
}

/// A half-open trial of the origin that times out is inconclusive. If it still counted as admitted, three
/// such trials would block the origin permanently.
#[test]
fn timed_out_trials_do_not_block_the_origin() {
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

/// If one call in eight fails, two of the first three calls fail every few windows. If that ejected the
/// server, its keys would be misses at other servers for a whole cooldown each time.
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
        "failures of a tenth of the previous window's calls open the breaker"
    );
}

/// A server that rejects one class costs each request of that class an attempt. In a long window, earlier
/// successful calls would hide the rejections. Ejecting the whole server would move the keys of all classes.
#[test]
fn a_class_rejected_by_an_idle_server_is_ejected_there_without_the_other_classes() {
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
        assert_eq!(
            node.call(keys.next(), AttemptStatus::Ok),
            Some(own.clone()),
            "another class is not ejected"
        );
    }
}

/// If three errors were necessary, each of a hundred nodes would lose three requests at a broken server
/// before ejecting it.
#[test]
fn one_error_of_a_rarely_used_server_ejects_it_for_part_of_the_cooldown() {
    let mut node = Node::with_servers(settings(), 4);
    let own = node.call(7, AttemptStatus::Ok).expect("sent");
    node.advance(ms(6_000));
    assert_eq!(node.call(7, AttemptStatus::Failed), Some(own.clone()));
    assert_ne!(node.call(7, AttemptStatus::Ok), Some(own.clone()), "the only call in the window failed");
    node.advance(ms(2_000));
    assert_eq!(
        node.call(7, AttemptStatus::Failed),
        Some(own.clone()),
        "the ejection lasts a third of the cooldown"
    );
    node.advance(ms(5_990));
    assert_ne!(
        node.call(7, AttemptStatus::Ok),
        Some(own.clone()),
        "the ejection after a failed trial lasts the whole cooldown"
    );
    node.advance(ms(10));
    assert_eq!(node.call(7, AttemptStatus::Ok), Some(own));
}

/// Under overload, attempts time out at all servers. If one timeout ejected a rarely used server, nodes
/// would eject most of the fleet.
#[test]
fn one_timeout_ejects_no_server() {
    let mut node = Node::with_servers(settings(), 4);
    let own = node.call(7, AttemptStatus::Ok).expect("sent");
    node.advance(ms(6_000));
    let id = node.request(0, 7, ms(400));
    node.answer(&id, AttemptStatus::TimedOut);
    assert!((0..20).any(|_| node.call(7, AttemptStatus::Ok).as_ref() == Some(&own)));
}
