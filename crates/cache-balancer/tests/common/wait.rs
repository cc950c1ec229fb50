//! Waits for conditions.

use std::thread;
use std::time::{Duration, Instant};

/// Far longer than anything here takes: a wait that reaches it has failed.
pub const PATIENCE: Duration = Duration::from_secs(60);

/// Waits until `done` holds.
pub fn wait_for(what: &str, mut done: impl FnMut() -> bool) {
    let start = Instant::now();
    while !done() {
        assert!(start.elapsed() < PATIENCE, "waited in vain for: {what}");
        thread::sleep(Duration::from_millis(5));
    }
}
