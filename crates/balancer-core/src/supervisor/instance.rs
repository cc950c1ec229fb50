//! One instance of the fleet: the processes that belong to it, and when the next one starts.

use super::messages::{InstanceState, InstanceStatus, Limits, ProcessId};
use crate::time::Timestamp;
use std::time::Duration;

/// The restart backoff doubles this often at most, so that the factor cannot overflow.
const MAX_DOUBLINGS: u32 = 16;

/// A process that serves, or prepares to.
#[derive(Clone, Copy, Debug)]
pub(super) struct Process {
    pub id: ProcessId,
    /// When it became ready.
    pub ready_at: Option<Timestamp>,
    /// When it is killed, unless it becomes ready or sends a heartbeat before.
    pub deadline: Timestamp,
}

/// A place in the fleet: a configuration and an address, in which processes come and go.
#[derive(Clone, Debug, Default)]
pub(super) struct Instance {
    /// The process that serves, or is about to.
    pub current: Option<Process>,
    /// The process that is about to replace it.
    pub successor: Option<Process>,
    /// When the next process starts.
    pub start_at: Option<Timestamp>,
    /// It stays stopped.
    pub stopped: bool,
    /// The number of exits since a process was last stable.
    pub consecutive_failures: u32,
    pub failures: u64,
    pub upgrades: u64,
}

impl Instance {
    /// An instance whose first process is due.
    pub fn due() -> Self {
        Self { start_at: Some(Timestamp::default()), ..Self::default() }
    }

    /// The processes that serve or prepare to.
    pub fn processes(&self) -> impl Iterator<Item = Process> {
        self.current.into_iter().chain(self.successor)
    }

    pub fn holds(&self, process: ProcessId) -> bool {
        self.processes().any(|running| running.id == process)
    }

    pub fn is_successor(&self, process: ProcessId) -> bool {
        self.successor.is_some_and(|successor| successor.id == process)
    }

    pub fn is_serving(&self) -> bool {
        self.current.is_some_and(|current| current.ready_at.is_some())
    }

    /// Counts an exit, and returns the backoff before the next process starts.
    ///
    /// `ready_at` is when the process that exited became ready, if it did.
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
