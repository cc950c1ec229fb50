//! `cache-balancer scenario`: runs a script of faults and reports the result.

use checked_toml::{time_text, Fault};
use clap::{Args, Subcommand, ValueEnum};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;
use testbed::report::{describe_fault, Report};
use testbed::run_result::{RunResult, Sample};
use testbed::variance::{table, Variance};
use testbed::{html_report, scenarios, sockets, virtual_time, Script};

/// A script that cannot be used; a play that misses what its script expects ends with 1.
const UNUSABLE: u8 = 2;
/// A play whose figure would be the machine's.
const VOID: u8 = 3;

#[derive(Debug, Args)]
#[command(args_conflicts_with_subcommands = true)]
pub struct Arguments {
    #[command(subcommand)]
    command: Option<Command>,
    #[command(flatten)]
    play: Play,
}

#[derive(Debug, Args)]
struct Play {
    /// A script's file, or the name of a scenario that ships with the program
    #[arg(default_value = scenarios::DEFAULT)]
    script: String,
    /// Draws everything anew from this seed, rather than from the script's own
    #[arg(long)]
    seed: Option<u64>,
    /// Plays with so many nodes, rather than the script's own number
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
struct Repeat {
    /// Scripts' files or names of scenarios; all scenarios where there are none
    scripts: Vec<String>,
    /// Plays of each script with its own seed
    #[arg(long, default_value_t = 10, value_parser = clap::value_parser!(u32).range(0..=1_000))]
    plays: u32,
    /// Seeds that are played once each, from the script's own on
    #[arg(long, default_value_t = 10, value_parser = clap::value_parser!(u32).range(0..=1_000))]
    seeds: u32,
    /// Plays with so many nodes, rather than the scripts' own numbers
    #[arg(long, value_parser = clap::value_parser!(u32).range(1..=10_000))]
    nodes: Option<u32>,
    /// Who plays them
    #[arg(long, value_enum, default_value_t = Player::Virtual)]
    player: Player,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
enum Player {
    Sockets,
    Virtual,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Runs a scenario and judges it; the same as the command without a subcommand
    Run(Play),
    /// Lists the scenarios that ship with the program
    List,
    /// Plays scripts again and again, and shows how far their figures lie apart
    Spread(Repeat),
    /// Says what is wrong with a script, and plays nothing
    Check {
        /// The script's file
        file: PathBuf,
    },
}

/// Carries a call out; its exit code.
pub fn run(arguments: Arguments) -> ExitCode {
    match arguments.command {
        Some(Command::List) => {
            for scenario in scenarios::ALL {
                if let Some(script) = usable(Script::parse(scenario.name, scenario.text)) {
                    println!("{:<24} {}", script.name, script.about);
                }
            }
            ExitCode::SUCCESS
        }
        Some(Command::Spread(repeat)) => spread(&repeat),
        Some(Command::Check { file }) => match from_file(&file) {
            Some(script) => {
                println!("{}: {} over {}", file.display(), script.name, time_text(script.length));
                for incident in &script.incidents {
                    let (at, over) = (time_text(incident.at), time_text(incident.duration));
                    println!("  {at}: {} for {over}", describe_fault(&incident.fault));
                }
                ExitCode::SUCCESS
            }
            None => ExitCode::from(UNUSABLE),
        },
        Some(Command::Run(arguments)) => play(&arguments),
        None => play(&arguments.play),
    }
}

fn play(play: &Play) -> ExitCode {
    let Some(mut script) = script(&play.script) else { return ExitCode::from(UNUSABLE) };
    script.seed = play.seed.unwrap_or(script.seed);
    script.nodes = play.nodes.unwrap_or(script.nodes);
    if !play.json {
        eprintln!("{}: {}", script.name, script.about);
    }
    let (played, partial) = match play.player {
        Player::Virtual => (virtual_time::run(&script), false),
        Player::Sockets => match on_sockets(&script, !play.json) {
            Ok(played) => played,
            Err(code) => return code,
        },
    };
    let report = Report { partial, ..Report::new(&script, played) };
    if let Some(path) = &play.html {
        let written = html_report::render(&report)
            .map_err(|error| error.to_string())
            .and_then(|html| std::fs::write(path, html).map_err(|error| error.to_string()));
        if let Err(error) = written {
            eprintln!("{}: the page could not be written: {error}", path.display());
            return ExitCode::from(UNUSABLE);
        }
    }
    if play.json {
        println!("{}", report.json());
    } else {
        print!("{}", report.text());
    }
    if report.all_met() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

/// Plays each script several times, and prints a table.
fn spread(repeat: &Repeat) -> ExitCode {
    let all = scenarios::ALL.iter().map(|scenario| scenario.name.to_owned()).collect();
    let names = if repeat.scripts.is_empty() { all } else { repeat.scripts.clone() };
    // All are read before the first is played.
    let scripts: Vec<_> = names.iter().map(|name| script(name)).collect();
    let Some(scripts) = scripts.into_iter().collect::<Option<Vec<_>>>() else {
        return ExitCode::from(UNUSABLE);
    };
    let mut rows = Vec::new();
    for script in scripts {
        eprintln!("{}", script.name);
        let mut row = Variance::new(&script.name);
        let (plays, seeds) = (repeat.plays, u64::from(repeat.seeds));
        let again = (0..plays).map(|_| (script.seed, true));
        for (seed, again) in again.chain((0..seeds).map(|n| (script.seed.wrapping_add(n), false))) {
            let nodes = repeat.nodes.unwrap_or(script.nodes);
            let script = Script { seed, nodes, ..script.clone() };
            let played = match repeat.player {
                Player::Virtual => virtual_time::run(&script),
                Player::Sockets => match on_sockets(&script, false) {
                    Ok((_, true)) => return ExitCode::from(VOID),
                    Ok((played, false)) => played,
                    Err(code) if code == ExitCode::from(VOID) => {
                        row.add_void();
                        continue;
                    }
                    Err(code) => return code,
                },
            };
            let report = Report::new(&script, played);
            if again {
                row.add_same_seed(&report);
            } else {
                row.add_other_seed(&report);
            }
        }
        rows.push(row);
    }
    println!("{}", table(&rows));
    if rows.iter().all(Variance::all_met) {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

/// The script of a scenario's name, or of a file.
fn script(name: &str) -> Option<Script> {
    match scenarios::named(name) {
        Some(scenario) => usable(Script::parse(scenario.name, scenario.text)),
        None => from_file(Path::new(name)),
    }
}

/// Plays on sockets, with a line of progress each second.
fn on_sockets(script: &Script, show: bool) -> Result<(RunResult, bool), ExitCode> {
    let program = std::env::current_exe().map_err(|error| {
        eprintln!("this program does not find itself: {error}");
        ExitCode::from(UNUSABLE)
    })?;
    let length = script.length;
    let progress = move |at: Duration, sample: &Sample| {
        if show {
            let (at, length) = (at.as_secs(), length.as_secs());
            let Sample { servers, warming_servers, requests_in_servers, origin_queue, .. } = sample;
            eprint!("\r{at:>4} of {length} s: {servers} boxes, {warming_servers} cold, {requests_in_servers} requests in them, {origin_queue} wait at the origin   ");
        }
    };
    // Where the signal cannot be had, the play simply runs to its end.
    let stop = async {
        if tokio::signal::ctrl_c().await.is_err() {
            std::future::pending().await
        }
    };
    let live = sockets::run(script, &program, progress, stop).map_err(|error| {
        eprintln!("{error}");
        ExitCode::from(UNUSABLE)
    })?;
    if show {
        eprintln!();
    }
    if let Some(error) = &live.error {
        eprintln!("the play is broken off: {error}");
    }
    if live.is_void() {
        let sockets::TimerLag { p99: most_of, max: most } = live.timer_lag;
        eprintln!("VOID: this machine was too busy, timers rang {most_of:?} late at the 99th percentile and {most:?} at most");
        return Err(ExitCode::from(VOID));
    }
    Ok((live.result, live.partial))
}

fn from_file(path: &Path) -> Option<Script> {
    match std::fs::read_to_string(path) {
        Ok(text) => usable(Script::parse(&path.display().to_string(), &text)),
        Err(error) => {
            eprintln!("{}: {error}; a scenario's name is expected, or a file", path.display());
            None
        }
    }
}

fn usable(read: Result<Script, Vec<Fault>>) -> Option<Script> {
    read.inspect_err(|faults| faults.iter().for_each(|fault| eprintln!("{fault}"))).ok()
}
