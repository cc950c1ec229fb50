//! `cache-balancer scale`: hundreds of hollow nodes in each of a few processes, against discovery by replicas.

mod virtual_time;

use checked_toml::{time_text, Fault};
use clap::{Args, Subcommand, ValueEnum};
use std::io::{IsTerminal, Write};
use std::ops::RangeInclusive;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{Duration, Instant};
use testbed::scale::fit::{self, Fit};
use testbed::scale::run::{self, Phase, Progress};
use testbed::scale::script::{HOLLOW_PROCESSES, NODES, REAL_NODES, REPLICAS, SERVERS};
use testbed::scale::virtual_time::scenes::VIRTUAL_ONLY;
use testbed::scale::{plot, scenarios, ScaleReport, ScaleScript};
use tokio::signal::unix::{signal, SignalKind};

/// A script or result that can't be used, or a run that came to nothing; one that misses what it expects ends with 1.
const UNUSABLE: u8 = 2;
const LINES_PER_SECOND: RangeInclusive<u64> = 1..=1_000_000_000;
const CALL_LINES: RangeInclusive<u64> = 0..=1_000_000;
/// Where standard error is no terminal, a line of progress comes this often.
const PROGRESS_LINES: Duration = Duration::from_secs(5);

#[derive(Debug, Args)]
#[command(args_conflicts_with_subcommands = true)]
pub struct Arguments {
    #[command(subcommand)]
    command: Option<Command>,
    #[command(flatten)]
    run: Run,
}

#[derive(Debug, Args)]
struct Run {
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

#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
enum Player {
    Sockets,
    Virtual,
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

/// Carries a call out; its exit code.
pub fn run(arguments: Arguments) -> ExitCode {
    match arguments.command {
        Some(Command::List) => list(),
        Some(Command::Check { script }) => check(&script),
        Some(Command::Fit(arguments)) => fit(&arguments),
        None => measure(&arguments.run),
    }
}

fn list() -> ExitCode {
    for scenario in scenarios::ALL {
        if let Some(script) = usable(ScaleScript::parse(scenario.name, scenario.text)) {
            println!("{:<20} {}", script.name, script.about);
        }
    }
    for (name, about) in VIRTUAL_ONLY {
        println!("{name:<20} {about} (in virtual time only)");
    }
    ExitCode::SUCCESS
}

fn check(name: &str) -> ExitCode {
    let Some(script) = script(name) else { return ExitCode::from(UNUSABLE) };
    println!("{}: {} over {}", name, script.name, time_text(script.length));
    let needs = testbed::scale::requirements::Requirements::of(&script);
    let mib = needs.memory_bytes.div_ceil(1 << 20);
    println!(
        "  needs {} processes, {} descriptors in one of them, {mib} MiB",
        needs.processes, needs.descriptors
    );
    ExitCode::SUCCESS
}

/// The script with what the arguments say instead.
fn overridden(mut script: ScaleScript, arguments: &Run) -> ScaleScript {
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

fn measure(arguments: &Run) -> ExitCode {
    if arguments.player == Player::Virtual {
        return virtual_time::run(arguments);
    }
    let Some(script) = script(&arguments.script) else { return ExitCode::from(UNUSABLE) };
    let script = overridden(script, arguments);
    eprintln!("{}: {}", script.name, script.about);
    let report = match report(&script) {
        Ok(report) => report,
        Err(problem) => return failed(&problem),
    };
    if let Some(path) = &arguments.svg {
        if let Err(problem) = write_plot(path, plot::propagation(&report)) {
            return failed(&problem);
        }
    }
    if arguments.json {
        match report.json() {
            Ok(line) => println!("{line}"),
            Err(error) => return failed(&format!("the result can't be written: {error}")),
        }
    } else {
        print!("{}", report.text());
    }
    if report.all_met() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

fn report(script: &ScaleScript) -> Result<ScaleReport, String> {
    let program =
        std::env::current_exe().map_err(|error| format!("this program does not find itself: {error}"))?;
    let mut shown = Shown::new();
    let report = run::run(script, &program, |progress| shown.show(progress), stopped());
    shown.end();
    report.map_err(|error| error.to_string())
}

/// Ends with Ctrl-C, or SIGTERM. Where these can't be had, the run simply goes to its end.
async fn stopped() {
    let terminated = async {
        match signal(SignalKind::terminate()) {
            Ok(mut terminated) => terminated.recv().await,
            Err(_) => std::future::pending().await,
        }
    };
    let interrupted = async {
        if tokio::signal::ctrl_c().await.is_err() {
            std::future::pending().await
        }
    };
    tokio::select! {
        _ = terminated => {}
        () = interrupted => {}
    }
}

/// Progress on standard error: one line that is rewritten on a terminal, a line now and then elsewhere.
struct Shown {
    terminal: bool,
    last: Option<(Phase, Instant)>,
}

impl Shown {
    fn new() -> Self {
        Self { terminal: std::io::stderr().is_terminal(), last: None }
    }

    fn show(&mut self, progress: &Progress) {
        let due =
            self.last.is_none_or(|(phase, at)| phase != progress.phase || at.elapsed() >= PROGRESS_LINES);
        if !self.terminal && !due {
            return;
        }
        self.last = Some((progress.phase, Instant::now()));
        let phase = match progress.phase {
            Phase::Starting => "starting",
            Phase::Settling => "settling",
            Phase::Measuring => "measuring",
            Phase::CatchingUp => "catching up",
        };
        let (elapsed, length) = (progress.elapsed.as_secs(), progress.length.as_secs());
        let line = format!(
            "{phase} {elapsed} of {length} s: {} changes, {} nodes behind when asked last",
            progress.changes, progress.behind
        );
        let mut stderr = std::io::stderr().lock();
        // Progress that can't be shown is no fault of the run.
        let _ = if self.terminal { write!(stderr, "\r{line:<90}") } else { writeln!(stderr, "{line}") };
    }

    fn end(&self) {
        if self.terminal && self.last.is_some() {
            eprintln!();
        }
    }
}

fn fit(arguments: &FitArguments) -> ExitCode {
    match fitted(arguments) {
        Ok(fit) if arguments.json => match serde_json::to_string(&fit) {
            Ok(line) => {
                println!("{line}");
                ExitCode::SUCCESS
            }
            Err(error) => failed(&format!("the fit can't be written: {error}")),
        },
        Ok(fit) => {
            print!("{}", fit.text());
            ExitCode::SUCCESS
        }
        Err(problem) => failed(&problem),
    }
}

fn fitted(arguments: &FitArguments) -> Result<Fit, String> {
    let results = arguments.results.iter().map(|path| result(path)).collect::<Result<Vec<_>, _>>()?;
    let predicted = arguments.predict.as_deref().map(result).transpose()?;
    let fit = fit::fit(&results, predicted.as_ref()).map_err(|error| error.to_string())?;
    if let Some(path) = &arguments.svg {
        write_plot(path, plot::fits(&fit))?;
    }
    Ok(fit)
}

fn result(path: &Path) -> Result<ScaleReport, String> {
    let text = std::fs::read_to_string(path).map_err(|error| format!("{}: {error}", path.display()))?;
    ScaleReport::parse(&text).map_err(|error| {
        format!("{}: expected a result of `cache-balancer scale --json`: {error}", path.display())
    })
}

fn write_plot(path: &Path, svg: Result<String, plot::PlotError>) -> Result<(), String> {
    let svg = svg.map_err(|error| format!("{}: the plot could not be drawn: {error}", path.display()))?;
    std::fs::write(path, svg).map_err(|error| format!("{}: {error}", path.display()))
}

/// The script of a scenario's name, or of a file.
fn script(name: &str) -> Option<ScaleScript> {
    if let Some(scenario) = scenarios::named(name) {
        return usable(ScaleScript::parse(scenario.name, scenario.text));
    }
    match std::fs::read_to_string(name) {
        Ok(text) => usable(ScaleScript::parse(name, &text)),
        Err(error) => {
            eprintln!("{name}: {error}; a scenario's name is expected, or a file");
            None
        }
    }
}

fn usable(read: Result<ScaleScript, Vec<Fault>>) -> Option<ScaleScript> {
    read.inspect_err(|faults| faults.iter().for_each(|fault| eprintln!("{fault}"))).ok()
}

fn failed(problem: &str) -> ExitCode {
    eprintln!("{problem}");
    ExitCode::from(UNUSABLE)
}
