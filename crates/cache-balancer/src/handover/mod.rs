//! The hand-over to another process of this program, for upgrades: the listening sockets and the learned state go over a
//! Unix socket. [`balancer_core::graceful_restart`] decides which process accepts; this module carries its messages.
//!
//! * [`PredecessorEndpoint`]: the end of the process that serves. It listens for a successor.
//! * [`SuccessorEndpoint`]: the end of the process that replaces it. It connects to the predecessor.
//! * [`SpawnedSuccessor`]: the successor that a process starts itself.
//! * [`State`]: the learned state that goes over.

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
