//! Starts, upgrades, reloads and ends the node processes.

use super::context::Context;
use super::error::SocketRunError;
use super::node_config;
use crate::judge::Observation;
use crate::node_process::{
    read_address, wait_until_ready, Listening, KILLED_AFTER_LONGEST_DEADLINE, SHUTDOWN_ANNOUNCED_AFTER,
};
use rustix::process::{kill_process, Pid, Signal};
use serde_json::Value;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, Command};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// Maximum time until the log of a started node names its address, and again until the node is ready.
const START_TIMEOUT: Duration = Duration::from_secs(10);
/// Time between two readiness checks of a starting node.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// How long after the longest deadline a predecessor must have ended. Client connections may stay open for
/// that long.
const PREDECESSOR_EXIT_TIMEOUT: Duration = Duration::from_secs(15);

/// A node. Its process need not be running.
pub(super) struct Node {
    /// Discovery's address for this node.
    pub(super) discovery: SocketAddr,
    /// Address on which the node listens for clients; `None` before its first start.
    pub(super) address: Option<SocketAddr>,
    /// The running process. Dropping it kills the process.
    process: Option<Child>,
    /// Whether the front sends requests to the node.
    pub(super) in_rotation: bool,
    shutting_down: bool,
    /// Number of starts.
    pub(super) incarnation: u32,
    /// Endpoint list that the node starts with.
    pub(super) start_list: Value,
    pub(super) config_file: PathBuf,
    /// Listen address in the configuration. The system chooses the port at the first start; restarts keep it.
    pub(super) listen: SocketAddr,
    /// Number of reloads.
    pub(super) reloads: u32,
}

/// Adds the next node without starting it.
pub(super) fn prepare(context: &Context, node: usize, discovery: SocketAddr, start_list: Value) {
    context.nodes.borrow_mut().push(Node {
        discovery,
        address: None,
        process: None,
        in_rotation: false,
        shutting_down: false,
        incarnation: 0,
        start_list,
        config_file: context.folder.join(format!("node-{node}.json")),
        listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
        reloads: 0,
    });
}

/// Sets the endpoint list that a node starts with.
pub(super) fn set_start_list(context: &Context, node: usize, list: Value) {
    context.nodes.borrow_mut()[node].start_list = list;
}

/// Starts all nodes and waits until they are ready.
pub(super) async fn start_all(context: &Rc<Context>) -> Result<(), SocketRunError> {
    for node in 0..context.script.nodes as usize {
        start(context, node).await?;
    }
    Ok(())
}

async fn start(context: &Rc<Context>, node: usize) -> Result<(), SocketRunError> {
    let (address, process) = start_process(context, node).await?;
    context.record(Observation::NodeStarted { node });
    let mut nodes = context.nodes.borrow_mut();
    let state = &mut nodes[node];
    state.address = Some(address);
    state.process = Some(process);
    state.incarnation += 1;
    (state.in_rotation, state.shutting_down) = (true, false);
    Ok(())
}

/// Writes the configuration file of a node atomically, so that a reader never sees a part of it.
fn write_config(context: &Context, node: usize) -> Result<PathBuf, SocketRunError> {
    let text = node_config::text(context, node);
    let path = context.nodes.borrow()[node].config_file.clone();
    let new = path.with_extension("new");
    let written = std::fs::write(&new, text).and_then(|()| std::fs::rename(&new, &path));
    written.map_err(SocketRunError::system(format!("{}", path.display())))?;
    Ok(path)
}

/// Starts a process of a node and waits until it is ready.
async fn start_process(context: &Rc<Context>, node: usize) -> Result<(SocketAddr, Child), SocketRunError> {
    let config_file = write_config(context, node)?;
    let mut command = command(context, &config_file);
    let program = context.program.display().to_string();
    let mut process = command.spawn().map_err(SocketRunError::system(program))?;
    let failed = |reason: String| SocketRunError::Node { node, reason };
    let log = process.stderr.take().ok_or_else(|| failed("its standard error is not captured".into()))?;
    let mut log = BufReader::new(log).lines();
    let listening = timeout(START_TIMEOUT, read_address(&mut log)).await;
    let listening =
        listening.map_err(|_| failed(format!("its log names no listen address within {START_TIMEOUT:?}")))?;
    let address = match listening.map_err(SocketRunError::system("reading a node's log"))? {
        Listening::At(address) => address,
        Listening::LogEnded { last_line } => return Err(failed(last_line)),
    };
    let counting = context.clone();
    spawn_local(async move {
        while let Ok(Some(_)) = log.next_line().await {
            counting.state.borrow_mut().statistics.log_lines += 1;
        }
    });
    let ready = timeout(START_TIMEOUT, wait_until_ready(address, READY_POLL_INTERVAL)).await;
    ready.map_err(|_| failed(format!("it is not ready within {START_TIMEOUT:?}")))?;
    Ok((address, process))
}

fn command(context: &Context, config_file: &Path) -> Command {
    let mut command = Command::new(&context.program);
    for variable in ["LB_NAME", "LB_LISTEN", "LB_DISCOVERY"] {
        command.env_remove(variable);
    }
    if context.script.uses_operator_file() {
        command.arg("run").arg("--config").arg(config_file);
    } else {
        command.env("LB_CONFIG", config_file);
    }
    command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped()).kill_on_drop(true);
    command
}

/// Starts a successor of a node's process. The predecessor hands over to the successor and ends by itself.
pub(super) async fn upgrade(context: Rc<Context>, node: usize) {
    {
        let nodes = context.nodes.borrow();
        if nodes[node].shutting_down || nodes[node].process.is_none() {
            return;
        }
    }
    let successor = match start_process(&context, node).await {
        Ok((_, successor)) => successor,
        Err(error) => return context.abort(error),
    };
    let predecessor = context.nodes.borrow_mut()[node].process.replace(successor);
    let Some(mut predecessor) = predecessor else { return };
    let limit = context.script.longest_deadline() + PREDECESSOR_EXIT_TIMEOUT;
    if timeout(limit, predecessor.wait()).await.is_err() {
        let reason = format!("its predecessor has not ended {limit:?} after the hand-over");
        context.abort(SocketRunError::Node { node, reason });
    }
}

/// Rewrites a node's configuration and signals the node to reload it.
pub(super) fn reload(context: &Context, node: usize) {
    context.nodes.borrow_mut()[node].reloads += 1;
    if let Err(error) = write_config(context, node) {
        return context.abort(error);
    }
    context.nodes.borrow()[node].process.iter().for_each(|process| send_signal(process, Signal::HUP));
}

fn send_signal(process: &Child, signal: Signal) {
    if let Some(id) = process.id().and_then(|id| Pid::from_raw(id as i32)) {
        // An error means that the process has already ended.
        let _ = kill_process(id, signal);
    }
}

/// Kills a node's process or shuts it down gracefully, and starts the node again after `downtime`.
pub(super) async fn restart(context: Rc<Context>, node: usize, killed: bool, downtime: Duration) {
    let process = {
        let mut nodes = context.nodes.borrow_mut();
        let state = &mut nodes[node];
        if state.shutting_down {
            return;
        }
        state.shutting_down = true;
        state.process.take()
    };
    let Some(mut process) = process else { return };
    let detected_after = if killed { context.script.front_detection_delay } else { SHUTDOWN_ANNOUNCED_AFTER };
    let incarnation = context.nodes.borrow()[node].incarnation;
    spawn_local(leave_rotation(context.clone(), node, incarnation, detected_after));
    if killed {
        kill(&context, node, &mut process).await;
    } else {
        shut_down(&context, node, &mut process).await;
    }
    sleep(downtime).await;
    {
        let mut nodes = context.nodes.borrow_mut();
        let state = &mut nodes[node];
        state.listen = state.address.unwrap_or(state.listen);
    }
    if let Err(error) = start(&context, node).await {
        context.abort(error);
    }
}

/// Makes the front stop sending requests to this incarnation of a node after a delay.
async fn leave_rotation(context: Rc<Context>, node: usize, incarnation: u32, after: Duration) {
    sleep(after).await;
    let state = &mut context.nodes.borrow_mut()[node];
    if state.incarnation == incarnation {
        state.in_rotation = false;
    }
}

async fn shut_down(context: &Context, node: usize, process: &mut Child) {
    send_signal(process, Signal::TERM);
    let limit = context.script.longest_deadline() + KILLED_AFTER_LONGEST_DEADLINE;
    if timeout(limit, process.wait()).await.is_err() {
        kill(context, node, process).await;
    }
}

async fn kill(context: &Context, node: usize, process: &mut Child) {
    // An error means that the process has already ended.
    let _ = process.kill().await;
    // Recorded only after the process has ended, because clients may send requests to it until then.
    context.record(Observation::NodeKilled { node, at: context.now() });
}
