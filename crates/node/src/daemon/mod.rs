//! One node: start-up, wiring, SIGHUP and SIGTERM.

mod change;
mod listeners;
mod pools;

use crate::config::{operator, platform, Config};
use crate::fronts::http1::Front;
use crate::input::Input;
use crate::manager::{Manager, Passed};
use crate::readiness::Readiness;
use crate::upstream::Places;
use change::Change;
use listeners::{bind, Bound, Listeners};
use pools::Pools;
use std::error::Error;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use tokio::runtime;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::watch;
use tokio::task::{spawn_blocking, spawn_local, LocalSet};

/// Descriptors left for the runtime, one listener, one pool's list and the standard streams.
const SPARE_DESCRIPTORS: usize = 24;
/// With fewer left than one connection each way for a handful of clients there is no work to be done.
const LEAST_PLACES: usize = 4;

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

/// Serves until SIGTERM, as an operator's file says.
pub fn start_from(path: &Path) -> Result<(), Box<dyn Error>> {
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
        eprintln!("the system lets this process hold {own} descriptors, not {}", config.descriptors);
        config.descriptors = own;
    }
    config
}

async fn run(config: Config, origin: Origin) -> Result<(), Box<dyn Error>> {
    // Before anything else: a signal without a handler ends the process.
    let mut terminate = signal(SignalKind::terminate())?;
    let mut hangup = signal(SignalKind::hangup())?;
    let (manager, mut passed) = match origin {
        Origin::Platform => (Manager::none(), Passed::default()),
        Origin::Operator(_) => {
            let names: Vec<_> = config.listeners.iter().map(|listener| listener.name.as_str()).collect();
            (Manager::from_env(), Passed::from_env(&names)?)
        }
    };
    let places = places(&config)?;
    let bound = bind(&config.listeners, 0..config.listeners.len(), &mut passed).await?;
    let mut node = Node::start(config, places, bound);
    spawn_local(tell_ready(manager.clone(), node.readiness.clone()));
    spawn_local(manager.clone().keep_watchdog(node.drivers.subscribe()));
    loop {
        let reload = async {
            // Signals that come meanwhile are one more: the file is read again once this is done.
            if hangup.recv().await.is_none() {
                std::future::pending::<()>().await;
            }
            if node.readiness.reached() {
                manager.reloading();
            }
            node.prepare(&origin).await
        };
        let prepared = tokio::select! {
            biased;
            _ = terminate.recv() => break,
            prepared = reload => prepared,
        };
        let unusable = prepared.map(|prepared| node.apply(prepared)).err();
        if let Some(error) = &unusable {
            eprintln!("configuration not taken: {error}");
        }
        if node.readiness.reached() {
            match unusable {
                None => manager.ready(),
                Some(error) => manager.kept(&error.to_string()),
            }
        }
    }
    eprintln!("node {} is told to stop", node.config.name);
    manager.stopping();
    node.listeners.close().await;
    Ok(())
}

/// Connections to clients, and to cache servers, that a node so configured holds at the most.
fn places(config: &Config) -> Result<usize, Box<dyn Error>> {
    let spare = SPARE_DESCRIPTORS + (config.listeners.len() - 1) + (config.pools.len() - 1);
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
struct Node {
    config: Config,
    upstream: Rc<Places>,
    pools: Pools,
    drivers: watch::Sender<Vec<UnboundedSender<Input>>>,
    readiness: Rc<Readiness>,
    front: Rc<Front>,
    listeners: Listeners,
}

/// A new configuration with all that it takes to go over to it at once.
struct Prepared {
    config: Config,
    change: Change,
    places: usize,
    bound: Bound,
}

impl Node {
    fn start(config: Config, places: usize, bound: Bound) -> Self {
        let upstream = Rc::new(Places::new(places));
        let pools = Pools::start(config.pools.clone(), upstream.clone(), config.seed);
        let readiness = Rc::new(Readiness::new(pools.ready()));
        let front = Rc::new(Front::new(pools.routes(), readiness.clone(), config.descriptors, places));
        spawn_local(front.table.clone().sweep());
        let mut listeners = Listeners::new(front.clone());
        let nothing = Config { listeners: Vec::new(), ..config.clone() };
        listeners.change(&config.name, &Change::between(&nothing, &config), bound);
        let drivers = watch::Sender::new(pools.drivers());
        Self { config, upstream, pools, drivers, readiness, front, listeners }
    }

    /// Reads the configuration again and gets all that may fail done. Nothing of the node changes by it.
    async fn prepare(&mut self, origin: &Origin) -> Result<Prepared, Box<dyn Error>> {
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
        let bound = bind(&config.listeners, added.map(|(place, _)| place), &mut Passed::default()).await?;
        Ok(Prepared { config, change, places, bound })
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

    /// Goes over to a new configuration, in one step: no request sees part of one and part of the other.
    fn apply(&mut self, Prepared { config, change, places, bound }: Prepared) {
        eprintln!("configuration read again: {change}");
        self.upstream.most.set(places);
        self.pools.change(&change, &config);
        self.drivers.send_replace(self.pools.drivers());
        self.readiness.replace(self.pools.ready());
        self.front.route(self.pools.routes());
        self.front.resize(config.descriptors, places);
        self.listeners.change(&config.name, &change, bound);
        self.config = config;
    }
}

/// Tells the manager when every pool has known a server that takes work, and until then which has not.
async fn tell_ready(manager: Manager, readiness: Rc<Readiness>) {
    readiness.wait(|pool| manager.status(format!("waiting for cache servers of pool {pool}"))).await;
    manager.ready();
}
