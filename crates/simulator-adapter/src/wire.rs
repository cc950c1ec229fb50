//! The simulator's wire: text lines in, text lines out. It parses and formats, and decides nothing.

mod error;
mod message;
mod parser;
mod reply;

pub use error::WireError;
pub use message::{InstanceId, Message};
pub use parser::Parser;
pub use reply::{end_reply, write_action, write_fault};
