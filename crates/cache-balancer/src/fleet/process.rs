//! The processes of a fleet: their start, what they tell (sd_notify(3)), and their end.

use crate::handover::program;
use balancer_core::supervise::{Event, ProcessId};
use rustix::process::{kill_process, Pid, Signal};
use std::io;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::Duration;
use tokio::net::UnixDatagram;
use tokio::process::Command;
use tokio::sync::mpsc::UnboundedSender;
use tokio::task::spawn_local;

/// The longest word that is read of a process.
const WORD: usize = 4 << 10;

/// A process that was started.
#[derive(Debug)]
pub struct Process {
    pub pid: Pid,
}

impl Process {
    /// Starts one that serves from this file, and has `events` hear of it. It ends with this process.
    pub fn start(
        id: ProcessId,
        file: &Path,
        alive_within: Duration,
        events: UnboundedSender<Event>,
    ) -> io::Result<Self> {
        let socket = file.with_extension(format!("{id}.notify"));
        let words = UnixDatagram::bind(&socket)?;
        let mut command = Command::new(program());
        command.arg("run").arg("--with-parent").arg("--config").arg(file);
        // Those of this process's own manager are not the instance's.
        for variable in ["WATCHDOG_PID", "LISTEN_PID", "LISTEN_FDS", "LISTEN_FDNAMES"] {
            command.env_remove(variable);
        }
        command.env("NOTIFY_SOCKET", &socket).env("WATCHDOG_USEC", alive_within.as_micros().to_string());
        let mut child =
            command.stdin(Stdio::null()).stdout(Stdio::null()).spawn().inspect_err(|_| remove(&socket))?;
        let pid = child.id().and_then(|id| Pid::from_raw(id as i32)).ok_or(io::ErrorKind::NotFound)?;
        spawn_local(async move {
            let told = events.clone();
            let hearing = spawn_local(async move {
                let mut bytes = [0; WORD];
                while let Ok(length) = words.recv(&mut bytes).await {
                    for word in String::from_utf8_lossy(&bytes[..length]).lines() {
                        let event = match word {
                            "READY=1" => Event::Ready(id),
                            "WATCHDOG=1" => Event::Alive(id),
                            _ => continue,
                        };
                        // The supervisor only goes with the whole program.
                        let _ = told.send(event);
                    }
                }
            });
            // It fails only where the process was waited for already.
            let _ = child.wait().await;
            hearing.abort();
            remove(&socket);
            let _ = events.send(Event::Ended(id));
        });
        Ok(Self { pid })
    }

    /// Sends it a signal.
    pub fn signal(&self, signal: Signal) {
        // It may have ended by itself.
        let _ = kill_process(self.pid, signal);
    }
}

fn remove(socket: &PathBuf) {
    // Nobody needs it, and the folder goes with the fleet.
    let _ = std::fs::remove_file(socket);
}
