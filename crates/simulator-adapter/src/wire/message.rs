//! Messages from the simulator.

use balancer_core::{Event, Settings, Timestamp};
use std::fmt;
use std::str::FromStr;

/// Number of a balancer instance: `who` in the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct InstanceId(pub u32);

impl FromStr for InstanceId {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}

impl fmt::Display for InstanceId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// A message from the simulator.
#[derive(Debug)]
pub enum Message {
    /// A batch of messages starts at this time.
    BatchStarted(Timestamp),
    /// The batch ends. The simulator now waits for the reply.
    BatchEnded,
    /// An instance starts.
    InstanceStarted {
        /// The instance.
        instance: InstanceId,
        /// Seed of its random number generator.
        seed: u64,
        /// Its settings.
        settings: Box<Settings>,
    },
    /// An instance was killed.
    InstanceStopped(InstanceId),
    /// An event for an instance.
    Event {
        /// The instance.
        instance: InstanceId,
        /// The event.
        event: Event,
    },
}
