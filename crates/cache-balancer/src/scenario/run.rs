//! `cache-balancer scenario run`: runs one scenario.

use super::sockets::{self, SocketRunError};
use super::{load_script, report_unusable, RunArguments, VOID};
use crate::cli::{exit_code, Player};
use std::path::Path;
use std::process::ExitCode;
use testbed::html_report;
use testbed::report::Report;
use testbed::{virtual_time, Script};
use thiserror::Error;

/// The HTML page could not be written.
#[derive(Debug, Error)]
#[error("{file}: the HTML page could not be written: {cause}")]
struct PageError {
    file: String,
    cause: Box<dyn std::error::Error>,
}

/// Runs a scenario, prints its report and returns the exit code.
pub(super) fn run(arguments: &RunArguments) -> ExitCode {
    let mut script = match load_script(&arguments.script) {
        Ok(script) => script,
        Err(error) => return report_unusable(&error),
    };
    script.seed = arguments.seed.unwrap_or(script.seed);
    script.nodes = arguments.nodes.unwrap_or(script.nodes);
    if !arguments.json {
        eprintln!("{}: {}", script.name, script.about);
    }
    let report = match run_script(&script, arguments) {
        Ok(report) => report,
        Err(SocketRunError::Void(void)) => {
            eprintln!("{void}");
            return ExitCode::from(VOID);
        }
        Err(error) => return report_unusable(&error),
    };
    if let Some(path) = &arguments.html {
        if let Err(error) = write_page(path, &report) {
            return report_unusable(&error);
        }
    }
    if arguments.json {
        println!("{}", report.json());
    } else {
        print!("{}", report.text());
    }
    exit_code(report.all_met())
}

fn run_script(script: &Script, arguments: &RunArguments) -> Result<Report, SocketRunError> {
    let (result, partial) = match arguments.player {
        Player::Virtual => (virtual_time::run(script), false),
        Player::Sockets => {
            let run = sockets::run(script, !arguments.json)?;
            (run.result, run.partial)
        }
    };
    Ok(Report { partial, ..Report::new(script, result) })
}

fn write_page(path: &Path, report: &Report) -> Result<(), PageError> {
    let error = |cause| PageError { file: path.display().to_string(), cause };
    let html = html_report::render(report).map_err(|cause| error(cause.into()))?;
    std::fs::write(path, html).map_err(|cause| error(cause.into()))
}
