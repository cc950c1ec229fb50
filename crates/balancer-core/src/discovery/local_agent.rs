//! Computes the wait, timeout and pause of polls to an agent on the node's own machine, which answers at once
//! and at no cost to other nodes.
//!
//! The node counts as notified of a change as soon as the agent has it, even while the agent does not answer.
//! The wait of a poll, the margin of its timeout and the pause before the next poll therefore together stay
//! within the drain grace.

use super::pacing::PollSettings;
use super::poll_schedule::{Poll, PollKind};
use std::time::Duration;

/// Divisors of the drain grace. The three parts (1/5 + 1/5 + 1/10) leave half of it for the next poll.
const WAIT_DIVISOR: u32 = 5;
const TIMEOUT_MARGIN_DIVISOR: u32 = 5;
const PAUSE_DIVISOR: u32 = 10;

/// Returns the next poll.
pub(super) fn next_poll(settings: PollSettings, kind: PollKind) -> Poll {
    let wait = match kind {
        PollKind::Watch => settings.grace_fraction(WAIT_DIVISOR),
        PollKind::Snapshot => Duration::ZERO,
    };
    Poll { wait, timeout: wait + settings.grace_fraction(TIMEOUT_MARGIN_DIVISOR) }
}

/// Returns the pause after a poll that failed or did not wait as requested.
pub(super) fn pause(settings: PollSettings) -> Duration {
    settings.grace_fraction(PAUSE_DIVISOR)
}
