//! The listeners of a node, each with a shutdown phase of its own: one that a reload removes closes as all do when the node
//! stops.

use super::change::Change;
use super::error::ConfigureError;
use crate::config::Listener;
use crate::frontend::http1::{serve, Frontend};
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

/// The time for which a listener that stops still accepts. Fronts send new connections for up to 0.4 s after SIGTERM,
/// until they notice.
const DRAIN_DELAY: Duration = Duration::from_millis(500);

/// Listening sockets, each with the index of its listener in the configuration.
pub type Bound = Vec<(usize, TcpListener)>;

/// Listening sockets that another process opened.
#[derive(Debug, Default)]
pub struct InheritedSockets {
    /// The service manager's.
    pub activation: ActivationSockets,
    /// The predecessor's.
    pub handed_over: Vec<(Listener, std::net::TcpListener)>,
}

impl InheritedSockets {
    fn take(&mut self, listener: &Listener) -> Option<std::net::TcpListener> {
        // If the system picked the port, the file may name it by now.
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

/// Listens for each of `listeners` whose index is in `indices`: on an inherited socket, or on its address.
pub async fn bind(
    listeners: &[Listener],
    indices: impl Iterator<Item = usize>,
    inherited: &mut InheritedSockets,
) -> Result<Bound, ConfigureError> {
    let mut bound = Vec::new();
    for index in indices {
        let listener = &listeners[index];
        let socket = match inherited.take(listener) {
            Some(socket) => adopt(socket)
                .map_err(|error| ConfigureError::InheritedSocket { name: listener.name.clone(), error })?,
            None => {
                let address = listener.address;
                let bound = TcpListener::bind(address).await;
                bound.map_err(|error| ConfigureError::Listen { address, error })?
            }
        };
        // From here on, so that requests that come before the first accept tell when they came. Where the system cannot,
        // they count from their read.
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
    front: Rc<Frontend>,
    running: Vec<Running>,
    /// Removed listeners that have not closed yet.
    removed: JoinSet<()>,
}

struct Running {
    /// The task that serves holds it open.
    socket: Weak<TcpListener>,
    phase: watch::Sender<ShutdownPhase>,
    serving: JoinHandle<()>,
}

impl Running {
    async fn close(self) {
        self.phase.send_replace(ShutdownPhase::Draining);
        sleep(DRAIN_DELAY).await;
        self.phase.send_replace(ShutdownPhase::Closing);
        // A task that panicked has ended, too.
        let _ = self.serving.await;
    }
}

impl Listeners {
    /// No listeners yet.
    pub fn new(front: Rc<Frontend>) -> Self {
        Self { front, running: Vec::new(), removed: JoinSet::new() }
    }

    /// Applies a new configuration. `bound` has a socket for each listener that it adds. A listener that it lacks finishes
    /// its requests and closes.
    pub fn change(&mut self, name: &str, change: &Change, bound: Bound) {
        while self.removed.try_join_next().is_some() {}
        let mut before: Vec<_> = std::mem::take(&mut self.running).into_iter().map(Some).collect();
        let mut bound = bound.into_iter();
        for index in &change.listeners {
            let running = match index.and_then(|index| before[index].take()) {
                Some(running) => Some(running),
                None => bound.next().map(|(_, socket)| self.start(name, socket)),
            };
            self.running.extend(running);
        }
        for removed in before.into_iter().flatten() {
            self.removed.spawn_local(removed.close());
        }
    }

    /// Waits until removed listeners have closed: the next configuration may add one of them again.
    pub async fn wait_for_removed(&mut self) {
        while self.removed.join_next().await.is_some() {}
    }

    fn start(&self, name: &str, socket: TcpListener) -> Running {
        if let Ok(address) = socket.local_addr() {
            log!("node {name} listens on {address}");
        }
        let (phase, watched_phase) = watch::channel(ShutdownPhase::Serving);
        let socket = Rc::new(socket);
        let weak = Rc::downgrade(&socket);
        let serving = spawn_local(serve(socket, watched_phase, self.front.clone()));
        Running { socket: weak, phase, serving }
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
            running.phase.send_replace(phase);
        }
    }

    /// A descriptor of each socket, with the index of its listener in the configuration. A socket that cannot be duplicated
    /// is left out.
    pub fn sockets(&self) -> Vec<(usize, OwnedFd)> {
        let all = self.running.iter().enumerate();
        let socket = |running: &Running| running.socket.upgrade()?.as_fd().try_clone_to_owned().ok();
        all.filter_map(|(index, running)| Some((index, socket(running)?))).collect()
    }

    /// Leaves accepting to the successor, until [`Listeners::resume`].
    pub fn stand_by(&self) {
        self.enter(ShutdownPhase::StandingBy);
    }

    /// Waits until every client connection has ended.
    pub async fn drained(&self) {
        self.front.table.drained().await;
    }

    /// Leaves accepting to another process for good.
    pub fn hand_over(&self) {
        self.enter(ShutdownPhase::HandedOver);
    }

    /// Waits until every connection has ended by itself; idle ones end by their time limit.
    pub async fn ended(&mut self) {
        self.wait_for_removed().await;
        self.front.table.drained().await;
    }

    /// Closes all listeners, and waits until every connection has ended.
    pub async fn close(mut self) {
        for running in std::mem::take(&mut self.running) {
            self.removed.spawn_local(running.close());
        }
        self.wait_for_removed().await;
        self.front.table.drained().await;
    }
}
