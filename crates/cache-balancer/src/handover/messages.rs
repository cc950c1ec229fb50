//! JSON payloads of the frames. Processes of other versions read and write them, so the serialized names must
//! not change.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

/// Sent by the successor to request a hand-over.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Request {
    /// Version of the successor, for the predecessor's log.
    #[serde(rename = "program")]
    pub version: String,
    /// Whether the successor supports probation. If not, the predecessor departs as soon as the successor
    /// accepts connections.
    #[serde(default)]
    pub probation: bool,
}

/// Sent by the predecessor with its listening sockets, which are passed as descriptors of this frame, and its
/// state.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Offer {
    /// Describes each passed socket, in the order of the descriptors.
    pub listeners: Vec<OfferedListener>,
    /// A [`super::State`], in the version that the predecessor writes.
    pub state: serde_json::Value,
    /// Whether the predecessor supports probation. If not, the end of the link after the offer means that the
    /// predecessor has died or departed.
    #[serde(default)]
    pub probation: bool,
}

#[derive(Debug, Serialize, Deserialize)]
pub(super) struct OfferedListener {
    pub name: String,
    /// Listening address in the predecessor's configuration.
    pub address: SocketAddr,
}

/// Sent by the predecessor once it has paused accepting, so that the successor starts to accept.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Proceed {
    /// Latest state, in the form of [`Offer::state`].
    pub state: serde_json::Value,
}

/// Sent by the predecessor when it cancels the hand-over and keeps serving.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Cancel {
    #[serde(rename = "why")]
    pub reason: String,
}

/// Why a predecessor cancels a hand-over. Its text is sent to the successor, which logs it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelReason {
    /// Earlier successors died, and further ones are rejected for this duration.
    BackingOff(Duration),
    /// The successor exceeded the time limit of a step.
    TimedOut,
    /// The successor sent a message out of order.
    OutOfOrder,
    /// The predecessor is shutting down.
    Stopping,
}

impl fmt::Display for CancelReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        // These texts are part of the protocol between versions: a cancel frame carries them as its reason.
        match self {
            Self::BackingOff(remaining) => write!(
                f,
                "two successors have died with clients in their hands; ask again in {:.0} s",
                remaining.as_secs_f64()
            ),
            Self::TimedOut => f.write_str("the successor was not done in time"),
            Self::OutOfOrder => f.write_str("the successor's words came out of their order"),
            Self::Stopping => f.write_str("it is told to stop"),
        }
    }
}
