//! Runs the program as a command.

use super::wait::{wait_for, TIMEOUT};
use std::process::{Child, Command, ExitStatus, Output, Stdio};
use std::thread;
use std::time::{Duration, Instant};

/// Returns a command that runs the program without the platform's environment variables.
pub fn command() -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_cache-balancer"));
    for variable in ["LB_CONFIG", "LB_NAME", "LB_LISTEN", "LB_DISCOVERY"] {
        command.env_remove(variable);
    }
    command
}

/// Runs a command that must exit by itself, and returns its output. Panics if it is still running after
/// [`TIMEOUT`]. The output must fit into a pipe, since it is read after the exit.
pub fn output_before_timeout(mut command: Command) -> Output {
    let mut child = command.stdout(Stdio::piped()).stderr(Stdio::piped()).spawn().unwrap();
    let start = Instant::now();
    while child.try_wait().unwrap().is_none() {
        if start.elapsed() > TIMEOUT {
            let _ = child.kill();
            panic!("the command did not exit by itself: {:?}", child.wait_with_output());
        }
        thread::sleep(Duration::from_millis(5));
    }
    child.wait_with_output().unwrap()
}

/// Runs the program with these arguments and returns its output.
pub fn run_program(arguments: &[&str]) -> Output {
    command().args(arguments).output().unwrap()
}

/// Waits until a process has exited, and returns its exit status.
pub fn wait_for_exit(child: &mut Child) -> ExitStatus {
    let mut status = None;
    wait_for("the exit of the process", || {
        status = child.try_wait().unwrap();
        status.is_some()
    });
    status.unwrap()
}

/// Returns output as text; panics if it is not UTF-8.
pub fn utf8(bytes: &[u8]) -> &str {
    std::str::from_utf8(bytes).unwrap()
}
