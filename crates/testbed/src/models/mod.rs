//! Models of a cache server and of the origin, as state machines without I/O or a clock. A runner feeds them what arrives
//! and asks when they want to be called again, in virtual time and on sockets alike.

pub mod cache_server;
pub mod initial_entries;
pub mod origin;

pub use cache_server::{CacheServer, Job, OfferResult};
pub use initial_entries::InitialEntries;
pub use origin::Origin;
