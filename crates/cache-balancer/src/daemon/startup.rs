//! Starts a node. If another process of the node is serving, this process takes over from it.

use super::error::{ConfigureError, StartError};
use super::graceful_restart::{take_over, GracefulRestart, Takeover};
use super::listeners::{bind, BoundSockets, InheritedSockets};
use super::node::{max_connections, Node, ProcessMemory};
use super::serve::{finish, Daemon};
use super::ConfigSource;
use crate::config::Config;
use crate::handover::{PoolState, PredecessorEndpoint, SuccessorEndpoint};
use crate::log::log;
use crate::readiness::Readiness;
use crate::service_manager::{ActivationSockets, ServiceManager};
use crate::signals::Signals;
use std::io;
use std::rc::Rc;
use tokio::task::spawn_local;

/// Starts the node and serves until SIGTERM or until another process has taken over.
pub(super) async fn run(config: Config, source: ConfigSource) -> Result<(), StartError> {
    // The handlers are installed first, because a signal without a handler ends the process.
    let mut signals = Signals::install()?;
    let (manager, activation) = connect_service_manager(&config, &source)?;
    let max_connections = max_connections(&config)?;
    let memory = ProcessMemory::start(&config, max_connections);
    let (predecessor, mut inherited, learned) = request_handover(&config, &memory, activation).await?;
    let bound = bind(&config.listeners, 0..config.listeners.len(), &mut inherited)?;
    let mut node = Node::start(config, max_connections, memory, learned);
    let restart = match predecessor {
        None => serve_alone(&mut node, bound)?,
        Some(endpoint) => match take_over(&mut node, endpoint, bound, &mut signals.terminate).await? {
            Takeover::Serving(predecessor) => {
                let restart = GracefulRestart::new(Some(predecessor), listen_for_successor(&node));
                if !restart.on_probation() {
                    manager.notify_main_process(std::process::id());
                }
                restart
            }
            // The service manager is not notified, since the predecessor may continue to serve.
            Takeover::Terminated => {
                node.listeners.hand_over();
                node.listeners.close().await;
                return Ok(());
            }
            Takeover::Cancelled(error) => {
                finish(node, &mut signals.terminate).await;
                return Err(error.into());
            }
        },
    };
    spawn_local(notify_readiness(manager.clone(), node.readiness.clone()));
    Daemon::new(node, restart, manager, source).serve(signals).await;
    Ok(())
}

fn connect_service_manager(
    config: &Config,
    source: &ConfigSource,
) -> Result<(ServiceManager, ActivationSockets), StartError> {
    match source {
        ConfigSource::Platform => Ok((ServiceManager::none(), ActivationSockets::default())),
        ConfigSource::Operator(_) => {
            let names: Vec<_> = config.listeners.iter().map(|listener| listener.name.as_str()).collect();
            Ok((ServiceManager::from_env(), ActivationSockets::from_env(&names)?))
        }
    }
}

/// Requests a hand-over from the predecessor, if one is serving. Returns the connection to it, the inherited
/// sockets and the learned state of the pools.
async fn request_handover(
    config: &Config,
    memory: &ProcessMemory,
    activation: ActivationSockets,
) -> Result<(Option<SuccessorEndpoint>, InheritedSockets, Vec<PoolState>), StartError> {
    let response = match &config.handover {
        Some(config) => SuccessorEndpoint::request(config, &memory.account).await?,
        None => None,
    };
    Ok(match response {
        Some((endpoint, offered)) => {
            let learned = offered.state.map_or(Vec::new(), |state| state.pools);
            (Some(endpoint), InheritedSockets { activation, handed_over: offered.sockets }, learned)
        }
        None => (None, InheritedSockets { activation, handed_over: Vec::new() }, Vec::new()),
    })
}

/// Listens for a successor, if hand-overs are configured.
fn bind_endpoint(node: &Node) -> io::Result<Option<PredecessorEndpoint>> {
    let bind = |config| PredecessorEndpoint::bind(config, node.memory().clone());
    node.config.handover.clone().map(bind).transpose()
}

/// Serves without a predecessor. Fails if the hand-over socket cannot be bound. No client is lost in that
/// case, since this process has not accepted any connection yet.
fn serve_alone(node: &mut Node, bound: BoundSockets) -> Result<GracefulRestart, StartError> {
    let endpoint = bind_endpoint(node);
    let endpoint = endpoint.map_err(ConfigureError::HandoverSocket)?;
    node.listen(bound);
    Ok(GracefulRestart::new(None, endpoint))
}

/// Listens for a successor in place of the predecessor. A failure is only logged, because this process
/// already serves clients.
fn listen_for_successor(node: &Node) -> Option<PredecessorEndpoint> {
    let endpoint = bind_endpoint(node);
    endpoint.inspect_err(|error| log!("hand-over: no successor can connect: {error}")).unwrap_or_default()
}

/// Notifies the service manager once every pool has had a server that accepts requests. Until then, reports
/// the pool that the node is waiting for.
async fn notify_readiness(manager: ServiceManager, readiness: Rc<Readiness>) {
    readiness.wait(|pool| manager.notify_status(format!("waiting for cache servers of pool {pool}"))).await;
    manager.notify_ready();
}
