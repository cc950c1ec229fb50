//! The configuration of a node: from the platform's environment, or from an operator's file. Both become one [`Config`].

pub mod operator;
pub mod platform;

use crate::endpoint_list::EndpointList;
use balancer_core::discovery::ReplicaCapacity;
use balancer_core::Settings;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// Descriptors reserved for the runtime, one listener, one pool's list and the standard streams.
pub const RESERVED_DESCRIPTORS: usize = 24;
/// The fewest connections each way. With fewer than for a handful of clients, a node is of no use.
pub const MIN_CONNECTIONS: usize = 4;
/// The fewest descriptors that hold the reserved ones and [`MIN_CONNECTIONS`] each way.
pub const MIN_DESCRIPTORS: usize = RESERVED_DESCRIPTORS + 2 * MIN_CONNECTIONS;

/// The configuration of a node, read at its start and at each reload.
#[derive(Clone, Debug)]
pub struct Config {
    /// The node's name in the log.
    pub name: String,
    /// At least one.
    pub listeners: Vec<Listener>,
    pub seed: u64,
    /// The number of descriptors that the process may hold.
    pub descriptors: usize,
    /// At least one.
    pub pools: Vec<Pool>,
    /// How another process may replace this one; `None` if it may not.
    pub handover: Option<HandoverConfig>,
    /// Whether the log has a line of counts for each second.
    pub tally: bool,
}

/// How one process hands over to another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HandoverConfig {
    /// The path where the process that serves listens for its successor.
    pub socket: PathBuf,
    /// The time limit of each step of a hand-over; if it is exceeded, the process that serves goes on.
    pub step_timeout: Duration,
    /// The shortest time for which the predecessor stands by, and accepts again if its successor dies.
    pub probation: Duration,
    /// The time for which successors are rejected after two have died while they served.
    pub backoff: Duration,
}

impl HandoverConfig {
    pub const DEFAULT_STEP_TIMEOUT: Duration = Duration::from_secs(30);
    pub const DEFAULT_PROBATION: Duration = Duration::from_secs(10);
    pub const DEFAULT_BACKOFF: Duration = Duration::from_secs(60);

    /// Defaults, with the socket at this path.
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
    /// Whether both configure the same socket: their addresses are equal, whatever their names, since an address can be
    /// bound only once. If the system picks the port, their names are equal, too.
    pub fn is_same_socket(&self, other: &Self) -> bool {
        self.address == other.address && (self.address.port() != 0 || self.name == other.name)
    }
}

/// Cache servers that serve some request classes, and the settings for them.
#[derive(Clone, Debug)]
pub struct Pool {
    pub name: String,
    pub source: Source,
    /// The cache servers that the configuration lists.
    pub known: EndpointList,
    /// With its request classes: the class of a request selects the pool.
    pub settings: Settings,
}

/// The source of a pool's endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub enum Source {
    /// A discovery service, at one address or at several replicas.
    Discovery(DiscoveryReplicas),
    /// A file that is read again whenever it changes.
    File(PathBuf),
    /// The configuration itself.
    Fixed,
}

impl Source {
    /// Whether there are several replicas to choose from.
    pub fn has_replicas(&self) -> bool {
        matches!(self, Self::Discovery(replicas) if replicas.addresses.len() > 1)
    }
}

/// The replicas of one discovery service. They share one sequence of versions, and may lag behind each other.
#[derive(Clone, Debug, PartialEq)]
pub struct DiscoveryReplicas {
    /// 1 to [`DiscoveryReplicas::MOST`] distinct addresses, in ascending order, so that equal sets are equal.
    pub addresses: Vec<SocketAddr>,
    /// The capacity of each replica; `None` if it is not stated.
    pub capacity: Option<ReplicaCapacity>,
}

impl DiscoveryReplicas {
    /// The largest number of replicas.
    pub const MOST: usize = 64;

    /// A service at these addresses, in any order.
    pub fn new(mut addresses: Vec<SocketAddr>, capacity: Option<ReplicaCapacity>) -> Self {
        addresses.sort_unstable();
        Self { addresses, capacity }
    }

    /// A service at one address, of unknown capacity.
    pub fn one(address: SocketAddr) -> Self {
        Self { addresses: vec![address], capacity: None }
    }
}
