//! Re-exports the interface of a [`Balancer`](crate::Balancer): settings, events, actions and the types they
//! use.

pub use crate::endpoints::{Endpoint, EndpointState, EndpointUpdate};
pub use crate::events::{Action, Event};
pub use crate::names::{Name, RequestId, ServerId};
pub use crate::requests::{AttemptOutcome, AttemptStatus, CacheResult, LoadReport, Request};
pub use crate::settings::{
    CacheMode, ClassId, DeduplicationScope, Idempotency, RequestClass, Settings, Tenant, TenantId,
};
pub use crate::time::Timestamp;
