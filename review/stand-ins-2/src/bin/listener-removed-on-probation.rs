//! A node has been upgraded. While the new process is on probation, a reload removes a listener. The new process
//! closes it; the old one holds its socket open and accepts nothing on it.

use review_stand_ins_2::*;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

const REQUESTS: u32 = 10;
/// When the requests are sent, from the reload: the front goes on sending to an address that is dead for 0.85 to
/// 2.9 s.
const FIRST_REQUEST: Duration = Duration::from_millis(600);
const STEP: Duration = Duration::from_millis(100);
const NOTICED_AFTER: Duration = Duration::from_millis(2_900);
const DEADLINE_MS: u64 = 600;
/// Up to half a second after its time an answer is only late.
const LOST_AFTER: Duration = Duration::from_millis(DEADLINE_MS + 500);

fn main() {
    let record = Record::create();
    let server = Server::start(&record, "s-1", |_, _| Act::Send(ms(10), answer("200 OK", "", "value")));
    let discovery = Discovery::start(&record, vec![("s-1".into(), server.entry("ready"))]);
    let (kept, removed) = (free_address(), free_address());
    let folder = temporary_folder("n0");
    write_file(&folder, &[("clients", kept), ("counter", removed)], &discovery);
    let first = OperatorNode::start(&record, "first process", &folder);
    wait_until("the first process", || healthz(kept) == 200 && healthz(removed) == 200);
    thread::sleep(ms(300));
    let second = OperatorNode::start(&record, "second process", &folder);
    thread::sleep(ms(500));
    wait_until("the second process", || healthz(kept) == 200 && healthz(removed) == 200);
    record.line("the upgrade is over: the second process serves on both listeners, on probation");

    if trouble() {
        write_file(&folder, &[("clients", kept)], &discovery);
        record.line(&format!("operator: takes the listener at {removed} out of the file, and SIGHUP"));
        second.reload();
    }
    let reloaded = Instant::now();
    let clients: Vec<_> = (1..=REQUESTS)
        .map(|number| {
            let at = reloaded + FIRST_REQUEST + STEP * number;
            thread::sleep(at.saturating_duration_since(Instant::now()));
            let record = record.clone();
            thread::spawn(move || send(&record, &format!("r-{number}"), removed))
        })
        .collect();
    if reloaded.elapsed() > NOTICED_AFTER {
        cannot_run("the machine was too slow: the front has noticed");
    }
    let lost = clients.into_iter().map(|client| u32::from(client.join().unwrap())).sum::<u32>();
    let facts = format!(
        "{REQUESTS} requests to {removed} within {:.1} s after {}; {lost} of them were written whole on an accepted \
         connection and have no answer {:.1} s later",
        NOTICED_AFTER.as_secs_f64(),
        if trouble() { "the reload that removes this listener" } else { "the upgrade, without a reload" },
        LOST_AFTER.as_secs_f64()
    );
    drop(second);
    drop(first);
    verdict(&record, lost > 0, &facts);
}

/// Sends a request as a client that tries again elsewhere where its connection is refused. Returns whether the
/// request was written whole on an accepted connection and got no answer.
fn send(record: &Record, id: &str, address: SocketAddr) -> bool {
    let mut client = match TcpStream::connect_timeout(&address, ms(200)) {
        Ok(client) => client,
        Err(error) => {
            record.line(&format!("client: {id}: not connected, {error}"));
            return false;
        }
    };
    let text = read_request(id, "entry-view", &format!("7f{id}"), DEADLINE_MS);
    if client.write_all(text.as_bytes()).is_err() {
        record.line(&format!("client: {id}: not written"));
        return false;
    }
    let mut answers = BufReader::new(client.try_clone().unwrap());
    let outcome = receive(&client, &mut answers, Instant::now(), LOST_AFTER);
    record.line(&format!(
        "client: {id}: {:?} after {:.2} s {}",
        outcome.status,
        outcome.took.as_secs_f64(),
        outcome.error
    ));
    outcome.status.is_none()
}

fn write_file(folder: &Path, listeners: &[(&str, SocketAddr)], discovery: &Discovery) {
    let listeners: Vec<_> = listeners
        .iter()
        .map(|(name, address)| format!("[[listener]]\nname = \"{name}\"\naddress = \"{address}\"\n"))
        .collect();
    let text = format!(
        "version = 1\nname = \"n0\"\nnodes = 1\n[limits]\ndescriptors = 1024\n[servers]\nconnect_timeout = \"75ms\"\n\
         idle = \"60s\"\n[hand_over]\nsocket = \"h.sock\"\n{}[[pool]]\nname = \"records\"\n\
         discovery = \"{}\"\n[[class]]\nname = \"entry-view\"\neffect = \"safe\"\naim = \"300ms\"\n\
         deadline = \"600ms\"\nworth = 5.0\n",
        listeners.concat(),
        discovery.address
    );
    let written = std::fs::write(folder.join("node.toml"), text);
    written.unwrap_or_else(|error| cannot_run(&error.to_string()));
}
