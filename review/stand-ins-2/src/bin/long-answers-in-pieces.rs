//! Cache servers write long answers in pieces. The node keeps a buffer of its own for each piece until the answer
//! is whole, goes over its memory limit, and is killed by the platform with all that it has taken.

use review_stand_ins_2::*;
use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

/// The limits of the node: those of a narrow day of the operators' bench.
const MEMORY_MB: u64 = 64;
const SOCKETS: u32 = 672;
/// The reads that are open at once, and their answers: a value of 64 KiB in pieces of 64 bytes.
const READS: u32 = 24;
const VALUE_BYTES: usize = 64 << 10;
const PIECE_BYTES: usize = 64;
/// From one piece to the next: an answer is written within 1.9 s.
const STEP: Duration = Duration::from_micros(1_800);
const DEADLINE_MS: u64 = 2_400;

fn main() {
    let record = Record::create();
    let servers: Vec<_> = (1..=4)
        .map(|number| {
            Server::start(&record, &format!("s-{number}"), |_, stream| {
                let text = answer("200 OK", "", &"v".repeat(VALUE_BYTES));
                let size = if trouble() { PIECE_BYTES } else { text.len() };
                let began = Instant::now();
                for (index, piece) in (0..).zip(text.as_bytes().chunks(size)) {
                    thread::sleep((began + STEP * index).saturating_duration_since(Instant::now()));
                    if stream.write_all(piece).is_err() {
                        return Act::Done(false);
                    }
                }
                Act::Done(true)
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
    let clients: Vec<_> = (0..READS)
        .map(|number| {
            let record = record.clone();
            thread::spawn(move || {
                let id = format!("read-{number}");
                let mut client = TcpStream::connect(address).ok()?;
                let text = read_request(&id, "cert-build", &format!("7f{number:02x}"), DEADLINE_MS);
                client.write_all(text.as_bytes()).ok()?;
                let mut answers = BufReader::new(client.try_clone().unwrap());
                let outcome = receive(&client, &mut answers, Instant::now(), ms(DEADLINE_MS + 500));
                record.line(&format!(
                    "client: {id}: {:?}, {} bytes after {:.2} s {}",
                    outcome.status,
                    outcome.body.len(),
                    outcome.took.as_secs_f64(),
                    outcome.error
                ));
                outcome.status
            })
        })
        .collect();
    let answers: Vec<_> = clients.into_iter().map(|client| client.join().unwrap()).collect();
    let (over, most_kb) = platform.end();
    let answered = answers.iter().filter(|status| status.is_some()).count();
    let facts = format!(
        "{READS} reads of {} KiB each, {answered} answered; most memory {:.1} MiB of {MEMORY_MB}",
        VALUE_BYTES >> 10,
        most_kb as f64 / 1024.0
    );
    verdict(&record, over, &facts);
}
