//! The JSON texts of the frames. Processes of other versions read and write them, so the names of the fields stay.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

/// The successor requests a hand-over.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Request {
    /// The version of the successor, for the predecessor's log.
    #[serde(rename = "program")]
    pub version: String,
    /// Whether the successor supports probation. Without it, the predecessor departs as soon as the successor accepts.
    #[serde(default)]
    pub probation: bool,
}

/// The predecessor offers its sockets, which go with this message, and its state.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Offer {
    /// One for each socket that is passed, in their order.
    pub listeners: Vec<OfferedListener>,
    /// A [`super::State`], of whatever version the predecessor writes.
    pub state: serde_json::Value,
    /// Whether the predecessor supports probation. Without it, a link that ends after the offer means that the
    /// predecessor has died or departed.
    #[serde(default)]
    pub probation: bool,
}

#[derive(Debug, Serialize, Deserialize)]
pub(super) struct OfferedListener {
    pub name: String,
    /// The address in the predecessor's configuration.
    pub address: SocketAddr,
}

/// The predecessor has paused, and tells the successor to proceed.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Proceed {
    /// The latest state, as in [`Offer::state`].
    pub state: serde_json::Value,
}

/// The predecessor goes on by itself.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Cancel {
    #[serde(rename = "why")]
    pub reason: String,
}

/// Why a predecessor cancels a hand-over. The successor logs the text.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelReason {
    /// Successors are rejected for this long, after deaths of earlier ones.
    BackingOff(Duration),
    /// The successor exceeded the time limit of a step.
    TimedOut,
    /// The successor sent a message out of order.
    OutOfOrder,
    /// The predecessor was told to stop.
    Stopping,
}

impl fmt::Display for CancelReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        // The texts are part of the messages between versions: they are sent as the reason of a cancel frame.
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
