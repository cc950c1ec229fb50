//! Runs one isolated [`Balancer`] for each instance of the simulator, over its line protocol on standard input and output.

use balancer_core::{Action, Balancer, Event, Timestamp};
use simulator_adapter::wire::{end_reply, write_action, write_panic, InstanceId, Message, Parser, WireError};
use std::collections::HashMap;
use std::io::{self, BufRead, BufReader, Write};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::process::ExitCode;
use thiserror::Error;

/// Size of the input buffer, in bytes.
const INPUT_BUFFER_BYTES: usize = 1 << 18;

/// An error that ends the adapter before the end of its input.
#[derive(Debug, Error)]
enum AdapterError {
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error(transparent)]
    Wire(#[from] WireError),
}

fn main() -> ExitCode {
    let input = BufReader::with_capacity(INPUT_BUFFER_BYTES, io::stdin().lock());
    match serve(input, io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("simulator-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Replies to batches until the input ends. On a malformed line, returns the error without a reply to its batch.
fn serve(mut input: impl BufRead, mut output: impl Write) -> Result<(), AdapterError> {
    let mut parser = Parser::default();
    let mut adapter = Adapter::default();
    let mut line = String::new();
    loop {
        line.clear();
        if input.read_line(&mut line)? == 0 {
            return Ok(());
        }
        if let Some(message) = parser.parse_line(&line)? {
            adapter.handle_message(message, &mut output)?;
        }
    }
}

/// The running instances, and the reply to the current batch.
#[derive(Default)]
struct Adapter {
    instances: HashMap<InstanceId, Balancer>,
    /// Time of the current batch.
    now: Timestamp,
    reply: String,
    /// Buffer for the actions of one event, kept for reuse.
    actions: Vec<Action>,
}

impl Adapter {
    /// Handles a message. Writes the reply to `output` if the message ends a batch.
    fn handle_message(&mut self, message: Message, output: &mut impl Write) -> io::Result<()> {
        match message {
            Message::BatchStarted(now) => self.now = now,
            Message::InstanceStarted { instance, seed, settings } => {
                self.instances.insert(instance, Balancer::new(*settings, seed));
            }
            Message::InstanceStopped(instance) => {
                self.instances.remove(&instance);
            }
            Message::Event { instance, event } => self.handle_event(instance, event),
            Message::BatchEnded => {
                end_reply(&mut self.reply);
                output.write_all(self.reply.as_bytes())?;
                output.flush()?;
                self.reply.clear();
            }
        }
        Ok(())
    }

    /// Passes an event to its instance, if it is running. A panic in one instance is reported in the reply, and the other
    /// instances continue.
    fn handle_event(&mut self, instance: InstanceId, event: Event) {
        let Self { instances, now, reply, actions } = self;
        let Some(balancer) = instances.get_mut(&instance) else { return };
        actions.clear();
        let result = catch_unwind(AssertUnwindSafe(|| balancer.handle(*now, event, actions)));
        for action in actions.iter() {
            write_action(reply, instance, action);
        }
        if let Err(panic) = result {
            let message = panic.downcast_ref::<String>().map(String::as_str);
            let message = message.or_else(|| panic.downcast_ref::<&str>().copied());
            write_panic(reply, instance, message.unwrap_or("panic"));
        }
    }
}
