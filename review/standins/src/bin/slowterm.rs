//! Case 2: a planned restart while some clients write slowly.

use review_standins::*;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Shorter deadlines than the site's.
const LANES: [Lane; 3] = [
    Lane { name: "entry-view", effect: "safe", promise_ms: 300, hard_limit_ms: 600, repeat_window_ms: 5000, worth: 5.0 },
    Lane { name: "name-check", effect: "safe", promise_ms: 150, hard_limit_ms: 500, repeat_window_ms: 5000, worth: 2.0 },
    Lane { name: "cert-build", effect: "safe", promise_ms: 350, hard_limit_ms: 700, repeat_window_ms: 5000, worth: 5.0 },
];
/// SIGKILL comes no sooner than the longest deadline and 0.7 s more after SIGTERM.
const KILL_AFTER: Duration = Duration::from_millis(700 + 700 + 20);
/// What SIGKILL finds unanswered is lost if it came more than this after SIGTERM.
const LAST: Duration = Duration::from_millis(700);
/// The work of a `cert-build`; the brief has 140 to 250 ms.
const WORK: Duration = Duration::from_millis(240);
/// From the first byte of a slow request to its last.
const WRITING: Duration = Duration::from_millis(900);
const PIECES: u32 = 10;
/// A try is given up after 50 to 60% of the class's deadline.
const DEADLINE_MS: u64 = 420;
/// Clients that write slowly, each on a connection of its own.
const CLIENTS: u32 = 14;
/// Ordinary clients, one request after the other.
const ORDINARY: u32 = 14;
const ROUNDS: u32 = 3;

type Moment = Arc<Mutex<Option<Instant>>>;

fn cache_server(id: &'static str, record: Record) -> SocketAddr {
    let (listener, address) = listen();
    serve(listener, move |mut stream: TcpStream| {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        while let Ok(Some(request)) = Message::read(&mut reader) {
            let request_id = request.header("req-id").unwrap_or_default().to_owned();
            record.line(format!("{id} got {request_id}"));
            // A cache server is not told the class; the keys of the certificates begin with 1.
            let is_build = path_key(&request).starts_with('1');
            thread::sleep(if is_build { WORK } else { Duration::from_millis(40) });
            let text = response("200 OK", "Srv-Load: latency_ms=250,queue=0\r\n", &format!("made for {request_id}"));
            if stream.write_all(text.as_bytes()).is_err() {
                return;
            }
            record.line(format!("{id} answered {request_id}"));
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
    let servers: Vec<_> = ["s-1", "s-2", "s-3", "s-4", "s-5"].into_iter().map(|id| (id, cache_server(id, setup.record.clone()))).collect();
    let discovery = Discovery::start(&servers);
    let (mut taken, mut lost) = (0, 0);
    for round in 0..ROUNDS {
        let name = format!("n{round}");
        let config = config(&name, discovery.address, &discovery.list(), &LANES, 3);
        let mut node = Node::start(setup, &name, discovery.address, &config);
        let (terminated, killed) = (Moment::default(), Moment::default());
        let clients: Vec<_> = (0..CLIENTS)
            .map(|number| {
                let (record, address) = (setup.record.clone(), node.address);
                let (terminated, killed) = (terminated.clone(), killed.clone());
                thread::spawn(move || {
                    // They begin one after the other, from 0.9 s before SIGTERM to 0.39 s after it: new
                    // connections go on coming for 0.2 to 0.4 s.
                    thread::sleep(Duration::from_millis(100) * number + Duration::from_millis(90));
                    slow_client(&record, address, &terminated, &killed, round * CLIENTS + number)
                })
            })
            .collect();
        let stop = Arc::new(AtomicBool::new(false));
        let ordinary: Vec<_> = (0..ORDINARY)
            .map(|number| {
                let (record, address, stop) = (setup.record.clone(), node.address, stop.clone());
                thread::spawn(move || ordinary_client(&record, address, &stop, number))
            })
            .collect();
        thread::sleep(Duration::from_millis(1000));
        if setup.trouble {
            node.signal("TERM");
            // Counted from when the signal has been sent, so that SIGKILL is not too early.
            let now = Instant::now();
            *terminated.lock().unwrap() = Some(now);
            setup.record.line(format!("SIGTERM to {name}"));
            thread::sleep(KILL_AFTER.saturating_sub(now.elapsed()));
            let ended = node.has_exited();
            *killed.lock().unwrap() = Some(Instant::now());
            node.kill();
            setup.record.line(format!("{name}: {}", if ended { "has ended by itself" } else { "SIGKILL" }));
        }
        thread::sleep(Duration::from_millis(if setup.trouble { 0 } else { 1420 }));
        stop.store(true, Ordering::SeqCst);
        ordinary.into_iter().for_each(|client| drop(client.join()));
        for client in clients {
            let (was_taken, was_lost) = client.join().unwrap_or((0, 0));
            taken += was_taken;
            lost += was_lost;
        }
        node.record_log(&setup.record);
    }
    let summary = format!(
        "{taken} requests were written whole, {lost} of them came over 0.7 s after SIGTERM and had no answer at SIGKILL"
    );
    if taken == 0 {
        setup.record.say(&summary);
        return 2;
    }
    verdict(setup, lost > 0, &summary)
}

/// Sends one request after the other, until the node takes no more connections or `stop` is set.
fn ordinary_client(record: &Record, node: SocketAddr, stop: &AtomicBool, number: u32) {
    let mut connection: Option<Client> = None;
    while !stop.load(Ordering::SeqCst) {
        let id = new_id();
        if connection.is_none() {
            connection = Client::connect(node).ok();
        }
        let Some(client) = &mut connection else { return };
        record.line(format!("ordinary client {number} sent {id}"));
        let answer = client.exchange(&read_request("entry-view", u64::from(number) * 31 + 7, &id, 330));
        let end = answer.as_ref().map_or_else(ToString::to_string, |answer| answer.start.clone());
        record.line(format!("ordinary client {number}: {id}: {end}"));
        if !matches!(&answer, Ok(answer) if !answer.closes()) {
            connection = None;
        }
        thread::sleep(Duration::from_millis(60));
    }
}

/// Writes one request in pieces. Returns whether it was written whole, and whether it was lost: SIGKILL found it
/// unanswered, and it came more than 0.7 s after SIGTERM.
fn slow_client(record: &Record, node: SocketAddr, terminated: &Moment, killed: &Moment, number: u32) -> (u32, u32) {
    let id = new_id();
    let text = read_request("cert-build", (1 << 60) + u64::from(number) * 7919, &id, DEADLINE_MS);
    let Ok(mut client) = Client::connect(node) else { return (0, 0) };
    let connected = Instant::now();
    let term = || terminated.lock().unwrap().map(|at| connected.saturating_duration_since(at));
    record.line(format!("client {number} connects and begins {id}, {:?} after SIGTERM", term()));
    let size = text.len().div_ceil(PIECES as usize);
    for (index, piece) in text.as_bytes().chunks(size).enumerate() {
        if index > 0 {
            thread::sleep(WRITING / (PIECES - 1));
        }
        // The node may close a connection on which no whole request has come: nothing is taken then.
        if has_unread(&client.stream) || client.stream.write_all(piece).is_err() {
            record.line(format!("client {number}: closed before {id} was whole"));
            return (0, 0);
        }
    }
    let written = Instant::now();
    let after_term = terminated.lock().unwrap().map(|at| written.saturating_duration_since(at));
    record.line(format!("client {number}: {id} is written whole, {after_term:?} after SIGTERM"));
    let answer = Message::read(&mut client.reader);
    let took = written.elapsed();
    match answer {
        Ok(Some(answer)) => {
            record.line(format!("client {number}: {id}: {} after {took:?}", answer.start));
            (1, 0)
        }
        // A close that crosses the last piece takes nothing; the client would send the request once more.
        end if killed.lock().unwrap().is_none() => {
            record.line(format!("client {number}: {id}: closed by the node, {end:?} after {took:?}"));
            (1, 0)
        }
        end => {
            let lost = after_term.is_some_and(|after| after > LAST);
            let mark = if lost { "LOST: " } else { "" };
            record.line(format!("{mark}client {number}: {id}: no answer at SIGKILL, {end:?}, {took:?} after its last byte"));
            (1, u32::from(lost))
        }
    }
}
