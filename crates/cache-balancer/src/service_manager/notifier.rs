//! The thread that sends notifications. A write to the socket of a service manager that reads nothing blocks, and must not
//! hold up requests.

use crate::log::log;
use sd_notify::NotifyState;
use std::io;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::Arc;
use tokio::sync::oneshot;

#[derive(Debug)]
pub(super) enum Notification {
    Ready,
    /// The main process of the service has this number.
    MainProcess(u32),
    Reloading,
    Stopping,
    Watchdog,
    Status(String),
    /// Not sent: answered once everything before it is sent.
    Flush(oneshot::Sender<()>),
}

/// A queue to the thread. Unbounded, since a lost `READY=1` would leave the start pending at the manager. It holds a few
/// notifications per pool at the start, two at the end, and at most one of the watchdog.
#[derive(Clone, Debug)]
pub(super) struct Notifier {
    queue: Sender<Notification>,
    /// A notification of the watchdog is queued.
    watchdog_queued: Arc<AtomicBool>,
}

impl Notifier {
    /// Starts the thread; `None` if the system has none left.
    pub fn start() -> Option<Self> {
        let (queue, notifications) = channel();
        let watchdog_queued = Arc::new(AtomicBool::new(false));
        let queued = watchdog_queued.clone();
        let thread = std::thread::Builder::new().name("manager".into());
        match thread.spawn(move || send_all(notifications, &queued)) {
            Ok(_) => Some(Self { queue, watchdog_queued }),
            Err(error) => {
                log!("the service manager is not notified: {error}");
                None
            }
        }
    }

    pub fn notify(&self, notification: Notification) {
        let is_watchdog = matches!(notification, Notification::Watchdog);
        if is_watchdog && self.watchdog_queued.swap(true, Ordering::Relaxed) {
            return;
        }
        // The thread ends with the process.
        let _ = self.queue.send(notification);
    }
}

/// Sends notifications until the queue is closed. Logs the first failure of each series.
fn send_all(notifications: Receiver<Notification>, watchdog_queued: &AtomicBool) {
    let mut failed = false;
    for notification in notifications {
        let result = match notification {
            Notification::Flush(flushed) => {
                // The process that waits may have given up.
                let _ = flushed.send(());
                continue;
            }
            Notification::Ready => sd_notify::notify(&[NotifyState::Ready]),
            Notification::MainProcess(process) => sd_notify::notify(&[NotifyState::MainPid(process)]),
            Notification::Reloading => send_reloading(),
            Notification::Stopping => sd_notify::notify(&[NotifyState::Stopping]),
            Notification::Watchdog => {
                let result = sd_notify::notify(&[NotifyState::Watchdog]);
                watchdog_queued.store(false, Ordering::Relaxed);
                result
            }
            Notification::Status(text) => sd_notify::notify(&[NotifyState::Status(&text)]),
        };
        if let Err(error) = &result {
            if !failed {
                log!("the service manager is not notified: {error}");
            }
        }
        failed = result.is_err();
    }
}

fn send_reloading() -> io::Result<()> {
    let now = NotifyState::monotonic_usec_now()?;
    sd_notify::notify(&[NotifyState::Reloading, now])
}
