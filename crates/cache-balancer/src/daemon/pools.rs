//! The pools of a node: each has a driver with decisions of its own, connections, and a source of its endpoint list.

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
    running: Vec<Running>,
    connection_limit: Rc<ConnectionLimit>,
    /// The name of the node.
    node: String,
    /// Whether the pools log a line of counts for each second.
    tally: Rc<Cell<bool>>,
    seed: u64,
    /// The number of pools started so far: each has a random sequence of its own.
    started: u64,
}

struct Running {
    pool: Pool,
    /// Leads to its driver.
    driver_inputs: UnboundedSender<DriverInput>,
    ready: watch::Receiver<bool>,
    list: ListWatch,
    /// What polls of discovery depend on, shared with the poller.
    poll_settings: Rc<Cell<PollSettings>>,
}

/// The task that follows the source of an endpoint list.
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

impl Running {
    /// Restores the state of the predecessor's pool. A list in the configuration itself goes before the predecessor's.
    fn restore(&self, PoolState { endpoint_list, learned_state, .. }: PoolState) {
        let endpoint_list = match self.pool.source {
            Source::Fixed => self.pool.known.clone(),
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

    /// Restores the latest state of the predecessor's pools.
    pub fn restore(&self, learned: Vec<PoolState>) {
        for learned in learned {
            if let Some(running) = self.running.iter().find(|running| running.pool.name == learned.name) {
                running.restore(learned);
            }
        }
    }

    /// The learned state of each pool.
    pub async fn learned_state(&self) -> Vec<PoolState> {
        let mut states = Vec::new();
        for Running { pool, driver_inputs, .. } in &self.running {
            let (answer, state) = oneshot::channel();
            // The driver ends only once its pool is removed.
            let _ = driver_inputs.send(DriverInput::StateRequested(answer));
            let Ok((endpoint_list, learned_state)) = state.await else { continue };
            states.push(PoolState::new(&pool.name, &pool.source, endpoint_list, learned_state));
        }
        states
    }

    /// Applies a new configuration. A pool that it lacks finishes its requests and ends.
    pub fn change(&mut self, change: &Change, config: &Config) {
        self.tally.set(config.tally);
        let mut before: Vec<_> = std::mem::take(&mut self.running).into_iter().map(Some).collect();
        for (index, pool) in change.pools.iter().zip(&config.pools) {
            let running = match index.and_then(|index| before[index].take()) {
                Some(running) => self.reconfigure_pool(running, pool.clone()),
                None => self.start_pool(pool.clone(), None),
            };
            self.running.push(running);
        }
        for removed in before.into_iter().flatten() {
            // Its driver ends only once its pool is removed.
            let _ = removed.driver_inputs.send(DriverInput::PoolRemoved);
        }
    }

    /// The inputs of the drivers.
    pub fn drivers(&self) -> Vec<UnboundedSender<DriverInput>> {
        self.running.iter().map(|running| running.driver_inputs.clone()).collect()
    }

    /// Whether each pool has had a server that takes work.
    pub fn ready(&self) -> Vec<readiness::Pool> {
        self.running.iter().map(|running| (running.pool.name.clone(), running.ready.clone())).collect()
    }

    /// The pool of each class.
    pub fn routes(&self) -> Routes {
        let classes = |running: &Running| {
            ClassRoute::for_pool(&running.pool.settings, &running.driver_inputs).collect::<Vec<_>>()
        };
        let tenants = |running: &Running| {
            running.pool.settings.tenants.iter().map(|tenant| tenant.name.clone()).collect::<Vec<_>>()
        };
        Routes {
            classes: self.running.iter().flat_map(classes).collect(),
            tenants: self.running.iter().flat_map(tenants).collect(),
        }
    }

    fn start_pool(&mut self, pool: Pool, learned: Option<PoolState>) -> Running {
        let seed = self.seed.wrapping_add(self.started);
        self.started += 1;
        // The number of connections bounds it: each has one request, or one attempt, in the channel.
        let (driver_inputs, inputs) = mpsc::unbounded_channel();
        let (has_servers, ready) = watch::channel(false);
        let Pool { settings, known, .. } = &pool;
        let (connecting, idle) = (settings.connect_timeout, settings.server_idle_timeout);
        let upstream = Rc::new(Upstream::new(self.connection_limit.clone(), connecting, idle));
        spawn_local(Upstream::close_expired_idle(Rc::downgrade(&upstream)));
        let validator = initial_validator(&pool, learned.as_ref());
        let poll_settings = Rc::new(Cell::new(PollSettings::from(settings)));
        let list =
            ListWatch::start(&self.node, &pool.source, validator, seed, &poll_settings, &driver_inputs);
        let balancer = Balancer::new(settings.clone(), seed);
        let tally = Tally::new(&self.node, &pool.name, self.tally.clone());
        let driver = Driver::new(balancer, upstream, has_servers, driver_inputs.clone(), tally);
        spawn_local(driver.run(known.clone(), inputs));
        let running = Running { pool, driver_inputs, ready, list, poll_settings };
        if let Some(learned) = learned {
            running.restore(learned);
        }
        running
    }

    /// Applies a new configuration to a pool that goes on.
    fn reconfigure_pool(&self, mut running: Running, pool: Pool) -> Running {
        let before = std::mem::replace(&mut running.pool, pool);
        let Pool { source, known, settings, .. } = &running.pool;
        running.poll_settings.set(PollSettings::from(settings));
        if *settings != before.settings {
            // The driver ends only once its pool is removed.
            let _ = running.driver_inputs.send(DriverInput::Reconfigured(Box::new(settings.clone())));
        }
        match (source, &running.list) {
            (Source::Discovery(new), ListWatch::Discovery(current, _)) => {
                // The watch of a replica that stays goes on.
                current.send_if_modified(|current| std::mem::replace(current, new.clone()) != *new);
            }
            _ if *source == before.source => {}
            _ => {
                let seed = self.seed.wrapping_add(self.started);
                let validator = ListValidator::default();
                running.list = ListWatch::start(
                    &self.node,
                    source,
                    validator,
                    seed,
                    &running.poll_settings,
                    &running.driver_inputs,
                );
            }
        }
        if *source == Source::Fixed
            && (before.source != Source::Fixed || known.endpoints != before.known.endpoints)
        {
            let _ = running
                .driver_inputs
                .send(DriverInput::EndpointList(EndpointList { is_snapshot: true, ..known.clone() }));
        }
        running
    }
}

impl ListWatch {
    /// Starts to follow `source`. `validator` is what the driver holds of the list, and `node` the name of the node.
    fn start(
        node: &str,
        source: &Source,
        validator: ListValidator,
        seed: u64,
        poll_settings: &Rc<Cell<PollSettings>>,
        driver_inputs: &UnboundedSender<DriverInput>,
    ) -> Self {
        match source {
            Source::Discovery(replicas) => {
                // With a random sequence for each, pools that lost discovery together do not return together.
                let random = fastrand::Rng::with_seed(seed);
                let (sender, replicas) = watch::channel(replicas.clone());
                let (poll_settings, driver_inputs) = (poll_settings.clone(), driver_inputs.clone());
                let watching = DiscoveryPoller {
                    node: node.to_owned(),
                    replicas,
                    validator,
                    poll_settings,
                    random,
                    driver_inputs,
                };
                Self::Discovery(sender, spawn_local(watching.run()).abort_handle())
            }
            Source::File(path) => {
                Self::File(spawn_local(list_file::watch(path.clone(), driver_inputs.clone())).abort_handle())
            }
            Source::Fixed => Self::Fixed,
        }
    }
}

/// The list that a pool starts with. A watch goes on from the version of the predecessor, if that is of the same discovery
/// service.
fn initial_validator(pool: &Pool, learned: Option<&PoolState>) -> ListValidator {
    match learned {
        Some(learned) if learned.shares_versions_with(&pool.source) => {
            ListValidator::new(Some(learned.endpoint_list.version), learned.endpoint_list.ready_ids())
        }
        _ => {
            let known = &pool.known;
            ListValidator::new((!known.endpoints.is_empty()).then_some(known.version), known.ready_ids())
        }
    }
}

#[cfg(test)]
mod tests;
