//! Divides the memory that a process may use between connections and what is held for clients, cache servers
//! and discovery.
//!
//! [`MemoryPlan`] bounds the number of connections. Each connection includes the memory of a short request or
//! a short response, so that these are served whatever others hold. What is left is a [`MemoryBudget`], from
//! which long messages and endpoint lists are reserved as they arrive.

use thiserror::Error;

/// Memory of a connection to a client or to a cache server, in bytes: its state, its buffers, and a short
/// message on it.
pub const CONNECTION_BYTES: usize = 24 << 10;
/// One part in this many of the limit is not planned, because the allocator keeps some memory unused.
const UNPLANNED_DIVISOR: usize = 8;
/// Maximum part of the available memory for connections to clients, and for those to cache servers.
const CLIENT_CONNECTIONS_DIVISOR: usize = 3;
const SERVER_CONNECTIONS_DIVISOR: usize = 6;
/// Maximum parts of the budget, in eighths. The rest is left for lists.
const EIGHTHS: usize = 8;
const REQUEST_EIGHTHS: usize = 3;
const RESPONSE_EIGHTHS: usize = 4;

/// The number of connections that fit into a memory limit, and the budget for what is held beside them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryPlan {
    /// Maximum number of connections to clients.
    pub client_connections: usize,
    /// Maximum number of connections to cache servers.
    pub server_connections: usize,
    /// The total of a [`MemoryBudget`], in bytes.
    pub budget: usize,
}

impl MemoryPlan {
    /// Plans for a process that may take `limit` bytes, of which it has taken `resident` before its first
    /// connection, and that may open up to `max_connections` connections on each side. At least
    /// `min_connections` are planned for each side, whatever the limit.
    pub fn new(limit: usize, resident: usize, max_connections: usize, min_connections: usize) -> Self {
        let available = limit.saturating_sub(limit / UNPLANNED_DIVISOR).saturating_sub(resident);
        let connections = |divisor: usize| {
            (available / divisor / CONNECTION_BYTES).min(max_connections).max(min_connections)
        };
        let client_connections = connections(CLIENT_CONNECTIONS_DIVISOR);
        let server_connections = connections(SERVER_CONNECTIONS_DIVISOR);
        let planned = (client_connections + server_connections) * CONNECTION_BYTES;
        Self { client_connections, server_connections, budget: available.saturating_sub(planned) }
    }
}

/// What memory is reserved for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemoryUse {
    /// Long heads and bodies of clients' requests.
    Request,
    /// Long responses of cache servers.
    Response,
    /// Endpoint lists, and the state of a predecessor process.
    List,
}

/// Error of a reservation that does not fit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("no memory left: {used} of {total} bytes are reserved")]
pub struct MemoryExhausted {
    /// The bytes reserved for all uses.
    pub used: usize,
    /// The total of the budget in bytes.
    pub total: usize,
}

/// Memory that is held for others, by use. Neither requests nor responses can take up the whole budget.
#[derive(Clone, Debug)]
pub struct MemoryBudget {
    total: usize,
    requests: usize,
    responses: usize,
    lists: usize,
}

impl MemoryBudget {
    /// Creates a budget of `total` bytes, none of which is reserved.
    pub fn new(total: usize) -> Self {
        Self { total, requests: 0, responses: 0, lists: 0 }
    }

    /// Returns the total in bytes.
    pub fn total(&self) -> usize {
        self.total
    }

    /// Changes the total. Reservations above a lowered total stay.
    pub fn resize(&mut self, total: usize) {
        self.total = total;
    }

    /// Returns the bytes reserved for all uses.
    pub fn used(&self) -> usize {
        self.requests + self.responses + self.lists
    }

    /// Reserves memory.
    ///
    /// # Errors
    ///
    /// Returns [`MemoryExhausted`] and reserves nothing if this use has reached its part, or if the budget is
    /// used up.
    pub fn reserve(&mut self, purpose: MemoryUse, bytes: usize) -> Result<(), MemoryExhausted> {
        let (used, total, maximum) = (self.used(), self.total, self.maximum(purpose));
        let of_purpose = self.of(purpose);
        let wanted = of_purpose.saturating_add(bytes);
        if wanted > maximum || used.saturating_add(bytes) > total {
            return Err(MemoryExhausted { used, total });
        }
        *of_purpose = wanted;
        Ok(())
    }

    /// Counts memory that is needed in any case, also above the total.
    pub fn charge(&mut self, purpose: MemoryUse, bytes: usize) {
        let of_purpose = self.of(purpose);
        *of_purpose = of_purpose.saturating_add(bytes);
    }

    /// Releases memory that was reserved for this use.
    pub fn release(&mut self, purpose: MemoryUse, bytes: usize) {
        let of_purpose = self.of(purpose);
        *of_purpose = of_purpose.saturating_sub(bytes);
    }

    /// Returns the maximum for a use. Lists come first: what they hold is not divided.
    fn maximum(&self, purpose: MemoryUse) -> usize {
        let divided = self.total.saturating_sub(self.lists) / EIGHTHS;
        match purpose {
            MemoryUse::Request => divided * REQUEST_EIGHTHS,
            MemoryUse::Response => divided * RESPONSE_EIGHTHS,
            MemoryUse::List => self.total,
        }
    }

    fn of(&mut self, purpose: MemoryUse) -> &mut usize {
        match purpose {
            MemoryUse::Request => &mut self.requests,
            MemoryUse::Response => &mut self.responses,
            MemoryUse::List => &mut self.lists,
        }
    }
}
