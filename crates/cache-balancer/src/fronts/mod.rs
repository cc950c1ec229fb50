//! The fronts: what clients speak. One file a protocol, and the table of connections that they share.

pub mod http1;
pub mod table;
