//! Watches that the network swallows, on sockets: several processes whose watches fall silent together right before a server
//! drains. By the protocol's clock the drain counts as told two seconds after the wait that a watch asked for is over, and
//! nothing new may go to that server from half a second later on.

mod common;

use common::*;
use serde_json::json;
use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// So long after the wait of a silent watch is over what it would have told counts as told, and new work must stop so long
/// after that.
const COUNTED: Duration = Duration::from_secs(2);
const GRACE: Duration = Duration::from_millis(500);
/// What the judge allows the network.
const SLACK: Duration = Duration::from_millis(50);

/// A discovery that never answers the first watch of any node, with one server that drains once every node has such a watch.
struct Silent {
    address: SocketAddr,
    /// For each node, when its silent watch was read, and how long a wait it asked for.
    watches: Arc<Mutex<BTreeMap<usize, (Instant, Duration)>>>,
    /// The nodes that have been told since.
    told: Arc<Mutex<Vec<usize>>>,
}

impl Silent {
    /// Each node comes by a port of its own, by which it is known.
    fn start(ready: String, draining: String, nodes: usize) -> Vec<Self> {
        let watches: Arc<Mutex<BTreeMap<_, _>>> = Arc::default();
        let told: Arc<Mutex<Vec<_>>> = Arc::default();
        let begin = |node| {
            let listener = TcpListener::bind("127.0.0.1:0").unwrap();
            let address = listener.local_addr().unwrap();
            let (watches, told) = (watches.clone(), told.clone());
            let silent = Self { address, watches: watches.clone(), told: told.clone() };
            let (ready, draining) = (ready.clone(), draining.clone());
            thread::spawn(move || {
                for stream in listener.incoming().map_while(Result::ok) {
                    let (watches, told) = (watches.clone(), told.clone());
                    let (ready, draining) = (ready.clone(), draining.clone());
                    thread::spawn(move || {
                        let mut reader = BufReader::new(stream.try_clone().unwrap());
                        let mut stream = stream;
                        while let Ok(Some(message)) = Message::read(&mut reader) {
                            let Some((_, wait)) = message.start.split_once("wait_ms=") else {
                                let _ = stream.write_all(answer("200 OK", "", &ready).as_bytes());
                                continue;
                            };
                            let wait = wait.split(' ').next().unwrap().parse().unwrap();
                            let wait = Duration::from_millis(wait);
                            let first = !watches.lock().unwrap().contains_key(&node);
                            if first {
                                watches.lock().unwrap().insert(node, (Instant::now(), wait));
                                // Swallowed: the connection stays open and says nothing more.
                                thread::sleep(2 * PATIENCE);
                                return;
                            }
                            assert_eq!(
                                watches.lock().unwrap().len(),
                                nodes,
                                "all fall silent before any drain"
                            );
                            if told.lock().unwrap().contains(&node) {
                                thread::sleep(wait);
                            }
                            let _ = stream.write_all(answer("200 OK", "", &draining).as_bytes());
                            told.lock().unwrap().push(node);
                        }
                    });
                }
            });
            silent
        };
        (0..nodes).map(begin).collect()
    }
}

/// What a draining server was sent, by the node that sent it: ids begin with the node's number.
fn sent(server: &Arc<Mutex<Vec<(usize, Instant)>>>) -> Vec<(usize, Instant)> {
    server.lock().unwrap().clone()
}

#[test]
fn several_processes_whose_watches_fall_silent_together_leave_a_draining_server_in_time() {
    const NODES: usize = 20;
    let times: Arc<Mutex<Vec<(usize, Instant)>>> = Arc::default();
    let noted = times.clone();
    let leaving = CacheServer::start(move |message| {
        let node = usize::from_str_radix(&message.header("req-id").unwrap()[..2], 16).unwrap();
        noted.lock().unwrap().push((node, Instant::now()));
        Does::Answer(answer("200 OK", "", "leaving"))
    });
    let staying = CacheServer::serving("staying");
    let list = |seq: u64, whole: bool, hosts: &[serde_json::Value]| {
        json!({"seq": seq, "whole": whole, "hosts": hosts}).to_string()
    };
    let ready = list(1, true, &[leaving.entry("s-1", "ready"), staying.entry("s-2", "ready")]);
    let draining = list(2, false, &[leaving.entry("s-1", "draining")]);
    let discoveries = Silent::start(ready, draining, NODES);
    let nodes: Vec<_> = discoveries
        .iter()
        .enumerate()
        .map(|(i, discovery)| {
            let mut config = config(discovery.address);
            config["seed"] = json!(format!("8c1f30d27a5be9{i:02x}"));
            config["settings"]["balancers"] = json!(NODES);
            Node::ready(&config)
        })
        .collect();
    let watches = discoveries[0].watches.clone();
    wait_for("a watch of every node", || watches.lock().unwrap().len() == NODES);

    // Clients go on asking, each of its node, for as long as the servers are looked at.
    let over = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = nodes
        .iter()
        .enumerate()
        .map(|(i, node)| {
            let (mut client, over) = (node.client(), over.clone());
            thread::spawn(move || {
                let mut asked = 0;
                while !over.load(Ordering::SeqCst) {
                    // The first two digits are the node's.
                    let key = ((i as u64) << 32) + (1 << 31) + asked;
                    let text = read("read", key, 20_000)
                        .replace(&format!("Req-Id: {key:x}"), &format!("Req-Id: {i:02x}{asked:08x}"));
                    assert_eq!(client.ask(&text).status(), 200);
                    asked += 1;
                    thread::sleep(Duration::from_millis(50));
                }
                asked
            })
        })
        .collect();
    let told = discoveries[0].told.clone();
    wait_for("every node to ask anew", || (0..NODES).all(|node| told.lock().unwrap().contains(&node)));
    let deadline = |node: usize| {
        let (at, wait) = watches.lock().unwrap()[&node];
        at + wait + COUNTED + GRACE + SLACK
    };
    let last = (0..NODES).map(deadline).max().unwrap();
    wait_for("the last moment that counts", || Instant::now() > last + Duration::from_millis(200));
    over.store(true, Ordering::SeqCst);
    let asked: u64 = clients.into_iter().map(|client| client.join().unwrap()).sum();
    let sent = sent(&times);
    for node in 0..NODES {
        let mine = sent.iter().filter(|(from, _)| *from == node);
        let (in_time, late): (Vec<_>, Vec<_>) = mine.partition(|(_, at)| *at <= deadline(node));
        assert!(!in_time.is_empty(), "node {node} had work for the server before it drained, of {asked}");
        let first = late.first().map(|(_, at)| *at - deadline(node));
        assert_eq!(
            late.len(),
            0,
            "node {node} sent to a draining server, {first:?} past the last moment first"
        );
    }
}
