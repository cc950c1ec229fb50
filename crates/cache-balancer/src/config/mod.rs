//! The configuration of a node. It comes from the platform's environment or from an operator's file; both are
//! read into a [`Config`].

pub mod operator;
pub mod platform;

use crate::endpoint_list::EndpointList;
use balancer_core::discovery::ReplicaCapacity;
use balancer_core::Settings;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// The number of descriptors reserved for the runtime, one listener, the endpoint list of one pool and the
/// standard streams.
pub const RESERVED_DESCRIPTORS: usize = 24;
/// Minimum number of client connections, and of connections to cache servers. A node that cannot serve a
/// handful of clients is of no use.
pub const MIN_CONNECTIONS: usize = 4;
/// Minimum number of descriptors: the reserved ones, and [`MIN_CONNECTIONS`] each for clients and cache
/// servers.
pub const MIN_DESCRIPTORS: usize = RESERVED_DESCRIPTORS + 2 * MIN_CONNECTIONS;

/// Bytes of a megabyte in the settings, which is 2 to the power of 20.
pub const MEGABYTE: usize = 1 << 20;

/// The configuration of a node, read at its start and at each reload.
#[derive(Clone, Debug)]
pub struct Config {
    /// The node's name in the log.
    pub name: String,
    /// One or more listeners.
    pub listeners: Vec<Listener>,
    /// The seed of the node's random decisions.
    pub seed: u64,
    /// The maximum number of descriptors that the process may hold.
    pub descriptors: usize,
    /// The memory that the process may use, in bytes.
    pub memory: usize,
    /// One or more pools.
    pub pools: Vec<Pool>,
    /// The settings for hand-overs to another process; `None` if hand-overs are disabled.
    pub handover: Option<HandoverConfig>,
    /// Whether each pool logs a line of counts every second.
    pub tally: bool,
}

impl Config {
    /// Returns the memory that one process may use, in bytes. With hand-overs, two processes of the node run
    /// at a time.
    pub fn memory_of_process(&self) -> usize {
        match self.handover {
            Some(_) => self.memory / 2,
            None => self.memory,
        }
    }
}

/// Settings for the hand-over from one process to another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HandoverConfig {
    /// The path of the Unix socket on which the serving process listens for its successor.
    pub socket: PathBuf,
    /// The time limit of each step of a hand-over. If it is exceeded, the serving process continues to serve.
    pub step_timeout: Duration,
    /// The minimum time for which the predecessor stands by. If its successor dies meanwhile, it accepts
    /// connections again.
    pub probation: Duration,
    /// The time for which successors are rejected after two have died while they served.
    pub backoff: Duration,
}

impl HandoverConfig {
    pub const DEFAULT_STEP_TIMEOUT: Duration = Duration::from_secs(30);
    pub const DEFAULT_PROBATION: Duration = Duration::from_secs(10);
    pub const DEFAULT_BACKOFF: Duration = Duration::from_secs(60);

    /// Creates the default settings, with the socket at this path.
    pub fn with_socket(socket: PathBuf) -> Self {
        Self {
            socket,
            step_timeout: Self::DEFAULT_STEP_TIMEOUT,
            probation: Self::DEFAULT_PROBATION,
            backoff: Self::DEFAULT_BACKOFF,
        }
    }
}

/// An address on which clients are accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listener {
    pub name: String,
    pub address: SocketAddr,
}

impl Listener {
    /// Returns whether both configure the same socket: their addresses are equal. Names are ignored, since an
    /// address can be bound only once. If the system picks the port, the names must be equal as well.
    pub fn is_same_socket(&self, other: &Self) -> bool {
        self.address == other.address && (self.address.port() != 0 || self.name == other.name)
    }
}

/// A pool of cache servers that serve some request classes.
#[derive(Clone, Debug)]
pub struct Pool {
    pub name: String,
    pub source: Source,
    /// The cache servers that the configuration itself lists.
    pub configured_list: EndpointList,
    /// The settings, including the request classes of this pool. The class of a request selects the pool.
    pub settings: Settings,
}

/// The source of a pool's endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub enum Source {
    /// A discovery service, at one address or at several replicas.
    Discovery(DiscoveryReplicas),
    /// A file, which is read again whenever it changes.
    File(PathBuf),
    /// The configuration itself.
    Fixed,
}

impl Source {
    /// Returns whether this is a discovery service with several replicas.
    pub fn has_replicas(&self) -> bool {
        matches!(self, Self::Discovery(replicas) if replicas.addresses.len() > 1)
    }
}

/// The replicas of one discovery service. They share one sequence of list versions, and may lag behind each
/// other.
#[derive(Clone, Debug, PartialEq)]
pub struct DiscoveryReplicas {
    /// Between 1 and [`DiscoveryReplicas::MAX`] distinct addresses, sorted so that two lists of the same
    /// addresses compare equal.
    pub addresses: Vec<SocketAddr>,
    /// The capacity of each replica; `None` if it is not stated.
    pub capacity: Option<ReplicaCapacity>,
}

impl DiscoveryReplicas {
    /// Maximum number of replicas.
    pub const MAX: usize = 64;

    /// Creates the replicas of a service at these addresses, which may be in any order.
    pub fn new(mut addresses: Vec<SocketAddr>, capacity: Option<ReplicaCapacity>) -> Self {
        addresses.sort_unstable();
        Self { addresses, capacity }
    }

    /// Creates a service with a single replica of unknown capacity.
    pub fn single(address: SocketAddr) -> Self {
        Self { addresses: vec![address], capacity: None }
    }
}
