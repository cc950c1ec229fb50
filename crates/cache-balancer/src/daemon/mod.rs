//! One node: start-up, wiring, and the signals.

mod change;
mod listeners;
mod node;
mod pools;
mod succession;

use crate::config::{operator, platform, Config};
use crate::handover::{Giver, Successor, Taking};
use crate::log::log;
use crate::manager::{Manager, Passed};
use crate::readiness::Readiness;
use listeners::{bind, Opened};
use node::{places, Node};
use rustix::process::Signal as Kill;
use std::error::Error;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use succession::{Step, Succession, Taken};
use tokio::runtime;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::task::{spawn_local, LocalSet};

/// Where the configuration comes from.
#[derive(Clone, Debug)]
enum Origin {
    /// The platform's environment.
    Platform,
    /// An operator's file.
    Operator(PathBuf),
}

/// Serves until SIGTERM, as the platform's environment says.
pub fn start() -> Result<(), Box<dyn Error>> {
    let config = platform::load(|name| std::env::var(name).ok())?;
    block_on(config, Origin::Platform)
}

/// Serves until SIGTERM, or until another process has taken over, as an operator's file says.
pub fn start_from(path: &Path, with_parent: bool) -> Result<(), Box<dyn Error>> {
    if with_parent {
        rustix::process::set_parent_process_death_signal(Some(rustix::process::Signal::TERM))?;
    }
    block_on(within_own_descriptors(operator::load(path)?), Origin::Operator(path.to_owned()))
}

fn block_on(config: Config, origin: Origin) -> Result<(), Box<dyn Error>> {
    // A node has one core: one thread, and no locks between its parts.
    let runtime = runtime::Builder::new_current_thread().enable_all().build()?;
    let ended = LocalSet::new().block_on(&runtime, run(config, origin));
    // A file that lets its reader wait must not hold up the node's end.
    runtime.shutdown_background();
    ended
}

fn within_own_descriptors(mut config: Config) -> Config {
    let own = operator::own_descriptors();
    if config.descriptors > own {
        log!("the system lets this process hold {own} descriptors, not {}", config.descriptors);
        config.descriptors = own;
    }
    config
}

async fn run(config: Config, origin: Origin) -> Result<(), Box<dyn Error>> {
    // Before anything else: a signal without a handler ends the process.
    let mut signals = Signals {
        terminate: signal(SignalKind::terminate())?,
        hangup: signal(SignalKind::hangup())?,
        succeed: signal(SignalKind::user_defined2())?,
    };
    let (manager, passed) = match origin {
        Origin::Platform => (Manager::none(), Passed::default()),
        Origin::Operator(_) => {
            let names: Vec<_> = config.listeners.iter().map(|listener| listener.name.as_str()).collect();
            (Manager::from_env(), Passed::from_env(&names)?)
        }
    };
    let places = places(&config)?;
    let asked = async {
        match &config.hand_over {
            Some(settings) => Taking::ask(settings).await,
            None => Ok(None),
        }
    };
    let (taking, mut opened, known) = match asked.await? {
        Some((taking, offered)) => {
            let known = offered.state.map_or(Vec::new(), |state| state.pools);
            (Some(taking), Opened { passed, offered: offered.sockets }, known)
        }
        None => (None, Opened { passed, offered: Vec::new() }, Vec::new()),
    };
    let bound = bind(&config.listeners, 0..config.listeners.len(), &mut opened).await?;
    let mut node = Node::start(config, places, known);
    let socket = node.config.hand_over.clone();
    let (before, giver) = match taking {
        // Nobody is there yet: where there can be no socket, nothing is taken.
        None => {
            let giver = socket.map(Giver::bind).transpose();
            let giver = giver.map_err(|error| format!("hand_over.socket: {error}"))?;
            node.listen(bound);
            (None, giver)
        }
        Some(taking) => {
            let terminate = &mut signals.terminate;
            let before = match succession::take(&mut node, taking, bound, terminate).await? {
                Taken::Owned(before) => before,
                // The service's manager is told nothing: the process that serves may go on.
                Taken::Terminated => {
                    node.listeners.hand_over();
                    node.listeners.close().await;
                    return Ok(());
                }
                Taken::Withdrawn(why) => {
                    finish(node, terminate).await;
                    return Err(why.into());
                }
            };
            // What another process used until now is this one's, which has clients by now: it serves on without.
            let bound = socket.map(Giver::bind).transpose();
            let giver = bound
                .inspect_err(|error| log!("hand-over: nobody can take over: {error}"))
                .unwrap_or_default();
            (Some(before), giver)
        }
    };
    let taken = before.is_some();
    let succession = Succession::new(before, giver);
    if taken && !succession.on_probation() {
        manager.main(std::process::id());
    }
    spawn_local(tell_ready(manager.clone(), node.readiness.clone()));
    serve(node, succession, &manager, &origin, signals).await
}

struct Signals {
    terminate: Signal,
    /// The configuration is to be read again.
    hangup: Signal,
    /// A successor is to be started.
    succeed: Signal,
}

/// Serves until it is told to stop, or another process has taken over for good.
async fn serve(
    mut node: Node,
    mut succession: Succession,
    manager: &Manager,
    origin: &Origin,
    Signals { mut terminate, mut hangup, mut succeed }: Signals,
) -> Result<(), Box<dyn Error>> {
    let mut successor = Successor::default();
    let feed = |node: &Node| spawn_local(manager.clone().keep_watchdog(node.drivers.subscribe()));
    let mut watchdog = feed(&node);
    loop {
        let busy = succession.busy();
        tokio::select! {
            biased;
            _ = terminate.recv() => break,
            happened = succession.next(&node) => {
                match succession.handle(happened, &node, manager).await {
                    Step::Same => {}
                    Step::StandingBy => {
                        // The one that serves says that it lives.
                        watchdog.abort();
                        log!("node {} stands by: its successor serves, on probation", node.config.name);
                    }
                    Step::TakenBack => {
                        watchdog = feed(&node);
                        log!("node {} has taken the clients back and serves again", node.config.name);
                        manager.taken_back();
                    }
                    Step::Given => {
                        log!("node {} has handed over", node.config.name);
                        finish(node, &mut terminate).await;
                        manager.told().await;
                        return Ok(());
                    }
                }
            }
            // A change waits for the end of a hand-over: what was offered is what holds.
            _ = hangup.recv(), if !busy => {
                // Whoever signals this process means the service.
                if succession.stands_by() {
                    succession.relay(Kill::HUP);
                    continue;
                }
                if node.readiness.reached() {
                    manager.reloading();
                }
                // Signals that come meanwhile are one more: the file is read again once this is done.
                let prepared = tokio::select! {
                    biased;
                    _ = terminate.recv() => break,
                    prepared = node.prepare(origin) => prepared,
                };
                let unusable = match prepared {
                    Ok(prepared) => {
                        let moved = node.apply(prepared);
                        succession.reconfigure(moved, &node.config);
                        None
                    }
                    Err(error) => Some(error.to_string()),
                };
                if let Some(error) = &unusable {
                    log!("configuration not taken: {error}");
                }
                if node.readiness.reached() {
                    match unusable {
                        None => manager.ready(),
                        Some(error) => manager.kept(&error),
                    }
                }
            }
            _ = succeed.recv() => match (&node.config.hand_over, succession.barred()) {
                _ if succession.stands_by() => succession.relay(Kill::USR2),
                (Some(_), None) => successor.start(),
                (Some(_), Some(left)) => {
                    log!("hand-over: no successor is started: two have died with clients in their hands; ask again in {:.0} s", left.as_secs_f64());
                }
                (None, _) => log!("hand-over: the configuration has no [hand_over]"),
            },
            () = successor.ended() => {}
        }
    }
    if succession.stop(manager).await {
        // The service goes on in another process.
        log!("node {} is told to stop, and has handed over", node.config.name);
        node.listeners.hand_over();
        node.listeners.close().await;
        manager.told().await;
        return Ok(());
    }
    stop(node, manager).await
}

/// Finishes what was taken, with another process accepting; told to stop, it also ends the connections that nobody uses.
async fn finish(mut node: Node, terminate: &mut Signal) {
    node.listeners.hand_over();
    tokio::select! {
        () = node.listeners.ended() => {}
        _ = terminate.recv() => node.listeners.close().await,
    }
}

async fn stop(node: Node, manager: &Manager) -> Result<(), Box<dyn Error>> {
    log!("node {} is told to stop", node.config.name);
    manager.stopping();
    node.listeners.close().await;
    Ok(())
}

/// Tells the manager when every pool has known a server that takes work, and until then which has not.
async fn tell_ready(manager: Manager, readiness: Rc<Readiness>) {
    readiness.wait(|pool| manager.status(format!("waiting for cache servers of pool {pool}"))).await;
    manager.ready();
}
