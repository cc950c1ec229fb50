//! A testbed for incidents: a [`Script`] describes a fleet and its faults, a runner executes it with the real decisions, and
//! the [`Judge`] decides from outside what every request got.
//!
//! - [`Script`] is read from TOML; [`scenarios`] are those that ship.
//! - [`fault_schedule`] turns its faults into single changes, [`workload`] its load into single operations. Both are pure
//!   functions of the script, for every runner.
//! - [`network_model`] and [`client_model`] say how messages travel and how clients behave.
//! - [`fleet`] has the kind, zone and cell of each cache server, and the settings of nodes.
//! - [`placement`] says which cache server has which entry at the start.
//! - [`models`] has the cache server and the origin as state machines without I/O or a clock.
//! - [`virtual_time`] runs a script as a simulation: one thread, no wall clock, the same bytes every time.
//! - [`sockets`] runs a script with real processes in real time.
//! - [`Judge`] decides the four rules and the service; it does not know how nodes work.
//! - [`report`] shows a [`run_result`] as text and JSON, [`html_report`] as a page; [`variance`] compares several runs.
//! - [`counts`] adds up what all nodes together do to the fleet.
//! - [`scale`] has scale runs: hollow nodes against replicas of a stand-in discovery.

mod attempt_id;
pub mod client_model;
pub mod counts;
pub mod discovery_call;
pub mod fault_schedule;
pub mod fleet;
pub mod html_report;
pub mod judge;
pub mod models;
pub mod network_model;
mod node_process;
pub mod placement;
pub mod random;
pub mod report;
pub mod run_result;
pub mod scale;
pub mod scenarios;
pub mod script;
pub mod sockets;
pub mod variance;
pub mod virtual_time;
pub mod workload;

pub use judge::Judge;
pub use script::Script;
