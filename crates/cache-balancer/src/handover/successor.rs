//! SIGUSR2: this process starts its own successor, from the program that stands at its path by now.

use crate::log::log;
use std::ffi::OsString;
use std::os::unix::ffi::{OsStrExt, OsStringExt};
use std::path::PathBuf;
use tokio::process::{Child, Command};

/// One that was started, as long as it lives.
#[derive(Debug, Default)]
pub struct Successor(Option<Child>);

impl Successor {
    /// Starts one with the arguments that this process was started with, unless one is under way.
    pub fn start(&mut self) {
        if let Some(child) = &mut self.0 {
            if matches!(child.try_wait(), Ok(None)) {
                log!("hand-over: a successor is under way already");
                return;
            }
        }
        let mut command = Command::new(program());
        command.args(std::env::args_os().skip(1));
        // These name the process that the service manager started; what it feeds the watchdog for is the service.
        for variable in ["WATCHDOG_PID", "LISTEN_PID", "LISTEN_FDS", "LISTEN_FDNAMES"] {
            command.env_remove(variable);
        }
        match command.spawn() {
            Ok(child) => {
                log!("hand-over: successor {} started", child.id().unwrap_or_default());
                self.0 = Some(child);
            }
            Err(error) => log!("hand-over: no successor: {error}"),
        }
    }

    /// Waits for the end of the one that was started. Dropped before that, it loses nothing.
    pub async fn ended(&mut self) {
        let Some(child) = &mut self.0 else { return std::future::pending().await };
        match child.wait().await {
            Ok(status) => log!("hand-over: the successor has ended: {status}"),
            Err(error) => log!("hand-over: the successor is lost: {error}"),
        }
        self.0 = None;
    }
}

/// The path of this program. Linux marks that of one that was replaced since.
pub fn program() -> PathBuf {
    let path =
        std::env::current_exe().unwrap_or_else(|_| std::env::args_os().next().unwrap_or_default().into());
    let bytes = path.as_os_str().as_bytes();
    let replaced = bytes.strip_suffix(b" (deleted)").map(|bytes| OsString::from_vec(bytes.to_vec()));
    replaced.map_or(path.clone(), PathBuf::from)
}
