//! Parses settings and load reports in the platform's terms, as used on the simulator's wire and in the
//! configuration of a node. Only this module maps them to the terms of this crate.
//!
//! [`read_settings`] reads the settings of a configuration, [`read_wire_settings`] those of a wire message,
//! and [`read_load_report`] the load report of a server. [`Fields`] holds the name-value pairs of a message.

mod error;
mod fields;
mod load_report;
mod settings;

pub use error::PlatformError;
pub use fields::Fields;
pub use load_report::read_load_report;
pub use settings::{read_settings, read_wire_settings};
