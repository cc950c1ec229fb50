//! What a node is told at its start: by the platform, or by an operator's file. Both become one [`Config`].

pub mod operator;
pub mod platform;

use crate::endpoint_list::EndpointList;
use balancer_core::discovery::ReplicaCapacity;
use balancer_core::Settings;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// Fewer descriptors than this don't hold the runtime's own and one connection each way.
pub const LEAST_DESCRIPTORS: usize = 32;

/// What a node is told at its start, or at a reload.
#[derive(Clone, Debug)]
pub struct Config {
    /// It goes by this in the log.
    pub name: String,
    /// One at least.
    pub listeners: Vec<Listener>,
    pub seed: u64,
    /// Descriptors that the process may hold.
    pub descriptors: usize,
    /// One at least.
    pub pools: Vec<Pool>,
    /// How another process may take this one's place; `None` where it may not.
    pub hand_over: Option<HandOver>,
    /// Whether the log has a line of counts for each second.
    pub tally: bool,
}

/// How one process hands over to another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HandOver {
    /// Where the one that serves listens for its successor.
    pub socket: PathBuf,
    /// Each step is done within this, or the one that serves goes on.
    pub within: Duration,
    /// For so long at the least a successor is on probation: the process before it stands by, and accepts again should it die.
    pub probation: Duration,
    /// When two successors have died with clients in their hands, no further one is let in for so long.
    pub bar: Duration,
}

impl HandOver {
    /// What holds where nothing is said.
    pub const WITHIN: Duration = Duration::from_secs(30);
    /// See [`HandOver::WITHIN`].
    pub const PROBATION: Duration = Duration::from_secs(10);
    /// See [`HandOver::WITHIN`].
    pub const BAR: Duration = Duration::from_secs(60);

    /// At this path, and all else as where nothing is said.
    pub fn at(socket: PathBuf) -> Self {
        Self { socket, within: Self::WITHIN, probation: Self::PROBATION, bar: Self::BAR }
    }
}

/// Where clients are accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listener {
    pub name: String,
    pub address: SocketAddr,
}

impl Listener {
    /// Whether it is the same one. It is while its address is, whatever it is called: an address can be listened on only
    /// once. Where the system picks the port it is the same one while its name is.
    pub fn is(&self, other: &Self) -> bool {
        self.address == other.address && (self.address.port() != 0 || self.name == other.name)
    }
}

/// Cache servers that serve some classes of requests, and what is decided for these.
#[derive(Clone, Debug)]
pub struct Pool {
    pub name: String,
    pub source: Source,
    /// The cache servers as this node last knew them.
    pub known: EndpointList,
    /// Its classes among them: a request's class tells its pool.
    pub settings: Settings,
}

/// Where a pool's list comes from.
#[derive(Clone, Debug, PartialEq)]
pub enum Source {
    /// Discovery, at one address or at several replicas.
    Discovery(DiscoveryReplicas),
    /// A file that is read again whenever it changes.
    File(PathBuf),
    /// The list is what it is.
    Fixed,
}

impl Source {
    /// Whether there are several replicas to choose from.
    pub fn has_replicas(&self) -> bool {
        matches!(self, Self::Discovery(replicas) if replicas.addresses.len() > 1)
    }
}

/// The replicas of one discovery service. They share one sequence of versions, though one may lag behind another.
#[derive(Clone, Debug, PartialEq)]
pub struct DiscoveryReplicas {
    /// 1 to [`DiscoveryReplicas::MOST`], each once. In ascending order, so that equal sets are equal.
    pub addresses: Vec<SocketAddr>,
    /// What each of them can send; `None` where nobody has stated it.
    pub capacity: Option<ReplicaCapacity>,
}

impl DiscoveryReplicas {
    /// A service has no more replicas than this.
    pub const MOST: usize = 64;

    /// Of these addresses, in whatever order.
    pub fn new(mut addresses: Vec<SocketAddr>, capacity: Option<ReplicaCapacity>) -> Self {
        addresses.sort_unstable();
        Self { addresses, capacity }
    }

    /// A service at one address, of unknown capacity.
    pub fn one(address: SocketAddr) -> Self {
        Self { addresses: vec![address], capacity: None }
    }
}
