//! The idle connections to one cache server, and when each of them may be reused.
//!
//! An HTTP/1.1 response carries nothing that names its request: the client matches them by their order on the
//! connection (RFC 9112, section 9.3). Bytes that arrive while no request is in flight belong to no request,
//! and the connection must be closed. Bytes that are still on their way, such as a late second copy of the
//! last response, cannot be told from the next response once another request has been written. A connection
//! is therefore reused only after [`QUIET_PERIOD`] without any byte.

use super::connection::Connection;
use std::cell::{Cell, RefCell};
use std::time::Duration;
use tokio::time::Instant;

/// Minimum time between the last byte of a response and the next request on the same connection.
pub(super) const QUIET_PERIOD: Duration = Duration::from_millis(25);
/// Requests to a server wait this long in total for connections to become reusable before one of them opens
/// another connection. A server with little traffic is then reached over one connection, and one with much
/// traffic over as many as make up for the quiet periods.
pub(super) const MAX_TOTAL_WAIT: Duration = Duration::from_millis(250);

/// The connections to a server on which no request is in flight.
#[derive(Default)]
pub(super) struct IdleConnections {
    /// Ordered by the time at which they became idle; the most recently used one is last.
    connections: RefCell<Vec<Connection>>,
    /// How long requests have waited for connections since the last one that opened a connection instead.
    waited: Cell<Duration>,
}

impl IdleConnections {
    /// Adds a connection whose last response is complete.
    pub(super) fn add(&self, mut connection: Connection) {
        connection.progress.reused.set(true);
        connection.idle_since = Instant::now();
        self.connections.borrow_mut().push(connection);
    }

    /// Removes and returns the most recently used of the connections that may be reused.
    pub(super) fn take_reusable(&self) -> Option<Connection> {
        let mut connections = self.connections.borrow_mut();
        let index =
            connections.iter().rposition(|connection| connection.idle_since.elapsed() >= QUIET_PERIOD)?;
        Some(connections.remove(index))
    }

    /// Returns when a request should look again for a reusable connection, or `None` if it should open one.
    /// `limit` is the instant by which the request must have a connection.
    pub(super) fn wait_until(&self, limit: Instant) -> Option<Instant> {
        let reusable_at = self.oldest_since()? + QUIET_PERIOD;
        let waited = self.waited.get() + reusable_at.saturating_duration_since(Instant::now());
        if waited > MAX_TOTAL_WAIT {
            self.waited.set(Duration::ZERO);
            return None;
        }
        if reusable_at >= limit {
            return None;
        }
        self.waited.set(waited);
        Some(reusable_at)
    }

    /// Closes the connections for which `keep` returns false.
    pub(super) fn retain(&self, keep: impl Fn(&Connection) -> bool) {
        self.connections.borrow_mut().retain(keep);
    }

    /// Closes all connections.
    pub(super) fn close_all(&self) {
        self.connections.borrow_mut().clear();
    }

    /// Closes the connection that has been idle for longest.
    pub(super) fn close_oldest(&self) {
        self.connections.borrow_mut().remove(0);
    }

    /// Returns when the longest-idle connection became idle, or `None` if no connection is idle.
    pub(super) fn oldest_since(&self) -> Option<Instant> {
        self.connections.borrow().first().map(|connection| connection.idle_since)
    }
}
