//! A planned restart while a client writes its request slowly. The node keeps the connection of the half-read
//! request open, forwards the request long after SIGTERM, and is killed before the answer.

use review_stand_ins_2::*;
use std::io::{BufReader, Write};
use std::thread;
use std::time::{Duration, Instant};

/// The longest deadline of the settings.
const LONGEST_DEADLINE_MS: u64 = 600;
/// SIGKILL comes no sooner than the longest deadline and 0.7 s after SIGTERM; 10 ms are added.
const KILL_AFTER: Duration = Duration::from_millis(LONGEST_DEADLINE_MS + 700 + 10);
/// When the slow client writes its first and its last byte, from SIGTERM.
const FIRST_BYTE: Duration = Duration::from_millis(150);
const LAST_BYTE: Duration = Duration::from_millis(1_100);
const PIECES: u32 = 10;
/// How long the cache server works on a request.
const WORK: Duration = Duration::from_millis(350);

fn main() {
    let record = Record::create();
    let server = Server::start(&record, "s-1", |request, _| {
        Act::Send(WORK, answer("200 OK", "", &format!("value for {}", request.id())))
    });
    let discovery = Discovery::start(&record, vec![(server.name.clone(), server.entry("ready"))]);
    let classes = vec![
        Class { name: "entry-view", effect: "safe", promise_ms: 300, hard_limit_ms: 600, window_ms: 5000 },
        Class { name: "name-check", effect: "safe", promise_ms: 150, hard_limit_ms: 500, window_ms: 5000 },
    ];
    let known = vec![server.entry("ready")];
    let config = Config::new(discovery.address, known, classes);
    let node = Node::start(&record, &config);

    // The client's first request on the connection, written at once.
    let mut client = node.connect().unwrap_or_else(|error| cannot_run(&error.to_string()));
    let mut reader = BufReader::new(client.try_clone().unwrap());
    let sent = client.write_all(read_request("r-1", "entry-view", "7f3a", LONGEST_DEADLINE_MS).as_bytes());
    let first = receive(&client, &mut reader, Instant::now(), ms(2_000));
    record.line(&format!("client: r-1: {first:?}"));
    if sent.is_err() || first.status != Some(200) || first.close {
        cannot_run("the request before the restart was not served");
    }

    if trouble() {
        node.signal("SIGTERM", SIGTERM);
    }
    let term = Instant::now();
    let request = read_request("r-2", "entry-view", "7f3b", LONGEST_DEADLINE_MS);
    let pieces: Vec<_> = request.as_bytes().chunks(request.len().div_ceil(PIECES as usize)).collect();
    let step = (LAST_BYTE - FIRST_BYTE) / (pieces.len() as u32 - 1);
    let mut written = true;
    for (index, piece) in (0..).zip(&pieces) {
        thread::sleep((term + FIRST_BYTE + step * index).saturating_duration_since(Instant::now()));
        // A client stops writing where it sees the end of the connection.
        let ended = is_ended(&client);
        written = !ended && client.write_all(piece).is_ok();
        record.line(&format!("client: r-2: piece {} of {}, written {written}", index + 1, pieces.len()));
        if !written {
            break;
        }
    }
    let last_byte = Instant::now();
    let took = last_byte - term;
    if trouble() && took >= KILL_AFTER {
        cannot_run("the machine was too slow: the last byte was written after SIGKILL");
    }
    let killer = thread::spawn({
        let record = record.clone();
        let pid = node.pid();
        move || {
            if trouble() {
                thread::sleep((term + KILL_AFTER).saturating_duration_since(Instant::now()));
                record.line("platform: SIGKILL, if the node still runs");
                kill_process(pid);
            }
        }
    });
    let outcome = receive(&client, &mut reader, last_byte, ms(3_000));
    record.line(&format!("client: r-2: {outcome:?}"));
    let _ = killer.join();
    let forwarded = server.arrivals().iter().filter(|arrival| arrival.id == "r-2").count();
    let facts = format!(
        "r-2 written whole {written}, its last byte {:.2} s after the restart began; answer {:?} after {:.2} s; \
         forwarded {forwarded} times",
        took.as_secs_f64(),
        outcome.status,
        outcome.took.as_secs_f64()
    );
    // A request is taken once its last byte is written. Taken and not answered, it is lost.
    verdict(&record, written && outcome.status.is_none(), &facts);
}
