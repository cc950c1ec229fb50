//! Errors in the lines of the protocol.

use balancer_core::platform::PlatformError;
use thiserror::Error;

/// A line that cannot be parsed.
#[derive(Debug, Error)]
pub enum WireError {
    /// A field or setting of the line is missing or invalid.
    #[error(transparent)]
    Field(#[from] PlatformError),
    /// The line refers to an endpoint list (`bank` in the protocol) that was never sent.
    #[error("malformed line, unknown bank: {line}")]
    UnknownEndpointList {
        /// The line.
        line: String,
    },
    /// An endpoint list entry (`m`) outside an endpoint list (`roster`).
    #[error("malformed line, an entry outside a roster: {line}")]
    EntryOutsideList {
        /// The line.
        line: String,
    },
    /// Another message arrived before the last entry of an endpoint list.
    #[error("malformed line, {missing} roster entries missing before: {message}")]
    MissingEntries {
        /// Number of missing entries.
        missing: usize,
        /// Name of the other message.
        message: String,
    },
}
