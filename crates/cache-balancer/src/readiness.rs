//! Whether the node can serve: every pool of its start has known a cache server that takes work.

use std::cell::Cell;
use tokio::sync::watch;

/// A pool's name, and whether it has known such a server.
pub type Pool = (String, watch::Receiver<bool>);

/// Once reached it holds for good: a pool that a reload adds is no reason to send clients of the others away.
#[derive(Debug)]
pub struct Readiness {
    pools: watch::Sender<Vec<Pool>>,
    reached: Cell<bool>,
}

impl Readiness {
    /// Of these pools.
    pub fn new(pools: Vec<Pool>) -> Self {
        Self { pools: watch::Sender::new(pools), reached: Cell::default() }
    }

    /// A reload changed them.
    pub fn replace(&self, pools: Vec<Pool>) {
        self.pools.send_replace(pools);
    }

    /// Whether it is.
    pub fn reached(&self) -> bool {
        if !self.reached.get() {
            self.reached.set(self.pools.borrow().iter().all(|(_, ready)| *ready.borrow()));
        }
        self.reached.get()
    }

    /// Waits until it is, and names each pool that is waited for.
    pub async fn wait(&self, waits_for: impl Fn(&str)) {
        let mut changes = self.pools.subscribe();
        while !self.reached() {
            let missing = changes.borrow_and_update().iter().find(|(_, ready)| !*ready.borrow()).cloned();
            let Some((name, mut pool)) = missing else { continue };
            waits_for(&name);
            tokio::select! {
                Ok(_) = pool.wait_for(|ready| *ready) => {}
                Ok(()) = changes.changed() => {}
                else => return,
            }
        }
    }
}
