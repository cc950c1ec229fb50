//! The components of a node, and the reload of its configuration.

use super::change::Change;
use super::error::ConfigureError;
use super::listeners::{bind, BoundSockets, InheritedSockets, Listeners};
use super::pools::Pools;
use super::{limit_descriptors, ConfigSource};
use crate::config::{
    operator, platform, Config, HandoverConfig, MEGABYTE, MIN_CONNECTIONS, RESERVED_DESCRIPTORS,
};
use crate::connection_log;
use crate::frontend::http1::Frontend;
use crate::handover::{PoolState, PredecessorEndpoint, State};
use crate::input::DriverInput;
use crate::log::log;
use crate::memory::{resident_bytes, MemoryAccount};
use crate::readiness::Readiness;
use crate::upstream::ConnectionLimit;
use balancer_core::memory_budget::MemoryPlan;
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

/// Divides the memory limit of a configuration between connections and what is held beside them.
fn memory_plan(config: &Config, max_connections: usize, resident: usize) -> MemoryPlan {
    MemoryPlan::new(config.memory_of_process(), resident, max_connections, MIN_CONNECTIONS)
}

/// Logs the number of connections if the memory limit allows fewer than the descriptors do.
fn log_plan(plan: &MemoryPlan, config: &Config, max_connections: usize) {
    let MemoryPlan { client_connections, server_connections, .. } = *plan;
    if client_connections.min(server_connections) < max_connections {
        log!(
            "{} MB of memory allow {client_connections} connections to clients and {server_connections} to cache \
             servers; descriptors allow {max_connections} each",
            config.memory_of_process() / MEGABYTE
        );
    }
}

/// The memory of a process, from its start on.
#[derive(Clone, Debug)]
pub struct ProcessMemory {
    pub account: MemoryAccount,
    /// The memory that the process had taken before its first connection, in bytes.
    resident_at_start: usize,
}

impl ProcessMemory {
    /// Creates the account of a process that has no connections yet.
    pub fn start(config: &Config, max_connections: usize) -> Self {
        let resident_at_start = resident_bytes().unwrap_or_default();
        let plan = memory_plan(config, max_connections, resident_at_start);
        Self { account: MemoryAccount::new(plan.budget), resident_at_start }
    }
}

/// The components of a node.
pub struct Node {
    pub config: Config,
    memory: ProcessMemory,
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
    pub fn start(
        config: Config,
        max_connections: usize,
        memory: ProcessMemory,
        learned: Vec<PoolState>,
    ) -> Self {
        let plan = memory_plan(&config, max_connections, memory.resident_at_start);
        log_plan(&plan, &config, max_connections);
        let account = &memory.account;
        let connection_limit = Rc::new(ConnectionLimit::new(plan.server_connections, account.clone()));
        let pools = Pools::start(&config, connection_limit.clone(), learned);
        let readiness = Rc::new(Readiness::new(pools.ready()));
        let frontend = Rc::new(Frontend::new(
            pools.routes(),
            readiness.clone(),
            account.clone(),
            config.descriptors,
            plan.client_connections,
        ));
        spawn_local(frontend.table.clone().enforce_limits());
        let (name, table) = (config.name.clone(), frontend.table.clone());
        spawn_local(connection_log::run(name, table, account.clone(), pools.tally()));
        let table = frontend.table.clone();
        connection_limit.set_make_room(move || table.make_room_for_response());
        let listeners = Listeners::new(frontend.clone());
        let driver_inputs = watch::Sender::new(pools.driver_inputs());
        Self { config, memory, connection_limit, pools, driver_inputs, readiness, frontend, listeners }
    }

    /// Returns the account of what the process holds for others.
    pub fn memory(&self) -> &MemoryAccount {
        &self.memory.account
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
        let bound = bind(&config.listeners, added, &mut InheritedSockets::default())?;
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
        let bind = |config| PredecessorEndpoint::bind(config, self.memory().clone());
        moved.map(bind).transpose().map_err(ConfigureError::HandoverSocket)
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
        let plan = memory_plan(&config, max_connections, self.memory.resident_at_start);
        log_plan(&plan, &config, max_connections);
        self.memory().resize(plan.budget);
        self.connection_limit.set_max(plan.server_connections);
        self.pools.change(&change, &config);
        self.driver_inputs.send_replace(self.pools.driver_inputs());
        self.readiness.replace(self.pools.ready());
        self.frontend.set_routes(self.pools.routes());
        self.frontend.resize(config.descriptors, plan.client_connections);
        self.listeners.change(&config.name, &change, bound);
        self.config = config;
        endpoint
    }
}
