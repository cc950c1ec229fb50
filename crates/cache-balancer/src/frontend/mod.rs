//! The fronts: what clients speak. One module for each protocol, and the table of connections that they
//! share.

pub mod connections;
pub mod http1;
