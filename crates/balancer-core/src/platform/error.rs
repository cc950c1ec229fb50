//! Errors in the platform's messages and settings.

use thiserror::Error;

/// A message or setting of the platform that cannot be parsed.
#[derive(Debug, Error)]
pub enum PlatformError {
    /// A field of a message has the wrong type.
    #[error("malformed line, unreadable {name}: {line}")]
    UnreadableField {
        /// Name of the field.
        name: String,
        /// The message or its beginning.
        line: String,
    },
    /// A required field of a message is missing.
    #[error("malformed line, no {name}: {line}")]
    MissingField {
        /// Name of the field.
        name: String,
        /// The message or its beginning.
        line: String,
    },
    /// A setting has a value that is not allowed.
    #[error("{name}: expected {expected}, found {found:?}")]
    InvalidSetting {
        /// Path of the setting.
        name: String,
        /// The allowed values.
        expected: String,
        /// The value or its beginning.
        found: String,
    },
    /// A required setting is missing.
    #[error("{name}: expected {expected}, found nothing")]
    MissingSetting {
        /// Path of the setting.
        name: String,
        /// The allowed values.
        expected: &'static str,
    },
}
