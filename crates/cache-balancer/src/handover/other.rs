//! The process at the other end of a link: whether it lives, and signals to it, past the link.

use rustix::event::{poll, PollFd, PollFlags, Timespec};
use rustix::process::{pidfd_open, pidfd_send_signal, Pid, PidfdFlags, Signal};
use std::io;
use std::os::fd::OwnedFd;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// A process that dies lets go of its links a moment before it counts as dead.
const DYING: Duration = Duration::from_millis(100);
/// It is looked at so often, once its link has ended.
const LOOK: Duration = Duration::from_millis(2);

/// See the module's page. Held by a descriptor (pidfd_open(2)), so that no later process of its number is meant.
#[derive(Debug)]
pub struct Other {
    pub id: Option<u32>,
    process: Option<OwnedFd>,
}

impl Other {
    /// The one of this number, which lives. Where the system does not tell it, as between containers, the link's end
    /// counts as its own.
    pub fn new(id: Option<u32>) -> Self {
        let open = |id: u32| pidfd_open(Pid::from_raw(id as i32)?, PidfdFlags::empty()).ok();
        Self { id, process: id.and_then(open) }
    }

    /// Waits for its end. To be asked once the link has ended, which wakes whoever waits.
    pub async fn ended(&self) {
        while self.lives() {
            sleep(LOOK).await;
        }
    }

    /// Whether it has died, now that the link has ended.
    pub async fn has_died(&self) -> bool {
        timeout(DYING, self.ended()).await.is_ok()
    }

    /// Sends it a signal, if it lives still.
    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        match &self.process {
            Some(process) => Ok(pidfd_send_signal(process, signal)?),
            None => Err(io::ErrorKind::NotFound.into()),
        }
    }

    fn lives(&self) -> bool {
        let Some(process) = &self.process else { return false };
        let at_once = Timespec { tv_sec: 0, tv_nsec: 0 };
        // It can be read once the process has ended.
        poll(&mut [PollFd::new(process, PollFlags::IN)], Some(&at_once)) == Ok(0)
    }
}
