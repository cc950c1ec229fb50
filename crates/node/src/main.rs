//! `pinhead`: the command line. Without arguments it is the platform's node.

mod config;
mod daemon;
mod discovery;
mod driver;
mod fronts;
mod input;
mod listing;
mod rehearse;
mod stage;
mod upstream;

use clap::{Parser, Subcommand};
use std::process::ExitCode;

/// The load-balancing node of otterspur. Without a command it serves, as LB_CONFIG says.
#[derive(Debug, Parser)]
#[command(version)]
struct Arguments {
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Plays an incident with the real decisions, and judges it
    Rehearse(rehearse::Arguments),
}

fn main() -> ExitCode {
    match Arguments::parse().command {
        Some(Command::Rehearse(arguments)) => rehearse::run(arguments),
        None => match daemon::start() {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => {
                eprintln!("pinhead: {error}");
                ExitCode::FAILURE
            }
        },
    }
}
