//! Records the activity of the hollow nodes of this process since the last report.

use crate::driver::DiscoveryEvent;
use std::cell::RefCell;
use std::time::{SystemTime, UNIX_EPOCH};
use testbed::scale::messages::{Applied, HollowReport};

/// Activity record that all hollow nodes of this process share.
#[derive(Debug, Default)]
pub struct ActivityRecord(RefCell<HollowReport>);

impl ActivityRecord {
    /// Records a discovery event of a node. Responses without changes are not recorded.
    pub fn add(&self, node: u32, event: DiscoveryEvent) {
        let mut report = self.0.borrow_mut();
        match event {
            DiscoveryEvent::ListApplied { version, snapshot, entries } if snapshot || entries > 0 => {
                report.applied.push(Applied { node, version, at_us: now_us(), is_snapshot: snapshot });
            }
            DiscoveryEvent::ListApplied { .. } => {}
            DiscoveryEvent::PollFailed => report.failed_calls += 1,
        }
    }

    /// Returns the record and clears it.
    pub fn take(&self) -> HollowReport {
        self.0.take()
    }
}

/// Returns the Unix time in microseconds.
fn now_us() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since_epoch.as_micros()).unwrap_or(u64::MAX)
}
