//! Every decision of the node, without I/O: events go in, actions come out, and equal events give equal actions.
//!
//! Start from [`Balancer`], fed with [`Event`]s through [`Balancer::handle`], and the [`Settings`] it is made from.
//! [`handover`] decides who accepts clients while one process takes another's place.
//! [`supervise`] keeps a fleet of instances going. [`platform`] reads settings and load reports as the platform words them.

pub mod api;
pub mod balance;
pub mod handover;
pub mod platform;
pub mod supervise;

pub use api::*;
pub use balance::{Balancer, Knowledge};
