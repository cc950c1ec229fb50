//! Graceful restart: one process replaces another without losing a request.
//!
//! Start with [`Predecessor`], the process that serves, and [`Successor`], the process that replaces it. Both
//! are state machines without I/O or a clock: they take events and return actions. The daemon passes the
//! sockets and carries the messages.
//!
//! The link between the two preserves order and ends when either process ends (a stream socket within one
//! machine). A link that ends while the process at the other end is alive was lost. Each process is told
//! which of the two happened ([`PredecessorEvent::SuccessorDied`] or [`PredecessorEvent::LinkLost`], and the
//! same for the successor).
//!
//! ```text
//! predecessor                          successor
//!   | <------------ request ------------|
//!   |---- offer: sockets, state ------->|   prepares: reads the list, fills its pools
//!   | <------------- ready -------------|
//! pauses                                |
//!   |------ proceed: latest state ----->|
//!   |                                 accepts connections
//!   | <----------- accepting -----------|
//! stands by: finishes its requests,     |
//! keeps the sockets open                |
//!   |------------- commit ------------->|
//!   |                                 serves, on probation
//!   | <------------ release ------------|   if it stops, or hands over to a process of its own
//! departs, on release or when the probation ends
//!   |------------ departed ------------>|
//! ```
//!
//! # Invariants
//!
//! * Both ends keep the listening sockets open throughout, so no connection is refused. A connection that
//!   arrives while neither accepts waits in the kernel's queue.
//! * While the predecessor stands by, the successor is on probation: if it dies, the predecessor rolls back
//!   and accepts again.
//! * At most one process accepts at a time, with one exception: a successor that hangs right after it began
//!   to accept and resumes after the predecessor gave up on it. The successor learns of that from the next
//!   message it reads, or from the signal that fences it, and then exits.

mod predecessor;
mod successor;

pub use predecessor::{Predecessor, PredecessorAction, PredecessorEvent, PredecessorState};
pub use successor::{Successor, SuccessorAction, SuccessorEvent, SuccessorState};
