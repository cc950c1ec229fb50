//! Endpoints: the cache servers, and the origin where requests reach it through the balancer, as discovery lists them.

use crate::names::{Name, ServerId};
use crate::time::Timestamp;
use std::sync::Arc;

/// State of an endpoint in discovery's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// Takes requests.
    Ready,
    /// Finishes the requests it has and must not be sent any more.
    Draining,
    /// No longer part of the fleet.
    Removed,
}

/// An endpoint, as discovery lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// Its identity, stable across restarts of its process.
    pub id: ServerId,
    /// Its zone.
    pub zone: Option<Name>,
    /// Its kind; see [`CacheMode::Aside`](crate::api::CacheMode::Aside).
    pub kind: Option<Name>,
    /// The group of servers that share their memory of idempotency keys.
    pub cell: u64,
    /// Whether it takes requests.
    pub state: EndpointState,
    /// Its capacity relative to other endpoints.
    pub weight: f64,
    /// Start of its present incarnation; `None` for one that has long been warm.
    pub started_at: Option<Timestamp>,
}

impl Endpoint {
    /// A ready endpoint of weight 1 that has long been warm.
    pub fn new(id: &str) -> Self {
        Self {
            id: id.into(),
            zone: None,
            kind: None,
            cell: 0,
            state: EndpointState::Ready,
            weight: 1.0,
            started_at: None,
        }
    }
}

/// An update of the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub enum EndpointUpdate {
    /// The complete list: an endpoint that it lacks is removed.
    Snapshot(Arc<[Endpoint]>),
    /// The endpoints that changed.
    Delta(Arc<[Endpoint]>),
    /// Discovery could not be reached, or its watch broke. The current list stays in force.
    Unavailable,
}
