//! What the lines of the wire say.

use balancer_core::{Event, Settings, Timestamp};
use std::fmt;
use std::str::FromStr;

/// The number of an instance of the balancer: `who` on the wire.
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

/// A message of the simulator.
#[derive(Debug)]
pub enum Message {
    /// A batch begins at this time.
    BatchStarted(Timestamp),
    /// A batch ends, and a reply is due.
    BatchEnded,
    /// An instance starts.
    InstanceStarted {
        /// The instance.
        instance: InstanceId,
        /// Seed of its random numbers.
        seed: u64,
        /// Its settings.
        settings: Box<Settings>,
    },
    /// An instance was killed.
    InstanceStopped(InstanceId),
    /// An instance has an event.
    Event {
        /// The instance.
        instance: InstanceId,
        /// The event.
        event: Event,
    },
}
