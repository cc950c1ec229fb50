//! The client side of a node: one module for each protocol that clients use, and the table of client
//! connections that the protocols share.

pub mod connections;
pub mod http1;
