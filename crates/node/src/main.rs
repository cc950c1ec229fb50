//! `pinhead`: the command line. Without arguments it is the platform's node.

mod config;
mod daemon;
mod discovery;
mod driver;
mod fronts;
mod input;
mod listing;
mod stage;
mod upstream;

use std::process::ExitCode;

fn main() -> ExitCode {
    match daemon::start() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("pinhead: {error}");
            ExitCode::FAILURE
        }
    }
}
