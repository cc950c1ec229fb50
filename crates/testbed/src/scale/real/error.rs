//! Errors of the real nodes and their cache servers.

use super::servers::MAX_SERVERS;
use super::settings::{MAX_NODES, MAX_RATE};
use std::io;
use std::net::SocketAddr;
use thiserror::Error;

/// An error of the real nodes or their cache servers.
#[derive(Debug, Error)]
pub enum RealError {
    /// A system call failed.
    #[error("{context}: {error}")]
    System {
        /// The file or object that the call was for.
        context: String,
        /// The system error.
        error: io::Error,
    },
    /// A node did not start.
    #[error("node {node} did not start: {reason}")]
    Node {
        /// The number of the node.
        node: u32,
        /// The last line of the node's log, or the step that did not succeed.
        reason: String,
    },
    /// No node has this number and is in the expected state.
    #[error("node {node}: expected a node that {expected}")]
    NoNode {
        /// The number of the node.
        node: u32,
        /// The expected state.
        expected: &'static str,
    },
    /// The number of nodes is out of range.
    #[error("count: expected a whole number from 1 to {MAX_NODES}, found {found}")]
    NodeCount {
        /// The number that was found.
        found: u32,
    },
    /// The number of cache servers is out of range.
    #[error("servers: expected a whole number from 1 to {MAX_SERVERS}, found {found}")]
    ServerCount {
        /// The number that was found.
        found: u32,
    },
    /// The list of zones is empty.
    #[error("zones: expected at least one")]
    NoZones,
    /// The list of addresses of discovery is empty.
    #[error("replicas: expected at least one address of discovery")]
    NoReplicas,
    /// The rate of requests is out of range.
    #[error("rate: expected a number from 0 to {MAX_RATE}, found {found}")]
    Rate {
        /// The rate that was found.
        found: f64,
    },
    /// The list of classes is empty, or the share of a class is not positive.
    #[error("classes: expected at least one, each with a share above 0")]
    Classes,
    /// The cache servers were used in an earlier run.
    #[error("these cache servers were used in an earlier run; expected new ones for each run")]
    ServersReused,
    /// The limit of descriptors of this process is too low.
    #[error("descriptors: expected a limit of at least {needed} for the cache servers, found {limit}")]
    Descriptors {
        /// The number of descriptors that the cache servers need.
        needed: u64,
        /// The limit of this process.
        limit: u64,
    },
    /// No cache server listens at the address of an entry.
    #[error("{host}: expected the address of a cache server of this run, found {dial}")]
    UnknownServer {
        /// The name of the entry.
        host: String,
        /// The address of the entry.
        dial: SocketAddr,
    },
    /// The health of an entry is not a value of discovery's protocol.
    #[error("{host}: expected its health to be ready, draining or gone, found {found:?}")]
    Health {
        /// The name of the entry.
        host: String,
        /// The health that was found.
        found: String,
    },
}

impl RealError {
    pub(super) fn system(context: impl Into<String>) -> impl FnOnce(io::Error) -> Self {
        let context = context.into();
        move |error| Self::System { context, error }
    }
}
