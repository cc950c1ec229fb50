//! A scale run: `executor` starts the processes and executes the steps at their times, and `measurement` measures what they
//! cost.

mod executor;
mod measurement;

use super::child_processes::ChildError;
use super::real::RealError;
use super::real_fleet::RealFleet;
use super::report::ScaleReport;
use super::requirements::{Limits, LimitsError, Requirements, Shortage};
use super::script::ScaleScript;
use super::steps::{plan, Planned};
use executor::Executor;
use std::future::Future;
use std::path::Path;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use thiserror::Error;
use tokio::time::Instant;

/// Why a scale run failed.
#[derive(Debug, Error)]
pub enum RunError {
    /// The run needs more than the machine has.
    #[error("the run does not fit into this machine:{}", listed(.0))]
    Requirements(Vec<Shortage>),
    /// The machine's limits could not be read.
    #[error(transparent)]
    Limits(#[from] LimitsError),
    /// The runtime did not start.
    #[error("the runtime does not start: {0}")]
    Runtime(std::io::Error),
    /// A child process failed.
    #[error(transparent)]
    Child(#[from] ChildError),
    /// A real node or a stand-in cache server failed.
    #[error("real nodes: {0}")]
    Real(#[from] RealError),
    /// The cost of a process could not be read.
    #[error("what process {process} costs can't be read: {source}")]
    Cost {
        /// The process id.
        process: u32,
        /// What the system said.
        source: std::io::Error,
    },
    /// The run was interrupted.
    #[error("the run was broken off")]
    Interrupted,
}

fn listed(faults: &[Shortage]) -> String {
    faults.iter().map(|fault| format!("\n  {fault}")).collect()
}

/// The phase of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The processes start.
    Starting,
    /// All nodes run, and nothing is measured yet.
    Settling,
    /// The script is being executed.
    Measuring,
    /// The script is over, and the run waits for the nodes that are behind.
    CatchingUp,
}

/// The progress of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Progress {
    /// The present phase.
    pub phase: Phase,
    /// The time since the beginning of the phase.
    pub elapsed: Duration,
    /// The maximum duration of the phase.
    pub length: Duration,
    /// The number of changes of the list so far.
    pub changes: usize,
    /// The number of nodes that were behind the list at the time of the last poll.
    pub behind: usize,
}

/// Runs a script. The child processes are those of `program`, which has the subcommands `scale-replica` and `scale-hollow`;
/// all of them have ended when this returns.
///
/// # Errors
/// If the run needs more than the machine has, a process fails, or `stop` completes first.
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
            report = run_to_report(script, program, progress) => report,
        }
    })
}

async fn run_to_report(
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
    for Planned { at, step } in &steps {
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

/// The present Unix time in microseconds.
fn unix_us() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_micros() as u64)
}
