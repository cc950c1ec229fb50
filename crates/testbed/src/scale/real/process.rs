//! Configures, starts and kills the daemon processes of the real nodes.

use super::{servers, RealError, RealSettings};
use crate::node_process::{read_address, wait_until_ready, Listening};
use crate::random::RandomSource;
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
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, Command};
use tokio::time::timeout;

/// Time within which a node must listen, and then time within which it must be ready; otherwise it has failed
/// to start. It may have to wait for discovery.
const START_TIMEOUT: Duration = Duration::from_secs(60);
/// Time between two readiness checks of a starting node.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Limit of descriptors of a node, for its connections from clients and to cache servers.
const DESCRIPTORS: u32 = 512;
/// Idle timeout of connections to cache servers.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Returns the configuration file of a node.
pub(super) fn config(settings: &RealSettings, node: u32) -> String {
    let quoted = |time: Duration| format!("\"{}\"", time_text(time));
    let (rules, kind) = (Script::default().rules, servers::kind());
    let zone = &settings.zones[node as usize % settings.zones.len()];
    format!(
        "version = 1\nname = \"{name}\"\nzone = {zone:?}\nnodes = {fleet}\nseed = {seed}\n\
         [limits]\ndescriptors = {DESCRIPTORS}\nmax_attempts = {attempts}\n\
         [servers]\nidle = {idle}\ncold_share = {cold:?}\nwarm_within = {warm}\nfall_multiple = {factor:?}\n\
         fall_span = {window}\n\
         [[listener]]\nname = \"clients\"\naddress = \"127.0.0.1:0\"\n\
         [[pool]]\nname = \"servers\"\n{discovery}{classes}",
        name = name(node),
        fleet = settings.fleet_size,
        // TOML integers are signed.
        seed = RandomSource::new(settings.seed).derive(u64::from(node)).bits() >> 1,
        attempts = rules.max_attempts,
        idle = quoted(IDLE_TIMEOUT),
        cold = kind.slow_start_min_fraction,
        warm = quoted(kind.slow_start_window),
        factor = rules.slow_start_overload_factor,
        window = quoted(rules.slow_start_overload_window),
        discovery = discovery_settings(settings),
        classes = settings.classes.iter().map(class_table).collect::<String>(),
    )
}

/// Returns the name of a node.
pub(super) fn name(node: u32) -> String {
    format!("real-{node}")
}

/// Returns the discovery settings of the pool.
fn discovery_settings(settings: &RealSettings) -> String {
    let quoted: Vec<_> = settings.replicas.iter().map(|address| format!("\"{address}\"")).collect();
    let mut text = match &quoted[..] {
        // A single address is written without a list, as for a discovery without replicas.
        [single] => format!("discovery = {single}\n"),
        all => format!("discovery = [{}]\n", all.join(", ")),
    };
    if let Some(capacity) = &settings.capacity {
        // Writing to a string does not fail.
        let _ = writeln!(text, "discovery_lines_per_second = {:?}", capacity.lines_per_second);
        let _ = writeln!(text, "discovery_call_lines = {:?}", capacity.call_lines);
    }
    text
}

/// A running node. Dropping it kills the process.
#[derive(Debug)]
pub(super) struct Process {
    child: Child,
    /// The address at which the node listens for clients.
    pub(super) address: SocketAddr,
}

impl Process {
    /// Starts a node with a configuration file and waits until it is ready. `log_lines` counts the lines that
    /// it logs after it has started to listen.
    pub(super) async fn start(
        program: &Path,
        file: &Path,
        node: u32,
        log_lines: Arc<AtomicU64>,
    ) -> Result<Self, RealError> {
        let mut command = command(program, file);
        let mut child = command.spawn().map_err(RealError::system(program.display().to_string()))?;
        let failed = |reason: &str| RealError::Node { node, reason: reason.to_owned() };
        let log = child.stderr.take().ok_or_else(|| failed("its standard error is not connected"))?;
        let mut log = BufReader::new(log).lines();
        let listening = timeout(START_TIMEOUT, read_address(&mut log)).await;
        let listening = listening.map_err(|_| failed("it does not listen in time"))?;
        let address = match listening.map_err(RealError::system("a node's log"))? {
            Listening::At(address) => address,
            Listening::LogEnded { last_line } => return Err(failed(&last_line)),
        };
        // The log is read to its end, since a full pipe would block the node.
        tokio::spawn(async move {
            while let Ok(Some(_)) = log.next_line().await {
                log_lines.fetch_add(1, Ordering::Relaxed);
            }
        });
        let ready = wait_until_ready(address, READY_POLL_INTERVAL);
        tokio::select! {
            ready = timeout(START_TIMEOUT, ready) => ready.map_err(|_| failed("it is not ready in time"))?,
            _ = child.wait() => return Err(failed("it ended before it was ready")),
        }
        Ok(Self { child, address })
    }

    /// Returns the process id; `None` if the process has ended.
    pub(super) fn id(&self) -> Option<u32> {
        self.child.id()
    }

    /// Kills the process and waits until it has ended.
    pub(super) async fn kill(&mut self) {
        // Killing fails if the process has ended already.
        let _ = self.child.kill().await;
    }
}

fn command(program: &Path, file: &Path) -> Command {
    let mut command = Command::new(program);
    command.arg("run").arg("--with-parent").arg("--config").arg(file);
    for variable in ["LB_CONFIG", "LB_NAME", "LB_LISTEN", "LB_DISCOVERY", "NOTIFY_SOCKET"] {
        command.env_remove(variable);
    }
    command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped()).kill_on_drop(true);
    // A process group of its own keeps Ctrl-C from the node. The run ends its nodes itself; a node that ended
    // first would lose requests.
    command.process_group(0);
    command
}
