//! Stand-ins for clients, cache servers and discovery on loopback, a handle on a node process, and the record
//! of a run. Only the standard library is used.

use std::fs::File;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn waitpid(pid: i32, status: *mut i32, options: i32) -> i32;
    fn prctl(option: i32, value: u64, ...) -> i32;
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const u8, length: u32) -> i32;
}

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

pub fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

/// Returns whether the disruption of the case is played.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// How long a run may take. It then ends with status 2.
const LONGEST_RUN: Duration = Duration::from_secs(100);

/// The node processes that run, each with its folder.
static RUNNING: Mutex<Vec<(i32, PathBuf)>> = Mutex::new(Vec::new());

/// Ends the node processes and waits for their end, then ends the run with this status: 1 if the rule was
/// broken, 0 if it held, 2 if the case could not be played.
pub fn finish(status: i32) -> ! {
    if let Ok(mut running) = RUNNING.try_lock() {
        for (pid, folder) in running.drain(..) {
            unsafe {
                kill(pid, SIGKILL);
                waitpid(pid, std::ptr::null_mut(), 0);
            }
            let _ = std::fs::remove_dir_all(folder);
        }
    }
    std::process::exit(status);
}

/// Returns an argument of the program: the path of the record, or the root of the repository.
fn argument(number: usize) -> PathBuf {
    let argument = std::env::args_os().nth(number).map(PathBuf::from);
    argument.unwrap_or_else(|| cannot_run("arguments: the path of the record, and the repository's root"))
}

/// Lets a process end with this one, however this one ends.
fn end_with_this_process(command: &mut Command) -> &mut Command {
    // PR_SET_PDEATHSIG. The processes are started by the main thread.
    unsafe {
        command.pre_exec(|| {
            prctl(1, SIGKILL as u64);
            Ok(())
        })
    }
}

/// Ends the run with status 2.
pub fn cannot_run(why: &str) -> ! {
    println!("the case could not run: {why}");
    finish(2);
}

/// Ends the run with the verdict on the rule.
pub fn verdict(record: &Record, broken: bool, why: &str) -> ! {
    record.say(&format!("{}: {why}", if broken { "BROKEN" } else { "held" }));
    finish(i32::from(broken));
}

/// The record of a run: what was sent, answered and run, with the time since its start.
#[derive(Clone)]
pub struct Record(Arc<(Instant, Mutex<File>)>);

impl Record {
    /// Creates the record at the path that is the program's first argument. From now on a panic, or a run that
    /// takes too long, ends the run with status 2.
    pub fn create() -> Self {
        let path = argument(1);
        let file = File::create(&path);
        let file = file.unwrap_or_else(|error| cannot_run(&format!("{}: {error}", path.display())));
        std::panic::set_hook(Box::new(|panic| cannot_run(&panic.to_string())));
        thread::spawn(|| {
            thread::sleep(LONGEST_RUN);
            cannot_run("the run took too long");
        });
        let record = Self(Arc::new((Instant::now(), Mutex::new(file))));
        record.line(&format!(
            "the disruption is {}",
            if trouble() { "played" } else { "not played (TROUBLE=0)" }
        ));
        record
    }

    pub fn now(&self) -> Duration {
        self.0 .0.elapsed()
    }

    pub fn line(&self, text: &str) {
        let at = self.now().as_secs_f64();
        let mut file = self.0 .1.lock().unwrap();
        let _ = writeln!(file, "{at:8.3} s  {text}");
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }
}

/// A request or an answer.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Reads a message whose body has a length, or `None` at the end of the stream before its first byte.
    pub fn read(stream: &mut impl BufRead) -> io::Result<Option<Self>> {
        let mut message = Self::default();
        if stream.read_line(&mut message.first_line)? == 0 {
            return Ok(None);
        }
        message.first_line = message.first_line.trim_end().to_owned();
        loop {
            let mut line = String::new();
            if stream.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let line = line.trim_end();
            let Some((name, value)) = line.split_once(':') else { break };
            message.headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
        let length = message.header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
        message.body = vec![0; length];
        stream.read_exact(&mut message.body)?;
        Ok(Some(message))
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(other, _)| other == name).map(|(_, value)| value.as_str())
    }

    /// Returns the status of an answer.
    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    pub fn path(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or("")
    }

    pub fn id(&self) -> &str {
        self.header("req-id").unwrap_or("-")
    }
}

pub fn answer(status: &str, headers: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n{headers}\r\n{body}", body.len())
}

/// Returns a read as a client sends it.
pub fn read_request(id: &str, class: &str, key: &str, deadline_ms: u64) -> String {
    format!(
        "GET /api/{key} HTTP/1.1\r\nHost: service.internal\r\nReq-Id: {id}\r\nReq-Kind: {class}\r\n\
         Req-Deadline-Ms: {deadline_ms}\r\n\r\n"
    )
}

/// Returns a write as a client sends it.
pub fn write_request(id: &str, class: &str, key: &str, deadline_ms: u64, body: &str) -> String {
    format!(
        "PUT /api/{key} HTTP/1.1\r\nHost: service.internal\r\nReq-Id: {id}\r\nReq-Kind: {class}\r\n\
         Req-Deadline-Ms: {deadline_ms}\r\nIdempotency-Key: k-{id}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Makes the next close of this socket a reset.
pub fn reset_on_close(stream: &TcpStream) {
    let linger: [i32; 2] = [1, 0];
    // SOL_SOCKET, SO_LINGER.
    unsafe { setsockopt(stream.as_raw_fd(), 1, 13, linger.as_ptr().cast(), 8) };
}

/// What a stand-in cache server does with a request.
pub enum Act {
    /// Waits, then sends this text.
    Send(Duration, String),
    /// Waits, sends this text, and closes the connection.
    SendAndClose(Duration, String),
    /// Waits, sends this text, and resets the connection.
    SendAndReset(Duration, String),
    /// Sends nothing, and reads on until the node closes the connection.
    Hang,
    /// The behaviour has used the stream itself; whether the connection stays open.
    Done(bool),
}

/// One request that a stand-in cache server received.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Duration,
    pub id: String,
    pub told_ms: u64,
    pub server: String,
}

/// A stand-in cache server.
pub struct Server {
    pub name: String,
    pub address: SocketAddr,
    pub arrivals: Arc<Mutex<Vec<Arrival>>>,
}

impl Server {
    pub fn start(
        record: &Record,
        name: &str,
        behaviour: impl Fn(&Message, &mut TcpStream) -> Act + Send + Sync + 'static,
    ) -> Self {
        let listener =
            TcpListener::bind("127.0.0.1:0").unwrap_or_else(|error| cannot_run(&error.to_string()));
        let address = listener.local_addr().unwrap();
        let arrivals: Arc<Mutex<Vec<Arrival>>> = Arc::default();
        let (record, server, kept, behaviour) =
            (record.clone(), name.to_owned(), arrivals.clone(), Arc::new(behaviour));
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let (record, server, kept, behaviour) =
                    (record.clone(), server.clone(), kept.clone(), behaviour.clone());
                thread::spawn(move || serve(stream, &record, &server, &kept, &*behaviour));
            }
        });
        Self { name: name.to_owned(), address, arrivals }
    }

    /// Returns this server's entry in a list.
    pub fn entry(&self, health: &str) -> String {
        entry(&self.name, self.address, health, 0)
    }

    pub fn arrivals(&self) -> Vec<Arrival> {
        self.arrivals.lock().unwrap().clone()
    }
}

/// Returns an entry of discovery's list.
pub fn entry(name: &str, address: SocketAddr, health: &str, born_ms: u64) -> String {
    format!(
        "{{\"host\":\"{name}\",\"dial\":\"{address}\",\"site\":\"duke-street\",\"class\":\"std-box\",\
         \"block\":0,\"health\":\"{health}\",\"share\":1.0,\"born_ms\":{born_ms}}}"
    )
}

fn serve(
    mut stream: TcpStream,
    record: &Record,
    server: &str,
    kept: &Mutex<Vec<Arrival>>,
    behaviour: &dyn Fn(&Message, &mut TcpStream) -> Act,
) {
    let _ = stream.set_nodelay(true);
    let Ok(reading) = stream.try_clone() else { return };
    let mut reader = BufReader::new(reading);
    while let Ok(Some(request)) = Message::read(&mut reader) {
        let told_ms = request.header("req-deadline-ms").and_then(|text| text.parse().ok()).unwrap_or(0);
        let id = request.id().to_owned();
        record.line(&format!("{server}: got {} {id}, told {told_ms} ms", request.first_line));
        kept.lock().unwrap().push(Arrival {
            at: record.now(),
            id: id.clone(),
            told_ms,
            server: server.to_owned(),
        });
        let (wait, text) = match behaviour(&request, &mut stream) {
            Act::Hang => {
                record.line(&format!("{server}: hangs with {id}"));
                continue;
            }
            Act::Done(true) => continue,
            Act::Done(false) => return,
            Act::Send(wait, text) => (wait, text),
            Act::SendAndClose(wait, text) => {
                thread::sleep(wait);
                let _ = stream.write_all(text.as_bytes());
                record.line(&format!("{server}: answered {id} and closed"));
                return;
            }
            Act::SendAndReset(wait, text) => {
                thread::sleep(wait);
                let _ = stream.write_all(text.as_bytes());
                thread::sleep(ms(5));
                reset_on_close(&stream);
                record.line(&format!("{server}: reset the connection of {id}"));
                return;
            }
        };
        thread::sleep(wait);
        let sent = stream.write_all(text.as_bytes()).is_ok();
        record
            .line(&format!("{server}: answered {id}: {}, written {sent}", text.lines().next().unwrap_or("")));
    }
}

/// A stand-in discovery service that answers watches when there is something newer, or when they are over.
pub struct Discovery {
    pub address: SocketAddr,
    name: String,
    state: Arc<(Mutex<Lists>, Condvar)>,
    record: Record,
}

#[derive(Default)]
struct Lists {
    /// Each entry is the changes (name, text) that made the version of its index plus one.
    versions: Vec<Vec<(String, String)>>,
    /// How often the open watches have fallen silent.
    silences: u32,
    /// When each answer was written, with the version that it told.
    told: Vec<(Duration, usize)>,
    /// How long a call for the whole list takes.
    whole_list_takes: Duration,
}

impl Discovery {
    /// Starts with these entries (name, text) as version 1.
    pub fn start(record: &Record, entries: Vec<(String, String)>) -> Self {
        Self::start_as(record, "discovery", entries, Duration::ZERO)
    }

    /// Starts a service with a name in the record that takes this long for a call for the whole list.
    pub fn start_as(
        record: &Record,
        name: &str,
        entries: Vec<(String, String)>,
        whole_list_takes: Duration,
    ) -> Self {
        let listener =
            TcpListener::bind("127.0.0.1:0").unwrap_or_else(|error| cannot_run(&error.to_string()));
        let address = listener.local_addr().unwrap();
        let lists = Lists { versions: vec![entries], whole_list_takes, ..Lists::default() };
        let state = Arc::new((Mutex::new(lists), Condvar::new()));
        let (shared, log, label) = (state.clone(), record.clone(), name.to_owned());
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let (shared, log, label) = (shared.clone(), log.clone(), label.clone());
                thread::spawn(move || serve_lists(stream, &label, &shared, &log));
            }
        });
        Self { address, name: name.to_owned(), state, record: record.clone() }
    }

    /// Tells all watches of changes (name, text).
    pub fn publish(&self, changes: Vec<(String, String)>) {
        let names: Vec<_> = changes.iter().map(|(_, text)| text.clone()).collect();
        let mut lists = self.state.0.lock().unwrap();
        lists.versions.push(changes);
        self.record.line(&format!("{}: version {}: {}", self.name, lists.versions.len(), names.join(" ")));
        self.state.1.notify_all();
    }

    /// Lets the watches that are open now fall silent: they are never answered, and their connections stay open.
    pub fn silence_open_watches(&self) {
        self.state.0.lock().unwrap().silences += 1;
        self.record.line(&format!("{}: the open watches fall silent", self.name));
        self.state.1.notify_all();
    }

    /// Returns when this version or a later one was first written in an answer.
    pub fn told_at(&self, version: usize) -> Option<Duration> {
        let lists = self.state.0.lock().unwrap();
        lists.told.iter().find(|(_, told)| *told >= version).map(|(at, _)| *at)
    }
}

fn serve_lists(mut stream: TcpStream, name: &str, state: &(Mutex<Lists>, Condvar), record: &Record) {
    let _ = stream.set_nodelay(true);
    let Ok(reading) = stream.try_clone() else { return };
    let mut reader = BufReader::new(reading);
    while let Ok(Some(request)) = Message::read(&mut reader) {
        let path = request.path().to_owned();
        let number = |name: &str| -> Option<u64> {
            path.split(['?', '&']).find_map(|part| part.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
        };
        let after = number("after");
        let wait = ms(number("wait_ms").unwrap_or(0));
        let lists = state.0.lock().unwrap();
        let silences = lists.silences;
        let takes = if after.is_none() { lists.whole_list_takes } else { Duration::ZERO };
        let waits = |lists: &mut Lists| {
            let is_old = after.is_some_and(|after| lists.versions.len() as u64 <= after);
            is_old && lists.silences == silences
        };
        let lists = state.1.wait_timeout_while(lists, wait, waits).unwrap().0;
        if lists.silences != silences {
            drop(lists);
            record.line(&format!("{name}: {path} stays without an answer"));
            let _ = Message::read(&mut reader);
            return;
        }
        let mut entries: Vec<(String, String)> = Vec::new();
        for (name, text) in lists.versions.iter().skip(after.unwrap_or(0) as usize).flatten() {
            entries.retain(|(other, _)| other != name);
            if after.is_some() || !text.contains("\"gone\"") {
                entries.push((name.clone(), text.clone()));
            }
        }
        let seq = lists.versions.len();
        drop(lists);
        thread::sleep(takes);
        let hosts: Vec<_> = entries.into_iter().map(|(_, text)| text).collect();
        let body = format!("{{\"seq\":{seq},\"whole\":{},\"hosts\":[{}]}}", after.is_none(), hosts.join(","));
        if stream.write_all(answer("200 OK", "", &body).as_bytes()).is_err() {
            return;
        }
        record.line(&format!("{name}: wrote version {seq} as the answer to {path}: {}", hosts.join(" ")));
        state.0.lock().unwrap().told.push((record.now(), seq));
    }
}

/// The settings of a request class.
pub struct Class {
    pub name: &'static str,
    pub effect: &'static str,
    pub promise_ms: u64,
    pub hard_limit_ms: u64,
    pub window_ms: u64,
}

/// The classes of the register look-ups: the figures of the wire page's example.
pub const CLASSES: [Class; 3] = [
    Class { name: "entry-view", effect: "safe", promise_ms: 300, hard_limit_ms: 600, window_ms: 5000 },
    Class { name: "name-check", effect: "safe", promise_ms: 150, hard_limit_ms: 500, window_ms: 5000 },
    Class { name: "cert-build", effect: "safe", promise_ms: 1200, hard_limit_ms: 4000, window_ms: 5000 },
];

/// The configuration of a node.
pub struct Config {
    pub discovery: SocketAddr,
    pub known: Vec<String>,
    pub sockets: u32,
    pub memory_mb: u64,
    pub nodes: u32,
    pub classes: Vec<Class>,
}

impl Config {
    /// Returns the configuration of a single node with the limits of a scored day.
    pub fn new(discovery: SocketAddr, known: Vec<String>, classes: Vec<Class>) -> Self {
        Self { discovery, known, sockets: 1024, memory_mb: 192, nodes: 1, classes }
    }

    pub fn text(&self, listen: SocketAddr) -> String {
        let lanes: Vec<_> = self
            .classes
            .iter()
            .map(|class| {
                format!(
                    "{{\"name\":\"{}\",\"effect\":\"{}\",\"dedup_scope\":\"all\",\"promise_us\":{},\
                     \"hard_limit_us\":{},\"repeat_window_us\":{},\"streaming\":false,\"worth\":5.0,\
                     \"late_value\":0.5}}",
                    class.name,
                    class.effect,
                    class.promise_ms * 1000,
                    class.hard_limit_ms * 1000,
                    class.window_ms * 1000
                )
            })
            .collect();
        format!(
            "{{\"name\":\"n0\",\"listen\":\"{listen}\",\"discovery\":\"{}\",\"seed\":\"8c1f30d27a5be964\",\
             \"limits\":{{\"cores\":1.0,\"memory_mb\":{},\"sockets\":{}}},\
             \"known\":{{\"seq\":1,\"whole\":true,\"hosts\":[{}]}},\
             \"settings\":{{\"az\":\"duke-street\",\"zones\":[\"duke-street\",\"spanish-town\"],\
             \"balancers\":{},\"position\":0,\"membership_mode\":\"subscribe\",\"orgs\":[],\"family\":\"cache\",\
             \"family_info\":{{\"mode\":\"through\",\"origin_kind\":-1}},\"shapes\":[\"fast-box\",\"std-box\"],\
             \"weights\":\"nominal\",\"lanes\":[{}],\
             \"limits\":{{\"connect_timeout_us\":75000,\"keepalive_us\":60000000,\"most_tries\":3,\
             \"cancelling\":true,\"retry_after\":true,\"max_retry_after_us\":2000000,\"second_copies\":true,\
             \"probing\":false,\"streams_per_conn\":128}},\
             \"safety\":{{\"grace_to_answer_us\":8000,\"stop_sending_within_us\":500000,\
             \"ask_within_us\":10000000,\"cold_share\":0.33,\"warm_within_us\":7800000,\"fall_multiple\":3.0,\
             \"fall_us\":1500000}}}}}}",
            self.discovery,
            self.memory_mb,
            self.sockets,
            self.known.join(","),
            self.nodes,
            lanes.join(",")
        )
    }
}

/// A node process from an operator's file: the command `run` of the deploy file with `run --config FILE`.
pub struct OperatorNode {
    child: Child,
    record: Record,
    pub name: String,
}

impl OperatorNode {
    /// Starts a process from the file in this folder, and does not wait for anything.
    pub fn start(record: &Record, name: &str, folder: &Path) -> Self {
        let root = argument(2);
        let file = folder.join("node.toml");
        let run = format!("{} run --config '{}'", deploy_command(&root, "run"), file.display());
        let text = std::fs::read_to_string(&file).unwrap_or_default();
        record.line(&format!("{name}: starts with `{run}`, its file: {}", text.replace('\n', "; ")));
        let mut command = Command::new("/bin/sh");
        let mut child = end_with_this_process(&mut command)
            .args(["-c", &run])
            .current_dir(&root)
            .env("TMPDIR", folder)
            .env_remove("NOTIFY_SOCKET")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap_or_else(|error| cannot_run(&format!("{run}: {error}")));
        RUNNING.lock().unwrap().push((child.id() as i32, folder.to_owned()));
        let (log, lines, name) =
            (record.clone(), BufReader::new(child.stderr.take().unwrap()), name.to_owned());
        record.line(&format!("{name}: started as {}", child.id()));
        thread::spawn({
            let name = name.clone();
            move || {
                lines.lines().map_while(Result::ok).for_each(|line| log.line(&format!("{name} log: {line}")));
            }
        });
        Self { child, record: record.clone(), name }
    }

    pub fn pid(&self) -> i32 {
        self.child.id() as i32
    }

    /// Sends SIGHUP: the file is read again.
    pub fn reload(&self) {
        unsafe { kill(self.pid(), SIGHUP) };
    }

    pub fn has_exited(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }
}

impl Drop for OperatorNode {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        self.record.line(&format!("{}: ended", self.name));
    }
}

/// Makes a folder for a node. Its path is short, since that of a hand-over socket may have 80 bytes.
pub fn temporary_folder(name: &str) -> PathBuf {
    let parent = std::env::temp_dir();
    let parent = if parent.as_os_str().len() > 40 { PathBuf::from("/tmp") } else { parent };
    let folder = parent.join(format!("review-2-{}-{name}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap_or_else(|error| cannot_run(&error.to_string()));
    folder
}

/// Waits up to 10 s.
pub fn wait_until(what: &str, reached: impl Fn() -> bool) {
    let until = Instant::now() + ms(10_000);
    while !reached() {
        if Instant::now() > until {
            cannot_run(&format!("waited in vain for {what}"));
        }
        thread::sleep(ms(5));
    }
}

/// Returns the status of `/healthz` at this address, or 0 without an answer.
pub fn healthz(address: SocketAddr) -> u16 {
    let Ok(mut stream) = TcpStream::connect(address) else { return 0 };
    let _ = stream.set_read_timeout(Some(ms(1000)));
    let _ = stream.write_all(b"GET /healthz HTTP/1.1\r\nHost: service.internal\r\nConnection: close\r\n\r\n");
    Message::read(&mut BufReader::new(stream)).ok().flatten().map_or(0, |message| message.status())
}

/// A node process, started with the command `run` of the deploy file. It is killed on drop.
pub struct Node {
    pub address: SocketAddr,
    child: Child,
    folder: PathBuf,
    record: Record,
}

impl Node {
    /// Starts the node and waits until `/healthz` answers 200.
    pub fn start(record: &Record, config: &Config) -> Self {
        let root = argument(2);
        let run = deploy_command(&root, "run");
        let address = free_address();
        let folder = temporary_folder("n0");
        let path = folder.join("config.json");
        std::fs::write(&path, config.text(address)).unwrap_or_else(|error| cannot_run(&error.to_string()));
        record.line(&format!("node: its configuration: {}", config.text(address)));
        let mut command = Command::new("/bin/sh");
        let child = end_with_this_process(&mut command)
            .args(["-c", &run])
            .current_dir(&root)
            .env("LB_CONFIG", &path)
            .env("LB_NAME", "n0")
            .env("LB_LISTEN", address.to_string())
            .env("LB_DISCOVERY", config.discovery.to_string())
            .env("TMPDIR", &folder)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn();
        let mut child = child.unwrap_or_else(|error| cannot_run(&format!("{run}: {error}")));
        RUNNING.lock().unwrap().push((child.id() as i32, folder.clone()));
        let (log, lines) = (record.clone(), BufReader::new(child.stderr.take().unwrap()));
        thread::spawn(move || {
            let lines = lines.lines().map_while(Result::ok);
            lines
                .filter(|line| !line.starts_with("tally "))
                .for_each(|line| log.line(&format!("node log: {line}")));
        });
        let mut node = Self { address, child, folder, record: record.clone() };
        record.line(&format!("node: started with `{run}` as {}, listens on {address}", node.child.id()));
        let until = Instant::now() + ms(10_000);
        while healthz(node.address) != 200 {
            if Instant::now() > until || node.has_exited() {
                drop(node);
                cannot_run("the node was not ready within 10 s");
            }
            thread::sleep(ms(20));
        }
        node
    }

    pub fn pid(&self) -> i32 {
        self.child.id() as i32
    }

    pub fn signal(&self, name: &str, signal: i32) {
        self.record.line(&format!("node: {name}"));
        unsafe { kill(self.pid(), signal) };
    }

    pub fn has_exited(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// Replaces the configuration file.
    pub fn rewrite(&self, config: &Config) {
        let new = self.folder.join("new.json");
        let _ = std::fs::write(&new, config.text(self.address));
        let _ = std::fs::rename(new, self.folder.join("config.json"));
    }

    /// Opens a connection as a client.
    pub fn connect(&self) -> io::Result<TcpStream> {
        let stream = TcpStream::connect(self.address)?;
        stream.set_nodelay(true)?;
        Ok(stream)
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        RUNNING.lock().unwrap().retain(|(pid, _)| *pid != self.child.id() as i32);
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Reads a command of the deploy file.
fn deploy_command(root: &Path, name: &str) -> String {
    let text = std::fs::read_to_string(root.join("deploy/balancer.toml")).unwrap_or_default();
    let command = text.lines().find_map(|line| {
        let (key, value) = line.split_once('=')?;
        (key.trim() == name).then(|| value.trim().trim_matches('"').to_owned())
    });
    command.unwrap_or_else(|| cannot_run("the deploy file has no such command"))
}

/// The next port that [`free_address`] tries, less that of the process's first try.
static NEXT_PORT: AtomicU32 = AtomicU32::new(0);

/// Returns an address of loopback whose port is free. The port is below those that the system gives to outgoing
/// connections, so that none of them takes it before the node listens there.
pub fn free_address() -> SocketAddr {
    let first = std::process::id().wrapping_mul(37) % 10_000;
    for _ in 0..10_000 {
        let port = 20_000 + (first + NEXT_PORT.fetch_add(1, Ordering::SeqCst)) % 12_000;
        let address = SocketAddr::from(([127, 0, 0, 1], port as u16));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
    cannot_run("no port is free")
}

/// Unix time in milliseconds.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64)
}

/// How an exchange ended for the client.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// The status of the answer, or `None` if the connection ended without a whole answer.
    pub status: Option<u16>,
    pub body: Vec<u8>,
    pub close: bool,
    /// From the last byte of the request to the last byte of the answer or the end of the connection.
    pub took: Duration,
    pub error: String,
}

/// Reads an answer, up to `limit` from now.
pub fn receive(stream: &TcpStream, reader: &mut impl BufRead, sent_at: Instant, limit: Duration) -> Outcome {
    let _ = stream.set_read_timeout(Some(limit.max(ms(1))));
    let read = Message::read(reader);
    let took = sent_at.elapsed();
    match read {
        Ok(Some(message)) => Outcome {
            status: Some(message.status()),
            close: message.header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close")),
            body: message.body,
            took,
            error: String::new(),
        },
        Ok(None) => Outcome { status: None, body: Vec::new(), close: true, took, error: "closed".into() },
        Err(error) => Outcome { status: None, body: Vec::new(), close: true, took, error: error.to_string() },
    }
}

/// Returns whether the other side has ended the connection, as far as this side has been told.
pub fn is_ended(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let peeked = stream.peek(&mut [0]);
    let _ = stream.set_nonblocking(false);
    match peeked {
        Ok(bytes) => bytes == 0,
        Err(error) => error.kind() != io::ErrorKind::WouldBlock,
    }
}

/// Ends a process with SIGKILL.
pub fn kill_process(pid: i32) {
    unsafe { kill(pid, SIGKILL) };
}

/// The memory limit of a node: a process that goes over it is killed.
pub struct MemoryLimit {
    stop: Arc<AtomicBool>,
    watching: thread::JoinHandle<(bool, u64)>,
}

impl MemoryLimit {
    /// Reads every 10 ms how much memory the process uses, without mapped files.
    pub fn enforce(record: &Record, pid: i32, memory_mb: u64) -> Self {
        if anonymous_kb(pid) == 0 {
            cannot_run("the system does not tell how much memory the node uses");
        }
        let stop = Arc::new(AtomicBool::new(false));
        let (record, stopped) = (record.clone(), stop.clone());
        let watching = thread::spawn(move || {
            let (mut most_kb, mut samples) = (0, 0);
            while !stopped.load(Ordering::SeqCst) {
                let used_kb = anonymous_kb(pid);
                most_kb = most_kb.max(used_kb);
                if samples % 10 == 0 {
                    record.line(&format!("platform: the node uses {used_kb} KiB without mapped files"));
                }
                if used_kb > memory_mb << 10 {
                    record.line(&format!("platform: {used_kb} KiB are over {memory_mb} MB, SIGKILL"));
                    kill_process(pid);
                    return (true, most_kb);
                }
                samples += 1;
                thread::sleep(ms(10));
            }
            (false, most_kb)
        });
        Self { stop, watching }
    }

    /// Returns whether the process went over its limit, and the most memory that was seen, in KiB.
    pub fn end(self) -> (bool, u64) {
        self.stop.store(true, Ordering::SeqCst);
        self.watching.join().unwrap_or((false, 0))
    }
}

/// Returns the memory of a process without mapped files, in KiB.
fn anonymous_kb(pid: i32) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("RssAnon:"));
    line.and_then(|line| line.trim().trim_end_matches(" kB").parse().ok()).unwrap_or(0)
}
