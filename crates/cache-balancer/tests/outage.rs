//! Tests an outage of discovery on sockets, with several processes of a large fleet: a node counts as
//! notified of a change six seconds after discovery becomes reachable, regardless of the outcome of earlier
//! polls.

mod common;

use common::*;
use serde_json::json;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const NOTIFICATION_DEADLINE: Duration = Duration::from_secs(6);
const NODES: usize = 20;
/// Enough failures for a backoff that grows with the number of nodes to reach its longest step.
const FAILURES: usize = 6;
/// Enough failed polls for a whole list for the pauses between them to have reached their full length.
const SNAPSHOT_FAILURES: usize = 8;

/// How a discovery service that is down ends a poll.
#[derive(Clone, Copy, PartialEq)]
enum FailureMode {
    /// It closes the connection as soon as it is open.
    ClosedConnection,
    /// It answers with status 503.
    Rejection,
}

/// A discovery service that fails every poll until `available` is set. It then reports that a server is
/// draining, and reports no further changes.
struct InterruptedDiscovery {
    address: SocketAddr,
    failures: Arc<AtomicUsize>,
    /// The time at which the change was first sent.
    notified: Arc<Mutex<Option<Instant>>>,
    /// Whether the node has applied the change, which is the case when it requests later changes.
    applied: Arc<AtomicBool>,
}

impl InterruptedDiscovery {
    fn start(changes: String, available: Arc<AtomicBool>, mode: FailureMode) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let discovery =
            Self { address, failures: Arc::default(), notified: Arc::default(), applied: Arc::default() };
        let (failures, notified, applied) =
            (discovery.failures.clone(), discovery.notified.clone(), discovery.applied.clone());
        thread::spawn(move || {
            for mut stream in listener.incoming().map_while(Result::ok) {
                if !available.load(Ordering::SeqCst) {
                    failures.fetch_add(1, Ordering::SeqCst);
                    if mode == FailureMode::Rejection {
                        reject(&mut stream);
                    }
                    continue;
                }
                let (notified, applied, changes) = (notified.clone(), applied.clone(), changes.clone());
                thread::spawn(move || {
                    let mut reader = BufReader::new(stream.try_clone().unwrap());
                    while let Ok(Some(request)) = Message::read(&mut reader) {
                        if request.start_line.contains("after=2&") {
                            // There are no further events, so the watch gets no response.
                            applied.store(true, Ordering::SeqCst);
                            continue;
                        }
                        stream.write_all(response("200 OK", "", &changes).as_bytes()).unwrap();
                        notified.lock().unwrap().get_or_insert_with(Instant::now);
                    }
                });
            }
        });
        discovery
    }
}

/// Reads a poll and answers it with status 503. The connection is closed afterwards.
fn reject(stream: &mut TcpStream) {
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    if let Ok(Some(_)) = Message::read(&mut reader) {
        let rejection = response("503 Service Unavailable", "Connection: close\r\n", "");
        stream.write_all(rejection.as_bytes()).unwrap();
    }
}

/// If the backoff grew with the number of nodes, it would have reached half a minute when discovery is
/// available again. The nodes would learn of a drain long after the deadline and send requests to the
/// draining server until then.
#[test]
fn every_process_is_notified_in_time_after_an_outage() {
    let (staying, leaving) = (CacheServer::serving("value"), CacheServer::serving("value"));
    let list = [staying.endpoint("s-1", "ready"), leaving.endpoint("s-2", "ready")];
    let changes =
        json!({"seq": 2, "whole": false, "hosts": [leaving.endpoint("s-2", "draining")]}).to_string();
    let available: Arc<AtomicBool> = Arc::default();
    let discoveries: Vec<_> = (0..NODES)
        .map(|_| {
            InterruptedDiscovery::start(changes.clone(), available.clone(), FailureMode::ClosedConnection)
        })
        .collect();
    let nodes: Vec<_> = (0_u64..)
        .zip(&discoveries)
        .map(|(number, discovery)| {
            let mut config = config(discovery.address);
            config["seed"] = json!(format!("{number:016x}"));
            config["known"] = json!({"seq": 1, "whole": true, "hosts": list});
            // The node is one of three hundred.
            config["settings"]["balancers"] = json!(300);
            Node::start_ready(&config)
        })
        .collect();
    wait_for("failed polls", || {
        discoveries.iter().all(|discovery| discovery.failures.load(Ordering::SeqCst) >= FAILURES)
    });
    let available_at = Instant::now();
    available.store(true, Ordering::SeqCst);
    wait_for("the change to be sent", || {
        discoveries.iter().all(|discovery| discovery.notified.lock().unwrap().is_some())
    });
    let took: Vec<_> = discoveries
        .iter()
        .map(|discovery| discovery.notified.lock().unwrap().unwrap().duration_since(available_at))
        .collect();
    assert!(took.iter().all(|took| *took <= NOTIFICATION_DEADLINE), "{took:?}");
    wait_for("the change to be applied", || {
        discoveries.iter().all(|discovery| discovery.applied.load(Ordering::SeqCst))
    });
    // No request goes to the draining server.
    let before = leaving.request_count();
    for (key, node) in (1..).zip(&nodes) {
        for offset in 0..8 {
            assert_eq!(node.read("read", key * 100 + offset).status(), 200);
        }
    }
    assert_eq!(leaving.request_count(), before);
}

/// After a new address of discovery a node needs a whole list. Guards against pauses between polls for it that
/// grow with the number of nodes after the first few failures: the nodes would learn of a drain up to 75 s
/// after discovery is available at its new address.
#[test]
fn every_process_that_needs_a_whole_list_is_notified_in_time_after_an_outage() {
    let (staying, leaving) = (CacheServer::serving("value"), CacheServer::serving("value"));
    let before = Discovery::start(&[staying.endpoint("s-1", "ready"), leaving.endpoint("s-2", "ready")]);
    let after = snapshot(2, &[staying.endpoint("s-1", "ready"), leaving.endpoint("s-2", "draining")]);
    let available: Arc<AtomicBool> = Arc::default();
    let modes = [FailureMode::ClosedConnection, FailureMode::Rejection].into_iter().cycle().take(NODES);
    let discoveries: Vec<_> =
        modes.map(|mode| InterruptedDiscovery::start(after.clone(), available.clone(), mode)).collect();
    let nodes: Vec<_> = (0_u64..)
        .zip(&discoveries)
        .map(|(number, discovery)| {
            let mut config = config(before.address);
            config["seed"] = json!(format!("{number:016x}"));
            // The node is one of three hundred.
            config["settings"]["balancers"] = json!(300);
            let node = Node::start_ready(&config);
            config["discovery"] = json!(discovery.address.to_string());
            node.reload(&config.to_string());
            node
        })
        .collect();
    wait_for("failed polls", || {
        discoveries.iter().all(|discovery| discovery.failures.load(Ordering::SeqCst) >= SNAPSHOT_FAILURES)
    });
    let available_at = Instant::now();
    available.store(true, Ordering::SeqCst);
    let is_notified = |discovery: &InterruptedDiscovery| discovery.notified.lock().unwrap().is_some();
    wait_for("the list to be sent", || discoveries.iter().all(is_notified));
    for (node, discovery) in nodes.iter().zip(&discoveries) {
        let notified = discovery.notified.lock().unwrap().unwrap();
        let took = notified.duration_since(available_at);
        assert!(took <= NOTIFICATION_DEADLINE, "{}: {took:?}", node.address);
    }
}
