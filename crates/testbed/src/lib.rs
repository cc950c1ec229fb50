//! A testbed for incidents. A [`Script`] describes a fleet and its faults, a runner executes the script with
//! the production balancer, and the [`Judge`] evaluates from outside how every request was handled.
//!
//! - [`Script`] is parsed from TOML. [`scenarios`] contains the scripts that ship with the program.
//! - [`fault_schedule`] expands the faults of a script into individual changes, and [`workload`] expands its
//!   load into individual operations. Both are pure functions of the script, so all runners get the same
//!   ones.
//! - [`network_model`] and [`client_model`] define the latency of messages and the behaviour of clients.
//! - [`fleet`] defines the kind, zone and cell of each cache server and the settings of each node.
//! - [`placement`] defines which cache server has which entry at the start.
//! - [`models`] implements the cache server and the origin as state machines without I/O or a clock.
//! - [`virtual_time`] runs a script as a single-threaded simulation without a wall clock. Its output is
//!   deterministic.
//! - [`sockets`] runs a script with real processes in real time.
//! - [`Judge`] checks the four rules and measures the service. It does not know how nodes work.
//! - [`report`] formats a [`run_result`] as text and JSON, [`html_report`] formats it as a web page, and
//!   [`variance`] compares several runs.
//! - [`counts`] sums the traffic of all nodes to the fleet and to discovery.
//! - [`scale`] implements scale runs: hollow nodes against replicas of a stand-in discovery service.

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
