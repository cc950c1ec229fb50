//! Every decision of the node, without I/O: events go in, actions come out, and equal events give equal actions.
//!
//! Start from [`Balancer`], fed with [`Event`]s through [`Balancer::handle`], and the [`Settings`] it is made from.
//! Their types are in [`events`], [`requests`], [`endpoints`], [`settings`], [`names`] and [`time`]; [`api`] has all of them.
//! [`learned_state`] is what a balancer hands on to its successor.
//! [`admission`] controls how much of the demand a node admits.
//! [`graceful_restart`] decides which process accepts clients while one takes the place of another.
//! [`asking`] tells when a node asks discovery, and when a watch is dead.
//! [`membership`] tells which lists of discovery's are taken.
//! [`hot_keys`] has the replication factor of a key.
//! [`replicas`] tells which replica of discovery a node asks, [`share`] what one can do for its share of the nodes, and
//! [`discovery_client`] puts both together with [`asking`].
//! [`supervisor`] starts, restarts, replaces and stops the instances of a fleet.
//! [`platform`] reads settings and load reports as the platform words them.

pub mod admission;
pub mod api;
pub mod asking;
pub mod balance;
pub mod discovery_client;
pub mod endpoints;
pub mod events;
pub mod graceful_restart;
mod hashing;
pub mod hot_keys;
pub mod learned_state;
pub mod membership;
pub mod names;
pub mod platform;
mod recent;
pub mod replicas;
pub mod requests;
pub mod settings;
pub mod share;
pub mod supervisor;
pub mod time;

pub use api::*;
pub use balance::Balancer;
pub use learned_state::LearnedState;
