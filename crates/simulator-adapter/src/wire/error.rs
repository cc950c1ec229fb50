//! Errors in the lines of the wire.

use balancer_core::platform::PlatformError;
use thiserror::Error;

/// A line that cannot be read.
#[derive(Debug, Error)]
pub enum WireError {
    /// A field or a setting of the line.
    #[error(transparent)]
    Field(#[from] PlatformError),
    /// A line that refers to an endpoint list which was never sent.
    #[error("malformed line, unknown bank: {line}")]
    UnknownBank {
        /// The line.
        line: String,
    },
    /// An entry of an endpoint list outside one.
    #[error("malformed line, an entry outside a roster: {line}")]
    EntryOutsideRoster {
        /// The line.
        line: String,
    },
    /// Another message before the last entry of an endpoint list.
    #[error("malformed line, {missing} roster entries missing before: {message}")]
    MissingEntries {
        /// Number of entries that are missing.
        missing: usize,
        /// Name of the other message.
        message: String,
    },
}
