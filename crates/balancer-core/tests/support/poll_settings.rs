//! The platform's settings of polls.

use balancer_core::discovery::PollSettings;
use std::time::Duration;

/// Returns the settings of a fleet of this many nodes that polls one service.
pub fn settings(nodes: u32) -> PollSettings {
    PollSettings {
        nodes,
        max_poll_interval: Duration::from_secs(10),
        drain_grace: Duration::from_millis(500),
        is_shared_service: true,
    }
}
