//! Scripts that the command line names: shipped with the program, or in files.

use checked_toml::Fault;
use std::io;
use std::path::Path;
use thiserror::Error;

/// Why a script cannot be used. The text has a line for each fault.
#[derive(Debug, Error)]
pub enum ScriptError {
    /// There is no such file, nor a shipped script of this name.
    #[error("{name}: {error}; a scenario's name is expected, or a file")]
    Unreadable {
        /// What the command line names.
        name: String,
        /// Why it can't be read as a file.
        error: io::Error,
    },
    /// Its text has faults.
    #[error("{}", lines(.0))]
    Invalid(Vec<Fault>),
}

fn lines(faults: &[Fault]) -> String {
    faults.iter().map(Fault::to_string).collect::<Vec<_>>().join("\n")
}

/// Reads the script in a file. `parse` gets the file's name and its text.
pub fn from_file<S>(
    path: &Path,
    parse: impl FnOnce(&str, &str) -> Result<S, Vec<Fault>>,
) -> Result<S, ScriptError> {
    let name = path.display().to_string();
    match std::fs::read_to_string(path) {
        Ok(text) => parse(&name, &text).map_err(ScriptError::Invalid),
        Err(error) => Err(ScriptError::Unreadable { name, error }),
    }
}
