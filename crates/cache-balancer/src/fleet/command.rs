//! Commands that a fleet reads from standard input, one per line.

use balancer_core::supervisor::Event;
use std::io::BufRead;
use std::str::FromStr;
use thiserror::Error;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver};

const VALID_COMMANDS: &str = "state, roll, reload, drain N, drain all, start N and stop";
/// Maximum number of characters of an unknown command that an error message quotes.
const MAX_QUOTED_CHARS: usize = 80;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Command {
    /// Print the state of each instance.
    State,
    /// Reload the fleet's configuration file.
    Reload,
    /// Pass this event to the supervisor.
    Supervise(Event),
}

#[derive(Debug, Error)]
#[error("expected one of {VALID_COMMANDS}, found \"{0}\"")]
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

/// Returns the lines of standard input. A thread reads them, until the input ends.
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
