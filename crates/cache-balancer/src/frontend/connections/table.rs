//! The table of connections, and which of them are closed: by their timeouts, by the limit on idle ones, and
//! in favour of clients that wait to be accepted.

use super::state::{ConnectionState, Phase, Usage};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::interval;

/// A connection on which nothing has come is evicted after this time; a usual client sends its request at
/// once.
const EVICT_NEW_AFTER: Duration = Duration::from_millis(30);
/// A connection that has been idle for this long is evicted before others: its client hardly misses it.
const EVICT_IDLE_AFTER: Duration = Duration::from_secs(2);
/// A request that is still incomplete after this time is evicted; usual ones come within a few packets.
const EVICT_READING_AFTER: Duration = Duration::from_millis(500);
const TIMEOUT_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Clients hold no more than one of this many descriptors of a node, by the platform's rules.
const DESCRIPTORS_PER_CLIENT_CONNECTION: usize = 3;

/// All connections of clients.
#[derive(Debug)]
pub struct ConnectionTable {
    next_number: Cell<u64>,
    connections: RefCell<BTreeMap<u64, Rc<ConnectionState>>>,
    usage: Rc<Usage>,
    /// The number of connections that clients can hold together.
    capacity: Cell<usize>,
    /// Notified when the last connection has ended.
    emptied: Notify,
}

impl ConnectionTable {
    /// An empty table, for a process that may hold `descriptors` file descriptors and accepts up to
    /// `max_connections` connections of clients.
    pub fn new(descriptors: usize, max_connections: usize) -> Self {
        Self {
            next_number: Cell::default(),
            connections: RefCell::default(),
            usage: Rc::default(),
            capacity: Cell::new(capacity(descriptors, max_connections)),
            emptied: Notify::new(),
        }
    }

    /// Sets both limits. Connections that are open above them stay.
    pub fn resize(&self, descriptors: usize, max_connections: usize) {
        self.capacity.set(capacity(descriptors, max_connections));
    }

    /// Waits until there is no connection.
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
        state.uncount();
        self.connections.borrow_mut().remove(&state.number);
        if self.connections.borrow().is_empty() {
            self.emptied.notify_one();
        }
    }

    /// The number of idle connections that are kept while `in_use` carry a request: half of the free
    /// capacity.
    ///
    /// Guarded against: clients may hold a limited number of connections, and many of them send one request and
    /// never close. Without this limit such connections fill all that clients may hold, and further clients
    /// are shut out while the node is idle, long before its own table is full. The other half of the capacity
    /// stays free for clients without a connection. The limit holds in the same way against a client that
    /// opens a burst of connections and never returns to them.
    ///
    /// The cost: a client whose connection was closed opens another, which takes a round trip and a little
    /// work at both ends. That happens only while more connections are idle than half of the free capacity,
    /// which a usual client's pool (as many connections as it ever has requests in flight) does not reach
    /// until half of the capacity is in use.
    pub(super) fn max_idle(&self, in_use: usize) -> usize {
        self.capacity.get().saturating_sub(in_use) / 2
    }

    /// Whether one more idle connection may be kept. A connection that has long been idle is closed in its
    /// favour, rather than the one that was used just now; but no other, since a request is likely to cross
    /// its close.
    pub(super) fn keeps_one_more(&self) -> bool {
        let (idle, in_use) = (self.usage.idle.borrow().len(), self.usage.in_use.get());
        // The connection that asks still counts as in use.
        idle < self.max_idle(in_use.saturating_sub(1)) || self.evict_idle()
    }

    /// Asks the connection to close that has been idle for longest. Returns `false` if none has been idle for
    /// [`EVICT_IDLE_AFTER`].
    fn evict_idle(&self) -> bool {
        let connections = self.connections.borrow();
        let found = {
            let idle = self.usage.idle.borrow();
            let unused = idle.iter().take_while(|(since, _)| since.elapsed() >= EVICT_IDLE_AFTER);
            unused
                .filter_map(|(_, number)| connections.get(number))
                .find(|connection| !connection.has_unread())
                .cloned()
        };
        found.inspect(|connection| connection.ask_to_close()).is_some()
    }

    /// Asks a connection to close in favour of a client that waits to be accepted. Returns `false` if none
    /// can.
    ///
    /// Guarded against: a flood of connections that send nothing, or half a request, shuts out usual clients.
    /// Such connections are evicted first, the oldest first, so a flood displaces itself. But it must not
    /// wait for itself either, with usual clients behind it: connections that have long been idle come next,
    /// and any idle one if no new connection is left.
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
        found.inspect(|connection| connection.ask_to_close()).is_some()
    }

    /// Closes connections that have timed out, and idle ones above the limit, for as long as the node runs.
    pub async fn enforce_limits(self: Rc<Self>) {
        let mut checks = interval(TIMEOUT_CHECK_INTERVAL);
        loop {
            checks.tick().await;
            for connection in self.connections.borrow().values() {
                if connection.is_timed_out() {
                    connection.ask_to_close();
                }
            }
            // The limit falls as more connections come into use.
            while self.usage.idle.borrow().len() > self.max_idle(self.usage.in_use.get()) && self.evict_idle()
            {
            }
        }
    }
}

/// The number of connections that clients can hold together.
fn capacity(descriptors: usize, max_connections: usize) -> usize {
    max_connections.min(descriptors / DESCRIPTORS_PER_CLIENT_CONNECTION)
}

/// The connection that has been in this phase for longest, and at least for `min_age`. One between two
/// requests only if none has arrived on it.
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
    candidates.into_iter().find(|connection| !between_requests || !connection.has_unread()).cloned()
}
