//! The control plane in virtual time: discovery clients with the real decisions, against replicas of discovery with one queue
//! each. There are no sockets and no wall clock: the same scene and seed give the same bytes.
//!
//! What a node does beside its discovery client is left out. Connections cost nothing but latency; messages arrive whole.
//!
//! - [`Scene`] has a script and what happens; [`scenes`] are those with a name.
//! - [`client`] has the decisions of one node.
//! - [`simulation`] runs a scene; [`replica`] is the queue, the list and the watches of one replica.
//! - [`Outcome`] is the result; [`table`] compares several.

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
