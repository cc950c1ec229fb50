//! The process at the other end of a link: whether it lives, and signals to it past the link.

use rustix::event::{poll, PollFd, PollFlags, Timespec};
use rustix::process::{pidfd_open, pidfd_send_signal, Pid, PidfdFlags, Signal};
use std::io;
use std::os::fd::OwnedFd;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// A process that dies closes its links a moment before the system reports it dead.
const DEATH_DELAY: Duration = Duration::from_millis(100);
/// The poll interval while the death of a process is awaited, once its link has ended.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// The process at the other end of a link. A descriptor holds it (pidfd_open(2)), so that no later process of the same
/// number is mistaken for it.
#[derive(Debug)]
pub(super) struct Peer {
    /// Its process number; `None` where the system does not report it.
    pub pid: Option<u32>,
    pidfd: Option<OwnedFd>,
}

impl Peer {
    /// The live process of this number. Where the system does not report it, as between containers, the process counts as
    /// dead once its link has ended.
    pub fn new(pid: Option<u32>) -> Self {
        let open = |pid: u32| pidfd_open(Pid::from_raw(pid as i32)?, PidfdFlags::empty()).ok();
        Self { pid, pidfd: pid.and_then(open) }
    }

    /// Waits for its death. To be called once the link has ended. Cancel safe.
    pub async fn died(&self) {
        while self.is_alive() {
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Returns whether it has died. To be called once the link has ended.
    pub async fn has_died(&self) -> bool {
        timeout(DEATH_DELAY, self.died()).await.is_ok()
    }

    /// Sends it a signal. An error if it is not alive.
    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        match &self.pidfd {
            Some(pidfd) => Ok(pidfd_send_signal(pidfd, signal)?),
            None => Err(io::ErrorKind::NotFound.into()),
        }
    }

    fn is_alive(&self) -> bool {
        let Some(pidfd) = &self.pidfd else { return false };
        let no_wait = Timespec { tv_sec: 0, tv_nsec: 0 };
        // It becomes readable once the process has ended.
        poll(&mut [PollFd::new(pidfd, PollFlags::IN)], Some(&no_wait)) == Ok(0)
    }
}
