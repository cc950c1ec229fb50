//! A planned restart while requests that a client has sent at once wait behind the first one. The node answers
//! the one that it works on, and closes the connection over the others.

use review_stand_ins_2::*;
use std::io::{BufReader, Write};
use std::thread;
use std::time::Instant;

const REQUESTS: usize = 4;
/// How long a cache server works on a request.
const WORK_MS: u64 = 200;
const DEADLINE_MS: u64 = 2_000;

fn main() {
    let record = Record::create();
    let servers: Vec<_> = (1..=3)
        .map(|number| {
            Server::start(&record, &format!("s-{number}"), |request, _| {
                Act::Send(ms(WORK_MS), answer("200 OK", "", &format!("value for {}", request.id())))
            })
        })
        .collect();
    let entries: Vec<_> = servers.iter().map(|server| (server.name.clone(), server.entry("ready"))).collect();
    let known = entries.iter().map(|(_, entry)| entry.clone()).collect();
    let discovery = Discovery::start(&record, entries);
    let config = Config::new(discovery.address, known, CLASSES.into());
    let node = Node::start(&record, &config);

    let mut client = node.connect().unwrap_or_else(|error| cannot_run(&error.to_string()));
    let ids: Vec<_> = (1..=REQUESTS).map(|number| format!("r-{number}")).collect();
    let text: String =
        ids.iter().map(|id| read_request(id, "cert-build", &format!("7f{id}"), DEADLINE_MS)).collect();
    if client.write_all(text.as_bytes()).is_err() {
        cannot_run("the requests could not be written");
    }
    let sent_at = Instant::now();
    record.line(&format!("client: sent {REQUESTS} requests at once, {} bytes", text.len()));
    thread::sleep(ms(WORK_MS / 2));
    if trouble() {
        node.signal("SIGTERM", SIGTERM);
    }
    let mut reader = BufReader::new(client.try_clone().unwrap());
    let mut lost = Vec::new();
    for id in &ids {
        let outcome = receive(&client, &mut reader, sent_at, ms(DEADLINE_MS + 500));
        record.line(&format!("client: {id}: {outcome:?}"));
        if outcome.status.is_none() {
            lost.push(id.clone());
        }
    }
    let forwarded: usize = servers.iter().map(|server| server.arrivals().len()).sum();
    let facts = format!(
        "{REQUESTS} requests sent {} ms before SIGTERM; lost: {lost:?}; forwarded: {forwarded}",
        WORK_MS / 2
    );
    verdict(&record, !lost.is_empty(), &facts);
}
