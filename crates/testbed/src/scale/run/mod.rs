//! Runs a script: `executor` starts the processes and executes the steps on schedule, and `measurement`
//! measures their cost.

mod executor;
mod measurement;

use super::child_processes::ChildError;
use super::real::RealError;
use super::real_fleet::RealFleet;
use super::report::ScaleReport;
use super::requirements::{Limits, LimitsError, Requirements, Shortage};
use super::script::ScaleScript;
use super::steps::{plan, PlannedStep};
use executor::Executor;
use std::future::Future;
use std::path::Path;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use thiserror::Error;
use tokio::time::Instant;

/// The reason why a scale run failed.
#[derive(Debug, Error)]
pub enum RunError {
    /// The run needs more resources than the machine allows.
    #[error("the run does not fit into this machine:{}", shortage_lines(.0))]
    Requirements(Vec<Shortage>),
    /// The machine's limits could not be read.
    #[error(transparent)]
    Limits(#[from] LimitsError),
    /// The async runtime could not be created.
    #[error("the async runtime could not be created: {0}")]
    Runtime(std::io::Error),
    /// A child process failed.
    #[error(transparent)]
    Child(#[from] ChildError),
    /// A real node or a stand-in cache server failed.
    #[error("real nodes: {0}")]
    Real(#[from] RealError),
    /// The processor time or memory of a process could not be read.
    #[error("processor time and memory of process {process} could not be read: {source}")]
    Cost {
        /// The process id.
        process: u32,
        /// The error of the system.
        source: std::io::Error,
    },
    /// The run was interrupted.
    #[error("the run was interrupted")]
    Interrupted,
}

fn shortage_lines(shortages: &[Shortage]) -> String {
    shortages.iter().map(|shortage| format!("\n  {shortage}")).collect()
}

/// The phase of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The processes are being started.
    Starting,
    /// All nodes run, and nothing is measured yet.
    Settling,
    /// The script is being executed.
    Measuring,
    /// The script is over, and the run waits for nodes with an outdated list.
    CatchingUp,
}

/// The progress of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Progress {
    /// The current phase.
    pub phase: Phase,
    /// The time since the beginning of the phase.
    pub elapsed: Duration,
    /// The maximum duration of the phase.
    pub length: Duration,
    /// The number of changes of the list so far.
    pub changes: usize,
    /// The number of nodes whose list was outdated at the time of the last poll.
    pub behind: usize,
}

/// Runs a script and returns its report. `program` is the executable of the child processes and must have the
/// subcommands `scale-replica` and `scale-hollow`. All child processes have ended when this returns.
///
/// # Errors
/// If the run needs more resources than the machine allows, a process fails, or `stop` completes first.
pub fn run(
    script: &ScaleScript,
    program: &Path,
    progress: impl FnMut(&Progress),
    stop: impl Future<Output = ()>,
) -> Result<ScaleReport, RunError> {
    Requirements::of(script).fit(&Limits::of_this_machine()?).map_err(RunError::Requirements)?;
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(RunError::Runtime)?;
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime, async {
        tokio::select! {
            biased;
            () = stop => Err(RunError::Interrupted),
            report = run_script(script, program, progress) => report,
        }
    })
}

async fn run_script(
    script: &ScaleScript,
    program: &Path,
    progress: impl FnMut(&Progress),
) -> Result<ScaleReport, RunError> {
    let real_fleet = RealFleet::start_servers(script).await?;
    let servers = real_fleet.servers(script);
    let steps = plan(script, &servers);
    let mut executor = Executor::new(script, &servers, real_fleet, progress);
    executor.start(program, &servers).await?;
    executor.enter_phase(Phase::Settling, script.settle);
    executor.wait_until(Instant::now() + script.settle).await?;
    executor.enter_phase(Phase::Measuring, script.length);
    let begin = Instant::now();
    let at_begin = executor.snapshot().await?;
    let first_step = steps.first().map_or(script.length, |step| step.at);
    executor.wait_until(begin + first_step).await?;
    let before_steps = executor.snapshot().await?;
    let steps_from_us = unix_us();
    for PlannedStep { at, step } in &steps {
        executor.wait_until(begin + *at).await?;
        executor.record_delay((begin + *at).elapsed());
        executor.execute(step).await?;
    }
    executor.wait_until(begin + script.length).await?;
    if !steps.is_empty() {
        executor.enter_phase(Phase::CatchingUp, script.catch_up);
        executor.catch_up().await?;
    }
    let at_end = executor.snapshot().await?;
    let steps_from_us = (!steps.is_empty()).then_some(steps_from_us);
    let report = executor.report(&at_begin, &before_steps, &at_end, steps_from_us);
    let real = executor.finish().await;
    Ok(ScaleReport { real, ..report })
}

/// Returns the current Unix time in microseconds.
fn unix_us() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_micros() as u64)
}
