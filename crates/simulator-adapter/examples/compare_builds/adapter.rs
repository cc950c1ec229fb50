//! Runs an adapter process and exchanges batches of events and actions with it.

use std::error::Error;
use std::io::{BufRead, BufReader, Write};
use std::path::Path;
use std::process::{Child, ChildStdin, ChildStdout, Command, Stdio};

/// A running adapter process. Dropping it closes its standard input, which ends the process.
pub struct Adapter {
    child: Child,
    input: Option<ChildStdin>,
    output: BufReader<ChildStdout>,
}

impl Adapter {
    /// Starts the adapter program.
    pub fn start(program: &Path) -> Result<Self, Box<dyn Error>> {
        let mut command = Command::new(program);
        let spawned = command.stdin(Stdio::piped()).stdout(Stdio::piped()).spawn();
        let mut child = spawned.map_err(|error| format!("{}: {error}", program.display()))?;
        let output = child.stdout.take().ok_or("the adapter has no standard output")?;
        Ok(Self { input: child.stdin.take(), output: BufReader::new(output), child })
    }

    /// Sends a batch of events at time `now_us` and returns the actions of the reply.
    pub fn handle(&mut self, now_us: u64, events: &[String]) -> Result<Vec<String>, Box<dyn Error>> {
        let mut batch = format!("tick t_us={now_us}\n");
        for event in events {
            batch.push_str(event);
            batch.push('\n');
        }
        batch.push_str("your_turn\n");
        self.input.as_mut().ok_or("the adapter has no standard input")?.write_all(batch.as_bytes())?;
        let mut actions = Vec::new();
        loop {
            let mut line = String::new();
            if self.output.read_line(&mut line)? == 0 {
                return Err(format!("the adapter ended at t_us={now_us}").into());
            }
            match line.trim_end() {
                "ack" => return Ok(actions),
                action => actions.push(action.to_owned()),
            }
        }
    }
}

impl Drop for Adapter {
    fn drop(&mut self) {
        drop(self.input.take());
        // The exit code adds nothing to the replies, which `handle` has checked.
        let _ = self.child.wait();
    }
}
