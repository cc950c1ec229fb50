//! Computes the wait and timeout of a long poll (a watch).
//!
//! A watch whose connection was dropped by the network looks like one without events. The node counts as
//! notified of the missed events [`MISSED_EVENT_DEADLINE`] after the wait, and may use the servers concerned
//! for [`PollSettings::drain_grace`] after that. A watch therefore times out soon after its wait, and the
//! next poll is sent at once, early enough to be answered by then.
//!
//! Watches that are lost together were mostly opened together, after one event had ended all of them. Each
//! wait is drawn at random so that the nodes do not return together to a service that answers polls one after
//! the other.
//!
//! [`PollSettings::drain_grace`]: super::PollSettings::drain_grace

use super::backoff::{max_step, MAX_STEP, WATCH_COST};
use super::pacing::PollPacing;
use super::poll_schedule::Poll;
use super::unit_fraction;
use std::time::Duration;

/// Longest wait that a watch requests. It can be this long because an event ends the wait at once; a shorter
/// one would cost more polls, each of which costs discovery as much as dozens of list entries.
const MAX_WAIT: Duration = Duration::from_secs(20);
/// Shortest wait. The range is wider than the 8 s in which discovery is assumed to answer all nodes once
/// (`docs/design/watch-recovery.md`).
const MIN_WAIT: Duration = Duration::from_secs(10);
/// Upper bounds of the longest and shortest wait when waits are stretched to reduce the load of a replica.
/// The protocol allows waits of up to 60 s.
const STRETCHED_MAX_WAIT: Duration = Duration::from_secs(60);
const STRETCHED_MIN_WAIT: Duration = Duration::from_secs(30);
const MAX_STRETCH: f64 = 10.0;
/// Time from the end of a lost watch's wait until the node counts as notified of the events it missed. Set by
/// the protocol.
pub const MISSED_EVENT_DEADLINE: Duration = Duration::from_secs(2);
/// A watch without an answer this long after its wait is lost. The rest of [`MISSED_EVENT_DEADLINE`], and the
/// drain grace, are left for the next poll, which has to connect and to wait in the queue behind the polls of
/// other nodes.
const TIMEOUT_MARGIN: Duration = Duration::from_millis(500);
/// The timeout margin if the capacity of a replica is configured: a replica that works through a queue ends
/// waits this much later.
const QUEUED_TIMEOUT_MARGIN: Duration = Duration::from_secs(1);
/// An answer without events did not wait as requested if it arrives before this fraction of the wait has
/// passed.
const MIN_WAITED_FRACTION: f64 = 0.5;

/// Returns the next watch. `is_uncertain` is true if the last poll failed or went to another replica, so that
/// this watch may be lost as well.
pub(super) fn next_poll(pacing: PollPacing, is_uncertain: bool, jitter: f64) -> Poll {
    let (min, max) = wait_range(pacing);
    let drawn = min + (max - min).mul_f64(unit_fraction(jitter));
    // A short watch detects a loss soon. It does not end before discovery has answered the first polls of all
    // nodes, which take precedence over second polls.
    let wait = if is_uncertain { drawn.min(first_polls_time(pacing)) } else { drawn };
    let margin = pacing.share.map_or(TIMEOUT_MARGIN, |_| QUEUED_TIMEOUT_MARGIN);
    Poll { wait, timeout: wait + margin }
}

/// Returns whether an answer without events that took this long came before the requested wait had passed.
pub(super) fn returned_early(wait: Duration, took: Duration) -> bool {
    took < wait.mul_f64(MIN_WAITED_FRACTION)
}

/// Returns the shortest and the longest wait.
fn wait_range(pacing: PollPacing) -> (Duration, Duration) {
    let Some(share) = pacing.share else { return (MIN_WAIT, MAX_WAIT) };
    let stretch = share.watch_stretch((MIN_WAIT + MAX_WAIT) / 2);
    let stretched = |wait: Duration, bound: Duration| wait.mul_f64(stretch.min(MAX_STRETCH)).min(bound);
    (stretched(MIN_WAIT, STRETCHED_MIN_WAIT), stretched(MAX_WAIT, STRETCHED_MAX_WAIT))
}

/// Returns the time in which discovery answers the first polls of all nodes if it has no events for them.
fn first_polls_time(pacing: PollPacing) -> Duration {
    match pacing.share {
        Some(share) => MAX_STEP.max(share.all_polls_time()),
        None => max_step(WATCH_COST, pacing.settings.nodes),
    }
}
