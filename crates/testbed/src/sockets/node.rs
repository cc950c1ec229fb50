//! Nodes as processes of the daemon: their start, upgrade, reload and end.

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

/// A node that is not ready after this time has failed to start.
const START_TIMEOUT: Duration = Duration::from_secs(10);
/// How often a starting node is asked whether it is ready.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// How long after the longest deadline a predecessor ends: the connections of clients have that much time.
const PREDECESSOR_ENDS_WITHIN: Duration = Duration::from_secs(15);

/// A node, whether its process runs or not.
pub(super) struct Node {
    /// The address of discovery for this node.
    pub(super) discovery: SocketAddr,
    /// Where it listens for clients; `None` before its first start.
    pub(super) address: Option<SocketAddr>,
    /// Killed when it is dropped.
    process: Option<Child>,
    /// The front sends requests to it.
    pub(super) in_rotation: bool,
    shutting_down: bool,
    /// Counts its starts.
    pub(super) incarnation: u32,
    /// The endpoint list that it starts with.
    pub(super) start_list: Value,
    pub(super) config_file: PathBuf,
    /// The address in its configuration: chosen by the system at the first start, and the same one afterwards.
    pub(super) listen: SocketAddr,
    /// The number of reloads.
    pub(super) reloads: u32,
}

/// Prepares the next node. It is not started yet.
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

/// Writes the configuration of a node; a reader never sees a part of it.
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
    let log = process.stderr.take().ok_or_else(|| failed("no log".into()))?;
    let mut log = BufReader::new(log).lines();
    let listening = timeout(START_TIMEOUT, read_address(&mut log)).await;
    let listening = listening.map_err(|_| failed("nothing".into()))?;
    let address = match listening.map_err(SocketRunError::system("a node's log"))? {
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
    ready.map_err(|_| failed("it is never ready".into()))?;
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

/// Starts a successor of a node's process. The predecessor ends by itself.
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
    let limit = context.script.longest_deadline() + PREDECESSOR_ENDS_WITHIN;
    if timeout(limit, predecessor.wait()).await.is_err() {
        let reason = "it has handed over and does not end".into();
        context.abort(SocketRunError::Node { node, reason });
    }
}

/// Changes the configuration of a node, and signals it to reload.
pub(super) fn reload(context: &Context, node: usize) {
    context.nodes.borrow_mut()[node].reloads += 1;
    if let Err(error) = write_config(context, node) {
        return context.abort(error);
    }
    context.nodes.borrow()[node].process.iter().for_each(|process| send_signal(process, Signal::HUP));
}

fn send_signal(process: &Child, signal: Signal) {
    if let Some(id) = process.id().and_then(|id| Pid::from_raw(id as i32)) {
        // It may have ended by itself.
        let _ = kill_process(id, signal);
    }
}

/// Ends a node's process, by a kill or a graceful shutdown, and starts the node again.
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

/// After a time, the front no longer sends requests to this incarnation of a node.
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
    // It may have ended by itself.
    let _ = process.kill().await;
    // Recorded once it is gone: until then, clients may still send requests to it.
    context.record(Observation::NodeKilled { node, at: context.now() });
}
