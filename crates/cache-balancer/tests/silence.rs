//! Tests watches that are dropped by the network, on sockets: several processes lose their watches together
//! right before a server drains. By the protocol, a node counts as notified of the drain two seconds after
//! the wait of its watch. It must not send new requests to the server from half a second after that.

mod common;

use common::*;
use serde_json::json;
use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// A node counts as notified of events that a lost watch missed this long after the end of the watch's wait.
const MISSED_EVENT_DEADLINE: Duration = Duration::from_secs(2);
/// The time after the notification within which new requests to a draining server must stop.
const DRAIN_GRACE: Duration = Duration::from_millis(500);
/// The network delay that the operators' check allows.
const NETWORK_SLACK: Duration = Duration::from_millis(50);

/// A discovery service that never responds to the first watch of each node. Once every node has lost its
/// watch, one server drains.
#[derive(Clone)]
struct LossyDiscovery {
    /// The address on which it listens. Each node has its own port, which identifies the node.
    address: SocketAddr,
    node: usize,
    /// The total number of nodes.
    nodes: usize,
    /// The initial list.
    ready: String,
    /// The change that follows.
    draining: String,
    /// For each node, the time at which its lost watch arrived, and the wait that the watch requested.
    watches: Arc<Mutex<BTreeMap<usize, (Instant, Duration)>>>,
    /// The nodes to which the change has been sent.
    notified: Arc<Mutex<Vec<usize>>>,
}

impl LossyDiscovery {
    /// Starts one instance for each node.
    fn start_all(ready: &str, draining: &str, nodes: usize) -> Vec<Self> {
        let (watches, notified) = (Arc::default(), Arc::default());
        let start = |node| {
            let listener = TcpListener::bind("127.0.0.1:0").unwrap();
            let discovery = Self {
                address: listener.local_addr().unwrap(),
                node,
                nodes,
                ready: ready.to_owned(),
                draining: draining.to_owned(),
                watches: Arc::clone(&watches),
                notified: Arc::clone(&notified),
            };
            let listening = discovery.clone();
            serve_requests(listener, move |request, stream| listening.respond(request, stream));
            discovery
        };
        (0..nodes).map(start).collect()
    }

    /// Responds to a request. Returns whether the connection stays open.
    fn respond(&self, request: &Message, stream: &mut TcpStream) -> bool {
        let Some((_, wait)) = request.start_line.split_once("wait_ms=") else {
            let _ = stream.write_all(response("200 OK", "", &self.ready).as_bytes());
            return true;
        };
        let wait = Duration::from_millis(wait.split(' ').next().unwrap().parse().unwrap());
        if !self.watches.lock().unwrap().contains_key(&self.node) {
            self.watches.lock().unwrap().insert(self.node, (Instant::now(), wait));
            // The watch is lost: the connection stays open, but nothing is sent on it.
            thread::sleep(2 * TIMEOUT);
            return false;
        }
        let lost = self.watches.lock().unwrap().len();
        assert_eq!(lost, self.nodes, "all watches are lost before any drain");
        if self.notified.lock().unwrap().contains(&self.node) {
            thread::sleep(wait);
        }
        let _ = stream.write_all(response("200 OK", "", &self.draining).as_bytes());
        self.notified.lock().unwrap().push(self.node);
        true
    }
}

/// A firewall that loses its connection state drops the watches of a whole fleet at once, and a lost
/// connection looks like an open one without events. If the watches time out too late, or all nodes poll
/// again at the same moment, the nodes keep sending to the draining server past the deadline.
#[test]
fn nodes_with_lost_watches_stop_sending_to_a_draining_server_in_time() {
    const NODES: usize = 20;
    // The requests to the draining server, with the sending node. Request ids begin with the number of the
    // node.
    let requests: Arc<Mutex<Vec<(usize, Instant)>>> = Arc::default();
    let recorded = requests.clone();
    let leaving = CacheServer::start(move |message| {
        let node = usize::from_str_radix(&message.header("req-id").unwrap()[..2], 16).unwrap();
        recorded.lock().unwrap().push((node, Instant::now()));
        ServerBehavior::Respond(response("200 OK", "", "leaving"))
    });
    let staying = CacheServer::serving("staying");
    let list = |version: u64, is_snapshot: bool, endpoints: &[serde_json::Value]| {
        json!({"seq": version, "whole": is_snapshot, "hosts": endpoints}).to_string()
    };
    let ready = list(1, true, &[leaving.endpoint("s-1", "ready"), staying.endpoint("s-2", "ready")]);
    let draining = list(2, false, &[leaving.endpoint("s-1", "draining")]);
    let discoveries = LossyDiscovery::start_all(&ready, &draining, NODES);
    let nodes: Vec<_> = discoveries
        .iter()
        .enumerate()
        .map(|(i, discovery)| {
            let mut config = config(discovery.address);
            config["seed"] = json!(format!("8c1f30d27a5be9{i:02x}"));
            config["settings"]["balancers"] = json!(NODES);
            Node::start_ready(&config)
        })
        .collect();
    let watches = discoveries[0].watches.clone();
    wait_for("a watch of every node", || watches.lock().unwrap().len() == NODES);

    // A client of each node sends requests until the end of the test.
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = nodes
        .iter()
        .enumerate()
        .map(|(i, node)| {
            let (mut client, stop) = (node.client(), stop.clone());
            thread::spawn(move || {
                let mut sent = 0;
                while !stop.load(Ordering::SeqCst) {
                    // The first two digits of the request id are the number of the node.
                    let key = ((i as u64) << 32) + (1 << 31) + sent;
                    let text = read_request("read", key, 20_000)
                        .replace(&format!("Req-Id: {key:x}"), &format!("Req-Id: {i:02x}{sent:08x}"));
                    assert_eq!(client.request(&text).status(), 200);
                    sent += 1;
                    thread::sleep(Duration::from_millis(50));
                }
                sent
            })
        })
        .collect();
    let notified = discoveries[0].notified.clone();
    wait_for("every node to poll again", || (0..NODES).all(|node| notified.lock().unwrap().contains(&node)));
    let deadline = |node: usize| {
        let (at, wait) = watches.lock().unwrap()[&node];
        at + wait + MISSED_EVENT_DEADLINE + DRAIN_GRACE + NETWORK_SLACK
    };
    let last_deadline = (0..NODES).map(deadline).max().unwrap();
    wait_for("the last deadline", || Instant::now() > last_deadline + Duration::from_millis(200));
    stop.store(true, Ordering::SeqCst);
    let sent: u64 = clients.into_iter().map(|client| client.join().unwrap()).sum();
    let requests = requests.lock().unwrap().clone();
    for node in 0..NODES {
        let from_node = requests.iter().filter(|(from, _)| *from == node);
        let (in_time, late): (Vec<_>, Vec<_>) = from_node.partition(|(_, at)| *at <= deadline(node));
        assert!(
            !in_time.is_empty(),
            "node {node} sent no request to the server in time; {sent} requests in total"
        );
        let first_late = late.first().map(|(_, at)| *at - deadline(node));
        assert_eq!(
            late.len(),
            0,
            "node {node} sent to a draining server; first request {first_late:?} after the deadline"
        );
    }
}
