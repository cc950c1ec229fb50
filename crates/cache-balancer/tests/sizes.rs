//! Large fleets on sockets: a node that is one of 1,024 and has an endpoint list of 1,024 cache servers and
//! more. Each of them can be selected, and gets no request when it drains, however the list arrives.

mod common;

use common::*;
use serde_json::{json, Value};
use std::collections::BTreeSet;
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const SERVERS: usize = 1024;
const NODES: usize = 1024;

/// The address of a server of this number: each has one of its own on loopback, all with one port.
fn dial(server: usize, port: u16) -> SocketAddr {
    let [high, low] = u16::try_from(server).unwrap().to_be_bytes();
    (Ipv4Addr::new(127, 1, high, low), port).into()
}

/// All servers, on one listener. Returns its port, and the set of the servers that got a request, which a
/// test clears.
fn servers() -> (u16, Arc<Mutex<BTreeSet<SocketAddr>>>) {
    let listener = TcpListener::bind("0.0.0.0:0").unwrap();
    let port = listener.local_addr().unwrap().port();
    let met: Arc<Mutex<BTreeSet<_>>> = Arc::default();
    let reached = met.clone();
    serve_requests(listener, move |_, stream| {
        reached.lock().unwrap().insert(stream.local_addr().unwrap());
        stream.write_all(response("200 OK", "", "value").as_bytes()).is_ok()
    });
    (port, met)
}

fn entries(numbers: impl Iterator<Item = usize>, port: u16, health: &str) -> Vec<Value> {
    numbers.map(|number| endpoint(&format!("s-{number:05}"), dial(number, port), health)).collect()
}

/// Writes a response in pieces.
fn in_pieces(stream: &mut impl Write, body: &str) {
    let text = response("200 OK", "", body);
    for piece in text.as_bytes().chunks(text.len() / 7 + 1) {
        stream.write_all(piece).unwrap();
        stream.flush().unwrap();
        thread::sleep(Duration::from_millis(20));
    }
}

/// A discovery that sends these lists one after the other, indented and in pieces. Returns its address, and
/// the number of lists that it may send.
fn discovery(lists: Vec<Value>) -> (SocketAddr, Arc<Mutex<usize>>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (sent, allowed) = (Mutex::new(0), Arc::new(Mutex::new(1)));
    let limit = allowed.clone();
    serve_requests(listener, move |_, stream| {
        let next = *sent.lock().unwrap();
        while next >= *limit.lock().unwrap() {
            thread::sleep(Duration::from_millis(5));
        }
        *sent.lock().unwrap() += 1;
        in_pieces(stream, &serde_json::to_string_pretty(&lists[next]).unwrap());
        true
    });
    (address, allowed)
}

/// Reads keys until each of these servers has got a request. Returns the other servers that got one.
fn meet(
    node: &Node,
    met: &Mutex<BTreeSet<SocketAddr>>,
    wanted: &BTreeSet<SocketAddr>,
) -> BTreeSet<SocketAddr> {
    met.lock().unwrap().clear();
    let mut client = node.client();
    let mut key = 0;
    wait_for("every server to get a request", || {
        for _ in 0..500 {
            key += 1;
            assert_eq!(client.request(&read_request("read", key, 20_000)).status(), 200);
        }
        met.lock().unwrap().is_superset(wanted)
    });
    met.lock().unwrap().difference(wanted).copied().collect()
}

/// Each server of a large fleet must be selected by some key, and none that has left the list.
#[test]
fn one_of_1024_nodes_selects_each_of_1024_servers_of_a_snapshot_and_a_delta() {
    let (port, met) = servers();
    let addresses = |numbers: &mut dyn Iterator<Item = usize>| -> BTreeSet<_> {
        numbers.map(|number| dial(number, port)).collect()
    };
    let old = SERVERS..2 * SERVERS;
    let (leaving, coming) = (0..SERVERS / 2, old.clone().take(SERVERS / 2));
    let changes =
        [entries(leaving.clone(), port, "draining"), entries(coming.clone(), port, "ready")].concat();
    let lists = vec![
        json!({"seq": 1, "whole": true, "hosts": entries(0..SERVERS, port, "ready")}),
        json!({"seq": 2, "whole": false, "hosts": changes}),
    ];
    let (address, allowed) = discovery(lists);
    let mut config = config(address);
    // The servers that it knows at its start have left since.
    config["known"] = json!({"seq": 0, "whole": true, "hosts": entries(old.clone(), port, "ready")});
    config["settings"]["balancers"] = json!(NODES);
    config["seed"] = json!("8c1f30d27a5be964");
    let node = Node::start_ready(&config);
    *allowed.lock().unwrap() = 1;
    // The list that it starts with holds until another has come.
    wait_for("the snapshot", || {
        met.lock().unwrap().clear();
        (0..200).for_each(|key| drop(node.read("read", key)));
        met.lock().unwrap().is_disjoint(&addresses(&mut old.clone()))
    });
    let others = meet(&node, &met, &addresses(&mut (0..SERVERS)));
    assert_eq!(others.len(), 0, "{others:?}");
    *allowed.lock().unwrap() = 2;
    wait_for("the delta", || {
        met.lock().unwrap().clear();
        (0..200).for_each(|key| drop(node.read("read", key)));
        met.lock().unwrap().is_disjoint(&addresses(&mut leaving.clone()))
    });
    let others = meet(&node, &met, &addresses(&mut (SERVERS / 2..SERVERS).chain(coming)));
    assert_eq!(others.len(), 0, "{others:?}");
}

#[test]
fn a_list_of_5000_servers_that_arrives_in_pieces_is_applied() {
    let (port, met) = servers();
    let mut endpoints = entries(0..5_000, port, "draining");
    endpoints[4_999] = entries(4_999..5_000, port, "ready").remove(0);
    let (address, _allowed) = discovery(vec![json!({"seq": 1, "whole": true, "hosts": endpoints})]);
    let node = Node::start_ready(&config(address));
    assert_eq!(node.read("read", 1).status(), 200);
    assert_eq!(met.lock().unwrap().iter().collect::<Vec<_>>(), [&dial(4_999, port)]);
}

/// The anonymous memory of a node, in KiB.
fn own_memory(node: &Node) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", node.child.id())).unwrap();
    let line = status.lines().find_map(|line| line.strip_prefix("RssAnon:")).unwrap();
    line.trim().trim_end_matches(" kB").parse().unwrap()
}

// Figures: cargo test --release -p cache-balancer --test sizes memory -- --nocapture
#[test]
fn memory_follows_the_number_of_servers() {
    println!("| servers | own memory of a node |\n| --- | --- |");
    let mut before = None;
    for servers in [20, 350, 1_024, 5_000] {
        let (port, _) = self::servers();
        let list = json!({"seq": 1, "whole": true, "hosts": entries(0..servers, port, "ready")});
        let (address, _allowed) = discovery(vec![list]);
        let node = Node::start_ready(&config(address));
        assert_eq!(node.read("read", 1).status(), 200);
        let memory = own_memory(&node);
        println!("| {servers} | {memory} KiB |");
        if let Some((fewer, less)) = before {
            // A list as text, as it is stored, and as the decisions have it: some KiB for each server, and
            // nothing reserved.
            let grown = memory.saturating_sub(less);
            assert!(
                grown <= 8 * (servers - fewer) as u64 + 1_024,
                "{servers} servers: {memory} KiB after {less}"
            );
        }
        before = Some((servers, memory));
    }
}
