//! Case 1: a second copy of an answer comes some milliseconds late from a server in the other building.

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
/// Every so many answers of a server are followed by a second copy.
const EVERY: u64 = 50;
/// The work of an `entry-view`; the brief has 29 to 52 ms.
const WORK: Duration = Duration::from_millis(30);
/// A try is given up after 50 to 60% of the class's 600 ms.
const DEADLINE_MS: u64 = 330;
const CLIENTS: u64 = 6;
const LENGTH: Duration = Duration::from_secs(20);

/// Starts a cache server that reads through: the answer to a request is made for its id and key.
fn cache_server(id: &'static str, trouble: bool, record: Record, made: Arc<Mutex<HashMap<String, String>>>) -> SocketAddr {
    let (listener, address) = listen();
    let answers = AtomicU64::new(0);
    let connections = AtomicU64::new(0);
    serve(listener, move |mut stream: TcpStream| {
        let number = connections.fetch_add(1, Ordering::Relaxed);
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        while let Ok(Some(request)) = Message::read(&mut reader) {
            let request_id = request.header("req-id").unwrap_or_default().to_owned();
            let body = format!("made by {id} for {request_id}, key {}", path_key(&request));
            made.lock().unwrap().insert(request_id.clone(), body.clone());
            record.line(format!("{id}, connection {number}: got {request_id}"));
            thread::sleep(WORK);
            let text = response("200 OK", "Srv-Load: latency_ms=30,queue=0\r\n", &body);
            if stream.write_all(text.as_bytes()).is_err() {
                return;
            }
            record.line(format!("{id}, connection {number}: ran and answered {request_id}"));
            if trouble && answers.fetch_add(1, Ordering::Relaxed) % EVERY == EVERY - 1 {
                thread::sleep(LATE);
                // Only while nothing else waits on the connection.
                if reader.buffer().is_empty() && !has_unread(&stream) {
                    if stream.write_all(text.as_bytes()).is_err() {
                        return;
                    }
                    record.line(format!("{id}, connection {number}: second copy of the answer to {request_id}"));
                }
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
    let made = Arc::new(Mutex::new(HashMap::new()));
    let server = |id| cache_server(id, setup.trouble, setup.record.clone(), made.clone());
    let servers = [("s-1", server("s-1")), ("s-2", server("s-2")), ("s-3", server("s-3"))];
    let discovery = Discovery::start(&servers);
    let config = config("n0", discovery.address, &discovery.list(), &KINGSTON, 3);
    let node = Node::start(setup, "n0", discovery.address, &config);
    let end = Instant::now() + LENGTH;
    let (served, foreign, other) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (record, made, address) = (setup.record.clone(), made.clone(), node.address);
            let (served, foreign, other) = (served.clone(), foreign.clone(), other.clone());
            thread::spawn(move || {
                let mut connection: Option<Client> = None;
                let mut key = number << 32;
                while Instant::now() < end {
                    key += 1;
                    let id = new_id();
                    let request = read_request("entry-view", key.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 12, &id, DEADLINE_MS);
                    if connection.is_none() {
                        connection = Client::connect(address).ok();
                    }
                    let Some(client) = &mut connection else { continue };
                    record.line(format!("client {number} sent {id}"));
                    let answer = client.exchange(&request);
                    if !matches!(&answer, Ok(message) if !message.closes()) {
                        connection = None;
                    }
                    match answer {
                        Ok(message) if message.status() == Some(200) => {
                            served.fetch_add(1, Ordering::Relaxed);
                            let own = made.lock().unwrap().get(&id).cloned();
                            if own.as_deref() != Some(&message.text()) {
                                foreign.fetch_add(1, Ordering::Relaxed);
                                record.line(format!("FOREIGN: {id} was served \"{}\"", message.text()));
                            } else {
                                record.line(format!("client {number} was served {id}"));
                            }
                        }
                        Ok(message) => {
                            other.fetch_add(1, Ordering::Relaxed);
                            record.line(format!("client {number}: {id} ended with {}", message.start));
                            thread::sleep(Duration::from_millis(20));
                        }
                        Err(error) => {
                            other.fetch_add(1, Ordering::Relaxed);
                            record.line(format!("client {number}: {id} ended with {error}"));
                        }
                    }
                }
            })
        })
        .collect();
    clients.into_iter().for_each(|client| drop(client.join()));
    node.record_log(&setup.record);
    let count = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
    let summary = format!(
        "{} answers 200, of them {} not made for their request; {} other ends",
        count(&served),
        count(&foreign),
        count(&other)
    );
    if count(&served) < 100 {
        setup.record.say(&summary);
        eprintln!("cannot run: too few answers");
        return 2;
    }
    verdict(setup, count(&foreign) > 0, &summary)
}
