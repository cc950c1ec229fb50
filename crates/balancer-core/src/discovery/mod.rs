//! The client of the discovery service, without I/O and without a clock.
//!
//! Start with [`DiscoveryClient`]: it decides which replica to poll, the wait and the timeout of the poll,
//! and the pause before the next one. [`ListValidator`] decides whether a received list is accepted. The
//! caller performs the polls and reports their outcomes.
//!
//! | file | decides |
//! | --- | --- |
//! | `client` | the pause after a poll, and the replica of the next poll |
//! | `poll_schedule` | the wait, timeout and pause of polls to one replica |
//! | `watch` | the wait and timeout of a long poll |
//! | `backoff` | the pause after failed polls |
//! | `local_agent` | the wait, timeout and pause of polls to an agent on the node's own machine |
//! | `pacing` | the inputs of these times: settings, and the configured capacity of a replica |
//! | `replica_capacity` | the times that follow from that capacity |
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

/// Clamps a random number to the range from 0 to 1. NaN becomes 1.
fn unit_fraction(random: f64) -> f64 {
    if random.is_nan() {
        1.0
    } else {
        random.clamp(0.0, 1.0)
    }
}
