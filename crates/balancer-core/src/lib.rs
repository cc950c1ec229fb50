//! Every decision of the node, without I/O: events go in, actions come out, and equal events give equal actions.
//!
//! Start from [`Balancer`], fed with [`Event`]s through [`Balancer::handle`], and the [`Settings`] it is made from.
//! Their types are in [`events`], [`requests`], [`endpoints`], [`settings`], [`names`] and [`time`]; [`api`] has all of them.
//! [`learned_state`] is what a balancer hands on to its successor.
//! [`admission`] controls how much of the demand a node admits.
//! [`handover`] decides who accepts clients while one process takes another's place.
//! [`discovery`] is the client of the discovery service: when and where it is polled, and which lists are accepted.
//! [`hot_keys`] has the replication factor of a key.
//! [`supervise`] keeps a fleet of instances going. [`platform`] reads settings and load reports as the platform words them.

pub mod admission;
pub mod api;
pub mod balance;
pub mod discovery;
pub mod endpoints;
pub mod events;
pub mod handover;
mod hashing;
pub mod hot_keys;
pub mod learned_state;
pub mod names;
pub mod platform;
mod recent;
pub mod requests;
pub mod settings;
pub mod supervise;
pub mod time;

pub use api::*;
pub use balance::Balancer;
pub use learned_state::LearnedState;
