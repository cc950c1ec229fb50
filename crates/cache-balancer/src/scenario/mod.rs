//! `cache-balancer scenario`: runs a script of faults and reports the outcome.

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

/// Exit code of a void run: the machine was too busy for the results to reflect the program.
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
    /// Path of a script, or name of a built-in scenario
    #[arg(default_value = scenarios::DEFAULT)]
    script: String,
    /// Seed of all random numbers, instead of the script's own
    #[arg(long)]
    seed: Option<u64>,
    /// Number of nodes, instead of the script's own
    #[arg(long, value_parser = clap::value_parser!(u32).range(1..=10_000))]
    nodes: Option<u32>,
    /// Prints one line of JSON instead of the table and the charts
    #[arg(long)]
    json: bool,
    /// How to run it: processes of this program on loopback `sockets` in real time, or the balancing logic
    /// alone in `virtual` time
    #[arg(long, value_enum, default_value_t = Player::Sockets)]
    player: Player,
    /// Writes the timelines to this file as an HTML page
    #[arg(long)]
    html: Option<PathBuf>,
}

#[derive(Debug, Args)]
struct SpreadArguments {
    /// Paths of scripts, or names of built-in scenarios; all built-in scenarios by default
    scripts: Vec<String>,
    /// Number of runs of each script with its own seed
    #[arg(long, default_value_t = 10, value_parser = clap::value_parser!(u32).range(0..=1_000))]
    plays: u32,
    /// Number of consecutive seeds, starting at the script's own, with which each script is run once
    #[arg(long, default_value_t = 10, value_parser = clap::value_parser!(u32).range(0..=1_000))]
    seeds: u32,
    /// Number of nodes, instead of the scripts' own
    #[arg(long, value_parser = clap::value_parser!(u32).range(1..=10_000))]
    nodes: Option<u32>,
    /// How to run them, as for `scenario run`
    #[arg(long, value_enum, default_value_t = Player::Virtual)]
    player: Player,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Runs a scenario and checks the outcome; the default without a subcommand
    Run(RunArguments),
    /// Lists the built-in scenarios
    List,
    /// Runs scripts several times and shows how much their results vary
    Spread(SpreadArguments),
    /// Prints the faults of a script, or its incidents, without running it
    Check {
        /// Path of the script
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
        Err(error) => return report_unusable(&error),
    };
    println!("{}: {} over {}", file.display(), script.name, time_text(script.length));
    for incident in &script.incidents {
        let (at, duration) = (time_text(incident.at), time_text(incident.duration));
        println!("  {at}: {} for {duration}", describe_fault(&incident.fault));
    }
    ExitCode::SUCCESS
}

/// Loads the built-in scenario with this name, or otherwise the script at this path.
fn load_script(name: &str) -> Result<Script, ScriptError> {
    match scenarios::named(name) {
        Some(scenario) => Script::parse(scenario.name, scenario.text).map_err(ScriptError::Invalid),
        None => scripts::from_file(Path::new(name), Script::parse),
    }
}

/// Prints an error and returns the exit code [`UNUSABLE`].
fn report_unusable(error: &impl std::error::Error) -> ExitCode {
    eprintln!("{error}");
    ExitCode::from(UNUSABLE)
}
