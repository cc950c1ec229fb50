//! The listeners of a node. Each has its own shutdown phase, so that a listener that a reload removes closes
//! in the same way as when the node stops.

use super::change::Change;
use super::error::ConfigureError;
use crate::config::Listener;
use crate::frontend::http1::{listen, serve, Frontend};
use crate::log::log;
use crate::service_manager::ActivationSockets;
use crate::shutdown_phase::ShutdownPhase;
use arrival_time::enable_arrival_timestamps;
use std::io;
use std::os::fd::{AsFd, OwnedFd};
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::{spawn_local, JoinHandle, JoinSet};
use tokio::time::sleep;

/// How long a closing listener continues to accept connections. The load balancers in front of the
/// nodes send new connections for up to 0.4 s after SIGTERM, until they detect the shutdown.
const DRAIN_DELAY: Duration = Duration::from_millis(500);

/// Listening sockets, each with the index of its listener in the configuration.
pub type BoundSockets = Vec<(usize, TcpListener)>;

/// Listening sockets that another process opened.
#[derive(Debug, Default)]
pub struct InheritedSockets {
    /// Sockets from the service manager.
    pub activation: ActivationSockets,
    /// Sockets from the predecessor, each with its listener.
    pub handed_over: Vec<(Listener, std::net::TcpListener)>,
}

impl InheritedSockets {
    fn take(&mut self, listener: &Listener) -> Option<std::net::TcpListener> {
        // If the system picked the port, the new configuration may state that port.
        let is_bound = |socket: &std::net::TcpListener| socket.local_addr().ok() == Some(listener.address);
        let is_listener = |(other, socket): &(Listener, std::net::TcpListener)| {
            other.is_same_socket(listener) || is_bound(socket)
        };
        match self.handed_over.iter().position(is_listener) {
            Some(index) => Some(self.handed_over.swap_remove(index).1),
            None => self.activation.take(&listener.name),
        }
    }
}

/// Listens for each of `listeners` whose index is in `indices`, on its inherited socket if there is one, and
/// otherwise on its address.
pub fn bind(
    listeners: &[Listener],
    indices: impl Iterator<Item = usize>,
    inherited: &mut InheritedSockets,
) -> Result<BoundSockets, ConfigureError> {
    let mut bound = Vec::new();
    for index in indices {
        let listener = &listeners[index];
        let socket = match inherited.take(listener) {
            Some(socket) => adopt(socket)
                .map_err(|error| ConfigureError::InheritedSocket { name: listener.name.clone(), error })?,
            None => {
                let address = listener.address;
                listen(address).map_err(|error| ConfigureError::Listen { address, error })?
            }
        };
        // Enabled before the first accept, so that the arrival times of requests that are already waiting are
        // known. Where the system does not support timestamps, the time of the read is used.
        enable_arrival_timestamps(&socket);
        bound.push((index, socket));
    }
    Ok(bound)
}

fn adopt(socket: std::net::TcpListener) -> io::Result<TcpListener> {
    socket.set_nonblocking(true)?;
    TcpListener::from_std(socket)
}

/// The listeners, in the order of the configuration.
pub struct Listeners {
    frontend: Rc<Frontend>,
    running: Vec<RunningListener>,
    /// Removed listeners that have not closed yet.
    removed: JoinSet<()>,
}

struct RunningListener {
    /// The socket is held open by the `serving` task.
    socket: Weak<TcpListener>,
    shutdown_phase: watch::Sender<ShutdownPhase>,
    serving: JoinHandle<()>,
}

impl RunningListener {
    async fn close(self) {
        self.shutdown_phase.send_replace(ShutdownPhase::Draining);
        sleep(DRAIN_DELAY).await;
        self.shutdown_phase.send_replace(ShutdownPhase::Closing);
        // An error means that the task panicked, so it has ended in that case as well.
        let _ = self.serving.await;
    }
}

impl Listeners {
    /// Creates an empty set of listeners.
    pub fn new(frontend: Rc<Frontend>) -> Self {
        Self { frontend, running: Vec::new(), removed: JoinSet::new() }
    }

    /// Applies a new configuration. `bound` has a socket for each added listener. A removed listener finishes
    /// its requests and closes.
    pub fn change(&mut self, name: &str, change: &Change, bound: BoundSockets) {
        while self.removed.try_join_next().is_some() {}
        let mut previous: Vec<_> = std::mem::take(&mut self.running).into_iter().map(Some).collect();
        let mut bound = bound.into_iter();
        for index in &change.listeners {
            let running = match index.and_then(|index| previous[index].take()) {
                Some(running) => Some(running),
                None => bound.next().map(|(_, socket)| self.start(name, socket)),
            };
            self.running.extend(running);
        }
        for removed in previous.into_iter().flatten() {
            self.removed.spawn_local(removed.close());
        }
    }

    /// Waits until removed listeners have closed, since the next configuration may add one of them again.
    pub async fn wait_for_removed(&mut self) {
        while self.removed.join_next().await.is_some() {}
    }

    fn start(&self, name: &str, socket: TcpListener) -> RunningListener {
        if let Ok(address) = socket.local_addr() {
            log!("node {name} listens on {address}");
        }
        let (shutdown_phase, watched_phase) = watch::channel(ShutdownPhase::Serving);
        let socket = Rc::new(socket);
        let weak = Rc::downgrade(&socket);
        let serving = spawn_local(serve(socket, watched_phase, self.frontend.clone()));
        RunningListener { socket: weak, shutdown_phase, serving }
    }

    /// Stops accepting until [`Listeners::resume`]. The sockets stay open.
    pub fn pause(&self) {
        self.enter(ShutdownPhase::Paused);
    }

    /// Accepts again after [`Listeners::pause`] or [`Listeners::stand_by`].
    pub fn resume(&self) {
        self.enter(ShutdownPhase::Serving);
    }

    fn enter(&self, phase: ShutdownPhase) {
        for running in &self.running {
            running.shutdown_phase.send_replace(phase);
        }
    }

    /// Duplicates the descriptor of each socket, and returns it with the index of its listener in the
    /// configuration. Sockets that cannot be duplicated are left out.
    pub fn sockets(&self) -> Vec<(usize, OwnedFd)> {
        let all = self.running.iter().enumerate();
        let socket = |running: &RunningListener| running.socket.upgrade()?.as_fd().try_clone_to_owned().ok();
        all.filter_map(|(index, running)| Some((index, socket(running)?))).collect()
    }

    /// Stops accepting while the successor is on probation, until [`Listeners::resume`].
    pub fn stand_by(&self) {
        self.enter(ShutdownPhase::StandingBy);
    }

    /// Waits until every client connection has ended.
    pub async fn drained(&self) {
        self.frontend.table.drained().await;
    }

    /// Stops accepting permanently, because another process has taken over.
    pub fn hand_over(&self) {
        self.enter(ShutdownPhase::HandedOver);
    }

    /// Waits until every connection has ended, without closing any. Idle connections end when they time out.
    pub async fn ended(&mut self) {
        self.wait_for_removed().await;
        self.frontend.table.drained().await;
    }

    /// Closes all listeners, and waits until every connection has ended.
    pub async fn close(mut self) {
        for running in std::mem::take(&mut self.running) {
            self.removed.spawn_local(running.close());
        }
        self.wait_for_removed().await;
        self.frontend.table.drained().await;
    }
}
