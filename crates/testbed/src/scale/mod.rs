//! Scale runs: hundreds of hollow nodes in each of a few processes, beside real ones, against discovery by replicas.
//!
//! A hollow node is the real discovery client with the real decisions and no clients (as Kubernetes' Kubemark has hollow
//! kubelets). Processes talk to the run by the lines of JSON in [`messages`], which [`process`] reads and writes;
//! [`replica`] is one replica of discovery.
//!
//! - [`ScaleScript`] is read from TOML; [`scenarios`] has those that ship. [`events`] draws its steps.
//! - [`needs`] compares what a run takes with what the machine has, before anything starts.
//! - [`run`](run::run) starts the [`children`], carries the steps out and [measures](measure);
//!   [`replica_set`] knows what each replica is told, and [`beside`] passes on to [`real`] nodes what happens.
//! - [`acts`] knows when which node acted on what; [`report`] shows it, and [`plot`] draws it.
//! - [`fit`] lays lines through the figures of several sizes.
//! - [`virtual_time`] plays clients of discovery alone, at any size, without sockets and clock.

pub mod acts;
pub mod beside;
pub mod children;
pub mod events;
pub mod fit;
pub mod measure;
pub mod messages;
pub mod needs;
pub mod plot;
pub mod process;
pub mod real;
pub mod replica;
pub mod replica_set;
pub mod report;
pub mod run;
pub mod scenarios;
pub mod script;
pub mod snapshot;
pub mod virtual_time;

pub use report::ScaleReport;
pub use script::ScaleScript;
