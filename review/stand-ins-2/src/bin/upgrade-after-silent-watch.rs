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
/// New requests to a draining server have to stop this long after the notification: the grace and the slack on
/// sockets.
const STOP_WITHIN: Duration = Duration::from_millis(500 + 50);
/// How long discovery takes for the first list of the further pool.
const FIRST_LIST_TAKES: Duration = Duration::from_millis(300);
/// How long requests are sent to the new processes.
const LOAD_FOR: Duration = Duration::from_millis(4_000);
const VERSION_OF_DRAIN: usize = 2;

struct Upgraded {
    name: String,
    address: SocketAddr,
    folder: PathBuf,
    discovery: Discovery,
    /// Where the list of the further pool comes from.
    further: Discovery,
    drained: Server,
    /// Set when that server begins to drain: it turns new requests away from then on.
    draining: Arc<AtomicBool>,
    _others: Vec<Server>,
}

fn main() {
    let record = Record::create();
    let nodes: Vec<_> = (0..NODES).map(|number| prepare(&record, number)).collect();
    let first: Vec<_> = nodes
        .iter()
        .map(|node| OperatorNode::start(&record, &format!("{}, first process", node.name), &node.folder))
        .collect();
    for node in &nodes {
        wait_until("a node to be ready", || {
            healthz(node.address) == 200 && node.discovery.told_at(1).is_some()
        });
    }
    // The watches of all nodes are open.
    thread::sleep(ms(500));
    if trouble() {
        nodes.iter().for_each(|node| node.discovery.silence_open_watches());
    }
    thread::sleep(ms(200));
    for node in &nodes {
        node.draining.store(true, Ordering::SeqCst);
        node.discovery.publish(vec![("s-1".into(), node.drained.entry("draining"))]);
    }
    thread::sleep(ms(500));
    let mut second = Vec::new();
    for node in &nodes {
        // The operator adds a pool to the file and starts the new process with it.
        node.write_file(true);
        let process = OperatorNode::start(&record, &format!("{}, second process", node.name), &node.folder);
        wait_until("the new process to be told of the drain", || {
            node.discovery.told_at(VERSION_OF_DRAIN).is_some()
        });
        second.push(process);
    }
    thread::sleep(FIRST_LIST_TAKES + STOP_WITHIN + ms(500));
    for process in &mut second {
        if process.has_exited() {
            cannot_run("a new process has ended");
        }
    }
    let addresses: Vec<_> = nodes.iter().map(|node| node.address).collect();
    let began = record.now();
    let clients: Vec<_> = addresses
        .into_iter()
        .enumerate()
        .map(|(number, address)| {
            let record = record.clone();
            thread::spawn(move || {
                read_on_new_connections(&record, number, address, Instant::now() + LOAD_FOR)
            })
        })
        .collect();
    let served: u32 = clients.into_iter().map(|client| client.join().unwrap()).sum();
    let mut late = Vec::new();
    for node in &nodes {
        let told =
            node.discovery.told_at(VERSION_OF_DRAIN).unwrap_or_else(|| cannot_run("a node was not told"));
        let arrivals = node.drained.arrivals();
        let after: Vec<_> = arrivals
            .iter()
            .filter(|arrival| arrival.at >= began && arrival.at > told + STOP_WITHIN)
            .collect();
        if let Some(last) = after.last() {
            let since = (last.at - told).as_secs_f64();
            record.line(&format!(
                "{}: LATE: {} attempts at s-1, the last {since:.2} s after the drain was told",
                node.name,
                after.len()
            ));
            late.push(format!("{}: {} up to {since:.1} s", node.name, after.len()));
        }
    }
    let facts = format!("{NODES} nodes, {served} requests served after the upgrade; attempts at the draining server: {late:?}");
    drop(second);
    drop(first);
    verdict(&record, !late.is_empty(), &facts);
}

/// Makes the surroundings of a node: three cache servers, discovery, and its file.
fn prepare(record: &Record, number: usize) -> Upgraded {
    let name = format!("n{number}");
    let draining = Arc::new(AtomicBool::new(false));
    let server = |server: usize| {
        let body = format!("value of s-{server}");
        let draining = draining.clone();
        Server::start(record, &format!("s-{server}"), move |_, _| {
            if server == 1 && draining.load(Ordering::SeqCst) {
                return Act::Send(ms(1), answer("503 Service Unavailable", "Srv-Declined: 1\r\n", ""));
            }
            Act::Send(ms(10), answer("200 OK", "", &body))
        })
    };
    let (drained, others) = (server(1), vec![server(2), server(3)]);
    let mut entries = vec![("s-1".to_owned(), drained.entry("ready"))];
    entries.extend(others.iter().map(|other| (other.name.clone(), other.entry("ready"))));
    let discovery = Discovery::start(record, entries);
    let further_server =
        Server::start(record, "t-1", |_, _| Act::Send(ms(10), answer("200 OK", "", "value of t-1")));
    let further =
        Discovery::start_slow(record, vec![("t-1".into(), further_server.entry("ready"))], FIRST_LIST_TAKES);
    let address = free_address();
    let folder = std::env::temp_dir().join(format!("review-2-{}-{name}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap_or_else(|error| cannot_run(&error.to_string()));
    let mut _others = others;
    _others.push(further_server);
    let node = Upgraded { name, address, folder, discovery, further, drained, draining, _others };
    node.write_file(false);
    node
}

impl Upgraded {
    /// Writes the operator's file, with or without the further pool.
    fn write_file(&self, with_further_pool: bool) {
        let mut text = format!(
            "version = 1\nname = \"{}\"\nnodes = {NODES}\n[limits]\ndescriptors = 1024\n[servers]\n\
             connect_timeout = \"75ms\"\nidle = \"60s\"\n[hand_over]\nsocket = \"hand-over.sock\"\n\
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
