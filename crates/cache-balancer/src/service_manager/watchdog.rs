//! The watchdog. It is fed only while the loops that do the work answer: a timer alone would feed it for a stuck node.

use crate::input::DriverInput;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::oneshot;
use tokio::time::{interval, timeout, MissedTickBehavior};

/// Calls `notify` twice within each `limit`, for as long as all drivers answer.
pub(super) async fn feed(
    limit: Duration,
    drivers: impl Fn() -> Vec<UnboundedSender<DriverInput>>,
    notify: impl Fn(),
) {
    let mut ticks = interval(limit / 2);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        if timeout(limit, all_answer(drivers())).await == Ok(true) {
            notify();
        }
    }
}

/// Whether every driver takes a question out of its queue and answers it.
async fn all_answer(drivers: Vec<UnboundedSender<DriverInput>>) -> bool {
    for driver in drivers {
        let (answer, answered) = oneshot::channel();
        // The driver of a removed pool ends when its work is done, also with a question in its queue.
        if driver.send(DriverInput::LivenessCheck(answer)).is_ok()
            && answered.await.is_err()
            && !driver.is_closed()
        {
            return false;
        }
    }
    true
}

#[cfg(test)]
mod tests;
