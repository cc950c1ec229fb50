//! Runs balancers on the simulator's wire: text lines in, text lines out.
//!
//! [`wire::Parser`] turns lines into [`wire::Message`]s, whose events go to the [`Balancer`](balancer_core::Balancer) of
//! an instance; [`wire::write_action`] turns its actions into lines. The names on the wire are mapped here and nowhere
//! else, those of settings and load reports in [`balancer_core::platform`].

pub mod wire;
