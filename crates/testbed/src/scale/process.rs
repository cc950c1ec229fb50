//! Code that the child processes of a scale run share: they read commands from standard input, write events
//! to standard output and raise their limit of descriptors.

use rustix::process::{getrlimit, setrlimit, Resource, Rlimit};
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::io::{self, BufRead, Write};
use std::sync::mpsc as std_mpsc;
use std::thread::{self, JoinHandle};
use thiserror::Error;
use tokio::sync::mpsc;

/// Maximum number of commands that are read ahead of the current one.
const READ_AHEAD: usize = 64;
/// Maximum limit of descriptors that a process sets.
const MAX_DESCRIPTORS: u64 = 20_000;

/// An error that ends a child process of a scale run.
#[derive(Debug, Error)]
pub enum ProcessError {
    /// A line on standard input is not a valid command.
    #[error("line {line} of the commands: {error}")]
    Unreadable {
        /// The number of the line, from 1.
        line: usize,
        /// The parse error.
        error: serde_json::Error,
    },
    /// The first command is not the command `start`.
    #[error("line 1 of the commands: expected the command start")]
    NotStarted,
    /// The command `start` was sent again.
    #[error("expected the command start once, found it again")]
    StartedTwice,
    /// The version of a change is not above the version of the list.
    #[error("change of {host}: expected a version above {current}, found {version}")]
    OldVersion {
        /// The server whose entry changed.
        host: String,
        /// The version of the change.
        version: u64,
        /// The version of the list.
        current: u64,
    },
    /// A command names a node that is not in this process.
    #[error("node {node}: expected one from {first} to {last}")]
    ForeignNode {
        /// The number of the node.
        node: u32,
        /// The number of the first node in this process.
        first: u32,
        /// The number of the last node in this process.
        last: u32,
    },
    /// A command gives the nodes no address of a replica.
    #[error("replicas: expected one address or more, found none")]
    NoReplica,
    /// A system call failed.
    #[error("{context}: {error}")]
    System {
        /// The operation or object that the call was for.
        context: &'static str,
        /// The system error.
        error: io::Error,
    },
}

impl ProcessError {
    /// Returns a function for `map_err` that adds the context of a failed system call.
    pub fn system(context: &'static str) -> impl Fn(io::Error) -> Self {
        move |error| Self::System { context, error }
    }
}

/// Returns a channel of the commands on standard input, which is closed at the end of the input. A separate
/// thread reads them, since a blocking read cannot be cancelled.
pub fn commands<T: DeserializeOwned + Send + 'static>() -> mpsc::Receiver<Result<T, ProcessError>> {
    let (sender, commands) = mpsc::channel(READ_AHEAD);
    thread::spawn(move || {
        for (number, line) in io::stdin().lock().lines().enumerate() {
            let command = match line {
                Ok(line) => serde_json::from_str(&line)
                    .map_err(|error| ProcessError::Unreadable { line: number + 1, error }),
                Err(error) => Err(ProcessError::System { context: "standard input", error }),
            };
            // The receiver is dropped when the process ends.
            if sender.blocking_send(command).is_err() {
                return;
            }
        }
    });
    commands
}

/// Writes events to standard output on a separate thread, so that a slow reader does not block the process.
pub struct Events<T> {
    sender: std_mpsc::Sender<T>,
    writer: JoinHandle<io::Result<()>>,
}

impl<T: Serialize + Send + 'static> Events<T> {
    /// Starts the writer thread.
    pub fn start() -> Self {
        let (sender, events) = std_mpsc::channel::<T>();
        let writer = thread::spawn(move || {
            let mut output = io::stdout().lock();
            for event in events {
                let mut line = serde_json::to_vec(&event)?;
                line.push(b'\n');
                output.write_all(&line)?;
                output.flush()?;
            }
            Ok(())
        });
        Self { sender, writer }
    }

    /// Queues an event to be written after all earlier ones.
    pub fn send(&self, event: T) {
        // Sending fails if the writer has failed; `finish` returns its error.
        let _ = self.sender.send(event);
    }

    /// Waits until all events are written and returns the error of the writer, if any.
    pub fn finish(self) -> Result<(), ProcessError> {
        drop(self.sender);
        let written = self.writer.join().unwrap_or_else(|_| Err(io::ErrorKind::Other.into()));
        written.map_err(ProcessError::system("standard output"))
    }
}

/// Raises the soft limit of descriptors of this process to its hard limit, but not above 20,000.
pub fn raise_descriptors() -> Result<(), ProcessError> {
    let Rlimit { current, maximum } = getrlimit(Resource::Nofile);
    let target = maximum.map_or(MAX_DESCRIPTORS, |maximum| maximum.min(MAX_DESCRIPTORS));
    if current.is_none_or(|current| current >= target) {
        return Ok(());
    }
    let raised = setrlimit(Resource::Nofile, Rlimit { current: Some(target), maximum });
    raised.map_err(|error| ProcessError::System {
        context: "raising the limit of descriptors",
        error: error.into(),
    })
}
