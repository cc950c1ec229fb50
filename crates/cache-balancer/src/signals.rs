//! The signals that the daemon and a fleet handle alike.

use std::io;
use tokio::signal::unix::{signal, Signal, SignalKind};

#[derive(Debug)]
pub struct Signals {
    /// SIGTERM: stop.
    pub terminate: Signal,
    /// SIGHUP: read the configuration again.
    pub reload: Signal,
    /// SIGUSR2: upgrade to the program that is at the path by now.
    pub upgrade: Signal,
}

impl Signals {
    /// Installs the handlers. Without them, each of the signals ends the process.
    pub fn install() -> io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            reload: signal(SignalKind::hangup())?,
            upgrade: signal(SignalKind::user_defined2())?,
        })
    }
}
