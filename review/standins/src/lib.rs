//! Stand-ins for the platform, discovery, cache servers and clients, by PROTOCOL-otterspur.md, and a node that is
//! started with the `run` command of the deploy file. Standard library only; loopback addresses only.

use std::fmt::Display;
use std::fs::File;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc;
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The slack that the protocol page adds to each time limit on sockets.
pub const SLACK: Duration = Duration::from_millis(50);

/// What was sent, answered and run, in `record.txt`.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("record.txt can be written");
        Self { file: Arc::new(Mutex::new(file)), start: Instant::now() }
    }

    /// Writes a line with the seconds since the start.
    pub fn line(&self, text: impl Display) {
        let at = self.start.elapsed().as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{at:9.4} {text}");
    }

    /// Writes a line and prints it.
    pub fn say(&self, text: impl Display) {
        println!("{text}");
        self.line(text);
    }
}

/// The arguments of a case: `RECORD ROOT RUN-COMMAND`, and `TROUBLE` from the environment.
pub struct Setup {
    pub record: Record,
    pub root: PathBuf,
    pub run: String,
    pub trouble: bool,
    pub folder: TempFolder,
}

impl Setup {
    pub fn from_arguments() -> Self {
        let mut arguments = std::env::args().skip(1);
        let mut next = || arguments.next().unwrap_or_else(|| cannot_run("usage: RECORD ROOT RUN-COMMAND"));
        let (record, root, run) = (PathBuf::from(next()), PathBuf::from(next()), next());
        let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
        let record = Record::create(&record);
        record.line(format!("trouble: {trouble}"));
        Self { record, root, run, trouble, folder: TempFolder::create() }
    }
}

/// Ends with status 2: the case could not run.
pub fn cannot_run(why: &str) -> ! {
    eprintln!("cannot run: {why}");
    std::process::exit(2);
}

/// A temporary folder, removed on drop.
pub struct TempFolder(pub PathBuf);

impl TempFolder {
    fn create() -> Self {
        let path = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        std::fs::create_dir_all(&path).unwrap_or_else(|error| cannot_run(&format!("{path:?}: {error}")));
        Self(path)
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// A node process. It is killed on drop.
pub struct Node {
    child: Child,
    pub address: SocketAddr,
    pub config: PathBuf,
    log: PathBuf,
}

impl Node {
    /// Starts a node with the deploy file's `run` command and waits until it is ready.
    pub fn start(setup: &Setup, name: &str, discovery: SocketAddr, config: &str) -> Self {
        let path = setup.folder.0.join(format!("{name}.json"));
        let log = setup.folder.0.join(format!("{name}.log"));
        std::fs::write(&path, config).unwrap();
        let stderr = File::create(&log).unwrap();
        let mut command = Command::new("/bin/sh");
        command.arg("-c").arg(&setup.run).current_dir(&setup.root).stdin(Stdio::null()).stdout(Stdio::null());
        command.stderr(stderr).env("LB_NAME", name).env("LB_LISTEN", "127.0.0.1:0");
        command.env("LB_DISCOVERY", discovery.to_string()).env("LB_CONFIG", &path);
        let child = command.spawn().unwrap_or_else(|error| cannot_run(&format!("{}: {error}", setup.run)));
        let unset = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut node = Self { child, address: unset, config: path, log };
        let limit = Instant::now() + Duration::from_secs(30);
        loop {
            let text = node.log_text();
            let address = text.lines().find_map(|line| line.split_once(" listens on ")?.1.trim().parse().ok());
            if let Some(address) = address {
                node.address = address;
                if get_status(address, "/healthz") == Some(200) {
                    setup.record.line(format!("node {name} is ready at {address}, process {}", node.pid()));
                    return node;
                }
            }
            if Instant::now() > limit || node.child.try_wait().ok().flatten().is_some() {
                eprintln!("{text}");
                drop(node);
                cannot_run("the node did not become ready");
            }
            thread::sleep(Duration::from_millis(20));
        }
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal to the node, such as `TERM`.
    pub fn signal(&self, name: &str) {
        let _ = Command::new("kill").arg(format!("-{name}")).arg(self.pid().to_string()).status();
    }

    pub fn has_exited(&mut self) -> bool {
        self.child.try_wait().ok().flatten().is_some()
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    pub fn log_text(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Copies the node's log, without the tally lines, to the record.
    pub fn record_log(&self, record: &Record) {
        for line in self.log_text().lines().filter(|line| !line.contains("{\"")) {
            record.line(format!("log of the node: {line}"));
        }
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

fn get_status(address: SocketAddr, path: &str) -> Option<u16> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(2))).ok()?;
    write!(stream, "GET {path} HTTP/1.1\r\nHost: service.internal\r\n\r\n").ok()?;
    Message::read(&mut BufReader::new(stream)).ok().flatten()?.status()
}

/// A request or a response.
#[derive(Clone, Debug)]
pub struct Message {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Reads a message with a `Content-Length` or without a body. Returns `None` at the end of the stream.
    pub fn read(reader: &mut impl BufRead) -> io::Result<Option<Self>> {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let start = line.trim_end().to_owned();
        let mut headers = Vec::new();
        loop {
            line.clear();
            if reader.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let text = line.trim_end();
            if text.is_empty() {
                break;
            }
            let (name, value) = text.split_once(':').ok_or(io::ErrorKind::InvalidData)?;
            headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
        let mut message = Self { start, headers, body: Vec::new() };
        let length = message.header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
        message.body = vec![0; length];
        reader.read_exact(&mut message.body)?;
        Ok(Some(message))
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(other, _)| other == name).map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> Option<u16> {
        self.start.split(' ').nth(1)?.parse().ok()
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    pub fn closes(&self) -> bool {
        self.header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"))
    }
}

/// Returns the text of a response of a cache server.
pub fn response(status: &str, headers: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n{headers}\r\n{body}", body.len())
}

/// Returns a request id that no other request of this run has.
pub fn new_id() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as u64;
    format!("{:016x}", (now << 20) ^ number)
}

/// Accepts connections for as long as the process runs, and serves each on a thread.
pub fn serve(listener: TcpListener, handler: impl Fn(TcpStream) + Send + Sync + 'static) {
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let handler = handler.clone();
            let _ = stream.set_nodelay(true);
            thread::spawn(move || handler(stream));
        }
    });
}

/// Binds a free port.
pub fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|error| cannot_run(&error.to_string()));
    let address = listener.local_addr().unwrap();
    (listener, address)
}

/// Returns whether bytes, or the end of the stream, wait to be read on this socket.
pub fn has_unread(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let peeked = stream.peek(&mut [0]);
    let _ = stream.set_nonblocking(false);
    !matches!(peeked, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
}

/// A network with this one-way latency in front of a server. Bytes keep their order, none are lost. Returns the
/// address that nodes dial.
pub fn distant(server: SocketAddr, latency: Duration) -> SocketAddr {
    let (listener, address) = listen();
    serve(listener, move |near| {
        let Ok(far) = TcpStream::connect(server) else { return };
        let _ = far.set_nodelay(true);
        let (Ok(near_read), Ok(far_read)) = (near.try_clone(), far.try_clone()) else { return };
        let there = carry(near_read, far, latency);
        let back = carry(far_read, near, latency);
        let _ = (there.join(), back.join());
    });
    address
}

fn carry(mut from: TcpStream, mut to: TcpStream, latency: Duration) -> thread::JoinHandle<()> {
    let (sender, receiver) = mpsc::channel::<(Instant, Vec<u8>)>();
    thread::spawn(move || {
        let mut bytes = [0; 16 << 10];
        while let Ok(read) = from.read(&mut bytes) {
            // The end of the stream takes as long as bytes do.
            if sender.send((Instant::now() + latency, bytes[..read].to_vec())).is_err() || read == 0 {
                return;
            }
        }
    });
    thread::spawn(move || {
        for (due, bytes) in receiver {
            thread::sleep(due.saturating_duration_since(Instant::now()));
            if bytes.is_empty() || to.write_all(&bytes).is_err() {
                break;
            }
        }
        let _ = to.shutdown(std::net::Shutdown::Both);
    })
}

/// Discovery: one service that answers at once, with the whole list or with the changes after a version.
#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    state: Arc<(Mutex<Vec<(u64, String, String)>>, Condvar)>,
}

impl Discovery {
    /// Starts discovery with servers that are ready, each with its id and address.
    pub fn start(servers: &[(&str, SocketAddr)]) -> Self {
        let (listener, address) = listen();
        let entries = servers.iter().map(|(id, dial)| (1, (*id).to_owned(), entry(id, *dial, "ready", 0)));
        let state = Arc::new((Mutex::new(entries.collect::<Vec<_>>()), Condvar::new()));
        let discovery = Self { address, state };
        let service = discovery.clone();
        serve(listener, move |stream| service.answer(stream));
        discovery
    }

    /// Returns the whole list, in discovery's form.
    pub fn list(&self) -> String {
        let state = self.state.0.lock().unwrap();
        let seq = state.iter().map(|(seq, ..)| *seq).max().unwrap_or(1);
        let hosts: Vec<_> = state.iter().map(|(_, _, text)| text.clone()).collect();
        format!("{{\"seq\":{seq},\"whole\":true,\"hosts\":[{}]}}", hosts.join(","))
    }

    /// Publishes a new entry of a server.
    pub fn publish(&self, id: &str, text: String) {
        let mut state = self.state.0.lock().unwrap();
        let next = state.iter().map(|(seq, ..)| *seq).max().unwrap_or(1) + 1;
        state.retain(|(_, other, _)| other != id);
        state.push((next, id.to_owned(), text));
        self.state.1.notify_all();
    }

    /// Answers the calls of a connection.
    pub fn answer(&self, stream: TcpStream) {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        let mut stream = stream;
        while let Ok(Some(call)) = Message::read(&mut reader) {
            let text = self.answer_to(&call);
            if stream.write_all(response("200 OK", "", &text).as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Returns the answer to a call, after the wait that a watch asks for.
    pub fn answer_to(&self, call: &Message) -> String {
        let number = |name: &str| -> Option<u64> {
            let query = call.start.split(' ').nth(1)?.split_once('?')?.1;
            query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
        };
        let Some(after) = number("after") else { return self.list() };
        let until = Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or(0).min(60_000));
        let mut state = self.state.0.lock().unwrap();
        loop {
            let seq = state.iter().map(|(seq, ..)| *seq).max().unwrap_or(1);
            let left = until.saturating_duration_since(Instant::now());
            if seq > after || left.is_zero() {
                let changed = state.iter().filter(|(at, ..)| *at > after).map(|(.., text)| text.clone());
                let hosts = changed.collect::<Vec<_>>().join(",");
                return format!("{{\"seq\":{},\"whole\":false,\"hosts\":[{hosts}]}}", seq.max(after));
            }
            state = self.state.1.wait_timeout(state, left).unwrap().0;
        }
    }
}

/// Returns an entry of a server in discovery's form.
pub fn entry(id: &str, dial: SocketAddr, health: &str, born_ms: u64) -> String {
    format!(
        "{{\"host\":\"{id}\",\"dial\":\"{dial}\",\"site\":\"duke-street\",\"class\":\"fast-box\",\"block\":0,\
         \"health\":\"{health}\",\"share\":1.0,\"born_ms\":{born_ms}}}"
    )
}

/// A request class in the form of the settings.
pub struct Lane {
    pub name: &'static str,
    pub effect: &'static str,
    pub promise_ms: u64,
    pub hard_limit_ms: u64,
    pub repeat_window_ms: u64,
    pub worth: f64,
}

/// The classes of kingston-lookup.
pub const KINGSTON: [Lane; 3] = [
    Lane { name: "entry-view", effect: "safe", promise_ms: 300, hard_limit_ms: 600, repeat_window_ms: 5000, worth: 5.0 },
    Lane { name: "name-check", effect: "safe", promise_ms: 150, hard_limit_ms: 500, repeat_window_ms: 5000, worth: 2.0 },
    Lane { name: "cert-build", effect: "safe", promise_ms: 1200, hard_limit_ms: 4000, repeat_window_ms: 5000, worth: 5.0 },
];

/// Returns a node's configuration as the platform writes it: the settings of kingston-lookup with these classes and
/// this number of nodes.
pub fn config(name: &str, discovery: SocketAddr, known: &str, lanes: &[Lane], nodes: u32) -> String {
    let lane = |lane: &Lane| {
        format!(
            "{{\"name\":\"{}\",\"effect\":\"{}\",\"dedup_scope\":\"all\",\"promise_us\":{},\"hard_limit_us\":{},\
             \"repeat_window_us\":{},\"streaming\":false,\"worth\":{:.1},\"late_value\":0.3}}",
            lane.name,
            lane.effect,
            lane.promise_ms * 1000,
            lane.hard_limit_ms * 1000,
            lane.repeat_window_ms * 1000,
            lane.worth
        )
    };
    let lanes = lanes.iter().map(lane).collect::<Vec<_>>().join(",");
    format!(
        "{{\"name\":\"{name}\",\"listen\":\"127.0.0.1:0\",\"discovery\":\"{discovery}\",\"seed\":\"8c1f30d27a5be964\",\
         \"limits\":{{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024}},\
         \"peer_listen\":\"127.0.0.1:7946\",\"peers\":[],\"known\":{known},\
         \"settings\":{{\"az\":\"duke-street\",\"zones\":[\"duke-street\",\"spanish-town\"],\"balancers\":{nodes},\
         \"position\":0,\"family\":\"cache\",\"family_info\":{{\"mode\":\"through\",\"origin_kind\":-1}},\
         \"membership_mode\":\"subscribe\",\"orgs\":[],\"over_share_worth\":0.1,\"weights\":\"nominal\",\
         \"shapes\":[\"fast-box\",\"std-box\"],\"tick_us\":2000,\"lanes\":[{lanes}],\
         \"client_habits\":{{\"marks_retry\":false}},\
         \"report\":{{\"source\":\"answers\",\"fields\":[\"latency_ms\",\"queue\"]}},\
         \"limits\":{{\"connect_timeout_us\":75000,\"keepalive_us\":60000000,\"most_tries\":3,\"cancelling\":true,\
         \"retry_after\":true,\"max_retry_after_us\":2000000,\"second_copies\":true,\"probing\":false,\
         \"streams_per_conn\":1,\"peer_messages\":false}},\
         \"safety\":{{\"ask_within_us\":10000000,\"cold_share\":0.33,\"warm_within_us\":7800000,\"fall_multiple\":3.0,\
         \"fall_us\":1500000,\"grace_to_answer_us\":8000,\"stop_sending_within_us\":500000}}}}}}"
    )
}

/// A client's connection to a node.
pub struct Client {
    pub stream: TcpStream,
    pub reader: BufReader<TcpStream>,
}

impl Client {
    pub fn connect(node: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect(node)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(20)))?;
        let reader = BufReader::new(stream.try_clone()?);
        Ok(Self { stream, reader })
    }

    /// Sends a request and returns its response.
    pub fn exchange(&mut self, request: &str) -> io::Result<Message> {
        self.stream.write_all(request.as_bytes())?;
        Message::read(&mut self.reader)?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
    }
}

/// Returns a read of a key.
pub fn read_request(class: &str, key: u64, id: &str, deadline_ms: u64) -> String {
    format!(
        "GET /api/{key:016x} HTTP/1.1\r\nHost: service.internal\r\nReq-Id: {id}\r\nReq-Kind: {class}\r\n\
         Req-Deadline-Ms: {deadline_ms}\r\n\r\n"
    )
}

/// Returns a keyed write of a key.
pub fn write_request(class: &str, key: u64, id: &str, deadline_ms: u64, idempotency: &str, body: &str) -> String {
    format!(
        "PUT /api/{key:016x} HTTP/1.1\r\nHost: service.internal\r\nReq-Id: {id}\r\nReq-Kind: {class}\r\n\
         Req-Deadline-Ms: {deadline_ms}\r\nIdempotency-Key: {idempotency}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Returns the key of a request from its path.
pub fn path_key(message: &Message) -> String {
    let path = message.start.split(' ').nth(1).unwrap_or_default();
    path.rsplit('/').next().unwrap_or_default().to_owned()
}

/// Ends the case: status 1 if the rule was broken, 0 if it held.
pub fn verdict(setup: &Setup, broken: bool, summary: &str) -> i32 {
    setup.record.say(summary);
    setup.record.say(if broken { "RESULT: the rule was broken" } else { "RESULT: the rule held" });
    i32::from(broken)
}
