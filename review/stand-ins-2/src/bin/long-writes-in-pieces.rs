//! Clients write long requests slowly, in pieces. The node keeps a buffer of its own for each piece until the
//! request is whole, goes over its memory limit, and is killed by the platform with all that it has taken.

use review_stand_ins_2::*;
use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

/// The limits of the node: the highest of the days that are scored.
const MEMORY_MB: u64 = 192;
const SOCKETS: u32 = 1024;
/// The clients that write a long request, and their requests: a value of 64 KiB in pieces of 64 bytes.
const WRITERS: u32 = 80;
const VALUE_BYTES: usize = 64 << 10;
const PIECE_BYTES: usize = 64;
/// The pause after each piece: a request is written within 1.7 s.
const PAUSE: Duration = Duration::from_micros(1_500);
const DEADLINE_MS: u64 = 2_000;
/// The clients that read beside them, and how long each rests between two reads.
const READERS: u32 = 192;
const REST: Duration = Duration::from_millis(6_000);

fn main() {
    let record = Record::create();
    let servers: Vec<_> = (1..=4)
        .map(|number| {
            Server::start(&record, &format!("s-{number}"), |request, _| {
                Act::Send(ms(40), answer("200 OK", "", &format!("value for {}", request.id())))
            })
        })
        .collect();
    let entries: Vec<_> = servers.iter().map(|server| (server.name.clone(), server.entry("ready"))).collect();
    let known = entries.iter().map(|(_, entry)| entry.clone()).collect();
    let discovery = Discovery::start(&record, entries);
    let config = Config {
        memory_mb: MEMORY_MB,
        sockets: SOCKETS,
        ..Config::new(discovery.address, known, CLASSES.into())
    };
    let node = Node::start(&record, &config);

    let platform = MemoryLimit::enforce(&record, node.pid(), MEMORY_MB);

    let address = node.address;
    let began = Instant::now();
    let readers: Vec<_> = (0..READERS)
        .map(|reader| {
            let record = record.clone();
            thread::spawn(move || {
                thread::sleep(REST / READERS * reader);
                read_steadily(&record, address, reader, began + ms(4_000))
            })
        })
        .collect();
    thread::sleep(ms(200));
    let writers: Vec<_> = (0..WRITERS)
        .map(|writer| {
            let record = record.clone();
            thread::spawn(move || write_slowly(&record, address, writer))
        })
        .collect();
    let answers: Vec<_> = writers.into_iter().map(|writer| writer.join().unwrap()).collect();
    let unanswered: u32 = readers.into_iter().map(|reader| reader.join().unwrap()).sum();
    let (over, most_kb) = platform.end();
    let answered = answers.iter().filter(|status| status.is_some()).count();
    let facts = format!(
        "{WRITERS} writes of {} KiB each, {answered} answered; reads without an answer: {unanswered}; most memory \
         {:.1} MiB of {MEMORY_MB}",
        VALUE_BYTES >> 10,
        most_kb as f64 / 1024.0
    );
    verdict(&record, over, &facts);
}

/// Reads on one connection until `until`. Returns how many requests got no answer.
fn read_steadily(record: &Record, address: std::net::SocketAddr, reader: u32, until: Instant) -> u32 {
    let mut unanswered = 0;
    let Ok(mut client) = TcpStream::connect(address) else { return 1 };
    let mut answers = BufReader::new(client.try_clone().unwrap());
    for number in 0.. {
        if Instant::now() > until {
            break;
        }
        // Between two requests the node may close the connection.
        if is_ended(&client) {
            record.line(&format!("client: the connection of reader {reader} has ended"));
            break;
        }
        let id = format!("read-{reader}-{number}");
        let written =
            client.write_all(read_request(&id, "entry-view", &format!("{reader}{number}"), 600).as_bytes());
        let outcome = receive(&client, &mut answers, Instant::now(), ms(1_100));
        if written.is_err() || outcome.status.is_none() {
            record.line(&format!("client: {id}: no answer, {}", outcome.error));
            unanswered += 1;
            break;
        }
        thread::sleep(REST);
    }
    unanswered
}

/// Writes a long request, in pieces if the disruption is played. Returns the status of the answer.
fn write_slowly(record: &Record, address: std::net::SocketAddr, writer: u32) -> Option<u16> {
    let id = format!("write-{writer}");
    let text = write_request(&id, "cert-build", &format!("w{writer}"), DEADLINE_MS, &"v".repeat(VALUE_BYTES));
    let mut client = TcpStream::connect(address).ok()?;
    let _ = client.set_nodelay(true);
    let began = Instant::now();
    let size = if trouble() { PIECE_BYTES } else { text.len() };
    let mut written = true;
    for (index, piece) in text.as_bytes().chunks(size).enumerate() {
        if index > 0 {
            thread::sleep(PAUSE);
        }
        written = written && client.write_all(piece).is_ok();
        if !written {
            break;
        }
    }
    let last_byte = Instant::now();
    let mut answers = BufReader::new(client.try_clone().unwrap());
    let outcome = receive(&client, &mut answers, last_byte, ms(DEADLINE_MS + 500));
    record.line(&format!(
        "client: {id}: written whole {written} in {:.2} s, answer {:?} {}",
        (last_byte - began).as_secs_f64(),
        outcome.status,
        outcome.error
    ));
    outcome.status
}
