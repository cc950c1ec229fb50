//! One node: start-up, wiring, SIGHUP and SIGTERM.

use crate::config::{operator, platform, Config, Listener, Pool, Source};
use crate::discovery::Discovery;
use crate::driver::Driver;
use crate::fronts::http1::{serve, Class, Front};
use crate::fronts::table::Table;
use crate::list_file;
use crate::manager::{Manager, Passed};
use crate::stage::Stage;
use crate::upstream::Upstream;
use decide::Balancer;
use std::cell::Cell;
use std::error::Error;
use std::future::Future;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::runtime;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::{mpsc, watch, Notify};
use tokio::task::{spawn_local, LocalSet};
use tokio::time::sleep;

/// New connections keep coming for 0.4 s after SIGTERM: until the front has noticed, the node serves them.
const LEAVING: Duration = Duration::from_millis(500);
/// Descriptors left for the runtime, one listener, one pool's list and the standard streams.
const SPARE_DESCRIPTORS: usize = 24;
/// With fewer left than one connection each way for a handful of clients there is no work to be done.
const LEAST_PLACES: usize = 4;

/// Serves until SIGTERM, as the platform's environment says.
pub fn start() -> Result<(), Box<dyn Error>> {
    let config = platform::load(|name| std::env::var(name).ok())?;
    block_on(run(config, Kind::Platform))
}

/// Serves until SIGTERM, as an operator's file says.
pub fn start_from(path: &Path) -> Result<(), Box<dyn Error>> {
    let mut config = operator::load(path)?;
    let own = operator::own_descriptors();
    if config.descriptors > own {
        eprintln!("the system lets this process hold {own} descriptors, not {}", config.descriptors);
        config.descriptors = own;
    }
    block_on(run(config, Kind::Operator))
}

fn block_on(running: impl Future<Output = Result<(), Box<dyn Error>>>) -> Result<(), Box<dyn Error>> {
    // A node has one core: one thread, and no locks between its parts.
    let runtime = runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, running)
}

/// Whose node it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    Platform,
    Operator,
}

async fn run(config: Config, kind: Kind) -> Result<(), Box<dyn Error>> {
    // Before anything else: a signal without a handler ends the process.
    let mut terminate = signal(SignalKind::terminate())?;
    let hangup = signal(SignalKind::hangup())?;
    let Config { name, listeners, seed, descriptors, pools } = config;
    let (manager, passed) = match kind {
        Kind::Platform => (Manager::none(), Passed::default()),
        Kind::Operator => {
            let names: Vec<_> = listeners.iter().map(|listener| listener.name.as_str()).collect();
            (Manager::from_env(), Passed::from_env(&names)?)
        }
    };
    let listeners = listen(&name, &listeners, passed).await?;

    // A request holds a connection of its client for as long as one to a cache server.
    let spare = SPARE_DESCRIPTORS + (listeners.len() - 1) + (pools.len() - 1);
    let most = descriptors.saturating_sub(spare) / 2;
    if most < LEAST_PLACES {
        return Err(format!(
            "{descriptors} descriptors leave no room to work beside {spare} of the node's own"
        )
        .into());
    }
    let (stages, stage) = watch::channel(Stage::Serving);
    // All pools' together.
    let open = Rc::new(Cell::new(0));
    let (mut classes, mut tenants, mut ready, mut addresses) =
        (Vec::new(), Vec::new(), Vec::new(), Vec::new());
    let (mut drivers, mut names) = (Vec::new(), Vec::new());
    for (number, pool) in pools.into_iter().enumerate() {
        let Pool { name, source, known, settings } = pool;
        // Unbounded, and bounded all the same by the connections: each has one request, or one attempt, in it.
        let (events, inputs) = mpsc::unbounded_channel();
        let follow = Rc::new(Notify::new());
        let (has_servers, servers) = watch::channel(false);
        classes.extend(Class::all(&settings, &events));
        tenants.extend(settings.tenants.iter().map(|tenant| tenant.name.clone()));
        let upstream =
            Rc::new(Upstream::new(most, open.clone(), settings.connect_timeout, settings.keepalive));
        spawn_local(upstream.clone().sweep());
        match source {
            Source::Discovery(at) => {
                let seq = (!known.hosts.is_empty()).then_some(known.seq);
                // Pools that lost one discovery together do not come back together either.
                let random = fastrand::Rng::with_seed(seed.wrapping_add(number as u64));
                let (sender, address) = watch::channel(at);
                addresses.push(sender);
                let watching = Discovery { address, seq, random, events: events.clone() };
                spawn_local(watching.run(follow.clone()));
            }
            Source::File(path) => drop(spawn_local(list_file::watch(path, events.clone()))),
            Source::Fixed => {}
        }
        let balancer = Balancer::new(settings, seed.wrapping_add(number as u64));
        let driver = Driver::new(balancer, upstream, follow, has_servers, events.clone());
        spawn_local(driver.run(known, inputs));
        ready.push(servers);
        drivers.push(events);
        names.push(name);
    }
    spawn_local(tell_ready(manager.clone(), names, ready.clone()));
    spawn_local(manager.clone().keep_watchdog(drivers));
    let front = Rc::new(Front::new(classes, tenants, Table::new(descriptors, most), ready, stage, most));
    spawn_local(front.table.clone().sweep());
    if kind == Kind::Platform {
        spawn_local(reload(hangup, addresses));
    } else {
        spawn_local(no_reload(hangup));
    }
    let serving: Vec<_> =
        listeners.into_iter().map(|listener| spawn_local(serve(listener, front.clone()))).collect();

    terminate.recv().await;
    eprintln!("node {name} is told to stop");
    manager.stopping();
    stages.send_replace(Stage::Leaving);
    sleep(LEAVING).await;
    stages.send_replace(Stage::Closing);
    for listener in serving {
        listener.await?;
    }
    front.drained().await;
    Ok(())
}

/// Tells the manager when every pool has known a server that takes work, and until then which has not.
async fn tell_ready(manager: Manager, names: Vec<String>, ready: Vec<watch::Receiver<bool>>) {
    for (name, mut pool) in names.into_iter().zip(ready) {
        if !*pool.borrow() {
            manager.status(format!("waiting for cache servers of pool {name}"));
        }
        // The driver only goes when the node does.
        if pool.wait_for(|ready| *ready).await.is_err() {
            return;
        }
    }
    manager.ready();
}

async fn listen(
    name: &str,
    listeners: &[Listener],
    mut passed: Passed,
) -> Result<Vec<TcpListener>, Box<dyn Error>> {
    let mut bound = Vec::new();
    for Listener { name: listener, address } in listeners {
        let listener = match passed.take(listener) {
            Some(socket) => {
                socket.set_nonblocking(true)?;
                TcpListener::from_std(socket)?
            }
            None => TcpListener::bind(address)
                .await
                .map_err(|error| format!("cannot listen on {address}: {error}"))?,
        };
        eprintln!("node {name} listens on {}", listener.local_addr()?);
        bound.push(listener);
    }
    Ok(bound)
}

/// Takes the platform's `discovery` anew at each SIGHUP; the rest of it holds from the start. A file that cannot be
/// used is one line in the log, and what the node had goes on.
async fn reload(mut hangup: Signal, discoveries: Vec<watch::Sender<SocketAddr>>) {
    while hangup.recv().await.is_some() {
        match platform::load(|name| std::env::var(name).ok().filter(|_| name != platform::DISCOVERY)) {
            Ok(new) => {
                for (pool, held) in new.pools.iter().zip(&discoveries) {
                    let Source::Discovery(at) = pool.source else { continue };
                    eprintln!("configuration read again: discovery at {at}");
                    // One that stays is not asked again: its watch is as good as it was.
                    held.send_if_modified(|held| std::mem::replace(held, at) != at);
                }
            }
            Err(error) => eprintln!("configuration not taken: {error}"),
        }
    }
}

/// An operator's file holds from the start.
async fn no_reload(mut hangup: Signal) {
    while hangup.recv().await.is_some() {
        eprintln!("configuration not read again: this version takes it at the start only");
    }
}
