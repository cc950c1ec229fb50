//! The commands that a fleet reads from standard input, one a line.

use balancer_core::supervisor::Event;
use std::io::BufRead;
use std::str::FromStr;
use thiserror::Error;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver};

const COMMANDS: &str = "state, roll, reload, drain N, drain all, start N and stop";
/// An unknown command is quoted up to this length.
const MAX_QUOTED_CHARS: usize = 80;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Command {
    /// Print the state of each instance.
    State,
    /// Read the fleet's file again.
    Reload,
    /// Have the supervisor handle this event.
    Supervise(Event),
}

#[derive(Debug, Error)]
#[error("expected one of {COMMANDS}, found \"{0}\"")]
pub(super) struct UnknownCommand(String);

impl FromStr for Command {
    type Err = UnknownCommand;

    fn from_str(line: &str) -> Result<Self, UnknownCommand> {
        let unknown = || UnknownCommand(line.chars().take(MAX_QUOTED_CHARS).collect());
        let instance = |number: &str| number.parse().map_err(|_| unknown());
        let words: Vec<_> = line.split_whitespace().collect();
        Ok(match words[..] {
            ["state"] => Self::State,
            ["reload"] => Self::Reload,
            ["roll"] => Self::Supervise(Event::Upgrade),
            ["stop"] => Self::Supervise(Event::Stop),
            ["drain", "all"] => Self::Supervise(Event::DrainAll),
            ["drain", number] => Self::Supervise(Event::Drain(instance(number)?)),
            ["start", number] => Self::Supervise(Event::Start(instance(number)?)),
            _ => return Err(unknown()),
        })
    }
}

/// The lines of standard input, from a thread that ends with it.
pub(super) fn lines() -> UnboundedReceiver<String> {
    let (sender, receiver) = unbounded_channel();
    std::thread::spawn(move || {
        for line in std::io::stdin().lock().lines().map_while(Result::ok) {
            if sender.send(line).is_err() {
                return;
            }
        }
    });
    receiver
}

#[cfg(test)]
mod tests;
