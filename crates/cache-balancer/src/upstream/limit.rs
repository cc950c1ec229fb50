//! The limit on connections to cache servers.

use std::cell::Cell;
use std::rc::Rc;

/// The number of connections to cache servers that a process may have open, and has: of all pools together.
#[derive(Debug)]
pub struct ConnectionLimit {
    max: Cell<usize>,
    open: Cell<usize>,
}

impl ConnectionLimit {
    /// A limit of `max` connections, none of them open.
    pub fn new(max: usize) -> Self {
        Self { max: Cell::new(max), open: Cell::default() }
    }

    /// Sets the largest number of open connections. Connections that are open above it stay.
    pub fn set_max(&self, max: usize) {
        self.max.set(max);
    }

    /// Whether no further connection may be opened.
    pub(super) fn is_reached(&self) -> bool {
        self.open.get() >= self.max.get()
    }
}

/// Counts one connection as open, until it is dropped.
pub(super) struct ConnectionPermit(Rc<ConnectionLimit>);

impl ConnectionPermit {
    /// Counts a connection, whether or not the limit is reached.
    pub(super) fn new(limit: &Rc<ConnectionLimit>) -> Self {
        limit.open.set(limit.open.get() + 1);
        Self(limit.clone())
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
    }
}
