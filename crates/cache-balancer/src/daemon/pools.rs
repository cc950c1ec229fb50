//! The pools of a node. Each has a driver with its own balancer, upstream connections, and a source of its
//! endpoint list.

use super::change::Change;
use crate::config::{Config, DiscoveryReplicas, Pool, Source};
use crate::discovery::DiscoveryPoller;
use crate::driver::Driver;
use crate::endpoint_list::EndpointList;
use crate::frontend::http1::{ClassRoute, Routes};
use crate::handover::PoolState;
use crate::input::DriverInput;
use crate::list_file;
use crate::readiness;
use crate::tally::Tally;
use crate::upstream::{ConnectionLimit, Upstream};
use balancer_core::discovery::ListValidator;
use balancer_core::discovery::PollSettings;
use balancer_core::Balancer;
use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::mpsc::{self, UnboundedSender};
use tokio::sync::{oneshot, watch};
use tokio::task::{spawn_local, AbortHandle};

/// The pools, in the order of the configuration.
pub struct Pools {
    running: Vec<RunningPool>,
    connection_limit: Rc<ConnectionLimit>,
    /// The name of the node.
    node: String,
    /// Whether each pool logs a line of counts every second.
    tally: Rc<Cell<bool>>,
    seed: u64,
    /// The number of pools started so far. Added to the seed, so that each pool has its own random sequence.
    started: u64,
}

struct RunningPool {
    pool: Pool,
    /// Sends to the pool's driver.
    driver_inputs: UnboundedSender<DriverInput>,
    ready: watch::Receiver<bool>,
    list: ListWatch,
    /// The settings of discovery polls, shared with the discovery client.
    poll_settings: Rc<Cell<PollSettings>>,
}

/// The task that watches the source of an endpoint list.
enum ListWatch {
    Discovery(watch::Sender<DiscoveryReplicas>, AbortHandle),
    File(AbortHandle),
    Fixed,
}

impl Drop for ListWatch {
    fn drop(&mut self) {
        match self {
            Self::Discovery(_, task) | Self::File(task) => task.abort(),
            Self::Fixed => {}
        }
    }
}

impl RunningPool {
    /// Restores the state of the predecessor's pool. A list that the configuration itself contains takes
    /// precedence over the predecessor's.
    fn restore(&self, PoolState { endpoint_list, learned_state, .. }: PoolState) {
        let endpoint_list = match self.pool.source {
            Source::Fixed => self.pool.configured_list.clone(),
            Source::Discovery(_) | Source::File(_) => endpoint_list,
        };
        // The driver ends only once its pool is removed.
        let _ = self.driver_inputs.send(DriverInput::StateRestored(Box::new((endpoint_list, learned_state))));
    }
}

impl Pools {
    /// Starts the pools, with the state of the predecessor's pools of the same names.
    pub fn start(
        config: &Config,
        connection_limit: Rc<ConnectionLimit>,
        mut learned: Vec<PoolState>,
    ) -> Self {
        let (node, tally) = (config.name.clone(), Rc::new(Cell::new(config.tally)));
        let mut pools =
            Self { running: Vec::new(), connection_limit, node, tally, seed: config.seed, started: 0 };
        for pool in config.pools.iter().cloned() {
            let index = learned.iter().position(|learned| learned.name == pool.name);
            let running = pools.start_pool(pool, index.map(|index| learned.swap_remove(index)));
            pools.running.push(running);
        }
        pools
    }

    /// Returns whether lines of counts are logged, which a reload can change.
    pub fn tally(&self) -> Rc<Cell<bool>> {
        self.tally.clone()
    }

    /// Restores the latest learned state of the predecessor's pools.
    pub fn restore(&self, learned: Vec<PoolState>) {
        for learned in learned {
            if let Some(running) = self.running.iter().find(|running| running.pool.name == learned.name) {
                running.restore(learned);
            }
        }
    }

    /// Requests the learned state of each pool from its driver.
    pub async fn learned_state(&self) -> Vec<PoolState> {
        let mut states = Vec::new();
        for RunningPool { pool, driver_inputs, .. } in &self.running {
            let (reply, state) = oneshot::channel();
            // The driver ends only once its pool is removed.
            let _ = driver_inputs.send(DriverInput::StateRequested(reply));
            let Ok((endpoint_list, learned_state)) = state.await else { continue };
            states.push(PoolState::new(&pool.name, &pool.source, endpoint_list, learned_state));
        }
        states
    }

    /// Applies a new configuration. A removed pool finishes its requests and ends.
    pub fn change(&mut self, change: &Change, config: &Config) {
        self.tally.set(config.tally);
        let mut previous: Vec<_> = std::mem::take(&mut self.running).into_iter().map(Some).collect();
        for (index, pool) in change.pools.iter().zip(&config.pools) {
            let running = match index.and_then(|index| previous[index].take()) {
                Some(running) => self.reconfigure_pool(running, pool.clone()),
                None => self.start_pool(pool.clone(), None),
            };
            self.running.push(running);
        }
        for removed in previous.into_iter().flatten() {
            // The driver ends only once its pool is removed.
            let _ = removed.driver_inputs.send(DriverInput::PoolRemoved);
        }
    }

    /// Returns the input channel of each pool's driver.
    pub fn driver_inputs(&self) -> Vec<UnboundedSender<DriverInput>> {
        self.running.iter().map(|running| running.driver_inputs.clone()).collect()
    }

    /// Returns, for each pool, whether it has had a server that accepts requests.
    pub fn ready(&self) -> Vec<readiness::Pool> {
        self.running.iter().map(|running| (running.pool.name.clone(), running.ready.clone())).collect()
    }

    /// Returns the request classes with their pools, and the names of the tenants.
    pub fn routes(&self) -> Routes {
        let classes = |running: &RunningPool| {
            ClassRoute::for_pool(&running.pool.settings, &running.driver_inputs).collect::<Vec<_>>()
        };
        let tenants = |running: &RunningPool| {
            running.pool.settings.tenants.iter().map(|tenant| tenant.name.clone()).collect::<Vec<_>>()
        };
        let max_retry_after = |running: &RunningPool| running.pool.settings.max_retry_after;
        Routes {
            max_retry_after: self.running.iter().map(max_retry_after).min().unwrap_or_default(),
            classes: self.running.iter().flat_map(classes).collect(),
            tenants: self.running.iter().flat_map(tenants).collect(),
        }
    }

    fn start_pool(&mut self, pool: Pool, learned: Option<PoolState>) -> RunningPool {
        let seed = self.seed.wrapping_add(self.started);
        self.started += 1;
        // The number of connections bounds the channel: each has at most one request or one attempt in it.
        let (driver_inputs, inputs) = mpsc::unbounded_channel();
        let (has_servers, ready) = watch::channel(false);
        let Pool { settings, configured_list, .. } = &pool;
        let (connect_timeout, idle_timeout) = (settings.connect_timeout, settings.server_idle_timeout);
        let upstream = Rc::new(Upstream::new(self.connection_limit.clone(), connect_timeout, idle_timeout));
        spawn_local(Upstream::close_expired_idle(Rc::downgrade(&upstream)));
        let validator = initial_validator(&pool, learned.as_ref());
        let poll_settings = Rc::new(Cell::new(PollSettings::from(settings)));
        let list = self.watch(&pool.source, validator, seed, &poll_settings, &driver_inputs);
        let balancer = Balancer::new(settings.clone(), seed);
        let tally = Tally::new(&self.node, &pool.name, self.tally.clone());
        let driver = Driver::new(balancer, upstream, has_servers, driver_inputs.clone(), tally);
        spawn_local(driver.run(configured_list.clone(), inputs));
        let running = RunningPool { pool, driver_inputs, ready, list, poll_settings };
        if let Some(learned) = learned {
            running.restore(learned);
        }
        running
    }

    /// Applies a new configuration to a pool that is kept.
    fn reconfigure_pool(&self, mut running: RunningPool, pool: Pool) -> RunningPool {
        let previous = std::mem::replace(&mut running.pool, pool);
        let Pool { source, configured_list, settings, .. } = &running.pool;
        running.poll_settings.set(PollSettings::from(settings));
        if *settings != previous.settings {
            // The driver ends only once its pool is removed.
            let _ = running.driver_inputs.send(DriverInput::Reconfigured(Box::new(settings.clone())));
        }
        match (source, &running.list) {
            (Source::Discovery(new), ListWatch::Discovery(current, _)) => {
                // The discovery client keeps its watch if the watched replica is still listed.
                current.send_if_modified(|current| std::mem::replace(current, new.clone()) != *new);
            }
            _ if *source == previous.source => {}
            _ => {
                let seed = self.seed.wrapping_add(self.started);
                let validator = ListValidator::default();
                running.list =
                    self.watch(source, validator, seed, &running.poll_settings, &running.driver_inputs);
            }
        }
        if *source == Source::Fixed
            && (previous.source != Source::Fixed
                || configured_list.endpoints != previous.configured_list.endpoints)
        {
            let _ = running.driver_inputs.send(DriverInput::EndpointList(EndpointList {
                is_snapshot: true,
                ..configured_list.clone()
            }));
        }
        running
    }
}

impl Pools {
    /// Starts to watch `source`. `validator` describes the list that the driver holds.
    fn watch(
        &self,
        source: &Source,
        validator: ListValidator,
        seed: u64,
        poll_settings: &Rc<Cell<PollSettings>>,
        driver_inputs: &UnboundedSender<DriverInput>,
    ) -> ListWatch {
        let memory = self.connection_limit.memory().clone();
        match source {
            Source::Discovery(replicas) => {
                // Each pool has its own random sequence, so that pools that lost discovery at the same time
                // do not retry at the same time.
                let random = fastrand::Rng::with_seed(seed);
                let (sender, replicas) = watch::channel(replicas.clone());
                let (poll_settings, driver_inputs) = (poll_settings.clone(), driver_inputs.clone());
                let poller = DiscoveryPoller {
                    node: self.node.clone(),
                    replicas,
                    validator,
                    poll_settings,
                    random,
                    driver_inputs,
                    memory,
                };
                ListWatch::Discovery(sender, spawn_local(poller.run()).abort_handle())
            }
            Source::File(path) => {
                let watching = list_file::watch(path.clone(), memory, driver_inputs.clone());
                ListWatch::File(spawn_local(watching).abort_handle())
            }
            Source::Fixed => ListWatch::Fixed,
        }
    }
}

/// Returns the validator for the list that a pool starts with. If the predecessor used the same discovery
/// service, the watch continues from the predecessor's version.
fn initial_validator(pool: &Pool, learned: Option<&PoolState>) -> ListValidator {
    match learned {
        Some(learned) if learned.shares_versions_with(&pool.source) => {
            ListValidator::new(Some(learned.endpoint_list.version), learned.endpoint_list.ready_ids())
        }
        _ => {
            let list = &pool.configured_list;
            ListValidator::new((!list.endpoints.is_empty()).then_some(list.version), list.ready_ids())
        }
    }
}

#[cfg(test)]
mod tests;
