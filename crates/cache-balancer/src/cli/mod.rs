//! Code shared by the commands: exit codes, players, scripts and progress output.

pub mod progress;
pub mod scripts;

use clap::ValueEnum;
use std::io;
use std::path::PathBuf;
use std::process::ExitCode;
use thiserror::Error;

/// Exit code for a file, script or result that cannot be used, and for a run that produced no result. A run
/// that does not meet the expectations of its script exits with 1.
pub const UNUSABLE: u8 = 2;

/// The path of this program's executable cannot be determined.
#[derive(Debug, Error)]
#[error("cannot determine the path of this program's executable: {0}")]
pub struct ExecutableNotFound(#[from] io::Error);

/// Returns the path of this program's executable, to start further processes of it.
pub fn current_executable() -> Result<PathBuf, ExecutableNotFound> {
    Ok(std::env::current_exe()?)
}

/// How a script is run. The values have no help text, so that `--help` lists them in one line.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Player {
    /// With processes of this program, on loopback and in real time.
    #[value(help = None)]
    Sockets,
    /// With the balancing logic alone, in virtual time.
    #[value(help = None)]
    Virtual,
}

/// Returns the exit code of a run: success if its report meets the expectations of its script.
pub fn exit_code(expectations_met: bool) -> ExitCode {
    if expectations_met {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

/// Completes on Ctrl-C. Never completes if no handler can be installed, so that the run goes on to its end.
pub async fn interrupted() {
    if tokio::signal::ctrl_c().await.is_err() {
        std::future::pending().await
    }
}
