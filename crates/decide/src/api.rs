//! The interface of a [`Balancer`](crate::Balancer) under one path: its settings, events and actions, and the types in them.

pub use crate::events::{Action, Event};
pub use crate::names::{Name, RequestId, ServerId};
pub use crate::requests::{LoadReport, Note, Outcome, Request, Status};
pub use crate::servers::{Availability, ServerEntry, ServerList};
pub use crate::settings::{CacheMode, Class, ClassId, Effect, Scope, Settings, Tenant, TenantId};
pub use crate::time::Timestamp;
