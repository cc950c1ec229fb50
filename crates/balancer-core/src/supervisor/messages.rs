//! The input and output types of a [`super::Supervisor`].

use crate::time::Timestamp;
use std::fmt;
use std::time::Duration;

/// Number of a process, which is never reused.
pub type ProcessId = u64;

/// Index of an instance in the fleet, starting at 0.
pub type InstanceId = usize;

/// The time limits of all instances.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Wait before a process that exited unexpectedly is restarted. It doubles with each further exit.
    /// Default: 200 ms.
    pub restart_backoff: Duration,
    /// Upper bound of the restart backoff. Default: 10 s.
    pub max_restart_backoff: Duration,
    /// The restart backoff is reset once a process has served for this long. Default: 10 s.
    pub stable_after: Duration,
    /// A process that is not ready after this time is killed. Default: 40 s.
    pub readiness_timeout: Duration,
    /// A process that was told to stop or has handed over is killed after this time, which includes its time
    /// on standby. Default: 20 s.
    pub termination_timeout: Duration,
    /// A serving process that sends no heartbeat for this long is killed. Default: 10 s.
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

/// An input of the supervisor: a report on a process, a command, or an expired timer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// A process is ready to serve. A process reports it again after each reload, and after a rollback.
    Ready(ProcessId),
    /// A process sent a heartbeat.
    Heartbeat(ProcessId),
    /// A process has exited, or could not be started.
    Exited(ProcessId),
    /// Replace the process of each instance by graceful restart, one instance after the other.
    Upgrade,
    /// Stop this instance, and keep it stopped.
    Drain(InstanceId),
    /// Stop all instances, one after the other, and keep them stopped.
    DrainAll,
    /// Run this instance again.
    Start(InstanceId),
    /// Have all instances reload their configuration.
    Reload,
    /// Stop all instances at once.
    Stop,
    /// The timer set by [`Action::SetTimer`] has expired. The first event of this kind starts the fleet.
    TimerExpired,
}

/// An action that the caller has to carry out, in the order given.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Start a process for this instance.
    Start {
        /// The instance.
        instance: InstanceId,
        /// Number of the new process.
        process: ProcessId,
    },
    /// Tell a process to stop.
    Terminate(ProcessId),
    /// Kill a process.
    Kill(ProcessId),
    /// Tell a process to reload its configuration.
    Reload(ProcessId),
    /// Deliver [`Event::TimerExpired`] at this time. Replaces the previous timer.
    SetTimer(Timestamp),
    /// Log this notice.
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
    /// A successor serves for the first time.
    TookOver {
        /// The instance.
        instance: InstanceId,
        /// The successor.
        process: ProcessId,
    },
    /// A successor died on probation, which ends the upgrade.
    RolledBack {
        /// The instance.
        instance: InstanceId,
        /// The predecessor, which serves again.
        process: ProcessId,
    },
    /// A successor exited before it served, which ends the upgrade.
    UpgradeFailed {
        /// The instance.
        instance: InstanceId,
        /// The successor.
        process: ProcessId,
    },
    /// A process exited unexpectedly.
    Restarting {
        /// The instance.
        instance: InstanceId,
        /// The process that exited.
        process: ProcessId,
        /// Wait before the next one starts.
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
                "instance {instance}: process {process} exited before it took over; \
                 no more instances are replaced"
            ),
            Self::Restarting { instance, process, backoff } => write!(
                f,
                "instance {instance}: process {process} exited unexpectedly; \
                 the next process starts in {backoff:?}"
            ),
            Self::Killed(process) => write!(f, "process {process} exceeded its time limit and is killed"),
        }
    }
}

/// State of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InstanceState {
    /// A process prepares to serve.
    Starting,
    /// A process serves.
    Serving,
    /// A process serves while its successor prepares.
    Upgrading,
    /// The process exited unexpectedly, and the next one starts after the backoff.
    BackingOff,
    /// The process was told to stop.
    Draining,
    /// The instance stays stopped.
    Stopped,
}

impl InstanceState {
    /// Returns the name that `cache-balancer fleet` prints.
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

/// Status of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InstanceStatus {
    /// State of the instance.
    pub state: InstanceState,
    /// The process that serves or is about to serve.
    pub process: Option<ProcessId>,
    /// Number of processes that exited unexpectedly.
    pub failures: u64,
    /// Number of processes that took over from another one.
    pub upgrades: u64,
}
