//! Starts the processes of a fleet and reports their notifications (sd_notify(3)) and exits.

use crate::handover::{executable_path, PER_PROCESS_VARIABLES};
use balancer_core::supervisor::{Event, ProcessId};
use rustix::process::{kill_process, Pid, Signal};
use std::io;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::Duration;
use tokio::net::UnixDatagram;
use tokio::process::{Child, Command};
use tokio::sync::mpsc::UnboundedSender;
use tokio::task::spawn_local;

/// Maximum length of a notification.
const MAX_NOTIFICATION_BYTES: usize = 4 << 10;

/// A started process of a fleet.
#[derive(Debug)]
pub(super) struct Process {
    pub pid: Pid,
}

impl Process {
    /// Starts a process that serves the configuration in `file`, and reports its notifications and exit to
    /// `events`. It exits when this process does.
    pub fn start(
        id: ProcessId,
        file: &Path,
        watchdog_timeout: Duration,
        events: UnboundedSender<Event>,
    ) -> io::Result<Self> {
        let path = file.with_extension(format!("{id}.notify"));
        let socket = UnixDatagram::bind(&path)?;
        let child = spawn(file, &path, watchdog_timeout).inspect_err(|_| remove_socket(&path))?;
        let pid = child.id().and_then(|id| Pid::from_raw(id as i32)).ok_or(io::ErrorKind::NotFound)?;
        spawn_local(report_events(id, child, socket, path, events));
        Ok(Self { pid })
    }

    /// Sends the process a signal.
    pub fn signal(&self, signal: Signal) {
        // The process may have exited already.
        let _ = kill_process(self.pid, signal);
    }
}

fn spawn(file: &Path, notify_socket: &Path, watchdog_timeout: Duration) -> io::Result<Child> {
    let mut command = Command::new(executable_path());
    command.arg("run").arg("--with-parent").arg("--config").arg(file);
    // These variables describe this process to its own service manager and do not apply to the new process.
    for variable in PER_PROCESS_VARIABLES {
        command.env_remove(variable);
    }
    command.env("NOTIFY_SOCKET", notify_socket);
    command.env("WATCHDOG_USEC", watchdog_timeout.as_micros().to_string());
    command.stdin(Stdio::null()).stdout(Stdio::null()).spawn()
}

/// Reports the notifications and the exit of a process.
async fn report_events(
    id: ProcessId,
    mut child: Child,
    socket: UnixDatagram,
    path: PathBuf,
    events: UnboundedSender<Event>,
) {
    let receiving = spawn_local(receive_notifications(id, socket, events.clone()));
    // An error means that the exit was already observed.
    let _ = child.wait().await;
    receiving.abort();
    remove_socket(&path);
    // Sending fails only when the whole program ends.
    let _ = events.send(Event::Exited(id));
}

async fn receive_notifications(id: ProcessId, socket: UnixDatagram, events: UnboundedSender<Event>) {
    let mut bytes = [0; MAX_NOTIFICATION_BYTES];
    while let Ok(length) = socket.recv(&mut bytes).await {
        for line in String::from_utf8_lossy(&bytes[..length]).lines() {
            let event = match line {
                "READY=1" => Event::Ready(id),
                "WATCHDOG=1" => Event::Heartbeat(id),
                _ => continue,
            };
            let _ = events.send(event);
        }
    }
}

fn remove_socket(socket: &Path) {
    // If this fails, the socket is removed with the folder.
    let _ = std::fs::remove_file(socket);
}
