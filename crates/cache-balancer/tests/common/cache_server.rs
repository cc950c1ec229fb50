//! Stand-in cache servers whose behavior the test chooses.

use super::http::{response, Message};
use serde_json::{json, Value};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;

/// The behavior of a stand-in server for one request.
pub enum ServerBehavior {
    /// Sends this response and keeps the connection open.
    Respond(String),
    /// Sends this text, which may be empty or only part of a response, and closes the connection.
    RespondAndClose(String),
    /// Sends nothing and keeps reading until the node closes the connection.
    NoResponse,
}

/// A gate that delays responses until it is opened.
#[derive(Clone, Default)]
pub struct Gate(Arc<(Mutex<bool>, Condvar)>);

impl Gate {
    /// Releases all waiting threads and lets later ones pass.
    pub fn open(&self) {
        *self.0 .0.lock().unwrap() = true;
        self.0 .1.notify_all();
    }

    /// Blocks until the gate is open.
    pub fn wait(&self) {
        let closed = self.0 .0.lock().unwrap();
        drop(self.0 .1.wait_while(closed, |open| !*open).unwrap());
    }
}

/// A stand-in cache server on loopback. It accepts connections until the test process ends.
pub struct CacheServer {
    /// The address on which it listens.
    pub address: SocketAddr,
    /// The received requests, in order of arrival.
    pub received: Arc<Mutex<Vec<Message>>>,
    /// The number of accepted connections.
    pub connections: Arc<AtomicU32>,
    /// The number of connections that the node has closed.
    pub closed: Arc<AtomicU32>,
}

impl CacheServer {
    /// Starts a server with this behavior for each request.
    pub fn start(behavior: impl Fn(&Message) -> ServerBehavior + Send + Sync + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let server = Self {
            address: listener.local_addr().unwrap(),
            received: Arc::default(),
            connections: Arc::default(),
            closed: Arc::default(),
        };
        let (received, connections, closed) =
            (server.received.clone(), server.connections.clone(), server.closed.clone());
        let behavior = Arc::new(behavior);
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                connections.fetch_add(1, Ordering::SeqCst);
                let (received, closed, behavior) = (received.clone(), closed.clone(), behavior.clone());
                thread::spawn(move || {
                    let mut reader = BufReader::new(stream.try_clone().unwrap());
                    let mut stream = stream;
                    while let Ok(Some(message)) = Message::read(&mut reader) {
                        received.lock().unwrap().push(message.clone());
                        match behavior(&message) {
                            ServerBehavior::Respond(text) => drop(stream.write_all(text.as_bytes())),
                            ServerBehavior::RespondAndClose(text) => {
                                return drop(stream.write_all(text.as_bytes()))
                            }
                            ServerBehavior::NoResponse => {}
                        }
                    }
                    closed.fetch_add(1, Ordering::SeqCst);
                });
            }
        });
        server
    }

    /// Starts a server that responds to each request with `200 OK` and this body.
    pub fn serving(body: &'static str) -> Self {
        Self::start(move |_| ServerBehavior::Respond(response("200 OK", "", body)))
    }

    /// Starts a server that responds to each request with this body once the returned gate is open.
    pub fn gated(body: &'static str) -> (Self, Gate) {
        let gate = Gate::default();
        let opened = gate.clone();
        let serve = move |_: &Message| {
            opened.wait();
            ServerBehavior::Respond(response("200 OK", "", body))
        };
        (Self::start(serve), gate)
    }

    /// Starts a server that closes the connection of request 1 without a response once `gate` is open, and
    /// responds to all others at once.
    pub fn disconnecting_first_request(gate: &Gate) -> Self {
        let opened = gate.clone();
        Self::start(move |request| {
            if request.header("req-id") != Some("1") {
                return ServerBehavior::Respond(response("200 OK", "", "value"));
            }
            opened.wait();
            ServerBehavior::RespondAndClose(String::new())
        })
    }

    /// Returns the number of received requests.
    pub fn request_count(&self) -> usize {
        self.received.lock().unwrap().len()
    }

    /// Returns the endpoint list entry of this server with this state (`health` on the wire).
    pub fn endpoint(&self, name: &str, health: &str) -> Value {
        endpoint(name, self.address, health)
    }
}

/// Returns an endpoint list entry as discovery sends it, with this id, address (`dial`) and state (`health`).
pub fn endpoint(name: &str, address: SocketAddr, health: &str) -> Value {
    json!({"host": name, "dial": address.to_string(), "site": "a", "class": "m2", "block": 0,
           "health": health, "share": 1.0, "born_ms": 0})
}
