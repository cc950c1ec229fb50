//! The processes of a fleet: their start, their notifications (sd_notify(3)), and their exit.

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

/// The longest notification.
const MAX_NOTIFICATION_BYTES: usize = 4 << 10;

/// A process that was started.
#[derive(Debug)]
pub(super) struct Process {
    pub pid: Pid,
}

impl Process {
    /// Starts a process that serves from `file`, and reports to `events` what it does. It ends with this process.
    pub fn start(
        id: ProcessId,
        file: &Path,
        watchdog_timeout: Duration,
        events: UnboundedSender<Event>,
    ) -> io::Result<Self> {
        let path = file.with_extension(format!("{id}.notify"));
        let socket = UnixDatagram::bind(&path)?;
        let child = spawn(file, &path, watchdog_timeout).inspect_err(|_| remove(&path))?;
        let pid = child.id().and_then(|id| Pid::from_raw(id as i32)).ok_or(io::ErrorKind::NotFound)?;
        spawn_local(report(id, child, socket, path, events));
        Ok(Self { pid })
    }

    /// Sends it a signal.
    pub fn signal(&self, signal: Signal) {
        // It may have exited by itself.
        let _ = kill_process(self.pid, signal);
    }
}

fn spawn(file: &Path, notify_socket: &Path, watchdog_timeout: Duration) -> io::Result<Child> {
    let mut command = Command::new(executable_path());
    command.arg("run").arg("--with-parent").arg("--config").arg(file);
    // They would name the process that this process's own service manager started.
    for variable in PER_PROCESS_VARIABLES {
        command.env_remove(variable);
    }
    command.env("NOTIFY_SOCKET", notify_socket);
    command.env("WATCHDOG_USEC", watchdog_timeout.as_micros().to_string());
    command.stdin(Stdio::null()).stdout(Stdio::null()).spawn()
}

/// Reports the notifications of a process, and its exit.
async fn report(
    id: ProcessId,
    mut child: Child,
    socket: UnixDatagram,
    path: PathBuf,
    events: UnboundedSender<Event>,
) {
    let receiving = spawn_local(receive(id, socket, events.clone()));
    // An error means that the exit is known already.
    let _ = child.wait().await;
    receiving.abort();
    remove(&path);
    // The receiver ends with the whole program.
    let _ = events.send(Event::Exited(id));
}

async fn receive(id: ProcessId, socket: UnixDatagram, events: UnboundedSender<Event>) {
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

fn remove(socket: &Path) {
    // A socket that is left goes with the folder.
    let _ = std::fs::remove_file(socket);
}
