//! `cache-balancer scale`: runs hundreds of hollow nodes in each of a few processes against replicas of a
//! simulated discovery service.

mod fit;
mod run;
mod virtual_time;

use crate::cli::scripts::{self, ScriptError};
use crate::cli::{ExecutableNotFound, Player, UNUSABLE};
use checked_toml::time_text;
use clap::{Args, Subcommand, ValueEnum};
use std::io;
use std::ops::RangeInclusive;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use testbed::scale::plot::PlotError;
use testbed::scale::script::{HOLLOW_PROCESSES, NODES, REAL_NODES, REPLICAS, SERVERS};
use testbed::scale::virtual_time::scenes::VIRTUAL_ONLY;
use testbed::scale::{scenarios, ScaleScript};
use thiserror::Error;

const LINES_PER_SECOND: RangeInclusive<u64> = 1..=1_000_000_000;
const CALL_LINES: RangeInclusive<u64> = 0..=1_000_000;

/// An error that makes the command fail.
#[derive(Debug, Error)]
enum ScaleError {
    #[error(transparent)]
    Script(#[from] ScriptError),
    #[error(transparent)]
    Executable(#[from] ExecutableNotFound),
    #[error("{0}")]
    Run(Box<dyn std::error::Error>),
    #[error("--svg: expected --player sockets; runs in virtual time cannot be plotted")]
    PlotOfVirtualTime,
    #[error("{file}: the plot could not be drawn: {error}")]
    Plot { file: String, error: PlotError },
    #[error("{file}: {error}")]
    File { file: String, error: io::Error },
    #[error("{file}: expected a result of `cache-balancer scale --json`: {error}")]
    Result { file: String, error: serde_json::Error },
    #[error("the {0} cannot be written as JSON: {1}")]
    Json(&'static str, serde_json::Error),
}

impl ScaleError {
    fn file(path: &Path, error: io::Error) -> Self {
        Self::File { file: path.display().to_string(), error }
    }
}

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
    /// Number of hollow nodes, instead of the script's own
    #[arg(long, value_parser = number_in(&NODES))]
    nodes: Option<u32>,
    /// Number of servers on the endpoint list, instead of the script's own
    #[arg(long, value_parser = number_in(&SERVERS))]
    servers: Option<u32>,
    /// Number of replicas of discovery, instead of the script's own
    #[arg(long, value_parser = number_in(&REPLICAS))]
    replicas: Option<u32>,
    /// Number of processes that share the hollow nodes, instead of the script's own
    #[arg(long, value_parser = number_in(&HOLLOW_PROCESSES))]
    processes: Option<u32>,
    /// Number of real nodes under load in addition to the hollow ones, instead of the script's own
    #[arg(long, value_parser = number_in(&REAL_NODES))]
    real: Option<u32>,
    /// Number of lines that one replica can send per second, instead of the script's own
    #[arg(long, value_parser = number_in(&LINES_PER_SECOND))]
    lines_per_second: Option<u32>,
    /// Cost in lines of a call that opens a watch or requests the whole list, instead of the script's own
    #[arg(long, value_parser = number_in(&CALL_LINES))]
    call_lines: Option<u32>,
    /// Cost in lines of a call that continues a watch, instead of the script's own
    #[arg(long, value_parser = number_in(&CALL_LINES))]
    continued_call_lines: Option<u32>,
    /// Seed of all random numbers, instead of the script's own
    #[arg(long)]
    seed: Option<u64>,
    /// How to run it: processes of this program on `sockets`, or clients of discovery alone in `virtual` time
    #[arg(long, value_enum, default_value_t = Player::Sockets)]
    player: Player,
    /// Whether nodes know all replicas and their capacity (on), or only the address of the first replica
    /// (off)
    #[arg(long, value_enum)]
    mechanism: Option<Mechanism>,
    /// Prints one line of JSON instead of the tables
    #[arg(long)]
    json: bool,
    /// Writes a plot to this file: the times from a change until nodes act on it
    #[arg(long)]
    svg: Option<PathBuf>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
enum Mechanism {
    On,
    Off,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Lists the built-in scenarios
    List,
    /// Prints the faults of a script, or the resources that it needs, without running it
    Check {
        /// Path of a script, or name of a built-in scenario
        script: String,
    },
    /// Fits lines to the results of runs at three or more sizes
    Fit(FitArguments),
}

#[derive(Debug, Args)]
struct FitArguments {
    /// Files with one result of `cache-balancer scale --json` each
    #[arg(required = true)]
    results: Vec<PathBuf>,
    /// File with a result that is predicted from the others and compared with the prediction
    #[arg(long)]
    predict: Option<PathBuf>,
    /// Prints one line of JSON instead of the table
    #[arg(long)]
    json: bool,
    /// Writes a plot of the points and lines to this file
    #[arg(long)]
    svg: Option<PathBuf>,
}

/// Returns a parser of numbers in a range that scripts allow.
fn number_in(range: &RangeInclusive<u64>) -> clap::builder::RangedU64ValueParser<u32> {
    clap::builder::RangedU64ValueParser::new().range(range.clone())
}

/// Runs the command and returns its exit code.
pub fn run(arguments: Arguments) -> ExitCode {
    let result = match arguments.command {
        Some(Command::List) => Ok(list()),
        Some(Command::Check { script }) => check(&script),
        Some(Command::Fit(arguments)) => fit::run(&arguments),
        None => match arguments.run.player {
            Player::Sockets => run::run(&arguments.run),
            Player::Virtual => virtual_time::run(&arguments.run),
        },
    };
    result.unwrap_or_else(|error| {
        eprintln!("{error}");
        ExitCode::from(UNUSABLE)
    })
}

fn list() -> ExitCode {
    for scenario in scenarios::ALL {
        match ScaleScript::parse(scenario.name, scenario.text) {
            Ok(script) => println!("{:<20} {}", script.name, script.about),
            Err(faults) => eprintln!("{}", ScriptError::Invalid(faults)),
        }
    }
    for (name, about) in VIRTUAL_ONLY {
        println!("{name:<20} {about} (in virtual time only)");
    }
    ExitCode::SUCCESS
}

fn check(name: &str) -> Result<ExitCode, ScaleError> {
    let script = load_script(name)?;
    println!("{}: {} over {}", name, script.name, time_text(script.length));
    let requirements = testbed::scale::requirements::Requirements::of(&script);
    let mib = requirements.memory_bytes.div_ceil(1 << 20);
    println!(
        "  needs {} processes, {} descriptors in one of them, {mib} MiB",
        requirements.processes, requirements.descriptors
    );
    Ok(ExitCode::SUCCESS)
}

/// Loads the built-in scenario with this name, or otherwise the script at this path.
fn load_script(name: &str) -> Result<ScaleScript, ScriptError> {
    match scenarios::named(name) {
        Some(scenario) => ScaleScript::parse(scenario.name, scenario.text).map_err(ScriptError::Invalid),
        None => scripts::from_file(Path::new(name), ScaleScript::parse),
    }
}

/// Replaces values of the script by those that the arguments set.
fn apply_overrides(mut script: ScaleScript, arguments: &RunArguments) -> ScaleScript {
    script.nodes = arguments.nodes.unwrap_or(script.nodes);
    script.servers = arguments.servers.unwrap_or(script.servers);
    script.replicas = arguments.replicas.unwrap_or(script.replicas);
    script.hollow_processes = arguments.processes.unwrap_or(script.hollow_processes);
    script.real.nodes = arguments.real.unwrap_or(script.real.nodes);
    script.seed = arguments.seed.unwrap_or(script.seed);
    script.mechanism = arguments.mechanism.map_or(script.mechanism, |mechanism| mechanism == Mechanism::On);
    let capacity = &mut script.capacity;
    let lines_or = |lines: Option<u32>, default: f64| lines.map_or(default, f64::from);
    capacity.lines_per_second = lines_or(arguments.lines_per_second, capacity.lines_per_second);
    capacity.call_lines = lines_or(arguments.call_lines, capacity.call_lines);
    capacity.continued_call_lines = lines_or(arguments.continued_call_lines, capacity.continued_call_lines);
    script
}

fn write_plot(path: &Path, svg: Result<String, PlotError>) -> Result<(), ScaleError> {
    let svg = svg.map_err(|error| ScaleError::Plot { file: path.display().to_string(), error })?;
    std::fs::write(path, svg).map_err(|error| ScaleError::file(path, error))
}
