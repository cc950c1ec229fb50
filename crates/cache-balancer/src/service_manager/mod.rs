//! The interface to the service manager: sd_notify(3) reports the node's state, and sd_listen_fds(3) passes
//! listening sockets to the node. Without a service manager, both do nothing.

mod activation;
mod notifier;
mod watchdog;

pub use activation::{ActivationError, ActivationSockets};

use crate::input::DriverInput;
use notifier::{Notification, Notifier};
use std::time::Duration;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::{oneshot, watch};
use tokio::time::timeout;

/// How long an exiting process waits for its last notifications to be sent.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(1);

/// A handle to the service manager. Its methods do not block.
#[derive(Clone, Debug)]
pub struct ServiceManager(Option<Notifier>);

impl ServiceManager {
    /// Returns a handle that discards all notifications.
    pub fn none() -> Self {
        Self(None)
    }

    /// Returns a handle to the service manager that `NOTIFY_SOCKET` names, if it is set.
    pub fn from_env() -> Self {
        match std::env::var_os("NOTIFY_SOCKET") {
            Some(_) => Self(Notifier::start()),
            None => Self::none(),
        }
    }

    /// Reports that the node can serve.
    pub fn notify_ready(&self) {
        self.notify(Notification::Status("serving".into()));
        self.notify(Notification::Ready);
    }

    /// Reports the start of a reload. [`Self::notify_ready`] or [`Self::notify_reload_failed`] reports its
    /// end.
    pub fn notify_reloading(&self) {
        self.notify(Notification::Status("reloading".into()));
        self.notify(Notification::Reloading);
    }

    /// Reports that the new configuration was rejected, and that the node serves with the previous one.
    pub fn notify_reload_failed(&self, error: &str) {
        let first_line = error.lines().next().unwrap_or_default();
        self.notify(Notification::Status(format!("serving with the previous configuration: {first_line}")));
        self.notify(Notification::Ready);
    }

    /// Reports that this process serves again, because its successor has died.
    pub fn notify_rolled_back(&self) {
        self.notify_main_process(std::process::id());
        let status = "serving: the successor has died, and this process accepts connections again";
        self.notify(Notification::Status(status.into()));
        self.notify(Notification::Ready);
    }

    /// Reports the PID of the main process of the service.
    pub fn notify_main_process(&self, pid: u32) {
        self.notify(Notification::MainProcess(pid));
    }

    /// Reports that the node is stopping.
    pub fn notify_stopping(&self) {
        self.notify(Notification::Stopping);
        self.notify(Notification::Status("stopping: finishing the accepted requests".into()));
    }

    /// Sets the status text that the service manager displays.
    pub fn notify_status(&self, text: impl Into<String>) {
        self.notify(Notification::Status(text.into()));
    }

    /// Waits until all notifications are sent, but no longer than [`FLUSH_TIMEOUT`]: a service manager that
    /// does not read its socket must not keep the process alive.
    pub async fn flush(&self) {
        if self.0.is_none() {
            return;
        }
        let (flushed, done) = oneshot::channel();
        self.notify(Notification::Flush(flushed));
        // After a timeout, or if the thread has ended, nothing more can be done.
        let _ = timeout(FLUSH_TIMEOUT, done).await;
    }

    /// Feeds the watchdog as long as all drivers respond, if the service manager has enabled it.
    pub async fn feed_watchdog(self, drivers: watch::Receiver<Vec<UnboundedSender<DriverInput>>>) {
        let Some(limit) = sd_notify::watchdog_enabled() else { return };
        watchdog::feed(limit, || drivers.borrow().clone(), || self.notify(Notification::Watchdog)).await;
    }

    fn notify(&self, notification: Notification) {
        if let Some(notifier) = &self.0 {
            notifier.notify(notification);
        }
    }
}
