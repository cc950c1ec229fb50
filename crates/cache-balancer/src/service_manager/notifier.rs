//! Sends notifications from a separate thread. A write blocks if the service manager does not read its
//! socket, and must not delay requests.

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
    /// The PID of the main process of the service.
    MainProcess(u32),
    Reloading,
    Stopping,
    Watchdog,
    Status(String),
    /// Not sent to the service manager. Acknowledged once all earlier notifications are sent.
    Flush(oneshot::Sender<()>),
}

/// The queue of the sending thread. The queue is unbounded, because the service manager would wait for the
/// start forever if `READY=1` were lost. It holds a few notifications per pool at the start, two at the end,
/// and at most one of the watchdog.
#[derive(Clone, Debug)]
pub(super) struct Notifier {
    queue: Sender<Notification>,
    /// Whether a notification of the watchdog is queued.
    watchdog_queued: Arc<AtomicBool>,
}

impl Notifier {
    /// Starts the thread. Returns `None` if the system cannot create one.
    pub fn start() -> Option<Self> {
        let (queue, notifications) = channel();
        let watchdog_queued = Arc::new(AtomicBool::new(false));
        let queued = watchdog_queued.clone();
        let thread = std::thread::Builder::new().name("manager".into());
        match thread.spawn(move || send_all(notifications, &queued)) {
            Ok(_) => Some(Self { queue, watchdog_queued }),
            Err(error) => {
                log!("cannot notify the service manager: {error}");
                None
            }
        }
    }

    pub fn notify(&self, notification: Notification) {
        let is_watchdog = matches!(notification, Notification::Watchdog);
        if is_watchdog && self.watchdog_queued.swap(true, Ordering::Relaxed) {
            return;
        }
        // The thread runs until the process ends.
        let _ = self.queue.send(notification);
    }
}

/// Sends notifications until the queue is closed. Logs the first failure of each series.
fn send_all(notifications: Receiver<Notification>, watchdog_queued: &AtomicBool) {
    let mut failed = false;
    for notification in notifications {
        let result = match notification {
            Notification::Flush(flushed) => {
                // The waiting task may have timed out.
                let _ = flushed.send(());
                continue;
            }
            Notification::Ready => sd_notify::notify(&[NotifyState::Ready]),
            Notification::MainProcess(pid) => sd_notify::notify(&[NotifyState::MainPid(pid)]),
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
                log!("cannot notify the service manager: {error}");
            }
        }
        failed = result.is_err();
    }
}

fn send_reloading() -> io::Result<()> {
    let now = NotifyState::monotonic_usec_now()?;
    sd_notify::notify(&[NotifyState::Reloading, now])
}
