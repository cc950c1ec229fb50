//! Runs a scenario with processes of this program, on loopback and in real time.

use crate::cli::progress::ProgressDisplay;
use crate::cli::{current_executable, interrupted, ExecutableNotFound};
use std::time::Duration;
use testbed::run_result::{RunResult, Sample};
use testbed::Script;
use thiserror::Error;

/// The reason why a run on sockets has no result.
#[derive(Debug, Error)]
pub(super) enum SocketRunError {
    /// The executable to start the nodes with could not be determined.
    #[error(transparent)]
    Executable(#[from] ExecutableNotFound),
    /// The run failed.
    #[error("{0}")]
    Run(Box<dyn std::error::Error>),
    /// The machine was too busy for the results to reflect the program.
    #[error(transparent)]
    Void(#[from] VoidRun),
}

/// The machine was too busy during a run: its timers fired late.
#[derive(Debug, Error)]
#[error(
    "VOID: this machine was too busy: timers fired {percentile_99:?} late at the 99th \
     percentile and {max:?} late at most"
)]
pub(super) struct VoidRun {
    percentile_99: Duration,
    max: Duration,
}

/// The result of a run on sockets.
pub(super) struct SocketRun {
    pub(super) result: RunResult,
    /// Whether the run ended early.
    pub(super) partial: bool,
}

/// Runs a scenario until its end or Ctrl-C. With `show_progress`, prints a progress line each second.
pub(super) fn run(script: &Script, show_progress: bool) -> Result<SocketRun, SocketRunError> {
    let program = current_executable()?;
    let length_s = script.length.as_secs();
    let mut display = show_progress.then(ProgressDisplay::rewriting);
    let progress = move |at: Duration, sample: &Sample| {
        if let Some(display) = &mut display {
            display.show(&progress_line(at, length_s, sample), false);
        }
    };
    let live = testbed::sockets::run(script, &program, progress, interrupted())
        .map_err(|error| SocketRunError::Run(error.into()))?;
    if show_progress {
        eprintln!();
    }
    if let Some(error) = &live.error {
        eprintln!("the run ended early: {error}");
    }
    if live.is_void() {
        let testbed::sockets::TimerLag { p99, max } = live.timer_lag;
        return Err(VoidRun { percentile_99: p99, max }.into());
    }
    Ok(SocketRun { result: live.result, partial: live.partial })
}

fn progress_line(at: Duration, length_s: u64, sample: &Sample) -> String {
    let Sample { servers, warming_servers, requests_in_servers, origin_queue, .. } = sample;
    format!(
        "{:>4} of {length_s} s: {servers} servers, {warming_servers} cold, {requests_in_servers} requests \
         in them, {origin_queue} waiting at the origin",
        at.as_secs()
    )
}
