//! The stand-ins as state machines: no I/O and no clock. A player feeds them what arrives and asks when they want to be
//! looked at again, in virtual time or on sockets alike.

pub mod cache_server;
pub mod initial;
pub mod origin;

pub use cache_server::{CacheServer, Job, Verdict};
pub use initial::InitialEntries;
pub use origin::Origin;
