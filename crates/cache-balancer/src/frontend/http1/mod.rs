//! The HTTP/1.1 frontend: accepts connections, reads requests, passes them to the driver of their pool, writes
//! the responses and reports clients that disconnect.

mod connection;
mod forward;
mod listener;
mod request;
mod response;
mod routes;

pub use listener::serve;
pub use routes::{ClassRoute, Routes};

use crate::frontend::connections::ConnectionTable;
use crate::input::RequestNumber;
use crate::readiness::Readiness;
use crate::upstream::InFlightIds;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::{Semaphore, SemaphorePermit};

/// What all connections of clients share.
pub struct Frontend {
    routes: RefCell<Rc<Routes>>,
    ready: Rc<Readiness>,
    next_request_number: Cell<u64>,
    /// The connections of clients.
    pub table: Rc<ConnectionTable>,
    max_connections: Cell<usize>,
    /// One permit for each connection that may be open.
    connection_permits: Arc<Semaphore>,
    /// The ids of the requests in flight.
    in_flight_ids: InFlightIds,
}

impl Frontend {
    /// A frontend without connections, for a process that may hold `descriptors` file descriptors and accepts up
    /// to `max_connections` connections of clients.
    pub fn new(routes: Routes, ready: Rc<Readiness>, descriptors: usize, max_connections: usize) -> Self {
        Self {
            routes: RefCell::new(Rc::new(routes)),
            ready,
            next_request_number: Cell::new(0),
            table: Rc::new(ConnectionTable::new(descriptors, max_connections)),
            max_connections: Cell::new(max_connections),
            connection_permits: Arc::new(Semaphore::new(max_connections)),
            in_flight_ids: InFlightIds::default(),
        }
    }

    /// Sets the routes of requests that are accepted from here on.
    pub fn set_routes(&self, routes: Routes) {
        *self.routes.borrow_mut() = Rc::new(routes);
    }

    /// Sets both limits. Connections that are open above them stay; their permits go as they end.
    pub fn resize(&self, descriptors: usize, max_connections: usize) {
        self.table.resize(descriptors, max_connections);
        let before = self.max_connections.replace(max_connections);
        self.connection_permits.add_permits(max_connections.saturating_sub(before));
        let (surplus, permits) = (before.saturating_sub(max_connections), self.connection_permits.clone());
        tokio::task::spawn_local(async move {
            // One by one, in turn with clients that wait to be accepted: all at once, these would wait for
            // the last.
            for _ in 0..surplus {
                // The semaphore is never closed.
                permits.acquire().await.into_iter().for_each(SemaphorePermit::forget);
            }
        });
    }

    fn routes(&self) -> Rc<Routes> {
        self.routes.borrow().clone()
    }

    fn request_number(&self) -> RequestNumber {
        RequestNumber(self.next_request_number.replace(self.next_request_number.get() + 1))
    }
}

#[cfg(test)]
mod tests;
