//! What the commands of the command line have in common: exit codes, scripts, progress.

pub mod progress;
pub mod scripts;

use std::io;
use std::path::PathBuf;
use thiserror::Error;

/// Exit code: a script or result that cannot be used, or a run that came to nothing. A run that misses what its script
/// expects ends with 1.
pub const UNUSABLE: u8 = 2;

/// This program's file could not be found.
#[derive(Debug, Error)]
#[error("this program does not find itself: {0}")]
pub struct ProgramNotFound(#[from] io::Error);

/// The file of this program, to start it as another process.
pub fn program() -> Result<PathBuf, ProgramNotFound> {
    Ok(std::env::current_exe()?)
}
