//! `cache-balancer scenario`: runs a script of faults and reports the result.

mod run;
mod sockets;
mod spread;

use crate::cli::scripts::{self, ScriptError};
use crate::cli::{Player, UNUSABLE};
use checked_toml::time_text;
use clap::{Args, Subcommand};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use testbed::report::describe_fault;
use testbed::{scenarios, Script};

/// Exit code: the machine was too busy for the figures of the run to be the program's.
const VOID: u8 = 3;

#[derive(Debug, Args)]
#[command(args_conflicts_with_subcommands = true)]
pub struct Arguments {
    #[command(subcommand)]
    command: Option<Command>,
    #[command(flatten)]
    run: RunArguments,
}

#[derive(Debug, Args)]
struct RunArguments {
    /// A script's file, or the name of a scenario that ships with the program
    #[arg(default_value = scenarios::DEFAULT)]
    script: String,
    /// Draws everything anew from this seed, rather than from the script's own
    #[arg(long)]
    seed: Option<u64>,
    /// The number of nodes, rather than the script's own
    #[arg(long, value_parser = clap::value_parser!(u32).range(1..=10_000))]
    nodes: Option<u32>,
    /// Prints one line of JSON instead of the table and the picture
    #[arg(long)]
    json: bool,
    /// Who plays it: `sockets`, this program on loopback in real time, or `virtual` time, the decisions alone
    #[arg(long, value_enum, default_value_t = Player::Sockets)]
    player: Player,
    /// Writes the timelines to this file, as one HTML page
    #[arg(long)]
    html: Option<PathBuf>,
}

#[derive(Debug, Args)]
struct SpreadArguments {
    /// Scripts' files or names of scenarios; all scenarios where there are none
    scripts: Vec<String>,
    /// Plays of each script with its own seed
    #[arg(long, default_value_t = 10, value_parser = clap::value_parser!(u32).range(0..=1_000))]
    plays: u32,
    /// Seeds that are played once each, from the script's own on
    #[arg(long, default_value_t = 10, value_parser = clap::value_parser!(u32).range(0..=1_000))]
    seeds: u32,
    /// The number of nodes, rather than the scripts' own
    #[arg(long, value_parser = clap::value_parser!(u32).range(1..=10_000))]
    nodes: Option<u32>,
    /// Who plays them
    #[arg(long, value_enum, default_value_t = Player::Virtual)]
    player: Player,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Runs a scenario and judges it; the same as the command without a subcommand
    Run(RunArguments),
    /// Lists the scenarios that ship with the program
    List,
    /// Plays scripts again and again, and shows how far their figures lie apart
    Spread(SpreadArguments),
    /// Says what is wrong with a script, and plays nothing
    Check {
        /// The script's file
        file: PathBuf,
    },
}

/// Runs the command and returns its exit code.
pub fn run(arguments: Arguments) -> ExitCode {
    match arguments.command {
        Some(Command::List) => list(),
        Some(Command::Spread(arguments)) => spread::run(&arguments),
        Some(Command::Check { file }) => check(&file),
        Some(Command::Run(arguments)) => run::run(&arguments),
        None => run::run(&arguments.run),
    }
}

fn list() -> ExitCode {
    for scenario in scenarios::ALL {
        match Script::parse(scenario.name, scenario.text) {
            Ok(script) => println!("{:<24} {}", script.name, script.about),
            Err(faults) => eprintln!("{}", ScriptError::Invalid(faults)),
        }
    }
    ExitCode::SUCCESS
}

fn check(file: &Path) -> ExitCode {
    let script = match scripts::from_file(file, Script::parse) {
        Ok(script) => script,
        Err(error) => return unusable(&error),
    };
    println!("{}: {} over {}", file.display(), script.name, time_text(script.length));
    for incident in &script.incidents {
        let (at, over) = (time_text(incident.at), time_text(incident.duration));
        println!("  {at}: {} for {over}", describe_fault(&incident.fault));
    }
    ExitCode::SUCCESS
}

/// Reads the script of a scenario's name, or of a file.
fn script(name: &str) -> Result<Script, ScriptError> {
    match scenarios::named(name) {
        Some(scenario) => Script::parse(scenario.name, scenario.text).map_err(ScriptError::Invalid),
        None => scripts::from_file(Path::new(name), Script::parse),
    }
}

/// Prints an error and returns the exit code of what cannot be used.
fn unusable(error: &impl std::error::Error) -> ExitCode {
    eprintln!("{error}");
    ExitCode::from(UNUSABLE)
}
