//! Waits for conditions.

use std::thread;
use std::time::{Duration, Instant};

/// The time after which a wait fails. It is far longer than any expected wait.
pub const TIMEOUT: Duration = Duration::from_secs(60);

/// Polls `condition` until it holds; panics with `what` after [`TIMEOUT`].
pub fn wait_for(what: &str, mut condition: impl FnMut() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < TIMEOUT, "timed out waiting for: {what}");
        thread::sleep(Duration::from_millis(5));
    }
}
