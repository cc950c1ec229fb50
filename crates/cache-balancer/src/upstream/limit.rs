//! The limit on connections to cache servers.

use crate::memory::MemoryAccount;
use std::cell::{Cell, RefCell};
use std::rc::Rc;

/// Counts the open connections to cache servers of all pools in the process, and holds their maximum and the
/// account in which their long responses are reserved.
pub struct ConnectionLimit {
    max: Cell<usize>,
    open: Cell<usize>,
    memory: MemoryAccount,
    make_room: RefCell<Option<MakeRoom>>,
}

/// Has others release memory of responses. Returns whether they do.
type MakeRoom = Box<dyn Fn() -> bool>;

impl ConnectionLimit {
    /// Creates a limit of `max` connections, none of which is open yet.
    pub fn new(max: usize, memory: MemoryAccount) -> Self {
        Self { max: Cell::new(max), open: Cell::default(), memory, make_room: RefCell::default() }
    }

    /// Sets what is called if no memory is left for a response. By default, the response is given up.
    pub fn set_make_room(&self, make_room: impl Fn() -> bool + 'static) {
        self.make_room.replace(Some(Box::new(make_room)));
    }

    /// Has others release memory of responses. Returns whether they do.
    pub(super) fn make_room(&self) -> bool {
        self.make_room.borrow().as_ref().is_some_and(|make_room| make_room())
    }

    /// Returns the account of the responses.
    pub fn memory(&self) -> &MemoryAccount {
        &self.memory
    }

    /// Sets the maximum number of open connections. Open connections in excess of it are not closed.
    pub fn set_max(&self, max: usize) {
        self.max.set(max);
    }

    /// Returns whether no further connection may be opened.
    pub(super) fn is_reached(&self) -> bool {
        self.open.get() >= self.max.get()
    }
}

/// Counts one connection as open until the permit is dropped.
pub(super) struct ConnectionPermit(Rc<ConnectionLimit>);

impl ConnectionPermit {
    /// Counts a connection, even if the limit is reached.
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
