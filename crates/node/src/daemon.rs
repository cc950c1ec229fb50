//! One node: start-up, wiring, SIGHUP and SIGTERM.

use crate::config::{self, Config};
use crate::discovery::Discovery;
use crate::driver::Driver;
use crate::fronts::http1::{serve, Front};
use crate::fronts::table::Table;
use crate::stage::Stage;
use crate::upstream::Upstream;
use decide::Balancer;
use std::error::Error;
use std::net::SocketAddr;
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
/// Descriptors left for the runtime, the listener, discovery and the standard streams.
const SPARE_SOCKETS: usize = 24;

/// Serves until SIGTERM, as the environment says.
pub fn start() -> Result<(), Box<dyn Error>> {
    let config = config::load(|name| std::env::var(name).ok())?;
    // A node has one core: one thread, and no locks between its parts.
    let runtime = runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, run(config))
}

async fn run(config: Config) -> Result<(), Box<dyn Error>> {
    // Before anything else: a signal without a handler ends the process.
    let mut terminate = signal(SignalKind::terminate())?;
    let hangup = signal(SignalKind::hangup())?;
    let Config { name, listen, discovery, seed, sockets, known, settings } = config;
    let listener =
        TcpListener::bind(listen).await.map_err(|error| format!("cannot listen on {listen}: {error}"))?;
    eprintln!("node {name} listens on {}", listener.local_addr()?);

    // A request holds a connection of its client for as long as one to a cache server.
    let most = (sockets - SPARE_SOCKETS) / 2;
    // Unbounded, and bounded all the same by the connections: each has one request, or one attempt, in it.
    let (events, inputs) = mpsc::unbounded_channel();
    let (stages, stage) = watch::channel(Stage::Serving);
    let (follow, ready) = (Rc::new(Notify::new()), Rc::default());
    let upstream = Rc::new(Upstream::new(most, settings.connect_timeout, settings.keepalive));
    let front =
        Rc::new(Front::new(&settings, Table::new(sockets, most), Rc::clone(&ready), stage, events.clone()));
    let seq = (!known.hosts.is_empty()).then_some(known.seq);
    let random = fastrand::Rng::with_seed(seed);
    let (addresses, address) = watch::channel(discovery);
    let watching = Discovery { address, seq, random, events: events.clone() };

    spawn_local(upstream.clone().sweep());
    spawn_local(front.table.clone().sweep());
    spawn_local(watching.run(follow.clone()));
    spawn_local(reload(hangup, addresses));
    let balancer = Balancer::new(settings, seed);
    spawn_local(Driver::new(balancer, upstream, follow, ready, events).run(known, inputs));
    let serving = spawn_local(serve(listener, front, most));

    terminate.recv().await;
    eprintln!("node {name} is told to stop");
    stages.send_replace(Stage::Leaving);
    sleep(LEAVING).await;
    stages.send_replace(Stage::Closing);
    serving.await?;
    Ok(())
}

/// Takes the configuration's `discovery` anew at each SIGHUP; the rest of it holds from the start. A file that
/// cannot be used is one line in the log, and what the node had goes on.
async fn reload(mut hangup: Signal, discovery: watch::Sender<SocketAddr>) {
    while hangup.recv().await.is_some() {
        match config::load(|name| std::env::var(name).ok().filter(|_| name != config::DISCOVERY)) {
            Ok(new) => {
                eprintln!("configuration read again: discovery at {}", new.discovery);
                // One that stays is not asked again: its watch is as good as it was.
                discovery.send_if_modified(|held| std::mem::replace(held, new.discovery) != new.discovery);
            }
            Err(error) => eprintln!("configuration not taken: {error}"),
        }
    }
}
