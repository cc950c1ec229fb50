//! The service manager: notified of the node's state by the protocol of sd_notify(3), and asked for listening sockets by
//! that of sd_listen_fds(3). Without a service manager, both do nothing.

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

/// The time for which a process that exits waits until its last notifications are sent.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(1);

/// A handle to the service manager. Its methods do not block.
#[derive(Clone, Debug)]
pub struct ServiceManager(Option<Notifier>);

impl ServiceManager {
    /// No service manager.
    pub fn none() -> Self {
        Self(None)
    }

    /// The service manager that the environment names, if any.
    pub fn from_env() -> Self {
        match std::env::var_os("NOTIFY_SOCKET") {
            Some(_) => Self(Notifier::start()),
            None => Self::none(),
        }
    }

    /// The node can serve.
    pub fn notify_ready(&self) {
        self.notify(Notification::Status("serving".into()));
        self.notify(Notification::Ready);
    }

    /// The node reads its configuration again. [`Self::notify_ready`] or [`Self::notify_reload_failed`] ends it.
    pub fn notify_reloading(&self) {
        self.notify(Notification::Status("reloading".into()));
        self.notify(Notification::Reloading);
    }

    /// The node serves with the configuration from before, since the new one cannot be used.
    pub fn notify_reload_failed(&self, error: &str) {
        let first_line = error.lines().next().unwrap_or_default();
        self.notify(Notification::Status(format!("serving as before: {first_line}")));
        self.notify(Notification::Ready);
    }

    /// The node serves again, since its successor has died.
    pub fn notify_rolled_back(&self) {
        self.notify_main_process(std::process::id());
        let status = "serving: the successor has died, and its clients were taken back";
        self.notify(Notification::Status(status.into()));
        self.notify(Notification::Ready);
    }

    /// This process is the main process of the service.
    pub fn notify_main_process(&self, process: u32) {
        self.notify(Notification::MainProcess(process));
    }

    /// The node was told to stop.
    pub fn notify_stopping(&self) {
        self.notify(Notification::Stopping);
        self.notify(Notification::Status("stopping: finishing what was taken".into()));
    }

    /// Sets the status that the service manager shows to people.
    pub fn notify_status(&self, text: impl Into<String>) {
        self.notify(Notification::Status(text.into()));
    }

    /// Waits until all notifications are sent, for [`FLUSH_TIMEOUT`] at the most: a service manager that reads nothing must
    /// not keep the process alive.
    pub async fn flush(&self) {
        if self.0.is_none() {
            return;
        }
        let (flushed, done) = oneshot::channel();
        self.notify(Notification::Flush(flushed));
        // Once the time is up, or the thread has ended, nothing more can be done.
        let _ = timeout(FLUSH_TIMEOUT, done).await;
    }

    /// Feeds the watchdog for as long as all drivers answer, if the service manager has one.
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
