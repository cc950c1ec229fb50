//! The processes of a scale run: their start, the lines that go to them and come from them, and their end.

use super::messages::{HollowCommand, HollowEvent, ReplicaCommand, ReplicaEvent};
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::fmt;
use std::path::Path;
use std::process::Stdio;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use thiserror::Error;
use tokio::io::{AsyncBufReadExt, AsyncRead, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::process::{Child, ChildStdin, Command};
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::time::timeout;

/// A process that does not take a command within this time is stuck.
const TAKES_COMMAND: Duration = Duration::from_secs(60);
/// After [`ChildProcesses::stop`], those that have not ended within this time are killed.
const ENDS: Duration = Duration::from_secs(5);
/// The longest line that a process may write.
const LONGEST_LINE: u64 = 256 << 20;
/// Of what a process says on standard error, this much of the last line is kept.
const KEPT_ERROR: u64 = 4_096;

/// One process of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ChildProcess {
    /// A replica of discovery, by its number.
    Replica(usize),
    /// A process of hollow nodes, by its number.
    Hollow(usize),
}

impl fmt::Display for ChildProcess {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        match self {
            ChildProcess::Replica(number) => write!(formatter, "replica {number}"),
            ChildProcess::Hollow(number) => write!(formatter, "hollow process {number}"),
        }
    }
}

/// What one of the processes did that ends a run.
#[derive(Debug, Error)]
pub enum ChildError {
    /// It did not start.
    #[error("{who} does not start: {source}")]
    Start {
        /// Which.
        who: ChildProcess,
        /// Why.
        source: std::io::Error,
    },
    /// It takes no commands.
    #[error("{who} takes no commands: {source}; it said last: {said}")]
    Command {
        /// Which.
        who: ChildProcess,
        /// Why.
        source: std::io::Error,
        /// Its last line on standard error.
        said: String,
    },
    /// It ended before it was told to.
    #[error("{who} has ended; it said last: {said}")]
    Ended {
        /// Which.
        who: ChildProcess,
        /// Its last line on standard error.
        said: String,
    },
    /// It wrote a line that is no event.
    #[error("{who} wrote a line that is no event: {source}")]
    Malformed {
        /// Which.
        who: ChildProcess,
        /// What is wrong with the line.
        source: serde_json::Error,
    },
    /// What it was asked for did not come in time.
    #[error("{who} has not answered within {waited:?}")]
    Silent {
        /// Which.
        who: ChildProcess,
        /// How long was waited.
        waited: Duration,
    },
}

/// What came from the processes.
#[derive(Debug)]
pub enum ChildMessage {
    /// From a replica.
    Replica(usize, ReplicaEvent),
    /// From a process of hollow nodes.
    Hollow(usize, HollowEvent),
}

#[derive(Debug)]
struct Running {
    who: ChildProcess,
    /// Killed when it is dropped.
    child: Child,
    commands: ChildStdin,
    said: Arc<Mutex<String>>,
}

/// The processes of a run. Dropped, all of them are killed.
#[derive(Debug)]
pub struct ChildProcesses {
    running: Vec<Running>,
    sender: UnboundedSender<Result<ChildMessage, ChildError>>,
    heard: UnboundedReceiver<Result<ChildMessage, ChildError>>,
}

impl Default for ChildProcesses {
    fn default() -> Self {
        let (sender, heard) = unbounded_channel();
        Self { running: Vec::new(), sender, heard }
    }
}

impl ChildProcesses {
    /// Starts a process of `program`, which acts as `who` and then waits for its first command.
    ///
    /// # Errors
    /// When the system does not start it.
    pub fn start(&mut self, program: &Path, who: ChildProcess) -> Result<(), ChildError> {
        let failed = |source| ChildError::Start { who, source };
        let subcommand = match who {
            ChildProcess::Replica(_) => "scale-replica",
            ChildProcess::Hollow(_) => "scale-hollow",
        };
        let mut child = Command::new(program)
            .arg(subcommand)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            // Ctrl-C on the terminal is for the run, which ends them.
            .process_group(0)
            .kill_on_drop(true)
            .spawn()
            .map_err(failed)?;
        let missing = || failed(std::io::ErrorKind::BrokenPipe.into());
        let commands = child.stdin.take().ok_or_else(missing)?;
        let events = child.stdout.take().ok_or_else(missing)?;
        let errors = child.stderr.take().ok_or_else(missing)?;
        let said = Arc::new(Mutex::new(String::new()));
        let keeping = tokio::spawn(keep_last_line(errors, said.clone()));
        let (sender, last) = (self.sender.clone(), said.clone());
        tokio::spawn(async move {
            let error = match who {
                ChildProcess::Replica(number) => {
                    read(who, events, &sender, |event| ChildMessage::Replica(number, event)).await
                }
                ChildProcess::Hollow(number) => {
                    read(who, events, &sender, |event| ChildMessage::Hollow(number, event)).await
                }
            };
            // What it said last explains its end.
            let _ = keeping.await;
            let said = text(&last);
            let error = error.unwrap_or(ChildError::Ended { who, said });
            // The run may have ended, and with it whoever wants to know.
            let _ = sender.send(Err(error));
        });
        self.running.push(Running { who, child, commands, said });
        Ok(())
    }

    /// Sends a replica a command.
    ///
    /// # Errors
    /// When it does not take it.
    pub async fn tell_replica(&mut self, number: usize, command: &ReplicaCommand) -> Result<(), ChildError> {
        self.tell(ChildProcess::Replica(number), command).await
    }

    /// Sends a process of hollow nodes a command.
    ///
    /// # Errors
    /// When it does not take it.
    pub async fn tell_hollow(&mut self, number: usize, command: &HollowCommand) -> Result<(), ChildError> {
        self.tell(ChildProcess::Hollow(number), command).await
    }

    async fn tell(&mut self, who: ChildProcess, command: &impl Serialize) -> Result<(), ChildError> {
        let Some(running) = self.running.iter_mut().find(|running| running.who == who) else {
            return Err(ChildError::Start { who, source: std::io::ErrorKind::NotFound.into() });
        };
        let written = write_line(&mut running.commands, command);
        let result =
            timeout(TAKES_COMMAND, written).await.unwrap_or(Err(std::io::ErrorKind::TimedOut.into()));
        result.map_err(|source| ChildError::Command { who, source, said: text(&running.said) })
    }

    /// The next that any of them says.
    ///
    /// # Errors
    /// When one has ended, or says what is no event.
    pub async fn heard(&mut self) -> Result<ChildMessage, ChildError> {
        match self.heard.recv().await {
            Some(heard) => heard,
            // It is never closed: a sender is kept here.
            None => std::future::pending().await,
        }
    }

    /// The system's numbers of the processes of a kind that still run.
    pub fn ids(&self, of_kind: impl Fn(ChildProcess) -> bool) -> Vec<u32> {
        self.running
            .iter()
            .filter(|running| of_kind(running.who))
            .filter_map(|running| running.child.id())
            .collect()
    }

    /// Tells all of them to end and waits for that; those that do not end in time are killed.
    pub async fn stop(mut self) {
        for running in &mut self.running {
            // One that has ended takes no command, and needs none.
            let _ = match running.who {
                ChildProcess::Replica(_) => write_line(&mut running.commands, &ReplicaCommand::Stop).await,
                ChildProcess::Hollow(_) => write_line(&mut running.commands, &HollowCommand::Stop).await,
            };
        }
        let ended = async {
            for running in &mut self.running {
                // What is left is killed below.
                let _ = running.child.wait().await;
            }
        };
        // Dropped after this, those that still run are killed.
        let _ = timeout(ENDS, ended).await;
    }
}

fn text(said: &Mutex<String>) -> String {
    said.lock().unwrap_or_else(PoisonError::into_inner).clone()
}

async fn write_line(commands: &mut ChildStdin, command: &impl Serialize) -> std::io::Result<()> {
    let mut line = serde_json::to_vec(command)?;
    line.push(b'\n');
    commands.write_all(&line).await?;
    commands.flush().await
}

/// Passes on what a process writes, until it ends: then `None`, or what was wrong with a line.
async fn read<E: DeserializeOwned>(
    who: ChildProcess,
    events: impl AsyncRead + Unpin,
    sender: &UnboundedSender<Result<ChildMessage, ChildError>>,
    heard: impl Fn(E) -> ChildMessage,
) -> Option<ChildError> {
    let mut events = BufReader::new(events);
    let mut line = Vec::new();
    loop {
        line.clear();
        let read = (&mut events).take(LONGEST_LINE).read_until(b'\n', &mut line).await;
        if !matches!(read, Ok(1..)) {
            return None;
        }
        match serde_json::from_slice(&line) {
            Ok(event) => sender.send(Ok(heard(event))).ok()?,
            Err(source) => return Some(ChildError::Malformed { who, source }),
        }
    }
}

async fn keep_last_line(errors: impl AsyncRead + Unpin, said: Arc<Mutex<String>>) {
    let mut errors = BufReader::new(errors);
    let mut line = Vec::new();
    loop {
        line.clear();
        let read = (&mut errors).take(KEPT_ERROR).read_until(b'\n', &mut line).await;
        if !matches!(read, Ok(1..)) {
            return;
        }
        let text = String::from_utf8_lossy(&line).trim_end().to_owned();
        *said.lock().unwrap_or_else(PoisonError::into_inner) = text;
    }
}
