//! `cache-balancer aggregate`: sums the tally lines in the logs of many nodes, second by second, and
//! classifies attempts by the state of their server as known to any node at that time. No single log shows
//! that a node sent an attempt to a server that another node already knew to be removed.

mod logs;
mod rows;

use clap::Args;
use logs::TallyLogs;
use rows::{rows, table};
use serde_json::json;
use std::fs::File;
use std::path::PathBuf;
use std::process::ExitCode;

/// Exit code if bad lines were skipped; all other lines are counted.
const LINES_SKIPPED: u8 = 1;
/// Exit code if a log cannot be read.
const UNREADABLE_LOG: u8 = 2;

#[derive(Debug, Args)]
pub struct Arguments {
    /// Paths of the nodes' logs
    #[arg(required = true)]
    logs: Vec<PathBuf>,
    /// Number of seconds after its start during which a server counts as cold
    #[arg(long, default_value_t = 8)]
    warm_within: u64,
    /// Number of seconds per row
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(1..=86_400))]
    every: u64,
    /// Prints one line of JSON per row instead of a table
    #[arg(long)]
    json: bool,
}

/// Runs the command and returns its exit code.
pub fn run(arguments: &Arguments) -> ExitCode {
    let mut logs = TallyLogs::default();
    for path in &arguments.logs {
        if let Err(error) = File::open(path).and_then(|log| logs.read(path, log)) {
            eprintln!("{}: {error}", path.display());
            return ExitCode::from(UNREADABLE_LOG);
        }
    }
    let rows = rows(&logs, arguments.every, arguments.warm_within);
    if arguments.json {
        for (second, row) in &rows {
            println!("{}", json!({"second": second, "row": row}));
        }
    } else {
        println!("{}", table(&rows));
    }
    if logs.skipped > 0 {
        eprintln!("{} lines skipped", logs.skipped);
        return ExitCode::from(LINES_SKIPPED);
    }
    ExitCode::SUCCESS
}

#[cfg(test)]
mod tests;
