//! Scale runs: a few processes with hundreds of hollow nodes each, and a few real nodes, poll replicas of a
//! stand-in discovery service.
//!
//! A hollow node runs the real discovery client and the real decision logic but serves no clients, like
//! the hollow kubelets of Kubemark. The child processes exchange the JSON lines defined in [`messages`] with
//! the run; [`process`] reads and writes them. [`replica`] implements one replica of discovery.
//!
//! - [`ScaleScript`] is parsed from TOML; [`scenarios`] lists the scripts that ship. [`steps`] turns the
//!   events of a script into timed steps.
//! - [`requirements`] compares the resources that a run needs with the limits of the machine, before anything
//!   starts.
//! - [`run`](run::run) starts the [`child_processes`], executes the steps and [measures](measure) the cost.
//!   [`replica_set`] replicates the list to the replicas, and [`real_fleet`] manages the [`real`] nodes.
//! - [`propagation`] measures the time from a change until nodes apply it; [`report`] and [`plot`] show it.
//! - [`fit`] fits lines to the figures of runs of several sizes.
//! - [`virtual_time`] simulates only the discovery clients, at any size, without sockets or a wall clock.

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
