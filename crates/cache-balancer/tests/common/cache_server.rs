//! Cache servers whose behaviour a test sets.

use super::http::{answer, Message};
use serde_json::{json, Value};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;

/// What a cache server does with a request.
pub enum Does {
    /// Writes this and keeps the connection.
    Answer(String),
    /// Writes this and closes the connection.
    Close(String),
    /// Writes nothing, until the node closes the connection.
    Nothing,
}

/// Holds responses back until it is opened.
#[derive(Clone, Default)]
pub struct Gate(Arc<(Mutex<bool>, Condvar)>);

impl Gate {
    /// Lets all pass that wait, and all that come.
    pub fn open(&self) {
        *self.0 .0.lock().unwrap() = true;
        self.0 .1.notify_all();
    }

    /// Waits until it is open.
    pub fn wait(&self) {
        let closed = self.0 .0.lock().unwrap();
        drop(self.0 .1.wait_while(closed, |open| !*open).unwrap());
    }
}

/// A cache server.
pub struct CacheServer {
    /// Where it listens.
    pub address: SocketAddr,
    /// The requests that it has received, in order.
    pub asked: Arc<Mutex<Vec<Message>>>,
    /// The number of connections that it has accepted.
    pub connections: Arc<AtomicU32>,
    /// The number of connections that the node has closed.
    pub closed: Arc<AtomicU32>,
}

impl CacheServer {
    /// One that does this with each request.
    pub fn start(does: impl Fn(&Message) -> Does + Send + Sync + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let server = Self {
            address: listener.local_addr().unwrap(),
            asked: Arc::default(),
            connections: Arc::default(),
            closed: Arc::default(),
        };
        let (asked, connections, closed) =
            (server.asked.clone(), server.connections.clone(), server.closed.clone());
        let does = Arc::new(does);
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                connections.fetch_add(1, Ordering::SeqCst);
                let (asked, closed, does) = (asked.clone(), closed.clone(), does.clone());
                thread::spawn(move || {
                    let mut reader = BufReader::new(stream.try_clone().unwrap());
                    let mut stream = stream;
                    while let Ok(Some(message)) = Message::read(&mut reader) {
                        asked.lock().unwrap().push(message.clone());
                        match does(&message) {
                            Does::Answer(text) => drop(stream.write_all(text.as_bytes())),
                            Does::Close(text) => return drop(stream.write_all(text.as_bytes())),
                            Does::Nothing => {}
                        }
                    }
                    closed.fetch_add(1, Ordering::SeqCst);
                });
            }
        });
        server
    }

    /// One that serves each request with this body.
    pub fn serving(body: &'static str) -> Self {
        Self::start(move |_| Does::Answer(answer("200 OK", "", body)))
    }

    /// One that serves each request with this body once the gate is open.
    pub fn gated(body: &'static str) -> (Self, Gate) {
        let gate = Gate::default();
        let held = gate.clone();
        let serve = move |_: &Message| {
            held.wait();
            Does::Answer(answer("200 OK", "", body))
        };
        (Self::start(serve), gate)
    }

    /// One that closes the connection of request 1 without a response once the gate is open, and serves all
    /// others.
    pub fn breaking_the_first(gate: &Gate) -> Self {
        let held = gate.clone();
        Self::start(move |asked| {
            if asked.header("req-id") != Some("1") {
                return Does::Answer(answer("200 OK", "", "value"));
            }
            held.wait();
            Does::Close(String::new())
        })
    }

    /// The number of requests that it has received.
    pub fn count(&self) -> usize {
        self.asked.lock().unwrap().len()
    }

    /// Its entry of an endpoint list.
    pub fn entry(&self, name: &str, health: &str) -> Value {
        host(name, self.address, health)
    }
}

/// An entry of an endpoint list.
pub fn host(name: &str, dial: SocketAddr, health: &str) -> Value {
    json!({"host": name, "dial": dial.to_string(), "site": "a", "class": "m2", "block": 0,
           "health": health, "share": 1.0, "born_ms": 0})
}
