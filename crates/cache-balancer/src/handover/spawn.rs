//! SIGUSR2: this process starts its own successor, from the program that is at its path by now.

use crate::log::log;
use std::ffi::OsString;
use std::os::unix::ffi::{OsStrExt, OsStringExt};
use std::path::PathBuf;
use tokio::process::{Child, Command};

/// Variables of the service manager that name one process, and must not reach another one: the process that it started,
/// and the sockets that it passed to that.
pub const PER_PROCESS_VARIABLES: [&str; 4] = ["WATCHDOG_PID", "LISTEN_PID", "LISTEN_FDS", "LISTEN_FDNAMES"];

/// The suffix that Linux adds to the path of a program whose file was replaced.
const DELETED_SUFFIX: &[u8] = b" (deleted)";

/// The successor that this process started, while it lives.
#[derive(Debug, Default)]
pub struct SpawnedSuccessor(Option<Child>);

impl SpawnedSuccessor {
    /// Starts one with the arguments of this process, unless one lives.
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
            Err(error) => log!("hand-over: no successor: {error}"),
        }
    }

    /// Waits for its end; forever without one. Cancel safe.
    pub async fn exited(&mut self) {
        let Some(child) = &mut self.0 else { return std::future::pending().await };
        match child.wait().await {
            Ok(status) => log!("hand-over: the successor has ended: {status}"),
            Err(error) => log!("hand-over: the successor is lost: {error}"),
        }
        self.0 = None;
    }
}

/// The path of this program, also if its file was replaced since the start.
pub fn executable_path() -> PathBuf {
    let path =
        std::env::current_exe().unwrap_or_else(|_| std::env::args_os().next().unwrap_or_default().into());
    let original = path.as_os_str().as_bytes().strip_suffix(DELETED_SUFFIX);
    match original {
        Some(original) => OsString::from_vec(original.to_vec()).into(),
        None => path,
    }
}
