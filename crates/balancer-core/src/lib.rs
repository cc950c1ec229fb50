//! Every decision of a load-balancing node, without I/O: events go in, actions come out, and equal events give equal
//! actions.
//!
//! Start from three types: a [`Balancer`] is made from [`Settings`], takes in [`Event`]s, and answers with [`Action`]s that
//! its caller carries out. It reads no clock: the caller passes the time.
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
//! // A client has sent a request, whose answer is due within 400 ms.
//! let request = Request::new("request-1", now + Duration::from_millis(400));
//! balancer.handle(now, Event::Request(request), &mut actions);
//!
//! let [Action::StartAttempt { id, server, .. }] = &actions[..] else { panic!("one attempt: {actions:?}") };
//! assert_eq!((id.as_str(), server.as_str()), ("request-1", "cache-1"));
//! ```
//!
//! The types of events, actions and settings are in [`events`], [`requests`], [`endpoints`], [`settings`], [`names`] and
//! [`time`]; [`api`] has all of them. The other modules are one decision each:
//!
//! - [`balance`]: which server a request goes to, when it is retried, and when it is rejected; [`admission`]: how much of
//!   the demand is admitted; [`hot_keys`]: how many replicas a key has; [`learned_state`]: what a successor restores;
//! - [`graceful_restart`]: which process accepts clients while one takes the place of another;
//! - [`discovery`]: when and where discovery is polled, and which endpoint lists are accepted;
//! - [`supervisor`]: when the instances of a fleet are started, and restarted.
//!
//! [`platform`] maps the platform's own names of settings and load reports to these types.

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
pub mod names;
pub mod platform;
pub mod requests;
pub mod settings;
pub mod supervisor;
pub mod time;

pub use api::*;
pub use balance::Balancer;
pub use learned_state::LearnedState;
