//! Endpoints on discovery's list: the cache servers, and the origin where requests reach it through the
//! balancer.

use crate::names::{Name, ServerId};
use crate::time::Timestamp;
use std::sync::Arc;

/// State of an endpoint on discovery's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// Accepts requests.
    Ready,
    /// Finishes its requests in flight and must not be sent new ones.
    Draining,
    /// No longer part of the fleet.
    Removed,
}

/// An endpoint on discovery's list.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// Identity of the server, stable across restarts of its process.
    pub id: ServerId,
    /// Zone of the server.
    pub zone: Option<Name>,
    /// Kind of the server; see [`CacheMode::Aside`](crate::api::CacheMode::Aside).
    pub kind: Option<Name>,
    /// Group of servers that share their record of idempotency keys.
    pub cell: u64,
    /// Whether the server accepts requests.
    pub state: EndpointState,
    /// Capacity relative to other endpoints.
    pub weight: f64,
    /// Start time of the current incarnation; `None` if the server has long been warm.
    pub started_at: Option<Timestamp>,
}

impl Endpoint {
    /// Creates a ready endpoint of weight 1 that has long been warm.
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
    /// The complete list. Endpoints that are not on it are removed.
    Snapshot(Arc<[Endpoint]>),
    /// The endpoints that changed.
    Delta(Arc<[Endpoint]>),
    /// Discovery could not be reached, or its watch failed. The current list stays in use.
    Unavailable,
}
