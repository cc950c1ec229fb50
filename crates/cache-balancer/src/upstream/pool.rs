//! The connections of a pool: keeps the idle connections to each server and closes them before the server
//! does.

use super::connection::{ConnectError, Connection};
use super::idle::IdleConnections;
use super::limit::{ConnectionLimit, ConnectionPermit};
use super::message::StartCondition;
use crate::memory::MemoryAccount;
use balancer_core::ServerId;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::time::{sleep, sleep_until, Instant};

/// Idle connections are closed after the servers' idle timeout divided by this. A request sent on a
/// connection that its server is about to close would be reset.
const IDLE_TIMEOUT_DIVISOR: u32 = 2;
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// A cache server with its idle connections.
pub(super) struct Server {
    address: Cell<SocketAddr>,
    ready: Rc<Cell<bool>>,
    idle: IdleConnections,
}

impl Server {
    /// Returns the address on which the server listens.
    pub(super) fn address(&self) -> SocketAddr {
        self.address.get()
    }

    /// Returns whether the server accepts requests.
    pub(super) fn is_ready(&self) -> bool {
        self.ready.get()
    }

    /// Keeps a connection without a request in flight for reuse, if the server is ready.
    pub(super) fn add_idle(&self, connection: Connection) {
        if self.ready.get() && !connection.sender.is_closed() {
            self.idle.add(connection);
        }
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
    /// Creates an instance without servers. `limit` bounds the open connections of all instances that share
    /// it. The cache servers close connections that have been idle for `server_idle_timeout`.
    pub fn new(limit: Rc<ConnectionLimit>, connect_timeout: Duration, server_idle_timeout: Duration) -> Self {
        Self {
            servers: RefCell::default(),
            limit,
            connect_timeout: Cell::new(connect_timeout),
            idle_timeout: Cell::new(server_idle_timeout / IDLE_TIMEOUT_DIVISOR),
        }
    }

    /// Sets both timeouts. The idle timeout also applies to open connections.
    pub fn configure(&self, connect_timeout: Duration, server_idle_timeout: Duration) {
        self.connect_timeout.set(connect_timeout);
        self.idle_timeout.set(server_idle_timeout / IDLE_TIMEOUT_DIVISOR);
    }

    /// Adds or updates a server. Without an address, a known server keeps its address and an unknown server
    /// is not added. If the address changes or the server is not ready, its idle connections are closed.
    pub fn update_server(&self, id: &ServerId, address: Option<SocketAddr>, ready: bool) {
        let mut servers = self.servers.borrow_mut();
        if let Some(server) = servers.get(id) {
            let moved = address.is_some_and(|address| server.address.replace(address) != address);
            server.ready.set(ready);
            if moved || !ready {
                server.idle.close_all();
            }
        } else if let Some(address) = address {
            let (address, ready) = (Cell::new(address), Rc::new(Cell::new(ready)));
            servers.insert(id.clone(), Rc::new(Server { address, ready, idle: IdleConnections::default() }));
        }
    }

    /// Removes a server. An attempt that is about to start there fails, because the server is not ready any
    /// more.
    pub fn remove_server(&self, id: &ServerId) {
        if let Some(server) = self.servers.borrow_mut().remove(id) {
            server.ready.set(false);
            server.idle.close_all();
        }
    }

    /// Removes all servers for which `keep` returns false.
    pub fn retain_servers(&self, keep: impl Fn(&ServerId) -> bool) {
        let removed: Vec<_> = self.servers.borrow().keys().filter(|id| !keep(id)).cloned().collect();
        removed.iter().for_each(|id| self.remove_server(id));
    }

    /// Closes the idle connections to a server.
    pub fn close_idle(&self, id: &ServerId) {
        if let Some(server) = self.servers.borrow().get(id) {
            server.idle.close_all();
        }
    }

    /// Closes idle connections before their servers do, until the last strong reference is dropped.
    pub async fn close_expired_idle(upstream: Weak<Self>) {
        loop {
            sleep(IDLE_CHECK_INTERVAL).await;
            let Some(upstream) = upstream.upgrade() else { return };
            for server in upstream.servers.borrow().values() {
                server.idle.retain(|connection| upstream.is_usable(connection));
            }
        }
    }

    /// Returns the limit on connections, with the memory of their responses.
    pub(super) fn limit(&self) -> &ConnectionLimit {
        &self.limit
    }

    /// Returns the account in which responses are reserved.
    pub fn memory(&self) -> &MemoryAccount {
        self.limit.memory()
    }

    /// Returns the server with this id, or `None` if it is not in the endpoint list.
    pub(super) fn server(&self, id: &ServerId) -> Option<Rc<Server>> {
        self.servers.borrow().get(id).cloned()
    }

    /// Returns a connection for a request that starts by `limit`: an idle connection, or a new one.
    pub(super) async fn acquire_connection(
        &self,
        server: &Server,
        condition: &StartCondition,
        limit: Instant,
    ) -> Result<Connection, ConnectError> {
        if let Some(idle) = self.reuse_connection(server, limit).await {
            return Ok(idle);
        }
        let permit = self.acquire_permit()?;
        let timeout = self.connect_timeout.get();
        Connection::open(server.address.get(), server.ready.clone(), condition, permit, timeout).await
    }

    /// Returns an idle connection, possibly after waiting until it may be reused. Returns `None` if a new
    /// connection is needed.
    async fn reuse_connection(&self, server: &Server, limit: Instant) -> Option<Connection> {
        loop {
            while let Some(mut idle) = server.idle.take_reusable() {
                if self.is_usable(&idle) && idle.sender.ready().await.is_ok() {
                    return Some(idle);
                }
            }
            sleep_until(server.idle.wait_until(limit)?).await;
        }
    }

    fn is_usable(&self, connection: &Connection) -> bool {
        !connection.sender.is_closed() && connection.idle_since.elapsed() < self.idle_timeout.get()
    }

    /// Returns a permit for a new connection. If the limit is reached, the longest-idle connection is closed:
    /// once a node has connected to every server, unused connections must not prevent the one that is needed.
    fn acquire_permit(&self) -> Result<ConnectionPermit, ConnectError> {
        if self.limit.is_reached() {
            let servers = self.servers.borrow();
            let idle = servers.values().filter_map(|server| Some((server.idle.oldest_since()?, server)));
            let (_, server) = idle.min_by_key(|(since, _)| *since).ok_or(ConnectError::LimitReached)?;
            server.idle.close_oldest();
        }
        Ok(ConnectionPermit::new(&self.limit))
    }
}
