//! Feeds the service manager's watchdog. It is fed only while the drivers respond: a timer alone would also
//! feed it while the node is stuck.

use crate::input::DriverInput;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::oneshot;
use tokio::time::{interval, timeout, MissedTickBehavior};

/// Calls `notify` twice within each `limit` as long as all drivers respond.
pub(super) async fn feed(
    limit: Duration,
    drivers: impl Fn() -> Vec<UnboundedSender<DriverInput>>,
    notify: impl Fn(),
) {
    let mut ticks = interval(limit / 2);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        if timeout(limit, all_respond(drivers())).await == Ok(true) {
            notify();
        }
    }
}

/// Returns whether every driver responds to a liveness check.
async fn all_respond(drivers: Vec<UnboundedSender<DriverInput>>) -> bool {
    for driver in drivers {
        let (reply, replied) = oneshot::channel();
        // The driver of a removed pool ends when its requests are complete, and may leave a check in its
        // queue.
        if driver.send(DriverInput::LivenessCheck(reply)).is_ok()
            && replied.await.is_err()
            && !driver.is_closed()
        {
            return false;
        }
    }
    true
}

#[cfg(test)]
mod tests;
