//! How long a node waits before it asks discovery again. Discovery is one service of fixed capacity for all nodes; they
//! share nothing, and each failed call costs it a part of what the others could have had.
//!
//! Exponential back-off with full jitter (M. Brooker, "Exponential Backoff And Jitter", AWS Architecture Blog, 2015), with
//! an upper end that grows with the number of nodes: all together then ask about as often as discovery can answer, however
//! many they are.

use std::time::Duration;

/// The first step; it doubles with each failure.
const STEP: Duration = Duration::from_millis(200);
/// The longest step of a few nodes.
const LONGEST: Duration = Duration::from_secs(3);
/// And for each node, where a whole list is asked for: about what it takes discovery to send one, of 40 servers at 200
/// lines a second.
const WHOLE: Duration = Duration::from_millis(250);
/// The same where only changes are asked for: what a call costs without any.
const CHANGES: Duration = Duration::from_millis(50);

/// The wait before a call that follows so many failed ones, for one of so many nodes. `holds_list`: it asks for changes of
/// the list that it has. `draw` is a random number from 0 to 1.
pub fn wait(nodes: u32, failures: u32, holds_list: bool, draw: f64) -> Duration {
    if failures == 0 {
        return Duration::ZERO;
    }
    let share = if holds_list { CHANGES } else { WHOLE };
    let longest = LONGEST.max(share.saturating_mul(nodes));
    let step = STEP.saturating_mul(1 << failures.min(16)).min(longest);
    step.mul_f64(if draw.is_nan() { 1.0 } else { draw.clamp(0.0, 1.0) })
}
