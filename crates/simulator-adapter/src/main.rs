//! Hosts balancers on the simulator's wire: one isolated `Balancer` per instance, lines in, lines out.

use balancer_core::{Action, Balancer, Event, Timestamp};
use simulator_adapter::wire::{end_reply, write_action, write_fault, Input, Parser};
use std::collections::HashMap;
use std::io::{self, BufRead, BufReader, Write};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::process::ExitCode;

fn main() -> ExitCode {
    match serve() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("simulator-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}

fn serve() -> Result<(), Box<dyn std::error::Error>> {
    let mut input = BufReader::with_capacity(1 << 18, io::stdin().lock());
    let mut output = io::stdout().lock();
    let mut parser = Parser::default();
    let mut instances: HashMap<u32, Balancer> = HashMap::new();
    let (mut now, mut line, mut reply) = (Timestamp::default(), String::new(), String::new());
    let mut actions = Vec::new();
    loop {
        line.clear();
        if input.read_line(&mut line)? == 0 {
            return Ok(());
        }
        match parser.line(&line)? {
            None => {}
            Some(Input::Tick(at)) => now = at,
            Some(Input::Start { who, seed, settings }) => {
                instances.insert(who, Balancer::new(*settings, seed));
            }
            Some(Input::Stop { who }) => {
                instances.remove(&who);
            }
            Some(Input::Event { who, event }) => {
                if let Some(balancer) = instances.get_mut(&who) {
                    step(balancer, who, now, event, &mut actions, &mut reply);
                }
            }
            Some(Input::Turn) => {
                end_reply(&mut reply);
                output.write_all(reply.as_bytes())?;
                output.flush()?;
                reply.clear();
            }
        }
    }
}

fn step(
    balancer: &mut Balancer,
    who: u32,
    now: Timestamp,
    event: Event,
    actions: &mut Vec<Action>,
    reply: &mut String,
) {
    actions.clear();
    let handled = catch_unwind(AssertUnwindSafe(|| balancer.handle(now, event, actions)));
    for action in actions.iter() {
        write_action(reply, who, action);
    }
    if let Err(panic) = handled {
        let text = panic.downcast_ref::<String>().map(String::as_str);
        let text = text.or_else(|| panic.downcast_ref::<&str>().copied()).unwrap_or("panic");
        write_fault(reply, who, text);
    }
}
