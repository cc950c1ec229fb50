//! The signals that the daemon and the fleet supervisor handle.

use std::io;
use tokio::signal::unix::{signal, Signal, SignalKind};

/// Streams of the handled signals.
#[derive(Debug)]
pub struct Signals {
    /// SIGTERM: stops the process.
    pub terminate: Signal,
    /// SIGHUP: reloads the configuration.
    pub reload: Signal,
    /// SIGUSR2: upgrades to the executable that is now at this program's path.
    pub upgrade: Signal,
}

impl Signals {
    /// Installs the handlers. Without a handler, each of these signals ends the process.
    pub fn install() -> io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            reload: signal(SignalKind::hangup())?,
            upgrade: signal(SignalKind::user_defined2())?,
        })
    }
}
