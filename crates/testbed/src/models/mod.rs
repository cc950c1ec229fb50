//! Models of a cache server and of the origin, as state machines without I/O or a clock. The runners pass
//! them the requests that arrive and query the time of their next wakeup.

pub mod cache_server;
pub mod initial_entries;
pub mod origin;

pub use cache_server::{CacheServer, Job, OfferResult};
pub use initial_entries::InitialEntries;
pub use origin::Origin;
