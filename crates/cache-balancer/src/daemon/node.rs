//! The components of a node, and the reload of its configuration.

use super::change::Change;
use super::error::ConfigureError;
use super::listeners::{bind, BoundSockets, InheritedSockets, Listeners};
use super::pools::Pools;
use super::{limit_descriptors, ConfigSource};
use crate::config::{operator, platform, Config, HandoverConfig, MIN_CONNECTIONS, RESERVED_DESCRIPTORS};
use crate::frontend::http1::Frontend;
use crate::handover::{PoolState, PredecessorEndpoint, State};
use crate::input::DriverInput;
use crate::log::log;
use crate::readiness::Readiness;
use crate::upstream::ConnectionLimit;
use std::rc::Rc;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::watch;
use tokio::task::{spawn_blocking, spawn_local};

/// Returns the maximum number of client connections, which is also the maximum number of connections to cache
/// servers.
pub fn max_connections(config: &Config) -> Result<usize, ConfigureError> {
    // A hand-over needs a listening socket, a connection, and a second descriptor for each listener.
    let handover = config.handover.as_ref().map_or(0, |_| 2 + config.listeners.len());
    let reserved = RESERVED_DESCRIPTORS + (config.listeners.len() - 1) + (config.pools.len() - 1) + handover;
    // A request can hold a client connection and a connection to a cache server at the same time.
    let connections = config.descriptors.saturating_sub(reserved) / 2;
    if connections < MIN_CONNECTIONS {
        return Err(ConfigureError::Descriptors { descriptors: config.descriptors, reserved });
    }
    Ok(connections)
}

/// The components of a node.
pub struct Node {
    pub config: Config,
    connection_limit: Rc<ConnectionLimit>,
    pools: Pools,
    pub driver_inputs: watch::Sender<Vec<UnboundedSender<DriverInput>>>,
    pub readiness: Rc<Readiness>,
    frontend: Rc<Frontend>,
    pub listeners: Listeners,
}

/// A new configuration that is ready to be applied: every step that can fail has succeeded.
pub struct PreparedReload {
    config: Config,
    change: Change,
    max_connections: usize,
    bound: BoundSockets,
    /// The new hand-over endpoint, if the path of its socket has changed.
    endpoint: Option<PredecessorEndpoint>,
}

impl Node {
    /// Starts a node that does not accept connections yet. `learned` is the state of the predecessor's pools.
    pub fn start(config: Config, max_connections: usize, learned: Vec<PoolState>) -> Self {
        let connection_limit = Rc::new(ConnectionLimit::new(max_connections));
        let pools = Pools::start(&config, connection_limit.clone(), learned);
        let readiness = Rc::new(Readiness::new(pools.ready()));
        let frontend =
            Rc::new(Frontend::new(pools.routes(), readiness.clone(), config.descriptors, max_connections));
        spawn_local(frontend.table.clone().enforce_limits());
        let listeners = Listeners::new(frontend.clone());
        let driver_inputs = watch::Sender::new(pools.driver_inputs());
        Self { config, connection_limit, pools, driver_inputs, readiness, frontend, listeners }
    }

    /// Starts to accept connections. `bound` has one socket for each configured listener.
    pub fn listen(&mut self, bound: BoundSockets) {
        let without_listeners = Config { listeners: Vec::new(), ..self.config.clone() };
        let change = Change::between(&without_listeners, &self.config);
        self.listeners.change(&self.config.name, &change, bound);
    }

    /// Returns the learned state of the pools, for a successor.
    pub async fn learned_state(&self) -> State {
        State::new(self.pools.learned_state().await)
    }

    /// Restores the learned state of the predecessor.
    pub fn restore(&self, state: State) {
        self.pools.restore(state.pools);
    }

    /// Reads the configuration again and performs every step that can fail, without changing the running
    /// node.
    pub async fn prepare_reload(&mut self, source: &ConfigSource) -> Result<PreparedReload, ConfigureError> {
        let config = match source.clone() {
            ConfigSource::Platform => self.config_with_new_discovery()?,
            // Read on a separate thread, because reading a file on an unreachable network share can block.
            ConfigSource::Operator(path) => {
                let config = spawn_blocking(move || operator::load(&path)).await?;
                limit_descriptors(config?)
            }
        };
        let change = Change::between(&self.config, &config);
        let max_connections = max_connections(&config)?;
        let added = change.listeners.iter().enumerate().filter(|(_, current)| current.is_none());
        if added.clone().next().is_some() {
            self.listeners.wait_for_removed().await;
        }
        let added = added.map(|(index, _)| index);
        let bound = bind(&config.listeners, added, &mut InheritedSockets::default()).await?;
        let endpoint = self.bind_moved_endpoint(&config)?;
        Ok(PreparedReload { config, change, max_connections, bound, endpoint })
    }

    /// Listens for a successor if `config` has a hand-over socket at another path than the current
    /// configuration.
    fn bind_moved_endpoint(&self, config: &Config) -> Result<Option<PredecessorEndpoint>, ConfigureError> {
        let is_moved = |new: &HandoverConfig| {
            self.config.handover.as_ref().is_none_or(|current| current.socket != new.socket)
        };
        let moved = config.handover.clone().filter(is_moved);
        moved.map(PredecessorEndpoint::bind).transpose().map_err(ConfigureError::HandoverSocket)
    }

    /// Returns the current configuration with the platform's new `discovery`. The platform's other settings
    /// are read only at the start.
    fn config_with_new_discovery(&self) -> Result<Config, ConfigureError> {
        let new = platform::load(|name| std::env::var(name).ok().filter(|_| name != platform::DISCOVERY))?;
        let mut config = self.config.clone();
        for (pool, new) in config.pools.iter_mut().zip(new.pools) {
            pool.source = new.source;
        }
        Ok(config)
    }

    /// Applies a new configuration in one step, so that no request sees a mixture of both. Returns the new
    /// hand-over endpoint, if the path of its socket has changed.
    pub fn apply(&mut self, prepared: PreparedReload) -> Option<PredecessorEndpoint> {
        let PreparedReload { config, change, max_connections, bound, endpoint } = prepared;
        log!("configuration read again: {change}");
        self.connection_limit.set_max(max_connections);
        self.pools.change(&change, &config);
        self.driver_inputs.send_replace(self.pools.driver_inputs());
        self.readiness.replace(self.pools.ready());
        self.frontend.set_routes(self.pools.routes());
        self.frontend.resize(config.descriptors, max_connections);
        self.listeners.change(&config.name, &change, bound);
        self.config = config;
        endpoint
    }
}
