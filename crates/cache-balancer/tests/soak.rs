//! Soak test of restarts. A node and its successors get series of random signals, while clients reuse their
//! connections until these are closed. Processes are killed as early as the platform may kill them.
//! `SOAK_SEEDS` selects other seeds, for example `1..50`.

mod common;
mod handover_support;
mod soak_support;

use common::*;
use handover_support::{static_pool, Fixture};
use soak_support::clients::{Clients, Findings, DEADLINE};
use soak_support::idle_connections;
use soak_support::processes::Processes;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

/// Seeds if `SOAK_SEEDS` is not set, as in CI.
const DEFAULT_SEEDS: std::ops::RangeInclusive<u64> = 1..=8;
const CLIENTS: usize = 8;
/// Number of connections that are opened and then left unused.
const IDLE_CONNECTIONS: usize = 300;
/// Earliest time after SIGTERM at which the platform kills a process: the longest deadline plus 0.7 s.
const KILL_AFTER: Duration = DEADLINE.saturating_add(Duration::from_millis(700));
/// Time after the first SIGTERM after which clients open no more connections.
const FRONT_NOTICE_DELAY: Duration = Duration::from_millis(300);
const MAX_GAP: Duration = Duration::from_secs(1);
const MAX_SERVICE_TIME: Duration = Duration::from_millis(80);
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Maximum number of requests of a run. It keeps the request numbers of different seeds apart.
const MAX_REQUESTS_PER_RUN: u64 = 1 << 32;

/// A run with one seed.
struct Run {
    random: fastrand::Rng,
    processes: Processes,
    clients: Clients,
    killed: usize,
}

impl Run {
    /// Waits for this time. Meanwhile discovers new processes and kills overdue ones.
    fn wait(&mut self, time: Duration) {
        let end = Instant::now() + time;
        loop {
            self.processes.discover();
            self.killed += self.processes.kill_overdue(KILL_AFTER);
            if Instant::now() >= end {
                return;
            }
            thread::sleep(POLL_INTERVAL);
        }
    }

    /// Returns a random time of at most [`MAX_GAP`]; zero in a third of the cases.
    fn random_gap(&mut self) -> Duration {
        if self.random.u32(..3) == 0 {
            return Duration::ZERO;
        }
        MAX_GAP.mul_f64(self.random.f64().powi(2))
    }

    /// Sends a signal to a random running process.
    fn signal_random_process(&mut self, name: &str) {
        let running = self.processes.running();
        if let Some(id) = self.random.choice(running) {
            self.processes.signal(id, name);
        }
    }

    /// Sends random reloads and upgrades, then terminates a random process, then all processes.
    fn send_signals(&mut self) {
        self.wait(Duration::from_millis(200));
        for _ in 0..self.random.u32(..4) {
            let name = if self.random.bool() { "-USR2" } else { "-HUP" };
            self.signal_random_process(name);
            let gap = self.random_gap();
            self.wait(gap);
        }
        self.clients.stop_connecting_in(FRONT_NOTICE_DELAY);
        self.signal_random_process("-TERM");
        let gap = self.random_gap();
        self.wait(gap);
        if self.random.bool() {
            self.signal_random_process("-HUP");
        }
        while !self.processes.running().is_empty() {
            for id in self.processes.running() {
                self.processes.signal(id, "-TERM");
            }
            let gap = self.random_gap().max(POLL_INTERVAL);
            self.wait(gap);
        }
    }
}

/// Runs the test with one seed and returns the failures.
fn run_seed(seed: u64) -> Vec<String> {
    let server = CacheServer::start(|request| {
        let id = request.header("req-id").map_or(0, |id| u64::from_str_radix(id, 16).unwrap_or(0));
        thread::sleep(MAX_SERVICE_TIME.mul_f64(fastrand::Rng::with_seed(id).f64()));
        ServerBehavior::Respond(response("200 OK", "", "value"))
    });
    let mut random = fastrand::Rng::with_seed(seed);
    let (with_operator_file, with_idle_connections) = (random.bool(), random.u32(..3) == 0);
    let discovery = Discovery::start(&[server.endpoint("s-1", "ready")]);
    let fixture = Fixture::new(&static_pool(&server), "2s");
    let node = if with_operator_file {
        fixture.start_ready()
    } else {
        Node::start_ready(&config(discovery.address))
    };
    let idle_connections = if with_idle_connections {
        idle_connections::open(node.address, IDLE_CONNECTIONS)
    } else {
        Vec::new()
    };
    let (findings, killed) = run_clients_and_signals(&node, node.address, random, seed);
    drop(idle_connections);
    let forwarded: BTreeSet<u64> = {
        let received = server.received.lock().unwrap();
        let ids = received.iter().filter_map(|request| request.header("req-id"));
        ids.filter_map(|id| u64::from_str_radix(id, 16).ok()).collect()
    };
    let Findings { answered, closed_unread, mut failures } = findings;
    let lost_requests = closed_unread.intersection(&forwarded);
    failures.extend(
        lost_requests.map(|request| format!("request {request:x} was forwarded and its connection closed")),
    );
    if answered == 0 {
        failures.push("no request was answered".into());
    }
    if node.logged("panicked") > 0 {
        failures.push("a process panicked".into());
    }
    eprintln!(
        "seed {seed}: operator's file {with_operator_file}, idle connections {with_idle_connections}: \
         {answered} answered, {} closed unread, {killed} killed, {} failures",
        closed_unread.len(),
        failures.len()
    );
    failures.into_iter().map(|failure| format!("seed {seed}: {failure}")).collect()
}

fn run_clients_and_signals(
    node: &Node,
    address: SocketAddr,
    random: fastrand::Rng,
    seed: u64,
) -> (Findings, usize) {
    let clients = Clients::start(address, CLIENTS, seed * MAX_REQUESTS_PER_RUN);
    let mut run = Run { random, processes: Processes::of(node), clients, killed: 0 };
    run.send_signals();
    (run.clients.join(), run.killed)
}

fn seeds() -> std::ops::RangeInclusive<u64> {
    let Ok(text) = std::env::var("SOAK_SEEDS") else { return DEFAULT_SEEDS };
    let (first, last) = text.split_once("..").expect("SOAK_SEEDS: FIRST..LAST");
    first.parse().expect("the first seed")..=last.parse().expect("the last seed")
}

/// Requests could be lost, or processes left, if signals coincide with each other, a hand-over or closing
/// connections.
#[test]
fn series_of_signals_lose_no_request_and_leave_no_process() {
    let failures: Vec<String> = seeds().flat_map(run_seed).collect();
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}
