//! The program as a command.

use super::wait::PATIENCE;
use std::process::{Command, Output, Stdio};
use std::thread;
use std::time::{Duration, Instant};

/// The program, without the variables by which the platform configures it.
pub fn command() -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_cache-balancer"));
    for variable in ["LB_CONFIG", "LB_NAME", "LB_LISTEN", "LB_DISCOVERY"] {
        command.env_remove(variable);
    }
    command
}

/// The output of a command that must end by itself and prints little. One that serves instead fails the test.
pub fn ended(mut command: Command) -> Output {
    let mut child = command.stdout(Stdio::piped()).stderr(Stdio::piped()).spawn().unwrap();
    let start = Instant::now();
    while child.try_wait().unwrap().is_none() {
        if start.elapsed() > PATIENCE {
            let _ = child.kill();
            panic!("the command did not end by itself: {:?}", child.wait_with_output());
        }
        thread::sleep(Duration::from_millis(5));
    }
    child.wait_with_output().unwrap()
}

/// The output of the program with these arguments.
pub fn run_program(arguments: &[&str]) -> Output {
    command().args(arguments).output().unwrap()
}

/// Output as text.
pub fn utf8(bytes: &[u8]) -> &str {
    std::str::from_utf8(bytes).unwrap()
}
