//! Why a run on sockets failed.

use super::MAX_NODES;
use std::io;
use thiserror::Error;

/// Why a run on sockets failed.
#[derive(Debug, Error)]
pub enum SocketRunError {
    /// A system call failed.
    #[error("{what}: {error}")]
    System {
        /// What was tried.
        what: String,
        /// How it failed.
        error: io::Error,
    },
    /// The script has more nodes than one machine can run as processes.
    #[error("expected {MAX_NODES} nodes at the most on sockets, found {found}; the player in virtual time takes more")]
    TooManyNodes {
        /// The number of nodes in the script.
        found: u32,
    },
    /// A node did not start.
    #[error("node {node} did not start: {reason}")]
    Node {
        /// The node.
        node: usize,
        /// The last line of its log, or what was expected of it in vain.
        reason: String,
    },
}

impl SocketRunError {
    /// For `map_err`: what was tried when the system call failed.
    pub(super) fn system(what: impl Into<String>) -> impl FnOnce(io::Error) -> Self {
        let what = what.into();
        move |error| Self::System { what, error }
    }
}
