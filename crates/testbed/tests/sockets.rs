//! Errors of runs on sockets.

use std::path::Path;
use std::time::Duration;
use testbed::run_result::Sample;
use testbed::sockets::{run, SocketRunError};
use testbed::Script;

fn run_program(program: &str) -> Result<testbed::sockets::SocketRun, SocketRunError> {
    let nobody = |_: Duration, _: &Sample| ();
    run(&Script::default(), Path::new(program), nobody, std::future::pending())
}

#[test]
fn too_many_nodes_are_refused_before_anything_starts() {
    let script = Script { nodes: 2_001, ..Script::default() };
    let nobody = |_: Duration, _: &Sample| ();
    let refused = run(&script, Path::new("/no/such/program"), nobody, std::future::pending());
    let text = refused.expect_err("too many").to_string();
    let expected =
        "expected 2000 nodes at the most on sockets, found 2001; the player in virtual time takes more";
    assert_eq!(text, expected);
}

/// A run must neither wait for a node whose process has ended nor name another cause.
#[test]
fn a_program_that_is_not_a_node_is_named() {
    match run_program("/bin/false") {
        Err(SocketRunError::Node { node: 0, .. }) => {}
        other => panic!("{other:?}"),
    }
    let missing = run_program("/no/such/program").expect_err("no program");
    assert!(missing.to_string().starts_with("/no/such/program: "), "{missing}");
}
