//! The table of client connections. It closes connections that time out, idle ones above a limit, and some in
//! favour of clients that wait to be accepted.

use super::state::{ConnectionState, Phase, Usage};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::interval;

/// Minimum age at which a connection that has received no bytes may be evicted. Ordinary clients send their
/// request at once.
const EVICT_NEW_AFTER: Duration = Duration::from_millis(30);
/// Idle time from which a connection is evicted in preference to others. Its client is unlikely to need it.
const EVICT_IDLE_AFTER: Duration = Duration::from_secs(2);
/// Minimum age at which a connection with an incomplete request may be evicted. Ordinary requests arrive
/// within a few packets.
const EVICT_READING_AFTER: Duration = Duration::from_millis(500);
const TIMEOUT_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// The platform limits clients to one in this many file descriptors of a node.
const DESCRIPTORS_PER_CLIENT_CONNECTION: usize = 3;

/// The table of all client connections.
#[derive(Debug)]
pub struct ConnectionTable {
    next_number: Cell<u64>,
    connections: RefCell<BTreeMap<u64, Rc<ConnectionState>>>,
    usage: Rc<Usage>,
    /// Maximum number of connections that all clients together can hold.
    capacity: Cell<usize>,
    /// Notified when the last connection has ended.
    emptied: Notify,
}

impl ConnectionTable {
    /// Creates an empty table, for a process that may hold `descriptors` file descriptors and accepts up to
    /// `max_connections` client connections.
    pub fn new(descriptors: usize, max_connections: usize) -> Self {
        Self {
            next_number: Cell::default(),
            connections: RefCell::default(),
            usage: Rc::default(),
            capacity: Cell::new(capacity(descriptors, max_connections)),
            emptied: Notify::new(),
        }
    }

    /// Sets both limits. Connections above a lowered limit stay open.
    pub fn resize(&self, descriptors: usize, max_connections: usize) {
        self.capacity.set(capacity(descriptors, max_connections));
    }

    /// Waits until the table is empty.
    pub async fn drained(&self) {
        while !self.connections.borrow().is_empty() {
            self.emptied.notified().await;
        }
    }

    /// Adds a connection.
    pub(super) fn insert(&self, socket: tokio::net::TcpStream) -> Rc<ConnectionState> {
        let number = self.next_number.replace(self.next_number.get() + 1);
        let state = Rc::new(ConnectionState::new(number, socket, self.usage.clone()));
        self.connections.borrow_mut().insert(number, state.clone());
        state
    }

    /// Removes a connection that has ended.
    pub(super) fn remove(&self, state: &ConnectionState) {
        state.remove_from_counts();
        self.connections.borrow_mut().remove(&state.number);
        if self.connections.borrow().is_empty() {
            self.emptied.notify_one();
        }
    }

    /// Returns the maximum number of idle connections while `in_use` connections carry a request: half of the
    /// free capacity.
    ///
    /// Clients may hold a limited number of connections, and many of them send one request and never close.
    /// Without this limit, such connections would use up that number, and further clients would be shut out
    /// while the node is idle, long before its own table is full. The other half of the capacity stays free
    /// for clients without a connection. The limit protects in the same way against a client that opens a
    /// burst of connections and never uses them again.
    ///
    /// The cost is that a client whose connection was closed opens another, which takes a round trip and a
    /// little work at both ends. That happens only while more than half of the free capacity is idle. The
    /// connection pool of an ordinary client (as many connections as it ever has requests in flight) does not
    /// reach that until half of the capacity is in use.
    pub(super) fn max_idle(&self, in_use: usize) -> usize {
        self.capacity.get().saturating_sub(in_use) / 2
    }

    /// Returns whether the connection whose response is written now may stay open as an idle one. At the
    /// limit, a connection that has been idle for [`EVICT_IDLE_AFTER`] is closed instead. One that was used
    /// more recently is not, because its client is likely to send a request while it closes.
    pub(super) fn may_keep_idle(&self) -> bool {
        let (idle, in_use) = (self.usage.idle.borrow().len(), self.usage.in_use.get());
        // The calling connection still counts as in use.
        idle < self.max_idle(in_use.saturating_sub(1)) || self.evict_longest_idle()
    }

    /// Requests the close of the connection that has been idle for longest and has no unread bytes. Returns
    /// `false` if no such connection has been idle for [`EVICT_IDLE_AFTER`].
    fn evict_longest_idle(&self) -> bool {
        let connections = self.connections.borrow();
        let found = {
            let idle = self.usage.idle.borrow();
            let unused = idle.iter().take_while(|(since, _)| since.elapsed() >= EVICT_IDLE_AFTER);
            unused
                .filter_map(|(_, number)| connections.get(number))
                .find(|connection| !connection.has_unread_bytes())
                .cloned()
        };
        found.inspect(|connection| connection.request_close()).is_some()
    }

    /// Requests the close of one connection in favour of a client that waits to be accepted. Returns `false`
    /// if no connection can be evicted.
    ///
    /// A flood of connections that send nothing, or half a request, must not shut out ordinary clients.
    /// Connections that linger or have sent nothing are evicted first, the oldest first, so that a flood
    /// displaces itself. Ordinary clients must not have to wait behind the flood either, so connections that
    /// have long been idle come next, then those with an incomplete request, and finally any idle one if no
    /// new connection is left.
    pub fn evict_one(&self) -> bool {
        let connections = self.connections.borrow();
        let oldest = |phase, min_age| oldest_in_phase(&connections, phase, min_age);
        let found = oldest(Phase::Lingering, Duration::ZERO)
            .or_else(|| oldest(Phase::New, EVICT_NEW_AFTER))
            .or_else(|| oldest(Phase::Idle, EVICT_IDLE_AFTER))
            .or_else(|| oldest(Phase::ReadingRequest, EVICT_READING_AFTER))
            .or_else(|| {
                oldest(Phase::Idle, Duration::ZERO).filter(|_| oldest(Phase::New, Duration::ZERO).is_none())
            });
        found.inspect(|connection| connection.request_close()).is_some()
    }

    /// Closes connections that have timed out and idle ones above the limit, for as long as the node runs.
    pub async fn enforce_limits(self: Rc<Self>) {
        let mut checks = interval(TIMEOUT_CHECK_INTERVAL);
        loop {
            checks.tick().await;
            for connection in self.connections.borrow().values() {
                if connection.is_timed_out() {
                    connection.request_close();
                }
            }
            // The limit on idle connections falls as more connections come into use.
            while self.usage.idle.borrow().len() > self.max_idle(self.usage.in_use.get())
                && self.evict_longest_idle()
            {}
        }
    }
}

/// Returns the maximum number of connections that all clients together can hold.
fn capacity(descriptors: usize, max_connections: usize) -> usize {
    max_connections.min(descriptors / DESCRIPTORS_PER_CLIENT_CONNECTION)
}

/// Returns the connection that has been in `phase` for longest, and at least for `min_age`. Connections
/// between two requests are skipped if a request has arrived on them.
fn oldest_in_phase(
    connections: &BTreeMap<u64, Rc<ConnectionState>>,
    phase: Phase,
    min_age: Duration,
) -> Option<Rc<ConnectionState>> {
    let mut candidates: Vec<&Rc<ConnectionState>> = connections
        .values()
        .filter(|connection| !connection.is_closing() && connection.phase() == phase)
        .filter(|connection| connection.phase_since().elapsed() >= min_age)
        .collect();
    candidates.sort_by_key(|connection| connection.phase_since());
    let between_requests = matches!(phase, Phase::New | Phase::Idle);
    candidates.into_iter().find(|connection| !between_requests || !connection.has_unread_bytes()).cloned()
}
