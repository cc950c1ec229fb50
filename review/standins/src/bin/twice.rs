//! Beside case 1: a second copy of an answer that turns a request away comes some milliseconds late.

use review_standins::*;
use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// One way between the buildings; the brief has 4.2 to 7.8 ms.
const CROSS: Duration = Duration::from_millis(6);
/// How late the second copy is: 'some milliseconds'.
const LATE: Duration = Duration::from_millis(4);
/// Every so many requests a cache server turns one away, its queue being full. The same with TROUBLE=0.
const DECLINES: u64 = 25;
/// The work of an `entry-view`; the brief has 29 to 52 ms.
const WORK: Duration = Duration::from_millis(30);
/// A try is given up after 50 to 60% of the class's 600 ms.
const DEADLINE_MS: u64 = 330;
const CLIENTS: u64 = 6;
const LENGTH: Duration = Duration::from_secs(20);

type Ran = Arc<Mutex<HashMap<String, Vec<String>>>>;

/// Starts a cache server. What it runs is recorded by the idempotency key, which is new with each write.
fn cache_server(id: &'static str, trouble: bool, record: Record, ran: Ran) -> SocketAddr {
    let (listener, address) = listen();
    let requests = AtomicU64::new(0);
    serve(listener, move |mut stream: TcpStream| {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        while let Ok(Some(request)) = Message::read(&mut reader) {
            let request_id = request.header("req-id").unwrap_or_default().to_owned();
            let write = request.header("idempotency-key").unwrap_or_default().to_owned();
            if requests.fetch_add(1, Ordering::Relaxed) % DECLINES == DECLINES - 1 {
                let text = response("503 Service Unavailable", "Srv-Declined: 1\r\n", "");
                if stream.write_all(text.as_bytes()).is_err() {
                    return;
                }
                record.line(format!("{id} turned {request_id} away"));
                if trouble {
                    thread::sleep(LATE);
                    // Only while nothing else waits on the connection.
                    if reader.buffer().is_empty() && !has_unread(&stream) {
                        let _ = stream.write_all(text.as_bytes());
                        record.line(format!("{id} sent a second copy of the answer to {request_id}"));
                    }
                }
                continue;
            }
            ran.lock().unwrap().entry(write.clone()).or_default().push(format!("{id} for {request_id}"));
            record.line(format!("{id} runs write {write} for {request_id}"));
            thread::sleep(WORK);
            let text = response("200 OK", "Srv-Load: latency_ms=30,queue=0\r\n", &format!("made by {id} for {request_id}"));
            if stream.write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    });
    distant(address, CROSS)
}

fn main() {
    let setup = Setup::from_arguments();
    let status = run(&setup);
    drop(setup);
    std::process::exit(status);
}

fn run(setup: &Setup) -> i32 {
    let ran = Ran::default();
    let server = |id| cache_server(id, setup.trouble, setup.record.clone(), ran.clone());
    let servers = [("s-1", server("s-1")), ("s-2", server("s-2")), ("s-3", server("s-3"))];
    let discovery = Discovery::start(&servers);
    let mut lanes = KINGSTON;
    lanes[0].effect = "unsafe";
    let config = config("n0", discovery.address, &discovery.list(), &lanes, 3);
    let node = Node::start(setup, "n0", discovery.address, &config);
    let end = Instant::now() + LENGTH;
    let (served, other) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (record, address) = (setup.record.clone(), node.address);
            let (served, other) = (served.clone(), other.clone());
            thread::spawn(move || {
                let mut connection: Option<Client> = None;
                let mut key = number << 32;
                while Instant::now() < end {
                    key += 1;
                    let id = new_id();
                    let key = key.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 12;
                    let request = write_request("entry-view", key, &id, DEADLINE_MS, &format!("w-{id}"), "value");
                    if connection.is_none() {
                        connection = Client::connect(address).ok();
                    }
                    let Some(client) = &mut connection else { continue };
                    // No write is sent again by its client, so each may run once.
                    let answer = client.exchange(&request);
                    if !matches!(&answer, Ok(message) if !message.closes()) {
                        connection = None;
                    }
                    let text = answer.map_or_else(|error| error.to_string(), |message| message.start);
                    if text.contains(" 200 ") { &served } else { &other }.fetch_add(1, Ordering::Relaxed);
                    record.line(format!("client {number}: {id} ended with {text}"));
                }
            })
        })
        .collect();
    clients.into_iter().for_each(|client| drop(client.join()));
    node.record_log(&setup.record);
    let ran = ran.lock().unwrap();
    let twice: Vec<_> = ran.iter().filter(|(_, runs)| runs.len() > 1).collect();
    for (write, runs) in &twice {
        setup.record.line(format!("TWICE: {write} ran at {}", runs.join(" and at ")));
    }
    let count = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
    let summary = format!(
        "{} unsafe writes, {} answers 200, {} other ends; {} writes ran twice",
        ran.len(),
        count(&served),
        count(&other),
        twice.len()
    );
    if count(&served) < 100 {
        setup.record.say(&summary);
        return 2;
    }
    verdict(setup, !twice.is_empty(), &summary)
}
