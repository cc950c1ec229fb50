//! Nodes are upgraded one after the other while a cache server drains. Their open watches had fallen silent right
//! before the drain. Each new process is told of the drain by discovery, and then takes on the older list of the
//! process that it replaces. The new file has a further pool, so that the new processes take a moment to prepare.

use review_stand_ins_2::*;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

const NODES: usize = 8;
/// One of them drains: a quarter of the cache servers.
const SERVERS: usize = 4;
/// New requests to a draining server have to stop this long after the notification: the grace and the slack on
/// sockets.
const STOP_WITHIN: Duration = Duration::from_millis(500 + 50);
/// How long discovery takes for the first list of the further pool.
const FIRST_LIST_TAKES: Duration = Duration::from_millis(300);
/// How long requests are sent to the new processes.
const LOAD_FOR: Duration = Duration::from_millis(5_000);
const VERSION_OF_DRAIN: usize = 2;

/// A node: where it listens, and where its lists come from.
struct Upgraded {
    name: String,
    address: SocketAddr,
    folder: PathBuf,
    /// Where the list of the cache servers comes from.
    discovery: Discovery,
    /// Where the list of the further pool comes from.
    further: Discovery,
}

fn main() {
    let record = Record::create();
    // The cache servers of all nodes. The first one is to drain, and turns new requests away from then on.
    let draining = Arc::new(AtomicBool::new(false));
    let servers: Vec<_> = (1..=SERVERS)
        .map(|number| {
            let draining = draining.clone();
            Server::start(&record, &format!("s-{number}"), move |request, _| {
                if number == 1 && draining.load(Ordering::SeqCst) {
                    return Act::Send(ms(1), answer("503 Service Unavailable", "Srv-Declined: 1\r\n", ""));
                }
                Act::Send(ms(10), answer("200 OK", "", &format!("value for {}", request.id())))
            })
        })
        .collect();
    let further_server =
        Server::start(&record, "t-1", |_, _| Act::Send(ms(10), answer("200 OK", "", "value of t-1")));
    let nodes: Vec<_> =
        (0..NODES).map(|number| Upgraded::prepare(&record, number, &servers, &further_server)).collect();
    let first: Vec<_> = nodes
        .iter()
        .map(|node| OperatorNode::start(&record, &format!("{}, first process", node.name), &node.folder))
        .collect();
    for node in &nodes {
        let is_ready = || healthz(node.address) == 200 && node.discovery.told_at(1).is_some();
        wait_until("a node to be ready", is_ready);
    }
    // The watches of all nodes are open.
    thread::sleep(ms(500));
    if trouble() {
        nodes.iter().for_each(|node| node.discovery.silence_open_watches());
    }
    thread::sleep(ms(200));
    draining.store(true, Ordering::SeqCst);
    for node in &nodes {
        node.discovery.publish(vec![(servers[0].name.clone(), servers[0].entry("draining"))]);
    }
    thread::sleep(ms(500));
    let mut second = Vec::new();
    for node in &nodes {
        // The operator adds a pool to the file and starts the new process with it.
        node.write_file(true);
        second.push(OperatorNode::start(&record, &format!("{}, second process", node.name), &node.folder));
        wait_until("a node to be told of the drain", || node.discovery.told_at(VERSION_OF_DRAIN).is_some());
    }
    // The old processes end after the probation, so that from then on only new ones can send anything.
    thread::sleep(ms(500));
    let clients: Vec<_> = nodes
        .iter()
        .enumerate()
        .map(|(number, node)| {
            let (record, address) = (record.clone(), node.address);
            thread::spawn(move || {
                read_on_new_connections(&record, number, address, Instant::now() + LOAD_FOR)
            })
        })
        .collect();
    let served: u32 = clients.into_iter().map(|client| client.join().unwrap()).sum();
    if second.iter_mut().any(OperatorNode::has_exited) {
        cannot_run("a new process has ended");
    }
    let arrivals = servers[0].arrivals();
    let mut late = Vec::new();
    for (number, node) in nodes.iter().enumerate() {
        let told = node.discovery.told_at(VERSION_OF_DRAIN);
        let told = told.unwrap_or_else(|| cannot_run("a node was not told"));
        let own = format!("n{number}-");
        let is_late = |arrival: &&Arrival| arrival.id.starts_with(&own) && arrival.at > told + STOP_WITHIN;
        for arrival in arrivals.iter().filter(is_late) {
            record.line(&format!(
                "LATE: {} came to s-1 at {:.3} s, {:.2} s after discovery wrote to {} that s-1 drains",
                arrival.id,
                arrival.at.as_secs_f64(),
                (arrival.at - told).as_secs_f64(),
                node.name
            ));
        }
        let late_at_node: Vec<_> = arrivals.iter().filter(is_late).collect();
        if let Some(last) = late_at_node.last() {
            let since = (last.at - told).as_secs_f64();
            late.push(format!("{}: {} up to {since:.1} s", node.name, late_at_node.len()));
        }
    }
    let facts = format!(
        "{NODES} nodes, {served} requests served after the upgrade; attempts at the draining server over {} ms \
         after the node was told: {late:?}",
        STOP_WITHIN.as_millis()
    );
    drop(second);
    drop(first);
    verdict(&record, !late.is_empty(), &facts);
}

impl Upgraded {
    /// Makes the surroundings of a node, and its file.
    fn prepare(record: &Record, number: usize, servers: &[Server], further: &Server) -> Self {
        let name = format!("n{number}");
        let entries = |servers: &[Server]| -> Vec<_> {
            servers.iter().map(|server| (server.name.clone(), server.entry("ready"))).collect()
        };
        let discovery =
            Discovery::start_as(record, &format!("discovery of {name}"), entries(servers), Duration::ZERO);
        let further = Discovery::start_as(
            record,
            &format!("discovery of {name}'s further pool"),
            entries(std::slice::from_ref(further)),
            FIRST_LIST_TAKES,
        );
        let folder = temporary_folder(&name);
        let node = Self { name, address: free_address(), folder, discovery, further };
        node.write_file(false);
        node
    }

    /// Writes the operator's file, with or without the further pool.
    fn write_file(&self, with_further_pool: bool) {
        let mut text = format!(
            "version = 1\nname = \"{}\"\nnodes = {NODES}\n[limits]\ndescriptors = 1024\n[servers]\n\
             connect_timeout = \"75ms\"\nidle = \"60s\"\n[hand_over]\nsocket = \"h.sock\"\n\
             probation = \"2s\"\n[[listener]]\nname = \"clients\"\naddress = \"{}\"\n[[pool]]\n\
             name = \"records\"\ndiscovery = \"{}\"\n[[class]]\nname = \"entry-view\"\npool = \"records\"\n\
             effect = \"safe\"\naim = \"300ms\"\ndeadline = \"600ms\"\nworth = 5.0\n",
            self.name, self.address, self.discovery.address
        );
        if with_further_pool {
            text += &format!(
                "[[pool]]\nname = \"images\"\ndiscovery = \"{}\"\n[[class]]\nname = \"image\"\n\
                 pool = \"images\"\neffect = \"safe\"\naim = \"300ms\"\ndeadline = \"600ms\"\nworth = 1.0\n",
                self.further.address
            );
        }
        let written = std::fs::write(self.folder.join("node.toml"), text);
        written.unwrap_or_else(|error| cannot_run(&error.to_string()));
    }
}

/// Sends a read every 50 ms, each on a connection of its own. Returns how many were served.
fn read_on_new_connections(record: &Record, number: usize, address: SocketAddr, until: Instant) -> u32 {
    let mut served = 0;
    for request in 0.. {
        if Instant::now() > until {
            break;
        }
        let id = format!("n{number}-{request}");
        let Ok(mut client) = TcpStream::connect(address) else { continue };
        let text = read_request(&id, "entry-view", &format!("{:x}", request * 7919 + number), 600);
        if client.write_all(text.as_bytes()).is_ok() {
            let mut answers = BufReader::new(client.try_clone().unwrap());
            let outcome = receive(&client, &mut answers, Instant::now(), ms(1_200));
            served += u32::from(outcome.status == Some(200));
            if outcome.status != Some(200) {
                record.line(&format!("client: {id}: {:?} {}", outcome.status, outcome.error));
            }
        }
        thread::sleep(ms(50));
    }
    served
}
