//! Rehearsals of incidents. A [`script`] says what the world is and what goes wrong in it, a player plays it with the
//! real decisions, and the [`ledger`] judges from outside what every request got.
//!
//! - [`Script`] is read from TOML; [`scenarios`] has those that ship.
//! - [`timeline`] turns its incidents into single changes, [`demand`] its load into single asks. Both are pure: the
//!   same script gives the same ones, whoever plays it and however things interleave.
//! - [`conduct`] says how clients, messages and work behave, for every player.
//! - [`fleet`] says who sits where, and what nodes are told of it.
//! - [`placement`] says which cache server holds what at the start.
//! - [`world`] holds the stand-ins as state machines without I/O or a clock.
//! - [`simulate`] is the player in virtual time: one thread, no wall clock, the same bytes every time.
//! - [`live`] is the player on sockets: real processes, real time.
//! - [`scale`] has the processes of a scale run: hollow nodes against stand-in discovery by replicas.
//! - [`counts`] adds up what all nodes together do to the fleet.
//! - [`Ledger`] decides the four rules and the figure of service; it knows nothing of how the nodes work.
//! - [`report`] shows a verdict in the terminal and as JSON, [`page`] as one HTML page, [`spread`] several side by side.

pub mod conduct;
pub mod counts;
pub mod demand;
pub mod discovery_call;
pub mod draw;
pub mod fleet;
pub mod ledger;
pub mod live;
pub mod page;
pub mod placement;
pub mod report;
pub mod scale;
pub mod scenarios;
pub mod script;
pub mod simulate;
pub mod spread;
pub mod timeline;
pub mod world;

pub use ledger::Ledger;
pub use script::Script;
