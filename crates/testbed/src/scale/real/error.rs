//! Errors of real nodes and their cache servers.

use super::servers::MAX_SERVERS;
use super::settings::{MAX_NODES, MAX_RATE};
use std::io;
use std::net::SocketAddr;
use thiserror::Error;

/// Why real nodes could not be run.
#[derive(Debug, Error)]
pub enum RealError {
    /// A system call failed.
    #[error("{what}: {error}")]
    System {
        /// What was tried.
        what: String,
        /// What the system said.
        error: io::Error,
    },
    /// A node did not start.
    #[error("node {node} did not start: {reason}")]
    Node {
        /// The node.
        node: u32,
        /// The last line of its log, or what was expected of it in vain.
        reason: String,
    },
    /// There is no node with this number in the expected state.
    #[error("node {node}: expected the number of one that {expected}")]
    NoNode {
        /// The number.
        node: u32,
        /// The expected state.
        expected: &'static str,
    },
    /// The number of nodes is out of range.
    #[error("count: expected a whole number from 1 to {MAX_NODES}, found {found}")]
    Nodes {
        /// What was found.
        found: u32,
    },
    /// The number of cache servers is out of range.
    #[error("servers: expected a whole number from 1 to {MAX_SERVERS}, found {found}")]
    Servers {
        /// What was found.
        found: u32,
    },
    /// There is no zone.
    #[error("zones: expected at least one")]
    Zones,
    /// There is no address of discovery.
    #[error("replicas: expected at least one address of discovery")]
    Replicas,
    /// The rate of requests is out of range.
    #[error("rate: expected a number from 0 to {MAX_RATE}, found {found}")]
    Rate {
        /// What was found.
        found: f64,
    },
    /// There is no class, or one whose share is not positive.
    #[error("classes: expected at least one, each with a share above 0")]
    Classes,
    /// The cache servers were used in a run before.
    #[error("these cache servers were used in a run before; a further one starts its own")]
    Used,
    /// The process may not hold enough descriptors.
    #[error("this process may hold {limit} descriptors, and its cache servers need {needed}")]
    Descriptors {
        /// The number that is needed.
        needed: u64,
        /// The limit of the process.
        limit: u64,
    },
    /// No cache server listens at the address of an entry.
    #[error("no cache server listens at {dial} here, where {host} is said to be")]
    UnknownServer {
        /// The name of the entry.
        host: String,
        /// The address of the entry.
        dial: SocketAddr,
    },
    /// The health of an entry is not one of discovery's words.
    #[error("{host}: expected its health to be ready, draining or gone, found {found:?}")]
    Health {
        /// The name of the entry.
        host: String,
        /// What was found.
        found: String,
    },
}

impl RealError {
    pub(super) fn system(what: impl Into<String>) -> impl FnOnce(io::Error) -> Self {
        let what = what.into();
        move |error| Self::System { what, error }
    }
}
