//! Starts a successor on SIGUSR2, from the executable that is now at this program's path.

use crate::log::log;
use std::ffi::OsString;
use std::os::unix::ffi::{OsStrExt, OsStringExt};
use std::path::PathBuf;
use tokio::process::{Child, Command};

/// Environment variables of the service manager that apply only to the process it started: that process's PID
/// and the sockets passed to it. Child processes must not inherit them.
pub const PER_PROCESS_VARIABLES: [&str; 4] = ["WATCHDOG_PID", "LISTEN_PID", "LISTEN_FDS", "LISTEN_FDNAMES"];

/// Suffix that Linux adds to the path of a running executable whose file was replaced.
const DELETED_SUFFIX: &[u8] = b" (deleted)";

/// Successor that this process started, while it runs.
#[derive(Debug, Default)]
pub struct SpawnedSuccessor(Option<Child>);

impl SpawnedSuccessor {
    /// Starts a successor with the arguments of this process, unless one is already running.
    pub fn start(&mut self) {
        if let Some(child) = &mut self.0 {
            if matches!(child.try_wait(), Ok(None)) {
                log!("hand-over: a successor is already running");
                return;
            }
        }
        let mut command = Command::new(executable_path());
        command.args(std::env::args_os().skip(1));
        for variable in PER_PROCESS_VARIABLES {
            command.env_remove(variable);
        }
        match command.spawn() {
            Ok(child) => {
                log!("hand-over: successor {} started", child.id().unwrap_or_default());
                self.0 = Some(child);
            }
            Err(error) => log!("hand-over: starting a successor failed: {error}"),
        }
    }

    /// Waits until the successor has exited; waits forever if there is none. Cancel safe.
    pub async fn exited(&mut self) {
        let Some(child) = &mut self.0 else { return std::future::pending().await };
        match child.wait().await {
            Ok(status) => log!("hand-over: the successor has exited: {status}"),
            Err(error) => log!("hand-over: waiting for the successor's exit failed: {error}"),
        }
        self.0 = None;
    }
}

/// Returns the path of this program's executable, even if the file was replaced since the start.
pub fn executable_path() -> PathBuf {
    let path =
        std::env::current_exe().unwrap_or_else(|_| std::env::args_os().next().unwrap_or_default().into());
    let original = path.as_os_str().as_bytes().strip_suffix(DELETED_SUFFIX);
    match original {
        Some(original) => OsString::from_vec(original.to_vec()).into(),
        None => path,
    }
}
