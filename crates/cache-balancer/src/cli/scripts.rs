//! Loads the scripts named on the command line from files.

use checked_toml::Fault;
use std::io;
use std::path::Path;
use thiserror::Error;

/// An error that makes a script unusable. The message has one line for each fault.
#[derive(Debug, Error)]
pub enum ScriptError {
    /// The argument is neither the name of a built-in scenario nor a readable file.
    #[error("{name}: {error}; expected the name of a scenario or the path of a script")]
    Unreadable {
        /// The argument on the command line.
        name: String,
        /// The error from reading it as a file.
        error: io::Error,
    },
    /// The script has faults.
    #[error("{}", join_lines(.0))]
    Invalid(Vec<Fault>),
}

fn join_lines(faults: &[Fault]) -> String {
    faults.iter().map(Fault::to_string).collect::<Vec<_>>().join("\n")
}

/// Reads a script from a file. `parse` gets the file's path and its text.
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
