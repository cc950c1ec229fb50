//! What the commands of the command line have in common: exit codes, players, scripts, progress.

pub mod progress;
pub mod scripts;

use clap::ValueEnum;
use std::io;
use std::path::PathBuf;
use std::process::ExitCode;
use thiserror::Error;

/// Exit code: a file, script or result that cannot be used, or a run that came to nothing. A run that misses what
/// its script expects ends with 1.
pub const UNUSABLE: u8 = 2;

/// This program's file could not be found.
#[derive(Debug, Error)]
#[error("this program does not find itself: {0}")]
pub struct ProgramNotFound(#[from] io::Error);

/// The file of this program, to start it as another process.
pub fn program() -> Result<PathBuf, ProgramNotFound> {
    Ok(std::env::current_exe()?)
}

/// What runs a script. Its values have no help text, so that `--help` lists them in one line.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Player {
    /// Processes of this program, on loopback and in real time.
    #[value(help = None)]
    Sockets,
    /// The decisions alone, in virtual time.
    #[value(help = None)]
    Virtual,
}

/// The exit code of a run: success if its report meets the expectations of its script.
pub fn exit_code(expectations_met: bool) -> ExitCode {
    if expectations_met {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

/// Ends with Ctrl-C. Where the signal can't be had, a run goes to its end.
pub async fn interrupted() {
    if tokio::signal::ctrl_c().await.is_err() {
        std::future::pending().await
    }
}
