//! Clients that use their connections until these end, and what they find broken.

use crate::common::{read_request, Client, Message};
use std::collections::BTreeSet;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// The time that clients give a request.
pub const DEADLINE: Duration = Duration::from_millis(500);
/// An answer later than this after its deadline is lost, by the operators' acceptance.
const LOST_AFTER: Duration = Duration::from_millis(500);
/// The pause of a client between two requests.
const PAUSE: Duration = Duration::from_millis(3);
const NEVER: u64 = u64::MAX;

/// What all clients of a run share.
#[derive(Debug)]
pub struct Shared {
    address: SocketAddr,
    started_at: Instant,
    /// From this time on, in milliseconds of the run, no new connection is opened.
    no_connections_from_ms: AtomicU64,
    next_request: AtomicU64,
    answered: AtomicU64,
    /// Requests whose connection ended before the node read them, as far as the client can tell.
    closed_unread: Mutex<BTreeSet<u64>>,
    broken: Mutex<Vec<String>>,
}

/// How an exchange ended.
enum End {
    Answered { stays_open: bool },
    Closed,
    TimedOut,
}

/// Running clients.
pub struct Clients {
    shared: Arc<Shared>,
    threads: Vec<JoinHandle<()>>,
}

/// What the clients of a run found.
#[derive(Debug)]
pub struct Findings {
    /// The number of answers.
    pub answered: u64,
    /// Requests that were closed unread. None of them may have reached a cache server.
    pub closed_unread: BTreeSet<u64>,
    /// What broke a rule.
    pub broken: Vec<String>,
}

impl Clients {
    /// Starts this number of clients, a thread each. Requests are numbered from `first_request`.
    pub fn start(address: SocketAddr, count: usize, first_request: u64) -> Self {
        let shared = Arc::new(Shared {
            address,
            started_at: Instant::now(),
            no_connections_from_ms: AtomicU64::new(NEVER),
            next_request: AtomicU64::new(first_request),
            answered: AtomicU64::new(0),
            closed_unread: Mutex::default(),
            broken: Mutex::default(),
        });
        let start = |_| {
            let shared = shared.clone();
            thread::spawn(move || shared.run_client())
        };
        Self { threads: (0..count).map(start).collect(), shared }
    }

    /// No new connection is opened from this time after now on: the front has noticed.
    pub fn stop_connecting_in(&self, time: Duration) {
        let at = (self.shared.started_at.elapsed() + time).as_millis() as u64;
        self.shared.no_connections_from_ms.fetch_min(at, Ordering::SeqCst);
    }

    /// Waits until each client's connection has ended.
    pub fn join(self) -> Findings {
        self.threads.into_iter().for_each(|thread| thread.join().expect("no panic"));
        let lock = |found: &Mutex<Vec<String>>| found.lock().expect("no panic").clone();
        Findings {
            answered: self.shared.answered.load(Ordering::SeqCst),
            closed_unread: self.shared.closed_unread.lock().expect("no panic").clone(),
            broken: lock(&self.shared.broken),
        }
    }
}

impl Shared {
    fn may_connect(&self) -> bool {
        (self.started_at.elapsed().as_millis() as u64) < self.no_connections_from_ms.load(Ordering::SeqCst)
    }

    fn connect(&self) -> Option<Client> {
        if !self.may_connect() {
            return None;
        }
        let stream = TcpStream::connect(self.address).ok()?;
        stream.set_nodelay(true).ok()?;
        Some(Client::from(stream))
    }

    fn run_client(&self) {
        let mut connection = None;
        loop {
            let reused = connection.is_some();
            let Some(client) = connection.take().or_else(|| self.connect()) else {
                if self.may_connect() {
                    // No process listens in this moment.
                    thread::sleep(PAUSE);
                    continue;
                }
                return;
            };
            connection = self.send_request(client, reused);
            thread::sleep(PAUSE);
        }
    }

    /// Sends a request, and once more on a new connection if an idle one was closed. Returns the connection if it is open.
    fn send_request(&self, mut client: Client, reused: bool) -> Option<Client> {
        let request = self.next_request.fetch_add(1, Ordering::SeqCst);
        let sent_at = Instant::now();
        match exchange(&mut client, request) {
            End::Answered { stays_open } => {
                self.answered.fetch_add(1, Ordering::SeqCst);
                return stays_open.then_some(client);
            }
            End::Closed if reused => {
                self.closed_unread.lock().expect("no panic").insert(request);
            }
            End::Closed => self.found(request, sent_at, "was closed without an answer on a new connection"),
            End::TimedOut => self.found(request, sent_at, "was never answered"),
        }
        None
    }

    fn found(&self, request: u64, sent_at: Instant, what: &str) {
        let at = sent_at.duration_since(self.started_at);
        self.broken.lock().expect("no panic").push(format!("request {request:x} of {at:?} {what}"));
    }
}

fn exchange(client: &mut Client, request: u64) -> End {
    use std::io::{ErrorKind, Write};
    let text = read_request("read", request, DEADLINE.as_millis() as u64);
    client.0.get_ref().set_read_timeout(Some(DEADLINE + LOST_AFTER)).expect("a timeout");
    if client.0.get_mut().write_all(text.as_bytes()).is_err() {
        return End::Closed;
    }
    match Message::read(&mut client.0) {
        Ok(Some(message)) => End::Answered { stays_open: message.header("connection") != Some("close") },
        Ok(None) => End::Closed,
        Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => End::TimedOut,
        Err(_) => End::Closed,
    }
}
