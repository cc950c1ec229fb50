//! Simulates the control plane in virtual time: discovery clients with the real decision logic, and replicas
//! of discovery with one queue each. There are no sockets and no wall clock: the same scene and seed give
//! byte-identical results.
//!
//! Only the discovery client of a node is simulated. Connections cost nothing but latency, and messages
//! arrive as a whole.
//!
//! - [`Scene`] combines a script with the events that happen; [`scenes`] lists the named scenes.
//! - [`client`] is the decision logic of one node.
//! - [`simulation`] runs a scene; [`replica`] holds the queue, the list and the watches of one replica.
//! - [`Outcome`] is the result of a run; [`table`] compares several outcomes.

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

pub use measure::{Latencies, Outcome, ReplicaOutcome, SentLines};
pub use report::table;
pub use scene::{Scene, SceneError, SceneEvent};
pub use simulation::{run, run_traced, run_with};
