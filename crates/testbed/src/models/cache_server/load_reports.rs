//! Load reports: snapshots at regular intervals, reported with a delay.

use crate::script::LoadReports;
use balancer_core::Timestamp;
use std::collections::VecDeque;
use std::time::Duration;

/// The load of a cache server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServerLoad {
    /// The recent average of the time that a job takes on a core, without waiting time.
    pub service_time: Duration,
    /// The number of requests that wait for a slot or a core.
    pub queued: usize,
}

/// Takes snapshots of the load at regular intervals and reports each of them after a delay.
#[derive(Debug)]
pub(super) struct LoadReporter {
    settings: LoadReports,
    next_snapshot: Timestamp,
    /// Snapshots that are not reported yet, each with the time from which it is reported.
    pending: VecDeque<(Timestamp, ServerLoad)>,
    reported: ServerLoad,
}

impl LoadReporter {
    pub(super) fn new(settings: LoadReports, now: Timestamp) -> Self {
        Self { settings, next_snapshot: now, pending: VecDeque::new(), reported: ServerLoad::default() }
    }

    /// Returns the load that is reported at the time of the last update.
    pub(super) fn reported(&self) -> ServerLoad {
        self.reported
    }

    /// Takes the snapshots that are due and updates the reported load. The caller guarantees that the load
    /// has not changed since the last update.
    pub(super) fn update(&mut self, now: Timestamp, load: ServerLoad) {
        if self.next_snapshot <= now {
            self.take_snapshots(now, load);
        }
        while self.pending.front().is_some_and(|(at, _)| *at <= now) {
            if let Some((_, load)) = self.pending.pop_front() {
                self.reported = load;
            }
        }
    }

    /// Takes the first and the last of the snapshots that are due. The snapshots between them would be equal.
    fn take_snapshots(&mut self, now: Timestamp, load: ServerLoad) {
        let LoadReports { interval, delay, .. } = self.settings;
        let first = self.next_snapshot;
        let intervals = now.since(first).as_micros() / interval.as_micros().max(1);
        let last = first + Duration::from_micros((intervals * interval.as_micros()) as u64);
        self.pending.push_back((first + delay, load));
        if last > first {
            self.pending.push_back((last + delay, load));
        }
        self.next_snapshot = last + interval;
    }
}
