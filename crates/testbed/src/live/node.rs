//! Nodes as processes of the real program: their configuration, their start, and their end.

use super::{LiveError, World};
use crate::fleet;
use crate::ledger::Fact;
use crate::script::Class;
use balancer_core::{DeduplicationScope, Idempotency};
use checked_toml::time_text;
use rustix::process::{kill_process, Pid, Signal};
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Stdio;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::process::{Child, Command};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// A node that is not ready after this does not come up at all.
const PATIENCE: Duration = Duration::from_secs(10);
/// The front has heard from a node that leaves after this.
const LEAVE_HEARD: Duration = Duration::from_millis(300);
/// A process that has handed over ends so long after the longest deadline: clients' connections have their time.
const LEAVES_WITHIN: Duration = Duration::from_secs(15);
/// Past the longest deadline, a node that was told to stop is killed after this.
const KILL_AFTER: Duration = Duration::from_millis(700);

/// A node, whether its process runs or not.
pub struct Node {
    discovery: SocketAddr,
    /// Known from its first start on, and the same afterwards.
    pub address: Option<SocketAddr>,
    /// Killed when it is dropped.
    child: Option<Child>,
    /// The front sends to it.
    pub fronted: bool,
    leaving: bool,
    /// Counts its starts.
    life: u32,
    /// What it was told last.
    list: Value,
    config: PathBuf,
    /// Where its file has it listen: where the system will, until it has to come back to where it was.
    listen: SocketAddr,
    /// How often its file has changed.
    changes: u32,
}

/// Takes in a node that asks discovery at this address and starts from this list.
pub fn prepare(world: &World, node: usize, discovery: SocketAddr, list: Value) {
    let config = world.folder.join(format!("node-{node}.json"));
    let fresh = Node {
        discovery,
        address: None,
        child: None,
        fronted: false,
        leaving: false,
        life: 0,
        list,
        config,
        listen: SocketAddr::from(([127, 0, 0, 1], 0)),
        changes: 0,
    };
    world.nodes.borrow_mut().push(fresh);
}

/// Keeps what a node was told: it starts from that again.
pub fn keep_list(world: &World, node: usize, list: Value) {
    world.nodes.borrow_mut()[node].list = list;
}

/// Starts all nodes, and waits until they are ready.
pub async fn start_all(world: &Rc<World>) -> Result<(), LiveError> {
    for node in 0..world.script.nodes as usize {
        start(world, node).await?;
    }
    Ok(())
}

fn config(world: &World, node: usize) -> Value {
    let script = &world.script;
    let nodes = world.nodes.borrow();
    let Node { discovery, listen, life, list, .. } = &nodes[node];
    let micros = |time: Duration| time.as_micros() as u64;
    let classes = script.classes.iter().map(|class| {
        let (effect, scope, window) = match class.effect {
            Idempotency::Idempotent => ("safe", DeduplicationScope::All, Duration::ZERO),
            Idempotency::WithKey { scope, window } => ("keyed", scope, window),
            Idempotency::NotIdempotent => ("unsafe", DeduplicationScope::All, Duration::ZERO),
        };
        let scope = match scope {
            DeduplicationScope::All => "all",
            DeduplicationScope::Zone => "zone",
            DeduplicationScope::Cell => "cell",
        };
        json!({"name": class.name, "effect": effect, "dedup_scope": scope, "repeat_window_us": micros(window),
               "promise_us": micros(class.aim), "hard_limit_us": micros(class.deadline),
               "worth": class.worth, "late_value": class.late_worth})
    });
    let cold = script.boxes.iter().map(|kind| kind.cold).fold(1.0, f64::min);
    let warm = script.boxes.iter().map(|kind| kind.warm_within).max().unwrap_or_default();
    json!({
        "name": format!("n{node}"), "listen": listen.to_string(), "discovery": discovery.to_string(),
        "seed": format!("{:016x}", world.draw.on(node as u64).on(u64::from(*life)).bits()),
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": list,
        "settings": {
            "az": script.zones[node % script.zones.len()], "zones": script.zones, "balancers": script.nodes,
            "membership_mode": "subscribe", "orgs": [], "lanes": classes.collect::<Vec<_>>(),
            "limits": {
                "connect_timeout_us": micros(script.network.connect_timeout), "keepalive_us": micros(script.network.idle),
                "most_tries": script.rules.max_attempts, "cancelling": true, "retry_after": true,
                "max_retry_after_us": micros(script.clients.max_retry_after), "second_copies": true, "probing": false,
            },
            "safety": {"cold_share": cold, "warm_within_us": micros(warm),
                       "fall_multiple": script.rules.fall_multiple, "fall_us": micros(script.rules.fall_span)},
        },
    })
}

/// The same as an operator writes it. At every other change the classes stand the other way round, and there is a further
/// listener.
fn file(world: &World, node: usize) -> String {
    let script = &world.script;
    let nodes = world.nodes.borrow();
    let Node { discovery, listen, life, changes, config, .. } = &nodes[node];
    let settings = fleet::settings(script, node % script.zones.len());
    let time = |time: Duration| format!("\"{}\"", time_text(time));
    let odd = changes % 2 == 1;
    let mut classes: Vec<_> = script.classes.iter().map(class_table).collect();
    if odd {
        classes.reverse();
    }
    let further = if odd { "[[listener]]\nname = \"further\"\naddress = \"127.0.0.1:0\"\n" } else { "" };
    let seed = world.draw.on(node as u64).on(u64::from(*life)).bits() >> 1;
    format!(
        "version = 1\nname = \"n{node}\"\nzone = \"{zone}\"\nnodes = {count}\nseed = {seed}\n\
         [limits]\ndescriptors = 1024\nmax_attempts = {attempts}\nmax_retry_after = {away}\n\
         [servers]\nconnect_timeout = {connect}\nidle = {idle}\ncold_share = {cold:?}\nwarm_within = {warm}\n\
         fall_multiple = {multiple:?}\nfall_span = {span}\n\
         [hand_over]\nsocket = {socket:?}\nwithin = \"10s\"\nprobation = \"2s\"\n\
         [[listener]]\nname = \"clients\"\naddress = \"{listen}\"\n{further}\
         [[pool]]\nname = \"boxes\"\ndiscovery = \"{discovery}\"\n{classes}",
        zone = script.zones[node % script.zones.len()],
        count = script.nodes,
        attempts = settings.max_attempts,
        away = time(settings.max_retry_after),
        connect = time(settings.connect_timeout),
        idle = time(settings.server_idle_timeout),
        cold = settings.slow_start_min_fraction,
        warm = time(settings.slow_start_window),
        multiple = settings.slow_start_overload_factor,
        span = time(settings.slow_start_overload_window),
        socket = config.with_extension("sock").display().to_string(),
        classes = classes.concat(),
    )
}

/// A class as an operator's file has it.
pub fn class_table(class: &Class) -> String {
    let time = |time: Duration| format!("\"{}\"", time_text(time));
    let effect = match class.effect {
        Idempotency::Idempotent => "\"safe\"".to_owned(),
        Idempotency::NotIdempotent => "\"unsafe\"".to_owned(),
        Idempotency::WithKey { scope, window } => {
            let scope = match scope {
                DeduplicationScope::All => "all",
                DeduplicationScope::Zone => "zone",
                DeduplicationScope::Cell => "cell",
            };
            format!("\"keyed\"\nscope = \"{scope}\"\nwindow = {}", time(window))
        }
    };
    format!(
        "[[class]]\nname = {name:?}\neffect = {effect}\naim = {aim}\ndeadline = {deadline}\nworth = {worth:?}\n\
         late_worth = {late:?}\n",
        name = class.name,
        aim = time(class.aim),
        deadline = time(class.deadline),
        worth = class.worth,
        late = class.late_worth,
    )
}

/// Writes a node's configuration, in one step.
fn write(world: &World, node: usize) -> Result<PathBuf, LiveError> {
    let text = match world.script.operated() {
        true => file(world, node),
        false => config(world, node).to_string(),
    };
    let path = world.nodes.borrow()[node].config.clone();
    let beside = path.with_extension("new");
    let written = std::fs::write(&beside, text).and_then(|()| std::fs::rename(&beside, &path));
    written.map_err(LiveError::system(format!("{}", path.display())))?;
    Ok(path)
}

async fn start(world: &Rc<World>, node: usize) -> Result<(), LiveError> {
    let (address, child) = process(world, node).await?;
    world.note(Fact::Started { node });
    let mut nodes = world.nodes.borrow_mut();
    let state = &mut nodes[node];
    (state.address, state.child, state.life) = (Some(address), Some(child), state.life + 1);
    (state.fronted, state.leaving) = (true, false);
    Ok(())
}

/// Starts a process of a node's, and waits until it is ready.
async fn process(world: &Rc<World>, node: usize) -> Result<(SocketAddr, Child), LiveError> {
    let path = write(world, node)?;
    let mut command = Command::new(&world.program);
    for variable in ["LB_NAME", "LB_LISTEN", "LB_DISCOVERY"] {
        command.env_remove(variable);
    }
    match world.script.operated() {
        true => command.arg("run").arg("--config").arg(&path),
        false => command.env("LB_CONFIG", &path),
    };
    command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped()).kill_on_drop(true);
    let mut child = command.spawn().map_err(LiveError::system(format!("{}", world.program.display())))?;
    let failed = |said: String| LiveError::Node { node, said };
    let log = child.stderr.take().ok_or_else(|| failed("no log".into()))?;
    let mut lines = BufReader::new(log).lines();
    // "node n0 listens on 127.0.0.1:7070", behind what is said of a hand-over
    let listening = async {
        let mut said = String::new();
        loop {
            let Some(line) = lines.next_line().await.map_err(LiveError::system("a node's log"))? else {
                return Err(failed(said));
            };
            if let Some(address) = line.split_once(" listens on ").and_then(|(_, text)| text.parse().ok()) {
                return Ok::<SocketAddr, _>(address);
            }
            said = line;
        }
    };
    let address = timeout(PATIENCE, listening).await.map_err(|_| failed("nothing".into()))??;
    let counting = world.clone();
    spawn_local(async move {
        while let Ok(Some(_)) = lines.next_line().await {
            counting.state.borrow_mut().counts.log_lines += 1;
        }
    });
    timeout(PATIENCE, ready(address)).await.map_err(|_| failed("it is never ready".into()))?;
    Ok((address, child))
}

/// Starts another process in a node's place; the one before ends by itself.
pub async fn upgrade(world: Rc<World>, node: usize) {
    if world.nodes.borrow()[node].leaving || world.nodes.borrow()[node].child.is_none() {
        return;
    }
    match process(&world, node).await {
        Ok((_, child)) => {
            let before = world.nodes.borrow_mut()[node].child.replace(child);
            let Some(mut before) = before else { return };
            let longest = world.script.classes.iter().map(|class| class.deadline).max().unwrap_or_default();
            if timeout(longest + LEAVES_WITHIN, before.wait()).await.is_err() {
                world.fail(LiveError::Node { node, said: "it has handed over and does not end".into() });
            }
        }
        Err(error) => world.fail(error),
    }
}

/// Changes a node's file, and tells it.
pub fn reload(world: &World, node: usize) {
    world.nodes.borrow_mut()[node].changes += 1;
    if let Err(error) = write(world, node) {
        return world.fail(error);
    }
    world.nodes.borrow()[node].child.iter().for_each(|child| signal(child, Signal::HUP));
}

fn signal(child: &Child, signal: Signal) {
    if let Some(process) = child.id().and_then(|id| Pid::from_raw(id as i32)) {
        // It may have ended by itself.
        let _ = kill_process(process, signal);
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
        sleep(Duration::from_millis(5)).await;
    }
}

/// Ends a node's process, killed outright or told to stop, and starts it again.
pub async fn restart(world: Rc<World>, node: usize, killed: bool, down: Duration) {
    let child = {
        let mut nodes = world.nodes.borrow_mut();
        let state = &mut nodes[node];
        if state.leaving {
            return;
        }
        state.leaving = true;
        state.child.take()
    };
    let Some(mut child) = child else { return };
    let heard = if killed { world.script.front_notice } else { LEAVE_HEARD };
    let noticing = world.clone();
    let life = world.nodes.borrow()[node].life;
    spawn_local(async move {
        sleep(heard).await;
        let mut nodes = noticing.nodes.borrow_mut();
        if nodes[node].life == life {
            nodes[node].fronted = false;
        }
    });
    if killed {
        kill(&world, node, &mut child).await;
    } else {
        signal(&child, Signal::TERM);
        let longest = world.script.classes.iter().map(|class| class.deadline).max().unwrap_or_default();
        if timeout(longest + KILL_AFTER, child.wait()).await.is_err() {
            kill(&world, node, &mut child).await;
        }
    }
    sleep(down).await;
    {
        let mut nodes = world.nodes.borrow_mut();
        let state = &mut nodes[node];
        state.listen = state.address.unwrap_or(state.listen);
    }
    if let Err(error) = start(&world, node).await {
        world.fail(error);
    }
}

async fn kill(world: &World, node: usize, child: &mut Child) {
    // It may have ended by itself.
    let _ = child.kill().await;
    // Not before: until it is gone, clients go on giving it requests.
    world.note(Fact::Killed { node, at: world.now() });
}
