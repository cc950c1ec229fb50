//! What a node needs around it, on loopback: cache servers and discovery that do as a test says, and clients.
#![allow(dead_code)]

use serde_json::{json, Value};
use std::collections::HashMap;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::os::unix::net::UnixDatagram;
use std::process::{Child, Command, ExitStatus, Output, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Far longer than anything here takes: a wait that reaches it has failed.
pub const PATIENCE: Duration = Duration::from_secs(60);

/// Waits until `done` holds.
pub fn wait_for(what: &str, mut done: impl FnMut() -> bool) {
    let start = Instant::now();
    while !done() {
        assert!(start.elapsed() < PATIENCE, "waited in vain for: {what}");
        thread::sleep(Duration::from_millis(5));
    }
}

/// The next word that a node tells its service's manager. A read with a time limit that a signal meets (also one that stops
/// and continues the whole test) is not taken up again by the system.
pub fn word(manager: &UnixDatagram) -> String {
    let mut bytes = [0; 4096];
    let length = loop {
        match manager.recv(&mut bytes) {
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            other => break other.expect("a word"),
        }
    };
    String::from_utf8(bytes[..length].to_vec()).unwrap().trim_end().to_owned()
}

/// An HTTP message as it came: its first line, its headers by lower-case name, its body.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Message {
    pub start: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    /// Reads one message; `None` where the connection ends first. A body that breaks off is an error.
    pub fn read(stream: &mut BufReader<TcpStream>) -> std::io::Result<Option<Self>> {
        let mut message = Self::default();
        loop {
            let mut line = String::new();
            if stream.read_line(&mut line)? == 0 {
                return Ok(None);
            }
            match line.trim_end() {
                "" => break,
                line if message.start.is_empty() => message.start = line.to_owned(),
                line => {
                    let (name, value) = line.split_once(':').unwrap();
                    message.headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
                }
            }
        }
        let length = message.header("content-length").map_or(0, |length| length.parse().unwrap());
        message.body = vec![0; length];
        stream.read_exact(&mut message.body)?;
        Ok(Some(message))
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }

    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).unwrap().parse().unwrap()
    }
}

pub fn answer(status: &str, headers: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len())
}

/// What a cache server does with a request.
pub enum Does {
    /// Writes this and goes on.
    Answer(String),
    /// Writes this and closes the connection.
    Close(String),
    /// Says nothing, until the node closes.
    Nothing,
}

/// Holds answers back until it is opened.
#[derive(Clone, Default)]
pub struct Gate(Arc<(Mutex<bool>, Condvar)>);

impl Gate {
    pub fn open(&self) {
        *self.0 .0.lock().unwrap() = true;
        self.0 .1.notify_all();
    }

    pub fn wait(&self) {
        let closed = self.0 .0.lock().unwrap();
        drop(self.0 .1.wait_while(closed, |open| !*open).unwrap());
    }
}

/// A cache server. It keeps what it was asked, in order.
pub struct CacheServer {
    pub address: SocketAddr,
    pub asked: Arc<Mutex<Vec<Message>>>,
    pub connections: Arc<AtomicU32>,
    /// Connections that the node has closed.
    pub closed: Arc<AtomicU32>,
}

impl CacheServer {
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

    /// One that serves everything with the same body.
    pub fn serving(body: &'static str) -> Self {
        Self::start(move |_| Does::Answer(answer("200 OK", "", body)))
    }

    /// One that answers each request with this body once it is let to.
    pub fn gated(body: &'static str) -> (Self, Gate) {
        let gate = Gate::default();
        let held = gate.clone();
        let serve = move |_: &Message| {
            held.wait();
            Does::Answer(answer("200 OK", "", body))
        };
        (Self::start(serve), gate)
    }

    pub fn count(&self) -> usize {
        self.asked.lock().unwrap().len()
    }

    pub fn entry(&self, name: &str, health: &str) -> Value {
        host(name, self.address, health)
    }
}

pub fn host(name: &str, dial: SocketAddr, health: &str) -> Value {
    json!({"host": name, "dial": dial.to_string(), "site": "a", "class": "m2", "block": 0,
           "health": health, "share": 1.0, "born_ms": 0})
}

struct Lists {
    seq: u64,
    body: String,
}

/// Discovery. It keeps the paths that it was asked for, in order.
pub struct Discovery {
    pub address: SocketAddr,
    pub asked: Arc<Mutex<Vec<String>>>,
    lists: Arc<(Mutex<Lists>, Condvar)>,
}

impl Discovery {
    /// Its whole list has version 1.
    pub fn start(hosts: &[Value]) -> Self {
        Self::start_at((Ipv4Addr::LOCALHOST, 0).into(), hosts)
    }

    /// The same at this address.
    pub fn start_at(address: SocketAddr, hosts: &[Value]) -> Self {
        let listener = TcpListener::bind(address).unwrap();
        let address = listener.local_addr().unwrap();
        let body = json!({"seq": 1, "whole": true, "hosts": hosts}).to_string();
        let lists = Arc::new((Mutex::new(Lists { seq: 1, body }), Condvar::new()));
        let asked: Arc<Mutex<Vec<String>>> = Arc::default();
        let (all, log) = (lists.clone(), asked.clone());
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let (lists, asked) = (all.clone(), log.clone());
                thread::spawn(move || {
                    let mut reader = BufReader::new(stream.try_clone().unwrap());
                    let mut stream = stream;
                    while let Ok(Some(message)) = Message::read(&mut reader) {
                        let path = message.start.split(' ').nth(1).unwrap().to_owned();
                        let after =
                            path.split_once("after=").map(|(_, rest)| rest.split('&').next().unwrap());
                        let after = after.map_or(0, |after| after.parse().unwrap());
                        asked.lock().unwrap().push(path);
                        let (list, news) = &*lists;
                        let list = news
                            .wait_timeout_while(list.lock().unwrap(), PATIENCE, |list| list.seq <= after)
                            .unwrap()
                            .0;
                        if stream.write_all(answer("200 OK", "", &list.body).as_bytes()).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        Self { address, asked, lists }
    }

    /// Tells of a whole list, or of changes, with the next version.
    pub fn tell(&self, whole: bool, hosts: &[Value]) {
        let seq = self.lists.0.lock().unwrap().seq + 1;
        self.tell_text(json!({"seq": seq, "whole": whole, "hosts": hosts}).to_string());
    }

    /// Answers what is out, and what comes until the next word, with this text.
    pub fn tell_text(&self, body: String) {
        let mut lists = self.lists.0.lock().unwrap();
        *lists = Lists { seq: lists.seq + 1, body };
        self.lists.1.notify_all();
    }

    pub fn calls(&self) -> usize {
        self.asked.lock().unwrap().len()
    }

    /// Waits until the node has taken in the list of this version: it then watches for what comes after.
    pub fn wait_until_told(&self, seq: u64) {
        let next = format!("after={seq}&");
        wait_for("the next watch", || self.asked.lock().unwrap().iter().any(|path| path.contains(&next)));
    }
}

/// A folder of a test's own, which goes with the guard.
pub struct Folder(pub std::path::PathBuf);

impl Folder {
    pub fn new() -> Self {
        let number = NUMBERS.fetch_add(1, Ordering::SeqCst);
        let path = std::env::temp_dir().join(format!("cache-balancer-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&path).unwrap();
        Self(path)
    }

    pub fn write(&self, name: &str, text: &str) -> std::path::PathBuf {
        let path = self.0.join(name);
        std::fs::write(&path, text).unwrap();
        path
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// What a command comes to that must end by itself, with little to say. One that serves instead fails.
pub fn ended(mut command: Command) -> Output {
    let mut child = command.stdout(Stdio::piped()).stderr(Stdio::piped()).spawn().unwrap();
    let start = Instant::now();
    while child.try_wait().unwrap().is_none() {
        if start.elapsed() > PATIENCE {
            let _ = child.kill();
            panic!("it did not end by itself: {:?}", child.wait_with_output());
        }
        thread::sleep(Duration::from_millis(5));
    }
    child.wait_with_output().unwrap()
}

/// A node that serves from a file of this text.
pub fn run(folder: &Folder, text: &str) -> Node {
    let path = folder.write("cache-balancer.toml", text);
    let mut command = command();
    command.arg("run").arg("--config").arg(&path);
    let node = Node::spawn(command, path);
    wait_for("the node's readiness", || node.get("/healthz").status() == 200);
    node
}

/// A running node; it is killed with the test.
pub struct Node {
    pub address: SocketAddr,
    pub child: Child,
    /// Its log up to the line that says where it listens.
    pub first: String,
    /// What came after that line.
    pub log: Arc<Mutex<Vec<String>>>,
    config: std::path::PathBuf,
}

/// The configuration of a node that knows nothing but discovery.
pub fn config(discovery: SocketAddr) -> Value {
    let class = |name: &str, effect: &str| {
        json!({"name": name, "effect": effect, "dedup_scope": "all", "promise_us": 5_000_000,
               "hard_limit_us": 20_000_000, "repeat_window_us": 20_000_000, "worth": 1.0, "late_value": 0.5})
    };
    json!({
        "name": "n0", "listen": "127.0.0.1:0", "discovery": discovery.to_string(), "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {"seq": 0, "whole": true, "hosts": []},
        "settings": {
            "az": "a", "zones": ["a", "b"], "balancers": 1, "membership_mode": "subscribe", "orgs": [],
            "lanes": [class("read", "safe"), class("once", "unsafe"), class("keyed", "keyed")],
            "limits": {"connect_timeout_us": 5_000_000, "keepalive_us": 60_000_000, "most_tries": 3,
                       "cancelling": true, "retry_after": true, "max_retry_after_us": 2_000_000,
                       "second_copies": true, "probing": false},
        },
    })
}

static NUMBERS: AtomicU32 = AtomicU32::new(0);

/// An address on loopback that is no other test's, with a port that nobody listens on. A listener that finds a free port and
/// lets it go may be held on by a process that another test is just starting (its file descriptors are copied, and closed only
/// when the program begins), and on 127.0.0.1 the port may go to another test's connection meanwhile.
pub fn own_address() -> SocketAddr {
    let number = NUMBERS.fetch_add(1, Ordering::SeqCst) % 250;
    let [.., high, low] = std::process::id().to_be_bytes();
    (Ipv4Addr::new(127, 2 + number as u8, high, low.max(1)), 7070).into()
}

pub fn write_config(text: &str) -> std::path::PathBuf {
    let number = NUMBERS.fetch_add(1, Ordering::SeqCst);
    let path = std::env::temp_dir().join(format!("cache-balancer-{}-{number}.json", std::process::id()));
    std::fs::write(&path, text).unwrap();
    path
}

pub fn command() -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_cache-balancer"));
    for variable in ["LB_CONFIG", "LB_NAME", "LB_LISTEN", "LB_DISCOVERY"] {
        command.env_remove(variable);
    }
    command
}

impl Node {
    /// Starts a node and waits until it listens.
    pub fn start(config: &Value) -> Self {
        let path = write_config(&config.to_string());
        // The platform sets this one beside the configuration.
        let discovery = config["discovery"].as_str().unwrap();
        let mut command = command();
        command.env("LB_CONFIG", &path).env("LB_DISCOVERY", discovery);
        Self::spawn(command, path)
    }

    /// Starts a node by this command, which has it serve from this file, and waits until it listens.
    pub fn spawn(mut command: Command, config: std::path::PathBuf) -> Self {
        let mut child = command.stderr(Stdio::piped()).spawn().unwrap();
        let mut log = BufReader::new(child.stderr.take().unwrap());
        // What it says before it listens.
        let mut first = String::new();
        let address = loop {
            let mut line = String::new();
            assert!(log.read_line(&mut line).unwrap() > 0, "it ended before it listened: {first}");
            if let Some((_, address)) = line.trim_end().split_once(" listens on ") {
                break address.parse().unwrap();
            }
            first += &line;
        };
        // The rest of its log must not fill the pipe.
        let lines: Arc<Mutex<Vec<String>>> = Arc::default();
        let kept = lines.clone();
        thread::spawn(move || log.lines().map_while(Result::ok).for_each(|l| kept.lock().unwrap().push(l)));
        Self { address, child, first, log: lines, config }
    }

    /// Starts a node and waits until it is ready for clients.
    pub fn ready(config: &Value) -> Self {
        let node = Self::start(config);
        wait_for("the node's readiness", || node.get("/healthz").status() == 200);
        node
    }

    /// Its file.
    pub fn config(&self) -> &std::path::Path {
        &self.config
    }

    pub fn client(&self) -> Client {
        Client::to(self.address)
    }

    pub fn get(&self, path: &str) -> Message {
        self.client().ask(&format!("GET {path} HTTP/1.1\r\nHost: s\r\n\r\n"))
    }

    /// One read on a connection of its own.
    pub fn read(&self, class: &str, key: u64) -> Message {
        self.client().ask(&read(class, key, 20_000))
    }

    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    pub fn signal(&self, name: &str) {
        let sent = Command::new("kill").args([name, &self.child.id().to_string()]).status().unwrap();
        assert!(sent.success());
    }

    /// Puts this text in place of the configuration and tells the node.
    pub fn reload(&self, text: &str) {
        let new = write_config(text);
        std::fs::rename(new, &self.config).unwrap();
        self.signal("-HUP");
    }

    /// How many lines of its log hold these words.
    pub fn said(&self, words: &str) -> usize {
        self.log.lock().unwrap().iter().filter(|line| line.contains(words)).count()
    }

    /// Puts this text in place of the configuration and waits until the node has read it.
    pub fn reconfigure(&self, text: &str) {
        let read = || self.said("configuration read again: ") + self.said("configuration not taken: ");
        let before = read();
        self.reload(text);
        wait_for("a word of the reload", || read() > before);
    }

    pub fn exit(mut self) -> ExitStatus {
        let mut status = None;
        wait_for("the node's exit", || {
            status = self.child.try_wait().unwrap();
            status.is_some()
        });
        status.unwrap()
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        // It may have exited by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.config);
    }
}

pub fn read(class: &str, key: u64, deadline_ms: u64) -> String {
    format!(
        "GET /api/{key:016x} HTTP/1.1\r\nHost: s\r\nReq-Id: {key:x}\r\nReq-Kind: {class}\r\n\
         Req-Deadline-Ms: {deadline_ms}\r\n\r\n"
    )
}

/// A client's connection.
pub struct Client(pub BufReader<TcpStream>);

impl From<TcpStream> for Client {
    fn from(stream: TcpStream) -> Self {
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        Self(BufReader::new(stream))
    }
}

impl Client {
    pub fn to(address: SocketAddr) -> Self {
        TcpStream::connect(address).unwrap().into()
    }

    pub fn send(&mut self, text: &str) {
        self.0.get_mut().write_all(text.as_bytes()).unwrap();
    }

    /// Sends no more: the node sees that the client has gone.
    pub fn leave(&self) {
        self.0.get_ref().shutdown(std::net::Shutdown::Write).unwrap();
    }

    /// The next answer; `None` where the node closes the connection first.
    pub fn answer(&mut self) -> Option<Message> {
        match Message::read(&mut self.0) {
            Ok(message) => message,
            Err(error) if error.kind() == std::io::ErrorKind::ConnectionReset => None,
            Err(error) => panic!("no answer: {error}"),
        }
    }

    /// Whether the node has left the connection open, as far as this end knows.
    pub fn is_open(&self) -> bool {
        let stream = self.0.get_ref();
        stream.set_nonblocking(true).unwrap();
        let peeked = stream.peek(&mut [0]);
        stream.set_nonblocking(false).unwrap();
        peeked.is_err_and(|error| error.kind() == std::io::ErrorKind::WouldBlock)
    }

    /// `None` where the node has closed the connection.
    pub fn try_ask(&mut self, text: &str) -> Option<Message> {
        self.0.get_mut().write_all(text.as_bytes()).ok()?;
        self.answer()
    }

    pub fn ask(&mut self, text: &str) -> Message {
        self.send(text);
        self.answer().expect("an answer")
    }
}
