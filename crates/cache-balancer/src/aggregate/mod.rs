//! `cache-balancer aggregate`: adds up the tally lines of many nodes' logs, second by second, and sets what the nodes did
//! beside what any of them had been notified of by then. An attempt at a server that some node knew to be removed, made
//! by one that did not, shows in no single log.

mod logs;
mod rows;

use clap::Args;
use logs::TallyLogs;
use rows::{rows, table};
use serde_json::json;
use std::fs::File;
use std::path::PathBuf;
use std::process::ExitCode;

/// Exit code: some lines were bad and skipped; the others are counted.
const LINES_SKIPPED: u8 = 1;
/// Exit code: a log cannot be read.
const UNREADABLE_LOG: u8 = 2;

#[derive(Debug, Args)]
pub struct Arguments {
    /// The nodes' logs
    #[arg(required = true)]
    logs: Vec<PathBuf>,
    /// Seconds after its start for which a server counts as cold
    #[arg(long, default_value_t = 8)]
    warm_within: u64,
    /// Seconds a row
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(1..=86_400))]
    every: u64,
    /// Prints a line of JSON for each row, rather than a table
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
