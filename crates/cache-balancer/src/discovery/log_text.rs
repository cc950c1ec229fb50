//! Text for log lines about discovery. A response may contain any bytes, so they are escaped and truncated
//! before they are logged.

use std::fmt;
use std::net::SocketAddr;

/// Maximum length of a logged error, in characters.
const MAX_ERROR_CHARS: usize = 240;
/// Maximum number of bytes that are logged of a malformed response.
const MAX_EXCERPT_BYTES: usize = 40;

/// The prefix of log lines. It has the address of the replica if there are several replicas.
#[derive(Clone, Debug)]
pub(super) struct ReplicaLabel(pub(super) Option<SocketAddr>);

impl fmt::Display for ReplicaLabel {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self.0 {
            Some(address) => write!(f, "discovery at {address}"),
            None => f.write_str("discovery"),
        }
    }
}

/// Returns the first bytes of a response, escaped.
pub(super) fn excerpt(body: &[u8]) -> String {
    body[..body.len().min(MAX_EXCERPT_BYTES)].escape_ascii().to_string()
}

/// Escapes the control characters of a message and truncates it to [`MAX_ERROR_CHARS`].
pub(super) fn single_line(message: &str) -> String {
    let mut line = String::new();
    for character in message.chars().take(MAX_ERROR_CHARS) {
        if character.is_control() {
            line.extend(character.escape_default());
        } else {
            line.push(character);
        }
    }
    if message.chars().nth(MAX_ERROR_CHARS).is_some() {
        line.push_str("...");
    }
    line
}
