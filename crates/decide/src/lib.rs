//! Every decision of the node, without I/O: events go in, actions come out, and equal events give equal actions.
//!
//! Start from [`Balancer`], fed with [`Event`]s through [`Balancer::handle`], and the [`Settings`] it is made from.
//! [`admission`] tells what a node lets in of what is asked for.
//! [`handover`] decides who accepts clients while one process takes another's place.
//! [`asking`] tells when a node asks discovery, and when a watch is dead.
//! [`membership`] tells which lists of discovery's are taken.
//! [`replicas`] tells which replica of discovery a node asks, [`share`] what one can do for its share of the nodes, and
//! [`discovery_client`] puts both together with [`asking`].
//! [`hot_keys`] tells over how many servers a key is spread.
//! [`supervise`] keeps a fleet of instances going. [`platform`] reads settings and load reports as the platform words them.

pub mod admission;
pub mod api;
pub mod asking;
pub mod balance;
pub mod discovery_client;
pub mod handover;
pub mod hot_keys;
pub mod membership;
pub mod platform;
pub mod replicas;
pub mod share;
pub mod supervise;

pub use api::*;
pub use balance::{Balancer, Knowledge};
