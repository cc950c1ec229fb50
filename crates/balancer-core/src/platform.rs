//! Settings and load reports in the platform's own words, as they come on the simulator's wire and in a node's
//! configuration. This is the one place where they are mapped to the terms of this crate.
//!
//! [`read_settings`] reads the settings of a configuration, [`read_wire_settings`] those of a wire message, and
//! [`read_load_report`] what a server reports of its load. [`Fields`] are the pairs of name and value that messages have.

mod error;
mod fields;
mod load_report;
mod settings;

pub use error::PlatformError;
pub use fields::Fields;
pub use load_report::read_load_report;
pub use settings::{read_settings, read_wire_settings};
