//! Stand-in cache servers, up to 1,100 in this process. Each runs the state machine of [`crate::models`]
//! behind a listener.
//!
//! Each server has a loopback address of its own and keeps listening at it after its removal: requests that
//! arrive then are recorded for the judge, and their connections are closed, as by a machine whose process
//! has ended. Work is emulated by waiting instead of using the processor; fetches from the origin take no
//! time.

mod connection;
mod server;

use super::notification_judge::Availability;
use super::recorder::Recorder;
use super::RealError;
use crate::fleet;
use crate::scale::messages::ListedServer;
use crate::script::ServerKind;
use rustix::process::{getrlimit, Resource};
use server::Server;
use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;
use tokio::task::JoinSet;

/// Maximum number of cache servers in one process.
pub const MAX_SERVERS: u32 = 1_100;
/// Maximum number of connections of all cache servers together. A further one is closed at once and counted.
const MAX_CONNECTIONS: usize = 12_000;
/// Number of descriptors that are reserved for the rest of the process, but no more than half of its limit.
const RESERVED_DESCRIPTORS: u64 = 2_000;
/// Number of servers whose addresses differ only in the last byte.
const ADDRESSES_PER_ROW: u32 = 250;
/// Second byte of the addresses, which are 127.80.y.z.
const ADDRESS_BLOCK: u8 = 80;
/// Number of cache servers in a cell. The servers of a cell share their record of idempotency keys.
const SERVERS_PER_CELL: u32 = 8;

/// The number and zones of the cache servers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerSettings {
    /// The number of servers, from 1 to [`MAX_SERVERS`].
    pub count: u32,
    /// The zones of the servers, at least one. They are assigned to the servers round-robin.
    pub zones: Vec<String>,
}

/// Returns the kind of all stand-ins; nodes are configured for it.
pub(super) fn kind() -> ServerKind {
    ServerKind { name: "standard".into(), error_rate: 0.0, ..ServerKind::default() }
}

/// State that all servers share.
#[derive(Debug)]
struct Shared {
    recorder: Arc<Recorder>,
    connections: Arc<Semaphore>,
    rejected_connections: AtomicU64,
}

/// The cache servers of a run, which end when the last clone is dropped.
#[derive(Clone, Debug)]
pub struct CacheServers(Arc<Inner>);

#[derive(Debug)]
struct Inner {
    servers: Vec<Arc<Server>>,
    by_address: HashMap<SocketAddr, usize>,
    zones: Vec<String>,
    shared: Arc<Shared>,
    /// Dropping the set aborts its tasks.
    _tasks: JoinSet<()>,
}

impl CacheServers {
    /// Starts cache servers, all warm.
    ///
    /// # Errors
    ///
    /// Returns an error if the count is not from 1 to [`MAX_SERVERS`], there is no zone, this process may not
    /// open enough descriptors, or a server cannot listen.
    pub async fn start(settings: ServerSettings) -> Result<Self, RealError> {
        let ServerSettings { count, zones } = settings;
        if !(1..=MAX_SERVERS).contains(&count) {
            return Err(RealError::ServerCount { found: count });
        }
        if zones.is_empty() {
            return Err(RealError::NoZones);
        }
        let shared = Arc::new(Shared {
            connections: Arc::new(Semaphore::new(max_connections(count)?)),
            recorder: Arc::new(Recorder::new()),
            rejected_connections: AtomicU64::new(0),
        });
        let (mut servers, mut by_address) = (Vec::new(), HashMap::new());
        let mut tasks = JoinSet::new();
        for index in 0..count {
            let listener = TcpListener::bind(SocketAddr::from((ip_address(index), 0)));
            let listener = listener.await.map_err(RealError::system("a cache server's socket"))?;
            let address = listener.local_addr().map_err(RealError::system("a cache server's socket"))?;
            let entry = initial_entry(index, address, &zones);
            let server = Arc::new(Server::new(entry, &zones, &shared.recorder));
            by_address.insert(address, servers.len());
            tasks.spawn(connection::accept(shared.clone(), server.clone(), listener));
            tasks.spawn(server::drive(shared.recorder.clone(), server.clone()));
            servers.push(server);
        }
        Ok(Self(Arc::new(Inner { servers, by_address, zones, shared, _tasks: tasks })))
    }

    /// Returns the current list, without removed servers.
    pub fn servers(&self) -> Vec<ListedServer> {
        self.0.servers.iter().filter_map(|server| server.listed()).collect()
    }

    /// Applies an entry that discovery has had since `at_us`, in microseconds of Unix time: the server
    /// drains, is removed, or is ready. A ready server is cold if it was removed before or the entry has
    /// another name or start time.
    ///
    /// # Errors
    ///
    /// Returns an error if no server listens at the entry's address or its health is not a value of
    /// discovery's protocol.
    pub fn apply_entry(&self, entry: &ListedServer, at_us: u64) -> Result<(), RealError> {
        let unknown = || RealError::UnknownServer { host: entry.host.clone(), dial: entry.dial };
        let server = &self.0.servers[*self.0.by_address.get(&entry.dial).ok_or_else(unknown)?];
        let recorder = &self.0.shared.recorder;
        let (at, zone) = (recorder.time(at_us), zone_number(&self.0.zones, &entry.site));
        let number = recorder.with_judge(|judge| judge.server(&entry.host, zone, entry.block));
        let record = |availability| {
            recorder.with_judge(|judge| judge.record_change(number, at, availability));
        };
        match entry.health.as_str() {
            "draining" => {
                record(Availability::Unavailable);
                server.drain(entry);
            }
            "gone" => {
                record(Availability::Unavailable);
                server.remove(entry);
            }
            "ready" => {
                record(Availability::Available);
                server.set_ready(entry, number, recorder.now());
            }
            other => return Err(RealError::Health { host: entry.host.clone(), found: other.to_owned() }),
        }
        Ok(())
    }

    /// Returns the number of connections that were closed at once because a limit of connections was reached.
    pub fn rejected_connections(&self) -> u64 {
        self.0.shared.rejected_connections.load(Ordering::Relaxed)
    }

    /// Returns the maximum number of descriptors of the servers, for listeners and connections.
    pub fn max_descriptors(&self) -> usize {
        let free = self.0.shared.connections.available_permits();
        self.0.servers.len() + MAX_CONNECTIONS.min(free + self.connections())
    }

    /// Returns the number of open connections of all servers.
    pub fn connections(&self) -> usize {
        self.0.servers.iter().map(|server| server.connections()).sum()
    }

    pub(super) fn recorder(&self) -> &Arc<Recorder> {
        &self.0.shared.recorder
    }
}

/// Returns the maximum number of connections of this process beside this number of listeners.
fn max_connections(listeners: u32) -> Result<usize, RealError> {
    let limit = getrlimit(Resource::Nofile).current.unwrap_or(u64::MAX);
    let reserved = RESERVED_DESCRIPTORS.min(limit / 2);
    let available = limit.saturating_sub(reserved + u64::from(listeners));
    // Each server needs at least one connection.
    if available < u64::from(listeners) {
        return Err(RealError::Descriptors { needed: reserved + 2 * u64::from(listeners), limit });
    }
    Ok(usize::try_from(available).unwrap_or(usize::MAX).min(MAX_CONNECTIONS))
}

fn ip_address(index: u32) -> Ipv4Addr {
    let (row, last) = (index / ADDRESSES_PER_ROW, index % ADDRESSES_PER_ROW + 1);
    Ipv4Addr::new(127, ADDRESS_BLOCK, row as u8, last as u8)
}

fn initial_entry(index: u32, address: SocketAddr, zones: &[String]) -> ListedServer {
    let kind = kind();
    ListedServer {
        host: format!("server-{index}"),
        dial: address,
        site: zones[index as usize % zones.len()].clone(),
        share: fleet::server_weight(&kind),
        class: kind.name,
        block: u64::from(index / SERVERS_PER_CELL),
        health: "ready".into(),
        born_ms: 0,
    }
}

/// Returns the index of a zone. An unknown zone gets the index after the last one.
fn zone_number(zones: &[String], zone: &str) -> usize {
    zones.iter().position(|known| known == zone).unwrap_or(zones.len())
}
