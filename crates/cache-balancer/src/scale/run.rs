//! `cache-balancer scale --player sockets`: runs a script with processes of this program.

use super::{apply_overrides, load_script, write_plot, RunArguments, ScaleError};
use crate::cli::progress::ProgressDisplay;
use crate::cli::{current_executable, exit_code, interrupted};
use std::process::ExitCode;
use testbed::scale::run::{self, Phase, Progress};
use testbed::scale::{plot, ScaleReport, ScaleScript};
use tokio::signal::unix::{signal, SignalKind};

/// Runs a script, prints its report and returns the exit code.
pub(super) fn run(arguments: &RunArguments) -> Result<ExitCode, ScaleError> {
    let script = apply_overrides(load_script(&arguments.script)?, arguments);
    eprintln!("{}: {}", script.name, script.about);
    let report = run_script(&script)?;
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

fn run_script(script: &ScaleScript) -> Result<ScaleReport, ScaleError> {
    let program = current_executable()?;
    let mut display = ProgressDisplay::for_standard_error();
    let mut last_phase = None;
    let report = run::run(
        script,
        &program,
        |progress| {
            let new_phase = last_phase.replace(progress.phase) != Some(progress.phase);
            display.show(&progress_line(progress), new_phase);
        },
        stop_signal(),
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
        "{phase} {elapsed_s} of {length_s} s: {} changes, {} nodes behind at the last report",
        progress.changes, progress.behind
    )
}

/// Completes on Ctrl-C or SIGTERM. Never completes if no handler can be installed, so that the run goes on to
/// its end.
async fn stop_signal() {
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
