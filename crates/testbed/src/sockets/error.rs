//! Errors of runs on sockets.

use super::MAX_NODES;
use std::io;
use thiserror::Error;

/// Why a run on sockets failed.
#[derive(Debug, Error)]
pub enum SocketRunError {
    /// A system call failed.
    #[error("{context}: {error}")]
    System {
        /// The operation or object that the call was for.
        context: String,
        /// The error of the system call.
        error: io::Error,
    },
    /// The script has more nodes than one machine can run as processes.
    #[error(
        "expected at most {MAX_NODES} nodes on sockets, found {found}; the virtual-time player accepts more"
    )]
    TooManyNodes {
        /// The number of nodes in the script.
        found: u32,
    },
    /// A node did not start, or did not end after an upgrade.
    #[error("node {node} did not start: {reason}")]
    Node {
        /// The node.
        node: usize,
        /// The last line of the node's log, or the expectation that it did not meet.
        reason: String,
    },
}

impl SocketRunError {
    /// Returns a function for `map_err` that adds the operation to the error of a system call.
    pub(super) fn system(context: impl Into<String>) -> impl FnOnce(io::Error) -> Self {
        let context = context.into();
        move |error| Self::System { context, error }
    }
}
