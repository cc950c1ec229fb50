//! Overload: slow servers are sent fewer requests, bursts are queued, and excess load is rejected early.

mod common;
use balancer_core::*;
use common::*;

/// Submits 3,000 requests for 300 keys, one per millisecond. Attempts are answered after `latency`
/// milliseconds, those at the slow server after 300 ms. Returns how many requests were sent, and how many of
/// them to the slow server.
fn submit_requests(node: &mut Node, latency: u64, slow: Option<&ServerId>) -> (usize, usize) {
    submit_requests_at_interval(node, 1, latency, slow)
}

/// Like [`submit_requests`], with one request per `interval` milliseconds over 3 s.
fn submit_requests_at_interval(
    node: &mut Node,
    interval: u64,
    latency: u64,
    slow: Option<&ServerId>,
) -> (usize, usize) {
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

/// A slow server answers within its timeout, so its circuit breaker stays closed. Without a concurrency
/// limit, answers for its keys would stay late permanently.
#[test]
fn a_slow_server_is_sent_fewer_requests() {
    let mut node = Node::with_servers(settings(), 6);
    let slow = ServerId::from("c");
    let (sent, before) = submit_requests(&mut node, 10, None);
    assert!(sent > 2_900 && before == 0, "{sent} of 3000 were sent");
    let (_, to_slow) = submit_requests(&mut node, 10, Some(&slow));
    assert!(to_slow < 100, "{to_slow} of 3000 went to the slow server, 500 would be its share");
}

/// If nothing were rejected while all servers are overloaded, every answer would be late.
#[test]
fn an_overloaded_fleet_is_sent_fewer_requests_and_recovers() {
    let mut node = Node::with_servers(settings(), 6);
    let (sent, _) = submit_requests(&mut node, 250, None);
    assert!(sent < 1_000, "{sent} of 3000 were sent");
    node.advance(ms(1_000));
    // Lets the fleet recover.
    submit_requests(&mut node, 10, None);
    let (sent, _) = submit_requests(&mut node, 10, None);
    assert!(sent > 2_500, "{sent} of 3000 were sent after recovery");
}

/// A burst passes within milliseconds. Its requests must not be rejected while their latency objective leaves
/// time to wait, and none may wait for longer.
#[test]
fn a_burst_is_queued_for_capacity_and_rejected_in_time_if_there_is_none() {
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
        "no request waits past its latency objective"
    );
}

/// A heavy request takes long because of its own work. If that were taken for a queue, an idle server would
/// be sent fewer and fewer requests.
#[test]
fn heavy_requests_in_time_do_not_lower_the_limit() {
    // `stated_work` is the stated work of the heavy requests, in milliseconds.
    let served = |stated_work: u64| {
        let mut node = Node::with_servers(settings(), 1);
        let mut sent = 0;
        for step in 0..400u64 {
            // Every other request takes 120 ms of its latency objective of 150 ms.
            let is_heavy = step % 2 == 0;
            let request = Request {
                class: Some(ClassId(0)),
                key: Some(7),
                expected_work: Some(ms(if is_heavy { stated_work } else { 20 })),
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
    assert_eq!(served(120), 400, "their stated work explains the latency");
    assert!(served(20) < 350, "without stated work, the latency looks like a queue");
}

/// While the queues of all servers are full, further requests wait longer than any client does and keep the
/// queues full. A node that gets no answer in time must reject nearly all requests, and admit them again as
/// answers arrive.
#[test]
fn a_fleet_with_full_queues_is_sent_few_requests_until_it_answers() {
    // With this many servers, a node rarely uses the same one twice, so concurrency limits cannot adapt.
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

/// Heavy requests are late because of their own work. If each of them lowered the limit by a full step, the
/// limits of a lightly loaded fleet would fall until it rejects requests.
#[test]
fn late_answers_with_an_empty_queue_hardly_lower_the_limit() {
    let sent_with_queue = |nodes, queue_length| {
        let mut node = Node::with_servers(Settings { nodes, ..settings() }, 6);
        node.load.queue_length = Some(queue_length);
        submit_requests_at_interval(&mut node, 30, 140, None).0
    };
    assert!(sent_with_queue(2, 0.0) >= 95, "{} of 100 were sent", sent_with_queue(2, 0.0));
    assert!(sent_with_queue(2, 4.0) < 80, "{} of 100 were sent past a queue", sent_with_queue(2, 4.0));
    // In a large fleet, a node has only outdated reports.
    assert!(
        sent_with_queue(300, 0.0) < 80,
        "{} of 100 were sent by a node of a large fleet",
        sent_with_queue(300, 0.0)
    );
}

/// Misses time out while the origin is slow. If servers were blamed for these timeouts, a fleet with idle
/// servers would reject hits and move keys to servers that have not cached them.
#[test]
fn timeouts_with_an_empty_queue_neither_eject_servers_nor_lower_limits() {
    let sent_with_queue = |queue_length| {
        let mut node = Node::with_servers(Settings { nodes: 2, ..settings() }, 6);
        node.load.queue_length = Some(queue_length);
        let mut sent = 0;
        for key in 0..900 {
            let id = node.request(0, key, ms(400));
            sent += usize::from(node.in_flight(&id).is_some());
            node.advance(ms(10));
            // Three in ten requests time out.
            for id in node.ids_in_flight() {
                if node.requests[&id].request.key.is_some_and(|key| key % 10 > 2) {
                    node.answer(&id, AttemptStatus::Ok);
                }
            }
        }
        let ejected = node.actions.iter().any(|action| matches!(action, Action::Log(_)));
        (sent, ejected)
    };
    assert_eq!(sent_with_queue(0.0), (900, false));
    let (sent, _) = sent_with_queue(4.0);
    assert!(sent < 800, "{sent} of 900 were sent past a queue");
}
