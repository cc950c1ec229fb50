//! Scale runs: hundreds of hollow nodes in each of a few processes, and a few real nodes, against replicas of a stand-in
//! discovery.
//!
//! A hollow node is the real discovery client with the real decisions and no clients, as Kubemark has hollow kubelets. The
//! processes exchange the lines of JSON in [`messages`] with the run, which [`process`] reads and writes; [`replica`] is one
//! replica of discovery.
//!
//! - [`ScaleScript`] is read from TOML; [`scenarios`] are those that ship. [`steps`] are what its events do, and when.
//! - [`requirements`] compares what a run needs with the limits of the machine, before anything starts.
//! - [`run`](run::run) starts the [`child_processes`], carries the steps out and [measures](measure). [`replica_set`] has what
//!   each replica knows, and [`real_fleet`] the [`real`] nodes.
//! - [`propagation`] has the time from a change to the nodes that act on it; [`report`] and [`plot`] show it.
//! - [`fit`] fits lines to the figures of several sizes.
//! - [`virtual_time`] simulates the discovery clients alone, at any size, without sockets and clock.

pub mod child_processes;
pub mod fit;
pub mod line_queue;
pub mod measure;
pub mod messages;
pub mod plot;
pub mod process;
pub mod propagation;
pub mod real;
pub mod real_fleet;
pub mod replica;
pub mod replica_set;
pub mod report;
pub mod requirements;
pub mod run;
pub mod scenarios;
pub mod script;
pub mod snapshot;
pub mod steps;
pub mod virtual_time;

pub use report::ScaleReport;
pub use script::ScaleScript;
