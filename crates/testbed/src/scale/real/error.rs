//! Why real nodes could not be run.

use super::servers::MOST_SERVERS;
use super::settings::{MOST_NODES, MOST_RATE};
use std::io;
use std::net::SocketAddr;
use thiserror::Error;

/// Why real nodes could not be run.
#[derive(Debug, Error)]
pub enum RealError {
    /// The system would not do what is needed.
    #[error("{what}: {error}")]
    System {
        /// What was tried.
        what: String,
        /// What the system said.
        error: io::Error,
    },
    /// A node did not come up.
    #[error("node {node} did not start: {said}")]
    Node {
        /// Which.
        node: u32,
        /// The last that it said.
        said: String,
    },
    /// There is no such node, or it runs when it should not, or the other way round.
    #[error("node {node}: expected the number of one that {expected}")]
    NoNode {
        /// Its number.
        node: u32,
        /// What was expected of it.
        expected: &'static str,
    },
    /// Too many nodes or none.
    #[error("count: expected a whole number from 1 to {MOST_NODES}, found {found}")]
    Nodes {
        /// What was found.
        found: u32,
    },
    /// Too many cache servers or none.
    #[error("servers: expected a whole number from 1 to {MOST_SERVERS}, found {found}")]
    Servers {
        /// What was found.
        found: u32,
    },
    /// No zone.
    #[error("zones: expected at least one")]
    Zones,
    /// No address of discovery.
    #[error("replicas: expected at least one address of discovery")]
    Replicas,
    /// A load that can't be made.
    #[error("rate: expected a number from 0 to {MOST_RATE}, found {found}")]
    Rate {
        /// What was found.
        found: f64,
    },
    /// No class, or a share that is none.
    #[error("classes: expected at least one, each with a share above 0")]
    Classes,
    /// The cache servers have had nodes before.
    #[error("these cache servers were used in a run before; a further one starts its own")]
    Used,
    /// Too few descriptors.
    #[error("this process may hold {limit} descriptors, and its cache servers need {needed}")]
    Descriptors {
        /// What is needed.
        needed: u64,
        /// What the system allows.
        limit: u64,
    },
    /// An entry of a server that does not listen here.
    #[error("no cache server listens at {dial} here, where {host} is said to be")]
    UnknownServer {
        /// Its name.
        host: String,
        /// Its address.
        dial: SocketAddr,
    },
    /// An entry with a health of its own.
    #[error("{host}: expected its health to be ready, draining or gone, found {found:?}")]
    Health {
        /// The server.
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
