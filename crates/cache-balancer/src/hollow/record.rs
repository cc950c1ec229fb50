//! What the hollow nodes of this process did since the last report.

use crate::driver::DiscoveryEvent;
use std::cell::RefCell;
use std::time::{SystemTime, UNIX_EPOCH};
use testbed::scale::messages::{Applied, HollowReport};

/// Kept by all of them together.
#[derive(Debug, Default)]
pub struct Record(RefCell<HollowReport>);

impl Record {
    /// Notes what a node's decisions just had. An answer that told nothing new is no list.
    pub fn note(&self, node: u32, event: DiscoveryEvent) {
        let mut report = self.0.borrow_mut();
        match event {
            DiscoveryEvent::ListApplied { version, snapshot, entries } if snapshot || entries > 0 => {
                report.applied.push(Applied { node, version, at_us: now_us(), whole: snapshot });
            }
            DiscoveryEvent::ListApplied { .. } => {}
            DiscoveryEvent::CallFailed => report.failed_calls += 1,
        }
    }

    /// What was noted, which is not given again.
    pub fn take(&self) -> HollowReport {
        self.0.take()
    }
}

/// Microseconds of Unix time.
fn now_us() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_micros()).unwrap_or(u64::MAX)
}
