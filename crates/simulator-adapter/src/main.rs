//! Runs balancers on the simulator's wire: one isolated [`Balancer`] for each instance, lines in, lines out.

use balancer_core::{Action, Balancer, Event, Timestamp};
use simulator_adapter::wire::{end_reply, write_action, write_fault, InstanceId, Message, Parser, WireError};
use std::collections::HashMap;
use std::io::{self, BufRead, BufReader, Write};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::process::ExitCode;
use thiserror::Error;

/// Bytes of the input that are buffered.
const INPUT_BUFFER_BYTES: usize = 1 << 18;

/// Why the adapter ends before its input.
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

/// Serves batches until the input ends. A batch with a malformed line gets no reply.
fn serve(mut input: impl BufRead, mut output: impl Write) -> Result<(), AdapterError> {
    let mut parser = Parser::default();
    let mut host = Host::default();
    let mut line = String::new();
    loop {
        line.clear();
        if input.read_line(&mut line)? == 0 {
            return Ok(());
        }
        if let Some(message) = parser.line(&line)? {
            host.handle(message, &mut output)?;
        }
    }
}

/// The instances, and the reply to the present batch.
#[derive(Default)]
struct Host {
    instances: HashMap<InstanceId, Balancer>,
    now: Timestamp,
    reply: String,
    actions: Vec<Action>,
}

impl Host {
    /// Takes in a message, and writes the reply where it ends a batch.
    fn handle(&mut self, message: Message, output: &mut impl Write) -> io::Result<()> {
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

    /// Hands an event to its instance, if that is running. A panic of one instance is reported, and the others go on.
    fn handle_event(&mut self, instance: InstanceId, event: Event) {
        let Self { instances, now, reply, actions } = self;
        let Some(balancer) = instances.get_mut(&instance) else { return };
        actions.clear();
        let handled = catch_unwind(AssertUnwindSafe(|| balancer.handle(*now, event, actions)));
        for action in actions.iter() {
            write_action(reply, instance, action);
        }
        if let Err(panic) = handled {
            let message = panic.downcast_ref::<String>().map(String::as_str);
            let message = message.or_else(|| panic.downcast_ref::<&str>().copied());
            write_fault(reply, instance, message.unwrap_or("panic"));
        }
    }
}
