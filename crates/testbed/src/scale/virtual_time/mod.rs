//! The control plane in virtual time: clients of discovery with the real decisions, against replicas of discovery that have
//! one queue each. No sockets and no wall clock: the same scene and seed give the same bytes.
//!
//! What is played is what a node does beside serving: it asks, waits, takes lists, fails and asks again. Connections cost
//! nothing but their way; messages are whole.
//!
//! - [`Scene`] says what the world is and what happens; [`scenes`] makes those that are played by name.
//! - [`client`] holds the decisions of one node.
//! - [`simulation`] runs one; [`replica`] is the queue, the list and the watches of one replica.
//! - [`Outcome`] is what came of it; [`table`] shows several side by side.

mod calls;
pub mod client;
mod event_queue;
mod measure;
mod nodes;
pub mod replica;
pub mod report;
pub mod scene;
pub mod scenes;
pub mod simulation;
mod versions;

pub use measure::{Latencies, Outcome, ReplicaOutcome, Sent};
pub use report::table;
pub use scene::{Occurrence, Scene, SceneError};
pub use simulation::{run, run_traced, run_with};
