//! A planned restart while half of the cache servers hang. Requests that were taken before SIGTERM are still
//! unanswered when SIGKILL comes, since their deadline is longer than the time that the platform grants.

use review_stand_ins_2::*;
use std::io::{BufReader, Write};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// SIGKILL comes no sooner than the longest deadline (3 s at most) and 0.7 s after SIGTERM; 50 ms are added.
const KILL_AFTER: Duration = Duration::from_millis(3_000 + 700 + 50);
/// The requests are sent this long before SIGTERM, and their clients wait for as long as their class allows.
const SENT_BEFORE: Duration = Duration::from_millis(100);
const DEADLINE_MS: u64 = 4_000;
const REQUESTS: usize = 12;

fn main() {
    let record = Record::create();
    let hang = Arc::new(AtomicBool::new(false));
    let servers: Vec<_> = (1..=4)
        .map(|number| {
            let hang = hang.clone();
            Server::start(&record, &format!("s-{number}"), move |request, _| {
                if number <= 2 && hang.load(Ordering::SeqCst) {
                    return Act::Hang;
                }
                Act::Send(ms(150), answer("200 OK", "", &format!("value for {}", request.id())))
            })
        })
        .collect();
    let entries: Vec<_> = servers.iter().map(|server| (server.name.clone(), server.entry("ready"))).collect();
    let known = entries.iter().map(|(_, entry)| entry.clone()).collect();
    let discovery = Discovery::start(&record, entries);
    let node = Node::start(&record, &Config::new(discovery.address, known, CLASSES.into()));

    hang.store(trouble(), Ordering::SeqCst);
    let (address, sent_at) = (node.address, Instant::now());
    let clients: Vec<_> = (1..=REQUESTS)
        .map(|number| {
            let record = record.clone();
            thread::spawn(move || {
                let id = format!("r-{number}");
                let mut client = std::net::TcpStream::connect(address).ok()?;
                let text = read_request(&id, "cert-build", &format!("7f3a{number:02x}"), DEADLINE_MS);
                client.write_all(text.as_bytes()).ok()?;
                let mut answers = BufReader::new(client.try_clone().unwrap());
                let outcome = receive(&client, &mut answers, Instant::now(), ms(DEADLINE_MS + 500));
                record.line(&format!("client: {id}: {outcome:?}"));
                Some((id, outcome))
            })
        })
        .collect();
    thread::sleep((sent_at + SENT_BEFORE).saturating_duration_since(Instant::now()));
    if trouble() {
        node.signal("SIGTERM", SIGTERM);
        let term = Instant::now();
        thread::sleep((term + KILL_AFTER).saturating_duration_since(Instant::now()));
        record.line("platform: SIGKILL, if the node still runs");
        kill_process(node.pid());
    }
    let mut lost = Vec::new();
    for client in clients {
        let Some((id, outcome)) = client.join().unwrap() else {
            cannot_run("a request could not be written")
        };
        if outcome.status.is_none() {
            lost.push(id);
        }
    }
    let facts = format!("{REQUESTS} requests taken {SENT_BEFORE:?} before SIGTERM; no answer: {lost:?}");
    verdict(&record, !lost.is_empty(), &facts);
}
