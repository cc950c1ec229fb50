//! A node at work, and how it goes over to another configuration.

use super::change::Change;
use super::listeners::{bind, Bound, Listeners, Opened};
use super::pools::Pools;
use super::{within_own_descriptors, Origin};
use crate::config::{operator, platform, Config};
use crate::fronts::http1::Front;
use crate::handover::{Giver, PoolState, State};
use crate::input::DriverInput;
use crate::log::log;
use crate::readiness::Readiness;
use crate::upstream::ConnectionLimit;
use std::error::Error;
use std::rc::Rc;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::watch;
use tokio::task::{spawn_blocking, spawn_local};

/// Descriptors left for the runtime, one listener, one pool's list and the standard streams.
const SPARE_DESCRIPTORS: usize = 24;
/// With fewer left than one connection each way for a handful of clients there is no work to be done.
const LEAST_PLACES: usize = 4;

/// Connections to clients, and to cache servers, that a node so configured holds at the most.
pub fn places(config: &Config) -> Result<usize, Box<dyn Error>> {
    // For a hand-over its socket, its link, and each listener's socket once more.
    let handing_over = config.hand_over.as_ref().map_or(0, |_| 2 + config.listeners.len());
    let spare = SPARE_DESCRIPTORS + (config.listeners.len() - 1) + (config.pools.len() - 1) + handing_over;
    // A request holds a connection of its client for as long as one to a cache server.
    let most = config.descriptors.saturating_sub(spare) / 2;
    if most < LEAST_PLACES {
        let descriptors = config.descriptors;
        return Err(format!(
            "{descriptors} descriptors leave no room to work beside {spare} of the node's own"
        )
        .into());
    }
    Ok(most)
}

/// A node at work.
pub struct Node {
    pub config: Config,
    upstream: Rc<ConnectionLimit>,
    pools: Pools,
    pub drivers: watch::Sender<Vec<UnboundedSender<DriverInput>>>,
    pub readiness: Rc<Readiness>,
    front: Rc<Front>,
    pub listeners: Listeners,
}

/// A new configuration with all that it takes to go over to it at once.
pub struct Prepared {
    config: Config,
    change: Change,
    places: usize,
    bound: Bound,
    /// A socket for hand-overs, where there is to be another one.
    giver: Option<Giver>,
}

impl Node {
    /// One that accepts nobody yet.
    pub fn start(config: Config, places: usize, known: Vec<PoolState>) -> Self {
        let upstream = Rc::new(ConnectionLimit::new(places));
        let pools = Pools::start(&config, upstream.clone(), known);
        let readiness = Rc::new(Readiness::new(pools.ready()));
        let front = Rc::new(Front::new(pools.routes(), readiness.clone(), config.descriptors, places));
        spawn_local(front.table.clone().enforce_limits());
        let listeners = Listeners::new(front.clone());
        let drivers = watch::Sender::new(pools.drivers());
        Self { config, upstream, pools, drivers, readiness, front, listeners }
    }

    /// Accepts clients on these sockets, one for each listener.
    pub fn listen(&mut self, bound: Bound) {
        let nothing = Config { listeners: Vec::new(), ..self.config.clone() };
        self.listeners.change(&self.config.name, &Change::between(&nothing, &self.config), bound);
    }

    /// What is known by now.
    pub async fn state(&self) -> State {
        State::new(self.pools.report().await)
    }

    /// What the process knows by now whose place this one takes.
    pub fn recall(&self, state: State) {
        self.pools.recall(state.pools);
    }

    /// Reads the configuration again and gets all that may fail done. Nothing of the node changes by it.
    pub async fn prepare(&mut self, origin: &Origin) -> Result<Prepared, Box<dyn Error>> {
        let config = match origin.clone() {
            Origin::Platform => self.moved_discovery()?,
            // Not on the one thread of all requests: a share that is away may let the reader wait.
            Origin::Operator(path) => {
                let read = spawn_blocking(move || operator::load(&path)).await?;
                within_own_descriptors(read?)
            }
        };
        let change = Change::between(&self.config, &config);
        let places = places(&config)?;
        let added = change.listeners.iter().enumerate().filter(|(_, held)| held.is_none());
        if added.clone().next().is_some() {
            self.listeners.wait_for_removed().await;
        }
        let bound = bind(&config.listeners, added.map(|(place, _)| place), &mut Opened::default()).await?;
        let moved = config
            .hand_over
            .clone()
            .filter(|new| self.config.hand_over.as_ref().is_none_or(|held| held.socket != new.socket));
        let giver =
            moved.map(Giver::bind).transpose().map_err(|error| format!("hand_over.socket: {error}"))?;
        Ok(Prepared { config, change, places, bound, giver })
    }

    /// Of the platform's configuration only `discovery` is taken anew; the rest of it holds from the start.
    fn moved_discovery(&self) -> Result<Config, Box<dyn Error>> {
        let new = platform::load(|name| std::env::var(name).ok().filter(|_| name != platform::DISCOVERY))?;
        let mut config = self.config.clone();
        for (held, new) in config.pools.iter_mut().zip(new.pools) {
            held.source = new.source;
        }
        Ok(config)
    }

    /// Goes over to a new configuration, in one step: no request sees part of one and part of the other. Gives the new socket for hand-overs, if there is one.
    pub fn apply(&mut self, Prepared { config, change, places, bound, giver }: Prepared) -> Option<Giver> {
        log!("configuration read again: {change}");
        self.upstream.set_max(places);
        self.pools.change(&change, &config);
        self.drivers.send_replace(self.pools.drivers());
        self.readiness.replace(self.pools.ready());
        self.front.set_routes(self.pools.routes());
        self.front.resize(config.descriptors, places);
        self.listeners.change(&config.name, &change, bound);
        self.config = config;
        giver
    }
}
