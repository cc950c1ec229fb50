//! Text for log lines about discovery. An answer may hold any bytes: they are escaped and bounded before they are logged.

use std::fmt;
use std::net::SocketAddr;

/// The longest error that is logged, in characters.
const MAX_ERROR_CHARS: usize = 240;
/// The number of bytes that are logged of an answer that is no list.
const EXCERPT_BYTES: usize = 40;

/// What log lines begin with: the address of the replica, where there are several.
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

/// The first bytes of an answer.
pub(super) fn excerpt(body: &[u8]) -> String {
    body[..body.len().min(EXCERPT_BYTES)].escape_ascii().to_string()
}

/// A message without control characters, cut off where it is too long.
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
