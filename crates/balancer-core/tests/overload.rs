//! Overload: slow servers are sent less, bursts are queued, and the excess is rejected early.

mod common;
use balancer_core::*;
use common::*;

/// Offers 3,000 requests of 300 keys, one each millisecond. Attempts are answered after `latency` milliseconds, those at the slow
/// server after 300. Returns how many requests were sent, and how many to the slow server.
fn offer(node: &mut Node, latency: u64, slow: Option<&ServerId>) -> (usize, usize) {
    offer_every(node, 1, latency, slow)
}

/// The same over 3 s with one request in `interval` milliseconds.
fn offer_every(node: &mut Node, interval: u64, latency: u64, slow: Option<&ServerId>) -> (usize, usize) {
    let (mut sent, mut to_slow) = (0, 0);
    node.requests.clear();
    for step in 0..3_000 {
        if step % interval == 0 {
            node.request(0, step % 300, ms(400));
        }
        node.advance(ms(1));
        let now = node.now;
        let answered = node.requests.iter().filter(|(_, request)| {
            let in_flight = request.attempts.first().filter(|attempt| attempt.status.is_none());
            let latency = |server: &ServerId| ms(if Some(server) == slow { 300 } else { latency });
            in_flight.is_some_and(|attempt| attempt.sent_at + latency(&attempt.endpoint.id) <= now)
        });
        for id in answered.map(|(id, _)| id.clone()).collect::<Vec<_>>() {
            node.answer(&id, AttemptStatus::Ok);
        }
        node.requests.retain(|_, request| {
            let attempts = &request.attempts;
            let is_over = request.finished && attempts.iter().all(|attempt| attempt.status.is_some());
            sent += usize::from(is_over && !attempts.is_empty());
            let was_at_slow = attempts.iter().any(|attempt| Some(&attempt.endpoint.id) == slow);
            to_slow += usize::from(is_over && was_at_slow);
            !is_over
        });
    }
    (sent, to_slow)
}

/// A slow server answers inside its time-out, so its breaker stays closed. Without a limit its keys would be
/// late for good.
#[test]
fn a_slow_server_is_sent_less() {
    let mut node = Node::with_servers(settings(), 6);
    let slow = ServerId::from("c");
    let (sent, before) = offer(&mut node, 10, None);
    assert!(sent > 2_900 && before == 0, "{sent} of 3000 were sent");
    let (_, to_slow) = offer(&mut node, 10, Some(&slow));
    assert!(to_slow < 100, "{to_slow} of 3000 went to the slow server, 500 would be its share");
}

/// If nothing is rejected while all servers are overloaded, all answers are late and none is in time.
#[test]
fn an_overloaded_fleet_is_sent_less_and_recovers() {
    let mut node = Node::with_servers(settings(), 6);
    let (sent, _) = offer(&mut node, 250, None);
    assert!(sent < 1_000, "{sent} of 3000 were sent");
    node.advance(ms(1_000));
    // It recovers.
    offer(&mut node, 10, None);
    let (sent, _) = offer(&mut node, 10, None);
    assert!(sent > 2_500, "{sent} of 3000 were sent after recovery");
}

/// A burst passes within milliseconds. Its requests must not be rejected while their objective leaves them
/// time to wait, and none may wait for longer.
#[test]
fn a_burst_is_queued_for_capacity_and_rejected_in_time_without_it() {
    let mut node = Node::with_servers(Settings { nodes: 16, ..settings() }, 1);
    for _ in 0..200 {
        node.call(7, AttemptStatus::Ok);
        node.advance(ms(1));
    }
    let ids: Vec<RequestId> = (0..8).map(|_| node.request(0, 7, ms(400))).collect();
    let waiting =
        ids.iter().filter(|id| !node.requests[*id].finished && node.in_flight(id).is_none()).count();
    assert!(waiting >= 4, "{waiting} of 8 are queued");
    for id in &ids {
        if node.in_flight(id).is_some() {
            node.answer(id, AttemptStatus::Ok);
        }
    }
    node.advance(ms(20));
    let sent = ids.iter().filter(|id| !node.requests[*id].attempts.is_empty()).count();
    assert!(sent > 8 - waiting, "capacity that became free was used");
    node.advance(ms(150));
    assert!(
        ids.iter().all(|id| node.requests[id].finished || node.in_flight(id).is_some()),
        "none waits past its objective"
    );
}

/// Work that is long by itself looks like a queue, and an idle server would be sent less and less.
#[test]
fn heavy_requests_in_time_do_not_lower_the_limit() {
    // `stated` is the expected work of the heavy requests, as stated.
    let served = |stated: u64| {
        let mut node = Node::with_servers(settings(), 1);
        let mut sent = 0;
        for step in 0..400u64 {
            // Every other request takes 120 of its 150 ms.
            let is_heavy = step % 2 == 0;
            let request = Request {
                class: Some(ClassId(0)),
                key: Some(7),
                expected_work: Some(ms(if is_heavy { stated } else { 20 })),
                ..Request::new(&format!("h{step}"), node.now + ms(400))
            };
            let id = node.submit(request);
            node.advance(ms(if is_heavy { 120 } else { 20 }));
            if node.in_flight(&id).is_some() {
                sent += 1;
                node.answer(&id, AttemptStatus::Ok);
            }
        }
        sent
    };
    assert_eq!(served(120), 400, "their expected work explains the time");
    assert!(served(20) < 350, "without that it is a queue");
}

/// When the queue of every server is full, what is sent joins queues longer than anyone waits, and keeps them
/// full. A node that gets nothing in time must reject nearly all of it, and admit it again as answers come.
#[test]
fn a_fleet_with_full_queues_is_sent_little_until_it_answers() {
    // With this number of servers it rarely meets one twice, so concurrency limits cannot adapt.
    let mut node = Node::new(Settings { nodes: 300, ..settings() }, 1);
    node.apply_snapshot((0..3_000).map(|i| Endpoint::new(&format!("s{i}"))).collect());
    let mut rng = fastrand::Rng::with_seed(2);
    let mut sent = |node: &mut Node, status: AttemptStatus, count: u64| {
        let mut sent = 0;
        for _ in 0..count {
            let id = node.request(0, rng.u64(..), ms(400));
            sent += usize::from(!node.requests[&id].attempts.is_empty());
            while node.in_flight(&id).is_some() {
                node.answer(&id, status);
            }
            node.advance(ms(10));
        }
        node.requests.retain(|_, open| !open.finished);
        sent
    };
    assert_eq!(sent(&mut node, AttemptStatus::Ok, 100), 100);
    sent(&mut node, AttemptStatus::QueueFull, 300);
    let overloaded = sent(&mut node, AttemptStatus::QueueFull, 100);
    assert!(overloaded < 60, "{overloaded} of 100 sent into the full queues");
    sent(&mut node, AttemptStatus::Ok, 500);
    let after = sent(&mut node, AttemptStatus::Ok, 100);
    assert!(after > 80, "{after} of 100 sent once it answers");
}

/// Heavy requests are late by their own work. If each lowered the limit by a whole step, the limits of a calm
/// fleet would fall until it rejects.
#[test]
fn late_answers_with_an_empty_queue_hardly_lower_the_limit() {
    let sent_at = |nodes, queue_length| {
        let mut node = Node::with_servers(Settings { nodes, ..settings() }, 6);
        node.load.queue_length = Some(queue_length);
        offer_every(&mut node, 30, 140, None).0
    };
    assert!(sent_at(2, 0.0) >= 95, "{} of 100 were sent", sent_at(2, 0.0));
    assert!(sent_at(2, 4.0) < 80, "{} of 100 were sent past a queue", sent_at(2, 4.0));
    // One of many nodes has only old reports.
    assert!(sent_at(300, 0.0) < 80, "{} of 100 were sent by one of many", sent_at(300, 0.0));
}

/// Misses time out at a slow origin. If every server were blamed for its own, a fleet with idle servers would
/// reject hits and move keys to servers that have not cached them.
#[test]
fn time_outs_with_an_empty_queue_neither_eject_nor_fill_servers() {
    let sent_at = |queue_length| {
        let mut node = Node::with_servers(Settings { nodes: 2, ..settings() }, 6);
        node.load.queue_length = Some(queue_length);
        let mut sent = 0;
        for key in 0..900 {
            let id = node.request(0, key, ms(400));
            sent += usize::from(node.in_flight(&id).is_some());
            node.advance(ms(10));
            // Three in ten time out.
            for id in node.ids_in_flight() {
                if node.requests[&id].request.key.is_some_and(|key| key % 10 > 2) {
                    node.answer(&id, AttemptStatus::Ok);
                }
            }
        }
        let ejected = node.actions.iter().any(|action| matches!(action, Action::Log(_)));
        (sent, ejected)
    };
    assert_eq!(sent_at(0.0), (900, false));
    let (sent, _) = sent_at(4.0);
    assert!(sent < 800, "{sent} of 900 were sent past a queue");
}
