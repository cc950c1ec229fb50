//! Starts and stops the child processes of a scale run (replicas and hollow nodes), sends them commands and
//! receives their events.

use super::messages::{HollowCommand, HollowEvent, ReplicaCommand, ReplicaEvent};
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::fmt;
use std::io;
use std::path::Path;
use std::process::Stdio;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use thiserror::Error;
use tokio::io::{AsyncBufReadExt, AsyncRead, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::process::{Child, ChildStdin, ChildStdout, Command};
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::time::timeout;

/// Time within which a process must read a command; after it, the process counts as failed.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(60);
/// Time that processes have to exit after [`ChildProcesses::stop`] before they are killed.
const STOP_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum length of the line of an event, in bytes.
const MAX_EVENT_BYTES: u64 = 256 << 20;
/// Maximum length of a line of standard error, in bytes; a longer line is split.
const MAX_ERROR_BYTES: u64 = 4_096;

/// Identifies a child process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ChildId {
    /// The replica of discovery with this number.
    Replica(usize),
    /// The process of hollow nodes with this number.
    Hollow(usize),
}

impl fmt::Display for ChildId {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        match self {
            ChildId::Replica(number) => write!(formatter, "replica {number}"),
            ChildId::Hollow(number) => write!(formatter, "hollow process {number}"),
        }
    }
}

/// An error of a child process.
#[derive(Debug, Error)]
pub enum ChildError {
    /// The process did not start.
    #[error("{process} failed to start: {source}")]
    Start {
        /// The process.
        process: ChildId,
        /// The system error.
        source: io::Error,
    },
    /// The process did not read a command.
    #[error("{process} did not read a command: {source}; last line on standard error: {last_line}")]
    Command {
        /// The process.
        process: ChildId,
        /// The system error.
        source: io::Error,
        /// The last line that the process wrote to standard error.
        last_line: String,
    },
    /// The process ended before it was stopped.
    #[error("{process} ended unexpectedly; last line on standard error: {last_line}")]
    Ended {
        /// The process.
        process: ChildId,
        /// The last line that the process wrote to standard error.
        last_line: String,
    },
    /// The process wrote a line that is not an event.
    #[error("{process} wrote a line that is not an event: {source}")]
    Malformed {
        /// The process.
        process: ChildId,
        /// The parse error.
        source: serde_json::Error,
    },
    /// The process did not send an expected event in time.
    #[error("{process} did not send the expected event within {waited:?}")]
    Silent {
        /// The process.
        process: ChildId,
        /// The time that the run waited.
        waited: Duration,
    },
}

/// An event of a child process, with the number of the process.
#[derive(Debug)]
pub enum ChildEvent {
    /// An event of a replica.
    Replica(usize, ReplicaEvent),
    /// An event of a process of hollow nodes.
    Hollow(usize, HollowEvent),
}

#[derive(Debug)]
struct RunningProcess {
    id: ChildId,
    /// Dropping it kills the process.
    child: Child,
    commands: ChildStdin,
    /// The last line that the process wrote to standard error.
    last_line: Arc<Mutex<String>>,
}

type EventSender = UnboundedSender<Result<ChildEvent, ChildError>>;

/// The child processes of a run. Dropping it kills all of them.
#[derive(Debug)]
pub struct ChildProcesses {
    running: Vec<RunningProcess>,
    sender: EventSender,
    events: UnboundedReceiver<Result<ChildEvent, ChildError>>,
}

impl Default for ChildProcesses {
    fn default() -> Self {
        let (sender, events) = unbounded_channel();
        Self { running: Vec::new(), sender, events }
    }
}

impl ChildProcesses {
    /// Starts a process of `program`, which then waits for its first command.
    ///
    /// # Errors
    /// Returns [`ChildError::Start`] if the process cannot be spawned.
    pub fn start(&mut self, program: &Path, id: ChildId) -> Result<(), ChildError> {
        let failed = |source| ChildError::Start { process: id, source };
        let mut child = command(program, id).spawn().map_err(failed)?;
        let missing = || failed(io::ErrorKind::BrokenPipe.into());
        let commands = child.stdin.take().ok_or_else(missing)?;
        let stdout = child.stdout.take().ok_or_else(missing)?;
        let stderr = child.stderr.take().ok_or_else(missing)?;
        let last_line = Arc::new(Mutex::new(String::new()));
        let (sender, final_line) = (self.sender.clone(), last_line.clone());
        let stderr_reader = tokio::spawn(keep_last_line(stderr, last_line.clone()));
        tokio::spawn(async move {
            let malformed = forward_events(id, stdout, &sender).await;
            // Standard error is read to its end first, since its last line explains why the process ended.
            let _ = stderr_reader.await;
            let last_line = current_line(&final_line);
            let error = malformed.unwrap_or(ChildError::Ended { process: id, last_line });
            // Sending fails if the run has ended by now.
            let _ = sender.send(Err(error));
        });
        self.running.push(RunningProcess { id, child, commands, last_line });
        Ok(())
    }

    /// Sends a command to a replica.
    ///
    /// # Errors
    /// Returns an error if the process does not run or does not read the command in time.
    pub async fn send_to_replica(
        &mut self,
        number: usize,
        command: &ReplicaCommand,
    ) -> Result<(), ChildError> {
        self.send(ChildId::Replica(number), command).await
    }

    /// Sends a command to a process of hollow nodes.
    ///
    /// # Errors
    /// Returns an error if the process does not run or does not read the command in time.
    pub async fn send_to_hollow(&mut self, number: usize, command: &HollowCommand) -> Result<(), ChildError> {
        self.send(ChildId::Hollow(number), command).await
    }

    async fn send(&mut self, id: ChildId, command: &impl Serialize) -> Result<(), ChildError> {
        let Some(running) = self.running.iter_mut().find(|running| running.id == id) else {
            return Err(ChildError::Start { process: id, source: io::ErrorKind::NotFound.into() });
        };
        let written = timeout(COMMAND_TIMEOUT, write_line(&mut running.commands, command)).await;
        let written = written.unwrap_or(Err(io::ErrorKind::TimedOut.into()));
        written.map_err(|source| ChildError::Command {
            process: id,
            source,
            last_line: current_line(&running.last_line),
        })
    }

    /// Waits for the next event of any process.
    ///
    /// # Errors
    /// Returns an error if a process has ended or wrote a line that is not an event.
    pub async fn next_event(&mut self) -> Result<ChildEvent, ChildError> {
        match self.events.recv().await {
            Some(event) => event,
            // Unreachable: `self.sender` keeps the channel open.
            None => std::future::pending().await,
        }
    }

    /// Returns the process ids of the running processes for which `is_selected` is true.
    pub fn process_ids(&self, is_selected: impl Fn(ChildId) -> bool) -> Vec<u32> {
        self.running
            .iter()
            .filter(|running| is_selected(running.id))
            .filter_map(|running| running.child.id())
            .collect()
    }

    /// Stops all processes and waits until they have ended. Processes that do not end in time are killed.
    pub async fn stop(mut self) {
        for running in &mut self.running {
            // Writing fails if the process has ended already.
            let _ = match running.id {
                ChildId::Replica(_) => write_line(&mut running.commands, &ReplicaCommand::Stop).await,
                ChildId::Hollow(_) => write_line(&mut running.commands, &HollowCommand::Stop).await,
            };
        }
        let ended = async {
            for running in &mut self.running {
                // If waiting fails, the process is killed below.
                let _ = running.child.wait().await;
            }
        };
        // Dropping `self` kills the processes that still run.
        let _ = timeout(STOP_TIMEOUT, ended).await;
    }
}

fn command(program: &Path, id: ChildId) -> Command {
    let subcommand = match id {
        ChildId::Replica(_) => "scale-replica",
        ChildId::Hollow(_) => "scale-hollow",
    };
    let mut command = Command::new(program);
    command.arg(subcommand).stdin(Stdio::piped()).stdout(Stdio::piped()).stderr(Stdio::piped());
    // A process group of its own keeps Ctrl-C on the terminal from the process; the run receives it and ends
    // its processes.
    command.process_group(0).kill_on_drop(true);
    command
}

fn current_line(line: &Mutex<String>) -> String {
    line.lock().unwrap_or_else(PoisonError::into_inner).clone()
}

async fn write_line(commands: &mut ChildStdin, command: &impl Serialize) -> io::Result<()> {
    let mut line = serde_json::to_vec(command)?;
    line.push(b'\n');
    commands.write_all(&line).await?;
    commands.flush().await
}

/// Forwards the events of a process until it ends. Returns an error if it wrote a line that is not an event.
async fn forward_events(id: ChildId, stdout: ChildStdout, sender: &EventSender) -> Option<ChildError> {
    match id {
        ChildId::Replica(number) => {
            forward(id, stdout, sender, |event| ChildEvent::Replica(number, event)).await
        }
        ChildId::Hollow(number) => {
            forward(id, stdout, sender, |event| ChildEvent::Hollow(number, event)).await
        }
    }
}

async fn forward<E: DeserializeOwned>(
    id: ChildId,
    stdout: impl AsyncRead + Unpin,
    sender: &EventSender,
    wrap: impl Fn(E) -> ChildEvent,
) -> Option<ChildError> {
    let mut stdout = BufReader::new(stdout);
    let mut line = Vec::new();
    loop {
        line.clear();
        let read = (&mut stdout).take(MAX_EVENT_BYTES).read_until(b'\n', &mut line).await;
        if !matches!(read, Ok(1..)) {
            return None;
        }
        match serde_json::from_slice(&line) {
            Ok(event) => sender.send(Ok(wrap(event))).ok()?,
            Err(source) => return Some(ChildError::Malformed { process: id, source }),
        }
    }
}

/// Reads standard error to its end and stores each line in `last_line`.
async fn keep_last_line(stderr: impl AsyncRead + Unpin, last_line: Arc<Mutex<String>>) {
    let mut stderr = BufReader::new(stderr);
    let mut line = Vec::new();
    loop {
        line.clear();
        let read = (&mut stderr).take(MAX_ERROR_BYTES).read_until(b'\n', &mut line).await;
        if !matches!(read, Ok(1..)) {
            return;
        }
        let text = String::from_utf8_lossy(&line).trim_end().to_owned();
        *last_line.lock().unwrap_or_else(PoisonError::into_inner) = text;
    }
}
