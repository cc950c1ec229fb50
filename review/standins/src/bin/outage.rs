//! Case 2: discovery is away at its new address, and a cache server begins to drain after its return.

use review_standins::*;
use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Node processes of this run, and nodes in the settings: kingston-lookup has 56 to 69 today.
const NODES: usize = 48;
const BALANCERS: u32 = 60;
/// STANDING.md has 8 s.
const OUTAGE: Duration = Duration::from_secs(8);
/// From the return of discovery to the drain.
const DRAIN_AFTER: Duration = Duration::from_millis(500);
/// A change counts as told this long after discovery had it and could be reached.
const TOLD_AFTER: Duration = Duration::from_secs(6);
const GRACE: Duration = Duration::from_millis(500);
const WATCHED: Duration = Duration::from_secs(16);

type NodeOf = Arc<Mutex<HashMap<String, usize>>>;
type Drain = Arc<Mutex<Option<Instant>>>;

fn cache_server(id: &'static str, record: Record, node_of: NodeOf, drain: Option<Drain>, late: Arc<AtomicU64>) -> SocketAddr {
    let (listener, address) = listen();
    serve(listener, move |mut stream: TcpStream| {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        while let Ok(Some(request)) = Message::read(&mut reader) {
            let request_id = request.header("req-id").unwrap_or_default().to_owned();
            let node = node_of.lock().unwrap().get(&request_id).copied().unwrap_or(usize::MAX);
            let drained = drain.as_ref().and_then(|drain| *drain.lock().unwrap());
            if let Some(since) = drained.map(|at| at.elapsed()) {
                let mark = if since > TOLD_AFTER + GRACE + SLACK {
                    late.fetch_add(1, Ordering::Relaxed);
                    "LATE: "
                } else {
                    ""
                };
                record.line(format!("{mark}{id} got {request_id} from n{node}, {:.2} s after its drain", since.as_secs_f64()));
                if stream.write_all(response("503 Service Unavailable", "Srv-Declined: 1\r\n", "").as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            thread::sleep(Duration::from_millis(30));
            let body = format!("made by {id} for {request_id}");
            let text = response("200 OK", "Srv-Load: latency_ms=30,queue=0\r\n", &body);
            record.line(format!("{id} ran and answers {request_id} from n{node}"));
            if stream.write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    });
    address
}

/// Starts the new address of discovery. While `down` is set, its calls end with 503.
fn new_address(discovery: Discovery, down: Arc<AtomicBool>, record: Record) -> SocketAddr {
    let (listener, address) = listen();
    serve(listener, move |mut stream: TcpStream| {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        while let Ok(Some(call)) = Message::read(&mut reader) {
            let text = if down.load(Ordering::SeqCst) {
                record.line(format!("discovery is down: 503 to {}", call.start));
                response("503 Service Unavailable", "", "")
            } else {
                record.line(format!("discovery got {}", call.start));
                response("200 OK", "", &discovery.answer_to(&call))
            };
            if stream.write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    });
    address
}

fn main() {
    let setup = Setup::from_arguments();
    let status = run(&setup);
    drop(setup);
    std::process::exit(status);
}

fn run(setup: &Setup) -> i32 {
    let (node_of, drain, late) = (NodeOf::default(), Drain::default(), Arc::new(AtomicU64::new(0)));
    let server = |id, drain| cache_server(id, setup.record.clone(), node_of.clone(), drain, late.clone());
    let draining = server("s-4", Some(drain.clone()));
    let servers = [("s-1", server("s-1", None)), ("s-2", server("s-2", None)), ("s-3", server("s-3", None)), ("s-4", draining)];
    let old = Discovery::start(&servers);
    let new = Discovery::start(&servers);
    let down = Arc::new(AtomicBool::new(setup.trouble));
    let new_at = new_address(new.clone(), down.clone(), setup.record.clone());
    let configuration = |number: usize, discovery: SocketAddr| {
        let seed = format!("{:016x}", (number as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15));
        config(&format!("n{number}"), discovery, &old.list(), &KINGSTON, BALANCERS).replace("8c1f30d27a5be964", &seed)
    };
    let nodes: Vec<_> = (0..NODES)
        .map(|number| Node::start(setup, &format!("n{number}"), old.address, &configuration(number, old.address)))
        .collect();
    let stop = Arc::new(AtomicBool::new(false));
    let served = Arc::new(AtomicU64::new(0));
    let clients: Vec<_> = nodes
        .iter()
        .enumerate()
        .map(|(number, node)| {
            let (address, stop, node_of, served) = (node.address, stop.clone(), node_of.clone(), served.clone());
            let record = setup.record.clone();
            thread::spawn(move || {
                let mut connection: Option<Client> = None;
                let mut key = (number as u64) << 32;
                while !stop.load(Ordering::SeqCst) {
                    key += 1;
                    let id = new_id();
                    node_of.lock().unwrap().insert(id.clone(), number);
                    if connection.is_none() {
                        connection = Client::connect(address).ok();
                    }
                    if let Some(client) = &mut connection {
                        let key = key.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 12;
                        record.line(format!("client of n{number} sent {id}"));
                        let answer = client.exchange(&read_request("entry-view", key, &id, 330));
                        let end = answer.as_ref().map_or_else(ToString::to_string, |answer| answer.start.clone());
                        record.line(format!("client of n{number}: {id}: {end}"));
                        served.fetch_add(u64::from(matches!(&answer, Ok(answer) if answer.status() == Some(200))), Ordering::Relaxed);
                        if !matches!(&answer, Ok(answer) if !answer.closes()) {
                            connection = None;
                        }
                    }
                    thread::sleep(Duration::from_millis(50));
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(3));
    for (number, node) in nodes.iter().enumerate() {
        let next = node.config.with_extension("next");
        std::fs::write(&next, configuration(number, new_at)).unwrap();
        std::fs::rename(&next, &node.config).unwrap();
        node.signal("HUP");
    }
    setup.record.line(format!("new configuration with discovery at {new_at}, SIGHUP to all nodes"));
    if setup.trouble {
        thread::sleep(OUTAGE);
        down.store(false, Ordering::SeqCst);
        setup.record.line("discovery is back");
    } else {
        thread::sleep(Duration::from_secs(5));
    }
    thread::sleep(DRAIN_AFTER);
    new.publish("s-4", entry("s-4", draining, "draining", 0));
    *drain.lock().unwrap() = Some(Instant::now());
    setup.record.line("s-4 begins to drain, and discovery has it");
    thread::sleep(WATCHED);
    stop.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|client| drop(client.join()));
    nodes.iter().for_each(|node| node.record_log(&setup.record));
    let late = late.load(Ordering::Relaxed);
    let summary = format!(
        "{} answers 200; {late} attempts reached the draining server later than {} ms after discovery had the drain",
        served.load(Ordering::Relaxed),
        (TOLD_AFTER + GRACE + SLACK).as_millis()
    );
    verdict(setup, late > 0, &summary)
}
