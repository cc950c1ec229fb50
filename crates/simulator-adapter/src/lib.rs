//! Connects the balancer to the simulator's line protocol.
//!
//! [`wire::Parser`] parses lines into [`wire::Message`]s, whose events go to the [`Balancer`](balancer_core::Balancer) of
//! an instance. [`wire::write_action`] formats the resulting actions as lines. Only this crate maps the names of the
//! protocol, except for those of settings and load reports, which [`balancer_core::platform`] maps.

pub mod wire;
