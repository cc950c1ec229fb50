//! Discovery that is away and comes back, on sockets, with several processes of a large fleet: a change counts as notified six
//! seconds after discovery can be reached, whatever the outcome of earlier polls.

mod common;

use common::*;
use serde_json::json;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const NOTIFICATION_DEADLINE: Duration = Duration::from_secs(6);
const NODES: usize = 20;
/// Enough failures for a backoff that grows with the number of nodes to reach its longest step.
const FAILURES: usize = 6;

/// A discovery that closes every connection until it is back. Then it reports a server that drains, and nothing after that.
struct InterruptedDiscovery {
    address: SocketAddr,
    failures: Arc<AtomicUsize>,
    /// When the change was sent.
    notified: Arc<Mutex<Option<Instant>>>,
    /// The node has applied it: it requests later changes.
    applied: Arc<AtomicBool>,
}

impl InterruptedDiscovery {
    fn start(changes: String, back: Arc<AtomicBool>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let discovery =
            Self { address, failures: Arc::default(), notified: Arc::default(), applied: Arc::default() };
        let (failures, notified, applied) =
            (discovery.failures.clone(), discovery.notified.clone(), discovery.applied.clone());
        thread::spawn(move || {
            for mut stream in listener.incoming().map_while(Result::ok) {
                if !back.load(Ordering::SeqCst) {
                    failures.fetch_add(1, Ordering::SeqCst);
                    continue;
                }
                let (notified, applied, changes) = (notified.clone(), applied.clone(), changes.clone());
                thread::spawn(move || {
                    let mut reader = BufReader::new(stream.try_clone().unwrap());
                    while let Ok(Some(request)) = Message::read(&mut reader) {
                        if request.start_line.contains("after=2&") {
                            // A watch without further events.
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

/// A backoff that grows with the number of nodes is at half a minute when discovery is back: the nodes are notified of a drain long
/// after the deadline and send to the draining server until then.
#[test]
fn every_process_is_notified_in_time_once_discovery_is_back() {
    let (stays, leaves) = (CacheServer::serving("value"), CacheServer::serving("value"));
    let list = [stays.entry("s-1", "ready"), leaves.entry("s-2", "ready")];
    let changes = json!({"seq": 2, "whole": false, "hosts": [leaves.entry("s-2", "draining")]}).to_string();
    let back: Arc<AtomicBool> = Arc::default();
    let all: Vec<_> =
        (0..NODES).map(|_| InterruptedDiscovery::start(changes.clone(), back.clone())).collect();
    let nodes: Vec<_> = (0_u64..)
        .zip(&all)
        .map(|(number, discovery)| {
            let mut config = config(discovery.address);
            config["seed"] = json!(format!("{number:016x}"));
            config["known"] = json!({"seq": 1, "whole": true, "hosts": list});
            // As one of three hundred.
            config["settings"]["balancers"] = json!(300);
            Node::start_ready(&config)
        })
        .collect();
    wait_for("failed polls", || {
        all.iter().all(|discovery| discovery.failures.load(Ordering::SeqCst) >= FAILURES)
    });
    let came_back = Instant::now();
    back.store(true, Ordering::SeqCst);
    wait_for("the change", || all.iter().all(|discovery| discovery.notified.lock().unwrap().is_some()));
    let took: Vec<_> = all
        .iter()
        .map(|discovery| discovery.notified.lock().unwrap().unwrap().duration_since(came_back))
        .collect();
    assert!(took.iter().all(|took| *took <= NOTIFICATION_DEADLINE), "{took:?}");
    wait_for("the change to be applied", || {
        all.iter().all(|discovery| discovery.applied.load(Ordering::SeqCst))
    });
    // No request goes to the draining server.
    let before = leaves.request_count();
    for (key, node) in (1..).zip(&nodes) {
        for more in 0..8 {
            assert_eq!(node.read("read", key * 100 + more).status(), 200);
        }
    }
    assert_eq!(leaves.request_count(), before);
}
