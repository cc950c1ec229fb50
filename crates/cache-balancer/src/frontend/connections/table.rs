//! The table of client connections. It closes connections that time out, idle ones above a limit, and some in
//! favour of clients that wait to be accepted.

use super::counts::{ConnectionCounters, ConnectionCounts};
use super::receiving::{Decision, IncompleteRequests, MIN_RECEIVE_TIME};
use super::state::{ConnectionState, Phase, Usage};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{interval, Instant};

/// Minimum age at which a connection that has received no bytes may be evicted. Ordinary clients send their
/// request at once.
const EVICT_NEW_AFTER: Duration = Duration::from_millis(30);
/// Idle time from which a connection is evicted in preference to others. Its client is unlikely to need it.
const EVICT_IDLE_AFTER: Duration = Duration::from_secs(2);
const TIMEOUT_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Time for which a client must have taken nothing of its response before its connection is closed in favour
/// of others.
const EVICT_WRITING_AFTER: Duration = Duration::from_millis(500);
/// Maximum number of connections that are checked for unread bytes when one is evicted. Those with unread bytes
/// are about to be read.
const MAX_CANDIDATES: usize = 32;
/// Incomplete requests may hold one in this many connections.
const CONNECTIONS_PER_INCOMPLETE_REQUEST: usize = 2;
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
    /// The connections that wait for the rest of a request.
    incomplete: RefCell<IncompleteRequests>,
    max_incomplete: Cell<usize>,
    counters: ConnectionCounters,
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
            incomplete: RefCell::default(),
            max_incomplete: Cell::new(max_incomplete(max_connections)),
            counters: ConnectionCounters::default(),
            emptied: Notify::new(),
        }
    }

    /// Sets both limits. Connections above a lowered limit stay open.
    pub fn resize(&self, descriptors: usize, max_connections: usize) {
        self.capacity.set(capacity(descriptors, max_connections));
        self.max_incomplete.set(max_incomplete(max_connections));
    }

    /// Returns the number of connections.
    pub fn len(&self) -> usize {
        self.connections.borrow().len()
    }

    /// Returns what happened to connections since the last call.
    pub fn take_counts(&self) -> ConnectionCounts {
        self.counters.take()
    }

    /// Waits until the table is empty.
    pub async fn drained(&self) {
        while !self.connections.borrow().is_empty() {
            self.emptied.notified().await;
        }
    }

    /// Adds a connection.
    pub(super) fn insert(&self, socket: tokio::net::TcpStream) -> Rc<ConnectionState> {
        ConnectionCounters::count(&self.counters.opened);
        let number = self.next_number.replace(self.next_number.get() + 1);
        let state = Rc::new(ConnectionState::new(number, socket, self.usage.clone()));
        self.connections.borrow_mut().insert(number, state.clone());
        state
    }

    /// Removes a connection that has ended.
    pub(super) fn remove(&self, state: &ConnectionState) {
        state.remove_from_counts();
        self.on_request_ended(state);
        self.connections.borrow_mut().remove(&state.number);
        if self.connections.borrow().is_empty() {
            self.emptied.notify_one();
        }
    }

    /// Records that a connection waits for the rest of a request. If too many wait, one request is rejected.
    pub(super) fn on_request_incomplete(&self, state: &ConnectionState) {
        if state.rejection().is_some() {
            return;
        }
        let max = self.max_incomplete.get();
        let decision = self.incomplete.borrow_mut().add(state.number, Instant::now(), max);
        if let Some(decision) = decision {
            ConnectionCounters::count(&self.counters.rejected_incomplete);
            self.reject(decision, state);
        }
    }

    /// Records that the request on a connection is complete or has ended.
    pub(super) fn on_request_ended(&self, state: &ConnectionState) {
        self.incomplete.borrow_mut().remove(state.number);
    }

    /// Rejects a request because there is no memory for that of `state`. Returns whether it is another one,
    /// which releases memory.
    pub(super) fn make_room(&self, state: &ConnectionState) -> bool {
        ConnectionCounters::count(&self.counters.rejected_for_memory);
        let decision = self.incomplete.borrow_mut().make_room(state.number, Instant::now());
        self.reject(decision, state);
        matches!(decision, Decision::Reject { .. })
    }

    fn reject(&self, decision: Decision, newest: &ConnectionState) {
        match decision {
            Decision::Reject { connection } => {
                let connections = self.connections.borrow();
                if let Some(oldest) = connections.get(&connection) {
                    oldest.reject(MIN_RECEIVE_TIME);
                }
            }
            Decision::RejectNewest { retry_after } => newest.reject(retry_after),
        }
    }

    /// Requests the close of the connection whose client has taken nothing of its response for longest, because
    /// there is no memory for another response. Returns `false` if no client has had its time.
    pub fn make_room_for_response(&self) -> bool {
        let found = self.oldest_in_phase(Phase::WritingResponse, EVICT_WRITING_AFTER);
        found
            .inspect(|connection| {
                ConnectionCounters::count(&self.counters.evicted);
                connection.request_close();
            })
            .is_some()
    }

    /// Rejects the request that has been incomplete for longest. Returns `false` if none has had its time.
    fn reject_oldest(&self) -> bool {
        let oldest = self.incomplete.borrow_mut().take_oldest(Instant::now());
        let connections = self.connections.borrow();
        let found = oldest.and_then(|connection| connections.get(&connection));
        found
            .inspect(|connection| {
                ConnectionCounters::count(&self.counters.rejected_incomplete);
                connection.reject(MIN_RECEIVE_TIME);
            })
            .is_some()
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
        let found = self.oldest_in_phase(Phase::Idle, EVICT_IDLE_AFTER);
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
        let oldest = |phase, min_age| self.oldest_in_phase(phase, min_age);
        let close = |found: Option<Rc<ConnectionState>>| {
            found
                .inspect(|connection| {
                    ConnectionCounters::count(&self.counters.evicted);
                    connection.request_close();
                })
                .is_some()
        };
        let unused = oldest(Phase::Lingering, Duration::ZERO)
            .or_else(|| oldest(Phase::New, EVICT_NEW_AFTER))
            .or_else(|| oldest(Phase::Idle, EVICT_IDLE_AFTER));
        close(unused)
            || self.reject_oldest()
            || close(oldest(Phase::WritingResponse, EVICT_WRITING_AFTER))
            || close(
                oldest(Phase::Idle, Duration::ZERO).filter(|_| oldest(Phase::New, Duration::ZERO).is_none()),
            )
    }

    /// Returns the connection that has been in `phase` for longest, and at least for `min_age`, and whose close
    /// was not requested. Connections between two requests are skipped if a request has arrived on them.
    fn oldest_in_phase(&self, phase: Phase, min_age: Duration) -> Option<Rc<ConnectionState>> {
        let connections = self.connections.borrow();
        let in_phase = self.usage.in_phase(phase)?.borrow();
        let candidates = in_phase
            .iter()
            .take_while(|(since, _)| since.elapsed() >= min_age)
            .filter_map(|(_, number)| connections.get(number))
            .filter(|connection| !connection.is_closing())
            .take(MAX_CANDIDATES);
        let between_requests = matches!(phase, Phase::New | Phase::Idle);
        candidates.into_iter().find(|connection| !between_requests || !connection.has_unread_bytes()).cloned()
    }

    /// Closes connections that have timed out and idle ones above the limit, for as long as the node runs.
    pub async fn enforce_limits(self: Rc<Self>) {
        let mut checks = interval(TIMEOUT_CHECK_INTERVAL);
        loop {
            checks.tick().await;
            for connection in self.connections.borrow().values() {
                if connection.is_timed_out() {
                    if !connection.is_closing() {
                        ConnectionCounters::count(&self.counters.timed_out);
                    }
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

/// Returns the maximum number of connections with an incomplete request.
fn max_incomplete(max_connections: usize) -> usize {
    (max_connections / CONNECTIONS_PER_INCOMPLETE_REQUEST).max(1)
}

/// Returns the maximum number of connections that all clients together can hold.
fn capacity(descriptors: usize, max_connections: usize) -> usize {
    max_connections.min(descriptors / DESCRIPTORS_PER_CLIENT_CONNECTION)
}
