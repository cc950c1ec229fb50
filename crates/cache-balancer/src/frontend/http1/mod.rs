//! The HTTP/1.1 frontend: accepts connections, reads requests, passes each to the driver of its pool, writes
//! the responses, and reports clients that disconnect.

mod connection;
mod forward;
mod listener;
mod request;
mod response;
mod routes;

pub use listener::{listen, serve};
pub use routes::{ClassRoute, Routes};

use crate::frontend::connections::ConnectionTable;
use crate::input::RequestNumber;
use crate::memory::MemoryAccount;
use crate::readiness::Readiness;
use crate::upstream::InFlightIds;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::{Semaphore, SemaphorePermit};

/// State shared by all listeners and client connections.
pub struct Frontend {
    routes: RefCell<Rc<Routes>>,
    readiness: Rc<Readiness>,
    next_request_number: Cell<u64>,
    /// The table of client connections.
    pub table: Rc<ConnectionTable>,
    max_connections: Cell<usize>,
    /// Holds one permit for each connection that may be open.
    connection_permits: Arc<Semaphore>,
    /// The account in which long heads and bodies are reserved.
    memory: MemoryAccount,
    /// The client-assigned ids of the requests in flight.
    in_flight_ids: InFlightIds,
}

impl Frontend {
    /// Creates a frontend without connections, for a process that may hold `descriptors` file descriptors and
    /// accepts up to `max_connections` client connections.
    pub fn new(
        routes: Routes,
        readiness: Rc<Readiness>,
        memory: MemoryAccount,
        descriptors: usize,
        max_connections: usize,
    ) -> Self {
        Self {
            routes: RefCell::new(Rc::new(routes)),
            readiness,
            next_request_number: Cell::new(0),
            table: Rc::new(ConnectionTable::new(descriptors, max_connections)),
            max_connections: Cell::new(max_connections),
            connection_permits: Arc::new(Semaphore::new(max_connections)),
            memory,
            in_flight_ids: InFlightIds::default(),
        }
    }

    /// Replaces the routes. Requests accepted from now on use the new ones.
    pub fn set_routes(&self, routes: Routes) {
        *self.routes.borrow_mut() = Rc::new(routes);
    }

    /// Sets both limits. Connections above a lowered limit stay open, and their permits are removed as they
    /// end.
    pub fn resize(&self, descriptors: usize, max_connections: usize) {
        self.table.resize(descriptors, max_connections);
        let previous_max = self.max_connections.replace(max_connections);
        self.connection_permits.add_permits(max_connections.saturating_sub(previous_max));
        let (surplus, permits) =
            (previous_max.saturating_sub(max_connections), self.connection_permits.clone());
        tokio::task::spawn_local(async move {
            // Permits are acquired one at a time, in turn with waiting clients. If they were acquired all at
            // once, they would block every client that waits to be accepted until the last of them became
            // free.
            for _ in 0..surplus {
                // The semaphore is never closed.
                permits.acquire().await.into_iter().for_each(SemaphorePermit::forget);
            }
        });
    }

    fn routes(&self) -> Rc<Routes> {
        self.routes.borrow().clone()
    }

    fn allocate_request_number(&self) -> RequestNumber {
        RequestNumber(self.next_request_number.replace(self.next_request_number.get() + 1))
    }
}

#[cfg(test)]
mod tests;
