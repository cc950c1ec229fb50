//! What the child processes of a scale run have in common: commands on standard input, events on standard output, and a raised
//! limit of descriptors.

use rustix::process::{getrlimit, setrlimit, Resource, Rlimit};
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::io::{self, BufRead, Write};
use std::sync::mpsc as blocking;
use std::thread::{self, JoinHandle};
use thiserror::Error;
use tokio::sync::mpsc;

/// The number of commands that are read ahead of the one that is being executed.
const READ_AHEAD: usize = 64;
/// The most descriptors that a process asks for.
const MAX_DESCRIPTORS: u64 = 20_000;

/// Why a process of a scale run ended.
#[derive(Debug, Error)]
pub enum ProcessError {
    /// A line on standard input is not a command.
    #[error("line {line} of the commands: {error}")]
    Unreadable {
        /// Its number, from 1.
        line: usize,
        /// What is wrong with it.
        error: serde_json::Error,
    },
    /// The first command is not to start.
    #[error("line 1 of the commands: expected the command start")]
    NotStarted,
    /// The command to start was repeated.
    #[error("expected the command start once, found it again")]
    StartedTwice,
    /// The version of a change is not above that of the list.
    #[error("change of {host}: expected a version above {held}, found {version}")]
    OldVersion {
        /// The server whose entry changed.
        host: String,
        /// The version of the change.
        version: u64,
        /// The version of the list.
        held: u64,
    },
    /// A command names a node of another process.
    #[error("node {node}: expected one from {first} to {last}")]
    ForeignNode {
        /// Its number.
        node: u32,
        /// The first one here.
        first: u32,
        /// The last one here.
        last: u32,
    },
    /// There is no replica for the nodes.
    #[error("replicas: expected one address or more, found none")]
    NoReplica,
    /// A system call failed.
    #[error("{what}: {error}")]
    System {
        /// What was tried.
        what: &'static str,
        /// How it failed.
        error: io::Error,
    },
}

impl ProcessError {
    /// For `map_err`: what was tried when the system call failed.
    pub fn system(what: &'static str) -> impl Fn(io::Error) -> Self {
        move |error| Self::System { what, error }
    }
}

/// The commands on standard input, in their order; the channel ends with the input. A thread reads them, since a blocking read
/// cannot be cancelled.
pub fn commands<T: DeserializeOwned + Send + 'static>() -> mpsc::Receiver<Result<T, ProcessError>> {
    let (sender, commands) = mpsc::channel(READ_AHEAD);
    thread::spawn(move || {
        for (number, line) in io::stdin().lock().lines().enumerate() {
            let command = match line {
                Ok(line) => serde_json::from_str(&line)
                    .map_err(|error| ProcessError::Unreadable { line: number + 1, error }),
                Err(error) => Err(ProcessError::System { what: "standard input", error }),
            };
            // The receiver is gone when the process ends.
            if sender.blocking_send(command).is_err() {
                return;
            }
        }
    });
    commands
}

/// Writes events to standard output in a thread of its own, so that a slow reader does not block the process.
pub struct Events<T> {
    sender: blocking::Sender<T>,
    writer: JoinHandle<io::Result<()>>,
}

impl<T: Serialize + Send + 'static> Events<T> {
    /// Starts the thread.
    pub fn start() -> Self {
        let (sender, events) = blocking::channel::<T>();
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

    /// Writes an event after all earlier ones.
    pub fn send(&self, event: T) {
        // `finish` reports the error of a writer that has failed.
        let _ = self.sender.send(event);
    }

    /// Waits until all events are written.
    pub fn finish(self) -> Result<(), ProcessError> {
        drop(self.sender);
        let written = self.writer.join().unwrap_or_else(|_| Err(io::ErrorKind::Other.into()));
        written.map_err(ProcessError::system("standard output"))
    }
}

/// Raises the soft limit of descriptors of this process to the hard limit, but not above 20,000.
pub fn raise_descriptors() -> Result<(), ProcessError> {
    let Rlimit { current, maximum } = getrlimit(Resource::Nofile);
    let wanted = maximum.map_or(MAX_DESCRIPTORS, |maximum| maximum.min(MAX_DESCRIPTORS));
    if current.is_none_or(|current| current >= wanted) {
        return Ok(());
    }
    let raised = setrlimit(Resource::Nofile, Rlimit { current: Some(wanted), maximum });
    raised.map_err(|error| ProcessError::System { what: "the limit of descriptors", error: error.into() })
}
