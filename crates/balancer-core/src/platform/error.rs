//! Errors in the platform's messages and settings.

use thiserror::Error;

/// Text of the platform that cannot be read.
#[derive(Debug, Error)]
pub enum PlatformError {
    /// A field of a message that has the wrong type.
    #[error("malformed line, unreadable {name}: {line}")]
    UnreadableField {
        /// Name of the field.
        name: String,
        /// The message, or the beginning of it.
        line: String,
    },
    /// A field that a message must have.
    #[error("malformed line, no {name}: {line}")]
    MissingField {
        /// Name of the field.
        name: String,
        /// The message, or the beginning of it.
        line: String,
    },
    /// A setting with a value that it may not have.
    #[error("{name}: expected {expected}, found {found:?}")]
    InvalidSetting {
        /// Its path.
        name: String,
        /// What it may be.
        expected: String,
        /// Its value, or the beginning of it.
        found: String,
    },
    /// A setting that must be there.
    #[error("{name}: expected {expected}, found nothing")]
    MissingSetting {
        /// Its path.
        name: String,
        /// What it may be.
        expected: &'static str,
    },
}
