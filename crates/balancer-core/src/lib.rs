//! The decision logic of a load-balancing node, without I/O. The same sequence of events always produces the
//! same actions.
//!
//! A [`Balancer`] is created from [`Settings`], handles [`Event`]s, and returns [`Action`]s for its caller to
//! carry out. It does not read a clock: the caller passes the current time.
//!
//! ```
//! use balancer_core::{Action, Balancer, Endpoint, EndpointUpdate, Event, Request, Settings, Timestamp};
//! use std::time::Duration;
//!
//! let mut balancer = Balancer::new(Settings::default(), 1);
//! let mut actions = Vec::new();
//! let now = Timestamp::from_micros(1_000_000);
//!
//! // Discovery has sent the endpoint list.
//! let endpoints = EndpointUpdate::Snapshot([Endpoint::new("cache-1")].into());
//! balancer.handle(now, Event::EndpointsUpdated(endpoints), &mut actions);
//!
//! // A client has sent a request with a deadline 400 ms from now.
//! let request = Request::new("request-1", now + Duration::from_millis(400));
//! balancer.handle(now, Event::Request(request), &mut actions);
//!
//! let [Action::StartAttempt { id, server, .. }] = &actions[..] else { panic!("one attempt: {actions:?}") };
//! assert_eq!((id.as_str(), server.as_str()), ("request-1", "cache-1"));
//! ```
//!
//! The types of events, actions and settings are defined in [`events`], [`requests`], [`endpoints`],
//! [`settings`], [`names`] and [`time`], and re-exported by [`api`]. The other modules make the decisions:
//!
//! - [`balance`]: which server a request goes to, when it is retried, and when it is rejected; [`admission`]:
//!   how much of the demand is admitted; [`hot_keys`]: how many replicas a key has; [`learned_state`]: the
//!   state that a successor process restores;
//! - [`memory_budget`]: how many connections fit into the memory limit, and which messages are held;
//! - [`graceful_restart`]: which process accepts clients while a process is being replaced by its successor;
//! - [`discovery`]: when and where discovery is polled, and which endpoint lists are accepted;
//! - [`supervisor`]: when the instances of a fleet are started and restarted.
//!
//! [`platform`] maps the platform's names of settings and load reports to these types.

pub mod admission;
pub mod api;
pub mod balance;
mod decay;
pub mod discovery;
pub mod endpoints;
pub mod events;
pub mod graceful_restart;
mod hashing;
pub mod hot_keys;
pub mod learned_state;
pub mod memory_budget;
pub mod names;
pub mod platform;
pub mod requests;
pub mod settings;
pub mod supervisor;
pub mod time;

pub use api::*;
pub use balance::Balancer;
pub use learned_state::LearnedState;
