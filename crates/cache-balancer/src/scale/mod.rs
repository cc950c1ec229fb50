//! `cache-balancer scale`: hundreds of hollow nodes in each of a few processes, against discovery by replicas.

mod fit;
mod run;
mod virtual_time;

use crate::cli::scripts::{self, ScriptError};
use crate::cli::{Player, ProgramNotFound, UNUSABLE};
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

/// Why the command comes to nothing.
#[derive(Debug, Error)]
enum ScaleError {
    #[error(transparent)]
    Script(#[from] ScriptError),
    #[error(transparent)]
    Program(#[from] ProgramNotFound),
    #[error("{0}")]
    Run(Box<dyn std::error::Error>),
    #[error("--svg: expected --player sockets; times in virtual time are not plotted")]
    PlotOfVirtualTime,
    #[error("{file}: the plot could not be drawn: {error}")]
    Plot { file: String, error: PlotError },
    #[error("{file}: {error}")]
    File { file: String, error: io::Error },
    #[error("{file}: expected a result of `cache-balancer scale --json`: {error}")]
    Result { file: String, error: serde_json::Error },
    #[error("the {0} can't be written: {1}")]
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
    /// A script's file, or the name of a scenario that ships with the program
    #[arg(default_value = scenarios::DEFAULT)]
    script: String,
    /// Hollow nodes, rather than the script's own number
    #[arg(long, value_parser = within(&NODES))]
    nodes: Option<u32>,
    /// Servers on the list, rather than the script's own number
    #[arg(long, value_parser = within(&SERVERS))]
    servers: Option<u32>,
    /// Replicas of discovery, rather than the script's own number
    #[arg(long, value_parser = within(&REPLICAS))]
    replicas: Option<u32>,
    /// Processes that share the hollow nodes, rather than the script's own number
    #[arg(long, value_parser = within(&HOLLOW_PROCESSES))]
    processes: Option<u32>,
    /// Real nodes under load beside the hollow ones, rather than the script's own number
    #[arg(long, value_parser = within(&REAL_NODES))]
    real: Option<u32>,
    /// Lines that one replica sends in a second, rather than the script's own number
    #[arg(long, value_parser = within(&LINES_PER_SECOND))]
    lines_per_second: Option<u32>,
    /// Lines that a call costs which opens a watch or asks for the whole list, rather than the script's own number
    #[arg(long, value_parser = within(&CALL_LINES))]
    call_lines: Option<u32>,
    /// Lines that a call costs which continues a watch, rather than the script's own number
    #[arg(long, value_parser = within(&CALL_LINES))]
    continued_call_lines: Option<u32>,
    /// Draws everything anew from this seed, rather than from the script's own
    #[arg(long)]
    seed: Option<u64>,
    /// Who plays: this program's processes on `sockets`, or clients of discovery alone in `virtual` time
    #[arg(long, value_enum, default_value_t = Player::Sockets)]
    player: Player,
    /// Whether nodes know all replicas and what each can do, or the first one's address only
    #[arg(long, value_enum)]
    mechanism: Option<Mechanism>,
    /// Prints one line of JSON instead of the tables
    #[arg(long)]
    json: bool,
    /// Writes a plot of the times from a change to the nodes that act on it to this file
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
    /// Lists the scripts that ship with the program
    List,
    /// Says what is wrong with a script, or what it needs, and runs nothing
    Check {
        /// The script's file, or the name of a scenario
        script: String,
    },
    /// Lays a line through the figures of runs at three sizes or more
    Fit(FitArguments),
}

#[derive(Debug, Args)]
struct FitArguments {
    /// Results of `cache-balancer scale --json`, one in each file
    #[arg(required = true)]
    results: Vec<PathBuf>,
    /// A result that is predicted from the others, and compared with what was measured
    #[arg(long)]
    predict: Option<PathBuf>,
    /// Prints one line of JSON instead of the table
    #[arg(long)]
    json: bool,
    /// Writes a plot of the points and lines to this file
    #[arg(long)]
    svg: Option<PathBuf>,
}

/// A parser of numbers in a range of the script's.
fn within(range: &RangeInclusive<u64>) -> clap::builder::RangedU64ValueParser<u32> {
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
    let script = script(name)?;
    println!("{}: {} over {}", name, script.name, time_text(script.length));
    let needs = testbed::scale::requirements::Requirements::of(&script);
    let mib = needs.memory_bytes.div_ceil(1 << 20);
    println!(
        "  needs {} processes, {} descriptors in one of them, {mib} MiB",
        needs.processes, needs.descriptors
    );
    Ok(ExitCode::SUCCESS)
}

/// Reads the script of a scenario's name, or of a file.
fn script(name: &str) -> Result<ScaleScript, ScriptError> {
    match scenarios::named(name) {
        Some(scenario) => ScaleScript::parse(scenario.name, scenario.text).map_err(ScriptError::Invalid),
        None => scripts::from_file(Path::new(name), ScaleScript::parse),
    }
}

/// The script with what the arguments set in place of its own.
fn overridden(mut script: ScaleScript, arguments: &RunArguments) -> ScaleScript {
    script.nodes = arguments.nodes.unwrap_or(script.nodes);
    script.servers = arguments.servers.unwrap_or(script.servers);
    script.replicas = arguments.replicas.unwrap_or(script.replicas);
    script.hollow_processes = arguments.processes.unwrap_or(script.hollow_processes);
    script.real.nodes = arguments.real.unwrap_or(script.real.nodes);
    script.seed = arguments.seed.unwrap_or(script.seed);
    script.mechanism = arguments.mechanism.map_or(script.mechanism, |mechanism| mechanism == Mechanism::On);
    let capacity = &mut script.capacity;
    let or = |lines: Option<u32>, own: f64| lines.map_or(own, f64::from);
    capacity.lines_per_second = or(arguments.lines_per_second, capacity.lines_per_second);
    capacity.call_lines = or(arguments.call_lines, capacity.call_lines);
    capacity.continued_call_lines = or(arguments.continued_call_lines, capacity.continued_call_lines);
    script
}

fn write_plot(path: &Path, svg: Result<String, PlotError>) -> Result<(), ScaleError> {
    let svg = svg.map_err(|error| ScaleError::Plot { file: path.display().to_string(), error })?;
    std::fs::write(path, svg).map_err(|error| ScaleError::file(path, error))
}
