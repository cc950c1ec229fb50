//! Errors of runs on sockets.

use std::path::Path;
use std::time::Duration;
use testbed::run_result::Sample;
use testbed::sockets::{run, SocketRunError};
use testbed::Script;

fn run_program(program: &str) -> Result<testbed::sockets::SocketRun, SocketRunError> {
    let ignore_samples = |_: Duration, _: &Sample| ();
    run(&Script::default(), Path::new(program), ignore_samples, std::future::pending())
}

#[test]
fn a_script_with_too_many_nodes_is_rejected_before_a_process_starts() {
    let script = Script { nodes: 2_001, ..Script::default() };
    let ignore_samples = |_: Duration, _: &Sample| ();
    let result = run(&script, Path::new("/no/such/program"), ignore_samples, std::future::pending());
    let text = result.expect_err("too many nodes").to_string();
    let expected = "expected at most 2000 nodes on sockets, found 2001; the virtual-time player accepts more";
    assert_eq!(text, expected);
}

/// A run must not wait for a node whose process has ended, and its error must name the actual cause.
#[test]
fn a_program_that_is_not_a_node_fails_the_run_with_its_cause() {
    match run_program("/bin/false") {
        Err(SocketRunError::Node { node: 0, .. }) => {}
        other => panic!("{other:?}"),
    }
    let missing = run_program("/no/such/program").expect_err("the program does not exist");
    assert!(missing.to_string().starts_with("/no/such/program: "), "{missing}");
}
