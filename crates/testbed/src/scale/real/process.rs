//! Real nodes as processes of the program: their configuration, their start, their end, and what they use.

use super::{servers, RealError, RealSettings};
use crate::script::Script;
use crate::sockets::class_table;
use checked_toml::time_text;
use std::fmt::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::process::Stdio;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader, Lines};
use tokio::net::TcpStream;
use tokio::process::{Child, ChildStderr, Command};
use tokio::time::{sleep, timeout};

/// A node that is not ready after this does not come up at all. Discovery may let it wait for its first list.
const READY_WITHIN: Duration = Duration::from_secs(60);
/// Between two questions whether a node is ready.
const ASK_AGAIN: Duration = Duration::from_millis(20);
/// Descriptors that a node may hold: those of its clients and its connections to cache servers.
const DESCRIPTORS: u32 = 512;
/// A node closes a connection to a cache server that has stood idle for so long.
const IDLE: Duration = Duration::from_secs(5);

/// What an operator would write for the node of this number.
pub fn config(settings: &RealSettings, node: u32) -> String {
    let time = |time: Duration| format!("\"{}\"", time_text(time));
    let (rules, kind) = (Script::default().rules, servers::kind());
    let zone = &settings.zones[node as usize % settings.zones.len()];
    format!(
        "version = 1\nname = \"{name}\"\nzone = {zone:?}\nnodes = {fleet}\nseed = {seed}\n\
         [limits]\ndescriptors = {DESCRIPTORS}\nmax_attempts = {attempts}\n\
         [servers]\nidle = {idle}\ncold_share = {cold:?}\nwarm_within = {warm}\nfall_multiple = {multiple:?}\n\
         fall_span = {span}\n\
         [[listener]]\nname = \"clients\"\naddress = \"127.0.0.1:0\"\n\
         [[pool]]\nname = \"servers\"\n{discovery}{classes}",
        name = name(node),
        fleet = settings.fleet,
        // TOML's numbers have a sign.
        seed = crate::random::RandomSource::new(settings.seed).derive(u64::from(node)).bits() >> 1,
        attempts = rules.max_attempts,
        idle = time(IDLE),
        cold = kind.slow_start_min_fraction,
        warm = time(kind.slow_start_window),
        multiple = rules.slow_start_overload_factor,
        span = time(rules.slow_start_overload_window),
        discovery = discovery(settings),
        classes = settings.classes.iter().map(class_table).collect::<String>(),
    )
}

/// The name of the node of this number.
pub fn name(node: u32) -> String {
    format!("real-{node}")
}

fn discovery(settings: &RealSettings) -> String {
    let quoted: Vec<_> = settings.replicas.iter().map(|address| format!("\"{address}\"")).collect();
    let mut text = match &quoted[..] {
        // As a node without replicas has it.
        [only] => format!("discovery = {only}\n"),
        all => format!("discovery = [{}]\n", all.join(", ")),
    };
    if let Some(capacity) = &settings.capacity {
        // Writing to a text does not fail.
        let _ = writeln!(text, "discovery_lines_per_second = {:?}", capacity.lines_per_second);
        let _ = writeln!(text, "discovery_call_lines = {:?}", capacity.call_lines);
    }
    text
}

/// A running node. It is killed when this is dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
    /// Where it listens for clients.
    pub address: SocketAddr,
}

impl Process {
    /// Starts a node with this file and waits until it is ready. Lines of its log from then on are counted.
    pub async fn start(
        program: &Path,
        file: &Path,
        node: u32,
        log_lines: Arc<AtomicU64>,
    ) -> Result<Self, RealError> {
        let mut command = Command::new(program);
        command.arg("run").arg("--with-parent").arg("--config").arg(file);
        for variable in ["LB_CONFIG", "LB_NAME", "LB_LISTEN", "LB_DISCOVERY", "NOTIFY_SOCKET"] {
            command.env_remove(variable);
        }
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped()).kill_on_drop(true);
        // Ctrl-C is for the run, which ends its nodes itself; a node that ended first would lose requests.
        command.process_group(0);
        let mut child = command.spawn().map_err(RealError::system(program.display().to_string()))?;
        let failed = |said: &str| RealError::Node { node, said: said.to_owned() };
        let log = child.stderr.take().ok_or_else(|| failed("it has no log"))?;
        let mut lines = BufReader::new(log).lines();
        let started = timeout(READY_WITHIN, listening(&mut lines, node)).await;
        let address = started.map_err(|_| failed("it does not listen"))??;
        // Its log must not fill the pipe.
        tokio::spawn(async move {
            while let Ok(Some(_)) = lines.next_line().await {
                log_lines.fetch_add(1, Ordering::Relaxed);
            }
        });
        tokio::select! {
            ready = timeout(READY_WITHIN, ready(address)) => ready.map_err(|_| failed("it is never ready"))?,
            _ = child.wait() => return Err(failed("it ended before it was ready")),
        }
        Ok(Self { child, address })
    }

    /// Its process id, while it runs.
    pub fn id(&self) -> Option<u32> {
        self.child.id()
    }

    /// Kills it and waits until it is gone.
    pub async fn kill(&mut self) {
        // It may have ended by itself.
        let _ = self.child.kill().await;
    }
}

/// Reads a log up to the line "node real-0 listens on 127.0.0.1:7070".
async fn listening(lines: &mut Lines<BufReader<ChildStderr>>, node: u32) -> Result<SocketAddr, RealError> {
    let mut said = String::new();
    loop {
        let line = lines.next_line().await.map_err(RealError::system("a node's log"))?;
        let Some(line) = line else { return Err(RealError::Node { node, said }) };
        if let Some(address) = line.split_once(" listens on ").and_then(|(_, text)| text.parse().ok()) {
            return Ok(address);
        }
        said = line;
    }
}

/// Asks until the answer is that the node is ready.
async fn ready(address: SocketAddr) {
    loop {
        let asked = async {
            let mut stream = TcpStream::connect(address).await?;
            stream.write_all(b"GET /healthz HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n").await?;
            let mut answer = String::new();
            stream.read_to_string(&mut answer).await?;
            Ok::<_, std::io::Error>(answer.starts_with("HTTP/1.1 200"))
        };
        if asked.await.unwrap_or(false) {
            return;
        }
        sleep(ASK_AGAIN).await;
    }
}
