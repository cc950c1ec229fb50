//! Command line of `cache-balancer`. Without a subcommand it runs a node that the platform configures.

mod aggregate;
mod cli;
mod config;
mod connection_log;
mod daemon;
mod discovery;
mod driver;
mod endpoint_list;
mod fleet;
mod frontend;
mod handover;
mod hollow;
mod input;
mod list_file;
mod log;
mod memory;
mod message_body;
#[cfg(test)]
mod read_buffer_probe;
mod readiness;
mod scale;
mod scenario;
mod service_manager;
mod shutdown_phase;
mod signals;
mod tally;
mod upstream;

use crate::config::operator;
use clap::{Parser, Subcommand};
use std::fmt::Display;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Load-balancing node for fleets of cache servers. Without a command it serves with the configuration in
/// LB_CONFIG.
#[derive(Debug, Parser)]
#[command(version)]
struct Arguments {
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Serves with the configuration in an operator's file
    Run {
        /// Path of the configuration file
        #[arg(long)]
        config: PathBuf,
        /// Exits when its parent process exits
        #[arg(long)]
        with_parent: bool,
    },
    /// Runs many instances of one configuration file on this machine, for trials
    Fleet(fleet::Arguments),
    /// Prints all errors in an operator's file, or its effective configuration
    Check {
        /// Path of the configuration file
        file: PathBuf,
    },
    /// Sums the tally lines in the logs of many nodes, second by second
    #[command(alias = "count")]
    Aggregate(aggregate::Arguments),
    /// Runs a script of faults against the balancing logic, and checks the outcome
    #[command(alias = "rehearse")]
    Scenario(scenario::Arguments),
    /// Measures how discovery replicas serve hundreds of hollow nodes, and fits lines to the results
    Scale(scale::Arguments),
    /// Runs one replica of the simulated discovery service of a scale run
    #[command(hide = true)]
    ScaleReplica,
    /// Runs hollow nodes of a scale run
    #[command(hide = true)]
    ScaleHollow,
}

fn main() -> ExitCode {
    match Arguments::parse().command {
        Some(Command::Scenario(arguments)) => scenario::run(arguments),
        Some(Command::Scale(arguments)) => scale::run(arguments),
        Some(Command::Aggregate(arguments)) => aggregate::run(&arguments),
        Some(Command::Check { file }) => check(&file),
        Some(Command::Run { config, with_parent }) => exit_code(daemon::start_from(&config, with_parent)),
        Some(Command::Fleet(arguments)) => fleet::run(arguments),
        Some(Command::ScaleReplica) => exit_code(testbed::scale::replica::run()),
        Some(Command::ScaleHollow) => exit_code(hollow::run()),
        None => exit_code(daemon::start()),
    }
}

fn exit_code<E: Display>(result: Result<(), E>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("cache-balancer: {error}");
            ExitCode::FAILURE
        }
    }
}

fn check(file: &Path) -> ExitCode {
    match operator::load(file) {
        Ok(config) => {
            print!("{}", operator::effective(&config));
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(cli::UNUSABLE)
        }
    }
}
