//! The simulator's line protocol: parses messages and formats replies. It makes no balancing decisions.

mod error;
mod message;
mod parser;
mod reply;

pub use error::WireError;
pub use message::{InstanceId, Message};
pub use parser::Parser;
pub use reply::{end_reply, write_action, write_panic};
