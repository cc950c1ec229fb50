//! Measures how late timers expire, which shows whether the machine is too busy.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{spawn_local, AbortHandle};
use tokio::time::{sleep_until, Instant};

/// Time between two measurements.
const MEASUREMENT_INTERVAL: Duration = Duration::from_millis(5);
/// A run is void if the 99th percentile of the lag is longer than this.
const MAX_P99_LAG: Duration = Duration::from_millis(20);
/// A run is void if any lag is longer than this.
const MAX_LAG: Duration = Duration::from_millis(400);

/// Timer lag during a run: the delay between the due time of a timer and its expiry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TimerLag {
    /// The 99th percentile.
    pub p99: Duration,
    /// The maximum.
    pub max: Duration,
}

impl TimerLag {
    /// Returns whether the machine was so busy that the run's figures are void.
    pub(super) fn is_too_long(&self) -> bool {
        self.p99 > MAX_P99_LAG || self.max > MAX_LAG
    }

    fn of(mut lags: Vec<Duration>) -> Self {
        lags.sort_unstable();
        let rank = ((lags.len() as f64 * 0.99) as usize).min(lags.len().saturating_sub(1));
        Self {
            p99: lags.get(rank).copied().unwrap_or_default(),
            max: lags.last().copied().unwrap_or_default(),
        }
    }
}

/// Records the timer lag at regular intervals in a background task.
pub(super) struct Recorder {
    lags: Rc<RefCell<Vec<Duration>>>,
    task: AbortHandle,
}

impl Recorder {
    pub(super) fn start() -> Self {
        let lags = Rc::default();
        let task = spawn_local(record(Rc::clone(&lags)));
        Self { lags, task: task.abort_handle() }
    }

    pub(super) fn finish(self) -> TimerLag {
        self.task.abort();
        TimerLag::of(self.lags.take())
    }
}

async fn record(lags: Rc<RefCell<Vec<Duration>>>) {
    loop {
        let due = Instant::now() + MEASUREMENT_INTERVAL;
        sleep_until(due).await;
        lags.borrow_mut().push(due.elapsed());
    }
}
