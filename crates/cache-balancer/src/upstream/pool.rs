//! The connections of a pool: those that are idle, by server, and when they are closed.

use super::connection::{ConnectError, Connection};
use super::limit::{ConnectionLimit, ConnectionPermit};
use super::message::StartCondition;
use balancer_core::ServerId;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::time::{sleep, Instant};

/// An idle connection is closed after the servers' idle timeout divided by this: one that its server is about
/// to close would take a request only to reset it.
const IDLE_TIMEOUT_DIVISOR: u32 = 2;
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// A cache server with its idle connections.
pub(super) struct Server {
    address: Cell<SocketAddr>,
    ready: Rc<Cell<bool>>,
    /// The one used last stands last.
    idle: RefCell<Vec<Connection>>,
}

impl Server {
    /// Where it listens.
    pub(super) fn address(&self) -> SocketAddr {
        self.address.get()
    }

    /// Whether it takes requests.
    pub(super) fn is_ready(&self) -> bool {
        self.ready.get()
    }

    /// Keeps a connection on which no request is under way.
    pub(super) fn add_idle(&self, mut connection: Connection) {
        if self.ready.get() && !connection.sender.is_closed() {
            connection.progress.reused.set(true);
            connection.idle_since = Instant::now();
            self.idle.borrow_mut().push(connection);
        }
    }

    fn close_idle(&self) {
        self.idle.borrow_mut().clear();
    }

    /// When the connection became idle that has been so for longest.
    fn oldest_idle_since(&self) -> Option<Instant> {
        self.idle.borrow().first().map(|connection| connection.idle_since)
    }

    fn close_oldest_idle(&self) {
        self.idle.borrow_mut().remove(0);
    }
}

/// The connections to all cache servers of a pool.
pub struct Upstream {
    servers: RefCell<HashMap<ServerId, Rc<Server>>>,
    limit: Rc<ConnectionLimit>,
    connect_timeout: Cell<Duration>,
    idle_timeout: Cell<Duration>,
}

impl Upstream {
    /// Without servers. It opens no more connections than `limit` allows, together with all that share it.
    /// The cache servers close a connection that has been idle for `server_idle_timeout`.
    pub fn new(limit: Rc<ConnectionLimit>, connect_timeout: Duration, server_idle_timeout: Duration) -> Self {
        Self {
            servers: RefCell::default(),
            limit,
            connect_timeout: Cell::new(connect_timeout),
            idle_timeout: Cell::new(server_idle_timeout / IDLE_TIMEOUT_DIVISOR),
        }
    }

    /// Sets both timeouts, for connections that are open too.
    pub fn configure(&self, connect_timeout: Duration, server_idle_timeout: Duration) {
        self.connect_timeout.set(connect_timeout);
        self.idle_timeout.set(server_idle_timeout / IDLE_TIMEOUT_DIVISOR);
    }

    /// Adds a server, or changes it. Without an address a known one keeps its own, and an unknown one is not
    /// added. One that has moved, or that takes no more requests, loses its idle connections.
    pub fn update_server(&self, id: &ServerId, address: Option<SocketAddr>, ready: bool) {
        let mut servers = self.servers.borrow_mut();
        if let Some(server) = servers.get(id) {
            let moved = address.is_some_and(|address| server.address.replace(address) != address);
            server.ready.set(ready);
            if moved || !ready {
                server.close_idle();
            }
        } else if let Some(address) = address {
            let (address, ready) = (Cell::new(address), Rc::new(Cell::new(ready)));
            servers.insert(id.clone(), Rc::new(Server { address, ready, idle: RefCell::default() }));
        }
    }

    /// Removes a server. An attempt that is about to start there finds that it takes no more requests.
    pub fn remove_server(&self, id: &ServerId) {
        if let Some(server) = self.servers.borrow_mut().remove(id) {
            server.ready.set(false);
            server.close_idle();
        }
    }

    /// Removes all servers but those for which `keep` returns true.
    pub fn retain_servers(&self, keep: impl Fn(&ServerId) -> bool) {
        let removed: Vec<_> = self.servers.borrow().keys().filter(|id| !keep(id)).cloned().collect();
        removed.iter().for_each(|id| self.remove_server(id));
    }

    /// Closes the idle connections to a server.
    pub fn close_idle(&self, id: &ServerId) {
        if let Some(server) = self.servers.borrow().get(id) {
            server.close_idle();
        }
    }

    /// Closes idle connections before their servers do. Ends once the pool has been dropped elsewhere.
    pub async fn close_expired_idle(upstream: Weak<Self>) {
        loop {
            sleep(IDLE_CHECK_INTERVAL).await;
            let Some(upstream) = upstream.upgrade() else { return };
            for server in upstream.servers.borrow().values() {
                server.idle.borrow_mut().retain(|connection| upstream.is_usable(connection));
            }
        }
    }

    /// The server of this id, or `None` if the endpoint list lacks it.
    pub(super) fn server(&self, id: &ServerId) -> Option<Rc<Server>> {
        self.servers.borrow().get(id).cloned()
    }

    /// A connection for a request: the one that became idle last, or a new one.
    pub(super) async fn connection(
        &self,
        server: &Server,
        condition: &StartCondition,
    ) -> Result<Connection, ConnectError> {
        loop {
            let idle = server.idle.borrow_mut().pop();
            let Some(mut idle) = idle else { break };
            if self.is_usable(&idle) && idle.sender.ready().await.is_ok() {
                return Ok(idle);
            }
        }
        let permit = self.permit()?;
        let timeout = self.connect_timeout.get();
        Connection::open(server.address.get(), server.ready.clone(), condition, permit, timeout).await
    }

    fn is_usable(&self, connection: &Connection) -> bool {
        !connection.sender.is_closed() && connection.idle_since.elapsed() < self.idle_timeout.get()
    }

    /// A permit for a new connection. Where the limit is reached, the connection that has been idle for
    /// longest is closed: a node that has met every server once must not be kept from the one that it needs
    /// by unused connections.
    fn permit(&self) -> Result<ConnectionPermit, ConnectError> {
        if self.limit.is_reached() {
            let servers = self.servers.borrow();
            let idle = servers.values().filter_map(|server| Some((server.oldest_idle_since()?, server)));
            let (_, server) = idle.min_by_key(|(since, _)| *since).ok_or(ConnectError::LimitReached)?;
            server.close_oldest_idle();
        }
        Ok(ConnectionPermit::new(&self.limit))
    }
}
