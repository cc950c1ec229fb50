//! Runs a script with processes of this program.

use super::{overridden, script, write_plot, RunArguments, ScaleError};
use crate::cli::progress::ProgressDisplay;
use crate::cli::{exit_code, interrupted, program};
use std::process::ExitCode;
use testbed::scale::run::{self, Phase, Progress};
use testbed::scale::{plot, ScaleReport, ScaleScript};
use tokio::signal::unix::{signal, SignalKind};

/// Runs a script, prints its report and returns the exit code.
pub(super) fn run(arguments: &RunArguments) -> Result<ExitCode, ScaleError> {
    let script = overridden(script(&arguments.script)?, arguments);
    eprintln!("{}: {}", script.name, script.about);
    let report = report(&script)?;
    if let Some(path) = &arguments.svg {
        write_plot(path, plot::propagation(&report))?;
    }
    if arguments.json {
        println!("{}", report.json().map_err(|error| ScaleError::Json("result", error))?);
    } else {
        print!("{}", report.text());
    }
    Ok(exit_code(report.all_met()))
}

fn report(script: &ScaleScript) -> Result<ScaleReport, ScaleError> {
    let program = program()?;
    let mut display = ProgressDisplay::for_standard_error();
    let mut last_phase = None;
    let report = run::run(
        script,
        &program,
        |progress| {
            let new_phase = last_phase.replace(progress.phase) != Some(progress.phase);
            display.show(&progress_line(progress), new_phase);
        },
        stopped(),
    );
    display.finish();
    report.map_err(|error| ScaleError::Run(error.into()))
}

fn progress_line(progress: &Progress) -> String {
    let phase = match progress.phase {
        Phase::Starting => "starting",
        Phase::Settling => "settling",
        Phase::Measuring => "measuring",
        Phase::CatchingUp => "catching up",
    };
    let (elapsed_s, length_s) = (progress.elapsed.as_secs(), progress.length.as_secs());
    format!(
        "{phase} {elapsed_s} of {length_s} s: {} changes, {} nodes behind when asked last",
        progress.changes, progress.behind
    )
}

/// Ends with Ctrl-C, or SIGTERM. Where these can't be had, the run goes to its end.
async fn stopped() {
    let terminated = async {
        match signal(SignalKind::terminate()) {
            Ok(mut terminated) => terminated.recv().await,
            Err(_) => std::future::pending().await,
        }
    };
    tokio::select! {
        _ = terminated => {}
        () = interrupted() => {}
    }
}
