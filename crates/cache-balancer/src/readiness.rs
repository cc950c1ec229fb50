//! Whether the node can serve: every pool of its start has had a cache server that takes work.

use std::cell::Cell;
use tokio::sync::watch;

/// The name of a pool, and whether it has had a server that takes work.
pub type Pool = (String, watch::Receiver<bool>);

/// Once reached, readiness holds for good: a pool that a reload adds must not turn away the clients of the others.
#[derive(Debug)]
pub struct Readiness {
    pools: watch::Sender<Vec<Pool>>,
    reached: Cell<bool>,
}

impl Readiness {
    /// The readiness of these pools.
    pub fn new(pools: Vec<Pool>) -> Self {
        Self { pools: watch::Sender::new(pools), reached: Cell::default() }
    }

    /// Replaces the pools, after a reload.
    pub fn replace(&self, pools: Vec<Pool>) {
        self.pools.send_replace(pools);
    }

    /// Whether the node can serve.
    pub fn reached(&self) -> bool {
        if !self.reached.get() {
            self.reached.set(self.pools.borrow().iter().all(|(_, ready)| *ready.borrow()));
        }
        self.reached.get()
    }

    /// Waits until the node can serve. Calls `waits_for` with the name of each pool that is waited for.
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
