//! An instance of the fleet: the processes that belong to it, and when the next one starts.

use super::messages::{InstanceState, InstanceStatus, Limits, ProcessId};
use crate::time::Timestamp;
use std::time::Duration;

/// Maximum number of doublings of the restart backoff, so that the factor cannot overflow.
const MAX_DOUBLINGS: u32 = 16;

/// A process that serves or prepares to serve.
#[derive(Clone, Copy, Debug)]
pub(super) struct Process {
    pub id: ProcessId,
    /// When the process became ready.
    pub ready_at: Option<Timestamp>,
    /// When the process is killed, unless it becomes ready or sends a heartbeat before.
    pub deadline: Timestamp,
}

/// A configuration and an address, under which one process runs after another.
#[derive(Clone, Debug, Default)]
pub(super) struct Instance {
    /// The process that serves or is about to serve.
    pub current: Option<Process>,
    /// The process that is about to replace the current one.
    pub successor: Option<Process>,
    /// When the next process starts.
    pub start_at: Option<Timestamp>,
    /// Whether the instance stays stopped.
    pub stopped: bool,
    /// Number of exits since a process was last stable.
    pub consecutive_failures: u32,
    pub failures: u64,
    pub upgrades: u64,
}

impl Instance {
    /// Creates an instance whose first process is due.
    pub fn due() -> Self {
        Self { start_at: Some(Timestamp::default()), ..Self::default() }
    }

    /// Returns the processes that serve or prepare to serve.
    pub fn processes(&self) -> impl Iterator<Item = Process> {
        self.current.into_iter().chain(self.successor)
    }

    pub fn has_process(&self, process: ProcessId) -> bool {
        self.processes().any(|running| running.id == process)
    }

    pub fn is_successor(&self, process: ProcessId) -> bool {
        self.successor.is_some_and(|successor| successor.id == process)
    }

    pub fn is_serving(&self) -> bool {
        self.current.is_some_and(|current| current.ready_at.is_some())
    }

    /// Counts an unexpected exit, schedules the next process and returns the backoff before it starts.
    ///
    /// `ready_at` is the time at which the exited process became ready, if it did.
    pub fn record_failure(
        &mut self,
        now: Timestamp,
        ready_at: Option<Timestamp>,
        limits: &Limits,
    ) -> Duration {
        self.failures += 1;
        if ready_at.is_some_and(|ready_at| now.since(ready_at) >= limits.stable_after) {
            self.consecutive_failures = 0;
        }
        let doublings = self.consecutive_failures.min(MAX_DOUBLINGS);
        let backoff = limits.restart_backoff.saturating_mul(1 << doublings).min(limits.max_restart_backoff);
        self.consecutive_failures += 1;
        self.start_at = Some(now + backoff);
        backoff
    }

    pub fn status(&self) -> InstanceStatus {
        InstanceStatus {
            state: self.state(),
            process: self.current.or(self.successor).map(|process| process.id),
            failures: self.failures,
            upgrades: self.upgrades,
        }
    }

    fn state(&self) -> InstanceState {
        match (self.stopped, self.current, self.successor) {
            (true, None, _) => InstanceState::Stopped,
            (true, Some(_), _) => InstanceState::Draining,
            (false, _, Some(_)) => InstanceState::Upgrading,
            (false, None, None) => InstanceState::BackingOff,
            (false, Some(Process { ready_at: Some(_), .. }), None) => InstanceState::Serving,
            (false, Some(Process { ready_at: None, .. }), None) => InstanceState::Starting,
        }
    }
}
