//! The listeners at work, each with a stage of its own: one that a reload removes closes as all do at the node's end.

use super::change::Change;
use crate::config::Listener;
use crate::fronts::http1::{serve, Front};
use crate::log::log;
use crate::manager::Passed;
use crate::stage::Stage;
use std::error::Error;
use std::os::fd::{AsFd, OwnedFd};
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::{spawn_local, JoinHandle, JoinSet};
use tokio::time::sleep;

/// New connections keep coming for 0.4 s after SIGTERM: until the front has noticed, the node serves them.
const LEAVING: Duration = Duration::from_millis(500);

/// Sockets that are listened on, each beside the place of its listener in the configuration.
pub type Bound = Vec<(usize, TcpListener)>;

/// Sockets that others have opened.
#[derive(Debug, Default)]
pub struct Opened {
    /// By the service manager.
    pub passed: Passed,
    /// By the process whose place this one takes.
    pub offered: Vec<(Listener, std::net::TcpListener)>,
}

impl Opened {
    fn take(&mut self, listener: &Listener) -> Option<std::net::TcpListener> {
        // Where the system picked the port, a file may name that by now.
        let bound = |socket: &std::net::TcpListener| socket.local_addr().ok() == Some(listener.address);
        let place = self.offered.iter().position(|(other, socket)| other.is(listener) || bound(socket));
        place.map(|place| self.offered.swap_remove(place).1).or_else(|| self.passed.take(&listener.name))
    }
}

/// Listens for those that `wanted` names: on a socket that another has opened, or on its address.
pub async fn bind(
    listeners: &[Listener],
    wanted: impl Iterator<Item = usize>,
    opened: &mut Opened,
) -> Result<Bound, Box<dyn Error>> {
    let mut bound = Vec::new();
    for place in wanted {
        let listener = match opened.take(&listeners[place]) {
            Some(socket) => {
                socket.set_nonblocking(true)?;
                TcpListener::from_std(socket)?
            }
            None => {
                let address = listeners[place].address;
                let bound = TcpListener::bind(address).await;
                bound.map_err(|error| format!("cannot listen on {address}: {error}"))?
            }
        };
        bound.push((place, listener));
    }
    Ok(bound)
}

/// All of them, in the configuration's order.
pub struct Listeners {
    front: Rc<Front>,
    running: Vec<Running>,
    /// Those that were removed and have not ended yet.
    removed: JoinSet<()>,
}

struct Running {
    /// Goes with its serving, which holds it open.
    socket: Weak<TcpListener>,
    stage: watch::Sender<Stage>,
    serving: JoinHandle<()>,
}

impl Running {
    async fn close(self) {
        self.stage.send_replace(Stage::Leaving);
        sleep(LEAVING).await;
        self.stage.send_replace(Stage::Closing);
        // One that panicked has ended too.
        let _ = self.serving.await;
    }
}

impl Listeners {
    /// Accepts on none yet.
    pub fn new(front: Rc<Front>) -> Self {
        Self { front, running: Vec::new(), removed: JoinSet::new() }
    }

    /// Takes on what a new configuration says, with a socket for each listener that it adds. What was taken on one that
    /// it lacks is finished.
    pub fn change(&mut self, name: &str, change: &Change, bound: Bound) {
        while self.removed.try_join_next().is_some() {}
        let mut before: Vec<_> = std::mem::take(&mut self.running).into_iter().map(Some).collect();
        let mut bound = bound.into_iter();
        for place in &change.listeners {
            let running = match place.and_then(|place| before[place].take()) {
                Some(running) => Some(running),
                None => bound.next().map(|(_, socket)| self.begin(name, socket)),
            };
            self.running.extend(running);
        }
        for removed in before.into_iter().flatten() {
            self.removed.spawn_local(removed.close());
        }
    }

    /// Waits until those that were removed listen no more: one of them may come back with the next configuration.
    pub async fn wait_for_removed(&mut self) {
        while self.removed.join_next().await.is_some() {}
    }

    fn begin(&self, name: &str, socket: TcpListener) -> Running {
        if let Ok(address) = socket.local_addr() {
            log!("node {name} listens on {address}");
        }
        let (stage, watched) = watch::channel(Stage::Serving);
        let socket = Rc::new(socket);
        let weak = Rc::downgrade(&socket);
        Running { socket: weak, stage, serving: spawn_local(serve(socket, watched, self.front.clone())) }
    }

    /// Accepts on none until [`Listeners::resume`], with all left open.
    pub fn pause(&self) {
        self.enter(Stage::Paused);
    }

    /// Accepts again.
    pub fn resume(&self) {
        self.enter(Stage::Serving);
    }

    fn enter(&self, stage: Stage) {
        for running in &self.running {
            running.stage.send_replace(stage);
        }
    }

    /// A descriptor of each socket, by its place in the configuration. One that cannot be had is left out.
    pub fn sockets(&self) -> Vec<(usize, OwnedFd)> {
        let all = self.running.iter().enumerate();
        let socket = |running: &Running| running.socket.upgrade()?.as_fd().try_clone_to_owned().ok();
        all.filter_map(|(place, running)| Some((place, socket(running)?))).collect()
    }

    /// Leaves accepting to a process that has taken over, until [`Listeners::resume`].
    pub fn stand_by(&self) {
        self.enter(Stage::StandingBy);
    }

    /// Waits until every connection of clients has ended.
    pub async fn drained(&self) {
        self.front.table.drained().await;
    }

    /// Leaves accepting to the process that has taken over, for good.
    pub fn hand_over(&self) {
        self.enter(Stage::HandedOver);
    }

    /// Waits until every connection has ended by itself, which those that nobody uses do by their time.
    pub async fn ended(&mut self) {
        self.wait_for_removed().await;
        self.front.table.drained().await;
    }

    /// Closes all and waits until every connection has ended.
    pub async fn close(mut self) {
        for running in std::mem::take(&mut self.running) {
            self.removed.spawn_local(running.close());
        }
        self.wait_for_removed().await;
        self.front.table.drained().await;
    }
}
