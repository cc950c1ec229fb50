//! Handing clients over to another process of this program, for upgrades: the listening sockets and what is known go over
//! a Unix socket. Who accepts when is decided in [`balancer_core::handover`]; this is what carries it.

mod giver;
mod link;
mod other;
mod state;
mod successor;
mod taker;

pub use giver::Giver;
pub use state::{PoolState, State};
pub use successor::{program, Successor};
pub use taker::{Taking, Word};

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// What the giver offers.
#[derive(Debug, Serialize, Deserialize)]
struct Offer {
    /// One for each socket that is passed, in their order.
    listeners: Vec<OfferedListener>,
    /// A [`State`], of whatever version the giver writes.
    state: serde_json::Value,
    /// Whether the giver stands by while the successor is on probation. Without it, a link that ends after the offer means
    /// that the giver has died or left, as in versions that know of no probation.
    #[serde(default)]
    probation: bool,
}

#[derive(Debug, Serialize, Deserialize)]
struct OfferedListener {
    name: String,
    /// As its configuration has it.
    address: SocketAddr,
}

/// What the giver knows when it has paused.
#[derive(Debug, Serialize, Deserialize)]
struct Go {
    state: serde_json::Value,
}

/// Who asks.
#[derive(Debug, Serialize, Deserialize)]
struct Ask {
    /// Its version, for the giver's log.
    program: String,
    /// Whether it knows the words of probation: without, the giver leaves as soon as the successor accepts.
    #[serde(default)]
    probation: bool,
}

/// Why the giver goes on by itself.
#[derive(Debug, Serialize, Deserialize)]
struct Cancel {
    why: String,
}
