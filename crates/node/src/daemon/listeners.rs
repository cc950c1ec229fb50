//! The listeners at work, each with a stage of its own: one that a reload removes closes as all do at the node's end.

use super::change::Change;
use crate::config::Listener;
use crate::fronts::http1::{serve, Front};
use crate::manager::Passed;
use crate::stage::Stage;
use std::error::Error;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::{spawn_local, JoinHandle, JoinSet};
use tokio::time::sleep;

/// New connections keep coming for 0.4 s after SIGTERM: until the front has noticed, the node serves them.
const LEAVING: Duration = Duration::from_millis(500);

/// Sockets that are listened on, each beside the place of its listener in the configuration.
pub type Bound = Vec<(usize, TcpListener)>;

/// Listens for those that `wanted` names: on a socket that the service manager passed, or on its address.
pub async fn bind(
    listeners: &[Listener],
    wanted: impl Iterator<Item = usize>,
    passed: &mut Passed,
) -> Result<Bound, Box<dyn Error>> {
    let mut bound = Vec::new();
    for place in wanted {
        let Listener { name, address } = &listeners[place];
        let listener = match passed.take(name) {
            Some(socket) => {
                socket.set_nonblocking(true)?;
                TcpListener::from_std(socket)?
            }
            None => TcpListener::bind(address)
                .await
                .map_err(|error| format!("cannot listen on {address}: {error}"))?,
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
            eprintln!("node {name} listens on {address}");
        }
        let (stage, watched) = watch::channel(Stage::Serving);
        Running { stage, serving: spawn_local(serve(socket, watched, self.front.clone())) }
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
