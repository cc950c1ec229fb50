//! A soak under restarts: a node and its successors under signals in series, with clients that use their connections until
//! these end and a kill at the platform's earliest. Seeded; `SOAK_SEEDS` names other seeds, for example `1..50`.

mod common;
mod handover_support;
mod soak_support;

use common::*;
use handover_support::{static_pool, Fixture};
use soak_support::clients::{Clients, Findings, DEADLINE};
use soak_support::crowd;
use soak_support::processes::Processes;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

/// Seeds in CI.
const DEFAULT_SEEDS: std::ops::RangeInclusive<u64> = 1..=8;
const CLIENTS: usize = 8;
const CROWD: usize = 300;
/// The platform kills a process no earlier than this after it was told to stop: the longest deadline and 0.7 s.
const KILL_AFTER: Duration = DEADLINE.saturating_add(Duration::from_millis(700));
/// Clients open connections for no longer than this after the first process was told to stop.
const FRONT_NOTICES_AFTER: Duration = Duration::from_millis(300);
const LONGEST_GAP: Duration = Duration::from_secs(1);
const LONGEST_WORK: Duration = Duration::from_millis(80);
const STEP: Duration = Duration::from_millis(5);
/// The number of requests that a run may send.
const REQUESTS_OF_A_RUN: u64 = 1 << 32;

/// A run: what is started, and which signals come.
struct Run {
    random: fastrand::Rng,
    processes: Processes,
    clients: Clients,
    killed: usize,
}

impl Run {
    /// Lets this time pass, in which processes appear and overdue ones are killed.
    fn wait(&mut self, time: Duration) {
        let end = Instant::now() + time;
        loop {
            self.processes.discover();
            self.killed += self.processes.kill_overdue(KILL_AFTER);
            if Instant::now() >= end {
                return;
            }
            thread::sleep(STEP);
        }
    }

    /// A random time up to the longest gap; in one of three cases none.
    fn gap(&mut self) -> Duration {
        if self.random.u32(..3) == 0 {
            return Duration::ZERO;
        }
        LONGEST_GAP.mul_f64(self.random.f64().powi(2))
    }

    /// Sends a signal to a random process.
    fn signal_one(&mut self, name: &str) {
        let running = self.processes.running();
        if let Some(id) = self.random.choice(running) {
            self.processes.signal(id, name);
        }
    }

    /// Signals that go on serving, then termination of one, and of all.
    fn play(&mut self) {
        self.wait(Duration::from_millis(200));
        for _ in 0..self.random.u32(..4) {
            let name = if self.random.bool() { "-USR2" } else { "-HUP" };
            self.signal_one(name);
            let gap = self.gap();
            self.wait(gap);
        }
        self.clients.stop_connecting_in(FRONT_NOTICES_AFTER);
        self.signal_one("-TERM");
        let gap = self.gap();
        self.wait(gap);
        if self.random.bool() {
            self.signal_one("-HUP");
        }
        while !self.processes.running().is_empty() {
            for id in self.processes.running() {
                self.processes.signal(id, "-TERM");
            }
            let gap = self.gap().max(STEP);
            self.wait(gap);
        }
    }
}

/// Plays one seed. Returns what broke.
fn play(seed: u64) -> Vec<String> {
    let server = CacheServer::start(|request| {
        let id = request.header("req-id").map_or(0, |id| u64::from_str_radix(id, 16).unwrap_or(0));
        thread::sleep(LONGEST_WORK.mul_f64(fastrand::Rng::with_seed(id).f64()));
        ServerBehavior::Respond(response("200 OK", "", "value"))
    });
    let mut random = fastrand::Rng::with_seed(seed);
    let (with_operator_file, with_crowd) = (random.bool(), random.u32(..3) == 0);
    let discovery = Discovery::start(&[server.entry("s-1", "ready")]);
    let fixture = Fixture::new(&static_pool(&server), "2s");
    let node = if with_operator_file {
        fixture.start_ready()
    } else {
        Node::start_ready(&config(discovery.address))
    };
    let crowd = if with_crowd { crowd::open(node.address, CROWD) } else { Vec::new() };
    let (findings, killed) = run(&node, node.address, random, seed);
    drop(crowd);
    let forwarded: BTreeSet<u64> = {
        let received = server.received.lock().unwrap();
        let ids = received.iter().filter_map(|request| request.header("req-id"));
        ids.filter_map(|id| u64::from_str_radix(id, 16).ok()).collect()
    };
    let Findings { answered, closed_unread, mut broken } = findings;
    let lost = closed_unread.intersection(&forwarded);
    broken.extend(lost.map(|request| format!("request {request:x} was forwarded and its connection closed")));
    if answered == 0 {
        broken.push("no request was answered".into());
    }
    if node.logged("panicked") > 0 {
        broken.push("a process panicked".into());
    }
    eprintln!(
        "seed {seed}: operator's file {with_operator_file}, crowd {with_crowd}: {answered} answered, {} closed unread, \
         {killed} killed, {} broken",
        closed_unread.len(),
        broken.len()
    );
    broken.into_iter().map(|what| format!("seed {seed}: {what}")).collect()
}

fn run(node: &Node, address: SocketAddr, random: fastrand::Rng, seed: u64) -> (Findings, usize) {
    let clients = Clients::start(address, CLIENTS, seed * REQUESTS_OF_A_RUN);
    let mut run = Run { random, processes: Processes::of(node), clients, killed: 0 };
    run.play();
    (run.clients.join(), run.killed)
}

fn seeds() -> std::ops::RangeInclusive<u64> {
    let Ok(text) = std::env::var("SOAK_SEEDS") else { return DEFAULT_SEEDS };
    let (first, last) = text.split_once("..").expect("SOAK_SEEDS: FIRST..LAST");
    first.parse().expect("the first seed")..=last.parse().expect("the last seed")
}

/// Requests could be lost, or processes left, where signals cross each other, a hand-over or the end of connections.
#[test]
fn no_request_is_lost_and_no_process_left_under_signals_in_series() {
    let broken: Vec<String> = seeds().flat_map(play).collect();
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}
