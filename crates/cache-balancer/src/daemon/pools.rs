//! The pools at work: for each a driver with decisions of its own, its connections, and whoever brings its list.

use super::change::Change;
use crate::config::{Config, DiscoveryReplicas, Pool, Source};
use crate::discovery::DiscoveryPoller;
use crate::driver::Driver;
use crate::endpoint_list::EndpointList;
use crate::fronts::http1::{Class, Routes};
use crate::handover::PoolState;
use crate::input::Input;
use crate::list_file;
use crate::readiness;
use crate::tally::Tally;
use crate::upstream::{Places, Upstream};
use balancer_core::discovery::{ListValidator, PollSettings};
use balancer_core::Balancer;
use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::mpsc::{self, UnboundedSender};
use tokio::sync::{oneshot, watch};
use tokio::task::{spawn_local, AbortHandle};

/// All of them, in the configuration's order.
pub struct Pools {
    running: Vec<Running>,
    places: Rc<Places>,
    /// The node's name, and whether its pools tally what they do.
    node: String,
    tally: Rc<Cell<bool>>,
    seed: u64,
    /// How many there have been, so that each draws numbers of its own.
    begun: u64,
}

struct Running {
    pool: Pool,
    /// To its driver.
    events: UnboundedSender<Input>,
    ready: watch::Receiver<bool>,
    list: List,
    /// How its discovery is asked.
    poll_settings: Rc<Cell<PollSettings>>,
}

/// Who brings the list.
enum List {
    Discovery(watch::Sender<DiscoveryReplicas>, AbortHandle),
    File(AbortHandle),
    Fixed,
}

impl Drop for List {
    fn drop(&mut self) {
        match self {
            Self::Discovery(_, task) | Self::File(task) => task.abort(),
            Self::Fixed => {}
        }
    }
}

impl Running {
    /// Takes on what another process knew. The list that stands in the file itself is as the file has it.
    fn recall(&self, PoolState { listing, knowledge, .. }: PoolState) {
        let listing = match self.pool.source {
            Source::Fixed => self.pool.known.clone(),
            Source::Discovery(_) | Source::File(_) => listing,
        };
        // The driver only goes once it is retired.
        let _ = self.events.send(Input::Recalled(Box::new((listing, knowledge))));
    }
}

impl Pools {
    /// Begins them, with what another process knew of them.
    pub fn start(config: &Config, places: Rc<Places>, mut known: Vec<PoolState>) -> Self {
        let (node, tally) = (config.name.clone(), Rc::new(Cell::new(config.tally)));
        let mut all = Self { running: Vec::new(), places, node, tally, seed: config.seed, begun: 0 };
        for pool in config.pools.iter().cloned() {
            let place = known.iter().position(|known| known.name == pool.name);
            let running = all.begin(pool, place.map(|place| known.swap_remove(place)));
            all.running.push(running);
        }
        all
    }

    /// What another process knows by now, whose place this one takes.
    pub fn recall(&self, known: Vec<PoolState>) {
        for known in known {
            if let Some(running) = self.running.iter().find(|running| running.pool.name == known.name) {
                running.recall(known);
            }
        }
    }

    /// What is known by now.
    pub async fn report(&self) -> Vec<PoolState> {
        let mut reports = Vec::new();
        for Running { pool, events, .. } in &self.running {
            let (answer, report) = oneshot::channel();
            // The driver only goes once it is retired.
            let _ = events.send(Input::Report(answer));
            let Ok((listing, knowledge)) = report.await else { continue };
            reports.push(PoolState::new(&pool.name, &pool.source, listing, knowledge));
        }
        reports
    }

    /// Takes on what a new configuration says. A pool that it lacks takes nothing more and ends with its last request.
    pub fn change(&mut self, change: &Change, config: &Config) {
        self.tally.set(config.tally);
        let mut before: Vec<_> = std::mem::take(&mut self.running).into_iter().map(Some).collect();
        for (place, pool) in change.pools.iter().zip(&config.pools) {
            let running = match place.and_then(|place| before[place].take()) {
                Some(running) => self.go_on(running, pool.clone()),
                None => self.begin(pool.clone(), None),
            };
            self.running.push(running);
        }
        for removed in before.into_iter().flatten() {
            // Its driver only goes once it is retired.
            let _ = removed.events.send(Input::Retired);
        }
    }

    /// The way to each driver.
    pub fn drivers(&self) -> Vec<UnboundedSender<Input>> {
        self.running.iter().map(|running| running.events.clone()).collect()
    }

    /// For each, whether it has known a server that takes work.
    pub fn ready(&self) -> Vec<readiness::Pool> {
        self.running.iter().map(|running| (running.pool.name.clone(), running.ready.clone())).collect()
    }

    /// Which class goes to which of them.
    pub fn routes(&self) -> Routes {
        let classes =
            |running: &Running| Class::all(&running.pool.settings, &running.events).collect::<Vec<_>>();
        let tenants = |running: &Running| {
            running.pool.settings.tenants.iter().map(|tenant| tenant.name.clone()).collect::<Vec<_>>()
        };
        Routes {
            classes: self.running.iter().flat_map(classes).collect(),
            tenants: self.running.iter().flat_map(tenants).collect(),
        }
    }

    fn begin(&mut self, pool: Pool, recalled: Option<PoolState>) -> Running {
        let seed = self.seed.wrapping_add(self.begun);
        self.begun += 1;
        // Unbounded, and bounded all the same by the connections: each has one request, or one attempt, in it.
        let (events, inputs) = mpsc::unbounded_channel();
        let (has_servers, ready) = watch::channel(false);
        let Pool { settings, known, .. } = &pool;
        let (connecting, idle) = (settings.connect_timeout, settings.server_idle_timeout);
        let upstream = Rc::new(Upstream::new(self.places.clone(), connecting, idle));
        spawn_local(Upstream::sweep(Rc::downgrade(&upstream)));
        // A watch goes on from the version that the other process had, if it was the same discovery's.
        let validator = match &recalled {
            Some(other) if other.shares_versions_with(&pool.source) => {
                ListValidator::new(Some(other.listing.version), other.listing.ready_ids())
            }
            _ => {
                ListValidator::new((!known.endpoints.is_empty()).then_some(known.version), known.ready_ids())
            }
        };
        let poll_settings = Rc::new(Cell::new(PollSettings::from(settings)));
        let list = List::begin(&self.node, &pool.source, validator, seed, &poll_settings, &events);
        let balancer = Balancer::new(settings.clone(), seed);
        let tally = Tally::new(&self.node, &pool.name, self.tally.clone());
        let driver = Driver::new(balancer, upstream, has_servers, events.clone(), tally);
        spawn_local(driver.run(known.clone(), inputs));
        let running = Running { pool, events, ready, list, poll_settings };
        recalled.into_iter().for_each(|recalled| running.recall(recalled));
        running
    }

    /// The same pool under another description.
    fn go_on(&self, mut running: Running, pool: Pool) -> Running {
        let before = std::mem::replace(&mut running.pool, pool);
        let Pool { source, known, settings, .. } = &running.pool;
        running.poll_settings.set(PollSettings::from(settings));
        if *settings != before.settings {
            // The driver only goes once it is retired.
            let _ = running.events.send(Input::Reconfigured(Box::new(settings.clone())));
        }
        match (source, &running.list) {
            (Source::Discovery(wanted), List::Discovery(held, _)) => {
                // Replicas that stay are not asked again: a watch is as good as it was.
                held.send_if_modified(|held| std::mem::replace(held, wanted.clone()) != *wanted);
            }
            _ if *source == before.source => {}
            _ => {
                let seed = self.seed.wrapping_add(self.begun);
                let validator = ListValidator::default();
                running.list =
                    List::begin(&self.node, source, validator, seed, &running.poll_settings, &running.events);
            }
        }
        if *source == Source::Fixed
            && (before.source != Source::Fixed || known.endpoints != before.known.endpoints)
        {
            let _ = running.events.send(Input::Listing(EndpointList { is_snapshot: true, ..known.clone() }));
        }
        running
    }
}

impl List {
    /// `validator` knows what the driver holds of a discovery's list, and `node` is the name of the node that asks.
    fn begin(
        node: &str,
        source: &Source,
        validator: ListValidator,
        seed: u64,
        poll_settings: &Rc<Cell<PollSettings>>,
        events: &UnboundedSender<Input>,
    ) -> Self {
        match source {
            Source::Discovery(replicas) => {
                // Pools that lost one discovery together do not come back together either.
                let random = fastrand::Rng::with_seed(seed);
                let (sender, replicas) = watch::channel(replicas.clone());
                let watching = DiscoveryPoller {
                    node: node.to_owned(),
                    replicas,
                    validator,
                    poll_settings: poll_settings.clone(),
                    random,
                    events: events.clone(),
                };
                Self::Discovery(sender, spawn_local(watching.run()).abort_handle())
            }
            Source::File(path) => {
                Self::File(spawn_local(list_file::watch(path.clone(), events.clone())).abort_handle())
            }
            Source::Fixed => Self::Fixed,
        }
    }
}

#[cfg(test)]
mod tests;
