//! Servers as discovery lists them.

use crate::names::{Name, ServerId};
use crate::time::Timestamp;
use std::sync::Arc;

/// What discovery says of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    /// Takes work.
    Ready,
    /// Finishes its work and must be sent no more.
    Draining,
    /// Removed.
    Gone,
}

/// One server, as discovery lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerEntry {
    /// Its id.
    pub id: ServerId,
    /// Its zone.
    pub zone: Option<Name>,
    /// Its kind.
    pub kind: Option<Name>,
    /// The small group it shares its memory of repeats with.
    pub cell: u64,
    /// Whether it takes work.
    pub availability: Availability,
    /// Its size, for comparison with other servers.
    pub weight: f64,
    /// When it last started; `None` for long ago.
    pub started: Option<Timestamp>,
}

impl ServerEntry {
    /// A ready server of weight 1 that started long ago.
    pub fn new(id: &str) -> Self {
        Self {
            id: id.into(),
            zone: None,
            kind: None,
            cell: 0,
            availability: Availability::Ready,
            weight: 1.0,
            started: None,
        }
    }
}

/// Word from discovery.
#[derive(Clone, Debug, PartialEq)]
pub enum ServerList {
    /// The complete list: what it lacks is gone.
    Full(Arc<[ServerEntry]>),
    /// Entries that changed.
    Changes(Arc<[ServerEntry]>),
    /// A call failed or the subscription broke; the list held stays.
    Unavailable,
}
