//! Readiness of the node: it can serve once every pool has had a cache server that accepts requests.

use std::cell::Cell;
use tokio::sync::watch;

/// The name of a pool, and whether it has had a server that accepts requests.
pub type Pool = (String, watch::Receiver<bool>);

/// Tracks the readiness of the node. Once reached, readiness is kept: a pool that a reload adds must not
/// cause clients of the other pools to be rejected.
#[derive(Debug)]
pub struct Readiness {
    pools: watch::Sender<Vec<Pool>>,
    reached: Cell<bool>,
}

impl Readiness {
    /// Tracks the readiness of these pools.
    pub fn new(pools: Vec<Pool>) -> Self {
        Self { pools: watch::Sender::new(pools), reached: Cell::default() }
    }

    /// Replaces the pools, after a reload.
    pub fn replace(&self, pools: Vec<Pool>) {
        self.pools.send_replace(pools);
    }

    /// Returns whether the node can serve, or could at an earlier check.
    pub fn reached(&self) -> bool {
        if !self.reached.get() {
            self.reached.set(self.pools.borrow().iter().all(|(_, ready)| *ready.borrow()));
        }
        self.reached.get()
    }

    /// Waits until the node can serve. Calls `on_wait` with the name of each pool before it waits for that
    /// pool.
    pub async fn wait(&self, on_wait: impl Fn(&str)) {
        let mut changes = self.pools.subscribe();
        while !self.reached() {
            let pending = changes.borrow_and_update().iter().find(|(_, ready)| !*ready.borrow()).cloned();
            let Some((name, mut pool)) = pending else { continue };
            on_wait(&name);
            tokio::select! {
                Ok(_) = pool.wait_for(|ready| *ready) => {}
                Ok(()) = changes.changed() => {}
                else => return,
            }
        }
    }
}
