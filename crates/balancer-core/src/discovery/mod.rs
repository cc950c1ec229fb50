//! The client of the discovery service, without I/O and without a clock.
//!
//! Start from [`DiscoveryClient`]: it names the replica to poll, the wait and the timeout of the poll, and the pause before
//! the next one. [`ListValidator`] tells whether a list that a poll brought is accepted. A driver makes the calls and reports
//! how they ended.
//!
//! | file | decides |
//! | --- | --- |
//! | `client` | what follows a poll: a pause, and the replica of the next poll |
//! | `poll_schedule` | the wait, timeout and pause of polls to one replica |
//! | `watch` | the wait and timeout of a long poll |
//! | `backoff` | the pause after polls that failed |
//! | `local_agent` | the same for an agent on the node's own machine |
//! | `pacing` | what the times depend on: settings, and the stated capacity of a replica |
//! | `replica_capacity` | times that follow from that capacity |
//! | `replica_selection`, `rendezvous` | which replica is polled: order, failover, hold-down and return |
//! | `list_validator`, `suppressed_servers` | which lists are accepted |

mod backoff;
mod client;
mod list_validator;
mod local_agent;
mod pacing;
mod poll_schedule;
mod rendezvous;
mod replica_capacity;
mod replica_selection;
mod suppressed_servers;
mod watch;

pub use backoff::{backoff, NOTIFICATION_DEADLINE};
pub use client::{DiscoveryClient, Jitter, NextPoll};
pub use list_validator::{ListEntry, ListError, ListSource, ListValidator, ListWarning, ReceivedList};
pub use pacing::{PollPacing, PollSettings};
pub use poll_schedule::{Poll, PollKind, PollOutcome, PollSchedule};
pub use replica_capacity::{ReplicaCapacity, ReplicaShare};
pub use replica_selection::{ReplicaResponse, ReplicaSelection, ReplicaSetChange, ReplicaTransition};
pub use watch::MISSED_EVENT_DEADLINE;

/// A random number as a factor from 0 to 1, whatever was drawn; NaN counts as 1.
fn unit_fraction(random: f64) -> f64 {
    if random.is_nan() {
        1.0
    } else {
        random.clamp(0.0, 1.0)
    }
}
