//! What goes into a [`super::Supervisor`] and what comes out.

use crate::time::Timestamp;
use std::fmt;
use std::time::Duration;

/// A process, by a number that is never used twice.
pub type ProcessId = u64;

/// An instance, by its place in the fleet, from 0 on.
pub type InstanceId = usize;

/// The time limits that hold for all instances.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The wait before a process that exited by itself is restarted. It doubles with each further exit. Default: 200 ms.
    pub restart_backoff: Duration,
    /// The upper bound of the restart backoff. Default: 10 s.
    pub max_restart_backoff: Duration,
    /// A process that has served for this long resets the restart backoff. Default: 10 s.
    pub stable_after: Duration,
    /// A process that is not ready after this is killed. Default: 40 s.
    pub readiness_timeout: Duration,
    /// A process that was told to stop, or has handed over, is killed after this. Includes the time that it stands by.
    /// Default: 20 s.
    pub termination_timeout: Duration,
    /// A serving process without a heartbeat for this long is killed. Default: 10 s.
    pub watchdog_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            restart_backoff: Duration::from_millis(200),
            max_restart_backoff: Duration::from_secs(10),
            stable_after: Duration::from_secs(10),
            readiness_timeout: Duration::from_secs(40),
            termination_timeout: Duration::from_secs(20),
            watchdog_timeout: Duration::from_secs(10),
        }
    }
}

/// What happens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// A process is ready to serve. A process reports it again after each reload, and after a rollback.
    Ready(ProcessId),
    /// A process works.
    Heartbeat(ProcessId),
    /// A process has exited, or could not be started.
    Exited(ProcessId),
    /// Replace all instances by graceful restart, one after the other.
    Upgrade,
    /// Stop this instance, and keep it stopped.
    Drain(InstanceId),
    /// Stop all instances, one after the other, and keep them stopped.
    DrainAll,
    /// Run this instance again.
    Start(InstanceId),
    /// Have all instances read their configuration again.
    Reload,
    /// Stop all instances at once.
    Stop,
    /// Time has passed.
    TimerExpired,
}

/// What has to be done, in the order given.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Start a process for this instance.
    Start {
        /// The instance.
        instance: InstanceId,
        /// The number of the new process.
        process: ProcessId,
    },
    /// Tell a process to stop.
    Terminate(ProcessId),
    /// Kill a process.
    Kill(ProcessId),
    /// Tell a process to read its configuration again.
    Reload(ProcessId),
    /// Deliver [`Event::TimerExpired`] at this time. Replaces the timer set before.
    SetTimer(Timestamp),
    /// Log this.
    Log(Notice),
}

/// A line for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Notice {
    /// An upgrade was requested while another one is in progress.
    UpgradeInProgress,
    /// A process serves for the first time.
    Serving {
        /// The instance.
        instance: InstanceId,
        /// Its process.
        process: ProcessId,
    },
    /// A successor serves.
    TookOver {
        /// The instance.
        instance: InstanceId,
        /// The successor.
        process: ProcessId,
    },
    /// A successor died on probation; the upgrade ends.
    RolledBack {
        /// The instance.
        instance: InstanceId,
        /// The process that serves again.
        process: ProcessId,
    },
    /// A successor exited before it served; the upgrade ends.
    UpgradeFailed {
        /// The instance.
        instance: InstanceId,
        /// The successor.
        process: ProcessId,
    },
    /// A process exited by itself.
    Restarting {
        /// The instance.
        instance: InstanceId,
        /// The process that exited.
        process: ProcessId,
        /// The wait before the next one starts.
        backoff: Duration,
    },
    /// A process exceeded its time limit.
    Killed(ProcessId),
}

impl fmt::Display for Notice {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::UpgradeInProgress => f.write_str("a rolling upgrade is already in progress"),
            Self::Serving { instance, process } => write!(f, "instance {instance}: process {process} serves"),
            Self::TookOver { instance, process } => {
                write!(f, "instance {instance}: process {process} has taken over")
            }
            Self::RolledBack { instance, process } => write!(
                f,
                "instance {instance}: process {process} serves again, since its successor has died; \
                 no more instances are replaced"
            ),
            Self::UpgradeFailed { instance, process } => write!(
                f,
                "instance {instance}: process {process} exited before it took over; no more instances are replaced"
            ),
            Self::Restarting { instance, process, backoff } => write!(
                f,
                "instance {instance}: process {process} exited by itself; another one starts in {backoff:?}"
            ),
            Self::Killed(process) => write!(f, "process {process} exceeded its time limit and is killed"),
        }
    }
}

/// What an instance is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InstanceState {
    /// A process prepares to serve.
    Starting,
    /// A process serves.
    Serving,
    /// A process serves, and its successor prepares.
    Upgrading,
    /// Its process exited by itself, and another one starts after the backoff.
    BackingOff,
    /// Its process was told to stop.
    Draining,
    /// It stays stopped.
    Stopped,
}

impl InstanceState {
    /// The name that `cache-balancer fleet` prints.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Starting => "starting",
            Self::Serving => "serving",
            Self::Upgrading => "rolling",
            Self::BackingOff => "waiting",
            Self::Draining => "draining",
            Self::Stopped => "stopped",
        }
    }
}

/// A report on one instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InstanceStatus {
    /// What it is doing.
    pub state: InstanceState,
    /// The process that serves, or is about to.
    pub process: Option<ProcessId>,
    /// The number of processes that exited by themselves.
    pub failures: u64,
    /// The number of processes that took over from another one.
    pub upgrades: u64,
}
