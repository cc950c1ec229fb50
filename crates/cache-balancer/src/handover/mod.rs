//! Hands over the listening sockets and the learned state to another process of this program, for upgrades.
//! Both are sent over a Unix socket. [`balancer_core::graceful_restart`] decides which process accepts
//! connections; this module exchanges its messages.
//!
//! * [`PredecessorEndpoint`]: the side of the process that serves. It listens for a successor.
//! * [`SuccessorEndpoint`]: the side of the process that replaces it. It connects to the predecessor.
//! * [`SpawnedSuccessor`]: a successor that this process started.
//! * [`State`]: the learned state that is handed over.

mod frame;
mod link;
mod messages;
mod peer;
mod peer_link;
mod predecessor;
mod spawn;
mod state;
mod successor;

pub use messages::CancelReason;
pub use predecessor::PredecessorEndpoint;
pub use spawn::{executable_path, SpawnedSuccessor, PER_PROCESS_VARIABLES};
pub use state::{PoolState, State};
pub use successor::{CancelCause, HandoverError, Message, SuccessorEndpoint};
