//! The process at the other end of a link: checks whether it is alive and sends it signals.

use rustix::event::{poll, PollFd, PollFlags, Timespec};
use rustix::process::{pidfd_open, pidfd_send_signal, Pid, PidfdFlags, Signal};
use std::io;
use std::os::fd::OwnedFd;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// Time to wait for the death of a process whose link has ended: a dying process closes its links shortly
/// before the system reports it as dead.
const DEATH_DELAY: Duration = Duration::from_millis(100);
/// Interval between checks for the death of a process whose link has ended.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// The process at the other end of a link. It is referred to by a pidfd (pidfd_open(2)), so that a later
/// process with the same PID cannot be mistaken for it.
#[derive(Debug)]
pub(super) struct Peer {
    /// Process ID; `None` if the system does not report it.
    pub pid: Option<u32>,
    pidfd: Option<OwnedFd>,
}

impl Peer {
    /// Opens a pidfd of the running process with this PID. If the system does not report the PID, as between
    /// containers, the process counts as dead once its link has ended.
    pub fn new(pid: Option<u32>) -> Self {
        let open = |pid: u32| pidfd_open(Pid::from_raw(pid as i32)?, PidfdFlags::empty()).ok();
        Self { pid, pidfd: pid.and_then(open) }
    }

    /// Waits for the death of the process. Must be called only after the link has ended. Cancel safe.
    pub async fn died(&self) {
        while self.is_alive() {
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Returns whether the process has died, after waiting up to [`DEATH_DELAY`]. Must be called only after
    /// the link has ended.
    pub async fn has_died(&self) -> bool {
        timeout(DEATH_DELAY, self.died()).await.is_ok()
    }

    /// Sends the process a signal. Fails if the process is not alive.
    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        match &self.pidfd {
            Some(pidfd) => Ok(pidfd_send_signal(pidfd, signal)?),
            None => Err(io::ErrorKind::NotFound.into()),
        }
    }

    fn is_alive(&self) -> bool {
        let Some(pidfd) = &self.pidfd else { return false };
        let no_wait = Timespec { tv_sec: 0, tv_nsec: 0 };
        // A pidfd becomes readable once its process has ended.
        poll(&mut [PollFd::new(pidfd, PollFlags::IN)], Some(&no_wait)) == Ok(0)
    }
}
